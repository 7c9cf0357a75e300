//! The control address: calls of servers, the operator and applications. One dispatch on method and segments.

use crate::asks::{Asked, Desk, Told, Untold};
use crate::http::{Caller, Request, Response, Service};
use crate::offices::{self, Clerk, Verb};
use fallgap_admin::Question;
use fallgap_config as chart;
use fallgap_control_state::{Answer, Call};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// What binds the control address.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Calls worked on at once. Threads are made once and kept. Whatever the kinds below hold, some are left for
    /// beats, ends of servers and looks.
    pub threads: usize,
    /// Of these, watches at most: they hold a thread for seconds. One beyond is turned away.
    pub watches: usize,
    /// Of these, calls at most that wait for a majority, 0.9 s if it is slow: configurations, calls on registers, of
    /// offices and on accounts. One beyond is turned away.
    pub waiting: usize,
    /// Of the latter, calls of offices and on accounts at most: they ask several times. One beyond is turned away.
    pub offices: usize,
    /// Bytes of a body: of a configuration, as many as a register takes, and of any other call. Longer ones are
    /// refused, and it is said that asking again is of no use.
    pub configuration: usize,
    pub body: usize,
    /// Callers go on to another supervisor after a second.
    pub answer: Duration,
    /// The longest that a watch may wait.
    pub watch: Duration,
}

/// Threads that no kind of call may hold.
const FREE: usize = 3;

impl Default for Terms {
    fn default() -> Self {
        let s = Duration::from_secs;
        let (watches, waiting) = (10, 7);
        Terms {
            threads: watches + waiting + FREE,
            watches,
            waiting,
            offices: 4,
            configuration: fallgap_control_state::subjects::Limits::default().config_bytes,
            body: 64 << 10,
            answer: Duration::from_millis(930),
            watch: s(30),
        }
    }
}

struct Control {
    desk: Desk,
    terms: Terms,
    watching: AtomicUsize,
    waiting: AtomicUsize,
    at_counter: AtomicUsize,
}

/// Why a call is not carried out.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum Refused {
    /// {0}
    Faults(chart::Faults),
    /// a body of more than {0} bytes
    Long(usize),
    /// no such call
    Unknown,
    /// {0}
    Untold(Untold),
    /// it is kept, and not in force everywhere yet: to be sent again
    NotInForce,
    /// {0}
    Office(offices::Refused),
}

impl From<chart::Faults> for Refused {
    fn from(faults: chart::Faults) -> Refused {
        Refused::Faults(faults)
    }
}
impl From<offices::Refused> for Refused {
    fn from(refused: offices::Refused) -> Refused {
        Refused::Office(refused)
    }
}
impl From<Untold> for Refused {
    fn from(untold: Untold) -> Refused {
        Refused::Untold(untold)
    }
}

/// Answers calls at the control address.
pub fn service(desk: Desk, terms: Terms) -> Service {
    let none = || AtomicUsize::new(0);
    let (watching, waiting, at_counter) = (none(), none(), none());
    let control = Control { desk, terms, watching, waiting, at_counter };
    Arc::new(move |request, caller| control.answer(request, caller))
}

/// Answers whoever collects this supervisor's figures.
pub fn figures_service(desk: Desk, terms: Terms) -> Service {
    Arc::new(move |request, _| {
        if (request.method(), request.path()) != ("GET", "/metrics") {
            return Response::empty(404);
        }
        match desk.ask(Asked::Figures, terms.answer) {
            Ok(Told::Status(figures)) => Response::plain(200, figures),
            _ => Response::busy(),
        }
    })
}

/// Answers at the address where the platform asks whether clients may come.
pub fn ready_service(ready: Arc<AtomicBool>) -> Service {
    Arc::new(move |request, _| {
        let known = request.method() == "GET" && request.path() == "/-/ready";
        Response::empty(if !known {
            404
        } else if ready.load(Relaxed) {
            200
        } else {
            503
        })
    })
}

/// What an office shows that it is one.
fn key(request: &Request) -> &str {
    request.header("x-office-key").unwrap_or_default()
}

/// A string as JSON.
fn quoted(text: &str) -> String {
    sonic_rs::to_string(text).unwrap_or_else(|_| "\"\"".into())
}

impl Control {
    fn answer(&self, request: &Request, caller: &Caller) -> Response {
        let refused = match self.dispatch(request, caller) {
            Ok(response) => return response,
            Err(refused) => refused,
        };
        match &refused {
            Refused::Faults(_) => Response::text(400, &refused),
            Refused::Long(_) => Response::text(413, &refused),
            Refused::Unknown => Response::text(404, &refused),
            Refused::Office(refused) => refused.response(),
            // Nothing was done, and nothing will be.
            Refused::Untold(Untold::Full) => Response::text(503, &refused).retry_after("0.2"),
            Refused::Untold(Untold::Late) | Refused::NotInForce => Response::text(500, &refused),
        }
    }

    fn dispatch(&self, request: &Request, caller: &Caller) -> Result<Response, Refused> {
        let segments: Vec<&str> = request.path().split('/').skip(1).collect();
        match (request.method(), segments.as_slice()) {
            ("POST", ["-", "servers", id, "beat"]) => {
                let beat = chart::read_beat(id, self.body(request, self.terms.body)?)?;
                self.told(Asked::Beat(beat))
            }
            ("POST", ["-", "servers", id, "leave"]) if chart::is_name(id) => {
                self.told(Asked::Left((*id).into()))
            }
            ("POST", ["-", "config", "put"]) => {
                // Read only when there is room for it: reading a large one takes a while.
                let call = || {
                    let body = self.body(request, self.terms.configuration)?;
                    let edition = chart::read_configuration(body)?.edition;
                    self.put_configuration(edition, body)
                };
                self.waits(call)?
            }
            (_, ["-", "config" | "locks" | "numbers" | "cells", ..]) => {
                let call = || self.call(self.on_register(request, &segments)?);
                self.waits(call)?
            }
            ("GET", ["-", "accounts"]) => self.clerk(|clerk| clerk.accounts()),
            ("POST", ["-", "accounts", id, "put"]) => {
                let body = self.body(request, self.terms.configuration)?;
                self.clerk(|clerk| clerk.order(id, body))
            }
            ("GET", ["-", "offices", id, "routes"]) => self.clerk(|clerk| clerk.routes(id, key(request))),
            ("POST", ["-", "offices", id, "routes", verb]) => {
                let verb = match *verb {
                    "plan" => Verb::Plan,
                    "put" => Verb::Put,
                    "undo" => Verb::Undo,
                    _ => return Err(Refused::Unknown),
                };
                let body = self.body(request, self.terms.configuration)?;
                self.clerk(|clerk| clerk.change(id, key(request), verb, body))
            }
            ("GET", ["-", "watch", id]) => self.watch(id, request, caller),
            ("GET", ["-", "status"]) => self.told(Asked::Status),
            ("GET", ["-", "desk", what]) => self.desk(request, what),
            ("GET", ["-", "verdicts"]) => self.told(Asked::Verdicts),
            _ => Err(Refused::Unknown),
        }
    }

    /// The operator's configuration: acknowledged when it is kept, and in force wherever a supervisor is.
    fn put_configuration(&self, edition: u64, body: &[u8]) -> Result<Response, Refused> {
        let since = Instant::now();
        let rollout = self.desk.begin(Asked::RollOut(edition, self.terms.answer))?;
        let put = Asked::Call(Call::ConfigPut { edition, body: body.to_vec() });
        match self.desk.ask(put, self.terms.answer)? {
            Told::Answer(Answer::Done) => {}
            Told::Answer(answer) => return Ok(said(answer)),
            _ => return Err(Refused::Untold(Untold::Late)),
        }
        match rollout.wait(self.terms.answer.saturating_sub(since.elapsed()))? {
            Told::RolledOut(outcome) if outcome.is_acknowledged() => Ok(said(Answer::Done)),
            _ => Err(Refused::NotInForce),
        }
    }

    /// A call on a register.
    fn on_register(&self, request: &Request, segments: &[&str]) -> Result<Call, Refused> {
        let name = |id: &&str| (*id).to_owned();
        match (request.method(), segments) {
            ("GET", ["-", "config", "get"]) => Ok(Call::ConfigGet),
            ("POST", ["-", "locks", id, "start"]) => {
                let asked = chart::read_lock_start(self.body(request, self.terms.body)?)?;
                Ok(Call::LockStart { name: name(id), holder: asked.holder, hold: asked.hold })
            }
            ("POST", ["-", "locks", id, "beat"]) => {
                let asked = chart::read_lock_beat(self.body(request, self.terms.body)?)?;
                let (holder, fence, hold) = (asked.holder, asked.fence, asked.hold);
                Ok(Call::LockBeat { name: name(id), holder, fence, hold })
            }
            ("POST", ["-", "locks", id, "end"]) => {
                let asked = chart::read_lock_end(self.body(request, self.terms.body)?)?;
                Ok(Call::LockEnd { name: name(id), holder: asked.holder, fence: asked.fence })
            }
            ("POST", ["-", "numbers", id]) => Ok(Call::Number { name: name(id) }),
            ("POST", ["-", "cells", id, "put"]) => {
                let asked = chart::read_cell_put(self.body(request, self.terms.body)?)?;
                Ok(Call::CellPut { name: name(id), value: asked.value, on: asked.on })
            }
            ("GET", ["-", "cells", id, "get"]) => Ok(Call::CellGet { name: name(id) }),
            _ => Err(Refused::Unknown),
        }
    }

    /// An operator looks. Nothing is changed by it.
    fn desk(&self, request: &Request, what: &str) -> Result<Response, Refused> {
        let param = |name: &str| {
            let text = request.parameter(name).unwrap_or_default();
            if text.len() <= fallgap_admin::Terms::USUAL.id { Ok(text) } else { Err(Refused::Unknown) }
        };
        let after = param("after")?;
        let question = match what {
            "fleet" if after.is_empty() => Question::Fleet { after: None },
            "fleet" => Question::Fleet { after: Some(after.parse().map_err(|_| Refused::Unknown)?) },
            "servers" => Question::Servers { after },
            "routes" => Question::Routes { after },
            "locks" => Question::Locks { after },
            "history" => Question::History,
            "operation" => Question::Operation { id: param("id")? },
            "tales" => Question::Tales { id: Some(param("id")?).filter(|id| !id.is_empty()) },
            _ => return Err(Refused::Unknown),
        };
        self.told(Asked::Desk(question))
    }

    fn clerk(
        &self, call: impl FnOnce(&Clerk<'_>) -> Result<Response, offices::Refused>,
    ) -> Result<Response, Refused> {
        let clerk = Clerk { desk: &self.desk, wait: self.terms.answer };
        Ok(self.waits(|| counted(&self.at_counter, self.terms.offices, || call(&clerk)))???)
    }

    /// Carries out what waits for a majority.
    fn waits<T>(&self, call: impl FnOnce() -> T) -> Result<T, Untold> {
        counted(&self.waiting, self.terms.waiting, call)
    }

    /// The body, unless it is longer than this kind of call may have.
    fn body<'a>(&self, request: &'a Request, most: usize) -> Result<&'a [u8], Refused> {
        let body = request.body();
        if body.len() > most { Err(Refused::Long(most)) } else { Ok(body) }
    }

    fn told(&self, asked: Asked) -> Result<Response, Refused> {
        Ok(match self.desk.ask(asked, self.terms.answer)? {
            Told::Answer(answer) => said(answer),
            Told::Taken => Response::json(200, b"{}".to_vec()),
            Told::Status(status) => Response::json(200, status.into_bytes()),
            Told::Desk(answer) => match sonic_rs::to_vec(&answer) {
                Ok(body) => Response::json(200, body),
                Err(_) => Response::empty(500),
            },
            Told::Spread(_) | Told::RolledOut(_) | Told::CallerLeft => {
                return Err(Refused::Untold(Untold::Late));
            }
        })
    }

    fn call(&self, call: Call) -> Result<Response, Refused> {
        self.told(Asked::Call(call))
    }

    fn watch(&self, group: &str, request: &Request, caller: &Caller) -> Result<Response, Refused> {
        let figure = |name: &str| request.parameter(name).and_then(|text| text.parse().ok());
        let after: u64 = figure("after").unwrap_or(0);
        let wait = Duration::from_millis(figure("wait_ms").unwrap_or(0)).min(self.terms.watch);
        let call = Call::Watch { group: group.to_owned(), after, wait };
        let watch = || self.desk.ask_for(caller, Asked::Call(call), wait + self.terms.answer);
        match counted(&self.watching, self.terms.watches, watch)?? {
            Told::Answer(answer) => Ok(said(answer)),
            _ => Err(Refused::Untold(Untold::Late)),
        }
    }
}

/// Does what holds a thread for long, unless as many do as may.
fn counted<T>(at_work: &AtomicUsize, most: usize, call: impl FnOnce() -> T) -> Result<T, Untold> {
    let room = at_work.fetch_add(1, Relaxed) < most;
    let done = room.then(call);
    at_work.fetch_sub(1, Relaxed);
    done.ok_or(Untold::Full)
}

/// An answer as it goes to the caller.
fn said(answer: Answer) -> Response {
    match answer {
        Answer::Done => Response::json(200, b"{}".to_vec()),
        Answer::Config(body) => Response::json(200, body),
        Answer::Fence(fence) => Response::json(200, format!("{{\"fence\":{fence}}}").into_bytes()),
        Answer::Held => Response::json(409, b"{}".to_vec()),
        Answer::Differs { edition } => Response::json(409, format!("{{\"edition\":{edition}}}").into_bytes()),
        Answer::Value(value) => Response::json(200, format!("{{\"value\":{value}}}").into_bytes()),
        Answer::Revision(revision) => {
            Response::json(200, format!("{{\"revision\":{revision}}}").into_bytes())
        }
        Answer::Conflict { revision } => {
            Response::json(412, format!("{{\"revision\":{revision}}}").into_bytes())
        }
        Answer::Cell { value, revision } => Response::json(
            200,
            format!("{{\"value\":{},\"revision\":{revision}}}", quoted(&value)).into_bytes(),
        ),
        Answer::Missing => Response::json(404, b"{}".to_vec()),
        Answer::Events { events, revision } => {
            let events: Vec<String> = events
                .iter()
                .map(|e| {
                    let (name, value) = (quoted(&e.name), quoted(&e.value));
                    format!("{{\"name\":{name},\"value\":{value},\"revision\":{}}}", e.revision)
                })
                .collect();
            Response::json(
                200,
                format!("{{\"events\":[{}],\"revision\":{revision}}}", events.join(",")).into_bytes(),
            )
        }
        Answer::Expired => Response::json(410, b"{}".to_vec()),
        Answer::Looked { .. } => Response::json(200, b"{}".to_vec()),
        Answer::Unknown => Response::json(500, b"{}".to_vec()),
        Answer::Busy => Response::json(503, b"{}".to_vec()).retry_after("0.2"),
    }
}

//! Calls of offices on their own routes, and of the operator on accounts. Each reads what is kept, lets the core judge
//! and writes over just what it read; who was overtaken begins anew.

use crate::asks::{Asked, Desk, Told, Untold};
use crate::control::{json, text};
use fallgap_chart::{Configuration, Faults, Route, read_configuration};
use fallgap_keeper::{Answer, Call};
use fallgap_licence as licence;
use fallgap_licence::{Carried, KeyHash, Ledger, Maker, Order, Plan, Step, UnreadableLedger};
use fallgap_pilot::Place;
use rouille::Response;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Others that come first are made good for so often.
const TRIES: usize = 5;
/// Until all supervisors have heard of a change, at the latest.
const SPREAD: Duration = Duration::from_millis(3000);
/// More places than that are told of by the areas that they lie in.
const PLACES: usize = 2000;

/// Why a call is not carried out.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum Refused {
    /// this key opens no such office
    Key,
    /// there is no configuration yet
    NoConfiguration,
    /// {0}
    Faults(Faults),
    /// {0}
    Change(licence::Refused),
    /// other content was taken under this number; edition {0} holds
    Differs(u64),
    /// {0}
    Unreadable(UnreadableLedger),
    /// {0}
    Untold(Untold),
    /// nothing was changed: too much comes at a time
    Busy,
    /// it may or may not have been done: read what is there before it is asked for again
    Unknown,
}

impl From<Faults> for Refused {
    fn from(faults: Faults) -> Refused {
        Refused::Faults(faults)
    }
}
impl From<UnreadableLedger> for Refused {
    fn from(e: UnreadableLedger) -> Refused {
        Refused::Unreadable(e)
    }
}
impl From<Untold> for Refused {
    fn from(e: Untold) -> Refused {
        Refused::Untold(e)
    }
}
impl From<licence::Refused> for Refused {
    fn from(e: licence::Refused) -> Refused {
        match e {
            licence::Refused::NoOffice => Refused::Key,
            licence::Refused::Faults(faults) => Refused::Faults(faults),
            other => Refused::Change(other),
        }
    }
}

impl Refused {
    pub fn response(&self) -> Response {
        let again = |response: Response, after: String| response.with_additional_header("Retry-After", after);
        match self {
            Refused::Key => text(403, self),
            Refused::Faults(_) => text(400, self),
            Refused::Change(licence::Refused::Stale { edition, changed }) => {
                json(409, licence::shown_stale(*edition, changed).into_bytes())
            }
            Refused::Change(licence::Refused::Often(after)) => {
                again(text(429, self), after.as_secs().to_string())
            }
            Refused::Change(_) => text(409, self),
            Refused::Differs(edition) => json(409, format!("{{\"edition\":{edition}}}").into_bytes()),
            Refused::Unreadable(_) | Refused::Unknown | Refused::Untold(Untold::Late) => text(500, self),
            Refused::NoConfiguration | Refused::Busy | Refused::Untold(Untold::Full) => {
                again(text(503, self), "0.2".into())
            }
        }
    }
}

/// What an office asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    Plan,
    Put,
    Undo,
}

impl Wanted {
    fn verb(self) -> &'static str {
        match self {
            Wanted::Plan => "plan",
            Wanted::Put => "put",
            Wanted::Undo => "undo",
        }
    }
}

/// Carries calls out.
pub struct Clerk<'a> {
    pub desk: &'a Desk,
    /// An answer of the control state is waited for so long.
    pub wait: Duration,
}

impl Clerk<'_> {
    /// What is kept of accounts; an empty one if there are none.
    fn ledger(&self) -> Result<Ledger, Refused> {
        match self.call(Call::AccountsGet)? {
            Answer::Config(body) => Ok(Ledger::decode(&body)?),
            Answer::Missing => Ok(Ledger::default()),
            answer => Err(unclear(&answer)),
        }
    }

    fn operator(&self) -> Result<Configuration, Refused> {
        match self.call(Call::ConfigGet)? {
            Answer::Config(body) => Ok(read_configuration(&body)?),
            Answer::Missing => Err(Refused::NoConfiguration),
            answer => Err(unclear(&answer)),
        }
    }

    fn call(&self, call: Call) -> Result<Answer, Refused> {
        match self.desk.ask(Asked::Call(call), self.wait)? {
            Told::Answer(answer) => Ok(answer),
            _ => Err(Refused::Unknown),
        }
    }

    /// For an office: all that it has.
    pub fn routes(&self, office: &str, key: &str) -> Result<Response, Refused> {
        let ledger = self.ledger()?;
        let (_, account, of) = opened(&ledger, office, key)?;
        let joined = licence::join(&self.operator()?, &ledger);
        Ok(json(200, licence::shown_office(office, account, of, &joined).into_bytes()))
    }

    /// For the operator: all accounts.
    pub fn accounts(&self) -> Result<Response, Refused> {
        let ledger = self.ledger()?;
        let joined = licence::join(&self.operator()?, &ledger);
        Ok(json(200, licence::shown_accounts(&ledger, &joined).into_bytes()))
    }

    /// An office changes its routes, or would.
    pub fn change(&self, office: &str, key: &str, wanted: Wanted, body: &[u8]) -> Result<Response, Refused> {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let shown: String = KeyHash::of(key).to_string().chars().take(8).collect();
        let idempotency_key = licence::idempotency_key(wanted.verb(), body);
        let maker = Maker { office, at, idempotency_key, key: shown };
        let mut doubt = false;
        for _ in 0..TRIES {
            let ledger = self.ledger()?;
            opened(&ledger, office, key)?;
            if let Some(again) = ledger.made_by(office, idempotency_key) {
                return Ok(self.spread(ledger.revision, again.edition, again.touched, again.places));
            }
            let operator = self.operator()?;
            let plan = match wanted {
                Wanted::Undo => licence::undo(&ledger, &operator, &maker, licence::read_base(body)?)?,
                Wanted::Plan | Wanted::Put => {
                    licence::plan(&ledger, &operator, &maker, &licence::read_change(body, &operator)?)?
                }
            };
            if wanted == Wanted::Plan {
                return Ok(json(200, licence::shown_plan(&plan).into_bytes()));
            }
            let Some(next) = &plan.next else {
                return Ok(json(200, format!("{{\"edition\":{},\"changed\":0}}", plan.base).into_bytes()));
            };
            match self.call(Call::AccountsPut { base: ledger.revision, body: next.encode() })? {
                Answer::Revision(revision) => {
                    return Ok(self.spread(revision, revision, plan.steps.len(), touched(&plan)));
                }
                Answer::Conflict { .. } => {}
                Answer::Unknown => doubt = true,
                answer => return Err(unclear(&answer)),
            }
        }
        Err(if doubt { Refused::Unknown } else { Refused::Busy })
    }

    /// The operator hands in an account.
    pub fn order(&self, account: &str, body: &[u8]) -> Result<Response, Refused> {
        let mut doubt = false;
        for _ in 0..TRIES {
            let ledger = self.ledger()?;
            let order = licence::read_order(account, body, &ledger)?;
            let edition = order.edition;
            let next = match order.carried_out(&ledger, account) {
                Carried::Out(next) => next,
                Carried::Again { touched } => {
                    let places = of_account(&ledger, account);
                    return Ok(self.spread(ledger.revision, edition, touched, places));
                }
                Carried::Overtaken { edition } => {
                    return Ok(json(200, format!("{{\"edition\":{edition},\"changed\":0}}").into_bytes()));
                }
                Carried::Differs { edition } => return Err(Refused::Differs(edition)),
            };
            Order::fits(&next)?;
            match self.call(Call::AccountsPut { base: ledger.revision, body: next.encode() })? {
                Answer::Revision(revision) => {
                    let touched = ledger.accounts.get(account).map_or(0, licence::Account::routes);
                    return Ok(self.spread(revision, edition, touched, of_account(&ledger, account)));
                }
                Answer::Conflict { .. } => {}
                Answer::Unknown => doubt = true,
                answer => return Err(unclear(&answer)),
            }
        }
        Err(if doubt { Refused::Unknown } else { Refused::Busy })
    }

    /// What is kept is brought to all supervisors; the answer says how far it has come.
    fn spread(&self, revision: u64, edition: u64, changed: usize, places: Vec<Place>) -> Response {
        let how = match self.desk.ask(Asked::Spread(revision, places), SPREAD) {
            Ok(Told::Spread(spreading)) => format!(
                ",\"in_force\":{},\"of\":{},\"first_s\":{:.6},\"last_s\":{:.6}",
                spreading.in_force,
                spreading.of,
                spreading.first.as_secs_f64(),
                spreading.last.as_secs_f64()
            ),
            _ => ",\"in_force\":null".to_owned(),
        };
        let body = format!("{{\"edition\":{edition},\"changed\":{changed}{how}}}");
        json(200, body.into_bytes())
    }
}

fn opened<'a>(
    ledger: &'a Ledger, office: &str, key: &str,
) -> Result<(&'a str, &'a licence::Account, &'a licence::Office), Refused> {
    let fits = ledger.opens(office, &KeyHash::of(key));
    ledger.office(office).filter(|_| fits).ok_or(Refused::Key)
}

/// What the control state says when it does not say what was asked.
fn unclear(answer: &Answer) -> Refused {
    match answer {
        Answer::Busy => Refused::Busy,
        _ => Refused::Unknown,
    }
}

fn place(route: &Route) -> Place {
    (route.depot.clone(), route.lane_prefix.clone())
}

fn touched(plan: &Plan) -> Vec<Place> {
    let of = |step: &Step| match step {
        Step::Add(route) | Step::Alter(route, _) | Step::Remove(route) => place(route),
    };
    plan.steps.iter().map(of).collect()
}

/// All places of an account's offices.
fn of_account(ledger: &Ledger, account: &str) -> Vec<Place> {
    let Some(held) = ledger.accounts.get(account) else { return Vec::new() };
    if held.routes() > PLACES {
        let areas = held.grant.areas.iter();
        return areas.map(|area| (area.depot.as_str().into(), area.prefix.as_str().into())).collect();
    }
    held.offices.values().flat_map(|office| office.routes.iter().map(place)).collect()
}

//! The last ops, for whoever asks what became of one. Records are of one size and their number is bounded; what is
//! written while an op is under way lies in the op itself, so nothing is allocated for it.

use fallgap_routing::{Ended, ServerKey, ServiceKey, TryOutcome, Why, try_word};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Tries of an op that are told of; further ones are counted only.
const TRIES: usize = 4;
/// Bytes of an id that are held. Longer ones are told apart by their length as well.
const ID: usize = 40;

/// How many ops are remembered. Those that ended by their first try go out the sooner: an op that met something is
/// asked about more often, and on a day of trouble the others must not push it out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pages {
    pub smooth: usize,
    pub rough: usize,
    /// Servers that are there no longer whose names are remembered.
    pub gone: usize,
}

/// One try, as it is written.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    server: ServerKey,
    /// Microseconds after the op came, and until its end.
    began: u32,
    took: u32,
    end: Option<(TryOutcome, Ended)>,
}

/// What is written while an op is under way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Draft {
    steps: [Step; TRIES],
    tries: u32,
    pub why: Why,
}

impl Draft {
    pub fn of(why: Why) -> Draft {
        Draft { why, ..Draft::default() }
    }

    /// A try has begun, so long after the op.
    pub fn began(&mut self, server: ServerKey, after: Duration) {
        if let Some(step) = self.steps.get_mut(self.tries as usize) {
            *step = Step { server, began: micros(after), took: 0, end: None };
        }
        self.tries += 1;
    }

    /// The newest try at a server that is under way has ended.
    pub fn ended(&mut self, server: ServerKey, after: Duration, outcome: TryOutcome, how: Ended) {
        let open = |step: &&mut Step| step.server == server && step.end.is_none();
        if let Some(step) = self.steps.iter_mut().rev().find(open) {
            step.took = micros(after).saturating_sub(step.began);
            step.end = Some((outcome, how));
        }
    }
}

fn micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}

struct Record {
    id: [u8; ID],
    id_bytes: u16,
    status: u16,
    came: Duration,
    took: u32,
    edition: u64,
    route: Option<Arc<str>>,
    service: Option<ServiceKey>,
    /// How old the table was when it ended; none: no home ever confirmed one.
    table: Option<Duration>,
    draft: Draft,
}

/// An op that is over, as it is to be remembered.
pub(crate) struct Over<'a> {
    pub id: &'a str,
    pub status: u16,
    pub came: Duration,
    pub edition: u64,
    pub route: Option<Arc<str>>,
    pub service: Option<ServiceKey>,
    pub draft: Draft,
}

/// An op as it is told of.
#[derive(Clone, Debug, PartialEq)]
pub struct Tale {
    pub id: String,
    /// 0: the client was gone.
    pub status: u16,
    pub why: Why,
    /// How long ago it came, and how long it took.
    pub ago: Duration,
    pub took: Duration,
    pub edition: u64,
    pub route: Option<Arc<str>>,
    pub service: Option<Arc<str>>,
    pub table_age: Option<Duration>,
    pub tries: Vec<TryTale>,
    /// Tries beyond those that are told of.
    pub more: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TryTale {
    pub server: Option<Arc<str>>,
    pub began: Duration,
    pub took: Duration,
    /// How it ended; none: the op was over before.
    pub end: &'static str,
}

pub(crate) struct Logbook {
    pages: Pages,
    smooth: VecDeque<Record>,
    rough: VecDeque<Record>,
    gone: VecDeque<(ServerKey, Arc<str>)>,
    /// When a home last confirmed the table.
    confirmed: Option<Duration>,
}

impl Logbook {
    pub fn new(pages: Pages) -> Logbook {
        let (smooth, rough) = (VecDeque::new(), VecDeque::new());
        Logbook { pages, smooth, rough, gone: VecDeque::new(), confirmed: None }
    }

    pub fn confirmed(&mut self, at: Option<Duration>) {
        self.confirmed = at;
    }

    /// A server is there no longer.
    pub fn server_gone(&mut self, key: ServerKey, id: Arc<str>) {
        if self.gone.len() >= self.pages.gone {
            self.gone.pop_front();
        }
        self.gone.push_back((key, id));
    }

    pub fn over(&mut self, now: Duration, over: Over<'_>) {
        let mut id = [0; ID];
        let held = over.id.len().min(ID);
        if let (Some(to), Some(from)) = (id.get_mut(..held), over.id.as_bytes().get(..held)) {
            to.copy_from_slice(from);
        }
        let smooth = over.draft.why == Why::Answered && over.draft.tries == 1 && over.status < 500;
        let (ring, most) =
            if smooth { (&mut self.smooth, self.pages.smooth) } else { (&mut self.rough, self.pages.rough) };
        if ring.len() >= most {
            ring.pop_front();
        }
        if most > 0 {
            ring.push_back(Record {
                id,
                id_bytes: u16::try_from(over.id.len()).unwrap_or(u16::MAX),
                status: over.status,
                came: over.came,
                took: micros(now.saturating_sub(over.came)),
                edition: over.edition,
                route: over.route,
                service: over.service,
                table: self.confirmed.map(|at| now.saturating_sub(at)),
                draft: over.draft,
            });
        }
    }

    /// All that is remembered of an id, the newest last; `None`: the newest that met something.
    pub fn find(
        &self, now: Duration, id: Option<&str>, most: usize,
        service: impl Fn(ServiceKey) -> Option<Arc<str>>, server: impl Fn(ServerKey) -> Option<Arc<str>>,
    ) -> Vec<Tale> {
        let named = |record: &&Record| id.is_none_or(|id| record.is(id));
        let mut found: Vec<&Record> = self.rough.iter().rev().filter(named).take(most).collect();
        if id.is_some() {
            found.extend(self.smooth.iter().rev().filter(named).take(most));
        }
        found.sort_by_key(|record| record.came);
        let gone = |key| self.gone.iter().find(|(gone, _)| *gone == key).map(|(_, id)| id.clone());
        let server = |key| server(key).or_else(|| gone(key));
        let later = found.len().saturating_sub(most);
        found.into_iter().skip(later).map(|record| record.tale(now, &service, &server)).collect()
    }
}

impl Record {
    fn is(&self, id: &str) -> bool {
        let held = id.as_bytes().get(..id.len().min(ID));
        usize::from(self.id_bytes) == id.len().min(usize::from(u16::MAX))
            && self.id.get(..id.len().min(ID)) == held
    }

    fn tale(
        &self, now: Duration, service: &impl Fn(ServiceKey) -> Option<Arc<str>>,
        server: &impl Fn(ServerKey) -> Option<Arc<str>>,
    ) -> Tale {
        let held = self.id.get(..usize::from(self.id_bytes).min(ID)).unwrap_or_default();
        let us = |time: u32| Duration::from_micros(u64::from(time));
        let steps = self.draft.steps.iter().take(self.draft.tries as usize);
        let tries = steps.map(|step| TryTale {
            server: server(step.server),
            began: us(step.began),
            took: us(step.took),
            end: step.end.map_or("left", |(outcome, how)| try_word(outcome, how)),
        });
        Tale {
            id: String::from_utf8_lossy(held).into_owned(),
            status: self.status,
            why: self.draft.why,
            ago: now.saturating_sub(self.came),
            took: us(self.took),
            edition: self.edition,
            route: self.route.clone(),
            service: self.service.and_then(service),
            table_age: self.table,
            tries: tries.collect(),
            more: self.draft.tries.saturating_sub(TRIES as u32),
        }
    }
}

#[cfg(test)]
#[path = "../tests/inner/logbook.rs"]
mod tests;

//! What servers truly did to each op.

use crate::frames::{Request, Tried};
use std::collections::BTreeMap;
use std::time::Duration;

/// What became of a try at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Did {
    Ran,
    /// A repeat of what it had done: answered, and not run again.
    Dropped,
    TurnedAway,
    Aborted,
    /// Taken and lost: it hung, or crashed.
    Lost,
}

/// One try at one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    pub request: Request,
    pub arrival: Duration,
    /// When it began to run and when it had run; as planned, and as it was where it did.
    pub start: Duration,
    pub end: Duration,
    pub did: Did,
    /// When its answer left, if it did.
    pub answered: Option<Duration>,
}

/// All tries at one server, in the order of their arrival; those over the bound are counted only.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    pub served: Vec<Served>,
    pub over: u64,
}

const MOST_SERVED: usize = 4_000_000;

impl Truth {
    /// The place of the entry, for its answer.
    pub fn note(&mut self, served: Served) -> Option<usize> {
        if self.served.len() >= MOST_SERVED {
            self.over += 1;
            return None;
        }
        self.served.push(served);
        Some(self.served.len() - 1)
    }
    pub fn answered(&mut self, place: Option<usize>, at: Duration) {
        if let Some(served) = place.and_then(|place| self.served.get_mut(place)) {
            served.answered = Some(at);
        }
    }
}

/// Which ops took effect, and where.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// By key and op: the try and the server of each effect.
    by_key: BTreeMap<(u64, u64), Vec<(u8, String)>>,
}

/// An op that must not take effect twice, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubled {
    pub id: u64,
    pub key: u64,
    pub tries: Vec<u8>,
    pub servers: Vec<String>,
}

impl Effects {
    /// All that ran at a server. Retryable ops have no effect worth counting.
    pub fn take(&mut self, server: &str, truth: &Truth) {
        for served in truth.served.iter().filter(|s| s.did == Did::Ran) {
            let Request { id, key, tries, repeats, .. } = served.request;
            if repeats != Tried::Retryable {
                self.by_key.entry((key, id)).or_default().push((tries, server.to_owned()));
            }
        }
    }
    pub fn doubled(&self) -> Vec<Doubled> {
        let twice = self.by_key.iter().filter(|(_, effects)| effects.len() > 1);
        let named = twice.map(|((key, id), effects)| Doubled {
            id: *id,
            key: *key,
            tries: effects.iter().map(|(tries, _)| *tries).collect(),
            servers: effects.iter().map(|(_, server)| server.clone()).collect(),
        });
        named.collect()
    }
    pub fn count(&self) -> usize {
        self.by_key.len()
    }
}

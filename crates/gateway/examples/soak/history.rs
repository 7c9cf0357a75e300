//! What servers, clients, callers and the operator saw, and what of it may not be.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    Safe,
    Fragile,
    Registered,
}

impl Class {
    pub const ALL: [Class; 3] = [Class::Safe, Class::Fragile, Class::Registered];

    pub fn prefix(self) -> &'static str {
        match self {
            Class::Safe => "/safe/",
            Class::Fragile => "/fragile/",
            Class::Registered => "/order/",
        }
    }

    pub fn of_path(path: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| path.starts_with(class.prefix()))
    }
}

#[derive(Default)]
struct Seen {
    /// Runs of each request, and of each operation with the request that ran it.
    runs: HashMap<String, u32>,
    operations: HashMap<String, Vec<String>>,
    classes: HashMap<String, Class>,
    /// Requests that were told that they have not run and never will.
    promised: Vec<String>,
    /// Revisions of acknowledged puts, by group and revision.
    revisions: HashMap<(String, u64), String>,
    number: u64,
    lock: Option<Hold>,
    edition: u64,
    counts: HashMap<&'static str, u64>,
    breaches: Vec<String>,
}

struct Hold {
    holder: String,
    fence: u64,
    until: Instant,
}

/// All of it, from all threads.
#[derive(Default)]
pub struct History(Mutex<Seen>);

impl History {
    fn with<T>(&self, does: impl FnOnce(&mut Seen) -> T) -> T {
        match self.0.lock() {
            Ok(mut seen) => does(&mut seen),
            Err(poisoned) => does(&mut poisoned.into_inner()),
        }
    }

    pub fn count(&self, what: &'static str) {
        self.with(|seen| *seen.counts.entry(what).or_default() += 1);
    }

    pub fn breach(&self, what: String) {
        self.with(|seen| seen.breaches.push(what));
    }

    /// A server runs a request.
    pub fn runs(&self, id: &str, class: Class, operation: Option<&str>) {
        self.with(|seen| {
            *seen.runs.entry(id.to_owned()).or_default() += 1;
            seen.classes.insert(id.to_owned(), class);
            if let Some(operation) = operation {
                seen.operations.entry(operation.to_owned()).or_default().push(id.to_owned());
            }
        });
    }

    /// A client has an answer: a good one names the request that ran.
    pub fn answered(&self, id: &str, operation: Option<&str>, status: u16, body: &str) {
        self.with(|seen| match status {
            200 => {
                *seen.counts.entry("served").or_default() += 1;
                let ran = body.strip_prefix("ran ").unwrap_or_default();
                let runs = operation.and_then(|operation| seen.operations.get(operation));
                let own = if operation.is_some() {
                    runs.is_some_and(|runs| runs.iter().any(|r| r == ran))
                } else {
                    ran == id
                };
                if !own {
                    seen.breaches.push(format!("MIXED: {id} got the answer of {ran:?}"));
                }
            }
            503 | 429 | 408 | 421 => seen.promised.push(id.to_owned()),
            _ => *seen.counts.entry("not served").or_default() += 1,
        });
    }

    /// A put is acknowledged.
    pub fn put(&self, group: &str, value: &str, revision: u64) {
        self.with(|seen| {
            *seen.counts.entry("puts").or_default() += 1;
            let before = seen.revisions.insert((group.to_owned(), revision), value.to_owned());
            if let Some(before) = before.filter(|before| before != value) {
                seen.breaches
                    .push(format!("LOST: revision {revision} of {group} is of {before} and of {value}"));
            }
        });
    }

    /// The highest number that was given by now.
    pub fn highest_number(&self) -> u64 {
        self.with(|seen| seen.number)
    }

    /// A number is given; `before`: the highest when it was asked for.
    pub fn number(&self, before: u64, value: u64) {
        self.with(|seen| {
            *seen.counts.entry("numbers").or_default() += 1;
            if value <= before {
                seen.breaches.push(format!("NUMBER: {value} behind {before}"));
            }
            seen.number = seen.number.max(value);
        });
    }

    /// A lock was got by a call that was sent at that time.
    pub fn locked(&self, holder: &str, fence: u64, sent: Instant, hold: Duration) {
        self.with(|seen| {
            *seen.counts.entry("locks").or_default() += 1;
            if let Some(held) = &seen.lock {
                let other = held.holder != holder;
                if other && Instant::now() < held.until {
                    seen.breaches.push(format!("LOCK: {holder} has it while {} holds it", held.holder));
                }
                if other && fence <= held.fence {
                    seen.breaches.push(format!("FENCE: {fence} behind {}", held.fence));
                }
            }
            let fence = seen.lock.as_ref().map_or(fence, |held| held.fence.max(fence));
            seen.lock = Some(Hold { holder: holder.to_owned(), fence, until: sent + hold });
        });
    }

    /// Whoever holds the lock counts itself as holder no more, from before it says so.
    pub fn unlocks(&self, holder: &str) {
        self.with(|seen| {
            if let Some(held) = seen.lock.as_mut().filter(|held| held.holder == holder) {
                held.until = Instant::now();
            }
        });
    }

    /// An edition is acknowledged.
    pub fn edition(&self, edition: u64) {
        self.with(|seen| {
            *seen.counts.entry("editions").or_default() += 1;
            seen.edition = seen.edition.max(edition);
        });
    }

    pub fn newest_edition(&self) -> u64 {
        self.with(|seen| seen.edition)
    }

    /// What may not be, once all is over.
    pub fn breaches(&self) -> Vec<String> {
        self.with(|seen| {
            let mut breaches = seen.breaches.clone();
            for (id, runs) in seen.runs.iter().filter(|(_, runs)| **runs > 1) {
                if seen.classes.get(id) != Some(&Class::Safe) {
                    breaches.push(format!("TWICE: {id} ran {runs} times"));
                }
            }
            for (operation, runs) in seen.operations.iter().filter(|(_, runs)| runs.len() > 1) {
                breaches.push(format!("TWICE: {operation} ran for {runs:?}"));
            }
            let ran = |id: &&String| seen.runs.contains_key(*id);
            breaches.extend(seen.promised.iter().filter(ran).map(|id| format!("PROMISE: {id} ran")));
            breaches
        })
    }

    pub fn summary(&self) -> String {
        self.with(|seen| {
            let mut counts: Vec<String> =
                seen.counts.iter().map(|(what, count)| format!("{what} {count}")).collect();
            counts.push(format!("promised {}", seen.promised.len()));
            counts.sort();
            counts.join(", ")
        })
    }
}

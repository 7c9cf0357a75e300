//! Watches that wait for news of their group.

use std::time::Duration;

use crate::pen::Pen;
use crate::subjects::events_after;
use crate::types::{Answer, Key};

#[derive(Clone, Debug, Hash)]
struct Parked {
    id: u64,
    group: String,
    after: u64,
    until: Duration,
}

#[derive(Clone, Debug, Hash, Default)]
pub(crate) struct Watches {
    parked: Vec<Parked>,
    soonest: Option<Duration>,
}

impl Watches {
    pub fn len(&self) -> usize {
        self.parked.len()
    }

    pub fn next_wake(&self) -> Option<Duration> {
        self.soonest
    }

    /// The groups that somebody waits for, each once.
    pub fn groups(&self) -> Vec<String> {
        let mut groups: Vec<String> = self.parked.iter().map(|parked| parked.group.clone()).collect();
        groups.sort();
        groups.dedup();
        groups
    }

    /// A watch that has seen the present: answers it, or lets it wait.
    pub fn admit(
        &mut self, now: Duration, id: u64, group: &str, after: u64, until: Duration, held: Option<&[u8]>,
        pen: &mut Pen,
    ) {
        if let Some(answer) = events_after(held, after) {
            return pen.answer(id, answer);
        }
        if now >= until {
            return pen.answer(id, nothing(after));
        }
        self.parked.push(Parked { id, group: group.to_owned(), after, until });
        self.soonest = Some(self.soonest.map_or(until, |soonest| soonest.min(until)));
    }

    /// A group's value was committed.
    pub fn news(&mut self, key: &Key, held: &[u8], pen: &mut Pen) {
        let Key::Group(group) = key else { return };
        let before = self.parked.len();
        self.parked.retain(|parked| {
            let answer = (parked.group == *group).then(|| events_after(Some(held), parked.after)).flatten();
            match answer {
                Some(answer) => {
                    pen.answer(parked.id, answer);
                    false
                }
                None => true,
            }
        });
        self.count(before);
    }

    /// Answers those whose time is over.
    pub fn woke(&mut self, now: Duration, pen: &mut Pen) {
        if self.soonest.is_none_or(|soonest| now < soonest) {
            return;
        }
        let before = self.parked.len();
        self.parked.retain(|parked| {
            if now >= parked.until {
                pen.answer(parked.id, nothing(parked.after));
            }
            now < parked.until
        });
        self.count(before);
    }

    /// Nobody waits for one any more.
    pub fn withdraw(&mut self, id: u64) {
        let before = self.parked.len();
        self.parked.retain(|parked| parked.id != id);
        self.count(before);
    }

    fn count(&mut self, before: usize) {
        if self.parked.len() != before {
            self.soonest = self.parked.iter().map(|parked| parked.until).min();
        }
    }
}

fn nothing(after: u64) -> Answer {
    Answer::Events { events: Vec::new(), revision: after }
}

//! Watches that wait for news of their group.

use std::time::Duration;

use crate::pen::Pen;
use crate::subjects::{News, PastValues, events_after};
use crate::types::{Answer, Key};

/// A watch as it comes.
pub(crate) struct Watch<'a> {
    pub id: u64,
    pub group: &'a str,
    pub after: u64,
    pub until: Duration,
}

#[derive(Clone, Debug, Hash)]
struct Parked {
    id: u64,
    group: String,
    after: u64,
    until: Duration,
    /// Values of its puts are with other members, and it was told to wait for them until then at most.
    lacks: Option<Duration>,
}

impl Parked {
    /// When it is answered, whatever comes.
    fn end(&self) -> Duration {
        self.lacks.unwrap_or(self.until)
    }
}

#[derive(Clone, Debug, Hash, Default)]
pub(crate) struct Watches {
    parked: Vec<Parked>,
    soonest: Option<Duration>,
    /// How long a watch waits for values that others have.
    past_wait: Duration,
}

impl Watches {
    pub fn new(past_wait: Duration) -> Watches {
        Watches { past_wait, ..Watches::default() }
    }

    pub fn len(&self) -> usize {
        self.parked.len()
    }

    pub fn next_wake(&self) -> Option<Duration> {
        self.soonest
    }

    /// The groups that somebody waits for, each once.
    pub fn groups(&self) -> Vec<String> {
        each_once(self.parked.iter())
    }

    /// Revisions whose values the watches of a group wait for.
    pub fn lacking(&self, key: &Key, held: &[u8], past: &PastValues) -> Vec<u64> {
        let Key::Group(group) = key else { return Vec::new() };
        let waits = self.parked.iter().filter(|parked| parked.lacks.is_some() && parked.group == *group);
        match waits.map(|parked| parked.after).min().map(|after| events_after(Some(held), after, past)) {
            Some(News::Lacking(revisions)) => revisions,
            _ => Vec::new(),
        }
    }

    /// Groups whose watches wait for values.
    pub fn lacking_groups(&self) -> Vec<String> {
        each_once(self.parked.iter().filter(|parked| parked.lacks.is_some()))
    }

    /// Whether any watch waits for values.
    pub fn lacks(&self) -> bool {
        self.parked.iter().any(|parked| parked.lacks.is_some())
    }

    /// A watch that has seen the present: answers it, or lets it wait.
    pub fn admit(
        &mut self, now: Duration, watch: Watch, held: Option<&[u8]>, past: &PastValues, pen: &mut Pen,
    ) {
        let Watch { id, group, after, until } = watch;
        let lacks = match events_after(held, after, past) {
            News::Told(answer) => return pen.answer(id, answer),
            News::Nothing if now >= until => return pen.answer(id, nothing(after)),
            News::Nothing => None,
            News::Lacking(_) => Some(now + self.past_wait),
        };
        let parked = Parked { id, group: group.to_owned(), after, until, lacks };
        let end = parked.end();
        self.parked.push(parked);
        self.soonest = Some(self.soonest.map_or(end, |soonest| soonest.min(end)));
    }

    /// A group's value was committed, or values of its past puts have come.
    pub fn news(&mut self, now: Duration, key: &Key, held: &[u8], past: &PastValues, pen: &mut Pen) {
        let Key::Group(group) = key else { return };
        let before = self.parked.len();
        let until = now + self.past_wait;
        let mut lacks = false;
        self.parked.retain_mut(|parked| {
            if parked.group != *group {
                return true;
            }
            match events_after(Some(held), parked.after, past) {
                News::Told(answer) => {
                    pen.answer(parked.id, answer);
                    return false;
                }
                News::Nothing => {}
                News::Lacking(_) => {
                    lacks |= parked.lacks.is_none();
                    parked.lacks.get_or_insert(until);
                }
            }
            true
        });
        if lacks {
            self.soonest = self.parked.iter().map(Parked::end).min();
        }
        self.count(before);
    }

    /// Answers those whose time is over.
    pub fn woke(&mut self, now: Duration, pen: &mut Pen) {
        if self.soonest.is_none_or(|soonest| now < soonest) {
            return;
        }
        let before = self.parked.len();
        self.parked.retain(|parked| {
            if now >= parked.end() {
                let over = if parked.lacks.is_some() { Answer::Busy } else { nothing(parked.after) };
                pen.answer(parked.id, over);
            }
            now < parked.end()
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
            self.soonest = self.parked.iter().map(Parked::end).min();
        }
    }
}

fn each_once<'a>(watches: impl Iterator<Item = &'a Parked>) -> Vec<String> {
    let mut groups: Vec<String> = watches.map(|parked| parked.group.clone()).collect();
    groups.sort();
    groups.dedup();
    groups
}

fn nothing(after: u64) -> Answer {
    Answer::Events { events: Vec::new(), revision: after }
}

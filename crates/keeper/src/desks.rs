//! All desks, and the answers to those who wait there.

use std::time::Duration;

use crate::desk::{Asker, Desk, Entry, Stage};
use crate::fault::{self, Fault};
use crate::keeper::Keeper;
use crate::types::{Answer, Key};

impl Keeper {
    pub(crate) fn take_desk(&mut self, key: &Key) -> Desk {
        self.desks.remove(key).unwrap_or_else(Desk::new)
    }

    pub(crate) fn put_desk(&mut self, key: Key, desk: Desk) {
        if !desk.is_idle() {
            self.active.insert(key.clone());
            self.desks.insert(key, desk);
            return;
        }
        self.active.remove(&key);
        if desk.ready.is_some() {
            if self.desks.len() >= self.terms.remembered {
                self.desks.retain(|_, desk| !desk.is_idle());
            }
            self.desks.insert(key, desk);
        }
    }

    pub(crate) fn tell(&mut self, entry: &Entry, answer: Answer) {
        if let Asker::Caller(id) = entry.asker {
            self.calls = self.calls.saturating_sub(1);
            self.pen.answer(id, answer);
        }
    }

    /// Nothing is known of the effect of what was sent; the rest never happens.
    pub(crate) fn give_up(&mut self, entry: &Entry) {
        let unclear = entry.sent && !fault::is(Fault::UnclearIsBusy);
        self.tell(entry, if unclear { Answer::Unknown } else { Answer::Busy });
    }

    pub(crate) fn refuse_all(&mut self, desk: &mut Desk) {
        for entry in desk.batch.drain(..).chain(desk.waiting.drain(..)) {
            self.give_up(&entry);
        }
        desk.ready = None;
        desk.enter(Stage::Idle);
    }

    /// Answers the calls whose time is over.
    pub(crate) fn expire(&mut self, now: Duration, desk: &mut Desk) {
        let over = |entry: &Entry| now >= entry.came + self.terms.call;
        let mut gone = Vec::new();
        while desk.waiting.front().is_some_and(over) {
            gone.extend(desk.waiting.pop_front());
        }
        let mut at = 0;
        while let Some(entry) = desk.batch.get(at) {
            if !over(entry) {
                at += 1;
                continue;
            }
            gone.push(desk.batch.remove(at));
            if let Stage::Accepting(push) = &mut desk.stage {
                push.answers.remove(at);
            }
        }
        for entry in gone {
            self.give_up(&entry);
        }
    }
}

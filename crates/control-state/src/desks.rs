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
        let most = self.terms.call;
        let over = |entry: &Entry| now >= entry.came + most;
        while let Some(entry) = desk.waiting.pop_front_if(|entry| over(entry)) {
            self.give_up(&entry);
        }
        self.give_up_batch(desk, over);
    }

    fn give_up_batch(&mut self, desk: &mut Desk, over: impl Fn(&Entry) -> bool) {
        let mut at = 0;
        while let Some(entry) = desk.batch.get(at) {
            if !over(entry) {
                at += 1;
                continue;
            }
            let entry = desk.batch.remove(at);
            if let Stage::Accepting(push) = &mut desk.stage {
                push.answers.remove(at);
            }
            self.give_up(&entry);
        }
    }

    /// Nobody waits for a call any more: what of it has not been sent out never happens. Without this a keeper that
    /// was slow with a call would carry it out after another had, and its caller gone on by then: a lock would be
    /// taken for one that knows nothing of it.
    pub fn withdraw(&mut self, now: Duration, id: u64, key: &Key) {
        if fault::is(Fault::WithdrawalIgnored) {
            return;
        }
        self.clock = now;
        self.watches.withdraw(id);
        if !self.active.contains(key) {
            return;
        }
        let mut desk = self.take_desk(key);
        let asked = |entry: &Entry| entry.asker == Asker::Caller(id);
        if let Some(entry) = desk.waiting.iter().position(asked).and_then(|at| desk.waiting.remove(at)) {
            self.give_up(&entry);
        }
        self.give_up_batch(&mut desk, asked);
        if desk.batch.is_empty() && !desk.is_idle() {
            desk.ready = None;
            self.begin_anew(now, key, &mut desk);
        }
        self.put_desk(key.clone(), desk);
        self.drain(now);
    }
}

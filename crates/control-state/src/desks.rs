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
        self.tell_asker(entry.asker, answer);
    }

    fn tell_asker(&mut self, asker: Asker, answer: Answer) {
        if let Asker::Caller(id) = asker {
            self.calls = self.calls.saturating_sub(1);
            self.pen.answer(id, answer);
        }
    }

    /// Nothing is known of the effect of what was sent; the rest never happens.
    pub(crate) fn give_up(&mut self, entry: &Entry) {
        let unclear = entry.sent && !fault::is(Fault::UnclearIsBusy);
        self.tell(entry, if unclear { Answer::Unknown } else { Answer::Busy });
    }

    /// Nobody waits for what goes on at this desk, and nothing of it is worth keeping.
    pub(crate) fn is_left(&self, now: Duration, desk: &Desk) -> bool {
        let goes_on = desk.goes_on(now, self.goes_on_for(now)) && !fault::is(Fault::AttemptThrownAway);
        desk.batch.is_empty() && !desk.is_idle() && !goes_on
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
        self.end(now, desk, |entry| now >= entry.until);
    }

    /// Nobody waits for these calls any more. Those that may be carried out all the same go on; the others are given up.
    fn end(&mut self, now: Duration, desk: &mut Desk, over: impl Fn(&Entry) -> bool) {
        if !desk.entries().any(&over) {
            return;
        }
        let mut room = self.terms.gone_bytes.saturating_sub(desk.gone_bytes());
        let until = now + self.terms.decision;
        let is_sent = matches!(desk.stage, Stage::Accepting(_));
        let mut gone = Vec::new();
        for entry in desk.entries_mut().filter(|entry| over(entry)) {
            let wanted =
                entry.call.outlives_caller() || (is_sent && entry.sent && entry.call.may_be_joined());
            let wanted = wanted && !fault::is(Fault::AttemptThrownAway);
            if wanted && !entry.is_gone() && entry.call.bytes() <= room {
                room -= entry.call.bytes();
                gone.push(entry.asker);
                (entry.asker, entry.until) = (Asker::Gone, until);
            }
        }
        // They may take effect yet.
        gone.into_iter().for_each(|asker| self.tell_asker(asker, Answer::Unknown));
        let mut at = 0;
        while let Some(entry) = desk.waiting.get(at) {
            if !over(entry) {
                at += 1;
            } else if let Some(entry) = desk.waiting.remove(at) {
                self.give_up(&entry);
            }
        }
        self.give_up_batch(desk, over);
    }

    /// The attempt was lost: of the calls that nobody waits for only those are tried again that outlive their callers.
    pub(crate) fn drop_gone(desk: &mut Desk) {
        desk.batch.retain(|entry| !entry.is_gone() || entry.call.outlives_caller());
    }

    /// The same call is carried out here though its caller has gone: it is this caller's from now on.
    pub(crate) fn join(desk: &mut Desk, entry: &Entry) -> bool {
        let same = |other: &&mut Entry| {
            other.is_gone() && (other.call == entry.call || fault::is(Fault::JoinsOther))
        };
        let Some(other) = desk.entries_mut().find(same) else { return false };
        (other.asker, other.until) = (entry.asker, entry.until);
        true
    }

    /// Room for one more that waits, if need be in the place of one for which nobody does.
    pub(crate) fn has_room(&self, desk: &mut Desk) -> bool {
        if desk.waiting.len() < self.terms.waiting {
            return true;
        }
        let gone = desk.waiting.iter().position(Entry::is_gone);
        gone.and_then(|at| desk.waiting.remove(at)).is_some()
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

    /// Nobody waits for a call any more: what of it has not been sent out never happens, unless the call outlives its caller
    /// ([`Call::outlives_caller`](crate::Call)). Without this a keeper that
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
        self.end(now, &mut desk, |entry| entry.asker == Asker::Caller(id));
        if self.is_left(now, &desk) {
            desk.ready = None;
            self.begin_anew(now, key, &mut desk);
        }
        self.put_desk(key.clone(), desk);
        self.drain(now);
    }
}

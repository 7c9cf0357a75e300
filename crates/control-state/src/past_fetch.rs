//! Values of overwritten puts that this member has missed are asked for: for watches that wait for them at once, and for the next loss of
//! a disk in its own time.

use std::time::Duration;

use crate::keeper::Keeper;
use crate::messages::Message;
use crate::types::{Call, Key, NodeId, group_of};

/// When others are asked, and whose turn it is.
#[derive(Clone, Debug, Hash)]
pub(crate) struct PastFetch {
    /// For watches, and for what this disk lacks.
    again: Duration,
    repair: Duration,
    turn: usize,
}

impl PastFetch {
    pub fn new(now: Duration) -> PastFetch {
        PastFetch { again: now, repair: now, turn: 0 }
    }
}

impl Keeper {
    /// Whether the group that a put would go to has as many past values as it may.
    pub(crate) fn is_past_full(&self, call: &Call) -> bool {
        let Call::CellPut { name, value, .. } = call else { return false };
        self.acceptor.past().bytes_of(group_of(name)) + value.len() > self.terms.past
    }

    /// Asks for the values that watches of a group wait for, unless others were asked a moment ago: values are committed more often
    /// than answers come.
    pub(crate) fn want_past_soon(&mut self, now: Duration, key: &Key) {
        if now >= self.past_fetch.again {
            self.want_past(now, key);
        }
    }

    /// Asks this disk, which may have them in a group's value of its own, and one other member, each time the next.
    fn want_past(&mut self, now: Duration, key: &Key) {
        let Some((_, shown)) = self.shown.get(key) else { return };
        let revisions = self.watches.lacking(key, shown.bytes(), self.acceptor.past());
        if revisions.is_empty() {
            return;
        }
        self.past_fetch.again = now + self.terms.resend;
        let whom = [Some(self.me.node), self.next_asked()];
        for node in whom.into_iter().flatten() {
            self.ask_past(node, key, revisions.iter().copied());
        }
    }

    fn ask_past(&mut self, node: NodeId, key: &Key, revisions: impl Iterator<Item = u64>) {
        let revisions = revisions.take(self.terms.past_wanted).collect();
        self.pen.send(node, Message::PastWanted { key: key.clone(), revisions });
    }

    /// Another member, each time the next.
    fn next_asked(&mut self) -> Option<NodeId> {
        self.past_fetch.turn = self.past_fetch.turn.wrapping_add(1);
        let mut others = self.electors();
        others.retain(|node| *node != self.me.node);
        others.get(self.past_fetch.turn.checked_rem(others.len())?).copied()
    }

    pub(crate) fn past_wake(&self) -> Option<Duration> {
        let repairs = self.acceptor.past().lacking().next().map(|_| self.past_fetch.repair);
        let watches = self.watches.lacks().then_some(self.past_fetch.again);
        repairs.into_iter().chain(watches).min()
    }

    pub(crate) fn past_woke(&mut self, now: Duration) {
        if now >= self.past_fetch.again {
            // Also where there is nothing to ask for: a watch may wait for what this disk has accepted meanwhile.
            self.past_fetch.again = now + self.terms.resend;
            for group in self.watches.lacking_groups() {
                self.want_past(now, &Key::Group(group));
            }
        }
        if now < self.past_fetch.repair {
            return;
        }
        self.past_fetch.repair = now + self.terms.poll;
        let wanted = self.terms.past_wanted;
        let lacking = self.acceptor.past().lacking();
        let lacking: Vec<(Key, Vec<u64>)> = lacking
            .map(|(group, revisions)| (Key::Group(group.to_owned()), revisions.take(wanted).collect()))
            .collect();
        for (key, revisions) in lacking {
            if let Some(node) = self.next_asked() {
                self.ask_past(node, &key, revisions.into_iter());
            }
        }
    }

    /// Another member, or this one, lacks values. They are known by their digests, so nothing depends on who gives them.
    pub(crate) fn past_wanted(&mut self, from: NodeId, key: Key, revisions: &[u64]) {
        if !self.is_in(from) {
            return;
        }
        let values = self.acceptor.give_past(&key, revisions, self.terms.past_given);
        if !values.is_empty() {
            self.pen.send(from, Message::PastGiven { key, values });
        }
    }

    pub(crate) fn past_given(&mut self, now: Duration, from: NodeId, key: Key, values: Vec<(u64, String)>) {
        if !self.is_in(from) {
            return;
        }
        let shown = self.shown.get(&key).map(|(_, value)| value.clone());
        let is_new = self.acceptor.add_past(&key, shown.as_ref(), values, &mut self.pen);
        if let Some(shown) = shown.filter(|_| is_new) {
            self.watches.news(now, &key, shown.bytes(), self.acceptor.past(), &mut self.pen);
            self.want_past(now, &key);
        }
    }
}

//! What was committed, as this node hears of it: by its own attempts, by hints, or by reading now and then.

use std::time::Duration;

use crate::ballot::Ballot;

use crate::keeper::Keeper;
use crate::messages::Message;
use crate::types::{Call, Key, NodeId};
use crate::value::Value;

/// Whether somebody waits for what becomes committed of a register.
fn is_shown(key: &Key) -> bool {
    matches!(key, Key::Config | Key::Accounts | Key::ServerEnds | Key::Group(_))
}

impl Keeper {
    /// Reads what others may have committed without a hint that reached this node.
    pub(crate) fn poll(&mut self, now: Duration) {
        if now < self.poll_at {
            return;
        }
        self.poll_at = now + self.terms.poll;
        self.polled = self.is_settled(now);
        if !self.polled {
            return;
        }
        let mut calls = vec![Call::ConfigGet];
        // Without accounts, and without an ended server, nothing is asked.
        calls.extend(self.acceptor.get(&Key::Accounts).map(|_| Call::AccountsGet));
        calls.extend(self.acceptor.get(&Key::ServerEnds).map(|_| Call::ServerEndsGet));
        let groups = self.watches.groups();
        calls.extend(groups.into_iter().map(|group| Call::Watch { group, after: 0, wait: Duration::ZERO }));
        for call in calls {
            if !self.active.contains(&call.key()) {
                self.admit(now, self.own_entry(now, call));
            }
        }
    }

    /// A majority is known to have accepted this value.
    pub(crate) fn learn(&mut self, now: Duration, key: &Key, ballot: Ballot, value: &Value) {
        self.acceptor.commit(key, ballot);
        if !is_shown(key) {
            return;
        }
        match self.shown.get_mut(key) {
            Some((shown, _)) if *shown >= ballot => return,
            Some((shown, before)) if *before == *value => {
                *shown = ballot;
                return;
            }
            _ => {}
        }
        self.shown.insert(key.clone(), (ballot, value.clone()));
        self.watches.news(now, key, value.bytes(), self.acceptor.past(), &mut self.pen);
        self.want_past_soon(now, key);
        self.pen.committed(key.clone(), value);
    }

    /// Tells the other members that a value was committed, where somebody waits for it.
    pub(crate) fn hint(&mut self, key: &Key, ballot: Ballot) {
        if !is_shown(key) {
            return;
        }
        for node in self.members() {
            if node != self.me.node {
                self.pen.send(node, Message::Committed { key: key.clone(), ballot });
            }
        }
    }

    pub(crate) fn hinted(&mut self, now: Duration, from: NodeId, key: Key, ballot: Ballot) {
        if self.acceptor.commit(&key, ballot) {
            if let Some(given) = self.acceptor.give(&key) {
                self.learn(now, &key, ballot, &given.value);
            }
            return;
        }
        let ours = self.acceptor.get(&key).and_then(|register| register.ballot());
        if ours < Some(ballot)
            && let Some(epoch) = self.member_epoch()
        {
            self.pen.send(from, Message::Want { epoch, keys: vec![key] });
        }
    }
}

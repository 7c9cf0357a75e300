//! Repair: what a member missed is handed over once it is there, and two members at a time compare all they hold.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ballot::Ballot;
use crate::desk::Known;
use crate::fault::{self, Fault};
use crate::floor::{Floor, NEVER};
use crate::keeper::Keeper;
use crate::messages::{Given, Message};
use crate::types::{Call, Key, NodeId};

/// A page of what a member holds.
pub(crate) struct Page {
    pub parts: u64,
    pub after: Option<Key>,
    pub entries: Vec<(Key, Ballot)>,
    pub more: bool,
    pub floor: Floor,
}

#[derive(Clone, Debug, Hash)]
pub(crate) struct Repair {
    /// For each member what it did not accept in time: the ballot, and when.
    missed: BTreeMap<NodeId, BTreeMap<Key, (Ballot, Duration)>>,
    pub hand_over_at: Duration,
    pub compare_at: Duration,
}

impl Repair {
    pub fn new(hand_over_at: Duration, compare_at: Duration) -> Repair {
        Repair { missed: BTreeMap::new(), hand_over_at, compare_at }
    }

    /// Over the bound nothing is noted for this member: comparing finds it.
    pub fn missed(&mut self, now: Duration, node: NodeId, key: &Key, ballot: Ballot, most: usize) {
        let missed = self.missed.entry(node).or_default();
        let room = missed.len() < most;
        match missed.get_mut(key) {
            Some(noted) => noted.0 = noted.0.max(ballot),
            None if room => {
                missed.insert(key.clone(), (ballot, now));
            }
            None => {}
        }
    }

    pub fn acked(&mut self, node: NodeId, key: &Key, ballot: Ballot) {
        let Some(missed) = self.missed.get_mut(&node) else { return };
        if missed.get(key).is_some_and(|(noted, _)| *noted <= ballot) {
            missed.remove(key);
        }
        if missed.is_empty() {
            self.missed.remove(&node);
        }
    }

    /// Takes what a member missed before this time, up to so many.
    fn due(&mut self, node: NodeId, before: Duration, most: usize) -> Vec<Key> {
        let Some(missed) = self.missed.get_mut(&node) else { return Vec::new() };
        let due = missed.iter().filter(|(_, (_, at))| *at <= before).take(most);
        let keys: Vec<Key> = due.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            missed.remove(key);
        }
        keys
    }
}

impl Keeper {
    pub(crate) fn repair_woke(&mut self, now: Duration) {
        let never = fault::is(Fault::NoRepair);
        if now >= self.repair.hand_over_at {
            self.repair.hand_over_at = now + self.terms.handover;
            if !never {
                self.hand_over(now);
            }
        }
        if now >= self.repair.compare_at {
            let drawn = self.rng.u64(0..=self.terms.compare.as_millis() as u64 / 4);
            self.repair.compare_at = now + self.terms.compare + Duration::from_millis(drawn);
            if !never {
                self.compare(now);
            }
        }
    }

    fn hand_over(&mut self, now: Duration) {
        let Some(charter) = &self.charter else { return };
        self.repair.missed.retain(|node, _| charter.member(*node).is_some());
        let nodes: Vec<NodeId> = self.repair.missed.keys().copied().collect();
        for node in nodes {
            if self.crew.is_heard(now, node, self.terms.settled) {
                let before = now.saturating_sub(self.terms.handover);
                let keys = self.repair.due(node, before, self.terms.listed);
                self.give(node, &keys);
            }
        }
    }

    fn compare(&mut self, now: Duration) {
        let Some(epoch) = self.voting_epoch() else { return };
        let others: Vec<NodeId> = self.alive_members(now).filter(|node| *node != self.me.node).collect();
        if let Some(node) = others.get(self.rng.usize(0..others.len().max(1))) {
            let (sums, floor) = (self.acceptor.sums().to_vec(), self.acceptor.floor());
            self.pen.send(*node, Message::Digest { epoch, sums, floor });
        }
    }

    pub(crate) fn digest(&mut self, from: NodeId, epoch: u64, sums: &[u64], floor: Floor) {
        if !self.serves(from, epoch) {
            return;
        }
        self.heard_floor(floor);
        let mut parts = 0u64;
        for (at, (ours, theirs)) in self.acceptor.sums().iter().zip(sums).enumerate() {
            if ours != theirs {
                parts |= 1 << at;
            }
        }
        if parts != 0 {
            self.pen.send(from, Message::List { epoch, parts, after: None });
        }
    }

    pub(crate) fn list(&mut self, from: NodeId, epoch: u64, parts: u64, after: Option<Key>) {
        if !self.serves(from, epoch) {
            return;
        }
        let mut bytes = 0;
        let mut more = false;
        let mut entries = Vec::new();
        for (key, accepted) in self.acceptor.list(parts, after.as_ref()) {
            if entries.len() >= self.terms.listed || bytes > self.terms.page {
                more = true;
                break;
            }
            bytes += self.terms.name.min(64);
            entries.push((key.clone(), accepted.ballot));
        }
        let floor = self.acceptor.floor();
        self.pen.reply(self.fenced, from, Message::Listed { epoch, parts, after, entries, more, floor });
    }

    pub(crate) fn listed(&mut self, now: Duration, from: NodeId, epoch: u64, page: Page) {
        if self.catch_up.is_some() {
            return self.caught_list(now, from, epoch, page);
        }
        if !self.serves(from, epoch) {
            return;
        }
        let Page { parts, after, entries, more, floor } = page;
        self.heard_floor(floor);
        let last = entries.last().map(|(key, _)| key.clone());
        let theirs: BTreeMap<&Key, Ballot> = entries.iter().map(|(key, ballot)| (key, *ballot)).collect();
        let settled = |at: Duration| now.saturating_sub(at) >= self.terms.fresh;
        let ours = self.acceptor.list(parts, after.as_ref());
        let ours = ours.take_while(|(key, _)| !more || last.as_ref().is_some_and(|last| *key <= last));
        let give: Vec<Key> = ours
            .filter(|(key, accepted)| {
                settled(accepted.at) && theirs.get(key).is_none_or(|ballot| *ballot < accepted.ballot)
            })
            .map(|(key, _)| key.clone())
            .collect();
        let lacks = |key: &Key, ballot: Ballot| match self.acceptor.get(key).map(|register| register.ballot())
        {
            Some(ours) => ours < Some(ballot),
            None => true,
        };
        let fresh = |key: &Key| {
            let accepted = self.acceptor.get(key).and_then(|register| register.accepted.as_ref());
            accepted.is_some_and(|accepted| !settled(accepted.at))
        };
        let wanted = entries.iter().filter(|(key, ballot)| lacks(key, *ballot) && !fresh(key));
        let keys: Vec<Key> = wanted.map(|(key, _)| key.clone()).collect();
        self.give(from, &give);
        let unclear = |key: &Key| {
            let register = self.acceptor.get(key);
            register.is_some_and(|register| register.committed != register.ballot())
        };
        let unclear = give.into_iter().filter(unclear).collect();
        self.finish_left(now, unclear);
        if !keys.is_empty() {
            self.pen.send(from, Message::Want { epoch, keys });
        }
        if let Some(after) = last.filter(|_| more) {
            self.pen.send(from, Message::List { epoch, parts, after: Some(after) });
        }
    }

    pub(crate) fn want(&mut self, from: NodeId, epoch: u64, keys: &[Key]) {
        if self.serves(from, epoch) {
            self.give(from, keys);
        }
    }

    /// Hands over what is held of these, one page; the rest is asked for again or found by comparing.
    pub(crate) fn give(&mut self, to: NodeId, keys: &[Key]) {
        let Some(epoch) = self.voting_epoch() else { return };
        let mut bytes = 0;
        let mut entries: Vec<Given> = Vec::new();
        for key in keys {
            let Some(given) = self.acceptor.give(key) else { continue };
            bytes += given.value.bytes().len() + 64;
            if !entries.is_empty() && bytes > self.terms.page {
                break;
            }
            entries.push(given);
        }
        if !entries.is_empty() {
            let floor = self.acceptor.floor();
            self.pen.reply(self.fenced, to, Message::Give { epoch, entries, floor });
        }
    }

    pub(crate) fn given(
        &mut self, now: Duration, from: NodeId, epoch: u64, entries: Vec<Given>, floor: Floor,
    ) {
        if !self.is_in(from) || self.member_epoch() != Some(epoch) {
            return;
        }
        let mut refused = Vec::new();
        self.heard_floor(floor);
        for given in entries {
            let (key, ballot, committed) = (given.key.clone(), given.ballot, given.committed);
            let value = given.value.clone();
            let taken =
                !self.is_sealed() && self.acceptor.adopt(now, epoch, given, floor.ballot, &mut self.pen);
            if committed {
                self.learn(now, &key, ballot, &value);
            } else if !taken && self.acceptor.get(&key).is_none_or(|ours| ours.ballot() < Some(ballot)) {
                refused.push(key);
            }
        }
        self.ask_steward(from, epoch, &refused);
        self.finish_left(now, refused);
        self.caught_more(now, from);
    }

    /// Who ran the calls knows best what was committed: he hands it over as such.
    fn ask_steward(&mut self, unless: NodeId, epoch: u64, keys: &[Key]) {
        let mut asked: BTreeMap<NodeId, Vec<Key>> = BTreeMap::new();
        for key in keys.iter().take(self.terms.looks) {
            if let Some(steward) = self.steward(key).filter(|node| *node != unless && *node != self.me.node) {
                asked.entry(steward).or_default().push(key.clone());
            }
        }
        for (steward, keys) in asked {
            self.pen.send(steward, Message::Want { epoch, keys });
        }
    }

    /// What is not known to be committed cannot be handed to one who promised more, and nobody may ever call for it
    /// again: its steward asks the others, and finishes what was left half written.
    fn finish_left(&mut self, now: Duration, keys: Vec<Key>) {
        let ours = |key: &Key| !self.active.contains(key) && self.steward(key) == Some(self.me.node);
        let keys: Vec<Key> = keys.into_iter().filter(ours).take(self.terms.looks).collect();
        for key in keys {
            self.admit(now, self.own_entry(now, Call::Look { key }));
        }
    }

    /// Holds what a majority accepted, whatever was promised here. `floor`: as it was here when the others were asked.
    pub(crate) fn take_over(
        &mut self, now: Duration, key: &Key, known: Option<&Known>, floor: Option<Ballot>,
    ) {
        let Some(known) = known.filter(|known| known.ballot != NEVER) else { return };
        let Some(epoch) = self.voting_epoch() else { return };
        let given =
            Given { key: key.clone(), ballot: known.ballot, committed: true, value: known.value.clone() };
        if !self.is_sealed() {
            self.acceptor.adopt(now, epoch, given, floor, &mut self.pen);
        }
    }

    /// Parts are handed on only by one that has caught up, to a member, and within one epoch.
    fn serves(&mut self, to: NodeId, epoch: u64) -> bool {
        match self.charter.as_ref().map(|charter| charter.number) {
            Some(number) if number == epoch => self.is_in(to) && self.voting_epoch().is_some(),
            Some(number) if number > epoch => {
                self.send_members(to);
                false
            }
            number => {
                self.pen.send(to, Message::Ask { epoch: number.unwrap_or(0) });
                false
            }
        }
    }
}

/// All parts.
pub(crate) const ALL_PARTS: u64 = u64::MAX;

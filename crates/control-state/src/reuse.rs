//! Registers that nobody uses are given up, so that there is room for others.
//!
//! A collection in two steps, by the steward of each register, under pressure only. First all members are asked whether
//! they hold the register with just this ballot, on disk; with that their floors rise to the collection's own ballot,
//! which is above all that they promised. Once **all** have said so, each gives it up and raises the floor over its fence
//! or number. Why no fence or number comes twice:
//!
//! 1. From then on each member that counts holds the register with that ballot or a higher one, or holds none and has a
//!    floor at or above its fence. A member's ballots do not fall; and what could make it hold an older one is refused: an
//!    attempt below the floor, since a register that is not there has promised it; what is handed over, if it was said
//!    with a floor below the one here, since a member's floor rises in the moment that it says what it holds, and not to
//!    one that it has by then.
//! 2. A newcomer reads from members of which each is so. What it held of an earlier time and none of them lists is of no
//!    use (its majority was met) and goes, before it counts. What it reads rests on a floor at least as high.
//! 3. So a majority that is asked for a register answers either with a value at or above that ballot, or with a floor that
//!    is not below its fence: what is given next stands above it, in a ballot above all of before.
//!
//! It needs all members, so while one is away nothing is given up; it is replaced, or comes back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ballot::Ballot;
use crate::fault::{self, Fault};
use crate::floor::Floor;
use crate::keeper::Keeper;
use crate::messages::Message;
use crate::types::{Key, NodeId};

/// What every member has to hold.
#[derive(Clone, Debug, Hash)]
struct Round {
    ballot: Ballot,
    entries: BTreeMap<Key, Ballot>,
    told: Vec<NodeId>,
}

#[derive(Clone, Debug, Hash)]
pub(crate) struct Reuse {
    pub at: Duration,
    round: Option<Round>,
    /// The last key that was looked at: the next collection goes on behind it.
    after: Option<Key>,
    /// The collection for which this member last said what it holds.
    told: Option<Ballot>,
    /// Given up everywhere, to be said once more: a member that missed it would hand the register over again.
    forgotten: Option<(Ballot, Vec<(Key, Ballot)>)>,
}

impl Reuse {
    pub fn new(now: Duration) -> Reuse {
        Reuse { at: now, round: None, after: None, told: None, forgotten: None }
    }

    /// The members are others now.
    pub fn ended(&mut self) {
        self.round = None;
    }
}

impl Keeper {
    /// Three quarters of all registers are there.
    pub(crate) fn is_short(&self) -> bool {
        self.acceptor.len() >= self.terms.registers / 4 * 3
    }

    pub(crate) fn reuse_woke(&mut self, now: Duration) {
        if now < self.reuse.at {
            return;
        }
        self.reuse.at = now + self.terms.reuse;
        if !self.is_short() {
            return;
        }
        if let Some((ballot, entries)) = self.reuse.forgotten.take() {
            self.tell_members(&Message::Forget { ballot, entries });
        }
        let Some(epoch) = self.voting_epoch() else { return };
        let Some(charter) = &self.charter else { return };
        let all = self.alive_members(now).count() == charter.members.len();
        let caught_up = charter
            .newcomer()
            .is_none_or(|m| m.node == self.me.node || self.crew.is_caught_up(m.node, m.disk, m.joined));
        if !all || !caught_up {
            return;
        }
        let entries = self.unused(now);
        self.reuse.after = entries.last_key_value().map(|(key, _)| key.clone());
        let floor = self.acceptor.floor().ballot.map_or(0, |ballot| ballot.count);
        let promised = entries.keys().filter_map(|key| self.acceptor.promised(key)).map(|at| at.count).max();
        self.count = self.count.max(floor).max(promised.unwrap_or(0)).saturating_add(1);
        let ballot = Ballot { epoch, count: self.count, node: self.me.node, life: self.me.life };
        let asked = entries.iter().map(|(key, ballot)| (key.clone(), *ballot)).collect();
        self.reuse.round = Some(Round { ballot, entries, told: Vec::new() });
        self.tell_members(&Message::Retire { ballot, entries: asked });
    }

    /// Some registers that this node is to look after and nobody uses.
    fn unused(&self, now: Duration) -> BTreeMap<Key, Ballot> {
        let unused = self.acceptor.unused(now, self.terms.unused, self.reuse.after.as_ref());
        let ours =
            unused.filter(|(key, _)| !self.active.contains(*key) && self.steward(key) == Some(self.me.node));
        let mut bytes = 0;
        let page = ours.take(self.terms.listed).take_while(|(key, _)| {
            bytes += key.name().len() + 64;
            bytes <= self.terms.page
        });
        page.map(|(key, ballot)| (key.clone(), ballot)).collect()
    }

    pub(crate) fn retire(&mut self, from: NodeId, ballot: Ballot, entries: &[(Key, Ballot)]) {
        if !self.answers(from, ballot.epoch) {
            return;
        }
        let above = self.acceptor.floor().ballot.filter(|floor| *floor >= ballot);
        if above.is_some() && self.reuse.told != Some(ballot) {
            // What it said since then with that floor may be of before.
            return self.pen.send(from, Message::Retired { ballot, keys: Vec::new(), above });
        }
        self.reuse.told = Some(ballot);
        self.acceptor.raise(Floor { ballot: Some(ballot), ..Floor::default() }, &mut self.pen);
        let promised = |key: &Key| self.acceptor.promised(key) <= Some(ballot);
        let held = entries.iter().filter(|(key, _)| promised(key));
        let held: Vec<(&Key, u64)> =
            held.filter_map(|(key, at)| Some((key, self.acceptor.holds(key, *at)?))).collect();
        let logged = held.iter().map(|(_, logged)| *logged).max().unwrap_or(0);
        let keys = held.into_iter().map(|(key, _)| key.clone()).collect();
        let rests = logged.max(self.acceptor.floor_logged()).max(self.chartered);
        self.pen.reply(rests, from, Message::Retired { ballot, keys, above: None });
    }

    pub(crate) fn retired(&mut self, from: NodeId, ballot: Ballot, keys: Vec<Key>, above: Option<Ballot>) {
        let Some(charter) = self.charter.as_ref().filter(|charter| charter.member(from).is_some()) else {
            return;
        };
        let needed = match fault::is(Fault::ForgottenByMajority) {
            true => charter.quorum(),
            false => charter.members.len(),
        };
        let Some(round) = self.reuse.round.as_mut().filter(|round| round.ballot == ballot) else { return };
        if let Some(above) = above {
            self.count = self.count.max(above.count);
            self.reuse.round = None;
            return;
        }
        if round.told.contains(&from) {
            return;
        }
        round.told.push(from);
        round.entries.retain(|key, _| keys.contains(key));
        if round.told.len() < needed {
            return;
        }
        let entries: Vec<(Key, Ballot)> = std::mem::take(&mut round.entries).into_iter().collect();
        self.reuse.round = None;
        if entries.is_empty() {
            return;
        }
        self.pen.note(format!("keeper: {} registers that nobody uses are given up", entries.len()));
        self.tell_members(&Message::Forget { ballot, entries: entries.clone() });
        self.reuse.forgotten = Some((ballot, entries));
    }

    pub(crate) fn forget(&mut self, from: NodeId, ballot: Ballot, entries: &[(Key, Ballot)]) {
        if !self.is_in(from) || self.member_epoch().is_none() {
            return;
        }
        let floor = Floor { ballot: Some(ballot), ..Floor::default() };
        self.acceptor.forget(entries, floor, &mut self.pen);
        for (key, _) in entries {
            // What was prepared for it stands below the floor.
            if !self.active.contains(key) {
                self.desks.remove(key);
            }
        }
    }

    /// Another member's floor: what stands for its registers that are gone holds here too. Not for one that is still
    /// catching up, which does not know yet what it holds in vain.
    pub(crate) fn heard_floor(&mut self, floor: Floor) {
        if self.catch_up.is_none() {
            self.acceptor.raise(floor, &mut self.pen);
        }
    }
}

//! The very first start. Epoch 0 is the seeds: the machines that all were told of, the same ones at the system's first
//! start. They hold no registers. They decide on the first members as the members of each epoch decide on those of the
//! next (`succession`): a majority of them accepts one proposal, on disk where they have one, before anybody is told.
//!
//! A seed without a disk keeps what it promised in memory. One that starts again, or whose disk was wiped, is told that
//! it is not the first start: it does not know what it promised before, so it has no vote any more.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::charter::{Charter, Member};
use crate::fault::{self, Fault};
use crate::keeper::Keeper;
use crate::messages::{Message, Record};
use crate::terms::Terms;
use crate::types::NodeId;

#[derive(Clone, Debug, Hash)]
pub(crate) struct Founding {
    started: Duration,
    /// The record of this disk's number: nobody is told of a disk that may be another after a loss of power.
    pub enrolled: u64,
    /// Machines with empty disks that said they are here: the disk, and when they said so last.
    present: BTreeMap<NodeId, (u64, Duration)>,
    /// When somebody said so first, or again after a silence.
    newest: Duration,
    /// Next time to say or ask.
    pub at: Duration,
}

impl Founding {
    pub fn new(now: Duration) -> Founding {
        let present = BTreeMap::new();
        Founding { started: now, enrolled: 0, present, newest: now, at: now }
    }
}

impl Keeper {
    /// Takes up epoch 0 at the system's first start. Later a disk that holds nothing of it may have been told of other
    /// seeds, or was wiped after it had voted.
    pub(crate) fn elect(&mut self, empty: bool) {
        let first = self.first || fault::is(Fault::WipedSeedVotes);
        if self.charter.is_some() || !empty || !first {
            return;
        }
        let charter = Charter::of_seeds(&self.me.seeds);
        if self.me.disk.is_some() {
            self.chartered = self.pen.log(&Record::Epoch(charter.clone()));
        }
        self.charter = Some(charter);
    }

    /// Has a vote on the first members.
    fn is_seed(&self) -> bool {
        self.member_epoch() == Some(0)
    }

    /// When this node has no members yet: says that it is here, and asks for members.
    pub(crate) fn founding_woke(&mut self, now: Duration) {
        if now < self.founding.at {
            return;
        }
        if self.epoch() > 0 {
            return self.ask_members(now);
        }
        self.founding.at = now + self.terms.present;
        let enrolled = self.pen.is_synced(self.founding.enrolled);
        if let Some(disk) = self.me.disk.filter(|_| self.first && enrolled) {
            let electors = self.electors();
            let seeds = if electors.is_empty() { self.me.seeds.clone() } else { electors };
            for seed in seeds {
                self.pen.send(seed, Message::Present { disk });
            }
        }
        let mut here: Vec<NodeId> = self.crew.here().map(|(node, ..)| node).collect();
        if !self.is_seed() {
            here.extend(self.me.seeds.iter().copied());
            let drawn = self.rng.usize(0..here.len().max(1));
            here = here.get(drawn).copied().into_iter().collect();
        }
        for node in here.into_iter().filter(|node| *node != self.me.node).collect::<Vec<_>>() {
            self.pen.send(node, Message::Ask { epoch: 0 });
        }
    }

    /// One that is no member hears of changes by asking now and then.
    fn ask_members(&mut self, now: Duration) {
        let drawn = Duration::from_millis(self.rng.u64(0..=self.terms.ask.as_millis() as u64));
        self.founding.at = now + self.terms.ask * 3 + drawn;
        let Some(charter) = self.charter.as_ref().filter(|_| self.member_epoch().is_none()) else { return };
        let nodes: Vec<NodeId> = charter.members.iter().map(|member| member.node).collect();
        let epoch = charter.number;
        if let Some(node) =
            nodes.get(self.rng.usize(0..nodes.len().max(1))).filter(|node| **node != self.me.node)
        {
            self.pen.send(*node, Message::Ask { epoch });
        }
    }

    pub(crate) fn present(&mut self, now: Duration, from: NodeId, disk: u64) {
        if self.epoch() > 0 {
            return self.send_members(from);
        }
        if !self.is_seed() || self.founding.present.len() >= self.terms.peers {
            return;
        }
        let before = self.founding.present.insert(from, (disk, now));
        if before.is_none_or(|(told, at)| told != disk || now.saturating_sub(at) > self.terms.alive) {
            self.founding.newest = now;
        }
    }

    /// Whom this seed proposes, once it is time: those only that said a moment ago that they are here. It does not wait
    /// for ever for others that are here, nor for more than there are; they are added later.
    pub(crate) fn first_members(&self, now: Duration) -> Option<Charter> {
        let Founding { started, present, newest, .. } = &self.founding;
        let Terms { alive, members, found_least, found_quiet, found_few, .. } = self.terms;
        let seen = present.iter().filter(|(_, (_, at))| now.saturating_sub(*at) <= alive);
        let members: Vec<Member> = seen
            .map(|(node, (disk, _))| Member { node: *node, disk: *disk, joined: 1 })
            .take(members)
            .collect();
        let enough = (self.me.tolerate as usize).saturating_mul(2).saturating_add(1).min(self.terms.members);
        let all =
            self.crew.here().all(|(node, disk, _)| present.get(&node).is_some_and(|(told, _)| *told == disk));
        let (up, quiet) = (now.saturating_sub(*started), now.saturating_sub(*newest));
        let due = match members.len() {
            0 => false,
            few if few < enough => quiet >= found_few,
            _ => quiet >= found_quiet && up >= if all { found_least } else { found_few },
        };
        due.then_some(Charter { number: 1, members, grown: false })
    }
}

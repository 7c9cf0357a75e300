//! The very first start: one node gathers the disk machines and names the first epoch.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::charter::{Charter, Member};
use crate::keeper::Keeper;
use crate::messages::Message;
use crate::types::NodeId;

#[derive(Clone, Debug, Hash)]
pub(crate) struct Founding {
    started: Duration,
    /// Machines with empty disks that said they are here.
    present: BTreeMap<NodeId, u64>,
    newest: Duration,
    /// Next time to say or ask.
    pub at: Duration,
}

impl Founding {
    pub fn new(now: Duration) -> Founding {
        Founding { started: now, present: BTreeMap::new(), newest: now, at: now }
    }
}

impl Keeper {
    /// This node's place among the seeds. All are up at the first start; the first one is the founder, the next takes
    /// over only much later.
    fn founder(&self) -> Option<u32> {
        if !self.first {
            return None;
        }
        let mut seeds = self.me.seeds.clone();
        seeds.sort();
        let place = seeds.iter().position(|seed| *seed == self.me.node)?;
        u32::try_from(place).ok()
    }

    /// When this node has no members yet: says that it is here, asks for members, or names them.
    pub(crate) fn founding_woke(&mut self, now: Duration) {
        if now < self.founding.at {
            return;
        }
        if self.charter.is_some() {
            return self.ask_members(now);
        }
        self.founding.at = now + self.terms.present;
        if let Some(disk) = self.me.disk.filter(|_| self.first) {
            for seed in self.me.seeds.clone() {
                self.pen.send(seed, Message::Present { disk });
            }
        }
        let mut here: Vec<NodeId> = self.crew.here().map(|(node, ..)| node).collect();
        if self.founder().is_none() {
            here.extend(self.me.seeds.iter().copied());
            let drawn = self.rng.usize(0..here.len().max(1));
            here = here.get(drawn).copied().into_iter().collect();
        }
        for node in here.into_iter().filter(|node| *node != self.me.node).collect::<Vec<_>>() {
            self.pen.send(node, Message::Ask { epoch: 0 });
        }
        self.found(now);
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
        if self.charter.is_some() {
            return self.send_members(from);
        }
        if self.founder().is_none() || self.founding.present.len() >= self.terms.peers {
            return;
        }
        if self.founding.present.insert(from, disk) != Some(disk) {
            self.founding.newest = now;
        }
    }

    fn found(&mut self, now: Duration) {
        let Some(place) = self.founder() else { return };
        let Founding { started, present, newest, .. } = &self.founding;
        let least = self.terms.found_least + self.terms.found_next * place;
        let due = now >= *started + least && now >= *newest + self.terms.found_quiet;
        // One that is here and does not say that it knows of no members may know some.
        let all = self.crew.here().all(|(node, ..)| present.contains_key(&node));
        if !due || !all || present.is_empty() {
            return;
        }
        let first = present.iter().take(self.terms.members);
        let members = first.map(|(node, disk)| Member { node: *node, disk: *disk, joined: 1 }).collect();
        let charter = Charter { number: 1, members };
        let nodes: Vec<NodeId> = present.keys().copied().collect();
        self.pen.note(format!("keeper: founded with {} disks", charter.members.len()));
        self.enter_epoch(now, charter);
        for node in nodes {
            self.send_members(node);
        }
    }
}

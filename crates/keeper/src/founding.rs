//! The very first start: one node gathers the disk machines and names the first epoch.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::charter::{Charter, Member};
use crate::keeper::Keeper;
use crate::messages::Message;
use crate::types::NodeId;

#[derive(Debug)]
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
    /// The founder: the lowest of the seeds, all of which are up at the first start.
    fn founder(&self) -> Option<NodeId> {
        self.me.seeds.iter().min().copied().filter(|_| self.me.first_start)
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
        if let (Some(founder), Some(disk), true) = (self.founder(), self.me.disk, self.fresh) {
            self.pen.send(founder, Message::Present { disk });
        }
        let mut here: Vec<NodeId> = self.crew.here().map(|(node, ..)| node).collect();
        here.extend(self.me.seeds.iter().copied());
        here.sort();
        here.dedup();
        here.retain(|node| *node != self.me.node);
        if let Some(node) = here.get(self.rng.usize(0..here.len().max(1))) {
            self.pen.send(*node, Message::Ask { epoch: 0 });
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
        if self.founder() != Some(self.me.node) || self.founding.present.len() >= self.terms.peers {
            return;
        }
        if self.founding.present.insert(from, disk) != Some(disk) {
            self.founding.newest = now;
        }
    }

    fn found(&mut self, now: Duration) {
        let Founding { started, present, newest, .. } = &self.founding;
        let due = now >= *started + self.terms.found_least && now >= *newest + self.terms.found_quiet;
        if !due || present.is_empty() || self.founder() != Some(self.me.node) {
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

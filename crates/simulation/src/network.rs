//! The network between machines: it loses, doubles, delays and reorders, and tells who is there as the beacon does.

use std::time::Duration;

use fallgap_control_state::{Keeper, Message, NodeId, Peer};

use crate::waters::{Event, Sea, ms};

#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// In a thousand.
    pub lost: u64,
    pub late: u64,
    pub doubled: u64,
}

impl Sea {
    pub(crate) fn reaches(&self, from: NodeId, to: NodeId) -> bool {
        match (self.machines.get(&from), self.machines.get(&to)) {
            (Some(a), Some(b)) => a.side == b.side && !self.dead_links.contains(&(from, to)),
            _ => false,
        }
    }

    pub(crate) fn beacon(&mut self) {
        self.compare_epochs();
        let seen: Vec<(NodeId, Option<u64>, bool, Duration, u8)> = self
            .machines
            .iter()
            .map(|(node, machine)| {
                let disk = machine.keeper.as_ref().and_then(Keeper::disk);
                let up = machine.keeper.is_some() && !machine.frozen;
                (*node, disk, up, machine.down_since, machine.side)
            })
            .collect();
        let nodes: Vec<NodeId> = self.up();
        for node in nodes {
            let now = self.now;
            let Some(machine) = self.machines.get_mut(&node) else { continue };
            let mut peers = Vec::new();
            for (other, disk, up, down_since, side) in &seen {
                let reached = *side == machine.side && !self.dead_links.contains(&(*other, node));
                let here = if *up { reached } else { now < *down_since + ms(1200) };
                if *other != node {
                    peers.push(Peer { node: *other, disk: *disk, here });
                }
            }
            let time = machine.time(now);
            if let Some(keeper) = &mut machine.keeper {
                keeper.peers(time, &peers);
            }
            self.collect(node);
        }
    }

    pub(crate) fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        self.messages += 1;
        if !self.reaches(from, to) || self.rng.u64(0..1000) < self.weather.lost {
            return;
        }
        let life = self.machines.get(&to).map_or(0, |machine| machine.life);
        let message = postcard::to_stdvec(message).expect("a message is plain");
        let copies = 1 + u64::from(self.rng.u64(0..1000) < self.weather.doubled);
        for _ in 0..copies {
            let mut delay = self.rng.u64(800..2500);
            if self.rng.u64(0..1000) < self.weather.late {
                delay = self.rng.u64(1000..400_000);
            }
            // A link breaks with the process; now and then a message reaches the next one all the same.
            let life = if self.rng.u8(..) == 0 { u64::MAX } else { life };
            let message = message.clone();
            self.event(self.now + Duration::from_micros(delay), Event::Deliver { from, to, life, message });
        }
    }
}

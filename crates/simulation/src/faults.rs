//! What befalls machines: ends, losses of power and of disks, freezes, cuts, and clocks that are set.

use std::time::Duration;

use fallgap_control_state::NodeId;

use crate::waters::{Event, Sea};

impl Sea {
    /// The process ends; what was written but not synced may be lost.
    pub fn kill(&mut self, node: NodeId, power: bool) {
        let Some(machine) = self.machines.get(&node) else { return };
        let keep = if power { self.rng.usize(0..=machine.loose.len()) } else { machine.loose.len() };
        self.stop(node, keep);
    }

    /// The process ends; so much of what was written but not synced is kept.
    pub fn stop(&mut self, node: NodeId, keep: usize) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let ran = machine.keeper.take().is_some();
        machine.down_since = self.now;
        let loose = std::mem::take(&mut machine.loose);
        machine.kept.extend(loose.into_iter().take(keep).map(|(_, record)| record));
        machine.forgot |= ran && machine.epoch_kept().is_none();
        self.asked.retain(|_, (at, _)| *at != node);
    }

    /// The system is founded for good, or can be though this machine loses what is not on its disk: a majority of the
    /// seeds remembers.
    pub fn spares(&self, node: NodeId) -> bool {
        let begun = self.machines.values().any(|machine| machine.epochs_kept().any(|epoch| epoch > 0));
        let of = |node| self.machines.get(&node);
        if begun || !self.seeds.contains(&node) || of(node).is_some_and(|m| m.epoch_kept().is_some()) {
            return true;
        }
        let remembers = |seed: &&NodeId| **seed != node && of(**seed).is_some_and(|machine| !machine.forgot);
        self.seeds.iter().filter(remembers).count() > self.seeds.len() / 2
    }

    pub fn restart(&mut self, node: NodeId, after: Duration) {
        self.event(self.now + after, Event::Start { node });
    }

    pub fn wipe(&mut self, node: NodeId) {
        self.kill(node, true);
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.kept.clear();
        }
    }

    pub fn remove(&mut self, node: NodeId) {
        self.kill(node, true);
        self.machines.remove(&node);
    }

    pub fn freeze(&mut self, node: NodeId, time: Duration) {
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.frozen = true;
            machine.down_since = self.now;
            self.event(self.now + time, Event::Thaw { node });
        }
    }

    /// Cuts these off from the others.
    pub fn cut(&mut self, side: &[NodeId], time: Duration) {
        for (node, machine) in &mut self.machines {
            machine.side = u8::from(side.contains(node));
        }
        self.event(self.now + time, Event::Mend);
    }

    /// Somebody sets a machine's wall clock forward.
    pub fn set_clock(&mut self, node: NodeId, by: Duration) {
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.set += by;
        }
    }
}

//! What is seen of the simulated world, and what must hold of it at any time.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use fallgap_control_state::messages::Record;
use fallgap_control_state::{Keeper, Key, NodeId};

use crate::breach::{Check, hold};
use crate::waters::{Event, Machine, Sea};

/// Bytes of an epoch's record: seven members and its number.
const LONGEST_CHARTER: usize = 400;

impl Sea {
    pub fn up(&self) -> Vec<NodeId> {
        let up = |machine: &Machine| machine.keeper.is_some() && !machine.frozen;
        self.machines.iter().filter(|(_, machine)| up(machine)).map(|(node, _)| *node).collect()
    }

    pub fn keeper(&self, node: NodeId) -> Option<&Keeper> {
        self.machines.get(&node)?.keeper.as_ref()
    }

    /// The newest committed value of this key that was handed out in the process's present life.
    pub fn shown(&self, node: NodeId, key: &Key) -> Option<&[u8]> {
        Some(self.machines.get(&node)?.shown.get(key)?.as_slice())
    }

    /// Whether a committed value of this key was handed out in the process's present life.
    pub fn has_shown(&self, node: NodeId, key: &Key) -> bool {
        self.machines.get(&node).is_some_and(|machine| machine.shown.contains_key(key))
    }

    pub fn disk_machines(&self) -> Vec<NodeId> {
        self.machines.iter().filter(|(_, machine)| machine.disk).map(|(node, _)| *node).collect()
    }

    /// All disk machines run, reach each other, and as many as may be are caught-up members of one epoch.
    pub fn is_caught_up(&self) -> bool {
        let mut epochs = BTreeSet::new();
        let mut counted = 0;
        let disks = self.disk_machines();
        for machine in self.machines.values().filter(|machine| machine.disk) {
            let Some(keeper) = machine.keeper.as_ref().filter(|_| !machine.frozen && machine.side == 0)
            else {
                return false;
            };
            epochs.insert((keeper.epoch(), keeper.members()));
            counted += usize::from(keeper.is_member() && keeper.is_settled(machine.time(self.now)));
        }
        // A member that is gone for good may stay in an odd number: without it no more could be lost than with it.
        let enough = |members: &Vec<NodeId>| counted > members.len() / 2 + self.tolerate as usize;
        epochs.len() == 1
            && counted == disks.len().min(7)
            && epochs.iter().all(|(_, members)| enough(members))
    }

    /// Each machine's epoch and whether it counts, for a failed assertion.
    pub fn view(&self) -> Vec<String> {
        let of = |keeper: &Keeper| (keeper.epoch(), keeper.is_member(), keeper.members());
        let machines = self.machines.iter();
        machines.map(|(node, m)| format!("{node} {:?}", m.keeper.as_ref().map(of))).collect()
    }

    /// Every epoch has the same members everywhere.
    pub(crate) fn compare_epochs(&mut self) {
        for (node, keeper) in self.machines.iter().filter_map(|(node, m)| Some((node, m.keeper.as_ref()?))) {
            if keeper.epoch() > 0 {
                let members = keeper.members();
                let known = self.epochs.entry(keeper.epoch()).or_insert_with(|| members.clone());
                hold!(
                    *known == members,
                    Check::Epochs,
                    "{node}: epoch {}: {known:?}, {members:?}",
                    keeper.epoch()
                );
            }
        }
    }

    /// The same for what goes to the disks.
    pub(crate) fn compare_charter(&mut self, node: NodeId, record: &[u8]) {
        let record = Some(record).filter(|record| record.len() < LONGEST_CHARTER);
        if let Some(Ok(Record::Epoch(charter))) = record.map(Record::read) {
            let known = self.charters.entry(charter.number).or_insert_with(|| charter.clone());
            hold!(*known == charter, Check::Epochs, "{node} writes {charter:?}, there is {known:?}");
        }
    }

    pub(crate) fn committed(&mut self, node: NodeId, key: Key, value: Vec<u8>) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let before = machine.shown.insert(key.clone(), value.clone());
        let mark = |value: &[u8]| match key {
            Key::Config | Key::Accounts => {
                fallgap_control_state::subjects::config_edition(Some(value)).unwrap_or(0)
            }
            _ => fallgap_control_state::subjects::revision(Some(value)),
        };
        if let Some(before) = before {
            hold!(mark(&before) <= mark(&value), Check::Shown, "{node} went back at {key:?}");
        }
    }

    /// All that is to come, whatever its time, and all that there is: what is the same from here on has the same mark.
    pub fn mark(&self, mark: &mut impl Hasher) {
        for (node, machine) in &self.machines {
            node.hash(mark);
            machine.keeper.hash(mark);
            machine.kept.hash(mark);
            machine.loose.hash(mark);
            machine.syncing.hash(mark);
        }
        let mut events: Vec<&Event> = self.events.values().collect();
        events.sort();
        events.hash(mark);
    }
}

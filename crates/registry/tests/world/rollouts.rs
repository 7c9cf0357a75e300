//! The operator in a [`World`]: an edition is handed in at one supervisor, and again at the next one as long as there is no
//! acknowledgement.
#![allow(dead_code)]

use super::{MS, World, node};
use fallgap_registry::{NodeId, Outcome, Patience, Rollouts, RosterWord};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A call is answered within that time.
const CALL: Duration = Duration::from_millis(880);
/// Before it is made again elsewhere.
const PAUSE: Duration = Duration::from_millis(100);

#[derive(Default)]
pub struct Operator {
    /// Each supervisor's, if orders wait for all to hold them.
    pub rollouts: BTreeMap<NodeId, Rollouts<()>>,
    /// Editions to hand in: when, at which supervisor.
    due: Vec<(Duration, usize, u64)>,
    /// Editions that were acknowledged, and when.
    pub acknowledged: Vec<(u64, Duration)>,
    /// Of these, the ones that not all were known to hold.
    pub waited: usize,
}

impl World {
    /// From here on what is committed is acknowledged when all hold it, or have had that time.
    pub fn roll_out(&mut self, patience: Patience) {
        let ids: Vec<NodeId> = self.followers.keys().copied().collect();
        for id in ids {
            let mut rollouts = Rollouts::new(id, 1, patience);
            let edition = self.seen.get(&id).map_or(0, super::Seen::edition);
            rollouts.in_force(self.now, edition);
            self.operator.rollouts.insert(id, rollouts);
        }
        self.meet();
    }

    /// All hear who is there.
    pub fn meet(&mut self) {
        let here: BTreeSet<NodeId> = self.followers.keys().copied().collect();
        let homes: Vec<NodeId> = self.cores.keys().copied().collect();
        let now = self.now;
        self.cores.values_mut().for_each(|core| core.distribution.present(now, here.clone()));
        self.operator
            .rollouts
            .values_mut()
            .for_each(|rollouts| rollouts.members(now, here.clone(), homes.clone()));
    }

    /// The operator hands an edition in, which a majority keeps.
    pub fn hand_in(&mut self, at: usize, edition: u64, routes: usize) {
        self.configure(edition, routes);
        self.operator.due.push((self.now, at, edition));
        self.operator_woke();
    }

    pub(super) fn operator_wake(&self) -> Option<Duration> {
        let due = self.operator.due.iter().map(|(at, ..)| *at).min();
        let wakes = self.operator.rollouts.values().filter_map(Rollouts::next_wake).min();
        due.into_iter().chain(wakes).min()
    }

    pub(super) fn operator_woke(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.operator.due.drain(..).partition(|(at, ..)| *at <= now);
        self.operator.due = later;
        for (_, at, edition) in due {
            match self.operator.rollouts.get_mut(&node(at)) {
                Some(rollouts) => rollouts.begin(now, edition, now + CALL, ()),
                None => self.operator.due.push((now + PAUSE, at + 1, edition)),
            }
        }
        for rollouts in self.operator.rollouts.values_mut() {
            if rollouts.next_wake().is_some_and(|at| at <= now) {
                rollouts.woke(now);
            }
        }
    }

    /// What rollouts have to say, and what has become of them.
    pub(super) fn take_rollouts(&mut self) -> Vec<(NodeId, NodeId, RosterWord)> {
        let mut words = Vec::new();
        let now = self.now;
        let Operator { rollouts, due, acknowledged, waited } = &mut self.operator;
        for (id, rollouts) in rollouts {
            words.extend(rollouts.take().into_iter().map(|(to, word)| (*id, to, word)));
            for ((), edition, outcome) in rollouts.take_over() {
                *waited += usize::from(matches!(outcome, Outcome::Waited { .. }));
                match outcome.is_acknowledged() {
                    true => acknowledged.push((edition, now)),
                    false => due.push((now + PAUSE, super::index(*id) + 1, edition)),
                }
            }
        }
        words
    }

    pub(super) fn holders_told(&mut self, to: NodeId, word: &RosterWord) {
        if let (Some(rollouts), RosterWord::Holders { id, holders, age }) =
            (self.operator.rollouts.get_mut(&to), word)
        {
            rollouts.holders(self.now, *id, holders, *age);
        }
    }

    /// The newest edition that has to be in force everywhere, `within` after its acknowledgement.
    pub fn in_force_by_now(&self, within: Duration) -> Option<u64> {
        let due = self.operator.acknowledged.iter().filter(|(_, at)| self.now > *at + within + MS);
        due.map(|(edition, _)| *edition).max()
    }
}

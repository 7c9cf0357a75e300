//! Which member looks after a register: finishes what was left half written, and runs the calls on it best.

use crate::acceptor::mixed;
use crate::keeper::Keeper;
use crate::types::{Key, NodeId};

impl Keeper {
    /// The member that calls for this key best go to, so that members do not get in each other's way. Whoever runs
    /// a call, it is right.
    pub fn steward(&self, key: &Key) -> Option<NodeId> {
        self.fit_members().max_by_key(|node| mixed(&(key, node)))
    }

    /// How many members would be the steward of a key before this node.
    pub(crate) fn steward_rank(&self, key: &Key) -> u32 {
        let own = mixed(&(key, &self.me.node));
        self.fit_members().filter(|node| mixed(&(key, node)) > own).count() as u32
    }

    /// Members that may be stewards, as far as this node knows.
    fn fit_members(&self) -> impl Iterator<Item = NodeId> {
        let charter = self.charter.as_ref().filter(|charter| charter.number > 0);
        let new = charter.and_then(|charter| charter.newcomer()).map(|member| member.node);
        let fit = move |node: &NodeId| {
            if *node == self.me.node {
                return self.voting_epoch().is_some() && !self.leaving;
            }
            let caught_up = new != Some(*node);
            let alive = self.crew.is_heard(self.clock, *node, self.terms.alive) || self.crew.is_here(*node);
            caught_up && alive && !self.crew.is_leaving(*node)
        };
        charter.into_iter().flat_map(|charter| &charter.members).map(|member| member.node).filter(fit)
    }
}

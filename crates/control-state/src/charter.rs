//! An epoch's members, and what a majority of them is.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::fault::{self, Fault};
use crate::types::NodeId;

/// A member is a disk on a machine: a machine that comes back with another disk is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub node: NodeId,
    /// Drawn when an empty disk is first used.
    pub disk: u64,
    /// The epoch that it came in with. Those of the first epoch began with nothing, as all did; later ones count in
    /// no majority until they have caught up.
    pub joined: u64,
}

/// One epoch: its number and its members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Charter {
    pub number: u64,
    /// Sorted by node, each node once.
    pub members: Vec<Member>,
    /// The last change of their number made them more: an even number is one more than is needed.
    pub grown: bool,
}

impl Charter {
    /// Epoch 0: the seeds. They hold nothing and decide on the first members only, so their disks do not matter.
    pub fn of_seeds(seeds: &[NodeId]) -> Charter {
        let mut members: Vec<Member> =
            seeds.iter().map(|node| Member { node: *node, disk: 0, joined: 0 }).collect();
        members.sort();
        members.dedup();
        Charter { number: 0, members, grown: false }
    }

    /// More than half of the members.
    pub fn quorum(&self) -> usize {
        let few = fault::is(Fault::MajorityLessOne) || (self.number == 0 && fault::is(Fault::FoundedByFew));
        self.members.len() / 2 + usize::from(!few)
    }

    /// From so many members one that comes in has to read, so that each majority of the members before it is met.
    pub fn cover(&self) -> usize {
        let less = usize::from(fault::is(Fault::CoverLessOne));
        (self.members.len() + 1).saturating_sub(self.quorum() + less)
    }

    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|member| member.node == node)
    }

    /// The one member that may not have caught up: it came in with this epoch.
    pub fn newcomer(&self) -> Option<&Member> {
        self.members.iter().find(|member| member.joined > 1 && member.joined == self.number)
    }

    /// The epoch after this one, without one member, with another, or both.
    pub fn changed(&self, out: Option<NodeId>, into: Option<(NodeId, u64)>) -> Charter {
        let number = self.number.saturating_add(1);
        let mut members: Vec<Member> =
            self.members.iter().filter(|member| Some(member.node) != out).copied().collect();
        if let Some((node, disk)) = into {
            members.retain(|member| member.node != node);
            members.push(Member { node, disk, joined: number });
        }
        members.sort();
        let grown = match members.len().cmp(&self.members.len()) {
            Ordering::Equal => self.grown,
            than => than == Ordering::Greater,
        };
        Charter { number, members, grown }
    }
}

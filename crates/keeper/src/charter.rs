//! An epoch's members, and what a majority of them is.

use serde::{Deserialize, Serialize};

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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charter {
    pub number: u64,
    /// Sorted by node, each node once.
    pub members: Vec<Member>,
}

impl Charter {
    /// More than half of the members.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// From so many members one that comes in has to read, so that each majority of the members before it is met.
    pub fn cover(&self) -> usize {
        (self.members.len() + 1).saturating_sub(self.quorum())
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
        Charter { number, members }
    }
}

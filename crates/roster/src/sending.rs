//! What the feed acts through: messages for followers, by their numbers.

use crate::NodeId;
use fallgap_feed::wire::Told;
use fallgap_feed::{Out, ReceiverId};
use fallgap_tables::{Delta, Version, Whole, Withdrawal};

/// The one table that a home has for all that follow it.
pub(crate) const SHARED: u32 = 0;

/// The table as a follower knows it, by its address: the same at every home.
pub(crate) fn table_of(follower: NodeId) -> u32 {
    u32::from(follower)
}

pub(crate) fn receiver_of(follower: NodeId) -> ReceiverId {
    u64::from(table_of(follower))
}

/// The number under which a follower holds its table.
fn own(to: ReceiverId) -> u32 {
    u32::try_from(to).unwrap_or(SHARED)
}

/// Messages that wait to be taken.
#[derive(Default)]
pub(crate) struct Sending {
    pub told: Vec<(NodeId, Told)>,
}

impl Sending {
    fn tell(&mut self, to: ReceiverId, told: Told) {
        if let Ok(address) = u32::try_from(to) {
            self.told.push((NodeId::from(address), told));
        }
    }
}

impl Out for Sending {
    fn delta(&mut self, to: ReceiverId, delta: Delta) {
        self.tell(to, Told::Delta(Delta { table: own(to), ..delta }));
    }
    fn whole(&mut self, to: ReceiverId, whole: Whole) {
        self.tell(to, Told::Whole(Whole { table: own(to), ..whole }));
    }
    fn same(&mut self, to: ReceiverId, version: Version) {
        self.tell(to, Told::Same(version));
    }
    fn withdrawn(&mut self, to: ReceiverId, epoch: u64, told: Withdrawal) {
        self.tell(to, Told::Withdrawn { epoch, told });
    }
    fn all_withdrawn(&mut self, to: ReceiverId, epoch: u64, sequence: u64, out: Vec<Withdrawal>) {
        let out = out.into_iter().map(|told| told.server).collect();
        self.tell(to, Told::AllWithdrawn { epoch, sequence, out });
    }
}

//! What the feed acts through: messages for followers, by their numbers.

use crate::NodeId;
use crate::packing::Packer;
use fallgap_feed::wire::Told;
use fallgap_feed::{Out, ReceiverId};
use fallgap_tables::{Delta, Sent, Version, Whole, Withdrawal};

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
    pub packer: Packer,
}

/// Changes up to which an update is not packed to be weighed, and what each of them counts for: bytes of a line
/// before packing.
const FEW: usize = 8;
const LINE: f64 = 90.0;

impl Sending {
    fn tell(&mut self, to: ReceiverId, told: Told) {
        if let Ok(address) = u32::try_from(to) {
            self.told.push((NodeId::from(address), told));
        }
    }
}

impl Out for Sending {
    /// Bytes that will leave.
    fn weight(&mut self, sent: &Sent) -> f64 {
        match sent {
            Sent::Delta(delta) if delta.changes.len() <= FEW => delta.changes.len() as f64 * LINE,
            sent => self.packer.weight(sent) as f64,
        }
    }
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

//! Control state of the gateway: registers on a majority of disks, and what is kept in them.
//!
//! [`keeper::Keeper`] is the core without I/O, clock and chance. [`subjects`] judges what a call makes of a
//! register's value, [`store`] keeps records on a disk.

mod acceptor;
pub mod attempts;
pub mod ballot;
pub mod charter;
mod claims;
mod contact;
mod crew;
mod deferral;
mod departure;
mod desk;
mod desks;
pub mod fault;
mod fingerprint;
pub mod floor;
mod founding;
mod handover;
mod keeper;
mod kept;
pub mod messages;
mod news;
mod pace;
mod past_fetch;
mod pen;
mod recovery;
mod reuse;
mod rounds;
mod seen;
mod stewards;
pub mod store;
pub mod subjects;
mod succession;
pub mod terms;
pub mod types;
pub mod value;
mod watches;
mod weighing;

use std::sync::Arc;

pub use claims::{Attempt, GivenClaim, OperationId, Vote};
pub use keeper::Keeper;
pub use messages::Message;
pub use seen::LockSeen;
pub use terms::Terms;
pub use types::{Answer, Call, Event, Key, NodeId, group_of};

/// What the store read back: the snapshot's records first, then the log's in order.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    pub records: Vec<Vec<u8>>,
}

/// Who this node is.
#[derive(Clone, Debug, Hash)]
pub struct Me {
    pub node: NodeId,
    /// A drawn number for a disk that is empty; the disk's own, once written, counts instead. None: no disk; such a
    /// node is no member, but may be the founder.
    pub disk: Option<u64>,
    /// Drawn at each start of the process.
    pub life: u64,
    pub first_start: bool,
    /// The disk was empty at this start.
    pub empty: bool,
    pub seeds: Vec<NodeId>,
    /// So many machines with a disk may be lost at a time.
    pub tolerate: u32,
}

/// A machine as the beacon has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    pub node: NodeId,
    pub disk: Option<u64>,
    pub here: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum Out {
    Send(NodeId, Message),
    /// To be written in order; `Keeper::synced` tells when it is durable.
    Log {
        number: u64,
        record: Vec<u8>,
    },
    /// To the call with this id; each gets one.
    Answer(u64, Answer),
    /// Committed, and never older than what came before for this key.
    Committed {
        key: Key,
        value: Arc<[u8]>,
    },
    Note(String),
    /// A member has voted on an attempt of this supervisor's.
    Voted {
        from: NodeId,
        number: u64,
        epoch: u64,
        quorum: u32,
        vote: Vote,
    },
}

/// What is wrong with the records of a disk.
#[derive(Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum KeptError {
    /// record {0} cannot be read
    Record(usize),
    /// there are records, but not the disk's number
    Disk,
}

//! What supervisors say to each other about who is there. Every message fits into one datagram of 1200 bytes
//! as long as the bounds of [`crate::Terms`] are kept.

use crate::card::{Card, NodeId, State};
use serde::{Deserialize, Serialize};

/// What the sender holds of some node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    pub card: Card,
    pub state: State,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own card.
    pub card: Card,
    pub word: Word,
    /// What rides along. If the sender doubts the one it writes to, that is among it.
    pub news: Vec<News>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// A heartbeat: no answer.
    Beat,
    /// Wants an [`Word::Answer`].
    Ask,
    Answer,
    /// Only news: no answer.
    Tell,
    /// Asks the receiver to ask `about`.
    Help {
        about: NodeId,
    },
    /// `about` has answered the receiver of a [`Word::Help`].
    Found {
        about: NodeId,
    },
    /// `about` has not answered the receiver of a [`Word::Help`] in time.
    Silent {
        about: NodeId,
    },
    /// A digest of all that the sender holds. Who holds the same is silent.
    Compare {
        sum: u64,
    },
    /// The answer of one who holds something else: digests by parts.
    Parts {
        sums: Vec<u32>,
    },
    /// Wants what the receiver holds in these parts, behind the node `after`. `back`: and is ready to be asked
    /// for the same.
    Pull {
        parts: u64,
        after: Option<NodeId>,
        back: bool,
    },
    /// The answer: news, and where to go on if there is more.
    Page {
        parts: u64,
        more: Option<NodeId>,
    },
}

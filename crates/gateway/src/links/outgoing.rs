//! One direction of a link: how it stands, and what waits for it.

use super::owed::Owed;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// How an outgoing link stands.
pub(super) enum Line {
    /// Nothing is to be said.
    Rest,
    Opening(TcpStream),
    Open(TcpStream),
    /// It failed: what is to be said meanwhile is dropped.
    Failed {
        until: Duration,
    },
}

/// What changes a link's state.
pub(super) enum Turn {
    Opens(TcpStream),
    Opened,
    Fails,
    /// Its peer is there: it may be tried again.
    Met,
}

/// A word as it leaves.
pub(super) struct Frame {
    pub bytes: Arc<Vec<u8>>,
    /// It is of a follower's table.
    pub table: bool,
    /// It is among those that are said again.
    pub owed: bool,
}

pub(super) struct Outgoing {
    pub line: Line,
    pub queue: VecDeque<Frame>,
    pub bytes: usize,
    /// Of the first frame, how much has gone.
    pub sent: usize,
    /// When it last moved on.
    pub moved: Duration,
    pub owed: Owed,
}

impl Outgoing {
    pub fn new(now: Duration) -> Outgoing {
        Outgoing {
            line: Line::Rest,
            queue: VecDeque::new(),
            bytes: 0,
            sent: 0,
            moved: now,
            owed: Owed::default(),
        }
    }
}

//! A connection to a server.

use crate::timers::OpKey;
use fallgap_routing::{AnswerReader, ServerKey};
use mio::net::TcpStream;
use std::io::{ErrorKind, Read};
use std::time::Duration;

/// Which try of which op.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TryAt {
    pub op: OpKey,
    pub number: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineState {
    /// It is not up yet; the try waits for it.
    Connecting(TryAt),
    /// It is not up yet, and no try waits for it any more.
    Coming,
    /// A request leaves, or its answer comes.
    Working(TryAt),
    /// Nothing is due on it.
    Resting { since: Duration, until: Duration },
}

pub(crate) struct Line {
    pub stream: TcpStream,
    pub server: ServerKey,
    pub state: LineState,
    /// When it was begun.
    pub began: Duration,
    pub reader: AnswerReader,
    /// The head of the request that leaves; its body is the op's.
    pub head: Vec<u8>,
    /// Bytes of head and body that have left.
    pub sent: usize,
    pub wrote_all: bool,
    /// It has carried nothing yet.
    pub is_new: bool,
    /// The server says how long it keeps it.
    pub told: bool,
    pub noted: Option<Duration>,
    pub held: usize,
    /// Answers of other requests that were let fall.
    pub foreign: u32,
    /// More may stand there to be read: its client has not taken yet what came before.
    pub held_back: bool,
    /// After so long without a sign from the other machine the kernel ends it.
    pub silence: Duration,
}

impl Line {
    pub(crate) fn new(now: Duration, stream: TcpStream, server: ServerKey, at: TryAt) -> Line {
        Line {
            stream,
            server,
            state: LineState::Connecting(at),
            began: now,
            reader: AnswerReader::new(false),
            head: Vec::new(),
            sent: 0,
            wrote_all: false,
            is_new: true,
            told: false,
            noted: None,
            held: 0,
            foreign: 0,
            held_back: false,
            silence: Duration::ZERO,
        }
    }

    /// The one change of state.
    pub(crate) fn turn(&mut self, to: LineState) {
        self.state = to;
    }

    /// Nothing is to be read, and it stands.
    pub(crate) fn is_silent(&mut self) -> bool {
        let mut one = [0];
        loop {
            match self.stream.read(&mut one) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
                Ok(_) => return false,
            }
        }
    }
}

//! A connection of a client.

use crate::quay::TURN_BYTES;
use crate::timers::OpKey;
use fallgap_routing::Inbox;
use mio::net::TcpStream;
use std::io::{ErrorKind, IoSlice, Result, Write};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientState {
    /// At rest, or a request is coming.
    Reading,
    /// Its op is at work.
    Working(OpKey),
    /// The answer of its op leaves as it comes.
    Passing { op: OpKey, keep: bool },
    /// Its answer leaves. `keep`: the connection serves on behind it.
    Writing { keep: bool },
    /// The last answer has left; the client closes.
    Lingering,
}

pub(crate) struct Client {
    pub stream: TcpStream,
    pub state: ClientState,
    pub inbox: Inbox,
    pub out: Outgoing,
    /// There may be unread bytes.
    pub more: bool,
    /// It was asked to tell when it can be written to.
    pub watched: bool,
    /// When the request that comes began to come.
    pub since: Option<Duration>,
    /// The client has closed its side: nothing more comes, and whoever closes both sides looks the same.
    pub closed: bool,
    /// No request of it was begun yet.
    pub fresh: bool,
    /// When it last did something.
    pub moved: Duration,
    /// When the time of its last op is over.
    pub until: Duration,
    /// It is closed then, or looked at.
    pub due: Duration,
    /// The time noted with the timers.
    pub noted: Option<Duration>,
    /// Bytes that it holds, as last counted.
    pub held: usize,
}

impl Client {
    pub(crate) fn new(stream: TcpStream, now: Duration) -> Client {
        Client {
            stream,
            state: ClientState::Reading,
            inbox: Inbox::default(),
            out: Outgoing::default(),
            more: true,
            watched: false,
            since: None,
            closed: false,
            fresh: true,
            moved: now,
            until: now,
            due: now,
            noted: None,
            held: 0,
        }
    }

    /// The one change of state.
    pub(crate) fn turn(&mut self, now: Duration, to: ClientState) {
        self.moved = now;
        self.fresh = false;
        self.state = to;
    }

    /// The op that is at work for it.
    pub(crate) fn op(&self) -> Option<OpKey> {
        match self.state {
            ClientState::Working(op) | ClientState::Passing { op, .. } => Some(op),
            ClientState::Reading | ClientState::Writing { .. } | ClientState::Lingering => None,
        }
    }

    pub(crate) fn is_at_rest(&self) -> bool {
        self.state == ClientState::Reading && self.inbox.is_empty()
    }
}

/// Bytes that leave: a head and a body, written together.
#[derive(Default)]
pub(crate) struct Outgoing {
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    sent: usize,
}

impl Outgoing {
    pub(crate) fn new(head: Vec<u8>, body: Vec<u8>) -> Outgoing {
        Outgoing { head, body, sent: 0 }
    }

    /// More of the body has come. What has left is forgotten.
    pub(crate) fn push(&mut self, more: &[u8]) {
        if let Some(left) = self.sent.checked_sub(self.head.len()) {
            self.head.clear();
            self.body.drain(..left.min(self.body.len()));
            self.sent = 0;
        }
        self.body.extend_from_slice(more);
    }

    pub(crate) fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Nothing is to leave.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Writes what the socket takes in one turn.
    pub(crate) fn write(&mut self, stream: &mut TcpStream) -> Result<Written> {
        let written = write_from(stream, &mut self.sent, &self.head, &self.body)?;
        if written == Written::All {
            *self = Outgoing::default();
        }
        Ok(written)
    }
}

/// How far writing went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// All has left.
    All,
    /// The socket takes no more for now; an event tells when it does.
    Blocked,
    /// The connection's turn is over. No event comes: the socket may take more.
    Spent,
}

/// Writes a head and a body from `sent` on, for one turn at most.
pub(crate) fn write_from(
    stream: &mut TcpStream, sent: &mut usize, head: &[u8], body: &[u8],
) -> Result<Written> {
    let turn_ends = *sent + TURN_BYTES;
    while *sent < head.len() + body.len() {
        if *sent >= turn_ends {
            return Ok(Written::Spent);
        }
        let head_rest = head.get(*sent..).unwrap_or_default();
        let body_rest = body.get(sent.saturating_sub(head.len())..).unwrap_or_default();
        let written = if body_rest.is_empty() {
            stream.write(head_rest)
        } else if head_rest.is_empty() {
            stream.write(body_rest)
        } else {
            stream.write_vectored(&[IoSlice::new(head_rest), IoSlice::new(body_rest)])
        };
        match written {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(more) => *sent += more,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(Written::Blocked),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(Written::All)
}

//! One connection of a caller: what was read of it, the call that it waits for, and what is still to be written.

use super::caller::Caller;
use fallgap_config::Limits;
use fallgap_routing::{Inbox, Refusal, Request, Step};
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

/// Where a connection stands.
#[derive(Clone)]
pub enum State {
    /// At rest, or a call is coming.
    Reading,
    /// Its call is with a worker.
    Waiting { caller: Caller, keep: bool, head_only: bool },
    /// An answer leaves. `keep`: the connection serves on behind it.
    Writing { keep: bool },
    /// The last answer has left; the caller closes.
    Lingering,
}

/// What reading on came to.
#[derive(Debug)]
pub enum Came {
    /// Nothing more for now.
    Nothing,
    /// The connection's turn is over, and there may be more.
    Spent,
    Call(Box<Request>),
    Refused(Refusal),
    /// The caller has closed or the connection is broken: nothing waits here.
    Ended,
}

/// What letting bytes fall behind the last answer came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lingers {
    /// Nothing more for now.
    On,
    /// The connection's turn is over, and there may be more.
    Spent,
    /// The caller has closed, too.
    Ended,
}

/// Bytes that are read from one connection before others get their turn.
const TURN_BYTES: usize = 64 << 10;

pub struct Connection {
    pub stream: TcpStream,
    pub state: State,
    /// Which address it came in at.
    pub listener: usize,
    inbox: Inbox,
    out: Vec<u8>,
    sent: usize,
    /// There may be unread bytes.
    pub more: bool,
    /// The caller sends no more.
    closed: bool,
    /// The poll tells when it can be written to.
    pub watched: bool,
    /// Bytes that it held as last counted by its owner.
    pub accounted: usize,
    /// When it last did something, and when the call that comes began to come.
    pub moved: Duration,
    since: Option<Duration>,
}

impl Connection {
    pub fn new(stream: TcpStream, listener: usize, now: Duration) -> Connection {
        Connection {
            stream,
            state: State::Reading,
            listener,
            inbox: Inbox::of_calls(),
            out: Vec::new(),
            sent: 0,
            more: true,
            closed: false,
            watched: false,
            accounted: 0,
            moved: now,
            since: None,
        }
    }

    pub fn is_at_rest(&self) -> bool {
        matches!(self.state, State::Reading) && self.inbox.is_empty()
    }

    /// Bytes held of what was read and what is to be written.
    pub fn held(&self) -> usize {
        self.inbox.held() + self.out.len()
    }

    /// Reads until a call is whole or nothing more is there. `room`: bytes of bodies that may still be held.
    pub fn read(&mut self, now: Duration, limits: &Limits, room: usize, scratch: &mut [u8]) -> Came {
        let mut read = 0;
        loop {
            match self.inbox.step(limits, room) {
                Step::Whole(request) => {
                    self.since = None;
                    return Came::Call(request);
                }
                Step::Refused(refusal) => return Came::Refused(refusal),
                Step::Expects => {
                    // If it cannot be written the caller waits a little, and sends the body all the same.
                    let _ = self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                Step::More if self.closed => return Came::Ended,
                Step::More if self.more && read >= TURN_BYTES => return Came::Spent,
                Step::More if self.more => match self.take_in(scratch) {
                    Ok(0) => {}
                    Ok(count) => {
                        read += count;
                        self.moved = now;
                        self.since.get_or_insert(now);
                    }
                    Err(_) => return Came::Ended,
                },
                Step::More => return Came::Nothing,
            }
        }
    }

    /// Reads on behind a call that is with a worker, up to `most` bytes, to see whether its caller closes. `true`: it has.
    pub fn has_closed(&mut self, most: usize, scratch: &mut [u8]) -> bool {
        while self.more && !self.closed && self.inbox.held() < most {
            if self.take_in(scratch).is_err() {
                return true;
            }
        }
        self.closed
    }

    /// Reads once, and tells how many bytes came. Notes if nothing is there, or nothing will come any more.
    fn take_in(&mut self, scratch: &mut [u8]) -> std::io::Result<usize> {
        match self.stream.read(scratch) {
            Ok(0) => self.closed = true,
            Ok(count) => {
                self.inbox.push(scratch.get(..count).unwrap_or_default());
                return Ok(count);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => self.more = false,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
        Ok(0)
    }

    /// An answer begins to leave.
    pub fn answer(&mut self, now: Duration, bytes: Vec<u8>, keep: bool) {
        (self.out, self.sent, self.moved) = (bytes, 0, now);
        self.state = State::Writing { keep: keep && !self.closed };
    }

    /// Writes what the socket takes. Tells whether all has left.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn write(&mut self, now: Duration) -> std::io::Result<bool> {
        while let Some(rest) = self.out.get(self.sent..).filter(|rest| !rest.is_empty()) {
            match self.stream.write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => (self.sent, self.moved) = (self.sent + count, now),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        (self.out, self.sent) = (Vec::new(), 0);
        Ok(true)
    }

    /// An answer has left: the next call, or the end.
    pub fn answered(&mut self, now: Duration, keep: bool) {
        self.moved = now;
        if keep {
            self.since = (!self.inbox.is_empty()).then_some(now);
            self.state = State::Reading;
        } else {
            self.state = State::Lingering;
            // Fails if the caller is gone, which the next reading shows.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Lets fall what comes behind the last answer, for one turn: a close with unread bytes could take the answer along.
    pub fn linger(&mut self, scratch: &mut [u8]) -> Lingers {
        let mut read = 0;
        while !self.closed && read < TURN_BYTES {
            match self.stream.read(scratch) {
                Ok(0) => self.closed = true,
                Ok(count) => read += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Lingers::On,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Lingers::Ended,
            }
        }
        if self.closed { Lingers::Ended } else { Lingers::Spent }
    }

    /// When it is too late for what it waits for, if it waits for its caller.
    pub fn due(&self, terms: &super::Terms) -> Option<Duration> {
        match &self.state {
            State::Reading if self.inbox.is_empty() => Some(self.moved + terms.idle),
            // The head has come: the body may take its time as long as it moves on.
            State::Reading if self.inbox.has_head() => Some(self.moved + terms.slow),
            State::Reading => Some(self.since.unwrap_or(self.moved) + terms.slow),
            State::Waiting { .. } => None,
            State::Writing { .. } => Some(self.moved + terms.slow_reader),
            State::Lingering => Some(self.moved + terms.linger),
        }
    }
}

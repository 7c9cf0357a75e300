//! A stream that another supervisor has opened, and what is said on it.

use crate::words::{Frames, Word};
use mio::net::TcpStream;
use std::io::{ErrorKind, Read};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Bytes that are read from one stream before others get their turn.
const TURN_BYTES: usize = 256 << 10;
/// Words that are taken from one stream before others get their turn.
const TURN_WORDS: usize = 128;

/// How a stream stands behind its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// Nothing more is there; an event tells when there is.
    Waits,
    /// There may be more.
    GoesOn,
    /// It is over, or is no stream of words.
    Ends,
}

pub(super) struct Incoming {
    pub stream: TcpStream,
    /// Whose words these are, once it has greeted.
    pub peer: Option<Ipv4Addr>,
    pub opened: Duration,
    frames: Frames,
    /// The other side has closed it, or it broke. What came before is still heard.
    closed: bool,
}

impl Incoming {
    pub fn new(now: Duration, stream: TcpStream) -> Incoming {
        Incoming { stream, peer: None, opened: now, frames: Frames::default(), closed: false }
    }

    /// Reads on for one turn, and adds whole words to `heard`. Tells who has greeted, too.
    pub fn turn(&mut self, buffer: &mut [u8], heard: &mut Vec<(Ipv4Addr, Word)>) -> (Option<Ipv4Addr>, Next) {
        let unread = self.read(buffer);
        let mut greeted = None;
        for _ in 0..TURN_WORDS {
            match (self.frames.next(), self.peer) {
                (Ok(Some(Word::Hello(node))), None) => {
                    self.peer = Some(node);
                    greeted = Some(node);
                }
                // Whose words these are is not known, or two call this stream theirs.
                (Ok(Some(_)), None) | (Ok(Some(Word::Hello(_))), Some(_)) => {
                    tracing::info!("links: a stream ends, it does not begin with one greeting");
                    return (greeted, Next::Ends);
                }
                (Ok(Some(word)), Some(peer)) => heard.push((peer, word)),
                (Ok(None), _) if self.closed => return (greeted, Next::Ends),
                (Ok(None), _) if unread => return (greeted, Next::GoesOn),
                (Ok(None), _) => return (greeted, Next::Waits),
                (Err(odd), _) => {
                    tracing::info!("links: a stream ends, {odd}");
                    return (greeted, Next::Ends);
                }
            }
        }
        (greeted, Next::GoesOn)
    }

    /// Reads until nothing more is there or the turn is over. Tells whether there may be more.
    fn read(&mut self, buffer: &mut [u8]) -> bool {
        let mut read = 0;
        while !self.closed && read < TURN_BYTES {
            // Words of the turn before are taken first: no more is held than one turn brings.
            if self.frames.has_whole() {
                return true;
            }
            match self.stream.read(buffer) {
                Ok(0) => self.closed = true,
                Ok(count) => {
                    self.frames.push(buffer.get(..count).unwrap_or_default());
                    read += count;
                    if count < buffer.len() {
                        return false;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.closed = true,
            }
        }
        true
    }
}

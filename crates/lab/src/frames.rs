//! The framed protocol of the laboratory: an op and its answer, each a length and fields of fixed size, lowest
//! byte first.

use crate::arrivals::Op;
use crate::clients::Ended;
use fallgap::Repeats;
use std::time::Duration;
use tokio::net::TcpStream;

pub const REQUEST: usize = 36;
pub const ANSWER: usize = 20;

/// Bytes of a stream that are read as frames of one size.
pub struct Incoming<const SIZE: usize> {
    bytes: Vec<u8>,
    held: usize,
}

impl<const SIZE: usize> Default for Incoming<SIZE> {
    fn default() -> Self {
        Incoming { bytes: vec![0; 1 << 16], held: 0 }
    }
}

impl<const SIZE: usize> Incoming<SIZE> {
    /// Reads what there is, and tells each whole frame; one that comes in pieces waits for its rest. `false`: the
    /// stream is over, or `tell` says so.
    pub fn read(&mut self, stream: &TcpStream, mut tell: impl FnMut(&[u8; SIZE]) -> bool) -> bool {
        match stream.try_read(&mut self.bytes[self.held..]) {
            Ok(0) => return false,
            Ok(n) => self.held += n,
            Err(e) => return e.kind() == std::io::ErrorKind::WouldBlock,
        }
        let (frames, rest) = self.bytes[..self.held].as_chunks::<SIZE>();
        if !frames.iter().all(&mut tell) {
            return false;
        }
        let (taken, left) = (frames.len() * SIZE, rest.len());
        self.bytes.copy_within(taken..taken + left, 0);
        self.held = left;
        true
    }
}

/// An op as it reaches a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    pub id: u64,
    pub tries: u8,
    pub repeats: Tried,
    pub kind: u16,
    pub key: u64,
    pub work: Duration,
}

/// Whether servers may see it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tried {
    Retryable,
    Deduplicated,
    OnceOnly,
}

impl From<Repeats> for Tried {
    fn from(repeats: Repeats) -> Tried {
        match repeats {
            Repeats::Retryable => Tried::Retryable,
            Repeats::Deduplicated { .. } => Tried::Deduplicated,
            Repeats::OnceOnly => Tried::OnceOnly,
        }
    }
}

impl Request {
    pub fn of(op: &Op, tries: u8, repeats: Repeats) -> Request {
        Request { id: op.id, tries, repeats: repeats.into(), kind: op.kind, key: op.key, work: op.work }
    }

    pub fn write(&self, to: &mut Vec<u8>) {
        to.extend((REQUEST as u32 - 4).to_le_bytes());
        to.extend(self.id.to_le_bytes());
        to.extend([self.tries, self.repeats as u8]);
        to.extend(self.kind.to_le_bytes());
        to.extend(0u32.to_le_bytes());
        to.extend(self.key.to_le_bytes());
        to.extend((self.work.as_nanos() as u64).to_le_bytes());
    }

    /// `None`: no such frame.
    pub fn read(frame: &[u8; REQUEST]) -> Option<Request> {
        if frame[..4] != (REQUEST as u32 - 4).to_le_bytes() {
            return None;
        }
        let repeats = match frame[13] {
            0 => Tried::Retryable,
            1 => Tried::Deduplicated,
            2 => Tried::OnceOnly,
            _ => return None,
        };
        Some(Request {
            id: eight(&frame[4..]),
            tries: frame[12],
            repeats,
            kind: u16::from_le_bytes([frame[14], frame[15]]),
            key: eight(&frame[20..]),
            work: Duration::from_nanos(eight(&frame[28..])),
        })
    }
}

/// What a server says to one try, and its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    pub id: u64,
    pub tries: u8,
    pub ended: Ended,
    pub active: u16,
    /// Of a thousand, how much of its cores is busy.
    pub busy: u16,
}

impl Answer {
    pub fn write(&self, to: &mut Vec<u8>) {
        to.extend((ANSWER as u32 - 4).to_le_bytes());
        to.extend(self.id.to_le_bytes());
        to.extend([self.tries, self.ended as u8, 0, 0]);
        to.extend(self.active.to_le_bytes());
        to.extend(self.busy.to_le_bytes());
    }

    /// `None`: no such frame.
    pub fn read(frame: &[u8; ANSWER]) -> Option<Answer> {
        if frame[..4] != (ANSWER as u32 - 4).to_le_bytes() {
            return None;
        }
        let ended = match frame[13] {
            0 => Ended::Acked,
            1 => Ended::Rejected,
            2 => Ended::Aborted,
            _ => return None,
        };
        let two = |at: usize| u16::from_le_bytes([frame[at], frame[at + 1]]);
        Some(Answer { id: eight(&frame[4..]), tries: frame[12], ended, active: two(16), busy: two(18) })
    }
}

fn eight(bytes: &[u8]) -> u64 {
    bytes.first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_come_back_as_they_went() {
        let request = Request {
            id: u64::MAX - 7,
            tries: 3,
            repeats: Tried::OnceOnly,
            kind: 513,
            key: 1 << 40,
            work: Duration::from_nanos(1_234_567_890_123),
        };
        let mut bytes = Vec::new();
        request.write(&mut bytes);
        let mut frame: [u8; REQUEST] = bytes.try_into().unwrap();
        assert_eq!(Request::read(&frame), Some(request));
        frame[13] = 9;
        assert_eq!(Request::read(&frame), None);
        let answer = Answer { id: 5, tries: 255, ended: Ended::Rejected, active: 700, busy: 1000 };
        let mut bytes = Vec::new();
        answer.write(&mut bytes);
        let mut frame: [u8; ANSWER] = bytes.try_into().unwrap();
        assert_eq!(Answer::read(&frame), Some(answer));
        frame[0] += 1;
        assert_eq!(Answer::read(&frame), None, "another length");
    }
}

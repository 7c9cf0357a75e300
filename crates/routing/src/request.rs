//! Requests of one connection, read one after the other.

use crate::chunks::{ChunkFault, Chunks};
use crate::head::{Framing, Head, Required, head_end};
use crate::unread::Unread;
use fallgap_config::Limits;

/// Why a request goes no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum Refusal {
    /// the request is not to be understood in one way only
    Malformed,
    /// the head is too long
    HeadTooLong,
    /// the body is too long
    BodyTooLong,
    /// there is no room for the body now
    NoRoom,
    /// no route leads on
    NoRoute,
    /// the request took too long to come
    Slow,
}

impl Refusal {
    pub fn status(self) -> u16 {
        match self {
            Refusal::Malformed => 400,
            Refusal::HeadTooLong => 431,
            Refusal::BodyTooLong => 413,
            Refusal::NoRoom => 503,
            Refusal::NoRoute => 404,
            Refusal::Slow => 408,
        }
    }
}

/// Empty lines before a request that are passed over. One more is no request: they may come without end.
const EMPTY_LINES: usize = 8;
const LINE_END: &[u8] = b"\r\n";

/// A whole request.
#[derive(Debug)]
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

#[derive(Debug)]
pub enum Step {
    /// More bytes are needed.
    More,
    /// The client wants to be told to go on with the body.
    Expects,
    Whole(Box<Request>),
    Refused(Refusal),
}

enum Reading {
    Head {
        seen: usize,
    },
    Length {
        head: Head,
        rest: usize,
        body: Vec<u8>,
    },
    Chunks {
        head: Head,
        chunks: Chunks,
        body: Vec<u8>,
    },
    /// What follows can not be told apart any more.
    Over,
}

/// What a client has sent and is not yet an op.
pub struct Inbox {
    unread: Unread,
    reading: Reading,
    /// Empty lines before the request that comes.
    empty_lines: usize,
    required: Required,
}

impl Default for Inbox {
    fn default() -> Self {
        Inbox::new(Required::HostAndId)
    }
}

impl Inbox {
    fn new(required: Required) -> Inbox {
        Inbox { unread: Unread::default(), reading: Reading::Head { seen: 0 }, empty_lines: 0, required }
    }

    /// For calls to the system itself, which need name neither a host nor an id.
    pub fn of_calls() -> Inbox {
        Inbox::new(Required::Nothing)
    }

    pub fn push(&mut self, bytes: &[u8]) {
        if !matches!(self.reading, Reading::Over) {
            self.unread.push(bytes);
        }
    }

    /// Nothing of a next request has come.
    pub fn is_empty(&self) -> bool {
        self.unread.is_empty() && matches!(self.reading, Reading::Head { .. } | Reading::Over)
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        let body = match &self.reading {
            Reading::Length { body, .. } | Reading::Chunks { body, .. } => body.len(),
            Reading::Head { .. } | Reading::Over => 0,
        };
        self.unread.len() + body
    }

    /// The id of a request whose head has come.
    pub fn id(&self) -> Option<&str> {
        match &self.reading {
            Reading::Length { head, .. } | Reading::Chunks { head, .. } => Some(head.id()),
            Reading::Head { .. } | Reading::Over => None,
        }
    }

    /// The head of a request has come, and its body not yet.
    pub fn has_head(&self) -> bool {
        matches!(self.reading, Reading::Length { .. } | Reading::Chunks { .. })
    }

    /// The next step with what has come. `room`: bytes of bodies that may still be held.
    pub fn step(&mut self, limits: &Limits, room: usize) -> Step {
        match self.advance(limits, room) {
            Ok(step) => step,
            Err(refusal) => {
                self.unread.clear();
                self.reading = Reading::Over;
                Step::Refused(refusal)
            }
        }
    }

    fn advance(&mut self, limits: &Limits, room: usize) -> Result<Step, Refusal> {
        if let Reading::Head { seen } = self.reading {
            let Some(head) = self.head(seen, limits)? else { return Ok(Step::More) };
            let tells = head.expects && self.unread.is_empty();
            self.reading = begin(head, limits, room)?;
            if tells {
                return Ok(Step::Expects);
            }
        }
        self.body(limits, room)
    }

    fn head(&mut self, seen: usize, limits: &Limits) -> Result<Option<Head>, Refusal> {
        if seen == 0 {
            self.skip_empty_lines()?;
        }
        let unread = self.unread.as_slice();
        let end = head_end(unread, seen).map_err(|()| Refusal::Malformed)?;
        if end.unwrap_or(unread.len()) > limits.header_bytes {
            return Err(Refusal::HeadTooLong);
        }
        let Some(end) = end else {
            // The first half of a line's end may begin one more empty line.
            let seen = if unread == b"\r" { 0 } else { unread.len() };
            self.reading = Reading::Head { seen };
            return Ok(None);
        };
        self.empty_lines = 0;
        Head::read(self.unread.take(end), self.required).map(Some)
    }

    fn skip_empty_lines(&mut self) -> Result<(), Refusal> {
        while self.unread.as_slice().starts_with(LINE_END) {
            self.empty_lines += 1;
            if self.empty_lines > EMPTY_LINES {
                return Err(Refusal::Malformed);
            }
            self.unread.skip(LINE_END.len());
        }
        Ok(())
    }

    fn body(&mut self, limits: &Limits, room: usize) -> Result<Step, Refusal> {
        match &mut self.reading {
            Reading::Length { rest, body, .. } => {
                let now = self.unread.len().min(*rest);
                if now > room {
                    return Err(Refusal::NoRoom);
                }
                *rest -= now;
                self.unread.move_to(body, now);
                if *rest > 0 {
                    return Ok(Step::More);
                }
            }
            Reading::Chunks { chunks, body, .. } => {
                let used =
                    chunks.feed(self.unread.as_slice(), body, limits.body_bytes).map_err(
                        |fault| match fault {
                            ChunkFault::TooLong => Refusal::BodyTooLong,
                            _ => Refusal::Malformed,
                        },
                    )?;
                self.unread.skip(used);
                if body.len() > room {
                    return Err(Refusal::NoRoom);
                }
                if !chunks.is_done() {
                    return Ok(Step::More);
                }
            }
            Reading::Head { .. } | Reading::Over => return Ok(Step::More),
        }
        let whole = std::mem::replace(&mut self.reading, Reading::Head { seen: 0 });
        Ok(match whole {
            Reading::Length { head, body, .. } | Reading::Chunks { head, body, .. } => {
                Step::Whole(Box::new(Request { head, body }))
            }
            Reading::Head { .. } | Reading::Over => Step::More,
        })
    }
}

fn begin(head: Head, limits: &Limits, room: usize) -> Result<Reading, Refusal> {
    let body = Vec::new();
    Ok(match head.framing {
        Framing::Chunks => Reading::Chunks { head, chunks: Chunks::default(), body },
        Framing::None => Reading::Length { head, rest: 0, body },
        Framing::Length(rest) if rest > limits.body_bytes => return Err(Refusal::BodyTooLong),
        Framing::Length(rest) if rest > room => return Err(Refusal::NoRoom),
        Framing::Length(rest) => Reading::Length { head, rest, body },
    })
}

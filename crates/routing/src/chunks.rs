//! Bodies in chunks, read strictly.

#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ChunkFault {
    /// a chunk's size is not to be read
    Size,
    /// a line does not end as it must
    Line,
    /// trailers are too long
    Trailers,
    /// the body is over its bound
    TooLong,
}

/// Bytes of extensions and trailers together. More is a fault.
const EXTRA: usize = 8192;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Digits of a size read so far, and the size.
    Size(u8, usize),
    Extension,
    SizeEnd,
    Data(usize),
    DataEnd,
    DataEndLf,
    /// At the start of a line behind the last chunk.
    TrailerStart,
    Trailer,
    TrailerEnd,
    LastEnd,
    Done,
}

/// Reads chunks as they come.
#[derive(Debug)]
pub struct Chunks {
    state: State,
    size: usize,
    extra: usize,
}

impl Default for Chunks {
    fn default() -> Self {
        Chunks { state: State::Size(0, 0), size: 0, extra: 0 }
    }
}

impl Chunks {
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Moves the body's bytes from `input` to `body`, of at most `most` bytes. Gives how many were used; behind
    /// the last chunk none are.
    pub fn feed(&mut self, input: &[u8], body: &mut Vec<u8>, most: usize) -> Result<usize, ChunkFault> {
        let mut used = 0;
        while let (false, Some(&byte)) = (self.is_done(), input.get(used)) {
            if let State::Data(left) = self.state {
                let rest = input.get(used..).unwrap_or_default();
                let take = rest.get(..left.min(rest.len())).unwrap_or_default();
                body.extend_from_slice(take);
                used += take.len();
                self.state = if take.len() == left { State::DataEnd } else { State::Data(left - take.len()) };
                continue;
            }
            used += 1;
            self.state = self.after(byte, most.saturating_sub(body.len()))?;
        }
        Ok(used)
    }

    fn after(&mut self, byte: u8, room: usize) -> Result<State, ChunkFault> {
        Ok(match (self.state, byte) {
            (State::Size(digits, size), byte) if byte.is_ascii_hexdigit() => {
                let digit = (byte as char).to_digit(16).unwrap_or(0) as usize;
                if digits >= 8 {
                    return Err(ChunkFault::Size);
                }
                State::Size(digits + 1, size << 4 | digit)
            }
            (State::Size(0, _), _) => return Err(ChunkFault::Size),
            (State::Size(_, size), b'\r' | b';') => {
                if size > room {
                    return Err(ChunkFault::TooLong);
                }
                self.size = size;
                if byte == b'\r' { State::SizeEnd } else { State::Extension }
            }
            (State::Size(..), _) => return Err(ChunkFault::Size),
            (State::Extension, b'\r') => State::SizeEnd,
            (State::Extension, byte) => self.extra(byte, State::Extension)?,
            (State::SizeEnd, b'\n') if self.size == 0 => State::TrailerStart,
            (State::SizeEnd, b'\n') => State::Data(self.size),
            (State::DataEnd, b'\r') => State::DataEndLf,
            (State::DataEndLf, b'\n') => State::Size(0, 0),
            (State::TrailerStart, b'\r') => State::LastEnd,
            (State::TrailerStart | State::Trailer, byte) if byte != b'\r' => {
                self.extra(byte, State::Trailer)?
            }
            (State::Trailer, _) => State::TrailerEnd,
            (State::TrailerEnd, b'\n') => State::TrailerStart,
            (State::LastEnd, b'\n') => State::Done,
            _ => return Err(ChunkFault::Line),
        })
    }

    fn extra(&mut self, byte: u8, state: State) -> Result<State, ChunkFault> {
        self.extra += 1;
        if byte != b'\t' && (byte < b' ' || byte == 0x7f) {
            return Err(ChunkFault::Line);
        }
        if self.extra > EXTRA { Err(ChunkFault::Trailers) } else { Ok(state) }
    }
}

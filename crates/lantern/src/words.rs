//! What supervisors say to each other, and how it stands in a frame: four bytes of length, then the word.

use fallgap_chart::Beat;
use fallgap_keeper::{Answer, Call, Message};
use fallgap_roster::RosterWord;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Bytes of one frame at most: a configuration of the largest size fits. A longer one ends the link.
pub const FRAME: usize = 20 << 20;

#[derive(Debug, Serialize, Deserialize)]
pub enum Word {
    /// The first on each link: whose it is.
    Hello(Ipv4Addr),
    Keeper(Message),
    Roster(RosterWord),
    /// A call that the other is to run, and what became of it.
    Forward {
        id: u64,
        call: Call,
    },
    Forwarded {
        id: u64,
        answer: Answer,
    },
    /// A server's beat for whoever holds the roster; one that closes is acknowledged.
    Beat {
        id: u64,
        beat: Beat,
    },
    BeatTaken {
        id: u64,
    },
}

impl Word {
    /// The word as a frame; `None` if it is too long for one.
    pub fn frame(&self) -> Option<Vec<u8>> {
        let mut frame = postcard::to_extend(self, vec![0; 4]).ok()?;
        let length = u32::try_from(frame.len() - 4).ok().filter(|n| *n as usize <= FRAME)?;
        frame.get_mut(..4)?.copy_from_slice(&length.to_le_bytes());
        Some(frame)
    }
}

/// The stream is not one of frames, or holds what no supervisor says.
#[derive(Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum OddStream {
    /// a frame of {0} bytes
    Long(usize),
    /// a frame that is no word
    Word,
}

/// Cuts bytes that come in any pieces into words.
#[derive(Default)]
pub struct Frames {
    held: Vec<u8>,
    read: usize,
}

impl Frames {
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole word.
    ///
    /// # Errors
    /// [`OddStream`]: the link cannot be gone on with.
    pub fn next(&mut self) -> Result<Option<Word>, OddStream> {
        let rest = self.held.get(self.read..).unwrap_or_default();
        let Some((head, body)) = rest.split_first_chunk::<4>() else { return Ok(self.wait()) };
        let length = u32::from_le_bytes(*head) as usize;
        if length > FRAME {
            return Err(OddStream::Long(length));
        }
        let Some(word) = body.get(..length) else { return Ok(self.wait()) };
        let word = postcard::from_bytes(word).map_err(|_| OddStream::Word)?;
        self.read += 4 + length;
        Ok(Some(word))
    }

    /// More has to come: what was read is let go of.
    fn wait(&mut self) -> Option<Word> {
        self.held.drain(..self.read);
        self.read = 0;
        if self.held.is_empty() && self.held.capacity() > 1 << 16 {
            self.held = Vec::new();
        }
        None
    }
}

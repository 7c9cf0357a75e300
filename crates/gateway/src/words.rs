//! What supervisors say to each other, and how it stands in a frame: four bytes of length, then the word. A long
//! word is packed, and the length's highest bit says so: tables and configurations repeat themselves, and the links
//! of small machines carry clients' answers as well.

use crate::ages::Stamp;
use fallgap_config::Beat;
use fallgap_control_state::{Answer, Attempt, Call, Message, OperationId};
use fallgap_proxy::OperationState;
use fallgap_registry::{Line, RosterWord};
use fallgap_routing::{Place, QuotaAsk, QuotaGrant};
use lz4_flex::block::{compress_prepend_size, decompress, uncompressed_size};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Bytes of one frame at most: a configuration of the largest size fits. A longer one ends the link.
pub const FRAME: usize = 20 << 20;
/// Words from that length on are packed. Below it there is little to gain.
const PACKS: usize = 1500;
const PACKED: u32 = 1 << 31;

#[derive(Debug, Serialize, Deserialize)]
pub enum Word {
    /// The first on each link: whose it is.
    Hello(Ipv4Addr),
    Keeper(Message),
    Roster(RosterWord),
    /// A call that the other is to run, and what became of it.
    Forward {
        id: u64,
        stamp: Stamp,
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
        /// Keepers that others may go by, as the sender has it: they have to know too.
        followed: Vec<Ipv4Addr>,
    },
    /// An operator's question, and the answer. Their content is bytes, so that one of a later build that cannot be
    /// read ends no link.
    Survey {
        id: u64,
        #[serde(with = "serde_bytes")]
        errand: Vec<u8>,
    },
    Surveyed {
        id: u64,
        #[serde(with = "serde_bytes")]
        told: Vec<u8>,
    },
    /// A revision of the accounts is kept that touches these places; the other does not answer for them before it
    /// routes by it, and says so then and at once.
    Heed {
        id: u64,
        revision: u64,
        places: Vec<Place>,
    },
    Heeded {
        id: u64,
        in_force: bool,
    },
    /// Nobody waits for that call any more: what of it was not begun is not to be run.
    Withdraw {
        id: u64,
    },
    /// To the supervisor that made an attempt at an operation: what became of it?
    OperationAsked {
        number: u64,
        operation: OperationId,
        attempt: Attempt,
    },
    OperationTold {
        number: u64,
        state: OperationState,
    },
    /// To the home of customers' quotas, and its answers.
    QuotaAsked(Vec<QuotaAsk>),
    QuotaGranted(Vec<QuotaGrant>),
    NotQuotaHome(Vec<Arc<str>>),
}

/// Withdrawals go before the rest of what was read at one time, which stays in its order: a call that comes along with
/// its own withdrawal, as after a cut, is not begun at all.
pub fn withdrawals_first<T>(heard: &mut [T], withdraws: impl Fn(&T) -> bool) {
    heard.sort_by_key(|one| !withdraws(one));
}

impl Word {
    pub fn is_withdrawal(&self) -> bool {
        matches!(self, Word::Withdraw { .. })
    }

    /// The word as a frame; `None` if it is too long for one.
    pub fn frame(&self) -> Option<Vec<u8>> {
        let mut frame = postcard::to_extend(self, vec![0; 4]).ok()?;
        let mut length = u32::try_from(frame.len() - 4).ok().filter(|n| *n as usize <= FRAME)?;
        if frame.len() > PACKS {
            let packed = compress_prepend_size(frame.get(4..)?);
            if packed.len() < frame.len() - 4 {
                frame.truncate(4);
                frame.extend_from_slice(&packed);
                frame.shrink_to_fit();
                length = u32::try_from(packed.len()).ok()? | PACKED;
            }
        }
        frame.get_mut(..4)?.copy_from_slice(&length.to_le_bytes());
        Some(frame)
    }
}

/// The frame of [`RosterWord::Told`] with that line, whose long part is packed already.
pub fn told_frame(line: &Line) -> Option<Vec<u8>> {
    let line = match line {
        Line::Short(line) => return Word::Roster(RosterWord::Told(line.clone())).frame(),
        line => line,
    };
    // All of the word that stands before the line's bytes: the empty one's, and another count.
    let mut before = postcard::to_stdvec(&Word::Roster(RosterWord::Told(Vec::new()))).ok()?;
    before.pop();
    let before = postcard::to_extend(&line.length(), before).ok()?;
    let length = u32::try_from(before.len() + line.length()).ok().filter(|n| *n as usize <= FRAME)?;
    let block = line.packed(&before)?;
    let mut frame = Vec::with_capacity(8 + block.len());
    frame.extend_from_slice(&(u32::try_from(4 + block.len()).ok()? | PACKED).to_le_bytes());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&block);
    Some(frame)
}

/// A packed word. Its length is looked at before it is unpacked.
fn unpacked(packed: &[u8]) -> Option<Word> {
    let (length, rest) = uncompressed_size(packed).ok().filter(|(length, _)| *length <= FRAME)?;
    postcard::from_bytes(&decompress(rest, length).ok()?).ok()
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
    #[expect(clippy::should_implement_trait, reason = "a stream that may go on is no iterator")]
    pub fn next(&mut self) -> Result<Option<Word>, OddStream> {
        let rest = self.held.get(self.read..).unwrap_or_default();
        let Some((head, body)) = rest.split_first_chunk::<4>() else { return Ok(self.wait()) };
        let head = u32::from_le_bytes(*head);
        let length = (head & !PACKED) as usize;
        if length > FRAME {
            return Err(OddStream::Long(length));
        }
        let Some(word) = body.get(..length) else { return Ok(self.wait()) };
        let word = if head & PACKED == 0 { postcard::from_bytes(word).ok() } else { unpacked(word) };
        let word = word.ok_or(OddStream::Word)?;
        self.read += 4 + length;
        Ok(Some(word))
    }

    /// A whole word waits, or what is no word.
    pub fn has_whole(&self) -> bool {
        let rest = self.held.get(self.read..).unwrap_or_default();
        let Some((head, body)) = rest.split_first_chunk::<4>() else { return false };
        let length = (u32::from_le_bytes(*head) & !PACKED) as usize;
        length > FRAME || body.len() >= length
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

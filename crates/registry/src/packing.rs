//! What a home tells, as bytes: put into words and packed once for all followers that get the same. A line names the
//! follower's own number in its beginning; what comes behind that is the same for all.

use fallgap_feed::wire::Told;
use fallgap_tables::{Sent, Version};
use std::collections::VecDeque;
use std::sync::Arc;

/// Lines up to that length are not kept: there is little in them that would have to be made again.
const SHORT: usize = 1500;
/// Tails that are kept, and their bytes: whoever waits for the budget waits for one of the newest.
const KEPT: usize = 6;
const KEPT_BYTES: usize = 4 << 20;

/// What a line is of: the version it begins from, none for a whole table, and the one it leads to.
type Span = (Option<Version>, Version);

/// What is the same in all lines of a span.
#[derive(Debug, PartialEq, Eq)]
pub struct Tail {
    /// Bytes of it, unpacked.
    length: usize,
    /// As a block of LZ4.
    packed: Vec<u8>,
}

/// A told line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    Short(Vec<u8>),
    /// The follower's own beginning, and the rest.
    Long(Vec<u8>, Arc<Tail>),
}

impl Line {
    /// Bytes that leave, about.
    pub fn bytes(&self) -> usize {
        match self {
            Line::Short(line) => line.len(),
            Line::Long(head, tail) => head.len() + tail.packed.len(),
        }
    }

    /// How long the line is, unpacked.
    pub fn length(&self) -> usize {
        match self {
            Line::Short(line) => line.len(),
            Line::Long(head, tail) => head.len() + tail.length,
        }
    }

    /// A long line behind `before`, as one block of LZ4.
    pub fn packed(&self, before: &[u8]) -> Option<Vec<u8>> {
        match self {
            Line::Short(_) => None,
            Line::Long(head, tail) => Some(preceded(&[before, head], &tail.packed)),
        }
    }
}

/// The block that unpacks to `before` and then to what `block` unpacks to. A block begins with bytes that stand for
/// themselves, under their count; matches reach back by a distance, so that none of them changes.
fn preceded(before: &[&[u8]], block: &[u8]) -> Vec<u8> {
    let token = block.first().copied().unwrap_or_default();
    let (mut literals, mut rest) = (usize::from(token >> 4), block.get(1..).unwrap_or_default());
    let mut more = literals == 15;
    while let Some((byte, behind)) = rest.split_first().filter(|_| more) {
        literals += usize::from(*byte);
        (more, rest) = (*byte == u8::MAX, behind);
    }
    literals += before.iter().map(|piece| piece.len()).sum::<usize>();
    let mut out = Vec::with_capacity(block.len() + literals / 255 + 2 + literals);
    out.push(((literals.min(15) as u8) << 4) | (token & 15));
    if let Some(over) = literals.checked_sub(15) {
        out.extend(std::iter::repeat_n(u8::MAX, over / 255));
        out.push((over % 255) as u8);
    }
    before.iter().for_each(|piece| out.extend_from_slice(piece));
    out.extend_from_slice(rest);
    out
}

/// Tails that were packed of late.
#[derive(Debug, Default)]
pub(crate) struct Packer {
    kept: VecDeque<(Span, Arc<Tail>)>,
    bytes: usize,
    /// How often a line was put into words, for those who look.
    pub made: u64,
}

impl Packer {
    /// Bytes of an update as it will leave.
    pub fn weight(&mut self, sent: &Sent) -> usize {
        let span = match sent {
            Sent::Nothing => return 0,
            Sent::Delta(delta) => (Some(delta.base), delta.result),
            Sent::Whole(whole) => (None, whole.version),
        };
        if let Some((_, tail)) = self.kept.iter().find(|(kept, _)| *kept == span) {
            return tail.packed.len();
        }
        match sent {
            Sent::Nothing => 0,
            Sent::Delta(delta) => self.line(&Told::Delta(delta.clone())).bytes(),
            Sent::Whole(whole) => self.line(&Told::Whole(whole.clone())).bytes(),
        }
    }

    pub fn line(&mut self, told: &Told) -> Line {
        let (span, table, kind) = match told {
            Told::Whole(whole) => ((None, whole.version), whole.table, "whole"),
            Told::Delta(delta) => ((Some(delta.base), delta.result), delta.table, "delta"),
            Told::Same(_) | Told::Withdrawn { .. } | Told::AllWithdrawn { .. } => {
                return Line::Short(told.encode());
            }
        };
        let head = format!("{{\"{kind}\":{{\"table\":{table}").into_bytes();
        if let Some((_, tail)) = self.kept.iter().find(|(kept, _)| *kept == span) {
            return Line::Long(head, tail.clone());
        }
        self.made += 1;
        let line = told.encode();
        let rest = line.strip_prefix(head.as_slice()).filter(|_| line.len() > SHORT);
        let Some(rest) = rest else { return Line::Short(line) };
        let tail = Arc::new(Tail { length: rest.len(), packed: lz4_flex::block::compress(rest) });
        self.bytes += tail.packed.len();
        self.kept.push_back((span, tail.clone()));
        while self.kept.len() > KEPT || self.bytes > KEPT_BYTES {
            let Some((_, oldest)) = self.kept.pop_front() else { break };
            self.bytes -= oldest.packed.len();
        }
        Line::Long(head, tail)
    }
}

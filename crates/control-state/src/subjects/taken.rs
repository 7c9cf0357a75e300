//! Editions that were acknowledged and are not the highest, each with a digest of its content: by that an order that
//! comes again is told from other content under the same number. Bounded; the lowest go first.
//!
//! It stands behind the body in blanks as JSON has them, four to a byte. So a process of an earlier text, which takes
//! all behind the edition for the body, reads the same configuration, and a value of an earlier text, which has no such
//! end, is read as one that remembers nothing.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};

/// Editions remembered.
pub const TAKEN_MOST: usize = 32;

/// The first half of a content's SHA-256. Equal bytes are meant: an order is sent again unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Digest([u8; 16]);

impl Digest {
    pub fn of(body: &[u8]) -> Digest {
        let mut digest = [0; 16];
        digest.copy_from_slice(&Sha256::digest(body)[..16]);
        Digest(digest)
    }
}

/// Editions with their digests.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Taken {
    /// What came under an edition before this one is not known.
    pub from: u64,
    digests: BTreeMap<u64, Digest>,
}

const BLANKS: [u8; 4] = *b" \t\n\r";
/// An edition and its digest, in blanks.
const ENTRY: usize = (8 + 16) * 4;
/// The first edition that is known, the count and the mark, in blanks, at the very end.
const FOOT: usize = (8 + 8) * 4;
const MARK: [u8; 7] = *b"overtkn";

impl Taken {
    /// Nothing is known of what came before this edition.
    pub fn from(edition: u64) -> Taken {
        Taken { from: edition, digests: BTreeMap::new() }
    }

    /// Divides what stands behind the edition into body and memory; an earlier text wrote none.
    pub fn split(rest: &[u8]) -> (&[u8], Option<Taken>) {
        Taken::read(rest).map_or((rest, None), |(body, taken)| (body, Some(taken)))
    }

    fn read(rest: &[u8]) -> Option<(&[u8], Taken)> {
        let (before, foot) = rest.split_at_checked(rest.len().checked_sub(FOOT)?)?;
        let foot = bytes(foot)?;
        let (from, [count, mark @ ..]) = foot.split_first_chunk::<8>()? else { return None };
        if *mark != MARK || usize::from(*count) > TAKEN_MOST {
            return None;
        }
        let (body, entries) =
            before.split_at_checked(before.len().checked_sub(usize::from(*count) * ENTRY)?)?;
        let entry = |blanks: &[u8]| {
            let entry = bytes(blanks)?;
            let (edition, digest) = (entry.first_chunk::<8>()?, entry.last_chunk::<16>()?);
            Some((u64::from_le_bytes(*edition), Digest(*digest)))
        };
        let digests = entries.chunks_exact(ENTRY).map(entry).collect::<Option<_>>()?;
        Some((body, Taken { from: u64::from_le_bytes(*from), digests }))
    }

    pub fn append(&self, value: &mut Vec<u8>) {
        value.reserve(self.digests.len() * ENTRY + FOOT);
        let mut blank = |bytes: &[u8]| {
            for byte in bytes {
                let two = |shift: u32| BLANKS[usize::from(byte >> shift & 3)];
                value.extend([two(0), two(2), two(4), two(6)]);
            }
        };
        for (edition, digest) in &self.digests {
            blank(&edition.to_le_bytes());
            blank(&digest.0);
        }
        blank(&self.from.to_le_bytes());
        blank(&[self.digests.len() as u8]);
        blank(&MARK);
    }

    pub fn get(&self, edition: u64) -> Option<Digest> {
        self.digests.get(&edition).copied()
    }

    pub fn remember(&mut self, edition: u64, digest: Digest) {
        self.digests.insert(edition, digest);
        while self.digests.len() > TAKEN_MOST {
            let Some((lowest, _)) = self.digests.pop_first() else { return };
            self.from = lowest.saturating_add(1);
        }
    }
}

/// The bytes that stand in blanks.
fn bytes(blanks: &[u8]) -> Option<Vec<u8>> {
    let byte = |four: &[u8]| {
        four.iter().rev().try_fold(0u8, |byte, blank| {
            let two = BLANKS.iter().position(|known| known == blank)?;
            Some(byte << 2 | two as u8)
        })
    };
    blanks.chunks_exact(4).map(byte).collect()
}

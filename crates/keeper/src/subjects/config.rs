//! The configuration: the highest edition holds. The value is the edition, eight bytes, and then the body. The
//! accounts stand the same way, with a revision in place of the edition that rises by one with each put.

use crate::fault::{self, Fault};
use crate::subjects::Verdict;
use crate::types::Answer;

/// The edition that is held.
pub fn config_edition(held: Option<&[u8]>) -> Option<u64> {
    held?.first_chunk::<8>().map(|edition| u64::from_le_bytes(*edition))
}

/// The configuration that is held, as it was put.
pub fn config_body(held: Option<&[u8]>) -> Option<&[u8]> {
    held?.get(8..)
}

/// An edition that is not above the one held is taken and changes nothing.
pub(super) fn put(edition: u64, body: &[u8], held: Option<&[u8]>, most: usize) -> Verdict {
    if body.len() > most || (held.is_some() && config_edition(held).is_none()) {
        return Verdict::busy();
    }
    if config_edition(held).is_some_and(|old| edition <= old) && !fault::is(Fault::EditionFalls) {
        return Verdict::Answer(Answer::Done);
    }
    Verdict::Write { value: numbered(edition, body), answer: Answer::Done }
}

/// Written only over the revision that it was made from. One that comes again, with nothing written since, is told
/// its first revision.
pub(super) fn swap(base: u64, body: &[u8], held: Option<&[u8]>, most: usize) -> Verdict {
    if body.len() > most || (held.is_some() && config_edition(held).is_none()) {
        return Verdict::busy();
    }
    let present = config_edition(held).unwrap_or(0);
    let Some(next) = base.checked_add(1) else { return Verdict::busy() };
    if present == next && config_body(held) == Some(body) {
        return Verdict::Answer(Answer::Revision(next));
    }
    if present != base {
        return Verdict::Answer(Answer::Conflict { revision: present });
    }
    Verdict::Write { value: numbered(next, body), answer: Answer::Revision(next) }
}

fn numbered(number: u64, body: &[u8]) -> Vec<u8> {
    let mut value = Vec::with_capacity(8 + body.len());
    value.extend_from_slice(&number.to_le_bytes());
    value.extend_from_slice(body);
    value
}

pub(super) fn get(held: Option<&[u8]>) -> Verdict {
    match (held, config_body(held)) {
        (None, _) => Verdict::Answer(Answer::Missing),
        (Some(_), Some(body)) => Verdict::Answer(Answer::Config(body.to_vec())),
        (Some(_), None) => Verdict::busy(),
    }
}

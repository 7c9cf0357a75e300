//! Numbers: each is above all that were given before it.

use crate::subjects::{Verdict, encoded};
use crate::types::Answer;

pub(super) fn next(held: Option<&[u8]>) -> Verdict {
    let last = match held {
        Some(bytes) => number_seen(bytes),
        None => Some(0),
    };
    let Some(value) = last.and_then(|last| last.checked_add(1)) else { return Verdict::busy() };
    match number(value) {
        Some(bytes) => Verdict::Write { value: bytes, answer: Answer::Value(value) },
        None => Verdict::busy(),
    }
}

/// The last one that was given.
pub(crate) fn number_seen(held: &[u8]) -> Option<u64> {
    postcard::from_bytes(held).ok()
}

pub(crate) fn number(last: u64) -> Option<Vec<u8>> {
    encoded(&last)
}

//! Numbers: each is above all that were given before it.

use crate::subjects::{Verdict, encoded};
use crate::types::Answer;

pub(super) fn next(held: Option<&[u8]>) -> Verdict {
    let last = match held {
        Some(bytes) => postcard::from_bytes::<u64>(bytes).ok(),
        None => Some(0),
    };
    let Some(value) = last.and_then(|last| last.checked_add(1)) else { return Verdict::busy() };
    match encoded(&value) {
        Some(bytes) => Verdict::Write { value: bytes, answer: Answer::Value(value) },
        None => Verdict::busy(),
    }
}

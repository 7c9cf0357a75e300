//! Judgement on one register's value: what a call makes of it, and what its caller is told.
//!
//! Nothing here writes. A [`Verdict`] says what is to be written, and its answer holds once that is at a majority.
//! When several calls are judged in one round, each is handed the value that the one before it left; after a
//! `Write` the age for the next is zero.

mod cells;
mod config;
mod ends;
mod locks;
mod memory;
mod numbers;
mod past;
mod taken;

use std::time::Duration;

use crate::types::{Answer, Call};

pub use cells::{News, events_after, revision};
pub use config::{accounts_body, config_body, config_edition};
pub use ends::{ServerEnds, server_ends_after};
pub use locks::lock_seen;
pub(crate) use locks::{fence_seen, free_lock};
pub use memory::{Limits, Memory};
pub(crate) use numbers::{number, number_seen};
pub use past::PastValues;
pub(crate) use past::paged;
pub use taken::TAKEN_MOST;

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing is written.
    Answer(Answer),
    /// The answer holds once the value is at a majority.
    Write { value: Vec<u8>, answer: Answer },
}

impl Verdict {
    /// Nothing was done and nothing will be.
    fn busy() -> Verdict {
        Verdict::Answer(Answer::Busy)
    }
}

/// Judges a call on the value that its register holds. `age`: proven time since that value was written, never
/// more than the true one. A value that cannot be read, and a call over a bound, is `Busy`.
pub fn judge(call: &Call, held: Option<&[u8]>, age: Duration, memory: &mut Memory, now: Duration) -> Verdict {
    let limits = memory.limits;
    match call {
        Call::ConfigPut { edition, body } => config::put(*edition, body, held, limits.config_bytes),
        Call::ConfigGet => config::get(held),
        Call::AccountsGet => config::accounts(held),
        Call::AccountsPut { base, body } => config::swap(*base, body, held, limits.config_bytes),
        Call::ServerEnd { server } => ends::end(server, held, memory, now),
        Call::ServerEndsGet => ends::get(held, memory, now),
        Call::LockStart { holder, .. } if holder.len() > limits.name_bytes => Verdict::busy(),
        Call::LockStart { holder, hold, .. } => locks::start(holder, *hold, held, age),
        Call::LockBeat { holder, fence, hold, .. } => locks::beat(holder, *fence, *hold, held, age),
        Call::LockEnd { holder, fence, .. } => locks::end(holder, *fence, held),
        Call::Number { .. } => numbers::next(held),
        Call::CellPut { name, value, on } => cells::put(name, value, *on, held, memory, now),
        Call::CellGet { name } => cells::get(name, held, memory, now),
        Call::Watch { group, after, .. } => cells::watch(group, *after, held, memory, now),
        Call::Look { .. } => Verdict::Answer(Answer::Looked { value: held.map(<[u8]>::to_vec) }),
    }
}

/// A value as bytes. The values are plain, so this fails only for want of memory.
fn encoded(value: &impl serde::Serialize) -> Option<Vec<u8>> {
    postcard::to_stdvec(value).ok()
}

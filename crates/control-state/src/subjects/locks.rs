//! Locks with fences, on steady time.
//!
//! A hold is a lease. A holder counts its time from when it sent its last good call, so from before the value was
//! written. The age handed in is never more than the true one by the clocks of the keepers that measured it; their
//! rates may differ from the holder's, so [`least`] is what counts of it. Once that reaches the hold, no holder counts
//! itself as such.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fault::{self, Fault};
use crate::subjects::{Verdict, encoded};
use crate::types::Answer;

/// A lock's value. The fence is the last one given, and it never falls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Lock<'a> {
    fence: u64,
    #[serde(borrow)]
    state: State<'a>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum State<'a> {
    Free,
    /// Held for that long from when this was written.
    Taken {
        holder: &'a str,
        hold: Duration,
    },
}

/// Of an age so much is left off: one part in this. It covers steady clocks of keepers that run faster than the
/// holder's by up to 1 in 16 (6.25 in 100). Crystals are apart by some 200 ppm, slewed clocks by 500 ppm more. The price
/// is that a hold that was not given back is free a sixteenth of it later: 0.6 s for one of 10 s.
const DRIFT: u32 = 17;

/// What has certainly passed by the holder's clock when a keeper's says `age`.
fn least(age: Duration) -> Duration {
    if fault::is(Fault::NoDriftMargin) { age } else { age.saturating_sub(age / DRIFT) }
}

/// A lock as its value of that age has it: the holder, the fence, and what is left of the hold at most.
pub fn lock_seen(held: &[u8], age: Duration) -> Option<(Option<String>, u64, Duration)> {
    let lock: Lock<'_> = postcard::from_bytes(held).ok()?;
    Some(match lock.state {
        State::Free => (None, lock.fence, Duration::ZERO),
        State::Taken { holder, hold } => {
            (Some(holder.to_owned()), lock.fence, hold.saturating_sub(least(age)))
        }
    })
}

/// The last fence that was given.
pub(crate) fn fence_seen(held: &[u8]) -> Option<u64> {
    postcard::from_bytes::<Lock<'_>>(held).ok().map(|lock| lock.fence)
}

/// A lock that nobody holds.
pub(crate) fn free_lock(fence: u64) -> Option<Vec<u8>> {
    encoded(&Lock { fence, state: State::Free })
}

/// What a call wants of a lock.
enum Wish<'a> {
    Start { holder: &'a str, hold: Duration },
    Beat { holder: &'a str, fence: u64, hold: Duration },
    End { holder: &'a str, fence: u64 },
}

/// What comes of it: the lock as it is to be written, if it changes, and the answer.
type Change<'a> = (Option<Lock<'a>>, Answer);

pub(super) fn start(holder: &str, hold: Duration, held: Option<&[u8]>, age: Duration) -> Verdict {
    verdict(Wish::Start { holder, hold }, held, age)
}

pub(super) fn beat(holder: &str, fence: u64, hold: Duration, held: Option<&[u8]>, age: Duration) -> Verdict {
    verdict(Wish::Beat { holder, fence, hold }, held, age)
}

/// An end needs no age: an expired hold that nobody took over ends all the same.
pub(super) fn end(holder: &str, fence: u64, held: Option<&[u8]>) -> Verdict {
    verdict(Wish::End { holder, fence }, held, Duration::ZERO)
}

fn verdict(wish: Wish<'_>, held: Option<&[u8]>, age: Duration) -> Verdict {
    let lock = match held {
        Some(bytes) => postcard::from_bytes(bytes).ok(),
        None => Some(Lock { fence: 0, state: State::Free }),
    };
    let Some((next, answer)) = lock.and_then(|lock| change(lock, wish, age)) else { return Verdict::busy() };
    match next.map(|lock| encoded(&lock)) {
        None => Verdict::Answer(answer),
        Some(Some(value)) => Verdict::Write { value, answer },
        Some(None) => Verdict::busy(),
    }
}

/// The one place where a lock changes. None: the fences are used up.
fn change<'a>(lock: Lock<'a>, wish: Wish<'a>, age: Duration) -> Option<Change<'a>> {
    // What the present holder may still count on at most.
    let (holder_now, left) = match lock.state {
        State::Taken { holder, hold } => (Some(holder), hold.saturating_sub(least(age))),
        State::Free => (None, Duration::ZERO),
    };
    let running = !left.is_zero();
    // A shorter hold does not shorten one whose answer the holder has and whose renewal it may never hear of.
    let lost = if fault::is(Fault::HoldShortened) { left } else { Duration::ZERO };
    let renewed = |holder, hold: Duration| Lock {
        fence: lock.fence,
        state: State::Taken { holder, hold: hold.max(left.saturating_sub(lost)) },
    };
    Some(match wish {
        Wish::Start { holder, hold } if running && holder_now == Some(holder) => {
            (Some(renewed(holder, hold)), Answer::Fence(lock.fence))
        }
        Wish::Start { .. } if running => (None, Answer::Held),
        Wish::Start { holder, hold } => {
            let fence = lock.fence.checked_add(u64::from(!fault::is(Fault::FenceStays)))?;
            (Some(Lock { fence, state: State::Taken { holder, hold } }), Answer::Fence(fence))
        }
        Wish::Beat { holder, fence, hold }
            if running && holder_now == Some(holder) && fence == lock.fence =>
        {
            (Some(renewed(holder, hold)), Answer::Done)
        }
        Wish::Beat { .. } => (None, Answer::Held),
        Wish::End { holder, fence } if holder_now == Some(holder) && fence == lock.fence => {
            (Some(Lock { fence, state: State::Free }), Answer::Done)
        }
        Wish::End { .. } => (None, Answer::Done),
    })
}

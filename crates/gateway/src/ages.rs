//! How old a call is that another supervisor hands over, by steady clocks alone.
//!
//! Each such call says when it left by its sender's clock, and how long it had waited there. The receiver knows how far the
//! two clocks are apart from the calls that came quickest of late, so it knows by how much this one was slower: it lay in a
//! queue, on a link that a cut held, or in the kernel while the receiver stood still. What is past its caller's patience is
//! not begun, also where its sender has frozen or ended and withdraws nothing.
//!
//! Clocks may run apart by one part in [`DRIFT`]. An age is too small by the quickest way of late, and by what
//! the clocks may have drifted since then; it is too large by drift alone, a [`DRIFT`]th of two [`SPAN`]s at most.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// What a call tells of its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Of the sending process: its clock begins anew with it.
    pub life: u64,
    /// When the call left, by the sender's clock.
    pub sent_ms: u64,
    /// How long it had waited at the sender.
    pub waited_ms: u32,
}

impl Stamp {
    pub fn new(life: u64, now: Duration, waited: Duration) -> Stamp {
        let waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        Stamp { life, sent_ms: millis(now), waited_ms }
    }
}

/// The quickest calls are looked for in the last one or two of these.
const SPAN: Duration = Duration::from_secs(8);
/// Clocks are taken to run apart by one part in so many at most.
const DRIFT: u32 = 16;
/// Senders that are remembered. The one that was silent for longest is forgotten for one more.
const MOST: usize = 1024;

/// How far the clocks of two processes seemed apart, in milliseconds: the receiver's less the sender's, with the way.
#[derive(Clone, Copy, Debug)]
struct Apart {
    began: Duration,
    heard: Duration,
    least: i64,
    before: i64,
}

/// The ages of calls, for one receiver.
#[derive(Debug, Default)]
pub struct Ages {
    apart: BTreeMap<(Ipv4Addr, u64), Apart>,
}

impl Ages {
    /// The age of a call that comes now. That of the first call of a process is what it had waited at its sender.
    pub fn age(&mut self, now: Duration, from: Ipv4Addr, stamp: &Stamp) -> Duration {
        let seen = signed(millis(now)).saturating_sub(signed(stamp.sent_ms));
        let waited = Duration::from_millis(u64::from(stamp.waited_ms));
        let key = (from, stamp.life);
        let Some(apart) = self.apart.get_mut(&key) else {
            self.make_room();
            self.apart.insert(key, Apart { began: now, heard: now, least: seen, before: seen });
            return waited;
        };
        let idle = now.saturating_sub(apart.heard);
        let drifted = if idle > SPAN { idle / DRIFT } else { Duration::ZERO };
        let slower = seen.saturating_sub(apart.least.min(apart.before));
        let slower = Duration::from_millis(u64::try_from(slower).unwrap_or(0)).saturating_sub(drifted);
        if now >= apart.began + SPAN {
            (apart.before, apart.least, apart.began) = (apart.least, seen, now);
        } else {
            apart.least = apart.least.min(seen);
        }
        apart.heard = now;
        waited + slower
    }

    fn make_room(&mut self) {
        if self.apart.len() < MOST {
            return;
        }
        let oldest = self.apart.iter().min_by_key(|(key, apart)| (apart.heard, **key)).map(|(key, _)| *key);
        oldest.into_iter().for_each(|key| _ = self.apart.remove(&key));
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}

//! Withdrawals that were heard, for a while: the call that one is about may come behind it, on a stream that was
//! opened earlier and accepted later.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

/// A stream that is given up may still deliver for as long as its kernel tries, 1.2 s; and it is given up after 1.2 s.
const KEPT: Duration = Duration::from_secs(3);

/// Tombstones of calls: by whom each was handed over, and its number there.
#[derive(Debug, Default)]
pub struct Withdrawn {
    /// The oldest first.
    kept: VecDeque<(Duration, Ipv4Addr, u64)>,
    /// When the newest came for which there was no room.
    over: Option<Duration>,
}

impl Withdrawn {
    /// So many are remembered. None is forgotten for one more: see [`Withdrawn::is_over`].
    pub const MOST: usize = 2048;

    pub fn add(&mut self, now: Duration, from: Ipv4Addr, number: u64) {
        while self.kept.front().is_some_and(|(at, ..)| now >= *at + KEPT) {
            self.kept.pop_front();
        }
        if self.kept.len() < Self::MOST {
            self.kept.push_back((now, from, number));
        } else {
            self.over = Some(now);
        }
    }

    /// More were heard a while ago than are remembered: any call that comes may be one of them.
    pub fn is_over(&self, now: Duration) -> bool {
        self.over.is_some_and(|at| now < at + KEPT)
    }

    pub fn holds(&self, now: Duration, from: Ipv4Addr, number: u64) -> bool {
        self.kept.iter().any(|(at, node, its)| (*node, *its) == (from, number) && now < *at + KEPT)
    }
}

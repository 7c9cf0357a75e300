//! A line of the log about clients that left before their answer.

use crate::line_pace::LinePace;
use fallgap_proxy::Counters;
use std::time::Duration;

/// What was last written of clients that left.
#[derive(Debug, Default)]
pub struct Leavers {
    pace: LinePace,
    told: Told,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Told {
    closed: u64,
    broken: u64,
    unheard: u64,
}

impl Leavers {
    /// The line that is due, if clients left since the last one.
    pub fn line(&mut self, now: Duration, counters: &Counters) -> Option<String> {
        let seen =
            Told { closed: counters.closed_early, broken: counters.abandoned, unheard: counters.unheard };
        if seen == self.told || !self.pace.may_tell(now) {
            return None;
        }
        let told = std::mem::replace(&mut self.told, seen);
        Some(format!(
            "quay: clients left before their answer: {} closed, {} broke; {} answers came for nobody",
            seen.closed - told.closed,
            seen.broken - told.broken,
            seen.unheard - told.unheard,
        ))
    }
}

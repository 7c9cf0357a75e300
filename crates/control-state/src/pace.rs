//! How long records wait for this disk: the members tell each other, and so know how long a majority takes. Where disks are
//! slow, who would begin an attempt of its own leaves one that is under way the time that it needs.

use std::collections::VecDeque;
use std::time::Duration;

/// So many of the newest times count.
const SAMPLES: usize = 4;
/// Older ones say nothing of now.
const FRESH: Duration = Duration::from_secs(10);
/// Records that wait for the disk and are timed; of more at once the rest is not.
const TIMED: usize = 1024;

#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Pace {
    /// The newest syncs: when each ended, and how long a record waited for it.
    samples: VecDeque<(Duration, Duration)>,
    /// Records that are not durable yet: the number of the last that was handed out at a time.
    unsynced: VecDeque<(u64, Duration)>,
    newest: u64,
}

impl Pace {
    /// All records up to this number were handed to the disk.
    pub fn handed_out(&mut self, now: Duration, number: u64) {
        if number > self.newest && self.unsynced.len() < TIMED {
            self.newest = number;
            self.unsynced.push_back((number, now));
        }
    }

    /// All records up to this number are durable.
    pub fn synced(&mut self, now: Duration, number: u64) {
        let first = self.unsynced.front().filter(|(first, _)| *first <= number).map(|(_, at)| *at);
        let Some(first) = first else { return };
        if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, now.saturating_sub(first)));
        while self.unsynced.pop_front_if(|(waiting, _)| *waiting <= number).is_some() {}
    }

    /// The longest that a record has waited for this disk of late, or waits now.
    pub fn slowest(&self, now: Duration) -> Duration {
        let fresh = self.samples.iter().filter(|(ended, _)| now.saturating_sub(*ended) < FRESH);
        let waits = self.unsynced.front().map(|(_, since)| now.saturating_sub(*since));
        fresh.map(|(_, took)| *took).chain(waits).max().unwrap_or_default()
    }
}

/// How long a majority takes: the slowest of as many of these as it needs, the fastest first.
pub(crate) fn of_majority(mut members: Vec<Duration>, quorum: usize) -> Duration {
    members.sort_unstable();
    members.get(quorum.saturating_sub(1)).copied().unwrap_or_default()
}

#[cfg(test)]
#[path = "../tests/inner/pace.rs"]
mod tests;

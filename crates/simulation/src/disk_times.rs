//! How long the syncs of a simulated disk take, drawn from the schedule's seed.

use std::ops::RangeInclusive;
use std::time::Duration;

/// A disk in trouble: slow, by turns slower, or hanging at times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskTimes {
    /// A sync takes between these, in milliseconds.
    pub sync_ms: RangeInclusive<u64>,
    /// So many of a hundred syncs hang, for as long as `hang_ms` says.
    pub hangs_percent: u8,
    pub hang_ms: RangeInclusive<u64>,
}

impl DiskTimes {
    /// Each sync takes just as long.
    pub fn steady(sync_ms: u64) -> DiskTimes {
        DiskTimes { sync_ms: sync_ms..=sync_ms, hangs_percent: 0, hang_ms: 0..=0 }
    }

    /// Syncs take from half as long to half as long again.
    pub fn swinging(sync_ms: u64) -> DiskTimes {
        DiskTimes { sync_ms: sync_ms / 2..=sync_ms * 3 / 2, ..DiskTimes::steady(0) }
    }

    /// The longest that a sync may take.
    pub fn most(&self) -> Duration {
        let hang = if self.hangs_percent > 0 { *self.hang_ms.end() } else { 0 };
        Duration::from_millis(hang.max(*self.sync_ms.end()))
    }

    pub(crate) fn draw(&self, rng: &mut fastrand::Rng) -> Duration {
        let hangs = self.hangs_percent > 0 && rng.u8(0..100) < self.hangs_percent;
        let times = if hangs { &self.hang_ms } else { &self.sync_ms };
        Duration::from_millis(rng.u64(times.clone()))
    }
}

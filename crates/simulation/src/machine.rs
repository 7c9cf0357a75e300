//! One machine of the simulated world: its process, its clock, and its disk, which loses what was not synced.

use std::collections::BTreeMap;
use std::time::Duration;

use fallgap_control_state::fault::{self, Fault};
use fallgap_control_state::messages::Record;
use fallgap_control_state::{Keeper, Key};

use crate::disk_times::DiskTimes;

#[derive(Clone)]
pub struct Machine {
    pub keeper: Option<Keeper>,
    pub disk: bool,
    /// What is durable, and what is not yet: number and record.
    pub kept: Vec<Vec<u8>>,
    pub loose: Vec<(u64, Vec<u8>)>,
    pub life: u64,
    /// Its first start is the system's too.
    pub(crate) first: bool,
    /// It ended, and what it voted on as a seed is not on its disk.
    pub forgot: bool,
    /// Its clock is ahead of the sea's by this.
    pub(crate) ahead: Duration,
    /// What its wall clock was set forward by since it started. Nobody may go by it.
    pub(crate) set: Duration,
    /// Its steady clock runs faster than the sea's by this many parts in a million, or slower.
    pub rate_ppm: i32,
    pub frozen: bool,
    pub(crate) syncing: bool,
    pub slow_until: Duration,
    /// How long syncs of its disk take, in place of the usual time.
    pub disk_times: Option<DiskTimes>,
    pub(crate) since: Duration,
    pub(crate) down_since: Duration,
    pub(crate) side: u8,
    pub(crate) shown: BTreeMap<Key, Vec<u8>>,
}

impl Machine {
    /// What its process takes for the time.
    pub fn time(&self, now: Duration) -> Duration {
        let gained = drifted(now, self.rate_ppm.unsigned_abs(), 1_000_000);
        let own = if self.rate_ppm < 0 { now.saturating_sub(gained) } else { now + gained };
        own + self.before()
    }

    /// The first epoch that its disk holds, 0 for that of the seeds.
    pub(crate) fn epoch_kept(&self) -> Option<u64> {
        self.epochs_kept().next()
    }

    pub(crate) fn epochs_kept(&self) -> impl Iterator<Item = u64> {
        self.kept.iter().filter_map(|record| match Record::read(record) {
            Ok(Record::Epoch(charter)) => Some(charter.number),
            _ => None,
        })
    }

    /// When its process takes it for that time, at the earliest.
    pub(crate) fn when(&self, time: Duration) -> Duration {
        let own = time.saturating_sub(self.before());
        if self.rate_ppm == 0 {
            return own;
        }
        let (by, rate) = (self.rate_ppm.unsigned_abs(), i64::from(self.rate_ppm) + 1_000_000);
        let gained = drifted(own, by, u32::try_from(rate).unwrap_or(1_000_000));
        let at = if self.rate_ppm < 0 { own + gained } else { own.saturating_sub(gained) };
        // Divisions leave something off.
        at + Duration::from_nanos(2)
    }

    /// By how much it was ahead of the sea's at the sea's beginning.
    fn before(&self) -> Duration {
        self.ahead + if fault::is(Fault::WallClock) { self.set } else { Duration::ZERO }
    }
}

/// So many parts of a time.
fn drifted(time: Duration, parts: u32, of: u32) -> Duration {
    let nanos = time.as_nanos() * u128::from(parts) / u128::from(of);
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

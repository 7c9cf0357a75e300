//! The one clock: the system's time, read once at start, and a monotonic clock after.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Tells the time since the Unix epoch. Servers' start times are told in the same, so that those of
/// servers older than this process compare; a step of the system's time changes nothing.
#[derive(Clone, Copy)]
pub struct Clock {
    epoch: Duration,
    since: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { epoch, since: Instant::now() }
    }
    pub fn now(&self) -> Duration {
        self.epoch + self.since.elapsed()
    }
}

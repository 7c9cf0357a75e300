//! How often a line of the log that others bring about may be written.

use std::time::Duration;

const PERIOD: Duration = Duration::from_secs(5);

/// One kind of line.
#[derive(Debug, Default)]
pub struct LinePace {
    next: Duration,
}

impl LinePace {
    /// Whether the line is written now: the first at once, and then one each five seconds at most.
    pub fn may_tell(&mut self, now: Duration) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + PERIOD;
        true
    }
}

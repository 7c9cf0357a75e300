//! How many lines may leave.

use std::time::Duration;

/// So many lines a second, of which no more than one second's may leave at once. A message that is larger than what
/// is left waits until it fits, or until all of a second is there.
pub(crate) struct Budget {
    a_second: f64,
    left: f64,
    at: Duration,
}

impl Budget {
    pub fn new(a_second: f64) -> Budget {
        Budget { a_second, left: a_second, at: Duration::ZERO }
    }

    /// `Ok` if so many may leave now, and they count as left; else when they may.
    pub fn take(&mut self, now: Duration, lines: f64) -> Result<(), Duration> {
        let grown = now.saturating_sub(self.at).as_secs_f64() * self.a_second;
        (self.left, self.at) = ((self.left + grown).min(self.a_second), now.max(self.at));
        let needs = lines.min(self.a_second);
        if self.left + 1e-9 >= needs {
            // A message larger than a second's lines is paid for afterwards.
            self.left -= lines;
            return Ok(());
        }
        let missing = (needs - self.left) / self.a_second;
        Err(now + Duration::from_secs_f64(missing.max(1e-6)))
    }
}

//! How long answers usually take, and how much that swings.

use std::time::Duration;

/// How much a new time moves the mean, and the swing around it.
const MOVES: f64 = 0.125;
const SWINGS: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    /// In seconds; 0 before the first.
    mean: f64,
    swing: f64,
}

impl Usual {
    pub fn took(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.mean == 0.0 {
            (self.mean, self.swing) = (time, time / 2.0);
            return;
        }
        self.swing += ((time - self.mean).abs() - self.swing) * SWINGS;
        self.mean += (time - self.mean) * MOVES;
    }

    /// What takes longer is not usual; nothing is known before the first.
    pub fn late(&self) -> Option<Duration> {
        let late = self.mean + 4.0 * self.swing;
        (self.mean > 0.0).then(|| Duration::from_secs_f64(late.min(3600.0)))
    }
}

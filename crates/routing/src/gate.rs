//! Whom a service that turns requests away is not asked for: the lowest ranks first.

use std::time::Duration;

/// How often the level is looked at.
const LOOK: Duration = Duration::from_millis(250);
/// Part of the requests sent that may be turned away before ranks are refused.
const SHED: f64 = 0.3;
const FEWEST: u32 = 8;
const UP: f64 = 0.15;
const DOWN: f64 = 0.1;

/// The level rises while servers turn away, and falls while they do not.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    looked: Duration,
    sent: u32,
    shed: u32,
    /// 0: all go on. One rank more for each whole number.
    level: f64,
}

impl Gate {
    pub fn sent(&mut self) {
        self.sent += 1;
    }

    pub fn shed(&mut self) {
        self.shed += 1;
    }

    pub fn is_pressed(&self) -> bool {
        self.level > 0.0
    }

    /// Whether a request of this rank goes on. `below`: how many ranks stand under its own; `drawn`: 0 to 1.
    pub fn lets_in(&mut self, now: Duration, below: u8, drawn: f64) -> bool {
        self.look(now);
        // Some always go on, to see whether there is room again.
        drawn >= (self.level - f64::from(below)).clamp(0.0, 0.9)
    }

    fn look(&mut self, now: Duration) {
        if now < self.looked + LOOK {
            return;
        }
        let fresh = now < self.looked + 3 * LOOK;
        let pressed = fresh && self.sent >= FEWEST && f64::from(self.shed) > SHED * f64::from(self.sent);
        if pressed {
            self.level = (self.level + UP).min(2.0);
        } else {
            let looks = (now.saturating_sub(self.looked).as_secs_f64() / LOOK.as_secs_f64()).min(100.0);
            self.level = (self.level - DOWN * looks).max(0.0);
        }
        (self.looked, self.sent, self.shed) = (now, 0, 0);
    }
}

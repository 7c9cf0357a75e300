//! How many arrivals beyond the first of each request a service may get from this supervisor.

use std::collections::VecDeque;
use std::time::Duration;

/// A window is counted in this many steps. A step that has begun to leave it counts for what was spent and not for
/// what was earned.
const STEPS: u128 = 20;

/// Part of one's own requests' share, and of the slack, that is used: the rest is for what other supervisors and
/// late arrivals add.
const OF_RATIO: f64 = 0.8;
const OF_SLACK: f64 = 0.6;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    step: u128,
    firsts: u32,
    extras: u32,
}

/// Counts over a sliding window. It holds one count a step at most.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    step: Duration,
    counts: VecDeque<Count>,
}

impl Budget {
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        let step = (window / STEPS as u32).max(Duration::from_millis(1));
        Budget { ratio, slack, step, counts: VecDeque::new() }
    }

    /// A request for the service has come.
    pub fn first(&mut self, now: Duration) {
        if let Some(count) = self.count(now) {
            count.firsts += 1;
        }
    }

    /// Whether one more arrival may be spent, of this part of the budget.
    pub fn allows(&mut self, now: Duration, supervisors: usize, part: f64) -> bool {
        let now_step = self.trim(now);
        let whole = self.counts.iter().filter(|count| count.step + STEPS > now_step);
        let firsts: u32 = whole.map(|count| count.firsts).sum();
        let extras: u32 = self.counts.iter().map(|count| count.extras).sum();
        let slack = self.slack * OF_SLACK / supervisors.max(3) as f64;
        f64::from(extras + 1) <= (f64::from(firsts) * self.ratio * OF_RATIO + slack) * part
    }

    /// One more arrival is spent.
    pub fn spend(&mut self, now: Duration) {
        if let Some(count) = self.count(now) {
            count.extras += 1;
        }
    }

    fn count(&mut self, now: Duration) -> Option<&mut Count> {
        let step = self.trim(now);
        if self.counts.back().is_none_or(|last| last.step < step) {
            self.counts.push_back(Count { step, ..Count::default() });
        }
        self.counts.back_mut()
    }

    /// Drops what the window has left for good. Gives the present step.
    fn trim(&mut self, now: Duration) -> u128 {
        let step = now.as_nanos() / self.step.as_nanos().max(1);
        while self.counts.front().is_some_and(|count| count.step + STEPS < step) {
            self.counts.pop_front();
        }
        step
    }
}

//! The last few samples of something measured. Figures are worked out from them when they are needed.

use std::collections::VecDeque;
use std::time::Duration;

pub struct Samples<T>(VecDeque<(Duration, T)>);

impl<T> Default for Samples<T> {
    fn default() -> Self {
        Samples(VecDeque::new())
    }
}

impl<T> Samples<T> {
    /// Adds a sample and lets go of the oldest beyond `most`.
    pub fn add(&mut self, now: Duration, sample: T, most: usize) {
        self.0.push_back((now, sample));
        while self.0.len() > most {
            self.0.pop_front();
        }
    }
    pub fn clear(&mut self) {
        self.0.clear();
    }
    /// Lets go of those that came before a moment.
    pub fn forget(&mut self, before: Duration) {
        self.0.retain(|s| s.0 >= before);
    }
    /// When the newest came.
    pub fn last(&self) -> Option<Duration> {
        self.0.back().map(|s| s.0)
    }
    /// Those that came at a moment or later, the newest first.
    pub fn since(&self, from: Duration) -> impl Iterator<Item = &T> {
        self.timed(from).map(|s| s.1)
    }
    /// As `since`, with when they came.
    pub fn timed(&self, from: Duration) -> impl Iterator<Item = (Duration, &T)> {
        self.0.iter().rev().take_while(move |s| s.0 >= from).map(|s| (s.0, &s.1))
    }
    /// Those that came within a span, the newest first.
    pub fn between(&self, from: Duration, to: Duration) -> impl Iterator<Item = &T> {
        self.0.iter().rev().filter(move |s| s.0 >= from && s.0 <= to).map(|s| &s.1)
    }
}

/// The mean of some figures, if there are any.
pub fn mean(figures: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = figures.fold((0.0, 0.0), |a, x| (a.0 + x, a.1 + 1.0));
    (n > 0.0).then(|| sum / n)
}

/// The figure that one in so many stays under; 0 if there are none.
pub fn lowest(figures: impl Iterator<Item = f64>, one_in: usize) -> f64 {
    let mut figures: Vec<f64> = figures.collect();
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / one_in).copied().unwrap_or(0.0)
}

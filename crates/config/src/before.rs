//! A moment of a process's clock that may lie before its start.

use std::time::Duration;

/// The moment `age` before `asked`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Before {
    pub asked: Duration,
    pub age: Duration,
}

impl Before {
    pub fn is_later_than(&self, other: &Before) -> bool {
        self.asked + other.age > other.asked + self.age
    }

    /// Whether it is no further back than that.
    pub fn is_within(&self, now: Duration, time: Duration) -> bool {
        now + self.age <= self.asked + time
    }
}

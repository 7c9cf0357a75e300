//! How many queries may leave, and how long to wait after failures.

use std::collections::VecDeque;
use std::time::Duration;

/// At most so many queries in any second.
pub struct Pace {
    most: usize,
    left: VecDeque<Duration>,
}

impl Pace {
    pub fn of(most: usize) -> Pace {
        Pace { most, left: VecDeque::new() }
    }
    /// `Ok` if a query may leave now, and it counts as left; else when the next one may.
    pub fn leave(&mut self, now: Duration) -> Result<(), Duration> {
        let second = Duration::from_secs(1);
        while self.left.front().is_some_and(|at| now >= *at + second) {
            self.left.pop_front();
        }
        match self.left.front() {
            Some(first) if self.left.len() >= self.most => Err(*first + second),
            _ => {
                self.left.push_back(now);
                Ok(())
            }
        }
    }
}

/// The pause after so many failures in a row: twice as long each time, up to the longest, and of that a part
/// drawn from the half up, so that those who failed together do not ask together.
pub fn pause((first, longest): (Duration, Duration), failures: u32, drawn: f64) -> Duration {
    let whole = first.saturating_mul(1 << failures.saturating_sub(1).min(20)).min(longest);
    whole.mul_f64(0.5 + 0.5 * drawn)
}

/// When to ask again for what has such a lifetime: before it ends, spread over a fifth of it.
pub fn refresh(lifetime: Duration, drawn: f64) -> Duration {
    lifetime.mul_f64(0.7 + 0.2 * drawn)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against more queries in some second than were stated, whatever their spacing.
    #[test]
    fn no_second_has_more_than_the_most() {
        let (mut pace, mut left, mut rng) = (Pace::of(7), Vec::new(), fastrand::Rng::with_seed(3));
        let mut now = Duration::ZERO;
        for _ in 0..5000 {
            now += Duration::from_millis(rng.u64(0..200));
            match pace.leave(now) {
                Ok(()) => left.push(now),
                Err(next) => assert!(next > now && next <= now + Duration::from_secs(1)),
            }
        }
        let over = left.windows(8).find(|w| w[7] - w[0] < Duration::from_secs(1));
        assert!(over.is_none() && left.len() > 2000, "{over:?}");
    }

    #[test]
    fn pauses_grow_to_the_longest() {
        let (first, longest) = (Duration::from_millis(500), Duration::from_secs(30));
        let whole = |failures| pause((first, longest), failures, 1.0);
        assert_eq!([whole(1), whole(2), whole(3)], [first, first * 2, first * 4]);
        assert_eq!((whole(9), whole(u32::MAX)), (longest, longest));
        assert_eq!(pause((first, longest), 1, 0.0), first / 2);
    }
}

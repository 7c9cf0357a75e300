//! Withdrawals of calls, said again on each new stream while they matter: the stream before may have delivered the call
//! and lost its withdrawal. A withdrawal that comes twice changes nothing.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// A call that was delivered runs for 0.9 s at most.
const MATTERS: Duration = Duration::from_secs(1);
/// To one peer; the oldest is let go of for one more.
const MOST: usize = 1024;

#[derive(Default)]
pub(super) struct Owed {
    /// The oldest first.
    frames: VecDeque<(Duration, Arc<Vec<u8>>)>,
}

impl Owed {
    pub fn add(&mut self, now: Duration, frame: &Arc<Vec<u8>>) {
        self.forget(now);
        if self.frames.len() >= MOST {
            self.frames.pop_front();
        }
        self.frames.push_back((now, frame.clone()));
    }

    fn forget(&mut self, now: Duration) {
        while self.frames.front().is_some_and(|(said, _)| now > *said + MATTERS) {
            self.frames.pop_front();
        }
    }

    pub fn is_empty(&mut self, now: Duration) -> bool {
        self.forget(now);
        self.frames.is_empty()
    }

    /// What is to be said again, in the order in which it was said.
    pub fn again(&mut self, now: Duration) -> impl DoubleEndedIterator<Item = Arc<Vec<u8>>> {
        self.forget(now);
        self.frames.iter().map(|(_, frame)| frame.clone())
    }
}

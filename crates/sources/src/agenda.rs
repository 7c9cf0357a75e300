//! When a server has to be looked at again though nothing is said of it: an index by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A heap with one entry for each server at most. A look that moved to later is found out when its entry
/// comes up and entered again then, so that confirming a claim costs nothing here.
#[derive(Default)]
pub(crate) struct Agenda {
    looks: BinaryHeap<Reverse<(Duration, usize)>>,
    /// By server: the time of its entry.
    entered: Vec<Option<Duration>>,
}

impl Agenda {
    pub fn look(&mut self, node: usize, at: Duration) {
        if self.entered.len() <= node {
            self.entered.resize(node + 1, None);
        }
        if self.entered[node].is_none_or(|entered| at < entered) {
            self.entered[node] = Some(at);
            self.looks.push(Reverse((at, node)));
        }
    }

    /// The next server whose time has come.
    pub fn due(&mut self, now: Duration) -> Option<usize> {
        while let Some(Reverse((at, node))) = self.looks.peek().copied() {
            if at > now {
                return None;
            }
            self.looks.pop();
            // An earlier entry has taken this one's place.
            if self.entered[node] == Some(at) {
                self.entered[node] = None;
                return Some(node);
            }
        }
        None
    }

    pub fn next(&self) -> Option<Duration> {
        self.looks.peek().map(|Reverse((at, _))| *at)
    }
}

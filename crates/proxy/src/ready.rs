//! Sources that have more to be done than their turn allowed: each waits once, and gets its next turn behind all others.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// A queue in which each source stands once at most.
#[derive(Debug)]
pub struct ReadyQueue<S> {
    order: VecDeque<S>,
    queued: HashSet<S>,
}

impl<S> Default for ReadyQueue<S> {
    fn default() -> Self {
        ReadyQueue { order: VecDeque::new(), queued: HashSet::new() }
    }
}

impl<S: Copy + Eq + Hash> ReadyQueue<S> {
    /// To the end of the queue; one that waits already keeps its place.
    pub fn add(&mut self, source: S) {
        if self.queued.insert(source) {
            self.order.push_back(source);
        }
    }

    pub fn contains(&self, source: S) -> bool {
        self.queued.contains(&source)
    }

    /// The source that has waited for longest.
    pub fn take(&mut self) -> Option<S> {
        let source = self.order.pop_front()?;
        self.queued.remove(&source);
        Some(source)
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

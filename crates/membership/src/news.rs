//! What is to be told on, and how often yet.

use crate::card::NodeId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// News of new nodes steps behind news of known ones: at a start there is much of it, and comparing finds it too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    Known,
    New,
}

/// The place in the queue: by rank, then what has gone to the fewest, then the newest.
type Turn = (Rank, Reverse<u32>, Reverse<u64>, NodeId);

/// Nodes of which there is news, each with how many more peers it is to go to. Holds at most one piece for each
/// known node.
#[derive(Debug, Default)]
pub(crate) struct Fresh {
    turns: BTreeMap<NodeId, Turn>,
    order: BTreeSet<Turn>,
    count: u64,
    /// Pieces that are still to be pushed to drawn peers.
    hot: usize,
}

impl Fresh {
    /// News of a node, which goes to `times` peers.
    pub fn add(&mut self, node: NodeId, rank: Rank, times: u32) {
        self.count += 1;
        self.put((rank, Reverse(times), Reverse(self.count), node));
        self.hot = (self.hot + 1).min(self.order.len());
    }

    fn put(&mut self, turn: Turn) {
        if let Some(old) = self.turns.insert(turn.3, turn) {
            self.order.remove(&old);
        }
        self.order.insert(turn);
    }

    /// What there was to tell of it is void.
    pub fn drop(&mut self, node: NodeId) {
        if let Some(turn) = self.turns.remove(&node) {
            self.order.remove(&turn);
            self.hot = self.hot.min(self.order.len());
        }
    }

    /// Up to `most` nodes whose news goes to `peers` peers now.
    pub fn take(&mut self, most: usize, peers: u32) -> Vec<NodeId> {
        let taken: Vec<_> = self.order.iter().take(most).copied().collect();
        for (rank, Reverse(left), count, node) in &taken {
            if *left > peers {
                self.put((*rank, Reverse(left - peers), *count, *node));
            } else {
                self.drop(*node);
            }
        }
        taken.into_iter().map(|turn| turn.3).collect()
    }

    pub fn is_hot(&self) -> bool {
        self.hot > 0
    }

    /// So many pieces have been pushed.
    pub fn pushed(&mut self, pieces: usize) {
        self.hot = self.hot.saturating_sub(pieces);
    }
}

/// So many peers hear a piece from each who has it: `2 log2(n) + 3` for a known node, a few for a new one.
pub(crate) fn times(rank: Rank, nodes: usize) -> u32 {
    match rank {
        Rank::Known => 2 * nodes.max(1).ilog2() + 3,
        Rank::New => 6,
    }
}

#[cfg(test)]
#[path = "../tests/inner/news.rs"]
mod tests;

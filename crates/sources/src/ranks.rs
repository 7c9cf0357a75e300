//! Servers by the rank that a source gives them: only the best rank with a server is open.

use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(crate) struct Ranks {
    held: BTreeMap<u16, BTreeSet<usize>>,
    /// The rank that was open when it was last asked.
    open: Option<u16>,
}

impl Ranks {
    pub fn enter(&mut self, rank: u16, node: usize) {
        self.held.entry(rank).or_default().insert(node);
    }
    pub fn leave(&mut self, rank: u16, node: usize) {
        if let Some(nodes) = self.held.get_mut(&rank) {
            nodes.remove(&node);
            if nodes.is_empty() {
                self.held.remove(&rank);
            }
        }
    }
    pub fn is_open(&self, rank: u16) -> bool {
        self.held.first_key_value().is_some_and(|(best, _)| *best == rank)
    }
    /// Servers that open or close since another rank became the best.
    pub fn moved(&mut self) -> Vec<usize> {
        let best = self.held.first_key_value().map(|(rank, _)| *rank);
        let before = std::mem::replace(&mut self.open, best);
        if before == best {
            return Vec::new();
        }
        let of = |rank: Option<u16>| rank.and_then(|r| self.held.get(&r)).into_iter().flatten().copied();
        of(before).chain(of(best)).collect()
    }
}

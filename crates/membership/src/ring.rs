//! The ring: whom a node tells that it lives, and whom it listens for.

use crate::card::{NodeId, State, place};

/// The own place's neighbours.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Ring {
    /// The next ones, which get the heartbeats. Those here first; while there are too few, doubted and gone
    /// ones too, so that a node that was cut off is heard again.
    pub watchers: Vec<NodeId>,
    /// The ones before, whose heartbeats come here.
    pub watched: Vec<NodeId>,
}

impl Ring {
    pub fn of(me: NodeId, count: usize, others: impl Iterator<Item = (NodeId, State)>) -> Ring {
        let from = place(me);
        // The way forward from the own place.
        let mut round: Vec<_> =
            others.map(|(node, state)| (place(node).wrapping_sub(from), node, state)).collect();
        round.sort_unstable();
        let here = |(_, node, state): &(u64, NodeId, State)| (*state == State::Here).then_some(*node);
        let mut watchers: Vec<_> = round.iter().filter_map(here).take(count).collect();
        let watched = round.iter().rev().filter_map(here).take(count).collect();
        for state in [State::Doubted, State::Gone] {
            let room = count.saturating_sub(watchers.len());
            watchers.extend(round.iter().filter(|r| r.2 == state).map(|r| r.1).take(room));
        }
        Ring { watchers, watched }
    }
}

#[cfg(test)]
#[path = "../tests/inner/ring.rs"]
mod tests;

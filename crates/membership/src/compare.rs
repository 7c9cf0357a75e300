//! Comparing what two nodes hold: one sum, then sums of parts, then what the differing parts hold, by pages.

use crate::beacon::Beacon;
use crate::card::{Card, NodeId, State, mix, place};
use crate::message::{News, Word};
use std::time::Duration;

/// Parts by the first bits of a node's place.
const PARTS: usize = 64;

fn part(node: NodeId) -> usize {
    (place(node) >> 58) as usize
}

fn print(card: &Card, state: State) -> u64 {
    let held = mix(card.life) ^ (u64::from(card.sequence) << 1 | u64::from(state != State::Here));
    mix(place(card.node) ^ mix(held))
}

impl Beacon {
    /// What both sides should hold alike: who is gone is left out, as each forgets it in its own time.
    fn held(&self) -> impl Iterator<Item = (&Card, State)> {
        let others = self.known.values().map(|e| (&e.peer.card, e.peer.state));
        std::iter::once((&self.me, State::Here)).chain(others.filter(|(_, state)| *state != State::Gone))
    }

    pub(crate) fn digest(&self) -> u64 {
        self.held().fold(0, |sum, (card, state)| sum ^ print(card, state))
    }

    pub(crate) fn parts(&self) -> Vec<u32> {
        let mut sums = vec![0; PARTS];
        for (card, state) in self.held() {
            if let Some(sum) = sums.get_mut(part(card.node)) {
                *sum ^= print(card, state) as u32;
            }
        }
        sums
    }

    /// The other's parts are these: asks for those that differ.
    pub(crate) fn compared(&mut self, from: NodeId, sums: &[u32]) {
        let own = self.parts();
        let differ = own.iter().enumerate().filter(|(i, sum)| sums.get(*i) != Some(sum));
        let parts = differ.fold(0, |bits, (i, _)| bits | 1 << i);
        if parts != 0 {
            self.send(from, Word::Pull { parts, after: None, back: true }, Vec::new());
        }
    }

    /// Hands out a page, if there is room in this second.
    pub(crate) fn pulled(&mut self, now: Duration, from: NodeId, parts: u64, after: Option<NodeId>) {
        if !self.pages.take(now) {
            return;
        }
        let wanted = |card: &Card| {
            parts >> part(card.node) & 1 == 1 && after.is_none_or(|a| card.node > a) && card.node != from
        };
        let mut found: Vec<_> = self.held().filter(|(card, _)| wanted(card)).collect();
        found.sort_unstable_by_key(|(card, _)| card.node);
        // One piece is left free: what this node holds of the one that it writes to.
        let room = self.terms.news.saturating_sub(1).max(1);
        let more = if found.len() > room { found.get(room - 1).map(|(card, _)| card.node) } else { None };
        let page =
            found.into_iter().take(room).map(|(card, state)| News { card: card.clone(), state }).collect();
        self.send(from, Word::Page { parts, more }, page);
    }
}

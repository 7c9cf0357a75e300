//! What a supervisor says about itself, and what others make of it.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// A machine's name: a machine that takes the place of another comes at another address.
pub type NodeId = std::net::Ipv4Addr;

/// A supervisor's own word about itself. Only the supervisor makes a new one, and raises `sequence` for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    pub node: NodeId,
    pub zone: Arc<str>,
    /// The disk's drawn number; none without a disk.
    pub disk: Option<u64>,
    /// Drawn at each start of the process. Lives have no order: a process that learns of an older life at its
    /// address takes a sequence above that one's.
    pub life: u64,
    pub leaving: bool,
    pub sequence: u32,
}

/// Why a card is not taken.
#[derive(Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum Unfit {
    /// its zone's name has {0} bytes
    Zone(usize),
    /// it names {0}, which is not its sender
    Sender(NodeId),
    /// it brings {0} pieces of news
    News(usize),
}

impl Card {
    pub(crate) fn check(&self, zone_bytes: usize) -> Result<(), Unfit> {
        if self.zone.len() > zone_bytes { Err(Unfit::Zone(self.zone.len())) } else { Ok(()) }
    }

    /// Of two cards of one node the greater holds. Two lives under one sequence are put in some order that is
    /// the same everywhere, until the living one hears of the other and goes above it.
    pub(crate) fn order(&self, other: &Card) -> Ordering {
        (self.sequence, self.life).cmp(&(other.sequence, other.life))
    }

    /// Goes above `sequence`. At the last number it stays there: that is four billion doubts away.
    pub(crate) fn rise(&mut self, sequence: u32) {
        self.sequence = self.sequence.max(sequence).saturating_add(1);
    }
}

/// What is believed of a supervisor. Doubted: silent; Gone: long silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Here,
    Doubted,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    pub card: Card,
    pub state: State,
    /// When it came into this state.
    pub since: Duration,
}

/// A hash that is the same on every machine.
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A node's place on the ring.
pub(crate) fn place(node: NodeId) -> u64 {
    mix(u64::from(u32::from(node)))
}

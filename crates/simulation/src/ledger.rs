//! Whether the answers about one register fit one order in which each call took effect at one moment between its
//! sending and its answer (linearisability, Herlihy and Wing 1990, section 2; it holds for all registers together if
//! it holds for each).
//!
//! Each state of a register that a caller was told of has a rising number (an edition, a fence, a value, a revision),
//! so the order is known, and no search is needed: the earliest moment for each state in turn, and a breach where it
//! comes after the latest. A call with an unclear answer may take effect at any time after its sending, or never.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::breach::{Check, hold};

/// When something was asked, and when it was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub sent: Duration,
    pub told: Duration,
}

/// A state that was begun by a call, as far as is known.
#[derive(Clone, Copy, Debug)]
struct State {
    earliest: Duration,
    latest: Duration,
}

/// The states of one register, and of the parts of it that are read by themselves.
#[derive(Debug, Default)]
pub struct Ledger {
    /// By number, with the part that it changed.
    states: BTreeMap<u64, (String, State)>,
    /// Seen as the present state of a part.
    seen: Vec<(String, u64, Span)>,
    /// Something at or above this number was there before this moment.
    reached: Vec<(u64, Duration)>,
}

impl Ledger {
    /// A call that began this state. Tries of one call are one: from the first sending to the first answer.
    pub fn began(&mut self, part: &str, number: u64, span: Span) {
        let Span { sent, told } = span;
        let new = (part.to_owned(), State { earliest: sent, latest: told });
        let (_, state) = self.states.entry(number).or_insert(new);
        state.earliest = state.earliest.min(sent);
        state.latest = state.latest.min(told);
    }

    /// A call without a clear answer may have begun this state, if somebody saw it.
    pub fn may_have_begun(&mut self, part: &str, number: u64, sent: Duration) {
        self.began(part, number, Span { sent, told: Duration::MAX });
    }

    /// This was the present state of a part. 0: there was none yet.
    pub fn saw(&mut self, part: &str, number: u64, span: Span) {
        self.seen.push((part.to_owned(), number, span));
    }

    /// When this was told, the register had come at least so far.
    pub fn reached(&mut self, number: u64, told: Duration) {
        self.reached.push((number, told));
    }

    /// Ends with a breach if there is no order.
    pub fn check(mut self, what: &str) {
        for (part, number, span) in &self.seen {
            if let Some((begun, state)) = self.states.get_mut(number) {
                hold!(begun == part, Check::Linear, "{what}: {number} is of {begun} and of {part}");
                state.latest = state.latest.min(span.told);
            }
            // The next state of this part came after this was sent.
            let next = self.states.range_mut(number + 1..).find(|(_, (of, _))| of == part);
            if let Some((_, (_, state))) = next {
                state.earliest = state.earliest.max(span.sent);
            }
        }
        for (number, told) in &self.reached {
            if let Some((_, (_, state))) = self.states.range_mut(number..).next() {
                state.latest = state.latest.min(*told);
            }
        }
        let mut at = Duration::ZERO;
        for (number, (part, state)) in &self.states {
            at = at.max(state.earliest);
            let State { latest, .. } = state;
            hold!(
                at <= *latest,
                Check::Linear,
                "{what}: {number} ({part}) at {at:?} at the earliest, at {latest:?} at the latest"
            );
        }
    }
}

#[cfg(test)]
#[path = "../tests/inner/ledger.rs"]
mod tests;

//! What a script does by hand: machines leave in good order, and messages on their way are dropped or kept back.

use std::time::Duration;

use fallgap_control_state::fault::{self, Fault};
use fallgap_control_state::{Message, NodeId};

use crate::waters::{Event, Sea, ms};

/// A process that has ended in good order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Left {
    pub took: Duration,
    /// It was shown that the others hold all; else its time was over.
    pub shown: bool,
}

/// Messages kept back.
#[derive(Debug, Default)]
pub struct Kept(Vec<Event>);

impl Sea {
    /// A process ends, and its disk loses what was synced behind so many records. Its store sees that, and the disk begins
    /// anew as another one; or it is taken for an end that was never synced.
    pub fn rot(&mut self, node: NodeId, left: usize) {
        self.kill(node, false);
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.kept.truncate(if fault::is(Fault::RotIsTorn) { left } else { 0 });
        }
    }

    /// The word to end: the others are told.
    pub fn word_to_end(&mut self, node: NodeId) {
        self.at_keeper(node, |keeper, time| keeper.leaving(time));
    }

    /// It has no calls at work any more, and asks whether it may end.
    pub fn depart(&mut self, node: NodeId) {
        self.at_keeper(node, |keeper, time| keeper.depart(time));
    }

    pub fn may_end(&self, node: NodeId) -> bool {
        self.keeper(node).is_none_or(|keeper| keeper.may_end())
    }

    /// From the word to end until the process ends, for which it has so long. `run` lets a moment pass.
    pub fn leave(&mut self, node: NodeId, grace: Duration, mut run: impl FnMut(&mut Sea, Duration)) -> Left {
        let from = self.now;
        self.word_to_end(node);
        self.depart(node);
        while !self.may_end(node) && self.now < from + grace {
            let until = self.now + ms(1);
            run(self, until);
        }
        let left = Left { took: self.now - from, shown: self.may_end(node) };
        self.kill(node, false);
        left
    }

    fn at_keeper(&mut self, node: NodeId, does: impl FnOnce(&mut fallgap_control_state::Keeper, Duration)) {
        let now = self.now;
        if let Some(machine) = self.machines.get_mut(&node) {
            let time = machine.time(now);
            if let Some(keeper) = &mut machine.keeper {
                does(keeper, time);
            }
        }
        self.collect(node);
    }

    /// Takes what is on its way and fits.
    pub fn keep_back(&mut self, kept: &mut Kept, fits: impl Fn(NodeId, NodeId, &Message) -> bool) -> usize {
        let before = kept.0.len();
        self.events.retain(|_, event| {
            let Event::Deliver { from, to, message, .. } = event else { return true };
            let held = postcard::from_bytes(message).is_ok_and(|message| fits(*from, *to, &message));
            if held {
                kept.0.push(event.clone());
            }
            !held
        });
        kept.0.len() - before
    }

    /// What was kept back comes now, the latest first.
    pub fn deliver(&mut self, kept: Kept) {
        for (at, event) in kept.0.into_iter().enumerate() {
            self.events.insert((self.now, u64::MAX - at as u64), event);
        }
    }

    /// Lets a moment pass in which nothing that fits comes.
    pub fn run_without(&mut self, until: Duration, fits: impl Fn(NodeId, NodeId, &Message) -> bool) {
        self.run_keeping(until, &mut Kept::default(), fits);
    }

    /// The same, and what fits is kept back.
    pub fn run_keeping(
        &mut self, until: Duration, kept: &mut Kept, fits: impl Fn(NodeId, NodeId, &Message) -> bool,
    ) {
        // No message is on its way for less.
        const STEP: Duration = Duration::from_micros(400);
        while self.now < until {
            let step = (self.now + STEP).min(until);
            self.run(step);
            self.keep_back(kept, &fits);
        }
    }
}

//! Leases on views: a follower asks what its home knows, and learns by the answer up to which moment its own view is complete. The
//! answer names the question, so that the follower counts from when it asked, by its own clock: however long words wait on a link,
//! an old answer never makes a view look fresh.

use crate::NodeId;
use crate::distribution::{Distribution, Out};
use crate::messages::{Knows, LeaseQuestion};
use fallgap_config::Before;
use std::collections::VecDeque;
use std::time::Duration;

/// Answers that wait for what they name. Over it the oldest is let go of.
const MOST: usize = 16;

/// Up to when a supervisor's view is known to be complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewTimes {
    /// All that the home knew by then is in the view.
    pub known: Duration,
    /// All that was committed by then is in the view. `None`: no home has said so in this life.
    pub committed: Option<Before>,
    /// Others have had words lately, and no home that it cannot be followed: what is missing can be expected.
    pub is_reached: bool,
}

/// An answer that names what the view may not hold yet.
struct Waiting {
    asked: Duration,
    committed: Before,
    knows: Knows,
}

/// The follower's side.
pub(crate) struct ViewLease {
    life: u64,
    period: Duration,
    ask: Duration,
    known: Duration,
    committed: Option<Before>,
    waiting: VecDeque<Waiting>,
}

impl ViewLease {
    /// `life`: drawn anew in each life, so that no answer to an earlier one counts in this.
    pub(crate) fn start(now: Duration, life: u64, period: Duration) -> ViewLease {
        ViewLease { life, period, ask: now, known: now, committed: None, waiting: VecDeque::new() }
    }

    /// The home is asked now.
    pub(crate) fn asks(&mut self, now: Duration) -> LeaseQuestion {
        self.ask = now + self.period;
        LeaseQuestion { life: self.life, asked: now }
    }

    pub(crate) fn next_ask(&self) -> Duration {
        self.ask
    }

    /// The home has answered: it knows that, which was all that had been committed `read_age` before.
    pub(crate) fn answered(
        &mut self, now: Duration, question: LeaseQuestion, knows: Knows, read_age: Duration,
    ) {
        if question.life != self.life || question.asked > now {
            return;
        }
        if self.waiting.len() >= MOST {
            self.waiting.pop_front();
        }
        let committed = Before { asked: question.asked, age: read_age };
        self.waiting.push_back(Waiting { asked: question.asked, committed, knows });
    }

    /// The view holds that version of a table, and has heard so many of its home's ends of servers.
    pub(crate) fn holds(&mut self, epoch: u64, version: u64, ends: u64) {
        let holds = |knows: &Knows| knows.epoch == epoch && version >= knows.version && ends >= knows.ends;
        while let Some(one) = self.waiting.pop_front_if(|one| holds(&one.knows)) {
            self.known = self.known.max(one.asked);
            if self.committed.is_none_or(|before| one.committed.is_later_than(&before)) {
                self.committed = Some(one.committed);
            }
        }
    }

    /// Another home is followed: it has not answered anything.
    pub(crate) fn moves(&mut self) {
        self.waiting.clear();
    }

    pub(crate) fn times(&self, is_reached: bool) -> ViewTimes {
        ViewTimes { known: self.known, committed: self.committed, is_reached }
    }
}

impl Distribution {
    /// A follower asks what this home knows. Nothing is said by one that may be old itself.
    pub fn lease_wanted(&mut self, follower: NodeId, question: LeaseQuestion) {
        if self.confirms() && self.is_followed_by(follower) {
            let knows = self.knows();
            self.out.push(Out::Lease { to: follower, question, knows });
        }
    }
}

//! Which followers of a home hold an edition of the configuration, and who has asked to know. The feed knows which version
//! of the table each follower has acknowledged; here it is known which version brought which edition.

use crate::NodeId;
use crate::distribution::{Distribution, Out};
use crate::sending::receiver_of;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Editions of which the version is remembered. For an older one the version of the oldest of these is asked for.
const EDITIONS: usize = 256;
/// Questions that wait; one beyond is answered at once by what is known then.
const QUESTIONS: usize = 256;
/// So long a question waits. Whoever still wants to know has asked again by then.
const WAITS: Duration = Duration::from_millis(1000);

/// A version of the table that was the first with an edition.
struct Brought {
    edition: u64,
    version: u64,
    at: Duration,
}

struct Question {
    from: NodeId,
    id: u64,
    edition: u64,
    until: Duration,
}

#[derive(Default)]
pub(crate) struct Holders {
    /// Editions, versions and times rise.
    brought: VecDeque<Brought>,
    questions: Vec<Question>,
    /// Supervisors that are there, if that is known: one that has died stays among the followers until it is missed.
    present: Option<BTreeSet<NodeId>>,
}

impl Holders {
    /// A version of the table has brought an edition, unless an earlier version did.
    pub(crate) fn brought(&mut self, now: Duration, edition: u64, version: u64) {
        if self.brought.back().is_some_and(|newest| newest.edition >= edition) {
            return;
        }
        if self.brought.len() >= EDITIONS {
            self.brought.pop_front();
        }
        self.brought.push_back(Brought { edition, version, at: now });
    }

    fn is_present(&self, node: &NodeId) -> bool {
        self.present.as_ref().is_none_or(|present| present.contains(node))
    }

    /// What brought an edition, or one that has overtaken it. `None`: this home does not have it.
    fn first_with(&self, edition: u64) -> Option<&Brought> {
        self.brought.iter().find(|brought| brought.edition >= edition)
    }
}

impl Distribution {
    /// A supervisor asks which followers hold an edition. It is answered when all do, and whenever it asks again.
    pub fn holders_wanted(&mut self, now: Duration, from: NodeId, id: u64, edition: u64) {
        let questions = &mut self.holders.questions;
        let known = questions.iter_mut().find(|question| (question.from, question.id) == (from, id));
        let asks_again = known.is_some();
        if let Some(question) = known {
            question.until = now + WAITS;
        } else if questions.len() < QUESTIONS {
            questions.push(Question { from, id, edition, until: now + WAITS });
        }
        if asks_again || self.holders.questions.len() >= QUESTIONS {
            let holders = self.holders_of(edition);
            self.tell_holders(now, from, id, edition, holders);
        }
        self.answer_questions(now);
    }

    /// Supervisors that are there: of the others nothing is awaited.
    pub fn present(&mut self, now: Duration, nodes: BTreeSet<NodeId>) {
        self.holders.present = Some(nodes);
        self.answer_questions(now);
    }

    /// Up to which withdrawal all that follow this home, and are there, have heard of ends of servers.
    pub fn ends_heard(&self) -> u64 {
        let epoch = self.tables.epoch();
        let present = self.followers().filter(|follower| self.holders.is_present(follower));
        let heard = present.map(|follower| self.feed.heard(receiver_of(follower), epoch));
        heard.min().unwrap_or(u64::MAX)
    }

    /// Followers that have acknowledged a table with that edition, or a later one.
    fn holders_of(&self, edition: u64) -> Vec<NodeId> {
        self.followers().filter(|follower| self.holds(follower, edition)).collect()
    }

    fn holds(&self, follower: &NodeId, edition: u64) -> bool {
        let Some(brought) = self.holders.first_with(edition) else { return false };
        let held = self.feed.holds(receiver_of(*follower));
        held.is_some_and(|held| held.epoch == self.tables.epoch() && held.number >= brought.version)
    }

    /// Whether this home has an edition, and all that follow it and are there do.
    fn all_hold(&self, edition: u64) -> bool {
        let mut awaited = self.followers().filter(|follower| self.holders.is_present(follower));
        self.holders.first_with(edition).is_some() && awaited.all(|follower| self.holds(&follower, edition))
    }

    fn tell_holders(&mut self, now: Duration, to: NodeId, id: u64, edition: u64, holders: Vec<NodeId>) {
        let age = self.holders.first_with(edition).map(|brought| now.saturating_sub(brought.at));
        self.out.push(Out::Holders { to, id, holders, age });
    }

    /// Answers those that all followers hold by now, and lets go of those that nobody waits for any more.
    pub(crate) fn answer_questions(&mut self, now: Duration) {
        if self.holders.questions.is_empty() {
            return;
        }
        let mut questions = std::mem::take(&mut self.holders.questions);
        questions.retain(|question| now < question.until);
        questions.retain(|question| {
            let all = self.all_hold(question.edition);
            if all {
                let holders = self.holders_of(question.edition);
                self.tell_holders(now, question.from, question.id, question.edition, holders);
            }
            !all
        });
        self.holders.questions = questions;
    }
}

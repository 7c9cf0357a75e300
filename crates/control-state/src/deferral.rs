//! How long proposers wait for each other and for disks, by how long a majority of disks takes now. On quick disks the times
//! of [`Terms`](crate::Terms) hold.

use std::time::Duration;

use crate::acceptor::Attempt;
use crate::fault::{self, Fault};
use crate::keeper::Keeper;
use crate::pace::of_majority;
use crate::types::{Key, NodeId};

/// What one phase of an attempt needs, in waits of a record for a majority of disks, and some for links.
const PHASE: f64 = 1.25;
/// What was begun for callers that have gone may need so many times that, and goes on no longer.
const GOES_ON: u32 = 4;

impl Keeper {
    /// Another node is at work on this register, as far as this disk has heard, and disks are slow: a ballot above its own
    /// would undo that work. It is left alone for a phase's time from when it went forward last, as far as was heard. Until when to
    /// wait; `defers`: since when attempts of others have been waited for.
    pub(crate) fn others_attempt(
        &self, now: Duration, key: &Key, defers: Option<Duration>,
    ) -> Option<Duration> {
        let sync = self.majority_sync(now);
        let attempt = self.acceptor.attempt(key).filter(|_| sync > self.terms.pause_most)?;
        let Attempt { ballot, since } = attempt;
        let is_there = self.crew.is_heard(now, ballot.node, self.terms.alive);
        let others = ballot.node != self.me.node && Some(ballot.epoch) == self.member_epoch();
        let is_over = defers.is_some_and(|since| now >= since + self.terms.defer_in_all);
        let until = since + sync.mul_f64(PHASE).min(self.terms.defer);
        if fault::is(Fault::DefersWithoutEnd) {
            return (is_there && others).then_some(now + self.terms.resend);
        }
        // It is looked at again meanwhile: the attempt may be over, and reads are answered.
        (is_there && others && !is_over && now < until).then(|| until.min(now + self.terms.resend))
    }

    /// When to ask those again that have not answered: who has a slow disk cannot yet.
    pub(crate) fn resend_at(&self, now: Duration) -> Duration {
        now + self.terms.resend.max(self.majority_sync(now))
    }

    /// How long an attempt goes on after its first refusal.
    pub(crate) fn contest(&self, now: Duration) -> Duration {
        self.terms.contest.max(self.majority_sync(now))
    }

    /// How long an attempt goes on that nobody waits for.
    pub(crate) fn goes_on_for(&self, now: Duration) -> Duration {
        (self.terms.resend + self.majority_sync(now) * GOES_ON).min(self.terms.decision)
    }

    /// How long a record waits of late for this disk.
    pub fn disk_wait(&self, now: Duration) -> Duration {
        self.pace.slowest(now)
    }

    /// How long a record waits of late until it is on a majority of disks, as far as members have told.
    pub fn majority_sync(&self, now: Duration) -> Duration {
        let Some(charter) = &self.charter else { return self.pace.slowest(now) };
        let of = |node: NodeId| match node == self.me.node {
            true => self.pace.slowest(now),
            false => self.crew.sync_of(node),
        };
        of_majority(charter.members.iter().map(|member| of(member.node)).collect(), charter.quorum())
    }
}

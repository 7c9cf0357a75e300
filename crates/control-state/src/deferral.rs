//! How long proposers wait for each other and for disks, by how long a majority of disks takes now. On quick disks the times
//! of [`Terms`](crate::Terms) hold.

use std::time::Duration;

use crate::acceptor::Attempt;
use crate::fault::{self, Fault};
use crate::keeper::Keeper;
use crate::pace::of_majority;
use crate::types::{Key, NodeId};

/// What an attempt needs once it was heard of, in syncs of a majority: the promises and the accepts, and some for links.
const ATTEMPT_SYNCS: f64 = 2.5;
/// What it needs once its value was heard of.
const ACCEPT_SYNCS: f64 = 1.5;
/// A node that goes on without end on a register is left its time so often in a row.
pub(crate) const MOST_DEFERRALS: u32 = 3;

impl Keeper {
    /// Another node is at work on this register, as far as this disk has heard, and disks are slow: a ballot above its own
    /// would undo that work. Until when it is left alone.
    pub(crate) fn others_attempt(&self, now: Duration, key: &Key) -> Option<Duration> {
        let sync = self.majority_sync(now);
        let attempt = self.acceptor.attempt(key).filter(|_| sync > self.terms.pause_most)?;
        let Attempt { ballot, since, is_accepted } = attempt;
        let is_there = self.crew.is_heard(now, ballot.node, self.terms.alive);
        let others = ballot.node != self.me.node && Some(ballot.epoch) == self.member_epoch();
        let needs = if is_accepted { sync.mul_f64(ACCEPT_SYNCS) } else { sync.mul_f64(ATTEMPT_SYNCS) };
        let since = if fault::is(Fault::DefersWithoutEnd) { now } else { since };
        let until = since + needs.min(self.terms.defer);
        (is_there && others && now < until).then_some(until)
    }

    /// When to ask those again that have not answered: who has a slow disk cannot yet.
    pub(crate) fn resend_at(&self, now: Duration) -> Duration {
        now + self.terms.resend.max(self.majority_sync(now))
    }

    /// How long an attempt goes on after its first refusal.
    pub(crate) fn contest(&self, now: Duration) -> Duration {
        self.terms.contest.max(self.majority_sync(now))
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

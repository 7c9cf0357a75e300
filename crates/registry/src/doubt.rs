//! What a keeper held while it was out of contact with the majority: servers may have closed meanwhile, and all that heard of it
//! may have lost power. What it held as open is in doubt until members that did not start anew have told it of ends, a
//! majority with itself: each end that was acknowledged is known to a majority of members, so they name it. Where that cannot be,
//! it knows no more than one that has just started.

use crate::NodeId;
use crate::lives::{Event, Life, State};
use crate::registry::Registry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Members that are here answer within a few milliseconds; on links that others fill it takes longer.
const ANSWERS: Duration = Duration::from_millis(1000);

#[derive(Default)]
pub(crate) struct Doubt {
    /// It is out of contact: servers may close without its hearing of it.
    pub(crate) alone: bool,
    /// Open lives that were not heard of since.
    pub(crate) lives: BTreeSet<Arc<str>>,
    /// Contact began anew then.
    since: Duration,
    until: Duration,
    members: Vec<NodeId>,
    /// Members that have told all, and whether they had kept it.
    told: BTreeMap<NodeId, bool>,
}

impl Doubt {
    /// A life was heard of at that time.
    pub(crate) fn heard(&mut self, id: &str, at: Duration) {
        if at >= self.since {
            self.lives.remove(id);
        }
    }
}

impl Registry {
    /// Out of contact with a majority: what it tells of open servers is in doubt.
    pub fn alone(&mut self) {
        self.doubt.alone = true;
    }

    /// In contact with a majority of the members again. `others`: the other members, if it was out of contact for so long
    /// that ends may have been acknowledged without it; else none.
    pub fn back(&mut self, now: Duration, others: Option<Vec<NodeId>>) {
        self.doubt.alone = false;
        if let Some(others) = others {
            self.begin_doubt(now, others);
        }
    }

    /// What it holds as open may not be.
    pub(crate) fn is_unsure(&self) -> bool {
        self.doubt.alone || self.doubts()
    }

    fn begin_doubt(&mut self, now: Duration, members: Vec<NodeId>) {
        let open: BTreeSet<Arc<str>> = self.open().map(|life| life.beat.id.clone()).collect();
        let lives: BTreeSet<_> = open.difference(&self.remembered).cloned().collect();
        if lives.is_empty() {
            return;
        }
        self.doubt =
            Doubt { alone: false, lives, since: now, until: now + ANSWERS, members, told: BTreeMap::new() };
        self.ask_all(now);
    }

    /// Whether what it holds may be old, so that nobody should come for it.
    pub fn doubts(&self) -> bool {
        !self.doubt.lives.is_empty()
    }

    fn ask_all(&mut self, now: Duration) {
        let word = self.comparison(now);
        for member in self.doubt.members.clone() {
            self.evening.say(member, word.clone());
        }
    }

    pub(crate) fn is_doubted(&self, life: &Life) -> bool {
        life.state == State::Open && (self.doubt.alone || self.doubt.lives.contains(&life.beat.id))
    }

    /// A member has told all that it knows. `kept`: it did not start a moment ago.
    pub(crate) fn doubt_told(&mut self, now: Duration, from: NodeId, kept: bool) {
        if self.doubts() && self.doubt.members.contains(&from) {
            self.doubt.told.insert(from, kept);
            if self.doubt.told.len() == self.doubt.members.len() {
                self.end_doubt(now);
            }
        }
    }

    pub(crate) fn doubt_woke(&mut self, now: Duration) -> bool {
        let due = self.doubts() && now >= self.doubt.until;
        if due {
            self.end_doubt(now);
        }
        due
    }

    /// By a majority that kept what it was told, this node among it, all stays that was heard of lately. Else nobody can say, and it
    /// begins anew.
    fn end_doubt(&mut self, now: Duration) {
        let kept = self.doubt.told.values().filter(|kept| **kept).count();
        let majority = kept >= self.doubt.members.len().div_ceil(2);
        let old = now.saturating_sub(self.terms.silent());
        for id in std::mem::take(&mut self.doubt.lives) {
            if !majority || self.lives.get(&id).is_some_and(|life| life.heard < old) {
                self.turn(now, &id, Event::Silent);
            }
        }
        if !majority {
            self.cold(now);
        }
    }

    pub(crate) fn doubt_wake(&self) -> Option<Duration> {
        self.doubts().then_some(self.doubt.until)
    }
}

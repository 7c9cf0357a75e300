//! Questions that other nodes are asked for an operator: who is still missing, and when it is not waited for any
//! more. They cost nothing while nobody asks.

use crate::terms::Terms;
use crate::told::{Part, Question};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

/// What came together for a question, and for whom.
#[derive(Debug, PartialEq)]
pub struct Surveyed<R> {
    pub reply: R,
    pub question: Question,
    pub parts: Vec<(Ipv4Addr, Part)>,
    pub silent: Vec<Ipv4Addr>,
    pub waited: Duration,
}

struct Pending<R> {
    reply: R,
    question: Question,
    parts: Vec<(Ipv4Addr, Part)>,
    missing: Vec<Ipv4Addr>,
    since: Duration,
}

impl<R> Pending<R> {
    fn over(self, now: Duration) -> Surveyed<R> {
        let waited = now.saturating_sub(self.since);
        let Pending { reply, question, parts, missing: silent, .. } = self;
        Surveyed { reply, question, parts, silent, waited }
    }
}

pub struct Surveys<R> {
    terms: Terms,
    pending: BTreeMap<u64, Pending<R>>,
    next: u64,
}

impl<R> Surveys<R> {
    /// `first`: numbers of an earlier life are not used again.
    pub fn new(terms: Terms, first: u64) -> Surveys<R> {
        Surveys { terms, pending: BTreeMap::new(), next: first }
    }

    /// These nodes are to be asked, under the number that is given. `None`: too much is under way.
    pub fn came(&mut self, now: Duration, reply: R, question: Question, nodes: Vec<Ipv4Addr>) -> Option<u64> {
        if self.pending.len() >= self.terms.surveys {
            return None;
        }
        self.next += 1;
        let pending = Pending { reply, question, parts: Vec::new(), missing: nodes, since: now };
        self.pending.insert(self.next, pending);
        Some(self.next)
    }

    /// A node answers. `part` is none if it cannot be read: it counts as silent.
    pub fn heard(
        &mut self, now: Duration, id: u64, from: Ipv4Addr, part: Option<Part>,
    ) -> Option<Surveyed<R>> {
        let pending = self.pending.get_mut(&id)?;
        let at = pending.missing.iter().position(|node| *node == from)?;
        let part = part?;
        pending.missing.swap_remove(at);
        pending.parts.push((from, part));
        if !pending.missing.is_empty() {
            return None;
        }
        self.pending.remove(&id).map(|pending| pending.over(now))
    }

    /// Those that are not waited for any more.
    pub fn woke(&mut self, now: Duration) -> Vec<Surveyed<R>> {
        let patience = self.terms.patience;
        let due: Vec<u64> =
            self.pending.iter().filter(|(_, p)| now >= p.since + patience).map(|(id, _)| *id).collect();
        due.into_iter().filter_map(|id| self.pending.remove(&id)).map(|pending| pending.over(now)).collect()
    }

    pub fn next_wake(&self) -> Option<Duration> {
        self.pending.values().map(|pending| pending.since + self.terms.patience).min()
    }
}

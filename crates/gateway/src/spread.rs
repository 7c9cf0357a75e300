//! How far a kept revision of the accounts has come: all supervisors are told of it and say when they route by it. The
//! office is answered when nobody in touch can route by the one before.

use crate::asks::Told;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// Those that heard of it answer for the touched routes no more; so long it is waited for that they all route by it.
const FORCE: Duration = Duration::from_millis(600);
/// By then one that did not hear of it does not answer for routes of offices any more: a keeper that is cut off, in one
/// direction or both, confirms nothing 1.6 s later, any other reads what is kept once a second, and a home's word holds
/// for a second; a twentieth more is for clocks whose rates differ.
const HOLD: Duration = Duration::from_millis(2800);
/// Under way at once, and words of others that wait for a view.
const MOST: usize = 256;

/// What became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spreading {
    /// Supervisors that route by it, of those that are known.
    pub in_force: usize,
    pub of: usize,
    /// Until then, from the moment it was kept; the first and the last that were heard of.
    pub first: Duration,
    pub last: Duration,
}

struct Pending {
    reply: SyncSender<Told>,
    since: Duration,
    of: usize,
    /// Who has not heard of it, and who has but does not route by it yet.
    unheard: Vec<Ipv4Addr>,
    waiting: Vec<Ipv4Addr>,
    first: Option<Duration>,
    last: Duration,
}

impl Pending {
    fn until(&self) -> Duration {
        self.since + if self.unheard.is_empty() { FORCE } else { HOLD }
    }

    fn is_over(&self, now: Duration) -> bool {
        (self.unheard.is_empty() && self.waiting.is_empty()) || now >= self.until()
    }

    fn answer(self) {
        let missing = self.unheard.len() + self.waiting.len();
        let first = self.first.unwrap_or_default();
        let (in_force, last) = (self.of - missing, self.last);
        let _ = self.reply.try_send(Told::Spread(Spreading { in_force, of: self.of, first, last }));
    }
}

pub struct Spread {
    pending: BTreeMap<u64, Pending>,
    next: u64,
    /// Who is to be told when a revision is in force here.
    owed: Vec<(Ipv4Addr, u64, u64)>,
}

impl Spread {
    /// `first`: drawn anew in each life, so that no answer to an earlier one counts for what is asked in this.
    pub fn new(first: u64) -> Spread {
        Spread { pending: BTreeMap::new(), next: first, owed: Vec::new() }
    }

    /// A revision is kept; `nodes`: all that are to know. The number under which they are told.
    pub fn begin(&mut self, now: Duration, reply: SyncSender<Told>, nodes: &[Ipv4Addr]) -> Option<u64> {
        if self.pending.len() >= MOST {
            return None;
        }
        self.next += 1;
        let (unheard, waiting) = (nodes.to_vec(), Vec::new());
        let (of, first, last) = (nodes.len(), None, Duration::ZERO);
        self.pending.insert(self.next, Pending { reply, since: now, of, unheard, waiting, first, last });
        Some(self.next)
    }

    /// A supervisor has heard of it, and routes by it or will.
    pub fn heeded(&mut self, now: Duration, id: u64, from: Ipv4Addr, in_force: bool) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let before = pending.unheard.len() + pending.waiting.len();
        if in_force {
            pending.unheard.retain(|node| *node != from);
            pending.waiting.retain(|node| *node != from);
            if pending.unheard.len() + pending.waiting.len() < before {
                pending.last = now.saturating_sub(pending.since);
                pending.first.get_or_insert(pending.last);
            }
        } else if let Some(at) = pending.unheard.iter().position(|node| *node == from) {
            pending.waiting.push(pending.unheard.swap_remove(at));
        }
        self.woke(now);
    }

    /// Ends what is complete or out of time.
    pub fn woke(&mut self, now: Duration) {
        let over: Vec<u64> = self.pending.iter().filter(|(_, p)| p.is_over(now)).map(|(id, _)| *id).collect();
        for id in over {
            self.pending.remove(&id).into_iter().for_each(Pending::answer);
        }
    }

    pub fn next_wake(&self) -> Option<Duration> {
        self.pending.values().map(Pending::until).min()
    }

    /// This supervisor was told of a revision that it does not route by yet.
    pub fn owe(&mut self, to: Ipv4Addr, id: u64, revision: u64) {
        if self.owed.len() < MOST {
            self.owed.push((to, id, revision));
        }
    }

    /// It routes by a revision now: who is to be told of which words.
    pub fn holds(&mut self, revision: u64) -> Vec<(Ipv4Addr, u64)> {
        let (due, later) = self.owed.drain(..).partition(|(_, _, wanted)| *wanted <= revision);
        self.owed = later;
        let due: Vec<(Ipv4Addr, u64, u64)> = due;
        due.into_iter().map(|(to, id, _)| (to, id)).collect()
    }
}

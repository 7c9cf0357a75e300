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

#[derive(Default)]
pub struct Spread {
    pending: BTreeMap<u64, Pending>,
    next: u64,
    /// Who is to be told when a revision is in force here.
    owed: Vec<(Ipv4Addr, u64, u64)>,
}

impl Spread {
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::sync_channel;

    enum Do {
        Hears(u8),
        Routes(u8),
        Wakes,
    }

    #[test]
    fn an_office_is_answered_when_nobody_can_route_by_what_was_before() {
        use Do::{Hears, Routes, Wakes};
        // What happens at which millisecond, and what is answered then: in force, of how many.
        type Row = (u64, Do, Option<(usize, usize)>);
        let cases: [&[Row]; 4] = [
            &[(1, Routes(1), None), (2, Hears(2), None), (3, Routes(3), None), (9, Routes(2), Some((3, 3)))],
            // One does not get on with it, but has heard.
            &[
                (1, Routes(1), None),
                (2, Routes(2), None),
                (3, Hears(3), None),
                (599, Wakes, None),
                (600, Wakes, Some((2, 3))),
            ],
            // One is frozen or cut off: it is waited for until it does not answer for such routes any more.
            &[
                (1, Routes(1), None),
                (2, Routes(2), None),
                (600, Wakes, None),
                (2799, Wakes, None),
                (2800, Wakes, Some((2, 3))),
            ],
            &[
                (1, Routes(1), None),
                (2, Routes(1), None),
                (900, Hears(3), None),
                (901, Hears(2), Some((1, 3))),
            ],
        ];
        for (case, rows) in cases.into_iter().enumerate() {
            let (reply, told) = sync_channel(1);
            let mut spread = Spread::default();
            let node = |last| Ipv4Addr::new(10, 0, 0, last);
            let id = spread.begin(Duration::ZERO, reply, &[node(1), node(2), node(3)]).unwrap();
            for (at, what, wanted) in rows {
                let now = Duration::from_millis(*at);
                match what {
                    Hears(last) => spread.heeded(now, id, node(*last), false),
                    Routes(last) => spread.heeded(now, id, node(*last), true),
                    Wakes => spread.woke(now),
                }
                let got = told.try_recv().ok().map(|told| match told {
                    Told::Spread(Spreading { in_force, of, .. }) => (in_force, of),
                    _ => panic!("another answer"),
                });
                assert_eq!(got, *wanted, "case {case} at {at}");
            }
        }
        let mut spread = Spread::default();
        for (id, revision) in [(1, 5), (2, 7), (3, 6)] {
            spread.owe(Ipv4Addr::LOCALHOST, id, revision);
        }
        let ids = |due: Vec<(Ipv4Addr, u64)>| due.into_iter().map(|(_, id)| id).collect::<Vec<_>>();
        assert_eq!(
            [ids(spread.holds(4)), ids(spread.holds(6)), ids(spread.holds(9))],
            [vec![], vec![1, 3], vec![2]]
        );
    }
}

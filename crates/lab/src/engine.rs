//! What a worker does with its part of the schedule: sends each op when it is to be sent, whatever became of
//! those before, and keeps account of all. No I/O, no clock.

use crate::arrivals::{Kind, Op};
use crate::clients::{Clients, Ended};
use crate::ledger::Ledger;
use crate::wheel::Wheel;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::iter::Peekable;
use std::time::Duration;

/// Whether a try could be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    Left,
    /// No connection is free: it waits, and its latency goes on.
    Full,
    /// There is nobody to send it to.
    Nobody,
}

/// What an engine acts through.
pub trait Sends {
    fn send(&mut self, now: Duration, op: &Op, tries: u8) -> Room;
    /// An op is over; `sent`: when its first try left.
    fn over(&mut self, _op: &Op, _sent: Option<Duration>, _ended: Ended, _took: Duration, _tries: u8) {}
}

struct Pending {
    op: Op,
    tries: u8,
    sent: Option<Duration>,
    /// How the last try ended, while a further one is waited for.
    last: Option<Ended>,
    held: bool,
}

pub struct Engine<I: Iterator<Item = Op>> {
    schedule: Peekable<I>,
    kinds: Vec<Kind>,
    clients: Clients,
    pub ledger: Ledger,
    pending: HashMap<u64, Pending>,
    most_pending: usize,
    deadlines: Wheel<u64>,
    again: BinaryHeap<Reverse<(Duration, u64)>>,
    held: VecDeque<u64>,
    rng: fastrand::Rng,
    /// Answers to no try that is waited for: doubled, too late, or to nobody.
    pub strays: u64,
}

impl<I: Iterator<Item = Op>> Engine<I> {
    /// `most_pending`: ops that may be under way at once; those over it count as never sent.
    pub fn new(
        schedule: I, kinds: Vec<Kind>, clients: Clients, ledger: Ledger, most_pending: usize, seed: u64,
    ) -> Self {
        Engine {
            schedule: schedule.peekable(),
            kinds,
            clients,
            ledger,
            pending: HashMap::new(),
            most_pending,
            deadlines: Wheel::default(),
            again: BinaryHeap::new(),
            held: VecDeque::new(),
            rng: fastrand::Rng::with_seed(seed),
            strays: 0,
        }
    }

    /// Does all that is due.
    pub fn run(&mut self, now: Duration, out: &mut impl Sends) {
        let mut late = Vec::new();
        self.deadlines.expire(now, |id| late.push(id));
        late.into_iter().for_each(|id| self.over(now, id, Ended::Late, out));
        while let Some(Reverse((at, id))) = self.again.peek().copied()
            && at <= now
        {
            self.again.pop();
            self.attempt(now, id, out);
        }
        while let Some(id) = self.held.front().copied() {
            if self.pending.contains_key(&id) && !self.attempt(now, id, out) {
                break;
            }
            self.held.pop_front();
        }
        while let Some(op) = self.schedule.next_if(|op| op.at <= now) {
            self.ledger.intended(op.kind, op.at);
            let (id, deadline, full) = (op.id, op.at + op.timeout, self.pending.len() >= self.most_pending);
            self.pending.insert(id, Pending { op, tries: 0, sent: None, last: None, held: false });
            if full {
                self.over(now, id, Ended::Unsent, out);
                continue;
            }
            self.deadlines.enter(deadline, id);
            if !self.held.is_empty() || !self.attempt(now, id, out) {
                self.hold(now, id);
            }
        }
    }

    /// A try ended, as its number tells which.
    pub fn ended(&mut self, now: Duration, id: u64, tries: u8, ended: Ended, out: &mut impl Sends) {
        match self.pending.get(&id) {
            Some(pending) if pending.tries == tries && pending.last.is_none() => {
                self.try_again_or_end(now, id, ended, out);
            }
            _ => self.strays += 1,
        }
    }

    /// When [`run`](Engine::run) has something to do next, as far as that is known.
    pub fn next_due(&mut self) -> Option<Duration> {
        let again = self.again.peek().map(|Reverse((at, _))| *at);
        let op = self.schedule.peek().map(|op| op.at);
        [op, again, self.deadlines.next()].into_iter().flatten().min()
    }

    pub fn is_over(&mut self) -> bool {
        self.pending.is_empty() && self.schedule.peek().is_none()
    }

    /// Ends a run before its end: what is under way is given up, what is not yet due was never intended.
    pub fn cut(&mut self, now: Duration, out: &mut impl Sends) {
        let mut under_way: Vec<u64> = self.pending.keys().copied().collect();
        under_way.sort_unstable();
        under_way.into_iter().for_each(|id| self.over(now, id, Ended::Aborted, out));
    }

    /// Tells whether the op needs no place among those held.
    fn attempt(&mut self, now: Duration, id: u64, out: &mut impl Sends) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return true };
        match out.send(now, &pending.op, pending.tries + 1) {
            Room::Left => {
                pending.tries += 1;
                pending.last = None;
                if pending.sent.is_none() {
                    pending.sent = Some(now);
                    if !pending.held {
                        self.ledger.sent(now.saturating_sub(pending.op.at));
                    }
                }
                true
            }
            Room::Full => false,
            Room::Nobody => {
                self.try_again_or_end(now, id, Ended::Unsent, out);
                true
            }
        }
    }

    fn hold(&mut self, now: Duration, id: u64) {
        self.held.push_back(id);
        if let Some(pending) = self.pending.get_mut(&id).filter(|pending| !pending.held) {
            pending.held = true;
            self.ledger.held += 1;
            // So far it is the generator's own doing; what it waits from now on is not.
            self.ledger.sent(now.saturating_sub(pending.op.at));
        }
    }

    fn try_again_or_end(&mut self, now: Duration, id: u64, ended: Ended, out: &mut impl Sends) {
        let drawn = self.rng.f64();
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let repeats = self.kinds.get(usize::from(pending.op.kind)).map(|kind| kind.repeats);
        let left = (pending.op.at + pending.op.timeout).saturating_sub(now);
        // A try that was never sent is one of the model's all the same.
        let tries = if ended == Ended::Unsent { pending.tries + 1 } else { pending.tries };
        let next = repeats.and_then(|repeats| self.clients.next(repeats, tries, ended, left, drawn));
        match next {
            Some(pause) => {
                pending.tries = tries;
                pending.last = Some(ended);
                self.again.push(Reverse((now + pause, id)));
            }
            None => self.over(now, id, ended, out),
        }
    }

    fn over(&mut self, now: Duration, id: u64, ended: Ended, out: &mut impl Sends) {
        let Some(Pending { op, tries, sent, .. }) = self.pending.remove(&id) else { return };
        let took = now.saturating_sub(op.at);
        let tries = if sent.is_some() { tries } else { 0 };
        self.ledger.ended(op.kind, op.at, ended, took, op.timeout, tries);
        out.over(&op, sent, ended, took, tries);
    }
}

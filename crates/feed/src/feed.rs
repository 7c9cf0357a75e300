//! Receivers, what each holds, and what is under way to it.

use crate::budget::Budget;
use fallgap_tables::{Delta, Sent, Tables, Version, Whole, Withdrawal, Withdrawals};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A receiver's number, as whoever holds its stream gave it.
pub type ReceiverId = u64;

/// What binds the feed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub receivers: usize,
    /// In the unit of [`Out::weight`], as is `head`.
    pub lines_a_second: f64,
    /// What a message costs beside its own.
    pub head: f64,
    /// After so long without an answer what was sent counts as lost; each line of an update adds to it, since a
    /// large one takes its time on a thin link and in a small machine, and sent again meanwhile it would take twice
    /// that.
    pub answer: Duration,
    pub answer_line: Duration,
    /// Where answers take longer than that, as on a link that others fill, twice the last one's time is waited, and
    /// twice as long after each that does not come; that long at most.
    pub answer_most: Duration,
    /// What is urgent waits for the answer to an earlier update so long only; lines add to it in the same way.
    pub urgent: Duration,
    /// Least time between two periodic words to a receiver: half of a receiver's lease at most. Up to half as
    /// much again is drawn.
    pub word: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let s = Duration::from_secs;
        Limits {
            receivers: 5000,
            lines_a_second: 4000.0,
            head: 1.0,
            answer: s(3),
            answer_line: s(0),
            answer_most: s(3),
            urgent: s(3),
            word: s(5),
        }
    }
}

/// What the feed acts through.
pub trait Out {
    /// What an update counts for under the cap: its lines, if nothing else is known of it.
    fn weight(&mut self, sent: &Sent) -> f64 {
        lines(sent)
    }
    fn delta(&mut self, to: ReceiverId, delta: Delta);
    fn whole(&mut self, to: ReceiverId, whole: Whole);
    /// Nothing is new: the version still holds.
    fn same(&mut self, to: ReceiverId, version: Version);
    fn withdrawn(&mut self, to: ReceiverId, epoch: u64, told: Withdrawal);
    /// All withdrawals of an epoch up to a sequence.
    fn all_withdrawn(&mut self, to: ReceiverId, epoch: u64, sequence: u64, out: Vec<Withdrawal>);
}

/// What was sent and is not answered.
#[derive(Clone, Copy)]
struct InFlight {
    version: Version,
    sent: Duration,
    /// When it counts as lost, and when what is urgent goes out in its place.
    until: Duration,
    urgent: Duration,
}

struct Receiver {
    table: u32,
    /// What it said last that it holds.
    holds: Option<Version>,
    in_flight: Option<InFlight>,
    /// How long an answer may take, by those that came.
    patience: Duration,
    marked: bool,
    /// What it is to be told does not wait for an answer.
    urgent: bool,
    /// Epoch and sequence up to which withdrawals were sent to it.
    told: (u64, u64),
    /// What it said that it heard of them, and since when more is awaited.
    heard: (u64, u64),
    awaited: Option<Duration>,
    word: Duration,
}

impl Receiver {
    /// The last withdrawal of an epoch that it said it has heard.
    fn heard_of(&self, epoch: u64) -> u64 {
        if self.heard.0 == epoch { self.heard.1 } else { 0 }
    }

    /// Whether something urgent has waited for an answer long enough.
    fn overtakes(&self, now: Duration) -> bool {
        self.urgent && self.in_flight.is_some_and(|under_way| now >= under_way.urgent)
    }
}

fn lines(sent: &Sent) -> f64 {
    match sent {
        Sent::Nothing => 0.0,
        Sent::Delta(delta) => delta.changes.len() as f64,
        Sent::Whole(whole) => whole.entries.len() as f64,
    }
}

pub struct Feed<O> {
    pub out: O,
    limits: Limits,
    budget: Budget,
    receivers: BTreeMap<ReceiverId, Receiver>,
    by_table: BTreeMap<u32, BTreeSet<ReceiverId>>,
    /// Receivers that have something to be told, in the order of arrival.
    marks: VecDeque<ReceiverId>,
    /// When something of a receiver is to be looked at.
    looks: BTreeSet<(Duration, ReceiverId)>,
    budget_at: Option<Duration>,
    rng: fastrand::Rng,
}

impl<O: Out> Feed<O> {
    /// `seed`: for when periodic words leave.
    pub fn start(out: O, limits: Limits, seed: u64) -> Self {
        Feed {
            out,
            limits,
            budget: Budget::new(limits.lines_a_second),
            receivers: BTreeMap::new(),
            by_table: BTreeMap::new(),
            marks: VecDeque::new(),
            looks: BTreeSet::new(),
            budget_at: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// A receiver is there, with what it holds and the withdrawals that it has heard. `false`: there are as many
    /// as may be. One that was there already has joined anew: what was under way to it is void.
    pub fn joined(
        &mut self, now: Duration, id: ReceiverId, table: u32, holds: Option<Version>, heard: (u64, u64),
        tables: &Tables, withdrawals: &Withdrawals,
    ) -> bool {
        self.left(id);
        if self.receivers.len() >= self.limits.receivers {
            return false;
        }
        let word = now + self.drawn();
        let receiver = Receiver {
            table,
            holds,
            in_flight: None,
            patience: self.limits.answer,
            marked: false,
            urgent: false,
            told: heard,
            heard,
            awaited: None,
            word,
        };
        self.receivers.insert(id, receiver);
        self.by_table.entry(table).or_default().insert(id);
        self.looks.insert((word, id));
        // Before any table: it may name servers that are out.
        self.tell_withdrawals(now, id, tables.epoch(), withdrawals);
        self.mark(id);
        self.send(now, tables);
        true
    }

    pub fn left(&mut self, id: ReceiverId) {
        if let Some(receiver) = self.receivers.remove(&id) {
            self.by_table.entry(receiver.table).or_default().remove(&id);
            self.looks.remove(&(receiver.word, id));
            if self.marks.front() == Some(&id) {
                self.budget_at = None;
            }
            self.marks.retain(|marked| *marked != id);
        }
    }

    /// A table has a new version that is urgent: it does not wait for the answer to an earlier update, which it holds
    /// as well. What that began from it begins from, too.
    pub fn hastened(&mut self, now: Duration, table: u32, tables: &Tables) {
        for id in self.by_table.get(&table).into_iter().flatten() {
            let Some(receiver) = self.receivers.get_mut(id) else { continue };
            receiver.urgent = true;
            if let Some(due) = receiver.in_flight.map(|under_way| under_way.urgent) {
                let due = due.max(now).min(receiver.word);
                self.looks.remove(&(receiver.word, *id));
                self.looks.insert((due, *id));
                receiver.word = due;
            }
        }
        self.sealed(now, table, tables);
    }

    /// A table has a new version.
    pub fn sealed(&mut self, now: Duration, table: u32, tables: &Tables) {
        let all: Vec<ReceiverId> = self.by_table.get(&table).into_iter().flatten().copied().collect();
        all.into_iter().for_each(|id| self.mark(id));
        self.send(now, tables);
    }

    /// A server went out or came back: everyone hears at once, whatever else is under way.
    pub fn withdrawn(&mut self, now: Duration, tables: &Tables, withdrawals: &Withdrawals) {
        let all: Vec<ReceiverId> = self.receivers.keys().copied().collect();
        all.into_iter().for_each(|id| self.tell_withdrawals(now, id, tables.epoch(), withdrawals));
    }

    /// A receiver could not apply what was sent: it says what it holds, and gets what leads on from there.
    pub fn rejected(
        &mut self, now: Duration, id: ReceiverId, holds: Option<Version>, heard: (u64, u64), tables: &Tables,
    ) {
        if let Some(receiver) = self.receivers.get_mut(&id) {
            receiver.in_flight = None;
        }
        self.answered(now, id, holds, heard, tables);
    }

    /// A receiver says what it holds and has heard. An update is under way until it holds that: it may answer a
    /// withdrawal meanwhile.
    pub fn answered(
        &mut self, now: Duration, id: ReceiverId, holds: Option<Version>, heard: (u64, u64), tables: &Tables,
    ) {
        let Some(receiver) = self.receivers.get_mut(&id) else { return };
        receiver.holds = holds;
        if heard.0 == receiver.told.0 && (heard.0 != receiver.heard.0 || heard.1 >= receiver.heard.1) {
            receiver.heard = heard;
            if heard.1 >= receiver.told.1 {
                receiver.awaited = None;
            }
        }
        if let Some(there) = receiver.in_flight.filter(|under_way| holds == Some(under_way.version)) {
            receiver.in_flight = None;
            let took = now.saturating_sub(there.sent) * 2;
            receiver.patience = took.clamp(self.limits.answer, self.limits.answer_most);
        }
        if receiver.in_flight.is_none() && holds != tables.version(receiver.table) {
            self.mark(id);
        }
        self.send(now, tables);
    }

    /// Does what is due.
    pub fn woke(&mut self, now: Duration, tables: &Tables, withdrawals: &Withdrawals) {
        while let Some((at, id)) = self.looks.first().copied().filter(|(at, _)| *at <= now) {
            self.looks.remove(&(at, id));
            let word = now + self.drawn();
            let answer = self.limits.answer;
            let Some(receiver) = self.receivers.get_mut(&id) else { continue };
            receiver.word = word;
            self.looks.insert((word, id));
            let lost = receiver.in_flight.is_some_and(|under_way| now >= under_way.until);
            let overtaken = receiver.overtakes(now);
            if lost && !overtaken {
                receiver.patience = (receiver.patience * 2).min(self.limits.answer_most);
            }
            if lost || overtaken {
                receiver.in_flight = None;
            }
            let unheard = receiver.awaited.is_some_and(|since| now >= since + answer);
            if unheard {
                receiver.told = receiver.heard;
                receiver.awaited = None;
            }
            let (idle, newest) = (receiver.in_flight.is_none(), tables.version(receiver.table));
            match (idle, newest) {
                (true, Some(version)) if receiver.holds == Some(version) => self.out.same(id, version),
                // While it waits for lines it hears that the feed is there: what it holds goes on to hold.
                (true, Some(_)) if receiver.marked => {
                    receiver.holds.into_iter().for_each(|holds| self.out.same(id, holds));
                }
                (true, Some(_)) => self.mark(id),
                // What is under way may take long: the feed is there all the same.
                (false, _) => receiver.holds.into_iter().for_each(|holds| self.out.same(id, holds)),
                (true, None) => {}
            }
            if unheard {
                self.tell_withdrawals(now, id, tables.epoch(), withdrawals);
            }
        }
        self.send(now, tables);
    }

    /// When to call [`woke`](Feed::woke) next.
    pub fn next_wake(&self) -> Option<Duration> {
        let look = self.looks.first().map(|(at, _)| *at);
        [look, self.budget_at].into_iter().flatten().min()
    }

    /// What a receiver said last that it holds.
    pub fn holds(&self, id: ReceiverId) -> Option<Version> {
        self.receivers.get(&id)?.holds
    }

    /// The last withdrawal of an epoch that a receiver has heard.
    pub fn heard(&self, id: ReceiverId, epoch: u64) -> u64 {
        self.receivers.get(&id).map_or(0, |receiver| receiver.heard_of(epoch))
    }

    /// Receivers there, and those that wait for lines.
    pub fn held(&self) -> (usize, usize) {
        (self.receivers.len(), self.marks.len())
    }

    /// The last withdrawal that all have heard, of an epoch: those up to it may be forgotten.
    pub fn heard_by_all(&self, epoch: u64) -> u64 {
        self.receivers.values().map(|receiver| receiver.heard_of(epoch)).min().unwrap_or(u64::MAX)
    }

    fn drawn(&mut self) -> Duration {
        // An answer that does not come is noticed at the next word at the latest.
        self.limits.word.mul_f64(1.0 + 0.5 * self.rng.f64())
    }

    fn mark(&mut self, id: ReceiverId) {
        if let Some(receiver) = self.receivers.get_mut(&id)
            && !std::mem::replace(&mut receiver.marked, true)
        {
            self.marks.push_back(id);
        }
    }

    fn tell_withdrawals(&mut self, now: Duration, id: ReceiverId, epoch: u64, withdrawals: &Withdrawals) {
        let Some(receiver) = self.receivers.get_mut(&id) else { return };
        let sequence = withdrawals.sequence();
        if receiver.told.0 != epoch {
            let out = withdrawals.since(0).into_iter().filter(|told| told.out).collect();
            self.out.all_withdrawn(id, epoch, sequence, out);
        } else if receiver.told.1 < sequence {
            let told = withdrawals.since(receiver.told.1);
            // Words that newer ones have replaced leave gaps, which a receiver would ask for: then all are told.
            let whole = told.iter().zip(receiver.told.1 + 1..).all(|(told, due)| told.sequence == due)
                && told.last().is_some_and(|last| last.sequence == sequence);
            if whole {
                told.into_iter().for_each(|told| self.out.withdrawn(id, epoch, told));
            } else {
                let out = withdrawals.since(0).into_iter().filter(|told| told.out).collect();
                self.out.all_withdrawn(id, epoch, sequence, out);
            }
        } else {
            return;
        }
        receiver.told = (epoch, sequence);
        receiver.awaited = receiver.awaited.or(Some(now));
    }

    /// Serves marks in their order, as far as the lines allow; a receiver with something in flight waits for its
    /// answer, and gets what is newest then.
    fn send(&mut self, now: Duration, tables: &Tables) {
        // The first that waits for lines is not served before: what it is to be told is not worked out till then.
        if !self.marks.is_empty() && self.budget_at.is_some_and(|at| now < at) {
            return;
        }
        self.budget_at = None;
        let mut waiting = VecDeque::new();
        // Most of those that share a table hold the same of it.
        let mut worked_out: Option<(u32, Option<Version>, Sent)> = None;
        while let Some(id) = self.marks.pop_front() {
            let Some(receiver) = self.receivers.get_mut(&id) else { continue };
            if receiver.in_flight.is_some() && !receiver.overtakes(now) {
                // Its answer marks it again, if something is new; so does the next look, if that is urgent.
                receiver.marked = false;
                continue;
            }
            let (table, holds) = (receiver.table, receiver.holds);
            let sent = match &worked_out {
                Some((of, from, sent)) if (*of, *from) == (table, holds) => sent.clone(),
                _ => {
                    let sent = tables.since(table, holds);
                    worked_out = Some((table, holds, sent.clone()));
                    sent
                }
            };
            if matches!(sent, Sent::Nothing) {
                (receiver.marked, receiver.urgent) = (false, false);
                continue;
            }
            if let Err(next) = self.budget.take(now, self.out.weight(&sent) + self.limits.head) {
                self.budget_at = Some(next);
                waiting.push_back(id);
                break;
            }
            (receiver.marked, receiver.urgent) = (false, false);
            let travels = self.limits.answer_line.mul_f64(lines(&sent));
            let (until, urgent) = (now + receiver.patience + travels, now + self.limits.urgent + travels);
            let under_way = |version| Some(InFlight { version, sent: now, until, urgent });
            match sent {
                Sent::Delta(delta) => {
                    receiver.in_flight = under_way(delta.result);
                    self.out.delta(id, delta);
                }
                Sent::Whole(whole) => {
                    receiver.in_flight = under_way(whole.version);
                    self.out.whole(id, whole);
                }
                Sent::Nothing => {}
            }
        }
        waiting.append(&mut self.marks);
        self.marks = waiting;
    }
}

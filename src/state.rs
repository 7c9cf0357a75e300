//! What is known and held of servers, proxies and their tables: plain state, no decision.

use crate::host::{Came, Host, Load, Met, Retry, ServerState};
use crate::ranks::{Ranks, key_of};
use crate::samples::{Samples, lowest};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Names are shared: a fleet's tables hold each server's as many times as proxies use it.
pub type Table = BTreeMap<Arc<str>, f64>;

/// Way back to full weight: of a fresh server, or of a cleared suspect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ease {
    pub since: Duration,
    pub over: Duration,
    pub from: f64,
    /// Until when a fresh server counts as cold; zero for others.
    pub cold_until: Duration,
}

impl Ease {
    pub fn is_cold(&self) -> bool {
        !self.cold_until.is_zero()
    }
    /// Whether it is still under way, or still counts as cold.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.cold_until.max(self.since + self.over)
    }
}

pub struct Server {
    pub name: Arc<str>,
    /// Its place in the plan's lines; its key picks the proxies that hold it, the same for every supervisor.
    pub slot: usize,
    pub key: u64,
    pub zone: usize,
    pub size: f64,
    pub state: ServerState,
    /// When it was last told to drain or to be gone.
    pub left: Duration,
    pub started: Option<Duration>,
    pub ease: Option<Ease>,
    pub factor: f64,
    pub met: Samples<Met>,
    pub loads: Samples<Load>,
    pub suspect: Option<Duration>,
    /// Probes in a row that failed.
    pub missed: u32,
}

impl Server {
    /// One that nothing is known of yet.
    pub fn new(name: &str, slot: usize) -> Self {
        Server {
            name: name.into(),
            slot,
            key: key_of(name),
            zone: 0,
            size: 0.0,
            state: ServerState::Gone,
            left: Duration::ZERO,
            started: None,
            ease: None,
            factor: 1.0,
            met: Samples::default(),
            loads: Samples::default(),
            suspect: None,
            missed: 0,
        }
    }
    /// Tries, aborted ones and the time of good ones since a moment.
    pub fn sums(&self, since: Duration) -> (f64, f64, f64) {
        self.met.since(since).fold((0.0, 0.0, 0.0), |a, m| {
            (a.0 + m.total, a.1 + m.aborted, a.2 + m.good_ms * (m.total - m.aborted))
        })
    }
    /// By all samples that are kept.
    pub fn tries_a_second(&self) -> f64 {
        let all = self.met.since(Duration::ZERO);
        let (tries, span) = all.fold((0.0, 0.1), |a, m| (a.0 + m.total, a.1 + m.span.as_secs_f64()));
        tries / span
    }
    /// What was known of the process before says nothing of the new one.
    pub fn restart(&mut self, started: Option<Duration>) {
        (self.started, self.suspect, self.missed) = (started, None, 0);
        self.met.clear();
        self.loads.clear();
    }
    pub fn cold(&self) -> bool {
        self.ease.is_some_and(|e| e.is_cold())
    }
}

/// Tries, aborted ones and the time of good ones at all these servers since a moment.
pub fn sums<'a>(servers: impl Iterator<Item = &'a Server>, since: Duration) -> (f64, f64, f64) {
    let each = servers.map(|s| s.sums(since));
    each.fold((0.0, 0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1, a.2 + s.2))
}

/// The aborted share that one in so many servers stays under, of those with at least so many tries.
pub fn aborted_share<'a>(
    servers: impl Iterator<Item = &'a Server>, since: Duration, least: f64, one_in: usize,
) -> f64 {
    let sums = servers.map(|s| s.sums(since)).filter(|m| m.0 >= least);
    lowest(sums.map(|m| m.1 / m.0), one_in)
}

/// An update: the lines a proxy should hold, and by op type what is let in and when it tries again.
#[derive(Clone, Default, PartialEq)]
pub struct Update {
    pub lines: Table,
    pub levels: Vec<(f64, Retry)>,
}

/// What leaves for the proxies.
#[derive(Default)]
pub struct Outgoing {
    /// Tables marked dirty, in order of arrival; those that hurry; those whose build waits in its slot.
    pub queue: VecDeque<u32>,
    pub urgent: BTreeSet<u32>,
    pub pending: BTreeSet<u32>,
    /// The first of these at the next turn.
    pub turn: u32,
    /// Lines that may leave now, as of a moment.
    pub budget: f64,
    pub budget_at: Duration,
    /// Of the next update.
    pub stamp: u16,
    /// Lines not answered yet, and those of streams that broke: they may wait in the channel still.
    pub waiting: f64,
    pub unanswered: f64,
    pub broken: Samples<f64>,
    /// Lines not answered, by when they were written, and when the latest of the answered ones were: the
    /// channel keeps their order, so what was written long before those has left it, answered or not.
    pub ahead: VecDeque<(Duration, f64)>,
    pub passed: Duration,
    /// Lines that may be in the channel now.
    pub in_channel: f64,
}

impl Outgoing {
    /// Time has passed: lines may leave at a rate again, some under way have gone. `lost` and `whole`: how
    /// long lines of broken streams, and any others, count; `travel`: as `after` of [`Self::still_there`].
    pub fn pass(&mut self, now: Duration, rate: f64, lost: Duration, whole: Duration, travel: Duration) {
        let idle = now.saturating_sub(self.budget_at).as_secs_f64();
        self.budget = (self.budget + idle * rate).clamp(-rate, rate * 0.5);
        self.budget_at = now;
        self.waiting = self.unanswered + self.broken.since(now.saturating_sub(lost)).sum::<f64>();
        self.in_channel = self.still_there(now.saturating_sub(whole), travel);
    }
    /// A message has been written to a proxy.
    pub fn wrote(&mut self, now: Duration, proxy: u32, lines: f64) {
        self.urgent.remove(&proxy);
        self.pending.remove(&proxy);
        self.budget -= lines;
        self.unanswered += lines;
        self.waiting += lines;
        self.in_channel += lines;
        match self.ahead.back_mut() {
            Some(last) if last.0 == now => last.1 += lines,
            _ => self.ahead.push_back((now, lines)),
        }
    }
    /// The stamp of what was written, which no other bears until all have been used.
    pub fn next_stamp(&mut self) -> u16 {
        let stamp = self.stamp;
        self.stamp = stamp.wrapping_add(1);
        stamp
    }
    /// Proxies whose build waits in its slot, from where the turn ended last time.
    pub fn pending_in_turn(&self) -> Vec<u32> {
        self.pending.range(self.turn..).chain(self.pending.range(..self.turn)).copied().collect()
    }
    pub fn answered(&mut self, written: Duration, lines: f64) {
        self.unanswered -= lines;
        self.passed = self.passed.max(written);
        if let Ok(at) = self.ahead.binary_search_by_key(&written, |a| a.0) {
            self.ahead[at].1 -= lines;
        }
    }
    /// Lines that may be in the channel still: none written before a moment, nor so long before the latest
    /// answered ones.
    fn still_there(&mut self, from: Duration, after: Duration) -> f64 {
        let from = from.max(self.passed.saturating_sub(after));
        while self.ahead.front().is_some_and(|a| a.0 < from) {
            self.ahead.pop_front();
        }
        self.ahead.iter().map(|a| a.1).sum()
    }
    /// A proxy has left: nothing more goes to it, and its unanswered lines count for so long: they may wait
    /// in the channel still.
    pub fn left(&mut self, now: Duration, proxy: u32, queued: bool, lines: f64, counted: Duration) {
        if queued {
            self.queue.retain(|q| *q != proxy);
        }
        self.urgent.remove(&proxy);
        self.pending.remove(&proxy);
        self.unanswered -= lines;
        self.broken.forget(now.saturating_sub(counted));
        if lines > 0.0 {
            self.broken.add(now, lines, usize::MAX);
        }
    }
}

impl Update {
    /// Op types whose levels differ.
    fn levels_unlike(&self, other: &Update) -> Vec<usize> {
        (0..self.levels.len()).filter(|t| self.levels[*t] != other.levels[*t]).collect()
    }
    /// Lines that differ from a base, and those to be taken out of what is held.
    fn changes_from(&self, base: &Table, held: &Table) -> Table {
        let lines = self.lines.iter().filter(|(s, part)| base.get(*s) != Some(*part));
        let left = held.keys().chain(base.keys()).filter(|s| !self.lines.contains_key(*s));
        let lines = lines.map(|(s, part)| (s.clone(), *part));
        lines.chain(left.map(|s| (s.clone(), 0.0))).collect()
    }
}

#[derive(Default)]
pub struct Proxy {
    pub zone: usize,
    pub usual: f64,
    /// What came, by op type.
    pub came: Vec<Samples<Came>>,
    pub joined: bool,
    pub bound: bool,
    pub dirty: bool,
    /// How much a build of its table hurries, and since when.
    pub hurry: usize,
    pub hurried: Duration,
    pub next_rebuild: Duration,
    /// What the table was last sent, and what of it was answered; stamp and time of the update in flight.
    pub sent: Update,
    pub acked: Update,
    pub in_flight: Option<(u16, Duration)>,
    pub pending: Option<Update>,
    pub unanswered: VecDeque<(u16, Duration, f64)>,
    pub messages: VecDeque<Duration>,
}

impl Proxy {
    /// One whose table has no line yet, and the levels that proxies use unless they are told.
    pub fn unleveled(op_types: usize, retry: Retry) -> Self {
        let mut proxy = Proxy::default();
        proxy.came.resize_with(op_types, Samples::default);
        proxy.sent.levels.resize(op_types, (f64::INFINITY, retry));
        proxy
    }
    /// Its stream broke: what it holds stays, what was under way is lost. Tells the lines not answered.
    pub fn leave(&mut self) -> f64 {
        (self.joined, self.bound, self.hurry, self.dirty) = (false, false, 0, false);
        (self.in_flight, self.pending) = (None, None);
        self.messages.clear();
        self.unanswered.drain(..).map(|u| u.2).sum()
    }
    /// Ops of one type that came since a moment, by the latest three samples and more until they are enough;
    /// and the seconds from the oldest of those until the last that was heard of any.
    pub fn counted(&self, op_type: usize, since: Duration, heard: Duration, enough: f64) -> (f64, f64) {
        let (mut n, mut over) = (0.0, 0.0);
        for (i, (at, c)) in self.came[op_type].timed(since).enumerate() {
            if i >= 3 && n >= enough {
                break;
            }
            n += c.total;
            over = (heard.saturating_sub(at) + c.span).as_secs_f64();
        }
        (n, over)
    }
    /// Ops of all types that were told of since a moment.
    pub fn told(&self, since: Duration) -> f64 {
        self.came.iter().flat_map(|c| c.since(since)).map(|c| c.total).sum()
    }
    /// Messages written to it that still count within the limit's span.
    pub fn messages_within(&self, now: Duration, over: Duration) -> usize {
        self.messages.iter().filter(|m| **m + over > now).count()
    }
    /// What has to be told for an update: what it differs by from what was last sent (from what was answered,
    /// if an answer is `overdue`), or the whole table where none is bound yet.
    pub fn changes(&self, update: &Update, overdue: bool) -> Changes {
        let base = if overdue { &self.acked } else { &self.sent };
        let lines = update.changes_from(&base.lines, &self.sent.lines);
        let levels = update.levels_unlike(&self.sent);
        let whole = 1 + update.lines.len() + update.levels.len();
        let count = if self.bound { lines.len() + levels.len() } else { whole };
        Changes { lines, levels, bind: !self.bound, count }
    }
    /// An update leaves; messages older than `over` do not count any more.
    pub fn write(&mut self, now: Duration, stamp: u16, cost: f64, update: Update, over: Duration) {
        (self.bound, self.pending, self.sent, self.hurry) = (true, None, update, 0);
        self.messages.retain(|m| *m + over > now);
        self.in_flight = Some((stamp, now));
        self.unanswered.push_back((stamp, now, cost));
        self.messages.push_back(now);
    }
    /// An answer also tells that all before it has been applied; a stamp not under way changes nothing. Tells
    /// when the lines answered were written, and how many.
    pub fn answer(&mut self, stamp: u16) -> impl Iterator<Item = (Duration, f64)> {
        if self.in_flight.is_some_and(|f| f.0 == stamp) {
            (self.in_flight, self.acked) = (None, self.sent.clone());
        }
        let answered = self.unanswered.iter().position(|u| u.0 == stamp).map_or(0, |at| at + 1);
        self.unanswered.drain(..answered).map(|u| (u.1, u.2))
    }
}

/// What an update changes at its proxy: lines, op types whose levels differ, the binding; and how many of
/// the channel's lines that is.
pub struct Changes {
    pub lines: Table,
    pub levels: Vec<usize>,
    pub bind: bool,
    pub count: usize,
}

impl Changes {
    pub fn tell(&self, host: &mut impl Host, id: u32, update: &Update) {
        self.lines.iter().for_each(|(server, part)| host.set_line(id, server, *part));
        self.levels.iter().for_each(|t| host.admit(id, *t, update.levels[*t].0, update.levels[*t].1));
        if self.bind {
            host.bind(id, id);
        }
    }
}

/// A ready server as all tables see it: its weight, and the lift that evens out how it was dealt.
#[derive(Clone)]
pub struct Line {
    pub server: Arc<str>,
    pub zone: usize,
    pub weight: f64,
    pub lift: f64,
}

/// What one proxy is dealt: the ops a second it brings, and lines with their parts before the lift.
#[derive(Default)]
pub struct Dealt {
    pub brings: f64,
    pub lines: Vec<(usize, f64)>,
}

/// What all tables have in common, worked out once a moment.
pub struct Plan {
    pub at: Duration,
    /// By slot; nothing where no ready server is.
    pub lines: Vec<Option<Line>>,
    pub dealt: BTreeMap<u32, Dealt>,
    pub room: Vec<f64>,
    /// By the proxy's zone, then the server's.
    pub reach: Vec<Vec<f64>>,
    /// Ops a second that fill one server as much as the others.
    pub per_server: f64,
    pub shares: Vec<f64>,
}

impl Plan {
    pub fn line(&self, slot: usize) -> Option<&Line> {
        self.lines.get(slot).and_then(Option::as_ref)
    }
    /// The parts of a table's servers.
    pub fn parts(&self, table: u32) -> impl Iterator<Item = (Arc<str>, f64)> {
        let dealt = self.dealt.get(&table).into_iter().flat_map(|dealt| &dealt.lines);
        dealt.filter_map(|(slot, part)| self.line(*slot).map(|line| (line.server.clone(), part * line.lift)))
    }
    /// The lines dealt to a proxy, `wanted` of its zone and at least so many of each, and their parts before
    /// the lift: an even and stable choice by chance, the same under every supervisor, so that no rebuild or
    /// new stream reopens connections that were good.
    pub fn deal(
        &self, ranks: &mut Ranks, proxy: u32, zone: usize, brings: f64, wanted: f64, least: f64,
    ) -> Dealt {
        let reach = &self.reach[zone];
        let whole = |z: usize| self.room[z] * reach[z];
        let weight = |slot: usize| self.line(slot).map_or(0.0, |l| l.weight);
        let (mut lines, mut own) = (Vec::new(), 1.0);
        for z in (0..reach.len()).filter(|z| whole(*z) > 0.0) {
            let most = (wanted * (whole(z) / whole(zone).max(1e-9)).min(1.0)).ceil().max(least) as usize;
            let before = lines.len();
            let drawn = ranks.first(proxy, z, most).filter(|slot| weight(*slot) > 0.0);
            lines.extend(drawn.map(|slot| (slot, weight(slot) * reach[z])));
            // A zone of which only a part is held counts as much as all of it would.
            let held: f64 = lines[before..].iter().map(|l| l.1).sum::<f64>() / reach[z];
            let full = self.room[z] / held.max(1e-12);
            lines[before..].iter_mut().for_each(|l| l.1 *= full);
            if z == zone {
                own = full;
            }
        }
        lines.iter_mut().for_each(|l| l.1 /= own);
        Dealt { brings, lines }
    }
    /// Moves each line's lift, within bounds, by how far the line is from its part of what all proxies bring.
    pub fn lift(&mut self, least: f64, most: f64) {
        let given = self.given();
        let mut zones = vec![0.0; self.room.len()];
        for (line, given) in self.lines.iter().zip(&given) {
            line.iter().for_each(|line| zones[line.zone] += given);
        }
        for (line, given) in self.lines.iter_mut().zip(given).filter(|(_, given)| *given > 0.0) {
            let Some(line) = line else { continue };
            let due = zones[line.zone] * line.weight / self.room[line.zone].max(1e-9);
            line.lift = (line.lift * due / given).clamp(least, most);
        }
    }
    /// What each line is given when proxies bring so much and hold such lines.
    fn given(&self) -> Vec<f64> {
        let mut given = vec![0.0; self.lines.len()];
        for dealt in self.dealt.values() {
            let part = |(i, part): &(usize, f64)| part * self.line(*i).map_or(0.0, |l| l.lift);
            let all: f64 = dealt.lines.iter().map(part).sum::<f64>().max(1e-9);
            dealt.lines.iter().for_each(|h| given[h.0] += dealt.brings * part(h) / all);
        }
        given
    }
}

//! What is known and held of servers, proxies and their tables: plain state, no decision.

use crate::host::{Came, Load, Met, Retry, ServerState};
use crate::samples::{Samples, lowest};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub type Table = BTreeMap<String, f64>;

/// Way back to full weight: of a fresh server, or of a cleared suspect.
#[derive(Clone, Copy)]
pub struct Ease {
    pub since: Duration,
    pub over: Duration,
    pub from: f64,
    /// Until when a fresh server counts as cold; zero for others.
    pub cold_until: Duration,
}

#[derive(Default)]
pub struct Server {
    /// Picks the proxies that hold it, the same for every supervisor.
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
    /// Tries, aborted ones and the time of good ones since a moment.
    pub fn sums(&self, since: Duration) -> (f64, f64, f64) {
        self.met.since(since).fold((0.0, 0.0, 0.0), |a, m| {
            (a.0 + m.total, a.1 + m.aborted, a.2 + m.good_ms * (m.total - m.aborted))
        })
    }
    /// What was known of the process before says nothing of the new one.
    pub fn restart(&mut self, started: Option<Duration>) {
        (self.started, self.suspect, self.missed) = (started, None, 0);
        self.met.clear();
        self.loads.clear();
    }
    pub fn cold(&self) -> bool {
        self.ease.is_some_and(|e| !e.cold_until.is_zero())
    }
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
    /// Tables marked dirty, in order of arrival.
    pub queue: VecDeque<u32>,
    /// Lines that may leave now, as of a moment.
    pub budget: f64,
    pub budget_at: Duration,
    /// Of the next update.
    pub stamp: u16,
    /// Lines not answered yet, and those of streams that broke: they may wait in the channel still.
    pub waiting: f64,
    pub broken: Samples<f64>,
}

impl Outgoing {
    /// Notes lines whose stream broke, and lets go of those noted longer ago than they count.
    pub fn lose(&mut self, now: Duration, lines: f64, counted: Duration) {
        self.broken.forget(now.saturating_sub(counted));
        if lines > 0.0 {
            self.broken.add(now, lines, usize::MAX);
        }
    }
}

impl Update {
    /// Lines that differ from a base, and those to be taken out of what is held.
    pub fn changes_from(&self, base: &Table, held: &Table) -> Table {
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
    pub unanswered: VecDeque<(u16, f64)>,
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
        self.unanswered.drain(..).map(|u| u.1).sum()
    }
    pub fn write(&mut self, now: Duration, stamp: u16, cost: f64, update: Update) {
        (self.bound, self.pending, self.sent) = (true, None, update);
        self.in_flight = Some((stamp, now));
        self.unanswered.push_back((stamp, cost));
        self.messages.push_back(now);
    }
    /// An answer also tells that all before it has been applied; a stamp not under way changes nothing.
    pub fn answer(&mut self, stamp: u16) {
        if let Some(at) = self.unanswered.iter().position(|u| u.0 == stamp) {
            self.unanswered.drain(..=at);
        }
        if self.in_flight.is_some_and(|f| f.0 == stamp) {
            (self.in_flight, self.acked) = (None, self.sent.clone());
        }
    }
}

/// A ready server as all tables see it: its weight, and the lift that evens out how it was dealt.
pub struct Line {
    pub server: String,
    pub key: u64,
    pub zone: usize,
    pub size: f64,
    pub weight: f64,
    pub lift: f64,
}

impl Line {
    /// Where the line stands among those that one proxy might hold: by chance, larger servers sooner.
    pub fn draw(&self, proxy: u32) -> f64 {
        let seed = self.key ^ u64::from(proxy).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        -fastrand::Rng::with_seed(seed).f64().max(1e-12).ln() / self.size
    }
}

/// FNV-1a: any even spread would do that never changes.
pub fn key_of(server: &str) -> u64 {
    let mix = |key: u64, byte: u8| (key ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    server.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// What all tables have in common, worked out once a moment.
pub struct Plan {
    pub at: Duration,
    pub lines: Vec<Line>,
    pub room: Vec<f64>,
    /// By the proxy's zone, then the server's.
    pub reach: Vec<Vec<f64>>,
    /// Ops a second that fill one server as much as the others.
    pub per_server: f64,
    pub shares: Vec<f64>,
}

impl Plan {
    /// What each line is given when proxies bring so much and hold such lines.
    pub fn given(&self, dealt: &[(f64, Vec<(usize, f64)>)]) -> Vec<f64> {
        let mut given = vec![0.0; self.lines.len()];
        for (brings, held) in dealt {
            let part = |(i, part): &(usize, f64)| part * self.lines[*i].lift;
            let all: f64 = held.iter().map(part).sum::<f64>().max(1e-9);
            held.iter().for_each(|h| given[h.0] += brings * part(h) / all);
        }
        given
    }
}

//! All that one director knows and holds, and its bookkeeping: plain state, no decision and no tuned value.

use crate::host::{Listed, ServerState, Settings};
use crate::ranks::Ranks;
use crate::samples::{Samples, mean};
use crate::state::{Line, Outgoing, Plan, Proxy, Server, Update};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub struct Known {
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub set: Settings,
    pub servers: BTreeMap<String, Server>,
    pub proxies: BTreeMap<u32, Proxy>,
    pub ranks: Ranks,
    pub plan: Option<Plan>,
    /// Proxies that have joined since the plan.
    pub joins: usize,
    pub out: Outgoing,
    pub heard: Duration,
    /// Time between two reports of one thing: the interval, or more where only some lines come through.
    pub pace: Duration,
    pub stepped: Duration,
    pub ticks: u64,
    pub zones: usize,
    pub panic: bool,
    /// Shares, or rates, that were let in.
    pub past: Samples<f64>,
    /// Share of the ops, or ops a second where levels are rates, that is let in; infinite: all.
    pub line: f64,
    /// How far cold servers are held down: their weight is divided by it.
    pub stress: f64,
    /// Further tries are free.
    pub eager: bool,
    pub peer_demand: BTreeMap<u32, (Duration, Vec<f64>)>,
}

/// What was heard of one span: tries and the aborted part of them, how busy servers are, how late good answers
/// come for their target, the part of the ops let in that got an answer, the part of what came that got in, and
/// how busy cold servers say they are, where they are believed.
pub struct Strain {
    pub tries: f64,
    pub failing: f64,
    pub busy: f64,
    pub late: f64,
    pub answered: f64,
    pub got_in: f64,
    pub pressure: f64,
    pub cold: Option<f64>,
}

/// What a line of the list tells of a ready server.
#[derive(Clone, Copy, PartialEq)]
pub enum Told {
    Nothing,
    /// It is back, or of another size.
    Changed,
    /// It is another process.
    Restarted,
}

impl Known {
    pub fn new(now: Duration, seed: u64, set: Settings, budget: f64, stress: f64) -> Self {
        Known {
            rng: fastrand::Rng::with_seed(seed),
            now,
            pace: set.reporting.interval,
            set,
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            ranks: Ranks::default(),
            plan: None,
            joins: 0,
            out: Outgoing { budget, budget_at: now, ..Outgoing::default() },
            heard: now,
            stepped: now,
            ticks: 0,
            zones: 0,
            panic: false,
            past: Samples::default(),
            line: f64::INFINITY,
            stress,
            eager: false,
            peer_demand: BTreeMap::new(),
        }
    }

    pub fn ready(&self) -> impl Iterator<Item = (&String, &Server)> {
        self.servers.iter().filter(|(_, s)| s.state == ServerState::Ready)
    }

    /// Ready servers whose turn it is, of so many turns, one each tick.
    pub fn in_turn(&self, of: u64) -> impl Iterator<Item = &String> {
        let due = move |i: usize| (i as u64 + self.ticks).is_multiple_of(of);
        let due = self.servers.iter().enumerate().filter(move |(i, _)| due(*i));
        due.filter(|(_, (_, s))| s.state == ServerState::Ready).map(|(_, (server, _))| server)
    }

    /// Mean span of the newest reports since a moment; the interval at least.
    pub fn pace_heard(&self, since: Duration) -> Duration {
        let spans = self.ready().filter_map(|(_, s)| s.met.since(since).next());
        let pace = mean(spans.map(|m| m.span.as_secs_f64())).unwrap_or(0.0);
        self.set.reporting.interval.max(Duration::from_secs_f64(pace))
    }

    pub fn joined(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.values().filter(|p| p.joined)
    }

    pub fn proxies_where(&self, test: impl Fn(&Proxy) -> bool) -> Vec<u32> {
        self.proxies.iter().filter(|(_, p)| test(p)).map(|(id, _)| *id).collect()
    }

    /// The ready servers' lines by slot, and what room that makes in each zone, by some weight.
    pub fn lines(&self, weight: impl Fn(&Server) -> f64) -> (Vec<Option<Line>>, Vec<f64>) {
        let (mut lines, mut room) = (vec![None; self.ranks.slots()], vec![0.0; self.zones]);
        for (_, s) in self.ready() {
            let weight = weight(s);
            room[s.zone] += weight;
            lines[s.slot] = Some(Line { server: s.name.clone(), zone: s.zone, weight, lift: 1.0 });
        }
        (lines, room)
    }

    /// Adds the demand that other supervisors told of not longer ago than that; tells how many they are.
    pub fn add_peers(&self, demand: &mut [f64], ago: Duration) -> usize {
        let fresh = self.peer_demand.values().filter(|d| d.0 + ago >= self.now);
        fresh.map(|(_, told)| demand.iter_mut().zip(told).for_each(|(d, t)| *d += t)).count()
    }

    /// Servers that a whole list does not name.
    pub fn missing(&self, whole: &[Listed]) -> Vec<String> {
        let listed: BTreeSet<&String> = whole.iter().map(|e| &e.server).collect();
        self.servers.keys().filter(|s| !listed.contains(s)).cloned().collect()
    }

    /// A server is listed as ready. A restart may show without any removal before it: only the start time
    /// tells.
    pub fn listed(&mut self, entry: &Listed) -> Told {
        let unknown = || Server::new(&entry.server, self.ranks.slot());
        let s = self.servers.entry(entry.server.clone()).or_insert_with(unknown);
        let size = entry.size.filter(|x| *x > 0.0).unwrap_or(1.0);
        let changed = s.state != ServerState::Ready || size != s.size;
        if s.state != ServerState::Ready || (s.zone, s.size) != (entry.zone, size) {
            self.ranks.leave(s.slot, s.zone);
            self.ranks.enter(s.slot, entry.zone, s.key, size);
        }
        (s.zone, s.size, s.state) = (entry.zone, size, ServerState::Ready);
        self.zones = self.zones.max(entry.zone + 1);
        if entry.started.is_some() && entry.started != s.started {
            s.restart(entry.started);
            return Told::Restarted;
        }
        if changed { Told::Changed } else { Told::Nothing }
    }

    /// A server drains or is gone. Tells whether that is news.
    pub fn removed(&mut self, server: &str, state: ServerState) -> bool {
        let Some(s) = self.servers.get_mut(server).filter(|s| s.state != state) else { return false };
        (s.state, s.left) = (state, self.now);
        self.ranks.leave(s.slot, s.zone);
        true
    }

    /// Forgets servers that have been gone for so long. Guards against ids that pile up as servers are
    /// replaced: no standing table names them any more.
    pub fn forget(&mut self, gone: Duration) {
        self.servers.retain(|_, s| {
            let kept = s.state != ServerState::Gone || self.now < s.left + gone;
            if !kept {
                self.ranks.forget(s.slot);
            }
            kept
        });
    }

    /// Marks every table; those that may hold the named server hurry.
    pub fn mark_all(&mut self, holding: Option<&str>, hurry: usize) {
        self.plan = None;
        for id in self.proxies_where(|p| p.joined) {
            let p = &self.proxies[&id];
            let holds = holding.is_some_and(|s| !p.bound || p.sent.lines.contains_key(s));
            self.mark(id, if holds { hurry } else { 0 });
        }
    }

    /// A mark is a flag without data: marks merge. One that hurries passes the queue.
    pub fn mark(&mut self, id: u32, hurry: usize) {
        let Some(p) = self.proxies.get_mut(&id) else { return };
        if hurry > p.hurry {
            (p.hurry, p.hurried) = (hurry, self.now);
            self.out.urgent.insert(id);
        }
        if !p.dirty {
            p.dirty = true;
            self.out.queue.push_back(id);
        }
    }

    /// The ordinary mark that came first, which is now being built.
    pub fn next_marked(&mut self) -> Option<u32> {
        let id = self.out.queue.pop_front()?;
        self.proxies.entry(id).and_modify(|p| p.dirty = false);
        Some(id)
    }

    /// Marks that hurry, by how much, the longest waiting first: else a flood of changes starves proxies late
    /// in any other order.
    pub fn urgent(&self, may: impl Fn(&Proxy) -> bool) -> Vec<u32> {
        let mut urgent: Vec<u32> =
            self.out.urgent.iter().copied().filter(|id| may(&self.proxies[id])).collect();
        urgent.sort_by_key(|id| (std::cmp::Reverse(self.proxies[id].hurry), self.proxies[id].hurried));
        urgent
    }

    /// An update waits in its table's pending slot; the newest wins.
    pub fn wait(&mut self, id: u32, update: Update) {
        if let Some(p) = self.proxies.get_mut(&id) {
            p.pending = Some(update);
            self.out.pending.insert(id);
        }
    }
}

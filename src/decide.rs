//! All decisions. How it is called: start a [`Director`] with its settings and a [`Host`] (see `host.rs`),
//! tell it each thing that happens by the method of that name, then call `news_in` once: only there do
//! orders to proxies leave, so that what came together is merged. Times are spans since the clock's start.
//!
//! The design (docs/design.md) decides ordinary tables: dirty marks, builds in arrival order under a line
//! cap, one update in flight and one pending slot a proxy, differences, periodic rebuilds, stepped weights,
//! ramps. Beside it stand these mechanisms:
//!  1. urgent builds: removals, cold starts and suspicions pass the ordinary queue inside the hard limits;
//!  2. suspicion: a server that aborts, or falls silent, keeps a trickle until it answers again;
//!  3. locality: a proxy stays in its zone and spills only what the zone cannot carry at the fleet's load;
//!  4. the line of worth: under pressure op types are let in by value, those under the line get what is left;
//!  5. further tries: as many as the op type allows while aborts are few, turned back under pressure;
//!  6. peers' notes: each supervisor tells its demand by zone, so that spill counts all traffic.

use crate::host::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

// ---- tuned values ----
const TICK: Duration = Duration::from_millis(250);
/// Ordinary lines queued each second, as a part of the channel's rate (the design's start).
const CAP: f64 = 0.5;
/// Parts of the backlog that ordinary and urgent builds may fill with unanswered lines.
const FILL: [f64; 2] = [0.4, 0.85];
/// Messages to one proxy that ordinary and urgent builds leave unused within the limit's span.
const SPARE: [usize; 2] = [7, 1];
/// First pause before a failed list call is made again; it doubles up to eight times this.
const LIST_PAUSE: Duration = Duration::from_secs(1);
const ANSWER_WAIT: Duration = Duration::from_secs(3);
const REBUILD: Duration = Duration::from_secs(5);
/// Time between steps of the weights, in report intervals and at least in seconds: feedback is older than
/// an interval, and steps that outrun it oscillate.
const STEP_INTERVALS: f64 = 2.0;
const STEP_LEAST: f64 = 2.5;
/// Part of a relative gap taken in one step, the largest step, and the gap that is ignored.
const GAIN: f64 = 0.4;
const STEP_MOST: f64 = 0.2;
const GAP: f64 = 0.1;
const BOUND: [f64; 2] = [0.4, 2.0];
/// Changes of a line smaller than this part are not sent.
const SAME: f64 = 0.04;
/// Samples kept of each thing measured, and how old they may be when used.
const KEPT: usize = 12;
const FRESH: Duration = Duration::from_secs(6);
/// Suspicion: least tries and aborted share; tries that must be missing for silence.
const ABORTS: (f64, f64) = (3.0, 0.5);
const MISSING: f64 = 5.0;
/// Part of its weight that a suspect keeps, so that its return is seen.
const TRICKLE: f64 = 0.04;
/// Suspects beyond this part of the listed weight are believed to share a cause that is not theirs.
const PANIC: f64 = 0.5;
/// A cleared suspect eases in from this part over this time.
const CLEARED: (f64, Duration) = (0.3, Duration::from_secs(4));
/// A zone may be this much busier than the fleet before it spills.
const SPILL: f64 = 1.08;

type Table = BTreeMap<String, f64>;

/// Way back to full weight: of a fresh server, or of a cleared suspect.
#[derive(Clone, Copy)]
struct Ease {
    since: Duration,
    over: Duration,
    from: f64,
}

struct Server {
    zone: usize,
    size: f64,
    state: ServerState,
    started: Option<Duration>,
    ease: Option<Ease>,
    factor: f64,
    met: VecDeque<(Duration, Met)>,
    loads: VecDeque<(Duration, f64)>,
    probes: VecDeque<(Duration, Probed)>,
    suspect: Option<Duration>,
}

impl Server {
    fn last_heard(&self) -> Duration {
        self.met.back().map_or(Duration::ZERO, |m| m.0)
    }
    /// Tries, aborted ones and the time of good ones since a moment.
    fn sums(&self, since: Duration) -> (f64, f64, f64) {
        self.met.iter().filter(|m| m.0 >= since).fold((0.0, 0.0, 0.0), |a, (_, m)| {
            (a.0 + m.total, a.1 + m.aborted, a.2 + m.good_ms * (m.total - m.aborted))
        })
    }
    fn ramp(&self, now: Duration) -> f64 {
        self.ease.map_or(1.0, |e| {
            let gone = now.saturating_sub(e.since).as_secs_f64() / e.over.as_secs_f64().max(0.001);
            (e.from + (1.0 - e.from) * gone).clamp(e.from, 1.0)
        })
    }
    fn weight(&self, now: Duration, panic: bool) -> f64 {
        let trickle = if self.suspect.is_some() && !panic { TRICKLE } else { 1.0 };
        self.size * self.factor * self.ramp(now) * trickle
    }
}

/// An update: the lines a proxy should hold, and by op type what is let in and when it tries again.
#[derive(Clone, PartialEq)]
struct Update {
    lines: Table,
    levels: Vec<(f64, Retry)>,
}

struct Proxy {
    zone: usize,
    usual: f64,
    came: Vec<VecDeque<(Duration, f64, f64, Duration)>>,
    joined: bool,
    dirty: bool,
    urgent: bool,
    next_rebuild: Duration,
    /// What the table was last sent, and what of that is known to be applied.
    sent: Update,
    acked: Option<Update>,
    bound: bool,
    in_flight: Option<(u16, Duration)>,
    pending: Option<Update>,
    unanswered: VecDeque<(u16, f64)>,
    messages: VecDeque<Duration>,
}

pub struct Director<H> {
    host: H,
    rng: fastrand::Rng,
    now: Duration,
    op_types: Vec<OpType>,
    admission: Admission,
    usual_retry: Retry,
    channel: Channel,
    cold: ColdTerms,
    reporting: Reporting,
    aims: Aims,
    peers: Peers,
    servers: BTreeMap<String, Server>,
    proxies: BTreeMap<u32, Proxy>,
    queue: VecDeque<u32>,
    budget: f64,
    budget_at: Duration,
    stamp: u16,
    next_tick: Duration,
    next_step: Duration,
    next_line: Duration,
    panic: bool,
    admitted: f64,
    eager: bool,
    peer_demand: BTreeMap<u32, (Duration, Vec<f64>)>,
    list_retry: Option<Duration>,
    list_pause: Duration,
}

impl<H: Host> Director<H> {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        now: Duration,
        seed: u64,
        mut host: H,
        op_types: Vec<OpType>,
        (admission, usual_retry): (Admission, Retry),
        channel: Channel,
        cold: ColdTerms,
        reporting: Reporting,
        aims: Aims,
        peers: Peers,
        ask_for_list: bool,
    ) -> Self {
        if ask_for_list {
            host.follow_list();
        }
        host.wake_at(now + TICK, 0);
        Director {
            host,
            rng: fastrand::Rng::with_seed(seed),
            now,
            op_types,
            admission,
            usual_retry,
            channel,
            cold,
            reporting,
            aims,
            peers,
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            queue: VecDeque::new(),
            budget: 0.0,
            budget_at: now,
            stamp: 0,
            next_tick: now,
            next_step: now + REBUILD,
            next_line: now + REBUILD,
            panic: false,
            admitted: 1.0,
            eager: true,
            peer_demand: BTreeMap::new(),
            list_retry: None,
            list_pause: LIST_PAUSE,
        }
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    // ---- what can happen ----

    pub fn list_changed(&mut self, now: Duration, news: ListNews, entries: Vec<Listed>) {
        self.now = now;
        self.list_pause = LIST_PAUSE;
        if news == ListNews::Whole {
            let listed: BTreeSet<&String> = entries.iter().map(|e| &e.server).collect();
            let missing: Vec<String> = self.servers.keys().filter(|s| !listed.contains(s)).cloned().collect();
            for server in missing {
                self.removed(&server, ServerState::Gone);
            }
        }
        for entry in entries {
            self.listed(entry);
        }
    }

    /// Guards against list calls that fail: the old list stays, and the next call waits longer each time.
    pub fn list_failed(&mut self, now: Duration) {
        self.now = now;
        self.list_retry = Some(now + self.list_pause);
        self.list_pause = (self.list_pause * 2).min(LIST_PAUSE * 8);
        self.host.log("list call failed: keeping the old list");
    }

    pub fn woke(&mut self, now: Duration, _cookie: u64) {
        self.now = now;
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK;
        self.host.wake_at(self.next_tick, 0);
        if self.list_retry.is_some_and(|at| now >= at) {
            self.list_retry = None;
            self.host.follow_list();
        }
        self.send_probes();
        self.judge_servers();
        if now >= self.next_step {
            let period = (self.reporting.interval.as_secs_f64() * STEP_INTERVALS).max(STEP_LEAST);
            self.next_step = now + Duration::from_secs_f64(period);
            self.step_weights();
            self.tell_demand();
        }
        if now >= self.next_line {
            self.next_line = now + Duration::from_secs(1);
            self.move_line();
        }
        let due: Vec<u32> = self
            .proxies
            .iter()
            .filter(|(_, p)| p.joined && now >= p.next_rebuild)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let jitter = 0.8 + 0.4 * self.rng.f64();
            if let Some(p) = self.proxies.get_mut(&id) {
                p.next_rebuild = now + REBUILD.mul_f64(jitter);
            }
            self.mark(id, false);
        }
    }

    pub fn probe_answered(&mut self, now: Duration, server: &str, result: Probed, load: &[f64]) {
        self.now = now;
        if let Some(s) = self.servers.get_mut(server) {
            keep(&mut s.probes, (now, result));
        }
        self.load_heard(server, load);
    }

    pub fn peer_told(&mut self, now: Duration, peer: u32, note: &[u8]) {
        self.now = now;
        let demand =
            note.chunks_exact(4).map(|c| f32::from_le_bytes([c[0], c[1], c[2], c[3]]) as f64).collect();
        self.peer_demand.insert(peer, (now, demand));
    }

    /// Guards against a join with no break seen before it: whatever was known of the proxy is void.
    pub fn proxy_joined(&mut self, now: Duration, proxy: u32, zone: usize, usual: f64) {
        self.now = now;
        let types = self.op_types.len();
        let full = Update { lines: Table::new(), levels: vec![(f64::INFINITY, self.usual_retry); types] };
        let p = self.proxies.entry(proxy).or_insert_with(|| Proxy {
            zone,
            usual,
            came: vec![VecDeque::new(); types],
            joined: true,
            dirty: false,
            urgent: false,
            next_rebuild: now,
            sent: full,
            acked: None,
            bound: false,
            in_flight: None,
            pending: None,
            unanswered: VecDeque::new(),
            messages: VecDeque::new(),
        });
        (p.zone, p.usual, p.joined, p.bound) = (zone, usual, true, false);
        (p.in_flight, p.pending, p.acked) = (None, None, None);
        p.unanswered.clear();
        p.messages.clear();
        p.next_rebuild = now + REBUILD.mul_f64(1.0 + self.rng.f64());
        // A standing table may name servers that drain, are gone or cold: then the join cannot wait.
        let hurry = self
            .servers
            .values()
            .any(|s| s.state != ServerState::Ready || s.ease.is_some() || s.suspect.is_some());
        self.mark(proxy, hurry);
    }

    pub fn proxy_left(&mut self, now: Duration, proxy: u32) {
        self.now = now;
        if let Some(p) = self.proxies.get_mut(&proxy) {
            (p.joined, p.bound, p.urgent, p.dirty) = (false, false, false, false);
            (p.in_flight, p.pending, p.acked) = (None, None, None);
            p.unanswered.clear();
        }
        self.queue.retain(|q| *q != proxy);
    }

    pub fn server_met(&mut self, now: Duration, server: &str, met: Met, load: &[f64]) {
        self.now = now;
        if let Some(s) = self.servers.get_mut(server) {
            keep(&mut s.met, (now, met));
        }
        self.load_heard(server, load);
    }

    pub fn ops_came(
        &mut self,
        now: Duration,
        proxy: u32,
        op_type: usize,
        total: f64,
        aborted: f64,
        span: Duration,
    ) {
        self.now = now;
        if let Some(came) = self.proxies.get_mut(&proxy).and_then(|p| p.came.get_mut(op_type)) {
            keep(came, (now, total, aborted, span));
        }
    }

    /// Frees the update in flight; guards against late or repeated answers, whose stamp is another.
    pub fn update_answered(&mut self, now: Duration, proxy: u32, stamp: u16) {
        self.now = now;
        let Some(p) = self.proxies.get_mut(&proxy) else { return };
        if let Some(at) = p.unanswered.iter().position(|u| u.0 == stamp) {
            p.unanswered.drain(..=at);
        }
        if p.in_flight.is_some_and(|f| f.0 == stamp) {
            p.in_flight = None;
            p.acked = Some(p.sent.clone());
        }
    }

    /// All of this moment's news has been told: builds and sends what may leave now.
    pub fn news_in(&mut self, now: Duration) {
        self.now = now;
        let rate = self.channel.lines_per_s * CAP;
        let idle = now.saturating_sub(self.budget_at).as_secs_f64();
        self.budget = (self.budget + idle * rate).min(rate * 0.5);
        self.budget_at = now;
        let mut wrote = false;
        let urgent: Vec<u32> =
            self.proxies.iter().filter(|(_, p)| p.joined && p.urgent).map(|(id, _)| *id).collect();
        for id in urgent {
            let update = self.build(id);
            wrote |= self.send(id, update, true);
        }
        while self.budget > 0.0 {
            let Some(id) = self.queue.pop_front() else { break };
            let update = self.build(id);
            let Some(p) = self.proxies.get_mut(&id) else { continue };
            p.dirty = false;
            p.pending = Some(update);
            wrote |= self.flush_pending(id);
        }
        let waiting: Vec<u32> =
            self.proxies.iter().filter(|(_, p)| p.pending.is_some()).map(|(id, _)| *id).collect();
        for id in waiting {
            wrote |= self.flush_pending(id);
        }
        if wrote {
            self.host.ask_answer(self.stamp);
            self.stamp = self.stamp.wrapping_add(1);
        }
    }

    // ---- the list ----

    fn listed(&mut self, entry: Listed) {
        if entry.state != ServerState::Ready {
            self.removed(&entry.server, entry.state);
            return;
        }
        let now = self.now;
        let known = self.servers.contains_key(&entry.server);
        let s = self.servers.entry(entry.server.clone()).or_insert_with(|| Server {
            zone: entry.zone,
            size: 1.0,
            state: ServerState::Gone,
            started: None,
            ease: None,
            factor: 1.0,
            met: VecDeque::new(),
            loads: VecDeque::new(),
            probes: VecDeque::new(),
            suspect: None,
        });
        // A restart may show without any removal before it: only the start time tells.
        let restarted = entry.started.is_some() && entry.started != s.started;
        let news = !known || s.state != ServerState::Ready || restarted;
        let size = entry.size.filter(|x| *x > 0.0).unwrap_or(1.0);
        let resized = size != s.size;
        (s.zone, s.size, s.state) = (entry.zone, size, ServerState::Ready);
        if restarted {
            s.started = entry.started;
            s.suspect = None;
            s.met.clear();
            s.loads.clear();
            s.probes.clear();
            let since = entry.started.unwrap_or(now);
            if now < since + self.cold.over {
                s.ease = Some(Ease { since, over: self.cold.over, from: self.cold.from });
            }
        }
        if news || resized {
            let cold = restarted && s.ease.is_some();
            self.mark_all(cold.then_some(entry.server.as_str()));
        }
    }

    fn removed(&mut self, server: &str, state: ServerState) {
        let Some(s) = self.servers.get_mut(server) else { return };
        if s.state == state {
            return;
        }
        s.state = state;
        self.mark_all(Some(server));
    }

    // ---- marks, builds, sending ----

    /// Marks every table; those that were sent a line of the named server are urgent.
    fn mark_all(&mut self, holding: Option<&str>) {
        let ids: Vec<(u32, bool)> = self
            .proxies
            .iter()
            .filter(|(_, p)| p.joined)
            .map(|(id, p)| (*id, holding.is_some_and(|s| !p.bound || p.sent.lines.contains_key(s))))
            .collect();
        for (id, urgent) in ids {
            self.mark(id, urgent);
        }
    }

    fn mark(&mut self, id: u32, urgent: bool) {
        let Some(p) = self.proxies.get_mut(&id) else { return };
        p.urgent |= urgent;
        if !p.dirty {
            p.dirty = true;
            self.queue.push_back(id);
        }
    }

    fn demand_of(&self, p: &Proxy) -> f64 {
        let (mut total, mut heard) = (0.0, false);
        for came in &p.came {
            let recent = came.iter().rev().take(3).filter(|c| c.0 + FRESH >= self.now);
            let (n, span) = recent.fold((0.0, 0.0), |a, c| (a.0 + c.1, a.1 + c.3.as_secs_f64()));
            if span > 0.0 {
                heard = true;
                total += n / span;
            }
        }
        if heard { total } else { p.usual }
    }

    fn own_demand(&self, zones: usize) -> Vec<f64> {
        let mut demand = vec![0.0; zones];
        for p in self.proxies.values().filter(|p| p.joined && p.zone < zones) {
            demand[p.zone] += self.demand_of(p).max(0.1);
        }
        demand
    }

    /// How a line's weight counts for proxies of one zone, by the server's zone: 1 in the own zone, less
    /// elsewhere. A zone spills only what it cannot carry at (a little over) the fleet's common load.
    fn reach(&self, zone: usize) -> Vec<f64> {
        let zones = 1 + self
            .servers
            .values()
            .map(|s| s.zone)
            .chain(self.proxies.values().map(|p| p.zone))
            .max()
            .unwrap_or(0);
        let mut room = vec![0.0; zones];
        for s in self.servers.values().filter(|s| s.state == ServerState::Ready) {
            room[s.zone] += s.weight(self.now, self.panic);
        }
        let mut demand = self.own_demand(zones);
        let mut unheard = self.peers.others;
        for (at, told) in self.peer_demand.values() {
            if *at + FRESH * 2 >= self.now {
                unheard = unheard.saturating_sub(1);
                for (d, t) in demand.iter_mut().zip(told) {
                    *d += t;
                }
            }
        }
        let mut own = vec![0.0; zones];
        own[zone] = 1.0;
        if room[zone] <= 0.0 {
            return vec![1.0; zones];
        }
        if unheard > 0 {
            // Other supervisors' traffic is unknown: count every zone at least as busy as our busiest.
            let busiest = demand.iter().zip(&room).map(|(d, r)| d / r.max(0.001)).fold(0.0, f64::max);
            demand = demand.iter().zip(&room).map(|(d, r)| d.max(busiest * r)).collect();
        }
        let common = demand.iter().sum::<f64>() / room.iter().sum::<f64>();
        let excess = demand[zone] - common * SPILL * room[zone];
        let free: Vec<f64> = demand.iter().zip(&room).map(|(d, r)| (common * r - d).max(0.0)).collect();
        let all_free: f64 = free.iter().sum();
        if excess <= 0.0 || all_free <= 0.0 {
            return own;
        }
        let kept = (demand[zone] - excess) / room[zone];
        for y in (0..zones).filter(|y| *y != zone && room[*y] > 0.0) {
            let part = excess * free[y] / all_free / room[y] / kept;
            own[y] = (part * 20.0).round() / 20.0;
        }
        own
    }

    fn build(&self, id: u32) -> Update {
        let mut lines = Table::new();
        let mut levels = Vec::new();
        let Some(p) = self.proxies.get(&id) else { return Update { lines, levels } };
        let mut reach = self.reach(p.zone);
        if self.op_types.iter().any(|t| t.own_zone) {
            reach.iter_mut().enumerate().for_each(|(z, r)| *r = if z == p.zone { 1.0 } else { 0.0 });
        }
        for (server, s) in self.servers.iter().filter(|(_, s)| s.state == ServerState::Ready) {
            let part = s.weight(self.now, self.panic) * reach.get(s.zone).copied().unwrap_or(0.0);
            if part > 0.0 {
                let old = p.sent.lines.get(server).copied().unwrap_or(0.0);
                let same = old > 0.0 && (part / old - 1.0).abs() < SAME;
                lines.insert(server.clone(), if same { old } else { (part * 1e4).round().max(1.0) / 1e4 });
            }
        }
        for t in 0..self.op_types.len() {
            let share = self.share_let_in(t);
            let level = match self.admission {
                Admission::Rate if share < 1.0 => (share * self.demand_for(p, t)).max(0.05),
                _ if share >= 1.0 => f64::INFINITY,
                _ => share,
            };
            let old = p.sent.levels[t];
            let same = level.is_finite() && old.0.is_finite() && (level / old.0 - 1.0).abs() < SAME;
            levels.push((if same { old.0 } else { level }, self.retry_for(t)));
        }
        Update { lines, levels }
    }

    fn flush_pending(&mut self, id: u32) -> bool {
        let Some(p) = self.proxies.get_mut(&id) else { return false };
        if p.in_flight.is_some_and(|f| self.now < f.1 + ANSWER_WAIT) {
            return false;
        }
        let Some(update) = p.pending.take() else { return false };
        self.send(id, update, false)
    }

    /// Sends the difference from what was last sent, or the whole table to a proxy that is not bound yet.
    /// An urgent build also voids the pending slot. Held back, it stays pending or urgent.
    fn send(&mut self, id: u32, update: Update, urgent: bool) -> bool {
        let waiting: f64 = self.proxies.values().flat_map(|p| &p.unanswered).map(|u| u.1).sum();
        let Some(p) = self.proxies.get_mut(&id) else { return false };
        let mut changes: Vec<(&String, f64)> = Vec::new();
        for (server, part) in &update.lines {
            if p.sent.lines.get(server) != Some(part) {
                changes.push((server, *part));
            }
        }
        for server in p.sent.lines.keys().filter(|s| !update.lines.contains_key(*s)) {
            changes.push((server, 0.0));
        }
        let levels: Vec<usize> =
            (0..update.levels.len()).filter(|t| update.levels[*t] != p.sent.levels[*t]).collect();
        let unusual = update.levels.iter().filter(|l| **l != (f64::INFINITY, self.usual_retry)).count();
        let own = if p.bound { changes.len() + levels.len() } else { 1 + update.lines.len() + unusual };
        if own == 0 {
            p.urgent = false;
            return false;
        }
        let cost = own as f64 + self.channel.head + 1.0;
        let over = self.channel.messages_over;
        p.messages.retain(|m| *m + over > self.now);
        let most = self.channel.messages_most;
        let spent = most > 0 && p.messages.len() + SPARE[urgent as usize] >= most;
        if spent || waiting + cost > self.channel.backlog * FILL[urgent as usize] {
            if !urgent {
                p.pending = Some(update);
            }
            return false;
        }
        for (server, part) in changes {
            self.host.set_line(id, server, part);
        }
        for t in levels {
            let (level, retry) = update.levels[t];
            self.host.admit(id, t, level, retry);
        }
        if !p.bound {
            self.host.bind(id, id);
        }
        (p.bound, p.urgent, p.pending) = (true, false, None);
        p.sent = update;
        p.in_flight = Some((self.stamp, self.now));
        p.unanswered.push_back((self.stamp, cost));
        p.messages.push_back(self.now);
        self.budget -= cost;
        true
    }

    // ---- what is heard of servers ----

    fn load_heard(&mut self, server: &str, load: &[f64]) {
        let Some(s) = self.servers.get_mut(server) else { return };
        if load.is_empty() {
            return;
        }
        let field = |f| self.reporting.fields.iter().position(|x| *x == f).and_then(|i| load.get(i).copied());
        let weight = (s.factor * s.size).max(0.001);
        let value = match (field(LoadField::Busy), field(LoadField::Active), field(LoadField::ServiceMs)) {
            (Some(busy), _, _) => busy,
            (_, Some(active), _) => active / s.size,
            // Service time alone does not fall with the load: what a server is given, times that, does.
            (_, _, Some(ms)) => weight * ms * (1.0 + field(LoadField::Waiting).unwrap_or(0.0) / 8.0),
            _ => match field(LoadField::Waiting) {
                Some(waiting) => (1.0 + waiting) / s.size,
                None => return,
            },
        };
        keep(&mut s.loads, (self.now, value));
    }

    fn send_probes(&mut self) {
        if !self.reporting.probes_allowed || !self.reporting.by_probe {
            return;
        }
        // Each server once a second, a quarter of them each tick.
        let turn = (self.now.as_millis() / TICK.as_millis()) as usize % 4;
        for (i, (server, s)) in self.servers.iter().enumerate() {
            if s.state == ServerState::Ready && i % 4 == turn {
                self.host.probe(server);
            }
        }
    }

    /// Load of a server: its last reports, or the time of good answers where none come.
    fn load_of(&self, s: &Server) -> Option<f64> {
        let recent: Vec<f64> =
            s.loads.iter().rev().take(3).filter(|l| l.0 + FRESH >= self.now).map(|l| l.1).collect();
        if !recent.is_empty() {
            return Some(recent.iter().sum::<f64>() / recent.len() as f64);
        }
        let (total, aborted, ms) = s.sums(self.now.saturating_sub(FRESH));
        (self.reporting.fields.is_empty() && total > aborted).then(|| ms / (total - aborted))
    }

    fn step_weights(&mut self) {
        let now = self.now;
        let loads: Vec<(String, f64)> = self
            .servers
            .iter()
            .filter(|(_, s)| s.state == ServerState::Ready && s.suspect.is_none() && s.ramp(now) >= 1.0)
            .filter_map(|(id, s)| self.load_of(s).map(|l| (id.clone(), l)))
            .collect();
        let mean = loads.iter().map(|l| l.1).sum::<f64>() / loads.len().max(1) as f64;
        let mut moved = false;
        for (id, load) in loads {
            let gap = load / mean.max(1e-9) - 1.0;
            if gap.abs() >= GAP
                && let Some(s) = self.servers.get_mut(&id)
            {
                s.factor =
                    (s.factor * (1.0 - (GAIN * gap).clamp(-STEP_MOST, STEP_MOST))).clamp(BOUND[0], BOUND[1]);
                moved = true;
            }
        }
        let mut easing = false;
        for s in self.servers.values_mut().filter(|s| s.ease.is_some()) {
            easing = true;
            if s.ramp(now) >= 1.0 {
                s.ease = None;
            }
        }
        if moved || easing {
            self.mark_all(None);
        }
    }

    /// Expected tries a second at each server, by the tables as last sent.
    fn expected(&self) -> BTreeMap<&String, f64> {
        let mut expected = BTreeMap::new();
        for p in self.proxies.values().filter(|p| p.joined && p.bound) {
            let (sum, demand) = (p.sent.lines.values().sum::<f64>(), self.demand_of(p));
            for (server, part) in &p.sent.lines {
                *expected.entry(server).or_insert(0.0) += demand * part / sum;
            }
        }
        expected
    }

    /// Guards against servers that abort fast or take ops and answer none: both look idle to load feedback.
    /// Aborts show in what proxies met; silence shows as reports that stop while the others' go on.
    fn judge_servers(&mut self) {
        let now = self.now;
        let interval = self.reporting.interval;
        let expected = self.expected();
        let mut gaps: Vec<Duration> = self
            .servers
            .values()
            .filter(|s| s.state == ServerState::Ready && !s.met.is_empty())
            .map(|s| now - s.last_heard())
            .collect();
        gaps.sort();
        let usual = gaps.get(gaps.len() / 2).copied().unwrap_or_default();
        let (mut found, mut cleared) = (Vec::new(), Vec::new());
        for (id, s) in self.servers.iter().filter(|(_, s)| s.state == ServerState::Ready) {
            let recent = now.saturating_sub(interval.mul_f64(2.0).max(Duration::from_secs(2)));
            if let Some(at) = s.suspect {
                let (total, aborted, _) = s.sums(at + interval.mul_f64(1.5).max(Duration::from_secs(2)));
                if total >= 2.0 && aborted / total < 0.3 {
                    cleared.push((id.clone(), total, aborted));
                }
                continue;
            }
            let (total, aborted, _) = s.sums(recent);
            if total >= ABORTS.0 && aborted / total >= ABORTS.1 {
                found.push((id.clone(), format!("{aborted:.0} of {total:.0} tries aborted")));
                continue;
            }
            let quiet = (now - s.last_heard()).saturating_sub(usual);
            let span: f64 = s.met.iter().map(|m| m.1.span.as_secs_f64()).sum();
            let met = s.met.iter().map(|m| m.1.total).sum::<f64>() / span.max(0.1);
            let rate = expected.get(id).copied().unwrap_or(0.0).min(met);
            if quiet > interval.mul_f64(1.2) && rate * quiet.as_secs_f64() >= MISSING {
                let missing = rate * quiet.as_secs_f64();
                found.push((
                    id.clone(),
                    format!("silent for {:.1} s, {missing:.0} tries missing", quiet.as_secs_f64()),
                ));
            }
        }
        for (id, why) in found {
            if let Some(s) = self.servers.get_mut(&id) {
                s.suspect = Some(now);
            }
            self.host.log(&format!("suspect {id}: {why}"));
            self.mark_all(Some(&id));
        }
        for (id, total, aborted) in cleared {
            if let Some(s) = self.servers.get_mut(&id) {
                s.suspect = None;
                s.loads.clear();
                s.ease = Some(Ease { since: now, over: CLEARED.1, from: CLEARED.0 });
            }
            self.host.log(&format!("cleared {id}: {aborted:.0} of {total:.0} tries aborted"));
            self.mark_all(None);
        }
        let ready = || self.servers.values().filter(|s| s.state == ServerState::Ready);
        let all: f64 = ready().map(|s| s.size).sum();
        let bad: f64 = ready().filter(|s| s.suspect.is_some()).map(|s| s.size).sum();
        let panic = bad > all * PANIC;
        if panic != self.panic {
            self.panic = panic;
            self.host.log(&format!(
                "panic {}: {bad:.1} of {all:.1} weight suspect",
                if panic { "on" } else { "off" }
            ));
            self.mark_all(None);
        }
    }

    // ---- demand, the line of worth, further tries ----

    fn tell_demand(&mut self) {
        if self.peers.others == 0 || !self.peers.notes_allowed {
            return;
        }
        let zones = 1 + self.servers.values().map(|s| s.zone).max().unwrap_or(0);
        let note: Vec<u8> =
            self.own_demand(zones.min(60)).iter().flat_map(|d| (*d as f32).to_le_bytes()).collect();
        self.host.tell_peers(&note);
    }

    fn demand_for(&self, p: &Proxy, op_type: usize) -> f64 {
        let recent = p.came[op_type].iter().rev().take(3).filter(|c| c.0 + FRESH >= self.now);
        let (n, span) = recent.fold((0.0, 0.0), |a, c| (a.0 + c.1, a.1 + c.3.as_secs_f64()));
        if span > 0.0 { n / span } else { p.usual / self.op_types.len() as f64 }
    }

    /// Moves the line by the pressure measured: how busy the servers say they are, or how late good
    /// answers come against the target latency.
    fn move_line(&mut self) {
        let ready: Vec<&Server> =
            self.servers.values().filter(|s| s.state == ServerState::Ready && s.suspect.is_none()).collect();
        let mut busy = 0.0;
        if self.reporting.fields.contains(&LoadField::Busy) {
            let heard: Vec<(f64, f64)> =
                ready.iter().filter_map(|s| self.load_of(s).map(|l| (l * s.size, s.size))).collect();
            busy = heard.iter().map(|h| h.0).sum::<f64>() / heard.iter().map(|h| h.1).sum::<f64>().max(0.001);
        }
        let since = self.now.saturating_sub(Duration::from_secs(4));
        let (total, aborted, ms) = ready
            .iter()
            .map(|s| s.sums(since))
            .fold((0.0, 0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1, a.2 + s.2));
        let target = self.op_types.iter().map(|t| t.target_latency.as_secs_f64() * 1e3).sum::<f64>()
            / self.op_types.len().max(1) as f64;
        let late = if total > aborted { ms / (total - aborted) / target } else { 0.0 };
        let failing = if total > 0.0 { aborted / total } else { 0.0 };
        let before = self.admitted;
        if busy > 0.95 || late > 0.7 {
            self.admitted = (self.admitted * 0.93).max(0.3);
        } else if busy < 0.88 && late < 0.5 {
            self.admitted = (self.admitted + 0.04).min(1.0);
        }
        let eager = if self.eager { late < 0.6 && failing < 0.3 } else { late < 0.4 && failing < 0.15 };
        if (before < 1.0) != (self.admitted < 1.0) || eager != self.eager {
            self.host.log(&format!(
                "line at {:.2}, tries {}: busy {busy:.2}, late {late:.2}, aborted {failing:.2}",
                self.admitted,
                if eager { "free" } else { "held" }
            ));
        }
        if before != self.admitted || eager != self.eager {
            self.eager = eager;
            self.mark_all(None);
        }
    }

    /// Share of an op type that is let in. The line of worth admits by value and leaves the rest to those
    /// under it, unless the worst-served op type weighs so much that sharing alike loses less.
    fn share_let_in(&self, op_type: usize) -> f64 {
        if self.admitted >= 1.0 {
            return 1.0;
        }
        let n = self.op_types.len();
        let demand: Vec<f64> = (0..n)
            .map(|t| {
                self.proxies.values().filter(|p| p.joined).map(|p| self.demand_for(p, t)).sum::<f64>() + 0.01
            })
            .collect();
        let all: f64 = demand.iter().sum();
        let value: f64 = (0..n).map(|t| demand[t] * self.op_types[t].value).sum::<f64>() / all;
        let mut order: Vec<usize> = (0..n).collect();
        order.sort_by(|a, b| self.op_types[*b].value.total_cmp(&self.op_types[*a].value));
        let lowest = order[n - 1];
        let by_value = self.aims.rest * self.op_types[lowest].value / value
            + self.aims.worst_op_type * all / demand[lowest];
        if by_value >= self.aims.rest + self.aims.worst_op_type {
            return self.admitted;
        }
        let mut left = self.admitted * all;
        for t in order {
            let share = (left / demand[t]).clamp(0.05, 1.0);
            if t == op_type {
                return share;
            }
            left -= share * demand[t];
        }
        1.0
    }

    /// Never a further try that could take effect twice: once-only op types only after proof that the
    /// first never ran, deduplicated ones freely only if every try falls inside the window.
    fn retry_for(&self, op_type: usize) -> Retry {
        let t = &self.op_types[op_type];
        let free = match t.repeats {
            Repeats::Retryable => true,
            Repeats::Deduplicated { everywhere, window } => everywhere && window >= t.op_timeout,
            Repeats::OnceOnly => false,
        };
        if free && self.eager { Retry::Once } else { Retry::Unsent }
    }
}

fn keep<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == KEPT {
        samples.pop_front();
    }
    samples.push_back(sample);
}

//! All decisions. How it is called: start a [`Director`] with its settings and a [`Host`] (see `host.rs`),
//! tell it each thing that happens by the method of that name, then call `news_in` once: only there do
//! orders to proxies leave, so that what came together is merged. Times are spans since the clock's start.
//!
//! The design (docs/design.md) decides ordinary tables. Beside it stand six mechanisms:
//!  1. urgent builds: removals, cold starts and suspicions pass the ordinary queue inside the hard limits;
//!  2. suspicion: a server that aborts, falls silent or misses probes keeps a trickle until it answers again;
//!  3. locality: a table holds a dealt part of its zone, which spills what it cannot carry at fleet load;
//!  4. the line of worth: under pressure op types are let in by value, those under the line get what is left;
//!  5. further tries: as many as the op type allows while aborts are few, turned back under pressure;
//!  6. the guard of cold servers: bounded, held down by stress, taken back when full.

use crate::host::*;
use crate::pace::{self, ORDINARY, PaceTerms, RULE, URGENT};
use crate::ramps::{self, RampTerms};
use crate::ranks::Ranks;
use crate::samples::{Samples, lowest, mean};
use crate::state::*;
use crate::weigh::{self, StepTerms, busyness, settle};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(250);
/// How much later than others a message may arrive that left before them.
const TRAVEL: Duration = Duration::from_secs(1);
/// Pause before a failed list call is made again, and the cookie of its wake.
const LIST_AGAIN: (Duration, u64) = (Duration::from_secs(1), u64::MAX >> 1);
/// Least time between steps of the weights: steps that outrun what is heard oscillate.
const STEP_LEAST: Duration = Duration::from_secs(2);
const GONE: Duration = Duration::from_secs(60);
/// Changes of a line smaller than this part are not sent.
const SAME: f64 = 0.04;
/// Samples kept of each thing measured, how old they may be when used, and the span a load is taken over.
const KEPT: usize = 12;
const FRESH: Duration = Duration::from_secs(6);
const FEW: Duration = Duration::from_millis(1500);
/// Suspicion: tries, and aborted share above the healthier servers'; tries missing; probes that fail.
const ABORTS: (f64, f64) = (3.0, 0.4);
const MISSED: (f64, u32) = (9.0, 2);
/// Busyness from which on aborts are believed to be overload: that is for the weights and the line.
const SWAMPED: f64 = 0.83;
/// Part of its weight that a suspect keeps, so that its return is seen.
const TRICKLE: f64 = 0.12;
/// Suspects beyond this part of the listed weight are believed to share a cause that is not theirs.
const PANIC: f64 = 0.7;
/// Aborts that accuse a server while it is cold and full.
const COLD: f64 = 0.2;
/// How far cold servers are held down: until tries are heard of, and while the line is down; up to how busy.
const STRESS: (f64, f64) = (3.0, 2.0);
const COLD_BUSY: f64 = 0.6;
/// A zone may be this much busier than the fleet before it spills.
const SPILL: f64 = 1.08;
/// Least lines of a table, and for each server's worth of ops brought: few bad ones must not matter.
const LINES: (f64, f64) = (12.0, 4.0);
/// Bounds of what evens out how unequally servers were dealt, and rounds of working it out.
const LIFT: (f64, f64, usize) = (0.25, 4.0, 4);
/// Ops counted, if heard of at all lately, before a proxy's own demand is believed.
const COUNTED: f64 = 12.0;
/// How old what all tables have in common may be, if nothing marked them since.
const PLAN_OLD: Duration = Duration::from_secs(1);
/// Room above its demand that an op type above the line gets where levels are rates.
const HEADROOM: f64 = 1.25;
/// Part of the ops let in by a rate meant for all of them where it is less than an op a second.
const LET_IN: f64 = 0.9;
/// Pressure at which the line comes down, that it then aims at, and under which there is clearly room.
const PRESSED: (f64, f64, f64) = (0.96, 0.88, 0.6);
/// The line's least part of the usual, how far it falls at most in a second, how far rates and shares rise.
const LEAST_IN: f64 = 0.43;
const FALL: f64 = 0.6;
const ORDER_HEARD: Duration = Duration::from_secs(1);
const RISE: [f64; 2] = [1.5, 1.2];
/// Tries are free while more than this part aborts and pressure is under that: else they only add work.
const FREE: (f64, f64) = (0.05, 0.8);
pub struct Director<H> {
    pub host: H,
    rng: fastrand::Rng,
    now: Duration,
    op_types: Vec<OpType>,
    habits: Habits,
    channel: Channel,
    cold: ColdTerms,
    reporting: Reporting,
    aims: Aims,
    peers: Peers,
    pace_terms: PaceTerms,
    ramp_terms: RampTerms,
    step_terms: StepTerms,
    pub(crate) servers: BTreeMap<String, Server>,
    proxies: BTreeMap<u32, Proxy>,
    ranks: Ranks,
    plan: Option<Plan>,
    /// A proxy has joined since the plan.
    joins: bool,
    out: Outgoing,
    heard: Duration,
    /// Time between two reports of one thing: the interval, or more where only some lines come through.
    pace: Duration,
    stepped: Duration,
    ticks: u64,
    zones: usize,
    panic: bool,
    /// Shares, or rates, that were let in.
    past: Samples<f64>,
    /// Share of the ops, or ops a second where levels are rates, that is let in; infinite: all.
    line: f64,
    stress: f64,
    eager: bool,
    peer_demand: BTreeMap<u32, (Duration, Vec<f64>)>,
}

impl<H: Host> Director<H> {
    pub fn start(
        now: Duration, seed: u64, mut host: H, op_types: Vec<OpType>, habits: Habits, channel: Channel,
        cold: ColdTerms, reporting: Reporting, aims: Aims, peers: Peers, ask_for_list: bool,
    ) -> Self {
        if ask_for_list {
            host.follow_list();
        }
        host.wake_at(now + TICK, 0);
        let pace_terms = PaceTerms::default();
        let budget = pace::rate(&channel, &pace_terms) * 0.5;
        Director {
            host,
            rng: fastrand::Rng::with_seed(seed),
            now,
            op_types,
            habits,
            channel,
            cold,
            reporting,
            aims,
            peers,
            pace_terms,
            ramp_terms: RampTerms::default(),
            step_terms: StepTerms::default(),
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            ranks: Ranks::default(),
            plan: None,
            joins: false,
            out: Outgoing { budget, budget_at: now, ..Outgoing::default() },
            heard: now,
            pace: reporting.interval,
            stepped: now,
            ticks: 0,
            zones: 0,
            panic: false,
            past: Samples::default(),
            line: f64::INFINITY,
            stress: STRESS.0,
            eager: false,
            peer_demand: BTreeMap::new(),
        }
    }

    pub fn list_changed(&mut self, now: Duration, news: ListNews, entries: Vec<Listed>) {
        self.now = now;
        if news == ListNews::Whole {
            let listed: BTreeSet<&String> = entries.iter().map(|e| &e.server).collect();
            let missing: Vec<String> = self.servers.keys().filter(|s| !listed.contains(s)).cloned().collect();
            missing.iter().for_each(|server| self.removed(server, ServerState::Gone));
        }
        entries.into_iter().for_each(|entry| self.listed(entry));
    }

    /// Guards against list calls that fail: the old list stays, and the next call waits.
    pub fn list_failed(&mut self, now: Duration) {
        self.now = now;
        self.host.wake_at(now + LIST_AGAIN.0, LIST_AGAIN.1);
        self.host.log("list call failed: keeping the old list");
    }

    pub fn woke(&mut self, now: Duration, cookie: u64) {
        self.now = now;
        match cookie {
            again if again == LIST_AGAIN.1 => return self.host.follow_list(),
            tick if tick != self.ticks => return,
            _ => self.ticks += 1,
        }
        self.host.wake_at(now + TICK, self.ticks);
        self.send_probes();
        self.judge_servers();
        if self.ticks.is_multiple_of(4) {
            self.move_line();
        }
        let spans = self.ready().filter_map(|(_, s)| s.met.since(now.saturating_sub(FRESH)).next());
        let pace = mean(spans.map(|m| m.span.as_secs_f64())).unwrap_or(0.0);
        self.pace = self.reporting.interval.max(Duration::from_secs_f64(pace));
        if now >= self.stepped + self.pace.max(STEP_LEAST) {
            self.stepped = now;
            self.step_weights();
            if self.peers.others > 0 && self.peers.notes_allowed {
                let demand = self.own_demand();
                self.host.tell_peers(&demand);
            }
        }
        for id in self.proxies_where(|p| p.joined && now >= p.next_rebuild) {
            let rebuild = now + pace::rebuild_in(false, self.rng.f64(), &self.pace_terms);
            self.proxies.entry(id).and_modify(|p| p.next_rebuild = rebuild);
            self.mark(id, ORDINARY);
        }
    }

    pub fn probe_answered(&mut self, now: Duration, server: &str, result: Probed, load: Option<Load>) {
        self.now = now;
        if let Some(s) = self.servers.get_mut(server) {
            s.missed = if result == Probed::Failed { s.missed + 1 } else { 0 };
            load.into_iter().for_each(|load| s.loads.add(now, load, KEPT));
        }
    }

    pub fn peer_told(&mut self, now: Duration, peer: u32, demand: Vec<f64>) {
        self.now = now;
        self.peer_demand.insert(peer, (now, demand));
    }

    /// Guards against a join with no break seen before it: whatever was known of the proxy is void.
    pub fn proxy_joined(&mut self, now: Duration, proxy: u32, zone: usize, usual: f64, fresh: bool) {
        self.proxy_left(now, proxy);
        let unleveled = || Proxy::unleveled(self.op_types.len(), self.habits.usual_retry);
        let p = self.proxies.entry(proxy).or_insert_with(unleveled);
        (p.zone, p.usual, p.joined) = (zone, usual, true);
        if zone >= self.zones {
            (self.zones, self.plan) = (zone + 1, None);
        }
        p.next_rebuild = now + pace::rebuild_in(true, self.rng.f64(), &self.pace_terms);
        // Starting over under an unknown line: until something is heard, rates let in no more than is usual.
        let unheard = self.servers.values().all(|s| s.met.last().is_none());
        if !fresh && unheard && self.habits.admission == Admission::Rate {
            self.line = usual + if self.line.is_finite() { self.line } else { 0.0 };
        }
        // A standing table may name servers that drain, are gone or cold: then the join cannot wait.
        let hurry = self.servers.values().any(|s| s.state != ServerState::Ready || s.ease.is_some());
        self.joins = true;
        self.mark(proxy, if hurry { RULE } else { ORDINARY });
    }

    pub fn proxy_left(&mut self, now: Duration, proxy: u32) {
        self.now = now;
        let Some(p) = self.proxies.get_mut(&proxy) else { return };
        let queued = p.dirty;
        self.out.left(now, proxy, queued, p.leave(), self.pace_terms.answer);
    }

    /// Tells whether the server is known.
    pub fn server_met(&mut self, now: Duration, server: &str, met: Met, load: Option<Load>) -> bool {
        self.now = now;
        let Some(s) = self.servers.get_mut(server) else { return false };
        s.met.add(now, met, KEPT);
        load.into_iter().for_each(|load| s.loads.add(now, load, KEPT));
        true
    }

    pub fn ops_came(&mut self, now: Duration, proxy: u32, op_type: usize, came: Came) {
        self.now = now;
        if let Some(samples) = self.proxies.get_mut(&proxy).and_then(|p| p.came.get_mut(op_type)) {
            self.heard = now;
            samples.add(now, came, KEPT);
        }
    }

    /// Frees the update in flight; guards against late or repeated answers, whose stamp is another.
    pub fn update_answered(&mut self, now: Duration, proxy: u32, stamp: u16) {
        self.now = now;
        let answered = self.proxies.get_mut(&proxy).into_iter().flat_map(|p| p.answer(stamp));
        answered.for_each(|(written, lines)| self.out.answered(written, lines));
    }

    /// All of this moment's news has been told: builds and sends what may leave now.
    pub fn news_in(&mut self, now: Duration) {
        self.now = now;
        let (rate, answer) = (pace::rate(&self.channel, &self.pace_terms), self.pace_terms.answer);
        // Nothing is in the channel any more that has waited as long as its whole backlog takes.
        let whole = Duration::from_secs_f64(self.channel.backlog / self.channel.lines_per_s.max(1.0));
        self.out.pass(now, rate, answer, whole.max(answer), TRAVEL);
        let mut wrote = false;
        // What cannot leave is not built: tables that wait for the limits are many when the fleet is large.
        let urgent = self.out.urgent.iter().filter(|id| !self.spent(**id, self.proxies[*id].hurry));
        let mut urgent: Vec<u32> = urgent.copied().collect();
        // The longest waiting first: else a flood of changes starves proxies late in any other order.
        urgent.sort_by_key(|id| (Reverse(self.proxies[id].hurry), self.proxies[id].hurried));
        // Joins move what all tables share by little each: a crowd of them does not work it out at every one.
        let last = if self.joins { TICK } else { PLAN_OLD };
        let old = self.plan.as_ref().is_none_or(|p| now >= p.at + last);
        if old && !(urgent.is_empty() && self.out.queue.is_empty()) {
            self.plan = Some(self.plan());
            self.joins = false;
        }
        for id in urgent {
            let hurry = self.proxies[&id].hurry;
            if self.room_for(hurry) < self.channel.head {
                break;
            }
            let update = self.build(id);
            wrote |= self.send(id, update, hurry);
            if self.out.urgent.contains(&id) {
                break;
            }
        }
        while self.out.budget > 0.0
            && self.room_for(ORDINARY) > self.channel.head
            && let Some(id) = self.out.queue.pop_front()
        {
            let update = self.build(id);
            self.proxies.entry(id).and_modify(|p| (p.dirty, p.pending) = (false, Some(update)));
            self.out.pending.insert(id);
            wrote |= self.flush_pending(id);
        }
        // In turn, from where the room ended last time: else the last of many would never leave.
        for id in self.out.pending_in_turn() {
            if self.room_for(ORDINARY) < self.channel.head {
                self.out.turn = id;
                break;
            }
            wrote |= self.flush_pending(id);
        }
        if wrote {
            self.host.ask_answer(self.out.next_stamp());
        }
    }

    fn listed(&mut self, entry: Listed) {
        if entry.state != ServerState::Ready {
            return self.removed(&entry.server, entry.state);
        }
        let unknown = || Server::new(&entry.server, self.ranks.slot());
        let s = self.servers.entry(entry.server.clone()).or_insert_with(unknown);
        // A restart may show without any removal before it: only the start time tells.
        let restarted = entry.started.is_some() && entry.started != s.started;
        let size = entry.size.filter(|x| *x > 0.0).unwrap_or(1.0);
        let news = restarted || s.state != ServerState::Ready || size != s.size;
        if s.state != ServerState::Ready || (s.zone, s.size) != (entry.zone, size) {
            self.ranks.leave(s.slot, s.zone);
            self.ranks.enter(s.slot, entry.zone, s.key, size);
        }
        (s.zone, s.size, s.state) = (entry.zone, size, ServerState::Ready);
        self.zones = self.zones.max(entry.zone + 1);
        let mut cold = false;
        if restarted {
            s.restart(entry.started);
            let since = entry.started.unwrap_or(self.now);
            s.ease = ramps::fresh(self.now, since, &self.cold, &self.ramp_terms);
            cold = s.ease.is_some();
        }
        if news {
            self.mark_all(cold.then_some(entry.server.as_str()), RULE);
        }
    }

    fn removed(&mut self, server: &str, state: ServerState) {
        if let Some(s) = self.servers.get_mut(server)
            && s.state != state
        {
            (s.state, s.left) = (state, self.now);
            self.ranks.leave(s.slot, s.zone);
            self.mark_all(Some(server), RULE);
        }
    }

    fn ready(&self) -> impl Iterator<Item = (&String, &Server)> {
        self.servers.iter().filter(|(_, s)| s.state == ServerState::Ready)
    }

    fn proxies_where(&self, test: impl Fn(&Proxy) -> bool) -> Vec<u32> {
        self.proxies.iter().filter(|(_, p)| test(p)).map(|(id, _)| *id).collect()
    }

    /// Marks every table; those that may hold the named server hurry.
    fn mark_all(&mut self, holding: Option<&str>, hurry: usize) {
        self.plan = None;
        for id in self.proxies_where(|p| p.joined) {
            let p = &self.proxies[&id];
            let holds = holding.is_some_and(|s| !p.bound || p.sent.lines.contains_key(s));
            self.mark(id, if holds { hurry } else { ORDINARY });
        }
    }

    fn mark(&mut self, id: u32, hurry: usize) {
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

    /// Ops a second of one op type that reach a proxy, client repeats and rejected ones included. A span in
    /// which none came is not reported, so time passes from the oldest sample used; few ops say little.
    fn demand(&self, p: &Proxy, op_type: usize) -> f64 {
        let (n, over) = p.counted(op_type, self.now.saturating_sub(FRESH), self.heard, COUNTED);
        (n + p.usual / self.op_types.len() as f64) / (over + 1.0)
    }

    fn brings(&self, p: &Proxy) -> f64 {
        (0..self.op_types.len()).map(|t| self.demand(p, t)).sum()
    }

    /// Ops a second by zone: all that was told of lately, over that time.
    fn own_demand(&self) -> Vec<f64> {
        let mut demand = vec![0.0; self.zones];
        let (window, recent) = (self.lately(), self.now.saturating_sub(FRESH));
        let since = (self.heard + self.pace / 2).saturating_sub(window);
        for p in self.proxies.values().filter(|p| p.joined) {
            // One just back brings its usual: else its zone spills nothing, all onto one cold server.
            let unheard = p.came.iter().all(|c| c.last() < Some(recent));
            demand[p.zone] += if unheard { p.usual } else { p.told(since) / window.as_secs_f64() }.max(0.01);
        }
        demand
    }

    /// A cold server's work counts every try, also those turned away: it gets less as they are more.
    fn weight(&self, s: &Server) -> f64 {
        self.room(s) / if s.cold() { self.stress } else { 1.0 }
    }

    fn room(&self, s: &Server) -> f64 {
        let held = if s.suspect.is_some() && !self.panic { TRICKLE } else { 1.0 };
        s.size * s.factor * ramps::at(s.ease, self.now, &self.ramp_terms) * held
    }

    /// How a line's weight counts for proxies of one zone, by the server's zone: 1 in the own zone, less
    /// elsewhere. A zone spills only what it cannot carry at (a little over) the fleet's common load.
    fn reach(&self, zone: usize, room: &[f64], demand: &[f64]) -> Vec<f64> {
        let zones = self.zones;
        if room[zone] <= 0.0 {
            return vec![1.0; zones];
        }
        let mut part: Vec<f64> = (0..zones).map(|z| if z == zone { 1.0 } else { 0.0 }).collect();
        let common = demand.iter().sum::<f64>() / room.iter().sum::<f64>();
        let excess = demand[zone] - common * SPILL * room[zone];
        let free: Vec<f64> = demand.iter().zip(room).map(|(d, r)| (common * r - d).max(0.0)).collect();
        let all_free: f64 = free.iter().sum();
        if excess > 0.0 && all_free > 0.0 && !self.op_types.iter().any(|t| t.own_zone) {
            let kept = (demand[zone] - excess) / room[zone];
            for y in (0..zones).filter(|y| *y != zone && room[*y] > 0.0) {
                part[y] = (excess * free[y] / all_free / room[y] / kept * 20.0).round() / 20.0;
            }
        }
        part
    }

    fn plan(&mut self) -> Plan {
        let mut demand = self.own_demand();
        let all = demand.iter().sum::<f64>() * (self.peers.others + 1) as f64;
        let mut room = vec![0.0; self.zones];
        let mut lines: Vec<Option<Line>> = vec![None; self.ranks.slots()];
        for (_, s) in self.ready() {
            let weight = self.weight(s);
            room[s.zone] += weight;
            lines[s.slot] = Some(Line { server: s.name.clone(), zone: s.zone, weight, lift: 1.0 });
        }
        let mut unheard = self.peers.others;
        for (_, told) in self.peer_demand.values().filter(|d| d.0 + FRESH * 2 >= self.now) {
            unheard = unheard.saturating_sub(1);
            demand.iter_mut().zip(told).for_each(|(d, t)| *d += t);
        }
        if unheard > 0 && self.peers.by_zone {
            // Other zones' demand is unknown: each counts as our busiest. By chance, ours stand for all.
            let busiest = demand.iter().zip(&room).map(|(d, r)| d / r.max(0.001)).fold(0.0, f64::max);
            demand = room.iter().map(|r| busiest * r).collect();
        }
        let reach = (0..self.zones).map(|zone| self.reach(zone, &room, &demand)).collect();
        let (dealt, per_server) = (BTreeMap::new(), all / lines.iter().flatten().count().max(1) as f64);
        let mut plan = Plan { at: self.now, lines, dealt, room, reach, per_server, shares: self.shares() };
        let joined = self.proxies.iter().filter(|p| p.1.joined);
        let joined: Vec<_> = joined.map(|(id, p)| (*id, p.zone, self.brings(p))).collect();
        plan.dealt =
            joined.into_iter().map(|(id, z, b)| (id, plan.deal(&mut self.ranks, id, z, b))).collect();
        // Tables of some servers fill them unevenly: each is lifted towards its part of what all bring.
        (0..LIFT.2).for_each(|_| plan.lift(LIFT.0, LIFT.1));
        plan
    }

    fn build(&mut self, id: u32) -> Update {
        let mut update = Update::default();
        let Some((zone, brings)) = self.proxies.get(&id).map(|p| (p.zone, self.brings(p))) else {
            return update;
        };
        if let Some(plan) = self.plan.as_mut().filter(|plan| !plan.dealt.contains_key(&id)) {
            let dealt = plan.deal(&mut self.ranks, id, zone, brings);
            plan.dealt.insert(id, dealt);
        }
        let (Some(p), Some(plan)) = (self.proxies.get(&id), &self.plan) else { return update };
        for (i, part) in plan.dealt.get(&id).iter().flat_map(|dealt| &dealt.lines) {
            let Some(Line { server, lift, .. }) = plan.line(*i) else { continue };
            let old = p.sent.lines.get(server).copied().unwrap_or(0.0);
            update
                .lines
                .insert(server.clone(), settle(old, (part * lift * 1e4).round().max(1.0) / 1e4, SAME));
        }
        for (t, share) in plan.shares.iter().enumerate() {
            let level = match self.habits.admission {
                _ if self.line.is_infinite() => f64::INFINITY,
                Admission::Rate => small_rate(*share, share.min(1.0) * LET_IN, self.demand(p, t)).max(0.05),
                _ if *share >= 1.0 => f64::INFINITY,
                _ => *share,
            };
            let retry = match self.line.is_finite() {
                _ if self.eager && self.op_types[t].may_run_again() => Retry::Once,
                true => Retry::Never,
                false => Retry::Unsent,
            };
            update.levels.push((settle(p.sent.levels[t].0, level, SAME), retry));
        }
        update
    }

    fn flush_pending(&mut self, id: u32) -> bool {
        let spent = self.spent(id, ORDINARY);
        let Some(p) = self.proxies.get_mut(&id) else { return false };
        if spent || p.in_flight.is_some_and(|f| self.now < f.1 + self.pace_terms.answer) {
            return false;
        }
        self.out.pending.remove(&id);
        p.pending.take().is_some_and(|update| self.send(id, update, ORDINARY))
    }

    /// Lines that may leave now; one message always may while the channel is empty.
    fn room_for(&self, hurry: usize) -> f64 {
        pace::room(&self.channel, self.out.waiting, self.out.in_channel, hurry, &self.pace_terms)
    }

    /// Whether a proxy has had so many messages lately that this one has to wait.
    fn spent(&self, id: u32, hurry: usize) -> bool {
        let messages = self.proxies[&id].messages_within(self.now, self.channel.messages_over);
        pace::spent(&self.channel, messages, hurry, &self.pace_terms)
    }

    /// Sends the difference from what was last sent (from what was answered, if an answer is overdue), or
    /// the whole table to a proxy not bound yet. An urgent build voids the pending slot. What the limits
    /// hold back stays pending or urgent.
    fn send(&mut self, id: u32, update: Update, hurry: usize) -> bool {
        let room = self.room_for(hurry);
        let Some(p) = self.proxies.get_mut(&id) else { return false };
        let base = if p.in_flight.is_some() && hurry == ORDINARY { &p.acked } else { &p.sent };
        let changes = update.changes_from(&base.lines, &p.sent.lines);
        let levels = update.levels_unlike(&p.sent);
        let own =
            if p.bound { changes.len() + levels.len() } else { 1 + update.lines.len() + update.levels.len() };
        if own == 0 {
            p.hurry = ORDINARY;
            self.out.urgent.remove(&id);
            return false;
        }
        let cost = own as f64 + self.channel.head + 1.0;
        let over = self.channel.messages_over;
        p.messages.retain(|m| *m + over > self.now);
        if cost > room {
            if hurry == ORDINARY {
                p.pending = Some(update);
                self.out.pending.insert(id);
            }
            return false;
        }
        for (server, part) in &changes {
            self.host.set_line(id, server, *part);
        }
        for t in levels {
            self.host.admit(id, t, update.levels[t].0, update.levels[t].1);
        }
        if !p.bound {
            self.host.bind(id, id);
        }
        p.hurry = ORDINARY;
        p.write(self.now, self.out.stamp, cost, update);
        self.out.wrote(self.now, id, cost);
        true
    }

    fn send_probes(&mut self) {
        let probing = self.reporting.by_probe && self.reporting.probes_allowed;
        // Each server once a second, a quarter of them each tick.
        for (i, (server, s)) in self.servers.iter().enumerate() {
            if probing && s.state == ServerState::Ready && (i as u64 + self.ticks).is_multiple_of(4) {
                self.host.probe(server);
            }
        }
    }

    fn figure(&self, s: &Server, pick: fn(&Load) -> Option<f64>) -> Option<f64> {
        let few = (FEW.as_secs_f64() / self.reporting.interval.as_secs_f64().max(0.1)).max(2.0) as usize;
        mean(s.loads.since(self.now.saturating_sub(FRESH)).take(few).filter_map(pick))
    }

    fn load_of(&self, s: &Server) -> Option<f64> {
        let said = Load {
            active: self.figure(s, |l| l.active),
            waiting: self.figure(s, |l| l.waiting),
            busy: self.figure(s, |l| l.busy),
            service_ms: self.figure(s, |l| l.service_ms),
        };
        let (total, aborted, ms) = s.sums(self.now.saturating_sub(FRESH));
        weigh::load(&said, s.size, s.factor, (total > aborted).then(|| ms / (total - aborted)))
    }

    /// How busy a server says it is; where only queues are reported, what such a queue tells.
    fn busy_of(&self, s: &Server) -> Option<f64> {
        self.figure(s, busyness)
    }

    /// The design's step: each heard server's weight moves against its load minus the mean. Fresh servers
    /// and suspects are free of it.
    fn step_weights(&mut self) {
        let heard = self.ready().filter(|(_, s)| s.suspect.is_none() && s.ease.is_none());
        let loads: Vec<(String, f64)> =
            heard.filter_map(|(id, s)| self.load_of(s).map(|l| (id.clone(), l))).collect();
        let common = mean(loads.iter().map(|l| l.1)).unwrap_or(0.0);
        for (id, load) in loads {
            let moved = |s: &mut Server| s.factor = weigh::step(s.factor, load, common, &self.step_terms);
            self.servers.entry(id).and_modify(moved);
        }
        // Guards against ids that pile up as servers are replaced: no standing table names them any more.
        self.servers.retain(|_, s| {
            let kept = s.state != ServerState::Gone || self.now < s.left + GONE;
            if !kept {
                self.ranks.forget(s.slot);
            }
            kept
        });
        // Steps drift together; a fresh server's weight counts against the others', so their mean stays 1.
        let drift = mean(self.ready().map(|(_, s)| s.factor)).unwrap_or(1.0);
        for s in self.servers.values_mut() {
            s.factor /= drift;
            s.ease = s.ease.filter(|e| e.holds(self.now));
        }
        self.mark_all(None, ORDINARY);
    }

    /// Over the whole fleet one report of each server or proxy tells enough, and two would tell of long ago.
    fn lately(&self) -> Duration {
        self.pace.max(Duration::from_secs(2))
    }

    fn window(&self) -> Duration {
        self.pace.mul_f64(2.0).max(Duration::from_secs(2))
    }

    /// Guards against servers that abort fast or answer nothing: both look idle to load feedback. Aborts are
    /// held against the healthier servers', so that overload accuses nobody; silence is reports that stop.
    fn judge_servers(&mut self) {
        let now = self.now;
        let window = self.window();
        let quiet = |s: &Server| s.met.last().map(|at| now.saturating_sub(at).as_secs_f64());
        let usual = lowest(self.ready().filter_map(|(_, s)| quiet(s)), 2);
        // Tries that hung end late: only what was heard lately tells whether a suspect answers again.
        let recent = now.saturating_sub(window);
        let healthy = aborted_share(self.ready().map(|(_, s)| s), recent, ABORTS.0, 4);
        let mut verdicts: Vec<(String, bool, String)> = Vec::new();
        for (id, s) in self.ready() {
            let (total, aborted, _) = s.sums(s.suspect.map_or(recent, |at| recent.max(at + window)));
            let share = aborted / total.max(1.0);
            let aborts = || format!("{aborted:.0} of {total:.0} tries aborted");
            let extra = quiet(s).unwrap_or(0.0) - usual;
            let missing = s.tries_a_second() * extra;
            let asked = || self.proxies.values().any(|p| p.bound && p.sent.lines.contains_key(id.as_str()));
            let unwell = total >= ABORTS.0 && share >= healthy + ABORTS.1;
            // At any time in the span of its aborts: these are heard of when what was full has drained.
            let loads = s.loads.since(recent).filter_map(busyness);
            let full = loads.fold(0.0, f64::max) >= SWAMPED;
            // A cold server that is full may be about to fall over: it is taken back at its first aborts.
            let cold_and_aborting = s.cold() && total >= ABORTS.0 && share >= COLD;
            let why = if s.suspect.is_some() {
                (total >= 2.0 && share < 0.3 && s.missed == 0).then(aborts)
            } else if (unwell && !full) || (full && cold_and_aborting) {
                Some(aborts())
            } else if s.missed >= MISSED.1 {
                Some(format!("{} probes failed", s.missed))
            } else if extra > self.pace.as_secs_f64() * 1.2 && missing >= MISSED.0 && asked() {
                Some(format!("silent {extra:.1} s, {missing:.0} tries missing"))
            } else {
                None
            };
            verdicts.extend(why.map(|why| (id.clone(), s.suspect.is_none(), why)));
        }
        for (id, bad, why) in verdicts {
            self.host.log(&format!("{} {id}: {why}", if bad { "suspect" } else { "cleared" }));
            self.mark_all(bad.then_some(id.as_str()), URGENT);
            let ease = ramps::cleared(now, &self.ramp_terms);
            self.servers.entry(id).and_modify(|s| {
                s.suspect = bad.then_some(now);
                s.loads.clear();
                // A cold server stays on its ramp, whatever it was accused of.
                s.ease = if bad || s.cold() { s.ease } else { Some(ease) };
            });
        }
        let all: f64 = self.ready().map(|(_, s)| s.size).sum();
        let bad: f64 = self.ready().filter(|(_, s)| s.suspect.is_some()).map(|(_, s)| s.size).sum();
        if self.panic != (bad > all * PANIC) {
            self.panic = !self.panic;
            let mode = if self.panic { "on" } else { "off" };
            self.host.log(&format!("panic {mode}: {bad:.1} of {all:.1} weight suspect"));
            self.mark_all(None, ORDINARY);
        }
    }

    /// Moves the line by the pressure measured: how busy servers are, then how late answers come and how many
    /// ops got none. What was let in then, not now, made that pressure.
    fn move_line(&mut self) {
        let now = self.now;
        let since = now.saturating_sub(self.lately());
        let well: Vec<&Server> =
            self.ready().map(|(_, s)| s).filter(|s| s.suspect.is_none() || self.panic).collect();
        // By what they are given: many cold servers that idle do not hide that the warm ones are full.
        let given = |s: &Server| self.weight(s).max(0.001);
        let heard = well.iter().filter_map(|s| self.busy_of(s).map(|b| (b * given(s), given(s))));
        let (work, room) = heard.fold((0.0, 0.001), |a, h| (a.0 + h.0, a.1 + h.1));
        let busy = work / room;
        // What cold servers say of themselves counts while few of their tries abort: some lie.
        let cold = || well.iter().copied().filter(|s| s.cold());
        let (pushed, back, _) = sums(cold(), since);
        let said = mean(cold().filter_map(|s| self.busy_of(s))).filter(|_| back <= (pushed + 1.0) * COLD);
        let (total, aborted, ms) = sums(well.iter().copied(), since);
        let target: f64 = self.op_types.iter().map(|t| t.target_latency.as_secs_f64() * 1e3).sum();
        let late = ms / (total - aborted).max(1.0) / (target / self.op_types.len().max(1) as f64);
        let failing = aborted / total.max(1.0);
        let ops = self.proxies.values().flat_map(|p| &p.came).flat_map(|c| c.since(since));
        let (came, lost) = ops.fold((0.0, 0.0), |a, c| (a.0 + c.total, a.1 + c.aborted));
        let let_in = (total - aborted + lost).max(1.0);
        let answered = ((total - aborted) / let_in).max(0.3);
        // Swamped servers answer too little to say how busy they are: most abort. Suspects tell nothing.
        let common = aborted_share(well.iter().copied(), since, ABORTS.0, 2);
        let full = if common > 0.15 && late > 0.25 { busy.max(1.0 / (1.0 - common).max(0.3)) } else { busy };
        let pressure = if full < 0.85 { busy } else { full * (1.0 + (late - 0.35).max(0.0)) / answered };
        // Shares are drawn by each op: what was ordered counts. Of rates, what got in counts.
        let by_rate = self.habits.admission == Admission::Rate;
        let all: f64 = self.own_demand().iter().sum();
        let usual: f64 = self.proxies.values().filter(|p| p.joined).map(|p| p.usual).sum();
        let got_in = (let_in / came.max(1.0)).min(1.0);
        let (whole, least_in) = if by_rate { (all, LEAST_IN * usual) } else { (1.0, LEAST_IN) };
        let before = (self.line, self.eager);
        if total > 0.0 && (self.line.is_finite() || pressure > PRESSED.0) {
            let line = self.line.min(whole);
            // What was let in when the reports were made: a share cut twice for one jam empties servers.
            // An order is heard of after a second or two, and a report tells of the span before it.
            let ago = |spans: f64| now.saturating_sub(ORDER_HEARD + self.pace.mul_f64(spans));
            let then = mean(self.past.between(ago(1.0), ago(0.0)).copied()).unwrap_or(whole);
            let (got, rise) = if by_rate { (got_in * all, RISE[0]) } else { (then, RISE[1]) };
            // Small rates let in less than they say: with clear room, what was ordered counts if it is more.
            let part = if pressure < PRESSED.2 { then.max(got) } else { got };
            let aim = (part * PRESSED.1 / pressure.max(0.01)).clamp(line * FALL, line * rise).max(least_in);
            self.line = if aim < whole { aim } else { f64::INFINITY };
        }
        self.past.add(now, self.line.min(whole), KEPT);
        let least = if self.line.is_finite() { STRESS.1 } else { 1.0 };
        if total > 0.0 {
            let most = (pressure.max(least) / (1.0 - failing).max(0.15)).max(self.stress * 0.7);
            // Cold servers that idle are held too far: the warm ones jam, which would hold them more.
            let moved = said.map(|busy| self.stress * (busy / COLD_BUSY).clamp(0.7, 1.4));
            self.stress = moved.map_or(most, |moved| moved.min(most).max(least));
        }
        self.eager = failing > FREE.0 && pressure < FREE.1;
        if before.0.is_finite() != self.line.is_finite() || before.1 != self.eager {
            let tries = if self.eager { "free" } else { "held" };
            let at = if self.line.is_finite() { self.line / whole } else { 1.0 };
            let why = format!("busy {busy:.2}, late {late:.2}, answered {answered:.2}, aborted {failing:.2}");
            self.host.log(&format!("line at {at:.2}, tries {tries}: {why}"));
        }
        if before != (self.line, self.eager) {
            self.mark_all(None, ORDINARY);
        }
    }

    /// Share of each op type let in: by value, the rest under the line, or alike if that loses less.
    fn shares(&self) -> Vec<f64> {
        let n = self.op_types.len();
        if self.line.is_infinite() || n == 0 {
            return vec![1.0; n];
        }
        let joined = || self.proxies.values().filter(|p| p.joined);
        let demand: Vec<f64> =
            (0..n).map(|t| joined().map(|p| self.demand(p, t)).sum::<f64>() + 0.01).collect();
        let all: f64 = demand.iter().sum();
        let share = if self.habits.admission == Admission::Rate { self.line / all } else { self.line };
        let value: f64 = (0..n).map(|t| demand[t] * self.op_types[t].value).sum::<f64>() / all;
        let mut order: Vec<usize> = (0..n).collect();
        order.sort_by(|a, b| self.op_types[*b].value.total_cmp(&self.op_types[*a].value));
        let low = order[n - 1];
        let by_value =
            self.aims.rest * self.op_types[low].value / value + self.aims.worst_op_type * all / demand[low];
        if by_value >= self.aims.rest + self.aims.worst_op_type {
            return vec![share.min(1.0); n];
        }
        let mut shares = vec![1.0; n];
        let mut left = share * all;
        for t in order {
            shares[t] = (left / demand[t]).clamp(0.05, HEADROOM);
            left -= shares[t].min(1.0) * demand[t];
        }
        shares
    }
}

impl Plan {
    /// The lines dealt to a proxy, and their parts before the lift: an even and stable choice by chance, the
    /// same under every supervisor, so that no rebuild or new stream reopens connections that were good.
    fn deal(&self, ranks: &mut Ranks, proxy: u32, zone: usize, brings: f64) -> Dealt {
        // Doubled rather than raised by one, so that what is brought may waver and no line changes.
        let times = LINES.1 * brings / self.per_server.max(1e-9) / LINES.0;
        let wanted = LINES.0 * times.max(1.0).log2().ceil().min(16.0).exp2();
        let reach = &self.reach[zone];
        let whole = |z: usize| self.room[z] * reach[z];
        let weight = |slot: usize| self.line(slot).map_or(0.0, |l| l.weight);
        let (mut lines, mut own) = (Vec::new(), 1.0);
        for z in (0..reach.len()).filter(|z| whole(*z) > 0.0) {
            let most = (wanted * (whole(z) / whole(zone).max(1e-9)).min(1.0)).ceil().max(3.0) as usize;
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
}

impl OpType {
    /// Whether a further try can never take effect twice, whatever became of the first: once-only op types
    /// never, deduplicated ones only if every try falls inside the window.
    pub fn may_run_again(&self) -> bool {
        match self.repeats {
            Repeats::Retryable => true,
            Repeats::Deduplicated { everywhere, window } => everywhere && window >= self.op_timeout,
            Repeats::OnceOnly => false,
        }
    }
}

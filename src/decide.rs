//! The director: hears what happens and joins the parts that decide. Start it with its settings and a [`Host`]
//! (`host.rs`), tell it each thing that happens by the method of that name, then call `news_in` once: only
//! there do orders leave, so that what came together is merged. Times are spans since the clock's start.
//!
//! The design (docs/design.md) decides ordinary tables: `decide/builds.rs` builds what is marked, at the pace
//! of `pace.rs`; `weigh.rs` moves weights. Beside it stand six mechanisms:
//!  1. urgent builds: removals, cold starts and suspicions pass the ordinary queue (`pace.rs`);
//!  2. suspicion: a server that aborts, falls silent or misses probes keeps a trickle (`decide/verdicts.rs`);
//!  3. locality: a table holds a dealt part of its zone, which spills at fleet load (`decide/zones.rs`);
//!  4. the line of worth: under pressure op types are let in by value (`decide/line.rs`);
//!  5. further tries: free while aborts are few, turned back under pressure (`decide/tries.rs`);
//!  6. the guard of cold servers: bounded, held down by stress, taken back when full (`ramps.rs`).

mod builds;
mod line;
mod tries;
mod verdicts;
mod weights;
mod zones;

use crate::host::*;
use crate::known::{Known, Strain, Told};
use crate::pace::{self, ORDINARY, PaceTerms, RULE, URGENT};
use crate::ramps::{self, RampTerms};
use crate::samples::{lowest, mean};
use crate::state::{Plan, Proxy, Server, Update, aborted_share, sums};
use crate::weigh::{self, StepTerms, busyness};
use std::time::Duration;
use verdicts::{ABORTS, COLD};

const TICK: Duration = Duration::from_millis(250);
/// Pause before a failed list call is made again, and the cookie of its wake.
const LIST_AGAIN: (Duration, u64) = (Duration::from_secs(1), u64::MAX >> 1);
/// Least time between steps of the weights: steps that outrun what is heard oscillate.
const STEP_LEAST: Duration = Duration::from_secs(2);
/// Samples kept of each thing measured, and how old they may be when used.
pub(crate) const KEPT: usize = 12;
const FRESH: Duration = Duration::from_secs(6);

pub struct Director<H> {
    pub host: H,
    pub(crate) known: Known,
}

impl<H: Host> Director<H> {
    pub fn start(now: Duration, seed: u64, mut host: H, set: Settings, ask_for_list: bool) -> Self {
        if ask_for_list {
            host.follow_list();
        }
        host.wake_at(now + TICK, 0);
        let budget = pace::rate(&set.channel, &PaceTerms::default()) * 0.5;
        Director { host, known: Known::new(now, seed, set, budget, ramps::UNHEARD) }
    }

    pub fn list_changed(&mut self, now: Duration, news: ListNews, entries: Vec<Listed>) {
        let known = &mut self.known;
        known.now = now;
        if news == ListNews::Whole {
            known.missing(&entries).iter().for_each(|server| known.entry(server, ServerState::Gone));
        }
        for entry in entries {
            match entry.state {
                ServerState::Ready => known.ready_entry(&entry),
                other => known.entry(&entry.server, other),
            }
        }
    }

    /// Guards against list calls that fail: the old list stays, and the next call waits.
    pub fn list_failed(&mut self, now: Duration) {
        self.known.now = now;
        self.host.wake_at(now + LIST_AGAIN.0, LIST_AGAIN.1);
        self.host.log("list call failed: keeping the old list");
    }

    pub fn woke(&mut self, now: Duration, cookie: u64) {
        let (known, host) = (&mut self.known, &mut self.host);
        known.now = now;
        match cookie {
            again if again == LIST_AGAIN.1 => return host.follow_list(),
            tick if tick != known.ticks => return,
            _ => known.ticks += 1,
        }
        host.wake_at(now + TICK, known.ticks);
        known.probe_servers(host);
        known.judge_servers(host);
        if known.ticks.is_multiple_of(4) {
            known.move_line(host);
        }
        known.pace = known.pace_heard(now.saturating_sub(FRESH));
        if now >= known.stepped + known.pace.max(STEP_LEAST) {
            known.stepped = now;
            known.step_weights();
            if known.set.peers.others > 0 && known.set.peers.notes_allowed {
                host.tell_peers(&known.own_demand());
            }
        }
        for id in known.proxies_where(|p| p.joined && now >= p.next_rebuild) {
            let rebuild = now + pace::rebuild_in(false, known.rng.f64(), &PaceTerms::default());
            known.proxies.entry(id).and_modify(|p| p.next_rebuild = rebuild);
            known.mark(id, ORDINARY);
        }
    }

    /// Guards against a join with no break seen before it: whatever was known of the proxy is void.
    pub fn proxy_joined(&mut self, now: Duration, proxy: u32, zone: usize, usual: f64, fresh: bool) {
        self.proxy_left(now, proxy);
        let known = &mut self.known;
        let unleveled = || Proxy::unleveled(known.set.op_types.len(), known.set.habits.usual_retry);
        let p = known.proxies.entry(proxy).or_insert_with(unleveled);
        (p.zone, p.usual, p.joined) = (zone, usual, true);
        if zone >= known.zones {
            (known.zones, known.plan) = (zone + 1, None);
        }
        p.next_rebuild = now + pace::rebuild_in(true, known.rng.f64(), &PaceTerms::default());
        known.line_at_join(usual, fresh);
        // A standing table may name servers that drain, are gone or cold: then the join cannot wait.
        let hurry = known.servers.values().any(|s| s.state != ServerState::Ready || s.ease.is_some());
        known.joins += 1;
        known.mark(proxy, if hurry { RULE } else { ORDINARY });
    }

    pub fn proxy_left(&mut self, now: Duration, proxy: u32) {
        self.known.now = now;
        let Some(p) = self.known.proxies.get_mut(&proxy) else { return };
        self.known.out.left(now, proxy, p.dirty, p.leave(), PaceTerms::default().answer);
    }

    /// All of this moment's news has been told: builds and sends what may leave now.
    pub fn news_in(&mut self, now: Duration) {
        self.known.now = now;
        self.known.build_marked(&mut self.host);
    }
}

impl Known {
    fn ready_entry(&mut self, entry: &Listed) {
        let told = self.listed(entry);
        let mut ramp = None;
        if told == Told::Restarted {
            let since = entry.started.unwrap_or(self.now);
            ramp = ramps::fresh(self.now, since, &self.set.cold, &RampTerms::default());
            self.servers.entry(entry.server.clone()).and_modify(|s| s.ease = ramp);
        }
        if told != Told::Nothing {
            self.mark_all(ramp.map(|_| entry.server.as_str()), RULE);
        }
    }

    fn entry(&mut self, server: &str, state: ServerState) {
        if self.removed(server, state) {
            self.mark_all(Some(server), RULE);
        }
    }

    /// Each server once a second, a quarter of them each tick.
    fn probe_servers(&self, host: &mut impl Host) {
        if self.set.reporting.by_probe && self.set.reporting.probes_allowed {
            self.in_turn(4).for_each(|server| host.probe(server));
        }
    }

    /// Over the whole fleet one report of each server or proxy tells enough, and two would tell of long ago.
    fn lately(&self) -> Duration {
        self.pace.max(Duration::from_secs(2))
    }
}

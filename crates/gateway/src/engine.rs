//! The one thread that holds all cores: it waits for sockets, threads and times, and tells the cores what happened.
//! Nothing here decides. What the cores hand back is carried out in `carry.rs`.

use crate::admission::quota_terms;
use crate::ages::Ages;
use crate::asks::{Ask, Told};
use crate::beats::Beats;
use crate::calls::{self, Calls};
use crate::disk::{Disk, Work};
use crate::holdup::HoldUp;
use crate::hub::Hub;
use crate::leavers::Leavers;
use crate::line_pace::LinePace;
use crate::links::Links;
use crate::preference;
use crate::quotas::Quotas;
use crate::signals::Heard;
use crate::spread::Spread;
use crate::turns::{Activity, Turns};
use crate::words::{Word, withdrawals_first};
use fallgap_admin::{History, Surveys};
use fallgap_config::{Settings, View};
use fallgap_control_state::{Keeper, Key, Peer as KeeperPeer};
use fallgap_membership::{Beacon, State};
use fallgap_proxy::{Peer, Quay};
use fallgap_registry::{Follower, Patience, Rollouts, ViewTimes};
use mio::net::UdpSocket;
use mio::{Events, Poll};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, SyncSender};
use std::time::{Duration, Instant};

/// Tokens: the waker, the datagrams, then links, then the quay's.
pub const WAKE: usize = 0;
pub const DATAGRAMS: usize = 1;
pub const LINKS: usize = 16;
pub const QUAY: usize = 1 << 40;

pub struct Engine {
    pub me: Ipv4Addr,
    pub clock: Instant,
    pub poll: Poll,
    pub datagrams: UdpSocket,
    pub links: Links,
    pub beacon: Beacon,
    pub keeper: Keeper,
    pub disk: Option<Disk>,
    pub hub: Option<Hub>,
    /// The highest edition that was committed and read here.
    pub configured: Option<u64>,
    pub follower: Follower,
    pub roster_terms: fallgap_registry::Terms,
    pub view: Option<Arc<View>>,
    pub quay: Option<Quay>,
    pub calls: Calls,
    pub hold_up: HoldUp,
    pub turns: Turns,
    /// Of calls that other supervisors hand over.
    pub ages: Ages,
    /// This process, as others tell it from an earlier one at its address.
    pub life: u64,
    /// The processes that were here when it was last looked.
    pub lives: BTreeMap<Ipv4Addr, u64>,
    pub beats: Beats,
    pub quotas: Quotas,
    /// What operators asked that others have to answer, and the editions that were in force here.
    pub surveys: Surveys<SyncSender<Told>>,
    pub history: History,
    pub leavers: Leavers,
    /// Of beats that come after their servers' ends.
    pub late_beats: LinePace,
    pub spread: Spread,
    pub rollouts: Rollouts<SyncSender<Told>>,
    /// Editions that were acknowledged though not all supervisors had said that they hold them.
    pub acknowledged_early: u64,
    pub inbox: Receiver<Ask>,
    pub heard: Heard,
    pub ready: Arc<AtomicBool>,
    pub settings: Settings,
    pub settings_path: PathBuf,
    /// Words from this supervisor to itself.
    pub own: VecDeque<Word>,
    pub buffer: Vec<u8>,
    /// There may be datagrams that were not read, and asks of callers that were not heard.
    pub datagrams_wait: bool,
    pub callers_wait: bool,
    /// When the slow things are done next: links that stall, reports, the settings file.
    pub slow: Duration,
    pub reports: Duration,
    pub leaving: Option<Duration>,
    /// The keeper was told that the process is about to end.
    pub parting: bool,
    pub port: u16,
    pub settings_seen: Option<std::time::SystemTime>,
}

/// How often stalled links and the settings file are looked at, and what servers did is told to the home.
const SLOW: Duration = Duration::from_millis(500);
const REPORTS: Duration = Duration::from_millis(1000);
/// A failure is told sooner: verdicts rest on it.
const URGENT: Duration = Duration::from_millis(250);
/// After the word to end: clients are still sent here for two seconds.
const LINGER: Duration = Duration::from_millis(2600);
/// Before the platform ends the process.
const MARGIN: Duration = Duration::from_millis(500);
/// So long before it may end the keeper takes nothing more, and asks those that stay what they hold.
const PARTING: Duration = Duration::from_millis(600);

impl Engine {
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Goes on until the process is to end.
    ///
    /// # Errors
    /// Waiting for events fails.
    pub fn run(&mut self) -> std::io::Result<()> {
        let mut events = Events::with_capacity(256);
        let mut words = Vec::new();
        self.view_changed(self.now());
        self.carry(self.now());
        loop {
            let wait = self.next_wake().saturating_sub(self.now());
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                other => other?,
            }
            let now = self.now();
            self.turns.begin(now);
            self.hold_up.turns(now, wait);
            // Before anything is routed: this process may have been frozen.
            self.see_to_view(now);
            for event in &events {
                let token = event.token().0;
                let activity = if token >= QUAY {
                    let peer = self.quay.as_mut().map(|quay| quay.event(now, event));
                    peer.map_or(Activity::Clients, activity_of)
                } else if token == DATAGRAMS {
                    self.datagrams_wait = true;
                    Activity::Datagrams
                } else if self.links.owns(token) {
                    self.links.event(now, self.poll.registry(), event);
                    Activity::Peers
                } else {
                    Activity::Threads
                };
                self.spent(activity);
            }
            self.hear_datagrams(now);
            self.spent(Activity::Datagrams);
            self.links.work(now, self.poll.registry(), &mut words);
            withdrawals_first(&mut words, |(_, word)| word.is_withdrawal());
            for (from, word) in words.drain(..) {
                self.heard(now, from, word);
            }
            for peer in self.links.take_broken() {
                self.follower.unreached(now, peer);
            }
            self.spent(Activity::Peers);
            self.hear_threads(now);
            self.spent(Activity::Threads);
            self.woke(now);
            self.see_whether_fit(now);
            self.take_leave(now);
            self.carry(now);
            self.spent(Activity::Timers);
            self.see_to_connections(now);
            if self.carry_admission(now) {
                self.carry(now);
            }
            if let Some(long) = self.turns.end(self.now()) {
                tracing::warn!("gateway: a turn of the loop took {long}");
            }
            if self.ended(now) {
                return Ok(());
            }
        }
    }

    /// The proxy is told up to when its view is known to be complete.
    fn see_to_view(&mut self, now: Duration) {
        let ViewTimes { known, committed, is_reached } = self.follower.view_times(now);
        let confirmed = self.follower.age(now).map(|age| now.saturating_sub(age));
        let times = fallgap_routing::ViewTimes { confirmed, known, committed, is_reached };
        self.quay.iter_mut().for_each(|quay| quay.view_times(times));
        self.see_whether_ready(now);
    }

    /// Whether clients may be sent here.
    pub fn see_whether_ready(&mut self, now: Duration) {
        let ready = self.leaving.is_none() && self.quay.as_ref().is_some_and(|quay| quay.is_ready(now));
        self.ready.store(ready, Relaxed);
    }

    /// Connections of clients and servers get their turn, behind what others have said meanwhile.
    fn see_to_connections(&mut self, now: Duration) {
        let Some(quay) = &mut self.quay else { return };
        let (turns, clock) = (&mut self.turns, &self.clock);
        quay.work(now, |peer| turns.spent(activity_of(peer), clock.elapsed()));
    }

    /// What was done since this was last called was this.
    fn spent(&mut self, activity: Activity) {
        self.turns.spent(activity, self.clock.elapsed());
    }

    /// Something waits that no event tells of again.
    fn has_work(&self) -> bool {
        self.datagrams_wait || self.callers_wait || self.links.has_work()
    }

    fn next_wake(&self) -> Duration {
        if self.has_work() {
            return Duration::ZERO;
        }
        let hub = self.hub.iter().flat_map(|h| [h.registry.next_wake(), h.distribution.next_wake()]);
        let hub = hub.chain(self.hub.iter().filter_map(|h| h.lights.next_wake()));
        let hub = hub.chain(self.hub.iter().filter_map(|h| h.ends.next_wake()));
        let urgent = self.quay.as_ref().and_then(|quay| quay.fleet().failure()).map(|at| at + URGENT);
        let quay = self.quay.as_ref().and_then(Quay::next_wake);
        let asked = [
            self.calls.next_wake(),
            self.surveys.next_wake(),
            self.spread.next_wake(),
            self.rollouts.next_wake(),
            self.beats.next_wake(),
            self.quotas_wake(),
        ];
        let rest = [self.follower.next_wake(), quay, urgent].into_iter().chain(asked).flatten();
        let all = [self.beacon.next_wake(), self.keeper.next_wake(), self.slow, self.reports];
        all.into_iter().chain(rest).chain(hub).min().unwrap_or(self.slow)
    }

    fn woke(&mut self, now: Duration) {
        if self.beacon.next_wake() <= now {
            self.beacon.woke(now);
        }
        if self.keeper.next_wake() <= now {
            self.keeper.woke(now);
        }
        if let Some(hub) = &mut self.hub {
            if hub.registry.next_wake() <= now && hub.registry.woke(now) {
                hub.distribution.registry_changed(now, &hub.registry);
            }
            if hub.distribution.next_wake() <= now {
                hub.distribution.woke(now);
            }
            if hub.lights.next_wake().is_some_and(|at| at <= now) {
                hub.lights.woke(now, &hub.registry);
            }
        }
        if self.follower.next_wake().is_some_and(|at| at <= now) {
            self.follower.woke(now);
        }
        if let Some(quay) = &mut self.quay
            && quay.next_wake().is_some_and(|at| at <= now)
        {
            quay.woke(now);
        }
        if self.beats.next_wake().is_some_and(|at| at <= now) {
            for (keeper, id, beat) in self.beats.woke(now) {
                self.say(now, keeper, Word::Beat { id, beat });
            }
        }
        if self.calls.next_wake().is_some_and(|at| at <= now) {
            let alive = self.keepers();
            let order = |key: &Key| calls::by_key(key, alive.clone());
            let steps = self.calls.woke(now, self.me, order);
            steps.into_iter().for_each(|step| self.step(now, step));
        }
        if self.quotas_wake().is_some_and(|at| at <= now) {
            self.quotas_woke(now);
        }
        if self.surveys.next_wake().is_some_and(|at| at <= now) {
            self.surveys_woke(now);
        }
        if self.spread.next_wake().is_some_and(|at| at <= now) {
            self.spread.woke(now);
        }
        if self.rollouts.next_wake().is_some_and(|at| at <= now) {
            self.rollouts.woke(now);
        }
        if now >= self.slow {
            self.slow = now + SLOW;
            self.links.woke(now, self.poll.registry());
            self.look_at_settings(now);
            let counters = self.quay.as_ref().map(Quay::counters).unwrap_or_default();
            self.leavers.line(now, &counters).into_iter().for_each(|line| tracing::info!("{line}"));
            if let Some(hub) = &mut self.hub {
                for (subject, bytes) in hub.take_due(now) {
                    self.disk.iter().for_each(|d| _ = d.work.send(Work::Remember(subject, bytes.clone())));
                }
            }
        }
        let failure = self.quay.as_ref().and_then(|quay| quay.fleet().failure());
        if now >= self.reports || failure.is_some_and(|at| now >= at + URGENT) {
            self.reports = now + REPORTS;
            self.report(now);
        }
    }

    /// Whether this home can be followed; one that came back into contact with a majority reads there at once.
    fn see_whether_fit(&mut self, now: Duration) {
        let Some(hub) = &mut self.hub else { return };
        let contact = self.keeper.in_contact(now);
        let others = || self.keeper.members().into_iter().filter(|member| *member != self.me).collect();
        hub.see_contact(now, contact, others);
        hub.see_whether_fit(now, contact, self.keeper.read_since(), self.keeper.ends_read_since());
        if hub.wants_read(now) {
            self.keeper.read_anew(now);
        }
    }

    /// Keepers that may run calls and know servers: those with a disk that are here.
    pub fn keepers(&self) -> Vec<Ipv4Addr> {
        let here = |p: &&fallgap_membership::Peer| {
            p.state == State::Here && p.card.disk.is_some() && !p.card.leaving
        };
        let mut keepers: Vec<Ipv4Addr> = self.beacon.peers().filter(here).map(|p| p.card.node).collect();
        if self.disk.is_some() {
            keepers.push(self.me);
        }
        keepers
    }

    /// Supervisors that are to know what is acknowledged: this one, and those that are here and do not leave. One that
    /// leaves may have ended, and is told for as long as it has not.
    fn awaited(&self) -> BTreeSet<Ipv4Addr> {
        let here = self.beacon.peers().filter(|peer| peer.state == State::Here && !peer.card.leaving);
        here.map(|peer| peer.card.node).chain([self.me]).collect()
    }

    fn is_idle(&self) -> bool {
        self.quay.as_ref().is_none_or(|q| q.at_work() == 0) && self.calls.under_way() == 0
    }

    /// How long after the word to end the process goes on, at least and at most.
    fn stays(&self) -> (Duration, Duration) {
        let most = self.settings.bounds.grace.saturating_sub(MARGIN);
        (LINGER.min(most), most)
    }

    fn take_leave(&mut self, now: Duration) {
        let Some(since) = self.leaving.filter(|_| !self.parting) else { return };
        let (least, most) = self.stays();
        let from = if self.is_idle() { least } else { most };
        if now >= since + from.saturating_sub(PARTING) {
            self.parting = true;
            self.keeper.depart(now);
        }
    }

    /// Whether nothing holds the process any more after the word to end: no call, and no value of which a majority of
    /// those that stay lacks a copy.
    fn ended(&self, now: Duration) -> bool {
        let Some(since) = self.leaving else { return false };
        let (least, most) = self.stays();
        (now >= since + least && self.is_idle() && self.keeper.may_end()) || now >= since + most
    }

    /// The settings file may change with a signal or without.
    pub fn look_at_settings(&mut self, now: Duration) {
        let changed = std::fs::metadata(&self.settings_path).and_then(|m| m.modified()).ok();
        if changed.is_none() || changed == self.settings_seen {
            return;
        }
        self.settings_seen = changed;
        match std::fs::read(&self.settings_path)
            .map_err(|e| e.to_string())
            .and_then(|text| fallgap_config::read_settings(&text).map_err(|faults| faults.to_string()))
        {
            Ok(settings) => {
                let seeds = settings.seeds.iter().map(|seed| *seed.ip()).collect();
                self.beacon.seeds(now, seeds);
                self.settings.bounds = settings.bounds;
                let terms = quota_terms(&settings.bounds);
                self.quotas.set_terms(terms);
                self.quay.iter_mut().for_each(|quay| quay.quota_terms(terms));
                self.rollouts.set_patience(Patience::within(settings.bounds.config));
            }
            Err(why) => tracing::info!("gateway: the settings stay, the file cannot be used: {why}"),
        }
    }

    /// Who is there has changed.
    pub fn view_changed(&mut self, now: Duration) {
        let peers = self.beacon.peers().filter(|p| p.card.disk.is_some());
        let peers: Vec<KeeperPeer> = peers
            .map(|p| KeeperPeer { node: p.card.node, disk: p.card.disk, here: p.state == State::Here })
            .collect();
        self.keeper.peers(now, &peers);
        let here = self.beacon.peers().filter(|p| p.state == State::Here);
        let lives: BTreeMap<Ipv4Addr, u64> = here.map(|p| (p.card.node, p.card.life)).collect();
        for (node, life) in &lives {
            if self.lives.get(node) != Some(life) {
                self.calls.anew(*node);
            }
        }
        self.lives = lives;
        let keepers = self.keepers();
        let awaited = self.awaited();
        self.rollouts.members(now, awaited.clone(), keepers.clone());
        let zones = self.beacon.peers().map(|peer| (peer.card.node, peer.card.zone.clone()));
        let own = (self.me, self.settings.zone.clone());
        let zones: BTreeMap<Ipv4Addr, Arc<str>> = zones.chain([own.clone()]).collect();
        let place = |node: &Ipv4Addr| zones.get(node).map(|zone| (*node, zone.clone()));
        let places: Vec<preference::Place> = keepers.iter().filter_map(place).collect();
        self.follower.homes(now, preference::homes_of(&own, &places));
        if let Some(hub) = &mut self.hub {
            let prefers =
                |peer: &preference::Place| preference::first_home_of(peer, &places) == Some(self.me);
            let here = self.lives.keys().filter_map(place).filter(prefers);
            hub.distribution.preferred_by(here.map(|(node, _)| node).collect());
            hub.distribution.present(now, awaited);
        }
        if let Some(hub) = &mut self.hub {
            hub.lights.keepers(keepers);
            hub.registry.peers(now, peers.iter().filter(|p| p.here).map(|p| p.node).collect());
            let gone = self.beacon.peers().filter(|p| p.state == State::Gone);
            gone.for_each(|peer| hub.distribution.left(peer.card.node));
        }
        self.admission_view_changed();
        let here: Vec<Ipv4Addr> = self.lives.keys().copied().chain([self.me]).collect();
        let count = here.len();
        let place = calls::by_key(&Key::Config, here).iter().position(|node| *node == self.me).unwrap_or(0);
        self.quay.iter_mut().for_each(|quay| quay.supervisors(place, count));
    }
}

fn activity_of(peer: Peer) -> Activity {
    match peer {
        Peer::Client => Activity::Clients,
        Peer::Server => Activity::Servers,
    }
}

//! Keepers, followers and servers in virtual time, over links that keep order, are slow, lose messages and are cut.
#![allow(dead_code)]

mod links;
mod rollouts;

use fallgap_config::{Beat, Configuration, Limits, Route, RouteClass, Service, View};
use fallgap_feed::wire::{Said, Told};
pub use fallgap_registry::NodeId;
use fallgap_registry::{
    Distribution, Follower, FollowerOut, Knows, LeaseQuestion, Out, Record, Registry, RosterWord, Terms,
};
use fallgap_routing::{Lease, LeaseTerms, ViewTimes};
pub use links::Link;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const MS: Duration = Duration::from_millis(1);

/// The lives of a few servers, as a registry knows them.
pub fn states(registry: &Registry) -> String {
    let state = |id: &&str| registry.life(id).map(|life| format!("{id} {:?}", life.state));
    ["a", "b", "c"].iter().filter_map(state).collect::<Vec<_>>().join(", ")
}

pub fn node(i: usize) -> NodeId {
    NodeId::new(10, 0, (i / 250) as u8, (i % 250) as u8 + 1)
}

fn index(node: NodeId) -> usize {
    let [_, _, high, low] = node.octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

pub struct Core {
    pub registry: Registry,
    pub distribution: Distribution,
}

pub struct Server {
    pub beat: Beat,
    next: Duration,
    pub alive: bool,
}

#[derive(Default)]
pub struct Seen {
    pub view: Option<Arc<View>>,
    pub views: usize,
    pub moves: usize,
    /// Servers that this process has heard are out.
    out: BTreeSet<String>,
}

impl Seen {
    pub fn edition(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.configuration.edition)
    }
    pub fn ids(&self) -> BTreeSet<String> {
        let berths = self.view.iter().flat_map(|view| &view.berths);
        berths.map(|berth| berth.id.to_string()).collect()
    }
}

pub struct World {
    pub now: Duration,
    pub rng: fastrand::Rng,
    pub terms: Terms,
    pub keepers: usize,
    /// As it was committed last.
    pub edition: u64,
    pub cores: BTreeMap<NodeId, Core>,
    pub followers: BTreeMap<NodeId, Follower>,
    pub seen: BTreeMap<NodeId, Seen>,
    pub servers: Vec<Server>,
    /// What keepers' disks keep of servers, if they do.
    pub disks: Option<BTreeMap<NodeId, Vec<Record>>>,
    /// For so long after its start a keeper goes by what its disk remembers.
    pub young: Duration,
    /// Part of messages that are lost.
    pub loss: f64,
    /// Nodes that hear and say nothing.
    pub cut: BTreeSet<NodeId>,
    /// Without one words take some milliseconds, however long they are.
    pub link: Option<Link>,
    /// Nodes on whose links more stands before a word.
    pub slow: BTreeMap<NodeId, (Duration, Duration)>,
    nodes: usize,
    /// When each node has a sign of life for its neighbour next, if they have any.
    pub heartbeats: Option<Duration>,
    /// Whether homes speak first to those that prefer them.
    pub greets: bool,
    /// Streams between nodes that are open, if it counts: a word on a new one waits for a way there and back, and a long
    /// word for one more each time that it has doubled what a stream may send at once.
    pub streams: Option<BTreeSet<(NodeId, NodeId)>>,
    /// When a direction of a node's link, `true` out, is free again, and the bytes that it has carried.
    pub links: BTreeMap<(NodeId, bool), (Duration, usize)>,
    /// Words on their senders' links, with their lengths, and words behind those of their receivers.
    left: BTreeMap<(Duration, u64), (NodeId, NodeId, RosterWord, usize)>,
    net: BTreeMap<(Duration, u64), (NodeId, NodeId, RosterWord)>,
    last: BTreeMap<(NodeId, NodeId), Duration>,
    sent: u64,
    pub told: BTreeMap<&'static str, usize>,
    /// Processor time of all homes, and of all followers.
    pub spent: [Duration; 2],
    pub operator: rollouts::Operator,
    /// Words that left a machine and their bytes, if wanted.
    pub heard: Option<Vec<(RosterWord, usize)>>,
}

pub fn configuration(edition: u64, routes: usize) -> Arc<Configuration> {
    let route = |i: usize| Route {
        name: format!("r{i}").into(),
        depot: "a.example".into(),
        lane_prefix: format!("/{i:04}/").into(),
        class: RouteClass::Safe,
        // Every route changes with the edition in one of seven.
        timeout: Duration::from_millis(1000 + edition * u64::from(i as u64 % 7 == edition % 7)),
        target: 300 * MS,
        priority: 1,
        sorting: vec![("shop".into(), 1.0)],
        attempts: 2,
        is_open: false,
    };
    let service =
        Service { name: "shop".into(), health_path: "/health".into(), line_cap: 64, dedupes: false };
    let limits = Limits { header_bytes: 16384, body_bytes: 1 << 20, header: 3000 * MS, idle: 15_000 * MS };
    let routes = (0..routes).map(route).collect();
    Arc::new(Configuration {
        edition,
        routes,
        services: vec![service],
        limits,
        customers: None,
        licences: None,
    })
}

/// Bytes that leave for a whole table of so many routes, and for what leads on from it to so many.
pub fn bytes_of(routes: usize, then: usize) -> (f64, f64) {
    let (now, follower) = (1000 * MS, node(1));
    let mut home = Distribution::start(now, 1, Terms::default());
    home.set_configuration(now, configuration(1, routes));
    let said = |holds| Said { table: u32::from(follower), holds, heard: (0, 0), rejected: false };
    home.joined(now, follower, said(None));
    let told = |home: &mut Distribution| {
        let told = home.take().into_iter().find_map(|out| match out {
            Out::Tell(_, told @ (Told::Whole(_) | Told::Delta(_))) => Some(told),
            _ => None,
        });
        let told = told.expect("a follower is told");
        (home.line(&told).bytes() as f64, told)
    };
    let (whole, table) = told(&mut home);
    let Told::Whole(table) = table else { panic!("who holds nothing is told a whole table") };
    home.said(now, follower, said(Some(table.version)));
    home.set_configuration(now, configuration(2, then));
    let (change, _) = told(&mut home);
    (whole, change)
}

pub fn beat(id: &str, port: u16, postmark: u64) -> Beat {
    Beat {
        id: id.into(),
        address: std::net::SocketAddrV4::new(NodeId::new(10, 9, 0, 1), port),
        service: "shop".into(),
        edition: "v1".into(),
        zone: "hall".into(),
        slots: 4,
        closing: false,
        postmark,
        cold: Duration::ZERO,
    }
}

impl World {
    pub fn new(seed: u64, keepers: usize, nodes: usize, servers: usize) -> World {
        World::with(Terms::default(), seed, keepers, nodes, servers)
    }

    /// The first `keepers` nodes are keepers; all are followers.
    pub fn with(terms: Terms, seed: u64, keepers: usize, nodes: usize, servers: usize) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = 1000 * MS;
        let server = |i: usize| Server {
            beat: beat(&format!("i-{i:03}"), 8000 + i as u16, 0),
            next: now + 1500 * MS * i as u32 / servers.max(1) as u32,
            alive: true,
        };
        let mut world = World {
            now,
            terms,
            keepers,
            edition: 0,
            cores: BTreeMap::new(),
            followers: BTreeMap::new(),
            seen: BTreeMap::new(),
            servers: (0..servers).map(server).collect(),
            disks: None,
            young: Duration::from_secs(2),
            loss: 0.0,
            cut: BTreeSet::new(),
            link: None,
            slow: BTreeMap::new(),
            nodes,
            heartbeats: None,
            greets: true,
            streams: None,
            links: BTreeMap::new(),
            left: BTreeMap::new(),
            net: BTreeMap::new(),
            last: BTreeMap::new(),
            sent: 0,
            told: BTreeMap::new(),
            spent: [Duration::ZERO; 2],
            operator: rollouts::Operator::default(),
            heard: None,
            rng: rng.fork(),
        };
        (0..nodes).for_each(|i| world.start(i));
        world
    }

    /// A node's process starts, or starts again with nothing.
    pub fn start(&mut self, i: usize) {
        let (now, id, terms) = (self.now, node(i), self.terms);
        if i < self.keepers {
            let mut registry = Registry::start(now, self.rng.u64(..), terms);
            let kept = self.disks.as_ref().and_then(|disks| disks.get(&id));
            registry.remember(now, kept.cloned().unwrap_or_default(), now + self.young);
            registry.peers(now, (0..self.keepers).filter(|other| *other != i).map(node).collect());
            let mut distribution = Distribution::start(now, self.rng.u64(..), terms);
            if self.edition > 1 {
                // Its disk held an older one.
                distribution.set_configuration(now, configuration(self.edition - 1, 30));
            }
            distribution.registry_changed(now, &registry);
            let nodes = (0..self.nodes).filter(|of| self.greets && *of != i && self.preferred(*of)[0] == id);
            distribution.preferred_by(nodes.map(node).collect());
            self.cores.insert(id, Core { registry, distribution });
        }
        let mut follower = Follower::start(now, self.rng.u64(..), id, terms);
        follower.homes(now, self.preferred(i));
        self.followers.insert(id, follower);
        self.seen.insert(id, Seen::default());
        self.settle();
    }

    pub fn preferred(&self, i: usize) -> Vec<NodeId> {
        (0..self.keepers).map(|k| node((i + k) % self.keepers)).collect()
    }

    /// A node's process ends: what is under way to it and from it is lost.
    pub fn kill(&mut self, i: usize) {
        let id = node(i);
        let core = self.cores.remove(&id);
        if let (Some(disks), Some(core)) = (&mut self.disks, core) {
            disks.insert(id, core.registry.to_remember(self.now));
        }
        self.followers.remove(&id);
        self.operator.rollouts.remove(&id);
        self.meet();
        self.left.retain(|_, (from, to, ..)| *from != id && *to != id);
        self.net.retain(|_, (from, to, _)| *from != id && *to != id);
        self.streams.iter_mut().for_each(|open| open.retain(|(from, to)| *from != id && *to != id));
    }

    pub fn configure(&mut self, edition: u64, routes: usize) {
        let now = self.now;
        let configuration = configuration(edition, routes);
        self.edition = edition;
        let cut = &self.cut;
        let began = Instant::now();
        for (_, core) in self.cores.iter_mut().filter(|(id, _)| !cut.contains(id)) {
            core.distribution.set_configuration(now, configuration.clone());
        }
        self.spent[0] += began.elapsed();
        self.settle();
    }

    /// A server says something to a node that hands it on to all keepers.
    pub fn says(&mut self, at: usize, word: RosterWord) {
        (0..self.keepers).for_each(|k| self.send(node(at), node(k), word.clone()));
    }

    pub fn beats(&mut self, at: usize, server: usize, closing: bool) {
        let server = &mut self.servers[server];
        server.beat.postmark += 1;
        server.beat.closing |= closing;
        let word = RosterWord::Beat(server.beat.clone());
        self.says(at, word);
    }

    fn send(&mut self, from: NodeId, to: NodeId, word: RosterWord) {
        let local = from == to;
        if !local && (self.cut.contains(&from) || self.cut.contains(&to) || self.rng.f64() < self.loss) {
            return;
        }
        let kind = match &word {
            RosterWord::Told(_) => "told",
            RosterWord::Compare(_) => "compare",
            RosterWord::Records(records) if !records.records.is_empty() => "records",
            _ => "other",
        };
        *self.told.entry(kind).or_default() += 1;
        let delay = if local { Duration::ZERO } else { MS * self.rng.u32(1..6) };
        // As it would travel.
        let bytes = postcard::to_stdvec(&word).expect("a word as bytes");
        let mut at = self.now + delay;
        let word: RosterWord = postcard::from_bytes(&bytes).expect("a word again");
        if let Some(heard) = self.heard.as_mut().filter(|_| !local) {
            heard.push((word.clone(), bytes.len()));
        }
        self.sent += 1;
        if !local && let Some(link) = self.link {
            let length = links::packed(&bytes);
            at += self.stream_waits(link, from, to, length);
            at = self.carried(link, (from, true), at, length);
            self.left.insert((at, self.sent), (from, to, word, length));
        } else {
            self.arrives(at, from, to, word);
        }
    }

    /// A word is through all links at that time, or when those that were sent before it are.
    fn arrives(&mut self, at: Duration, from: NodeId, to: NodeId, word: RosterWord) {
        let at = at.max(self.last.get(&(from, to)).copied().unwrap_or_default());
        self.last.insert((from, to), at);
        self.sent += 1;
        self.net.insert((at, self.sent), (from, to, word));
    }

    /// Words that have left their senders' links come to those of their receivers, in that order.
    fn come_in(&mut self) {
        while let Some(first) = self.left.first_entry().filter(|first| first.key().0 <= self.now) {
            let ((at, _), (from, to, word, length)) = first.remove_entry();
            let at = self.link.map_or(at, |link| self.carried(link, (to, false), at, length));
            self.arrives(at, from, to, word);
        }
    }

    /// Takes what all cores have to say.
    fn settle(&mut self) {
        let now = self.now;
        let mut out: Vec<(NodeId, NodeId, RosterWord)> = Vec::new();
        let began = Instant::now();
        for (id, core) in &mut self.cores {
            out.extend(core.registry.take().into_iter().map(|(to, word)| (*id, to, word)));
            for said in core.distribution.take() {
                match said {
                    Out::Tell(to, told) => out.push((*id, to, RosterWord::told(&told))),
                    Out::Unfit(to) => out.push((*id, to, RosterWord::Unfit)),
                    Out::Fit(to) => out.push((*id, to, RosterWord::Fit)),
                    Out::Holders { to, id: question, holders, age } => {
                        out.push((*id, to, RosterWord::Holders { id: question, holders, age }));
                    }
                    Out::Lease { to, question, knows } => {
                        let read_age = Duration::ZERO;
                        out.push((*id, to, RosterWord::Lease { question, knows, read_age }));
                    }
                    Out::Note(_) => {}
                }
            }
        }
        self.spent[0] += began.elapsed();
        for (id, follower) in &mut self.followers {
            let seen = self.seen.entry(*id).or_default();
            let said = follower.take();
            let quiet = said.is_empty();
            for said in said {
                match said {
                    FollowerOut::Join(to, said) => {
                        seen.moves += 1;
                        out.push((*id, to, RosterWord::join(&said)));
                    }
                    FollowerOut::Say(to, said) => out.push((*id, to, RosterWord::said(&said))),
                    FollowerOut::WantLease(home, question) => {
                        out.push((*id, home, RosterWord::LeaseWanted(question)));
                    }
                    FollowerOut::Leave(home) => out.push((*id, home, RosterWord::Leave)),
                    FollowerOut::NewView(view) => {
                        let back = view.configuration.edition < seen.edition();
                        assert!(!back, "{id} goes back at {now:?}");
                        if let Some(rollouts) = self.operator.rollouts.get_mut(id) {
                            rollouts.in_force(now, view.configuration.edition);
                        }
                        seen.view = Some(view);
                        seen.views += 1;
                    }
                    FollowerOut::Note(_) => {}
                }
            }
            let clean = quiet || seen.ids().is_disjoint(&seen.out);
            assert!(clean, "{id} has a server again at {now:?}");
        }
        out.extend(self.take_rollouts());
        out.into_iter().for_each(|(from, to, word)| self.send(from, to, word));
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, word: RosterWord) {
        if from != to {
            self.followers.get_mut(&to).into_iter().for_each(|follower| follower.met(self.now));
        }
        let (began, of) = (Instant::now(), usize::from(matches!(word, RosterWord::Told(_))));
        self.hand_on(from, to, word);
        self.spent[of] += began.elapsed();
    }

    fn hand_on(&mut self, from: NodeId, to: NodeId, word: RosterWord) {
        let (now, terms) = (self.now, self.terms);
        match word {
            RosterWord::Told(line) => {
                let told = RosterWord::read_told(&line, &terms).expect("what is told");
                let Some(follower) = self.followers.get_mut(&to) else { return };
                let seen = self.seen.entry(to).or_default();
                match &told {
                    Told::Withdrawn { told, .. } => _ = seen.out.insert(told.server.to_string()),
                    Told::AllWithdrawn { out, .. } => seen.out.extend(out.iter().map(|id| id.to_string())),
                    _ => {}
                }
                follower.told(now, from, told);
            }
            RosterWord::Unfit => self.followers.get_mut(&to).into_iter().for_each(|f| f.unfit(now, from)),
            RosterWord::Fit => self.followers.get_mut(&to).into_iter().for_each(|f| f.fit(now, from)),
            RosterWord::Lease { question, knows, read_age } => {
                let follower = self.followers.get_mut(&to);
                follower.into_iter().for_each(|f| f.lease_answered(now, from, question, knows, read_age));
            }
            word @ RosterWord::Holders { .. } => self.holders_told(to, &word),
            word => {
                let Some(core) = self.cores.get_mut(&to) else { return };
                let changed = match word {
                    RosterWord::Beat(beat) => core.registry.beat(now, beat).is_change(),
                    RosterWord::Left(id) => core.registry.left(now, &id).is_change(),
                    RosterWord::Join(line) => {
                        let said = RosterWord::read_said(&line, &terms).expect("what is said");
                        core.distribution.joined(now, from, said);
                        false
                    }
                    RosterWord::Said(line) => {
                        let said = RosterWord::read_said(&line, &terms).expect("what is said");
                        core.distribution.said(now, from, said);
                        false
                    }
                    RosterWord::Leave => {
                        core.distribution.left(from);
                        false
                    }
                    RosterWord::LeaseWanted(question) => {
                        core.distribution.lease_wanted(from, question);
                        false
                    }
                    RosterWord::HoldersWanted { id, edition } => {
                        core.distribution.holders_wanted(now, from, id, edition);
                        false
                    }
                    RosterWord::Report(reports) => {
                        core.distribution.reported(now, from, &reports);
                        false
                    }
                    word => core.registry.heard(now, from, word),
                };
                if changed {
                    core.distribution.registry_changed(now, &core.registry);
                }
            }
        }
    }

    /// Each node has a sign of life for its neighbour: a word that means nothing to it.
    fn beat_hearts(&mut self) {
        if self.heartbeats.is_none_or(|at| self.now < at) {
            return;
        }
        self.heartbeats = Some(self.now + 300 * MS);
        let question = LeaseQuestion { life: 0, asked: Duration::ZERO };
        let sign = RosterWord::Lease { question, knows: Knows::default(), read_age: Duration::ZERO };
        for i in 0..self.nodes {
            self.send(node(i), node((i + 1) % self.nodes), sign.clone());
        }
    }

    fn next(&self) -> Duration {
        let left = self.left.keys().next().map(|(at, _)| *at);
        let net = self.net.keys().next().map(|(at, _)| *at).into_iter().chain(left).min();
        let cores = self.cores.values().map(|c| c.registry.next_wake().min(c.distribution.next_wake())).min();
        let followers = self.followers.values().filter_map(Follower::next_wake).min();
        let servers = self.servers.iter().filter(|server| server.alive).map(|server| server.next).min();
        [net, cores, followers, servers, self.heartbeats, self.operator_wake()]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.now)
    }

    fn step(&mut self) {
        let now = self.now;
        self.come_in();
        while let Some(((at, sent), _)) = self.net.first_key_value().filter(|((at, _), _)| *at <= now) {
            let key = (*at, *sent);
            if let Some((from, to, word)) = self.net.remove(&key) {
                let cut = from != to && (self.cut.contains(&from) || self.cut.contains(&to));
                if !cut {
                    self.deliver(from, to, word);
                }
            }
        }
        for i in 0..self.servers.len() {
            if self.servers[i].alive && self.servers[i].next <= now {
                self.servers[i].next = now + 1500 * MS;
                let ups: Vec<NodeId> = self.followers.keys().copied().collect();
                if !ups.is_empty() {
                    let up = ups[self.rng.usize(..ups.len())];
                    self.beats(index(up), i, false);
                }
            }
        }
        self.beat_hearts();
        let began = Instant::now();
        for core in self.cores.values_mut() {
            if core.registry.next_wake() <= now && core.registry.woke(now) {
                core.distribution.registry_changed(now, &core.registry);
            }
            if core.distribution.next_wake() <= now {
                core.distribution.woke(now);
            }
        }
        self.spent[0] += began.elapsed();
        for follower in self.followers.values_mut() {
            if follower.next_wake().is_some_and(|at| at <= now) {
                follower.woke(now);
            }
        }
        self.operator_woke();
        self.settle();
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut here = 0;
        loop {
            let next = self.next();
            if next > end {
                break;
            }
            here = if next <= self.now { here + 1 } else { 0 };
            assert!(here < 2000, "no time passes at {:?}", self.now);
            self.now = self.now.max(next);
            self.step();
        }
        self.now = end;
    }

    /// How long until all that hold a view are as wanted; `None`: longer than that.
    pub fn until(&mut self, most: Duration, wanted: impl Fn(&World) -> bool) -> Option<Duration> {
        let since = self.now;
        while !wanted(self) {
            if self.now >= since + most {
                return None;
            }
            self.run(10 * MS);
        }
        Some(self.now - since)
    }

    /// Whether a supervisor does not route, as its view has lacked for so long what its home knows.
    pub fn is_behind(&self, at: usize, behind: Duration) -> bool {
        let times = self.followers[&node(at)].view_times(self.now);
        let (known, is_reached) = (times.known, times.is_reached);
        let mut lease = Lease::new(LeaseTerms { behind, ..LeaseTerms::default() });
        lease.view_times(ViewTimes { confirmed: None, known, committed: None, is_reached });
        lease.is_behind(self.now)
    }

    /// Every process that runs, and is not cut off, holds that.
    pub fn all(&self, holds: impl Fn(&Seen) -> bool) -> bool {
        let up = self.followers.keys().filter(|id| !self.cut.contains(id));
        up.into_iter().all(|id| holds(&self.seen[id]))
    }
}

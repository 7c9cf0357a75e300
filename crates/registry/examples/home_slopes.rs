//! What a home costs by its followers, its servers and its routes: processor time by the clock of one thread, bytes as
//! links pack them, memory by the resident set of a process of its own for each size. One real registry and home, one
//! real follower; the other followers are hollow: they hold what they were told last, and answer so. Virtual time.
//!
//! Without arguments: all sizes, each in a process of its own. With `FOLLOWERS SERVERS ROUTES`: one.

#[path = "../../membership/examples/gauge/mod.rs"]
mod gauge;

use fallgap_config::{Beat, Configuration, Limits, Route, RouteClass, Service};
use fallgap_feed::wire::{Said, Told};
use fallgap_health::{Count, Lightlist};
use fallgap_registry::{Distribution, Follower, FollowerOut, NodeId, Out, Registry, RosterWord};
use fallgap_registry::{ServerReport, Terms};
use fallgap_tables::Version;
use gauge::{ran, resident_kb};
use std::collections::BTreeMap;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const SERVICES: usize = 330;
const ZONES: usize = 10;

/// Followers, servers, routes: by followers, by servers, by routes. The third is the size to design for, shared among
/// seven homes.
const SIZES: [(usize, usize, usize); 8] = [
    (15, 1380, 310),
    (15, 8000, 1800),
    (83, 8000, 1800),
    (143, 8000, 1800),
    (83, 1000, 1800),
    (83, 4000, 1800),
    (83, 8000, 300),
    (83, 8000, 3600),
];

fn node(i: usize) -> NodeId {
    NodeId::new(10, 1, (i / 250) as u8, (i % 250) as u8 + 1)
}

/// The length of a word as links pack it, with frame and headers.
fn packed(bytes: &[u8]) -> usize {
    let length = if bytes.len() > 1500 { lz4_flex::block::compress(bytes).len() } else { bytes.len() };
    length + 4 + 60 * length.div_ceil(1448)
}

/// As bytes on their way to a hollow follower, which knows what it was told without reading it.
fn left(home: &mut Distribution, told: &Told) -> usize {
    let line = home.line(told);
    // The word and its count stand before the line.
    match line.packed(&[0; 6]) {
        Some(block) => block.len() + 8 + 60 * (block.len() + 8).div_ceil(1448),
        None => packed(&postcard::to_stdvec(&RosterWord::told(told)).expect("a word as bytes")),
    }
}

/// `moved`: how many routes differ from the edition before.
fn configuration(edition: u64, routes: usize, moved: &mut [u64], change: usize) -> Arc<Configuration> {
    for at in 0..change.min(routes) {
        moved[(at * 7919 + edition as usize * 131) % routes] = edition;
    }
    let route = |i: usize| Route {
        name: format!("{:08x}-lane", fastrand::Rng::with_seed(i as u64).u32(..)).into(),
        depot: format!("tenant-{:05}.example", i * 16).into(),
        lane_prefix: format!("/v{}/{:06x}/", i % 3, fastrand::Rng::with_seed(i as u64 + 9).u32(..1 << 24))
            .into(),
        class: RouteClass::Safe,
        timeout: MS * (1000 + moved[i] as u32),
        target: 300 * MS,
        priority: 1,
        sorting: vec![(format!("service-{:03}", i % SERVICES).into(), 1.0)],
        attempts: 2,
        is_open: false,
    };
    let service = |i: usize| Service {
        name: format!("service-{i:03}").into(),
        health_path: "/health".into(),
        line_cap: 64,
        dedupes: false,
    };
    let limits = Limits { header_bytes: 16384, body_bytes: 1 << 20, header: 3 * SECOND, idle: 15 * SECOND };
    let mut routes: Vec<Route> = (0..routes).map(route).collect();
    routes.sort_by(|a, b| (&a.depot, &a.lane_prefix).cmp(&(&b.depot, &b.lane_prefix)));
    let services = (0..SERVICES).map(service).collect();
    Arc::new(Configuration { edition, routes, services, limits, customers: None, licences: None })
}

fn beat(i: usize, postmark: u64, closing: bool) -> Beat {
    let id = format!("{:012x}-{i:05}", fastrand::Rng::with_seed(i as u64).u64(..) >> 16);
    let ip = NodeId::new(10, 9, (i / 250) as u8, (i % 250) as u8);
    Beat {
        id: id.into(),
        address: std::net::SocketAddrV4::new(ip, 8080),
        service: format!("service-{:03}", i % SERVICES).into(),
        edition: "v1".into(),
        zone: format!("zone-{}", i % ZONES).into(),
        slots: 4,
        closing,
        postmark,
        cold: Duration::ZERO,
    }
}

#[derive(Clone, Copy, Default)]
struct Spent {
    home: Duration,
    follower: Duration,
    words: usize,
    bytes: usize,
    said: usize,
    said_bytes: usize,
    whole: usize,
    lines: usize,
}

/// What a hollow follower holds, what it has heard of withdrawals, and when it says so next.
type Hollow = (Option<Version>, (u64, u64), Duration);

struct World {
    now: Duration,
    terms: Terms,
    registry: Registry,
    home: Distribution,
    hollow: BTreeMap<NodeId, Hollow>,
    real: Follower,
    /// As bytes, on their way to the home.
    waiting: Vec<(NodeId, Vec<u8>)>,
    spent: Spent,
}

impl World {
    fn new(followers: usize) -> World {
        let (now, terms) = (SECOND, Terms::default());
        let mut real = Follower::start(now, 5, node(0), terms);
        real.homes(now, vec![NodeId::new(10, 0, 0, 1)]);
        let hollow = (1..followers).map(|i| (node(i), (None, (0, 0), Duration::MAX)));
        World {
            now,
            terms,
            registry: Registry::start(now, 1, terms),
            home: Distribution::start(now, 2, terms),
            hollow: hollow.collect(),
            real,
            waiting: Vec::new(),
            spent: Spent::default(),
        }
    }

    fn beats(&mut self, from: usize, to: usize, postmark: u64, closing: bool) -> Duration {
        let mut spent = Duration::ZERO;
        // Not all at once: what was made for this measurement would stand in the memory.
        for first in (from..to).step_by(500) {
            let word =
                |i| postcard::to_stdvec(&RosterWord::Beat(beat(i, postmark, closing))).expect("a beat");
            let frames: Vec<Vec<u8>> = (first..to.min(first + 500)).map(word).collect();
            let began = ran();
            let mut changed = false;
            for frame in &frames {
                if let Ok(RosterWord::Beat(beat)) = postcard::from_bytes(frame) {
                    changed |= self.registry.beat(self.now, beat).is_change();
                }
            }
            if changed {
                self.home.registry_changed(self.now, &self.registry);
            }
            spent += ran() - began;
        }
        spent
    }

    /// All that follow come at once, with nothing; how long until all hold what there is.
    fn join(&mut self) -> Duration {
        let since = self.now;
        for (i, (holds, heard, say)) in self.hollow.values_mut().enumerate() {
            (*holds, *heard) = (None, (0, 0));
            *say = since + SECOND.mul_f64(1.0 + i as f64 / 1000.0);
        }
        let nothing = |follower: NodeId| Said {
            table: u32::from(follower),
            holds: None,
            heard: (0, 0),
            rejected: false,
        };
        let hollow: Vec<NodeId> = self.hollow.keys().copied().collect();
        for follower in hollow {
            let began = ran();
            self.home.joined(self.now, follower, nothing(follower));
            self.spent.home += ran() - began;
            self.settle();
        }
        while self.hollow.values().any(|(holds, ..)| holds.is_none()) {
            self.run(5 * MS);
        }
        self.now - since
    }

    /// Hands on what all have to say, until nobody has.
    fn settle(&mut self) {
        loop {
            let began = ran();
            let frame = |told: &Told| postcard::to_stdvec(&RosterWord::told(told)).expect("a word as bytes");
            let mut frames = Vec::new();
            for out in self.home.take() {
                let Out::Tell(to, told) = out else { continue };
                match &told {
                    Told::Whole(whole) => {
                        (self.spent.whole, self.spent.lines) =
                            (self.spent.whole + 1, self.spent.lines + whole.entries.len())
                    }
                    Told::Delta(delta) => self.spent.lines += delta.changes.len(),
                    _ => {}
                }
                self.spent.bytes += left(&mut self.home, &told);
                self.spent.words += 1;
                let bytes = if to == node(0) { frame(&told) } else { Vec::new() };
                frames.push((to, told, bytes));
            }
            let framed = ran();
            self.spent.home += framed - began;
            for (to, told, bytes) in frames {
                if to == node(0) {
                    let Ok(RosterWord::Told(line)) = postcard::from_bytes(&bytes) else { continue };
                    let told = RosterWord::read_told(&line, &self.terms).expect("what is told");
                    self.real.told(self.now, NodeId::new(10, 0, 0, 1), told);
                    continue;
                }
                let Some((holds, heard, say)) = self.hollow.get_mut(&to) else { continue };
                match told {
                    Told::Whole(whole) => *holds = Some(whole.version),
                    Told::Delta(delta) => *holds = Some(delta.result),
                    Told::Withdrawn { epoch, told } => *heard = (epoch, told.sequence),
                    Told::AllWithdrawn { epoch, sequence, .. } => *heard = (epoch, sequence),
                    Told::Same(_) => continue,
                }
                *say = self.now + SECOND;
                let said = Said { table: u32::from(to), holds: *holds, heard: *heard, rejected: false };
                self.waiting.push((to, postcard::to_stdvec(&RosterWord::said(&said)).expect("a word")));
            }
            for out in self.real.take() {
                let word = match out {
                    FollowerOut::Join(_, said) => RosterWord::join(&said),
                    FollowerOut::Say(_, said) => RosterWord::said(&said),
                    _ => continue,
                };
                self.waiting.push((node(0), postcard::to_stdvec(&word).expect("a word")));
            }
            let told = ran();
            self.spent.follower += told - framed;
            if self.waiting.is_empty() {
                return;
            }
            for (from, bytes) in std::mem::take(&mut self.waiting) {
                self.spent.said += 1;
                self.spent.said_bytes += packed(&bytes);
                match postcard::from_bytes(&bytes) {
                    Ok(RosterWord::Join(line)) => {
                        let said = RosterWord::read_said(&line, &self.terms).expect("what is said");
                        self.home.joined(self.now, from, said);
                    }
                    Ok(RosterWord::Said(line)) => {
                        let said = RosterWord::read_said(&line, &self.terms).expect("what is said");
                        self.home.said(self.now, from, said);
                    }
                    _ => {}
                }
            }
            self.spent.home += ran() - told;
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        self.settle();
        while self.now < end {
            self.now += 5 * MS;
            let began = ran();
            if self.home.next_wake() <= self.now {
                self.home.woke(self.now);
            }
            self.spent.home += ran() - began;
            if self.real.next_wake().is_some_and(|at| at <= self.now) {
                self.real.woke(self.now);
            }
            for (follower, (holds, heard, say)) in &mut self.hollow {
                if self.now >= *say {
                    *say = self.now + SECOND;
                    let said =
                        Said { table: u32::from(*follower), holds: *holds, heard: *heard, rejected: false };
                    self.waiting
                        .push((*follower, postcard::to_stdvec(&RosterWord::said(&said)).expect("a word")));
                }
            }
            self.settle();
        }
    }

    fn take(&mut self) -> Spent {
        std::mem::take(&mut self.spent)
    }
}

fn main() {
    let asked: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    if let [followers, servers, routes] = asked[..] {
        return one(followers.max(2), servers, routes.max(1));
    }
    let me = std::env::current_exe().expect("this program's path");
    for (followers, servers, routes) in SIZES {
        let args = [followers, servers, routes].map(|size| size.to_string());
        let ended = Command::new(&me).args(args).status();
        assert!(ended.is_ok_and(|status| status.success()), "a size has failed");
    }
}

fn one(followers: usize, servers: usize, routes: usize) {
    let size = format!("f{followers}_s{servers}_r{routes}");
    let figure = |what: &str, value: f64| println!("figure {what}_{size} {value:.2}");
    let told = |what: &str, spent: Spent, seconds: f64| {
        figure(&format!("{what}_home_ms"), spent.home.as_secs_f64() * 1e3 / seconds);
        figure(&format!("{what}_home_out_words"), spent.words as f64 / seconds);
        figure(&format!("{what}_home_out_bytes"), spent.bytes as f64 / seconds);
        figure(&format!("{what}_home_in_words"), spent.said as f64 / seconds);
        figure(&format!("{what}_home_in_bytes"), spent.said_bytes as f64 / seconds);
        figure(&format!("{what}_lines"), spent.lines as f64 / seconds);
    };
    let mut world = World::new(followers);
    let mut moved = vec![0; routes];
    let start = resident_kb();
    let new = world.beats(0, servers, 1, false);
    figure("beat_new_us", new.as_secs_f64() * 1e6 / servers as f64);
    let mut again = Duration::ZERO;
    let rounds = 400_000 / servers + 1;
    for round in 0..rounds {
        again += world.beats(0, servers, round as u64 + 2, false);
    }
    figure("beat_us", again.as_secs_f64() * 1e6 / (servers * rounds) as f64);
    world.home.set_configuration(world.now, configuration(1, routes, &mut moved, 0));
    // Until it is warm; then all beat once more, so that nobody is silent.
    world.run(8 * SECOND);
    world.beats(0, servers, 1 << 20, false);
    world.take();
    let registered = resident_kb();
    figure("registry_kb", (registered - start) as f64);

    let took = world.join();
    let joined = world.take();
    figure("join_all_ms", took.as_secs_f64() * 1e3);
    figure("join_home_ms_each", joined.home.as_secs_f64() * 1e3 / (followers - 1) as f64);
    figure("whole_bytes", joined.bytes as f64 / joined.whole.max(1) as f64);
    figure("whole_entries", joined.lines as f64 / joined.whole.max(1) as f64);
    figure("tables_kb", resident_kb().saturating_sub(registered) as f64);

    world.run(4 * SECOND);
    world.take();
    world.run(10 * SECOND);
    told("rest_a_second", world.take(), 10.0);

    // 40 configurations of ten routes each, one every half second, beside what goes on at rest.
    for edition in 2..42 {
        world.home.set_configuration(world.now, configuration(edition, routes, &mut moved, 10));
        world.run(500 * MS);
        world.beats(0, servers, (1 << 20) + edition, false);
    }
    let changes = world.take();
    told("change_of_10_each", changes, 40.0);
    figure("change_of_10_follower_ms", changes.follower.as_secs_f64() * 1e3 / 40.0);
    figure("tables_after_changes_kb", resident_kb().saturating_sub(registered) as f64);

    for edition in 42..52 {
        world.home.set_configuration(world.now, configuration(edition, routes, &mut moved, routes / 7));
        world.run(500 * MS);
        world.beats(0, servers, (1 << 20) + edition, false);
    }
    told("change_of_a_seventh_each", world.take(), 10.0);

    // Servers that close, one in each of ten rounds, and a new life for each.
    for round in 0..10 {
        world.beats(round, round + 1, 1 << 21, true);
        world.run(500 * MS);
        world.beats(servers + round, servers + round + 1, 1, false);
        world.run(500 * MS);
        world.beats(10, servers, (1 << 21) + round as u64, false);
    }
    told("a_server_replaced_each", world.take(), 10.0);

    // Every follower tells of 86 servers a second. How long answers take differs by a fifth up and down each time; in
    // the first span by the server as well, so that weights move one way, in the second by nothing else.
    let mut lights = Lightlist::new(world.now, NodeId::new(10, 0, 0, 1), fallgap_health::Terms::default());
    let mut rng = fastrand::Rng::with_seed(11);
    for (what, spread) in [("weights_apart", 0.8), ("weights_alike", 0.0)] {
        let usual: Vec<f32> = (0..servers).map(|_| 20.0 * (1.0 + spread * (rng.f32() - 0.5))).collect();
        let (mut rows, mut bytes) = (0, 0);
        let (mut reporting, mut lighting) = (Duration::ZERO, Duration::ZERO);
        for second in 0..20 {
            let reports: Vec<(NodeId, Vec<u8>)> = (0..followers)
                .map(|i| {
                    let report = |_| {
                        let at = rng.usize(20..servers);
                        let kinds = [Count { runs: 1, failed: 0 }, Count::default(), Count::default()];
                        let server = beat(at, 0, false).id;
                        ServerReport { server, kinds, good_ms: usual[at] * (0.8 + 0.4 * rng.f32()) }
                    };
                    let word = RosterWord::Report((0..86).map(report).collect());
                    (node(i), postcard::to_stdvec(&word).expect("a word"))
                })
                .collect();
            for (from, word) in &reports {
                bytes += packed(word);
                let began = ran();
                let Ok(RosterWord::Report(reports)) = postcard::from_bytes(word) else { continue };
                rows += reports.len();
                world.home.reported(world.now, *from, &reports);
                let reported = ran();
                let zone: Arc<str> = format!("zone-{}", from.octets()[3] % 10).into();
                let counts = reports.iter().map(|report| (&report.server, &report.kinds));
                lights.reported(world.now, *from, &zone, counts);
                reporting += reported - began;
                lighting += ran() - reported;
            }
            world.run(SECOND);
            world.beats(20, servers, (1 << 22) + second + (spread * 1000.0) as u64, false);
        }
        figure(&format!("{what}_report_row_us"), reporting.as_secs_f64() * 1e6 / rows as f64);
        figure(&format!("{what}_verdicts_row_us"), lighting.as_secs_f64() * 1e6 / rows as f64);
        figure(&format!("{what}_report_row_bytes"), bytes as f64 / rows as f64);
        let spent = world.take();
        told(&format!("{what}_a_second"), spent, 20.0);
        figure(&format!("{what}_follower_ms_a_second"), spent.follower.as_secs_f64() * 1e3 / 20.0);
    }
    figure("home_kb", resident_kb().saturating_sub(start) as f64);

    // All come again with nothing, as after a home's loss.
    let took = world.join();
    let joined = world.take();
    figure("again_all_ms", took.as_secs_f64() * 1e3);
    figure("again_home_ms_each", joined.home.as_secs_f64() * 1e3 / (followers - 1) as f64);
    followers_alone(&mut world, &figure);
}

/// Memory of a follower: twenty more that were told the same.
fn followers_alone(world: &mut World, figure: &impl Fn(&str, f64)) {
    let fresh = node(1);
    world.home.joined(
        world.now,
        fresh,
        Said { table: u32::from(fresh), holds: None, heard: (0, 0), rejected: false },
    );
    world.run(SECOND / 2);
    world.home.joined(
        world.now,
        fresh,
        Said { table: u32::from(fresh), holds: None, heard: (0, 0), rejected: false },
    );
    let words: Vec<Vec<u8>> = world
        .home
        .take()
        .into_iter()
        .filter_map(|out| match out {
            Out::Tell(to, told) if to == fresh => Some(told.encode()),
            _ => None,
        })
        .collect();
    let home = NodeId::new(10, 0, 0, 1);
    let mut all = Vec::new();
    let (before, began) = (resident_kb(), ran());
    for seed in 0..20 {
        let mut follower = Follower::start(world.now, seed, fresh, world.terms);
        follower.homes(world.now, vec![home]);
        for word in &words {
            follower.told(world.now, home, RosterWord::read_told(word, &world.terms).expect("what is told"));
        }
        drop(follower.take());
        all.push(follower);
    }
    figure("follower_whole_ms", (ran() - began).as_secs_f64() * 1e3 / 20.0);
    figure("follower_kb", resident_kb().saturating_sub(before) as f64 / 20.0);
    let held = all.iter().filter_map(|follower| follower.view()).map(|view| view.berths.len()).min();
    figure("follower_servers", held.unwrap_or_default() as f64);
}

//! Supervisors with their real choice of servers, some of them keepers, in virtual time; servers that fail as a test
//! says; a network that is slow, loses and is cut.

use fallgap_config::{Berth, Configuration, Limits, RouteClass, Service, View};
use fallgap_health::{Count, KINDS, Kind, LightWord, Lightlist, NodeId, Out, Roll, Stand, Terms};
use fallgap_routing::{Ended, Fleet, HealthState, Report, ServerKey, ServiceKey};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);
const CLASSES: [RouteClass; 3] = [RouteClass::Safe, RouteClass::Fragile, RouteClass::Outbound];

/// The part of its runs that fails: by time, server, node, zone, kind.
pub type Fault = fn(u64, usize, usize, usize, Kind) -> f64;

#[derive(Clone, Copy, PartialEq)]
pub enum Lie {
    AllFail,
    AllWell,
}

pub struct Plan {
    pub nodes: usize,
    pub zones: usize,
    pub servers: usize,
    /// Ops a second of each node.
    pub ops: f64,
    /// Verdicts are told; else each is alone with its own record.
    pub together: bool,
    pub fault: Fault,
    pub loss: f64,
    pub seed: u64,
}

enum Word {
    Report(Vec<Report>),
    Light(LightWord),
}

struct Node {
    zone: Arc<str>,
    fleet: Fleet,
    service: ServiceKey,
    keys: BTreeMap<Arc<str>, ServerKey>,
    lights: Option<Lightlist>,
    report: Duration,
    op: Duration,
}

struct Under {
    ends: Duration,
    node: usize,
    key: ServerKey,
    kind: Kind,
    how: Ended,
}

/// Runs and failures of a span, by kind.
pub type Tally = [Count; 3];

pub struct World {
    pub now: Duration,
    plan: Plan,
    rng: fastrand::Rng,
    nodes: Vec<Node>,
    under: Vec<Under>,
    words: BTreeMap<(Duration, u64), (usize, usize, Word)>,
    count: u64,
    roll: Servers,
    pub lies: BTreeMap<usize, Lie>,
    pub cut: BTreeSet<usize>,
    pub tally: Tally,
    pub bytes: usize,
    pub notes: Vec<String>,
    /// Orders that went to a server while it was barred or on trial for orders where they came in.
    pub odd_orders: usize,
    lives: Vec<usize>,
}

struct Servers(BTreeMap<Arc<str>, u32>);

impl Roll for Servers {
    fn berth(&self, server: &str) -> Option<(Arc<str>, u32)> {
        Some(("s".into(), *self.0.get(server)?))
    }
    fn strength(&self, _: &str) -> u32 {
        self.0.values().sum()
    }
}

fn address(i: usize) -> NodeId {
    NodeId::new(10, 0, (i / 200) as u8, (i % 200) as u8 + 1)
}

impl World {
    pub fn new(plan: Plan) -> World {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let keepers: Vec<NodeId> = (0..plan.zones).map(address).collect();
        let lives = vec![0; plan.servers];
        let mut nodes = Vec::new();
        for i in 0..plan.nodes {
            let zone: Arc<str> = format!("z{}", i % plan.zones).into();
            let mut fleet = Fleet::new(zone.clone(), fallgap_routing::Terms::default(), rng.u64(..));
            fleet.supervisors(i, plan.nodes);
            fleet.view(&view(&lives, plan.zones));
            let service = fleet.sorted(&[("s".into(), 1.0)]).unwrap();
            let lights = (i < plan.zones).then(|| {
                let mut lights = Lightlist::new(Duration::ZERO, address(i), Terms::default());
                lights.keepers(keepers.clone());
                lights
            });
            let report = MS * rng.u32(0..1000);
            let op = MS * rng.u32(0..200);
            nodes.push(Node { zone, fleet, service, keys: BTreeMap::new(), lights, report, op });
        }
        let mut world = World {
            now: Duration::ZERO,
            plan,
            rng,
            nodes,
            under: Vec::new(),
            words: BTreeMap::new(),
            count: 0,
            roll: Servers(BTreeMap::new()),
            lies: BTreeMap::new(),
            cut: BTreeSet::new(),
            tally: Tally::default(),
            bytes: 0,
            notes: Vec::new(),
            odd_orders: 0,
            lives,
        };
        world.servers_changed();
        world
    }

    fn servers_changed(&mut self) {
        let view = view(&self.lives, self.plan.zones);
        self.roll.0 = view.berths.iter().map(|berth| (berth.id.clone(), berth.slots)).collect();
        self.nodes.iter_mut().for_each(|node| _ = node.fleet.view(&view));
    }

    /// Another life of a server, at its address.
    pub fn renew(&mut self, server: usize) {
        self.lives[server] += 1;
        self.servers_changed();
    }

    pub fn id(&self, server: usize) -> String {
        id(server, self.lives[server])
    }

    pub fn run(&mut self, until_ms: u64) {
        while self.now < MS * until_ms as u32 {
            self.now += MS * 5;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let (over, under) = std::mem::take(&mut self.under).into_iter().partition(|one| one.ends <= now);
        self.under = under;
        for one in over {
            let Under { node, key, kind, how, .. } = one;
            self.nodes[node].fleet.ended(now, key, CLASSES[kind as usize], how);
            self.tally[kind as usize].run(how == Ended::Failed);
        }
        while let Some(entry) = self.words.first_entry().filter(|entry| entry.key().0 <= now) {
            let (from, to, word) = entry.remove();
            self.hear(from, to, word);
        }
        for i in 0..self.nodes.len() {
            while self.nodes[i].op <= now {
                self.op(i);
                let gap = self.rng.f64() * 2.0 / self.plan.ops;
                self.nodes[i].op += Duration::from_secs_f64(gap);
            }
            let urgent = self.nodes[i].fleet.failure().is_some_and(|at| now >= at + MS * 250);
            if urgent || self.nodes[i].report <= now {
                self.nodes[i].report = now + MS * 1000;
                self.report(i);
            }
            let node = &mut self.nodes[i];
            let Some(lights) = &mut node.lights else { continue };
            if lights.next_wake().is_some_and(|at| at <= now) {
                lights.woke(now, &self.roll);
            }
            let outs = lights.take_out();
            for out in outs {
                self.carry(i, out);
            }
        }
    }

    fn carry(&mut self, i: usize, out: Out) {
        match out {
            Out::Keeper(to, word) => {
                let to = (0..self.plan.zones).find(|i| address(*i) == to).unwrap();
                self.say(i, to, Word::Light(word));
            }
            Out::Followers(word) if self.plan.together => {
                for to in (i..self.nodes.len()).step_by(self.plan.zones) {
                    self.say(i, to, Word::Light(word.clone()));
                }
            }
            Out::Followers(_) => {}
            Out::Note(line) => self.notes.push(line),
        }
    }

    fn say(&mut self, from: usize, to: usize, word: Word) {
        let away = self.cut.contains(&from) != self.cut.contains(&to);
        if from != to && (away || self.rng.f64() < self.plan.loss) {
            return;
        }
        if let Word::Light(LightWord::Told(told) | LightWord::Decided(told)) = &word {
            self.bytes += 4 + told.iter().map(|verdict| 18 + verdict.server.len()).sum::<usize>();
        }
        let takes = if from == to { Duration::ZERO } else { MS * self.rng.u32(1..9) };
        self.count += 1;
        self.words.insert((self.now + takes, self.count), (from, to, word));
    }

    fn hear(&mut self, from: usize, to: usize, word: Word) {
        let now = self.now;
        let zone = self.nodes[from].zone.clone();
        match word {
            Word::Light(LightWord::Told(told)) => self.nodes[to].fleet.verdicts(now, &told),
            Word::Light(word) => {
                self.nodes[to].lights.iter_mut().for_each(|l| l.heard(now, address(from), word.clone()));
            }
            Word::Report(reports) => {
                let counts = reports.iter().map(|report| (&report.server, &report.kinds));
                if let Some(lights) = &mut self.nodes[to].lights {
                    lights.reported(now, address(from), &zone, counts);
                }
            }
        }
    }

    fn report(&mut self, i: usize) {
        let mut reports = self.nodes[i].fleet.reports(self.now);
        match self.lies.get(&i) {
            Some(Lie::AllFail) => {
                let lie = |count: &mut Count| *count = Count { runs: 1000, failed: 1000 };
                // More than it may be believed on, and few servers a time, so that it does not look cut off.
                reports.truncate(3);
                reports.iter_mut().flat_map(|report| &mut report.kinds).for_each(lie);
            }
            Some(Lie::AllWell) => {
                let lie = |count: &mut Count| *count = Count { runs: 1000, failed: 0 };
                reports.iter_mut().flat_map(|report| &mut report.kinds).for_each(lie);
            }
            None => {}
        }
        if !reports.is_empty() {
            self.say(i, i % self.plan.zones, Word::Report(reports));
        }
    }

    fn op(&mut self, i: usize) {
        let now = self.now;
        let drawn = self.rng.f64();
        let kind = KINDS[usize::from(drawn > 0.6) + usize::from(drawn > 0.9)];
        let class = CLASSES[kind as usize];
        let node = &mut self.nodes[i];
        let Some(key) = node.fleet.pick(now, node.service, class, MS * 250, &[]) else { return };
        let server = node.fleet.server(key).unwrap().id.clone();
        node.keys.insert(server.clone(), key);
        node.fleet.began(now, key);
        let stand = node.fleet.book().stand(now, &server, kind);
        self.odd_orders += usize::from(kind == Kind::Order && stand >= Stand::Trial);
        let (number, life) = server.split_once('.').unwrap();
        let number: usize = number.parse().unwrap();
        let ill = if life == "0" {
            (self.plan.fault)(now.as_millis() as u64, number, i, i % self.plan.zones, kind)
        } else {
            0.0
        };
        let ill = if self.cut.contains(&i) { 1.0 } else { ill };
        let fails = self.rng.f64() < ill;
        let took = MS * self.rng.u32(40..90);
        let how = if fails { Ended::Failed } else { Ended::Good(took) };
        self.under.push(Under { ends: now + took, node: i, key, kind, how });
    }

    /// How many nodes hold the server at that stand or a more careful one.
    pub fn hold(&self, server: usize, kind: Kind, stand: Stand) -> usize {
        let id = self.id(server);
        let held = |node: &&Node| node.fleet.book().stand(self.now, &id, kind) >= stand;
        self.nodes.iter().filter(held).count()
    }

    /// How many nodes avoid it by their own record alone.
    pub fn avoid(&self, server: usize) -> usize {
        let id = self.id(server);
        let avoids = |node: &&Node| {
            let server = node.keys.get(&*id).and_then(|key| node.fleet.server(*key));
            server.is_some_and(|server| matches!(server.health().state(), HealthState::Avoided { .. }))
        };
        self.nodes.iter().filter(avoids).count()
    }
}

fn id(server: usize, life: usize) -> String {
    format!("{server}.{life}")
}

fn view(lives: &[usize], zones: usize) -> View {
    let berth = |(i, life): (usize, &usize)| Berth {
        id: id(i, *life).into(),
        service: "s".into(),
        address: format!("10.1.{}.{}:80", i / 200, i % 200).parse().unwrap(),
        zone: format!("z{}", i % zones).into(),
        slots: 3,
        weight: 1.0,
    };
    let services = vec![Service { name: "s".into(), health_path: "/".into(), line_cap: 130, dedupes: false }];
    let limits = Limits { header_bytes: 1, body_bytes: 1, header: MS, idle: MS };
    let configuration = Arc::new(Configuration {
        edition: 1,
        routes: vec![],
        services,
        limits,
        customers: None,
        licences: None,
    });
    View { configuration, berths: lives.iter().enumerate().map(berth).collect() }
}

//! The servers that ops go to: who is there, how each did, and the pick among them.

use crate::budget::Budget;
use crate::gate::Gate;
use crate::health::{Health, HealthEvent};
use crate::server::{Ended, Report, Server, moved};
use crate::terms::Terms;
use crate::why::Why;
use fallgap_config::{Berth, RouteClass, View, spread};
use fallgap_health::{Book, Kind, Verdict};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

new_key_type! {
    pub struct ServerKey;
    pub struct ServiceKey;
}

struct Service {
    name: Arc<str>,
    servers: Vec<ServerKey>,
    /// Those of them that this supervisor keeps to.
    held: Vec<ServerKey>,
    line_cap: u32,
    budget: Budget,
    gate: Gate,
    typical: f64,
    /// The part of requests of late that met silence.
    mute: f64,
}

pub struct Fleet {
    terms: Terms,
    zone: Arc<str>,
    /// How many supervisors there are, and the own place in the order that all know.
    supervisors: usize,
    place: usize,
    services: SlotMap<ServiceKey, Service>,
    by_name: BTreeMap<Arc<str>, ServiceKey>,
    servers: SlotMap<ServerKey, Server>,
    by_id: BTreeMap<(Arc<str>, SocketAddrV4), ServerKey>,
    book: Book,
    /// When stands that all were told of change next by themselves.
    eases: Option<Duration>,
    /// The first failure since the last report.
    failure: Option<Duration>,
    rng: fastrand::Rng,
}

/// Silent for so many times the usual time, a server is ill, and not slow.
const SILENT: f64 = 3.0;
/// How much one request moves the part of those that are mute, and the part from which on that says nothing of one
/// server.
const MUTE_MOVES: f64 = 0.03;
const MUTE: f64 = 0.15;
/// How many are drawn for a pick.
const DRAWN: usize = 3;

impl Fleet {
    pub fn new(zone: Arc<str>, terms: Terms, seed: u64) -> Fleet {
        Fleet {
            terms,
            zone,
            supervisors: 1,
            place: 0,
            services: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            servers: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            book: Book::default(),
            eases: None,
            failure: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// `place`: the own one among `count`, in an order that all of them share.
    pub fn supervisors(&mut self, place: usize, count: usize) {
        if (place, count) != (self.place, self.supervisors) {
            (self.place, self.supervisors) = (place, count);
            self.deal();
        }
    }

    /// Each supervisor keeps to a stretch of the servers, in an order that all share: it meets them often enough to
    /// have a connection at rest and to know how they do, and each server is met by equally many.
    fn deal(&mut self) {
        let (servers, terms) = (&self.servers, &self.terms);
        for service in self.services.values_mut() {
            let count = service.servers.len();
            let shared = (count * terms.met_by).div_ceil(self.supervisors.max(1));
            let held = shared.max(terms.held).min(count);
            service.servers.sort_by_key(|key| servers.get(*key).map(|server| (server.order, server.address)));
            let start = self.place * count / self.supervisors.max(1);
            let round = service.servers.iter().cycle().skip(start);
            service.held = round.take(held).copied().collect();
        }
    }

    /// Takes the view over. Gives the servers that are there no longer.
    pub fn view(&mut self, view: &View) -> Vec<(ServerKey, Arc<str>)> {
        self.services.values_mut().for_each(|service| service.servers.clear());
        for service in &view.configuration.services {
            let key = self.service_named(&service.name);
            if let Some(held) = self.services.get_mut(key) {
                held.line_cap = service.line_cap;
            }
        }
        // Stands of new servers, too, are looked up at the next choice.
        self.eases = (!self.book.is_empty()).then_some(Duration::ZERO);
        let mut here = BTreeSet::new();
        for berth in &view.berths {
            here.insert(self.berth(berth));
        }
        let gone: Vec<ServerKey> = self.servers.keys().filter(|key| !here.contains(key)).collect();
        let mut names = Vec::with_capacity(gone.len());
        for key in gone {
            if let Some(server) = self.servers.remove(key) {
                self.by_id.remove(&(server.id.clone(), server.address));
                names.push((key, server.id));
            }
        }
        self.deal();
        names
    }

    fn service_named(&mut self, name: &Arc<str>) -> ServiceKey {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let terms = &self.terms;
        let key = self.services.insert(Service {
            name: name.clone(),
            servers: Vec::new(),
            held: Vec::new(),
            line_cap: 64,
            budget: Budget::new(terms.retry_ratio, terms.retry_slack, terms.retry_window),
            gate: Gate::default(),
            typical: 0.0,
            mute: 0.0,
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    fn berth(&mut self, berth: &Berth) -> ServerKey {
        let service = self.service_named(&berth.service);
        let near = berth.zone == self.zone;
        let name = (berth.id.clone(), berth.address);
        let key = match self.by_id.get(&name) {
            Some(key) => *key,
            None => {
                let server = Server {
                    id: berth.id.clone(),
                    address: berth.address,
                    service,
                    near,
                    order: spread(berth.id.bytes()),
                    slots: berth.slots.max(1),
                    weight: 1.0,
                    health: Health::new(&self.terms),
                    at_work: 0,
                    typical: 0.0,
                    kinds: Default::default(),
                    stands: Default::default(),
                    good: 0,
                    good_s: 0.0,
                };
                let key = self.servers.insert(server);
                self.by_id.insert(name, key);
                key
            }
        };
        if let Some(server) = self.servers.get_mut(key) {
            server.service = service;
            server.near = near;
            server.slots = berth.slots.max(1);
            server.weight = if berth.weight.is_finite() { berth.weight.max(0.01) } else { 1.0 };
        }
        if let Some(held) = self.services.get_mut(service) {
            held.servers.push(key);
        }
        key
    }

    pub fn server(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// One of the services, by their shares; one with servers, if there is such.
    pub fn sorted(&mut self, sorting: &[(Arc<str>, f64)]) -> Option<ServiceKey> {
        let named = sorting.iter().filter(|(_, share)| *share > 0.0);
        let known = named.filter_map(|(name, share)| Some((*self.by_name.get(name)?, *share)));
        let mut known: Vec<(ServiceKey, f64)> = known.collect();
        let served = |key| self.services.get(key).is_some_and(|service| !service.servers.is_empty());
        if known.iter().any(|(key, _)| served(*key)) {
            known.retain(|(key, _)| served(*key));
        }
        let sum: f64 = known.iter().map(|(_, share)| share).sum();
        let mut drawn = self.rng.f64() * sum;
        let chosen = known.iter().find(|(_, share)| {
            drawn -= share;
            drawn < 0.0
        });
        chosen.or(known.last()).map(|(key, _)| *key)
    }

    /// A request for a service has come. `false`: it is to be refused at once.
    pub fn arrives(&mut self, now: Duration, service: ServiceKey, below: u8) -> bool {
        let drawn = self.rng.f64();
        self.services.get_mut(service).is_some_and(|service| {
            service.budget.first(now);
            service.gate.lets_in(now, below, drawn)
        })
    }

    pub fn budget_allows(&mut self, now: Duration, service: ServiceKey, part: f64) -> bool {
        let supervisors = self.supervisors;
        self.services.get_mut(service).is_some_and(|service| service.budget.allows(now, supervisors, part))
    }

    /// A request leaves for a server. `extra`: it is not the first time.
    pub fn sends(&mut self, now: Duration, service: ServiceKey, extra: bool) {
        if let Some(service) = self.services.get_mut(service) {
            service.gate.sent();
            if extra {
                service.budget.spend(now);
            }
        }
    }

    /// Own share of the connections that a server takes.
    pub fn lines_most(&self, service: ServiceKey) -> usize {
        let cap = self.services.get(service).map_or(0, |service| service.line_cap as usize);
        (cap / self.supervisors.max(1)).max(2)
    }

    /// When a second server is asked if the first is silent: none while that would only add to the load.
    pub fn hedge_after(&self, service: ServiceKey, target: Duration) -> Option<Duration> {
        let service = self.services.get(service)?;
        let latest = target.mul_f64(self.terms.hedge_part);
        let usual = Duration::from_secs_f64((service.typical * 3.0).clamp(0.0, 3600.0));
        (!service.gate.is_pressed() && service.typical * 1.5 < latest.as_secs_f64())
            .then(|| latest.min(usual.max(target / 2)))
    }

    /// The server for a request: among those with room, one that is not avoided, if there is such. A large answer
    /// comes from the own zone as long as that has a free server that answers well within the target. `skip`:
    /// servers that it was at, or that have no connection left.
    pub fn pick(
        &mut self, now: Duration, service: ServiceKey, class: RouteClass, target: Duration,
        skip: &[ServerKey],
    ) -> Option<ServerKey> {
        self.ease(now);
        let asked = self.services.get(service)?;
        let mut open = with_room(&self.servers, &self.terms, now, &asked.held, class, skip);
        // Where half of one's own are out, or are full, the others help.
        if open.len() * 2 < asked.held.len() && asked.held.len() < asked.servers.len() {
            open = with_room(&self.servers, &self.terms, now, &asked.servers, class, skip);
        }
        if class == RouteClass::Outbound {
            let most = target.as_secs_f64() * self.terms.own_zone_large;
            let serves =
                |server: &Server| server.near && server.at_work < server.slots && server.typical <= most;
            if open.iter().any(|(_, server)| serves(server)) {
                open.retain(|(_, server)| serves(server));
            }
        }
        let pull = self.terms.own_zone;
        // The weight tells of the slots already: it comes from them.
        let share = |server: &Server| {
            server.weight
                * server.part(class, &self.terms).max(f64::MIN_POSITIVE)
                * if server.near { pull } else { 1.0 }
        };
        let sum: f64 = open.iter().map(|(_, server)| share(server)).sum();
        let mut best: Option<(f64, ServerKey)> = None;
        for _ in 0..DRAWN.min(open.len()) {
            let mut drawn = self.rng.f64() * sum;
            let mut chosen = None;
            for (key, server) in &open {
                chosen = Some((load(server, asked.typical), *key));
                drawn -= share(server);
                if drawn < 0.0 {
                    break;
                }
            }
            best = match (best, chosen) {
                (Some(best), Some(chosen)) if best.0 <= chosen.0 => Some(best),
                (best, chosen) => chosen.or(best),
            };
        }
        best.map(|(_, key)| key)
    }

    /// Why there is no server to pick.
    pub fn nowhere(&self, service: ServiceKey) -> Why {
        let there = self.services.get(service).is_some_and(|service| !service.servers.is_empty());
        if there { Why::NoRoom } else { Why::NoServer }
    }

    /// A request goes to a server.
    pub fn began(&mut self, now: Duration, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.at_work += 1;
            server.health.happened(now, HealthEvent::Asked, &self.terms);
        }
    }

    /// A request at a server ended.
    pub fn ended(&mut self, now: Duration, key: ServerKey, class: RouteClass, how: Ended) {
        let Some(server) = self.servers.get_mut(key) else { return };
        server.at_work = server.at_work.saturating_sub(1);
        let event = match how {
            Ended::Good(_) | Ended::Shed => HealthEvent::Answered,
            Ended::Failed | Ended::TooLong | Ended::Silent(_) => HealthEvent::Failed,
            Ended::Unreached | Ended::Hung => HealthEvent::Unreached,
            Ended::Other => HealthEvent::Other,
            Ended::Void => HealthEvent::Void,
        };
        server.health.happened(now, event, &self.terms);
        let usual = self.services.get(server.service).map_or(0.0, |service| service.typical);
        let usual = usual.max(server.typical);
        let mute = matches!(how, Ended::Silent(_) | Ended::Hung);
        // With many servers mute at a time it is one's own link or load that is.
        let own = self.services.get_mut(server.service).is_none_or(|service| {
            if how != Ended::Void {
                service.mute += (f64::from(u8::from(mute)) - service.mute) * MUTE_MOVES;
            }
            service.mute > MUTE
        });
        let (counts, failed) = match how {
            Ended::Void => (false, false),
            Ended::Good(_) | Ended::Shed => (true, false),
            Ended::Silent(_) | Ended::Hung if own => (false, false),
            // A slow answer that was not waited for speaks against nobody.
            Ended::Silent(waited) if usual == 0.0 || waited.as_secs_f64() < usual * SILENT => (false, false),
            Ended::Failed | Ended::TooLong | Ended::Silent(_) => (true, true),
            Ended::Unreached | Ended::Hung | Ended::Other => (true, true),
        };
        if counts {
            server.kinds[Kind::from(class) as usize].run(failed);
        }
        if failed {
            self.failure.get_or_insert(now);
        }
        let service = self.services.get_mut(server.service);
        match how {
            Ended::Good(took) => {
                let took = took.as_secs_f64();
                server.good += 1;
                server.good_s += took;
                moved(&mut server.typical, took);
                if let Some(service) = service {
                    moved(&mut service.typical, took);
                }
            }
            Ended::Shed => {
                if let Some(service) = service {
                    service.gate.shed();
                }
            }
            Ended::Failed | Ended::TooLong | Ended::Silent(_) => {}
            Ended::Unreached | Ended::Hung | Ended::Other | Ended::Void => {}
        }
    }

    /// What was seen since the last call, of servers that were asked.
    pub fn reports(&mut self, now: Duration) -> Vec<Report> {
        self.failure = None;
        if !self.book.expire(now, &self.terms.lights).is_empty() {
            self.eases = Some(now);
        }
        let mut reports = Vec::new();
        for key in self.by_id.values() {
            let Some(server) =
                self.servers.get_mut(*key).filter(|server| server.kinds.iter().any(|count| count.runs > 0))
            else {
                continue;
            };
            reports.push(Report {
                server: server.id.clone(),
                kinds: std::mem::take(&mut server.kinds),
                good_ms: (std::mem::take(&mut server.good_s) * 1e3
                    / f64::from(std::mem::take(&mut server.good).max(1))) as f32,
            });
        }
        reports
    }

    /// A server by its name and address, for those who look.
    pub fn named(&self, id: &Arc<str>, address: SocketAddrV4) -> Option<&Server> {
        self.servers.get(*self.by_id.get(&(id.clone(), address))?)
    }

    pub fn service_name(&self, service: ServiceKey) -> Option<&Arc<str>> {
        self.services.get(service).map(|service| &service.name)
    }

    /// Since when there is a failure that was not reported.
    pub fn failure(&self) -> Option<Duration> {
        self.failure
    }

    /// Verdicts on servers, as all supervisors are told them.
    pub fn verdicts(&mut self, now: Duration, verdicts: &[Verdict]) {
        if !self.book.told(now, verdicts, &self.terms.lights).is_empty() {
            self.eases = Some(now);
        }
    }

    /// What it was told of servers.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Stands of which the moment has come.
    fn ease(&mut self, now: Duration) {
        if self.eases.is_none_or(|at| now < at) {
            return;
        }
        for server in self.servers.values_mut() {
            server.stands = self.book.stands(now, &server.id);
        }
        self.eases = self.book.next_ease(now);
    }

    /// Names of services with a count of their servers, for those who look.
    pub fn services(&self) -> impl Iterator<Item = (&str, usize)> {
        self.by_name.values().filter_map(|key| self.services.get(*key)).map(|s| (&*s.name, s.servers.len()))
    }
}

/// Those of these servers that may be asked: well ones if there are such.
fn with_room<'a>(
    servers: &'a SlotMap<ServerKey, Server>, terms: &Terms, now: Duration, of: &[ServerKey],
    class: RouteClass, skip: &[ServerKey],
) -> Vec<(ServerKey, &'a Server)> {
    let there = of.iter().filter(|key| !skip.contains(key));
    let there = there.filter_map(|key| Some((*key, servers.get(*key)?)));
    let room =
        |server: &Server| server.at_work < server.slots + terms.beyond_slots && !server.health.is_gone();
    let mut open: Vec<(ServerKey, &Server)> = there.filter(|(_, server)| room(server)).collect();
    let again = class.may_run_again();
    if open.iter().any(|(_, server)| server.health.is_open(now, again)) {
        open.retain(|(_, server)| server.health.is_open(now, again));
    }
    if open.iter().any(|(_, server)| server.part(class, terms) > 0.0) {
        open.retain(|(_, server)| server.part(class, terms) > 0.0);
    }
    open
}

/// How long a request would take there, roughly, next to others.
fn load(server: &Server, typical: f64) -> f64 {
    let slow = if server.typical > 0.0 && typical > 0.0 { server.typical / typical } else { 1.0 };
    let zone = if server.near { 1.0 } else { 1.1 };
    f64::from(server.at_work + 1) / server.weight * slow.clamp(0.5, 3.0) * zone
}

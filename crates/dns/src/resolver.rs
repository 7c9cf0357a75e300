//! The state machine: what is followed, what is asked of whom, and what comes of each answer.

use crate::addresses::{Addresses, Family};
use crate::lookup::{Ask, Failure, For, Pending};
use crate::message::{self, Kind, Over, Question, Records, Said};
use crate::pace::{self, Pace};
use crate::peers::Peers;
use crate::terms::{Asking, Lifetimes};
use hickory_proto::rr::Name;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Messages that are no answer to a try before it is given up for a new one, from a new port.
const MOST_ODD: u32 = 8;
const MOST_ALIASES: usize = 8;

/// A service that is followed, as [`Resolver::follow`] gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Followed(u64);

/// A query on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Asked(u64);

/// What the resolver acts through.
pub trait Wire {
    /// Sends a query from a port of its own, and hears what comes there until it is over.
    fn datagram(&mut self, asked: Asked, to: SocketAddr, query: Vec<u8>);
    /// Sends a query, its length in front, over a connection of its own, and hears one message.
    fn stream(&mut self, asked: Asked, to: SocketAddr, query: Vec<u8>);
    /// Nothing more is wanted of this query.
    fn over(&mut self, asked: Asked);
    fn answered(&mut self, service: Followed, answer: Answer);
    /// `again`: when the service is asked for next.
    fn failed(&mut self, service: Followed, why: Failure, again: Duration);
}

/// One SRV record with the addresses of its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    pub priority: u16,
    pub weight: u16,
    pub port: u16,
    /// In lower case, without the final dot.
    pub target: String,
    /// None known, or none asked for: empty.
    pub addresses: Vec<IpAddr>,
}

/// All records of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// None: the service is decidedly not offered (RFC 2782).
    pub rows: Vec<Row>,
    /// No part of the answer can be older than this.
    pub oldest: Duration,
    /// As told, in seconds, and what is left of it, held within the bounds.
    pub told: u32,
    pub lifetime: Duration,
    pub by: SocketAddr,
    pub over: Over,
    pub tries: usize,
}

/// What was sent and met so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub over_udp: u64,
    pub over_tcp: u64,
    pub answers: u64,
    pub timed_out: u64,
    /// Under another id, to another question, from elsewhere, or too late.
    pub not_ours: u64,
    pub unreadable: u64,
    pub failed: u64,
}

struct Service {
    name: Name,
    /// Its targets' addresses are wanted.
    addresses: bool,
    failures: u32,
    /// The longest lifetime that was ever told, in seconds: a cache may have held an answer for so long.
    longest: u32,
    asking: bool,
    pending: Option<Pending>,
    due: Duration,
}

pub struct Resolver<W> {
    pub wire: W,
    asking: Asking,
    lifetimes: Lifetimes,
    peers: Peers,
    pace: Pace,
    addresses: Addresses,
    rng: fastrand::Rng,
    services: BTreeMap<u64, Service>,
    /// Sent and not over.
    asks: BTreeMap<u64, Ask>,
    waiting: VecDeque<Ask>,
    count: u64,
    /// When a try is over, and when a service is due.
    ends: BTreeSet<(Duration, u64)>,
    dues: BTreeSet<(Duration, u64)>,
    /// When the pace lets the next query leave.
    paced: Option<Duration>,
    counts: Counts,
}

impl<W: Wire> Resolver<W> {
    /// `seed`: for ids of queries and for when to ask again.
    pub fn start(wire: W, servers: &[SocketAddr], asking: Asking, lifetimes: Lifetimes, seed: u64) -> Self {
        Resolver {
            wire,
            asking,
            lifetimes,
            peers: Peers::new(servers),
            pace: Pace::of(asking.a_second),
            addresses: Addresses::within(asking.records.saturating_mul(2)),
            rng: fastrand::Rng::with_seed(seed),
            services: BTreeMap::new(),
            asks: BTreeMap::new(),
            waiting: VecDeque::new(),
            count: 0,
            ends: BTreeSet::new(),
            dues: BTreeSet::new(),
            paced: None,
            counts: Counts::default(),
        }
    }

    /// Asks for a service's records now, and again before they run out, for ever. `None`: no domain name.
    pub fn follow(&mut self, now: Duration, name: &str, addresses: bool) -> Option<Followed> {
        let mut name = Name::from_ascii(name).ok()?;
        name.set_fqdn(true);
        self.count += 1;
        let service =
            Service { name, addresses, failures: 0, longest: 0, asking: false, pending: None, due: now };
        self.services.insert(self.count, service);
        self.dues.insert((now, self.count));
        let followed = Followed(self.count);
        self.woke(now);
        Some(followed)
    }

    pub fn unfollow(&mut self, followed: Followed) {
        if let Some(service) = self.services.remove(&followed.0) {
            self.dues.remove(&(service.due, followed.0));
        }
        let theirs: Vec<u64> =
            self.asks.iter().filter(|(_, a)| a.service == followed.0).map(|a| *a.0).collect();
        theirs.into_iter().for_each(|asked| _ = self.end(asked));
        self.waiting.retain(|ask| ask.service != followed.0);
    }

    /// A service is due at that time, if not before.
    pub fn ask_again(&mut self, followed: Followed, at: Duration) {
        if self.services.get(&followed.0).is_some_and(|service| !service.asking && at < service.due) {
            self.due(followed.0, at);
        }
    }

    /// A datagram came to the port of a query.
    pub fn heard_datagram(&mut self, now: Duration, Asked(asked): Asked, from: SocketAddr, bytes: &[u8]) {
        let Some(ask) = self.asks.get(&asked) else {
            self.counts.not_ours += 1;
            return;
        };
        if ask.over != Over::Udp || self.peers.at(ask.peer) != from {
            self.odd(now, asked, false);
        } else if message::oversize(bytes.len()) {
            self.odd(now, asked, true);
        } else {
            self.heard(now, asked, bytes);
        }
        self.send(now);
    }

    /// A whole message came over the connection of a query.
    pub fn heard_message(&mut self, now: Duration, Asked(asked): Asked, bytes: &[u8]) {
        if self.asks.get(&asked).is_some_and(|ask| ask.over == Over::Tcp) {
            self.heard(now, asked, bytes);
        }
        self.send(now);
    }

    /// A query could not be sent, or its connection broke.
    pub fn broke(&mut self, now: Duration, Asked(asked): Asked, why: String) {
        if let Some(ask) = self.end(asked) {
            self.try_again(now, ask, Failure::Broken(why), true);
        }
        self.send(now);
    }

    /// Does what is due.
    pub fn woke(&mut self, now: Duration) {
        while let Some((_, asked)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.counts.timed_out += 1;
            match self.end(asked) {
                Some(ask) => self.try_again(now, ask, Failure::TimedOut, true),
                None => _ = self.ends.pop_first(),
            }
        }
        while let Some((at, id)) = self.dues.first().copied().filter(|(at, _)| *at <= now) {
            self.dues.remove(&(at, id));
            if let Some(service) = self.services.get_mut(&id).filter(|service| !service.asking) {
                service.asking = true;
                let question = Question { name: service.name.clone(), kind: Kind::Srv };
                self.waiting.push_back(Ask::new(id, For::Service, question));
            }
        }
        self.send(now);
    }

    /// When to call [`woke`](Resolver::woke) next.
    pub fn next_wake(&self) -> Option<Duration> {
        let first = |set: &BTreeSet<(Duration, u64)>| set.first().map(|(at, _)| *at);
        [first(&self.ends), first(&self.dues), self.paced].into_iter().flatten().min()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Addresses held, and queries on their way or waiting.
    pub fn held(&self) -> (usize, usize) {
        (self.addresses.len(), self.asks.len() + self.waiting.len())
    }

    fn due(&mut self, id: u64, at: Duration) {
        if let Some(service) = self.services.get_mut(&id) {
            self.dues.remove(&(service.due, id));
            service.due = at;
            self.dues.insert((at, id));
        }
    }

    /// Lets go of a query that was sent.
    fn end(&mut self, asked: u64) -> Option<Ask> {
        let mut ask = self.asks.remove(&asked)?;
        if let Some(until) = ask.until.take() {
            self.ends.remove(&(until, asked));
        }
        self.wire.over(Asked(asked));
        Some(ask)
    }

    /// Sends what waits, as far as there is room and the pace allows.
    fn send(&mut self, now: Duration) {
        self.paced = None;
        while !self.waiting.is_empty() && self.asks.len() < self.asking.in_flight {
            if let Err(next) = self.pace.leave(now) {
                self.paced = Some(next);
                return;
            }
            if let Some(ask) = self.waiting.pop_front() {
                self.send_one(now, ask);
            }
        }
    }

    fn send_one(&mut self, now: Duration, mut ask: Ask) {
        if ask.over == Over::Udp {
            ask.peer = self.peers.next(&ask.tried).unwrap_or_default();
        }
        ask.edns = self.peers.takes_edns(ask.peer);
        ask.tried.push(ask.peer);
        (ask.id, ask.odd) = (self.rng.u16(..), 0);
        ask.first = ask.first.or(Some(now));
        let until = now + self.asking.within;
        ask.until = Some(until);
        self.count += 1;
        let (asked, to) = (Asked(self.count), self.peers.at(ask.peer));
        let query = message::query(ask.id, &ask.question, ask.edns);
        self.ends.insert((until, self.count));
        let over = ask.over;
        self.asks.insert(self.count, ask);
        match (over, message::framed(&query)) {
            (Over::Tcp, Some(framed)) => {
                self.counts.over_tcp += 1;
                self.wire.stream(asked, to, framed);
            }
            _ => {
                self.counts.over_udp += 1;
                self.wire.datagram(asked, to, query);
            }
        }
    }

    /// Something came that is no answer: the answer may still come, unless there was too much of it.
    fn odd(&mut self, now: Duration, asked: u64, unreadable: bool) {
        let count = if unreadable { &mut self.counts.unreadable } else { &mut self.counts.not_ours };
        *count += 1;
        let Some(ask) = self.asks.get_mut(&asked) else { return };
        ask.odd += 1;
        if ask.odd >= MOST_ODD
            && let Some(ask) = self.end(asked)
        {
            self.try_again(now, ask, Failure::Odd, false);
        }
    }

    fn heard(&mut self, now: Duration, asked: u64, bytes: &[u8]) {
        let Some(ask) = self.asks.get(&asked) else { return };
        let said = message::read(bytes, ask.id, &ask.question, ask.over, self.asking.records);
        // Over a connection there is no second message to wait for.
        let said = match said {
            Said::NotOurs(_) if ask.over == Over::Tcp => Said::Unusable("a spoilt message"),
            said => said,
        };
        if let Said::NotOurs(unreadable) = said {
            return self.odd(now, asked, unreadable);
        }
        let Some(mut ask) = self.end(asked) else { return };
        match said {
            Said::Truncated if ask.tried.len() < self.asking.tries => {
                ask.over = Over::Tcp;
                self.waiting.push_front(ask);
            }
            Said::Truncated => self.give_up(now, ask, Failure::Unusable("truncated answers")),
            Said::NoEdns if ask.edns => {
                // The same one again: this happens once to each server.
                self.peers.refuses_edns(ask.peer);
                ask.tried.pop();
                self.waiting.push_front(ask);
            }
            Said::NoEdns => self.try_again(now, ask, Failure::Unusable("an error code"), true),
            Said::Unusable(why) => self.try_again(now, ask, Failure::Unusable(why), true),
            Said::TooLarge(count) => self.give_up(now, ask, Failure::TooLarge(count)),
            Said::Nothing { no_name, lifetime } => {
                self.peers.answered(now, ask.peer);
                self.nothing(now, ask, no_name, lifetime);
            }
            Said::Elsewhere(_) if ask.aliases >= MOST_ALIASES => {
                self.give_up(now, ask, Failure::Unusable("a longer chain of aliases than is followed"));
            }
            Said::Elsewhere(name) => {
                self.peers.answered(now, ask.peer);
                let question = Question { name, kind: ask.question.kind };
                let next = Ask {
                    wanted_name: ask.wanted_name,
                    aliases: ask.aliases + 1,
                    ..Ask::new(ask.service, ask.wanted, question)
                };
                self.waiting.push_front(next);
            }
            Said::Records(records) => {
                self.counts.answers += 1;
                self.peers.answered(now, ask.peer);
                self.records(now, ask, records);
            }
            Said::NotOurs(_) => {}
        }
    }

    /// The same question to the next server in turn, if it may be tried again.
    fn try_again(&mut self, now: Duration, mut ask: Ask, why: Failure, blame: bool) {
        if blame {
            self.peers.failed(now, ask.peer);
        }
        if ask.tried.len() >= self.asking.tries {
            return self.give_up(now, ask, why);
        }
        ask.over = Over::Udp;
        self.waiting.push_front(ask);
    }

    fn give_up(&mut self, now: Duration, ask: Ask, why: Failure) {
        match ask.wanted {
            For::Service => self.service_failed(now, ask.service, why, None),
            // What is known of the target stays.
            For::Target => self.target_settled(now, ask.service),
        }
    }

    fn nothing(&mut self, now: Duration, ask: Ask, no_name: bool, lifetime: Option<u32>) {
        let lifetime = self.lifetimes.negative(lifetime);
        match (ask.wanted, ask.question.kind) {
            (For::Target, Kind::Address(family)) => {
                self.addresses.told(&ask.wanted_name, family, Vec::new(), now + lifetime);
                self.target_settled(now, ask.service);
            }
            _ => {
                let why = if no_name { Failure::NoName } else { Failure::NoRecords };
                self.service_failed(now, ask.service, why, Some(lifetime));
            }
        }
    }

    fn service_failed(&mut self, now: Duration, id: u64, why: Failure, lifetime: Option<Duration>) {
        let drawn = self.rng.f64();
        let Some(service) = self.services.get_mut(&id) else { return };
        (service.asking, service.pending) = (false, None);
        service.failures += 1;
        self.counts.failed += 1;
        let pause = match lifetime {
            Some(lifetime) => pace::refresh(lifetime, drawn),
            None => pace::pause(self.asking.pause, service.failures, drawn),
        };
        self.due(id, now + pause);
        self.wire.failed(Followed(id), why, now + pause);
    }

    fn records(&mut self, now: Duration, ask: Ask, records: Records) {
        if let Kind::Address(family) = ask.question.kind {
            let until = now + self.lifetimes.held(records.lifetime);
            self.addresses.told(&ask.wanted_name, family, records.addresses, until);
            return self.target_settled(now, ask.service);
        }
        let Some(service) = self.services.get_mut(&ask.service) else { return };
        let told = if records.lifetime > i32::MAX as u32 { 0 } else { records.lifetime };
        service.longest = service.longest.max(told);
        let targets: BTreeSet<&Name> = records.services.iter().map(|srv| &srv.target).collect();
        let mut open = Vec::new();
        if service.addresses {
            let came: BTreeSet<&Name> = records.along.iter().map(|(name, _, _)| name).collect();
            for name in &came {
                let theirs = || records.along.iter().filter(|(of, _, _)| of == *name);
                let shortest = theirs().map(|(_, _, ttl)| *ttl).min().unwrap_or_default();
                let until = now + self.lifetimes.held(shortest);
                let (v4, v6): (Vec<IpAddr>, Vec<IpAddr>) =
                    theirs().map(|(_, at, _)| *at).partition(IpAddr::is_ipv4);
                self.addresses.told(name, Family::V4, v4, until);
                self.addresses.told(name, Family::V6, v6, until);
            }
            for target in targets.into_iter().filter(|target| !came.contains(target)) {
                let wants = [Family::V4, Family::V6].map(|f| (f, self.addresses.wants(now, target, f)));
                for (family, _) in wants.into_iter().filter(|(_, wanted)| *wanted) {
                    let question = Question { name: target.clone(), kind: Kind::Address(family) };
                    open.push(Ask::new(ask.service, For::Target, question));
                }
            }
        }
        service.pending = Some(Pending {
            told,
            asked: ask.first.unwrap_or(now),
            heard: now,
            authoritative: records.authoritative,
            by: self.peers.at(ask.peer),
            over: ask.over,
            tries: ask.tried.len(),
            open: open.len(),
            records: records.services,
        });
        let none = open.is_empty();
        self.waiting.extend(open);
        if none {
            self.deliver(now, ask.service);
        }
    }

    fn target_settled(&mut self, now: Duration, id: u64) {
        let pending = self.services.get_mut(&id).and_then(|service| service.pending.as_mut());
        if let Some(pending) = pending {
            pending.open -= 1;
            if pending.open == 0 {
                self.deliver(now, id);
            }
        }
    }

    fn deliver(&mut self, now: Duration, id: u64) {
        let drawn = self.rng.f64();
        let Some(service) = self.services.get_mut(&id) else { return };
        let Some(pending) = service.pending.take() else { return };
        (service.asking, service.failures) = (false, 0);
        let mut until = pending.heard + self.lifetimes.held(pending.told);
        let mut rows = Vec::with_capacity(pending.records.len());
        for srv in pending.records {
            let (addresses, ends) = match service.addresses {
                true => self.addresses.of(&srv.target),
                false => (Vec::new(), None),
            };
            until = until.min(ends.unwrap_or(until));
            let target = srv.target.to_ascii().trim_end_matches('.').to_owned();
            let (priority, weight, port) = (srv.priority, srv.weight, srv.port);
            rows.push(Row { priority, weight, port, target, addresses });
        }
        // Out of a cache it may be as old as the part of the longest lifetime that is over already.
        let aged = if pending.authoritative { 0 } else { service.longest - pending.told };
        let oldest = pending.asked.saturating_sub(Duration::from_secs(aged.into()));
        let again = until.saturating_sub(now).max(self.lifetimes.least);
        self.due(id, now + pace::refresh(again, drawn));
        let (told, by, over, tries) = (pending.told, pending.by, pending.over, pending.tries);
        let lifetime = (pending.heard + self.lifetimes.held(told)).saturating_sub(now);
        self.wire.answered(Followed(id), Answer { rows, oldest, told, lifetime, by, over, tries });
    }
}

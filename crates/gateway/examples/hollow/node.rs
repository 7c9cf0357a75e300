//! One hollow supervisor: the program's own beacon and links, a follower that is hollow (one in some twenty is real),
//! and nothing behind them. It hands on beats of servers that are not there, and tells its home of work that nobody
//! did.

use crate::echo::Echo;
use fallgap_config::Beat;
use fallgap_control_state::Key;
use fallgap_feed::wire::Told;
use fallgap_gateway::links::{Links, Terms as LinkTerms};
use fallgap_gateway::words::Word;
use fallgap_health::Count;
use fallgap_membership::{Beacon, Card, Out as BeaconOut, State};
use fallgap_registry::{Follower, FollowerOut, RosterWord, ServerReport, Terms};
use mio::event::Event;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Of a node's tokens the first is its datagrams'; its links have the rest.
pub const TOKENS: usize = 1 << 20;
/// Who is there is looked at anew at most so often.
const LOOK: Duration = Duration::from_millis(100);
/// One follower of so many is real.
const REAL: usize = 37;
/// Longer tables are not packed again to be counted.
const LONG: usize = 100 << 10;

/// What passed between this node and others, since it was last asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub out_words: u64,
    pub out_bytes: u64,
    pub in_words: u64,
    pub in_bytes: u64,
    pub wholes: u64,
    pub whole_bytes: u64,
    pub deltas: u64,
    pub delta_bytes: u64,
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub datagram_bytes_out: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.out_words += other.out_words;
        self.out_bytes += other.out_bytes;
        self.in_words += other.in_words;
        self.in_bytes += other.in_bytes;
        self.wholes += other.wholes;
        self.whole_bytes += other.whole_bytes;
        self.deltas += other.deltas;
        self.delta_bytes += other.delta_bytes;
        self.datagrams_in += other.datagrams_in;
        self.datagrams_out += other.datagrams_out;
        self.datagram_bytes_out += other.datagram_bytes_out;
    }
}

/// A server that is not there, as its beats tell of it.
pub fn beat(i: usize, zones: usize, services: usize, postmark: u64) -> Beat {
    let ip = Ipv4Addr::new(127, 200, (i / 250) as u8, (i % 250) as u8);
    Beat {
        id: format!("{:012x}-{i:05}", fastrand::Rng::with_seed(i as u64).u64(..) >> 16).into(),
        address: SocketAddrV4::new(ip, 8080),
        service: format!("service-{:03}", i % services).into(),
        edition: "v1".into(),
        zone: format!("zone-{}", i % zones).into(),
        slots: 4,
        closing: false,
        postmark,
        cold: Duration::ZERO,
    }
}

#[derive(Clone)]
pub struct Plan {
    pub port: u16,
    pub seeds: Vec<Ipv4Addr>,
    pub zones: usize,
    pub services: usize,
}

pub enum Follows {
    Real(Box<Follower>),
    Echo(Box<Echo>),
}

pub struct Node {
    pub me: Ipv4Addr,
    plan: Plan,
    zone: Arc<str>,
    first: usize,
    datagrams: UdpSocket,
    links: Links,
    beacon: Beacon,
    pub follows: Follows,
    terms: Terms,
    looks: Option<Duration>,
    looked: Duration,
    slow: Duration,
    keepers: Vec<Ipv4Addr>,
    /// Servers that beat here, and when the next one does.
    servers: Vec<usize>,
    turn: usize,
    next_beat: Duration,
    postmark: u64,
    /// Servers told of in each second, of so many.
    pub reports: (usize, usize),
    next_report: Duration,
    own: VecDeque<(Ipv4Addr, Word)>,
    heard: Vec<(Ipv4Addr, Word)>,
    pub counts: Counts,
    pub edition: u64,
    /// Servers that a real one knows.
    pub known: Option<usize>,
    rng: fastrand::Rng,
}

/// Bytes of a word's frame. Of a table that is told whole about a third: to pack it again would cost more than all
/// else here.
fn length(word: &Word) -> u64 {
    match word {
        Word::Roster(RosterWord::Told(line)) if line.len() > LONG => line.len() as u64 / 3,
        word => word.frame().map_or(0, |frame| frame.len() as u64),
    }
}

impl Node {
    /// # Errors
    /// Its address cannot be listened at.
    pub fn start(
        registry: &Registry, now: Duration, at: usize, me: Ipv4Addr, zone: usize, plan: Plan,
        rng: &mut fastrand::Rng,
    ) -> io::Result<Node> {
        let first = (at + 1) * TOKENS;
        let mut datagrams = UdpSocket::bind(SocketAddr::V4(SocketAddrV4::new(me, plan.port)))?;
        registry.register(&mut datagrams, Token(first), Interest::READABLE)?;
        let links = Links::open(registry, me, plan.port, first + 1, LinkTerms::default())?;
        let zone: Arc<str> = format!("zone-{zone}").into();
        let life = rng.u64(1..);
        let card = Card { node: me, zone: zone.clone(), disk: None, life, leaving: false, sequence: 0 };
        let terms = fallgap_membership::Terms::default();
        let beacon = Beacon::start(now, rng.u64(..), card, plan.seeds.clone(), terms);
        let terms = Terms::default();
        Ok(Node {
            me,
            zone,
            first,
            datagrams,
            links,
            beacon,
            follows: if at.is_multiple_of(REAL) {
                Follows::Real(Box::new(Follower::start(now, rng.u64(..), me, terms)))
            } else {
                Follows::Echo(Box::new(Echo::start(now, me, terms)))
            },
            terms,
            looks: None,
            looked: Duration::ZERO,
            slow: now + SECOND.mul_f64(rng.f64()),
            keepers: Vec::new(),
            servers: Vec::new(),
            turn: 0,
            next_beat: Duration::MAX,
            postmark: 0,
            reports: (0, 0),
            next_report: now + SECOND.mul_f64(rng.f64()),
            own: VecDeque::new(),
            heard: Vec::new(),
            counts: Counts::default(),
            edition: 0,
            known: None,
            rng: rng.fork(),
            plan,
        })
    }

    pub fn age(&self, now: Duration) -> Option<Duration> {
        match &self.follows {
            Follows::Real(follower) => follower.age(now),
            Follows::Echo(echo) => echo.age(now),
        }
    }

    pub fn beats(&mut self, now: Duration, servers: Vec<usize>) {
        self.next_beat =
            if servers.is_empty() { Duration::MAX } else { now + SECOND.mul_f64(self.rng.f64()) };
        self.servers = servers;
        // Above those of the life before this one.
        self.postmark = self.postmark.max(now.as_millis() as u64);
    }

    pub fn next_wake(&self) -> Duration {
        let looks = self.looks.map(|at| at.max(self.looked + LOOK));
        let own = [self.beacon.next_wake(), self.slow, self.next_beat, self.next_report];
        let follows = match &self.follows {
            Follows::Real(follower) => follower.next_wake(),
            Follows::Echo(echo) => Some(echo.next_wake()),
        };
        let rest = [looks, follows].into_iter().flatten();
        own.into_iter().chain(rest).min().unwrap_or(self.slow)
    }

    pub fn event(&mut self, now: Duration, registry: &Registry, event: &Event, buffer: &mut [u8]) {
        if event.token().0 == self.first {
            while let Ok((n, SocketAddr::V4(from))) = self.datagrams.recv_from(buffer) {
                self.counts.datagrams_in += 1;
                if let Some(Ok(message)) = buffer.get(..n).map(postcard::from_bytes) {
                    self.links.met(now, registry, *from.ip());
                    self.beacon.heard(now, *from.ip(), message);
                }
            }
        } else if self.links.owns(event.token().0) {
            let mut heard = std::mem::take(&mut self.heard);
            self.links.event(now, registry, event);
            while self.links.has_work() {
                self.links.work(now, registry, &mut heard);
            }
            heard.drain(..).for_each(|(from, word)| self.hears(now, from, word));
            self.heard = heard;
            for peer in self.links.take_broken() {
                match &mut self.follows {
                    Follows::Real(follower) => follower.unreached(now, peer),
                    Follows::Echo(echo) => echo.unreached(now, peer),
                }
            }
        }
    }

    fn hears(&mut self, now: Duration, from: Ipv4Addr, word: Word) {
        self.beacon.met(now, from);
        let bytes = length(&word);
        self.counts.in_words += 1;
        self.counts.in_bytes += bytes;
        match word {
            Word::Roster(RosterWord::Told(line)) => {
                let whole = match &mut self.follows {
                    Follows::Echo(echo) => echo.told(now, from, &line),
                    Follows::Real(follower) => {
                        let Ok(told) = RosterWord::read_told(&line, &self.terms) else { return };
                        let whole = matches!(told, Told::Whole(_));
                        let table = whole || matches!(told, Told::Delta(_));
                        follower.told(now, from, told);
                        table.then_some(whole)
                    }
                };
                match whole {
                    Some(true) => {
                        self.counts.wholes += 1;
                        self.counts.whole_bytes += bytes;
                    }
                    Some(false) => {
                        self.counts.deltas += 1;
                        self.counts.delta_bytes += bytes;
                    }
                    None => {}
                }
            }
            Word::Roster(RosterWord::Unfit) => match &mut self.follows {
                Follows::Real(follower) => follower.unfit(now, from),
                Follows::Echo(echo) => echo.unfit(now, from),
            },
            Word::Roster(RosterWord::Fit) => match &mut self.follows {
                Follows::Real(follower) => follower.fit(now, from),
                Follows::Echo(echo) => echo.fit(now, from),
            },
            Word::Heed { id, .. } => self.own.push_back((from, Word::Heeded { id, in_force: true })),
            _ => {}
        }
    }

    pub fn woke(&mut self, now: Duration, registry: &Registry) {
        if self.beacon.next_wake() <= now {
            self.beacon.woke(now);
        }
        match &mut self.follows {
            Follows::Real(follower) if follower.next_wake().is_some_and(|at| at <= now) => follower.woke(now),
            Follows::Echo(echo) if echo.next_wake() <= now => echo.woke(now),
            _ => {}
        }
        if now >= self.slow {
            self.slow = now + SECOND / 2;
            self.links.woke(now, registry);
        }
        if self.looks.is_some() && now >= self.looked + LOOK {
            (self.looks, self.looked) = (None, now);
            self.look(now);
        }
        while now >= self.next_beat {
            self.postmark += 1;
            if let Some(server) = self.servers.get(self.turn % self.servers.len().max(1)) {
                let beat = beat(*server, self.plan.zones, self.plan.services, self.postmark);
                let word = |beat: &Beat| Word::Beat { id: 0, beat: beat.clone() };
                self.own.extend(self.keepers.iter().map(|keeper| (*keeper, word(&beat))));
            }
            self.turn += 1;
            self.next_beat += MS.mul_f64(1500.0 / self.servers.len().max(1) as f64);
        }
        if now >= self.next_report {
            self.next_report = now + SECOND;
            self.report();
        }
    }

    fn report(&mut self) {
        let (rows, servers) = self.reports;
        let home = match &self.follows {
            Follows::Real(follower) => follower.home(),
            Follows::Echo(echo) => echo.home(),
        };
        let Some(home) = home.filter(|_| rows > 0 && servers > 0) else { return };
        let row = |_| {
            let at = self.rng.usize(..servers);
            // How long answers take differs by server, and from time to time.
            let usual = 14.0 + 12.0 * fastrand::Rng::with_seed(at as u64).f32();
            let server = beat(at, self.plan.zones, self.plan.services, 0).id;
            let kinds = [Count { runs: 1, failed: 0 }, Count::default(), Count::default()];
            ServerReport { server, kinds, good_ms: usual * (0.8 + 0.4 * self.rng.f32()) }
        };
        let reports = (0..rows).map(row).collect();
        self.own.push_back((home, Word::Roster(RosterWord::Report(reports))));
    }

    /// Who is there has changed: keepers, and in which order they are homes, as the program puts them.
    fn look(&mut self, now: Duration) {
        let here = |p: &&fallgap_membership::Peer| {
            p.state == State::Here && p.card.disk.is_some() && !p.card.leaving
        };
        let near = |p: &fallgap_membership::Peer| p.card.zone == self.zone;
        let keepers: Vec<(Ipv4Addr, bool)> =
            self.beacon.peers().filter(here).map(|p| (p.card.node, near(p))).collect();
        self.keepers = keepers.iter().map(|(node, _)| *node).collect();
        let Key::Number(name) = Key::Number(self.me.to_string()) else { return };
        let hash = |node: &Ipv4Addr| {
            fallgap_config::spread([2u8].into_iter().chain(name.bytes()).chain(node.octets()))
        };
        let mut homes = keepers;
        homes.sort_by_key(|(node, near)| (!near, std::cmp::Reverse(hash(node))));
        let homes = homes.into_iter().map(|(node, _)| node).collect();
        match &mut self.follows {
            Follows::Real(follower) => follower.homes(now, homes),
            Follows::Echo(echo) => echo.homes(now, homes),
        }
    }

    /// Sends what the parts have to say; tells whether there was anything.
    pub fn carry(&mut self, now: Duration, registry: &Registry) {
        for out in self.beacon.take() {
            match out {
                BeaconOut::Send(to, message) => {
                    if let Ok(bytes) = postcard::to_stdvec(&message) {
                        self.counts.datagrams_out += 1;
                        self.counts.datagram_bytes_out += bytes.len() as u64;
                        let to = SocketAddr::V4(SocketAddrV4::new(to, self.plan.port));
                        let _ = self.datagrams.send_to(&bytes, to);
                    }
                }
                BeaconOut::Changed => self.looks = Some(now),
                BeaconOut::Note(_) => {}
            }
        }
        match &mut self.follows {
            Follows::Echo(echo) => {
                self.edition = echo.edition;
                self.own.extend(echo.out.drain(..).map(|(to, word)| (to, Word::Roster(word))));
            }
            Follows::Real(follower) => {
                for out in follower.take() {
                    let (to, word) = match out {
                        FollowerOut::Join(to, said) => (to, RosterWord::join(&said)),
                        FollowerOut::Say(to, said) => (to, RosterWord::said(&said)),
                        FollowerOut::WantLease(home, question) => (home, RosterWord::LeaseWanted(question)),
                        FollowerOut::Leave(home) => (home, RosterWord::Leave),
                        FollowerOut::NewView(view) => {
                            self.edition = view.configuration.edition;
                            self.known = Some(view.berths.len());
                            continue;
                        }
                        FollowerOut::Note(_) => continue,
                    };
                    self.own.push_back((to, Word::Roster(word)));
                }
            }
        }
        while let Some((to, word)) = self.own.pop_front() {
            self.counts.out_words += 1;
            self.counts.out_bytes += length(&word);
            self.links.say(now, registry, to, &word);
        }
        self.links.flush(now, registry);
    }
}

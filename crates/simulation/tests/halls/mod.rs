//! Whole supervisors in virtual time, as the program wires them: beacon, keeper, home and follower on each machine, over
//! links that keep order and can be cut in one direction, by silence or by resets.

mod content;
pub mod servers;
mod time;

use content::configuration;
pub use content::put;
use fallgap_config::Beat;
use fallgap_control_state::charter::{Charter, Member};
use fallgap_control_state::messages::Record;
use fallgap_control_state::{Answer, Call, Keeper, Kept, Key, Me, Message, NodeId, Out, Peer, subjects};
use fallgap_membership as beacon;
use fallgap_registry::{
    Closings, Distribution, Fit, Fitness, Follower, FollowerOut, Ground, Registry, RosterWord,
};
use fallgap_routing::Lease;
use fallgap_simulation::history::History;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub const MS: Duration = Duration::from_millis(1);
/// As the program has it: two thirds of `touch_s`.
pub const YOUNG: Duration = Duration::from_millis(2000);
const READ_AGAIN: Duration = Duration::from_millis(150);

pub fn node(n: u8) -> NodeId {
    NodeId::new(10, 0, 0, n)
}

#[derive(Clone)]
enum Word {
    Keeper(Message),
    Roster(RosterWord),
    Beacon(beacon::Message),
    Beat(u64, Beat),
    /// It knows, and who it takes to be followed.
    BeatTaken(u64, Vec<NodeId>),
    /// The end of a server is to be on a majority of disks, for the asker's closing of that number; and it is.
    KeepEnd(u64, String),
    EndKept(u64),
    /// A connection is reset: what was said on it is lost.
    Reset,
}

enum Event {
    Word(NodeId, NodeId, u64, Word),
    Synced(NodeId, u64),
    Start(u8),
}

pub struct Home {
    pub distribution: Distribution,
    fitness: Fitness,
    pub fit: Fit,
    pub edition: u64,
    pub revision: u64,
    read_at: Duration,
    pub registry: Registry,
    /// Since when it is out of contact, and whether it was in contact in this life.
    out: Option<Duration>,
    met: bool,
}

pub struct Machine {
    pub keeper: Keeper,
    pub home: Option<Home>,
    pub follower: Follower,
    beacon: beacon::Beacon,
    life: u64,
    started: Duration,
    /// What this life shows, of the operator and of offices, and whether it may answer for these.
    pub edition: u64,
    pub revision: u64,
    lease: Lease,
    closings: Closings,
    /// Servers that this life routes to.
    pub routes: BTreeSet<Arc<str>>,
    loose: Vec<(u64, Vec<u8>)>,
    syncing: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Silent,
    Reset,
}

/// A mechanism that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    /// A home goes on feeding its followers, fit or not, and they stay.
    Fitness,
    /// A home does not wait for a read at a majority, once it is in contact with one.
    Read,
    /// A home that serves what it remembers does not say so.
    Unconfirmed,
    /// A majority's word is enough for a server's end.
    Followed,
    /// What was held while out of contact is not doubted.
    Doubt,
    /// A follower that was without a home's word for long uses what it held without end.
    Missed,
    /// An end is in the memory of keepers alone.
    KeptEnds,
}

pub struct Halls {
    pub without: &'static [Without],
    pub now: Duration,
    pub rng: fastrand::Rng,
    pub disks: u8,
    nodes: u8,
    pub machines: BTreeMap<NodeId, Machine>,
    /// What is on disks, and what they remember besides.
    kept: BTreeMap<NodeId, Vec<Vec<u8>>>,
    pub remembered: BTreeMap<NodeId, (u64, u64)>,
    /// Nothing gets through from the first to the second.
    pub cuts: BTreeSet<(NodeId, NodeId)>,
    pub how: How,
    net: BTreeMap<(Duration, u64), Event>,
    last: BTreeMap<(NodeId, NodeId), Duration>,
    sequence: u64,
    pub history: History,
    /// Editions that were acknowledged, and when.
    pub acked: Vec<(Duration, u64)>,
    /// Revisions of accounts that were kept, and when.
    pub kept_revisions: Vec<(Duration, u64)>,
    pub words: usize,
    /// How long syncs of disks take, in milliseconds.
    pub sync_ms: std::ops::Range<u32>,
    /// Whom beats do not reach, and until when.
    pub deaf: Option<(NodeId, Duration)>,
    /// The end of a server was acknowledged.
    pub acknowledged: bool,
    /// Calls that put ends on a majority of disks: whom to tell, for which closing.
    ends: BTreeMap<u64, (NodeId, u64)>,
}

impl Halls {
    /// The first `disks` machines are members of the first epoch; the others have no disk.
    pub fn new(seed: u64, disks: u8, plain: u8) -> Halls {
        let mut rng = fastrand::Rng::with_seed(seed);
        let members = (1..=disks).map(|n| Member { node: node(n), disk: rng.u64(1..), joined: 1 });
        let members: Vec<Member> = members.collect();
        let mut kept = BTreeMap::new();
        for member in &members {
            let charter = Charter { number: 1, members: members.clone(), grown: false };
            let records = [Record::Disk { number: member.disk, first: true }, Record::Epoch(charter)];
            let records = records.iter().map(|r| postcard::to_stdvec(r).expect("a record"));
            kept.insert(member.node, records.collect());
        }
        let mut halls = Halls {
            without: &[],
            now: 1000 * MS,
            rng,
            disks,
            nodes: disks + plain,
            machines: BTreeMap::new(),
            kept,
            remembered: BTreeMap::new(),
            cuts: BTreeSet::new(),
            how: How::Silent,
            net: BTreeMap::new(),
            last: BTreeMap::new(),
            sequence: 0,
            history: History::default(),
            acked: Vec::new(),
            kept_revisions: Vec::new(),
            words: 0,
            sync_ms: 4..9,
            deaf: None,
            acknowledged: false,
            ends: BTreeMap::new(),
        };
        for n in 1..=disks + plain {
            let at = halls.now + MS * halls.rng.u32(0..300);
            halls.event(at, Event::Start(n));
        }
        halls
    }

    fn lacks(&self, mechanism: Without) -> bool {
        self.without.contains(&mechanism)
    }

    fn event(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.net.insert((at, self.sequence), event);
    }

    pub fn start(&mut self, n: u8) {
        let (me, now, life) = (node(n), self.now, self.rng.u64(1..));
        let disk = (n <= self.disks).then(|| self.rng.u64(1..));
        let seeds: Vec<NodeId> = (1..=3).map(node).collect();
        let records = self.kept.get(&me).cloned().unwrap_or_default();
        let who = Me {
            node: me,
            disk,
            life,
            first_start: false,
            empty: records.is_empty(),
            seeds: seeds.clone(),
            tolerate: 1,
        };
        let seed = self.rng.u64(..);
        let keeper =
            Keeper::start(now, seed, who, Kept { records }, Default::default()).expect("what is kept");
        let card = beacon::Card {
            node: me,
            zone: "hall".into(),
            disk: keeper.disk(),
            life,
            leaving: false,
            sequence: 0,
        };
        let beacon = beacon::Beacon::start(now, self.rng.u64(..), card, seeds, beacon::Terms::default());
        let home = disk.map(|_| {
            let mut distribution = Distribution::start(now, self.rng.u64(..), Default::default());
            let (edition, revision) = self.remembered.get(&me).copied().unwrap_or_default();
            if edition > 0 {
                distribution.set_configuration(now, configuration(edition, revision));
            }
            let fitness = Fitness::start(now + YOUNG);
            let mut registry = Registry::start(now, self.rng.u64(..), Default::default());
            registry.await_ends();
            Home {
                distribution,
                fitness,
                fit: Fit::No,
                edition,
                revision,
                read_at: now,
                registry,
                out: None,
                met: false,
            }
        });
        let mut terms = fallgap_registry::Terms::default();
        if self.lacks(Without::Missed) {
            terms.missed = Duration::MAX;
        }
        let follower = Follower::start(now, self.rng.u64(..), me, terms);
        let machine = Machine {
            keeper,
            home,
            follower,
            beacon,
            life,
            started: now,
            edition: 0,
            revision: 0,
            lease: Lease::default(),
            closings: Closings::new(self.rng.u64(1..1 << 62)),
            routes: BTreeSet::new(),
            loose: Vec::new(),
            syncing: false,
        };
        self.machines.insert(me, machine);
        self.seen(me);
        self.carry(me);
    }

    /// A process ends, and what is under way to it is lost; it starts again later.
    pub fn restart(&mut self, n: u8, after: Duration) {
        self.machines.remove(&node(n));
        self.event(self.now + after, Event::Start(n));
    }

    /// From these to those, nothing gets through any more.
    pub fn cut(&mut self, from: &[NodeId], to: &[NodeId]) {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(|b| (*a, *b))).filter(|(a, b)| a != b) {
            self.cuts.insert((a, b));
        }
        if self.how == How::Reset {
            for (a, b) in self.cuts.clone() {
                // Both ends hear of it; what is under way between them is gone.
                self.net.retain(
                    |_, e| !matches!(e, Event::Word(f, t, ..) if (*f, *t) == (a, b) || (*f, *t) == (b, a)),
                );
                for (from, to) in [(a, b), (b, a)] {
                    let life = self.life(to);
                    self.event(self.now + MS, Event::Word(from, to, life, Word::Reset));
                }
            }
        }
    }

    fn life(&self, node: NodeId) -> u64 {
        self.machines.get(&node).map_or(0, |machine| machine.life)
    }

    fn send(&mut self, from: NodeId, to: NodeId, word: Word) {
        self.words += 1;
        let (mut at, life) = (self.now + Duration::from_micros(self.rng.u64(800..2500)), self.life(to));
        if from == to {
            at = self.now;
        } else if self.cuts.contains(&(from, to)) {
            if self.how == How::Reset {
                let life = self.life(from);
                self.event(at, Event::Word(to, from, life, Word::Reset));
            }
            return;
        }
        at = at.max(self.last.get(&(from, to)).copied().unwrap_or_default());
        self.last.insert((from, to), at);
        self.event(at, Event::Word(from, to, life, word));
    }

    /// Calls a machine's own keeper.
    pub fn call(&mut self, n: u8, id: u64, call: Call) {
        self.history.sent(id, self.now, call.clone());
        if let Some(machine) = self.machines.get_mut(&node(n)) {
            machine.keeper.call(self.now, id, call);
            self.carry(node(n));
        }
    }

    pub fn told(&self, id: u64) -> Option<Answer> {
        self.history.calls.get(&id)?.told.as_ref().map(|(_, answer)| answer.clone())
    }

    /// Who is there has changed, as a machine believes.
    fn seen(&mut self, me: NodeId) {
        let (now, disks) = (self.now, self.disks);
        let Some(machine) = self.machines.get_mut(&me) else { return };
        let here = |p: &&beacon::Peer| p.state == beacon::State::Here;
        let with_disk = machine.beacon.peers().filter(|p| p.card.disk.is_some());
        let peers: Vec<Peer> =
            with_disk.map(|p| Peer { node: p.card.node, disk: p.card.disk, here: here(&p) }).collect();
        machine.keeper.peers(now, &peers);
        if let Some(home) = &mut machine.home {
            home.registry.peers(now, peers.iter().filter(|p| p.here).map(|p| p.node).collect());
        }
        let mut homes: Vec<NodeId> = peers.iter().filter(|p| p.here).map(|p| p.node).collect();
        homes.extend(machine.home.is_some().then_some(me));
        // Its own first, then each machine another one.
        let place = |home: &NodeId| (home.octets()[3] + disks - me.octets()[3] % disks) % disks;
        homes.sort_by_key(|home| (*home != me, place(home)));
        machine.follower.homes(now, homes);
    }

    /// Takes what a machine's cores hand back, as the program does.
    fn carry(&mut self, me: NodeId) {
        let now = self.now;
        loop {
            let without = self.without;
            let Some(machine) = self.machines.get_mut(&me) else { return };
            if let Some(home) = &mut machine.home {
                let (contact, read) = (machine.keeper.in_contact(now), machine.keeper.read_since());
                let knows = home.distribution.has_configuration();
                let others = || machine.keeper.members().into_iter().filter(|node| *node != me).collect();
                home.contact(now, contact, others, without);
                let contact = contact && !home.registry.doubts();
                let ends_read = machine.keeper.ends_read_since();
                let unread = without.contains(&Without::Read).then_some(now);
                let (read, ends_read) = (unread.or(read), unread.or(ends_read));
                home.fit = home.fitness.judge(now, Ground { contact, read, ends_read, knows });
                let unconfirmed = home.fit == Fit::Serves && without.contains(&Without::Unconfirmed);
                let confirms = unconfirmed || without.contains(&Without::Fitness);
                let says = if confirms { Fit::Confirms } else { home.fit };
                home.distribution.stands(now, says);
                if contact && home.fit != Fit::Confirms && now >= home.read_at {
                    home.read_at = now + READ_AGAIN;
                    machine.keeper.read_anew(now);
                }
            }
            let beacons = machine.beacon.take();
            let keepers = machine.keeper.take();
            let homes = machine.home.as_mut().map(|home| home.distribution.take()).unwrap_or_default();
            let follows = machine.follower.take();
            let evens = machine.home.as_mut().map(|home| home.registry.take()).unwrap_or_default();
            if beacons.is_empty()
                && keepers.is_empty()
                && homes.is_empty()
                && follows.is_empty()
                && evens.is_empty()
            {
                break;
            }
            for out in beacons {
                match out {
                    beacon::Out::Send(to, message) => self.send(me, to, Word::Beacon(message)),
                    beacon::Out::Changed => self.seen(me),
                    beacon::Out::Note(_) => {}
                }
            }
            keepers.into_iter().for_each(|out| self.keeper_says(me, out));
            self.ends_are_read(me);
            for out in homes {
                let (to, word) = match out {
                    fallgap_registry::Out::Tell(to, told) => (to, RosterWord::told(&told)),
                    fallgap_registry::Out::Unfit(to) => (to, RosterWord::Unfit),
                    fallgap_registry::Out::Fit(to) => (to, RosterWord::Fit),
                    fallgap_registry::Out::Holders { to, id, holders, age } => {
                        (to, RosterWord::Holders { id, holders, age })
                    }
                    fallgap_registry::Out::Lease { to, question, knows } => {
                        let read = self.machines.get(&me).and_then(|machine| machine.keeper.read_since());
                        let Some(read) = read else { continue };
                        (to, RosterWord::Lease { question, knows, read_age: now.saturating_sub(read) })
                    }
                    fallgap_registry::Out::Note(_) => continue,
                };
                self.send(me, to, Word::Roster(word));
            }
            follows.into_iter().for_each(|out| self.follower_says(me, out));
            evens.into_iter().for_each(|(to, word)| self.send(me, to, Word::Roster(word)));
        }
        self.sync(me);
    }

    fn keeper_says(&mut self, me: NodeId, out: Out) {
        let now = self.now;
        match out {
            Out::Send(to, message) => self.send(me, to, Word::Keeper(message)),
            Out::Log { number, record } => {
                self.machines.get_mut(&me).into_iter().for_each(|m| m.loose.push((number, record.clone())));
            }
            Out::Answer(id, answer) if self.ends.contains_key(&id) => self.end_kept(me, id, &answer),
            Out::Answer(id, answer) => {
                let call = self.history.calls.get(&id).map(|told| told.call.clone());
                if let (Some(Call::ConfigPut { edition, .. }), Answer::Done) = (call, &answer) {
                    self.acked.push((now, edition));
                }
                if let Answer::Revision(revision) = answer
                    && matches!(self.history.calls.get(&id), Some(told) if told.call.key() == Key::Accounts)
                {
                    self.kept_revisions.push((now, revision));
                }
                self.history.told(id, now, answer);
            }
            Out::Committed { key: key @ (Key::Config | Key::Accounts), value } => {
                let number = subjects::config_edition(Some(&value)).expect("a number");
                let home = self.machines.get_mut(&me).and_then(|machine| machine.home.as_mut());
                let Some(home) = home else { return };
                let held = if key == Key::Config { &mut home.edition } else { &mut home.revision };
                if *held < number {
                    *held = number;
                    if home.edition > 0 {
                        home.distribution.set_configuration(now, configuration(home.edition, home.revision));
                    }
                    self.remembered.insert(me, (home.edition, home.revision));
                }
            }
            Out::Committed { key: Key::ServerEnds, value } => self.servers_ended(me, &value),
            Out::Committed { .. } | Out::Voted { .. } | Out::Note(_) => {}
        }
    }

    fn follower_says(&mut self, me: NodeId, out: FollowerOut) {
        match out {
            FollowerOut::Join(to, said) => self.send(me, to, Word::Roster(RosterWord::join(&said))),
            FollowerOut::Say(to, said) => self.send(me, to, Word::Roster(RosterWord::said(&said))),
            FollowerOut::WantLease(to, question) => {
                self.send(me, to, Word::Roster(RosterWord::LeaseWanted(question)));
            }
            FollowerOut::Leave(to) => self.send(me, to, Word::Roster(RosterWord::Leave)),
            FollowerOut::NewView(view) => {
                let machine = self.machines.get_mut(&me).expect("a machine that runs");
                let edition = view.configuration.edition;
                assert!(edition >= machine.edition, "{me} goes back to {edition} from {}", machine.edition);
                let revision = view.configuration.revision();
                assert!(
                    revision >= machine.revision,
                    "{me} goes back to {revision} from {}",
                    machine.revision
                );
                (machine.edition, machine.revision) = (edition, revision);
                machine.lease.holds(revision);
                machine.routes = view.berths.iter().map(|berth| berth.id.clone()).collect();
            }
            FollowerOut::Note(_) => {}
        }
    }

    fn sync(&mut self, me: NodeId) {
        let Some(machine) = self.machines.get_mut(&me) else { return };
        if !machine.syncing && !machine.loose.is_empty() {
            machine.syncing = true;
            let life = machine.life;
            let at = self.now + MS * self.rng.u32(self.sync_ms.clone());
            self.event(at, Event::Synced(me, life));
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Start(n) => self.start(n),
            Event::Synced(me, life) => {
                let Some(machine) = self.machines.get_mut(&me).filter(|m| m.life == life) else { return };
                machine.syncing = false;
                let last = machine.loose.last().map_or(0, |(number, _)| *number);
                let records = machine.loose.drain(..).map(|(_, record)| record);
                self.kept.entry(me).or_default().extend(records);
                machine.keeper.synced(now, last);
                self.carry(me);
            }
            Event::Word(from, to, life, word) => {
                let cut = from != to && self.cuts.contains(&(from, to));
                let Some(machine) = self.machines.get_mut(&to).filter(|m| m.life == life) else { return };
                match word {
                    Word::Reset => machine.follower.unreached(now, from),
                    _ if cut => {}
                    Word::Keeper(message) => {
                        machine.beacon.met(now, from);
                        machine.keeper.heard(now, from, message);
                    }
                    Word::Beacon(message) => machine.beacon.heard(now, from, message),
                    Word::Beat(id, beat) => return self.beaten(to, from, id, beat),
                    Word::BeatTaken(id, followed) => return self.taken(to, from, id, &followed),
                    Word::KeepEnd(id, server) => return self.keep_end(to, from, id, server),
                    Word::EndKept(id) => return self.kept_end(to, id),
                    Word::Roster(word) => {
                        machine.beacon.met(now, from);
                        servers::roster(now, machine, from, word);
                    }
                }
                self.carry(to);
            }
        }
    }
}

//! Keepers in virtual time: what is under way between machines, and when it happens.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fallgap_control_state::charter::{Charter, Member};
use fallgap_control_state::messages::Record;
use fallgap_control_state::{Answer, Call, Keeper, Kept, Key, Me, Message, NodeId, Out, Terms, Vote};

use crate::breach::{Check, hold};
pub use crate::machine::Machine;
pub use crate::network::Weather;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Bytes of one record that a store takes.
const RECORD: usize = 1 << 20;

pub fn node(n: u8) -> NodeId {
    NodeId::new(10, n % 3 + 1, 0, n)
}

/// What is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Event {
    Deliver { from: NodeId, to: NodeId, life: u64, message: Vec<u8> },
    Synced { node: NodeId, life: u64 },
    Start { node: NodeId },
    Thaw { node: NodeId },
    Mend,
}

/// A member's vote, as it reaches whoever attempts.
#[derive(Clone, Copy, Debug)]
pub struct Voted {
    pub member: NodeId,
    pub number: u64,
    pub epoch: u64,
    pub quorum: u32,
    pub vote: Vote,
}

#[derive(Clone)]
pub struct Sea {
    pub now: Duration,
    pub rng: fastrand::Rng,
    pub machines: BTreeMap<NodeId, Machine>,
    pub events: BTreeMap<(Duration, u64), Event>,
    pub(crate) sequence: u64,
    pub weather: Weather,
    pub tolerate: u32,
    /// What all machines are told of others when they start.
    pub seeds: Vec<NodeId>,
    /// Links that carry nothing: from, to.
    pub dead_links: BTreeSet<(NodeId, NodeId)>,
    /// What callers were told: id, time, answer.
    pub answers: Vec<(u64, Duration, Answer)>,
    /// Calls under way: id to machine and life.
    pub(crate) asked: BTreeMap<u64, (NodeId, u64)>,
    pub(crate) beacon_at: Duration,
    pub(crate) epochs: BTreeMap<u64, Vec<NodeId>>,
    /// Each epoch that was ever written, lost again or not.
    pub(crate) charters: BTreeMap<u64, Charter>,
    pub terms: Terms,
    /// A disk that holds more records takes a snapshot.
    pub snapshot_after: usize,
    pub notes: bool,
    pub records: usize,
    pub messages: usize,
    /// Votes on attempts: at whom they came, from whom, and what they say.
    pub votes: Vec<(NodeId, Voted)>,
    /// The system has not been founded yet.
    pub first: bool,
    /// Steady clocks run faster or slower than the sea's by so many parts in a million at most.
    pub drift_ppm: u32,
}

impl Sea {
    pub fn new(seed: u64, disks: u8, plain: u8) -> Sea {
        let mut sea = Sea {
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            machines: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            weather: Weather::default(),
            tolerate: 1,
            seeds: (1..=disks + plain).rev().take(3).map(node).collect(),
            dead_links: BTreeSet::new(),
            answers: Vec::new(),
            asked: BTreeMap::new(),
            beacon_at: Duration::ZERO,
            epochs: BTreeMap::new(),
            charters: BTreeMap::new(),
            terms: Terms::default(),
            snapshot_after: 600,
            notes: std::env::var("SEA_NOTES").is_ok(),
            records: 0,
            messages: 0,
            votes: Vec::new(),
            first: true,
            drift_ppm: 0,
        };
        for n in 1..=disks + plain {
            sea.add(node(n), n <= disks);
        }
        sea
    }

    /// A system that was founded before: all disk machines are members of the first epoch, and hold nothing.
    pub fn founded(seed: u64, disks: u8, plain: u8) -> Sea {
        let mut sea = Sea::new(seed, disks, plain);
        sea.first = false;
        sea.machines.values_mut().for_each(|machine| machine.first = false);
        let nodes = (1..=disks).map(node);
        let mut members: Vec<Member> =
            nodes.map(|node| Member { node, disk: sea.rng.u64(1..), joined: 1 }).collect();
        members.sort();
        for member in &members {
            let charter = Charter { number: 1, members: members.clone(), grown: false };
            let records = [Record::Disk { number: member.disk, first: true }, Record::Epoch(charter)];
            if let Some(machine) = sea.machines.get_mut(&member.node) {
                machine.kept = records.iter().filter_map(|r| postcard::to_stdvec(r).ok()).collect();
            }
        }
        sea
    }

    pub fn add(&mut self, node: NodeId, disk: bool) {
        self.machines.insert(
            node,
            Machine {
                keeper: None,
                disk,
                kept: Vec::new(),
                loose: Vec::new(),
                life: 0,
                first: self.first,
                forgot: false,
                ahead: Duration::ZERO,
                set: Duration::ZERO,
                rate_ppm: 0,
                frozen: false,
                syncing: false,
                slow_until: Duration::ZERO,
                disk_times: None,
                since: Duration::ZERO,
                down_since: self.now,
                side: 0,
                shown: BTreeMap::new(),
            },
        );
        let at = self.now + ms(self.rng.u64(0..200));
        self.event(at, Event::Start { node });
    }

    pub(crate) fn event(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn start(&mut self, node: NodeId) {
        let (seed, life, drawn, ahead) =
            (self.rng.u64(..), self.rng.u64(..), self.rng.u64(..), ms(self.rng.u64(0..100_000)));
        // Not of the sea's dice, so that all else is the same with drift and without. One machine keeps its clock.
        let most = i32::try_from(self.drift_ppm).unwrap_or(0);
        let rate_ppm = fastrand::Rng::with_seed(u64::from(u32::from(node))).i32(-most..=most);
        let Some(machine) = self.machines.get_mut(&node) else { return };
        machine.rate_ppm = rate_ppm;
        let me = Me {
            node,
            disk: machine.disk.then_some(drawn),
            life,
            first_start: machine.first && machine.life == 0,
            empty: machine.kept.is_empty(),
            seeds: self.seeds.clone(),
            tolerate: self.tolerate,
        };
        machine.forgot |= !me.first_start && machine.epoch_kept().is_none();
        let kept = Kept { records: machine.kept.clone() };
        machine.life = life;
        machine.ahead = ahead;
        machine.set = Duration::ZERO;
        machine.loose.clear();
        machine.syncing = false;
        machine.frozen = false;
        machine.since = self.now;
        machine.shown.clear();
        let keeper = Keeper::start(machine.time(self.now), seed, me, kept, self.terms.clone());
        machine.keeper = Some(keeper.expect("the records can be read"));
        self.beacon();
        self.collect(node);
    }

    pub fn call(&mut self, node: NodeId, id: u64, call: Call) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let life = machine.life;
        let time = machine.time(now);
        if let Some(keeper) = &mut machine.keeper {
            keeper.call(time, id, call);
            self.asked.insert(id, (node, life));
        }
        self.collect(node);
    }

    /// What an attempt at that machine asks of a member: another machine, or itself.
    pub fn attempts(&mut self, from: NodeId, to: NodeId, message: Message) {
        if from != to {
            return self.send(from, to, &message);
        }
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&from) else { return };
        let time = machine.time(now);
        if let Some(keeper) = &mut machine.keeper {
            keeper.attempt_here(time, message);
        }
        self.collect(from);
    }

    /// Nobody waits for a call any more.
    pub fn withdraw(&mut self, node: NodeId, id: u64, key: &Key) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let time = machine.time(now);
        if let Some(keeper) = machine.keeper.as_mut().filter(|_| self.asked.contains_key(&id)) {
            keeper.withdraw(time, id, key);
        }
        self.collect(node);
    }

    pub(crate) fn collect(&mut self, from: NodeId) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&from) else { return };
        let Some(keeper) = &mut machine.keeper else { return };
        let outs = keeper.take();
        for out in outs {
            match out {
                Out::Send(to, message) => self.send(from, to, &message),
                Out::Log { number, record } => {
                    self.records += 1;
                    hold!(
                        record.len() <= RECORD,
                        Check::Rest,
                        "{from} writes a record of {} bytes",
                        record.len()
                    );
                    self.compare_charter(from, &record);
                    if let Some(machine) = self.machines.get_mut(&from) {
                        machine.loose.push((number, record));
                    }
                }
                Out::Answer(id, answer) => {
                    let asked = self.asked.remove(&id).is_some();
                    hold!(asked, Check::AnsweredOnce, "{id} is answered twice: {answer:?}");
                    self.answers.push((id, now, answer));
                }
                Out::Committed { key, value } => self.committed(from, key, value.to_vec()),
                Out::Voted { from: member, number, epoch, quorum, vote } => {
                    self.votes.push((from, Voted { member, number, epoch, quorum, vote }));
                }
                Out::Note(note) => {
                    if self.notes {
                        println!("{:>9.3} {from} {note}", now.as_secs_f64());
                    }
                }
            }
        }
        let Some(machine) = self.machines.get_mut(&from) else { return };
        if !machine.syncing && !machine.loose.is_empty() {
            machine.syncing = true;
            let (life, slow) = (machine.life, machine.slow_until);
            let time = match &machine.disk_times {
                Some(times) => times.draw(&mut self.rng),
                None if now < slow => ms(self.rng.u64(500..3000)),
                None => ms(self.rng.u64(4..9)),
            };
            self.event(now + time, Event::Synced { node: from, life });
        }
    }

    /// Something that is under way happens now, whatever its time.
    pub fn happen(&mut self, which: (Duration, u64)) {
        if let Some(event) = self.events.remove(&which) {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver { from, to, life, message } => {
                let Some(machine) = self.machines.get_mut(&to) else { return };
                if machine.frozen {
                    self.event(now + ms(50), Event::Deliver { from, to, life, message });
                    return;
                }
                if life != u64::MAX && life != machine.life {
                    return;
                }
                let time = machine.time(now);
                if let Some(keeper) = &mut machine.keeper {
                    let message = postcard::from_bytes(&message).expect("a message can be read");
                    keeper.heard(time, from, message);
                }
                self.collect(to);
            }
            Event::Synced { node, life } => {
                let Some(machine) = self.machines.get_mut(&node) else { return };
                if machine.life != life || machine.keeper.is_none() {
                    return;
                }
                if machine.frozen {
                    self.event(now + ms(50), Event::Synced { node, life });
                    return;
                }
                machine.syncing = false;
                // What came while the sync ran may not be covered.
                let covered = self.rng.usize(1..=machine.loose.len().max(1)).min(machine.loose.len());
                let mut last = 0;
                for (number, record) in machine.loose.drain(..covered) {
                    last = number;
                    machine.kept.push(record);
                }
                let time = machine.time(now);
                if let Some(keeper) = &mut machine.keeper {
                    keeper.synced(time, last);
                    if machine.kept.len() > self.snapshot_after && machine.loose.is_empty() {
                        machine.kept = keeper.snapshot();
                    }
                }
                self.collect(node);
            }
            Event::Start { node } => {
                let Some(machine) = self.machines.get_mut(&node) else { return };
                if machine.keeper.is_some() {
                    return;
                }
                self.start(node);
            }
            Event::Thaw { node } => {
                if let Some(machine) = self.machines.get_mut(&node) {
                    machine.frozen = false;
                }
            }
            Event::Mend => {
                for machine in self.machines.values_mut() {
                    machine.side = 0;
                }
            }
        }
    }

    pub fn run(&mut self, until: Duration) {
        while self.now < until {
            let event = self.events.first_key_value().map_or(Duration::MAX, |((at, _), _)| *at);
            let mut next = event.min(self.beacon_at);
            let mut wakes = None;
            for (node, machine) in self.machines.iter().filter(|(_, machine)| !machine.frozen) {
                let Some(keeper) = &machine.keeper else { continue };
                let wake = machine.when(keeper.next_wake()).max(self.now);
                if wake < next {
                    next = wake;
                    wakes = Some(*node);
                }
            }
            if next >= until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if let Some(node) = wakes {
                if let Some(machine) = self.machines.get_mut(&node) {
                    let time = machine.time(self.now);
                    let Some(keeper) = &mut machine.keeper else { continue };
                    keeper.woke(time);
                    let again = keeper.next_wake();
                    hold!(again > time, Check::Rest, "{node} does not come to rest");
                }
                self.collect(node);
            } else if next == self.beacon_at {
                self.beacon_at = self.now + ms(100);
                self.beacon();
            } else if let Some((_, event)) = self.events.pop_first() {
                self.handle(event);
            }
        }
    }
}

/// A keeper with an empty disk that is one of three members from the start: nodes 1 to 3, `n` is its own.
///
/// # Panics
/// `n` is none of them.
pub fn one_of_three(now: Duration, n: u8, seed: u64) -> Keeper {
    assert!((1..4).contains(&n), "one of three");
    let members: Vec<Member> =
        (1..4).map(|n| Member { node: node(n), disk: u64::from(n), joined: 1 }).collect();
    let me = Me {
        node: node(n),
        disk: Some(u64::from(n)),
        life: u64::from(n),
        first_start: true,
        empty: true,
        seeds: vec![node(1)],
        tolerate: 1,
    };
    let kept = Kept::default();
    let mut keeper = Keeper::start(now, seed, me, kept, Terms::default()).expect("an empty disk is in order");
    keeper.heard(now, node(9), Message::Members(Charter { number: 1, members, grown: false }));
    keeper
}

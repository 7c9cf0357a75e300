//! Keepers in virtual time: a network that loses and reorders, disks that lose what was not synced.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use fallgap_keeper::charter::{Charter, Member};
use fallgap_keeper::fault::{self, Fault};
use fallgap_keeper::messages::Record;
use fallgap_keeper::{Answer, Call, Keeper, Kept, Key, Me, Message, NodeId, Out, Peer, Terms};

use crate::breach::{Check, hold};

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Bytes of an epoch's record: seven members and its number.
const LONGEST_CHARTER: usize = 400;

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

#[derive(Clone)]
pub struct Machine {
    pub keeper: Option<Keeper>,
    pub disk: bool,
    /// What is durable, and what is not yet: number and record.
    pub kept: Vec<Vec<u8>>,
    pub loose: Vec<(u64, Vec<u8>)>,
    pub life: u64,
    /// Its first start is the system's too.
    first: bool,
    /// It ended, and what it voted on as a seed is not on its disk.
    pub forgot: bool,
    /// Its clock is ahead of the sea's by this.
    ahead: Duration,
    /// What its wall clock was set forward by since it started. Nobody may go by it.
    set: Duration,
    /// Its steady clock runs faster than the sea's by this many parts in a million, or slower.
    pub rate_ppm: i32,
    pub frozen: bool,
    syncing: bool,
    pub slow_until: Duration,
    since: Duration,
    down_since: Duration,
    side: u8,
    shown: BTreeMap<Key, Vec<u8>>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// In a thousand.
    pub lost: u64,
    pub late: u64,
    pub doubled: u64,
}

impl Machine {
    /// What its process takes for the time.
    pub fn time(&self, now: Duration) -> Duration {
        let gained = drifted(now, self.rate_ppm.unsigned_abs(), 1_000_000);
        let own = if self.rate_ppm < 0 { now.saturating_sub(gained) } else { now + gained };
        own + self.before()
    }

    /// The first epoch that its disk holds, 0 for that of the seeds.
    fn epoch_kept(&self) -> Option<u64> {
        self.epochs_kept().next()
    }

    fn epochs_kept(&self) -> impl Iterator<Item = u64> {
        self.kept.iter().filter_map(|record| match postcard::from_bytes(record) {
            Ok(Record::Epoch(charter)) => Some(charter.number),
            _ => None,
        })
    }

    /// When its process takes it for that time, at the earliest.
    fn when(&self, time: Duration) -> Duration {
        let own = time.saturating_sub(self.before());
        if self.rate_ppm == 0 {
            return own;
        }
        let (by, rate) = (self.rate_ppm.unsigned_abs(), i64::from(self.rate_ppm) + 1_000_000);
        let gained = drifted(own, by, u32::try_from(rate).unwrap_or(1_000_000));
        let at = if self.rate_ppm < 0 { own + gained } else { own.saturating_sub(gained) };
        // Divisions leave something off.
        at + Duration::from_nanos(2)
    }

    /// By how much it was ahead of the sea's at the sea's beginning.
    fn before(&self) -> Duration {
        self.ahead + if fault::is(Fault::WallClock) { self.set } else { Duration::ZERO }
    }
}

/// So many parts of a time.
fn drifted(time: Duration, parts: u32, of: u32) -> Duration {
    let nanos = time.as_nanos() * u128::from(parts) / u128::from(of);
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

#[derive(Clone)]
pub struct Sea {
    pub now: Duration,
    pub rng: fastrand::Rng,
    pub machines: BTreeMap<NodeId, Machine>,
    pub events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    pub weather: Weather,
    pub tolerate: u32,
    /// What all machines are told of others when they start.
    pub seeds: Vec<NodeId>,
    /// Links that carry nothing: from, to.
    pub dead_links: BTreeSet<(NodeId, NodeId)>,
    /// What callers were told: id, time, answer.
    pub answers: Vec<(u64, Duration, Answer)>,
    /// Calls under way: id to machine and life.
    asked: BTreeMap<u64, (NodeId, u64)>,
    beacon_at: Duration,
    epochs: BTreeMap<u64, Vec<NodeId>>,
    /// Each epoch that was ever written, lost again or not.
    charters: BTreeMap<u64, Charter>,
    pub terms: Terms,
    /// A disk that holds more records takes a snapshot.
    pub snapshot_after: usize,
    pub notes: bool,
    pub records: usize,
    pub messages: usize,
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
            let charter = Charter { number: 1, members: members.clone() };
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
                since: Duration::ZERO,
                down_since: self.now,
                side: 0,
                shown: BTreeMap::new(),
            },
        );
        let at = self.now + ms(self.rng.u64(0..200));
        self.event(at, Event::Start { node });
    }

    fn event(&mut self, at: Duration, event: Event) {
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

    /// The process ends; what was written but not synced may be lost.
    pub fn kill(&mut self, node: NodeId, power: bool) {
        let Some(machine) = self.machines.get(&node) else { return };
        let keep = if power { self.rng.usize(0..=machine.loose.len()) } else { machine.loose.len() };
        self.stop(node, keep);
    }

    /// The process ends; so much of what was written but not synced is kept.
    pub fn stop(&mut self, node: NodeId, keep: usize) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let ran = machine.keeper.take().is_some();
        machine.down_since = self.now;
        let loose = std::mem::take(&mut machine.loose);
        machine.kept.extend(loose.into_iter().take(keep).map(|(_, record)| record));
        machine.forgot |= ran && machine.epoch_kept().is_none();
        self.asked.retain(|_, (at, _)| *at != node);
    }

    /// The system is founded for good, or can be though this machine loses what is not on its disk: a majority of the
    /// seeds remembers.
    pub fn spares(&self, node: NodeId) -> bool {
        let begun = self.machines.values().any(|machine| machine.epochs_kept().any(|epoch| epoch > 0));
        let of = |node| self.machines.get(&node);
        if begun || !self.seeds.contains(&node) || of(node).is_some_and(|m| m.epoch_kept().is_some()) {
            return true;
        }
        let remembers = |seed: &&NodeId| **seed != node && of(**seed).is_some_and(|machine| !machine.forgot);
        self.seeds.iter().filter(remembers).count() > self.seeds.len() / 2
    }

    pub fn restart(&mut self, node: NodeId, after: Duration) {
        self.event(self.now + after, Event::Start { node });
    }

    pub fn wipe(&mut self, node: NodeId) {
        self.kill(node, true);
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.kept.clear();
        }
    }

    pub fn remove(&mut self, node: NodeId) {
        self.kill(node, true);
        self.machines.remove(&node);
    }

    pub fn freeze(&mut self, node: NodeId, time: Duration) {
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.frozen = true;
            machine.down_since = self.now;
            self.event(self.now + time, Event::Thaw { node });
        }
    }

    /// Cuts these off from the others.
    pub fn cut(&mut self, side: &[NodeId], time: Duration) {
        for (node, machine) in &mut self.machines {
            machine.side = u8::from(side.contains(node));
        }
        self.event(self.now + time, Event::Mend);
    }

    fn reaches(&self, from: NodeId, to: NodeId) -> bool {
        match (self.machines.get(&from), self.machines.get(&to)) {
            (Some(a), Some(b)) => a.side == b.side && !self.dead_links.contains(&(from, to)),
            _ => false,
        }
    }

    pub fn up(&self) -> Vec<NodeId> {
        let up = |machine: &Machine| machine.keeper.is_some() && !machine.frozen;
        self.machines.iter().filter(|(_, machine)| up(machine)).map(|(node, _)| *node).collect()
    }

    pub fn keeper(&self, node: NodeId) -> Option<&Keeper> {
        self.machines.get(&node)?.keeper.as_ref()
    }

    /// The newest committed value of this key that was handed out in the process's present life.
    pub fn shown(&self, node: NodeId, key: &Key) -> Option<&[u8]> {
        Some(self.machines.get(&node)?.shown.get(key)?.as_slice())
    }

    /// Whether a committed value of this key was handed out in the process's present life.
    pub fn has_shown(&self, node: NodeId, key: &Key) -> bool {
        self.machines.get(&node).is_some_and(|machine| machine.shown.contains_key(key))
    }

    pub fn disk_machines(&self) -> Vec<NodeId> {
        self.machines.iter().filter(|(_, machine)| machine.disk).map(|(node, _)| *node).collect()
    }

    /// All disk machines run, reach each other, and as many as may be are caught-up members of one epoch.
    pub fn is_caught_up(&self) -> bool {
        let mut epochs = BTreeSet::new();
        let mut counted = 0;
        let disks = self.disk_machines();
        for machine in self.machines.values().filter(|machine| machine.disk) {
            let Some(keeper) = machine.keeper.as_ref().filter(|_| !machine.frozen && machine.side == 0)
            else {
                return false;
            };
            epochs.insert((keeper.epoch(), keeper.members()));
            counted += usize::from(keeper.is_member() && keeper.is_settled(machine.time(self.now)));
        }
        // A member that is gone for good may stay in an odd number: without it no more could be lost than with it.
        let enough = |members: &Vec<NodeId>| counted > members.len() / 2 + self.tolerate as usize;
        epochs.len() == 1
            && counted == disks.len().min(7)
            && epochs.iter().all(|(_, members)| enough(members))
    }

    /// Each machine's epoch and whether it counts, for a failed assertion.
    pub fn view(&self) -> Vec<String> {
        let of = |keeper: &Keeper| (keeper.epoch(), keeper.is_member(), keeper.members());
        let machines = self.machines.iter();
        machines.map(|(node, m)| format!("{node} {:?}", m.keeper.as_ref().map(of))).collect()
    }

    /// Every epoch has the same members everywhere.
    fn compare_epochs(&mut self) {
        for (node, keeper) in self.machines.iter().filter_map(|(node, m)| Some((node, m.keeper.as_ref()?))) {
            if keeper.epoch() > 0 {
                let members = keeper.members();
                let known = self.epochs.entry(keeper.epoch()).or_insert_with(|| members.clone());
                hold!(
                    *known == members,
                    Check::Epochs,
                    "{node}: epoch {}: {known:?}, {members:?}",
                    keeper.epoch()
                );
            }
        }
    }

    /// The same for what goes to the disks.
    fn compare_charter(&mut self, node: NodeId, record: &[u8]) {
        let record = Some(record).filter(|record| record.len() < LONGEST_CHARTER);
        if let Some(Ok(Record::Epoch(charter))) = record.map(postcard::from_bytes) {
            let known = self.charters.entry(charter.number).or_insert_with(|| charter.clone());
            hold!(*known == charter, Check::Epochs, "{node} writes {charter:?}, there is {known:?}");
        }
    }

    fn beacon(&mut self) {
        self.compare_epochs();
        let seen: Vec<(NodeId, Option<u64>, bool, Duration, u8)> = self
            .machines
            .iter()
            .map(|(node, machine)| {
                let disk = machine.keeper.as_ref().and_then(Keeper::disk);
                let up = machine.keeper.is_some() && !machine.frozen;
                (*node, disk, up, machine.down_since, machine.side)
            })
            .collect();
        let nodes: Vec<NodeId> = self.up();
        for node in nodes {
            let now = self.now;
            let Some(machine) = self.machines.get_mut(&node) else { continue };
            let mut peers = Vec::new();
            for (other, disk, up, down_since, side) in &seen {
                let reached = *side == machine.side && !self.dead_links.contains(&(*other, node));
                let here = if *up { reached } else { now < *down_since + ms(1200) };
                if *other != node {
                    peers.push(Peer { node: *other, disk: *disk, here });
                }
            }
            let time = machine.time(now);
            if let Some(keeper) = &mut machine.keeper {
                keeper.peers(time, &peers);
            }
            self.collect(node);
        }
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
            let time = if now < slow { ms(self.rng.u64(500..3000)) } else { ms(self.rng.u64(4..9)) };
            self.event(now + time, Event::Synced { node: from, life });
        }
    }

    fn committed(&mut self, node: NodeId, key: Key, value: Vec<u8>) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let before = machine.shown.insert(key.clone(), value.clone());
        let mark = |value: &[u8]| match key {
            Key::Config | Key::Accounts => fallgap_keeper::subjects::config_edition(Some(value)).unwrap_or(0),
            _ => fallgap_keeper::subjects::revision(Some(value)),
        };
        if let Some(before) = before {
            hold!(mark(&before) <= mark(&value), Check::Shown, "{node} went back at {key:?}");
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        self.messages += 1;
        if !self.reaches(from, to) || self.rng.u64(0..1000) < self.weather.lost {
            return;
        }
        let life = self.machines.get(&to).map_or(0, |machine| machine.life);
        let message = postcard::to_stdvec(message).expect("a message is plain");
        let copies = 1 + u64::from(self.rng.u64(0..1000) < self.weather.doubled);
        for _ in 0..copies {
            let mut delay = self.rng.u64(800..2500);
            if self.rng.u64(0..1000) < self.weather.late {
                delay = self.rng.u64(1000..400_000);
            }
            // A link breaks with the process; now and then a message reaches the next one all the same.
            let life = if self.rng.u8(..) == 0 { u64::MAX } else { life };
            let message = message.clone();
            self.event(self.now + Duration::from_micros(delay), Event::Deliver { from, to, life, message });
        }
    }

    /// Something that is under way happens now, whatever its time.
    pub fn happen(&mut self, which: (Duration, u64)) {
        if let Some(event) = self.events.remove(&which) {
            self.handle(event);
        }
    }

    /// All that is to come, whatever its time, and all that there is: what is the same from here on has the same mark.
    pub fn mark(&self, mark: &mut impl Hasher) {
        for (node, machine) in &self.machines {
            node.hash(mark);
            machine.keeper.hash(mark);
            machine.kept.hash(mark);
            machine.loose.hash(mark);
            machine.syncing.hash(mark);
        }
        let mut events: Vec<&Event> = self.events.values().collect();
        events.sort();
        events.hash(mark);
    }

    /// Somebody sets a machine's wall clock forward.
    pub fn set_clock(&mut self, node: NodeId, by: Duration) {
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.set += by;
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

//! A network of beacons in virtual time: drawn loss and delay, doubled datagrams, kills, freezes, cuts.

use fallgap_membership::{Beacon, Card, Message, NodeId, Out, State, Terms};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn node(i: usize) -> NodeId {
    NodeId::new(10, 1, (i / 200) as u8, (i % 200) as u8 + 1)
}

enum Event {
    Arrive(NodeId, NodeId, Message),
    Wake(NodeId),
}

struct Machine {
    beacon: Beacon,
    /// What waits in the socket of a frozen process.
    held: Option<Vec<(NodeId, Message)>>,
    wakes: Duration,
}

pub struct Net {
    pub now: Duration,
    pub loss: f64,
    /// Datagrams between these sides are lost.
    pub cut: BTreeSet<NodeId>,
    /// If not empty, a cut is only between these: the others reach both sides.
    pub among: BTreeSet<NodeId>,
    /// Datagrams to these are lost.
    pub deaf: BTreeSet<NodeId>,
    pub sent: u64,
    pub bytes: u64,
    pub longest: usize,
    pub notes: Vec<(Duration, NodeId, String)>,
    /// Each time that one node came to doubt another, or to hold it gone.
    pub verdicts: Vec<(Duration, NodeId, NodeId, State)>,
    machines: BTreeMap<NodeId, Machine>,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    rng: fastrand::Rng,
    pub seeds: Vec<NodeId>,
}

impl Net {
    pub fn new(seed: u64, seeds: &[usize]) -> Net {
        Net {
            now: ms(5000),
            loss: 0.0,
            cut: BTreeSet::new(),
            among: BTreeSet::new(),
            deaf: BTreeSet::new(),
            sent: 0,
            bytes: 0,
            longest: 0,
            notes: Vec::new(),
            verdicts: Vec::new(),
            machines: BTreeMap::new(),
            events: BTreeMap::new(),
            count: 0,
            rng: fastrand::Rng::with_seed(seed),
            seeds: seeds.iter().map(|i| node(*i)).collect(),
        }
    }

    /// A network that has come to rest.
    pub fn settled(seed: u64, nodes: usize, loss: f64) -> Net {
        let mut net = Net::new(seed, &[0, 1, 2]);
        net.loss = loss;
        (0..nodes).for_each(|i| net.start(node(i)));
        net.run(ms(5000));
        assert_eq!(net.knowing(), nodes, "all know all");
        net
    }

    pub fn start(&mut self, n: NodeId) {
        let me = Card {
            node: n,
            zone: ["wattens", "hall", "schwaz"][n.octets()[3] as usize % 3].into(),
            disk: None,
            life: self.rng.u64(..),
            leaving: false,
            sequence: 0,
        };
        let beacon = Beacon::start(self.now, self.rng.u64(..), me, self.seeds.clone(), Terms::default());
        self.machines.insert(n, Machine { beacon, held: None, wakes: Duration::MAX });
        self.after(n);
    }

    pub fn kill(&mut self, n: NodeId) {
        self.machines.remove(&n);
    }

    pub fn freeze(&mut self, n: NodeId) {
        self.machines.get_mut(&n).unwrap().held = Some(Vec::new());
    }

    pub fn thaw(&mut self, n: NodeId) {
        let held = self.machines.get_mut(&n).unwrap().held.take().unwrap_or_default();
        for (from, message) in held {
            self.on(n, |b, now| b.heard(now, from, message));
        }
        self.after(n);
    }

    pub fn on(&mut self, n: NodeId, act: impl FnOnce(&mut Beacon, Duration)) {
        let now = self.now;
        if let Some(machine) = self.machines.get_mut(&n) {
            act(&mut machine.beacon, now);
            self.after(n);
        }
    }

    pub fn beacon(&self, n: NodeId) -> &Beacon {
        &self.machines[&n].beacon
    }

    pub fn living(&self) -> Vec<NodeId> {
        self.machines.keys().copied().collect()
    }

    /// How many of the living know all the living under their newest cards as here, and nobody else so.
    pub fn knowing(&self) -> usize {
        let cards: BTreeMap<_, _> = self.machines.iter().map(|(n, m)| (*n, m.beacon.me())).collect();
        let knows = |b: &Beacon| {
            let here: BTreeMap<_, _> =
                b.peers().filter(|p| p.state == State::Here).map(|p| (p.card.node, &p.card)).collect();
            here.len() + 1 == cards.len() && here.iter().all(|(n, c)| cards.get(n) == Some(c))
        };
        self.machines.values().filter(|m| knows(&m.beacon)).count()
    }

    /// How many of the others hold it so.
    pub fn holding(&self, n: NodeId, state: State) -> usize {
        let holds = |m: &&Machine| m.beacon.peer(n).is_some_and(|p| p.state == state);
        self.machines.values().filter(holds).count()
    }

    /// Runs until it is so; how long that took.
    pub fn until(&mut self, most: Duration, what: &str, mut so: impl FnMut(&Net) -> bool) -> Duration {
        let from = self.now;
        while !so(self) {
            assert!(self.now < from + most, "{what}: not within {most:?}");
            self.run(ms(10));
        }
        self.now - from
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            match event {
                Event::Wake(n) => {
                    let due = |m: &&mut Machine| m.held.is_none() && m.wakes == at;
                    if self.machines.get_mut(&n).filter(due).is_some() {
                        self.on(n, |b, now| b.woke(now));
                    }
                }
                Event::Arrive(from, to, message) => match self.machines.get_mut(&to).map(|m| &mut m.held) {
                    Some(Some(held)) => held.push((from, message)),
                    _ => self.on(to, |b, now| b.heard(now, from, message)),
                },
            }
        }
        self.now = end;
    }

    fn after(&mut self, n: NodeId) {
        let Some(machine) = self.machines.get_mut(&n) else { return };
        let wakes = machine.beacon.next_wake().max(self.now);
        let out = machine.beacon.take();
        if machine.wakes != wakes || wakes == self.now {
            machine.wakes = wakes;
            self.put(wakes, Event::Wake(n));
        }
        let changed = out.contains(&Out::Changed);
        for out in out {
            match out {
                Out::Send(to, message) => self.send(n, to, message),
                Out::Changed => {}
                Out::Note(line) => self.notes.push((self.now, n, line)),
            }
        }
        if !changed {
            return;
        }
        let now = self.now;
        let verdicts = self.machines[&n].beacon.peers().filter(|p| p.since == now && p.state != State::Here);
        let verdicts: Vec<_> = verdicts.map(|p| (now, n, p.card.node, p.state)).collect();
        self.verdicts.extend(verdicts);
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        let bytes = postcard::to_allocvec(&message).unwrap();
        assert!(bytes.len() <= 1200, "{} bytes: {message:?}", bytes.len());
        assert_ne!(from, to);
        self.longest = self.longest.max(bytes.len());
        self.sent += 1;
        self.bytes += bytes.len() as u64;
        let among = self.among.is_empty() || (self.among.contains(&from) && self.among.contains(&to));
        let apart = among && self.cut.contains(&from) != self.cut.contains(&to);
        let cut = apart || self.deaf.contains(&to);
        let copies = if self.rng.f64() < 0.01 { 2 } else { 1 };
        for _ in 0..copies {
            if cut || self.rng.f64() < self.loss {
                continue;
            }
            let slow = if self.rng.f64() < 0.02 { 40 } else { 0 };
            let at = self.now + ms(1 + slow) + Duration::from_micros(self.rng.u64(..3000));
            self.put(at, Event::Arrive(from, to, message.clone()));
        }
    }

    fn put(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }
}

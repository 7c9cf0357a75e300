//! Calls on registers between regions, in virtual time over the real cores: seven keepers in three regions (3, 2, 2), a
//! sync of 5 ms, 0.5 ms within a region, and some time each way between them. How long a first write and a further one
//! take by where the caller's keeper is; and what is answered while the region of three is cut off for two minutes, and
//! when the members are seven again.

use fallgap_control_state::{Answer, Call, Keeper, Kept, Me, Message, NodeId, Out, Peer, Terms};
use std::collections::BTreeMap;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SYNC: Duration = Duration::from_millis(5);
const REGIONS: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];

fn node(i: usize) -> NodeId {
    NodeId::new(10, 0, 0, i as u8 + 1)
}

enum Event {
    Word(usize, usize, Message),
    Synced(usize, u64),
}

struct World {
    now: Duration,
    keepers: Vec<Keeper>,
    between: Duration,
    /// The first region is cut off.
    cut: bool,
    /// A keeper that is gone.
    away: Option<usize>,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    answers: BTreeMap<u64, (Duration, Answer)>,
    calls: u64,
}

impl World {
    fn new(between: Duration) -> World {
        let me = |i: usize| Me {
            node: node(i),
            disk: Some(100 + i as u64),
            life: 1 + i as u64,
            first_start: true,
            empty: true,
            seeds: (0..3).map(|seed| node(seed * 2)).collect(),
            tolerate: 2,
        };
        let start = |i: usize| {
            Keeper::start(MS, 7 + i as u64, me(i), Kept { records: Vec::new() }, Terms::default())
                .expect("an empty disk")
        };
        let keepers = (0..7).map(start).collect();
        let (events, answers) = (BTreeMap::new(), BTreeMap::new());
        let mut world =
            World { now: MS, keepers, between, cut: false, away: None, events, count: 0, answers, calls: 0 };
        world.see();
        world
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let there = self.away != Some(from) && self.away != Some(to);
        there && (!self.cut || (REGIONS[from] == 0) == (REGIONS[to] == 0))
    }

    /// Each is told who is here, as the beacon would tell it.
    fn see(&mut self) {
        let cards: Vec<(NodeId, Option<u64>)> = (0..7).map(|i| (node(i), self.keepers[i].disk())).collect();
        for at in 0..7 {
            let here = |i: usize| self.reaches(at, i);
            let peers: Vec<Peer> = (0..7)
                .filter(|i| *i != at)
                .map(|i| Peer { node: cards[i].0, disk: cards[i].1, here: here(i) })
                .collect();
            self.keepers[at].peers(self.now, &peers);
            self.settle(at);
        }
    }

    fn put(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn settle(&mut self, at: usize) {
        for out in self.keepers[at].take() {
            match out {
                Out::Send(to, message) => {
                    let to = usize::from(to.octets()[3]) - 1;
                    let way = if REGIONS[at] == REGIONS[to] { MS / 2 } else { self.between };
                    if self.reaches(at, to) {
                        self.put(self.now + way, Event::Word(at, to, message));
                    }
                }
                Out::Log { number, .. } => self.put(self.now + SYNC, Event::Synced(at, number)),
                Out::Answer(id, answer) => _ = self.answers.insert(id, (self.now, answer)),
                _ => {}
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let event = self.events.keys().next().map(|(at, _)| *at);
            let wake = self.keepers.iter().map(Keeper::next_wake).min();
            let next = event.into_iter().chain(wake).min().unwrap_or(end).max(self.now);
            if next > end {
                break;
            }
            // A wake that is due at once again must not hold the time.
            self.now = if event == Some(next) { next } else { next.max(self.now + MS / 20) };
            while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= self.now) {
                match entry.remove() {
                    Event::Word(from, to, message) => {
                        self.keepers[to].heard(self.now, node(from), message);
                        self.settle(to);
                    }
                    Event::Synced(at, number) => {
                        self.keepers[at].synced(self.now, number);
                        self.settle(at);
                    }
                }
            }
            for at in 0..7 {
                if self.keepers[at].next_wake() <= self.now {
                    self.keepers[at].woke(self.now);
                    self.settle(at);
                }
            }
        }
        self.now = end;
    }

    /// A number of that name, asked for at a keeper: how long it took, or none if it was not given.
    fn number(&mut self, at: usize, name: &str) -> Option<Duration> {
        self.calls += 1;
        let (id, since) = (self.calls, self.now);
        self.keepers[at].call(self.now, id, Call::Number { name: name.into() });
        self.settle(at);
        while !self.answers.contains_key(&id) && self.now < since + 2000 * MS {
            self.pass(MS);
        }
        let (when, answer) = self.answers.remove(&id)?;
        matches!(answer, Answer::Value(_)).then(|| when - since)
    }
}

fn middle(mut times: Vec<Duration>) -> f64 {
    times.sort();
    times.get(times.len() / 2).map_or(-1.0, |time| time.as_secs_f64() * 1e3)
}

fn main() {
    for between in [5, 15, 40, 100] {
        let mut world = World::new(MS * between);
        world.pass(10_000 * MS);
        world.see();
        for (region, at) in [(0, 0), (1, 3), (2, 5)] {
            let (mut first, mut further) = (Vec::new(), Vec::new());
            for turn in 0..30 {
                let name = format!("r{region}-{turn}");
                first.extend(world.number(at, &name));
                further.extend((0..3).filter_map(|_| world.number(at, &name)));
            }
            println!("figure way{between}_region{region}_given {}", first.len() + further.len());
            println!("figure way{between}_region{region}_first_ms {:.1}", middle(first));
            println!("figure way{between}_region{region}_further_ms {:.1}", middle(further));
        }
    }
    let mut world = World::new(MS * 15);
    world.pass(10_000 * MS);
    world.see();
    let members = |world: &World, at: usize| world.keepers[at].members().len();
    println!("figure cut_members_before {}", members(&world, 3));
    world.cut = true;
    world.see();
    let cut = world.now;
    let (mut given, mut asked, mut again) = ([0, 0], 0, None);
    while world.now < cut + 120_000 * MS {
        asked += 1;
        for (side, at) in [(1, 3), (0, 0)] {
            if world.number(at, &format!("cut-{side}")).is_some() {
                given[side] += 1;
                again = again.or((side == 1).then(|| world.now - cut));
            }
        }
        world.pass(500 * MS);
    }
    println!("figure cut_asked {asked}");
    println!("figure cut_given_by_the_three {}", given[0]);
    println!("figure cut_given_by_the_four {}", given[1]);
    println!("figure cut_first_given_ms {:.0}", again.unwrap_or_default().as_secs_f64() * 1e3);
    println!("figure cut_members_of_the_four {}", members(&world, 3));
    world.cut = false;
    world.see();
    let back = world.now;
    while world.number(0, "cut-0").is_none() && world.now < back + 60_000 * MS {
        world.pass(10 * MS);
    }
    println!("figure back_given_by_the_three_ms {:.0}", (world.now - back).as_secs_f64() * 1e3);
    // One more of the four goes while the three are away.
    world.cut = true;
    world.see();
    world.pass(30_000 * MS);
    world.away = Some(6);
    world.see();
    world.pass(10_000 * MS);
    println!("figure cut_and_one_more_given {}", u8::from(world.number(3, "cut-1").is_some()));
}

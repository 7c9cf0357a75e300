//! The feed with receivers behind a channel that loses: one update in flight each, the cap on lines, withdrawals at
//! once, and everyone on the newest table in the end.

use fallgap_feed::{Feed, Limits, Out, ReceiverId};
use fallgap_tables::{
    Delta, Entry, Kept, Key, Receiver, Tables, Terms, Version, Whole, Withdrawal, Withdrawals,
};
use std::collections::BTreeMap;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const GRACE: Duration = Duration::from_millis(1500);

#[derive(Clone)]
enum Said {
    Delta(Delta),
    Whole(Whole),
    Same(Version),
    Out(u64, Withdrawal),
    All(u64, u64, Vec<Withdrawal>),
}

#[derive(Default)]
struct Channel {
    said: Vec<(ReceiverId, Said)>,
    now: Duration,
    lines: Vec<(Duration, f64)>,
    deltas: usize,
    wholes: usize,
}

impl Out for Channel {
    fn delta(&mut self, to: ReceiverId, delta: Delta) {
        self.lines.push((self.now, delta.changes.len() as f64 + 1.0));
        self.deltas += 1;
        self.said.push((to, Said::Delta(delta)));
    }
    fn whole(&mut self, to: ReceiverId, whole: Whole) {
        self.lines.push((self.now, whole.entries.len() as f64 + 1.0));
        self.wholes += 1;
        self.said.push((to, Said::Whole(whole)));
    }
    fn same(&mut self, to: ReceiverId, version: Version) {
        self.said.push((to, Said::Same(version)));
    }
    fn withdrawn(&mut self, to: ReceiverId, epoch: u64, told: Withdrawal) {
        self.said.push((to, Said::Out(epoch, told)));
    }
    fn all_withdrawn(&mut self, to: ReceiverId, epoch: u64, sequence: u64, out: Vec<Withdrawal>) {
        self.said.push((to, Said::All(epoch, sequence, out)));
    }
}

struct World {
    feed: Feed<Channel>,
    tables: Tables,
    withdrawals: Withdrawals,
    receivers: BTreeMap<ReceiverId, Receiver>,
    answers: Vec<(ReceiverId, bool)>,
    now: Duration,
    loses: f64,
    rng: fastrand::Rng,
}

fn key(i: usize) -> Key {
    Key::Line(format!("store{i}").as_str().into())
}

impl World {
    fn new(receivers: u64, limits: Limits, seed: u64) -> World {
        let mut tables = Tables::start(1, Kept::default());
        for table in 0..3 {
            (0..20).for_each(|i| tables.set(table, key(i), Some(Entry::Part(1.0))));
            tables.seal(MS, table);
        }
        let receiver = |id| (id, Receiver::new((id % 3) as u32, Terms::default()));
        World {
            feed: Feed::start(Channel::default(), limits, seed),
            tables,
            withdrawals: Withdrawals::default(),
            receivers: (0..receivers).map(receiver).collect(),
            answers: Vec::new(),
            now: MS * 10,
            loses: 0.0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn join(&mut self, id: ReceiverId) {
        let receiver = &self.receivers[&id];
        let (holds, heard) = (receiver.version(), receiver.heard());
        self.feed.out.now = self.now;
        assert!(self.feed.joined(
            self.now,
            id,
            (id % 3) as u32,
            holds,
            heard,
            &self.tables,
            &self.withdrawals
        ));
    }

    /// What was said arrives, unless it is lost; receivers say what they hold, unless that is.
    fn pass(&mut self, span: Duration) {
        self.now += span;
        self.feed.out.now = self.now;
        let mut in_flight: BTreeMap<ReceiverId, usize> = BTreeMap::new();
        for (to, said) in std::mem::take(&mut self.feed.out.said) {
            if matches!(said, Said::Delta(_) | Said::Whole(_)) {
                *in_flight.entry(to).or_default() += 1;
                assert!(in_flight[&to] <= 1, "two updates in flight to {to}");
            }
            if self.rng.f64() < self.loses {
                continue;
            }
            let receiver = self.receivers.get_mut(&to).unwrap();
            let now = self.now;
            let took = match said {
                Said::Delta(delta) => receiver.take_delta(now, &delta).is_ok(),
                Said::Whole(whole) => receiver.take_whole(now, &whole).is_ok(),
                Said::Same(version) => receiver.confirmed(now, version) || receiver.is_past(version),
                Said::Out(epoch, told) => {
                    // One that does not follow is not heard: what was missed is told again.
                    receiver.take_withdrawal(now, epoch, &told);
                    true
                }
                Said::All(epoch, sequence, out) => {
                    let servers = out.into_iter().map(|told| told.server);
                    receiver.take_withdrawals(now, epoch, sequence, servers);
                    true
                }
            };
            self.answers.push((to, took));
        }
        for (id, took) in std::mem::take(&mut self.answers) {
            if self.rng.f64() >= self.loses {
                let (holds, heard) = (self.receivers[&id].version(), self.receivers[&id].heard());
                match took {
                    true => self.feed.answered(self.now, id, holds, heard, &self.tables),
                    false => self.feed.rejected(self.now, id, holds, heard, &self.tables),
                }
            }
        }
        if self.feed.next_wake().is_some_and(|at| at <= self.now) {
            self.feed.woke(self.now, &self.tables, &self.withdrawals);
        }
    }

    fn most_lines_in_a_second(&self) -> f64 {
        let lines = &self.feed.out.lines;
        let (mut first, mut sum, mut most) = (0, 0.0, 0.0f64);
        for (at, count) in lines {
            sum += count;
            while lines[first].0 + MS * 1000 <= *at {
                sum -= lines[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    fn all_newest(&self) -> bool {
        self.receivers
            .iter()
            .all(|(id, receiver)| receiver.version() == self.tables.version((*id % 3) as u32))
    }
}

/// Guards against a feed that sticks, or sends what is stale, when messages and answers are lost.
#[test]
fn everyone_ends_on_the_newest_whatever_is_lost() {
    for seed in 0..40 {
        let limits = Limits {
            answer: MS * 100,
            answer_most: MS * 400,
            word: MS * 80,
            urgent: MS * 30,
            ..Limits::default()
        };
        let mut world = World::new(12, limits, seed);
        (0..12).for_each(|id| world.join(id));
        world.loses = 0.25;
        let mut out: BTreeMap<usize, Duration> = BTreeMap::new();
        for step in 0..600 {
            world.pass(MS * 10);
            if step % 7 == 0 {
                let table = world.rng.u32(..3);
                let (i, part) = (world.rng.usize(..20), 1.0 + world.rng.f64());
                world.tables.set(table, key(i), Some(Entry::Part(part)));
                world.tables.seal(world.now, table);
                // Some do not wait for an answer.
                match world.rng.u8(..3) {
                    0 => world.feed.hastened(world.now, table, &world.tables),
                    _ => world.feed.sealed(world.now, table, &world.tables),
                }
            }
            if step % 50 == 49 {
                let i = world.rng.usize(..20);
                let goes = !out.contains_key(&i);
                if goes {
                    out.insert(i, world.now)
                } else {
                    out.remove(&i)
                };
                world.withdrawals.tell(&format!("store{i}"), goes);
                world.feed.withdrawn(world.now, &world.tables, &world.withdrawals);
            }
            if world.rng.u8(..60) == 0 {
                let id = world.rng.u64(..12);
                world.feed.out.said.retain(|(to, _)| *to != id);
                if world.rng.bool() {
                    world.receivers.insert(id, Receiver::new((id % 3) as u32, Terms::default()));
                }
                world.join(id);
            }
            // Tables go on naming withdrawn servers: the withdrawals alone keep them out.
            for receiver in world.receivers.values() {
                let late = |i: &usize| world.now > out[i] + GRACE;
                let names: Vec<String> =
                    out.keys().filter(|i| late(i)).map(|i| format!("store{i}")).collect();
                let used = receiver.usable(world.now);
                assert!(
                    !used.iter().any(|(s, _)| names.iter().any(|n| **n == ***s)),
                    "seed {seed}, step {step}"
                );
            }
        }
        world.loses = 0.0;
        (0..200).for_each(|_| world.pass(MS * 10));
        assert!(world.all_newest(), "seed {seed}");
        assert_eq!(world.feed.heard_by_all(1), world.withdrawals.sequence());
    }
}

/// A thousand receivers reconnect at once: the cap on lines holds, those whose version is kept get deltas, and
/// withdrawals wait for nobody.
#[test]
fn a_thousand_reconnect_at_once() {
    let limits = Limits { lines_a_second: 2000.0, ..Limits::default() };
    let mut world = World::new(1000, limits, 3);
    (0..1000).for_each(|id| world.join(id));
    while !world.all_newest() {
        world.pass(MS * 5);
    }
    let took_wholes = world.now;
    assert!(world.most_lines_in_a_second() <= 2.0 * 2000.0 + 21.0, "{}", world.most_lines_in_a_second());
    assert!(took_wholes > MS * 9000, "21,000 lines at 2,000 a second: {took_wholes:?}");
    // They come back, a version behind; half of them new.
    (0..3).for_each(|table| {
        world.tables.set(table, key(1), Some(Entry::Part(7.0)));
        world.tables.seal(world.now, table);
    });
    for id in (0..1000).step_by(2) {
        world.receivers.insert(id, Receiver::new((id % 3) as u32, Terms::default()));
    }
    (world.feed.out.deltas, world.feed.out.wholes) = (0, 0);
    world.feed.out.lines.clear();
    (0..1000).for_each(|id| world.join(id));
    world.pass(MS * 5);
    world.withdrawals.tell("store4", true);
    world.feed.withdrawn(world.now, &world.tables, &world.withdrawals);
    world.pass(MS * 5);
    let out =
        |receiver: &Receiver| receiver.usable(world.now).iter().all(|(server, _)| &***server != "store4");
    assert!(world.receivers.values().all(out), "all have heard, though most still wait for lines");
    assert!(world.feed.held().1 > 300);
    while !world.all_newest() {
        world.pass(MS * 5);
    }
    assert_eq!((world.feed.out.deltas, world.feed.out.wholes), (500, 500));
    assert!(world.most_lines_in_a_second() <= 2.0 * 2000.0 + 21.0);
    let before = world.feed.out.lines.len();
    (0..4000).for_each(|_| world.pass(MS * 5));
    assert_eq!(world.feed.out.lines.len(), before, "nothing is sent if nothing is new");
}

/// Guards against more receivers than may be, and memory of those that left.
#[test]
fn receivers_are_bounded() {
    let mut world = World::new(4, Limits { receivers: 3, ..Limits::default() }, 1);
    (0..3).for_each(|id| world.join(id));
    let joined = world.feed.joined(world.now, 3, 0, None, (0, 0), &world.tables, &world.withdrawals);
    assert!(!joined);
    world.join(2);
    (0..3).for_each(|id| world.feed.left(id));
    assert_eq!((world.feed.held(), world.feed.next_wake()), ((0, 0), None));
}

/// A large update is not sent again while it is on its way; one of a few lines is, as soon as its answer is late.
#[test]
fn a_large_update_has_longer() {
    let limits = Limits { answer: MS * 100, answer_line: MS, word: MS * 50, ..Limits::default() };
    for (lines, sent) in [(1, 3), (400, 1)] {
        let mut world = World::new(1, limits, 1);
        (0..lines)
            .for_each(|i| world.tables.set(0, Key::Line(format!("l{i}").into()), Some(Entry::Part(1.0))));
        world.tables.seal(world.now, 0);
        world.join(0);
        // Nothing comes through.
        for step in 1..=42 {
            world.now = MS * 10 * step;
            world.feed.woke(world.now, &world.tables, &world.withdrawals);
        }
        assert!((sent..=sent + 1).contains(&world.feed.out.wholes), "{lines}: {}", world.feed.out.wholes);
    }
}

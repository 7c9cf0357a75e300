//! Receivers behind a channel that drops, doubles, delays, reorders and spoils: each ends on the newest checked
//! table, and none uses a server past the grace.

use fallgap_tables::{
    Age, Delta, Entry, Kept, Key, Receiver, Reject, Sent, Tables, Terms, Version, WhenOld, Whole, Withdrawal,
    Withdrawals,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const GRACE: Duration = Duration::from_millis(1500);
const TABLE: u32 = 3;

#[derive(Clone)]
enum Said {
    Delta(Delta),
    Whole(Whole),
    Out(u64, Withdrawal),
    AllOut(u64, u64, Vec<String>),
    Same(Version),
}

struct World {
    rng: fastrand::Rng,
    now: Duration,
    epoch: u64,
    tables: Tables,
    withdrawals: Withdrawals,
    /// Every content that a version ever had.
    truth: BTreeMap<(u64, u64), BTreeMap<Key, Entry>>,
    draining: BTreeMap<String, Duration>,
    receivers: Vec<Receiver>,
    channel: Vec<(Duration, usize, Said)>,
    bad: f64,
    rejects: BTreeMap<String, u64>,
}

fn server(i: usize) -> String {
    format!("store{i}")
}

impl World {
    fn new(seed: u64) -> World {
        let receiver = |i: usize| {
            Receiver::new(
                TABLE,
                Terms {
                    lease: MS * 3000,
                    when_old: [WhenOld::GoOn, WhenOld::ShunUnconfirmed][i % 2],
                    ..Terms::default()
                },
            )
        };
        let mut world = World {
            rng: fastrand::Rng::with_seed(seed),
            now: MS * 1000,
            epoch: 1,
            tables: Tables::start(1, Kept { versions: 12, ..Kept::default() }),
            withdrawals: Withdrawals::default(),
            truth: BTreeMap::new(),
            draining: BTreeMap::new(),
            receivers: (0..4).map(receiver).collect(),
            channel: Vec::new(),
            bad: 0.3,
            rejects: BTreeMap::new(),
        };
        (0..8).for_each(|i| {
            world.tables.set(TABLE, Key::Line(server(i).as_str().into()), Some(Entry::Part(1.0)))
        });
        world.seal();
        world
    }

    fn seal(&mut self) {
        let version = self.tables.seal(self.now, TABLE).unwrap();
        let content = self.tables.content(TABLE).unwrap();
        assert_eq!((content.digest(), content.digest()), (version.digest, content.digest_anew()));
        let before = self.truth.insert((version.epoch, version.number), content.entries().clone());
        assert!(before.is_none_or(|before| before == *content.entries()), "a number used for other content");
    }

    /// The fleet moves on: weights, levels, drains, returns; or the supervisor starts anew.
    fn change(&mut self) {
        let name = server(self.rng.usize(..12));
        match self.rng.u8(..10) {
            0 if self.draining.len() < 6 => {
                // The table may go on naming it: the withdrawal has to do.
                if self.rng.bool() {
                    self.tables.set(TABLE, Key::Line(name.as_str().into()), None);
                }
                self.draining.entry(name.clone()).or_insert(self.now);
                self.withdrawals.tell(&name, true);
            }
            1 => {
                if self.draining.remove(&name).is_some() {
                    self.withdrawals.tell(&name, false);
                }
                self.tables.set(TABLE, Key::Line(name.as_str().into()), Some(Entry::Part(0.5)));
            }
            2 => {
                let level = Entry::Level { admit: self.rng.f64() * 100.0, policy: self.rng.u8(..4) };
                self.tables.set(TABLE, Key::Level("lookup".into()), Some(level));
            }
            3 if self.rng.u8(..8) == 0 => self.start_anew(),
            4 => {
                let text = self.rng.u8(..4);
                let text = (text > 0).then(|| Entry::Note(format!("text {text}").as_str().into()));
                self.tables.set(TABLE, Key::Note(name.as_str().into()), text);
            }
            _ if !self.draining.contains_key(&name) => {
                let part = (self.rng.u32(1..9)) as f64;
                self.tables.set(TABLE, Key::Line(name.as_str().into()), Some(Entry::Part(part)));
            }
            _ => {}
        }
        self.seal();
    }

    /// Without history: another epoch, whose numbers begin again, with the same servers out.
    fn start_anew(&mut self) {
        self.epoch += 1;
        // Streams end with the process.
        self.channel.clear();
        let held = self.tables.content(TABLE).unwrap().entries().clone();
        self.tables = Tables::start(self.epoch, Kept { versions: 12, ..Kept::default() });
        held.into_iter().for_each(|(key, entry)| self.tables.set(TABLE, key, Some(entry)));
        self.withdrawals = Withdrawals::default();
        let out: Vec<String> = self.draining.keys().cloned().collect();
        out.iter().for_each(|name| _ = self.withdrawals.tell(name, true));
    }

    fn say(&mut self, to: usize, said: Said) {
        for _ in 0..if self.rng.f64() < self.bad / 3.0 { 2 } else { 1 } {
            if self.rng.f64() >= self.bad {
                let late = MS * self.rng.u32(1..if self.bad > 0.0 { 250 } else { 3 });
                let said =
                    if self.rng.f64() < self.bad / 4.0 { self.spoilt(said.clone()) } else { said.clone() };
                self.channel.push((self.now + late, to, said));
            }
        }
    }

    fn spoilt(&mut self, said: Said) -> Said {
        match said {
            Said::Delta(mut delta) => {
                match self.rng.u8(..5) {
                    0 => delta.result.digest ^= 1 << self.rng.u32(..128),
                    1 => _ = delta.changes.pop(),
                    2 => delta.base.number += 1,
                    3 => delta.changes.iter_mut().for_each(|c| c.entry = Some(Entry::Part(f64::NAN))),
                    _ => delta.changes.iter_mut().take(1).for_each(|c| c.key = Key::Line("elsewhere".into())),
                }
                Said::Delta(delta)
            }
            Said::Whole(mut whole) => {
                match self.rng.u8(..3) {
                    0 => _ = whole.entries.pop(),
                    1 => whole.entries.extend(whole.entries.first().cloned()),
                    _ => whole.version.digest ^= 4,
                }
                Said::Whole(whole)
            }
            said => said,
        }
    }

    /// The feed: each receiver is told, by what it last said that it holds.
    fn feed(&mut self) {
        for to in 0..self.receivers.len() {
            let (holds, heard) = (self.receivers[to].version(), self.receivers[to].heard());
            match self.tables.since(TABLE, holds) {
                Sent::Nothing => self.say(to, Said::Same(self.tables.version(TABLE).unwrap())),
                Sent::Delta(delta) => self.say(to, Said::Delta(delta)),
                Sent::Whole(whole) => self.say(to, Said::Whole(whole)),
            }
            if heard.0 == self.epoch {
                for told in self.withdrawals.since(heard.1) {
                    self.say(to, Said::Out(self.epoch, told));
                }
            }
            if heard.0 != self.epoch || self.rng.u8(..8) == 0 {
                let out = self.draining.keys().cloned().collect();
                self.say(to, Said::AllOut(self.epoch, self.withdrawals.sequence(), out));
            }
        }
    }

    fn deliver(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.channel).into_iter().partition(|(at, ..)| *at <= self.now);
        self.channel = later;
        let mut due: Vec<(Duration, usize, Said)> = due;
        due.sort_by_key(|(at, to, _)| (*at, *to));
        for (_, to, said) in due {
            let (now, receiver) = (self.now, &mut self.receivers[to]);
            let before = (receiver.version(), receiver.content().clone());
            let took = match said {
                Said::Delta(delta) => receiver.take_delta(now, &delta).map(|_| ()),
                Said::Whole(whole) => receiver.take_whole(now, &whole).map(|_| ()),
                Said::Out(epoch, told) => {
                    receiver.take_withdrawal(now, epoch, &told);
                    Ok(())
                }
                Said::AllOut(epoch, sequence, out) => {
                    receiver.take_withdrawals(now, epoch, sequence, out.iter().map(|s| s.as_str().into()));
                    Ok(())
                }
                Said::Same(version) => {
                    receiver.confirmed(now, version);
                    Ok(())
                }
            };
            if let Err(why) = took {
                assert_eq!(before, (receiver.version(), receiver.content().clone()), "applied in part");
                *self.rejects.entry(why.to_string()).or_default() += 1;
            }
        }
    }

    fn check(&self) {
        for receiver in &self.receivers {
            if let Some(version) = receiver.version() {
                let truly = &self.truth[&(version.epoch, version.number)];
                assert_eq!(receiver.content().entries(), truly, "not what {version:?} is");
            }
            for (used, _) in receiver.usable(self.now) {
                let since = self.draining.get(&**used);
                assert!(
                    since.is_none_or(|since| self.now <= *since + GRACE),
                    "{used} is used past the grace"
                );
            }
        }
    }
}

#[test]
fn receivers_end_on_the_newest_table_and_use_no_drained_server() {
    let runs = std::env::var("FALLGAP_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(10_000);
    let mut rejects: BTreeMap<String, u64> = BTreeMap::new();
    for seed in 0..runs {
        let mut world = World::new(seed);
        for step in 0..400 {
            world.now += MS * 25;
            if world.rng.u8(..5) == 0 {
                world.change();
            }
            if step % 3 == 0 {
                world.feed();
            }
            if world.rng.u16(..300) == 0 {
                // One reconnects with whatever it holds; one is new.
                let who = world.rng.usize(..4);
                world.channel.retain(|(_, to, _)| *to != who);
                if world.rng.bool() {
                    world.receivers[who] = Receiver::new(TABLE, Terms::default());
                }
            }
            world.deliver();
            world.check();
        }
        world.bad = 0.0;
        for _ in 0..40 {
            world.now += MS * 25;
            world.feed();
            world.deliver();
            world.check();
        }
        let newest = world.tables.version(TABLE);
        for receiver in &world.receivers {
            assert_eq!(receiver.version(), newest, "seed {seed}");
            let used: BTreeSet<&str> = receiver.usable(world.now).iter().map(|(s, _)| &***s).collect();
            assert!(used.iter().all(|s| !world.draining.contains_key(*s)));
        }
        world.rejects.into_iter().for_each(|(why, n)| *rejects.entry(why).or_default() += n);
    }
    assert!(rejects.len() >= 3, "the channel was too kind: {rejects:?}");
}

fn lines(tables: &mut Tables, table: u32, parts: &[(&str, f64)]) {
    parts
        .iter()
        .for_each(|(name, part)| tables.set(table, Key::Line((*name).into()), Some(Entry::Part(*part))));
    tables.seal(MS, table);
}

/// Guards against a delta applied on something else: one was missed, or it comes from another epoch with an equal
/// number.
#[test]
fn a_delta_that_does_not_follow_is_rejected() {
    let mut tables = Tables::start(1, Kept::default());
    lines(&mut tables, 3, &[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    let mut receiver = Receiver::new(3, Terms::default());
    let Sent::Whole(whole) = tables.since(3, None) else { panic!() };
    assert_eq!(receiver.take_whole(MS, &whole), Err(Reject::Unheard), "it may name servers that are out");
    receiver.take_withdrawals(MS, 1, 0, []);
    receiver.take_whole(MS, &whole).unwrap();
    let (first, held) = (tables.version(3), receiver.version());
    lines(&mut tables, 3, &[("a", 2.0)]);
    let second = tables.version(3);
    lines(&mut tables, 3, &[("b", 2.0)]);
    let Sent::Delta(next) = tables.since(3, second) else { panic!() };
    assert_eq!((receiver.take_delta(MS, &next), receiver.version()), (Err(Reject::Gap), held));
    let Sent::Delta(both) = tables.since(3, first) else { panic!() };
    let Sent::Delta(one) = (match tables.since(3, first) {
        Sent::Delta(d) => {
            Sent::Delta(Delta { result: second.unwrap(), changes: d.changes[..1].to_vec(), ..d })
        }
        s => s,
    }) else {
        panic!()
    };
    assert_eq!(
        fallgap_tables::fold(&[one.clone(), next.clone()]),
        Some(both.clone()),
        "folded, they are one"
    );
    assert_eq!(fallgap_tables::fold(&[next, one]), None);
    receiver.take_delta(MS, &both).unwrap();
    let mut other = Tables::start(2, Kept::default());
    lines(&mut other, 3, &[("a", 2.0), ("b", 2.0), ("c", 1.0)]);
    (0..2).for_each(|i| lines(&mut other, 3, &[("c", 3.0 + f64::from(i))]));
    assert_eq!(other.version(3).unwrap().number, receiver.version().unwrap().number);
    assert!(matches!(other.since(3, receiver.version()), Sent::Whole(_)), "its epoch is another");
}

/// Guards against history without end, and against a version that is told and not kept.
#[test]
fn history_is_bounded() {
    let kept = Kept { versions: 5, bytes: 100_000, age: MS * 1000 };
    let mut tables = Tables::start(1, kept);
    lines(&mut tables, 0, &[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    let mut versions = vec![tables.version(0)];
    for i in 0..9 {
        lines(&mut tables, 0, &[("a", 2.0 + f64::from(i))]);
        versions.push(tables.version(0));
    }
    assert!(matches!(tables.since(0, versions[2]), Sent::Whole(_)));
    assert!(matches!(tables.since(0, versions[5]), Sent::Delta(_)));
    assert_eq!(tables.at(0, 4), None);
    let earlier = tables.at(0, 6).unwrap();
    assert_eq!(earlier[&Key::Line("a".into())], Entry::Part(6.0));
    // Nothing that differs is no version; back to what a receiver holds is an empty delta.
    assert_eq!(tables.seal(MS, 0), versions[9]);
    lines(&mut tables, 0, &[("a", 99.0)]);
    lines(&mut tables, 0, &[("a", 10.0)]);
    let Sent::Delta(delta) = tables.since(0, versions[9]) else { panic!() };
    assert_eq!((delta.changes.len(), delta.base.digest), (0, delta.result.digest));
    tables.seal(MS * 5000, 0);
    assert_eq!(tables.held(), (1, 0), "too old");
}

/// Guards against a receiver that goes on for ever on what nobody confirms, where it is not to.
#[test]
fn old_tables_are_what_the_operator_says() {
    for when_old in [WhenOld::GoOn, WhenOld::ShunUnconfirmed] {
        let mut tables = Tables::start(1, Kept::default());
        lines(&mut tables, 0, &[("a", 1.0), ("b", 1.0)]);
        let Sent::Whole(whole) = tables.since(0, None) else { panic!() };
        let mut receiver = Receiver::new(0, Terms { lease: MS * 100, when_old, ..Terms::default() });
        assert_eq!((receiver.age(MS), receiver.usable(MS).len()), (Age::Never, 0));
        receiver.take_withdrawals(MS, 1, 0, []);
        receiver.take_whole(MS, &whole).unwrap();
        receiver.vouched(MS * 150, "b");
        assert_eq!((receiver.age(MS * 101), receiver.usable(MS * 101).len()), (Age::InLease, 2));
        let used = receiver.usable(MS * 200).len();
        assert_eq!(
            (receiver.age(MS * 200), used),
            (Age::Old(MS * 99), if when_old == WhenOld::GoOn { 2 } else { 1 })
        );
        assert_eq!(receiver.usable(MS * 900).len(), 2, "with none confirmed all are better than none");
    }
}

/// A delta that begins at a version held of late lands there: the receiver goes back to it, and holds exactly what the
/// delta says. What is late, or begins where it never was or can no longer go back to, changes nothing.
#[test]
fn a_receiver_goes_back_to_what_it_held() {
    for seed in 0..200 {
        let mut world = World::new(seed);
        let mut receiver =
            Receiver::new(TABLE, Terms { back: [4096, 6][seed as usize % 2], ..Terms::default() });
        receiver.take_withdrawals(world.now, 1, 0, []);
        let Sent::Whole(whole) = world.tables.since(TABLE, None) else { panic!("nothing is held") };
        receiver.take_whole(world.now, &whole).unwrap();
        // What the sender has heard, and what it will hear next.
        let mut heard = receiver.version();
        let mut said = Vec::new();
        let (mut taken, mut gaps) = (0, 0);
        for _ in 0..30 {
            world.tables.set(TABLE, Key::Line(server(world.rng.usize(..8)).as_str().into()), None);
            let part = Entry::Part(world.rng.f64() + 0.5);
            world.tables.set(TABLE, Key::Line(server(world.rng.usize(..12)).as_str().into()), Some(part));
            world.seal();
            if let Sent::Delta(delta) = world.tables.since(TABLE, heard) {
                match receiver.take_delta(world.now, &delta) {
                    Ok(version) => {
                        let truth = &world.truth[&(version.epoch, version.number)];
                        assert_eq!(receiver.content().entries(), truth, "seed {seed}");
                        taken += 1;
                        let late = Delta { result: delta.base, ..delta };
                        assert_eq!(receiver.take_delta(world.now, &late), Err(Reject::Gap));
                    }
                    Err(reject) => {
                        assert_eq!(reject, Reject::Gap);
                        gaps += 1;
                    }
                }
                said.push(receiver.version());
            }
            while !said.is_empty() && world.rng.u8(..4) == 0 {
                heard = said.remove(0);
            }
        }
        let bounded = seed % 2 == 1;
        assert!(taken > 0 && (bounded || gaps == 0), "seed {seed}: {taken} taken, {gaps} gaps");
    }
}

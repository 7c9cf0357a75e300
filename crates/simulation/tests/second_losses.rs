//! Three disks, of which one is replaced, as planned or since it is gone: at each message and each sync of that, one after
//! the other, a second trouble strikes each machine. Then all is well again. Whatever the moment, each epoch has one set of
//! members, numbers only rise, and the members are caught up again in time. Over the real cores, in virtual time.

use std::time::Duration;

use fallgap_control_state::{Answer, Call, NodeId};
use fallgap_simulation::voyage::guarded;
use fallgap_simulation::waters::{Sea, ms, node};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    /// A new machine has come; the first gets the word to end, and goes for good.
    Planned,
    /// The first goes for good with a new machine there.
    Gone,
    /// The first loses its disk and is back.
    Wiped,
}

/// What strikes in the middle of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Second {
    /// Power, with none of what was not synced; back after half a second.
    Power,
    Frozen,
    CutOff,
    /// Heard by all, and hears nobody; and the other way round.
    Deaf,
    Dumb,
    SlowDisk,
    Clock,
    /// Its disk is lost too. Within `tolerate` only where the first loss is over or was planned.
    Wiped,
    Gone,
}

const FIRST: [First; 3] = [First::Planned, First::Gone, First::Wiped];
const SECOND: [Second; 9] = [
    Second::Power,
    Second::Frozen,
    Second::CutOff,
    Second::Deaf,
    Second::Dumb,
    Second::SlowDisk,
    Second::Clock,
    Second::Wiped,
    Second::Gone,
];

const GRACE: Duration = ms(5500);
/// A trouble lasts this long.
const TROUBLE: Duration = ms(2500);
/// All is well: caught up after this at most.
const CAUGHT_UP: Duration = ms(15_000);

fn number(sea: &mut Sea, id: u64) -> Option<u64> {
    for (id, at) in (id..).zip(sea.disk_machines()) {
        sea.call(at, id, Call::Number { name: "n".into() });
        sea.run(sea.now + ms(300));
        let told = sea.answers.iter().find(|(told, ..)| *told == id);
        if let Some((.., Answer::Value(value))) = told {
            return Some(*value);
        }
    }
    None
}

/// The sea right before the change, and the one that goes.
fn before(first: First, seed: u64) -> Sea {
    let mut sea = Sea::founded(seed, 3, 0);
    sea.run(ms(1500));
    assert!(number(&mut sea, 1).is_some(), "a calm sea");
    if first != First::Wiped {
        sea.add(node(4), true);
    }
    sea.run(sea.now + ms(if first == First::Planned { 4000 } else { 400 }));
    sea
}

/// The change under way for one of its steps: one event. None: it is over.
struct Change {
    first: First,
    gone: bool,
    over: bool,
}

impl Change {
    fn begin(sea: &mut Sea, first: First) -> Change {
        match first {
            First::Planned => {
                sea.word_to_end(node(1));
                sea.depart(node(1));
            }
            First::Gone => sea.remove(node(1)),
            First::Wiped => {
                sea.wipe(node(1));
                sea.restart(node(1), ms(300));
            }
        }
        Change { first, gone: first != First::Planned, over: false }
    }

    /// Up to the next event, whatever it is.
    fn step(&mut self, sea: &mut Sea) {
        let next = sea.events.keys().next().map_or(sea.now + ms(10), |(at, _)| *at);
        let until = (next + Duration::from_nanos(1)).max(sea.now + Duration::from_nanos(1));
        sea.run(until.min(sea.now + ms(20)));
        self.leaves(sea, false);
        self.over = self.gone && sea.is_caught_up();
    }

    fn leaves(&mut self, sea: &mut Sea, late: bool) {
        if !self.gone && (late || sea.may_end(node(1))) {
            sea.remove(node(1));
            self.gone = true;
        }
    }

    /// Time goes on; one that leaves does so when it may, or when its time is over.
    fn run(&mut self, sea: &mut Sea, begun: Duration, until: Duration) {
        while sea.now < until {
            sea.run(sea.now + ms(10));
            let late = self.first == First::Planned && sea.now >= begun + GRACE;
            self.leaves(sea, late);
        }
    }
}

fn strike(sea: &mut Sea, second: Second, at: NodeId) {
    let others: Vec<NodeId> = sea.machines.keys().copied().filter(|other| *other != at).collect();
    match second {
        Second::Power => {
            sea.stop(at, 0);
            sea.restart(at, ms(500));
        }
        Second::Frozen => sea.freeze(at, TROUBLE),
        Second::CutOff => sea.cut(&[at], TROUBLE),
        Second::Deaf => sea.dead_links.extend(others.iter().map(|other| (*other, at))),
        Second::Dumb => sea.dead_links.extend(others.iter().map(|other| (at, *other))),
        Second::SlowDisk => {
            if let Some(machine) = sea.machines.get_mut(&at) {
                machine.slow_until = sea.now + TROUBLE;
            }
        }
        Second::Clock => sea.set_clock(at, ms(40_000)),
        Second::Wiped => {
            sea.wipe(at);
            sea.restart(at, ms(500));
        }
        Second::Gone => {
            sea.remove(at);
            sea.add(node(5), true);
        }
    }
}

/// Steps of the change without a second trouble.
fn steps(first: First, seed: u64) -> usize {
    let mut sea = before(first, seed);
    let mut change = Change::begin(&mut sea, first);
    for step in 0..100_000 {
        if change.over {
            return step;
        }
        change.step(&mut sea);
    }
    panic!("{first:?} does not come to an end: {:?}", sea.view());
}

/// Which second troubles leave enough for sure: a disk is lost for good only where no more than one is.
fn may_lose(first: First, second: Second, at: NodeId) -> bool {
    let for_good = matches!(second, Second::Wiped | Second::Gone);
    let newcomer = at == node(4) || at == node(1);
    !for_good || first == First::Planned || newcomer
}

/// How long after the second trouble the members were caught up.
fn play(first: First, second: Second, at: NodeId, moment: usize, seed: u64) -> Option<Duration> {
    let mut sea = before(first, seed);
    let begun = sea.now;
    let mut change = Change::begin(&mut sea, first);
    for _ in 0..moment {
        change.step(&mut sea);
    }
    if !sea.machines.contains_key(&at) || !may_lose(first, second, at) {
        return None;
    }
    strike(&mut sea, second, at);
    let until = sea.now + TROUBLE;
    let acknowledged = number(&mut sea, 100);
    change.run(&mut sea, begun, until);
    sea.dead_links.clear();
    change.run(&mut sea, begun, until.max(if change.gone { until } else { begun + GRACE + ms(20) }));
    // A machine that is gone for good in the middle is followed by another, as every one that is removed.
    let from = sea.now;
    while !sea.is_caught_up() && sea.now < from + CAUGHT_UP {
        sea.run(sea.now + ms(10));
    }
    assert!(sea.is_caught_up(), "not caught up: {:?}", sea.view());
    let took = sea.now - from;
    let after = number(&mut sea, 200);
    assert!(after > acknowledged.max(Some(1)), "{acknowledged:?}, then {after:?}");
    Some(took)
}

/// `LOSSES_MORE` plays with so many seeds.
fn walk(first: First) {
    let more = std::env::var("LOSSES_MORE").ok().and_then(|more| more.parse().ok()).unwrap_or(1);
    let (mut runs, mut longest) = (0, Duration::ZERO);
    for seed in 0..more {
        let steps = steps(first, seed);
        for second in SECOND {
            for n in 1..=4 {
                for moment in 0..=steps {
                    match guarded(|| play(first, second, node(n), moment, seed)) {
                        Ok(took) => {
                            runs += usize::from(took.is_some());
                            longest = longest.max(took.unwrap_or_default());
                        }
                        Err(breach) => {
                            panic!(
                                "{first:?}, then {second:?} at {n}, step {moment} of {steps}, seed {seed}: {breach}"
                            )
                        }
                    }
                }
            }
        }
    }
    println!("{first:?}: {runs} runs, caught up after {longest:?} at most");
}

#[test]
fn at_each_step_of_a_planned_replacement() {
    walk(FIRST[0]);
}

#[test]
fn at_each_step_of_an_unplanned_one() {
    walk(FIRST[1]);
}

#[test]
fn at_each_step_of_a_repair() {
    walk(FIRST[2]);
}

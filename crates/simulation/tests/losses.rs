//! A second loss at drawn moments of a replacement and of a repair, under load, over the real cores in virtual time.
//! `LOSSES_MORE` plays so many times as many.

use std::time::Duration;

use fallgap_control_state::NodeId;
use fallgap_simulation::schedule::{Act, Schedule, Step};
use fallgap_simulation::storm::Storm;
use fallgap_simulation::voyage::{guarded, settle};
use fallgap_simulation::waters::{Weather, ms, node};

/// One that leaves has so long.
const GRACE: Duration = ms(5500);

/// How a member is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// A new machine is there first; then it gets the word to end, and goes for good.
    Planned,
    /// It goes for good, and a new machine comes a second later.
    Gone,
    /// It loses its disk, and is back a moment later.
    Wiped,
    /// It loses its power, and is back a moment later with what was on its disk.
    Power,
    /// All lose their power at once; each is back a moment later with what was on its disk.
    Dark,
}

/// What is lost counts as lost for so long after it is back, or after the one in its place has started.
const CATCH_UP: Duration = ms(4000);

struct Fleet {
    storm: Storm,
    rng: fastrand::Rng,
    fresh: u8,
    leaving: Option<(NodeId, Duration)>,
    /// Times from the word to end until the process ended, and whether it was shown that it may.
    left: Vec<(Duration, bool)>,
}

impl Fleet {
    fn new(seed: u64, disks: u8, tolerate: u32) -> Fleet {
        let schedule = Schedule {
            seed,
            disks,
            plain: 1,
            tolerate,
            callers: 5,
            hasty: seed.is_multiple_of(3),
            drift_ppm: 200,
            founding: false,
            steps: Vec::new(),
        };
        let mut fleet = Fleet {
            storm: Storm::new(&schedule),
            rng: fastrand::Rng::with_seed(seed),
            fresh: 30,
            leaving: None,
            left: Vec::new(),
        };
        fleet.run(ms(1500));
        if seed % 2 == 1 {
            fleet.storm.sea.weather = Weather { lost: 20, late: 20, doubled: 20 };
        }
        fleet
    }

    /// Time passes under load. One that has got the word to end does so when it may, or when its time is over.
    fn run(&mut self, time: Duration) {
        let until = self.storm.sea.now + time;
        while self.storm.sea.now < until {
            let step = Step { at_ms: 0, act: Act::Call, dice: self.rng.u64(..) };
            self.storm.act(step);
            self.storm.run(self.storm.sea.now + ms(10));
            let Some((node, since)) = self.leaving else { continue };
            let took = self.storm.sea.now - since;
            let shown = self.storm.sea.may_end(node);
            if shown || took >= GRACE {
                self.left.push((took, shown));
                self.leaving = None;
                self.storm.sea.remove(node);
            }
        }
    }

    fn one(&mut self) -> NodeId {
        let disks = self.storm.sea.disk_machines();
        let fits = |node: &NodeId| self.leaving.is_none_or(|(leaving, _)| leaving != *node);
        let disks: Vec<NodeId> = disks.into_iter().filter(fits).collect();
        disks[self.rng.usize(0..disks.len())]
    }

    fn newcomer(&mut self) {
        self.fresh += 1;
        self.storm.sea.add(node(self.fresh), true);
    }

    /// The loss begins. Hands out how long from now it counts as one.
    fn lose(&mut self, loss: Loss) -> Duration {
        let one = self.one();
        self.lose_this(loss, one)
    }

    fn lose_this(&mut self, loss: Loss, one: NodeId) -> Duration {
        let back = ms(self.rng.u64(50..1000));
        match loss {
            Loss::Dark => {
                let dice = self.rng.u64(..);
                self.storm.act(Step { at_ms: 0, act: Act::PowerAll, dice });
                CATCH_UP
            }
            Loss::Planned => {
                self.newcomer();
                let before = ms(self.rng.u64(1000..6000));
                self.run(before);
                self.storm.sea.word_to_end(one);
                self.storm.sea.depart(one);
                self.leaving = Some((one, self.storm.sea.now));
                CATCH_UP.saturating_sub(before)
            }
            Loss::Gone => {
                self.storm.sea.remove(one);
                self.run(ms(1000));
                self.newcomer();
                CATCH_UP + ms(200)
            }
            Loss::Wiped | Loss::Power => {
                if loss == Loss::Wiped {
                    self.storm.sea.wipe(one);
                } else {
                    self.storm.sea.kill(one, true);
                }
                self.storm.sea.restart(one, back);
                back + CATCH_UP
            }
        }
    }

    /// No more losses: all comes to rest, and what callers were told is checked. How long until the members have caught up.
    fn end(mut self) -> Duration {
        let most = GRACE;
        let until = self.storm.sea.now + most;
        while self.leaving.is_some() && self.storm.sea.now < until + ms(100) {
            self.run(ms(10));
        }
        let caught_up = settle(&mut self.storm);
        self.storm.history.check();
        caught_up
    }
}

/// Two losses, the second at a drawn moment that `tolerate` allows. How long until the members had caught up again.
fn two_losses(
    seed: u64, disks: u8, tolerate: u32, first: Loss, second: Loss,
) -> (Duration, Vec<(Duration, bool)>) {
    let mut fleet = Fleet::new(seed, disks, tolerate);
    let counts = fleet.lose(first);
    if tolerate == 1 {
        fleet.run(counts);
    }
    let later = ms(fleet.rng.u64(0..3000));
    fleet.run(later);
    let counts = fleet.lose(second);
    let rest = ms(fleet.rng.u64(100..6000));
    fleet.run(counts.min(rest));
    let left = fleet.left.clone();
    (fleet.end(), left)
}

/// All lose power within a second of a replacement or a repair, while what was lost still counts as lost: no disk is lost
/// by it. How long until the members were whole again.
fn dark_within_a_second(seed: u64, disks: u8, tolerate: u32, first: Loss, later: Duration) -> Duration {
    let mut fleet = Fleet::new(seed, disks, tolerate);
    fleet.lose(first);
    fleet.run(later);
    fleet.lose(Loss::Dark);
    let rest = ms(fleet.rng.u64(100..3000));
    fleet.run(rest);
    fleet.end()
}

/// Each of the first members is replaced as planned, under load, and between two of these a disk is lost.
fn each_in_turn(seed: u64, disks: u8, tolerate: u32) -> Vec<(Duration, bool)> {
    let mut fleet = Fleet::new(seed, disks, tolerate);
    for n in 1..=disks {
        if fleet.storm.sea.machines.contains_key(&node(n)) {
            let counts = fleet.lose_this(Loss::Planned, node(n));
            fleet.run(counts);
            // The next loss is allowed from here on, while the leaver may still run.
            let later = ms(fleet.rng.u64(0..2000));
            fleet.run(later);
        }
        for _ in 0..tolerate {
            let counts = fleet.lose(Loss::Wiped);
            fleet.run(counts);
        }
        while fleet.leaving.is_some() {
            fleet.run(ms(10));
        }
    }
    let all = fleet.left.len();
    assert_eq!(all, usize::from(disks), "left");
    let left = fleet.left.clone();
    fleet.end();
    left
}

/// Disks, and how many may be lost at a time.
const SITES: [(u8, u32); 6] = [(3, 1), (4, 1), (5, 1), (7, 1), (5, 2), (7, 2)];

fn more() -> u64 {
    std::env::var("LOSSES_MORE").ok().and_then(|more| more.parse().ok()).unwrap_or(1)
}

fn after(first: Loss) {
    let mut longest = Duration::ZERO;
    let mut left = Vec::new();
    let mut runs = 0;
    for (disks, tolerate) in SITES {
        for second in [Loss::Wiped, Loss::Gone, Loss::Power, Loss::Planned] {
            if first == Loss::Planned && second == Loss::Planned {
                continue;
            }
            for seed in 0..4 * more() {
                let run = || two_losses(seed, disks, tolerate, first, second);
                match guarded(run) {
                    Ok((caught_up, ended)) => {
                        longest = longest.max(caught_up);
                        left.extend(ended);
                        runs += 1;
                    }
                    Err(breach) => {
                        panic!(
                            "{disks} disks, {tolerate} may be lost, {first:?}, {second:?}, seed {seed}: {breach}"
                        )
                    }
                }
            }
        }
    }
    let took = left.iter().map(|(took, _)| *took).max().unwrap_or_default();
    let shown = left.iter().filter(|(_, shown)| *shown).count();
    println!(
        "{first:?}: {runs} runs, caught up after {longest:?} at most; {shown} of {} left as shown, {took:?} at most",
        left.len()
    );
    assert!(longest < ms(15_000), "{longest:?}");
}

#[test]
fn a_second_loss_after_a_planned_replacement() {
    after(Loss::Planned);
}

#[test]
fn a_second_loss_after_a_machine_is_gone() {
    after(Loss::Gone);
}

#[test]
fn a_second_loss_after_a_disk_is_wiped() {
    after(Loss::Wiped);
}

/// The bench cannot bring this about: there the second loss waits until the first is made good.
#[test]
fn all_lose_power_within_a_second_of_a_loss() {
    let (mut longest, mut runs) = (Duration::ZERO, 0);
    for (disks, tolerate) in SITES {
        for first in [Loss::Planned, Loss::Gone, Loss::Wiped] {
            for seed in 0..10 * more() {
                let later = ms(seed % 10 * 100);
                match guarded(|| dark_within_a_second(seed, disks, tolerate, first, later)) {
                    Ok(whole) => longest = longest.max(whole),
                    Err(breach) => {
                        panic!(
                            "{disks} disks, {tolerate} may be lost, {first:?}, {later:?}, seed {seed}: {breach}"
                        )
                    }
                }
                runs += 1;
            }
        }
    }
    println!("all dark: {runs} runs, whole after {longest:?} at most");
    assert!(longest < ms(15_000), "{longest:?}");
}

/// An accept promises the ballot of the next attempt too, which goes without a first phase; without that, old and new meet.
#[cfg(feature = "faults")]
#[test]
fn an_accept_that_does_not_promise_the_next_ballot_is_found_in_the_dark() {
    use fallgap_control_state::fault::{self, Fault};
    for first in [Loss::Planned, Loss::Gone, Loss::Wiped] {
        fault::set(Some(Fault::NextNotPromised));
        let run = |seed: &u64| dark_within_a_second(*seed, 3, 1, first, ms(seed % 10 * 100));
        let found = (0..40).filter(|seed| guarded(|| run(seed)).is_err()).count();
        fault::set(None);
        println!("{first:?}: found by {found} of 40");
        assert!(found > 0, "{first:?}");
    }
}

#[test]
fn each_member_is_replaced_in_turn() {
    let mut left = Vec::new();
    for (disks, tolerate) in SITES {
        for seed in 0..2 * more() {
            match guarded(|| each_in_turn(seed, disks, tolerate)) {
                Ok(ended) => left.extend(ended),
                Err(breach) => panic!("{disks} disks, {tolerate} may be lost, seed {seed}: {breach}"),
            }
        }
    }
    let took = left.iter().map(|(took, _)| *took).max().unwrap_or_default();
    let shown = left.iter().filter(|(_, shown)| *shown).count();
    println!("in turn: {shown} of {} left as shown, {took:?} at most", left.len());
}

/// The process gets the word to end and comes back with its disk: what the asking costs, and that nobody is exchanged
/// for it.
#[test]
fn a_plain_restart_takes_no_longer() {
    let mut ended = Vec::new();
    let mut back = Vec::new();
    for (disks, tolerate) in SITES {
        for seed in 0..6 * more() {
            let run = || {
                let mut fleet = Fleet::new(seed, disks, tolerate);
                for n in 1..=disks {
                    let sea = &mut fleet.storm.sea;
                    let left = sea.leave(node(n), GRACE, |sea, until| sea.run(until));
                    sea.restart(node(n), ms(300));
                    let start = sea.now + ms(300);
                    fleet.run(ms(310));
                    while !fleet.storm.sea.is_caught_up() && fleet.storm.sea.now < start + GRACE {
                        fleet.run(ms(10));
                    }
                    ended.push((left.took, left.shown));
                    back.push(fleet.storm.sea.now.saturating_sub(start));
                    assert_eq!(fleet.storm.sea.keeper(node(n)).map(|keeper| keeper.epoch()), Some(1));
                }
                fleet.end();
            };
            if let Err(breach) = guarded(run) {
                panic!("{disks} disks, {tolerate} may be lost, seed {seed}: {breach}");
            }
        }
    }
    ended.sort();
    back.sort();
    let (most, middle) = (ended.last().copied(), ended.get(ended.len() / 2).copied());
    println!(
        "plain restart: {} ends, half within {middle:?}, {most:?} at most; a member again after {:?} at most",
        ended.len(),
        back.last()
    );
    assert!(ended.iter().all(|(_, shown)| *shown), "{most:?}");
    // The process serves on for longer than that anyhow.
    assert!(most.is_some_and(|(took, _)| took < ms(2000)), "{most:?}");
}

/// Nobody is there to be asked: it ends all the same, before it is made to.
#[test]
fn without_a_majority_it_ends_in_time() {
    for disks in [3, 4, 5] {
        let mut fleet = Fleet::new(0, disks, 1);
        let sea = &mut fleet.storm.sea;
        sea.cut(&[node(1)], ms(60_000));
        let left = sea.leave(node(1), GRACE, |sea, until| sea.run(until));
        assert!(!left.shown && left.took <= GRACE, "{left:?}");
    }
}

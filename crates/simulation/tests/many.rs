//! A thousand changes, and then members that come back with what they held long ago, with a part of it, or with
//! nothing. Each has caught up within a stated time, and meanwhile nothing old is told to anybody.

use std::collections::BTreeMap;
use std::time::Duration;

use fallgap_control_state::subjects::config_edition;
use fallgap_control_state::{Answer, Call, Key, NodeId};
use fallgap_simulation::history::History;
use fallgap_simulation::voyage::{guarded, uneven};
use fallgap_simulation::waters::{Sea, Weather, ms, node};

const CHANGES: u64 = 1000;
/// A member that hears a majority shows a configuration within this after it was acknowledged, or after it began to
/// hear one: a lost hint is made good by the next read, one second later at most, or by the one after it, if messages
/// are late. Of the two seconds that all processes have, less than the last tenth is left for the homes' tables.
const SHOWN: Duration = ms(1800);
/// After its start, or after the last trouble, a member counts again within this, and all hold the same within that.
const COUNTS: Duration = ms(4_000);
const EVEN: Duration = ms(15_000);
/// The member that is lost.
const LOST: u8 = 2;

struct World {
    sea: Sea,
    rng: fastrand::Rng,
    history: History,
    id: u64,
    edition: u64,
    /// When editions were acknowledged, rising.
    acknowledged: Vec<(Duration, u64)>,
    /// Since when members, in their present lives, hear a majority.
    settled: BTreeMap<NodeId, (Duration, u64)>,
    /// Disks are slow up to here: what rests on them waits.
    slow_until: Duration,
    /// The member that was lost, and when it counted again.
    lost: Option<NodeId>,
    counts: Option<Duration>,
}

impl World {
    fn new(seed: u64, disks: u8) -> World {
        let mut sea = Sea::founded(seed, disks, 1);
        sea.run(ms(1000));
        sea.first = false;
        let rng = fastrand::Rng::with_seed(seed);
        let (history, acknowledged, settled, slow_until) = Default::default();
        let (lost, counts) = (None, None);
        World { sea, rng, history, id: 0, edition: 0, acknowledged, settled, slow_until, lost, counts }
    }

    fn call(&mut self, at: NodeId, call: Call) -> u64 {
        self.id += 1;
        self.history.sent(self.id, self.sea.now, call.clone());
        self.sea.call(at, self.id, call);
        self.id
    }

    fn answer(&self, id: u64) -> Option<&Answer> {
        self.history.calls.get(&id)?.told.as_ref().map(|(_, answer)| answer)
    }

    /// Lets time pass, and looks at what members show.
    fn run(&mut self, time: Duration) {
        let until = self.sea.now + time;
        while self.sea.now < until {
            self.sea.run((self.sea.now + ms(5)).min(until));
            for (id, at, answer) in std::mem::take(&mut self.sea.answers) {
                let call = self.history.calls.get(&id).map(|told| &told.call);
                if let (Some(Call::ConfigPut { edition, .. }), Answer::Done) = (call, &answer) {
                    let newest = self.acknowledged.last().map_or(0, |(_, newest)| *newest);
                    self.acknowledged.push((at, newest.max(*edition)));
                }
                self.history.told(id, at, answer);
            }
            self.look();
            let counts = |node| self.sea.keeper(node).is_some_and(|keeper| keeper.is_member());
            if self.counts.is_none() && self.lost.is_some_and(counts) {
                self.counts = Some(self.sea.now);
            }
        }
    }

    fn look(&mut self) {
        let now = self.sea.now;
        let hears = |sea: &Sea, node: &NodeId| {
            let machine = &sea.machines[node];
            let keeper = machine.keeper.as_ref().filter(|keeper| keeper.is_member());
            keeper.is_some_and(|keeper| keeper.is_settled(machine.time(now)))
        };
        let up = self.sea.up();
        let settled: Vec<NodeId> = up.into_iter().filter(|node| hears(&self.sea, node)).collect();
        let life = |sea: &Sea, node: &NodeId| sea.machines[node].life;
        self.settled.retain(|node, (_, of)| settled.contains(node) && life(&self.sea, node) == *of);
        for node in settled {
            self.settled.entry(node).or_insert((now, life(&self.sea, &node)));
        }
        if now < self.slow_until + SHOWN {
            return;
        }
        let past = self.acknowledged.partition_point(|(at, _)| *at + SHOWN <= now);
        let Some((_, due)) = past.checked_sub(1).and_then(|at| self.acknowledged.get(at)) else { return };
        for (node, _) in self.settled.iter().filter(|(_, (since, _))| *since + SHOWN <= now) {
            let shown = config_edition(self.sea.shown(*node, &Key::Config));
            assert!(shown >= Some(*due), "{node} shows {shown:?} at {now:?}, and {due} was acknowledged");
        }
    }

    fn draw(&mut self) -> Call {
        let which = self.rng.u64(0..40);
        match self.rng.u8(0..10) {
            0..3 => {
                self.edition += 1;
                let mut body = self.edition.to_be_bytes().to_vec();
                body.resize(self.rng.usize(8..2000), 7);
                Call::ConfigPut { edition: self.edition, body }
            }
            3..5 => Call::Number { name: format!("n{which}") },
            5..7 => {
                let hold = ms(self.rng.u64(20..2000));
                let holder = format!("h{}", self.rng.u8(0..3));
                Call::LockStart { name: format!("l{which}"), holder, hold }
            }
            7 => Call::CellGet { name: format!("g{}.k{which}", which % 7) },
            _ => {
                let (name, value) = (format!("g{}.k{which}", which % 7), format!("v{}", self.id));
                Call::CellPut { name, value, on: None }
            }
        }
    }

    /// Changes through all members that run, a few at once, each acknowledged or given up before others take its
    /// place. How many were done.
    fn change(&mut self, changes: u64) -> usize {
        let (first, end) = (self.id, self.id + changes);
        while self.id < end {
            let counts = |node: &NodeId| self.sea.keeper(*node).is_some_and(|keeper| keeper.is_member());
            let up: Vec<NodeId> = self.sea.up().into_iter().filter(counts).collect();
            let lot: Vec<u64> = (0..self.rng.u64(1..5))
                .map(|_| {
                    let (at, call) = (up[self.rng.usize(0..up.len())], self.draw());
                    self.call(at, call)
                })
                .collect();
            let until = self.sea.now + ms(950);
            while self.sea.now < until && lot.iter().any(|id| self.answer(*id).is_none()) {
                self.run(ms(5));
            }
        }
        let good = |id: &u64| !matches!(self.answer(*id), None | Some(Answer::Busy | Answer::Unknown));
        (first + 1..=self.id).filter(good).count()
    }

    /// Asks one member for everything, all the while, until it counts and all hold the same.
    fn caught_up(&mut self, lost: NodeId) -> (Duration, Duration) {
        let since = self.sea.now;
        let mut even = None;
        (self.lost, self.counts) = (Some(lost), None);
        while even.is_none() && self.sea.now < since + EVEN {
            for _ in 0..3 {
                let call = self.draw();
                self.call(lost, call);
            }
            // What one tells the next one tells too.
            for which in 0..40 {
                for at in [vec![lost], self.sea.disk_machines()].concat() {
                    self.call(at, Call::CellGet { name: format!("g{}.k{which}", which % 7) });
                    self.run(ms(5));
                }
            }
            self.call(lost, Call::ConfigGet);
            // What is under way just now differs.
            if self.counts.is_some() {
                self.run(ms(300));
                even = (self.sea.is_caught_up() && uneven(&self.sea).is_none()).then(|| self.sea.now - since);
            }
        }
        let counts = self.counts.map(|at| at - since);
        let counts = counts.unwrap_or_else(|| panic!("{lost} does not count: {:?}", self.sea.view()));
        let even = even.unwrap_or_else(|| panic!("not even: {:?}", uneven(&self.sea)));
        assert!(counts <= COUNTS, "{lost} counts after {counts:?}");
        (counts, even)
    }

    fn check(&mut self) {
        self.run(ms(2000));
        let shown = config_edition(self.sea.shown(node(LOST), &Key::Config));
        let newest = self.acknowledged.last().map(|(_, edition)| *edition);
        assert!(shown >= newest, "{shown:?} is shown, and {newest:?} was acknowledged");
        if let Err(breach) = guarded(|| self.history.check()) {
            panic!("{breach}");
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// It ended after a tenth of the changes, and comes back after all of them.
    OldSnapshot,
    /// Its disk was slow, and loses power: a part of what it wrote is gone.
    TornTail,
    /// All machines lose power, with slow disks.
    AllTornTails,
    Empty,
    /// It is another machine.
    Replaced,
    /// It ends and is back at once, again and again, while changes go on and messages are late: what was meant for the
    /// life before reaches the next one.
    Blinks,
}

/// Changes, a loss, and what it took to catch up again.
fn play(loss: Loss, seed: u64, disks: u8, changes: u64) -> (Duration, Duration) {
    let mut world = World::new(seed, disks);
    if seed % 3 == 1 {
        world.sea.weather = Weather { lost: 20, late: 10, doubled: 10 };
    }
    let mut lost = node(LOST);
    let mut done = world.change(changes / 10);
    if loss == Loss::OldSnapshot {
        world.sea.kill(lost, false);
    }
    done += world.change(changes - changes / 10);
    assert!(done as u64 > changes * 3 / 4, "{done} of {changes} were done");
    match loss {
        Loss::OldSnapshot => world.sea.restart(lost, ms(1)),
        Loss::TornTail | Loss::AllTornTails => {
            let all = if loss == Loss::TornTail { vec![lost] } else { world.sea.disk_machines() };
            let slow = |world: &mut World, until| {
                for node in &all {
                    world.sea.machines.get_mut(node).expect("a machine").slow_until = until;
                }
            };
            slow(&mut world, ms(1_000_000));
            world.slow_until = ms(1_000_000);
            world.change(20);
            slow(&mut world, Duration::ZERO);
            world.slow_until = world.sea.now;
            for node in &all {
                world.sea.kill(*node, true);
                world.sea.restart(*node, ms(300));
            }
            world.run(ms(300));
        }
        Loss::Empty => {
            world.sea.wipe(lost);
            world.sea.restart(lost, ms(300));
            world.run(ms(300));
        }
        Loss::Blinks => {
            world.sea.weather = Weather { lost: 0, late: 400, doubled: 100 };
            for _ in 0..15 {
                world.change(8);
                world.sea.kill(lost, true);
                world.sea.restart(lost, ms(1));
            }
            world.sea.weather = Weather::default();
            world.run(ms(5));
        }
        Loss::Replaced => {
            world.sea.remove(lost);
            lost = node(20);
            world.sea.add(lost, true);
        }
    }
    let times = world.caught_up(lost);
    if lost == node(LOST) {
        world.check();
    }
    times
}

/// The worst of the drawn runs.
fn worst(loss: Loss, seeds: u64) {
    let mut worst = (Duration::ZERO, Duration::ZERO);
    for seed in 0..seeds {
        let disks = 3 + (seed % 3) as u8;
        let (counts, even) = play(loss, seed, disks, CHANGES);
        worst = (worst.0.max(counts), worst.1.max(even));
    }
    println!("{loss:?}: counts after {:?}, all even after {:?}", worst.0, worst.1);
}

#[test]
fn one_that_comes_back_from_an_old_snapshot() {
    worst(Loss::OldSnapshot, 60);
}

#[test]
fn one_whose_log_ends_torn() {
    worst(Loss::TornTail, 60);
}

#[test]
fn all_whose_logs_end_torn() {
    worst(Loss::AllTornTails, 60);
}

#[test]
fn one_with_an_empty_disk() {
    worst(Loss::Empty, 60);
}

#[test]
fn one_that_takes_the_place_of_another() {
    worst(Loss::Replaced, 60);
}

#[test]
fn one_that_is_back_at_once_again_and_again() {
    worst(Loss::Blinks, 60);
}

/// Members that come back are where these show: each is found by the loss that it is named with.
#[cfg(feature = "faults")]
#[test]
fn the_faults_are_found() {
    use fallgap_control_state::fault::{self, Fault};
    let table = [
        (Fault::ReadBackIsCommitted, Loss::AllTornTails),
        (Fault::AcceptUnsynced, Loss::AllTornTails),
        (Fault::NoRepair, Loss::OldSnapshot),
    ];
    for (fault, loss) in table {
        fault::set(Some(fault));
        let found = (0..200).find(|seed| {
            let disks = 3 + (seed % 3) as u8;
            guarded(|| play(loss, *seed, disks, CHANGES / 4)).is_err()
        });
        fault::set(None);
        println!("{fault:?} by {loss:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} by {loss:?}");
    }
}

//! Operations that are to be done once, attempted at many machines at once while members die, lose disks, are cut off and are
//! replaced: no two attempts at one are ever granted. Over the real cores, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use fallgap_control_state::attempts::{AttemptTerms, Attempts, Verdict};
#[cfg(feature = "faults")]
use fallgap_control_state::fault::{self, Fault};
use fallgap_control_state::{Attempt, Keeper, NodeId, OperationId};
use fallgap_simulation::waters::{Sea, Weather, ms, node};

const DISKS: u8 = 5;
const PLAIN: u8 = 4;
/// So long a run of troubles lasts; claims outlive it.
const RUN: Duration = ms(14_000);

struct World {
    sea: Sea,
    attempts: BTreeMap<NodeId, Attempts>,
    /// By the asker's number.
    asked: BTreeMap<(NodeId, u64), (OperationId, Attempt)>,
    granted: BTreeMap<OperationId, Vec<Attempt>>,
    told: BTreeMap<&'static str, usize>,
    rng: fastrand::Rng,
}

fn operation(n: u8) -> OperationId {
    OperationId([n; 16])
}

impl World {
    fn new(seed: u64) -> World {
        let mut sea = Sea::founded(seed, DISKS, PLAIN);
        sea.tolerate = 2;
        sea.run(ms(1500));
        let nodes = (1..=DISKS + PLAIN).map(node);
        let attempts = nodes.map(|node| (node, Attempts::new(AttemptTerms::default(), 1))).collect();
        let rng = fastrand::Rng::with_seed(seed);
        let (asked, granted, told) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        World { sea, attempts, asked, granted, told, rng }
    }

    fn begin(&mut self, at: NodeId, operation: OperationId) {
        let attempt = Attempt { node: at, number: self.rng.u64(1..) };
        let members = self.sea.disk_machines();
        let now = self.sea.now;
        let Some(attempts) = self.attempts.get_mut(&at) else { return };
        if let Some(number) = attempts.begin(now, operation, attempt, &members) {
            self.asked.insert((at, number), (operation, attempt));
        }
    }

    /// Lets a moment pass.
    fn step(&mut self) {
        let now = self.sea.now;
        let mut over = Vec::new();
        for (at, voted) in std::mem::take(&mut self.sea.votes) {
            let Some(attempts) = self.attempts.get_mut(&at) else { continue };
            let (number, epoch) = (voted.number, voted.epoch);
            let verdict = attempts.voted(now, voted.member, number, epoch, voted.quorum, voted.vote);
            over.extend(verdict.map(|verdict| (at, number, verdict)));
        }
        for (at, attempts) in &mut self.attempts {
            over.extend(attempts.woke(now).into_iter().map(|(number, verdict)| (*at, number, verdict)));
        }
        over.into_iter().for_each(|(at, number, verdict)| self.settled(at, number, verdict));
        let sent: Vec<(NodeId, NodeId, _)> = self
            .attempts
            .iter_mut()
            .flat_map(|(at, attempts)| attempts.take().into_iter().map(|(to, message)| (*at, to, message)))
            .collect();
        sent.into_iter().for_each(|(at, to, message)| self.sea.attempts(at, to, message));
        self.sea.run(now + ms(1));
    }

    fn settled(&mut self, at: NodeId, number: u64, verdict: Verdict) {
        let Some((operation, attempt)) = self.asked.remove(&(at, number)) else { return };
        let word = match verdict {
            Verdict::Granted => "granted",
            Verdict::Taken { .. } => "taken",
            Verdict::NoMajority => "no majority",
        };
        *self.told.entry(word).or_default() += 1;
        if verdict == Verdict::Granted {
            self.granted.entry(operation).or_default().push(attempt);
        } else {
            let members = self.sea.disk_machines();
            self.attempts.get_mut(&at).expect("it attempts").give_up(operation, attempt, &members);
        }
    }

    fn members(&self) -> Vec<NodeId> {
        self.sea.up().into_iter().find_map(|at| self.sea.keeper(at).map(Keeper::members)).unwrap_or_default()
    }

    /// Something happens to a disk machine. No more than two of five are troubled at a time, and no disk is lost while
    /// another one's loss has not been made good.
    fn trouble(&mut self, settled: bool) {
        let members = self.members();
        let Some(at) = members.get(self.rng.usize(..members.len().max(1))).copied() else { return };
        match self.rng.u8(0..7) {
            0 => self.sea.freeze(at, ms(self.rng.u64(300..2500))),
            1 => self.sea.cut(&[at], ms(self.rng.u64(300..2500))),
            2 if settled => {
                self.sea.wipe(at);
                self.sea.restart(at, ms(300));
            }
            3 if settled && members.len() == usize::from(DISKS) => {
                let other = members.iter().find(|other| **other != at).copied();
                for lost in [Some(at), other].into_iter().flatten() {
                    self.sea.wipe(lost);
                    self.sea.restart(lost, ms(300));
                }
            }
            4 if settled && self.sea.machines.len() < 14 => {
                self.sea.remove(at);
                let new = node(20 + self.sea.machines.len() as u8 + self.rng.u8(0..40));
                self.sea.add(new, true);
            }
            _ => {
                self.sea.kill(at, true);
                self.sea.restart(at, ms(self.rng.u64(200..1200)));
            }
        }
    }
}

/// What was granted, and how many verdicts of each kind there were.
fn run(seed: u64) -> World {
    let mut world = World::new(seed);
    if seed % 2 == 1 {
        world.sea.weather = Weather { lost: 20, late: 200, doubled: 20 };
    }
    let until = world.sea.now + RUN;
    let (mut next_attempt, mut next_trouble) = (world.sea.now, world.sea.now + ms(400));
    while world.sea.now < until {
        if world.sea.now >= next_attempt {
            next_attempt = world.sea.now + ms(world.rng.u64(2..30));
            // Some at two machines at once, some again much later.
            let of = operation(world.rng.u8(0..150));
            for _ in 0..world.rng.usize(1..3) {
                let at = node(world.rng.u8(1..=DISKS + PLAIN));
                world.begin(at, of);
            }
        }
        if world.sea.now >= next_trouble {
            next_trouble = world.sea.now + ms(world.rng.u64(150..1500));
            let settled = world.sea.is_caught_up();
            world.trouble(settled);
        }
        world.step();
    }
    world
}

/// An operation that was granted twice.
fn granted_twice(world: &World) -> Option<&Vec<Attempt>> {
    world.granted.values().find(|attempts| attempts.len() > 1)
}

#[test]
fn no_operation_is_granted_to_two_attempts() {
    let seeds: u64 = std::env::var("CLAIM_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(24);
    let mut told: BTreeMap<&str, usize> = BTreeMap::new();
    for seed in 0..seeds {
        let world = run(seed);
        assert_eq!(granted_twice(&world), None, "seed {seed}");
        world.told.iter().for_each(|(word, count)| *told.entry(word).or_default() += count);
    }
    println!("{seeds} seeds: {told:?}");
    assert!(told["granted"] > 100 * seeds as usize, "most operations are done: {told:?}");
}

/// Deliberate faults, and a schedule that finds each.
#[cfg(feature = "faults")]
const FOUND: [(Fault, u64); 4] = [
    (Fault::VoteUnsynced, 194),
    (Fault::ClaimsNotRead, 0),
    (Fault::LaterClaimCounts, 0),
    (Fault::MajorityLessOne, 0),
];

#[cfg(feature = "faults")]
#[test]
fn deliberate_faults_are_found() {
    for (wrong, seed) in FOUND {
        fault::set(Some(wrong));
        let world = run(seed);
        fault::set(None);
        assert!(granted_twice(&world).is_some(), "{wrong:?}");
    }
}

/// All disks lose power at once: what was granted stays so.
#[test]
fn claims_outlive_a_loss_of_all_power() {
    for seed in 0..8 {
        let mut world = World::new(seed);
        for n in 0..40 {
            world.begin(node(DISKS + 1 + n % PLAIN), operation(n));
            (0..12).for_each(|_| world.step());
        }
        (0..40).for_each(|_| world.step());
        let granted = world.granted.len();
        assert!(granted >= 39, "{granted}");
        for at in (1..=DISKS).map(node) {
            world.sea.kill(at, true);
            world.sea.restart(at, ms(500));
        }
        (0..4000).for_each(|_| world.step());
        for n in 0..40 {
            world.begin(node(DISKS + 1 + (n + 1) % PLAIN), operation(n));
            (0..12).for_each(|_| world.step());
        }
        (0..1200).for_each(|_| world.step());
        assert_eq!(granted_twice(&world), None, "seed {seed}");
    }
}

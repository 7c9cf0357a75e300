//! Puts of all sizes that are taken, more of them than a group's value holds, and watches from any revision that was given less than
//! `history_s` ago, while members lose power, disks and processes: each gets all puts behind it, and none is told that they are forgotten.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use fallgap_control_state::{Answer, Call, Event, NodeId};
use fallgap_simulation::waters::{Sea, ms, node};

const DISKS: u8 = 3;
/// As many puts a second, of so many bytes at most.
const PUTS: u32 = 40;
const LONGEST: usize = 4096;
/// Records of a disk between two snapshots.
const SNAPSHOT: usize = 150;
/// One that loses power is away for longer than a group's own value reaches back.
const AWAY: Range<u64> = 200..3500;
/// All come back within a second.
const ALL_AWAY: Range<u64> = 200..900;
/// Bytes of overwritten values in a group's own value.
const OWN_ROOM: usize = 128 << 10;
const LASTS: Duration = Duration::from_secs(9);
/// A watch that nobody answers, or that is turned away, is asked again elsewhere; with a majority there it is answered within this.
const ANSWERED: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Nothing,
    /// One loses power, again and again.
    Power,
    /// All processes are killed at once, twice.
    All,
    /// One disk is lost, and a machine comes back with an empty one; later all others lose power.
    Disk,
}

struct Watch {
    id: u64,
    after: u64,
    since: Duration,
    asked: Duration,
    /// Asked there alone.
    at: Option<NodeId>,
}

struct World {
    sea: Sea,
    rng: fastrand::Rng,
    id: u64,
    puts: BTreeMap<u64, (String, String)>,
    /// What was acknowledged, by revision; and all that a watch has shown.
    acknowledged: BTreeMap<u64, (String, String)>,
    shown: BTreeMap<u64, Event>,
    watches: Vec<Watch>,
    /// Answers that had over twice of what a group has itself.
    large: usize,
}

impl World {
    fn new(seed: u64) -> World {
        let mut sea = Sea::founded(seed, DISKS, 0);
        sea.snapshot_after = SNAPSHOT;
        sea.run(ms(1000));
        let rng = fastrand::Rng::with_seed(seed);
        let (puts, acknowledged, shown) = Default::default();
        World { sea, rng, id: 0, puts, acknowledged, shown, watches: Vec::new(), large: 0 }
    }

    fn call(&mut self, at: Option<NodeId>, call: Call) -> u64 {
        self.id += 1;
        let any = node(self.rng.u8(1..=DISKS));
        self.sea.call(at.unwrap_or(any), self.id, call);
        self.id
    }

    fn put(&mut self) {
        let name = format!("g.{}", self.rng.u8(..5));
        let value = format!("{:0>length$}", self.id, length = self.rng.usize(16..=LONGEST));
        let id = self.call(None, Call::CellPut { name: name.clone(), value: value.clone(), on: None });
        self.puts.insert(id, (name, value));
    }

    fn watch(&mut self, at: Option<NodeId>, after: u64, since: Duration) {
        let id = self.call(at, Call::Watch { group: "g.".into(), after, wait: Duration::ZERO });
        self.watches.push(Watch { id, after, since, asked: self.sea.now, at });
    }

    fn heard(&mut self) {
        for (id, _, answer) in std::mem::take(&mut self.sea.answers) {
            if let (Some(put), Answer::Revision(revision)) = (self.puts.get(&id), &answer) {
                let known = self.acknowledged.insert(*revision, put.clone());
                assert!(known.is_none_or(|known| known == *put), "revision {revision} was given twice");
            }
            let Some(at) = self.watches.iter().position(|watch| watch.id == id) else { continue };
            match answer {
                Answer::Events { events, revision } => {
                    let watch = self.watches.swap_remove(at);
                    self.seen(watch.after, events, revision);
                }
                Answer::Busy | Answer::Unknown => self.watches[at].asked = Duration::ZERO,
                other => panic!("a watch from {} is told {other:?}", self.watches[at].after),
            }
        }
    }

    /// All puts from there to a revision, each as it was put and as others have seen it.
    fn seen(&mut self, after: u64, events: Vec<Event>, revision: u64) {
        assert_eq!(events.len() as u64, revision - after, "from {after} to {revision}");
        let bytes: usize = events.iter().map(|event| event.value.len()).sum();
        self.large += usize::from(bytes > 2 * OWN_ROOM);
        for (event, wanted) in events.into_iter().zip(after + 1..) {
            assert_eq!(event.revision, wanted);
            let put = (event.name.clone(), event.value.clone());
            assert!(
                self.acknowledged.get(&wanted).is_none_or(|known| *known == put),
                "another put at {wanted}"
            );
            let shown = self.shown.entry(wanted).or_insert_with(|| event.clone());
            assert_eq!(*shown, event, "a watch shows another put at {wanted}");
        }
    }

    fn again(&mut self) {
        let now = self.sea.now;
        let silent: Vec<usize> =
            (0..self.watches.len()).filter(|at| now >= self.watches[*at].asked + ms(1000)).collect();
        for at in silent.into_iter().rev() {
            let Watch { after, since, at, .. } = self.watches.swap_remove(at);
            assert!(now < since + ANSWERED, "a watch from {after} has no answer after {:?}", now - since);
            self.watch(at, after, since);
        }
    }

    fn run(&mut self, until: Duration, puts: bool) {
        while self.sea.now < until {
            let next = self.sea.now + Duration::from_secs(1) / PUTS;
            self.sea.run(next);
            self.heard();
            self.again();
            if puts {
                self.put();
                let known: Vec<u64> = self.acknowledged.keys().copied().collect();
                if let Some(after) = self.rng.choice(known).filter(|_| self.rng.u8(..8) == 0) {
                    self.watch(None, after, self.sea.now);
                }
            }
        }
    }

    fn down(&mut self, nodes: &[NodeId], power: bool, away: Range<u64>) {
        for node in nodes {
            self.sea.kill(*node, power);
            let after = ms(self.rng.u64(away.clone()));
            self.sea.restart(*node, after);
        }
    }
}

fn play(loss: Loss, seed: u64) -> usize {
    let mut world = World::new(seed);
    let all: Vec<NodeId> = (1..=DISKS).map(node).collect();
    let begun = world.sea.now;
    for third in 1..=3 {
        world.run(begun + LASTS * third / 3, true);
        let one = node(world.rng.u8(1..=DISKS));
        match loss {
            Loss::Nothing => {}
            Loss::Power => world.down(&[one], true, AWAY),
            Loss::All => world.down(&all, false, ALL_AWAY),
            Loss::Disk if third == 1 => {
                world.sea.wipe(one);
                world.sea.restart(one, ms(300));
            }
            Loss::Disk if third == 3 => world.down(&all, true, ALL_AWAY),
            Loss::Disk => {}
        }
    }
    let end = world.sea.now + Duration::from_secs(4);
    world.run(end, false);
    // From the first revision, each member by itself has all.
    all.iter().for_each(|member| world.watch(Some(*member), 1, world.sea.now));
    let end = world.sea.now + ANSWERED;
    while !world.watches.is_empty() {
        assert!(world.sea.now < end, "{} watches have no answer", world.watches.len());
        let next = world.sea.now + ms(50);
        world.run(next, false);
    }
    for revision in world.acknowledged.keys() {
        assert!(world.shown.contains_key(revision), "{revision} was acknowledged, and no watch shows it");
    }
    world.large
}

/// Guards against a watch that is told 410 for a revision of a moment ago, as values over 128 KiB of a group were forgotten.
#[test]
fn watches_get_large_puts_whatever_is_lost() {
    let seeds = std::env::var("CUT_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2);
    for loss in [Loss::Nothing, Loss::Power, Loss::All, Loss::Disk] {
        for seed in 0..seeds {
            let large = std::panic::catch_unwind(|| play(loss, seed));
            let Ok(large) = large else { panic!("{loss:?}, seed {seed}") };
            assert!(large > 0, "{loss:?}, seed {seed}: no answer was large");
        }
    }
}

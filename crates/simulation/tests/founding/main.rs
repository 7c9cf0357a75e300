//! The very first start under cuts, kills, slow disks, loss and late starts: epoch 1 is one, everywhere and for good, and
//! begins within a stated time whenever a majority of the seeds can talk and remembers.

#[cfg(feature = "faults")]
mod faults;
mod world;

use std::time::Duration;

use fallgap_control_state::NodeId;
use fallgap_simulation::Check;
use fallgap_simulation::schedule::Schedule;
use fallgap_simulation::voyage::{guarded, sail};
use fallgap_simulation::waters::{Event, Sea, Weather, ms, node};
use world::*;

/// Seeds, by the number of disks and of machines without: all of them at the machines with a disk, some, none.
const SEEDS: &[(u8, u8, &[u8])] = &[
    (1, 0, &[1]),
    (1, 2, &[1, 2, 3]),
    (2, 0, &[1, 2]),
    (3, 0, &[1, 2, 3]),
    (3, 2, &[1]),
    (3, 2, &[1, 4]),
    (3, 3, &[4, 5, 6]),
    (4, 2, &[2, 3, 6]),
    (5, 3, &[1, 6, 7]),
    (7, 0, &[2, 4, 6]),
];

#[test]
fn in_calm_waters_all_are_founded_in_time_whoever_starts_first() {
    for (disks, plain, seeds) in SEEDS {
        for rng in 0..30 {
            let what = format!("{disks} disks, seeds {seeds:?}, {rng}");
            let mut sea = begin(rng, *disks, *plain, seeds);
            // Fewer disks than the loss of one leaves a majority of might be those that are here, not all.
            let limit = if *disks < 3 { ms(4300) } else { FOUNDED };
            let done = until(&mut sea, limit, |sea| knowing(sea).len() == sea.machines.len());
            assert!(done, "{what}: {:?}", sea.view());
            let members = sea.keeper(node(1)).map(|keeper| keeper.members().len());
            assert_eq!(members, Some(usize::from(*disks)), "{what}");
            sound(&mut sea, 0, &what);
        }
    }
}

/// All within 0.3 s in any order, but for one that comes later: a seed with a disk or without, or no seed.
#[test]
fn whoever_comes_late_is_not_waited_for_and_comes_in() {
    for (disks, plain, seeds) in [(3, 2, [1, 2, 3]), (4, 3, [2, 5, 6]), (5, 0, [1, 3, 5])] {
        for late in 1..=disks + plain {
            for rng in 0..12 {
                let what = format!("{disks} disks, seeds {seeds:?}, {late} is late, {rng}");
                let mut sea = begin(rng, disks, plain, &seeds);
                sea.events.clear();
                for n in 1..=disks + plain {
                    let after = if n == late { 300 + 500 * rng } else { sea.rng.u64(0..300) };
                    sea.restart(node(n), ms(after));
                }
                let others = |sea: &Sea| knowing(sea).iter().filter(|one| **one != node(late)).count();
                let done = until(&mut sea, IN_TROUBLE, |sea| others(sea) + 1 == sea.machines.len());
                assert!(done, "{what}: {:?}", sea.view());
                let done = until(&mut sea, IN_TROUBLE, |sea| knowing(sea).len() == sea.machines.len());
                assert!(done, "{what}: {:?}", sea.view());
                sound(&mut sea, 0, &what);
            }
        }
    }
}

/// Processes that start again are told of other seeds. Those whose disks hold the first ones go by these.
#[test]
fn seeds_named_later_have_no_vote() {
    for rng in 0..60 {
        let mut sea = begin(rng, 6, 0, &[1, 2, 3]);
        sea.run(ms(400));
        // Nobody hears the seeds yet: none of the others may found in their place.
        for seed in [1, 2, 3] {
            cut_links(&mut sea, node(seed), false, false);
        }
        sea.seeds = [4, 5, 6].map(node).to_vec();
        for n in 1..=6 {
            let power = sea.rng.bool();
            sea.kill(node(n), power);
            let after = ms(sea.rng.u64(1..900));
            sea.restart(node(n), after);
        }
        sea.run(ms(9000));
        assert!(knowing(&sea).is_empty(), "{rng}: {:?}", sea.view());
        sound(&mut sea, 0, &rng.to_string());
    }
}

/// The founder is cut off, silently, from a moment on, and comes back after twenty seconds. The others are founded
/// without it, or with it; what they confirm meanwhile stays.
#[test]
fn a_founder_that_is_cut_off_founds_nothing_of_its_own() {
    let table = [("both ways", false, false), ("it hears", true, false), ("it is heard", false, true)];
    for (disks, plain, seeds) in [(3, 2, [1, 2, 3]), (4, 2, [2, 3, 6]), (5, 0, [1, 3, 5]), (3, 3, [4, 5, 6])]
    {
        for (way, hears, is_heard) in table {
            for after in (0..2400).step_by(40) {
                let what = format!("{disks} disks, seeds {seeds:?}, {way} after {after} ms");
                let mut sea = begin(after, disks, plain, &seeds);
                sea.run(ms(after));
                cut_links(&mut sea, lowest(&seeds), hears, is_heard);
                let others = |sea: &Sea| knowing(sea).iter().filter(|node| **node != lowest(&seeds)).count();
                let limit = ms(after) + IN_TROUBLE;
                let done = until(&mut sea, limit, |sea| others(sea) + 1 == sea.machines.len());
                assert!(done, "{what}: {:?}", sea.view());
                let acknowledged = if put(&mut sea, 100, 7) { 7 } else { 0 };
                sea.run(ms(after + 20_000));
                sound(&mut sea, acknowledged, &what);
            }
        }
    }
}

/// A machine loses its power in the moment that somebody first tells of the members, or a little before or after it,
/// with none of what it had not synced; or all do. One more may be cut off from then on, so that whoever would decide
/// anew would name others.
fn power_lost(sea: &mut Sea, who: usize, parted: bool, slow: bool, later: u64) {
    sea.run(ms(500));
    if slow {
        sea.machines.values_mut().for_each(|machine| machine.slow_until = ms(60_000));
    }
    until(sea, ms(40_000), |sea| !knowing(sea).is_empty());
    sea.run(sea.now + ms(later));
    let disks = sea.disk_machines();
    let lost = disks.get(who).map_or(disks.clone(), |one| vec![*one]);
    for (place, node) in lost.into_iter().enumerate() {
        sea.stop(node, 0);
        sea.restart(node, ms(300 + 400 * place as u64));
    }
    sea.machines.values_mut().for_each(|machine| machine.slow_until = Duration::ZERO);
    if let Some(last) = disks.last().filter(|_| parted) {
        cut_links(sea, *last, false, false);
    }
    sea.run(sea.now + ms(9000));
}

#[test]
fn power_lost_between_telling_and_syncing_makes_no_second_beginning() {
    for (disks, seeds) in
        [(3, vec![1, 2, 3]), (4, vec![2, 3, 4]), (5, vec![1, 3, 5]), (3, vec![1, 2]), (3, vec![2])]
    {
        for who in 0..=usize::from(disks) {
            for parted in [false, true] {
                for (slow, later) in
                    [(false, 0), (false, 2), (false, 7), (true, 0), (true, 3), (true, 40), (true, 700)]
                {
                    let what = format!(
                        "{disks} disks, seeds {seeds:?}, {who}, {parted}, slow {slow}, {later} ms later"
                    );
                    let mut sea = begin(later + 100 * who as u64, disks, 0, &seeds);
                    power_lost(&mut sea, who, parted, slow, later);
                    sound(&mut sea, 0, &what);
                }
            }
        }
    }
}

/// Whoever first knows of the members is cut off before it can tell, with a disk that it has named: those that are
/// left find what a majority has accepted, and begin with that.
fn news_lost(sea: &mut Sea, other: u8) {
    while knowing(sea).is_empty() && sea.now < ms(20_000) {
        sea.run(sea.now + Duration::from_micros(100));
    }
    for node in knowing(sea).into_iter().chain([node(other)]) {
        cut_links(sea, node, false, false);
    }
    sea.events.retain(|_, event| !matches!(event, Event::Deliver { .. }));
    sea.run(sea.now + ms(9000));
}

#[test]
fn what_was_decided_and_not_told_is_found_again() {
    for (disks, plain, seeds) in [(5, 0, [1, 2, 3]), (5, 3, [6, 7, 8]), (4, 1, [1, 2, 5])] {
        for rng in 0..40 {
            let mut sea = begin(rng, disks, plain, &seeds);
            news_lost(&mut sea, 4);
            let known: Vec<_> =
                sea.up().into_iter().filter_map(|node| sea.keeper(node)).map(|k| k.epoch()).collect();
            assert!(known.iter().filter(|epoch| **epoch > 0).count() > 2, "{rng}: {:?}", sea.view());
            sound(&mut sea, 0, &rng.to_string());
        }
    }
}

/// One of the two seeds that decided is cut off, the other loses its disk and meets the third, which was alone so far.
fn voted_and_wiped(sea: &mut Sea) {
    let [one, two, three] = [1, 2, 3].map(node);
    cut_links(sea, three, false, false);
    until(sea, ms(20_000), |sea| !knowing(sea).is_empty());
    sea.run(sea.now + ms(300));
    sea.dead_links.clear();
    for (from, to) in
        [(one, three), (two, node(4)), (two, node(5)), (three, node(4)), (three, node(5)), (one, two)]
    {
        sea.dead_links.insert((from, to));
        sea.dead_links.insert((to, from));
    }
    sea.wipe(two);
    sea.restart(two, ms(100));
    sea.run(sea.now + ms(9000));
}

#[test]
fn a_seed_that_voted_and_was_wiped_does_not_vote_again() {
    for rng in 0..40 {
        let mut sea = begin(rng, 5, 0, &[1, 2, 3]);
        voted_and_wiped(&mut sea);
        for apart in [2, 3].map(node) {
            assert_eq!(sea.keeper(apart).map(|keeper| keeper.epoch()), Some(0), "{rng}: {:?}", sea.view());
        }
        sound(&mut sea, 0, &rng.to_string());
    }
}

/// Seeds without a disk remember while they run: one of three may start again.
#[test]
fn a_seed_without_a_disk_that_starts_again_has_no_vote_and_is_not_needed() {
    for after in (0..2400).step_by(40) {
        for who in [4, 5, 6] {
            let what = format!("{who} after {after} ms");
            let mut sea = begin(after, 3, 3, &[4, 5, 6]);
            sea.run(ms(after));
            sea.kill(node(who), false);
            sea.restart(node(who), ms(50));
            let done =
                until(&mut sea, ms(after) + IN_TROUBLE, |sea| knowing(sea).len() == sea.machines.len());
            assert!(done, "{what}: {:?}", sea.view());
            sound(&mut sea, 0, &what);
        }
    }
}

/// Processes are killed, with what they had written or with a part of it, one after the other from the first moment
/// on, as long as they have written down that they were there.
#[test]
fn seeds_that_die_and_come_back_agree_on_one_beginning() {
    for (disks, seeds) in [(3, vec![1, 2, 3]), (5, vec![1, 3, 5]), (4, vec![1, 2])] {
        for rng in 0..120 {
            let what = format!("{disks} disks, seeds {seeds:?}, {rng}");
            let mut sea = begin(rng, disks, 0, &seeds);
            sea.weather = Weather { lost: 50, late: 50, doubled: 50 };
            for _ in 0..12 {
                let pause = ms(sea.rng.u64(100..500));
                sea.run(sea.now + pause);
                let one = node(sea.rng.u8(1..=disks));
                if sea.machines.get(&one).is_some_and(|machine| machine.kept.len() >= 2) {
                    let power = sea.rng.bool();
                    sea.kill(one, power);
                    let after = ms(sea.rng.u64(1..900));
                    sea.restart(one, after);
                }
            }
            sea.run(sea.now + ms(1000));
            sound(&mut sea, 0, &what);
        }
    }
}

/// A disk that needs up to three seconds for each sync: at the founder, at another seed, at one that is no seed.
#[test]
fn a_slow_disk_holds_nobody_up_for_long() {
    for slow in 1..=4 {
        for rng in 0..40 {
            let what = format!("slow {slow}, {rng}");
            let mut sea = begin(rng, 4, 0, &[1, 2, 3]);
            sea.machines.get_mut(&node(slow)).expect("a machine").slow_until = ms(30_000);
            let done = until(&mut sea, IN_TROUBLE, |sea| knowing(sea).len() == 4);
            assert!(done, "{what}: {:?}", sea.view());
            sound(&mut sea, 0, &what);
        }
    }
}

#[test]
fn with_messages_lost_late_and_doubled_all_are_founded() {
    for (disks, plain, seeds) in SEEDS {
        for rng in 0..30 {
            let what = format!("{disks} disks, seeds {seeds:?}, {rng}");
            let mut sea = begin(rng, *disks, *plain, seeds);
            sea.weather = Weather { lost: 250, late: 200, doubled: 200 };
            let done = until(&mut sea, IN_TROUBLE, |sea| knowing(sea).len() == sea.machines.len());
            assert!(done, "{what}: {:?}", sea.view());
            sound(&mut sea, 0, &what);
        }
    }
}

/// The disk of one seed is lost during the founding, and the machine comes back empty: it does not count a second time.
#[test]
fn a_wiped_seed_has_no_second_vote() {
    for (disks, seeds) in [(3, [1, 2, 3]), (5, [1, 3, 5])] {
        for after in (200..2000).step_by(25) {
            for who in seeds {
                let what = format!("{disks} disks, seeds {seeds:?}, {who} after {after} ms");
                let mut sea = begin(after, disks, 0, &seeds);
                sea.run(ms(after));
                sea.wipe(node(who));
                let back = ms(sea.rng.u64(1..1500));
                sea.restart(node(who), back);
                let done = until(&mut sea, ms(after + 1500) + IN_TROUBLE, |sea| {
                    knowing(sea).len() == sea.machines.len()
                });
                assert!(done, "{what}: {:?}", sea.view());
                sound(&mut sea, 0, &what);
            }
        }
    }
}

/// Two of three seeds cannot be reached: nobody founds. They can be reached: all are founded.
#[test]
fn without_a_majority_of_the_seeds_nothing_begins() {
    for alone in [1u8, 2, 3] {
        let mut sea = begin(u64::from(alone), 5, 0, &[1, 2, 3]);
        for seed in [1, 2, 3u8].into_iter().filter(|seed| *seed != alone) {
            cut_links(&mut sea, node(seed), false, false);
        }
        sea.run(ms(20_000));
        assert!(knowing(&sea).is_empty(), "{alone}: {:?}", sea.view());
        sound(&mut sea, 0, &alone.to_string());
    }
}

/// The three seeds are parted, each with some of the others; later they meet.
#[test]
fn parts_that_meet_later_have_one_beginning() {
    for rng in 0..60 {
        let mut sea = begin(rng, 6, 0, &[1, 2, 3]);
        let nodes = all(&sea);
        let part: Vec<u8> = nodes.iter().map(|_| sea.rng.u8(0..3)).collect();
        for (a, from) in nodes.iter().enumerate() {
            for (b, to) in nodes.iter().enumerate().filter(|(b, _)| part[a] != part[*b]) {
                let _ = b;
                sea.dead_links.insert((*from, *to));
            }
        }
        sea.run(ms(12_000));
        sound(&mut sea, 0, &rng.to_string());
    }
}

/// Anything, to any machine, with a disk or without, in the first four seconds: links cut one way or both, ends, power
/// lost, disks slow, freezes, weather; and one seed may lose its disk. A majority of the seeds remembers.
fn anything(rng: u64) {
    let mut dice = fastrand::Rng::with_seed(rng);
    let disks = dice.u8(1..=6);
    let plain = dice.u8(0..=3);
    let mut seeds: Vec<u8> = (1..=disks + plain).collect();
    dice.shuffle(&mut seeds);
    seeds.truncate(dice.usize(1..=3));
    let mut sea = begin(rng, disks, plain, &seeds);
    sea.tolerate = u32::from(disks > 2);
    let mut may_wipe = disks > 2;
    for _ in 0..dice.u8(2..14) {
        let pause = ms(if dice.bool() { dice.u64(0..30) } else { dice.u64(30..700) });
        sea.run(sea.now + pause);
        let nodes = all(&sea);
        let one = nodes[dice.usize(0..nodes.len())];
        let back = ms(dice.u64(1..1200));
        let ends = sea.spares(one);
        match dice.u8(0..9) {
            0..3 => {
                let part: Vec<NodeId> = nodes.iter().copied().filter(|_| dice.bool()).collect();
                let way = dice.u8(0..3);
                for from in &nodes {
                    for to in nodes.iter().filter(|to| part.contains(to) != part.contains(from)) {
                        if way == 2 || part.contains(from) == (way == 0) {
                            sea.dead_links.insert((*from, *to));
                        }
                    }
                }
            }
            3 => sea.dead_links.clear(),
            4 | 5 if ends => {
                sea.kill(one, dice.bool());
                sea.restart(one, back);
            }
            6 => sea.machines.get_mut(&one).expect("a machine").slow_until = sea.now + back * 4,
            7 => sea.freeze(one, back),
            8 if may_wipe && ends && sea.up().contains(&one) && others_remember(&sea, one) => {
                may_wipe = false;
                sea.wipe(one);
                sea.restart(one, back);
            }
            _ => {
                sea.weather =
                    Weather { lost: dice.u64(0..200), late: dice.u64(0..100), doubled: dice.u64(0..100) }
            }
        }
    }
    sea.run(sea.now + ms(1500));
    sound(&mut sea, 0, &format!("{disks} disks, {plain} without, seeds {seeds:?}, {rng}"));
}

/// A majority of the seeds has not forgotten, this one aside; nobody has more than was said before the beginning.
fn others_remember(sea: &Sea, one: NodeId) -> bool {
    let forgot = |seed: &NodeId| sea.machines.get(seed).is_some_and(|machine| machine.forgot);
    let remember = sea.seeds.iter().filter(|seed| **seed != one && !forgot(seed)).count();
    remember > sea.seeds.len() / 2
}

/// `FOUNDING_SEEDS` plays so many instead.
#[test]
fn whatever_happens_at_first_there_is_one_beginning() {
    let most = std::env::var("FOUNDING_SEEDS").ok().and_then(|most| most.parse().ok()).unwrap_or(300);
    let first = std::env::var("FOUNDING_FIRST").ok().and_then(|first| first.parse().ok()).unwrap_or(0);
    for rng in first..first + most {
        if let Err(breach) = guarded(|| anything(rng)) {
            panic!("{rng}: {breach}");
        }
    }
    println!("figure plays {most}");
}

#[test]
fn faults_begin_with_the_first_start() {
    for seed in 0..400 {
        if let Err(breach) = sail(&Schedule::at_founding(seed)) {
            panic!("seed {seed}: {breach}");
        }
    }
}

/// What the checks above have to find: two beginnings, and writes that only one of them knows.
#[test]
fn the_checks_compare_beginnings() {
    use fallgap_control_state::Message;
    use fallgap_control_state::charter::{Charter, Member};
    let found = guarded(|| {
        let mut sea = begin(1, 2, 0, &[1]);
        for n in 1..=2 {
            let charter = Charter {
                number: 1,
                members: vec![Member { node: node(n), disk: 1, joined: 1 }],
                grown: false,
            };
            sea.run(ms(300));
            sea.machines.get_mut(&node(n)).and_then(|m| m.keeper.as_mut()).expect("a keeper").heard(
                ms(200_000),
                node(9),
                Message::Members(charter),
            );
        }
        sea.run(ms(900));
    });
    assert_eq!(found.err().map(|breach| breach.check()), Some(Check::Epochs));
}

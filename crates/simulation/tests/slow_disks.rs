//! A loss while disks need half a second to three for each sync, at one, at a majority or at all of them: the change of
//! members is decided all the same, and what was acknowledged before is read after it. Over the real cores, in virtual
//! time.

use std::time::Duration;

use fallgap_control_state::{Answer, Call, NodeId};
use fallgap_simulation::voyage::guarded;
use fallgap_simulation::waters::{Sea, Weather, ms, node};

/// How the first member is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It loses its disk, and is back after half a second.
    Wiped,
    /// It goes for good, and a new machine comes a second later.
    Gone,
    /// A new machine is there; it gets the word to end, and goes.
    Planned,
}

/// Syncs of up to three seconds one after the other, for a promise, an accept, the epoch and the end of reading; each may
/// wait for the one under way.
const DECIDED: Duration = ms(40_000);

fn number() -> Call {
    Call::Number { name: "n".into() }
}

/// Asks until somebody answers.
fn next(sea: &mut Sea, id: u64) -> Option<u64> {
    for (id, at) in (id..).zip(sea.disk_machines()) {
        sea.call(at, id, number());
        sea.run(sea.now + ms(1000));
        let told = sea.answers.iter().find(|(told, ..)| *told == id);
        if let Some((.., Answer::Value(value))) = told {
            return Some(*value);
        }
    }
    None
}

/// All that run know the same epoch, and no member of it is one that is gone.
fn changed(sea: &Sea, gone: NodeId, epoch: u64) -> bool {
    let keepers: Vec<_> = sea.up().into_iter().filter_map(|node| sea.keeper(node)).collect();
    let first = keepers[0];
    let named = |node| first.members().contains(&node);
    let counted = keepers.iter().filter(|keeper| keeper.is_member()).count();
    first.epoch() > epoch
        && keepers.iter().all(|keeper| keeper.epoch() == first.epoch())
        && (sea.machines.contains_key(&gone) || !named(gone))
        && counted == first.members().len()
}

/// How long from the loss until the members had caught up again.
fn play(seed: u64, disks: u8, slow: usize, loss: Loss, lossy: bool) -> Duration {
    let mut sea = Sea::founded(seed, disks, 0);
    sea.run(ms(1500));
    let before = next(&mut sea, 1);
    assert!(before.is_some(), "a calm sea");
    let gone = node(1);
    if matches!(loss, Loss::Planned) {
        sea.add(node(20), true);
        sea.run(sea.now + ms(1500));
    }
    // Those that stay first.
    let mut slowed: Vec<NodeId> = sea.disk_machines().into_iter().filter(|node| *node != gone).collect();
    sea.rng.shuffle(&mut slowed);
    slowed.truncate(slow);
    for node in &slowed {
        sea.machines.get_mut(node).expect("a machine").slow_until = ms(600_000);
    }
    if lossy {
        sea.weather = Weather { lost: 20, late: 20, doubled: 20 };
    }
    let epoch = sea.keeper(node(2)).map_or(0, fallgap_control_state::Keeper::epoch);
    let from = sea.now;
    match loss {
        Loss::Wiped => {
            sea.wipe(gone);
            sea.restart(gone, ms(500));
        }
        Loss::Gone => {
            sea.remove(gone);
            sea.run(sea.now + ms(1000));
            sea.add(node(20), true);
        }
        Loss::Planned => {
            sea.word_to_end(gone);
            sea.depart(gone);
            let until = sea.now + ms(5500);
            while !sea.may_end(gone) && sea.now < until {
                sea.run(sea.now + ms(10));
            }
            sea.remove(gone);
        }
    }
    while !changed(&sea, gone, epoch) && sea.now < from + DECIDED {
        sea.run(sea.now + ms(10));
    }
    let took = sea.now - from;
    assert!(changed(&sea, gone, epoch), "not decided: {:?}", sea.view());
    sea.weather = Weather::default();
    sea.machines.values_mut().for_each(|machine| machine.slow_until = Duration::ZERO);
    sea.run(sea.now + ms(3500));
    let after = next(&mut sea, 100);
    assert!(after > before, "{before:?}, then {after:?}");
    took
}

const LOSSES: [Loss; 3] = [Loss::Wiped, Loss::Gone, Loss::Planned];

#[test]
fn a_change_of_members_is_decided_however_slow_the_disks_are() {
    for disks in [3u8, 4, 5, 7] {
        let all = usize::from(disks);
        for slow in [1, all / 2 + 1, all] {
            let mut took = Vec::new();
            for (seed, loss) in (0..10).flat_map(|seed| LOSSES.map(|loss| (seed, loss))) {
                match guarded(|| play(seed, disks, slow, loss, seed % 2 == 1)) {
                    Ok(time) => took.push(time),
                    Err(breach) => panic!("{disks} disks, {slow} slow, {loss:?}, seed {seed}: {breach}"),
                }
            }
            took.sort();
            println!(
                "{disks} disks, {slow} slow: {:?}, {:?} at most",
                took[took.len() / 2],
                took[took.len() - 1]
            );
        }
    }
}

/// With a new ballot for each try none of three disks is ever exchanged while one of the others is slow.
#[cfg(feature = "faults")]
#[test]
fn a_ballot_for_each_try_is_found() {
    use fallgap_control_state::fault::{self, Fault};
    fault::set(Some(Fault::BallotEachTry));
    let failed = (0..10).filter(|seed| guarded(|| play(*seed, 3, 1, Loss::Wiped, false)).is_err()).count();
    fault::set(None);
    assert_eq!(failed, 10);
}

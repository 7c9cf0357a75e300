//! A system at its first start, and what must hold of it once all is well again.

use std::time::Duration;

use fallgap_control_state::{Answer, Call, NodeId};
use fallgap_simulation::waters::{Sea, Weather, ms, node};

/// With enough disks in sight, without loss, all are founded by then.
pub const FOUNDED: Duration = ms(2300);
/// The same with messages lost or one machine missing, slow or wiped.
pub const IN_TROUBLE: Duration = ms(7000);
pub const CAUGHT_UP: Duration = ms(40_000);

/// A system that starts, whose seeds are these machines. Disks are 1 to `disks`.
pub fn begin(rng: u64, disks: u8, plain: u8, seeds: &[u8]) -> Sea {
    let mut sea = Sea::new(rng, disks, plain);
    sea.seeds = seeds.iter().copied().map(node).collect();
    sea
}

pub fn all(sea: &Sea) -> Vec<NodeId> {
    sea.machines.keys().copied().collect()
}

/// Machines that run and know of an epoch.
pub fn knowing(sea: &Sea) -> Vec<NodeId> {
    sea.up().into_iter().filter(|node| sea.keeper(*node).is_some_and(|keeper| keeper.epoch() > 0)).collect()
}

pub fn until(sea: &mut Sea, limit: Duration, done: impl Fn(&Sea) -> bool) -> bool {
    while sea.now < limit && !done(sea) {
        sea.run(sea.now + ms(1));
    }
    done(sea)
}

/// The lowest seed: as a rule it is the one that founds.
pub fn lowest(seeds: &[u8]) -> NodeId {
    seeds.iter().copied().map(node).min().expect("a seed")
}

/// Stops what comes to it and what goes from it, or one of both.
pub fn cut_links(sea: &mut Sea, node: NodeId, hears: bool, is_heard: bool) {
    for other in all(sea).into_iter().filter(|other| *other != node) {
        if !hears {
            sea.dead_links.insert((other, node));
        }
        if !is_heard {
            sea.dead_links.insert((node, other));
        }
    }
}

/// Acknowledged by whoever takes it.
pub fn put(sea: &mut Sea, id: u64, edition: u64) -> bool {
    let mut body = edition.to_be_bytes().to_vec();
    body.push(1);
    for (place, at) in sea.up().into_iter().enumerate() {
        let id = id + place as u64;
        sea.call(at, id, Call::ConfigPut { edition, body: body.clone() });
        sea.run(sea.now + ms(1000));
        if sea.answers.iter().any(|(told, _, answer)| *told == id && *answer == Answer::Done) {
            return true;
        }
    }
    false
}

/// The editions that the disk machines read, one after the other.
pub fn read(sea: &mut Sea, id: u64) -> Vec<Option<u64>> {
    let disks = sea.disk_machines();
    for (place, at) in (0..).zip(&disks) {
        sea.call(*at, id + place, Call::ConfigGet);
    }
    sea.run(sea.now + ms(2000));
    let told = |id| sea.answers.iter().find(|(told, ..)| *told == id).map(|(.., answer)| answer);
    let edition = |id| match told(id) {
        Some(Answer::Config(body)) => body.first_chunk().map(|first| u64::from_be_bytes(*first)),
        Some(Answer::Missing) => Some(0),
        _ => None,
    };
    (0..).zip(&disks).map(|(place, _)| edition(id + place)).collect()
}

/// All is well again: the members have caught up, what was acknowledged is read everywhere, and so is what is written now.
pub fn sound(sea: &mut Sea, acknowledged: u64, what: &str) {
    sea.dead_links.clear();
    sea.weather = Weather::default();
    sea.machines.values_mut().for_each(|machine| machine.slow_until = Duration::ZERO);
    // Of one or two disks none can be spared.
    sea.tolerate = sea.tolerate.min((sea.disk_machines().len() as u32 - 1) / 2);
    let limit = sea.now + CAUGHT_UP;
    assert!(until(sea, limit, Sea::is_caught_up), "{what}: not caught up: {:?}", sea.view());
    // What a slow disk is at still.
    sea.run(sea.now + ms(3000));
    let editions = read(sea, 1_000);
    let kept = editions.iter().all(|edition| edition.is_some_and(|edition| edition >= acknowledged));
    assert!(kept, "{what}: {acknowledged} was acknowledged, {editions:?}");
    assert!(put(sea, 2_000, 9_000), "{what}: no change is taken");
    let editions = read(sea, 3_000);
    assert!(editions.iter().all(|edition| *edition == Some(9_000)), "{what}: {editions:?}");
}

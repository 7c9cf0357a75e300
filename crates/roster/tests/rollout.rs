//! Editions over links that clients fill: from the acknowledgement on each is in force in time at all that follow, also
//! while homes are lost and come back.

#[allow(dead_code)]
mod world;

use std::time::Duration;
use world::{Link, MS, World, node};

const S: Duration = Duration::from_secs(1);
/// So long after its acknowledgement an edition is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);
const KEEPERS: usize = 5;
const NODES: usize = 30;

fn full(from_ms: u32, to_ms: u32) -> Link {
    Link { bytes_a_second: 475_000.0, ahead: (MS * from_ms, MS * to_ms), keepers: 12.5e6 }
}

/// A change each second, each acknowledged as it is committed; a home is lost and comes back. How many times a node was
/// behind for too long.
fn late_under_changes(seed: u64, link: Link) -> usize {
    let mut world = World::new(seed, KEEPERS, NODES, 60);
    world.configure(1, 40);
    let all = |w: &World| w.all(|seen| seen.edition() == 1 && seen.ids().len() == 60);
    assert!(world.until(8 * S, all).is_some(), "a quiet start, seed {seed}");
    world.link = Some(link);
    world.run(6 * S);
    let mut acknowledged: Vec<(u64, Duration)> = Vec::new();
    let mut late = 0;
    for edition in 2..14 {
        world.configure(edition, 40);
        acknowledged.push((edition, world.now));
        if edition == 5 {
            world.kill(KEEPERS - 1);
            for i in (0..NODES).filter(|i| *i != KEEPERS - 1) {
                let (now, homes) =
                    (world.now, world.preferred(i).into_iter().filter(|home| *home != node(KEEPERS - 1)));
                world.followers.get_mut(&node(i)).expect("it runs").homes(now, homes.collect());
            }
        }
        for _ in 0..20 {
            world.run(50 * MS);
            let due = acknowledged
                .iter()
                .filter(|(_, at)| world.now > *at + IN_FORCE)
                .map(|(edition, _)| *edition)
                .max();
            late += usize::from(due.is_some_and(|due| !world.all(|seen| seen.edition() >= due)));
        }
    }
    late
}

#[test]
fn an_acknowledged_edition_is_in_force_in_time_over_full_links() {
    for (seed, link) in [(1, full(300, 700)), (2, full(700, 1100)), (3, full(1100, 1500))] {
        assert_eq!(late_under_changes(seed, link), 0, "links that hold words for {:?}", link.ahead);
    }
}

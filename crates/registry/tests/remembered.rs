//! What keepers' disks remember as open may have closed: the word and its acknowledgement can be lost with all power.
//! It is used for the first part of the time after which a process is in touch, and no longer, whoever it went to.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;
use world::{MS, World, node};

const S: Duration = Duration::from_secs(1);
/// After so long a process that started is in touch, and for so long it may go by what disks remember.
const TOUCH: Duration = Duration::from_secs(3);
const YOUNG: Duration = Duration::from_secs(2);

/// Keepers, followers and servers for some seconds; disks remember all servers as open. Then the first server closes,
/// a majority of keepers knows, and all processes but `up` lose power.
fn all_lost(seed: u64, keepers: usize, nodes: usize, up: usize) -> World {
    let mut world = World::new(seed, keepers, nodes, 30);
    world.young = YOUNG;
    world.configure(2, 30);
    world.run(8 * S);
    assert!(world.all(|seen| seen.ids().len() == 30), "seed {seed}");
    let records = |world: &World, i: usize| world.cores[&node(i)].registry.to_remember(world.now);
    let disks = (0..keepers).map(|i| (node(i), records(&world, i))).collect::<BTreeMap<_, _>>();
    world.beats(nodes - 1, 0, true);
    // It serves on, and says nothing more.
    world.servers[0].alive = false;
    world.run(300 * MS);
    assert!(world.all(|seen| seen.ids().len() == 29), "seed {seed}: closing has not come to all");
    (0..nodes - up).for_each(|i| world.kill(i));
    world.disks = Some(disks);
    world
}

/// Whether a process routes to the first server.
fn routed(world: &World) -> usize {
    world.followers.keys().filter(|id| world.seen[id].ids().contains("i-000")).count()
}

#[test]
fn a_server_that_closed_before_all_power_was_lost_is_not_routed_to_once_a_process_is_in_touch() {
    for seed in 0..40 {
        let (keepers, nodes) = (3 + seed as usize % 3, 12);
        let up = [0, 4][seed as usize % 2];
        let mut world = all_lost(seed, keepers, nodes, up);
        let pause = 200 * MS * world.rng.u32(1..8);
        world.run(pause);
        let began = world.now;
        for i in 0..nodes - up {
            let pause = 20 * MS * world.rng.u32(0..3);
            world.run(pause);
            world.start(i);
        }
        // Homes are left for others meanwhile, as they are while processes start.
        let mut used = 0;
        for step in 0..70 {
            world.run(100 * MS);
            if step % 7 == 3 && step < 25 {
                let at = node(world.rng.usize(..keepers));
                let now = world.now;
                let core = world.cores.get_mut(&at).map(|core| &mut core.distribution);
                core.into_iter().for_each(|home| {
                    home.set_fit(now, false);
                    home.set_fit(now, true);
                });
            }
            let routed = routed(&world);
            used = used.max(routed);
            let since = world.now - began;
            assert!(
                routed == 0 || since < TOUCH - 300 * MS,
                "seed {seed}: {routed} route to it after {since:?}"
            );
            if since > 3 * S {
                assert!(world.all(|seen| seen.ids().len() == 29), "seed {seed}: others were lost, {since:?}");
            }
        }
        assert!(used > 0, "seed {seed}: nothing was remembered");
    }
}

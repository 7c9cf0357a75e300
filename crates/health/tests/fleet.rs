//! Whole fleets in virtual time: who is barred where, and who is not.

#[allow(dead_code)]
mod world;

use fallgap_health::{KINDS, Kind, Stand};
use world::{Fault, Lie, Plan, World};

const NODES: usize = 12;

fn world(fault: Fault) -> World {
    let plan =
        Plan { nodes: NODES, zones: 4, servers: 20, ops: 45.0, together: true, fault, loss: 0.02, seed: 7 };
    World::new(plan)
}

/// Servers that any node holds out of its work, by kind.
fn out(world: &World) -> [Vec<usize>; 3] {
    KINDS.map(|kind| (0..20).filter(|server| world.hold(*server, kind, Stand::Lightened) > 0).collect())
}

/// Whether all nodes hold the same.
fn agreed(world: &World) -> bool {
    KINDS
        .iter()
        .all(|kind| (0..20).all(|server| [0, NODES].contains(&world.hold(server, *kind, Stand::Trial))))
}

#[test]
fn who_is_barred_and_for_what() {
    type Row = (&'static str, Fault, [&'static [usize]; 3]);
    let rows: [Row; 7] = [
        ("nobody is ill", |_, _, _, _, _| 0.005, [&[], &[], &[]]),
        (
            "half of all fails",
            |at, s, _, _, _| if at > 2000 && s == 3 { 0.5 } else { 0.0 },
            [&[3], &[3], &[3]],
        ),
        (
            "orders alone fail",
            |at, s, _, _, kind| if at > 2000 && s == 3 && kind == Kind::Order { 0.9 } else { 0.0 },
            [&[], &[3], &[]],
        ),
        (
            "lookups alone fail",
            |at, s, _, _, kind| if at > 2000 && s == 3 && kind == Kind::Lookup { 0.6 } else { 0.0 },
            [&[3], &[], &[]],
        ),
        (
            "for one zone only",
            |at, s, _, z, _| if at > 2000 && s == 3 && z == 1 { 0.9 } else { 0.0 },
            [&[]; 3],
        ),
        (
            "for one node only",
            |at, s, n, _, _| if at > 2000 && s == 3 && n == 5 { 1.0 } else { 0.0 },
            [&[]; 3],
        ),
        ("all by half at once", |at, _, _, _, _| if at > 2000 { 0.5 } else { 0.0 }, [&[]; 3]),
    ];
    for (name, fault, wanted) in rows {
        let mut world = world(fault);
        world.run(7000);
        let meets = (0..30).any(|tick| {
            world.run(7000 + tick * 50);
            agreed(&world)
        });
        let found = out(&world);
        let barred = |kind: Kind| {
            let held = |server: &usize| world.hold(*server, kind, Stand::Trial) == NODES;
            (0..20).filter(held).count()
        };
        assert!(meets, "{name}: {found:?}");
        if name.starts_with("all") {
            // The best of the ill go on: none is out.
            assert_eq!(KINDS.map(barred), [0; 3], "{name}");
        } else {
            assert_eq!(found.each_ref().map(Vec::as_slice), wanted, "{name}");
        }
        assert_eq!(world.odd_orders, 0, "{name}");
    }
}

/// What one node says, and what one sees that is cut off, neither condemns nor clears.
#[test]
fn one_node_neither_condemns_nor_clears() {
    let ill: Fault = |at, s, _, _, _| if at > 2000 && s == 3 { 0.5 } else { 0.0 };
    let well: Fault = |_, _, _, _, _| 0.003;
    let rows: [(Fault, Lie, usize, bool); 4] = [
        (well, Lie::AllFail, 5, false),
        (well, Lie::AllFail, 0, false),
        (ill, Lie::AllWell, 5, true),
        (ill, Lie::AllWell, 0, true),
    ];
    for (fault, lie, node, barred) in rows {
        let mut world = world(fault);
        world.lies.insert(node, lie);
        world.run(6000);
        assert_eq!(out(&world)[0], if barred { vec![3] } else { vec![] }, "node {node}");
    }
    let mut world = world(well);
    world.cut.insert(6);
    world.run(6000);
    assert_eq!(out(&world).concat(), [0usize; 0]);
}

#[test]
fn a_recovered_server_comes_back_and_one_that_flaps_waits_longer() {
    let mut world = world(|at, s, _, _, _| if (2000..4000).contains(&at) && s == 3 { 0.6 } else { 0.0 });
    world.run(4000);
    assert_eq!(world.hold(3, Kind::Order, Stand::Barred), NODES);
    // A bar, a trial without news, a part of the work.
    world.run(18_000);
    assert_eq!(out(&world).concat(), [0usize; 0]);
    assert_eq!(world.odd_orders, 0);

    let mut world = self::world(|at, s, _, _, _| if s == 3 && at / 1400 % 2 == 1 { 0.9 } else { 0.0 });
    let mut spans = Vec::new();
    let mut since = None;
    for at in (100..60_000).step_by(100) {
        world.run(at);
        match (since, world.hold(3, Kind::Lookup, Stand::Barred) == NODES) {
            (None, true) => since = Some(at),
            (Some(from), false) => {
                spans.push(at - from);
                since = None;
            }
            _ => {}
        }
    }
    assert!(spans.len() >= 2 && spans[1] > spans[0] * 3 / 2, "{spans:?}");
}

#[test]
fn another_life_at_the_address_begins_well() {
    let mut world = world(|at, s, _, _, _| if at > 1000 && s == 3 { 0.7 } else { 0.0 });
    world.run(4000);
    assert_eq!(world.hold(3, Kind::Lookup, Stand::Barred), NODES);
    world.renew(3);
    world.run(4100);
    assert_eq!(world.hold(3, Kind::Lookup, Stand::Watched), 0);
}

/// Without news what was told is over; the judge that comes next goes on from what is known.
#[test]
fn a_cut_follower_lets_go_in_the_end_and_hears_again() {
    let mut world = world(|at, s, _, _, _| if at > 1000 && s == 3 { 0.7 } else { 0.0 });
    world.run(3500);
    assert_eq!(world.hold(3, Kind::Lookup, Stand::Lightened), NODES);
    world.cut.insert(9);
    // It keeps the more careful for as long as it may be newest.
    world.run(7500);
    assert_eq!(world.hold(3, Kind::Lookup, Stand::Lightened), NODES);
    world.cut.clear();
    world.run(12_000);
    assert!(agreed(&world));
}

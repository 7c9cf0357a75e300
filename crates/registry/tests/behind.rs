//! Supervisors behind links that others' bytes fill: none routes by an edition, or to a server, that an acknowledged change has
//! overtaken for longer than it may take. Who cannot know in time refuses.

mod world;

use fallgap_registry::Patience;
use std::collections::BTreeSet;
use std::time::Duration;
use world::{Link, MS, World, node};

const S: Duration = Duration::from_secs(1);
/// So long after its acknowledgement a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_millis(2500);
/// The end of a server is acknowledged by then, whoever has heard of it.
const END_ACKNOWLEDGED: Duration = Duration::from_millis(600);
/// A view may be routed by for so long after its home knew of nothing else: `IN_FORCE` less a sixteenth and a request's way.
const LEASE: Duration = Duration::from_millis(2290);
const KEEPERS: usize = 5;
const SERVERS: usize = 60;
const ROUTES: usize = 40;
const STEP: Duration = Duration::from_millis(50);

/// One supervisor's link holds words for up to `held`, reached step by step; all others are usual ones.
#[derive(Clone, Copy)]
struct Case {
    nodes: usize,
    seconds: u64,
    held: Duration,
    may_refuse: bool,
}

#[derive(Debug, Default, PartialEq)]
struct Seen {
    looks: usize,
    refused_by_others: usize,
    refused_by_slow: usize,
    old_edition: usize,
    ended_server: usize,
}

fn quiet_start(case: &Case) -> World {
    let mut world = World::new(7, KEEPERS, case.nodes, SERVERS);
    world.configure(1, ROUTES);
    let all = |w: &World| w.all(|seen| seen.edition() == 1 && seen.ids().len() == SERVERS);
    assert!(world.until(8 * S, all).is_some(), "a quiet start");
    world.link = Some(Link { bytes_a_second: 475_000.0, ahead: (MS * 20, MS * 60), keepers: 12.5e6 });
    world.heartbeats = Some(world.now);
    world.run(3 * S);
    world.roll_out(Patience::within(IN_FORCE));
    world
}

/// A change of configuration, and the end of a server, each second.
fn changes(case: &Case, behind: Duration) -> Seen {
    let slow = case.nodes - 1;
    let mut world = quiet_start(case);
    let mut seen = Seen::default();
    let mut ends: Vec<(Duration, String)> = Vec::new();
    let mut held = Duration::ZERO;
    for second in 0..case.seconds {
        world.hand_in(second as usize % (slow - 1), second + 2, ROUTES);
        let server = second as usize;
        ends.push((world.now + END_ACKNOWLEDGED, world.servers[server].beat.id.to_string()));
        world.beats(0, server, true);
        world.servers[server].alive = false;
        for _ in 0..20 {
            held = (held + MS * 25).min(case.held);
            world.slow.insert(node(slow), (held, held + MS * 100));
            world.run(STEP);
            look(&world, case.nodes, behind, &ends, &mut seen);
        }
    }
    seen
}

/// Who routes at this moment, and by what.
fn look(world: &World, nodes: usize, behind: Duration, ends: &[(Duration, String)], seen: &mut Seen) {
    let slow = nodes - 1;
    let edition = world.in_force_by_now(IN_FORCE);
    let over = ends.iter().filter(|(at, _)| world.now > *at + IN_FORCE);
    let over: BTreeSet<&String> = over.map(|(_, id)| id).collect();
    seen.looks += 1;
    for at in 0..nodes {
        if world.is_behind(at, behind) {
            seen.refused_by_slow += usize::from(at == slow);
            seen.refused_by_others += usize::from(at != slow);
            continue;
        }
        let view = &world.seen[&node(at)];
        seen.old_edition += usize::from(edition.is_some_and(|edition| view.edition() < edition));
        seen.ended_server += usize::from(view.ids().iter().any(|id| over.contains(id)));
    }
}

#[test]
fn followers_behind_on_large_fleets_do_not_route_by_what_was_overtaken() {
    let case = |nodes, seconds, ms, may_refuse| Case { nodes, seconds, held: MS * ms, may_refuse };
    for case in [
        case(30, 20, 700, false),
        case(30, 20, 1500, true),
        case(30, 20, 5000, true),
        case(100, 10, 700, false),
        case(300, 7, 5000, true),
    ] {
        let seen = changes(&case, LEASE);
        println!("{} supervisors, one link holds words for {:?}: {seen:?}", case.nodes, case.held);
        assert_eq!((seen.old_edition, seen.ended_server, seen.refused_by_others), (0, 0, 0));
        assert!(case.may_refuse || seen.refused_by_slow == 0);
    }
}

#[test]
fn without_a_lease_a_follower_behind_routes_by_what_was_overtaken() {
    let case = Case { nodes: 30, seconds: 14, held: MS * 5000, may_refuse: true };
    let seen = changes(&case, 100 * S);
    println!("without a lease: {seen:?}");
    assert!(seen.old_edition > 0 && seen.ended_server > 0);
}

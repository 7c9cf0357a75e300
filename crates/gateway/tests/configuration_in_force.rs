//! What an acknowledged configuration promises, over real processes: whoever is there routes by it, and who may not know
//! it says so.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::{Landing, Supervisor, configuration};
use landing::*;
use std::time::{Duration, Instant};

/// The machine of the fleet without a disk.
const FRONT: usize = 3;

/// A fleet in which all route by edition 7.
fn settled_fleet() -> Landing {
    let fleet = fleet();
    configure(&fleet.machines[0], &configuration(7, PREFIXES));
    for machine in &fleet.machines {
        in_force(machine, 7);
    }
    fleet
}

fn in_force(machine: &Supervisor, wanted: u64) {
    until("the edition is in force", || machine.figure("edition").filter(|edition| *edition == wanted));
}

/// A machine that stands still for less time than others take to miss it.
#[test]
fn an_edition_is_acknowledged_when_all_that_are_there_route_by_it() {
    const STANDS_STILL: Duration = Duration::from_millis(400);
    let mut fleet = settled_fleet();
    for edition in 8..12 {
        let (others, front) = fleet.machines.split_at_mut(FRONT);
        let front = &mut front[0];
        let asked_meanwhile = others[0].control();
        front.signal("STOP");
        let (acknowledged, continued) = std::thread::scope(|scope| {
            let continues = scope.spawn(|| {
                meanwhile(asked_meanwhile, STANDS_STILL);
                let at = Instant::now();
                front.signal("CONT");
                at
            });
            configure(&others[edition as usize % FRONT], &configuration(edition, PREFIXES));
            (Instant::now(), continues.join().unwrap())
        });
        assert!(acknowledged >= continued, "edition {edition}: before one of four could know it");
        for machine in &fleet.machines {
            assert_eq!(machine.figure("edition"), Some(edition), "{}", machine.ip);
        }
    }
}

#[test]
fn a_machine_that_may_have_missed_an_edition_does_not_say_that_a_route_is_not_there() {
    let mut fleet = settled_fleet();
    let (_server, _beats) = serve(&fleet, "i-1");
    all_ready(&fleet);
    let status = |fleet: &Landing, path: &str| ask(&fleet.machines[FRONT], path, "x1").status;
    until("it serves", || (status(&fleet, "/safe/a") == 200).then_some(()));
    assert_eq!(status(&fleet, "/nowhere/a"), 404);
    for keeper in &mut fleet.machines[..FRONT] {
        keeper.signal("STOP");
    }
    until("it says when to come back", || {
        let reply = ask(&fleet.machines[FRONT], "/nowhere/a", "x2");
        (reply.status == 503 && reply.line("retry-after").is_some()).then_some(())
    });
    // What it knows it serves on.
    assert_eq!(status(&fleet, "/safe/a"), 200);
    for keeper in &mut fleet.machines[..FRONT] {
        keeper.signal("CONT");
    }
    until("it is sure again", || (status(&fleet, "/nowhere/a") == 404).then_some(()));
}

//! Watches over more and larger puts than a group's own value holds, over real processes.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::Supervisor;
use landing::*;

/// Their values are over what one record of a disk takes.
const PUTS: u64 = 400;
const BYTES: usize = 4000;

fn value(put: u64) -> String {
    format!("{put:0>BYTES$}")
}

fn put(at: &Supervisor, number: u64) -> u64 {
    let body = format!(r#"{{"value":"{}"}}"#, value(number));
    let (status, text) = post(at, &format!("/-/cells/g.{}/put", number % 3), &body);
    assert_eq!(status, 200, "put {number}");
    text.trim_start_matches(r#"{"revision":"#).trim_end_matches('}').parse().unwrap()
}

/// Every put behind the first, whole and in order.
fn has_all(at: &Supervisor, first: u64) {
    let (status, text) = read(at, &format!("/-/watch/g.?after={first}&wait_ms=0"));
    assert_eq!(status, 200, "{}: a watch from a revision of a moment ago", at.ip);
    let mut rest = text.as_str();
    for number in 1..PUTS {
        let (_, behind) =
            rest.split_once(&value(number)).unwrap_or_else(|| panic!("{}: put {number}", at.ip));
        rest = behind;
    }
}

/// Guards against a watch that is told 410 since later values were large (LOST): it gets all puts behind a revision of a moment ago at
/// any supervisor, with a disk or without, and after the death of all.
#[test]
fn a_watch_gets_all_large_puts_behind_a_young_revision_also_after_the_death_of_all() {
    let mut fleet = fleet();
    configure(&fleet.machines[0], &fallgap_test_support::gateway::configuration(7, PREFIXES));
    let first = put(&fleet.machines[0], 0);
    for number in 1..PUTS {
        put(&fleet.machines[number as usize % 4], number);
    }
    fleet.machines.iter().for_each(|machine| has_all(machine, first));
    fleet.machines.iter_mut().for_each(|machine| machine.signal("KILL"));
    for machine in &mut fleet.machines {
        assert!(machine.wait(LONG).is_some(), "{} is still there", machine.ip);
    }
    fleet.start_all(false).unwrap();
    fleet.machines.iter().for_each(|machine| has_all(machine, first));
}

/// Bytes of a machine's disk.
fn on_disk(machine: &Supervisor) -> u64 {
    let files = std::fs::read_dir(machine.data()).unwrap();
    files.filter_map(|file| file.ok()?.metadata().ok()).map(|file| file.len()).sum()
}

/// A keeper that was down meanwhile gets the values from the others onto its disk, which goes on: they are over what one record may have.
#[test]
fn a_keeper_that_was_down_meanwhile_gets_the_values_of_large_puts() {
    const DOWN: usize = 2;
    let mut fleet = fleet();
    configure(&fleet.machines[0], &fallgap_test_support::gateway::configuration(7, PREFIXES));
    let first = put(&fleet.machines[0], 0);
    fleet.machines[DOWN].signal("KILL");
    assert!(fleet.machines[DOWN].wait(LONG).is_some());
    for number in 1..PUTS {
        put(&fleet.machines[number as usize % 2], number);
    }
    fleet.start(DOWN, false).unwrap();
    until("its disk has the values", || (on_disk(&fleet.machines[DOWN]) > PUTS * BYTES as u64).then_some(()));
    // With one of the others gone nothing is kept without its disk.
    fleet.machines[0].signal("KILL");
    assert!(fleet.machines[0].wait(LONG).is_some());
    put(&fleet.machines[DOWN], PUTS);
    has_all(&fleet.machines[DOWN], first);
}

//! Watches over more and larger puts than a group's own value holds, over real processes.

#[allow(dead_code)]
mod landing;

use landing::*;

const PUTS: u64 = 150;
const BYTES: usize = 4000;

fn value(put: u64) -> String {
    format!("{put:0>BYTES$}")
}

fn put(at: &fallgap_test_support::gateway::Supervisor, number: u64) -> u64 {
    let body = format!(r#"{{"value":"{}"}}"#, value(number));
    let (status, text) = post(at, &format!("/-/cells/g.{}/put", number % 3), &body);
    assert_eq!(status, 200, "put {number}");
    text.trim_start_matches(r#"{"revision":"#).trim_end_matches('}').parse().unwrap()
}

/// Every put behind the first, whole and in order.
fn has_all(at: &fallgap_test_support::gateway::Supervisor, first: u64) {
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

//! Short schedules at fixed seeds, and those that once failed.

use std::path::Path;

use fallgap_simulation::schedule::Schedule;
use fallgap_simulation::voyage::sail;

/// One thread for each kind of waters.
fn drawn(kind: u64) {
    for seed in (kind..900).step_by(6) {
        if let Err(breach) = sail(&Schedule::short(seed)) {
            panic!("seed {seed}: {breach}");
        }
    }
}

#[test]
fn single_machines_fail() {
    drawn(0);
}

#[test]
fn all_machines_fail() {
    drawn(1);
}

#[test]
fn disks_are_lost() {
    drawn(2);
}

#[test]
fn two_disks_are_lost() {
    drawn(3);
}

#[test]
fn all_want_the_same() {
    drawn(4);
}

#[test]
fn members_change_in_haste() {
    drawn(5);
}

#[test]
fn what_failed_once_holds() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/findings");
    let mut played = 0;
    for file in std::fs::read_dir(folder).expect("a folder") {
        let path = file.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("a text");
        // What is said of it stands before it.
        let from = text.find("sextant").expect("a schedule");
        let schedule: Schedule = text[from..].parse().expect("a schedule");
        if let Err(breach) = sail(&schedule) {
            panic!("{}: {breach}", path.display());
        }
        played += 1;
    }
    assert!(played > 0);
}

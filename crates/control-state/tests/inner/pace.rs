use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_slowest_of_the_newest_times_counts_for_a_while() {
    let mut pace = Pace::default();
    assert_eq!(pace.slowest(MS), Duration::ZERO);
    for (number, from, took) in [(1, 100, 90), (2, 300, 20)] {
        pace.handed_out(from * MS, number);
        pace.synced((from + took) * MS, number);
    }
    assert_eq!(pace.slowest(320 * MS), 90 * MS);
    assert_eq!(pace.slowest(190 * MS + FRESH), 20 * MS, "the first is old");
    for number in 3..7 {
        pace.handed_out(400 * MS, number);
        pace.synced(405 * MS, number);
    }
    assert_eq!(pace.slowest(405 * MS), 5 * MS, "four newer ones");
}

#[test]
fn a_record_waits_from_when_it_was_handed_out() {
    let mut pace = Pace::default();
    pace.handed_out(10 * MS, 1);
    pace.handed_out(20 * MS, 1);
    pace.handed_out(30 * MS, 3);
    pace.synced(710 * MS, 1);
    assert_eq!(pace.slowest(710 * MS), 700 * MS);
    pace.synced(800 * MS, 2);
    assert_eq!(pace.slowest(800 * MS), 770 * MS, "the third waits still");
    pace.synced(1530 * MS, 3);
    assert_eq!(pace.slowest(1530 * MS), 1500 * MS);
}

#[test]
fn what_is_durable_already_waits_no_more() {
    let mut pace = Pace::default();
    pace.handed_out(10 * MS, 1);
    pace.synced(15 * MS, 1);
    pace.handed_out(16 * MS, 1);
    pace.handed_out(900 * MS, 2);
    pace.synced(905 * MS, 2);
    assert_eq!(pace.slowest(905 * MS), 5 * MS);
}

#[test]
fn records_that_wait_without_end_are_timed_up_to_a_bound() {
    let mut pace = Pace::default();
    (0..10 * TIMED as u64).for_each(|number| pace.handed_out(MS, number + 1));
    assert_eq!(pace.unsynced.len(), TIMED);
}

#[test]
fn a_majority_needs_no_more_than_its_slowest() {
    let members = |of: [u32; 3]| of.map(|ms| ms * MS).to_vec();
    assert_eq!(of_majority(members([700, 1, 2]), 2), 2 * MS);
    assert_eq!(of_majority(members([700, 1, 600]), 2), 600 * MS);
    assert_eq!(of_majority(Vec::new(), 2), Duration::ZERO);
}

use super::*;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn what_is_old_was_seen_long_ago() {
    let mut memory = Memory::new(s(20));
    // (time, revision, old up to)
    let table = [(0, 5, 0), (10, 9, 0), (29, 12, 0), (30, 12, 5), (40, 12, 9), (59, 12, 12), (90, 13, 12)];
    for (at, revision, old) in table {
        assert_eq!(memory.saw("g.", revision, s(at)), old, "at {at}");
    }
}

#[test]
fn a_revision_that_never_came_to_be_does_not_age() {
    let mut memory = Memory::new(s(20));
    memory.saw("g.", 5, s(0));
    memory.saw("g.", 8, s(2));
    assert_eq!(memory.saw("g.", 5, s(20)), 0);
    assert_eq!(memory.saw("g.", 8, s(31)), 5, "6 to 8 were put after 20");
    assert_eq!(memory.saw("g.", 8, s(61)), 8);
    assert_eq!(memory.saw("g.", 7, s(62)), 7, "the next 8 is a new one");
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut memory = Memory::with(Limits { groups: 3, ..Limits::default() });
    for n in 0..100 {
        memory.saw(&format!("{n}."), 1, s(0));
        assert!(memory.groups.len() <= 3);
    }
    for n in 0..100_000 {
        memory.saw("g.", n, Duration::from_millis(n));
    }
    assert!(memory.groups["g."].seen.len() <= MARKS as usize + 1);
}

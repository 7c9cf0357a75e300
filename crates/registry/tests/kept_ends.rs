//! What a home makes of beats where ends of servers are kept on disks: whatever comes after an end is late.

mod world;

use fallgap_config::Beat;
use fallgap_registry::{News, Registry, Terms};
use std::time::Duration;
use world::{beat, states};

const S: Duration = Duration::from_secs(1);

/// Beats, ends that are on a majority of disks, and what is known of the servers then.
#[test]
fn a_kept_end_makes_every_other_word_of_its_server_late() {
    let registry = || Registry::start(S, 1, Terms::default());
    let ended = |number: u64, id: &str| [(number, id.into())];

    // Known, unknown, and remembered from a disk.
    let mut known = registry();
    known.beat(S, beat("a", 1, 5));
    known.beat(S, beat("b", 2, 5));
    assert!(known.ended(S, ended(3, "a"), 1));
    assert!(known.ended(S, ended(4, "c"), 1));
    assert!(!known.ended(S, ended(4, "c"), 1), "told twice");
    assert_eq!(known.newest_end(), 4);
    for postmark in [4, 6] {
        known.beat(2 * S, beat("a", 1, postmark));
        known.beat(2 * S, beat("c", 3, postmark));
    }
    assert_eq!(states(&known), "a Closing, b Open, c Closing");
    assert_eq!((known.ends_known(), known.late_beats()), (2, 4));
    let remembered = known.to_remember(2 * S);
    let mut again = registry();
    again.ended(S, ended(3, "b"), 1);
    again.remember(S, remembered, 3 * S);
    assert_eq!(states(&again), "b Closing");

    // Its life is forgotten, its end is not until that is not kept any more.
    let mut forgets = Registry::start(S, 1, Terms { remember: S, ..Terms::default() });
    forgets.ended(S, ended(3, "a"), 1);
    for second in 1..40 {
        forgets.woke(second * S);
    }
    assert_eq!(states(&forgets), "");
    forgets.beat(40 * S, beat("a", 1, 1));
    assert_eq!(states(&forgets), "a Closing");
    forgets.ended(41 * S, ended(9, "b"), 9);
    for second in 41..80 {
        forgets.woke(second * S);
    }
    assert!(forgets.beat(80 * S, beat("a", 1, 2)).is_change());
    assert_eq!(states(&forgets), "a Open");
}

/// Until a process is told which servers ended before its start it takes none up by a beat alone.
#[test]
fn unknown_servers_wait_for_the_ends_of_before_the_start() {
    let mut registry = Registry::start(S, 1, Terms::default());
    registry.await_ends();
    registry.beat(S, beat("a", 1, 5));
    registry.beat(S, beat("a", 1, 4));
    registry.beat(S, beat("b", 2, 5));
    registry.beat(4 * S, beat("c", 3, 5));
    assert_eq!(states(&registry), "");
    // One that closes is heard at once, whatever waits.
    registry.beat(4 * S, Beat { closing: true, ..beat("b", 2, 6) });
    assert_eq!(states(&registry), "b Closing");
    registry.beat(4 * S, beat("a", 1, 6));
    registry.ended(5 * S, [(1, "c".into())], 1);
    assert!(registry.ends_are_told(5 * S));
    assert_eq!(states(&registry), "a Open, b Closing, c Closing");
    // It knows no more than one that has just started until then, and does not ask to be woken for it.
    let mut waits = Registry::start(S, 1, Terms::default());
    waits.await_ends();
    waits.woke(60 * S);
    assert!(!waits.warm(60 * S) && waits.next_wake() > 60 * S);
    waits.ends_are_told(61 * S);
    assert!(waits.warm(61 * S) && waits.woke(61 * S));
    assert_eq!(registry.life("a").map(|life| life.beat.postmark), Some(6));
    // From now on they are taken up as they come; one that was silent for too long meanwhile is not.
    assert!(!registry.ends_are_told(6 * S));
    let mut late = Registry::start(S, 1, Terms::default());
    late.await_ends();
    late.beat(S, beat("a", 1, 5));
    late.ends_are_told(20 * S);
    assert_eq!(states(&late), "");
    assert_eq!(late.beat(20 * S, beat("a", 1, 6)), News::Changed);
}

//! The log's line about clients that left.

use fallgap_gateway::leavers::Leavers;
use fallgap_proxy::Counters;
use std::time::Duration;

#[test]
fn a_line_tells_what_is_new_and_comes_seldom() {
    let mut leavers = Leavers::default();
    let second = Duration::from_secs;
    let mut counters = Counters::default();
    assert_eq!(leavers.line(second(1), &counters), None);
    (counters.closed_early, counters.abandoned, counters.unheard) = (7, 2, 3);
    let line = leavers.line(second(2), &counters).expect("a line");
    assert_eq!(line, "quay: clients left before their answer: 7 closed, 2 broke; 3 answers came for nobody");
    counters.closed_early = 9;
    assert_eq!(leavers.line(second(6), &counters), None, "too soon");
    let line = leavers.line(second(7), &counters).expect("a line");
    assert!(line.contains("2 closed, 0 broke; 0 answers"), "{line}");
}

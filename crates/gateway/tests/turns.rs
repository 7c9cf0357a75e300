//! How long turns of the loop take, as figures and the log tell it.

use fallgap_gateway::turns::{Activity, Turns};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_longest_turn_is_told_for_up_to_two_minutes_with_what_it_was_spent_on() {
    let mut turns = Turns::default();
    turns.begin(ms(100));
    turns.spent(Activity::Servers, ms(5300));
    turns.spent(Activity::Peers, ms(5304));
    let long = turns.end(ms(5305)).expect("long enough to be logged");
    assert_eq!(long.to_string(), "5.205 s, of it servers 5.200 s peers 0.004 s");
    turns.begin(ms(6000));
    turns.spent(Activity::Clients, ms(6007));
    assert_eq!(turns.end(ms(6007)), None);
    let longest = turns.longest();
    assert_eq!((longest.whole, longest.on(Activity::Clients)), (ms(5205), ms(7)));
    for (at, known) in [(61_000, true), (119_000, true), (122_000, false)] {
        turns.begin(ms(at));
        turns.end(ms(at + 1));
        assert_eq!(turns.longest().whole == ms(5205), known, "{at}");
    }
}

use super::{Event, State};

#[test]
fn ends_are_final() {
    let events = [Event::Beat, Event::BeatClosing, Event::Left, Event::Silent, Event::Replaced];
    let rows = [
        (State::Open, [State::Open, State::Closing, State::Gone, State::Lost, State::Lost]),
        (State::Lost, [State::Open, State::Closing, State::Gone, State::Lost, State::Lost]),
        (State::Closing, [State::Closing, State::Closing, State::Gone, State::Gone, State::Gone]),
        (State::Gone, [State::Gone; 5]),
    ];
    for (state, ends) in rows {
        assert_eq!(events.map(|event| state.after(event)), ends, "{state:?}");
    }
}

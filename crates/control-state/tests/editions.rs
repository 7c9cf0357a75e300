//! One edition of the configuration has one content: tables of puts, each judged on what the one before it left.

use std::time::Duration;

use fallgap_control_state::subjects::{Memory, TAKEN_MOST, Verdict, config_body, config_edition, judge};
use fallgap_control_state::{Answer, Call};

fn put(edition: u64, body: &str) -> Call {
    Call::ConfigPut { edition, body: body.as_bytes().to_vec() }
}

/// The answer, and what is held after it.
fn judged(held: Option<Vec<u8>>, call: &Call) -> (Answer, Option<Vec<u8>>) {
    match judge(call, held.as_deref(), Duration::ZERO, &mut Memory::default(), Duration::ZERO) {
        Verdict::Answer(answer) => (answer, held),
        Verdict::Write { value, answer } => (answer, Some(value)),
    }
}

/// Edition and content put, the answer, and the content that holds then.
type Row = (u64, &'static str, Answer, &'static str);

fn check(mut held: Option<Vec<u8>>, rows: &[Row]) -> Option<Vec<u8>> {
    for (line, (edition, body, answer, holds)) in rows.iter().enumerate() {
        let told;
        (told, held) = judged(held, &put(*edition, body));
        assert_eq!(told, *answer, "line {line}: {edition} {body}");
        assert_eq!(config_body(held.as_deref()), Some(holds.as_bytes()), "line {line}: {edition} {body}");
    }
    held
}

#[test]
fn one_number_has_one_content() {
    use Answer::Done;
    let differs = |edition| Answer::Differs { edition };
    check(
        None,
        &[
            (7, "seven", Done, "seven"),
            (7, "seven", Done, "seven"),
            (7, "other", differs(7), "seven"),
            (9, "nine", Done, "nine"),
            // Overtaken: its own content is acknowledged again, other content is not.
            (7, "seven", Done, "nine"),
            (7, "other", differs(9), "nine"),
            // It came too late and changes nothing, but from here on the number is its own.
            (8, "eight", Done, "nine"),
            (8, "eight", Done, "nine"),
            (8, "other", differs(9), "nine"),
            (3, "three", Done, "nine"),
            (3, "other", differs(9), "nine"),
            (20, "twenty", Done, "twenty"),
            (9, "other", differs(20), "twenty"),
            (9, "nine", Done, "twenty"),
            (8, "eight", Done, "twenty"),
            (7, "seven", Done, "twenty"),
            (u64::MAX, "last", Done, "last"),
            (u64::MAX, "other", differs(u64::MAX), "last"),
        ],
    );
}

#[test]
fn what_is_remembered_is_bounded_and_what_is_forgotten_is_acknowledged() {
    let mut held = None;
    let most = TAKEN_MOST as u64;
    for edition in 1..=most * 3 {
        let answer;
        (answer, held) = judged(held, &put(edition, "its own"));
        assert_eq!(answer, Answer::Done);
    }
    let lengths = held.as_ref().map(Vec::len);
    for (edition, other) in [
        (most * 2 - 1, Answer::Done),
        (most * 2, Answer::Differs { edition: most * 3 }),
        (most * 3 - 1, Answer::Differs { edition: most * 3 }),
        (most * 3, Answer::Differs { edition: most * 3 }),
    ] {
        assert_eq!(judged(held.clone(), &put(edition, "its own")), (Answer::Done, held.clone()), "{edition}");
        assert_eq!(judged(held.clone(), &put(edition, "other")), (other, held.clone()), "{edition}");
    }
    (_, held) = judged(held, &put(most * 3 + 1, "its own"));
    assert_eq!(held.map(|held| held.len()), lengths);
}

/// As the text before wrote it: the edition, and then the body.
fn earlier(edition: u64, body: &str) -> Option<Vec<u8>> {
    Some([&edition.to_le_bytes()[..], body.as_bytes()].concat())
}

#[test]
fn a_value_of_the_text_before_is_read() {
    use Answer::Done;
    let body = "{\"edition\":7}\r\n \t\n";
    let rows = [
        (7, body, Done, body),
        (7, "other", Answer::Differs { edition: 7 }, body),
        // Whether it was taken by the text before is not known.
        (6, "six", Done, body),
        (6, "other", Done, body),
        (8, "eight", Done, "eight"),
        (7, body, Done, "eight"),
        (7, "other", Answer::Differs { edition: 8 }, "eight"),
        (6, "other", Done, "eight"),
    ];
    assert_eq!(config_edition(earlier(7, body).as_deref()), Some(7));
    check(earlier(7, body), &rows);
    let blanks = "\n".repeat(1000);
    for length in [0, 1, 4, 63, 64, 65, 1000] {
        let body = &blanks[..length];
        assert_eq!(config_body(earlier(7, body).as_deref()), Some(body.as_bytes()));
        let (answer, held) = judged(earlier(7, body), &put(7, "other"));
        assert_eq!((answer, held), (Answer::Differs { edition: 7 }, earlier(7, body)));
    }
}

#[test]
fn the_text_before_reads_the_same_configuration() {
    let body = r#"{"edition":9}"#;
    let held = check(
        None,
        &[(7, "seven", Answer::Done, "seven"), (9, r#"{"edition":9}"#, Answer::Done, r#"{"edition":9}"#)],
    );
    let value = held.unwrap();
    assert_eq!(value[..8], 9u64.to_le_bytes());
    let read = std::str::from_utf8(&value[8..]).unwrap();
    // It takes all of this for the body: JSON, and blanks behind it.
    assert_eq!(read.trim_end_matches([' ', '\t', '\n', '\r']), body);
}

#[test]
fn a_cut_value_and_a_long_body_are_turned_away() {
    let long = "x".repeat(Memory::default().limits.config_bytes + 1);
    assert_eq!(judged(None, &put(1, &long)), (Answer::Busy, None));
    let cut = Some(vec![1, 2, 3]);
    assert_eq!(judged(cut.clone(), &put(1, "one")), (Answer::Busy, cut));
}

//! The side of whoever attempts an operation: how votes are counted.

use fallgap_control_state::attempts::{AttemptTerms, Attempts, Verdict};
use fallgap_control_state::{Attempt, Message, NodeId, OperationId, Vote};
use std::time::Duration;

const OPERATION: OperationId = OperationId([7; 16]);

fn member(n: u8) -> NodeId {
    NodeId::new(10, 0, 0, n)
}

fn attempt(n: u8) -> Attempt {
    Attempt { node: NodeId::new(10, 0, 1, n), number: u64::from(n) }
}

fn members() -> Vec<NodeId> {
    (1..=5).map(member).collect()
}

/// A member's number, its epoch, and its vote.
type Cast = (u8, u64, Vote);

/// What an attempt comes to by these votes of five members.
fn counted(votes: &[Cast]) -> Option<Verdict> {
    let mut attempts = Attempts::new(AttemptTerms::default(), 1);
    let number = attempts.begin(Duration::ZERO, OPERATION, attempt(1), &members()).expect("there is room");
    let voted =
        |(n, epoch, vote): &Cast| attempts.voted(Duration::ZERO, member(*n), number, *epoch, 3, *vote);
    votes.iter().find_map(voted)
}

#[test]
fn only_a_majority_of_one_epoch_grants() {
    use Vote::{Abstains, Granted};
    let taken = Vote::Taken(attempt(2));
    let by = attempt(2);
    let cases: [(&str, &[Cast], Option<Verdict>); 9] = [
        ("three of five", &[(1, 4, Granted), (2, 4, Granted), (3, 4, Granted)], Some(Verdict::Granted)),
        ("two of five", &[(1, 4, Granted), (2, 4, Granted)], None),
        ("one that says it twice", &[(1, 4, Granted), (2, 4, Granted), (2, 4, Granted)], None),
        ("one that was not asked", &[(1, 4, Granted), (2, 4, Granted), (9, 4, Granted)], None),
        ("two of another epoch", &[(1, 4, Granted), (2, 4, Granted), (3, 5, Granted)], None),
        (
            "all of the newer epoch in the end",
            &[(1, 4, Granted), (2, 5, Granted), (3, 5, Granted), (1, 5, Granted)],
            Some(Verdict::Granted),
        ),
        ("one that abstains may vote yet", &[(1, 4, Granted), (2, 4, Granted), (3, 4, Abstains)], None),
        (
            "another has a majority",
            &[(1, 4, taken), (2, 4, taken), (3, 4, taken)],
            Some(Verdict::Taken { by, by_majority: true }),
        ),
        (
            "split, so that nobody can have one",
            &[(1, 4, Granted), (2, 4, taken), (3, 4, Vote::Taken(attempt(3))), (4, 4, taken)],
            Some(Verdict::Taken { by, by_majority: false }),
        ),
    ];
    for (what, votes, expected) in cases {
        assert_eq!(counted(votes), expected, "{what}");
    }
}

#[test]
fn who_does_not_answer_is_asked_again_and_not_for_ever() {
    let terms = AttemptTerms::default();
    let mut attempts = Attempts::new(terms, 1);
    let number = attempts.begin(Duration::ZERO, OPERATION, attempt(1), &members()).expect("there is room");
    assert_eq!(attempts.take().len(), 5);
    attempts.voted(Duration::ZERO, member(1), number, 4, 3, Vote::Granted);
    assert!(attempts.woke(terms.resend).is_empty());
    let again: Vec<NodeId> = attempts.take().into_iter().map(|(to, _)| to).collect();
    assert_eq!(again, (2..=5).map(member).collect::<Vec<_>>());
    assert_eq!(attempts.woke(terms.patience), [(number, Verdict::NoMajority)]);
    assert_eq!(attempts.next_wake(), None);
}

#[test]
fn a_granted_claim_is_brought_to_all_that_can_be_reached_and_a_given_up_one_is_taken_back() {
    let terms = AttemptTerms::default();
    let mut attempts = Attempts::new(terms, 1);
    let number = attempts.begin(Duration::ZERO, OPERATION, attempt(1), &members()).expect("there is room");
    for n in 1..=3 {
        attempts.voted(Duration::ZERO, member(n), number, 4, 3, Vote::Granted);
    }
    attempts.take();
    assert!(attempts.woke(terms.resend).is_empty(), "its verdict is told once");
    assert_eq!(attempts.take().len(), 2);
    assert!(attempts.woke(terms.tail).is_empty());
    assert_eq!(attempts.next_wake(), None);
    attempts.give_up(OPERATION, attempt(1), &members());
    let given_up = |(_, message): &(NodeId, Message)| matches!(message, Message::ClaimGivenUp { .. });
    assert_eq!(attempts.take().iter().filter(|one| given_up(one)).count(), 5);
}

#[test]
fn attempts_are_bounded() {
    let mut attempts = Attempts::new(AttemptTerms { most: 2, ..AttemptTerms::default() }, 1);
    let mut begin = |n| attempts.begin(Duration::ZERO, OperationId([n; 16]), attempt(n), &members());
    assert!(begin(1).is_some() && begin(2).is_some());
    assert_eq!(begin(3), None);
}

#[test]
fn an_operation_is_named_by_32_digits() {
    let id = OperationId([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 255]);
    assert_eq!(id.digits(), "000102030405060708090a0b0c0d0eff");
    assert_eq!(OperationId::from_digits(&id.digits()), Some(id));
    for text in [
        "",
        "00",
        "000102030405060708090a0b0c0d0ef",
        "+00102030405060708090a0b0c0d0eff",
        "0x0102030405060708090a0b0c0d0eff",
    ] {
        assert_eq!(OperationId::from_digits(text), None, "{text}");
    }
}

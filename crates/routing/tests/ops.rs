//! What an op's tries prove, and what may follow.

use fallgap_config::RouteClass::{self, Fragile, Outbound, Safe};
use fallgap_routing::{Final, Next, Op, Plan, TryOutcome};

mod common;
use common::ms;

fn op(class: RouteClass, attempts: u32) -> Op {
    let (began, deadline, target) = (ms(0), ms(1000), ms(200));
    Op::new(Plan { class, began, deadline, target, priority: 1, attempts, connects: 3 })
}

/// One after the other: a byte has left or not, and how it ended.
fn run(class: RouteClass, attempts: u32, budget: bool, tries: &[(bool, TryOutcome)]) -> Next {
    let mut op = op(class, attempts);
    let mut next = Next::Try;
    for (sent, outcome) in tries {
        assert_eq!(next, Next::Try, "{tries:?}");
        let number = op.begin();
        if *sent {
            op.sends(number);
        }
        next = op.ended(ms(100), number, *outcome, budget);
    }
    next
}

/// Class, attempts, whether the budget allows; the tries, and what is to be done then.
type Case<'a> = (RouteClass, u32, bool, &'a [(bool, TryOutcome)], Next);

#[test]
fn a_second_server_is_asked_only_on_proof_or_where_it_does_no_harm() {
    use Final::{NotRun, Unknown};
    use TryOutcome as O;
    let (not_sent, shed, lost) = ((false, O::NotSent), (true, O::NotRun), (true, O::Unknown));
    let (failed, answered) = ((true, O::Failed), (true, O::Answered));
    // Nothing left, it is said; but a byte had.
    let doubtful = (true, O::NotSent);
    let reply = Next::Reply;
    let cases: [Case<'_>; 23] = [
        (Fragile, 2, true, &[answered], Next::Pass),
        (Fragile, 2, true, &[not_sent], Next::Try),
        (Fragile, 2, false, &[not_sent], Next::Try),
        (Fragile, 2, false, &[not_sent, not_sent, not_sent], reply(NotRun)),
        (Fragile, 2, true, &[shed], Next::Try),
        (Fragile, 2, false, &[shed], reply(NotRun)),
        (Fragile, 1, true, &[shed], reply(NotRun)),
        (Fragile, 2, true, &[shed, shed], reply(NotRun)),
        (Fragile, 2, true, &[shed, lost], reply(Unknown)),
        (Fragile, 2, true, &[lost], reply(Unknown)),
        (Fragile, 9, true, &[doubtful], reply(Unknown)),
        (Fragile, 2, true, &[failed], Next::Pass),
        (Fragile, 9, true, &[shed, not_sent, lost], reply(Unknown)),
        (Safe, 2, true, &[lost], Next::Try),
        (Safe, 2, false, &[lost], reply(Unknown)),
        (Safe, 1, true, &[lost], reply(Unknown)),
        (Safe, 2, true, &[lost, lost], reply(Unknown)),
        (Safe, 2, true, &[lost, shed], reply(Unknown)),
        (Safe, 2, true, &[lost, answered], Next::Pass),
        (Safe, 2, true, &[failed], Next::Try),
        (Safe, 2, false, &[failed], Next::Pass),
        (Safe, 2, true, &[failed, failed], Next::Pass),
        (Safe, 3, true, &[shed, lost], Next::Try),
    ];
    for (class, attempts, budget, tries, expected) in cases {
        assert_eq!(run(class, attempts, budget, tries), expected, "{class:?} {attempts} {budget} {tries:?}");
    }
}

#[test]
fn when_its_time_is_over_the_promise_is_given_only_if_nothing_left() {
    for class in [Fragile, Safe] {
        let mut unsent = op(class, 2);
        unsent.begin();
        assert_eq!(unsent.late(), Next::Reply(Final::NotRun));
        let mut sent = op(class, 2);
        let number = sent.begin();
        sent.sends(number);
        assert_eq!(sent.late(), Next::Reply(Final::Late));
        // What comes later changes nothing.
        assert_eq!(sent.ended(ms(1001), number, TryOutcome::Unknown, true), Next::Wait);
    }
}

#[test]
fn only_what_may_run_again_is_sent_past_a_silent_server() {
    for (class, attempts, budget, expected) in
        [(Safe, 2, true, true), (Safe, 1, true, false), (Safe, 2, false, false), (Fragile, 2, true, false)]
    {
        let mut op = op(class, attempts);
        let first = op.begin();
        op.sends(first);
        assert_eq!(op.may_hedge(ms(100), budget), expected);
        if expected {
            let second = op.begin();
            assert!(!op.may_hedge(ms(100), budget));
            op.sends(second);
            assert_eq!(op.ended(ms(150), second, TryOutcome::Unknown, true), Next::Wait);
            assert_eq!(op.ended(ms(160), first, TryOutcome::Answered, true), Next::Pass);
        }
    }
}

/// Fails where a second answer, or one of its own, may follow bytes that have left.
#[test]
fn an_answer_that_has_begun_to_leave_is_the_only_one() {
    for class in [Fragile, Safe] {
        let mut op = op(class, 2);
        let number = op.begin();
        op.sends(number);
        assert!(!op.passes(number), "{class:?}");
    }
    use TryOutcome as O;
    for (outcome, expected) in
        [(O::Answered, Next::Pass), (O::Unknown, Next::Break), (O::NotRun, Next::Break)]
    {
        let mut op = op(Outbound, 9);
        let (first, second) = (op.begin(), op.begin());
        assert!(!op.passes(first), "nothing has left for it");
        op.sends(first);
        op.sends(second);
        assert!(op.passes(first) && !op.passes(second));
        assert!(!op.may_hedge(ms(100), true));
        assert_eq!(op.ended(ms(100), second, O::Unknown, true), Next::Wait);
        assert_eq!(op.clone().late(), Next::Break);
        assert_eq!(op.ended(ms(200), first, outcome, true), expected);
    }
}

/// What the one try of an op has come to as its client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Connecting,
    Sent,
    Passing,
}

#[test]
fn what_may_be_repeated_ends_with_its_client_and_what_may_run_once_goes_nowhere_else() {
    use Final::{NotRun, Unknown};
    use Stage::{Connecting, Passing, Sent};
    let cases = [
        (Fragile, Connecting, Next::Reply(NotRun)),
        (Fragile, Sent, Next::Wait),
        (Safe, Connecting, Next::Reply(NotRun)),
        (Safe, Sent, Next::Reply(Unknown)),
        (Outbound, Sent, Next::Reply(Unknown)),
        (Outbound, Passing, Next::Break),
    ];
    for (class, stage, expected) in cases {
        let mut op = op(class, 2);
        let number = op.begin();
        if stage != Connecting {
            op.sends(number);
        }
        assert_eq!(stage == Passing && op.passes(number), stage == Passing);
        assert_eq!(op.client_left(), expected, "{class:?} {stage:?}");
        assert!(!op.may_hedge(ms(100), true), "{class:?} {stage:?}");
        // It is over, or its server proves that it did not run: no other one is asked.
        let after = op.ended(ms(100), 0, TryOutcome::NotRun, true);
        let refused = Next::Reply(NotRun);
        assert_eq!(after, if expected == Next::Wait { refused } else { Next::Wait }, "{class:?} {stage:?}");
        assert_eq!(op.client_left(), Next::Wait);
    }
}

use super::*;
use crate::types::NodeId;

fn ballot(epoch: u64, count: u64) -> Ballot {
    Ballot { epoch, count, node: NodeId::LOCALHOST, life: 1 }
}

fn given(at: Ballot, committed: bool) -> Given {
    Given { key: Key::Config, ballot: at, committed, value: vec![at.count as u8].into() }
}

/// An acceptor in epoch 2 that promised 2.5 and accepted 2.3.
fn acceptor(pen: &mut Pen) -> Acceptor {
    let mut acceptor = Acceptor::new();
    let (at, next) = (ballot(2, 3), ballot(2, 4));
    let accepted =
        acceptor.accept(Duration::ZERO, &Key::Config, at, next, Duration::ZERO, vec![3].into(), pen);
    assert!(accepted.is_ok());
    assert!(acceptor.promise(Duration::ZERO, &Key::Config, ballot(2, 5), None, pen).is_ok());
    acceptor
}

#[test]
fn what_others_hold_is_taken_unless_a_promise_forbids_it() {
    let table = [
        ("below", ballot(2, 2), true, false),
        ("the same", ballot(2, 3), true, false),
        ("between, not known to be committed", ballot(2, 4), false, false),
        ("between, committed", ballot(2, 4), true, true),
        ("as promised", ballot(2, 5), false, true),
        ("above", ballot(2, 6), false, true),
        ("of an older epoch", ballot(1, 9), true, false),
        ("of an epoch that is not known yet", ballot(3, 1), true, false),
    ];
    for (what, at, committed, taken) in table {
        let mut pen = Pen::new(NodeId::LOCALHOST, 9);
        let mut acceptor = acceptor(&mut pen);
        assert_eq!(acceptor.adopt(Duration::ZERO, 2, given(at, committed), None, &mut pen), taken, "{what}");
        let register = acceptor.get(&Key::Config).expect("a register");
        assert_eq!(register.ballot(), Some(if taken { at } else { ballot(2, 3) }), "{what}");
        assert!(register.promised >= Some(ballot(2, 5)), "{what}");
    }
}

#[test]
fn an_accept_stands_once_made_and_below_a_promise_none_is_made() {
    let table = [
        ("again", ballot(2, 3), true),
        ("below", ballot(2, 4), false),
        ("as promised", ballot(2, 5), true),
        ("above", ballot(2, 7), true),
        ("of an older epoch", ballot(1, 9), false),
    ];
    for (what, at, accepted) in table {
        let mut pen = Pen::new(NodeId::LOCALHOST, 9);
        let mut acceptor = acceptor(&mut pen);
        let (next, age) = (at.following(), Duration::ZERO);
        let result = acceptor.accept(age, &Key::Config, at, next, age, vec![1].into(), &mut pen);
        assert_eq!(result.is_ok(), accepted, "{what}");
    }
}

#[test]
fn what_is_written_brings_back_the_same() {
    let mut pen = Pen::new(NodeId::LOCALHOST, 9);
    let before = acceptor(&mut pen);
    let mut after = Acceptor::new();
    for record in before.records() {
        if let Record::Accept { key, ballot, promised, value } = record {
            after.replay(Duration::ZERO, key, promised, Some((ballot, value)));
        }
    }
    assert_eq!(after.sums(), before.sums());
    assert_eq!(after.get(&Key::Config).map(|r| r.promised), before.get(&Key::Config).map(|r| r.promised));
}

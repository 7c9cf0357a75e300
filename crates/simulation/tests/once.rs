//! A call that was handed to two keepers, as the first was slow with it: once the second has answered, the first may
//! not carry it out as well. Three keepers, and a network by hand: what the first says waits until it is let go.

use std::collections::VecDeque;
use std::time::Duration;

use fallgap_control_state::{Answer, Call, Keeper, Key, Message, Out};
use fallgap_simulation::waters::{ms, node, one_of_three};

const SLOW: usize = 0;
const QUICK: usize = 1;

struct Trio {
    keepers: Vec<Keeper>,
    now: Duration,
    under_way: VecDeque<(usize, usize, Message)>,
    /// What the slow one says waits here.
    held: Option<Vec<(usize, Message)>>,
    answers: Vec<(usize, u64, Answer)>,
}

impl Trio {
    fn new() -> Trio {
        let now = ms(5000);
        let keepers = (1..4).map(|n| one_of_three(now, n, 1)).collect();
        let mut trio = Trio { keepers, now, under_way: VecDeque::new(), held: None, answers: Vec::new() };
        trio.passes(300);
        trio
    }

    /// All that is under way arrives; records are durable at once.
    fn settle(&mut self) {
        loop {
            for (at, keeper) in self.keepers.iter_mut().enumerate() {
                let mut last = None;
                for out in keeper.take() {
                    match out {
                        Out::Send(to, message) => {
                            let to = (1..4).position(|n| node(n) == to).expect("a member");
                            match &mut self.held {
                                Some(held) if at == SLOW => held.push((to, message)),
                                _ => self.under_way.push_back((at, to, message)),
                            }
                        }
                        Out::Log { number, .. } => last = Some(number),
                        Out::Answer(id, answer) => self.answers.push((at, id, answer)),
                        Out::Committed { .. } | Out::Voted { .. } | Out::Note(_) => {}
                    }
                }
                if let Some(last) = last {
                    keeper.synced(self.now, last);
                }
            }
            let Some((from, to, message)) = self.under_way.pop_front() else {
                if self.keepers.iter_mut().all(|keeper| keeper.next_wake() > self.now) {
                    return;
                }
                self.keepers.iter_mut().for_each(|keeper| keeper.woke(self.now));
                continue;
            };
            self.keepers[to].heard(self.now, node(from as u8 + 1), message);
        }
    }

    fn passes(&mut self, time: u64) {
        for _ in 0..time / 5 {
            self.now += ms(5);
            self.settle();
        }
    }

    fn call(&mut self, at: usize, id: u64, call: &Call) {
        self.keepers[at].call(self.now, id, call.clone());
        self.settle();
    }

    fn answer(&mut self, at: usize, id: u64, call: &Call) -> Answer {
        self.call(at, id, call);
        self.passes(200);
        let found = self.answers.iter().find(|(from, of, _)| (*from, *of) == (at, id));
        found.map(|(.., answer)| answer.clone()).expect("an answer")
    }

    fn let_go(&mut self) {
        let held = self.held.take().into_iter().flatten();
        self.under_way.extend(held.map(|(to, message)| (SLOW, to, message)));
        self.settle();
    }
}

fn start(holder: &str) -> Call {
    Call::LockStart { name: "l".into(), holder: holder.into(), hold: ms(3000) }
}

/// What became of a lock that one caller took and gave back, with its first keeper slow and a second one quick.
fn next_holder(withdrawn: bool) -> Answer {
    let mut trio = Trio::new();
    trio.held = Some(Vec::new());
    trio.call(SLOW, 1, &start("a"));
    assert_eq!(trio.answer(QUICK, 2, &start("a")), Answer::Fence(1));
    let end = Call::LockEnd { name: "l".into(), holder: "a".into(), fence: 1 };
    assert_eq!(trio.answer(QUICK, 3, &end), Answer::Done);
    if withdrawn {
        trio.keepers[SLOW].withdraw(trio.now, 1, &Key::Lock("l".into()));
    }
    trio.let_go();
    trio.passes(400);
    trio.answer(QUICK, 4, &start("b"))
}

#[test]
fn a_call_that_was_withdrawn_is_not_carried_out() {
    assert!(matches!(next_holder(true), Answer::Fence(_)));
}

/// This is what it is for: the lock is taken for a caller that has given it back.
#[test]
fn one_that_was_not_withdrawn_is() {
    assert_eq!(next_holder(false), Answer::Held);
}

/// Whoever withdraws a call that is not there, or one that has been answered, changes nothing.
#[test]
fn what_is_not_waited_for_can_be_withdrawn() {
    let mut trio = Trio::new();
    let key = Key::Lock("l".into());
    assert_eq!(trio.answer(SLOW, 1, &start("a")), Answer::Fence(1));
    for id in [1, 7] {
        trio.keepers[SLOW].withdraw(trio.now, id, &key);
        trio.settle();
    }
    assert_eq!(trio.answer(QUICK, 2, &start("b")), Answer::Held);
    let all = trio.answers.iter().filter(|(at, id, _)| (*at, *id) == (SLOW, 1)).count();
    assert_eq!(all, 1);
}

/// A watch that waits at a second keeper ends there with the first one's answer.
#[test]
fn a_watch_that_was_withdrawn_waits_no_more() {
    let mut trio = Trio::new();
    let put = |value: &str| Call::CellPut { name: "g.k".into(), value: value.into(), on: None };
    for withdrawn in [false, true] {
        let id = 2 + u64::from(withdrawn);
        let Answer::Revision(after) = trio.answer(QUICK, id, &put(&format!("v{id}"))) else {
            panic!("a put")
        };
        let watch = Call::Watch { group: "g.".into(), after, wait: ms(9000) };
        trio.call(SLOW, id, &watch);
        trio.passes(100);
        if withdrawn {
            trio.keepers[SLOW].withdraw(trio.now, id, &Key::Group("g.".into()));
        }
        trio.answer(QUICK, 10 + id, &put(&format!("w{id}")));
        let told = trio.answers.iter().any(|(at, of, _)| (*at, *of) == (SLOW, id));
        assert_eq!(told, !withdrawn);
        trio.answers.clear();
    }
}

#[cfg(feature = "faults")]
#[test]
fn the_fault_is_found() {
    use fallgap_control_state::fault::{self, Fault};
    fault::set(Some(Fault::WithdrawalIgnored));
    let found = next_holder(true);
    fault::set(None);
    assert_eq!(found, Answer::Held);
}

/// A keeper that stood still while others answered it: its caller has gone on, so what it then finds is not written.
#[test]
fn what_a_keeper_finds_when_it_has_stood_still_is_not_written() {
    for (still, begun) in [(ms(300), true), (ms(1500), false)] {
        let mut trio = Trio::new();
        trio.keepers[0].call(trio.now, 1, start("a"));
        let mut replies = Vec::new();
        for out in trio.keepers[0].take() {
            match out {
                Out::Send(to, message) => {
                    let at = (1..4).position(|n| node(n) == to).expect("a member");
                    trio.keepers[at].heard(trio.now, node(1), message);
                }
                Out::Log { number, .. } => trio.keepers[0].synced(trio.now, number),
                Out::Answer(..) | Out::Committed { .. } | Out::Voted { .. } | Out::Note(_) => {}
            }
        }
        for at in 1..3 {
            for out in trio.keepers[at].take() {
                match out {
                    Out::Send(to, message) if to == node(1) => replies.push((at, message)),
                    Out::Log { number, .. } => trio.keepers[at].synced(trio.now, number),
                    _ => {}
                }
            }
            let told = trio.keepers[at].take();
            replies.extend(told.into_iter().filter_map(|out| match out {
                Out::Send(to, message) if to == node(1) => Some((at, message)),
                _ => None,
            }));
        }
        trio.now += still;
        for (from, message) in replies {
            trio.keepers[0].heard(trio.now, node(from as u8 + 1), message);
        }
        let outs = trio.keepers[0].take();
        let writes = outs.iter().any(|out| matches!(out, Out::Send(_, Message::Accept { .. })));
        let refused = outs.iter().any(|out| matches!(out, Out::Answer(1, Answer::Busy)));
        assert_eq!((writes, refused), (begun, !begun), "{still:?}");
    }
}

//! One keeper, with its fellows' part played by hand.

use std::time::Duration;

use fallgap_control_state::ballot::Ballot;
use fallgap_control_state::charter::{Charter, Member};
use fallgap_control_state::{Answer, Call, Keeper, Kept, Me, Message, Out, Peer, Terms};

use fallgap_simulation::waters::{ms, node};

struct Alone {
    keeper: Keeper,
    now: Duration,
}

impl Alone {
    /// Member 1 of the first epoch, with 2 and 3.
    fn new() -> Alone {
        let me = Me {
            node: node(1),
            disk: Some(1),
            life: 1,
            first_start: true,
            empty: true,
            seeds: vec![node(1)],
            tolerate: 1,
        };
        let now = ms(5000);
        let keeper = Keeper::start(now, 1, me, Kept::default(), Terms::default()).expect("nothing to read");
        let mut alone = Alone { keeper, now };
        let members = [1, 2, 3].map(|n| Member { node: node(n), disk: u64::from(n), joined: 1 }).to_vec();
        alone.hear(2, Message::Members(Charter { number: 1, members, grown: false }));
        alone
    }

    /// Hears something and does what is due; records are durable at once.
    fn hear(&mut self, from: u8, message: Message) -> Vec<Out> {
        self.keeper.heard(self.now, node(from), message);
        self.outs()
    }

    fn outs(&mut self) -> Vec<Out> {
        let mut all = Vec::new();
        loop {
            let outs = self.keeper.take();
            if outs.is_empty() {
                return all;
            }
            let last = outs
                .iter()
                .filter_map(|out| if let Out::Log { number, .. } = out { Some(*number) } else { None });
            if let Some(last) = last.max() {
                self.keeper.synced(self.now, last);
            }
            all.extend(outs);
        }
    }

    /// Lets time pass, while 2 shows signs of life, until something of this kind is sent to 2.
    fn until<T>(&mut self, of: impl Fn(&Message) -> Option<T>) -> T {
        for _ in 0..1000 {
            self.now += ms(10);
            let pulse = Message::Pulse {
                epoch: 1,
                disk: Some(2),
                caught_up: None,
                life: 2,
                leaving: false,
                hears_you: true,
                contact: true,
                sync_ms: 0,
            };
            let mut outs = self.hear(2, pulse);
            self.keeper.woke(self.now);
            outs.extend(self.outs());
            if let Some(found) = sent(&outs, &of) {
                return found;
            }
        }
        panic!("it was never sent")
    }
}

fn sent<T>(outs: &[Out], of: impl Fn(&Message) -> Option<T>) -> Option<T> {
    outs.iter().find_map(|out| match out {
        Out::Send(to, message) if *to == node(2) => of(message),
        _ => None,
    })
}

#[test]
fn a_successor_that_somebody_accepted_goes_before_ones_own() {
    for found in [false, true] {
        let mut alone = Alone::new();
        let peer = |n, here| Peer { node: node(n), disk: Some(u64::from(n)), here };
        alone.keeper.peers(alone.now, &[peer(2, true), peer(3, false), peer(4, true)]);
        let ballot = alone.until(|message| match message {
            Message::SuccessorPrepare { ballot } => Some(*ballot),
            _ => None,
        });
        let other =
            Charter { number: 2, members: vec![Member { node: node(2), disk: 2, joined: 1 }], grown: false };
        let earlier = Ballot { count: 0, ..ballot };
        let accepted = found.then(|| (earlier, other.clone()));
        let outs = alone.hear(2, Message::SuccessorPromised { ballot, accepted });
        let charter = sent(&outs, |message| match message {
            Message::SuccessorAccept { charter, .. } => Some(charter.clone()),
            _ => None,
        });
        assert_eq!(charter.is_some_and(|charter| charter == other), found);
    }
}

#[test]
fn what_was_sent_and_not_found_again_is_written_over_before_it_is_refused() {
    let mut alone = Alone::new();
    let pulse = Message::Pulse {
        epoch: 1,
        disk: Some(2),
        caught_up: None,
        life: 2,
        leaving: false,
        hears_you: true,
        contact: true,
        sync_ms: 0,
    };
    alone.hear(2, pulse);
    let start = Call::LockStart { name: "l".into(), holder: "p".into(), hold: ms(9000) };
    alone.keeper.call(alone.now, 7, start);
    let of_accept = |message: &Message| match message {
        Message::Accept { key, ballot, value, .. } => Some((key.clone(), *ballot, value.clone())),
        _ => None,
    };
    let of_prepare = |message: &Message| match message {
        Message::Prepare { key, ballot, .. } => Some((key.clone(), *ballot)),
        _ => None,
    };
    let outs = alone.outs();
    let (key, first) = sent(&outs, of_prepare).expect("a prepare");
    let outs = alone.hear(2, Message::Promised { key: key.clone(), ballot: first, held: None });
    let (_, pushed, value) = sent(&outs, of_accept).expect("an accept");
    assert_eq!(pushed, first);
    // Both others have promised more: it may stand on this disk alone.
    let above = Ballot { count: first.count + 5, node: node(3), ..first };
    for from in [2, 3] {
        alone.hear(from, Message::Refused { key: key.clone(), ballot: first, promised: above });
    }
    let (_, second) = alone.until(of_prepare);
    assert!(second > above);
    let outs = alone.hear(2, Message::Promised { key: key.clone(), ballot: second, held: None });
    assert!(!outs.iter().any(|out| matches!(out, Out::Answer(..))), "answered before it is at a majority");
    let (_, pushed, again) = sent(&outs, of_accept).expect("an accept");
    assert!(pushed == second && again.bytes() == value.bytes());
    let outs = alone.hear(2, Message::Accepted { key, ballot: second });
    assert!(outs.contains(&Out::Answer(7, Answer::Fence(1))));
}

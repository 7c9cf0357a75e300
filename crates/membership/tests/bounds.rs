//! What a beacon does with too much, and with what does not fit.

use fallgap_membership::{Beacon, Card, Message, News, NodeId, Out, State, Terms, Word};
use std::time::Duration;

fn card(i: u32, zone: &str) -> Card {
    let node = NodeId::from(0x0a00_0000 + i);
    Card {
        node,
        zone: zone.into(),
        disk: Some(u64::MAX),
        life: u64::MAX - 1,
        leaving: true,
        sequence: u32::MAX - 1,
    }
}

fn beacon(terms: Terms) -> Beacon {
    Beacon::start(Duration::ZERO, 1, Card { sequence: 0, ..card(0, "hall") }, Vec::new(), terms)
}

fn told(state: State, word: Word, from: u32, nodes: std::ops::Range<u32>, zone: &str) -> Message {
    let news = nodes.map(|i| News { card: card(i, zone), state }).collect();
    Message { card: card(from, zone), word, news }
}

#[test]
fn what_does_not_fit_is_ignored_with_few_notes() {
    let long = "z".repeat(49);
    let mut forged = told(State::Here, Word::Ask, 5, 0..0, "hall");
    forged.card.node = NodeId::new(10, 9, 9, 9);
    let cases = [
        forged,
        told(State::Here, Word::Ask, 5, 0..0, &long),
        told(State::Here, Word::Ask, 5, 10..23, "hall"),
        told(State::Here, Word::Ask, 5, 10..11, &long),
    ];
    let mut b = beacon(Terms::default());
    for message in cases.iter().cycle().take(1000) {
        b.heard(Duration::from_millis(3), NodeId::new(10, 0, 0, 5), message.clone());
        b.heard(Duration::from_millis(3), NodeId::new(10, 0, 0, 0), message.clone());
    }
    assert_eq!(b.peers().count(), 0);
    let out = b.take();
    assert!(out.len() <= 16 && out.iter().all(|o| matches!(o, Out::Note(_))), "{out:?}");
}

#[test]
fn state_datagrams_and_wakes_stay_bounded() {
    let terms = Terms { nodes: 100, ..Terms::default() };
    let zone = "w".repeat(48);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut b = beacon(terms);
    let mut now = Duration::ZERO;
    let (mut sent, mut woke) = (0, 0);
    for _ in 0..20_000 {
        now += Duration::from_micros(rng.u64(..2000));
        let node = rng.u32(1..300);
        let about = NodeId::from(0x0a00_0000 + rng.u32(..300));
        let word = match rng.u8(..10) {
            0 => Word::Ask,
            1 => Word::Help { about },
            2 => Word::Found { about },
            3 => Word::Silent { about },
            4 => Word::Compare { sum: rng.u64(..) },
            5 => Word::Parts { sums: vec![u32::MAX; rng.usize(..100)] },
            6 => Word::Pull { parts: rng.u64(..), after: Some(about), back: true },
            7 => Word::Page { parts: rng.u64(..), more: Some(about) },
            _ => Word::Tell,
        };
        let state = [State::Here, State::Doubted, State::Gone][rng.usize(..3)];
        let from = rng.u32(..290);
        let mut message = told(state, word, node, from..from + rng.u32(..13), &zone);
        message.news.iter_mut().for_each(|n| n.card.sequence -= rng.u32(..5));
        b.heard(now, message.card.node, message);
        if b.next_wake() <= now {
            b.woke(now);
            woke += 1;
            assert!(b.next_wake() >= now);
        }
        for out in b.take() {
            if let Out::Send(_, message) = out {
                sent += 1;
                let bytes = postcard::to_allocvec(&message).unwrap().len();
                assert!(bytes <= 1200, "{bytes} bytes: {:?}", message.word);
            }
        }
        assert!(b.peers().count() <= 100 && b.here() <= 101);
    }
    println!("{sent} sent, woke {woke} times in {now:?}");
    assert!(sent < 20_000 * 6, "{sent}");
}

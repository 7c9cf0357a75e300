//! Whom an answer between supervisors belongs to: answers that are late, doubled, out of order, or meant for a life
//! that has ended.

use fallgap_lantern::asks::Told;
use fallgap_lantern::beats::Beats;
use fallgap_lantern::spread::{Spread, Spreading};
use std::net::Ipv4Addr;
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn node(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn acknowledged(told: &Receiver<Told>) -> bool {
    matches!(told.try_recv(), Ok(Told::Taken))
}

/// One word of a keeper that it knows of a beat: in which life it was asked for, and by whom it is said.
struct Taken(usize, u8);

/// A server's `closing` is acknowledged by a majority of those that were told of it in this life, whatever else comes.
#[test]
fn a_closing_beat_is_acknowledged_by_answers_to_this_life_alone() {
    let rows: [(&str, &[Taken], bool); 6] = [
        ("a majority", &[Taken(1, 1), Taken(1, 2)], true),
        ("one twice", &[Taken(1, 1), Taken(1, 1)], false),
        ("one that was not told", &[Taken(1, 1), Taken(1, 9)], false),
        ("late, for the life before", &[Taken(0, 1), Taken(0, 2), Taken(0, 3)], false),
        ("one of them for the life before", &[Taken(0, 1), Taken(1, 2)], false),
        ("in any order", &[Taken(0, 3), Taken(1, 3), Taken(0, 1), Taken(1, 1)], true),
    ];
    for (name, words, wanted) in rows {
        // The process is started anew: it remembers nothing of what it asked for.
        let mut lives = [1, 2].map(|seed| Beats::new(fastrand::Rng::with_seed(seed).u64(1..1 << 62)));
        let keepers = [node(1), node(2), node(3)];
        let asked = lives.each_mut().map(|beats| {
            let (reply, told) = sync_channel(1);
            (beats.closing(Duration::ZERO, reply, &keepers).unwrap(), told)
        });
        for Taken(life, keeper) in words {
            lives[1].taken(asked[*life].0, node(*keeper));
        }
        assert_eq!(acknowledged(&asked[1].1), wanted, "{name}");
    }
}

/// An office is told that its change is in force by answers to this life alone: a supervisor that was told by the life
/// before says so whenever it comes to route by that revision.
#[test]
fn a_change_is_in_force_by_answers_to_this_life_alone() {
    let in_force = |told: &Receiver<Told>| match told.try_recv() {
        Ok(Told::Spread(Spreading { in_force, .. })) => Some(in_force),
        _ => None,
    };
    let mut lives = [1, 2].map(|seed| Spread::new(fastrand::Rng::with_seed(seed).u64(1..1 << 62)));
    let nodes = [node(1), node(2)];
    let asked = lives.each_mut().map(|spread| {
        let (reply, told) = sync_channel(1);
        (spread.begin(Duration::ZERO, reply, &nodes).unwrap(), told)
    });
    for last in [1, 2] {
        lives[1].heeded(MS, asked[0].0, node(last), true);
    }
    assert_eq!(in_force(&asked[1].1), None);
    for last in [1, 1, 2] {
        lives[1].heeded(MS, asked[1].0, node(last), true);
    }
    assert_eq!(in_force(&asked[1].1), Some(2));
}

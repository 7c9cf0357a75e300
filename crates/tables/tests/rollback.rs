//! Back to an earlier version: what is closed now stays closed, and the way to the decisions again is in steps.

use fallgap_tables::{Entry, Key, Known, Refused, Withdrawals, rolled_back, step_towards};
use std::collections::BTreeMap;

type Table = BTreeMap<Key, Entry>;

fn table(parts: &[(&str, f64)], admit: f64) -> Table {
    let mut table: Table = parts.iter().map(|(s, p)| (Key::Line((*s).into()), Entry::Part(*p))).collect();
    table.insert(Key::Level("lookup".into()), Entry::Level { admit, policy: 1 });
    table
}

fn part(table: &Table, server: &str) -> f64 {
    match table.get(&Key::Line(server.into())) {
        Some(Entry::Part(part)) => *part,
        _ => 0.0,
    }
}

fn known(server: &str) -> Known {
    match server {
        "gone" => Known::Gone,
        "drain" => Known::Draining,
        "cold" => Known::Cold,
        _ => Known::Open,
    }
}

/// Guards against gone, draining and cold servers that come back through an earlier version, and a line of worth
/// that goes up with it.
#[test]
fn what_is_closed_now_does_not_come_back() {
    let earlier =
        table(&[("a", 1.0), ("gone", 2.0), ("drain", 2.0), ("cold", 2.0), ("cold2", 1.0)], f64::INFINITY);
    let now = table(&[("a", 0.4), ("b", 1.0), ("cold", 0.1)], 20.0);
    let rolled = rolled_back(Some(earlier.clone()), &now, known).unwrap();
    assert_eq!(["a", "b", "gone", "drain", "cold"].map(|s| part(&rolled, s)), [1.0, 0.0, 0.0, 0.0, 0.1]);
    assert_eq!(rolled[&Key::Level("lookup".into())], Entry::Level { admit: 20.0, policy: 1 });
    let without = table(&[("a", 0.4)], 20.0);
    assert_eq!(part(&rolled_back(Some(earlier), &without, known).unwrap(), "cold"), 0.0);
    assert_eq!(rolled_back(None, &now, known), Err(Refused::NotKept));
    let closed = table(&[("gone", 1.0), ("drain", 1.0), ("cold", 1.0)], 1.0);
    assert_eq!(rolled_back(Some(closed), &now, known), Err(Refused::NoServer));
}

/// Guards against a jump back to the decisions' table, and a way back that never ends or passes by a closed server.
#[test]
fn the_way_back_is_in_bounded_steps() {
    let share = |table: &Table, server: &str| {
        let all: f64 = ["a", "b", "c", "gone"].iter().map(|s| part(table, s)).sum();
        part(table, server) / all
    };
    let mut rng = fastrand::Rng::with_seed(4);
    for _ in 0..300 {
        let mut draw =
            || table(&[("a", rng.f64() * 3.0), ("b", rng.f64()), ("c", rng.f64()), ("gone", rng.f64())], 5.0);
        let (mut held, wanted) = (draw(), draw());
        held.remove(&Key::Line("b".into()));
        let (mut steps, mut there) = (0, false);
        while !there {
            let before = held.clone();
            (held, there) = step_towards(&held, &wanted, 0.1, |server| server == "gone");
            assert_eq!(part(&held, "gone"), 0.0, "closed at once");
            if steps > 0 {
                let moved: f64 =
                    ["a", "b", "c"].iter().map(|s| (share(&held, s) - share(&before, s)).abs()).sum();
                assert!(moved / 2.0 <= 0.1 + 1e-9, "{moved}");
            }
            steps += 1;
            assert!(steps < 15);
        }
        ["a", "b", "c"].iter().for_each(|s| assert_eq!(part(&held, s), part(&wanted, s)));
    }
}

/// Guards against withdrawals that are forgotten while a version names the server, or kept for ever.
#[test]
fn withdrawals_have_their_own_sequence() {
    let mut withdrawals = Withdrawals::default();
    assert_eq!(withdrawals.tell("a", false), None, "it was never out");
    assert_eq!(withdrawals.tell("a", true).map(|w| w.sequence), Some(1));
    assert_eq!(withdrawals.tell("a", true), None);
    withdrawals.tell("b", true);
    withdrawals.tell("a", false);
    let told: Vec<(u64, String, bool)> =
        withdrawals.since(0).into_iter().map(|w| (w.sequence, w.server.to_string(), w.out)).collect();
    assert_eq!(told, [(2, "b".into(), true), (3, "a".into(), false)], "the newest word on each");
    withdrawals.forget(2, |_| false);
    assert_eq!((withdrawals.len(), withdrawals.is_out("a")), (1, false), "a is not heard of by all");
    withdrawals.forget(9, |server| server == "a");
    assert_eq!(withdrawals.len(), 1);
    withdrawals.forget(9, |_| false);
    assert!(withdrawals.is_empty() && withdrawals.sequence() == 3);
    assert_eq!(Withdrawals::after(9).tell("c", true).map(|w| w.sequence), Some(10));
}

//! The good path, on a calm sea.

use fallgap_control_state::{Answer, Call, Key};
use fallgap_simulation::waters::{Sea, ms, node};

fn ask(sea: &mut Sea, at: u8, id: u64, call: Call) -> (Answer, u64) {
    let sent = sea.now;
    sea.call(node(at), id, call);
    sea.run(sent + ms(1000));
    let (_, told, answer) = sea.answers.iter().find(|(told, ..)| *told == id).expect("an answer in time");
    (answer.clone(), (*told - sent).as_millis() as u64)
}

#[test]
fn calls_are_answered_by_any_member() {
    let mut sea = Sea::new(1, 4, 3);
    sea.run(ms(3000));
    for n in 1..=4 {
        assert_eq!(sea.keeper(node(n)).map(|keeper| (keeper.epoch(), keeper.members().len())), Some((1, 4)));
    }
    assert!(sea.keeper(node(6)).is_some_and(|keeper| keeper.members().len() == 4 && !keeper.is_member()));
    let put = |value: &str, on| Call::CellPut { name: "g.a".into(), value: value.into(), on };
    let get = || Call::CellGet { name: "g.a".into() };
    let start = |holder: &str| Call::LockStart { name: "l".into(), holder: holder.into(), hold: ms(5000) };
    let watch = |after, wait| Call::Watch { group: "g.".into(), after, wait: ms(wait) };
    let cell = |value: &str, revision| Answer::Cell { value: value.into(), revision };
    let table = [
        (1, Call::Number { name: "n".into() }, Answer::Value(1)),
        (1, Call::Number { name: "n".into() }, Answer::Value(2)),
        (3, Call::Number { name: "n".into() }, Answer::Value(3)),
        (2, Call::ConfigGet, Answer::Missing),
        (2, Call::ConfigPut { edition: 7, body: vec![1; 100_000] }, Answer::Done),
        (3, Call::ConfigPut { edition: 6, body: vec![2; 10] }, Answer::Done),
        (4, Call::ConfigGet, Answer::Config(vec![1; 100_000])),
        (1, get(), Answer::Missing),
        (1, put("x", Some(0)), Answer::Revision(2)),
        (2, put("y", Some(0)), Answer::Conflict { revision: 2 }),
        (2, put("y", Some(2)), Answer::Revision(3)),
        (3, put("x", None), Answer::Revision(2)),
        (4, get(), cell("y", 3)),
        (4, watch(0, 100), Answer::Events { events: vec![], revision: 3 }),
        (4, watch(3, 100), Answer::Events { events: vec![], revision: 3 }),
        (1, start("p"), Answer::Fence(1)),
        (2, start("q"), Answer::Held),
        (2, start("p"), Answer::Fence(1)),
        (3, Call::LockEnd { name: "l".into(), holder: "p".into(), fence: 1 }, Answer::Done),
        (4, start("q"), Answer::Fence(2)),
        (6, get(), Answer::Busy),
    ];
    let mut slowest = 0;
    for (id, (at, call, expected)) in table.into_iter().enumerate() {
        let said = format!("{call:?}");
        let (answer, took) = ask(&mut sea, at, id as u64, call);
        assert_eq!(answer, expected, "{said}");
        slowest = slowest.max(if took < 100 { took } else { 0 });
    }
    assert!(slowest < 50, "{slowest} ms");
}

/// From the first put on: fails if an empty group is at 0, which asks for the present again.
#[test]
fn a_watch_hears_of_a_put_elsewhere_at_once() {
    let mut sea = Sea::new(2, 3, 0);
    sea.run(ms(3000));
    let put = |value: &str| Call::CellPut { name: "g.a".into(), value: value.into(), on: None };
    let watch = |after| Call::Watch { group: "g.".into(), after, wait: ms(9000) };
    let (Answer::Events { mut revision, .. }, _) = ask(&mut sea, 1, 1, watch(0)) else {
        panic!("no revision")
    };
    for (id, value) in [(2, "x"), (4, "y")] {
        sea.call(node(2), id, watch(revision));
        sea.run(sea.now + ms(2000));
        assert!(sea.answers.iter().all(|(other, ..)| *other != id));
        let at = sea.now;
        assert_eq!(ask(&mut sea, 3, id + 1, put(value)).0, Answer::Revision(revision + 1));
        revision += 1;
        let told = sea.answers.iter().find(|(other, ..)| *other == id).expect("the watch is answered");
        let heard =
            matches!(&told.2, Answer::Events { events, revision: r } if events.len() == 1 && *r == revision);
        assert!(heard, "{:?}", told.2);
        assert!(told.1 < at + ms(60), "after {:?}", told.1 - at);
    }
}

#[test]
fn a_calm_sea_costs_little() {
    let mut sea = Sea::new(3, 4, 0);
    sea.run(ms(5000));
    let (records, messages) = (sea.records, sea.messages);
    sea.run(ms(15_000));
    assert_eq!(sea.records, records);
    assert!(sea.messages - messages < 10 * 4 * 30, "{} messages", sea.messages - messages);
    let (records, messages) = (sea.records, sea.messages);
    for id in 0..50 {
        ask(&mut sea, 1, id, Call::Number { name: "n".into() });
    }
    assert!(sea.records - records <= 50 * 4 + 4, "{} records", sea.records - records);
    assert!(sea.messages - messages <= 50 * (6 + 4 * 30), "{} messages", sea.messages - messages);
}

#[test]
fn another_seed_founds_when_the_first_is_gone() {
    // The lowest seed dies before it names the members, at times that it may have named them to some.
    for after in (600..2000).step_by(100) {
        let mut sea = Sea::new(after, 3, 2);
        sea.run(ms(after));
        let lowest = (1..=5).map(node).filter(|n| *n != node(1) && *n != node(2)).min().expect("a seed");
        sea.kill(lowest, true);
        sea.run(ms(12_000));
        let members = sea.keeper(node(1)).map(|keeper| (keeper.epoch(), keeper.is_member()));
        assert!(members.is_some_and(|(epoch, member)| epoch > 0 && member), "{after}: {:?}", sea.view());
        if lowest != node(3) {
            assert!(sea.is_caught_up(), "{after}: {:?}", sea.view());
        }
    }
}

#[test]
fn after_all_were_killed_the_configuration_is_there_at_once() {
    for seed in 0..20 {
        let mut sea = Sea::new(seed, 4, 0);
        sea.run(ms(3000));
        assert_eq!(ask(&mut sea, 1, 1, Call::ConfigPut { edition: 7, body: vec![1; 1000] }).0, Answer::Done);
        let pause = ms(sea.rng.u64(0..2000));
        sea.run(sea.now + pause);
        let mut last = 0;
        for n in 1..=4 {
            sea.kill(node(n), true);
            let after = 1300 + sea.rng.u64(0..150);
            last = last.max(after);
            sea.restart(node(n), ms(after));
        }
        let started = sea.now + ms(last);
        sea.run(started + ms(40));
        for n in 1..=4 {
            assert!(sea.has_shown(node(n), &Key::Config), "seed {seed}: {n} has no configuration");
        }
    }
}

/// Without the bound a disk fills with values until no snapshot fits beside the logs, and nothing can be written.
#[test]
fn full_of_values_new_ones_are_turned_away_and_old_ones_are_read() {
    let mut sea = Sea::new(5, 3, 0);
    sea.terms.bytes = 40_000;
    sea.run(ms(3000));
    let put = |n: u64| Call::CellPut { name: format!("g{n}.a"), value: format!("{n:04000}"), on: None };
    let answers: Vec<Answer> = (0..14).map(|n| ask(&mut sea, 1, n, put(n)).0).collect();
    let kept = answers.iter().take_while(|answer| **answer == Answer::Revision(2)).count();
    assert!((4..10).contains(&kept), "{kept} of 14 are kept");
    assert!(answers.iter().skip(kept).all(|answer| *answer == Answer::Busy), "{answers:?}");
    let read = ask(&mut sea, 2, 100, Call::CellGet { name: "g0.a".into() }).0;
    assert!(matches!(read, Answer::Cell { revision: 2, .. }));
    // What is held counts after a start too.
    for n in 1..=3 {
        sea.kill(node(n), false);
        sea.restart(node(n), ms(200));
    }
    sea.run(sea.now + ms(3000));
    assert_eq!(ask(&mut sea, 3, 101, put(20)).0, Answer::Busy);
}

/// Guards against promises that are dropped by reads: each keeper reads the ends and the configuration once a second, and each
/// decision behind such a read took two syncs.
#[test]
fn a_further_decision_takes_one_record_at_each_member() {
    let mut sea = Sea::new(3, 3, 0);
    sea.run(ms(3000));
    let end = |n: u64| Call::ServerEnd { server: format!("i-{n}") };
    let edition = |n: u64| Call::ConfigPut { edition: n, body: vec![1; 100] };
    for kind in [&end as &dyn Fn(u64) -> Call, &edition] {
        let key = kind(1).key();
        let steward = sea.keeper(node(1)).and_then(|keeper| keeper.steward(&key)).expect("a steward");
        let at = (1..=3).find(|n| node(*n) == steward).expect("a member");
        let first = sea.answers.len() as u64 + 1;
        assert_eq!(ask(&mut sea, at, first, kind(100)).0, Answer::Done);
        for n in 1..8 {
            sea.run(sea.now + ms(1300));
            let before = sea.records;
            assert_eq!(ask(&mut sea, at, first + n, kind(100 + n)).0, Answer::Done);
            assert_eq!(sea.records - before, 3, "{key:?}, decision {n}");
        }
    }
}

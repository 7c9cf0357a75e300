//! Tables of calls, each judged on what the one before it left.

#[allow(dead_code)]
mod register;

use fallgap_control_state::subjects::{
    Limits, Memory, News, PastValues, Verdict, config_body, config_edition, events_after, judge, revision,
    server_ends_after,
};
use fallgap_control_state::{Answer, Call};
use register::{Register, event, get, ms, put, told_after};

fn start(holder: &str, hold: u64) -> Call {
    Call::LockStart { name: "l".into(), holder: holder.into(), hold: ms(hold) }
}

fn beat(holder: &str, fence: u64, hold: u64) -> Call {
    Call::LockBeat { name: "l".into(), holder: holder.into(), fence, hold: ms(hold) }
}

fn end(holder: &str, fence: u64) -> Call {
    Call::LockEnd { name: "l".into(), holder: holder.into(), fence }
}

fn watch(after: u64) -> Call {
    Call::Watch { group: "g.".into(), after, wait: ms(1000) }
}

fn check(register: &mut Register, table: &[(u64, Call, Answer, bool)]) {
    for (line, (at, call, answer, writes)) in table.iter().enumerate() {
        let got = register.call(ms(*at), call);
        assert_eq!(got, (answer.clone(), *writes), "line {line}: {call:?} at {at}");
    }
}

#[test]
fn locks() {
    use Answer::{Done, Fence, Held};
    check(
        &mut Register::new(),
        &[
            (0, beat("a", 0, 1000), Held, false),
            (0, end("a", 0), Done, false),
            (0, start("a", 1000), Fence(1), true),
            (500, start("b", 1000), Held, false),
            // Its own again, with more time.
            (600, start("a", 1000), Fence(1), true),
            (1500, beat("a", 1, 1000), Done, true),
            (1600, beat("b", 1, 1000), Held, false),
            (1600, beat("a", 2, 1000), Held, false),
            // Its time is over a sixteenth of it later, whatever rates the clocks have; to the millisecond.
            (2562, start("b", 1000), Held, false),
            (2563, beat("a", 1, 1000), Held, false),
            (2563, start("b", 1000), Fence(2), true),
            (2600, end("a", 1), Done, false),
            (2600, end("b", 1), Done, false),
            (2600, start("a", 1000), Held, false),
            (2700, end("b", 2), Done, true),
            (2700, end("b", 2), Done, false),
            (2700, beat("b", 2, 1000), Held, false),
            (2700, start("b", 1000), Fence(3), true),
            // Died, and came back too late: a hold of its own is over, so the fence rises.
            (3762, start("a", 1000), Held, false),
            (3763, start("b", 1000), Fence(4), true),
            // An end long after the time, while nobody took over.
            (9000, end("b", 4), Done, true),
            (9000, start("c", 1000), Fence(5), true),
        ],
    );
}

#[test]
fn a_shorter_hold_leaves_the_longer_one_its_time() {
    use Answer::{Done, Fence, Held};
    for shorter in [beat("a", 1, 100), start("a", 100)] {
        let answer = if matches!(shorter, Call::LockBeat { .. }) { Done } else { Fence(1) };
        check(
            &mut Register::new(),
            &[
                (0, start("a", 3000), Fence(1), true),
                (1000, shorter, answer, true),
                // What is left of it gets no second margin by the renewal.
                (3187, start("b", 100), Held, false),
                (3188, start("b", 100), Fence(2), true),
            ],
        );
    }
}

#[test]
fn numbers_rise() {
    let mut register = Register::new();
    for value in 1..300 {
        let got = register.call(ms(value), &Call::Number { name: "n".into() });
        assert_eq!(got, (Answer::Value(value), true));
    }
}

#[test]
fn the_highest_edition_of_the_configuration_holds() {
    use Answer::{Config, Differs, Done, Missing};
    let put = |edition, body: &str| Call::ConfigPut { edition, body: body.as_bytes().to_vec() };
    let mut register = Register::new();
    assert_eq!(config_edition(None), None);
    assert_eq!(config_body(None), None);
    check(
        &mut register,
        &[
            (0, Call::ConfigGet, Missing, false),
            (0, put(0, ""), Done, true),
            (0, Call::ConfigGet, Config(vec![]), false),
            (0, put(7, "seven"), Done, true),
            (0, put(7, "seven"), Done, false),
            (0, put(7, "other"), Differs { edition: 7 }, false),
            // Remembered, so that no other content is acknowledged under this number.
            (0, put(6, "six"), Done, true),
            (0, put(6, "six"), Done, false),
            (0, Call::ConfigGet, Config(b"seven".to_vec()), false),
            (0, put(300, "more"), Done, true),
        ],
    );
    assert_eq!(config_edition(register.held.as_deref()), Some(300));
    assert_eq!(config_body(register.held.as_deref()), Some(&b"more"[..]));
}

#[test]
fn accounts_are_written_only_over_what_they_were_made_from() {
    use Answer::{Busy, Config, Conflict, Missing, Revision};
    let put = |base, body: &str| Call::AccountsPut { base, body: body.as_bytes().to_vec() };
    check(
        &mut Register::new(),
        &[
            (0, Call::AccountsGet, Missing, false),
            (0, put(1, "one"), Conflict { revision: 0 }, false),
            (0, put(0, "one"), Revision(1), true),
            // It comes again: at a second keeper, or out of a slow one.
            (0, put(0, "one"), Revision(1), false),
            (0, put(0, "other"), Conflict { revision: 1 }, false),
            (0, put(1, "two"), Revision(2), true),
            (0, put(0, "one"), Conflict { revision: 2 }, false),
            (0, put(u64::MAX, "last"), Busy, false),
            (0, Call::AccountsGet, Config(b"two".to_vec()), false),
        ],
    );
}

#[test]
fn cells_and_their_watch() {
    use Answer::{Cell, Conflict, Events, Missing, Revision};
    let cell = |value: &str, revision| Cell { value: value.into(), revision };
    let mut register = Register::new();
    check(
        &mut register,
        &[
            (0, get("g.a"), Missing, false),
            (0, watch(0), Events { events: vec![], revision: 1 }, false),
            (0, put("g.a", "a1", Some(2)), Conflict { revision: 0 }, false),
            (0, put("g.a", "a1", Some(0)), Revision(2), true),
            (0, put("g.a", "a2", Some(0)), Conflict { revision: 2 }, false),
            (0, put("g.b", "b1", None), Revision(3), true),
            (0, put("g.a", "a2", Some(2)), Revision(4), true),
            // Again, whatever it asks for, also after it was overwritten.
            (0, put("g.a", "a2", Some(2)), Revision(4), false),
            (0, put("g.a", "a1", Some(0)), Revision(2), false),
            // The same value under another key is another put.
            (0, put("g.b", "a1", Some(3)), Revision(5), true),
            (0, get("g.a"), cell("a2", 4), false),
            (0, get("g.b"), cell("a1", 5), false),
            (0, get("g."), Missing, false),
            (0, watch(0), Events { events: vec![], revision: 5 }, false),
            (0, watch(5), Events { events: vec![], revision: 5 }, false),
            (0, watch(10), Events { events: vec![], revision: 10 }, false),
        ],
    );
    let all = [event("g.a", "a1", 2), event("g.b", "b1", 3), event("g.a", "a2", 4), event("g.b", "a1", 5)];
    let held = register.held.as_deref();
    assert_eq!(revision(held), 5);
    for after in 1..5u64 {
        let events = all[after as usize - 1..].to_vec();
        assert_eq!(told_after(held, after), Some(Events { events, revision: 5 }));
    }
    assert_eq!(told_after(held, 5), None);
    // Who watched while there was nothing hears of the first put, and is let wait for it until then.
    assert_eq!(told_after(None, 1), None);
}

#[test]
fn a_name_without_a_dot_is_its_own_group() {
    let mut register = Register::new();
    check(&mut register, &[(0, put("plain", "v", None), Answer::Revision(2), true)]);
    check(&mut register, &[(0, get("plain"), Answer::Cell { value: "v".into(), revision: 2 }, false)]);
    let news = Answer::Events { events: vec![event("plain", "w", 3)], revision: 3 };
    register.call(ms(0), &put("plain", "w", None));
    assert_eq!(told_after(register.held.as_deref(), 2), Some(news));
}

#[test]
fn old_puts_go_and_present_values_stay() {
    let mut register = Register::new();
    for n in 2..=10u64 {
        let name = if n % 2 == 0 { "g.a" } else { "g.b" };
        register.call(ms(n * 1000), &put(name, &format!("v{n}"), None));
    }
    // All that was written long ago is known to be old.
    register.call(ms(60_000), &put("g.c", "v11", None));
    let held = register.held.as_deref();
    for after in 1..7 {
        assert_eq!(told_after(held, after), Some(Answer::Expired), "after {after}");
    }
    let from = |after| match told_after(held, after) {
        Some(Answer::Events { events, revision: 11 }) => {
            events.iter().map(|e| e.revision).collect::<Vec<u64>>()
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(from(8), vec![9, 10, 11]);
    assert_eq!(from(10), vec![11]);
    // However old, the present values are known again, the forgotten ones are not.
    for (value, answer) in [("v10", Answer::Revision(10)), ("v4", Answer::Revision(12))] {
        assert_eq!(register.call(ms(60_000), &put("g.a", value, None)).0, answer);
    }
}

#[test]
fn over_the_bounds() {
    let limits = Limits {
        events: 5,
        event_bytes: 100,
        cells: 3,
        group_bytes: 400,
        name_bytes: 10,
        value_bytes: 40,
        config_bytes: 9,
        ..Limits::default()
    };
    let refused = [
        put("g.23456789-", "v", None),
        put("g.a", &"v".repeat(41), None),
        start("holder-2345", 1000),
        Call::ConfigPut { edition: 1, body: vec![0; 10] },
    ];
    for call in refused {
        assert_eq!(Register::with(limits).call(ms(0), &call), (Answer::Busy, false), "{call:?}");
    }
    let mut register = Register::with(limits);
    for n in 0..3 {
        register.call(ms(0), &put(&format!("g.{n}"), "v", None));
    }
    assert_eq!(register.call(ms(0), &put("g.3", "v", None)), (Answer::Busy, false));
    // Five overwritten ones are kept, and none of them goes before its time: the next put is turned away.
    for n in 5..=9u64 {
        assert_eq!(register.call(ms(0), &put("g.0", &format!("{n}"), None)).0, Answer::Revision(n));
    }
    assert_eq!(register.call(ms(29_999), &put("g.0", "10", None)), (Answer::Busy, false));
    assert!(matches!(told_after(register.held.as_deref(), 1), Some(Answer::Events { .. })));
    assert_eq!(register.call(ms(29_999), &put("g.0", "5", None)).0, Answer::Revision(5), "it comes again");
    // They are old.
    assert_eq!(register.call(ms(60_000), &put("g.0", "10", None)).0, Answer::Revision(10));
    assert_eq!(told_after(register.held.as_deref(), 7), Some(Answer::Expired));
    // Two long ones fit besides the present one; the others are still known, and their values are beside the group's.
    let mut register = Register::with(limits);
    for n in 2..=6u64 {
        assert_eq!(register.call(ms(0), &put("g.0", &format!("{n:40}"), None)).0, Answer::Revision(n));
    }
    let beside = events_after(register.held.as_deref(), 2, &PastValues::default());
    assert_eq!(beside, News::Lacking(vec![3]));
    assert!(matches!(told_after(register.held.as_deref(), 3), Some(Answer::Events { .. })));
    for n in 2..=6u64 {
        let again = put("g.0", &format!("{n:40}"), None);
        assert_eq!(register.call(ms(29_999), &again), (Answer::Revision(n), false));
    }
    // Old ones are forgotten with the next put.
    assert_eq!(register.call(ms(70_000), &put("g.0", "7", None)).0, Answer::Revision(7));
    assert_eq!(register.call(ms(70_000), &put("g.0", &format!("{:40}", 2), None)).0, Answer::Revision(8));
    // Keys and values that are all present fill the group.
    let full = Limits { group_bytes: 60, ..limits };
    let mut register = Register::with(full);
    let long = "v".repeat(40);
    assert!(register.call(ms(0), &put("g.a", &long, None)).1);
    assert_eq!(register.call(ms(0), &put("g.b", &long, None)), (Answer::Busy, false));
}

#[test]
fn what_cannot_be_read_is_left_alone() {
    let calls = [
        start("a", 1000),
        beat("a", 1, 1000),
        end("a", 1),
        put("g.a", "v", None),
        get("g.a"),
        Call::Number { name: "n".into() },
        Call::ConfigGet,
        Call::ConfigPut { edition: 1, body: vec![] },
        Call::AccountsPut { base: 0, body: vec![] },
        Call::ServerEnd { server: "i-1".into() },
        Call::ServerEndsGet,
    ];
    for held in [&[][..], &[0xff; 7], &[1, 0xff, 0xff]] {
        for call in &calls {
            let verdict = judge(call, Some(held), ms(0), &mut Memory::default(), ms(0));
            let number = matches!(call, Call::Number { .. }) && held.first() == Some(&1);
            assert!(number || verdict == Verdict::Answer(Answer::Busy), "{call:?} on {held:?}: {verdict:?}");
        }
        events_after(Some(held), 1, &PastValues::default());
        assert_eq!(server_ends_after(held, 0), None, "{held:?}");
    }
}

/// Drawn bytes of a value never end the process.
#[test]
fn garbled_values_do_not_panic() {
    let mut register = Register::new();
    for n in 0..20 {
        register.call(ms(n), &put(&format!("g.{}", n % 4), &n.to_string(), None));
    }
    let sound = register.held.unwrap();
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..3000 {
        let mut held = sound.clone();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..held.len());
            held[at] = rng.u8(..);
        }
        held.truncate(rng.usize(..=held.len() * 2).min(held.len()));
        let mut memory = Memory::default();
        for call in [put("g.1", "new", None), put("g.1", "5", Some(6)), get("g.3"), watch(3)] {
            judge(&call, Some(&held), ms(0), &mut memory, ms(0));
        }
    }
}

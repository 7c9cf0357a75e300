//! Tables of calls, each judged on what the one before it left; drawn callers and watchers of a group.

use std::collections::BTreeMap;
use std::time::Duration;

use fallgap_control_state::subjects::{
    Limits, Memory, News, PastValues, Verdict, config_body, config_edition, events_after, judge, revision,
    server_ends_after,
};
use fallgap_control_state::{Answer, Call, Event};

/// A register of its own, and when its value was written.
struct Register {
    held: Option<Vec<u8>>,
    written: Duration,
    memory: Memory,
}

impl Register {
    fn with(limits: Limits) -> Register {
        Register { held: None, written: Duration::ZERO, memory: Memory::with(limits) }
    }

    fn new() -> Register {
        Register::with(Limits::default())
    }

    /// The answer, and whether a value was written.
    fn call(&mut self, now: Duration, call: &Call) -> (Answer, bool) {
        match judge(call, self.held.as_deref(), now - self.written, &mut self.memory, now) {
            Verdict::Answer(answer) => (answer, false),
            Verdict::Write { value, answer } => {
                self.held = Some(value);
                self.written = now;
                (answer, true)
            }
        }
    }
}

/// What a watch is told of a group that has all values itself.
fn told_after(held: Option<&[u8]>, after: u64) -> Option<Answer> {
    match events_after(held, after, &PastValues::default()) {
        News::Told(answer) => Some(answer),
        News::Nothing => None,
        News::Lacking(revisions) => panic!("values are lacking: {revisions:?}"),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(holder: &str, hold: u64) -> Call {
    Call::LockStart { name: "l".into(), holder: holder.into(), hold: ms(hold) }
}

fn beat(holder: &str, fence: u64, hold: u64) -> Call {
    Call::LockBeat { name: "l".into(), holder: holder.into(), fence, hold: ms(hold) }
}

fn end(holder: &str, fence: u64) -> Call {
    Call::LockEnd { name: "l".into(), holder: holder.into(), fence }
}

fn put(name: &str, value: &str, on: Option<u64>) -> Call {
    Call::CellPut { name: name.into(), value: value.into(), on }
}

fn get(name: &str) -> Call {
    Call::CellGet { name: name.into() }
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

fn event(name: &str, value: &str, revision: u64) -> Event {
    Event { name: name.into(), value: value.into(), revision }
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

/// What there is after a put: the group's value, what a member keeps beside it, all puts, and the place of one of the last 20 s.
struct Seen<'a> {
    held: &'a [u8],
    past: &'a PastValues,
    puts: &'a [Event],
    earlier: usize,
    now: Duration,
}

/// 80 puts a second on five keys of one group, of all sizes that are taken. `see` looks after each put, with the memory to judge by.
fn drawn_puts(seed: u64, mut see: impl FnMut(&Seen, &mut Memory)) {
    let history = ms(20_000);
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut held, mut memory) = (None::<Vec<u8>>, Memory::new(history));
    let (mut times, mut puts, mut past) =
        (Vec::<Duration>::new(), Vec::<Event>::new(), PastValues::default());
    for step in 0..2000u64 {
        let now = ms(step * 1000 / 80);
        let name = format!("g.{}", rng.u8(..5));
        let value = format!("{step:0>length$}", length = rng.usize(16..=memory.limits.value_bytes));
        match judge(&put(&name, &value, None), held.as_deref(), ms(0), &mut memory, now) {
            Verdict::Write { value: group, answer: Answer::Revision(given) } => {
                times.push(now);
                puts.push(event(&name, &value, given));
                past.replaced("g.", held.as_deref(), &group);
                held = Some(group);
            }
            _ => panic!("seed {seed}: a put is not taken"),
        }
        let recent = times.partition_point(|at| *at + history <= now)..times.len();
        if let (Some(held), Some(earlier)) = (&held, rng.choice(recent)) {
            see(&Seen { held, past: &past, puts: &puts, earlier, now }, &mut memory);
        }
    }
}

/// Guards against a put that is written twice: whatever was written meanwhile, and of whatever size, a put that comes
/// again within the time gets its first revision.
#[test]
fn a_put_is_known_again_whatever_the_size_of_those_behind_it() {
    for seed in 0..10 {
        drawn_puts(seed, |seen, memory| {
            let (held, earlier, now) = (seen.held, &seen.puts[seen.earlier], seen.now);
            assert!(held.len() <= memory.limits.group_bytes, "seed {seed}: {} bytes", held.len());
            let again = put(&earlier.name, &earlier.value, None);
            let told = match judge(&again, Some(held), ms(0), memory, now) {
                Verdict::Answer(Answer::Revision(told)) => told,
                _ => panic!("seed {seed}: a put that comes again is not known"),
            };
            assert_eq!(told, earlier.revision, "seed {seed}");
        });
    }
}

/// Guards against a watch that is told too early that puts are forgotten: from a revision of the last 20 s it gets its
/// events, all of them. What is kept for that stays below the bound of a group at which puts are refused.
#[test]
fn a_watch_gets_its_events_whatever_the_size_of_the_puts() {
    for seed in 0..10 {
        drawn_puts(seed, |seen, _| {
            let earlier = seen.puts[seen.earlier].revision;
            let later = &seen.puts[seen.earlier + 1..];
            match events_after(Some(seen.held), earlier, seen.past) {
                News::Told(Answer::Events { events, .. }) => {
                    assert!(events == later, "seed {seed}: other events at {:?}", seen.now);
                }
                News::Nothing => assert!(later.is_empty(), "seed {seed}: no events at {:?}", seen.now),
                News::Told(_) => panic!("seed {seed}: expired at {:?}", seen.now),
                News::Lacking(_) => panic!("seed {seed}: values are lacking at {:?}", seen.now),
            }
            assert!(seen.past.bytes() < fallgap_control_state::Terms::default().past);
        });
    }
}

/// Callers put, again and again, at stewards that change and forget; watchers come back within the history. No
/// revision is given twice, none is skipped, nobody is told too early that puts are forgotten.
#[test]
fn drawn_puts_and_watchers() {
    let history = 20_000;
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fresh = || Memory::new(ms(history));
        let mut stewards = [fresh(), fresh(), fresh()];
        let mut held: Option<Vec<u8>> = None;
        let mut first: BTreeMap<(String, String), u64> = BTreeMap::new();
        let mut puts: Vec<Event> = Vec::new();
        let mut times: Vec<u64> = Vec::new();
        // (revision, when it was given)
        let mut watchers = [(0, 0); 4];
        let mut now = 0;
        let mut most = 0;
        for step in 0..700u64 {
            now += rng.u64(..if seed % 4 == 0 { 2000 } else { 150 });
            let steward = rng.usize(..3);
            if rng.u8(..) == 0 {
                stewards[steward] = fresh();
            }
            let memory = &mut stewards[steward];
            let name = format!("g.{}", rng.u8(..6));
            let call = match rng.u8(..4) {
                0 => {
                    // Callers repeat a put for some seconds.
                    let recent = puts.iter().zip(&times).rev().take(rng.usize(1..20));
                    let recent = recent.take_while(|(_, at)| **at + history > now).last().map(|(e, _)| e);
                    recent.map_or(get(&name), |e| put(&e.name, &e.value, rng.bool().then_some(3)))
                }
                1 => get(&name),
                _ => put(&name, &format!("v{step}"), None),
            };
            let before = revision(held.as_deref());
            match judge(&call, held.as_deref(), ms(0), memory, ms(now)) {
                Verdict::Write { value, answer } => {
                    let Call::CellPut { name, value: put, .. } = call else { panic!("{call:?} writes") };
                    assert_eq!(answer, Answer::Revision(before + 1));
                    most = most.max(value.len());
                    held = Some(value);
                    puts.push(event(&name, &put, before + 1));
                    times.push(now);
                    let known = first.insert((name, put), before + 1);
                    assert_eq!(known, None, "seed {seed}: a value under two revisions");
                }
                Verdict::Answer(Answer::Revision(again)) => {
                    let Call::CellPut { name, value, .. } = call else { panic!("{call:?}") };
                    assert_eq!(first.get(&(name, value)), Some(&again));
                }
                Verdict::Answer(Answer::Cell { value, revision }) => {
                    let last = puts.iter().rev().find(|e| e.name == name);
                    assert_eq!(last, Some(&event(&name, &value, revision)));
                }
                Verdict::Answer(answer) => assert_eq!(answer, Answer::Missing),
            }
            let watcher = rng.choice(&mut watchers).unwrap();
            if now - watcher.1 >= history {
                *watcher = (0, now);
            }
            match told_after(held.as_deref(), watcher.0) {
                Some(Answer::Events { events, revision }) => {
                    let from = if watcher.0 == 0 { revision } else { watcher.0 };
                    assert_eq!(events, puts[from as usize - 1..revision as usize - 1], "seed {seed}");
                    *watcher = (revision, now);
                }
                Some(answer) => panic!("seed {seed}: {answer:?} for {} of {} at {now}", watcher.0, watcher.1),
                None => assert_eq!(watcher.0, revision(held.as_deref())),
            }
        }
        assert!(most < 20_000, "seed {seed}: a group grew to {most} bytes");
    }
}

fn ends(server: &str) -> Call {
    Call::ServerEnd { server: server.into() }
}

fn ended(register: &Register, known: u64) -> Vec<String> {
    let held = register.held.as_deref().unwrap_or_default();
    let ends = server_ends_after(held, known).expect("ends");
    ends.ended.into_iter().map(|(_, server)| server).collect()
}

/// Guards against an end that is forgotten while a beat of before may still come: age alone ends it, by what the process that
/// judges has seen, and what does not fit is refused.
#[test]
fn an_end_is_kept_until_it_is_old_and_none_is_forgotten_early() {
    let limits = Limits { ends: 3, ..Limits::default() };
    let keep = 60_000;
    let mut register = Register::with(limits);
    // When a server ends, what is said, whether it is written, and which ends are kept then.
    type Row<'a> = (u64, &'a str, (Answer, bool), &'a [&'a str]);
    let rows: [Row; 8] = [
        (0, "a", (Answer::Done, true), &["a"]),
        (1_000, "b", (Answer::Done, true), &["a", "b"]),
        // Known already, so nothing is written.
        (2_000, "a", (Answer::Done, false), &["a", "b"]),
        (3_000, "c", (Answer::Done, true), &["a", "b", "c"]),
        (4_000, "d", (Answer::Busy, false), &["a", "b", "c"]),
        // First seen by a call that came a second later, so it is kept for a second more.
        (keep + 999, "d", (Answer::Busy, false), &["a", "b", "c"]),
        (keep + 1_000, "d", (Answer::Done, true), &["b", "c", "d"]),
        (2 * keep + 10_000, "a", (Answer::Done, true), &["d", "a"]),
    ];
    for (at, server, said, kept) in rows {
        assert_eq!(register.call(ms(at), &ends(server)), said, "{server} at {at} ms");
        assert_eq!(ended(&register, 0), kept, "{server} at {at} ms");
    }
    // A process that has just started has seen nothing: it forgets nothing.
    register.memory = Memory::with(limits);
    assert_eq!(register.call(ms(9 * keep), &ends("e")), (Answer::Done, true));
    assert_eq!(ended(&register, 0), ["d", "a", "e"]);
    // Who knows some is told of the others, and below which number none is left.
    let all = server_ends_after(register.held.as_deref().unwrap(), 0).unwrap();
    assert_eq!(ended(&register, all.ended[1].0), ["e"]);
    assert_eq!(all.least, all.ended[0].0);
    assert_eq!(register.call(ms(9 * keep), &Call::ServerEndsGet), (Answer::Done, false));
}

/// As many ends as a fleet of 8,000 servers that starts anew twice within the time has room in its register.
#[test]
fn the_ends_of_a_whole_fleet_fit_twice() {
    let mut register = Register::new();
    for server in 0..16_000u32 {
        // Ids as the users' servers have them.
        let server = format!("i-{:08x}", server.wrapping_mul(0x9e37_79b9));
        assert_eq!(register.call(ms(1), &ends(&server)), (Answer::Done, true));
    }
    assert!(register.held.is_some_and(|held| held.len() <= Limits::default().ends_bytes));
}

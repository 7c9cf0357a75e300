//! Drawn callers and watchers of a group: puts of all sizes, known again and watched.

#[allow(dead_code)]
mod register;

use std::collections::BTreeMap;
use std::time::Duration;

use fallgap_control_state::subjects::{Memory, News, PastValues, Verdict, events_after, judge, revision};
use fallgap_control_state::{Answer, Call, Event};
use register::{event, get, ms, put, told_after};

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

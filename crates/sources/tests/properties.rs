//! Drawn sequences of what three sources say, against the plain reference.

#[allow(dead_code)] // each test uses its part of it
mod plain;

use fallgap::ServerState;
use fallgap_sources::{Age, Claim, SourceId, Sources, Terms};
use plain::{Plain, Told};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;

const SERVERS: usize = 7;
const SOURCES: usize = 3;
const S: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Event {
    /// Which servers, at which rank, and how old the answer may be.
    Whole {
        source: usize,
        servers: u8,
        draining: u8,
        rank: u16,
        stale: u64,
        started: u64,
    },
    Change {
        server: usize,
        state: u8,
        started: u64,
    },
    Failed {
        source: usize,
    },
    Answered {
        server: usize,
    },
    Wait {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let source = 0..SOURCES;
    prop_oneof![
        5 => (source.clone(), any::<u8>(), any::<u8>(), 0..3u16, 0..40u64, 0..20u64).prop_map(
            |(source, servers, draining, rank, stale, started)| {
                Event::Whole { source, servers, draining, rank, stale, started }
            }
        ),
        3 => (0..SERVERS, 0..3u8, 0..20u64)
            .prop_map(|(server, state, started)| Event::Change { server, state, started }),
        1 => source.prop_map(|source| Event::Failed { source }),
        2 => (0..SERVERS).prop_map(|server| Event::Answered { server }),
        4 => (1..30_000u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

fn name(server: usize) -> String {
    format!("s-{server}")
}

/// The first source tells drains and starts and has no lifetimes; the second has lifetimes and ranks, the
/// third lifetimes alone.
fn lifetime(source: usize) -> Option<Duration> {
    (source > 0).then_some(S * 10)
}

fn claims(now: Duration, source: usize, servers: u8, draining: u8, rank: u16, started: u64) -> Vec<Claim> {
    let bit = |set: u8, i: usize| set >> i & 1 == 1;
    let named = (0..SERVERS).filter(|i| bit(servers, *i));
    let claim = |i: usize| Claim {
        server: name(i),
        state: if source == 0 && bit(draining, i) { ServerState::Draining } else { ServerState::Ready },
        zone: (source + i) % 2,
        size: (source != 2).then_some(1.0 + i as f64),
        age: if source == 0 && started > 0 { Age::Since(now - S * started as u32) } else { Age::Unknown },
        rank: (source == 1).then_some(rank + i as u16 % 2),
        addresses: Vec::new(),
    };
    named.map(claim).collect()
}

fn play(events: &[Event]) -> Vec<String> {
    let terms = Terms {
        hold: S * 30,
        most_removed: 0.4,
        confirm: S,
        remember: S * 50,
        answering: S * 5,
        most_servers: 100,
    };
    let mut plain = Plain::start(terms.clone());
    let mut sources = Sources::start(Told::default(), terms);
    let ids: Vec<SourceId> = (0..SOURCES).map(|i| sources.open(&format!("source {i}"), i == 0)).collect();
    let mut now = S * 1000;
    for event in events {
        match event.clone() {
            Event::Whole { source, servers, draining, rank, stale, started } => {
                let claims = claims(now, source, servers, draining, rank, started);
                let oldest = if source == 0 { now } else { now - S * stale as u32 };
                sources.whole(now, ids[source], oldest, lifetime(source), claims.clone());
                plain.whole(now, source, oldest, lifetime(source), &claims);
            }
            // Only the first source tells changes.
            Event::Change { server, state, started } => {
                let state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][state as usize];
                let mut claims = claims(now, 0, 1 << server, 0, 0, started);
                claims.iter_mut().for_each(|claim| claim.state = state);
                sources.changes(now, ids[0], claims.clone());
                plain.changes(now, 0, &claims);
            }
            Event::Failed { source } => {
                sources.failed(now, ids[source]);
                plain.failed(now, source);
            }
            Event::Answered { server } => {
                sources.answered(now, &name(server));
                plain.answered(now, &name(server));
            }
            Event::Wait { ms } => {
                let until = now + Duration::from_millis(ms);
                while let Some(at) = sources.next_look().filter(|at| *at <= until) {
                    sources.woke(at);
                    plain.look(at);
                }
                (now, _) = (until, plain.look(until));
            }
        }
        let told = &sources.outside;
        for entry in plain.list.values() {
            let same = told.list.get(&entry.server).map(|t| (t.state, t.zone, t.size));
            assert_eq!(same, Some((entry.state, entry.zone, entry.size)), "{} at {now:?}", entry.server);
        }
        assert_eq!(told.list.len(), plain.list.len());
        let believed = plain.believed(now);
        assert!(believed.is_empty() || !told.ready().is_empty(), "empty though {believed:?} are believed");
        let drained = told.ready().into_iter().find(|server| plain.drains(server));
        assert_eq!(drained, None, "offered inside a known drain");
        assert_eq!(sources.held().1, told.ready().len());
    }
    sources.outside.news
}

#[test]
fn the_merged_list_is_that_of_a_plain_reference() {
    let cases = std::env::var("FALLGAP_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let config = Config { cases, max_shrink_iters: 4000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&vec(event(), 1..80), |events| {
            assert_eq!(play(&events), play(&events), "the same sequence gives the same news");
            Ok(())
        })
        .unwrap();
}

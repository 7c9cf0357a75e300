//! The open loop with time handed in: what is intended is accounted for, whatever the target does.

use fallgap::Repeats;
use fallgap_lab::arrivals::{Kind, Op, Schedule, Spacing, Stream, Work};
use fallgap_lab::clients::{Again, Clients, Ended};
use fallgap_lab::emulated::{Effects, Fate, Fault, Machine, Make, Script, What};
use fallgap_lab::engine::{Engine, Room, Sends};
use fallgap_lab::frames::Request;
use fallgap_lab::ledger::Ledger;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// A machine at the other end, in virtual time.
struct Virtual {
    machine: Machine,
    kinds: Vec<Kind>,
    due: BinaryHeap<Reverse<(Duration, u64, u8, Ended)>>,
    room: usize,
    /// Each op's intended time and latency, if it was acked; and the tries of all.
    took: BTreeMap<u64, (Duration, Option<Duration>)>,
    tries: u64,
    lose_answers: bool,
}

impl Sends for Virtual {
    fn send(&mut self, now: Duration, op: &Op, tries: u8) -> Room {
        if self.machine.is_down(now) {
            return Room::Nobody;
        }
        if self.due.len() >= self.room {
            return Room::Full;
        }
        let request = Request::of(op, tries, self.kinds[usize::from(op.kind)].repeats);
        let (at, ended) = match self.machine.arrive(now, request).0 {
            Fate::Answer { at, ended: Ended::Acked }
                if self.lose_answers && op.id.is_multiple_of(10) && tries == 1 =>
            {
                (at, Ended::Aborted)
            }
            Fate::Answer { at, ended } => (at, ended),
            Fate::Broken { at } => (at, Ended::Aborted),
            Fate::Silence => return Room::Left,
        };
        self.due.push(Reverse((at, op.id, tries, ended)));
        Room::Left
    }
    fn over(&mut self, op: &Op, _: Option<Duration>, ended: Ended, took: Duration, tries: u8) {
        self.took.insert(op.id, (op.at, (ended == Ended::Acked).then_some(took)));
        self.tries += u64::from(tries);
    }
}

fn kinds(timeout: Duration) -> Vec<Kind> {
    let kind = |name: &str, repeats| Kind {
        name: name.into(),
        repeats,
        timeout,
        work: Work::Exponential(MS),
        keys: 1000,
        tenants: 3,
    };
    vec![kind("lookup", Repeats::Retryable), kind("box-move", Repeats::OnceOnly)]
}

struct Run {
    ledger: Ledger,
    target: Virtual,
    strays: u64,
}

fn play(
    rate: f64, faults: Vec<Fault>, clients: Clients, room: usize, seed: u64, phases: Vec<Duration>,
) -> Run {
    let kinds = kinds(MS * 5000);
    let stream = Stream {
        shape: rate.to_string().parse().unwrap(),
        spacing: Spacing::Poisson,
        zone: 0,
        kinds: vec![(0, 1.0), (1, 1.0)],
    };
    let schedule = Schedule::new(kinds.clone(), &[stream], MS * 10_000, seed);
    let machine = Machine::new(Make { queue: 100_000, ..Make::default() }, Script::new(faults), None, seed);
    let mut target = Virtual {
        machine,
        kinds: kinds.clone(),
        due: BinaryHeap::new(),
        room,
        took: BTreeMap::new(),
        tries: 0,
        lose_answers: clients.again == Again::Carelessly,
    };
    let mut engine = Engine::new(schedule, kinds, clients, Ledger::new(phases), 100_000, seed);
    let mut now = Duration::ZERO;
    while !engine.is_over() {
        let answer = target.due.peek().map(|Reverse((at, ..))| *at);
        let next = [engine.next_due(), answer].into_iter().flatten().min();
        now = now.max(next.expect("something is due"));
        while let Some(Reverse((at, id, tries, ended))) = target.due.peek().copied()
            && at <= now
        {
            target.due.pop();
            engine.ended(now, id, tries, ended, &mut target);
        }
        engine.run(now, &mut target);
    }
    Run { ledger: engine.ledger, target, strays: engine.strays }
}

/// The target stalls for three seconds while arrivals go on: each op's latency is what the server truly made
/// of it, and a closed loop beside it would have seen a small part of that.
#[test]
fn latency_in_a_stall_is_what_the_server_truly_did() {
    let stall = Fault { from: MS * 3000, to: MS * 6000, what: What::Stall };
    let run = play(300.0, vec![stall], Clients::default(), usize::MAX, 3, vec![MS * 3000, MS * 6000]);
    let truth: BTreeMap<u64, Duration> =
        run.target.machine.truth.served.iter().map(|served| (served.request.id, served.end)).collect();
    let mut compared = 0;
    for (id, (at, took)) in &run.target.took {
        let took = took.expect("a stall of three seconds is within the timeout");
        // Nothing lies between them in virtual time.
        assert_eq!(*at + took, truth[id]);
        compared += usize::from(*at >= MS * 3000 && *at < MS * 6000);
    }
    assert!(compared > 800, "{compared}");
    let stalled = &run.ledger.tallies[&(0, 1)].acks;
    // Arrivals are even over the stall: one at its middle waits for the other half, and then for the 450 ops of
    // a millisecond before it at two cores.
    let median = stalled.value_at_quantile(0.5) as f64 / 1e6;
    assert!((median - 1.725).abs() < 0.1, "{median}");
    // A closed loop of two clients sends two ops into the stall and none more.
    let closed = closed_loop(stall);
    let over =
        |all: &[Duration]| all.iter().filter(|took| **took > MS * 1000).count() as f64 / all.len() as f64;
    let open: Vec<Duration> = run.target.took.values().filter_map(|(_, took)| *took).collect();
    assert!(over(&open) > 0.15 && over(&closed) < 0.002, "{} {}", over(&open), over(&closed));
}

/// Two clients, each sending its next op when the last is answered: latencies from when each was sent.
fn closed_loop(stall: Fault) -> Vec<Duration> {
    let mut machine = Machine::new(Make::default(), Script::new(vec![stall]), None, 3);
    let mut clients = BinaryHeap::from([Reverse(Duration::ZERO), Reverse(MS)]);
    let (mut all, mut id) = (Vec::new(), 0);
    while let Some(Reverse(now)) = clients.pop().filter(|Reverse(now)| *now < MS * 10_000) {
        let op = Op { id, at: now, kind: 0, key: id, tenant: 0, zone: 0, timeout: MS * 5000, work: MS };
        let Fate::Answer { at, .. } = machine.arrive(now, Request::of(&op, 1, Repeats::Retryable)).0 else {
            panic!("no answer")
        };
        all.push(at - now);
        // Each thinks for as long as makes the same rate when nothing is wrong.
        clients.push(Reverse(at + MS * 5));
        id += 1;
    }
    all
}

/// A once-only op whose answer is lost and whose client repeats it: just the doubled effects are found.
#[test]
fn doubled_effects_are_those_the_server_saw() {
    let careless = Clients { again: Again::Carelessly, most: 2, pause: MS * 10 };
    let run = play(200.0, Vec::new(), careless, usize::MAX, 5, Vec::new());
    let mut effects = Effects::default();
    effects.take("s-1", &run.target.machine.truth);
    let doubled: Vec<u64> = effects.doubled().iter().map(|d| d.id).collect();
    let once_only =
        |id: &u64| run.target.machine.truth.served.iter().any(|s| s.request.id == *id && s.request.kind == 1);
    let due: Vec<u64> =
        run.target.took.keys().copied().filter(|id| id.is_multiple_of(10) && once_only(id)).collect();
    let mut sorted = doubled.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, due);
    assert!(due.len() > 50);
    let careful = Clients { again: Again::Safely, ..careless };
    let run = play(200.0, Vec::new(), careful, usize::MAX, 5, Vec::new());
    let mut effects = Effects::default();
    effects.take("s-1", &run.target.machine.truth);
    assert_eq!(effects.doubled(), []);
}

/// Guards against ops that are lost from the account, over drawn faults, pools and clients.
#[test]
fn what_is_intended_is_accounted_for() {
    let faults = prop::collection::vec((0..10_000u64, 1..4000u64, 0..7u8), 0..4);
    let clients = (0..3u8, 1..4u8, 1..200u64);
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner
        .run(&(faults, clients, 1..60usize, any::<u64>()), |(faults, (again, most, pause), room, seed)| {
            let what = |n| {
                [
                    What::Stall,
                    What::Hang,
                    What::Aborts(0.5),
                    What::Crash,
                    What::Resets(0.3),
                    What::HalfOpen,
                    What::Drain,
                ][n]
            };
            let fault = |(from, lasting, n): (u64, u64, u8)| Fault {
                from: MS * from as u32,
                to: MS * (from + lasting) as u32,
                what: what(usize::from(n)),
            };
            let again = [Again::Never, Again::Safely, Again::Carelessly][usize::from(again)];
            let clients = Clients { again, most, pause: MS * pause as u32 };
            let phases = vec![MS * 2000, MS * 4000, MS * 9000];
            let run = play(150.0, faults.into_iter().map(fault).collect(), clients, room, seed, phases);
            let mut tries = 0;
            for tally in run.ledger.tallies.values() {
                assert_eq!(tally.intended, tally.acked + tally.rejected + tally.aborted + tally.unsent);
                assert_eq!(tally.all.len(), tally.intended);
                assert_eq!(tally.acks.len(), tally.acked);
                tries += tally.tries;
            }
            assert_eq!(tries, run.target.tries);
            let seconds: u64 = run.ledger.seconds.iter().map(|s| s.intended).sum();
            assert_eq!(seconds, run.ledger.whole().intended);
            assert_eq!(run.ledger.whole().intended as usize, run.target.took.len());
            let _ = run.strays;
            Ok(())
        })
        .unwrap();
}

/// Guards against merged workers that differ from one.
#[test]
fn merged_ledgers_are_one_ledger() {
    let mut rng = fastrand::Rng::with_seed(2);
    let phases = || vec![MS * 500, MS * 3000];
    let (mut one, mut parts) =
        (Ledger::new(phases()), vec![Ledger::new(phases()), Ledger::new(phases()), Ledger::new(phases())]);
    for i in 0..20_000 {
        let (kind, at) = (rng.u16(..3), MS * rng.u32(..5000));
        let ended =
            [Ended::Acked, Ended::Rejected, Ended::Aborted, Ended::Late, Ended::Unsent][rng.usize(..5)];
        let took = Duration::from_micros(10u64.pow(rng.u32(..8)) * rng.u64(1..10));
        let tries = u8::from(ended != Ended::Unsent);
        for ledger in [&mut one, &mut parts[i % 3]] {
            ledger.intended(kind, at);
            ledger.sent(took / 100);
            ledger.ended(kind, at, ended, took, MS * 900, tries);
        }
    }
    let mut merged = Ledger::new(phases());
    parts.iter().for_each(|part| merged.merge(part));
    assert_eq!(merged.lateness, one.lateness);
    for (key, tally) in &one.tallies {
        let other = &merged.tallies[key];
        assert_eq!((&tally.acks, &tally.all), (&other.acks, &other.all));
        assert_eq!((tally.acked, tally.unsent, tally.tries), (other.acked, other.unsent, other.tries));
    }
    for (one, other) in one.seconds.iter().zip(&merged.seconds) {
        assert_eq!(one.acks, other.acks);
    }
    let mut log = Vec::new();
    merged.write_log(&mut log).unwrap();
    let text = String::from_utf8(log).unwrap();
    assert!(text.contains("#[StartTime:") && text.lines().filter(|l| !l.starts_with('#')).count() >= 5);
}

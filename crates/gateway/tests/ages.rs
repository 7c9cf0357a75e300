//! How old calls of other supervisors are, by steady clocks that begin anywhere and may run apart.

use fallgap_gateway::ages::{Ages, Stamp};
use std::net::Ipv4Addr;
use std::time::Duration;

const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A call: sent, how long it had waited by then, how long it was under way; by the sender's clock, which began a while
/// after the receiver's.
struct Call {
    sent: u64,
    waited: u64,
    way: u64,
}

fn call(sent: u64, waited: u64, way: u64) -> Call {
    Call { sent, waited, way }
}

/// The age of the last of some calls. `rate`: parts in a thousand by which the receiver's clock is quicker.
fn last_age(life: impl Fn(usize) -> u64, rate: i64, calls: &[Call]) -> Duration {
    let mut ages = Ages::default();
    let mut last = Duration::ZERO;
    for (at, call) in calls.iter().enumerate() {
        let real = call.sent + call.way;
        let received = ms(500_000 + real).saturating_add(ms(real * rate.unsigned_abs() / 1000));
        let stamp = Stamp::new(life(at), ms(call.sent), ms(call.waited));
        last = ages.age(received, PEER, &stamp);
    }
    last
}

#[test]
fn what_lay_on_its_way_is_as_old_as_that() {
    let one = |_| 7;
    let cases: &[(&str, Vec<Call>, u64)] = &[
        ("the first, of which nothing can be known", vec![call(0, 30, 2000)], 30),
        ("quick ones", vec![call(0, 0, 3), call(100, 20, 3)], 20),
        ("held by a cut for a while", vec![call(0, 0, 3), call(500, 10, 1003)], 1010),
        ("read as its receiver thaws", vec![call(0, 0, 3), call(500, 0, 20_003)], 20_000 - 1281),
        ("a slow way becomes the usual one", (0..40).map(|n| call(n * 500, 0, 400)).collect(), 0),
        (
            "one that is slower than that",
            (0..40).map(|n| call(n * 500, 0, 400)).chain([call(20_000, 0, 1400)]).collect(),
            1000,
        ),
        ("after a long silence drift is allowed for", vec![call(0, 0, 3), call(160_000, 0, 1003)], 0),
        ("and no more than that", vec![call(0, 0, 3), call(16_000, 0, 3003)], 3000 - 1187),
    ];
    for (name, calls, age) in cases {
        let found = last_age(one, 0, calls).as_millis() as u64;
        assert!(found.abs_diff(*age) <= 2, "{name}: {found} ms, not {age}");
    }
}

#[test]
fn a_process_that_begins_anew_begins_its_clock_anew() {
    let calls = [call(90_000, 0, 3), call(10, 0, 3), call(200, 0, 3)];
    assert_eq!(last_age(|at| u64::from(at > 0), 0, &calls), Duration::ZERO);
}

/// With clocks apart by one part in sixteen nothing is taken for older than a second for it.
#[test]
fn clocks_that_run_apart_make_no_call_too_old_for_long() {
    let calls: Vec<Call> = (0..600).map(|n| call(n * 200, 0, 3)).collect();
    for end in [100, 300, 599] {
        assert!(last_age(|_| 7, 62, &calls[..end]) <= ms(1000));
    }
}

#[test]
fn senders_are_bounded() {
    let mut ages = Ages::default();
    for life in 0..3000 {
        assert_eq!(ages.age(ms(life), PEER, &Stamp::new(life, ms(0), ms(1))), ms(1));
    }
}

//! What the laboratory itself costs: a recorded latency, the memory of a ledger, a schedule's ops, and deadlines
//! in a wheel, a heap and a plain list. Simulated.

use fallgap::Repeats;
use fallgap_lab::arrivals::{Kind, Schedule, Spacing, Stream, Work};
use fallgap_lab::clients::Ended;
use fallgap_lab::ledger::Ledger;
use fallgap_lab::wheel::Wheel;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn recording() -> f64 {
    println!("op types  phases  ns a recorded op  kB of the ledger");
    let mut last = 0.0;
    for (kinds, phases) in [(1u16, 1u32), (10, 3), (30, 10)] {
        let before = resident_kb();
        let mut ledger = Ledger::new((1..phases).map(|i| MS * 1000 * i).collect());
        let mut rng = fastrand::Rng::with_seed(1);
        let draws: Vec<(u16, Duration, Duration)> = (0..1 << 16)
            .map(|_| {
                (
                    rng.u16(..kinds),
                    MS * rng.u32(..1000 * phases),
                    Duration::from_micros(rng.u64(50..2_000_000)),
                )
            })
            .collect();
        let rounds = 2_000_000;
        let since = Instant::now();
        for i in 0..rounds {
            let (kind, at, took) = draws[i & 0xffff];
            ledger.intended(kind, at);
            ledger.sent(took / 1000);
            ledger.ended(kind, at, Ended::Acked, took, MS * 2000, 1);
        }
        last = since.elapsed().as_nanos() as f64 / rounds as f64;
        println!("{kinds:>8}  {phases:>6}  {last:>16.0}  {:>16}", resident_kb().saturating_sub(before));
        black_box(&ledger);
    }
    last
}

fn schedules() -> f64 {
    println!("\nops          ops a second   kB held");
    let kind = Kind {
        name: "op".into(),
        repeats: Repeats::Retryable,
        timeout: MS * 2000,
        work: Work::Exponential(MS),
        keys: 10_000,
        tenants: 10,
    };
    let mut last = 0.0;
    for ops in [100_000u64, 1_000_000, 10_000_000] {
        let shape = format!("ramp({0},{1},100s)*sine(1,0.3,10s)", ops / 200, ops * 3 / 200);
        let stream = Stream {
            shape: shape.parse().expect("a shape"),
            spacing: Spacing::Poisson,
            zone: 0,
            kinds: vec![(0, 1.0)],
        };
        let (before, since) = (resident_kb(), Instant::now());
        let count = Schedule::new(vec![kind.clone()], &[stream], MS * 100_000, 1).map(black_box).count();
        last = count as f64 / since.elapsed().as_secs_f64();
        println!("{count:>8}  {last:>15.0}  {:>8}", resident_kb().saturating_sub(before));
    }
    last
}

/// Nanoseconds for each deadline that is entered and expires while so many are pending.
fn deadlines(pending: usize, plain: bool) -> (f64, f64, f64) {
    let mut rng = fastrand::Rng::with_seed(3);
    let step = Duration::from_nanos(2_000_000_000 / pending as u64);
    let rounds = if plain { (20_000_000 / pending).clamp(20, 20_000) } else { 2_000_000 };
    let due = |now: Duration, rng: &mut fastrand::Rng| {
        now + MS * 1000 + Duration::from_nanos(rng.u64(..2_000_000_000))
    };
    let each = |since: Instant| since.elapsed().as_nanos() as f64 / rounds as f64;
    if plain {
        let mut list: Vec<Duration> = (0..pending).map(|_| due(Duration::ZERO, &mut rng)).collect();
        let since = Instant::now();
        for round in 0..rounds {
            let now = step * round as u32;
            list.push(due(now, &mut rng));
            list.retain(|at| *at > now);
        }
        return (0.0, 0.0, each(since));
    }
    let mut wheel = Wheel::default();
    (0..pending).for_each(|i| wheel.enter(due(Duration::ZERO, &mut rng), i));
    let since = Instant::now();
    for round in 0..rounds {
        let now = step * round as u32;
        wheel.enter(due(now, &mut rng), round);
        wheel.expire(now, |item| _ = black_box(item));
    }
    let by_wheel = each(since);
    let mut heap: BinaryHeap<Reverse<(Duration, usize)>> =
        (0..pending).map(|i| Reverse((due(Duration::ZERO, &mut rng), i))).collect();
    let since = Instant::now();
    for round in 0..rounds {
        let now = step * round as u32;
        heap.push(Reverse((due(now, &mut rng), round)));
        while let Some(Reverse((_, item))) = heap.peek().copied().filter(|Reverse((at, _))| *at <= now) {
            black_box(item);
            heap.pop();
        }
    }
    (by_wheel, each(since), 0.0)
}

fn main() {
    let recorded = recording();
    let scheduled = schedules();
    println!("\npending   wheel ns  heap ns  plain list ns");
    let mut ratio = 0.0;
    for pending in [10_000, 100_000, 1_000_000] {
        let (wheel, heap, _) = deadlines(pending, false);
        let (_, _, list) = deadlines(pending, true);
        println!("{pending:>7}  {wheel:>9.0}  {heap:>7.0}  {list:>13.0}");
        ratio = heap / wheel;
    }
    println!("figure ns_a_recorded_op {recorded:.0}");
    println!("figure scheduled_ops_a_second {scheduled:.0}");
    println!("figure heap_over_wheel_at_1000000 {ratio:.2}");
}

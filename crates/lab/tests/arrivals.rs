//! Schedules: the same seed gives the same ops, rates are what the shape says, and parts make the whole.

use fallgap::Repeats;
use fallgap_lab::arrivals::{Kind, Op, Schedule, Shape, Spacing, Stream, Work};
use std::time::Duration;

const S: Duration = Duration::from_secs(1);

fn kinds() -> Vec<Kind> {
    let kind = |name: &str, repeats| Kind {
        name: name.into(),
        repeats,
        timeout: S * 2,
        work: Work::Exponential(Duration::from_millis(5)),
        keys: 1000,
        tenants: 7,
    };
    vec![kind("lookup", Repeats::Retryable), kind("box-move", Repeats::OnceOnly)]
}

fn schedule(shape: &str, spacing: Spacing, end: Duration, seed: u64) -> Schedule {
    let shape: Shape = shape.parse().unwrap();
    let stream = |zone| Stream { shape: shape.clone(), spacing, zone, kinds: vec![(0, 3.0), (1, 1.0)] };
    Schedule::new(kinds(), &[stream(0), stream(1)], end, seed)
}

fn between(ops: &[Op], from: Duration, to: Duration) -> usize {
    ops.iter().filter(|op| op.at >= from && op.at < to).count()
}

/// Guards against runs that cannot be played again, and workers that change what is sent.
#[test]
fn the_same_seed_gives_the_same_ops_whatever_the_workers() {
    let shape = "campaign(50,400,20s,4,500ms)*sine(1,0.3,5s)";
    let one: Vec<Op> = schedule(shape, Spacing::Poisson, S * 20, 7).collect();
    assert!(one.len() > 3000 && one.windows(2).all(|w| w[0].at <= w[1].at && w[0].id < w[1].id));
    for workers in 1..5 {
        let part = |worker| schedule(shape, Spacing::Poisson, S * 20, 7).part(worker, workers);
        let mut all: Vec<Op> = (0..workers).flat_map(part).collect();
        all.sort_by_key(|op| op.id);
        assert_eq!(all, one);
    }
    let other: Vec<Op> = schedule(shape, Spacing::Poisson, S * 20, 8).collect();
    assert_ne!(other[..10], one[..10]);
}

/// Guards against shapes that send something else than they say.
#[test]
fn rates_are_what_the_shape_says() {
    for spacing in [Spacing::Even, Spacing::Poisson] {
        let near = |got: usize, due: f64| {
            let off = if spacing == Spacing::Even { 3.0 } else { 5.0 * due.sqrt() };
            assert!((got as f64 - due).abs() <= off, "{spacing:?}: {got} for {due}");
        };
        let all: Vec<Op> = schedule("1000", spacing, S * 10, 1).collect();
        near(all.len(), 20_000.0);
        let lookups = all.iter().filter(|op| op.kind == 0).count() as f64;
        assert!((lookups - 15_000.0).abs() < 5.0 * 15_000f64.sqrt(), "kinds are drawn by their shares");
        let ramp: Vec<Op> = schedule("ramp(0,1000,10s)", spacing, S * 20, 1).collect();
        near(between(&ramp, Duration::ZERO, S * 5), 2500.0);
        near(between(&ramp, S * 10, S * 20), 20_000.0);
        let steps: Vec<Op> = schedule("steps(100@1s,700@2s)", spacing, S * 3, 1).collect();
        assert_eq!(between(&steps, Duration::ZERO, S), 0);
        near(between(&steps, S, S * 2), 200.0);
        near(between(&steps, S * 2, S * 3), 1400.0);
        let sine: Vec<Op> = schedule("sine(1000,0.5,4s)", spacing, S * 4, 1).collect();
        // The half wave above the mean holds 1/pi of the swing more.
        near(between(&sine, Duration::ZERO, S * 2), 4000.0 * (1.0 + std::f64::consts::FRAC_1_PI));
        let product: Vec<Op> = schedule("200*steps(3@0s,0.5@1s)", spacing, S * 2, 1).collect();
        near(between(&product, Duration::ZERO, S), 1200.0);
        near(between(&product, S, S * 2), 200.0);
    }
}

/// Guards against chance that is too even, or has no heavy tail.
#[test]
fn poisson_gaps_and_heavy_bursts() {
    let ops: Vec<Op> = schedule("500", Spacing::Poisson, S * 100, 3).collect();
    let gaps: Vec<f64> = ops.windows(2).map(|w| (w[1].at - w[0].at).as_secs_f64()).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let spread = (gaps.iter().map(|g| (g - mean).powi(2)).sum::<f64>() / gaps.len() as f64).sqrt();
    assert!((mean - 0.001).abs() < 2e-5 && (spread / mean - 1.0).abs() < 0.03, "{mean} {spread}");
    let stream = Stream {
        shape: "bursts(2000,100ms,900ms,1.5)".parse().unwrap(),
        spacing: Spacing::Poisson,
        zone: 0,
        kinds: vec![(0, 1.0)],
    };
    let ops: Vec<Op> = Schedule::new(kinds(), &[stream], S * 400, 5).collect();
    let per_tenth: Vec<usize> = (0..4000).map(|i| between_tenth(&ops, i)).collect();
    let most = per_tenth.iter().max().unwrap();
    let mean = ops.len() as f64 / 4000.0;
    assert!(
        *most as f64 > 5.0 * mean && per_tenth.iter().filter(|n| **n == 0).count() > 2000,
        "{most} {mean}"
    );
}

fn between_tenth(ops: &[Op], tenth: usize) -> usize {
    let from = Duration::from_millis(tenth as u64 * 100);
    let first = ops.partition_point(|op| op.at < from);
    ops[first..].partition_point(|op| op.at < from + Duration::from_millis(100))
}

#[test]
fn shapes_in_words() {
    for odd in [
        "",
        "ramp(1,2)",
        "sine(1,2,3)",
        "steps(1@2s,2@1s)",
        "bursts(1,1s,1s,1)",
        "ramp(1,2,3s",
        "-1",
        "1e99",
        "x(1)",
    ] {
        assert!(odd.parse::<Shape>().is_err(), "{odd}");
    }
    let shape: Shape = " ramp(100, 2000, 30s) * 2 ".parse().unwrap();
    let twice = shape.sped_up(2.0);
    assert_eq!(twice.walk(1).rate(S * 15), shape.walk(1).rate(S * 30));
}

//! An emulated server against theory: mean waiting of M/M/1, M/M/c and M/D/1 at 0.5, 0.8 and 0.95 busyness,
//! with intervals from batches. Simulated.

use fallgap::Repeats;
use fallgap_lab::arrivals::{Kind, Schedule, Spacing, Stream, Work};
use fallgap_lab::emulated::{Machine, Make, Script};
use fallgap_lab::frames::Request;
use std::time::Duration;

const BATCHES: usize = 20;
const SERVICE: f64 = 0.010;

/// Mean waiting in seconds, and half its interval of 95% from the spread of the batches.
fn measured(cores: usize, busy: f64, work: Work, seed: u64) -> (f64, f64) {
    let rate = busy * cores as f64 / SERVICE;
    let kind = Kind {
        name: "op".into(),
        repeats: Repeats::Retryable,
        timeout: Duration::from_secs(1),
        work,
        keys: 1,
        tenants: 1,
    };
    // Long enough for the slow swings near saturation, with a part in front that does not count.
    let ops = (2_000_000.0 * if busy > 0.9 { 4.0 } else { 1.0 }) as usize;
    let span = Duration::from_secs_f64(ops as f64 / rate);
    let stream = Stream {
        shape: rate.to_string().parse().expect("a rate"),
        spacing: Spacing::Poisson,
        zone: 0,
        kinds: vec![(0, 1.0)],
    };
    let mut machine =
        Machine::new(Make { cores, queue: usize::MAX, ..Make::default() }, Script::default(), None, 1);
    let (skip, mut sums, mut counts) = (ops / 20, [0.0; BATCHES], [0usize; BATCHES]);
    for op in Schedule::new(vec![kind], &[stream], span, seed) {
        machine.truth.served.clear();
        let (at, id) = (op.at, op.id as usize);
        machine.arrive(at, Request::of(&op, 1, Repeats::Retryable));
        let waited = machine.truth.served[0].start.saturating_sub(at).as_secs_f64();
        if id >= skip {
            let batch = ((id - skip) * BATCHES / (ops - skip)).min(BATCHES - 1);
            (sums[batch], counts[batch]) = (sums[batch] + waited, counts[batch] + 1);
        }
    }
    let means: Vec<f64> = sums.iter().zip(counts).map(|(sum, count)| sum / count.max(1) as f64).collect();
    let mean = means.iter().sum::<f64>() / BATCHES as f64;
    let spread = (means.iter().map(|m| (m - mean).powi(2)).sum::<f64>() / (BATCHES - 1) as f64).sqrt();
    (mean, 2.09 * spread / (BATCHES as f64).sqrt())
}

/// Erlang's C, by its recursion over B.
fn waiting_mmc(cores: usize, busy: f64) -> f64 {
    let load = busy * cores as f64;
    let b = (1..=cores).fold(1.0, |b, n| load * b / (n as f64 + load * b));
    let c = b / (1.0 - busy * (1.0 - b));
    c * SERVICE / (cores as f64 * (1.0 - busy))
}

fn main() {
    let drawn = Work::Exponential(Duration::from_secs_f64(SERVICE));
    let fixed = Work::Fixed(Duration::from_secs_f64(SERVICE));
    println!("queue   busy   theory ms   measured ms");
    let mut inside = 0;
    let mut worst: f64 = 0.0;
    for (name, cores, work) in
        [("M/M/1", 1, drawn), ("M/M/4", 4, drawn), ("M/M/16", 16, drawn), ("M/D/1", 1, fixed)]
    {
        for busy in [0.5, 0.8, 0.95] {
            let theory = match work {
                Work::Fixed(_) => busy * SERVICE / (2.0 * (1.0 - busy)),
                _ => waiting_mmc(cores, busy),
            };
            let (mean, half) = measured(cores, busy, work, (busy * 1e3) as u64 + 7 * cores as u64);
            println!(
                "{name:<7} {busy:.2}  {:>10.4}  {:>10.4} +- {:.4}",
                theory * 1e3,
                mean * 1e3,
                half * 1e3
            );
            inside += usize::from((mean - theory).abs() <= half.max(theory * 0.005));
            worst = worst.max((mean / theory - 1.0).abs());
        }
    }
    println!("figure inside_the_interval_of_12 {inside}");
    println!("figure largest_relative_error {worst:.4}");
}

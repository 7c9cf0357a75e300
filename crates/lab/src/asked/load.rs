//! `fallgap-lab load TARGET`.

use super::{Aside, refuse, time};
use clap::{Args, ValueEnum};
use fallgap::Repeats;
use fallgap_lab::arrivals::{Kind, Op, Schedule, Shape, Spacing, Stream, Work};
use fallgap_lab::clients::{Again, Clients};
use fallgap_lab::experiment::result::ms;
use fallgap_lab::load::{Came, Goal, Run, play};
use fallgap_lab::trace::fields::Fields;
use fallgap_lab::trace::order::Ordered;
use fallgap_lab::trace::read::{Form, rows};
use fallgap_lab::trace::scale::{Scaled, ops};
use fallgap_lab::watched::Progress;
use serde_json::json;
use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::sync::watch;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Repeat {
    Never,
    Safely,
    Carelessly,
}

#[derive(Debug, Args)]
pub struct Load {
    /// http://HOST:PORT/PATH, or framed://ADDR:PORT for servers of this laboratory.
    target: Goal,
    /// Ops a second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// The rate over time in place of --rate: ramp(100,2000,30s)*sine(1,0.3,10s), campaign(...), bursts(...).
    #[arg(long)]
    shape: Option<Shape>,
    #[arg(long, value_parser = time, default_value = "10s")]
    duration: Duration,
    /// Even distances between ops, instead of drawn ones.
    #[arg(long)]
    even: bool,
    /// A trace to replay in place of a shape, as `trace` or --sent wrote it.
    #[arg(long, conflicts_with = "shape")]
    trace: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=64))]
    workers: u64,
    /// Connections of each worker.
    #[arg(long, default_value_t = 16)]
    connections: usize,
    /// Time of one core that an op asks of a server: drawn, with that mean.
    #[arg(long, value_parser = time, default_value = "0s")]
    work: Duration,
    #[arg(long, value_parser = time, default_value = "2s")]
    timeout: Duration,
    /// Ops must not run twice.
    #[arg(long)]
    once_only: bool,
    /// Whether clients try again.
    #[arg(long, value_enum, default_value = "never")]
    again: Repeat,
    #[arg(long, default_value_t = 2)]
    tries: u8,
    #[arg(long, value_parser = time, default_value = "100ms")]
    pause: Duration,
    /// The run is not valid if its own lateness at the 99.9th percentile is over this.
    #[arg(long, value_parser = time, default_value = "5ms")]
    late: Duration,
    /// Writes what was sent, as a trace that replays.
    #[arg(long, value_name = "FILE")]
    sent: Option<PathBuf>,
    /// Writes latencies by second in the log format of HdrHistogram.
    #[arg(long, value_name = "FILE")]
    hdr: Option<PathBuf>,
    /// One object a line.
    #[arg(long)]
    json: bool,
}

pub fn run(call: &Load) -> ExitCode {
    let work = if call.work.is_zero() { Work::Fixed(call.work) } else { Work::Exponential(call.work) };
    let repeats = if call.once_only { Repeats::OnceOnly } else { Repeats::Retryable };
    let kind = Kind { name: "op".into(), repeats, timeout: call.timeout, work, keys: 10_000, tenants: 10 };
    let again = match call.again {
        Repeat::Never => Again::Never,
        Repeat::Safely => Again::Safely,
        Repeat::Carelessly => Again::Carelessly,
    };
    let run = Run {
        goal: call.target.clone(),
        kinds: vec![kind.clone()],
        clients: Clients { again, most: call.tries, pause: call.pause },
        workers: call.workers,
        connections: call.connections,
        most_pending: 200_000,
        phases: Vec::new(),
        seed: call.seed,
        records: false,
        export: call.sent.clone(),
    };
    if let Some(trace) = &call.trace
        && let Err(e) = File::open(trace)
    {
        return refuse(format!("{}: {e}", trace.display()));
    }
    let (sender, stop) = watch::channel(false);
    let progress = Progress::default();
    let aside = Aside::start(sender, progress.clone(), "load".into());
    let schedule = |worker: u64| -> Box<dyn Iterator<Item = Op>> {
        let (workers, kinds) = (call.workers, vec![kind.clone()]);
        // That it opens was seen before; one that is gone since has no rows.
        match call.trace.as_ref().and_then(|trace| File::open(trace).ok()) {
            Some(file) => {
                let rows = rows(BufReader::new(file), Form::Csv, Fields::default());
                let all = ops(Scaled::new(Ordered::new(rows, false), 1.0, 1.0, call.seed), kinds);
                Box::new(all.filter(move |op| op.id % workers == worker))
            }
            None => {
                let shape = call.shape.clone().unwrap_or(Shape::Constant(call.rate));
                let spacing = if call.even { Spacing::Even } else { Spacing::Poisson };
                let stream = Stream { shape, spacing, zone: 0, kinds: vec![(0, 1.0)] };
                Box::new(Schedule::new(kinds, &[stream], call.duration, call.seed).part(worker, workers))
            }
        }
    };
    let came = play(&run, schedule, &stop, &progress);
    drop(aside);
    if let Some(path) = &call.hdr {
        let written = File::create(path).map_err(|e| e.to_string());
        let written =
            written.and_then(|mut file| came.ledger.write_log(&mut file).map_err(|e| e.to_string()));
        if let Err(e) = written {
            return refuse(format!("{}: {e}", path.display()));
        }
    }
    if let Some(why) = &came.export_failed {
        return refuse(format!("what was sent is not written: {why}"));
    }
    show(call, &came)
}

fn show(call: &Load, came: &Came) -> ExitCode {
    let whole = came.ledger.whole();
    let late = came.lateness(0.999);
    let valid = late <= call.late;
    let rate = whole.intended as f64 / came.took.as_secs_f64();
    let quantiles = [0.5, 0.9, 0.99, 0.999, 1.0];
    let acks = quantiles.map(|q| ms(&whole.acks, q));
    let all = quantiles.map(|q| ms(&whole.all, q));
    if call.json {
        let out = json!({ "intended": whole.intended, "acked": whole.acked, "rejected": whole.rejected,
            "aborted": whole.aborted, "unsent": whole.unsent, "tries": whole.tries, "seconds": came.took.as_secs_f64(),
            "rate": rate, "acked_ms": { "p50": acks[0], "p90": acks[1], "p99": acks[2], "p99.9": acks[3], "max": acks[4] },
            "all_ms": { "p50": all[0], "p90": all[1], "p99": all[2], "p99.9": all[3], "max": all[4] },
            "late_ms": { "p99.9": late.as_secs_f64() * 1e3 }, "held": came.ledger.held, "strays": came.strays, "valid": valid });
        println!("{out}");
    } else {
        println!("{} ops in {:.1} s, {rate:.0} a second", whole.intended, came.took.as_secs_f64());
        let (acked, rejected) = (whole.acked, whole.rejected);
        println!(
            "acked {acked}  rejected {rejected}  aborted {}  not sent {}  tries {}",
            whole.aborted, whole.unsent, whole.tries
        );
        println!("ms from the intended time     p50      p90      p99    p99.9      max");
        for (name, row) in [("acked", acks), ("all, lost at their timeout", all)] {
            println!("{name:<26}{:>9.2}{:>9.2}{:>9.2}{:>9.2}{:>9.2}", row[0], row[1], row[2], row[3], row[4]);
        }
        println!(
            "own lateness p99.9 {:.3} ms; {} ops waited for a connection; {} stray answers",
            late.as_secs_f64() * 1e3,
            came.ledger.held,
            came.strays
        );
        if !valid {
            println!("NOT VALID: the generator was later than {:.3} ms", call.late.as_secs_f64() * 1e3);
        }
    }
    if valid { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

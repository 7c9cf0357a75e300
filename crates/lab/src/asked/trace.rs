//! `fallgap-lab trace import FILE` and `trace export`.

use super::{refuse, time};
use clap::{Args, Subcommand, ValueEnum};
use fallgap::Repeats;
use fallgap_lab::arrivals::{Kind, Schedule, Shape, Spacing, Stream, Work};
use fallgap_lab::trace::export::Export;
use fallgap_lab::trace::fields::Fields;
use fallgap_lab::trace::order::Ordered;
use fallgap_lab::trace::read::{Form, rows};
use fallgap_lab::trace::scale::{Scaled, ops};
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Shaped {
    Csv,
    Json,
}

#[derive(Debug, Args)]
pub struct Trace {
    #[command(subcommand)]
    asked: Way,
}

#[derive(Debug, Subcommand)]
enum Way {
    /// Reads a recording, puts it in order, scales it, and writes it for `load --trace`.
    Import(Import),
    /// Writes the ops of a shape as a trace, without sending them.
    Export(Drawn),
}

#[derive(Debug, Args)]
struct Drawn {
    /// ramp(100,2000,30s)*sine(1,0.3,10s), campaign(...), bursts(...), or a rate.
    shape: Shape,
    #[arg(long, value_parser = time, default_value = "10s")]
    duration: Duration,
    #[arg(long)]
    even: bool,
    /// Time of one core that an op asks of a server: drawn, with that mean.
    #[arg(long, value_parser = time, default_value = "5ms")]
    work: Duration,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where to write; standard output without it.
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Debug, Args)]
struct Import {
    /// The recording.
    file: PathBuf,
    #[arg(long, value_enum, default_value = "csv")]
    form: Shaped,
    /// Our names and the recording's, with units: at=ts:s,kind=op,key=object,work=took:ms.
    #[arg(long)]
    map: Option<Fields>,
    /// Stops at the first bad row.
    #[arg(long)]
    strict: bool,
    /// Times pass so many times as fast.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// So many ops for each.
    #[arg(long, default_value_t = 1.0)]
    rate: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where to write; standard output without it.
    #[arg(long)]
    out: Option<PathBuf>,
}

pub fn run(call: &Trace) -> ExitCode {
    match &call.asked {
        Way::Import(call) => import(call),
        Way::Export(call) => match drawn(call) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => refuse(e),
        },
    }
}

fn start(out: Option<&PathBuf>) -> Result<Export<Box<dyn Write>>, String> {
    let to: Box<dyn Write> = match out {
        Some(path) => Box::new(File::create(path).map_err(|e| format!("{}: {e}", path.display()))?),
        None => Box::new(std::io::stdout()),
    };
    Export::start(Box::new(BufWriter::new(to)) as Box<dyn Write>).map_err(|e| e.to_string())
}

fn drawn(call: &Drawn) -> Result<(), String> {
    let kind = Kind {
        name: "op".into(),
        repeats: Repeats::Retryable,
        timeout: Duration::from_secs(2),
        work: Work::Exponential(call.work),
        keys: 10_000,
        tenants: 10,
    };
    let spacing = if call.even { Spacing::Even } else { Spacing::Poisson };
    let stream = Stream { shape: call.shape.clone(), spacing, zone: 0, kinds: vec![(0, 1.0)] };
    let mut export = start(call.out.as_ref())?;
    let kinds = vec![kind];
    for op in Schedule::new(kinds.clone(), &[stream], call.duration, call.seed) {
        export.op(&op, &kinds).map_err(|e| e.to_string())?;
    }
    export.end().map_err(|e| e.to_string())
}

fn import(call: &Import) -> ExitCode {
    let file = match File::open(&call.file) {
        Ok(file) => file,
        Err(e) => return refuse(format!("{}: {e}", call.file.display())),
    };
    let form = if call.form == Shaped::Csv { Form::Csv } else { Form::JsonLines };
    let fields = call.map.clone().unwrap_or_default();
    let mut ordered = Ordered::new(rows(BufReader::new(file), form, fields), call.strict);
    match write(call, &mut ordered) {
        Ok(count) => {
            let met = &ordered.met;
            let mut note = std::io::stderr();
            let told = writeln!(
                note,
                "{count} ops of {} rows; bad {}, doubled {}, out of place {}, too late {}, clock set back {} times by {:.3} s, \
                 longest gap {:.3} s",
                met.rows,
                met.bad,
                met.doubled,
                met.moved,
                met.late,
                met.steps_back,
                met.stepped.as_secs_f64(),
                met.longest_gap.as_secs_f64()
            );
            for bad in &met.first_bad {
                let _ = writeln!(note, "{}: {bad}", call.file.display());
            }
            // Whoever closed standard error wants no note.
            let _ = told;
            if ordered.stopped.is_some() { ExitCode::FAILURE } else { ExitCode::SUCCESS }
        }
        Err(e) => refuse(e),
    }
}

fn write<I>(call: &Import, ordered: &mut Ordered<I>) -> Result<u64, String>
where
    I: Iterator<Item = Result<(u64, fallgap_lab::trace::Row), fallgap_lab::trace::BadRow>>,
{
    let said = |e: &dyn std::fmt::Display| e.to_string();
    let mut export = start(call.out.as_ref())?;
    let (timeout, work) = (Duration::from_secs(2), Work::Fixed(Duration::ZERO));
    // Names are kept as they are: each becomes a type when it first comes.
    let mut kinds: Vec<Kind> = Vec::new();
    let mut count = 0;
    for row in Scaled::new(ordered, call.speed, call.rate, call.seed) {
        let place = kinds.iter().position(|kind| kind.name == row.kind).unwrap_or_else(|| {
            if kinds.len() < usize::from(u16::MAX) {
                let (name, repeats) = (row.kind.clone(), Repeats::Retryable);
                kinds.push(Kind { name, repeats, timeout, work, keys: 1, tenants: 1 });
            }
            kinds.len() - 1
        });
        for op in ops(std::iter::once(row), vec![kinds[place].clone()]) {
            let op = fallgap_lab::arrivals::Op { id: count, kind: place as u16, ..op };
            export.op(&op, &kinds).map_err(|e| said(&e))?;
            count += 1;
        }
    }
    export.end().map_err(|e| said(&e))?;
    Ok(count)
}

//! `fallgap-lab trace FILE`.

use super::refuse;
use clap::{Args, ValueEnum};
use fallgap::Repeats;
use fallgap_lab::arrivals::{Kind, Work};
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

fn write<I>(call: &Trace, ordered: &mut Ordered<I>) -> Result<u64, String>
where
    I: Iterator<Item = Result<(u64, fallgap_lab::trace::Row), fallgap_lab::trace::BadRow>>,
{
    let to: Box<dyn Write> = match &call.out {
        Some(path) => Box::new(File::create(path).map_err(|e| format!("{}: {e}", path.display()))?),
        None => Box::new(std::io::stdout()),
    };
    let said = |e: &dyn std::fmt::Display| e.to_string();
    let mut export = Export::start(BufWriter::new(to)).map_err(|e| said(&e))?;
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

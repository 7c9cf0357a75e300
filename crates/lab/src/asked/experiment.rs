//! `fallgap-lab run FILE`, `compare A B` and `report DIR`.

use super::{Aside, read, refuse};
use clap::Args;
use fallgap_lab::experiment::compare::{self, Compared};
use fallgap_lab::experiment::result::Shown;
use fallgap_lab::experiment::run;
use fallgap_lab::report;
use fallgap_lab::watched::Progress;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::sync::watch;

#[derive(Debug, Args)]
pub struct Run {
    /// The experiment.
    file: PathBuf,
    /// Where results go: a folder for each variant, and the report.
    #[arg(long, default_value = "target/lab")]
    out: PathBuf,
}

#[derive(Debug, Args)]
pub struct Compare {
    /// Folders of two variants' runs.
    one: PathBuf,
    other: PathBuf,
    /// One object a line.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
pub struct Report {
    /// The folder that `run` wrote.
    dir: PathBuf,
}

pub fn run(call: &Run) -> ExitCode {
    let experiment = match read(&call.file) {
        Ok(experiment) => experiment,
        Err(code) => return code,
    };
    let (sender, stop) = watch::channel(false);
    let mut good = true;
    for seed in &experiment.seeds {
        for variant in &experiment.variants {
            if *stop.borrow() {
                break;
            }
            let progress = Progress::default();
            let aside =
                Aside::start(sender.clone(), progress.clone(), format!("{} seed {seed}", variant.name));
            let played = actix_rt::System::new().block_on(run::run(
                &experiment,
                variant,
                *seed,
                stop.clone(),
                progress,
            ));
            drop(aside);
            let shown = match played {
                Ok(shown) => shown,
                Err(e) => return refuse(format!("{} seed {seed}: {e}", variant.name)),
            };
            tell(&shown);
            good &= shown.valid && shown.figures.rules_broken == 0.0;
            if let Err(e) = keep(&call.out, &shown) {
                return refuse(e);
            }
        }
    }
    match write_report(&call.out) {
        Ok(page) => println!("report: {}", page.display()),
        Err(e) => return refuse(e),
    }
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn tell(shown: &Shown) {
    let figures = &shown.figures;
    println!(
        "{} seed {}: acked {:.4}  value {:.4}  in time {:.4}  p99 {:.0} ms  rules broken {}  lateness p99.9 {:.2} ms{}",
        shown.variant,
        shown.seed,
        figures.acked,
        figures.value,
        figures.in_time,
        figures.p99_ms,
        figures.rules_broken,
        shown.lateness_p999_ms,
        if shown.valid { "" } else { "  NOT VALID" }
    );
    shown.broken.iter().take(5).for_each(|line| println!("  {line}"));
}

fn keep(out: &Path, shown: &Shown) -> Result<(), String> {
    let dir = out.join(&shown.variant);
    let said = |e: std::io::Error| format!("{}: {e}", dir.display());
    std::fs::create_dir_all(&dir).map_err(said)?;
    let text = serde_json::to_vec(shown).map_err(|e| e.to_string())?;
    std::fs::write(dir.join(format!("seed-{}.json", shown.seed)), text).map_err(said)
}

/// All runs of a variant's folder, in the order of their seeds.
fn runs(dir: &Path) -> Result<Vec<Shown>, String> {
    let said = |e: &dyn std::fmt::Display| format!("{}: {e}", dir.display());
    let mut all = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(|e| said(&e))? {
        let path = entry.map_err(|e| said(&e))?.path();
        if path.extension().is_some_and(|kind| kind == "json") {
            let text = std::fs::read(&path).map_err(|e| said(&e))?;
            let shown: Shown =
                serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))?;
            all.push(shown);
        }
    }
    all.sort_by_key(|run| run.seed);
    Ok(all)
}

pub fn compare(call: &Compare) -> ExitCode {
    let (one, other) = match (runs(&call.one), runs(&call.other)) {
        (Ok(one), Ok(other)) => (one, other),
        (Err(e), _) | (_, Err(e)) => return refuse(e),
    };
    for c in compare::compare(&one, &other) {
        let Compared { name, pairs, median: [first, second], difference, interval: (least, most), .. } = c;
        if call.json {
            let line = serde_json::json!({ "figure": name, "pairs": pairs, "one": first, "other": second,
                "difference": difference, "least": least, "most": most, "says": c.words() });
            println!("{line}");
        } else {
            let words = c.words();
            println!(
                "{name:<13}{first:>11.4}{second:>11.4}  {difference:>+9.4} ({least:+.4} to {most:+.4})  {words}, {pairs} pairs"
            );
        }
    }
    ExitCode::SUCCESS
}

pub fn report(call: &Report) -> ExitCode {
    match write_report(&call.dir) {
        Ok(page) => {
            println!("report: {}", page.display());
            ExitCode::SUCCESS
        }
        Err(e) => refuse(e),
    }
}

fn write_report(dir: &Path) -> Result<PathBuf, String> {
    let said = |e: std::io::Error| format!("{}: {e}", dir.display());
    let mut variants = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(said)? {
        let path = entry.map_err(said)?.path();
        if path.is_dir() {
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            let runs = runs(&path)?;
            if !runs.is_empty() {
                variants.push((name, runs));
            }
        }
    }
    variants.sort_by(|a, b| a.0.cmp(&b.0));
    if variants.is_empty() {
        return Err(format!("{}: no runs", dir.display()));
    }
    let (first, others) = (&variants[0].1, &variants[1..]);
    let compared: Vec<(String, Vec<Compared>)> =
        others.iter().map(|(name, runs)| (name.clone(), compare::compare(first, runs))).collect();
    let title = dir.file_name().unwrap_or_default().to_string_lossy().into_owned();
    let page = dir.join("report.html");
    std::fs::write(&page, report::page(&title, &variants, &compared)).map_err(said)?;
    Ok(page)
}

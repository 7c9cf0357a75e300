//! What the program is called with.

pub mod experiment;
pub mod load;
pub mod servers;
pub mod trace;

use clap::{Parser, Subcommand};
use fallgap_lab::experiment::file::{self, Experiment};
use fallgap_lab::watched::Progress;
use std::io::{IsTerminal, Write};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A laboratory for fallgap: load that tells the truth, emulated servers with faults, and experiments.
#[derive(Debug, Parser)]
#[command(name = "fallgap-lab", version)]
pub struct Call {
    #[command(subcommand)]
    pub asked: Asked,
}

#[derive(Debug, Subcommand)]
pub enum Asked {
    /// Sends ops to a target as an open loop, and tells what became of them.
    Load(load::Load),
    /// Recorded traces: read, put in order, scaled, written.
    Trace(trace::Trace),
    /// Runs the servers of an experiment's file, framed or over HTTP, until it is ended.
    Servers(servers::Servers),
    /// Plays an experiment: each of its variants with each of its seeds.
    Run(experiment::Run),
    /// Compares the runs of two variants, paired by seed.
    Compare(experiment::Compare),
    /// Makes one page of a folder of runs.
    Report(experiment::Report),
}

/// Something is wrong with the call: why, and the exit code for it.
fn refuse(why: impl std::fmt::Display) -> ExitCode {
    // A closed standard error has nobody to tell.
    let _ = writeln!(std::io::stderr(), "{why}");
    ExitCode::from(2)
}

/// An experiment's file; all that is wrong with it is told.
fn read(path: &Path) -> Result<Experiment, ExitCode> {
    let text = std::fs::read_to_string(path).map_err(|e| refuse(format!("{}: {e}", path.display())))?;
    file::read(&text).map_err(|faults| {
        faults.iter().for_each(|fault| _ = refuse(format!("{}:{fault}", path.display())));
        ExitCode::from(2)
    })
}

/// Tells `stop` at the first Ctrl-C, and shows progress on a terminal; ends when it is dropped.
struct Aside {
    done: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Aside {
    fn start(stop: watch::Sender<bool>, progress: Progress, what: String) -> Aside {
        let done = Arc::new(AtomicBool::new(false));
        let ended = done.clone();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(aside(stop, progress, what, &ended));
        });
        Aside { done, thread: Some(thread) }
    }
}

impl Drop for Aside {
    fn drop(&mut self) {
        self.done.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // It only shows; what it could not show is no loss.
            let _ = thread.join();
        }
    }
}

async fn aside(stop: watch::Sender<bool>, progress: Progress, what: String, done: &AtomicBool) {
    let (since, shows) = (Instant::now(), std::io::stderr().is_terminal());
    while !done.load(Ordering::Relaxed) {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(100)) => {}
            // A run that has ended has nobody to be told.
            _ = tokio::signal::ctrl_c() => { let _ = stop.send(true); }
        }
        if shows {
            let (over, acked) = (progress.0.0.load(Ordering::Relaxed), progress.0.1.load(Ordering::Relaxed));
            let _ = write!(
                std::io::stderr(),
                "\r{what} {:.0} s  over {over}  acked {acked}   ",
                since.elapsed().as_secs_f64()
            );
        }
    }
    if shows {
        let _ = writeln!(std::io::stderr());
    }
}

fn time(text: &str) -> Result<Duration, String> {
    fallgap_operator::time_in_words(text)
        .ok_or_else(|| format!("{text:?}: expected a time with its unit, as 30s"))
}

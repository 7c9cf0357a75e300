//! A load run: workers on threads of their own, each with its part of the schedule.

use crate::arrivals::{Kind, Op};
use crate::clients::Clients;
use crate::drive::{self, Target};
use crate::engine::Engine;
use crate::ledger::Ledger;
use crate::targets::framed::Framed;
use crate::targets::http::Http;
use crate::trace::export::Export;
use crate::watched::{Progress, Recorded, Sent, Watched};
use std::fs::File;
use std::io::BufWriter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Barrier, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Where ops go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Goal {
    Http(String),
    Framed(SocketAddr),
}

impl std::str::FromStr for Goal {
    type Err = String;

    fn from_str(text: &str) -> Result<Goal, String> {
        let expected = || format!("{text:?}: expected http://HOST:PORT/PATH or framed://ADDR:PORT");
        match text.split_once("://") {
            Some(("http", _)) => Ok(Goal::Http(text.into())),
            Some(("framed", at)) => at.parse().map(Goal::Framed).map_err(|_| expected()),
            _ => Err(expected()),
        }
    }
}

/// How a run is driven.
#[derive(Clone, Debug)]
pub struct Run {
    pub goal: Goal,
    pub kinds: Vec<Kind>,
    pub clients: Clients,
    pub workers: u64,
    /// Connections of each worker.
    pub connections: usize,
    /// Ops of each worker that may be under way.
    pub most_pending: usize,
    pub phases: Vec<Duration>,
    pub seed: u64,
    /// Each op's end is kept.
    pub records: bool,
    /// Where what was sent is written; a worker's number is added where there are several.
    pub export: Option<PathBuf>,
}

/// What came of a run.
pub struct Came {
    pub ledger: Ledger,
    pub strays: u64,
    pub records: Vec<Recorded>,
    /// What all times are since.
    pub start: Instant,
    pub took: Duration,
    /// Why what was sent could not be written.
    pub export_failed: Option<String>,
}

impl Came {
    /// The generator's own lateness at this part of the ops.
    pub fn lateness(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.ledger.lateness.value_at_quantile(quantile))
    }
}

/// All workers start together, when every one's connections are open.
struct Gate {
    all: Barrier,
    start: OnceLock<Instant>,
}

impl Gate {
    fn open(&self) -> Instant {
        self.all.wait();
        self.open_at()
    }
    fn open_at(&self) -> Instant {
        *self.start.get_or_init(|| Instant::now() + Duration::from_millis(20))
    }
}

/// Plays a run to its end, or until `stop` says so. `schedule` makes a worker's part of the ops.
pub fn play<I: Iterator<Item = Op> + 'static>(
    run: &Run, schedule: impl Fn(u64) -> I + Send + Sync, stop: &watch::Receiver<bool>, progress: &Progress,
) -> Came {
    let gate = Gate { all: Barrier::new(run.workers.max(1) as usize), start: OnceLock::new() };
    let parts: Vec<Came> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..run.workers.max(1))
            .map(|worker| {
                let (schedule, gate, stop, progress) = (&schedule, &gate, stop.clone(), progress.clone());
                scope.spawn(move || {
                    let system = actix_rt::System::new();
                    system.block_on(work(run, worker, schedule(worker), stop, progress, gate))
                })
            })
            .collect();
        workers.into_iter().map(|worker| worker.join().expect("a worker ends")).collect()
    });
    let (ledger, records, export_failed) = (Ledger::new(run.phases.clone()), Vec::new(), None);
    let start = gate.open_at();
    let mut all = Came { ledger, strays: 0, records, start, took: start.elapsed(), export_failed };
    for part in parts {
        all.ledger.merge(&part.ledger);
        all.strays += part.strays;
        all.records.extend(part.records);
        all.export_failed = all.export_failed.or(part.export_failed);
    }
    all
}

async fn work<I: Iterator<Item = Op>>(
    run: &Run, worker: u64, schedule: I, stop: watch::Receiver<bool>, progress: Progress, gate: &Gate,
) -> Came {
    match &run.goal {
        Goal::Http(url) => {
            let target = Http::open(url, run.connections, run.kinds.clone());
            with(run, worker, schedule, target, stop, progress, gate).await
        }
        Goal::Framed(at) => {
            let target = Framed::open(*at, run.connections, run.kinds.clone());
            with(run, worker, schedule, target, stop, progress, gate).await
        }
    }
}

async fn with<I: Iterator<Item = Op>, T: Target>(
    run: &Run, worker: u64, schedule: I, target: T, stop: watch::Receiver<bool>, progress: Progress,
    gate: &Gate,
) -> Came {
    let ledger = Ledger::new(run.phases.clone());
    let seed = run.seed ^ worker;
    let mut engine = Engine::new(schedule, run.kinds.clone(), run.clients, ledger, run.most_pending, seed);
    let mut target = Watched::new(target, progress);
    target.records = run.records.then(Vec::new);
    match run.export.as_ref().map(|path| export(path, worker, run.workers)) {
        Some(Ok(export)) => target.export = Some((export, run.kinds.clone())),
        Some(Err(e)) => target.export_failed = Some(e),
        None => {}
    }
    drive::ready(&target).await;
    let start = gate.open();
    tokio::time::sleep(start.saturating_duration_since(Instant::now())).await;
    drive::drive(&mut engine, &mut target, start, stop).await;
    let ended = target.export.take().map(|(export, _)| export.end());
    let failed = ended.and_then(Result::err).map(|e| e.to_string());
    Came {
        ledger: engine.ledger,
        strays: engine.strays,
        records: target.records.unwrap_or_default(),
        start,
        took: start.elapsed(),
        export_failed: target.export_failed.or(failed),
    }
}

fn export(path: &std::path::Path, worker: u64, workers: u64) -> Result<Sent, String> {
    let mut path = path.to_owned();
    if workers > 1 {
        path.as_mut_os_string().push(format!(".{worker}"));
    }
    let file = File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Export::start(Box::new(BufWriter::new(file)) as Box<dyn std::io::Write>).map_err(|e| e.to_string())
}

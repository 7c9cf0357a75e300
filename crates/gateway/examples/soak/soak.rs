//! One run: a fleet, its traffic, its troubles, and what may not have been.

use crate::history::History;
use crate::traffic::{self, Shared, configuration};
use crate::troubles::{DISKS, Troubles};
use fallgap_test_support::gateway::{Landing, call};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 8;
const CALLERS: u64 = 3;
const SERVERS: u64 = 3;
/// All is well again by then after the last trouble.
const RECOVERS: Duration = Duration::from_secs(30);

/// What is to be run.
pub struct Plan {
    pub seed: u64,
    pub time: Duration,
    pub processes: usize,
    pub program: PathBuf,
    /// Of the loopback network 127.x.y.
    pub net: [u8; 3],
}

/// What came of it.
pub struct Outcome {
    pub breaches: Vec<String>,
    pub summary: String,
    pub troubles: Vec<String>,
}

/// # Errors
/// The fleet cannot be started.
pub fn run(plan: &Plan) -> std::io::Result<Outcome> {
    let disks: Vec<bool> = (0..plan.processes.max(DISKS)).map(|at| at < DISKS).collect();
    let folder = std::env::temp_dir().join(format!("gateway-soak-{}-{}", std::process::id(), plan.seed));
    let mut fleet = Landing::open(Path::new(&plan.program), &folder, plan.net, &["a", "b"], &disks)?;
    fleet.bounds.push("revoked=true".into());
    fleet.start_all(true)?;
    let shared = Shared {
        seed: plan.seed,
        history: Arc::new(History::default()),
        ends: Arc::new(AtomicBool::new(false)),
        fronts: Arc::new(fleet.machines.iter().map(|machine| machine.front()).collect()),
        controls: Arc::new(fleet.controls()),
    };
    let mut troubles = Troubles::new(fleet, shared.clone(), SERVERS);
    let ready = |troubles: &Troubles| troubles.fleet.machines.iter().all(|machine| machine.is_ready());
    waits(&shared, "the first edition is taken", || {
        let control = shared.controls.first().copied();
        control
            .and_then(|at| call(at, "POST", "/-/config/put", &configuration(1)))
            .is_some_and(|reply| reply.status == 200)
    });
    waits(&shared, "all are ready", || ready(&troubles));
    let clients = (0..CLIENTS).map(|number| traffic::client(shared.clone(), number));
    let callers = (0..CALLERS).map(|number| traffic::caller(shared.clone(), number));
    let threads: Vec<_> = clients.chain(callers).chain([traffic::operator(shared.clone())]).collect();
    let mut rng = fastrand::Rng::with_seed(plan.seed.rotate_left(17));
    let end = Instant::now() + plan.time;
    let mut next = Instant::now();
    while Instant::now() < end {
        if Instant::now() >= next {
            next += Duration::from_millis(rng.u64(100..900));
            troubles.strike();
        }
        troubles.attend();
        std::thread::sleep(Duration::from_millis(5));
    }
    troubles.calm();
    waits(&shared, "all are ready again", || ready(&troubles));
    shared.ends.store(true, Relaxed);
    for thread in threads {
        if thread.join().is_err() {
            shared.history.breach("a thread of the soak failed".into());
        }
    }
    let wanted = shared.history.newest_edition();
    waits(&shared, "the newest edition is there", || {
        let held = shared.controls.first().and_then(|at| call(*at, "GET", "/-/config/get", ""));
        let edition =
            held.and_then(|reply| reply.text().split_once("\"edition\":").map(|(_, rest)| rest.to_owned()));
        let edition = edition.and_then(|rest| rest.split(',').next()?.trim().parse::<u64>().ok());
        edition.is_some_and(|edition| edition >= wanted)
    });
    let (breaches, summary) = (shared.history.breaches(), shared.history.summary());
    Ok(Outcome { breaches, summary, troubles: troubles.told })
}

/// Looks until it is so; a breach if it does not come about.
fn waits(shared: &Shared, what: &str, is_so: impl Fn() -> bool) {
    let end = Instant::now() + RECOVERS;
    while !is_so() {
        if Instant::now() >= end {
            return shared.history.breach(format!("RECOVER: in vain: {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

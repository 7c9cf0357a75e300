//! One run: a variant with a seed, from the first op to what it showed.

use super::file::{Experiment, Variant};
use super::proxies::{Proxies, Tables};
use super::result::{ByType, Mark, Shown, Tick, figures, ms};
use super::world::{Peers, report, servers, tell_the_list};
use crate::arrivals::{Kind, Schedule};
use crate::checks::{RULES, Watch};
use crate::drive;
use crate::emulated::{Doubled, Effects};
use crate::engine::Engine;
use crate::ledger::Ledger;
use crate::watched::{Progress, Watched};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time for everything to be in place before the first op.
const SETUP: Duration = Duration::from_secs(3);
/// A run whose ops left later than this, at the 99.9th percentile, shows nothing.
pub const LATE: Duration = Duration::from_millis(20);
const MOST_PENDING: usize = 200_000;

/// Plays one run.
///
/// # Errors
/// If something of it could not be set up.
pub async fn run(
    experiment: &Experiment, variant: &Variant, seed: u64, stop: watch::Receiver<bool>, progress: Progress,
) -> std::io::Result<Shown> {
    let start = Instant::now() + SETUP;
    let kinds: Vec<Kind> = experiment.ops.iter().map(|op| op.kind.clone()).collect();
    let names: Vec<String> = experiment.servers.iter().map(|server| server.name.clone()).collect();
    let fleet = servers(experiment, seed, start).await?;
    let peers = Peers::open(experiment).await?;
    let tables = match &variant.program {
        Some(_) => Tables::Ordered(peers.relay.clone()),
        None => Tables::Even(Rc::new(RefCell::new(vec![true; names.len()]))),
    };
    let watching = Rc::new(RefCell::new(Watch::new(experiment.bounds)));
    let (zones, per_zone) = (experiment.zones.len() as u16, experiment.proxies as u64);
    let proxies = Proxies::open(
        kinds.clone(),
        zones,
        per_zone,
        &names,
        fleet.servers.clone(),
        &fleet.at,
        tables.clone(),
        watching.clone(),
        seed,
    );
    let mut target = Watched::new(proxies, progress);
    drive::ready(&target).await;
    let mut supervisor = None;
    if let Some(program) = &variant.program {
        let (process, at) = peers.supervise(experiment, variant, program, seed, start).await?;
        let all = u64::from(zones) * per_zone;
        let streams = experiment.streams.len().max(1) as f64;
        for proxy in 0..all {
            let zone = &experiment.zones[usize::from(target.inner.zone_of(proxy))];
            // What it will bring, roughly: the first moment's rate.
            let first: f64 = experiment.streams.iter().map(|s| s.shape.walk(seed).rate(Duration::ZERO)).sum();
            peers.relay.join(proxy, zone, first / streams / per_zone as f64, true);
        }
        let bound = peers.relay.until(|relay| relay.bound.borrow().len() as u64 == all);
        let late = |_| std::io::Error::other("the supervisor gave proxies no tables");
        timeout(SETUP, bound).await.map_err(late)?;
        let (sums, lines) = (target.inner.sums.clone(), target.inner.lines.clone());
        actix_rt::spawn(report(experiment.clone(), sums, lines, at));
        supervisor = Some(process);
    }
    if Instant::now() > start {
        return Err(std::io::Error::other("setting up took longer than it may"));
    }
    sleep(start.saturating_duration_since(Instant::now())).await;
    let list =
        tell_the_list(experiment.clone(), peers.discovery.clone(), tables.clone(), watching.clone(), start);
    let list = actix_rt::spawn(list);
    let ticks: Rc<RefCell<Vec<Vec<f64>>>> = Rc::default();
    let looking = actix_rt::spawn(look(fleet.servers.clone(), ticks.clone(), start));
    let schedule = Schedule::new(kinds.clone(), &experiment.streams, experiment.duration, seed);
    let ledger = Ledger::new(experiment.phases.clone());
    let mut engine = Engine::new(schedule, kinds, experiment.clients, ledger, MOST_PENDING, seed);
    drive::drive(&mut engine, &mut target, start, stop).await;
    let seconds = start.elapsed().as_secs_f64();
    list.abort();
    looking.abort();
    let mut effects = Effects::default();
    for (name, server) in names.iter().zip(&fleet.servers) {
        effects.take(name, &server.machine.borrow().truth);
    }
    let by_proxies = &target.inner.by_proxies;
    let of_proxies = |d: &&Doubled| d.tries.iter().any(|frame| by_proxies.contains(&(d.id, *frame)));
    let doubled = effects.doubled();
    let theirs: Vec<Doubled> = doubled.iter().filter(of_proxies).cloned().collect();
    watching.borrow_mut().doubled(start.elapsed(), &theirs);
    let mut marks = fault_marks(experiment);
    if let Some(supervisor) = &supervisor {
        marks.extend(supervisor.said.lock().expect("no thread has failed").iter().cloned());
    }
    marks.sort_by_key(|mark| mark.at_ms);
    let ticks = std::mem::take(&mut *ticks.borrow_mut());
    let watching = watching.borrow();
    let (ledger, by_clients) = (&engine.ledger, doubled.len() - theirs.len());
    Ok(shown(experiment, variant, seed, seconds, ledger, &watching, ticks, marks, by_clients))
}

/// What all parts saw, put together.
#[allow(clippy::too_many_arguments)]
fn shown(
    experiment: &Experiment, variant: &Variant, seed: u64, seconds: f64, ledger: &Ledger, watching: &Watch,
    busy: Vec<Vec<f64>>, marks: Vec<Mark>, by_clients: usize,
) -> Shown {
    let worth: Vec<(f64, Duration)> = experiment.ops.iter().map(|op| (op.value, op.target_latency)).collect();
    let lateness = Duration::from_micros(ledger.lateness.value_at_quantile(0.999));
    let by_type = ledger.tallies.iter().map(|((kind, phase), tally)| ByType {
        name: experiment.ops.get(usize::from(*kind)).map_or(String::new(), |op| op.kind.name.clone()),
        phase: *phase,
        intended: tally.intended,
        acked: tally.acked,
        rejected: tally.rejected,
        aborted: tally.aborted,
        unsent: tally.unsent,
        p50_ms: ms(&tally.all, 0.5),
        p99_ms: ms(&tally.all, 0.99),
    });
    let ticks = ledger.seconds.iter().enumerate().map(|(i, second)| Tick {
        offered: second.intended,
        acked: second.acked,
        rejected: second.rejected,
        lost: second.lost,
        p50_ms: ms(&second.acks, 0.5),
        p99_ms: ms(&second.acks, 0.99),
        busy: busy.get(i).cloned().unwrap_or_default(),
    });
    let broken = watching.broken.iter();
    let broken = broken.map(|b| format!("{:.2} s: {}: {}", b.at.as_secs_f64(), b.rule.name(), b.what));
    Shown {
        variant: variant.name.clone(),
        seed,
        seconds,
        figures: figures(ledger, &worth, watching),
        by_type: by_type.collect(),
        ticks: ticks.collect(),
        servers: experiment.servers.iter().map(|server| server.name.clone()).collect(),
        marks,
        rules: RULES
            .iter()
            .map(|r| (r.name().to_owned(), watching.counts.get(r).copied().unwrap_or(0)))
            .collect(),
        broken: broken.collect(),
        within_grace: watching.within_grace,
        doubled_by_clients: by_clients as u64,
        lateness_p999_ms: lateness.as_secs_f64() * 1e3,
        valid: lateness <= LATE,
    }
}

fn fault_marks(experiment: &Experiment) -> Vec<Mark> {
    let end = experiment.duration;
    let mut marks = Vec::new();
    for server in &experiment.servers {
        for fault in &server.faults {
            let mut mark = |at: Duration, what: String| {
                if at < end {
                    marks.push(Mark { at_ms: at.as_millis() as u64, who: server.name.clone(), what });
                }
            };
            mark(fault.from, format!("{:?} begins", fault.what));
            mark(fault.to, format!("{:?} ends", fault.what));
        }
    }
    marks
}

/// Each second: how busy each server was.
async fn look(
    servers: Vec<Rc<crate::emulated::shell::Server>>, ticks: Rc<RefCell<Vec<Vec<f64>>>>, start: Instant,
) {
    for second in 1.. {
        sleep((start + Duration::from_secs(second)).saturating_duration_since(Instant::now())).await;
        let now = start.elapsed();
        let busy = servers.iter().map(|server| server.machine.borrow_mut().true_busy(now));
        ticks.borrow_mut().push(busy.collect());
    }
}

//! Everything round the proxies: servers, discovery, relay, collectors, and a real supervisor as a process.

use super::file::{Experiment, Variant};
use super::result::Mark;
use crate::checks::Watch;
use crate::emulated::shell::Server;
use crate::emulated::{Machine, Script, What};
use crate::experiment::proxies::{Sums, Tables};
use crate::targets::framed::Line;
use fallgap::Repeats;
use fallgap_test_support::Listener;
use fallgap_test_support::collector::{Collector, ping};
use fallgap_test_support::discovery::Discovery;
use fallgap_test_support::relay::Relay;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::{sleep, timeout};

const MS: Duration = Duration::from_millis(1);

/// How long after a crash the list says so.
const NOTICED: Duration = Duration::from_millis(1000);

/// Servers on sockets, all times since the start of the run.
pub struct Servers {
    pub servers: Vec<Rc<Server>>,
    pub at: Vec<SocketAddr>,
}

pub async fn servers(experiment: &Experiment, seed: u64, start: Instant) -> std::io::Result<Servers> {
    let (mut servers, mut at) = (Vec::new(), Vec::new());
    for (i, made) in experiment.servers.iter().enumerate() {
        let machine =
            Machine::new(made.make.clone(), Script::new(made.faults.clone()), None, seed ^ (i as u64) << 32);
        let server = Server::new(machine, start);
        at.push(server.framed("127.0.0.1:0").await?);
        servers.push(server);
    }
    Ok(Servers { servers, at })
}

/// A supervisor's program at work; ended with it.
pub struct Supervisor {
    child: Child,
    file: PathBuf,
    pub said: Arc<Mutex<Vec<Mark>>>,
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The peers of a supervisor.
pub struct Peers {
    pub relay: Rc<Relay>,
    pub discovery: Rc<Discovery>,
    relay_at: SocketAddr,
    discovery_at: SocketAddr,
}

impl Peers {
    pub async fn open(experiment: &Experiment) -> std::io::Result<Peers> {
        let (relay, discovery) = (Rc::new(Relay::default()), Rc::new(Discovery::default()));
        for server in &experiment.servers {
            discovery.set(&server.name, &experiment.zones[usize::from(server.zone)], "ready", 0);
        }
        let (to_relay, to_list) =
            (Listener::open("127.0.0.1:0").await?, Listener::open("127.0.0.1:0").await?);
        let (relay_at, discovery_at) = (to_relay.address, to_list.address);
        actix_rt::spawn(relay.clone().serve(to_relay));
        actix_rt::spawn(discovery.clone().serve(to_list));
        Ok(Peers { relay, discovery, relay_at, discovery_at })
    }

    /// Starts a supervisor and waits until it answers.
    pub async fn supervise(
        &self, experiment: &Experiment, variant: &Variant, program: &PathBuf, seed: u64, start: Instant,
    ) -> std::io::Result<(Supervisor, SocketAddr)> {
        let own = Listener::open("127.0.0.1:0").await?.address;
        let proxies = experiment.zones.len() * experiment.proxies;
        let configuration = json!({
            "name": "lab", "listen": own, "discovery": self.discovery_at, "store": { "address": self.relay_at },
            "seed": format!("{seed:x}"), "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024 },
            "peers": [], "known": { "version": 0, "full": true, "servers": [] },
            "settings": settings(experiment, proxies),
        });
        let file = std::env::temp_dir().join(format!(
            "fallgap-lab-{}-{}-{seed}.json",
            std::process::id(),
            variant.name
        ));
        std::fs::write(&file, configuration.to_string())?;
        let mut command = Command::new(program);
        command
            .args(["--log", "json"])
            .env("NODE_CONFIG", &file)
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        command.env_remove("NODE_OPERATOR");
        if let Some(operator) = &variant.operator {
            command.env("NODE_OPERATOR", operator);
        }
        let mut child = command.spawn()?;
        let said: Arc<Mutex<Vec<Mark>>> = Arc::default();
        let lines = child.stderr.take().map(BufReader::new);
        let hears = said.clone();
        std::thread::spawn(move || {
            for line in lines.into_iter().flat_map(BufRead::lines).map_while(Result::ok) {
                hears.lock().expect("no thread has failed").extend(mark(&line, start));
            }
        });
        let supervisor = Supervisor { child, file, said };
        let answers = async {
            while !ping(own).await {
                sleep(MS * 20).await;
            }
        };
        let failed = |_| std::io::Error::other(format!("{} does not answer", program.display()));
        timeout(Duration::from_secs(5), answers).await.map_err(failed)?;
        Ok((supervisor, own))
    }
}

/// A change of mode that the supervisor's log tells; the rest of its lines is none.
fn mark(line: &str, start: Instant) -> Option<Mark> {
    let line: Value = serde_json::from_str(line).ok()?;
    let what = line["message"].as_str()?.to_owned();
    if what.contains("serves at") || what.starts_with("counts:") || what.starts_with("ends on") {
        return None;
    }
    Some(Mark { at_ms: start.elapsed().as_millis() as u64, who: "supervisor".into(), what })
}

fn settings(experiment: &Experiment, proxies: usize) -> Value {
    let class = |op: &super::file::OpKind| {
        let idempotency = match op.kind.repeats {
            Repeats::Retryable => "retryable",
            Repeats::Deduplicated { .. } => "deduplicated",
            Repeats::OnceOnly => "fragile",
        };
        json!({ "name": op.kind.name, "worth": op.value, "aim": op.target_latency.as_millis() as u64,
            "deadline": op.kind.timeout.as_millis() as u64, "idempotency": idempotency })
    };
    let cold = experiment.servers.iter().map(|s| s.make.cold.1.as_millis() as u64).max().unwrap_or(0);
    let from = experiment.servers.iter().map(|s| s.make.cold.0).fold(1.0, f64::min);
    let (messages, over) = experiment.bounds.messages;
    let grace = experiment.bounds.grace.as_millis() as u64;
    json!({
        "balancers": 1, "me": 0, "zones": experiment.zones,
        "classes": experiment.ops.iter().map(class).collect::<Vec<_>>(),
        "discovery": "pushed", "period": 4, "weights": "rough",
        "telemetry": { "via": "piggyback", "fields": ["cpu", "active"] },
        "rules": { "cold": cold, "cold_from": from, "drain_grace": grace },
        "caps": { "peers": false, "probes": false },
        "result_mix": { "whole": 0.7, "worst_class": 0.1, "nines": 0.2 },
        "family_info": {
            "admission": "rate", "agents": proxies, "backlog": 4000, "base_mode": 1, "envelope": 10,
            "homed_by_zone": true, "home_only": vec![false; experiment.ops.len()], "interval": 1000,
            "push_rate": 4000, "pushes_allowed": messages, "update_window": over.as_millis() as u64
        }
    })
}

/// Plays what discovery hears of the servers: drains, crashes and returns. Without a supervisor, proxies read the
/// list themselves.
pub async fn tell_the_list(
    experiment: Experiment, discovery: Rc<Discovery>, tables: Tables, watch: Rc<RefCell<Watch>>,
    start: Instant,
) {
    let mut turns: Vec<(Duration, usize, &'static str)> = Vec::new();
    for (i, server) in experiment.servers.iter().enumerate() {
        for fault in &server.faults {
            match fault.what {
                What::Drain => turns.extend([(fault.from, i, "draining"), (fault.to, i, "ready")]),
                What::Crash => turns.extend([(fault.from + NOTICED, i, "gone"), (fault.to, i, "ready")]),
                _ => {}
            }
        }
    }
    turns.sort();
    for (at, server, state) in turns {
        sleep((start + at).saturating_duration_since(Instant::now())).await;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = if state == "ready" { since_epoch.as_millis() as u64 } else { 0 };
        let made = &experiment.servers[server];
        discovery.set(&made.name, &experiment.zones[usize::from(made.zone)], state, started);
        watch.borrow_mut().told(start.elapsed(), server, state == "ready");
        if let Tables::Even(ready) = &tables {
            ready.borrow_mut()[server] = state == "ready";
        }
    }
}

/// Forwards each second's sums as collectors do, one for each zone.
pub async fn report(
    experiment: Experiment, sums: Rc<RefCell<Sums>>, lines: Vec<Vec<Rc<Line>>>, supervisor: SocketAddr,
) -> std::io::Result<()> {
    let mut collectors = Vec::new();
    for zone in &experiment.zones {
        collectors.push(Collector::connect(supervisor, zone).await?);
    }
    loop {
        sleep(MS * 1000).await;
        let Sums { met, came } = std::mem::take(&mut *sums.borrow_mut());
        for ((zone, server), met) in met {
            let good = met.tries - met.failed;
            let mean = met.good_ms / good.max(1) as f64;
            // The newest that any proxy was told: one that sends nothing there any more holds an old one.
            let load = lines.iter().filter_map(|line| line[server].load.get()).max_by_key(|(at, _, _)| *at);
            let load = load.map_or(String::new(), |(_, active, busy)| {
                format!(" load util:{:.3},inflight:{active}", f64::from(busy) / 1e3)
            });
            let (zone_name, name) = (&experiment.zones[usize::from(zone)], &experiment.servers[server].name);
            let (tries, failed) = (met.tries, met.failed);
            let report = format!(
                "heard zone {zone_name} server {name} tries {tries} failed {failed} mean_ms {mean:.3} span_ms 1000.0{load}"
            );
            collectors[usize::from(zone)].say(&report).await?;
        }
        for ((proxy, kind), (tries, failed)) in came {
            let name = &experiment.ops[usize::from(kind)].kind.name;
            let report =
                format!("usage proxy {proxy} class {name} tries {tries} failed {failed} span_ms 1000.0");
            let zone = (proxy as usize / experiment.proxies).min(collectors.len() - 1);
            collectors[zone].say(&report).await?;
        }
    }
}

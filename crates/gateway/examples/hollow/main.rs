//! A hollow fleet on this machine's loopback addresses: keepers and homes are real processes of the program with real
//! disks; hundreds of supervisors are hollow, with the program's own beacon and links, several hundred to a
//! process, and thousands of servers are nothing but their beats. It brings them up in steps, so that the cost of
//! each step can be told from the one before it, and prints `figure NAME VALUE`. Bounded in count and in time, and
//! all that it started ends with it.

#[path = "../beside/mod.rs"]
mod beside;
mod crew;
mod echo;
mod fleet;
mod node;

use beside::beside;
use clap::{Parser, Subcommand};
use fleet::{Fleet, Outcome, Usage};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const SERVICES: usize = 330;
const ZONES: usize = 10;
/// All ends after that.
const MOST: u64 = 240;
/// Memory of all processes together, in kB: over it the run is given up.
const MEMORY: u64 = 12 << 20;

#[derive(Parser)]
#[command(about = "Real keepers and a hollow fleet on loopback addresses")]
struct Asked {
    #[command(subcommand)]
    verb: Option<Verb>,
    /// Hollow supervisors
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(7..=1010))]
    nodes: u64,
    /// Servers that are only their beats
    #[arg(long, default_value_t = 1380, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    servers: u64,
    #[arg(long, default_value_t = 310, value_parser = clap::value_parser!(u64).range(1..=4000))]
    routes: u64,
    #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u64).range(1..=7))]
    keepers: u64,
    /// Processes that hold the hollow ones
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=8))]
    crews: u64,
    /// How long each step is looked at, in seconds
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(2..=30))]
    span: u64,
    /// Milliseconds between two starts of supervisors of one process
    #[arg(long, default_value_t = 150)]
    pace: u64,
    /// Servers that each supervisor tells of in a second
    #[arg(long, default_value_t = 86)]
    reports: u64,
    /// The program, if it is not beside this example
    #[arg(long)]
    program: Option<PathBuf>,
    /// Print what keepers logged at the end
    #[arg(long)]
    log: bool,
}

#[derive(Subcommand)]
enum Verb {
    /// A process of hollow supervisors
    #[command(hide = true)]
    Crew(crew::Crew),
    /// A process that ends the keepers if their parent is killed
    #[command(hide = true)]
    Guard { folder: String, ids: Vec<u32> },
}

fn main() -> Outcome<()> {
    let asked = Asked::parse();
    match asked.verb {
        Some(Verb::Crew(crew)) => return crew::run(crew),
        Some(Verb::Guard { folder, ids }) => {
            fleet::guard(&folder, &ids);
            return Ok(());
        }
        None => {}
    }
    let ended = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, ended.clone())?;
    }
    let program = match &asked.program {
        Some(program) => program.clone(),
        None => beside()?,
    };
    let id = std::process::id();
    let folder = std::env::temp_dir().join(format!("gateway-hollow-{id}"));
    let fleet = Fleet::open(&program, &folder, 90 + (id % 100) as u8, asked.keepers as usize)?;
    let mut run = Run { asked, fleet, ended, began: Instant::now(), edition: 0 };
    let played = run.play();
    if run.asked.log {
        print!("{}", run.fleet.logs());
    }
    played
}

struct Run {
    asked: Asked,
    fleet: Fleet,
    ended: Arc<AtomicBool>,
    began: Instant,
    edition: u64,
}

/// What stood when a span began.
struct Mark {
    at: Instant,
    usage: BTreeMap<usize, Usage>,
    sums: [u64; 11],
}

impl Run {
    fn figure(&self, what: &str, value: f64) {
        println!("figure {what}_n{} {value:.2}", self.asked.nodes);
    }

    fn wait(&self, time: Duration) -> Outcome<()> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.ended.load(Relaxed) {
                return Err("told to end".into());
            }
            if self.began.elapsed() > SECOND * MOST as u32 {
                return Err("it takes too long".into());
            }
            std::thread::sleep(SECOND / 50);
        }
        if self.fleet.resident() > MEMORY {
            return Err("it takes too much memory".into());
        }
        Ok(())
    }

    fn until(&self, what: &str, most: Duration, so: impl Fn(&fleet::Told) -> bool) -> Outcome<Duration> {
        let began = Instant::now();
        while !so(&self.fleet.told()) {
            if began.elapsed() > most {
                return Err(format!("{what}: not within {most:?}, {:?}", self.fleet.told()).into());
            }
            self.wait(SECOND / 20)?;
        }
        Ok(began.elapsed())
    }

    fn mark(&self) -> Mark {
        Mark { at: Instant::now(), usage: self.fleet.usage(), sums: self.fleet.told().sums }
    }

    /// What keepers and hollow ones took since a mark, each second.
    fn since(&self, what: &str, mark: &Mark) {
        let span = mark.at.elapsed().as_secs_f64();
        let now = self.fleet.usage();
        let mut ran: Vec<(f64, f64, u64, u64)> = now
            .iter()
            .filter_map(|(at, now)| {
                let before = mark.usage.get(at)?;
                let all = (now.all() - before.all()) / span * 100.0;
                Some((all, (now.engine() - before.engine()) / span * 100.0, now.resident, now.most))
            })
            .collect();
        ran.sort_by(|a, b| a.0.total_cmp(&b.0));
        let Some(most) = ran.last() else { return };
        let mean = |of: fn(&(f64, f64, u64, u64)) -> f64| ran.iter().map(of).sum::<f64>() / ran.len() as f64;
        self.figure(&format!("{what}_keeper_processor_percent"), mean(|ran| ran.0));
        self.figure(&format!("{what}_keeper_processor_percent_busiest"), most.0);
        self.figure(&format!("{what}_keeper_processor_percent_engine"), mean(|ran| ran.1));
        let mb = |kb: f64| kb / 1024.0;
        self.figure(&format!("{what}_keeper_resident_mb"), mb(mean(|ran| ran.2 as f64)));
        let anonymous = now.values().map(|usage| usage.anonymous).sum::<u64>() as f64 / now.len() as f64;
        self.figure(&format!("{what}_keeper_anonymous_mb"), mb(anonymous));
        let largest = ran.iter().map(|ran| ran.3).max().unwrap_or_default();
        self.figure(&format!("{what}_keeper_resident_mb_most"), mb(largest as f64));
        let sums = self.fleet.told().sums;
        let names = [
            "out_words",
            "out_bytes",
            "in_words",
            "in_bytes",
            "wholes",
            "whole_bytes",
            "deltas",
            "delta_bytes",
            "datagrams_in",
            "datagrams_out",
            "datagram_bytes_out",
        ];
        for ((name, now), before) in names.into_iter().zip(sums).zip(mark.sums) {
            self.figure(
                &format!("{what}_hollow_{name}_a_second_each"),
                (now - before) as f64 / span / self.asked.nodes as f64,
            );
        }
    }

    /// Hands a configuration in; the time until it was acknowledged and until all hollow ones had it, in ms.
    fn configure(&mut self, moved: usize) -> Outcome<(f64, f64)> {
        self.edition += 1;
        let edition = self.edition;
        let text = configuration(edition, self.asked.routes as usize, moved);
        let agent = ureq::Agent::config_builder().timeout_global(Some(SECOND * 2)).build().new_agent();
        let (began, wall) = (Instant::now(), crew::wall_ms());
        for at in (0..self.fleet.keepers.len()).cycle() {
            let url = format!("http://{}/-/config/put", self.fleet.control(at));
            match agent.post(url).content_type("application/json").send(&text) {
                Ok(_) => break,
                Err(e) if began.elapsed() > SECOND * 20 => return Err(e.into()),
                // Nobody listens yet, or they have not found each other.
                Err(_) => self.wait(SECOND / 20)?,
            }
        }
        let kept = began.elapsed().as_secs_f64() * 1e3;
        if self.fleet.told().there > 0 {
            self.until("an edition", SECOND * 30, |told| told.editions.contains_key(&edition))?;
        }
        let last = self.fleet.told().editions.get(&edition).map_or(wall, |at| *at);
        Ok((kept, last.saturating_sub(wall) as f64))
    }

    fn play(&mut self) -> Outcome<()> {
        let (nodes, servers, keepers) = (self.asked.nodes, self.asked.servers, self.asked.keepers as usize);
        let span = SECOND * self.asked.span as u32;
        (0..keepers).try_for_each(|at| self.fleet.start_keeper(at, true))?;
        println!("keepers {:?}", self.fleet.ids());
        self.configure(0)?;
        self.wait(SECOND * 6)?;
        let mark = self.mark();
        self.wait(span)?;
        self.since("keepers_alone", &mark);

        let crews = self.asked.crews;
        for crew in 0..crews {
            let args = [
                ("first", nodes * crew / crews),
                ("last", nodes * (crew + 1) / crews),
                ("net", u64::from(90 + (std::process::id() % 100) as u8)),
                ("port", u64::from(self.fleet.ports[1])),
                ("keepers", self.asked.keepers),
                ("crews", crews),
                ("crew", crew),
                ("servers", servers),
                ("services", SERVICES as u64),
                ("zones", ZONES as u64),
                ("seconds", MOST),
            ];
            let args: Vec<String> = args
                .into_iter()
                .flat_map(|(name, figure)| [format!("--{name}"), figure.to_string()])
                .collect();
            self.fleet.start_crew(&args)?;
        }
        // A few supervisors hand on the beats of all servers, and a few tables are told: what beats cost.
        let few = (4 * crews).min(nodes) as f64 / nodes as f64;
        self.fleet.order(&format!("start {few} 50"))?;
        self.wait(SECOND * 2)?;
        self.fleet.order("beat 1")?;
        let took = self.until("all know the servers", SECOND * 60, move |told| told.known == servers)?;
        self.figure("few_all_servers_known_ms", took.as_secs_f64() * 1e3);
        self.wait(SECOND * 8)?;
        let mark = self.mark();
        self.wait(span)?;
        self.since("few", &mark);

        // The others, one after the other.
        let all = move |told: &fleet::Told| told.there == nodes && told.fresh == nodes && told.least > 0;
        let mark = self.mark();
        self.fleet.order(&format!("start 1 {}", self.asked.pace))?;
        let took = self.until("all follow", SECOND * 90, all)?;
        self.figure("start_all_follow_ms", took.as_secs_f64() * 1e3);
        self.since("start", &mark);
        self.wait(SECOND * 6)?;
        let mark = self.mark();
        self.wait(span)?;
        self.since("beats", &mark);

        self.fleet.order(&format!("report {}", self.asked.reports))?;
        self.wait(SECOND * 8)?;
        let mark = self.mark();
        self.wait(span)?;
        self.since("reports", &mark);

        for (what, moved) in [("change_of_10", 10), ("change_of_a_seventh", self.asked.routes as usize / 7)] {
            let mark = self.mark();
            let (mut kept, mut last) = (Vec::new(), Vec::new());
            for _ in 0..5 {
                let (put, there) = self.configure(moved)?;
                kept.push(put);
                last.push(there);
                self.wait(SECOND)?;
            }
            for (name, mut times) in [("kept", kept), ("last", last)] {
                times.sort_by(f64::total_cmp);
                self.figure(&format!("{what}_{name}_ms"), times[times.len() / 2]);
                self.figure(&format!("{what}_{name}_ms_most"), times[times.len() - 1]);
            }
            self.since(what, &mark);
        }

        let mark = self.mark();
        self.fleet.order("stop 0.5")?;
        self.wait(SECOND / 5)?;
        self.fleet.order("start 1 0")?;
        self.wait(SECOND / 2)?;
        let took = self.until("half come back", SECOND * 40, all)?;
        self.figure("half_back_all_follow_ms", took.as_secs_f64() * 1e3 + 500.0);
        self.wait(SECOND * 3)?;
        self.since("half_back", &mark);

        if keepers > 2 {
            self.wait(SECOND * 3)?;
            let mark = self.mark();
            let victim = keepers - 1;
            self.fleet.kill_keeper(victim);
            // At once: what a caller meets who is told nothing of it.
            let (kept, last) = self.configure(10)?;
            self.figure("keeper_killed_change_kept_ms", kept);
            self.figure("keeper_killed_change_last_ms", last);
            let took = self.until("all follow others", SECOND * 40, all)?;
            self.figure("keeper_killed_all_follow_ms", last + took.as_secs_f64() * 1e3);
            self.wait(SECOND * 3)?;
            self.since("keeper_killed", &mark);
            let mark = self.mark();
            self.fleet.start_keeper(victim, false)?;
            self.wait(SECOND * 8)?;
            self.since("keeper_back", &mark);
        }
        self.figure("all_processes_resident_mb", self.fleet.resident() as f64 / 1024.0);
        Ok(())
    }
}

/// A configuration of the operator: so many routes of tenants; `moved` of them differ with each edition.
fn configuration(edition: u64, routes: usize, moved: usize) -> String {
    let mut text = format!(
        "{{\"edition\":{edition},\"routes\":{{\"fields\":[\"name\",\"depot\",\"lane_prefix\",\
        \"route_class\",\"timeout_s\",\"target_s\",\"priority\",\"attempts\",\"service\"],\"entries\":["
    );
    let mut comma = "";
    for i in 0..routes {
        let drawn = fastrand::Rng::with_seed(i as u64).u32(..);
        let timeout = if i < moved { 1.0 + edition as f64 / 1000.0 } else { 1.0 };
        text += &format!(
            "{comma}[\"{drawn:08x}-lane\",\"tenant-{:05}.example\",\"/v{}/{:06x}/\",\"safe\",{timeout},0.3,1,2,\"service-{:03}\"]",
            i * 16,
            i % 3,
            drawn % (1 << 24),
            i % SERVICES
        );
        comma = ",";
    }
    text += "]},\"services\":{\"fields\":[\"name\",\"health_path\",\"line_cap\"],\"entries\":[";
    let services: Vec<String> =
        (0..SERVICES).map(|i| format!("[\"service-{i:03}\",\"/health\",64]")).collect();
    text += &services.join(",");
    text += "]},\"limits\":{\"header_bytes\":16384,\"body_bytes\":1048576,\"header_s\":3,\"idle_s\":15}}";
    text
}

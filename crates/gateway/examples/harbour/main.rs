//! A small gateway on this machine: four supervisors as processes, three of them with a disk, six stand-in servers
//! that beat, and four clients. Each second it prints what was served and refused, and which edition is in force.
//! `--kill` ends one supervisor hard on the way and starts it again. All ends with it, at 60 s at the latest.

#[path = "../beside/mod.rs"]
mod beside;
mod callers;

use beside::beside;
use callers::{Callers, Sums};
use clap::Parser;
use fallgap_test_support::gateway::{Beating, Does, Landing, Notice, Server, Supervisor, configuration, ok};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::error::Error;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const ZONES: [&str; 2] = ["north", "south"];
const SERVERS: usize = 6;
/// How long a stand-in server works on a request.
const WORK: Duration = Duration::from_millis(4);
/// The machine that is killed, one with a disk; it is down for so long.
const KILLED: usize = 1;
const DOWN: u64 = 3;

#[derive(Parser)]
#[command(about = "A small gateway on loopback addresses")]
struct Asked {
    /// Kill one supervisor on the way, and start it again
    #[arg(long)]
    kill: bool,
    /// How long it runs
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=60))]
    seconds: u64,
    /// Print what the supervisors logged at the end
    #[arg(long)]
    log: bool,
    /// The program, if it is not beside this example
    #[arg(long)]
    program: Option<PathBuf>,
}

type Outcome<T> = Result<T, Box<dyn Error>>;

fn main() -> Outcome<()> {
    let asked = Asked::parse();
    // From here on a signal lets the supervisors end first.
    let ended = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, ended.clone())?;
    }
    let program = match asked.program.clone() {
        Some(program) => program,
        None => beside()?,
    };
    let folder = std::env::temp_dir().join(format!("gateway-harbour-{}", std::process::id()));
    let net = [127, 77, 1 + (std::process::id() % 250) as u8];
    let mut landing = Landing::open(&program, &folder, net, &ZONES, &[true, true, true, false])?;
    landing.start_all(true)?;
    for machine in &landing.machines {
        let disk = if machine.disk { "with a disk" } else { "without a disk" };
        println!(
            "{} in {}, {disk}: front {}, control {}",
            machine.ip,
            machine.zone,
            machine.front(),
            machine.control()
        );
    }
    configure(&landing, 1, ["/lookup/", "/order/"], &ended)?;
    let servers = serve(&landing);
    // Clients are sent only to those that say that they are ready.
    let begun = Instant::now();
    while !landing.machines.iter().all(Supervisor::is_ready) {
        if begun.elapsed() > 15 * SECOND || ended.load(Relaxed) {
            return Err("not all are ready".into());
        }
        std::thread::sleep(SECOND / 20);
    }
    println!("all are ready, {} ms after the servers began to beat", begun.elapsed().as_millis());
    let fronts = landing.machines.iter().map(|machine| machine.front()).collect();
    let callers = Callers::start(fronts, 25);
    let played = play(&mut landing, &asked, &callers, &ended);
    drop(callers);
    drop(servers);
    if asked.log {
        for machine in &landing.machines {
            print!("--- {}\n{}", machine.ip, std::fs::read_to_string(machine.log()).unwrap_or_default());
        }
    }
    played
}

/// Hands a configuration in until one supervisor has taken it.
fn configure(landing: &Landing, edition: u64, prefixes: [&str; 2], ended: &AtomicBool) -> Outcome<()> {
    let agent = ureq::Agent::config_builder().timeout_global(Some(SECOND)).build().new_agent();
    let text = configuration(edition, prefixes);
    let start = Instant::now();
    for control in landing.controls().into_iter().cycle() {
        let put = agent.post(format!("http://{control}/-/config/put")).content_type("application/json");
        match put.send(&text) {
            Ok(_) => break,
            Err(e) if start.elapsed() > 15 * SECOND || ended.load(Relaxed) => return Err(e.into()),
            // Nobody listens yet, or they have not found each other.
            Err(_) => std::thread::sleep(SECOND / 20),
        }
    }
    println!("edition {edition} is kept, {} ms after it was sent first", start.elapsed().as_millis());
    Ok(())
}

fn serve(landing: &Landing) -> Vec<Beating> {
    let one = |at: usize| {
        let server = Server::start(&format!("i-{at}"), |got| {
            std::thread::sleep(WORK);
            Does::Sends(ok(got, "the server's bytes"))
        });
        let notice = Notice::of(&server, "s", ZONES[at % 2], 4);
        let mut controls = landing.controls();
        controls.rotate_left(at % landing.machines.len());
        Beating::start(notice, controls, SECOND / 2)
    };
    (0..SERVERS).map(one).collect()
}

fn play(landing: &mut Landing, asked: &Asked, callers: &Callers, ended: &AtomicBool) -> Outcome<()> {
    let (_hold, pace) = channel();
    let (mut all, start) = (Sums::default(), Instant::now());
    let (killed, back) = (asked.seconds / 3, asked.seconds / 3 + DOWN);
    for second in 1..=asked.seconds {
        if !wait(&pace, start + SECOND * second as u32, ended) {
            break;
        }
        let sums = callers.take();
        all.add(&sums);
        let editions: Vec<String> = landing
            .machines
            .iter()
            .map(|machine| machine.figure("edition").map_or("-".into(), |edition| edition.to_string()))
            .collect();
        println!("{second:>3} s: {sums}; editions {}", editions.join(" "));
        if asked.kill && second == killed {
            println!("{} is killed", landing.machines[KILLED].ip);
            landing.machines[KILLED].signal("KILL");
        }
        if asked.kill && second == back {
            landing.machines[KILLED].wait(SECOND);
            landing.start(KILLED, false)?;
            println!("{} is started again", landing.machines[KILLED].ip);
        }
        if second == asked.seconds * 2 / 3 {
            configure(landing, 2, ["/lookup/", "/order/"], ended)?;
        }
    }
    println!("in all: {all}");
    Ok(())
}

/// Until a moment; `false`: a signal came.
fn wait(pace: &Receiver<()>, until: Instant, ended: &AtomicBool) -> bool {
    while Instant::now() < until && !ended.load(Relaxed) {
        let left = until.saturating_duration_since(Instant::now()).min(SECOND / 10);
        if pace.recv_timeout(left) != Err(RecvTimeoutError::Timeout) {
            break;
        }
    }
    !ended.load(Relaxed)
}

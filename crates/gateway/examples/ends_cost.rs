//! What the acknowledgement of a server's end takes, by one program or by several in turn in the same run: one end after the other,
//! and many at once. Four supervisors as processes, three with a disk. `ends_cost PROGRAM...`

use fallgap_test_support::gateway::{Landing, Supervisor, call};
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Ends one after the other, and at once, in one fleet.
const ALONE: usize = 200;
const AT_ONCE: usize = 16;
const HERDS: usize = 12;
/// Fleets of each program, in turn.
const ROUNDS: usize = 3;
const LONG: Duration = Duration::from_secs(40);

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

#[derive(Default)]
struct Taken {
    alone: Vec<f64>,
    herd: Vec<f64>,
    written: Vec<f64>,
}

/// In milliseconds, until it is acknowledged; a server asks again.
fn ends(at: SocketAddr, id: &str) -> Outcome<f64> {
    let since = Instant::now();
    while since.elapsed() < LONG {
        let said = call(at, "POST", &format!("/-/servers/{id}/leave"), "{}");
        if said.is_some_and(|reply| reply.status == 200) {
            return Ok(since.elapsed().as_secs_f64() * 1e3);
        }
    }
    Err(format!("the end of {id} is not acknowledged").into())
}

/// Bytes that a fleet's processes have written by now, by the system's count.
fn written(fleet: &Landing) -> f64 {
    let of = |machine: &Supervisor| -> Option<f64> {
        let text = fs::read_to_string(format!("/proc/{}/io", machine.process()?)).ok()?;
        text.lines().find_map(|line| line.strip_prefix("write_bytes: "))?.parse().ok()
    };
    fleet.machines.iter().filter_map(of).sum()
}

fn round(program: &Path, number: u8, taken: &mut Taken) -> Outcome<()> {
    let id = std::process::id();
    let folder = std::env::temp_dir().join(format!("gateway-ends-{id}-{number}"));
    let net = [127, 79 + number, 1 + (id % 250) as u8];
    let mut fleet = Landing::open(program, &folder, net, &["a", "b"], &[true, true, true, false])?;
    fleet.start_all(true)?;
    let text = fallgap_test_support::gateway::configuration(1, ["/a/", "/b/"]);
    let since = Instant::now();
    let configured = || fleet.machines[0].post("/-/config/put", &text).is_some_and(|r| r.status == 200);
    let settled = || fleet.machines.iter().all(|machine| machine.figure("supervisors") == Some(4));
    while !(configured() && settled()) {
        if since.elapsed() > LONG {
            return Err("the fleet does not settle".into());
        }
    }
    let controls = fleet.controls();
    let before = written(&fleet);
    for server in 0..ALONE {
        taken.alone.push(ends(controls[server % 4], &format!("i-alone-{server}"))?);
    }
    taken.written.push((written(&fleet) - before) / ALONE as f64);
    for herd in 0..HERDS {
        let controls = &controls;
        let one = |server: usize| move || ends(controls[server % 4], &format!("i-{herd}-{server}"));
        let took: Vec<Outcome<f64>> = thread::scope(|scope| {
            let all: Vec<_> = (0..AT_ONCE).map(|server| scope.spawn(one(server))).collect();
            all.into_iter().filter_map(|one| one.join().ok()).collect()
        });
        for took in took {
            taken.herd.push(took?);
        }
    }
    Ok(())
}

fn quantile(of: &mut [f64], part: f64) -> f64 {
    of.sort_by(f64::total_cmp);
    let at = (of.len() as f64 * part) as usize;
    of.get(at.min(of.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
}

fn main() -> Outcome<()> {
    let mut programs: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    if programs.is_empty() {
        programs.push(std::env::current_exe()?.with_file_name("../gateway"));
    }
    let mut all: Vec<Taken> = programs.iter().map(|_| Taken::default()).collect();
    let mut number = 0;
    for _ in 0..ROUNDS {
        for (program, taken) in programs.iter().zip(&mut all) {
            round(program, number, taken)?;
            number += 1;
        }
    }
    for (at, taken) in all.iter_mut().enumerate() {
        for (name, of) in [("alone", &mut taken.alone), ("herd", &mut taken.herd)] {
            println!("figure program_{at}_{name}_p50_ms {:.2}", quantile(of, 0.5));
            println!("figure program_{at}_{name}_p99_ms {:.2}", quantile(of, 0.99));
        }
        println!("figure program_{at}_bytes_written_an_end {:.0}", quantile(&mut taken.written, 0.5));
    }
    Ok(())
}

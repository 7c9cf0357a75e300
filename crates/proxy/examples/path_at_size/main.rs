//! The data path at the size to design for: 8,000 servers in 330 services, 1,800 routes, 29,000 tenants, 512 verdicts,
//! and a tenth and a hundredth of that. Processor time of routing, admission and the pick (simulated: the cores, no
//! I/O); then one real quay on loopback before a stand-in process that is all servers: what it adds to a request next
//! to the direct way, asked in turn in the same run. Two minutes at most; ends what it started.

#[path = "../../../membership/examples/gauge/mod.rs"]
mod gauge;
mod sized;
mod standin;
#[path = "../../tests/world/mod.rs"]
#[allow(unused_imports)]
mod world;

use fallgap_routing::ViewTimes;
use sized::{SUPERVISORS, Size};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use world::{Client, World};

/// Clients' connections; each sends at its own even pace.
const CLIENTS: usize = 8;
/// Seconds before it counts, and those that count.
const WARM: f64 = 10.0;
const SPAN: f64 = 30.0;
const ADDED_MS: f64 = 2.6;

/// Milliseconds until an answer, carried and direct; and those without a good one.
#[derive(Default)]
struct Taken {
    carried: Vec<f64>,
    direct: Vec<f64>,
    /// Without a good answer, by way (true: carried) and status, 0 for none.
    failed: BTreeMap<(bool, u16), usize>,
}

fn request(at: usize, id: usize) -> String {
    let (host, prefix) = (Size::host(at), Size::prefix(at));
    format!(
        "GET {prefix}{id:06x}/tail HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: r{id}\r\nX-Deadline-Ms: 1500\r\n\r\n"
    )
}

fn client(
    number: usize, front: SocketAddr, port: u16, pace: Duration, end: Instant, counts: Instant, size: Size,
) -> Taken {
    let patience = Duration::from_secs(3);
    let mut carried = Client::connect(front, patience).expect("the quay listens");
    let server: SocketAddr = Size::address(number, port).into();
    let mut direct = Client::connect(server, patience).expect("servers listen");
    let mut rng = fastrand::Rng::with_seed(number as u64);
    let mut taken = Taken::default();
    let mut due = Instant::now() + pace.mul_f64(rng.f64());
    let mut id = number << 32;
    while due < end {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        due += pace;
        id += 1;
        let text = request(rng.usize(..size.routes), id);
        // In turn one goes first, so that neither always finds the processor awake.
        for way in if id.is_multiple_of(2) { [true, false] } else { [false, true] } {
            let began = Instant::now();
            let reply = if way { &mut carried } else { &mut direct }.try_ask(&text);
            let took = began.elapsed().as_secs_f64() * 1e3;
            let status = reply.map_or(0, |reply| reply.status);
            if status != 200 {
                *taken.failed.entry((way, status)).or_default() += 1;
                // A connection that ended is opened anew, as clients do.
                let (held, to) = if way { (&mut carried, front) } else { (&mut direct, server) };
                *held = Client::connect(to, patience).expect("it listens");
            } else if began >= counts {
                if way { &mut taken.carried } else { &mut taken.direct }.push(took);
            }
        }
    }
    taken
}

fn at(sorted: &[f64], part: f64) -> f64 {
    sorted.get((sorted.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN)
}

fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().to_owned()
}

/// What a real quay adds, at a rate of requests a second.
fn play(world: &World, port: u16, rate: f64, size: Size) {
    let figure =
        |what: &str, value: f64| println!("figure {what}_rate{rate:.0}_s{} {value:.3}", size.servers);
    let pace = Duration::from_secs_f64(CLIENTS as f64 / rate);
    let began = Instant::now();
    let counts = began + Duration::from_secs_f64(WARM);
    let end = counts + Duration::from_secs_f64(SPAN);
    let front = world.front;
    let quay_ran = world.ask(|_, _| gauge::ran());
    let all = std::thread::scope(|scope| {
        let play = |number| scope.spawn(move || client(number, front, port, pace, end, counts, size));
        let clients: Vec<_> = (0..CLIENTS).map(play).collect();
        clients.into_iter().map(|client| client.join().expect("a client")).fold(
            Taken::default(),
            |mut all, one| {
                all.carried.extend(one.carried);
                all.direct.extend(one.direct);
                one.failed.into_iter().for_each(|(of, count)| *all.failed.entry(of).or_default() += count);
                all
            },
        )
    });
    let quay_ran = world.ask(|_, _| gauge::ran()) - quay_ran;
    let (mut carried, mut direct) = (all.carried, all.direct);
    carried.sort_by(f64::total_cmp);
    direct.sort_by(f64::total_cmp);
    figure("requests_counted", carried.len() as f64);
    for ((way, status), count) in &all.failed {
        let way = if *way { "carried" } else { "direct" };
        figure(&format!("{way}_answered_{status}"), *count as f64);
    }
    figure("without_good_answer", all.failed.values().sum::<usize>() as f64);
    for (name, part) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)] {
        figure(&format!("carried_ms_{name}"), at(&carried, part));
        figure(&format!("direct_ms_{name}"), at(&direct, part));
        figure(&format!("added_ms_{name}"), at(&carried, part) - at(&direct, part));
    }
    figure("added_of_2_6_ms_percent_p99", (at(&carried, 0.99) - at(&direct, 0.99)) * 100.0 / ADDED_MS);
    figure("quay_us_a_request", quay_ran.as_secs_f64() * 1e6 / (rate * (WARM + SPAN)));
    let (_, servers) = world.ask(|quay, _| quay.connections());
    figure("connections_to_servers", servers as f64);
    println!("load average {}", load_average());
}

fn main() -> std::io::Result<()> {
    let asked: Vec<String> = std::env::args().skip(1).collect();
    let sized = |at: &str| at.parse::<usize>().ok().and_then(|at| Size::ALL.get(at).copied());
    match asked.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["standin"] => return standin::run(),
        ["size", at] => {
            sized(at).expect("a size").measure();
            return Ok(());
        }
        _ => {}
    }
    let me = std::env::current_exe()?;
    println!("load average {}", load_average());
    for at in 0..Size::ALL.len() {
        let ended = Command::new(&me).args(["size", &at.to_string()]).status()?;
        assert!(ended.success(), "a size has failed");
    }
    let mut standin = Command::new(&me).arg("standin").stdout(Stdio::piped()).spawn()?;
    let mut port = String::new();
    BufReader::new(standin.stdout.take().expect("its output")).read_line(&mut port)?;
    let port = port.trim().parse().expect("a port");
    // The smallest beside the largest, in the same run.
    for (size, rate) in [(Size::ALL[0], 86.0), (Size::ALL[2], 86.0), (Size::ALL[2], 860.0)] {
        let world = World::new(fallgap_proxy::Terms::default());
        let (view, verdicts) = (Arc::new(size.view(port)), size.verdicts(1));
        world.ask(move |quay, now| {
            quay.supervisors(17, SUPERVISORS);
            quay.view(now, view);
            quay.verdicts(now, &verdicts);
            // Its homes confirm for as long as this is played.
            quay.view_times(ViewTimes {
                confirmed: Some(now + Duration::from_secs(600)),
                ..ViewTimes::default()
            });
        });
        play(&world, port, rate, size);
    }
    standin.kill()?;
    standin.wait()?;
    Ok(())
}

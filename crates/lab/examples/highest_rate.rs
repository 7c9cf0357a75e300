//! The highest rate at which the generator's own lateness stays under 1 ms at the 99.9th percentile, framed and over
//! HTTP, with one and two workers, against a plain closed loop of our own in the same run. Loopback; the server
//! that answers at once runs on a thread beside.

use fallgap::Repeats;
use fallgap_lab::arrivals::{Kind, Schedule, Shape, Spacing, Stream, Work};
use fallgap_lab::clients::Clients;
use fallgap_lab::emulated::shell::Server;
use fallgap_lab::emulated::{Machine, Make, Script};
use fallgap_lab::load::{Came, Goal, Run, play};
use fallgap_lab::watched::Progress;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

const MS: Duration = Duration::from_millis(1);
const SPAN: Duration = Duration::from_millis(1500);

fn kind() -> Kind {
    let work = Work::Fixed(Duration::ZERO);
    Kind { name: "op".into(), repeats: Repeats::Retryable, timeout: MS * 1000, work, keys: 1000, tenants: 3 }
}

/// A server that answers each frame at once: the plainest there is, a thread for each connection.
fn echo() -> SocketAddr {
    use fallgap_lab::frames::{Answer, REQUEST, Request};
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let (mut bytes, mut held, mut out) = (vec![0; 1 << 16], 0, Vec::new());
                while let Ok(n @ 1..) = stream.read(&mut bytes[held..]) {
                    held += n;
                    let (frames, rest) = bytes[..held].as_chunks::<REQUEST>();
                    out.clear();
                    for request in frames.iter().filter_map(Request::read) {
                        let ended = fallgap_lab::clients::Ended::Acked;
                        Answer { id: request.id, tries: request.tries, ended, active: 0, busy: 0 }
                            .write(&mut out);
                    }
                    let (taken, left) = (frames.len() * REQUEST, rest.len());
                    bytes.copy_within(taken..taken + left, 0);
                    held = left;
                    if stream.write_all(&out).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

fn http() -> String {
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let make = Make { cores: 1000, queue: usize::MAX, ..Make::default() };
            let server = Server::new(Machine::new(make, Script::default(), None, 1), Instant::now());
            let at = server.http("127.0.0.1:0").await.expect("a port");
            tell.send(format!("http://{at}/")).expect("somebody waits");
            std::future::pending::<()>().await;
        });
    });
    told.recv().expect("an address")
}

fn played(goal: &Goal, workers: u64, rate: f64, connections: usize) -> Came {
    let run = Run {
        goal: goal.clone(),
        kinds: vec![kind()],
        clients: Clients::default(),
        workers,
        connections,
        most_pending: 100_000,
        phases: Vec::new(),
        seed: 1,
        records: false,
        export: None,
    };
    let schedule = move |worker| {
        let stream = Stream {
            shape: Shape::Constant(rate),
            spacing: Spacing::Poisson,
            zone: 0,
            kinds: vec![(0, 1.0)],
        };
        Schedule::new(vec![kind()], &[stream], SPAN, 1).part(worker, workers)
    };
    let (_keep, stop) = watch::channel(false);
    play(&run, schedule, &stop, &Progress::default())
}

/// The highest of a ladder of rates that is kept, with all ops acked.
fn highest(goal: &Goal, workers: u64, rates: &[f64], connections: usize) -> (f64, f64) {
    let mut best = (0.0, 0.0);
    for rate in rates {
        let came = played(goal, workers, *rate, connections);
        let (late, whole) = (came.lateness(0.999), came.ledger.whole());
        if late > MS || whole.acked < whole.intended * 999 / 1000 {
            break;
        }
        best = (*rate, late.as_secs_f64() * 1e3);
    }
    best
}

/// Ops a second of clients that each wait for an answer before the next op.
fn closed_loop(at: SocketAddr, clients: usize) -> f64 {
    use fallgap_lab::frames::{ANSWER, Request, Tried};
    let since = Instant::now();
    let done: usize = std::thread::scope(|scope| {
        let loops: Vec<_> = (0..clients)
            .map(|_| {
                scope.spawn(move || {
                    let mut stream = TcpStream::connect(at).expect("the echo");
                    let _ = stream.set_nodelay(true);
                    let (mut answer, mut out, mut id) = ([0; ANSWER], Vec::new(), 0);
                    while since.elapsed() < SPAN {
                        out.clear();
                        Request {
                            id,
                            tries: 1,
                            repeats: Tried::Retryable,
                            kind: 0,
                            key: 0,
                            work: Duration::ZERO,
                        }
                        .write(&mut out);
                        stream.write_all(&out).expect("written");
                        stream.read_exact(&mut answer).expect("an answer");
                        id += 1;
                    }
                    id as usize
                })
            })
            .collect();
        loops.into_iter().map(|l| l.join().expect("a client ends")).sum()
    });
    done as f64 / since.elapsed().as_secs_f64()
}

fn main() {
    let framed = Goal::Framed(echo());
    let Goal::Framed(at) = framed else { return };
    let http = Goal::Http(http());
    let high: Vec<f64> =
        [20, 50, 100, 150, 200, 300, 400, 500, 700].iter().map(|k| f64::from(*k) * 1e3).collect();
    let low: Vec<f64> = [2, 5, 10, 15, 20, 25, 30, 40, 50, 70].iter().map(|k| f64::from(*k) * 1e3).collect();
    println!("target   workers  highest rate  lateness p99.9 there, ms");
    let mut figures = Vec::new();
    for (name, goal, rates, connections) in [("framed", &framed, &high, 2), ("http", &http, &low, 32)] {
        for workers in [1, 2] {
            let (rate, late) = highest(goal, workers, rates, connections);
            println!("{name:<8} {workers:>7}  {rate:>12.0}  {late:.3}");
            figures.push((name, workers, rate));
        }
    }
    let closed = [1, 4].map(|clients| closed_loop(at, clients));
    println!("closed loop, framed: 1 client {:.0} ops/s, 4 clients {:.0} ops/s", closed[0], closed[1]);
    for (name, workers, rate) in figures {
        println!("figure {name}_{workers}_workers_ops_a_second {rate:.0}");
    }
    println!("figure closed_loop_4_clients_ops_a_second {:.0}", closed[1]);
}

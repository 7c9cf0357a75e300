//! What carrying a request costs, on loopback: processor time of the quay's thread and of the whole process for an
//! op, at 1, 8 and 64 clients' connections, beside the same ops sent straight to the stand-in server, and beside a
//! quay that remembers no ops.

#[path = "../tests/world/mod.rs"]
mod world;

use fallgap_config::{Berth, View};
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::fs::read_to_string;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use world::{Client, Does, Server, World, berth, configuration, get, ok};

const SECOND: Duration = Duration::from_secs(1);
/// Ops of each measurement, shared by the connections.
const OPS: usize = 24_000;
/// Rounds of a measurement; the middle one counts.
const ROUNDS: usize = 3;
/// Turns with and without the logbook, and ops of each: the difference is small, so turns are many and short.
const TURNS: usize = 60;
const TURN: usize = 1920;

thread_local! {
    /// Pieces of memory that this thread has asked for.
    static ASKED: Cell<u64> = const { Cell::new(0) };
}

struct Counting;

// SAFETY: all is handed on to the system's allocator; counting allocates nothing.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ASKED.set(ASKED.get() + 1);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

/// Of the whole process, clients and server as well.
fn resident_mb() -> f64 {
    let text = read_to_string("/proc/self/status").unwrap_or_default();
    let kb = text.lines().find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
    kb.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or_default() / 1024.0
}

/// Nanoseconds that a thread ran.
fn ran(schedstat: &str) -> f64 {
    let text = read_to_string(schedstat).unwrap_or_default();
    text.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or_default()
}

/// Nanoseconds that all threads that are there ran.
fn all_ran() -> f64 {
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    tasks.map(|task| ran(&task.path().join("schedstat").to_string_lossy())).sum()
}

struct Cost {
    /// Of all threads: clients, server, and the quay if there is one.
    whole: f64,
    quay: f64,
    wall: f64,
    /// Ops without a good answer.
    unserved: usize,
}

/// Microseconds an op, over so many connections that each wait for their answer.
fn cost(ops: usize, connections: usize, at: SocketAddr, quay: impl Fn() -> f64) -> Cost {
    let each = ops / connections;
    let clients: Vec<Client> = (0..connections).map(|_| Client::connect(at, 10 * SECOND).unwrap()).collect();
    let unserved = AtomicUsize::new(0);
    let run = |client: &mut Client, ops: usize| {
        for op in 0..ops {
            let reply = client.try_ask(&get("/safe/x", &format!("r{op}")));
            if reply.is_none_or(|reply| reply.status != 200) {
                unserved.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    // Threads stay until the end is read, so that their time counts.
    let (begin, end) = (std::sync::Barrier::new(connections + 1), std::sync::Barrier::new(connections + 1));
    std::thread::scope(|scope| {
        for mut client in clients {
            let (begin, end, run) = (&begin, &end, &run);
            scope.spawn(move || {
                run(&mut client, 20);
                begin.wait();
                begin.wait();
                run(&mut client, each);
                end.wait();
                end.wait();
            });
        }
        begin.wait();
        let (before, quay_before) = (all_ran(), quay());
        let start = Instant::now();
        begin.wait();
        end.wait();
        let wall = start.elapsed();
        let (whole, quay) = (all_ran() - before, quay() - quay_before);
        end.wait();
        let an_op = (each * connections) as f64 * 1000.0;
        let unserved = unserved.load(Ordering::Relaxed);
        Cost { whole: whole / an_op, quay: quay / an_op, wall: wall.as_nanos() as f64 / an_op, unserved }
    })
}

/// What it costs when nothing else disturbs: the lowest quarter's end.
fn calm(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 4]
}

fn middle(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

fn main() {
    let body = "x".repeat(1024);
    let server = Server::start("i-1", move |got| Does::Sends(ok(got, &body)));
    let world = World::new(fallgap_proxy::Terms::default());
    let forgets = fallgap_proxy::Pages { smooth: 0, rough: 0, gone: 0 };
    let forgetful = World::new(fallgap_proxy::Terms { pages: forgets, ..Default::default() });
    // A server that takes as many at once as there are clients.
    let mut configuration = configuration();
    configuration.services.iter_mut().for_each(|service| service.line_cap = 256);
    let berth = Berth { slots: 128, ..berth(&server) };
    let view = Arc::new(View { configuration: Arc::new(configuration), berths: vec![berth] });
    for world in [&world, &forgetful] {
        let view = view.clone();
        world.ask(move |quay, now| quay.view(now, view));
    }
    let ran_of = |world: &World| world.ask(|_, _| ran("/proc/thread-self/schedstat"));
    let quay = || ran_of(&world);
    let asked = || world.ask(|_, _| ASKED.get());
    println!("figure resident_mb_at_rest {:.1}", resident_mb());
    for connections in [1, 8, 64] {
        // In turn, so that a busy moment of the machine meets both.
        let both = (0..ROUNDS).map(|_| {
            (cost(OPS, connections, world.front, quay), cost(OPS, connections, server.address.into(), || 0.0))
        });
        let before = asked();
        let both: Vec<(Cost, Cost)> = both.collect();
        let pieces = (asked() - before) as f64 / (ROUNDS * (OPS + 20 * connections)) as f64;
        println!("figure quay_allocations_an_op_{connections} {pieces:.1}");
        println!("figure resident_mb_{connections} {:.1}", resident_mb());
        let of = |figure: &dyn Fn(&(Cost, Cost)) -> f64| middle(both.iter().map(figure).collect());
        let unserved: usize = both.iter().map(|(carried, direct)| carried.unserved + direct.unserved).sum();
        println!("figure unserved_{connections} {unserved}");
        println!("figure quay_us_an_op_{connections} {:.1}", of(&|(carried, _)| carried.quay));
        let turns = (0..TURNS).map(|_| {
            let plain = cost(TURN, connections, forgetful.front, || ran_of(&forgetful)).quay;
            (cost(TURN, connections, world.front, quay).quay, plain)
        });
        let (with, without): (Vec<f64>, Vec<f64>) = turns.unzip();
        let ratio = calm(with) / calm(without);
        println!("figure quay_with_logbook_against_without_{connections} {ratio:.3}");
        println!("figure carried_us_an_op_{connections} {:.1}", of(&|(carried, _)| carried.whole));
        println!("figure direct_us_an_op_{connections} {:.1}", of(&|(_, direct)| direct.whole));
        let ratio = of(&|(carried, direct)| carried.whole / direct.whole);
        println!("figure carried_against_direct_{connections} {ratio:.2}");
        println!("figure carried_wall_us_{connections} {:.1}", of(&|(carried, _)| carried.wall));
        println!("figure direct_wall_us_{connections} {:.1}", of(&|(_, direct)| direct.wall));
    }
}

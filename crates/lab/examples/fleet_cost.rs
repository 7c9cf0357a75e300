//! What the decision module costs at three sizes, in one process and with no network: processor time of one
//! periodic round, one server's change, a join of every proxy and one report, and bytes held.
//!
//! `crates/lab/fleet-cost.sh COMMIT` runs it here and in a clone of that commit, and prints the ratios.

use fallgap::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);

// SAFETY: hands everything to the system's allocator; only adds up sizes.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const ZONES: usize = 3;
const MS: Duration = Duration::from_millis(1);
const CALL: usize = 60_000;

struct Fleet {
    supervisor: Supervisor,
    now: Duration,
    proxies: u32,
    servers: usize,
    /// Time spent in the module.
    spent: Duration,
}

impl Fleet {
    fn start(proxies: u32, servers: usize) -> Fleet {
        let op = |value, repeats| OpType {
            value,
            target_latency: MS * 1000,
            op_timeout: MS * 3000,
            repeats,
            own_zone: false,
        };
        let ops = vec![op(1.0, Repeats::Retryable), op(5.0, Repeats::OnceOnly), op(3.0, Repeats::OnceOnly)];
        // The limits grow with the fleet, as a deployment's would: all whole tables fit several times.
        let lines = 200.0 * f64::from(proxies);
        let now = Duration::from_secs(1_700_000_000);
        let mut supervisor = Supervisor::start(
            now,
            1,
            ops,
            Habits { admission: Admission::Rate, usual_retry: Retry::Unsent },
            Channel { lines_per_s: lines, head: 10.0, backlog: lines, messages_most: 0, messages_over: MS },
            ColdTerms { from: 0.2, over: MS * 10_000 },
            Reporting { by_probe: false, probes_allowed: false, interval: MS * 1000 },
            Aims { worst_op_type: 0.1, rest: 0.9 },
            Peers { others: 4, notes_allowed: false, by_zone: true },
        );
        let listed = (0..servers).map(|s| listed(s, ServerState::Ready)).collect();
        supervisor.report_list(now, ListNews::Whole, listed);
        Fleet { supervisor, now, proxies, servers, spent: Duration::ZERO }
    }

    /// Calls the module, and counts the time.
    fn timed<R>(&mut self, call: impl FnOnce(&mut Supervisor, Duration) -> R) -> R {
        let started = Instant::now();
        let result = call(&mut self.supervisor, self.now);
        self.spent += started.elapsed();
        result
    }

    fn spent(&mut self, what: impl FnOnce(&mut Fleet)) -> Duration {
        let before = self.spent;
        what(self);
        self.spent - before
    }

    /// Lets the module act until nothing more leaves, each call answered by its proxies at once.
    fn settle(&mut self) {
        loop {
            self.timed(|s, now| s.tick(now));
            let mut any = false;
            while let Some(call) = self.timed(|s, _| s.pick(CALL, |_| 130)) {
                any = true;
                let stamp =
                    call.iter().find_map(|o| if let Order::Ask { stamp } = o { Some(*stamp) } else { None });
                let table = |order: &Order| match order {
                    Order::Line { table, .. } | Order::Bind { table, .. } | Order::Admit { table, .. } => {
                        Some(*table)
                    }
                    _ => None,
                };
                let mut tables: Vec<u32> = call.iter().filter_map(table).collect();
                tables.dedup();
                self.timed(|s, now| {
                    s.report_settled();
                    tables.iter().for_each(|t| s.report_answered(now, *t, stamp.unwrap_or(0)));
                });
            }
            if !any {
                return;
            }
            self.now += MS * 4;
        }
    }

    fn join_all(&mut self) {
        for proxy in 0..self.proxies {
            self.timed(|s, now| s.report_joined(now, proxy, proxy as usize % ZONES, 4.0, true));
        }
        // The ordinary cap lets joins out over some seconds.
        for _ in 0..400 {
            self.settle();
            self.now += MS * 10;
        }
    }

    fn met(&mut self, server: usize) {
        let met = Met { total: 20.0, aborted: 0.0, good_ms: 80.0, span: MS * 1000 };
        let load = Load { busy: Some(0.4 + 0.2 * (server % 7) as f64 / 7.0), ..Load::default() };
        self.timed(|s, now| s.report_met(now, &name(server), met, Some(load)));
    }

    /// A second of reports, one of each server and of each proxy and op type; then a second passes.
    fn second(&mut self) {
        (0..self.servers).for_each(|server| self.met(server));
        for proxy in 0..self.proxies {
            let came = Came { total: 2.0, aborted: 0.0, span: MS * 1000 };
            (0..3).for_each(|t| self.timed(|s, now| s.report_came(now, proxy, t, came)));
        }
        for _ in 0..4 {
            self.now += MS * 250;
            self.settle();
        }
    }

    fn change(&mut self, server: usize, state: ServerState) {
        self.timed(|s, now| s.report_list(now, ListNews::Changes, vec![listed(server, state)]));
        self.settle();
    }
}

fn name(server: usize) -> String {
    format!("s-{server:08x}")
}

fn listed(server: usize, state: ServerState) -> Listed {
    Listed { server: name(server), zone: server % ZONES, size: Some(2.0), state, started: None }
}

fn micros(spent: Duration) -> f64 {
    spent.as_secs_f64() * 1e6
}

fn main() {
    let mut figures: BTreeMap<String, f64> = BTreeMap::new();
    for (proxies, servers, rounds) in [(50u32, 20usize, 20), (500, 200, 6), (5000, 2000, 2)] {
        let mut put =
            |what: &str, figure: f64| _ = figures.insert(format!("{what}_{proxies}x{servers}"), figure);
        let empty = HELD.load(Ordering::Relaxed);
        let mut fleet = Fleet::start(proxies, servers);
        let with_servers = HELD.load(Ordering::Relaxed);
        let joins = fleet.spent(Fleet::join_all);
        put("join_all_us", micros(joins));
        (0..12).for_each(|_| fleet.second());
        let with_all = HELD.load(Ordering::Relaxed);
        put("server_bytes", (with_servers - empty) as f64 / servers as f64);
        put("proxy_bytes", (with_all - with_servers) as f64 / f64::from(proxies));
        // Five seconds: every table is rebuilt once, weights step, servers are judged, the line moves.
        let round = (0..rounds).map(|_| fleet.spent(|f| (0..5).for_each(|_| f.second()))).min();
        put("round_us", micros(round.unwrap_or_default()));
        let mut changes = Vec::new();
        for server in 0..rounds {
            for state in [ServerState::Draining, ServerState::Ready] {
                changes.push(fleet.spent(|f| f.change(server, state)));
                fleet.now += MS * 300;
                fleet.settle();
            }
        }
        put("change_us", micros(changes.into_iter().min().unwrap_or_default()));
        let reports = 200;
        let spent = fleet.spent(|f| {
            for report in 0..reports {
                f.met(report % servers);
                f.timed(|s, now| s.tick(now));
                f.now += Duration::from_micros(10);
            }
        });
        put("report_us", micros(spent) / reports as f64);
    }
    figures.iter().for_each(|(name, figure)| println!("figure {name} {figure:.1}"));
}

//! What registers cost a keeper by how many there are: memory by the resident set of a process of its own for each
//! size, processor time of a call by the clock of one thread, bytes of a snapshot; and what the one above the bound is
//! told. A machine with 256 MB of memory and 128 MB of disk. A keeper alone, its disk hollow (each record counts as synced at once); a lock and a number for each tenant.
//!
//! Without arguments: all sizes. With a number: so many tenants.

#[path = "../../membership/examples/gauge/mod.rs"]
mod gauge;

use fallgap_control_state::{Answer, Call, Keeper, Kept, Me, NodeId, Out, Terms};
use gauge::{ran, resident_kb};
use std::process::Command;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SIZES: [usize; 5] = [1000, 5000, 10_000, 29_000, 50_000];

struct Alone {
    keeper: Keeper,
    now: Duration,
    done: usize,
    busy: usize,
    records: usize,
}

impl Alone {
    fn settle(&mut self) {
        loop {
            let mut last = 0;
            for out in self.keeper.take() {
                match out {
                    Out::Log { number, record } => {
                        last = number;
                        self.records += record.len();
                    }
                    Out::Answer(_, Answer::Busy) => self.busy += 1,
                    Out::Answer(..) => self.done += 1,
                    _ => {}
                }
            }
            if last == 0 {
                return;
            }
            self.keeper.synced(self.now, last);
        }
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.keeper.next_wake().max(self.now + MS / 10).min(end);
            self.keeper.woke(self.now);
            self.settle();
        }
    }

    /// A lock for a second and a number, for each of some tenants.
    fn calls(&mut self, tenants: std::ops::Range<usize>) -> Duration {
        let began = ran();
        for tenant in tenants {
            let (id, hold) = (tenant as u64 * 2, Duration::from_secs(1));
            let (name, holder) = (format!("tenant-{tenant:05}/build"), format!("worker-{tenant:05}-a"));
            self.keeper.call(self.now, id, Call::LockStart { name, holder, hold });
            self.keeper.call(self.now, id + 1, Call::Number { name: format!("tenant-{tenant:05}/orders") });
            if tenant % 64 == 63 {
                self.settle();
                self.now += MS;
            }
        }
        self.settle();
        ran() - began
    }
}

fn main() {
    if let Some(tenants) = std::env::args().nth(1).and_then(|arg| arg.parse().ok()) {
        return one(tenants);
    }
    let me = std::env::current_exe().expect("this program's path");
    for tenants in SIZES {
        let ended = Command::new(&me).arg(tenants.to_string()).status();
        assert!(ended.is_ok_and(|status| status.success()), "a size has failed");
    }
}

fn one(tenants: usize) {
    let node = NodeId::new(10, 0, 0, 1);
    let me =
        Me { node, disk: Some(7), life: 9, first_start: true, empty: true, seeds: vec![node], tolerate: 0 };
    let keeper = Keeper::start(MS, 1, me, Kept { records: Vec::new() }, Terms::for_machine(256, 128));
    let keeper = keeper.expect("an empty disk");
    let mut alone = Alone { keeper, now: MS, done: 0, busy: 0, records: 0 };
    alone.pass(Duration::from_secs(10));
    let figure = |what: &str, value: f64| println!("figure {what}_t{tenants} {value:.2}");
    let before = resident_kb();
    let first = alone.calls(0..tenants);
    alone.pass(Duration::from_secs(2));
    figure("calls_done", alone.done as f64);
    figure("calls_busy", alone.busy as f64);
    figure("resident_kb", (resident_kb() - before) as f64);
    figure("resident_bytes_a_register", (resident_kb() - before) as f64 * 1024.0 / alone.done as f64);
    figure("log_bytes_a_register", alone.records as f64 / alone.done as f64);
    figure("first_call_us", first.as_secs_f64() * 1e6 / (2 * tenants) as f64);
    let mut again = Duration::ZERO;
    for _ in 0..(20_000 / tenants).max(1) {
        again += alone.calls(0..tenants);
        alone.pass(Duration::from_secs(2));
    }
    figure("call_us", again.as_secs_f64() * 1e6 / (2 * tenants * (20_000 / tenants).max(1)) as f64);
    let began = ran();
    let bytes: usize = (0..5).map(|_| alone.keeper.snapshot().iter().map(Vec::len).sum::<usize>()).sum();
    figure("snapshot_ms", (ran() - began).as_secs_f64() * 1e3 / 5.0);
    figure("snapshot_bytes", bytes as f64 / 5.0);
    let began = ran();
    alone.pass(Duration::from_secs(20));
    figure("rest_ms_a_second", (ran() - began).as_secs_f64() * 1e3 / 20.0);
}

//! How long a keeper takes to start from what is on its disk, by how much that is: reading the folder and bringing
//! the registers back. One keeper, the folder for temporary files, each register a group of one cell.

use fallgap_control_state::store::Store;
use fallgap_control_state::{Answer, Call, Keeper, Kept, Me, NodeId, Out, Terms};
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

const DISK_MB: u64 = 64;
/// The largest set makes a snapshot of some 23 MB. One more has room beside it, and the logs, on a disk of 64 MB.
const VALUE: usize = 1200;
const ROUNDS: usize = 5;

fn me(empty: bool) -> Me {
    let node = NodeId::new(10, 0, 0, 1);
    Me { node, disk: Some(7), life: 9, first_start: empty, empty, seeds: vec![node], tolerate: 0 }
}

/// A keeper alone with its disk; time is virtual, the disk is real.
struct Alone {
    keeper: Keeper,
    store: Store,
    now: Duration,
    answered: usize,
    checkpoints: usize,
}

impl Alone {
    /// Lets time pass until so many calls are answered, or for a while.
    fn run(&mut self, answers: usize, most: Duration) {
        let end = self.now + most;
        while self.now < end && self.answered < answers {
            self.now = self.keeper.next_wake().max(self.now + Duration::from_micros(100)).min(end);
            self.keeper.woke(self.now);
            self.settle();
        }
    }

    fn settle(&mut self) {
        loop {
            let (mut records, mut last) = (Vec::new(), 0);
            for out in self.keeper.take() {
                match out {
                    Out::Log { number, record } => {
                        last = number;
                        records.push(record);
                    }
                    Out::Answer(_, Answer::Revision(_)) => self.answered += 1,
                    Out::Answer(_, other) => panic!("a put is answered {other:?}"),
                    _ => {}
                }
            }
            if records.is_empty() {
                return;
            }
            self.store.append(&records).expect("the disk takes records");
            self.keeper.synced(self.now, last);
            if self.store.wants_checkpoint() {
                self.store.checkpoint(self.keeper.snapshot()).expect("the disk takes a snapshot");
                self.checkpoints += 1;
            }
        }
    }
}

/// Fills a folder with so many registers.
fn fill(folder: &Path, registers: usize) -> usize {
    let (store, kept) = Store::open(folder, DISK_MB).expect("an empty folder");
    let keeper = Keeper::start(Duration::ZERO, 1, me(true), Kept { records: kept }, Terms::default());
    let keeper = keeper.expect("an empty disk");
    let mut alone = Alone { keeper, store, now: Duration::ZERO, answered: 0, checkpoints: 0 };
    alone.run(usize::MAX, Duration::from_secs(3));
    for first in (0..registers).step_by(100) {
        for at in first..(first + 100).min(registers) {
            let value = format!("{at:x>VALUE$}");
            let call = Call::CellPut { name: format!("g{at}.k"), value, on: None };
            alone.keeper.call(alone.now, at as u64 + 1, call);
        }
        alone.settle();
        alone.run((first + 100).min(registers), Duration::from_millis(900));
    }
    assert_eq!(alone.answered, registers, "all are acknowledged");
    alone.checkpoints
}

fn size(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|file| file.metadata().ok()).map(|file| file.len()).sum()
}

fn main() {
    let folder = std::env::temp_dir().join(format!("restart-cost-{}", std::process::id()));
    for registers in [100, 2000, 19_000] {
        let _ = fs::remove_dir_all(&folder);
        let checkpoints = fill(&folder, registers);
        let mut times: Vec<(f64, f64)> = (0..ROUNDS)
            .map(|_| {
                let start = Instant::now();
                let (_store, records) = Store::open(&folder, DISK_MB).expect("what was written");
                let read = start.elapsed();
                let keeper = Keeper::start(Duration::ZERO, 1, me(false), Kept { records }, Terms::default());
                assert!(keeper.is_ok_and(|keeper| keeper.is_member()), "it knows its epoch");
                (read.as_secs_f64() * 1000.0, start.elapsed().as_secs_f64() * 1000.0)
            })
            .collect();
        times.sort_by(|a, b| a.1.total_cmp(&b.1));
        let (read, whole) = times[ROUNDS / 2];
        println!("figure disk_mb_{registers} {:.1}", size(&folder) as f64 / 1e6);
        println!("figure checkpoints_{registers} {checkpoints}");
        println!("figure read_ms_{registers} {read:.1}");
        println!("figure restart_ms_{registers} {whole:.1}");
    }
    let _ = fs::remove_dir_all(&folder);
}

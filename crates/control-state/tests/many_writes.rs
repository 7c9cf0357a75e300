//! Many writes over the real store, with a restart after each twentieth part: nothing acknowledged is missing, and disk
//! and memory stay bounded. `WRITES` asks for more than CI's; the last lines are figures.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use fallgap_control_state::store::Store;
use fallgap_control_state::{Answer, Call, Keeper, Kept, Me, NodeId, Out, Terms};

const DISK_MB: u64 = 64;
const NAMES: u64 = 500;
const LOT: u64 = 250;
const LIVES: u64 = 20;
/// The logs' least before a checkpoint, the snapshot twice, and what is taken ahead.
const MOST_ON_DISK: u64 = 4 << 20;
/// A process with its test harness; a keeper with 500 registers needs a few.
const MOST_MEMORY_KB: u64 = 64 << 10;

struct Life {
    keeper: Keeper,
    store: Store,
    now: Duration,
    checkpoints: u64,
}

fn me(empty: bool) -> Me {
    let node = NodeId::new(10, 0, 0, 1);
    Me { node, disk: Some(7), life: 9, first_start: empty, empty, seeds: vec![node], tolerate: 0 }
}

impl Life {
    fn begin(folder: &Path, now: Duration) -> Life {
        let (store, records) = Store::open(folder, DISK_MB).expect("the folder is sound");
        let me = me(records.is_empty());
        let keeper = Keeper::start(now, 1, me, Kept { records }, Terms::default()).expect("what was written");
        Life { keeper, store, now, checkpoints: 0 }
    }

    fn settle(&mut self, answers: &mut Vec<(u64, Answer)>) {
        loop {
            let (mut records, mut last) = (Vec::new(), 0);
            for out in self.keeper.take() {
                match out {
                    Out::Log { number, record } => {
                        last = number;
                        records.push(record);
                    }
                    Out::Answer(id, answer) => answers.push((id, answer)),
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

    fn run(&mut self, done: impl Fn(&Life, &[(u64, Answer)]) -> bool) -> Vec<(u64, Answer)> {
        let (mut answers, end) = (Vec::new(), self.now + Duration::from_secs(20));
        self.settle(&mut answers);
        while !done(self, &answers) {
            assert!(self.now < end, "{} answers", answers.len());
            self.now = self.keeper.next_wake().max(self.now + Duration::from_micros(100)).min(end);
            self.keeper.woke(self.now);
            self.settle(&mut answers);
        }
        answers
    }
}

fn on_disk(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("the folder").flatten();
    files.filter_map(|file| file.metadata().ok()).map(|file| file.len()).sum()
}

/// None where the system does not tell.
fn resident_kb() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[test]
fn many_writes_keep_disk_and_memory_bounded_and_lose_nothing() {
    let writes: u64 = std::env::var("WRITES").ok().and_then(|text| text.parse().ok()).unwrap_or(20_000);
    let folder: PathBuf = std::env::temp_dir().join(format!("keeper-writes-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let mut life = Life::begin(&folder, Duration::ZERO);
    let mut given = vec![0u64; NAMES as usize];
    let (mut id, mut checkpoints, mut largest, mut memory) = (0, 0, 0, 0);
    let (mut slowest, began) = (Duration::ZERO, Instant::now());
    for part in 0..LIVES {
        life.run(|life, _| life.keeper.is_member());
        while id < writes * (part + 1) / LIVES {
            let lot = id..id + LOT;
            for id in lot.clone() {
                life.keeper.call(life.now, id, Call::Number { name: format!("n{}", id % NAMES) });
            }
            id = lot.end;
            let answers = life.run(|_, answers| answers.len() as u64 == LOT);
            for (id, answer) in answers {
                let given = &mut given[(id % NAMES) as usize];
                *given += 1;
                assert_eq!(answer, Answer::Value(*given), "call {id}");
            }
            largest = largest.max(on_disk(&folder));
        }
        memory = memory.max(resident_kb().unwrap_or(0));
        checkpoints += life.checkpoints;
        let now = life.now;
        drop(life);
        let start = Instant::now();
        life = Life::begin(&folder, now);
        slowest = slowest.max(start.elapsed());
    }
    println!("figure writes {id}");
    println!("figure writes_a_second {:.0}", id as f64 / began.elapsed().as_secs_f64());
    println!("figure checkpoints {checkpoints}");
    println!("figure largest_on_disk_kb {}", largest >> 10);
    println!("figure resident_kb {memory}");
    println!("figure slowest_start_ms {:.1}", slowest.as_secs_f64() * 1e3);
    let _ = fs::remove_dir_all(&folder);
    assert!(largest <= MOST_ON_DISK, "{largest} bytes on the disk");
    assert!(memory <= MOST_MEMORY_KB, "{memory} KB of memory");
}

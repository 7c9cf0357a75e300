//! Plays many short schedules, or one from a file; walks all orders of small scripts.
//!
//!     explore drawn [COUNT] [JOBS] [FIRST SEED] [SECONDS]
//!     explore founding [COUNT] [JOBS] [FIRST SEED] [SECONDS]
//!     explore play FILE
//!     explore walk [MOST STATES]

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use fallgap_control_state::Call;
use fallgap_simulation::schedule::Schedule;
use fallgap_simulation::shrink::shrink;
use fallgap_simulation::tides::{Script, walk};
use fallgap_simulation::voyage::sail;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, usual: u64| words.get(at).and_then(|word| word.parse().ok()).unwrap_or(usual);
    let fine = match words.first().map(String::as_str) {
        Some(kind @ ("drawn" | "founding")) => {
            let draw = if kind == "drawn" { Schedule::short } else { Schedule::at_founding };
            drawn(draw, number(1, 100_000), number(2, 4), number(3, 0), Duration::from_secs(number(4, 600)))
        }
        Some("play") if words.len() == 2 => play(&words[1]),
        Some("walk") => walks(number(1, 1_000_000) as usize),
        _ => {
            eprintln!(
                "explore drawn|founding [COUNT] [JOBS] [FIRST SEED] [SECONDS] | play FILE | walk [MOST STATES]"
            );
            false
        }
    };
    if fine { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The first breach is made short, printed, and ends it.
fn drawn(draw: fn(u64) -> Schedule, count: u64, jobs: u64, first: u64, most: Duration) -> bool {
    let began = Instant::now();
    let next = AtomicU64::new(first);
    let (ran, calls, good, messages) =
        (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    let failed = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, 64) {
            scope.spawn(|| {
                while !failed.load(Relaxed) && began.elapsed() < most {
                    let seed = next.fetch_add(1, Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let schedule = draw(seed);
                    match sail(&schedule) {
                        Ok(log) => {
                            ran.fetch_add(1, Relaxed);
                            calls.fetch_add(log.calls, Relaxed);
                            good.fetch_add(log.good, Relaxed);
                            messages.fetch_add(log.messages, Relaxed);
                        }
                        Err(breach) => {
                            if !failed.swap(true, Relaxed) {
                                let (short, breach) = shrink(&schedule, breach, 2000);
                                println!("# seed {seed}: {breach}\n{short}");
                            }
                        }
                    }
                }
            });
        }
    });
    let seconds = began.elapsed().as_secs_f64();
    println!("figure schedules {}", ran.load(Relaxed));
    println!("figure calls {}", calls.load(Relaxed));
    println!("figure calls_answered_well {}", good.load(Relaxed));
    println!("figure messages {}", messages.load(Relaxed));
    println!("figure seconds {seconds:.0}");
    println!("figure schedules_a_second {:.0}", ran.load(Relaxed) as f64 / seconds);
    !failed.load(Relaxed)
}

fn play(file: &str) -> bool {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{file}: {e}");
            return false;
        }
    };
    match text.parse::<Schedule>().map(|schedule| sail(&schedule)) {
        Ok(Ok(log)) => println!("all holds: {log:?}"),
        Ok(Err(breach)) => println!("{breach}"),
        Err(no) => {
            eprintln!("{file}: {no}");
            return false;
        }
    }
    true
}

fn walks(most: usize) -> bool {
    let number = |n| (n, Call::Number { name: "n".into() });
    let none = Script { calls: vec![number(1)], powers: 0, lost: 0, doubled: 0 };
    let table = [
        ("one_call", none.clone()),
        ("one_call_one_power", Script { powers: 1, ..none.clone() }),
        ("two_calls_one_lost", Script { calls: vec![number(1), number(1)], lost: 1, ..none.clone() }),
        ("two_callers", Script { calls: vec![number(1), number(2)], ..none.clone() }),
        ("two_callers_one_power", Script { calls: vec![number(1), number(2)], powers: 1, ..none }),
    ];
    for (name, script) in table {
        let began = Instant::now();
        match walk(&script, most) {
            Ok(walked) => {
                println!("figure {name}_states {}", walked.states);
                println!("figure {name}_ends {}", walked.ends);
                println!("figure {name}_exhaustive {}", walked.exhaustive);
                println!(
                    "figure {name}_states_a_second {:.0}",
                    walked.states as f64 / began.elapsed().as_secs_f64()
                );
            }
            Err(stranded) => {
                println!("{}\n{}", stranded.breach, stranded.way.join("\n"));
                return false;
            }
        }
    }
    true
}

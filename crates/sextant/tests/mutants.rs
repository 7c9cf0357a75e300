//! Each deliberate fault is found by the short schedules that the checks of every change play. `MUTANT` names one fault,
//! `MUTANT_SEEDS` how many schedules are tried.
#![cfg(feature = "faults")]

use fallgap_keeper::fault::{self, Fault};
use fallgap_sextant::Check;
use fallgap_sextant::schedule::Schedule;
use fallgap_sextant::voyage::sail;

/// How many schedules it takes, and which check finds it.
fn found(fault: Fault, most: u64) -> Option<(u64, Check)> {
    fault::set(Some(fault));
    let found =
        (0..most).find_map(|seed| sail(&Schedule::short(seed)).err().map(|breach| (seed, breach.check())));
    fault::set(None);
    found
}

#[test]
fn every_fault_is_found() {
    let given = |name| std::env::var(name).ok();
    let most = given("MUTANT_SEEDS").and_then(|most| most.parse().ok()).unwrap_or(400);
    let one = given("MUTANT");
    let faults =
        Fault::ALL.into_iter().filter(|fault| one.as_ref().is_none_or(|one| format!("{fault:?}") == *one));
    let faults: std::sync::Mutex<Vec<Fault>> = std::sync::Mutex::new(faults.collect());
    let missed = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                loop {
                    let Some(fault) = faults.lock().unwrap().pop() else { return };
                    match found(fault, most) {
                        Some((seed, check)) => println!("| {fault:?} | {check} | {} |", seed + 1),
                        None => missed.lock().unwrap().push(fault),
                    }
                }
            });
        }
    });
    let missed = missed.into_inner().unwrap();
    assert!(missed.is_empty(), "not found: {missed:?}");
}

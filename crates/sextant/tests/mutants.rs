//! Each deliberate fault is found: the table names a short schedule that finds it, and the check that does. `MUTANT`
//! (a fault's name, or `all`) looks for the first schedules instead, among `MUTANT_SEEDS`, and prints them.
#![cfg(feature = "faults")]

use fallgap_keeper::fault::{self, Fault};
use fallgap_sextant::Check;
use fallgap_sextant::schedule::Schedule;
use fallgap_sextant::voyage::sail;

/// Faults, the seeds of schedules that find them, and the checks.
const FOUND: &[(Fault, u64, Check)] = &[
    (Fault::MajorityLessOne, 1, Check::Linear),
    (Fault::AcceptUnsynced, 7, Check::Linear),
    (Fault::PromiseNotWritten, 119, Check::Shown),
    (Fault::SnapshotWithoutPromises, 2830, Check::Linear),
    (Fault::WipedDiskVotes, 11, Check::Linear),
    (Fault::CoverLessOne, 179, Check::Fence),
    (Fault::PromiseUnsynced, 3760, Check::Linear),
    (Fault::NewcomerVotes, 29, Check::Linear),
    (Fault::PromiseFalls, 2, Check::Linear),
    (Fault::AcceptBelowPromise, 0, Check::Shown),
    (Fault::NextNotPromised, 2, Check::Linear),
    (Fault::LowestFound, 0, Check::Shown),
    (Fault::FoundIsCommitted, 114, Check::Linear),
    (Fault::UnclearIsBusy, 44, Check::Refused),
    (Fault::SentForgotten, 44, Check::Refused),
    (Fault::FenceStays, 0, Check::Fence),
    (Fault::HoldShortened, 2, Check::OneHolder),
    (Fault::AgeStays, 0, Check::OneHolder),
    (Fault::EditionFalls, 0, Check::Shown),
    (Fault::ConditionNotAsked, 0, Check::Condition),
    (Fault::NoRepair, 0, Check::Even),
    (Fault::WallClock, 37, Check::OneHolder),
];

fn sailed(fault: Fault, seed: u64) -> Option<Check> {
    fault::set(Some(fault));
    let found = sail(&Schedule::short(seed)).err().map(|breach| breach.check());
    fault::set(None);
    found
}

#[test]
fn every_fault_is_found() {
    let given = |name| std::env::var(name).ok();
    if let Some(name) = given("MUTANT") {
        let most = given("MUTANT_SEEDS").and_then(|most| most.parse().ok()).unwrap_or(1000u64);
        for fault in Fault::ALL.into_iter().filter(|fault| name == "all" || format!("{fault:?}") == name) {
            let found = (0..most).find_map(|seed| Some((seed, sailed(fault, seed)?)));
            println!("{fault:?}: {found:?}");
        }
        return;
    }
    for (fault, seed, check) in FOUND {
        assert_eq!(sailed(*fault, *seed), Some(*check), "{fault:?}, seed {seed}");
        assert_eq!(sail(&Schedule::short(*seed)).err(), None, "without it, seed {seed}");
    }
}

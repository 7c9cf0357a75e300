//! Each deliberate fault is found: the tables name a short schedule or a script that finds it, and the check that does.
//! `MUTANT` (a fault's name, or `all`) looks for the first schedules instead, among `MUTANT_SEEDS` from `MUTANT_FROM` on, and prints
//! them.
#![cfg(feature = "faults")]

mod scripts;

use fallgap_control_state::fault::{self, Fault};
use fallgap_simulation::Check;
use fallgap_simulation::schedule::Schedule;
use fallgap_simulation::voyage::{guarded, sail};

/// Faults, the seeds of schedules that find them, and the checks.
const FOUND: &[(Fault, u64, Check)] = &[
    (Fault::MajorityLessOne, 1, Check::Linear),
    (Fault::AcceptUnsynced, 16, Check::Linear),
    (Fault::PromiseNotWritten, 250, Check::Linear),
    (Fault::SnapshotWithoutPromises, 1030, Check::Linear),
    (Fault::WipedDiskVotes, 179, Check::Linear),
    (Fault::CoverLessOne, 2126, Check::Linear),
    (Fault::PromiseUnsynced, 5076, Check::Linear),
    (Fault::NewcomerVotes, 77, Check::Linear),
    (Fault::PromiseFalls, 14, Check::Linear),
    (Fault::AcceptBelowPromise, 0, Check::Shown),
    (Fault::NextNotPromised, 1, Check::Linear),
    (Fault::LowestFound, 0, Check::Shown),
    (Fault::FoundIsCommitted, 226, Check::Linear),
    (Fault::UnclearIsBusy, 1496, Check::Refused),
    (Fault::SentForgotten, 44, Check::Refused),
    (Fault::FenceStays, 0, Check::Fence),
    (Fault::HoldShortened, 7, Check::OneHolder),
    (Fault::AgeStays, 0, Check::OneHolder),
    (Fault::EditionFalls, 3, Check::Shown),
    (Fault::ConditionNotAsked, 0, Check::Condition),
    (Fault::NoRepair, 0, Check::Even),
    (Fault::WallClock, 43, Check::OneHolder),
];

/// Faults that show in changes of members only, the scripts that find them, how many of their first 50 seeds do at
/// least, and the checks.
const SCRIPTED: &[(Fault, scripts::Script, usize, Check)] = &[
    (
        Fault::SuccessorUnsynced,
        scripts::epochs::the_driver_is_cut_off_and_the_other_loses_its_power,
        20,
        Check::Epochs,
    ),
    (Fault::OwnSuccessor, scripts::epochs::two_changes_are_wanted, 40, Check::Epochs),
    (Fault::NotSealed, scripts::epochs::one_forgets_that_the_epoch_began, 40, Check::Linear),
    (Fault::AdoptOverPromise, scripts::epochs::a_value_comes_round_about, 40, Check::Linear),
    (Fault::LeaverDoesNotAsk, scripts::one_of_two_copies, 40, Check::Linear),
    (Fault::LeaverAccepts, scripts::a_write_between, 40, Check::Linear),
    (Fault::LeaverStaysIn, scripts::a_loss_right_after_a_planned_replacement, 40, Check::CaughtUp),
    (Fault::LeaverStaysIn, scripts::a_loss_right_after_a_replacement_and_restarts, 40, Check::CaughtUp),
    (Fault::ChangeBeforeCaughtUp, scripts::two_newcomers_at_once, 40, Check::CaughtUp),
    (Fault::RotIsTorn, scripts::rot::a_rotten_log_and_a_loss, 50, Check::Linear),
    (Fault::StayerUnsynced, scripts::a_slow_disk_among_those_that_stay, 40, Check::Linear),
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
        let number = |name, usual| given(name).and_then(|text| text.parse().ok()).unwrap_or(usual);
        let (from, most) = (number("MUTANT_FROM", 0u64), number("MUTANT_SEEDS", 1000u64));
        for fault in Fault::ALL.into_iter().filter(|fault| name == "all" || format!("{fault:?}") == name) {
            let found = (from..from + most).find_map(|seed| Some((seed, sailed(fault, seed)?)));
            println!("{fault:?}: {found:?}");
        }
        return;
    }
    for (fault, seed, check) in FOUND {
        assert_eq!(sailed(*fault, *seed), Some(*check), "{fault:?}, seed {seed}");
        assert_eq!(sail(&Schedule::short(*seed)).err(), None, "without it, seed {seed}");
    }
}

#[test]
fn every_fault_of_a_change_of_members_is_found() {
    for (fault, script, least, check) in SCRIPTED {
        fault::set(Some(*fault));
        let found: Vec<Check> =
            (0..50).filter_map(|seed| guarded(|| script(seed)).err()).map(|breach| breach.check()).collect();
        fault::set(None);
        let expected = found.iter().filter(|found| *found == check).count();
        println!("{fault:?}: {expected} of 50");
        assert!(expected >= *least, "{fault:?}: {expected} of 50 runs, and {found:?}");
    }
}

/// The first 26 were made for these checks; each later one is found by a test of its own part.
#[test]
fn none_of_the_first_26_is_left_out() {
    let named = |fault: &Fault| FOUND.iter().any(|f| f.0 == *fault) || SCRIPTED.iter().any(|f| f.0 == *fault);
    let left: Vec<Fault> = Fault::ALL.into_iter().take(26).filter(|fault| !named(fault)).collect();
    assert!(left.is_empty(), "{left:?}");
}

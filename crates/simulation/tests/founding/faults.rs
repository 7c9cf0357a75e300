//! Each deliberate fault of founding is found, and nothing is found without it.

use crate::*;
use fallgap_control_state::fault::{self, Fault};

/// Plays it with the fault, for some seeds of chance, and without.
fn found(fault: Fault, play: impl Fn(u64)) {
    let broken = |rng: u64| guarded(|| play(rng)).err().map(|breach| breach.check());
    fault::set(Some(fault));
    let with: Vec<_> = (0..20).map(broken).collect();
    fault::set(None);
    assert!(with.contains(&Some(Check::Epochs)), "{fault:?}: {with:?}");
    assert!((0..20).all(|rng| broken(rng).is_none()), "without {fault:?}");
}

#[test]
fn each_is_found_by_two_beginnings() {
    found(Fault::FoundedByFew, |rng| {
        let mut sea = begin(rng, 5, 0, &[1, 2, 3]);
        cut_links(&mut sea, node(1), false, false);
        sea.run(ms(9000));
    });
    found(Fault::SuccessorUnsynced, |rng| power_lost(&mut begin(rng, 4, 0, &[2, 3, 4]), 9, true, true, 0));
    // 2 has not accepted what 3 proposes, and would name others: it has never heard 4.
    found(Fault::OwnSuccessor, |rng| {
        let mut sea = begin(rng, 5, 0, &[1, 2, 3]);
        sea.dead_links.extend([(node(4), node(1)), (node(4), node(2)), (node(3), node(2))]);
        news_lost(&mut sea, 4);
    });
    found(Fault::WipedSeedVotes, |rng| voted_and_wiped(&mut begin(rng, 5, 0, &[1, 2, 3])));
}

/// `MUTANT_SEEDS` looks for the first schedules instead, among so many, and prints them.
#[test]
fn drawn_schedules_find_them() {
    let sailed = |fault, seed| {
        fault::set(fault);
        let found = sail(&Schedule::at_founding(seed)).err().map(|breach| breach.check());
        fault::set(None);
        found
    };
    let table = [Fault::FoundedByFew, Fault::WipedSeedVotes, Fault::SuccessorUnsynced, Fault::OwnSuccessor];
    for (fault, seed) in [(Fault::FoundedByFew, 82), (Fault::SuccessorUnsynced, 4052)] {
        assert_eq!(sailed(Some(fault), seed), Some(Check::Epochs), "{fault:?}");
        assert_eq!(sailed(None, seed), None, "without {fault:?}");
    }
    if let Some(most) = std::env::var("MUTANT_SEEDS").ok().and_then(|most| most.parse().ok()) {
        for fault in table {
            let found = (0..most).find_map(|seed| Some((seed, sailed(Some(fault), seed)?)));
            fault::set(Some(fault));
            let played = |rng| guarded(|| anything(rng)).err().map(|breach| breach.check());
            let other = (0..most).find_map(|rng| Some((rng, played(rng)?)));
            fault::set(None);
            println!("{fault:?}: {found:?}, {other:?}");
        }
    }
}

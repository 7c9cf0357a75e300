//! Steady clocks whose rates differ from machine to machine. Callers go by the sea's own.

use fallgap_simulation::schedule::Schedule;
use fallgap_simulation::voyage::sail;

/// Crystals are apart by 200 ppm; 5 in 100 is far beyond what a machine's clock does.
const RATES: [u32; 2] = [200, 50_000];

#[test]
fn schedules_hold_whatever_the_rates_of_clocks() {
    for (seed, drift_ppm) in (0..60).flat_map(|seed| RATES.map(|rate| (seed, rate))) {
        let schedule = Schedule { drift_ppm, ..Schedule::short(seed) };
        assert_eq!(sail(&schedule).err(), None, "seed {seed}, {drift_ppm} ppm");
    }
}

/// A hold counted by a keeper's fast clock is over before its holder's is: found without the margin, not with it.
#[cfg(feature = "faults")]
#[test]
fn a_hold_without_a_margin_has_two_holders() {
    use fallgap_control_state::fault::{self, Fault};
    use fallgap_simulation::Check;

    let drifts = |seed| Schedule { drift_ppm: 50_000, ..Schedule::short(seed) };
    let found = (0..60).find_map(|seed| {
        fault::set(Some(Fault::NoDriftMargin));
        let found = sail(&drifts(seed)).err();
        fault::set(None);
        Some((seed, found?.check()))
    });
    println!("{found:?}");
    assert!(found.is_some_and(|(_, check)| check == Check::OneHolder), "{found:?}");
}

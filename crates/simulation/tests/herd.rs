//! All machines, or all seeds, end at once in the first seconds of the very first start, at every 10 ms: by a kill, or by a
//! loss of power with none of what was not synced. There is never a second beginning, and there is one whenever a
//! majority of the seeds remembers. Over the real cores, in virtual time.

use fallgap_control_state::NodeId;
use fallgap_simulation::voyage::guarded;
use fallgap_simulation::waters::{Sea, ms, node};

/// Whether a system began, and whether a majority of the seeds remembered.
fn play(seeds: &[u8], after: u64, power: bool, all: bool) -> (bool, bool) {
    let mut sea = Sea::new(after, 3, 3);
    sea.seeds = seeds.iter().copied().map(node).collect();
    sea.run(ms(after));
    let herd: Vec<NodeId> = if all { sea.machines.keys().copied().collect() } else { sea.seeds.clone() };
    for one in herd {
        if power {
            sea.stop(one, 0);
        } else {
            sea.kill(one, false);
        }
        let back = ms(sea.rng.u64(50..1000));
        sea.restart(one, back);
    }
    let knows = |sea: &Sea| sea.machines.values().any(|m| m.keeper.as_ref().is_some_and(|k| k.epoch() > 0));
    sea.run(sea.now + ms(1100));
    let remember = sea.seeds.iter().filter(|seed| !sea.machines[*seed].forgot).count();
    sea.run(sea.now + ms(12_000));
    let began = knows(&sea);
    assert!(!began || sea.is_caught_up(), "{:?}", sea.view());
    (began, remember > sea.seeds.len() / 2)
}

#[test]
fn a_herd_that_ends_at_the_first_start_makes_no_second_beginning() {
    for (name, seeds) in [("with disks", [1, 2, 3]), ("one without", [1, 2, 4]), ("without disks", [4, 5, 6])]
    {
        for (power, all) in [(false, true), (true, true), (false, false), (true, false)] {
            let (mut never, mut last) = (0, 0);
            for after in (0..3000).step_by(10) {
                match guarded(|| play(&seeds, after, power, all)) {
                    Ok((began, remembered)) => {
                        assert!(began || !remembered, "{name}, power {power}, all {all}, after {after} ms");
                        if !began {
                            (never, last) = (never + 1, after);
                        }
                    }
                    Err(breach) => panic!("{name}, power {power}, all {all}, after {after} ms: {breach}"),
                }
            }
            println!("seeds {name}, power {power}, all {all}: never begun in {never} of 300, last {last} ms");
        }
    }
}

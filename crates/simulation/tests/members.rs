//! Members that leave, come and are lost, one after the other, over the real cores in virtual time.

mod scripts;

use fallgap_simulation::voyage::guarded;

const SCRIPTS: [(&str, scripts::Script); 11] = [
    ("a rotten log and a loss", scripts::rot::a_rotten_log_and_a_loss),
    ("one of two copies", scripts::one_of_two_copies),
    ("a write between", scripts::a_write_between),
    ("a slow disk among those that stay", scripts::a_slow_disk_among_those_that_stay),
    ("a loss right after a planned replacement", scripts::a_loss_right_after_a_planned_replacement),
    ("a loss right after a replacement and restarts", scripts::a_loss_right_after_a_replacement_and_restarts),
    (
        "the driver is cut off and the other loses its power",
        scripts::epochs::the_driver_is_cut_off_and_the_other_loses_its_power,
    ),
    ("two changes are wanted", scripts::epochs::two_changes_are_wanted),
    ("one forgets that the epoch began", scripts::epochs::one_forgets_that_the_epoch_began),
    ("two newcomers at once", scripts::two_newcomers_at_once),
    ("a value comes round about", scripts::epochs::a_value_comes_round_about),
];

#[test]
fn every_script_holds() {
    for (name, script) in SCRIPTS {
        for seed in 0..50 {
            if let Err(breach) = guarded(|| script(seed)) {
                panic!("{name}, seed {seed}: {breach}");
            }
        }
    }
}

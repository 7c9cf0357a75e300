//! All orders of small scripts, three nodes.

use fallgap_control_state::Call;
use fallgap_simulation::tides::{Script, walk};

fn number() -> Call {
    Call::Number { name: "n".into() }
}

#[test]
fn all_orders_of_small_scripts() {
    let one = Script { calls: vec![(1, number())], powers: 0, lost: 0, doubled: 0 };
    let table = [
        (one.clone(), 1_000),
        (Script { lost: 2, doubled: 1, ..one.clone() }, 50_000),
        (Script { calls: vec![(1, number()), (1, number())], lost: 1, ..one.clone() }, 50_000),
    ];
    for (script, most) in table {
        match walk(&script, most) {
            Ok(walked) => assert!(walked.exhaustive && walked.ends > 0, "{script:?}: {walked:?}"),
            Err(stranded) => panic!("{}: {:#?}", stranded.breach, stranded.way),
        }
    }
    // Not exhaustive: the first states of those with a loss of power, and of two callers at once.
    let table =
        [Script { powers: 1, ..one.clone() }, Script { calls: vec![(1, number()), (2, number())], ..one }];
    for script in table {
        if let Err(stranded) = walk(&script, 4_000) {
            panic!("{}: {:#?}", stranded.breach, stranded.way);
        }
    }
}

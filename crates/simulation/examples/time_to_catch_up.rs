//! How long until a member that was lost counts again, and until all hold the same, by the kind of loss and the number of
//! registers: keepers in virtual time, three disks, messages of 1 to 2 ms, syncs of 4 to 8 ms. Simulated; the last
//! figure is how many such runs a second were played. Numbers on the command line are counts of registers.

use std::time::{Duration, Instant};

use fallgap_control_state::Call;
use fallgap_simulation::voyage::uneven;
use fallgap_simulation::waters::{Sea, ms, node};

/// Calls under way while registers are filled.
const LOT: u64 = 200;
const MOST: Duration = ms(120_000);

fn filled(registers: u64) -> Sea {
    let mut sea = Sea::founded(1, 3, 0);
    sea.snapshot_after = usize::MAX;
    // From three quarters on what nobody uses is given up; this is about what stays.
    sea.terms.registers = sea.terms.registers.max(registers as usize * 2);
    sea.run(ms(1000));
    sea.first = false;
    for lot in (0..registers).step_by(LOT as usize) {
        for id in lot..(lot + LOT).min(registers) {
            sea.call(node((id % 3) as u8 + 1), id + 1, Call::Number { name: format!("n{id}") });
        }
        while (sea.answers.len() as u64) < (lot + LOT).min(registers) {
            sea.run(sea.now + ms(5));
        }
    }
    sea.run(sea.now + ms(5000));
    sea
}

/// All registers once more, without the member that is away.
fn change(sea: &mut Sea, registers: u64) {
    sea.answers.clear();
    for lot in (0..registers).step_by(LOT as usize) {
        for id in lot..(lot + LOT).min(registers) {
            sea.call(node((id % 2) as u8 * 2 + 1), 1_000_000 + id, Call::Number { name: format!("n{id}") });
        }
        while (sea.answers.len() as u64) < (lot + LOT).min(registers) {
            sea.run(sea.now + ms(5));
        }
    }
}

fn caught_up(sea: &mut Sea, lost: u8) -> (Duration, Duration) {
    let since = sea.now;
    let mut counts = None;
    while sea.now < since + MOST {
        sea.run(sea.now + ms(20));
        if counts.is_none() && sea.keeper(node(lost)).is_some_and(|keeper| keeper.is_member()) {
            counts = Some(sea.now - since);
        }
        if let Some(counts) = counts
            && sea.is_caught_up()
            && uneven(sea).is_none()
        {
            return (counts, sea.now - since);
        }
    }
    (counts.unwrap_or(MOST), MOST)
}

fn main() {
    let began = Instant::now();
    let mut runs = 0;
    let given: Vec<u64> = std::env::args().filter_map(|arg| arg.parse().ok()).collect();
    for registers in if given.is_empty() { vec![100, 1000, 10_000] } else { given } {
        let calm = filled(registers);
        for loss in ["restart", "torn", "behind", "empty", "replaced"] {
            let mut sea = calm.clone();
            let mut lost = 2;
            match loss {
                "restart" => {
                    sea.kill(node(2), false);
                    sea.restart(node(2), ms(1));
                }
                "torn" => {
                    for id in 0..LOT.min(registers) {
                        sea.call(node(1), 2_000_000 + id, Call::Number { name: format!("n{id}") });
                    }
                    sea.run(sea.now + ms(6));
                    sea.kill(node(2), true);
                    sea.restart(node(2), ms(1));
                }
                "behind" => {
                    sea.kill(node(2), false);
                    change(&mut sea, registers);
                    sea.restart(node(2), ms(1));
                }
                "empty" => {
                    sea.wipe(node(2));
                    sea.restart(node(2), ms(1));
                }
                _ => {
                    lost = 20;
                    sea.remove(node(2));
                    sea.add(node(lost), true);
                }
            }
            let (counts, even) = caught_up(&mut sea, lost);
            runs += 1;
            println!("figure {loss}_{registers}_counts_ms {}", counts.as_millis());
            println!("figure {loss}_{registers}_even_ms {}", even.as_millis());
        }
    }
    println!("figure runs_a_second {:.2}", f64::from(runs) / began.elapsed().as_secs_f64());
}

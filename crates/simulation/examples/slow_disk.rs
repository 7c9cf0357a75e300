//! How long a write to the control state takes while one of four disks needs 0.5 to 3 s for a sync instead of 4 to
//! 8 ms, in virtual time: from the call at a keeper to its answer, by whom was asked.

use fallgap_control_state::{Answer, Call};
use fallgap_simulation::waters::{Sea, ms, node};
use std::collections::BTreeMap;
use std::time::Duration;

const KEEPERS: u8 = 4;
const SLOW: u8 = 2;
const EACH: u64 = 600;
const REGISTERS: usize = 42;

/// Milliseconds of writes that were acknowledged, sorted, and how many were not. Calls on one register go to one
/// keeper, as supervisors send them.
fn writes(sea: &mut Sea, asked: &[u8], first: u64) -> (Vec<f64>, usize) {
    let mut sent = BTreeMap::new();
    for id in first..first + EACH {
        // A register each in turn, so that calls do not wait for one another.
        let register = id as usize % REGISTERS;
        sent.insert(id, sea.now);
        let name = format!("n{}-{register}", asked.len());
        sea.call(node(asked[register % asked.len()]), id, Call::Number { name });
        sea.run(sea.now + ms(20));
    }
    sea.run(sea.now + ms(2000));
    let (mut took, mut others) = (Vec::new(), 0);
    for (id, told, answer) in std::mem::take(&mut sea.answers) {
        match (sent.remove(&id), answer) {
            (Some(sent), Answer::Value(_)) => took.push((told - sent).as_secs_f64() * 1000.0),
            _ => others += 1,
        }
    }
    took.sort_by(f64::total_cmp);
    (took, others + sent.len())
}

fn report(name: &str, (took, others): &(Vec<f64>, usize)) {
    let at =
        |part: f64| took.get(((took.len().max(1) - 1) as f64 * part) as usize).copied().unwrap_or(f64::NAN);
    println!("figure {name}_median_ms {:.1}", at(0.5));
    println!("figure {name}_p99_ms {:.1}", at(0.99));
    println!("figure {name}_longest_ms {:.1}", at(1.0));
    println!("figure {name}_not_acknowledged {others}");
}

fn main() {
    let mut sea = Sea::new(11, KEEPERS, 0);
    sea.run(ms(5000));
    report("calm", &writes(&mut sea, &[1, 3, 4], 1));
    let slow = |sea: &mut Sea, until: Duration| {
        sea.machines.get_mut(&node(SLOW)).into_iter().for_each(|machine| machine.slow_until = until);
    };
    slow(&mut sea, Duration::MAX);
    report("one_slow_others_asked", &writes(&mut sea, &[1, 3, 4], 10_000));
    report("one_slow_it_is_asked", &writes(&mut sea, &[SLOW], 20_000));
    slow(&mut sea, Duration::ZERO);
    sea.run(sea.now + ms(8000));
    report("after", &writes(&mut sea, &[1, 3, 4], 30_000));
}

//! What contact with a majority costs a call, in virtual time over the real cores: words, time and processor time of a read
//! and a write at a quorum, beside a look at this disk only and the check of contact itself.

use fallgap_control_state::{Answer, Call, Keeper};
use fallgap_simulation::waters::{Sea, ms, node};
use std::hint::black_box;
use std::time::{Duration, Instant};

const EACH: u32 = 2000;
const LOOKS: u32 = 200_000;

/// Words and the median time of a call, one after the other at one keeper; processor time of all cores for each. What goes
/// on without calls is taken off.
fn calls(sea: &mut Sea, first: u64, call: impl Fn(u64) -> Call) -> (f64, f64, f64) {
    let step = ms(20);
    let (messages, began) = (sea.messages, Instant::now());
    sea.run(sea.now + step * EACH);
    let (idle, idle_time) = (sea.messages - messages, began.elapsed());
    let (messages, began, mut took) = (sea.messages, Instant::now(), Vec::new());
    for id in first..first + u64::from(EACH) {
        let sent = sea.now;
        sea.call(node(1), id, call(id));
        sea.run(sent + step);
        for (_, told, answer) in std::mem::take(&mut sea.answers) {
            if !matches!(answer, Answer::Busy | Answer::Unknown) {
                took.push((told - sent).as_secs_f64() * 1000.0);
            }
        }
    }
    let words = (sea.messages - messages).saturating_sub(idle) as f64 / f64::from(EACH);
    let spent = began.elapsed().saturating_sub(idle_time) / EACH;
    took.sort_by(f64::total_cmp);
    assert!(took.len() as u32 == EACH, "{} of {EACH} answered", took.len());
    (words, took[took.len() / 2], spent.as_secs_f64() * 1e6)
}

fn alone(keeper: &Keeper, now: Duration, look: impl Fn(&Keeper, Duration) -> bool) -> f64 {
    let began = Instant::now();
    let found = (0..LOOKS).filter(|_| look(black_box(keeper), black_box(now))).count();
    assert_eq!(found, LOOKS as usize);
    began.elapsed().as_secs_f64() * 1e9 / f64::from(LOOKS)
}

fn main() {
    for disks in [3, 5, 7] {
        let mut sea = Sea::founded(11, disks, 0);
        sea.run(ms(5000));
        let put = |id: u64| Call::CellPut { name: "g.k".into(), value: format!("v{id}"), on: None };
        let (write_words, write_ms, write_us) = calls(&mut sea, 1, put);
        let get = |_| Call::CellGet { name: "g.k".into() };
        let (read_words, read_ms, read_us) = calls(&mut sea, 100_000, get);
        sea.call(node(1), 7, Call::LockStart { name: "l".into(), holder: "p".into(), hold: ms(9_000_000) });
        sea.run(sea.now + ms(1000));
        let machine = &sea.machines[&node(1)];
        let (keeper, now) = (machine.keeper.as_ref().expect("it runs"), machine.time(sea.now));
        let local = alone(keeper, now, |keeper, now| keeper.locks(now, "", 1).len() == 1);
        let contact = alone(keeper, now, |keeper, now| keeper.in_contact(now));
        for (name, figure) in [
            ("read_words", read_words),
            ("read_median_ms", read_ms),
            ("read_processor_us", read_us),
            ("write_words", write_words),
            ("write_median_ms", write_ms),
            ("write_processor_us", write_us),
            ("look_at_this_disk_processor_ns", local),
            ("check_of_contact_processor_ns", contact),
        ] {
            println!("figure keepers_{disks}_{name} {figure:.1}");
        }
    }
}

//! How long orders are silent after a core machine dies: what the registers themselves need. Whoever calls, calls a keeper
//! that lives; the caller's own waiting is not in it.

use std::time::Duration;

use fallgap_control_state::{Answer, Call, Key, NodeId};
use fallgap_simulation::waters::{Sea, ms, node};

fn body(edition: u64) -> Vec<u8> {
    let mut body = edition.to_be_bytes().to_vec();
    body.resize(4_000, 7);
    body
}

/// How the steward of the configuration is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Killed,
    Frozen,
    CutOff,
}

/// An order to each other keeper in turn, every 50 ms; how long after the loss the first that was sent after it is
/// acknowledged, the longest wait of all, and how many got no clear answer.
fn silence(rng: u64, disks: u8, loss: Loss) -> (Duration, Duration, usize) {
    let mut sea = Sea::new(rng, disks, 0);
    sea.run(ms(6000));
    let mut edition = 0;
    let mut order = |sea: &mut Sea, at: NodeId| {
        edition += 1;
        sea.call(at, edition, Call::ConfigPut { edition, body: body(edition) });
        edition
    };
    let steward = sea.keeper(node(1)).and_then(|keeper| keeper.steward(&Key::Config)).expect("a steward");
    for _ in 0..20 {
        order(&mut sea, steward);
        sea.run(sea.now + ms(50));
    }
    // It is lost with an order under way.
    order(&mut sea, steward);
    let into = Duration::from_micros(sea.rng.u64(0..12_000));
    sea.run(sea.now + into);
    match loss {
        Loss::Killed => sea.kill(steward, true),
        Loss::Frozen => sea.freeze(steward, ms(20_000)),
        Loss::CutOff => sea.cut(&[steward], ms(20_000)),
    }
    let lost = sea.now;
    let others: Vec<NodeId> = sea.disk_machines().into_iter().filter(|node| *node != steward).collect();
    let mut sent = Vec::new();
    for round in 0..60 {
        sent.push((order(&mut sea, others[round % others.len()]), sea.now));
        sea.run(sea.now + ms(50));
    }
    sea.run(sea.now + ms(1500));
    let told = |id: u64| sea.answers.iter().find(|(told, ..)| *told == id);
    let good = |id: u64| told(id).filter(|(.., answer)| *answer == Answer::Done).map(|(_, at, _)| *at);
    let first = sent.iter().filter_map(|(id, _)| good(*id)).min().map_or(Duration::MAX, |at| at - lost);
    let waits = sent.iter().filter_map(|(id, sent)| Some(good(*id)? - *sent));
    (first, waits.max().unwrap_or(Duration::MAX), sent.iter().filter(|(id, _)| good(*id).is_none()).count())
}

/// A majority is there all along: the next order finds it in two round trips and a sync each, whoever is gone.
#[test]
fn the_next_order_is_acknowledged_at_once_at_any_other_keeper() {
    for loss in [Loss::Killed, Loss::Frozen, Loss::CutOff] {
        for disks in [3, 4, 5, 7] {
            let (mut first, mut longest, mut unclear, mut total) = (Vec::new(), Duration::ZERO, 0, 0);
            for rng in 0..12 {
                let (one, long, none) = silence(rng, disks, loss);
                first.push(one);
                longest = longest.max(long);
                unclear += none;
                total += 60;
            }
            first.sort();
            println!(
                "figure {loss:?} {disks} disks: next acknowledgement {:?} in the middle, {:?} at most; an order {longest:?} at most; {unclear} of {total} unclear",
                first[first.len() / 2],
                first[first.len() - 1],
            );
            assert!(first[first.len() - 1] < ms(120), "{loss:?} {disks}: {first:?}");
            assert!(longest < ms(300) && unclear == 0, "{loss:?} {disks}: {longest:?}, {unclear}");
        }
    }
}

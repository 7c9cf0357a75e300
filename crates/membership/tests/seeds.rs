//! Seeds at a later start: some are cut off from the core, down, or gone for good. A process asks all of them at once and
//! waits for none.

#[allow(dead_code)]
mod sim;

use fallgap_membership::{NodeId, State};
use sim::{Net, ms, node};

#[test]
fn a_process_finds_all_whatever_its_seeds_are() {
    // Seeds: cut off from the rest of the core, down, and not there at all. The core is the first five.
    let (cut, down, nowhere) = (node(0), node(1), node(190));
    let rows: [(&str, Vec<NodeId>, u64); 6] = [
        ("all well", vec![node(2), node(3), node(4)], 400),
        ("the first is cut off", vec![cut, node(2), node(3)], 400),
        ("the first is down", vec![down, node(2), node(3)], 400),
        ("one that is cut off, one down, one well", vec![cut, down, node(4)], 400),
        ("one that is cut off, and two that are not there", vec![cut, down, nowhere], 600),
        ("only one that is cut off", vec![cut], 600),
    ];
    for (name, seeds, most) in rows {
        for seed in 0..6 {
            let nodes = if seed % 2 == 0 { 12 } else { 91 };
            let mut net = Net::settled(seed, nodes, 0.01);
            net.among = (0..5).map(node).collect();
            net.cut.insert(cut);
            net.kill(down);
            net.run(ms(5000));
            let newcomer = node(nodes - 1);
            net.kill(newcomer);
            net.run(ms(2000));
            net.seeds = seeds.clone();
            net.start(newcomer);
            let knows = |net: &Net| {
                let of = net.beacon(newcomer);
                let here = |n: NodeId| of.peer(n).is_some_and(|peer| peer.state == State::Here);
                (2..nodes - 1).all(|i| here(node(i)))
            };
            let took = net.until(ms(most), name, knows);
            println!("{name}, {nodes} nodes: {took:?}");
        }
    }
}

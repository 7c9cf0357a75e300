//! What the beacon costs by the number of nodes, in virtual time: datagrams and bytes, processor time by the clock of
//! one thread (with the encoding and the simulation's own queue), and memory by the resident set of a process of its
//! own for each size. All start at the same moment; then they rest; then one node is killed, and then a tenth of them.
//!
//! Without arguments: all sizes. With a number: that size.

mod gauge;

#[path = "../tests/sim/mod.rs"]
#[allow(dead_code)]
mod sim;

use fallgap_membership::State;
use gauge::{ran, resident_kb};
use sim::{Net, ms, node};
use std::process::Command;
use std::time::Duration;

const SIZES: [usize; 4] = [100, 300, 580, 1000];

fn main() {
    if let Some(nodes) = std::env::args().nth(1).and_then(|arg| arg.parse().ok()) {
        return one(nodes);
    }
    let me = std::env::current_exe().expect("this program's path");
    for nodes in SIZES {
        let ended = Command::new(&me).arg(nodes.to_string()).status();
        assert!(ended.is_ok_and(|status| status.success()), "a size has failed");
    }
}

/// Lets the time go on until it is so, or for so long; tells of it by each node.
fn look(net: &mut Net, nodes: usize, what: &str, most: Duration, so: impl Fn(&Net) -> bool) {
    let (since, sent, bytes) = (net.now, net.sent, net.bytes);
    let (mut spent, mut busiest) = (Duration::ZERO, 0);
    let mut second = (net.now, net.sent);
    while net.now < since + most && !so(net) {
        let began = ran();
        net.run(ms(50));
        spent += ran() - began;
        if net.now >= second.0 + ms(1000) {
            busiest = busiest.max(net.sent - second.1);
            second = (net.now, net.sent);
        }
    }
    let (took, each) = ((net.now - since).as_secs_f64(), nodes as f64);
    println!("figure {what}_ms_n{nodes} {:.0}", took * 1e3);
    println!("figure {what}_datagrams_each_n{nodes} {:.1}", (net.sent - sent) as f64 / each);
    println!("figure {what}_bytes_each_n{nodes} {:.0}", (net.bytes - bytes) as f64 / each);
    println!("figure {what}_datagrams_a_second_each_busiest_n{nodes} {:.1}", busiest as f64 / each);
    println!("figure {what}_datagrams_a_second_each_n{nodes} {:.1}", (net.sent - sent) as f64 / took / each);
    println!("figure {what}_bytes_a_second_each_n{nodes} {:.0}", (net.bytes - bytes) as f64 / took / each);
    println!("figure {what}_processor_ms_each_n{nodes} {:.2}", spent.as_secs_f64() * 1e3 / each);
    println!(
        "figure {what}_processor_ms_a_second_each_n{nodes} {:.3}",
        spent.as_secs_f64() * 1e3 / took / each
    );
}

fn one(nodes: usize) {
    let before = resident_kb();
    let mut net = Net::new(7, &[0, 1, 2]);
    (0..nodes).for_each(|i| net.start(node(i)));
    look(&mut net, nodes, "start", ms(60_000), |net| net.knowing() == nodes);
    println!("figure start_knowing_n{nodes} {}", net.knowing());
    net.run(ms(5000));
    look(&mut net, nodes, "rest", ms(10_000), |_| false);
    println!("figure resident_kb_each_n{nodes} {:.1}", (resident_kb() - before) as f64 / nodes as f64);
    let gone = |net: &Net, lost: &[usize]| {
        let living = net.living().len();
        lost.iter().all(|i| net.holding(node(*i), State::Gone) == living)
    };
    net.kill(node(nodes / 2));
    look(&mut net, nodes, "one_lost", ms(30_000), |net| gone(net, &[nodes / 2]));
    net.run(ms(5000));
    // A zone: every tenth.
    let zone: Vec<usize> = (5..nodes).step_by(10).collect();
    zone.iter().for_each(|i| net.kill(node(*i)));
    look(&mut net, nodes, "a_tenth_lost", ms(30_000), |net| gone(net, &zone));
    net.run(ms(5000));
    zone.iter().for_each(|i| net.start(node(*i)));
    let there = net.living().len();
    look(&mut net, nodes, "a_tenth_back", ms(30_000), |net| net.knowing() == there);
}

//! How long a half failing server goes on hurting, with one verdict for all and with each supervisor alone, in one
//! run (simulated). With a number: so many supervisors; else 12 and 91.

#[path = "../tests/world/mod.rs"]
#[allow(dead_code)]
mod world;

use fallgap_health::{KINDS, Kind, Stand};
use world::{Fault, Plan, Tally, World};

const FROM: u64 = 10_000;
const TO: u64 = 20_000;
const END: u64 = 40_000;

fn half(share_of: usize) -> Fault {
    match share_of {
        25 => |at, s, _, _, _| if (FROM..TO).contains(&at) && s < 3 { 0.45 } else { 0.0 },
        _ => |at, s, _, _, _| if (FROM..TO).contains(&at) && s < 42 { 0.45 } else { 0.0 },
    }
}

struct Played {
    before: Tally,
    during: Tally,
    after: Tally,
    /// For each ill server, when the first node held it out, and when the last did.
    barred: Vec<(Option<u64>, Option<u64>)>,
    /// How many pairs of a node and an ill server were ever held out.
    pairs: f64,
    bytes: usize,
}

fn play(nodes: usize, together: bool, fault: Fault, loss: f64) -> Played {
    let (servers, ill, zones, ops) = if nodes <= 12 { (25, 3, 4, 45.0) } else { (419, 42, 5, 22.0) };
    let mut world = World::new(Plan { nodes, zones, servers, ops, together, fault, loss, seed: 3 });
    world.run(FROM);
    let before = std::mem::take(&mut world.tally);
    let mut barred = vec![(None, None); ill];
    let mut most = vec![0; ill];
    for at in (FROM..TO).step_by(10) {
        world.run(at);
        for server in 0..ill {
            let held = if together {
                world.hold(server, Kind::Lookup, Stand::Lightened)
            } else {
                world.avoid(server)
            };
            most[server] = held.max(most[server]);
            let at = at - FROM;
            if held > 0 {
                barred[server].0.get_or_insert(at);
            }
            if held == nodes {
                barred[server].1.get_or_insert(at);
            }
        }
    }
    world.run(TO);
    let during = std::mem::take(&mut world.tally);
    let bytes = world.bytes;
    world.run(END);
    let pairs = most.iter().sum::<usize>() as f64 / (ill * nodes) as f64;
    Played { before, during, after: world.tally, barred, pairs, bytes }
}

/// Of a thousand runs, how many failed.
fn hurt(tally: &Tally, kind: Kind) -> f64 {
    let count = tally[kind as usize];
    f64::from(count.failed) * 1e3 / f64::from(count.runs.max(1))
}

fn median(mut times: Vec<u64>) -> f64 {
    times.sort_unstable();
    times.get(times.len() / 2).map_or(-1.0, |at| *at as f64)
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    for nodes in if sizes.is_empty() { vec![12, 91] } else { sizes } {
        let servers = if nodes <= 12 { 25 } else { 419 };
        for (way, together) in [("agreed", true), ("alone", false)] {
            let played = play(nodes, together, half(servers), 0.02);
            let firsts: Vec<u64> = played.barred.iter().filter_map(|(first, _)| *first).collect();
            let lasts: Vec<u64> = played.barred.iter().filter_map(|(_, last)| *last).collect();
            let spreads = played.barred.iter().filter_map(|(first, last)| Some((*last)? - (*first)?));
            let spreads: Vec<u64> = spreads.collect();
            let whole = lasts.len() as f64 / played.barred.len() as f64;
            println!("figure n{nodes}_{way}_first_ms {}", median(firsts));
            println!("figure n{nodes}_{way}_last_ms {}", median(lasts));
            println!("figure n{nodes}_{way}_spread_ms {}", median(spreads));
            println!("figure n{nodes}_{way}_on_all_nodes {whole:.2}");
            println!("figure n{nodes}_{way}_pairs {:.2}", played.pairs);
            for kind in KINDS {
                let name = kind.name();
                println!("figure n{nodes}_{way}_{name}_hurt_before {:.1}", hurt(&played.before, kind));
                println!("figure n{nodes}_{way}_{name}_hurt_during {:.1}", hurt(&played.during, kind));
                println!("figure n{nodes}_{way}_{name}_hurt_after {:.1}", hurt(&played.after, kind));
            }
            if together {
                let each = played.bytes as f64 / 10.0 / nodes as f64;
                println!("figure n{nodes}_{way}_bytes_a_second_a_node_in_trouble {each:.0}");
            }
        }
        // Nobody is ill: some runs fail by themselves, and messages are lost.
        let calm: Fault = |_, _, _, _, _| 0.004;
        let servers_out = {
            let (zones, ops) = if nodes <= 12 { (4, 45.0) } else { (5, 22.0) };
            let plan = Plan { nodes, zones, servers, ops, together: true, fault: calm, loss: 0.02, seed: 5 };
            let mut world = World::new(plan);
            world.run(60_000);
            (world.notes.iter().filter(|note| note.contains("is barred")).count(), world.bytes)
        };
        println!("figure n{nodes}_wrong_bars_in_a_calm_minute {}", servers_out.0);
        println!(
            "figure n{nodes}_bytes_a_second_a_node_at_rest {:.1}",
            servers_out.1 as f64 / 60.0 / nodes as f64
        );
    }
}

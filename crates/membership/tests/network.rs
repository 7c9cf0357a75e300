//! Networks of many beacons, in virtual time, with drawn faults.

mod sim;

use fallgap_membership::State;
use sim::{Net, ms, node};

#[test]
fn all_know_all_soon_after_the_start() {
    for (seed, nodes, loss) in [(1, 2, 0.0), (2, 12, 0.0), (3, 12, 0.2), (4, 91, 0.0), (5, 91, 0.05)] {
        let mut net = Net::new(seed, &[0, 1, 2]);
        net.loss = loss;
        (0..nodes).for_each(|i| net.start(node(i)));
        let took = net.until(ms(2000), "all know all", |net| net.knowing() == nodes);
        println!(
            "{nodes} nodes, loss {loss}: {took:?}, {} datagrams, {} bytes at most",
            net.sent, net.longest
        );
        net.run(ms(2000));
        let (sent, from) = (net.sent, net.now);
        net.run(ms(10_000));
        let each = (net.sent - sent) as f64 / (net.now - from).as_secs_f64() / nodes as f64;
        println!("  at rest {each:.1} datagrams a second and node");
        assert!(each <= 15.0, "{each}");
        assert!(loss > 0.0 || net.verdicts.is_empty(), "{:?}", net.verdicts);
    }
}

#[test]
fn a_dead_node_is_doubted_by_all_and_then_gone() {
    for (seed, nodes, loss, bound) in
        [(1, 12, 0.0, 1300), (2, 12, 0.05, 1600), (3, 91, 0.0, 1400), (4, 91, 0.02, 1700), (5, 3, 0.0, 1300)]
    {
        for round in 0..if nodes == 91 { 3 } else { 10 } {
            let mut net = Net::settled(seed * 100 + round, nodes, loss);
            let dead = node(round as usize % nodes);
            net.run(ms(net.sent % 300));
            net.kill(dead);
            let all = nodes - 1;
            let doubted = net.until(ms(bound), "doubted", |net| net.holding(dead, State::Doubted) == all);
            let gone = net.until(ms(4000), "gone", |net| net.holding(dead, State::Gone) == all);
            println!("{nodes} nodes, loss {loss}: doubted after {doubted:?}, gone {:?}", doubted + gone);
            let others = net.verdicts.iter().filter(|v| v.2 != dead).count();
            assert!(loss > 0.0 || others == 0, "{:?}", net.verdicts);
        }
    }
}

#[test]
fn a_gone_node_is_forgotten_and_may_come_back() {
    let mut net = Net::settled(9, 12, 0.01);
    net.kill(node(4));
    net.run(ms(128_000));
    assert!((0..12).filter(|i| *i != 4).all(|i| net.beacon(node(i)).peer(node(4)).is_none()));
    net.start(node(4));
    net.until(ms(1000), "back", |net| net.knowing() == 12);
}

#[test]
fn a_restart_is_noticed_and_wins() {
    for (seed, nodes, pause) in
        [(1, 12, 0), (2, 12, 5), (3, 12, 600), (4, 12, 2000), (5, 12, 9000), (6, 91, 30)]
    {
        let mut net = Net::settled(seed, nodes, 0.01);
        let again = node(seed as usize);
        // An older life that has refuted many doubts.
        for _ in 0..5 {
            net.on(again, |b, now| {
                b.set_disk(Some(now.as_millis() as u64));
                b.woke(now);
            });
            net.run(ms(400));
        }
        let old = net.beacon(again).me().clone();
        assert!(old.sequence >= 5);
        net.kill(again);
        net.run(ms(pause));
        net.start(again);
        let took = net.until(ms(1500), "known anew", |net| net.knowing() == nodes);
        println!("{nodes} nodes, away {pause} ms: known anew after {took:?}");
        assert_ne!(net.beacon(again).me().life, old.life);
        net.run(ms(10_000));
        assert_eq!(net.knowing(), nodes);
    }
}

#[test]
fn all_start_again_at_once() {
    for (seed, nodes) in [(1, 12), (2, 91)] {
        let mut net = Net::settled(seed, nodes, 0.02);
        (0..nodes).for_each(|i| net.kill(node(i)));
        // One stays, with the old lives in its head, and is no seed.
        (0..nodes).filter(|i| *i != 7).for_each(|i| net.start(node(i)));
        let took = net.until(ms(2000), "all but one", |net| net.knowing() == nodes - 1);
        net.start(node(7));
        println!("{nodes} nodes again after {took:?}");
        net.until(ms(1000), "all", |net| net.knowing() == nodes);
    }
    // Most start again while some keep the old lives.
    let mut net = Net::settled(3, 12, 0.02);
    (0..9).for_each(|i| net.kill(node(i)));
    net.run(ms(50));
    (0..9).for_each(|i| net.start(node(i)));
    net.until(ms(2000), "all", |net| net.knowing() == 12);
    net.run(ms(10_000));
    assert_eq!(net.knowing(), 12);
}

#[test]
fn many_die_at_once() {
    for (seed, nodes, die) in [(1, 12, 6), (2, 12, 9), (3, 91, 40)] {
        let mut net = Net::settled(seed, nodes, 0.0);
        (0..die).for_each(|i| net.kill(node(i)));
        let took = net.until(ms(3500), "all doubted", |net| net.knowing() == nodes - die);
        println!("{die} of {nodes} dead: all doubted after {took:?}");
        let wrong: Vec<_> = net.verdicts.iter().filter(|v| net.living().contains(&v.2)).collect();
        assert!(wrong.is_empty(), "{wrong:?}");
    }
}

#[test]
fn a_frozen_node_does_not_condemn_the_others() {
    for (seed, frozen_ms) in [(1, 400), (2, 1500), (3, 3000), (4, 8000), (5, 60_000)] {
        let mut net = Net::settled(seed, 12, 0.01);
        let frozen = node(5);
        net.freeze(frozen);
        net.run(ms(frozen_ms));
        net.verdicts.clear();
        net.thaw(frozen);
        let took = net.until(ms(800), "back", |net| net.knowing() == 12);
        println!("frozen for {frozen_ms} ms: back after {took:?}");
        net.run(ms(3000));
        let wrong: Vec<_> = net.verdicts.iter().filter(|v| v.2 != frozen || frozen_ms > 8000).collect();
        assert!(wrong.is_empty(), "{wrong:?}");
        assert_eq!(net.knowing(), 12);
    }
}

#[test]
fn a_cut_heals() {
    for (seed, nodes, side, cut_ms) in [
        (1, 12, 1, 600),
        (2, 12, 1, 2500),
        (3, 12, 1, 12_000),
        (4, 12, 6, 2500),
        (5, 12, 6, 12_000),
        (6, 12, 4, 200_000),
        (7, 91, 1, 6000),
        (8, 91, 45, 12_000),
    ] {
        let mut net = Net::settled(seed, nodes, 0.01);
        let one: Vec<_> = (0..side).map(node).collect();
        net.cut.extend(&one);
        net.run(ms(cut_ms));
        if cut_ms > 5000 {
            assert_eq!(net.beacon(node(0)).here(), side, "a node that is cut off knows it");
            assert_eq!(net.beacon(node(nodes - 1)).here(), nodes - side);
        }
        let across = |v: &&(_, _, _, State)| one.contains(&v.1) == one.contains(&v.2);
        let wrong: Vec<_> = net.verdicts.iter().filter(across).collect();
        assert!(wrong.is_empty(), "none on the same side: {wrong:?}");
        net.cut.clear();
        net.verdicts.clear();
        let sent = net.sent;
        let took =
            net.until(ms(if cut_ms > 100_000 { 3500 } else { 1500 }), "healed", |net| net.knowing() == nodes);
        println!(
            "{side} of {nodes} cut for {cut_ms} ms: healed after {took:?}, {} datagrams",
            net.sent - sent
        );
        let wrong: Vec<_> = net.verdicts.iter().filter(across).collect();
        assert!(wrong.is_empty(), "none for the healing: {wrong:?}");
        net.run(ms(5000));
        assert_eq!(net.knowing(), nodes);
    }
}

#[test]
fn a_deaf_node_does_not_get_the_others_doubted() {
    let mut net = Net::settled(1, 12, 0.0);
    net.deaf.insert(node(3));
    let sent = net.sent;
    net.run(ms(20_000));
    let each = (net.sent - sent) as f64 / 20.0 / 12.0;
    println!("one deaf: {each:.1} datagrams a second and node");
    let wrong: Vec<_> = net.verdicts.iter().filter(|v| v.1 != node(3) && v.2 != node(3)).collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    net.deaf.clear();
    net.until(ms(1500), "well again", |net| net.knowing() == 12);
}

#[test]
fn drawn_troubles_end_with_all_knowing_all() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = [3, 5, 12, 20][seed as usize % 4];
        let mut net = Net::settled(seed, nodes, 0.05);
        let mut frozen = Vec::new();
        for _ in 0..rng.usize(3..15) {
            let n = node(rng.usize(..nodes));
            match rng.u8(..8) {
                0 | 1 => {
                    net.kill(n);
                    net.run(ms(rng.u64(..3000)));
                    net.start(n);
                }
                2 if !frozen.contains(&n) => {
                    net.freeze(n);
                    frozen.push(n);
                }
                3 => frozen.drain(..).for_each(|n| net.thaw(n)),
                4 => _ = net.cut.insert(n),
                5 => net.cut.clear(),
                6 => net.loss = [0.0, 0.05, 0.3][rng.usize(..3)],
                _ => net.on(n, |b, now| b.leaving(now)),
            }
            frozen.retain(|f| *f != n || net.living().contains(f));
            net.run(ms(rng.u64(..4000)));
        }
        frozen.drain(..).for_each(|n| net.thaw(n));
        net.cut.clear();
        net.loss = 0.02;
        net.until(ms(4000), &format!("seed {seed}"), |net| net.knowing() == nodes);
    }
}

#[test]
fn a_large_network_costs_each_node_the_same() {
    let mut net = Net::new(1, &[0, 1, 2]);
    (0..400).for_each(|i| net.start(node(i)));
    let took = net.until(ms(4000), "all know all", |net| net.knowing() == 400);
    println!("400 nodes: {took:?}, {} datagrams", net.sent);
    net.run(ms(3000));
    let sent = net.sent;
    net.run(ms(3000));
    let each = (net.sent - sent) as f64 / 3.0 / 400.0;
    println!("at rest {each:.1}");
    assert!(each <= 15.0);
    let sent = net.sent;
    net.kill(node(77));
    let doubted = net.until(ms(1700), "doubted", |net| net.holding(node(77), State::Doubted) == 399);
    println!("doubted after {doubted:?}, {} datagrams", net.sent - sent);
}

#[test]
fn leaving_and_links() {
    let mut net = Net::settled(1, 12, 0.0);
    net.on(node(3), |b, now| b.leaving(now));
    net.until(ms(200), "all know that it leaves", |net| net.knowing() == 12);
    assert!(net.beacon(node(9)).peer(node(3)).is_some_and(|p| p.card.leaving && p.state == State::Here));
    // What was cut off and is heard by another link is asked at once.
    net.cut.insert(node(5));
    net.run(ms(6000));
    net.cut.clear();
    (0..12).for_each(|i| net.on(node(i), |b, now| b.met(now, node(5))));
    net.until(ms(40), "back", |net| net.holding(node(5), State::Here) == 11);
}

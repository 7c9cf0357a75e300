//! A large fleet's moments on sockets: floods of joins, a deploy while discovery moves, and bad input in bulk.

#[allow(dead_code)] // each test uses its part of it
mod world;

use fallgap_test_support::collector::{Collector, ping};
use fallgap_test_support::relay::Fate;
use serde_json::{Value, json};
use std::process::Command;
use std::time::{Duration, Instant};
use world::{World, play};

const PROXIES: u64 = 400;

fn zone(proxy: u64) -> &'static str {
    if proxy.is_multiple_of(2) { "north" } else { "south" }
}

/// A world whose channel carries the tables of all these proxies in about a second.
async fn large(name: &str) -> World {
    let mut world = World::open(name).await;
    let family = &mut world.configuration["settings"]["family_info"];
    family["agents"] = json!(PROXIES);
    family["push_rate"] = json!(20_000.0);
    family["backlog"] = json!(60_000.0);
    world
}

/// Guards against an end that waits for orders that will never leave, or is taken for a crash: SIGTERM amid a
/// flood of joins, with a relay that answers nothing.
#[test]
fn told_to_end_amid_a_flood_of_joins() {
    play(async || {
        let world = large("flood-term").await;
        let mut node = world.node().await;
        (0..PROXIES / 2).for_each(|p| world.relay.join(p, zone(p), 4.0, true));
        world.relay.until(|r| !r.bound.borrow().is_empty()).await;
        world.relay.fates.borrow_mut().extend([Fate::Silent; 999]);
        (PROXIES / 2..PROXIES).for_each(|p| world.relay.join(p, zone(p), 4.0, true));
        node.signal("TERM");
        let told = Instant::now();
        node.line("ends on SIGTERM").await;
        assert_eq!(node.child.wait().unwrap().code(), Some(0));
        // SIGKILL comes no sooner than 0.7 s after SIGTERM.
        assert!(told.elapsed() < Duration::from_millis(700), "{:?}", told.elapsed());
    });
}

/// Guards against a flood that a restart meets: all proxies of before are told at once, and each is bound.
#[test]
fn a_flood_of_joins_binds_every_proxy() {
    play(async || {
        let world = large("flood").await;
        (0..PROXIES).for_each(|p| world.relay.join(p, zone(p), 4.0, false));
        let node = world.node().await;
        world.relay.until(|r| r.bound.borrow().len() == PROXIES as usize).await;
        assert!((0..PROXIES).all(|p| world.lines(p).len() == 2));
        assert!(ping(node.at).await);
        // Half of them break off and come again, in the wrong order: a leave after the join counts as left.
        (0..PROXIES / 2).for_each(|p| world.relay.leave(p, false));
        (0..PROXIES / 2).for_each(|p| world.relay.join(p, zone(p), 4.0, true));
        (0..10).for_each(|p| world.relay.leave(p, true));
        let back = PROXIES as usize - 10;
        world.relay.until(|r| r.bound.borrow().len() == back).await;
    });
}

/// Guards against a deploy that is lost when discovery moves amid it: what drained at the old address and what
/// started at the new one are both in the tables.
#[test]
fn discovery_moves_amid_a_deploy() {
    play(async || {
        let mut world = large("deploy").await;
        let mut node = world.node().await;
        (0..PROXIES).for_each(|p| world.relay.join(p, zone(p), 4.0, true));
        world.relay.until(|r| r.bound.borrow().len() == PROXIES as usize).await;
        let elsewhere = World::open("deploy-elsewhere").await;
        world.discovery.set("n-1", "north", "draining", 0);
        elsewhere.discovery.set("n-1", "north", "gone", 0);
        elsewhere.discovery.set("n-3", "north", "ready", 0);
        world.configuration["discovery"] = elsewhere.configuration["discovery"].clone();
        node.hang_up(&world.configuration.to_string()).await;
        elsewhere.discovery.set("s-2", "south", "draining", 0);
        elsewhere.discovery.set("s-3", "south", "ready", 0);
        let due = |p: u64| if p.is_multiple_of(2) { ["n-2", "n-3"] } else { ["s-1", "s-3"] };
        world.relay.until(|_| (0..PROXIES).all(|p| world.lines(p) == due(p))).await;
    });
}

/// Guards against rows that say a thing twice or absurdly: each is skipped or counted, and the rest goes on.
#[test]
fn strange_rows_spoil_no_table() {
    play(async || {
        let mut world = large("rows").await;
        let row = |id: &str, zone: &str, state: &str, weight: Value| json!({ "id": id, "addr": "127.0.0.1:1", "zone": zone, "state": state, "weight": weight, "started_ms": 0 });
        world.configuration["known"] = json!({ "version": 0, "full": true, "servers": [
            row("n-1", "north", "ready", json!(1.0)), row("n-1", "north", "ready", json!(1.0)),
            row("n-2", "north", "ready", json!(1e300)), row("x-1", "nowhere", "ready", json!(1.0)),
            row("n-4", "north", "asleep", json!(1.0)), row("s-1", "south", "ready", json!(-3.0)),
        ]});
        world.configuration["settings"]["weights"] = json!("rough");
        world.discovery.silent.set(true);
        let node = world.node().await;
        world.bound(0, "north").await;
        assert_eq!(world.lines(0), ["n-1", "n-2"], "a state that nobody knows is not served");
        let table = world.relay.tables.borrow()[&0].clone();
        assert!(table.values().all(|part| *part == 1.0), "an absurd weight counts as none: {table:?}");
        node.counted("list_odd", 2).await;
        // Discovery is back with more than a list may hold: refused, and what is known stays.
        for i in 0..9000 {
            world.discovery.set(&format!("{i:x<1000}"), "north", "ready", 0);
        }
        world.discovery.silent.set(false);
        node.counted("list_failed", 2).await;
        assert_eq!(world.lines(0), ["n-1", "n-2"]);
        assert!(ping(node.at).await);
    });
}

/// Guards against reports of servers and proxies that nobody knows, and absurd ones, that move or end anything.
#[test]
fn strange_reports_are_counted() {
    play(async || {
        let world = large("reports").await;
        let node = world.node().await;
        world.bound(0, "north").await;
        let mut collector = Collector::connect(node.at, "north").await.unwrap();
        collector
            .say("heard zone north server nobody tries 9 failed 0 mean_ms 5 span_ms 1000")
            .await
            .unwrap();
        collector.say("heard zone north server n-1 tries -9 failed 0 mean_ms 5 span_ms 1000").await.unwrap();
        collector.say("heard zone north server n-1 tries inf failed 0 mean_ms 5 span_ms 1000").await.unwrap();
        collector.say("heard zone north server n-1 tries 9").await.unwrap();
        collector.say("usage proxy 400 class read tries 9 failed 0 span_ms 1000").await.unwrap();
        collector.say("heard zone north server n-1 tries 9 failed 0 mean_ms 5 span_ms 1000").await.unwrap();
        node.counted("reports_unknown", 1).await;
        node.counted("reports_odd", 4).await;
        node.counted("reports_met", 2).await;
    });
}

/// Guards against a start that cannot serve, or goes by guesses: one line with both numbers, exit code 2.
#[test]
fn limits_that_serve_nobody_end_the_start() {
    let start = |change: &dyn Fn(&mut Value)| {
        let example = include_str!("../../../examples/configuration.json");
        let mut all: Value = serde_json::from_str(example).unwrap();
        change(&mut all);
        let path = std::env::temp_dir().join(format!("fallgap-small-{}.json", std::process::id()));
        std::fs::write(&path, all.to_string()).unwrap();
        let run = Command::new(env!("CARGO_BIN_EXE_fallgap")).env("NODE_CONFIG", &path).output().unwrap();
        std::fs::remove_file(&path).unwrap();
        (run.status.code(), String::from_utf8(run.stderr).unwrap())
    };
    let (code, said) = start(&|all| all["settings"]["family_info"]["backlog"] = json!(4.0));
    assert!(code == Some(2) && said.contains("backlog is 4 lines, and the smallest table takes"), "{said}");
    assert_eq!(said.lines().count(), 1);
    let (code, said) = start(&|all| all["settings"]["classes"] = json!([]));
    assert!(code == Some(2) && said.contains("\"settings.classes\": expected a list"), "{said}");
}

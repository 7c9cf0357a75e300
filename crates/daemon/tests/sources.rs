//! Servers from discovery and from DNS, over sockets: what fails, and what tables hold meanwhile.

#[allow(dead_code)] // each test uses its part of it
mod world;

use fallgap_test_support::collector::Collector;
use fallgap_test_support::dns::{Data, Trouble};
use serde_json::json;
use std::process::Command;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use world::{Node, World, play};

const SERVICE: &str = "_store._tcp.example.org";

fn membership(discovery: bool) -> String {
    format!("membership {{ discovery #{discovery}; hold \"2s\"; confirm \"100ms\"; answering \"400ms\" }}\n")
}

/// All that is asked for in short times.
fn dns(world: &World, discovery: bool) -> String {
    format!(
        "{}dns {{\n server \"{}\"\n service \"{SERVICE}\" {{ zone-label 2 }}\n lifetime-least \"100ms\"\n \
         within \"100ms\"\n tries 2\n pause-first \"50ms\"\n pause-longest \"200ms\"\n}}\n",
        membership(discovery),
        world.dns_at
    )
}

/// Lists servers of the zone `north` in DNS, with lifetimes of one second.
fn records(world: &World, servers: &[&str]) {
    let target = |server: &str| format!("{server}.north.example.org");
    let srv = |server: &&str| Data::Srv { priority: 10, weight: 1, port: 8443, target: target(server) };
    world.dns.set(SERVICE, "SRV", 1, servers.iter().map(srv).collect());
    for server in servers {
        let last = server.bytes().map(u32::from).sum::<u32>() % 250;
        let address = format!("10.0.0.{last}").parse().unwrap();
        world.dns.set(&target(server), "A", 1, vec![Data::Address(address)]);
        world.dns.set(&target(server), "AAAA", 1, vec![]);
    }
}

/// A world of discovery and DNS, and a supervisor with one proxy bound.
async fn both(name: &str, servers: &[&str]) -> (World, Node) {
    let mut world = World::open(name).await;
    records(&world, servers);
    world.operator = Some(dns(&world, true));
    let node = world.node().await;
    world.bound(0, "north").await;
    (world, node)
}

async fn holds(world: &World, servers: &[&str]) {
    let held = world.relay.until(|_| world.lines(0) == servers);
    timeout(Duration::from_secs(20), held).await.unwrap_or_else(|_| {
        panic!("tables hold {:?} and not {servers:?}", world.lines(0));
    });
}

/// Watches for a while that tables hold just these, at each order that arrives.
async fn goes_on_holding(world: &World, servers: &[&str], span: Duration) {
    let changed = world.relay.until(|_| world.lines(0) != servers);
    assert!(timeout(span, changed).await.is_err(), "tables hold {:?}", world.lines(0));
}

/// Guards against a record that brings a draining node back, over several of its lifetimes.
#[test]
fn a_drain_holds_against_a_record() {
    play(async || {
        let (world, node) = both("drain", &["n-1", "n-2", "n-9"]).await;
        holds(&world, &["n-1", "n-2", "n-9"]).await;
        world.discovery.set("n-1", "north", "draining", 0);
        holds(&world, &["n-2", "n-9"]).await;
        node.counted("dns_answers", 4).await;
        world.discovery.set("n-1", "north", "gone", 0);
        node.counted("dns_answers", 7).await;
        assert_eq!(world.lines(0), ["n-2", "n-9"]);
        let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        world.discovery.set("n-1", "north", "ready", started.as_millis() as u64);
        holds(&world, &["n-1", "n-2", "n-9"]).await;
    });
}

/// Guards against tables emptied when no name server answers and discovery is not there either; then against
/// half a set that is believed at once.
#[test]
fn nobody_answers_and_half_the_set_comes_back() {
    play(async || {
        let mut world = World::open("nobody").await;
        records(&world, &["n-5", "n-6", "n-7", "n-8"]);
        world.operator = Some(dns(&world, false));
        let mut node = world.node().await;
        world.bound(0, "north").await;
        holds(&world, &["n-5", "n-6", "n-7", "n-8"]).await;
        world.dns.always.set(Some(Trouble::Drop));
        node.line("source fails").await;
        // Past lifetime and hold, with one server of which ops come back.
        let mut collector = Collector::connect(node.at, "north").await.unwrap();
        let met = "heard zone north server n-5 tries 9 failed 0 mean_ms 20.0 span_ms 200.0 load util:0.5";
        let acked = async {
            loop {
                collector.say(met).await.unwrap();
                sleep(Duration::from_millis(100)).await;
            }
        };
        // Only those that answer are left then, and the others are the last resort that is not needed.
        tokio::select! {
            () = acked => {}
            () = holds(&world, &["n-5"]) => {}
        }
        records(&world, &["n-7", "n-8", "n-9", "n-10"]);
        world.dns.always.set(None);
        node.line("source is back").await;
        holds(&world, &["n-10", "n-7", "n-8", "n-9"]).await;
    });
}

/// Guards against a fleet that swings with a name server of half the records.
#[test]
fn answers_that_flap_change_no_table() {
    play(async || {
        let mut world = World::open("flap").await;
        let all = ["n-5", "n-6", "n-7", "n-8"];
        records(&world, &all);
        world.operator = Some(dns(&world, false));
        let mut node = world.node().await;
        world.bound(0, "north").await;
        holds(&world, &all).await;
        let flapping = async {
            for round in 0.. {
                let asked = world.dns.asked.get().0;
                records(&world, if round % 2 == 0 { &all[..2] } else { &all[2..] });
                while world.dns.asked.get().0 == asked {
                    sleep(Duration::from_millis(2)).await;
                }
            }
        };
        tokio::select! {
            () = flapping => {}
            () = goes_on_holding(&world, &all, Duration::from_secs(4)) => {}
        }
        node.line("removal held: _store._tcp.example.org lacks 2 of 4").await;
    });
}

/// Guards against drains forgotten while discovery is dead, also over a restart with the remembered list.
#[test]
fn discovery_is_dead_and_the_supervisor_restarts() {
    play(async || {
        let (mut world, mut node) = both("dead", &["n-1", "n-2", "n-9"]).await;
        world.discovery.set("n-1", "north", "draining", 0);
        holds(&world, &["n-2", "n-9"]).await;
        world.configuration["known"] = world.discovery.list(None);
        world.discovery.silent.set(true);
        node.line("source fails: discovery").await;
        node.child.kill().unwrap();
        node.child.wait().unwrap();
        world.relay.tables.borrow_mut().clear();
        world.relay.bound.borrow_mut().clear();
        let again = world.node().await;
        again.counted("dns_answers", 1).await;
        holds(&world, &["n-2", "n-9"]).await;
        // Its record goes on naming it, past the hold of what discovery said.
        goes_on_holding(&world, &["n-2", "n-9"], Duration::from_secs(3)).await;
        records(&world, &["n-1", "n-2", "n-4", "n-9"]);
        holds(&world, &["n-2", "n-4", "n-9"]).await;
        world.discovery.set("n-1", "north", "ready", 0);
        world.discovery.silent.set(false);
        holds(&world, &["n-1", "n-2", "n-4", "n-9"]).await;
    });
}

/// Guards against one node that is drained under its id and served under its name.
#[test]
fn a_node_of_two_names_is_drained_under_both() {
    play(async || {
        let mut world = World::open("names").await;
        let srv = |target: &str, port| Data::Srv { priority: 10, weight: 1, port, target: target.into() };
        world.dns.set(
            SERVICE,
            "SRV",
            1,
            vec![srv("store3.north.example.org", 1), srv("n-2.north.example.org", 2)],
        );
        for (target, address) in
            [("store3.north.example.org", "127.0.0.1"), ("n-2.north.example.org", "10.0.0.2")]
        {
            world.dns.set(target, "A", 1, vec![Data::Address(address.parse().unwrap())]);
        }
        // The stand-in lists every server at 127.0.0.1:1; with one alone that is this node's address.
        for server in ["n-2", "s-1", "s-2"] {
            world.discovery.set(server, "north", "gone", 0);
        }
        world.operator = Some(dns(&world, true));
        let node = world.node().await;
        world.bound(0, "north").await;
        node.counted("dns_answers", 1).await;
        holds(&world, &["n-1", "n-2"]).await;
        world.discovery.set("n-1", "north", "draining", 0);
        holds(&world, &["n-2"]).await;
        goes_on_holding(&world, &["n-2"], Duration::from_secs(3)).await;
    });
}

/// Guards against an operator's file that is taken in part, and a source that outlives its file.
#[test]
fn the_operators_file_is_read_again() {
    play(async || {
        let mut world = World::open("operator").await;
        records(&world, &["n-9"]);
        world.operator = Some(String::new());
        let mut node = world.node().await;
        world.bound(0, "north").await;
        holds(&world, &["n-1", "n-2"]).await;
        let with_dns = dns(&world, true);
        assert!(node.install(&with_dns).await.contains("taken, 1 services"));
        holds(&world, &["n-1", "n-2", "n-9"]).await;
        std::fs::write(world.operator_path(), with_dns.replace("zone-label 2", "zone-label \"two\""))
            .unwrap();
        node.signal("HUP");
        node.line("expected a whole number from 1 to 32").await;
        node.line("operator's file not taken, the old one stays").await;
        world.discovery.set("n-3", "north", "ready", 0);
        holds(&world, &["n-1", "n-2", "n-3", "n-9"]).await;
        node.install("").await;
        holds(&world, &["n-1", "n-2", "n-3"]).await;
        let asked = world.dns.asked.get();
        let asks = async {
            while world.dns.asked.get() == asked {
                sleep(Duration::from_millis(10)).await;
            }
        };
        assert!(timeout(Duration::from_millis(1500), asks).await.is_err(), "nobody asks any more");
        node.install(&dns(&world, false)).await;
        holds(&world, &["n-9"]).await;
        node.install(&membership(true)).await;
        holds(&world, &["n-1", "n-2", "n-3"]).await;
        world.operator = Some("membership { hodl 1 }".into());
        std::fs::write(world.operator_path(), "membership { hodl 1 }").unwrap();
        let start = Command::new(env!("CARGO_BIN_EXE_fallgap"))
            .env("NODE_CONFIG", world.configuration_path())
            .args(["--operator".as_ref(), world.operator_path().as_os_str()])
            .output()
            .unwrap();
        assert_eq!(start.status.code(), Some(2));
    });
}

/// What the program prints when it is called with these words, and its exit code. The stand-ins go on meanwhile.
async fn called(words: &[&str]) -> (Option<i32>, String, String) {
    let words: Vec<String> = words.iter().map(|w| (*w).to_owned()).collect();
    let run = move || Command::new(env!("CARGO_BIN_EXE_fallgap")).args(words).output().unwrap();
    let output = actix_rt::task::spawn_blocking(run).await.unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn services_are_resolved_at_a_prompt() {
    play(async || {
        let world = World::open("resolve").await;
        records(&world, &["n-1", "n-2"]);
        let server = world.dns_at.to_string();
        let resolve = |extra: &[&'static str]| {
            let words = ["resolve", SERVICE, "--server", &server, "--within", "200"].map(str::to_owned);
            words.into_iter().chain(extra.iter().map(|w| (*w).to_owned())).collect::<Vec<_>>()
        };
        let call = async |extra: &[&'static str]| {
            let words = resolve(extra);
            called(&words.iter().map(String::as_str).collect::<Vec<_>>()).await
        };
        let (code, out, _) = call(&[]).await;
        let lines: Vec<&str> = out.lines().collect();
        assert_eq!((code, lines.len()), (Some(0), 3));
        assert!(lines[0].starts_with("10 1 8443 n-1.north.example.org 10.0.0.") && lines[0].ends_with(" 1"));
        assert!(lines[2].starts_with(&format!("2 records over udp from {server} after 1 tries")), "{out}");
        world.dns.troubles.borrow_mut().push_back(Trouble::Truncate);
        let (code, out, _) = call(&["--json"]).await;
        let last: serde_json::Value = serde_json::from_str(out.lines().last().unwrap()).unwrap();
        assert_eq!((code, &last["over"], &last["tries"]), (Some(0), &json!("tcp"), &json!(2)));
        world.dns.always.set(Some(Trouble::Lame));
        let (code, out, _) = call(&[]).await;
        assert!(code == Some(1) && out.contains("no usable answer") && out.contains("lame"), "{out}");
        world.dns.always.set(None);
        world.dns.unset(SERVICE);
        let (code, out, _) = call(&["--json"]).await;
        assert!(code == Some(1) && out.contains("NXDOMAIN"), "{out}");
        assert_eq!(called(&["resolve", SERVICE]).await.0, Some(2), "no name server");
        assert_eq!(called(&["resolve", "..", "--server", &server]).await.0, Some(2));
    });
}

#[test]
fn files_are_checked_at_a_prompt() {
    play(async || {
        let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.kdl");
        let (code, out, _) = called(&["check", example]).await;
        assert!(code == Some(0) && out.contains("is in order"), "{out}");
        let world = World::open("check").await;
        let file = world.operator_path();
        std::fs::write(&file, "membership {\n hodl 1\n hold 1\n}").unwrap();
        let named = file.to_str().unwrap();
        let (code, out, _) = called(&["check", named]).await;
        assert!(code == Some(1) && out.lines().count() == 2, "{out}");
        assert!(out.starts_with(&format!("{named}:2:2: found \"hodl\"; expected one of")), "{out}");
        let (code, out, _) = called(&["check", named, "--json"]).await;
        let fault: serde_json::Value = serde_json::from_str(out.lines().nth(1).unwrap()).unwrap();
        assert_eq!((code, &fault["line"], &fault["found"]), (Some(1), &json!(3), &json!("1")));
        let (code, _, err) = called(&["check", "/nowhere/at/all.kdl", "--log", "json"]).await;
        let line: serde_json::Value = serde_json::from_str(err.trim()).unwrap();
        assert_eq!((code, &line["level"]), (Some(2), &json!("ERROR")));
    });
}

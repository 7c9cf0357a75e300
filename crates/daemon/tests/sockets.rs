//! The real supervisor as a process, against the stand-ins, over sockets of this machine.

#[allow(dead_code)] // each test uses its part of it
mod world;

use fallgap_test_support::Listener;
use fallgap_test_support::collector::{Collector, ping, resp};
use fallgap_test_support::relay::{Fate, Relay};
use serde_json::json;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};
use world::{World, gone, play};

#[test]
fn serves_and_ends_when_told() {
    play(async || {
        let world = World::open("serves").await;
        let mut node = world.node().await;
        assert!(ping(node.at).await);
        world.bound(0, "north").await;
        assert_eq!(world.lines(0), ["n-1", "n-2"]);
        node.counted("news_applied", 1).await;
        node.counted("report_to_orders_longest_ms", 1).await;
        node.signal("TERM");
        assert!(node.line("counts:").await.contains("calls_taken 1"));
        node.line("ends on SIGTERM").await;
        assert_eq!(node.child.wait().unwrap().code(), Some(0));
    });
}

#[test]
fn says_what_is_missing() {
    let told = |path: &str| {
        let run = Command::new(env!("CARGO_BIN_EXE_fallgap")).env("NODE_CONFIG", path).output().unwrap();
        (run.status.code(), String::from_utf8(run.stderr).unwrap())
    };
    let (code, line) = told("/nowhere/at/all.json");
    assert!(code == Some(2) && line.contains("cannot read /nowhere/at/all.json"), "{line}");
    assert_eq!(line.lines().count(), 1);
}

/// Guards against calls lost, cut or carried out in another order when their answer does not come.
#[test]
fn a_call_that_ends_badly_goes_again_as_it_was() {
    play(async || {
        let world = World::open("calls").await;
        let _node = world.node().await;
        let fates = [Fate::BrokenBefore, Fate::BrokenAfter, Fate::Garbled, Fate::Silent, Fate::TooSoon];
        for fate in fates {
            let before = world.relay.calls.borrow().len();
            world.relay.fates.borrow_mut().extend([fate, fate]);
            world.relay.join(1, "south", 20.0, true);
            world.relay.until(|r| r.calls.borrow().len() >= before + 3).await;
            let calls = world.relay.calls.borrow()[before..].to_vec();
            assert!(calls[0] == calls[1] && calls[1] == calls[2], "{fate:?}");
            world.relay.until(|r| r.bound.borrow().contains_key(&1)).await;
            assert_eq!(world.lines(1), ["s-1", "s-2"], "{fate:?}");
            world.relay.leave(1, true);
        }
    });
}

/// Guards against a proxy that has just left keeping orders from all that come after it.
#[test]
fn an_order_that_cannot_be_used_holds_nothing_up() {
    play(async || {
        let world = World::open("left").await;
        let _node = world.node().await;
        world.relay.join(0, "north", 20.0, true);
        world.relay.join(1, "south", 20.0, true);
        world.relay.leave(1, false);
        world.relay.join(2, "north", 20.0, true);
        world.relay.until(|r| r.bound.borrow().contains_key(&2)).await;
        assert!(world.relay.bound.borrow().contains_key(&0));
        let calls = world.relay.calls.borrow();
        let rest = calls.last().unwrap()["orders"].as_array().unwrap();
        assert!(rest[0]["do"] == "SYNC" && rest.iter().all(|o| o["proxy"] != 1));
    });
}

/// Guards against bindings in doubt, and proxies joined for ever, after the stream of news broke.
#[test]
fn news_that_breaks_is_read_anew() {
    play(async || {
        let world = World::open("news").await;
        let node = world.node().await;
        world.bound(0, "north").await;
        world.bound(1, "south").await;
        world.relay.leave(1, false);
        world.relay.bound.borrow_mut().clear();
        world.relay.break_news();
        world.relay.until(|r| r.bound.borrow().contains_key(&0)).await;
        node.counted("news_left", 1).await;
        assert_eq!(world.relay.opened.get(), 2);
        // A line may come in pieces, and several at once; what cannot be read breaks the stream.
        let line = r#"{"type":"left","object":{"proxy":0}}"#;
        world.relay.tell_text(&format!("{{}}\n{}", &line[..9]));
        node.counted("news_alive", 2).await;
        world.relay.tell_text(&format!("{}\n{{}}\n", &line[9..]));
        node.counted("news_left", 2).await;
        world.relay.tell_text("{\"type\":\n");
        world.relay.until(|r| r.opened.get() == 3).await;
    });
}

/// Guards against drains not seen, also when discovery falls silent for a while.
#[test]
fn the_list_is_followed() {
    play(async || {
        let world = World::open("list").await;
        let node = world.node().await;
        world.bound(0, "north").await;
        world.discovery.set("n-1", "north", "draining", 0);
        world.relay.until(|_| world.lines(0) == ["n-2"]).await;
        world.discovery.silent.set(true);
        world.discovery.set("n-3", "north", "ready", 0);
        node.counted("list_failed", 1).await;
        world.discovery.silent.set(false);
        world.relay.until(|_| world.lines(0) == ["n-2", "n-3"]).await;
    });
}

/// Guards against strangers who fill the house, say half a thing or declare lengths that are absurd.
#[test]
fn strangers_keep_no_collector_out() {
    play(async || {
        let mut world = World::open("strangers").await;
        // A house for 128: strangers may stay for 1.5 s, and a busy machine does not let in 512 in that time.
        world.configuration["limits"]["sockets"] = json!(256);
        let node = world.node().await;
        let mut collector = Collector::connect(node.at, "north").await.unwrap();
        node.counted("collectors", 1).await;
        let report = "heard zone north server n-1 tries 9 failed 0 mean_ms 20.0 span_ms 1000.0 load util:0.5";
        // Each may stay for a while only. Where they come so slowly that the first leave before the last is there, the house is
        // never full, and they come once more.
        let mut strangers = Vec::new();
        while node.count("guests_sent_off").await.is_none_or(|count| count < 18) {
            strangers.clear();
            for i in 0..146 {
                let mut stranger = TcpStream::connect(node.at).await.unwrap();
                if i % 3 == 0 {
                    stranger.write_all(b"*2\r\n$4\r\npi").await.unwrap();
                }
                strangers.push(stranger);
            }
        }
        let odd = [&b"*1\r\n$999999999999\r\n"[..], b"*99999999\r\n", b"\x16\x03\x01\x02", b"*x\r\n"];
        let odd = odd.map(<[u8]>::to_vec).into_iter();
        let odd = odd.chain([b"GET / HTTP/1.1\r\n\r\n".to_vec(), b"POST /v3/kv/txn HTT".to_vec()]);
        let words = ["collector zone west", "joined proxy 9999 zone west", "order do SET", report];
        for odd in odd.chain(words.map(resp)) {
            let mut stranger = TcpStream::connect(node.at).await.unwrap();
            stranger.write_all(&odd).await.unwrap();
            assert!(gone(&mut stranger).await);
        }
        // Neither a drip nor a flood of pings gains time.
        let mut dripping = TcpStream::connect(node.at).await.unwrap();
        while dripping.write_all(b"*").await.is_ok() && dripping.write_all(b"1").await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
        let mut flooding = TcpStream::connect(node.at).await.unwrap();
        while flooding.write_all(&resp("ping")).await.is_ok() {
            sleep(Duration::from_millis(1)).await;
        }
        let mut quiet = TcpStream::connect(node.at).await.unwrap();
        quiet.write_all(&resp("ping")).await.unwrap();
        let mut all = Vec::new();
        quiet.read_to_end(&mut all).await.unwrap();
        assert!(all.starts_with(&resp("pong")) && String::from_utf8_lossy(&all).contains("refused"));
        for byte in resp(report) {
            collector.stream.write_all(&[byte]).await.unwrap();
        }
        collector.say("heard zone north server n-1 tries -4").await.unwrap();
        collector.say(&report.replace("n-1", "n-2")).await.unwrap();
        node.counted("reports_met", 2).await;
        node.counted("reports_odd", 1).await;
        // A length that swallows what follows: the collector is better off on a new connection.
        collector.stream.write_all(b"*2\r\n$9999\r\n").await.unwrap();
        collector.say(report).await.unwrap();
        assert!(gone(&mut collector.stream).await);
        assert!(ping(node.at).await);
    });
}

/// Guards against notes of strangers that pass for a peer's, and notes that are too long.
#[test]
fn supervisors_tell_each_other_their_demand() {
    play(async || {
        let mut world = World::open("notes").await;
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = json!(peer.local_addr().unwrap());
        let all = &mut world.configuration;
        all["settings"]["balancers"] = json!(2);
        all["settings"]["caps"]["peers"] = json!(true);
        all["peer_listen"] = json!("127.0.0.1:0");
        all["peers"] = json!(["127.0.0.1:1", address]);
        all["peers_all"] = address;
        let node = world.node().await;
        world.bound(0, "south").await;
        let mut note = [0; 512];
        let (n, from) = peer.recv_from(&mut note).await.unwrap();
        let floats: Vec<f32> = note[..n].as_chunks::<4>().0.iter().map(|f| f32::from_le_bytes(*f)).collect();
        assert!(floats.len() == 2 && floats[0] < 1.0 && floats[1] > 1.0, "{floats:?}");
        let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        stranger.send_to(&note[..n], from).await.unwrap();
        node.counted("notes_odd", 1).await;
        peer.send_to(b"hello", from).await.unwrap();
        node.counted("notes_odd", 2).await;
        peer.send_to(&note[..n], from).await.unwrap();
        node.counted("notes_heard", 1).await;
    });
}

/// Guards against a supervisor that sticks, or tables that stay wrong, after many troubles at once: calls that
/// end badly, news that breaks, proxies that come and go, servers that drain and start.
#[test]
fn tables_are_right_after_a_storm() {
    play(async || {
        let world = World::open("storm").await;
        let node = world.node().await;
        let mut chance = fastrand::Rng::with_seed(7);
        let fates = [Fate::BrokenBefore, Fate::BrokenAfter, Fate::Garbled, Fate::Silent, Fate::TooSoon];
        let servers = [("n-1", "north"), ("n-2", "north"), ("n-3", "north"), ("s-1", "south")];
        let zones = ["north", "south", "north", "south"];
        let (mut joined, mut listed) = ([false; 4], [true, true, false, true]);
        for _ in 0..200 {
            let (proxy, server) = (chance.usize(..4), 1 + chance.usize(..3));
            match chance.usize(..8) {
                0..4 => *world.relay.fates.borrow_mut() = [fates[chance.usize(..5)]].into(),
                4 => world.relay.break_news(),
                5 => {
                    listed[server] = !listed[server];
                    let state = if listed[server] { "ready" } else { "draining" };
                    world.discovery.set(servers[server].0, servers[server].1, state, 0);
                }
                _ if joined[proxy] => {
                    joined[proxy] = false;
                    world.relay.leave(proxy as u64, chance.bool());
                }
                _ => {
                    joined[proxy] = true;
                    world.relay.join(proxy as u64, zones[proxy], 20.0, false);
                }
            }
            // The next trouble comes with the next thing that the relay does, or soon.
            let _ = timeout(Duration::from_millis(25), world.relay.moved.notified()).await;
        }
        // The last word on who is joined goes over a new stream.
        world.relay.fates.borrow_mut().clear();
        world.relay.break_news();
        let right = |proxy: usize| {
            let all = servers.iter().zip(listed).chain([(&("s-2", "south"), true)]);
            let due: Vec<&str> = all.filter(|(s, l)| s.1 == zones[proxy] && *l).map(|(s, _)| s.0).collect();
            world.lines(proxy as u64) == due
        };
        let bound = |r: &Relay, proxy: usize| r.bound.borrow().contains_key(&(proxy as u64));
        world.relay.until(|r| (0..4).filter(|p| joined[*p]).all(|p| bound(r, p) && right(p))).await;
        assert!(ping(node.at).await);
    });
}

/// Guards against a reload that ends the process, leaves a link where nobody answers, loses the call under way
/// or refuses a discovery that counts from lower; and against a broken file that is taken.
#[test]
fn a_new_configuration_moves_all_links() {
    play(async || {
        let mut world = World::open("reload").await;
        let mut node = world.node().await;
        world.bound(0, "north").await;
        assert!(node.hang_up("{").await.contains("the old one stays"));
        // Elsewhere discovery has told less so far, and the call at the old address is not answered.
        let elsewhere = World::open("elsewhere").await;
        elsewhere.discovery.set("n-3", "north", "ready", 0);
        (0..9).for_each(|_| world.discovery.set("n-1", "north", "ready", 0));
        node.counted("list_changes", 1).await;
        let relay = Rc::new(world.relay.elsewhere());
        let listener = Listener::open("127.0.0.1:0").await.unwrap();
        let there = json!(listener.address);
        actix_rt::spawn(relay.clone().serve(listener));
        world.relay.fates.borrow_mut().extend([Fate::Silent; 99]);
        world.relay.join(1, "south", 20.0, true);
        world.relay.until(|r| r.calls.borrow().len() >= 2).await;
        let unsettled = world.relay.calls.borrow().last().cloned();
        let here = world.configuration["store"]["address"].take();
        world.configuration["store"]["address"] = there;
        world.configuration["discovery"] = elsewhere.configuration["discovery"].clone();
        world.configuration["settings"]["balancers"] = json!(2);
        node.hang_up(&world.configuration.to_string()).await;
        node.line("needs a restart to change \"settings\"").await;
        relay.until(|r| !r.calls.borrow().is_empty()).await;
        assert_eq!(relay.calls.borrow().first().cloned(), unsettled);
        relay.until(|_| world.lines(0) == ["n-1", "n-2", "n-3"]).await;
        world.relay.until(|r| r.watching() == 0).await;
        assert_eq!(relay.watching(), 1);
        // Back again, twice in a row, and told to end right after the next.
        world.relay.fates.borrow_mut().clear();
        world.configuration["store"]["address"] = here;
        node.hang_up(&world.configuration.to_string()).await;
        node.hang_up(&world.configuration.to_string()).await;
        world.relay.until(|r| r.watching() == 1).await;
        world.bound(2, "south").await;
        node.signal("HUP");
        node.signal("TERM");
        assert_eq!(node.child.wait().unwrap().code(), Some(0));
    });
}

/// Guards against a start that needs more than the list it is handed: discovery may be down just then.
#[test]
fn starts_again_from_the_known_list() {
    play(async || {
        let mut world = World::open("restart").await;
        let mut node = world.node().await;
        world.bound(0, "north").await;
        node.child.kill().unwrap();
        node.child.wait().unwrap();
        world.relay.tables.borrow_mut().clear();
        world.relay.bound.borrow_mut().clear();
        world.configuration["known"] = world.discovery.list(None);
        world.discovery.silent.set(true);
        let _again = world.node().await;
        world.relay.until(|r| r.bound.borrow().contains_key(&0)).await;
        assert_eq!(world.lines(0), ["n-1", "n-2"]);
    });
}

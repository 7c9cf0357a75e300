//! A toy world for one supervisor: relay, discovery, collectors, four proxies and eight servers, two of them known to DNS alone, at the
//! addresses of `configuration.json`. Start it, then the supervisor beside it (see the README): after ten
//! seconds one server aborts all it gets, after thirty it is well again, after fifty another drains.

use fallgap_test_support::Listener;
use fallgap_test_support::collector::{self, Collector};
use fallgap_test_support::discovery::Discovery;
use fallgap_test_support::fleet::{Fleet, Proxy, Server};
use fallgap_test_support::relay::Relay;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SUPERVISOR: &str = "127.0.0.1:8443";
const ZONES: [&str; 2] = ["north", "south"];

fn main() -> std::io::Result<()> {
    actix_rt::System::new().block_on(play())
}

async fn play() -> std::io::Result<()> {
    let (relay, discovery) = (Rc::new(Relay::default()), Rc::new(Discovery::default()));
    actix_rt::spawn(relay.clone().serve(Listener::open("127.0.0.1:6400").await?));
    actix_rt::spawn(discovery.clone().serve(Listener::open("127.0.0.1:8500").await?));
    let mut fleet = Fleet { op_types: vec!["read".into(), "write".into()], ..Fleet::default() };
    for (i, zone) in ZONES.iter().cycle().take(8).enumerate() {
        let name = format!("toy-server-{i}");
        // The last two are known to DNS alone.
        if i < 6 {
            discovery.set(&name, zone, "ready", 0);
        }
        fleet.servers.push(Server { name, zone: (*zone).into(), can: 100.0, aborting: false });
    }
    for number in 0..4 {
        let zone = ZONES[number as usize % 2];
        fleet.proxies.push(Proxy { number, zone: zone.into(), ops_per_s: 80.0 });
    }
    let supervisor: SocketAddr = SUPERVISOR.parse().map_err(std::io::Error::other)?;
    let mut collectors = BTreeMap::new();
    for second in 1.. {
        if collectors.is_empty() {
            fleet.proxies.iter().for_each(|p| relay.join(p.number, &p.zone, p.ops_per_s, second == 1));
            collectors = connect(supervisor).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        match second {
            10 => turn(&mut fleet, 2, true),
            30 => turn(&mut fleet, 2, false),
            50 => {
                println!("toy-server-3 drains");
                discovery.set("toy-server-3", ZONES[1], "draining", 0);
            }
            _ => {}
        }
        if !forward(&mut collectors, fleet.second(&relay)).await {
            println!("the supervisor is gone: its proxies work on with what they hold");
            fleet.proxies.iter().for_each(|p| relay.leave(p.number, true));
            collectors.clear();
        } else if second % 5 == 0 {
            print(second, &relay);
        }
    }
    Ok(())
}

/// Waits for a supervisor that answers; then each zone's collector connects.
async fn connect(supervisor: SocketAddr) -> BTreeMap<String, Collector> {
    println!("waiting for a supervisor at {supervisor}");
    loop {
        let mut collectors = BTreeMap::new();
        if collector::ping(supervisor).await {
            for zone in ZONES {
                let collector = Collector::connect(supervisor, zone).await;
                collectors.extend(collector.map(|c| (zone.to_owned(), c)));
            }
        }
        if collectors.len() == ZONES.len() {
            println!("it answers; the counters are at http://{supervisor}/counters");
            return collectors;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Tells whether the supervisor still takes reports.
async fn forward(
    collectors: &mut BTreeMap<String, Collector>, reports: BTreeMap<String, Vec<String>>,
) -> bool {
    for (zone, reports) in reports {
        let Some(collector) = collectors.get_mut(&zone) else { continue };
        for report in reports {
            if collector.say(&report).await.is_err() {
                return false;
            }
        }
    }
    true
}

fn turn(fleet: &mut Fleet, server: usize, aborting: bool) {
    let server = &mut fleet.servers[server];
    server.aborting = aborting;
    println!("{} {}", server.name, if aborting { "aborts all it gets" } else { "is well again" });
}

fn print(second: u64, relay: &Relay) {
    for (proxy, table) in relay.bound.borrow().iter() {
        let tables = relay.tables.borrow();
        let Some(table) = tables.get(table) else { continue };
        let lines =
            table.iter().map(|(s, part)| format!("{}={part:.2}", s.trim_start_matches("toy-server-")));
        println!("{second:>4} s  proxy {proxy}: {}", lines.collect::<Vec<_>>().join("  "));
    }
}

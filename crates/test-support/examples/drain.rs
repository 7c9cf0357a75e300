//! A drain that discovery tells while DNS goes on naming the node, over sockets: the time from the drain to
//! the last proxy's table without it, and the ops that reach it past the grace. Takes the path of the
//! supervisor's program, and how many tries.

use fallgap_test_support::Listener;
use fallgap_test_support::collector::{Collector, ping};
use fallgap_test_support::discovery::Discovery;
use fallgap_test_support::dns::{Data, NameServer};
use fallgap_test_support::fleet::{Fleet, Proxy, Server};
use fallgap_test_support::relay::Relay;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

const EXAMPLE: &str = include_str!("../../../examples/configuration.json");
const SERVICE: &str = "_store._tcp.example.org";
const GRACE: Duration = Duration::from_millis(1500);
const MS: Duration = Duration::from_millis(1);
const SERVERS: usize = 6;
const PROXIES: u64 = 4;

fn name(i: usize) -> String {
    format!("store{i}")
}

fn zone(i: usize) -> &'static str {
    ["north", "south"][i % 2]
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

struct World {
    relay: Rc<Relay>,
    discovery: Rc<Discovery>,
    fleet: Fleet,
    supervisor: Child,
    files: [PathBuf; 2],
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.supervisor.kill();
        let _ = self.supervisor.wait();
        self.files.iter().for_each(|file| _ = std::fs::remove_file(file));
    }
}

impl World {
    async fn open(program: &str) -> std::io::Result<(World, SocketAddr)> {
        let (relay, discovery, dns) =
            (Rc::new(Relay::default()), Rc::new(Discovery::default()), Rc::new(NameServer::default()));
        let mut fleet = Fleet { op_types: vec!["read".into(), "write".into()], ..Fleet::default() };
        let mut records = Vec::new();
        for i in 0..SERVERS {
            discovery.set(&name(i), zone(i), "ready", 0);
            let target = format!("{}.{}.example.org", name(i), zone(i));
            dns.set(&target, "A", 1, vec![Data::Address(([10, 0, 0, i as u8]).into())]);
            records.push(Data::Srv { priority: 10, weight: 1, port: 8443, target });
            fleet.servers.push(Server { name: name(i), zone: zone(i).into(), can: 100.0, aborting: false });
        }
        dns.set(SERVICE, "SRV", 1, records);
        fleet.proxies = (0..PROXIES)
            .map(|number| Proxy { number, zone: zone(number as usize).into(), ops_per_s: 40.0 })
            .collect();
        let mut configuration: Value = serde_json::from_str(EXAMPLE)?;
        let relay_at = Listener::open("127.0.0.1:0").await?;
        let discovery_at = Listener::open("127.0.0.1:0").await?;
        // A port that is free now, for a supervisor that cannot be asked which one it took.
        let own = Listener::open("127.0.0.1:0").await?.address;
        configuration["store"]["address"] = json!(relay_at.address);
        configuration["discovery"] = json!(discovery_at.address);
        configuration["listen"] = json!(own);
        actix_rt::spawn(relay.clone().serve(relay_at));
        actix_rt::spawn(discovery.clone().serve(discovery_at));
        let dns_at = dns.listen("127.0.0.1:0").await?;
        let file =
            |kind: &str| std::env::temp_dir().join(format!("fallgap-drain-{}.{kind}", std::process::id()));
        let files = [file("json"), file("kdl")];
        std::fs::write(&files[0], configuration.to_string())?;
        let operator = format!(
            "dns {{ server \"{dns_at}\"\n service \"{SERVICE}\" {{ zone-label 2 }}\n lifetime-least \"100ms\"\n}}"
        );
        std::fs::write(&files[1], operator)?;
        let mut program = Command::new(program);
        let program =
            program.env("NODE_CONFIG", &files[0]).env("NODE_OPERATOR", &files[1]).stderr(Stdio::null());
        let supervisor = program.spawn()?;
        Ok((World { relay, discovery, fleet, supervisor, files }, own))
    }

    fn holders(&self, server: &str) -> usize {
        let tables = self.relay.tables.borrow();
        let holds = |table: &u64| tables.get(table).is_some_and(|table| table.contains_key(server));
        self.relay.bound.borrow().values().filter(|table| holds(table)).count()
    }

    /// Ops a second that proxies send to a server, by the tables they hold.
    fn given(&self, server: &str) -> f64 {
        let reports = self.fleet.second(&self.relay);
        let to = format!(" server {server} tries ");
        let tries = |report: &String| {
            let (_, rest) = report.split_once(&to)?;
            rest.split(' ').next()?.parse::<f64>().ok()
        };
        reports.values().flatten().filter_map(tries).sum()
    }
}

async fn report(relay: Rc<Relay>, fleet: Fleet, supervisor: SocketAddr) {
    let mut collectors = Vec::new();
    for i in 0..2 {
        collectors.extend(Collector::connect(supervisor, zone(i)).await.map(|c| (zone(i), c)));
    }
    loop {
        sleep(MS * 1000).await;
        let reports = fleet.second(&relay);
        for (zone, collector) in &mut collectors {
            for report in reports.get(*zone).into_iter().flatten() {
                // A supervisor that is gone ends the measurement elsewhere.
                let _ = collector.say(report).await;
            }
        }
    }
}

async fn play(program: &str, tries: usize) -> std::io::Result<()> {
    let (world, supervisor) = World::open(program).await?;
    while !ping(supervisor).await {
        sleep(MS * 20).await;
    }
    let copy = |server: &Server| Server { name: server.name.clone(), zone: server.zone.clone(), ..*server };
    let servers = world.fleet.servers.iter().map(copy).collect();
    let proxies =
        (0..PROXIES).map(|number| Proxy { number, zone: zone(number as usize).into(), ops_per_s: 40.0 });
    let fleet = Fleet { servers, proxies: proxies.collect(), op_types: world.fleet.op_types.clone() };
    actix_rt::spawn(report(world.relay.clone(), fleet, supervisor));
    (0..PROXIES).for_each(|proxy| world.relay.join(proxy, zone(proxy as usize), 40.0, true));
    world.relay.until(|r| r.bound.borrow().len() == PROXIES as usize).await;
    let (mut took, mut late): (Vec<Duration>, f64) = (Vec::new(), 0.0);
    for i in 0..tries {
        let server = name(i % SERVERS);
        world.relay.until(|_| world.holders(&server) > 0).await;
        let since = Instant::now();
        world.discovery.set(&server, zone(i % SERVERS), "draining", 0);
        world.relay.until(|_| world.holders(&server) == 0).await;
        took.push(since.elapsed());
        // Past the grace the record has been read anew several times.
        while since.elapsed() < GRACE + MS * 1500 {
            if since.elapsed() >= GRACE {
                late += world.given(&server) * 0.01;
            }
            sleep(MS * 10).await;
        }
        world.discovery.set(&server, zone(i % SERVERS), "ready", now_ms());
    }
    took.sort();
    let ms = |at: usize| took[at].as_secs_f64() * 1e3;
    println!(
        "{tries} drains: median {:.1} ms, 90% {:.1} ms, longest {:.1} ms; grace {} ms",
        ms(tries / 2),
        ms(tries * 9 / 10),
        ms(tries - 1),
        GRACE.as_millis()
    );
    println!("figure drain_longest_ms {:.1}", ms(tries - 1));
    println!("figure ops_past_the_grace {late:.2}");
    Ok(())
}

fn main() -> std::io::Result<()> {
    let words: Vec<String> = std::env::args().collect();
    let program = words.get(1).map_or("target/release/fallgap", String::as_str);
    let tries = words.get(2).and_then(|n| n.parse().ok()).unwrap_or(50);
    actix_rt::System::new().block_on(play(program, tries))
}

//! What a change of an office takes: until it is acknowledged, until the first and the last supervisor route by it, next
//! to a whole configuration of the operator in the same run; and what a request's look at licences and lease costs. Four
//! supervisors as processes, three with a disk, one change after the other.

use fallgap_config::{Allowance, Configuration, Licence, Licences, Routing, read_configuration};
use fallgap_routing::{Lease, ViewTimes};
use fallgap_tenants::{Carried, Ledger, Maker, plan, read_change, read_order};
use fallgap_test_support::gateway::{Client, Landing, Supervisor};
use std::error::Error;
use std::hint::black_box;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ROUNDS: usize = 30;
const LOOKS: u32 = 20_000;
const LOOK_ROUNDS: usize = 31;
const FIELDS: &str = r#""fields":["depot","lane_prefix","route_class","service","priority"]"#;

type Outcome<T> = Result<T, Box<dyn Error>>;

fn configuration(edition: u64) -> String {
    format!(
        r#"{{"edition":{edition},"routes":{{{FIELDS},"entries":[["h.example","/","safe","s",{}]]}},
"services":{{"fields":["name"],"entries":[["s"]]}}}}"#,
        edition % 9
    )
}

fn post(at: &Supervisor, path: &str, body: &str) -> Option<(u16, String)> {
    let mut client = Client::connect(at.control(), Duration::from_secs(8)).ok()?;
    let length = body.len();
    let head = "HTTP/1.1\r\nHost: h\r\nX-Office-Key: key\r\nConnection: close";
    let reply = client.try_ask(&format!("POST {path} {head}\r\nContent-Length: {length}\r\n\r\n{body}"))?;
    Some((reply.status, reply.text()))
}

/// Until it is taken, and what is said then.
fn taken(at: &Supervisor, path: &str, body: &str) -> Outcome<String> {
    let end = Instant::now() + Duration::from_secs(40);
    while Instant::now() < end {
        if let Some((200, text)) = post(at, path, body) {
            return Ok(text);
        }
    }
    Err(format!("{path} is not taken").into())
}

fn figure(text: &str, name: &str) -> f64 {
    let rest = text.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest);
    rest.split([',', '}']).next().and_then(|n| n.parse().ok()).unwrap_or(f64::NAN)
}

fn middle(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(f64::NAN)
}

fn main() -> Outcome<()> {
    let program: PathBuf = match std::env::args_os().nth(1) {
        Some(program) => program.into(),
        None => std::env::current_exe()?.with_file_name("../gateway"),
    };
    let id = std::process::id();
    let folder = std::env::temp_dir().join(format!("gateway-offices-{id}"));
    let net = [127, 78, 1 + (id % 250) as u8];
    let mut fleet = Landing::open(&program, &folder, net, &["a", "b"], &[true, true, true, false])?;
    fleet.start_all(true)?;
    let [first, .., last] = &fleet.machines[..] else { return Err("four machines".into()) };
    taken(first, "/-/config/put", &configuration(1))?;
    let hash = fallgap_tenants::KeyHash::of("key");
    let account = format!(
        r#"{{"edition":1,"areas":[{{"depot":"h.example","lane_prefix":"/o/"}}],"classes":["safe"],"priority":0,
"services":[{{"service":"s"}}],"offices":[{{"id":"north","keys":["{hash}"]}}]}}"#
    );
    taken(last, "/-/accounts/survey/put", &account)?;
    while fleet.machines.iter().any(|machine| machine.figure("supervisors") != Some(4)) {}
    let (mut edition, mut acknowledged, mut spread, mut kept) = (0, vec![], vec![], vec![]);
    let (mut plain, mut plain_all) = (vec![], vec![]);
    for round in 0..ROUNDS {
        let put = format!(
            r#"{{"base":{edition},"put":{{{FIELDS},"entries":[["h.example","/o/x/","safe","s",{}]]}}}}"#,
            round % 9
        );
        let at = &fleet.machines[round % 4];
        let since = Instant::now();
        let text = taken(at, "/-/offices/north/routes/put", &put)?;
        let took = since.elapsed().as_secs_f64() * 1e3;
        edition = figure(&text, "edition") as u64;
        if figure(&text, "in_force") == figure(&text, "of") {
            let last_ms = figure(&text, "last_s") * 1e3;
            acknowledged.push(took);
            spread.push(last_ms - figure(&text, "first_s") * 1e3);
            kept.push(last_ms);
        }
        // The plain way: a whole configuration, and its edition asked for at each until all have it.
        let wanted = round as u64 + 2;
        let since = Instant::now();
        taken(at, "/-/config/put", &configuration(wanted))?;
        plain.push(since.elapsed().as_secs_f64() * 1e3);
        while fleet.machines.iter().any(|machine| machine.figure("edition") != Some(wanted)) {}
        plain_all.push(since.elapsed().as_secs_f64() * 1e3);
    }
    drop(fleet);
    let whole = acknowledged.len();
    println!("{whole} of {ROUNDS} changes were in force everywhere when they were acknowledged");
    // In turn, as the machine is shared: what it does beside falls on all alike.
    let mut looks = [0, 10, 1000].map(|offices| (offices, Vec::new()));
    for _ in 0..LOOK_ROUNDS {
        looks.iter_mut().for_each(|(offices, took)| took.push(look(*offices)));
    }
    println!("figure kept_bytes_1000_routes {}", kept_bytes()?);
    println!("figure changes_in_force_everywhere {whole}");
    println!("figure acknowledged_ms {:.1}", middle(acknowledged));
    println!("figure kept_to_last_node_ms {:.1}", middle(kept));
    println!("figure first_to_last_node_ms {:.1}", middle(spread));
    println!("figure configuration_acknowledged_ms {:.1}", middle(plain));
    println!("figure configuration_on_all_ms {:.1}", middle(plain_all));
    for (offices, took) in looks {
        println!("figure look_ns_{offices}_offices {:.0}", middle(took));
    }
    Ok(())
}

/// Of all accounts, with an office that has put 1,000 routes: what each change writes.
fn kept_bytes() -> Outcome<usize> {
    let order = r#"{"edition":1,"areas":[{"depot":"h.example","lane_prefix":"/o/"}],"classes":["safe"],"priority":0,
"services":[{"service":"s"}],"offices":[{"id":"north"}]}"#;
    let empty = Ledger::default();
    let Carried::Out(ledger) = read_order("survey", order.as_bytes(), &empty)?.carried_out(&empty, "survey")
    else {
        return Ok(0);
    };
    let operator = read_configuration(configuration(1).as_bytes())?;
    let own = |at: usize| format!(r#"["h.example","/o/records-{at:04}/","safe","s",1]"#);
    let entries: Vec<String> = (0..1000).map(own).collect();
    let change = format!(r#"{{"base":0,"put":{{{FIELDS},"entries":[{}]}}}}"#, entries.join(","));
    let change = read_change(change.as_bytes(), &operator)?;
    let maker = Maker { office: "north", at: 0, idempotency_key: 1, key: String::new() };
    let planned = plan(&ledger, &operator, &maker, &change)?;
    Ok(planned.next.map_or(0, |next| next.encode().len()))
}

/// Nanoseconds that a request's route costs, with the look at whose it is and whether it may be gone by.
fn look(offices: usize) -> f64 {
    let own = |office: usize| format!(r#"["h.example","/o/{office}/","safe","s",1]"#);
    let entries: Vec<String> = (0..1000).map(own).collect();
    let text = format!(
        r#"{{"edition":1,"routes":{{{FIELDS},"entries":[{}]}},"services":{{"fields":["name"],"entries":[["s"]]}}}}"#,
        entries.join(",")
    );
    let Ok(read) = read_configuration(text.as_bytes()) else { return f64::NAN };
    let licence = |at: usize| Licence {
        name: format!("office-{at:04}").into(),
        account: 0,
        allowance: Allowance::default(),
    };
    let licences = Licences {
        revision: 1,
        accounts: vec![("survey".into(), Allowance::default())],
        offices: (0..offices).map(licence).collect(),
        owners: (0..1000).map(|route| (offices > 0).then(|| route % offices.max(1))).collect(),
    };
    let licences = (offices > 0).then(|| Arc::new(licences));
    let routing = Routing::new(Arc::new(Configuration { licences, ..read }));
    let mut lease = Lease::default();
    lease.view_times(ViewTimes { confirmed: Some(Duration::ZERO), ..ViewTimes::default() });
    let paths: Vec<String> = (0..1000).map(|at| format!("/o/{at}/records")).collect();
    let since = Instant::now();
    for at in 0..LOOKS {
        let path = paths.get(at as usize % 1000).map_or("", String::as_str);
        let found = routing.find_index("h.example", path);
        let licences = routing.configuration().licences.as_ref();
        let owner = licences.and_then(|licences| licences.owner(found?));
        let owned = owner.is_some();
        let doubt = (owned || lease.is_told()) && lease.doubts(Duration::ZERO, "h.example", path, owned);
        black_box((found, doubt));
    }
    since.elapsed().as_secs_f64() * 1e9 / f64::from(LOOKS)
}

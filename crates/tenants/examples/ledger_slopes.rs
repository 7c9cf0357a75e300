//! What the accounts cost by how many there are, since all of them are one register that each change writes anew:
//! bytes as they are kept, processor time of a change (read, written, joined with the operator's routes) by the clock of
//! one thread, memory of what is read by the resident set; and how many there may be.
//!
//! Without arguments: all sizes. With a number: so many accounts.

#[path = "../../membership/examples/gauge/mod.rs"]
mod gauge;

use fallgap_config::{Allowance, Configuration, Limits, Route, RouteClass, Service};
use fallgap_tenants::{Account, Area, Grant, KeyHash, Ledger, Office, Slice, TERMS, join};
use gauge::{ran, resident_kb};
use std::process::Command;
use std::time::Duration;

const SIZES: [usize; 4] = [1000, 3000, 10_000, 29_000];

fn route(i: usize, office: bool) -> Route {
    let prefix = if office { "/shop/" } else { "/v1/" };
    Route {
        name: format!("{i:05}-lane").into(),
        depot: format!("tenant-{i:05}.example").into(),
        lane_prefix: prefix.into(),
        class: RouteClass::Safe,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(300),
        priority: 1,
        sorting: vec![(format!("service-{:03}", i % 330).into(), 1.0)],
        attempts: 2,
        is_open: false,
    }
}

fn main() {
    if let Some(accounts) = std::env::args().nth(1).and_then(|arg| arg.parse().ok()) {
        return one(accounts);
    }
    let me = std::env::current_exe().expect("this program's path");
    for accounts in SIZES {
        let ended = Command::new(&me).arg(accounts.to_string()).status();
        assert!(ended.is_ok_and(|status| status.success()), "a size has failed");
    }
}

/// The least that an account can be: one area, one service, one office with one key; `routes`: the office has a route.
fn ledger(accounts: usize, routes: bool) -> Ledger {
    let allowance = Allowance {
        routes: 4,
        changes_a_minute: 10,
        rates: [50.0, 5.0, 5.0],
        at_work: 50,
        download_bytes: 1e6,
    };
    let account = |i: usize| {
        let area = Area { depot: format!("tenant-{i:05}.example"), prefix: "/shop/".into() };
        let grant = Grant {
            areas: vec![area],
            services: [(format!("service-{:03}", i % 330), 1.0)].into(),
            classes: [RouteClass::Safe].into(),
            offices: 1,
            priority: 1,
            attempts: 2,
            allowance: allowance.clone(),
        };
        let keys = vec![KeyHash::of(&format!("key-{i}"))];
        let mut office = Office::new(Slice { areas: Vec::new(), allowance: allowance.clone(), keys });
        office.routes.extend(routes.then(|| route(i, true)));
        let offices = [(format!("office-{i:05}"), office)].into();
        (format!("tenant-{i:05}"), Account { edition: 1, grant, offices })
    };
    Ledger { revision: 1, accounts: (0..accounts).map(account).collect(), ..Ledger::default() }
}

fn one(accounts: usize) {
    let figure = |what: &str, value: f64| println!("figure {what}_a{accounts} {value:.2}");
    let service = |i: usize| Service {
        name: format!("service-{i:03}").into(),
        health_path: "/health".into(),
        line_cap: 64,
        dedupes: false,
    };
    let operator = Configuration {
        edition: 1,
        routes: (0..1800.min(accounts)).map(|i| route(i * 16 + 100_000, false)).collect(),
        services: (0..330).map(service).collect(),
        limits: Limits::default(),
        customers: None,
        licences: None,
    };
    for (what, routes) in [("bare", false), ("with_a_route", true)] {
        let bytes = ledger(accounts, routes).encode();
        figure(&format!("{what}_bytes"), bytes.len() as f64);
        figure(&format!("{what}_bytes_an_account"), bytes.len() as f64 / accounts as f64);
        let most = TERMS.bytes as f64;
        figure(&format!("{what}_accounts_at_most"), most / (bytes.len() as f64 / accounts as f64));
        let (before, rounds) = (resident_kb(), 10);
        let began = ran();
        let mut held = Vec::new();
        for _ in 0..rounds {
            let ledger = Ledger::decode(&bytes).expect("what was encoded");
            held.push(ledger.encode());
            held.clear();
        }
        figure(
            &format!("{what}_read_and_written_ms"),
            (ran() - began).as_secs_f64() * 1e3 / f64::from(rounds),
        );
        let ledger = Ledger::decode(&bytes).expect("what was encoded");
        figure(&format!("{what}_resident_kb"), resident_kb().saturating_sub(before) as f64);
        let began = ran();
        let joined = join(&operator, &ledger);
        figure(&format!("{what}_join_ms"), (ran() - began).as_secs_f64() * 1e3);
        figure(&format!("{what}_joined_routes"), joined.configuration.routes.len() as f64);
        let notes = joined.configuration.notes();
        let text: usize = notes.iter().map(|(key, text)| key.len() + text.len()).sum();
        figure(&format!("{what}_notes"), notes.len() as f64);
        figure(&format!("{what}_notes_bytes"), text as f64);
    }
}

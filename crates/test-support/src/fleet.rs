//! A toy fleet: proxies that spread their ops as their tables say, and servers that answer or abort. One
//! second at a time, as sums, with no chance in it.

use crate::relay::Relay;
use std::collections::BTreeMap;

pub struct Server {
    pub name: String,
    pub zone: String,
    /// Ops a second it can do.
    pub can: f64,
    pub aborting: bool,
}

pub struct Proxy {
    pub number: u64,
    pub zone: String,
    pub ops_per_s: f64,
}

#[derive(Default)]
pub struct Fleet {
    pub servers: Vec<Server>,
    pub proxies: Vec<Proxy>,
    pub op_types: Vec<String>,
}

impl Fleet {
    /// What collectors report of one second, by zone.
    pub fn second(&self, relay: &Relay) -> BTreeMap<String, Vec<String>> {
        let mut reports: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut given: BTreeMap<(&str, &str), f64> = BTreeMap::new();
        for proxy in &self.proxies {
            for (server, part) in self.spread(relay, proxy) {
                *given.entry((proxy.zone.as_str(), server)).or_default() += part * proxy.ops_per_s;
            }
            let told = reports.entry(proxy.zone.clone()).or_default();
            let ops = (proxy.ops_per_s / self.op_types.len().max(1) as f64).round();
            for op_type in &self.op_types {
                let number = proxy.number;
                told.push(format!(
                    "usage proxy {number} class {op_type} tries {ops} failed 0 span_ms 1000.0"
                ));
            }
        }
        for ((zone, name), ops) in &given {
            let Some(server) = self.servers.iter().find(|s| s.name == *name) else { continue };
            let all: f64 = given.iter().filter(|((_, s), _)| s == name).map(|(_, ops)| ops).sum();
            let (busy, tries) = ((all / server.can).min(1.0), ops.round());
            let failed = if server.aborting { tries } else { 0.0 };
            let mean = if server.aborting { 0.0 } else { 50.0 / (1.05 - busy) };
            reports.entry((*zone).to_owned()).or_default().push(format!(
                "heard zone {zone} server {name} tries {tries} failed {failed} mean_ms {mean:.1} span_ms 1000.0 \
                 load util:{busy:.2}"
            ));
        }
        reports
    }

    /// The part of its ops that a proxy sends to each server: by its table, or evenly within its zone.
    fn spread<'a>(&'a self, relay: &Relay, proxy: &Proxy) -> Vec<(&'a str, f64)> {
        let tables = relay.tables.borrow();
        let table = relay.bound.borrow().get(&proxy.number).and_then(|t| tables.get(t).cloned());
        let part = |s: &Server| match &table {
            Some(table) => table.get(&s.name).copied().unwrap_or(0.0),
            None => f64::from(u8::from(s.zone == proxy.zone)),
        };
        let all: f64 = self.servers.iter().map(part).sum();
        let parts = self.servers.iter().map(|s| (s.name.as_str(), part(s) / all.max(1e-9)));
        parts.filter(|(_, part)| *part > 0.0).collect()
    }
}

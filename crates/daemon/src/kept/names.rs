//! Names of zones and op types as numbers of the settings, and names of load figures.

use crate::kept::rows::Row;
use fallgap::{Load, ServerState};
use fallgap_deployment::{server_state, started};
use fallgap_sources::{Age, Claim};

/// Listed weights that can be a server's size: one beyond would take its whole zone's work.
pub const WEIGHTS: std::ops::RangeInclusive<f64> = 1e-3..=1e3;

pub struct Names {
    pub zones: Vec<String>,
    pub op_types: Vec<String>,
    pub load_fields: Vec<String>,
    /// Listed sizes are the servers' own.
    pub sized: bool,
    /// Proxies are numbered from 0 up to this, exclusive.
    pub proxies: u32,
}

impl Names {
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|z| z == name)
    }
    pub fn op_type(&self, name: &str) -> Option<usize> {
        self.op_types.iter().position(|t| t == name)
    }
    pub fn proxy(&self, number: u64) -> Option<u32> {
        u32::try_from(number).ok().filter(|p| *p < self.proxies)
    }
    /// A load report's figures; those that the settings do not name are skipped, as on the simulator's wire.
    pub fn load(&self, figures: &[(&str, f64)]) -> Load {
        fallgap_deployment::load(|field| {
            let named = self.load_fields.iter().any(|f| f == field);
            let spoken = |name: &str| name == field || load_word(name) == field;
            named.then(|| figures.iter().find(|(name, _)| spoken(name)).map(|f| f.1)).flatten()
        })
    }
    /// What a row of the list says; `None` for a ready server whose zone is none of ours. One that drains or
    /// is gone counts wherever it is: tables must lose it.
    pub fn claim(&self, row: Row) -> Option<Claim> {
        let state = server_state(&row.state);
        let zone = self.zone(&row.zone).or((state != ServerState::Ready).then_some(0))?;
        let size = row.weight.filter(|w| self.sized && WEIGHTS.contains(w));
        let age = row.started_ms.and_then(started).map_or(Age::LongAgo, Age::Since);
        let addresses = row.addr.and_then(|addr| addr.parse().ok()).into_iter().collect();
        Some(Claim { server: row.id, state, zone, size, age, rank: None, addresses })
    }
}

/// The settings' name of a load figure, from the one that reports use.
fn load_word(name: &str) -> &str {
    match name {
        "inflight" => "active",
        "queue" => "waiting",
        "util" => "cpu",
        "latency_ms" => "avg_ms",
        other => other,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        let words = |w: &str| w.split(' ').map(str::to_owned).collect();
        let (zones, op_types, load_fields) = (words("a b"), words("lookup box-move"), words("cpu"));
        Names { zones, op_types, load_fields, sized: true, proxies: 3 }
    }

    #[test]
    fn loads_hold_what_the_settings_name() {
        let load = names().load(&[("inflight", 7.0), ("util", 0.61)]);
        assert_eq!((load.busy, load.active), (Some(0.61), None));
    }

    #[test]
    fn strange_names_and_numbers_are_nobody() {
        let names = names();
        assert_eq!((names.zone("b"), names.zone("c"), names.op_type("box-move")), (Some(1), None, Some(1)));
        assert_eq!((names.proxy(2), names.proxy(3), names.proxy(1 << 40)), (Some(2), None, None));
        let row = |state: &str| {
            let row = format!(r#"{{"id":"s","zone":"c","state":"{state}","started_ms":null}}"#);
            names.claim(serde_json::from_str(&row).unwrap()).map(|claim| claim.state)
        };
        assert_eq!(row("ready"), None);
        // Guards against one absurd weight that draws a zone's ops to one server.
        let size = |weight: &str| {
            let row = format!(r#"{{"id":"s","zone":"a","state":"ready","weight":{weight}}}"#);
            names.claim(serde_json::from_str(&row).unwrap()).and_then(|claim| claim.size)
        };
        assert_eq!((size("1.5"), size("1e300"), size("-2"), size("0")), (Some(1.5), None, None, None));
        assert_eq!((row("gone"), row("draining")), (Some(ServerState::Gone), Some(ServerState::Draining)));
    }
}

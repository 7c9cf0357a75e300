//! What one run showed, as it is kept.

use crate::checks::{RULES, Watch};
use crate::ledger::{Latencies, Ledger};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Figures of one run. All shares are of ops that were intended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    pub acked: f64,
    /// Acked, each weighed by its op type's value.
    pub value: f64,
    /// Acked within the target latency of its op type.
    pub in_time: f64,
    pub rejected: f64,
    pub lost: f64,
    /// Of all ops, those not acked standing with their op timeout; milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// Breaks of all rules together.
    pub rules_broken: f64,
    pub tries_each: f64,
}

impl Figures {
    /// By name, and whether more of it is better.
    pub fn all(&self) -> [(&'static str, f64, bool); 10] {
        [
            ("acked", self.acked, true),
            ("value", self.value, true),
            ("in_time", self.in_time, true),
            ("rejected", self.rejected, false),
            ("lost", self.lost, false),
            ("p50_ms", self.p50_ms, false),
            ("p99_ms", self.p99_ms, false),
            ("p999_ms", self.p999_ms, false),
            ("rules_broken", self.rules_broken, false),
            ("tries_each", self.tries_each, false),
        ]
    }
}

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tick {
    pub offered: u64,
    pub acked: u64,
    pub rejected: u64,
    pub lost: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// The part of each server's cores that was busy.
    pub busy: Vec<f64>,
}

/// Something that happened: a fault, or what the supervisor said.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    pub at_ms: u64,
    pub who: String,
    pub what: String,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ByType {
    pub name: String,
    pub phase: u16,
    pub intended: u64,
    pub acked: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub unsent: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// One run, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    pub variant: String,
    pub seed: u64,
    pub seconds: f64,
    pub figures: Figures,
    pub by_type: Vec<ByType>,
    pub ticks: Vec<Tick>,
    pub servers: Vec<String>,
    pub marks: Vec<Mark>,
    /// Breaks by rule, and the first of them in words.
    pub rules: BTreeMap<String, u64>,
    pub broken: Vec<String>,
    pub within_grace: u64,
    /// Doubled effects that clients caused by repeating what they must not.
    pub doubled_by_clients: u64,
    /// The generator's own lateness, and whether that is little enough to believe the run.
    pub lateness_p999_ms: f64,
    pub valid: bool,
}

pub fn ms(latencies: &Latencies, quantile: f64) -> f64 {
    if latencies.is_empty() { 0.0 } else { latencies.value_at_quantile(quantile) as f64 / 1e3 }
}

/// The figures of a ledger, given each op type's value and target latency.
pub fn figures(ledger: &Ledger, kinds: &[(f64, Duration)], watch: &Watch) -> Figures {
    let whole = ledger.whole();
    let (mut value, mut most, mut in_time) = (0.0, 0.0, 0.0);
    for ((kind, _), tally) in &ledger.tallies {
        let Some((worth, target)) = kinds.get(usize::from(*kind)) else { continue };
        value += worth * tally.acked as f64;
        most += worth * tally.intended as f64;
        in_time += tally.acks.count_between(0, target.as_micros() as u64) as f64;
    }
    let intended = (whole.intended as f64).max(1.0);
    Figures {
        acked: whole.acked as f64 / intended,
        value: value / f64::max(most, 1e-9),
        in_time: in_time / intended,
        rejected: whole.rejected as f64 / intended,
        lost: (whole.aborted + whole.unsent) as f64 / intended,
        p50_ms: ms(&whole.all, 0.5),
        p99_ms: ms(&whole.all, 0.99),
        p999_ms: ms(&whole.all, 0.999),
        rules_broken: RULES.iter().map(|rule| watch.counts.get(rule).copied().unwrap_or(0)).sum::<u64>()
            as f64,
        tries_each: whole.tries as f64 / intended,
    }
}

//! The fleet in a few lines.

use crate::told::{Fleet, Node, Standing};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::net::Ipv4Addr;

/// What the nodes' own words come to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    pub asked: Option<Ipv4Addr>,
    /// Nodes that the asked one knows, and how many of them gave their own word.
    pub known: usize,
    pub answered: usize,
    pub here: usize,
    pub doubted: usize,
    pub gone: usize,
    /// How many have each edition in force.
    pub editions: BTreeMap<u64, usize>,
    pub ready: usize,
    pub leaving: usize,
    pub epoch: u64,
    pub keepers: usize,
    /// Keepers that count and hear a majority.
    pub settled: usize,
    pub at_work: u64,
    /// The oldest table in use, and how long answers were waited for.
    pub oldest_table_ms: Option<u64>,
    pub waited_ms: u64,
    /// The asked node itself reaches no majority of keepers: what it says may be old, and calls at it fail.
    pub cut_off: bool,
}

/// A table that is older is stale: homes confirm tables every second.
pub(crate) const STALE_MS: u64 = 2000;

/// Whether a node reaches no majority of keepers, neither by itself nor through its home.
pub fn cut_off(own: &Standing) -> bool {
    own.table_age_ms.is_none_or(|age| age > STALE_MS) && !own.settled
}

impl Summary {
    pub fn of(fleet: &Fleet) -> Summary {
        let mut summary = Summary {
            asked: fleet.asked,
            known: fleet.nodes.len(),
            waited_ms: fleet.waited_ms,
            ..Summary::default()
        };
        for node in &fleet.nodes {
            match node.state.as_str() {
                "here" => summary.here += 1,
                "doubted" => summary.doubted += 1,
                _ => summary.gone += 1,
            }
            summary.leaving += usize::from(node.leaving);
            if let Some(own) = &node.standing {
                summary.add(own);
                summary.cut_off |= Some(node.node) == fleet.asked && cut_off(own);
            }
        }
        summary
    }

    fn add(&mut self, own: &Standing) {
        self.answered += 1;
        *self.editions.entry(own.edition).or_default() += 1;
        self.ready += usize::from(own.ready);
        self.settled += usize::from(own.settled);
        self.at_work += own.at_work;
        self.oldest_table_ms = self.oldest_table_ms.max(own.table_age_ms);
        if own.epoch >= self.epoch {
            (self.epoch, self.keepers) = (own.epoch, own.keepers.len());
        }
    }
}

impl Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Summary { known, answered, here, doubted, gone, ready, leaving, waited_ms, .. } = self;
        writeln!(f, "nodes: {here} here, {doubted} doubted, {gone} gone; {ready} ready, {leaving} leaving")?;
        let editions: Vec<String> =
            self.editions.iter().rev().map(|(edition, count)| format!("{edition} on {count}")).collect();
        writeln!(f, "edition: {}", editions.join(", "))?;
        let quorum = self.keepers / 2 + 1;
        writeln!(
            f,
            "keepers: epoch {}, {} members, {} hear a majority, {quorum} are needed",
            self.epoch, self.keepers, self.settled
        )?;
        writeln!(f, "requests at work: {}", self.at_work)?;
        writeln!(f, "oldest table: {}", age(self.oldest_table_ms))?;
        let asked = asked(self.asked);
        if self.cut_off {
            writeln!(f, "{asked} is cut off from the keepers: this may be old, and calls there fail")?;
        }
        write!(f, "from {answered} of {known} nodes, asked over {asked}, within {waited_ms} ms")
    }
}

pub(crate) fn asked(node: Option<Ipv4Addr>) -> String {
    node.map_or("nobody".into(), |node| node.to_string())
}

/// A time for people.
pub(crate) fn age(ms: Option<u64>) -> String {
    match ms {
        None => "never".into(),
        Some(ms) if ms < 10_000 => format!("{:.1} s", ms as f64 / 1e3),
        Some(ms) if ms < 600_000 => format!("{} s", ms / 1000),
        Some(ms) if ms < 7_200_000 * 6 => format!("{} min", ms / 60_000),
        Some(ms) => format!("{} h", ms / 3_600_000),
    }
}

/// From whom an answer is, and how old.
pub fn fleet_line(fleet: &Fleet) -> String {
    let answered = fleet.nodes.iter().filter(|node| node.standing.is_some()).count();
    let (known, asked) = (fleet.nodes.len(), asked(fleet.asked));
    format!("from {answered} of {known} nodes, asked over {asked}, within {} ms", fleet.waited_ms)
}

/// Why a node is ready for clients, or is not, and what it refused.
pub fn node_text(node: &Node) -> String {
    let name = node.node;
    let Some(own) = &node.standing else {
        return format!(
            "{name} gave no answer; the asked node has it as {} for {}",
            node.state,
            age(Some(node.since_ms))
        );
    };
    let mut lines = Vec::new();
    let mut not = Vec::new();
    if own.leaving {
        not.push("it was told to end".to_owned());
    }
    if own.edition == 0 {
        let home = own.home.map_or("it follows no keeper".into(), |home| format!("it follows {home}"));
        not.push(format!("no configuration is in force ({home})"));
    }
    if own.servers == 0 {
        not.push("it knows no open server".to_owned());
    }
    match (own.ready, not.is_empty()) {
        (true, _) => {
            lines.push(format!("{name} is ready: edition {} and {} servers", own.edition, own.servers))
        }
        (false, true) => lines.push(format!("{name} is not ready: its configuration has no route")),
        (false, false) => lines.push(format!("{name} is not ready: {}", not.join(", "))),
    }
    if !own.bare.is_empty() {
        lines.push(format!("no open server is known for {}: requests get 503", own.bare.join(", ")));
    }
    if own.table_age_ms.is_none_or(|age| age > STALE_MS) {
        lines.push(format!("stale: its table was confirmed {} ago", age(own.table_age_ms)));
    }
    let Standing { requests, passed, no_route, not_run, unknown, late, .. } = own;
    lines.push(format!(
        "since its start {} ago: {requests} requests, {passed} answers passed on; 404 {no_route}, 503 {not_run}, \
         502 {unknown}, 504 {late}",
        age(Some(own.up_ms))
    ));
    lines.join("\n")
}

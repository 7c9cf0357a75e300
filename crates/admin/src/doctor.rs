//! What is wrong with a fleet, and what to do.

use crate::status::{STALE_MS, age};
use crate::told::{Fleet, Node, Standing};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// A node started so recently may still be finding its home.
const YOUNG_MS: u64 = 5000;
/// Wall clocks this far apart mislead whoever reads two logs side by side; the answers' own way is added.
const CLOCKS_MS: u64 = 1000;
/// Nodes named in a sentence.
const NAMED: usize = 6;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// For programs: stays the same from build to build.
    pub kind: &'static str,
    pub what: String,
    pub todo: &'static str,
}

fn named<'a>(nodes: impl Iterator<Item = &'a Ipv4Addr>) -> String {
    let all: Vec<String> = nodes.map(ToString::to_string).collect();
    let more = all.len().saturating_sub(NAMED);
    let shown = all.iter().take(NAMED).cloned().collect::<Vec<_>>().join(", ");
    if more > 0 { format!("{shown} and {more} more") } else { shown }
}

/// All that is wrong, by what the nodes said; the gravest first.
pub fn examine(fleet: &Fleet) -> Vec<Finding> {
    let own: Vec<(Ipv4Addr, &Standing)> =
        fleet.nodes.iter().filter_map(|node| Some((node.node, node.standing.as_ref()?))).collect();
    let mut found = Vec::new();
    let mut add = |kind, what: Option<String>, todo| {
        found.extend(what.map(|what| Finding { kind, what, todo }));
    };
    let newest = own.iter().map(|(_, s)| *s).max_by_key(|s| s.epoch);
    let members: BTreeSet<Ipv4Addr> = newest.iter().flat_map(|s| s.keepers.iter().copied()).collect();
    let (majority, spare) = keepers(&fleet.nodes, &own, &members);
    add(
        "no-majority",
        majority,
        "start the missing machines with their disks; until then calls are answered 503 and nothing changes",
    );
    add("keepers-few", spare, "start another machine with a disk, and wait for its «keeper: caught up»");
    let those = |fits: &dyn Fn(&Standing) -> bool| {
        let nodes: Vec<Ipv4Addr> = own.iter().filter(|(_, s)| fits(s)).map(|(node, _)| *node).collect();
        (!nodes.is_empty()).then(|| named(nodes.iter()))
    };
    add(
        "disk-refuses",
        those(&|s| s.refusing).map(|nodes| format!("the disk refuses to write at {nodes}")),
        "look at the disk: full, read-only, broken; replace the machine if it stays",
    );
    add(
        "silent",
        silent(&fleet.nodes),
        "look at these machines and the way to them; what is said below is without them",
    );
    add(
        "gone",
        states(&fleet.nodes, "gone").map(|nodes| format!("silent for long: {nodes}")),
        "start them, or replace them; nothing is to be done if they were ended for good",
    );
    let grown = |s: &Standing| s.up_ms > YOUNG_MS && !s.leaving;
    let stale = |s: &Standing| grown(s) && s.table_age_ms.is_none_or(|age| age > STALE_MS);
    add(
        "stale",
        those(&stale)
            .map(|nodes| format!("no keeper confirms the table of {nodes}: it routes by what it holds")),
        "look at the way from there to the keepers; if all are stale, the keepers have no majority",
    );
    add(
        "edition-behind",
        behind(&own),
        "wait two seconds and ask again; then look at their home and table age",
    );
    let bare: BTreeSet<&str> =
        own.iter().filter(|(_, s)| grown(s)).flat_map(|(_, s)| &s.bare).map(String::as_str).collect();
    add(
        "no-servers",
        (!bare.is_empty()).then(|| {
            let names = bare.iter().take(NAMED).copied().collect::<Vec<_>>().join(", ");
            format!("routes lead to services without an open server: {names}")
        }),
        "start servers of them, see that they beat, or take the routes out",
    );
    let unready = |s: &Standing| grown(s) && !s.ready;
    add(
        "not-ready",
        those(&unready).map(|nodes| format!("not ready for clients: {nodes}")),
        "ask `gateway why --at` for the reason",
    );
    add(
        "clocks",
        clocks(&own, fleet.waited_ms),
        "set their clocks; nothing here rests on them but the logs' times",
    );
    found
}

/// Whether there is a majority, and whether as many may be lost as is wanted. One keeper that hears a majority is
/// proof of one; and one that is here but gave no word in time is not held to be down.
fn keepers(
    nodes: &[Node], own: &[(Ipv4Addr, &Standing)], members: &BTreeSet<Ipv4Addr>,
) -> (Option<String>, Option<String>) {
    let counts = |s: &Standing| s.keeper && s.settled;
    let settled = own.iter().filter(|(node, s)| members.contains(node) && counts(s)).count();
    let up = |node: &&Node| members.contains(&node.node) && node.state == "here";
    let up = nodes.iter().filter(up).filter(|node| node.standing.as_ref().is_none_or(counts)).count();
    let (all, quorum) = (members.len(), members.len() / 2 + 1);
    if all == 0 {
        return (
            Some(
                "no epoch of keepers is known: the system was never founded, or all keepers are away".into(),
            ),
            None,
        );
    }
    // Silent ones may be enough, and a table that was just confirmed says that they are.
    let silent =
        |node: &&Node| members.contains(&node.node) && node.state == "here" && node.standing.is_none();
    let fresh = own.iter().any(|(_, s)| s.table_age_ms.is_some_and(|age| age <= STALE_MS));
    let unsure = fresh && nodes.iter().filter(silent).count() >= quorum;
    if settled == 0 && !unsure {
        return (Some(format!("none of {all} keepers hears a majority, and {quorum} are needed")), None);
    }
    let tolerate = own.iter().map(|(_, s)| s.tolerate as usize).max().unwrap_or(0);
    let spare = up.saturating_sub(quorum);
    let few = spare < tolerate;
    (
        None,
        few.then(|| {
            format!("{up} of {all} keepers are up: {spare} more may be lost, and {tolerate} should be")
        }),
    )
}

fn silent(nodes: &[Node]) -> Option<String> {
    let silent: Vec<Ipv4Addr> =
        nodes.iter().filter(|n| n.standing.is_none() && n.state != "gone").map(|n| n.node).collect();
    (!silent.is_empty()).then(|| format!("no answer from {}", named(silent.iter())))
}

fn states(nodes: &[Node], state: &str) -> Option<String> {
    let found: Vec<Ipv4Addr> = nodes.iter().filter(|n| n.state == state).map(|n| n.node).collect();
    (!found.is_empty()).then(|| named(found.iter()))
}

fn behind(own: &[(Ipv4Addr, &Standing)]) -> Option<String> {
    let mut by_edition: BTreeMap<u64, Vec<Ipv4Addr>> = BTreeMap::new();
    own.iter().for_each(|(node, s)| by_edition.entry(s.edition).or_default().push(*node));
    let (newest, _) = by_edition.pop_last()?;
    let old: Vec<&Ipv4Addr> = by_edition.values().flatten().collect();
    let oldest = by_edition.keys().next()?;
    Some(format!(
        "edition {newest} is in force elsewhere, an older one ({oldest}) at {}",
        named(old.into_iter())
    ))
}

/// Clocks that are far from the middle one.
fn clocks(own: &[(Ipv4Addr, &Standing)], waited_ms: u64) -> Option<String> {
    let mut times: Vec<u64> = own.iter().map(|(_, s)| s.wall_ms).collect();
    times.sort_unstable();
    let middle = *times.get(times.len() / 2)?;
    let off = |(_, s): &&(Ipv4Addr, &Standing)| s.wall_ms.abs_diff(middle) > CLOCKS_MS + waited_ms;
    let far: Vec<&(Ipv4Addr, &Standing)> = own.iter().filter(off).collect();
    let most = far.iter().map(|(_, s)| s.wall_ms.abs_diff(middle)).max()?;
    Some(format!("clocks are up to {} off at {}", age(Some(most)), named(far.iter().map(|(node, _)| node))))
}

/// Findings for people.
pub fn findings_text(found: &[Finding], fleet: &Fleet) -> String {
    let mut lines: Vec<String> = found
        .iter()
        .map(|finding| format!("{}: {}.\n  To do: {}.", finding.kind, finding.what, finding.todo))
        .collect();
    if found.is_empty() {
        lines.push("nothing is found wrong".into());
    }
    lines.push(crate::status::fleet_line(fleet));
    lines.join("\n")
}

//! Back to an earlier version, as far as what is known now allows; and from there to the decisions' own table
//! again, in bounded steps.

use crate::table::{Entry, Key};
use std::collections::BTreeMap;

/// What is known of a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    Open,
    /// It has just started: it gets what the decisions give it, and no more.
    Cold,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("that version is not kept any more")]
    NotKept,
    #[error("no server of that version is open now: a proxy would have none")]
    NoServer,
}

/// The lines of an earlier version, filtered by what is known now: a server that drains or is gone does not come
/// back, nor does a cold one with more than it has now. Levels stay as the decisions have them: a line of worth
/// that is down is down for a reason of now.
///
/// # Errors
/// [`Refused`], if a proxy would be left without a server.
pub fn rolled_back(
    earlier: Option<BTreeMap<Key, Entry>>, now: &BTreeMap<Key, Entry>, known: impl Fn(&str) -> Known,
) -> Result<BTreeMap<Key, Entry>, Refused> {
    let earlier = earlier.ok_or(Refused::NotKept)?;
    let mut table: BTreeMap<Key, Entry> = BTreeMap::new();
    let mut open = 0;
    for (key, entry) in earlier {
        let Key::Line(server) = &key else { continue };
        match known(server) {
            Known::Open => {
                open += 1;
                table.insert(key, entry);
            }
            Known::Cold => {
                if let Some(held) = now.get(&key) {
                    table.insert(key, least(entry, held.clone()));
                }
            }
            Known::Draining | Known::Gone => {}
        }
    }
    if open == 0 {
        return Err(Refused::NoServer);
    }
    let levels = now.iter().filter(|(key, _)| !matches!(key, Key::Line(_)));
    table.extend(levels.map(|(key, entry)| (key.clone(), entry.clone())));
    Ok(table)
}

fn least(one: Entry, other: Entry) -> Entry {
    match (one, other) {
        (Entry::Part(a), Entry::Part(b)) => Entry::Part(a.min(b)),
        (_, other) => other,
    }
}

/// One step from a table towards another: parts move by at most that share of the table's whole weight, all
/// together. What is closed now goes at once, whatever the step; levels are the wanted ones. `true`: it is there.
pub fn step_towards(
    held: &BTreeMap<Key, Entry>, wanted: &BTreeMap<Key, Entry>, most: f64, closed: impl Fn(&str) -> bool,
) -> (BTreeMap<Key, Entry>, bool) {
    let part = |table: &BTreeMap<Key, Entry>, key: &Key| match table.get(key) {
        Some(Entry::Part(part)) => *part,
        _ => 0.0,
    };
    let lines = |table: &BTreeMap<Key, Entry>| -> Vec<Key> {
        let lines = table.keys().filter(|key| matches!(key, Key::Line(_)));
        lines.filter(|key| key.server().is_some_and(|server| !closed(server))).cloned().collect()
    };
    let mut keys = lines(held);
    keys.extend(lines(wanted));
    keys.sort();
    keys.dedup();
    let weight = |table: &BTreeMap<Key, Entry>| keys.iter().map(|key| part(table, key)).sum::<f64>();
    let (from, to) = (weight(held).max(1e-9), weight(wanted).max(1e-9));
    // Shares are compared, since tables of different weight may mean the same.
    let gap: f64 =
        keys.iter().map(|key| (part(wanted, key) / to - part(held, key) / from).abs()).sum::<f64>() / 2.0;
    let step = if gap <= most { 1.0 } else { most / gap };
    let mut table: BTreeMap<Key, Entry> = BTreeMap::new();
    for key in keys {
        let (a, b) = (part(held, &key) / from, part(wanted, &key) / to);
        let share = a + (b - a) * step;
        if share > 1e-9 {
            let exact = if step >= 1.0 { part(wanted, &key) } else { share * to };
            table.insert(key, Entry::Part(exact));
        }
    }
    let levels = wanted.iter().filter(|(key, _)| !matches!(key, Key::Line(_)));
    table.extend(levels.map(|(key, entry)| (key.clone(), entry.clone())));
    (table, step >= 1.0)
}

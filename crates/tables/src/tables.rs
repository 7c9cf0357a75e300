//! The sender's side: each table's newest content, and the changes that led to it, within bounds.

use crate::table::{Change, Content, Delta, Entry, Key, Version, Whole};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How much history is kept of each table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kept {
    pub versions: usize,
    /// Of changes, without the names, which are shared.
    pub bytes: usize,
    pub age: Duration,
}

impl Default for Kept {
    fn default() -> Self {
        Kept { versions: 100, bytes: 256 << 10, age: Duration::from_secs(3600) }
    }
}

/// What is to be sent to one that holds a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Sent {
    /// It holds the newest.
    Nothing,
    Delta(Delta),
    /// The history does not reach what it holds.
    Whole(Whole),
}

/// One step of a table's history: what it changed, and what was there before.
struct Step {
    at: Duration,
    base: Version,
    changes: Vec<(Change, Option<Entry>)>,
}

struct Table {
    version: Version,
    content: Content,
    /// Not yet sealed: each key's entry as of the last version.
    open: BTreeMap<Key, Option<Entry>>,
    steps: VecDeque<Step>,
    bytes: usize,
}

pub struct Tables {
    epoch: u64,
    kept: Kept,
    tables: BTreeMap<u32, Table>,
    /// Each name once, whatever the number of tables and versions that hold it.
    names: HashSet<Arc<str>>,
    sealed: u64,
}

/// One version of a table as a step from the one before: what it changed, with what was there and what is.
#[derive(Clone, Debug, PartialEq)]
pub struct StepOf {
    pub at: Duration,
    pub base: Version,
    pub result: Version,
    pub changes: Vec<(Key, Option<Entry>, Option<Entry>)>,
}

/// A table as it was kept: the content of some version, and the steps from there to the newest.
#[derive(Clone, Debug, PartialEq)]
pub struct Restored {
    pub table: u32,
    pub version: Version,
    pub entries: Vec<(Key, Entry)>,
    pub steps: Vec<StepOf>,
}

/// Seals after which names that nothing holds any more are let go of.
const SWEEP: u64 = 4096;

impl Tables {
    /// `epoch`: drawn anew at each start without history, so that no number is taken for another content.
    pub fn start(epoch: u64, kept: Kept) -> Tables {
        Tables { epoch, kept, tables: BTreeMap::new(), names: HashSet::new(), sealed: 0 }
    }

    /// Tables as they were kept, of one epoch. `Err`: the table whose content does not give the digests that were
    /// kept with it; then none is believed.
    ///
    /// # Errors
    /// The number of the table.
    pub fn restore(epoch: u64, kept: Kept, all: Vec<Restored>) -> Result<Tables, u32> {
        let mut tables = Tables::start(epoch, kept);
        for Restored { table, version, entries, steps } in all {
            entries.into_iter().for_each(|(key, entry)| tables.set(table, key, Some(entry)));
            tables.set_version(table, version).ok_or(table)?;
            for step in steps {
                let follows = tables.version(table) == Some(step.base);
                step.changes.iter().for_each(|(key, _, entry)| tables.set(table, key.clone(), entry.clone()));
                let sealed = tables.seal(step.at, table);
                if !follows || sealed != Some(step.result) {
                    return Err(table);
                }
            }
        }
        Ok(tables)
    }

    /// What is set so far is that version, without a history; `None` if its digest is another.
    fn set_version(&mut self, table: u32, version: Version) -> Option<()> {
        // A table that was kept empty has no entry that made it.
        self.set(table, Key::Line("".into()), None);
        let held = self.tables.get_mut(&table)?;
        held.open.clear();
        held.version = version;
        (held.content.digest() == version.digest && version.epoch == self.epoch).then_some(())
    }

    /// From now on versions are of another epoch, with the same content and no history: those that come were not
    /// kept, and their numbers must not be taken again after a start from what was.
    pub fn leave_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        for held in self.tables.values_mut() {
            held.version = Version { epoch, number: 1, digest: held.version.digest };
            held.steps.clear();
            held.bytes = 0;
        }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }
    pub fn numbers(&self) -> impl Iterator<Item = u32> {
        self.tables.keys().copied()
    }

    /// The steps of a table's history after a number, as they are to be kept.
    pub fn steps_after(&self, table: u32, number: u64) -> Vec<StepOf> {
        let Some(held) = self.tables.get(&table) else { return Vec::new() };
        let results = held.steps.iter().skip(1).map(|step| step.base).chain([held.version]);
        let steps = held.steps.iter().zip(results).filter(|(_, result)| result.number > number);
        let of = |(step, result): (&Step, Version)| StepOf {
            at: step.at,
            base: step.base,
            result,
            changes: step
                .changes
                .iter()
                .map(|(c, before)| (c.key.clone(), before.clone(), c.entry.clone()))
                .collect(),
        };
        steps.map(of).collect()
    }

    /// The oldest version that is kept of a table.
    pub fn oldest(&self, table: u32) -> Option<Version> {
        let held = self.tables.get(&table)?;
        Some(held.steps.front().map_or(held.version, |step| step.base))
    }

    fn name(&mut self, name: &Arc<str>) -> Arc<str> {
        match self.names.get(name) {
            Some(held) => held.clone(),
            None => {
                self.names.insert(name.clone());
                name.clone()
            }
        }
    }

    /// Sets an entry of a table, or takes it out. It is in no version before the table is sealed.
    pub fn set(&mut self, table: u32, key: Key, entry: Option<Entry>) {
        let key = match &key {
            Key::Line(name) => Key::Line(self.name(name)),
            Key::Level(name) => Key::Level(self.name(name)),
            Key::Note(name) => Key::Note(self.name(name)),
        };
        let version = Version { epoch: self.epoch, number: 0, digest: 0 };
        let new = || Table {
            version,
            content: Content::default(),
            open: BTreeMap::new(),
            steps: VecDeque::new(),
            bytes: 0,
        };
        let table = self.tables.entry(table).or_insert_with(new);
        let before = table.content.set(&key, entry);
        table.open.entry(key).or_insert(before);
    }

    /// Takes out all entries of a table.
    pub fn clear(&mut self, table: u32) {
        let keys: Vec<Key> =
            self.content(table).map(|c| c.entries().keys().cloned().collect()).unwrap_or_default();
        keys.into_iter().for_each(|key| self.set(table, key, None));
    }

    /// What was set since the last version becomes one, if it differs; the newest version is told.
    pub fn seal(&mut self, now: Duration, table: u32) -> Option<Version> {
        let held = self.tables.get_mut(&table)?;
        let open = std::mem::take(&mut held.open);
        let content = &held.content;
        let differs = open.into_iter().filter(|(key, before)| content.get(key) != before.as_ref());
        let changes: Vec<(Change, Option<Entry>)> = differs
            .map(|(key, before)| {
                let entry = content.get(&key).cloned();
                (Change { key, entry }, before)
            })
            .collect();
        if !changes.is_empty() {
            let base = held.version;
            held.version = Version { number: base.number + 1, digest: content.digest(), ..base };
            held.bytes += changes.len() * Change::HELD;
            held.steps.push_back(Step { at: now, base, changes });
        }
        let kept = self.kept;
        let over = |held: &Table| {
            let oldest = held.steps.front();
            oldest.is_some_and(|step| {
                held.steps.len() > kept.versions || held.bytes > kept.bytes || now > step.at + kept.age
            })
        };
        while over(held) {
            if let Some(step) = held.steps.pop_front() {
                held.bytes -= step.changes.len() * Change::HELD;
            }
        }
        let version = held.version;
        self.sealed += 1;
        if self.sealed.is_multiple_of(SWEEP) {
            self.names.retain(|name| Arc::strong_count(name) > 1);
        }
        Some(version)
    }

    pub fn remove(&mut self, table: u32) {
        self.tables.remove(&table);
    }

    pub fn version(&self, table: u32) -> Option<Version> {
        self.tables.get(&table).map(|held| held.version)
    }
    pub fn content(&self, table: u32) -> Option<&Content> {
        self.tables.get(&table).map(|held| &held.content)
    }

    /// What leads one that holds a version to the newest that is sealed. The smaller of delta and whole is sent.
    pub fn since(&self, table: u32, holds: Option<Version>) -> Sent {
        let Some(held) = self.tables.get(&table) else { return Sent::Nothing };
        if holds == Some(held.version) {
            return Sent::Nothing;
        }
        let from = holds.and_then(|holds| held.steps.iter().position(|step| step.base == holds));
        let whole = || {
            let entries = sealed(held).into_iter().collect();
            Sent::Whole(Whole { table, version: held.version, entries })
        };
        let (Some(from), Some(base)) = (from, holds) else { return whole() };
        let mut newest: BTreeMap<&Key, &Change> = BTreeMap::new();
        // What a key was in the base: changed back, it is no change.
        let mut first: BTreeMap<&Key, Option<&Entry>> = BTreeMap::new();
        for (change, before) in held.steps.iter().skip(from).flat_map(|step| &step.changes) {
            newest.insert(&change.key, change);
            first.entry(&change.key).or_insert(before.as_ref());
        }
        let differs = newest
            .into_values()
            .filter(|change| first.get(&change.key).is_none_or(|before| *before != change.entry.as_ref()));
        let changes: Vec<Change> = differs.cloned().collect();
        if changes.len() > held.content.entries().len() {
            return whole();
        }
        Sent::Delta(Delta { table, base, result: held.version, changes })
    }

    /// A table as it was in a version that is kept.
    pub fn at(&self, table: u32, number: u64) -> Option<BTreeMap<Key, Entry>> {
        let held = self.tables.get(&table)?;
        let back = held.version.number.checked_sub(number)? as usize;
        if back > held.steps.len() {
            return None;
        }
        let mut entries = sealed(held);
        for (change, before) in held.steps.iter().rev().take(back).flat_map(|step| step.changes.iter().rev())
        {
            match before {
                Some(entry) => _ = entries.insert(change.key.clone(), entry.clone()),
                None => _ = entries.remove(&change.key),
            }
        }
        Some(entries)
    }

    /// Whether the newest or any kept version of a table names a server.
    pub fn names(&self, server: &str) -> bool {
        let line = Key::Line(server.into());
        let changed = |step: &Step| step.changes.iter().any(|(change, _)| change.key == line);
        self.tables.values().any(|held| held.content.get(&line).is_some() || held.steps.iter().any(changed))
    }

    /// Tables, and bytes of their histories.
    pub fn held(&self) -> (usize, usize) {
        (self.tables.len(), self.tables.values().map(|held| held.bytes).sum())
    }
}

/// The newest version's entries: without what is set and not sealed.
fn sealed(held: &Table) -> BTreeMap<Key, Entry> {
    let mut entries = held.content.entries().clone();
    for (key, before) in &held.open {
        match before {
            Some(entry) => _ = entries.insert(key.clone(), entry.clone()),
            None => _ = entries.remove(key),
        }
    }
    entries
}

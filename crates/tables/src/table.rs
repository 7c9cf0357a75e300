//! What a table holds, its digest, and the difference between two of its versions.

use std::collections::BTreeMap;
use std::mem::size_of;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// What an entry is about. Names are shared between versions and tables.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A line, by its server.
    Line(Arc<str>),
    /// The level of an op type.
    Level(Arc<str>),
    /// A text under a name.
    Note(Arc<str>),
}

impl Key {
    pub fn server(&self) -> Option<&Arc<str>> {
        match self {
            Key::Line(server) => Some(server),
            Key::Level(_) | Key::Note(_) => None,
        }
    }
    pub fn name(&self) -> &Arc<str> {
        match self {
            Key::Line(name) | Key::Level(name) | Key::Note(name) => name,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A line's part relative to the others.
    Part(f64),
    /// What is let in, and the way of trying again.
    Level { admit: f64, policy: u8 },
    /// What a note says. Shared between versions and tables.
    Note(Arc<str>),
}

/// Names a table's content: no two contents of one epoch have the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Drawn at each start without history.
    pub epoch: u64,
    pub number: u64,
    pub digest: u128,
}

/// Entries by key, and their digest: a sum over entries, so that a change costs what changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Content {
    entries: BTreeMap<Key, Entry>,
    digest: u128,
}

fn mark(key: &Key, entry: &Entry) -> u128 {
    let mut hash = Xxh3::new();
    let (kind, name) = match key {
        Key::Line(name) => (0u8, name),
        Key::Level(name) => (1, name),
        Key::Note(name) => (2, name),
    };
    hash.update(&[kind]);
    hash.update(&(name.len() as u64).to_le_bytes());
    hash.update(name.as_bytes());
    match entry {
        Entry::Part(part) => hash.update(&part.to_bits().to_le_bytes()),
        Entry::Level { admit, policy } => {
            hash.update(&admit.to_bits().to_le_bytes());
            hash.update(&[*policy]);
        }
        Entry::Note(text) => hash.update(text.as_bytes()),
    }
    hash.digest128()
}

impl Content {
    pub fn digest(&self) -> u128 {
        self.digest
    }
    pub fn entries(&self) -> &BTreeMap<Key, Entry> {
        &self.entries
    }
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Sets an entry, or takes it out; tells what was there.
    pub fn set(&mut self, key: &Key, entry: Option<Entry>) -> Option<Entry> {
        let before = match entry {
            Some(entry) => {
                self.digest = self.digest.wrapping_add(mark(key, &entry));
                self.entries.insert(key.clone(), entry)
            }
            None => self.entries.remove(key),
        };
        if let Some(before) = &before {
            self.digest = self.digest.wrapping_sub(mark(key, before));
        }
        before
    }

    /// The digest that it would have after these changes.
    pub fn digest_after(&self, changes: &[Change]) -> u128 {
        changes.iter().fold(self.digest, |digest, change| {
            let now = change.entry.as_ref().map_or(0, |entry| mark(&change.key, entry));
            let before = self.entries.get(&change.key).map_or(0, |entry| mark(&change.key, entry));
            digest.wrapping_add(now).wrapping_sub(before)
        })
    }

    /// The digest worked out anew from all entries.
    pub fn digest_anew(&self) -> u128 {
        self.entries.iter().fold(0, |digest: u128, (key, entry)| digest.wrapping_add(mark(key, entry)))
    }
}

/// One entry of a delta; `None` takes it out.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub key: Key,
    pub entry: Option<Entry>,
}

impl Change {
    /// Bytes that it holds, its name's not counted: that is shared.
    pub const HELD: usize = size_of::<Change>() + size_of::<Option<Entry>>();
}

/// What leads from one version of a table to another. Each key stands in it once, in the order of keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    pub table: u32,
    pub base: Version,
    pub result: Version,
    pub changes: Vec<Change>,
}

/// All of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Whole {
    pub table: u32,
    pub version: Version,
    pub entries: Vec<(Key, Entry)>,
}

/// One delta in place of several that follow each other; `None` if they do not.
pub fn fold(deltas: &[Delta]) -> Option<Delta> {
    let (first, last) = (deltas.first()?, deltas.last()?);
    let follow =
        deltas.windows(2).all(|pair| pair[0].result == pair[1].base && pair[0].table == pair[1].table);
    if !follow {
        return None;
    }
    let newest: BTreeMap<&Key, &Change> =
        deltas.iter().flat_map(|d| &d.changes).map(|c| (&c.key, c)).collect();
    let changes = newest.into_values().cloned().collect();
    Some(Delta { table: first.table, base: first.base, result: last.result, changes })
}

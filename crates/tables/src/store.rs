//! Versions and withdrawals on disk, so that a supervisor that starts again goes on where it was. What is to be
//! sent is kept first; what cannot be kept ends the store, and the supervisor serves on without one, under an
//! epoch that no store knows.

use crate::table::{Entry, Key, Version};
use crate::tables::{Kept, Restored, StepOf, Tables};
use crate::withdrawals::{Withdrawal, Withdrawals};
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// Of what is written; one that is higher is not touched.
const FORMAT: u32 = 1;
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// By table and number of the version that a step leads to.
const STEPS: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("steps");
/// The content from which a table's steps go on.
const BASES: TableDefinition<u32, &[u8]> = TableDefinition::new("bases");

/// Why a store cannot be used. The supervisor serves without it, and says so.
#[derive(Debug, thiserror::Error)]
pub enum Unusable {
    #[error("another process has it open")]
    Busy,
    #[error("it is of format {0}, this program knows {FORMAT}: it is left as it is")]
    Newer(u32),
    /// Moved aside it may be looked at; a new one begins another epoch.
    #[error("its content is spoilt: {0}")]
    Spoilt(String),
    #[error("{0}")]
    Failed(String),
}

/// What was kept.
pub struct Recovered {
    pub tables: Tables,
    pub withdrawals: Withdrawals,
    /// There was nothing: the epoch is the one that was drawn.
    pub new: bool,
}

#[derive(Serialize, Deserialize)]
struct Meta {
    format: u32,
    epoch: u64,
    sequence: u64,
    withdrawals: Vec<(u64, String, bool)>,
}

#[derive(Clone, Serialize, Deserialize)]
enum Stored {
    Part(f64),
    Level(f64, u8),
    Note(String),
}

#[derive(Serialize, Deserialize)]
struct StoredStep {
    at: Duration,
    base: (u64, u128),
    result: (u64, u128),
    /// Line 0, level 1 or note 2; name, before, after.
    changes: Vec<(u8, String, Option<Stored>, Option<Stored>)>,
}

#[derive(Serialize, Deserialize)]
struct StoredBase {
    version: (u64, u128),
    entries: Vec<(u8, String, Stored)>,
}

impl From<Entry> for Stored {
    fn from(entry: Entry) -> Stored {
        match entry {
            Entry::Part(part) => Stored::Part(part),
            Entry::Level { admit, policy } => Stored::Level(admit, policy),
            Entry::Note(text) => Stored::Note(text.to_string()),
        }
    }
}

impl From<Stored> for Entry {
    fn from(stored: Stored) -> Entry {
        match stored {
            Stored::Part(part) => Entry::Part(part),
            Stored::Level(admit, policy) => Entry::Level { admit, policy },
            Stored::Note(text) => Entry::Note(text.into()),
        }
    }
}

fn key_of(kind: u8, name: String) -> Key {
    match kind {
        0 => Key::Line(name.into()),
        1 => Key::Level(name.into()),
        _ => Key::Note(name.into()),
    }
}

fn parts_of(key: &Key) -> (u8, String) {
    let kind = match key {
        Key::Line(_) => 0,
        Key::Level(_) => 1,
        Key::Note(_) => 2,
    };
    (kind, key.name().to_string())
}

fn spoilt(e: impl std::fmt::Display) -> Unusable {
    Unusable::Spoilt(e.to_string())
}

fn failed(e: impl std::fmt::Display) -> Unusable {
    Unusable::Failed(e.to_string())
}

/// An open store. What it last kept of each table is known, so that only what is new is written.
pub struct Store {
    database: Database,
    /// By table: the number of its base, and the newest that is kept.
    kept: BTreeMap<u32, (u64, u64)>,
    most_steps: u64,
}

fn opened(e: DatabaseError) -> Unusable {
    match e {
        DatabaseError::DatabaseAlreadyOpen => Unusable::Busy,
        DatabaseError::Storage(redb::StorageError::Corrupted(why)) => Unusable::Spoilt(why),
        other => failed(other),
    }
}

impl Store {
    /// Opens a file, or makes it. `epoch`: drawn, for when nothing was kept.
    ///
    /// # Errors
    /// [`Unusable`].
    pub fn open(path: &Path, kept: Kept, epoch: u64) -> Result<(Store, Recovered), Unusable> {
        Store::with(Database::create(path).map_err(opened)?, kept, epoch)
    }

    /// The same on any storage: tests break it off at every write.
    ///
    /// # Errors
    /// [`Unusable`].
    pub fn open_on(
        storage: impl StorageBackend, kept: Kept, epoch: u64,
    ) -> Result<(Store, Recovered), Unusable> {
        Store::with(Database::builder().create_with_backend(storage).map_err(opened)?, kept, epoch)
    }

    fn with(database: Database, kept: Kept, epoch: u64) -> Result<(Store, Recovered), Unusable> {
        let meta = read_meta(&database)?;
        let new = meta.is_none();
        let meta = meta.unwrap_or(Meta { format: FORMAT, epoch, sequence: 0, withdrawals: Vec::new() });
        let all = if new { Vec::new() } else { read_tables(&database, meta.epoch)? };
        let numbers = all.iter().map(|restored| {
            let newest = restored.steps.last().map_or(restored.version, |step| step.result);
            (restored.table, (restored.version.number, newest.number))
        });
        let numbers: BTreeMap<u32, (u64, u64)> = numbers.collect();
        let tables = Tables::restore(meta.epoch, kept, all);
        let tables = tables.map_err(|table| spoilt(format!("table {table} does not give its digests")))?;
        let word = |(sequence, server, out): (u64, String, bool)| Withdrawal {
            sequence,
            server: server.into(),
            out,
        };
        let withdrawals = Withdrawals::restore(meta.sequence, meta.withdrawals.into_iter().map(word));
        let mut store = Store { database, kept: numbers, most_steps: kept.versions as u64 * 2 };
        if new {
            store.keep(&tables, &[], Some(&withdrawals))?;
        }
        Ok((store, Recovered { tables, withdrawals, new }))
    }

    /// Keeps what is new of these tables, and the withdrawals if they moved, in one step: all of it, or nothing.
    /// Only what was kept may be sent.
    ///
    /// # Errors
    /// [`Unusable`]: the store is over; the caller leaves the epoch ([`Tables::leave_epoch`]) before it sends
    /// anything more.
    pub fn keep(
        &mut self, tables: &Tables, sealed: &[u32], withdrawals: Option<&Withdrawals>,
    ) -> Result<(), Unusable> {
        let write = self.database.begin_write().map_err(failed)?;
        let mut numbers = BTreeMap::new();
        {
            let mut steps = write.open_table(STEPS).map_err(failed)?;
            let mut bases = write.open_table(BASES).map_err(failed)?;
            for table in sealed {
                let Some(newest) = tables.version(*table) else { continue };
                let (base, kept) = self.kept.get(table).copied().unwrap_or((0, 0));
                let oldest = tables.oldest(*table).map_or(0, |version| version.number);
                // A gap to what is kept, or too many steps: the table is kept anew from its oldest version.
                if !self.kept.contains_key(table) || oldest > kept || newest.number - base > self.most_steps {
                    for number in base..=kept {
                        steps.remove((*table, number)).map_err(failed)?;
                    }
                    let entries = tables.at(*table, oldest).unwrap_or_default();
                    let version = tables.oldest(*table).map_or((0, 0), |v| (v.number, v.digest));
                    let entries = entries.into_iter().map(|(key, entry)| {
                        let (kind, name) = parts_of(&key);
                        (kind, name, entry.into())
                    });
                    let stored = StoredBase { version, entries: entries.collect() };
                    let bytes = postcard::to_stdvec(&stored).map_err(failed)?;
                    bases.insert(*table, bytes.as_slice()).map_err(failed)?;
                    numbers.insert(*table, (oldest, newest.number));
                    put_steps(&mut steps, *table, &tables.steps_after(*table, oldest))?;
                } else {
                    numbers.insert(*table, (base, newest.number));
                    put_steps(&mut steps, *table, &tables.steps_after(*table, kept))?;
                }
            }
            if let Some(withdrawals) = withdrawals {
                let all = withdrawals.since(0).into_iter().map(|w| (w.sequence, w.server.to_string(), w.out));
                let (epoch, sequence) = (tables.epoch(), withdrawals.sequence());
                let meta = Meta { format: FORMAT, epoch, sequence, withdrawals: all.collect() };
                let bytes = postcard::to_stdvec(&meta).map_err(failed)?;
                let mut table = write.open_table(META).map_err(failed)?;
                table.insert("meta", bytes.as_slice()).map_err(failed)?;
            }
        }
        write.commit().map_err(failed)?;
        self.kept.extend(numbers);
        Ok(())
    }
}

fn put_steps(steps: &mut redb::Table<(u32, u64), &[u8]>, table: u32, new: &[StepOf]) -> Result<(), Unusable> {
    for step in new {
        let stored = StoredStep {
            at: step.at,
            base: (step.base.number, step.base.digest),
            result: (step.result.number, step.result.digest),
            changes: step
                .changes
                .iter()
                .map(|(key, before, after)| {
                    let (kind, name) = parts_of(key);
                    (kind, name, before.clone().map(Stored::from), after.clone().map(Stored::from))
                })
                .collect(),
        };
        let bytes = postcard::to_stdvec(&stored).map_err(failed)?;
        steps.insert((table, step.result.number), bytes.as_slice()).map_err(failed)?;
    }
    Ok(())
}

fn read_meta(database: &Database) -> Result<Option<Meta>, Unusable> {
    let read = database.begin_read().map_err(failed)?;
    let table = match read.open_table(META) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(e) => return Err(spoilt(e)),
    };
    let Some(bytes) = table.get("meta").map_err(spoilt)? else { return Ok(None) };
    // The format stands first, whatever follows it.
    let (format, _) = postcard::take_from_bytes::<u32>(bytes.value()).map_err(spoilt)?;
    if format != FORMAT {
        return Err(Unusable::Newer(format));
    }
    postcard::from_bytes(bytes.value()).map(Some).map_err(spoilt)
}

fn read_tables(database: &Database, epoch: u64) -> Result<Vec<Restored>, Unusable> {
    let read = database.begin_read().map_err(failed)?;
    let version = |(number, digest): (u64, u128)| Version { epoch, number, digest };
    let (bases, steps) = (read.open_table(BASES).map_err(spoilt)?, read.open_table(STEPS).map_err(spoilt)?);
    let mut all = Vec::new();
    for row in bases.iter().map_err(spoilt)? {
        let (table, bytes) = row.map_err(spoilt)?;
        let table = table.value();
        let base: StoredBase = postcard::from_bytes(bytes.value()).map_err(spoilt)?;
        let entries = base.entries.into_iter().map(|(kind, name, entry)| (key_of(kind, name), entry.into()));
        let mut restored =
            Restored { table, version: version(base.version), entries: entries.collect(), steps: Vec::new() };
        for row in steps.range((table, base.version.0 + 1)..=(table, u64::MAX)).map_err(spoilt)? {
            let (_, bytes) = row.map_err(spoilt)?;
            let step: StoredStep = postcard::from_bytes(bytes.value()).map_err(spoilt)?;
            let changes = step.changes.into_iter().map(|(kind, name, before, after)| {
                (key_of(kind, name), before.map(Entry::from), after.map(Entry::from))
            });
            let (base, result) = (version(step.base), version(step.result));
            restored.steps.push(StepOf { at: step.at, base, result, changes: changes.collect() });
        }
        all.push(restored);
    }
    Ok(all)
}

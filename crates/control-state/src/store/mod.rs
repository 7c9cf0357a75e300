//! What lasts: a snapshot, and a log of what came after it, in one folder of a small disk.
//!
//! Logs are numbered from 1 on without gaps. `snapshot-N` holds all that came before the log N. The log that is
//! written to is `wal-1`; its head tells its number. A log that is left (after a failed write, whose bytes may be
//! there or not, or at the next start) becomes `log-N`, and the next one begins, so that nothing is ever written
//! behind a torn tail.
//!
//! A torn end was never synced; what was synced and cannot be read is rot, and the folder is damaged. They are told
//! apart by what an entry says of the one before it (`log`), by one checksum over each file that is written to no more
//! (`snapshot`), and by what is known to last of the log in use (`mark`).
//!
//! What is read back is the newest sound snapshot and all logs from its number on. Old files go only after the
//! snapshot that replaces them lasts, name included. A log is synced again before its records are handed out: a
//! process may have been killed between write and sync, and what others are told must not be lost afterwards.

mod files;
mod log;
mod mark;
mod snapshot;
pub mod steps;

use std::io;
use std::path::{Path, PathBuf};

use crate::fault::{self, Fault};
use files::Found;
use log::{End, Log};
use mark::{Mark, Marker};
use steps::{Step, did};

/// What binds the store. A record's bytes count with a few more for its frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// One record at most; a larger one is refused. Also what is written in one go.
    pub entry_bytes: usize,
    /// Room that a log takes from its beginning.
    pub ahead_bytes: u32,
    /// A checkpoint is wanted once the logs hold more, and more than the snapshot does.
    pub checkpoint_bytes: u64,
    /// A checkpoint is wanted once there are more logs.
    pub logs: u64,
    /// All logs together; over it records are refused until there is a checkpoint, so that the snapshot has room.
    pub log_room: u64,
}

impl Limits {
    /// For a disk of so many megabytes.
    pub fn for_disk(disk_mb: u64) -> Limits {
        let disk = disk_mb.clamp(16, 1 << 20) << 20;
        Limits {
            entry_bytes: 1 << 20,
            ahead_bytes: 256 << 10,
            checkpoint_bytes: 3 << 19,
            logs: 8,
            log_room: disk / 4,
        }
    }
}

#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StoreError {
    /// the disk did not do it: {0}
    Io(#[from] io::Error),
    /// {0} is damaged or missing, and nothing stands in for it
    Damaged(String),
    /// a record of {0} bytes is over the bound
    TooLarge(usize),
    /// no room for more records before the next checkpoint
    Full,
}

/// One folder's log and snapshot. All calls wait for the disk: they belong on a thread of their own.
#[derive(Debug)]
pub struct Store {
    dir: PathBuf,
    limits: Limits,
    state: State,
    /// The number of the snapshot in force, so of the first log that counts. 1 if there is no snapshot.
    base: u64,
    /// The number of the first log in which nothing counts yet.
    next: u64,
    /// What the logs that count hold.
    log_bytes: u64,
    snapshot_bytes: u64,
    marker: Marker,
}

/// What there is of a log in use.
#[derive(Debug)]
enum State {
    /// Nothing that counts, though a file may be there.
    None,
    Open(Log),
    /// So many records in the log of this number last, and nothing more may be written to it.
    Left {
        number: u64,
        lasting: u64,
    },
}

impl Store {
    /// Opens a folder, which may be empty. Hands out what was kept: the snapshot's records first, then the logs'
    /// in the order of their writing. After [`StoreError::Damaged`] the folder is of no use: see [`Store::wipe`].
    pub fn open(dir: &Path, disk_mb: u64) -> Result<(Store, Vec<Vec<u8>>), StoreError> {
        Store::open_with(dir, Limits::for_disk(disk_mb))
    }

    pub fn open_with(dir: &Path, limits: Limits) -> Result<(Store, Vec<Vec<u8>>), StoreError> {
        if !dir.is_dir() {
            std::fs::create_dir_all(dir)?;
        }
        let mut found = files::list(dir)?;
        put_away(dir, &mut found)?;
        let newest = newest_snapshot(dir, &found)?;
        let mut records = newest.records;
        let mut store = Store {
            dir: dir.to_owned(),
            limits,
            state: State::None,
            base: newest.number,
            next: newest.number,
            log_bytes: 0,
            snapshot_bytes: log::size(&records),
            marker: Marker::default(),
        };
        let mark = mark::read(dir).filter(|_| !fault::is(Fault::RotIsTorn));
        for number in found.logs.range(newest.number..) {
            if *number != store.next {
                return Err(StoreError::Damaged(files::log_name(store.next)));
            }
            let read = log::read_synced(&dir.join(files::log_name(*number)))?;
            let known = mark.filter(|mark| mark.log == *number).map_or(0, |mark| mark.records);
            if read.end == End::Rotten || (read.records.len() as u64) < known {
                return Err(StoreError::Damaged(files::log_name(*number)));
            }
            store.log_bytes += log::size(&read.records);
            store.next = number.saturating_add(1);
            records.extend(read.records);
        }
        if let Some(mark) = mark.filter(|mark| mark.log >= store.next) {
            return Err(StoreError::Damaged(files::log_name(mark.log)));
        }
        match newest.damaged {
            // All that it held is there besides.
            Some(damaged) if store.next < damaged => Err(StoreError::Damaged(files::snapshot_name(damaged))),
            _ => {
                store.sweep()?;
                if mark.is_none_or(|mark| mark.log < store.base) {
                    store.marker.remove(dir)?;
                }
                Ok((store, records))
            }
        }
    }

    /// Empties a folder whose contents are of no use. The oldest go first and for good, since of what is left of a
    /// folder that cannot be read nothing may come back as an older state that can: without the newest file, say,
    /// a snapshot from before it would count again.
    pub fn wipe(dir: &Path) -> Result<(), StoreError> {
        let found = files::list(dir)?;
        let snapshots = found.snapshots.iter().map(|number| (*number, files::snapshot_name(*number)));
        let logs = found.logs.iter().map(|number| (*number, files::log_name(*number)));
        let mut names: Vec<(u64, String)> = snapshots.chain(logs).collect();
        names.sort_by_key(|(number, _)| *number);
        names.extend(found.in_use.into_iter().map(|name| (u64::MAX, name)));
        // The mark goes last: without what it tells of the folder is of no use.
        names.push((u64::MAX, files::MARK.to_owned()));
        for (_, name) in names {
            files::remove(&dir.join(name))?;
            if !fault::is(Fault::WipedInAnyOrder) {
                files::sync_folder(dir)?;
            }
        }
        Ok(files::sync_folder(dir)?)
    }

    /// Writes records behind all others, with one sync. They last once this returns. After an error they may last
    /// or not: the next call has to begin with the same records, or with others that take their place.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        if let Some(large) = records.iter().find(|record| record.len() > self.limits.entry_bytes) {
            return Err(StoreError::TooLarge(large.len()));
        }
        let ahead = self.log_count().saturating_mul(u64::from(self.limits.ahead_bytes));
        if self.log_bytes + ahead + log::size(records) > self.limits.log_room {
            return Err(StoreError::Full);
        }
        if records.is_empty() {
            return Ok(());
        }
        let mut log = self.log_to_write()?;
        let written = log.write_all(records, self.limits.entry_bytes);
        let (number, lasting) = (log.number, log.lasting);
        if log.has_lasting() {
            self.next = number.saturating_add(1);
            // Without it the next start knows less of what lasts, and that is all.
            if let Err(error) = self.marker.write(&self.dir, Mark { log: number, records: lasting }) {
                tracing::info!("store: what is synced is not marked, {error}");
            }
        }
        self.state = match &written {
            Ok(()) => State::Open(log),
            Err(_) if log.has_lasting() => State::Left { number, lasting },
            Err(_) => State::None,
        };
        written?;
        self.log_bytes += log::size(records);
        Ok(())
    }

    /// The logs have grown so much that a snapshot is worth it.
    pub fn wants_checkpoint(&self) -> bool {
        let worth = self.limits.checkpoint_bytes.max(self.snapshot_bytes);
        self.log_bytes > worth.min(self.limits.log_room / 2) || self.log_count() > self.limits.logs
    }

    /// Puts a snapshot in the place of all that was written before. It has to hold all that `append` took, and may
    /// hold more. After an error nothing is lost: what was written before counts, or the snapshot does.
    pub fn checkpoint(&mut self, snapshot: Vec<Vec<u8>>) -> Result<(), StoreError> {
        snapshot::write_synced(&self.dir, files::DRAFT, &snapshot)?;
        // Once the name is there the logs before it no longer count, so none of them may be written to.
        if let State::Open(log) = &self.state {
            self.state = State::Left { number: log.number, lasting: log.lasting };
        }
        std::fs::rename(self.dir.join(files::DRAFT), self.dir.join(files::snapshot_name(self.next)))?;
        did(Step::Changed);
        if !fault::is(Fault::SnapshotNameUnsynced) {
            files::sync_folder(&self.dir)?;
        }
        self.state = State::None;
        self.base = self.next;
        self.log_bytes = 0;
        self.snapshot_bytes = log::size(&snapshot);
        if self.sweep().and_then(|()| self.marker.remove(&self.dir)).is_err() {
            // They go the next time.
            tracing::info!("store: old files stay for now");
        }
        Ok(())
    }

    fn log_count(&self) -> u64 {
        self.next.saturating_sub(self.base)
    }

    /// The log in use, or a new one.
    fn log_to_write(&mut self) -> io::Result<Log> {
        match std::mem::replace(&mut self.state, State::None) {
            State::Open(log) => return Ok(log),
            State::None => files::remove(&self.dir.join(files::IN_USE))?,
            State::Left { number, lasting } => {
                let closed = self.close(number, lasting);
                if closed.is_err() {
                    self.state = State::Left { number, lasting };
                }
                closed?;
            }
        }
        Log::begin(&self.dir, self.next, &self.limits)
    }

    /// Gives the log in use its lasting name.
    fn close(&self, number: u64, lasting: u64) -> io::Result<()> {
        let in_use = self.dir.join(files::IN_USE);
        if !in_use.is_file() && self.dir.join(files::log_name(number)).is_file() {
            return files::sync_folder(&self.dir);
        }
        let (_, read) = log::read_in_use(&in_use)?;
        if (read.records.len() as u64) < lasting {
            return Err(io::Error::other("what lasted in the log cannot be read any more"));
        }
        log::close(&self.dir, number, &read.records)
    }

    /// Removes what the snapshot in force replaces. It need not last: numbers tell what counts.
    fn sweep(&self) -> io::Result<()> {
        let found = files::list(&self.dir)?;
        let logs = found.logs.range(..self.base).map(|number| files::log_name(*number));
        let snapshots = found.snapshots.range(..self.base).map(|number| files::snapshot_name(*number));
        for name in logs.chain(snapshots).chain(found.in_use) {
            files::remove(&self.dir.join(name))?;
        }
        Ok(())
    }
}

/// Gives the log that was in use at the last end its lasting name. What is found counts from here on, and what it
/// replaces goes: so the names that were found last first, whatever the process before this one came to.
fn put_away(dir: &Path, found: &mut Found) -> Result<(), StoreError> {
    for draft in [files::DRAFT, files::LOG_DRAFT] {
        files::remove(&dir.join(draft))?;
    }
    files::sync_folder(dir)?;
    for name in std::mem::take(&mut found.in_use) {
        let (number, read) = log::read_in_use(&dir.join(&name))?;
        if read.end == End::Rotten {
            return Err(StoreError::Damaged(name));
        }
        match number {
            Some(number) if found.logs.insert(number) => {
                if read.end == End::Torn {
                    tracing::info!("store: log {number} ends torn behind {} records", read.records.len());
                }
                log::close(dir, number, &read.records)?;
            }
            // It was never written to, or has its new name besides.
            _ => files::remove(&dir.join(&name))?,
        }
    }
    Ok(())
}

struct Newest {
    number: u64,
    records: Vec<Vec<u8>>,
    /// The newest of all, if it is not this one.
    damaged: Option<u64>,
}

/// The newest sound snapshot; an empty one before the first log if there is none.
fn newest_snapshot(dir: &Path, found: &Found) -> io::Result<Newest> {
    let mut damaged = None;
    for number in found.snapshots.iter().rev().copied() {
        if let Some(records) = snapshot::read(&dir.join(files::snapshot_name(number)))? {
            return Ok(Newest { number, records, damaged });
        }
        tracing::info!("store: snapshot {number} is damaged");
        damaged = damaged.or(Some(number));
    }
    Ok(Newest { number: 1, records: Vec::new(), damaged })
}

#[cfg(test)]
#[path = "../../tests/inner/store.rs"]
mod tests;

//! One log's file, written by `okaywal` and read back by this module.
//!
//! The library writes and syncs, in one file that it never reuses: its own checkpoints, which do, are off. It does
//! not read back: its recovery writes to what it reads, begins a thread for each file, goes on behind entries that
//! are torn, and believes their lengths. Entries count from 1 on without gaps here, with sound checksums, up to the
//! first that does not.

use std::fs::{self, File};
use std::io;
use std::mem::ManuallyDrop;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::Arc;

use okaywal::{Configuration, LogVoid, WriteAheadLog};

use crate::fault::{self, Fault};
use crate::store::steps::{Step, did};
use crate::store::{Limits, files, snapshot};

/// Bytes that a record takes besides its own.
const FRAME: u64 = 9;
/// Bytes that an entry takes besides its records, and some to spare.
const ENTRY_FRAME: usize = 64;

const HEAD: &[u8; 5] = b"okw\0\x08";
const ENTRY: u8 = 1;
const CHUNK: u8 = 2;
const END: u8 = 3;

/// What records take in a log.
pub fn size(records: &[Vec<u8>]) -> u64 {
    records.iter().map(|record| record.len() as u64 + FRAME).sum()
}

/// A log that is written to. After an error it has to be dropped: what is in it is in doubt from there on, and the
/// library would wait forever.
#[derive(Debug)]
pub struct Log {
    pub number: u64,
    entries: u64,
    /// So many records in it last.
    pub lasting: u64,
    library: WriteAheadLog,
    /// Stands for a disk that takes what is written and fails to sync it.
    #[cfg(test)]
    pub fails: bool,
}

impl Log {
    /// Begins a new one; none may be in use in the folder.
    pub fn begin(dir: &Path, number: u64, limits: &Limits) -> io::Result<Log> {
        let configuration = Configuration {
            directory: dir.to_owned(),
            preallocate_bytes: limits.ahead_bytes,
            checkpoint_after_bytes: u64::MAX,
            buffer_bytes: limits.entry_bytes + FRAME as usize + ENTRY_FRAME,
            version_info: Arc::new(number.to_le_bytes().to_vec()),
        };
        // It panics if it gets no thread.
        let opened = catch_unwind(AssertUnwindSafe(|| configuration.open(LogVoid)));
        let library = opened.unwrap_or_else(|_| Err(io::Error::other("the log did not begin")))?;
        did(Step::Changed);
        Ok(Log {
            number,
            entries: 0,
            lasting: 0,
            library,
            #[cfg(test)]
            fails: false,
        })
    }

    /// Something in it lasts.
    pub fn has_lasting(&self) -> bool {
        self.entries > 0
    }

    /// Writes records with one sync. Lots over `most` bytes take more than one.
    pub fn write_all(&mut self, mut records: &[Vec<u8>], most: usize) -> io::Result<()> {
        while !records.is_empty() {
            let (now, later) = records.split_at(fitting(records, most));
            self.write(now)?;
            records = later;
        }
        Ok(())
    }

    fn write(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        // Dropped unfinished it would panic when the disk fails. All of it fits into the library's buffer, so the
        // disk is not asked before the commit, which finishes it in any case.
        let mut entry = ManuallyDrop::new(self.library.begin_entry()?);
        for record in records {
            entry.write_chunk(record)?;
        }
        ManuallyDrop::into_inner(entry).commit()?;
        did(Step::FileSynced(files::IN_USE));
        if self.entries == 0 {
            // The library does so behind the first entry of a file that it made.
            did(Step::FolderSynced);
        }
        #[cfg(test)]
        if self.fails {
            return Err(io::Error::other("fails"));
        }
        self.entries += 1;
        self.lasting += records.len() as u64;
        Ok(())
    }
}

/// How many records go into one entry: one at least.
fn fitting(records: &[Vec<u8>], most: usize) -> usize {
    let mut bytes = 0;
    let fits = records.iter().take_while(|record| {
        bytes += record.len() + FRAME as usize;
        bytes <= most
    });
    fits.count().max(1)
}

/// How a log ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    #[default]
    Whole,
    /// With an entry that was never synced.
    Torn,
    /// Something that lasted is not there any more, here or further on.
    Rotten,
}

/// A log as it was read back.
#[derive(Debug, Default, PartialEq)]
pub struct ReadBack {
    pub records: Vec<Vec<u8>>,
    pub end: End,
}

/// The number of a log that may have been written to, and what it holds. No number: nothing of it ever counted.
pub fn read_in_use(path: &Path) -> io::Result<(Option<u64>, ReadBack)> {
    let bytes = fs::read(path)?;
    Ok((number(&bytes).map(|(number, _)| number), read(&bytes)))
}

/// Reads a log that has its lasting name, and syncs it, so that what was read lasts.
pub fn read_synced(path: &Path) -> io::Result<ReadBack> {
    let bytes = fs::read(path)?;
    File::open(path)?.sync_all()?;
    Ok(match snapshot::records(&bytes) {
        Some(records) => ReadBack { records, end: End::Whole },
        // Before they were written anew, logs were renamed as they were.
        None if number(&bytes).is_some() => read(&bytes),
        None => ReadBack { records: Vec::new(), end: rotten() },
    })
}

/// Writes a log anew under its lasting name, torn end left out, and removes the one it came from, once the new one is
/// there to stay. Does no harm if it was done already, in part or whole.
pub fn close(dir: &Path, number: u64, records: &[Vec<u8>]) -> io::Result<()> {
    let name = files::log_name(number);
    if dir.join(&name).is_file() {
        files::sync_folder(dir)?;
    } else {
        snapshot::write_synced(dir, files::LOG_DRAFT, records)?;
        files::name_synced(dir, files::LOG_DRAFT, &name)?;
    }
    files::remove(&dir.join(files::IN_USE))
}

fn number(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (number, rest) = bytes.strip_prefix(HEAD)?.split_first_chunk::<8>()?;
    Some((u64::from_le_bytes(*number), rest))
}

fn rotten() -> End {
    if fault::is(Fault::RotIsTorn) { End::Torn } else { End::Rotten }
}

fn read(bytes: &[u8]) -> ReadBack {
    let mut records = Vec::new();
    let mut expected: u64 = 1;
    let mut rest = bytes;
    if let Some((_, behind)) = number(bytes) {
        rest = behind;
        while let Some((entry, behind)) = read_entry(rest, expected) {
            records.extend(entry);
            expected = expected.saturating_add(1);
            rest = behind;
        }
    }
    let end = if has_sound_behind(rest, expected) {
        rotten()
    } else if rest.iter().any(|byte| *byte != 0) {
        End::Torn
    } else {
        End::Whole
    };
    ReadBack { records, end }
}

/// A sound entry behind that of a number, which is not sound itself: it says that one was synced.
fn has_sound_behind(bytes: &[u8], missing: u64) -> bool {
    let most = missing.saturating_add(bytes.len() as u64);
    bytes.windows(1 + 8).enumerate().any(|(at, window)| {
        let Some(id) = window.strip_prefix(&[ENTRY]).and_then(|id| id.first_chunk::<8>()) else {
            return false;
        };
        let id = u64::from_le_bytes(*id);
        let sound = || bytes.get(at..).and_then(|rest| read_entry(rest, id));
        (missing < id && id <= most) && sound().is_some_and(|(records, _)| !records.is_empty())
    })
}

/// The entry of a number and what stands behind it. None: there is no such whole entry.
fn read_entry(bytes: &[u8], expected: u64) -> Option<(Vec<Vec<u8>>, &[u8])> {
    let (id, mut rest) = bytes.strip_prefix(&[ENTRY])?.split_first_chunk::<8>()?;
    if u64::from_le_bytes(*id) != expected {
        return None;
    }
    let mut records = Vec::new();
    while let Some(chunk) = rest.strip_prefix(&[CHUNK]) {
        let (length, behind) = chunk.split_first_chunk::<4>()?;
        let (record, behind) = behind.split_at_checked(u32::from_le_bytes(*length) as usize)?;
        let (sum, behind) = behind.split_first_chunk::<4>()?;
        if crc32c::crc32c(record) != u32::from_le_bytes(*sum) && !fault::is(Fault::TornTailTaken) {
            return None;
        }
        records.push(record.to_vec());
        rest = behind;
    }
    match rest.strip_prefix(&[END]) {
        None if fault::is(Fault::TornTailTaken) => Some((records, &[])),
        behind => Some((records, behind?)),
    }
}

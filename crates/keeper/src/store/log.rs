//! One log's file, written by `okaywal` and read back by this module.
//!
//! The library writes and syncs, in one file that it never reuses: its own checkpoints, which do, are off. It does
//! not read back: its recovery writes to what it reads, begins a thread for each file, goes on behind entries that
//! are torn, and believes their lengths. Entries count from 1 on without gaps here, with sound checksums, up to the
//! first that does not.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read};
use std::mem::ManuallyDrop;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::Arc;

use okaywal::{Configuration, LogVoid, WriteAheadLog};

use crate::fault::{self, Fault};
use crate::store::steps::{Step, did};
use crate::store::{Limits, files};

/// Bytes that a record takes besides its own.
const FRAME: u64 = 9;
/// Bytes that an entry takes besides its records, and some to spare.
const ENTRY_FRAME: usize = 64;

const HEAD: &[u8; 5] = b"okw\0\x08";
const HEAD_BYTES: usize = HEAD.len() + 8;
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

/// A log as it was read back.
#[derive(Debug, Default, PartialEq)]
pub struct ReadBack {
    pub records: Vec<Vec<u8>>,
    /// What they take in the log.
    pub bytes: u64,
    /// Behind the last whole entry something else begins.
    pub is_torn: bool,
}

/// The number of a log. None: it was never written to.
pub fn number_of(path: &Path) -> io::Result<Option<u64>> {
    let mut head = [0; HEAD_BYTES];
    match File::open(path)?.read_exact(&mut head) {
        Ok(()) => Ok(number(&head).map(|(number, _)| number)),
        Err(error) if error.kind() == ErrorKind::UnexpectedEof => Ok(None),
        Err(error) => Err(error),
    }
}

/// Reads a log, and syncs it, so that what was read lasts.
pub fn read_synced(path: &Path) -> io::Result<ReadBack> {
    let bytes = fs::read(path)?;
    File::open(path)?.sync_all()?;
    Ok(read(&bytes))
}

fn number(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (number, rest) = bytes.strip_prefix(HEAD)?.split_first_chunk::<8>()?;
    Some((u64::from_le_bytes(*number), rest))
}

fn read(bytes: &[u8]) -> ReadBack {
    let mut back = ReadBack::default();
    let Some((_, mut rest)) = number(bytes) else {
        back.is_torn = !bytes.is_empty();
        return back;
    };
    let mut expected: u64 = 1;
    while let Some((entry, behind)) = read_entry(rest, expected) {
        back.bytes += size(&entry);
        back.records.extend(entry);
        expected = expected.saturating_add(1);
        rest = behind;
    }
    back.is_torn = rest.first().is_some_and(|first| *first != 0);
    back
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

//! A file of records that is written once: a mark, their count, each with its length, and a checksum over all. So are
//! snapshots, and logs that nothing is written to any more.

use std::fs::{self, File};
use std::io::{self, BufWriter, Write};
use std::path::Path;

use crate::store::files;
use crate::store::steps::{Step, did};

const MARK: &[u8; 8] = b"keeper 1";

/// Writes a new file and syncs it. Its name does not last yet. After an error it is gone, if the disk lets it go.
pub fn write_synced(dir: &Path, name: &'static str, records: &[Vec<u8>]) -> io::Result<()> {
    let path = dir.join(name);
    let written = write(&path, name, records);
    if written.is_err() {
        let _ = files::remove(&path);
    }
    written
}

fn write(path: &Path, name: &'static str, records: &[Vec<u8>]) -> io::Result<()> {
    let mut out = Summed { file: BufWriter::with_capacity(64 << 10, File::create(path)?), sum: 0 };
    out.put(MARK)?;
    out.put(&length(records.len())?)?;
    for record in records {
        out.put(&length(record.len())?)?;
        out.put(record)?;
    }
    let sum = out.sum;
    out.put(&sum.to_le_bytes())?;
    let file = out.file.into_inner().map_err(io::IntoInnerError::into_error)?;
    did(Step::Changed);
    file.sync_all()?;
    did(Step::FileSynced(name));
    Ok(())
}

struct Summed {
    file: BufWriter<File>,
    sum: u32,
}

impl Summed {
    fn put(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.sum = crc32c::crc32c_append(self.sum, bytes);
        self.file.write_all(bytes)
    }
}

fn length(length: usize) -> io::Result<[u8; 4]> {
    u32::try_from(length).map(u32::to_le_bytes).map_err(io::Error::other)
}

/// Reads a snapshot. None: it is damaged.
pub fn read(path: &Path) -> io::Result<Option<Vec<Vec<u8>>>> {
    Ok(records(&fs::read(path)?))
}

/// The records of such a file. None: it is damaged, or another kind of file.
pub fn records(bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let (body, sum) = bytes.split_last_chunk::<4>()?;
    if crc32c::crc32c(body) != u32::from_le_bytes(*sum) {
        return None;
    }
    let (count, mut rest) = body.strip_prefix(MARK)?.split_first_chunk::<4>()?;
    let mut records = Vec::new();
    for _ in 0..u32::from_le_bytes(*count) {
        let (length, behind) = rest.split_first_chunk::<4>()?;
        let (record, behind) = behind.split_at_checked(u32::from_le_bytes(*length) as usize)?;
        records.push(record.to_vec());
        rest = behind;
    }
    rest.is_empty().then_some(records)
}

//! How much of the newest log is known to last: its number, and so many records, in a small file beside it.
//!
//! It is written over in place behind each sync of the log, and never synced itself. After a loss of power it may be
//! an older one, a torn one or none, and each that can be read is true: what it says lasted before it was written.

use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

use crate::store::files;
use crate::store::steps::{Step, did};

const BYTES: usize = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    pub log: u64,
    pub records: u64,
}

/// None: there is none that can be read.
pub fn read(dir: &Path) -> Option<Mark> {
    let bytes = fs::read(dir.join(files::MARK)).ok()?;
    let (body, sum) = bytes.get(..BYTES)?.split_last_chunk::<4>()?;
    let (log, rest) = body.split_first_chunk::<8>()?;
    let (records, _) = rest.split_first_chunk::<8>()?;
    let is_sound = crc32c::crc32c(body) == u32::from_le_bytes(*sum);
    is_sound.then(|| Mark { log: u64::from_le_bytes(*log), records: u64::from_le_bytes(*records) })
}

/// Writes marks; opens their file with the first one.
#[derive(Debug, Default)]
pub struct Marker(Option<File>);

impl Marker {
    pub fn write(&mut self, dir: &Path, mark: Mark) -> io::Result<()> {
        let file = match self.0.take() {
            Some(file) => file,
            None => File::options().create(true).write(true).truncate(false).open(dir.join(files::MARK))?,
        };
        let mut bytes = [mark.log.to_le_bytes(), mark.records.to_le_bytes()].concat();
        bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
        file.write_all_at(&bytes, 0)?;
        did(Step::Changed);
        self.0 = Some(file);
        Ok(())
    }

    /// The log that it told of does not count any more.
    pub fn remove(&mut self, dir: &Path) -> io::Result<()> {
        self.0 = None;
        files::remove(&dir.join(files::MARK))
    }
}

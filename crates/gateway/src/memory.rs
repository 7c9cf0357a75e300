//! What a keeper remembers over its own start, to serve with before a majority is there: the open servers and the
//! newest committed configuration and accounts, in small files on its disk, written by the disk's thread. Nothing else rests on
//! them: what cannot be read counts as nothing remembered.

use fallgap_registry::Record;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// More is not written, nor read: four files of it have room beside the registers on a small disk.
const MOST: usize = 2 << 20;
/// Least time between two writings; one more for each so many bytes, so that the disk has time for the registers.
const PAUSE: Duration = Duration::from_millis(1000);
const PAUSE_BYTES: usize = 256 << 10;

/// FNV-1a: tells torn files from whole ones.
fn sum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

fn read(path: &Path) -> Option<(u64, Vec<u8>)> {
    let bytes = std::fs::read(path).ok().filter(|bytes| bytes.len() <= MOST + 8)?;
    let (told, body) = bytes.split_first_chunk::<8>()?;
    if u64::from_le_bytes(*told) != sum(body) {
        return None;
    }
    let (sequence, body) = body.split_first_chunk::<8>()?;
    Some((u64::from_le_bytes(*sequence), body.to_vec()))
}

/// What is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    Servers,
    Configuration,
    Accounts,
}

/// On the disk's thread: all subjects.
pub struct Memory {
    servers: Kept,
    configuration: Kept,
    accounts: Kept,
}

/// What was remembered at the start.
#[derive(Debug, Default)]
pub struct Remembered {
    pub servers: Vec<Record>,
    pub configuration: Option<Vec<u8>>,
    pub accounts: Option<Vec<u8>>,
}

impl Memory {
    /// Opens a folder's memory and hands out what it holds.
    pub fn open(folder: &Path) -> (Memory, Remembered) {
        let (servers, listed) = Kept::open(folder, "servers");
        let (configuration, body) = Kept::open(folder, "configuration");
        let (accounts, ledger) = Kept::open(folder, "accounts");
        let listed = listed.and_then(|bytes| postcard::from_bytes(&bytes).ok());
        let remembered =
            Remembered { servers: listed.unwrap_or_default(), configuration: body, accounts: ledger };
        (Memory { servers, configuration, accounts }, remembered)
    }

    /// # Errors
    /// The disk refuses. What was there before still is.
    pub fn write(&mut self, subject: Subject, bytes: &[u8]) -> io::Result<()> {
        match subject {
            Subject::Servers => self.servers.write(bytes),
            Subject::Configuration => self.configuration.write(bytes),
            Subject::Accounts => self.accounts.write(bytes),
        }
    }
}

/// Two files in turn, so that one is whole at any time. The store in the same folder does not know such names.
struct Kept {
    paths: [PathBuf; 2],
    sequence: u64,
}

impl Kept {
    fn open(folder: &Path, name: &str) -> (Kept, Option<Vec<u8>>) {
        let paths = ["0", "1"].map(|turn| folder.join(format!("{name}.{turn}")));
        let newest = paths.iter().filter_map(|path| read(path)).max_by_key(|(sequence, _)| *sequence);
        let (sequence, body) = newest.map_or((0, None), |(sequence, body)| (sequence, Some(body)));
        (Kept { paths, sequence }, body)
    }

    /// Writes over the older of the two.
    fn write(&mut self, content: &[u8]) -> io::Result<()> {
        if content.len() + 8 > MOST {
            return Ok(());
        }
        let mut body = (self.sequence + 1).to_le_bytes().to_vec();
        body.extend_from_slice(content);
        let [even, odd] = &self.paths;
        let path = if (self.sequence + 1).is_multiple_of(2) { even } else { odd };
        let is_new = !path.exists();
        let mut file: File = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
        let mut bytes = sum(&body).to_le_bytes().to_vec();
        bytes.extend_from_slice(&body);
        file.write_all(&bytes)?;
        file.sync_data()?;
        if is_new && let Some(folder) = path.parent() {
            // Else the older of the two may be all that is left after a loss of power.
            File::open(folder)?.sync_all()?;
        }
        self.sequence += 1;
        Ok(())
    }
}

/// On the engine's side, for one subject: when there is something new to be written.
#[derive(Debug, Default)]
pub struct Notebook {
    /// The count or edition that was written last.
    written: u64,
    not_before: Duration,
}

impl Notebook {
    /// Whether what is known under this count is to be written now.
    pub fn is_due(&self, now: Duration, count: u64) -> bool {
        count != self.written && now >= self.not_before
    }

    /// So many bytes are on their way to the disk.
    pub fn wrote(&mut self, now: Duration, count: u64, bytes: usize) {
        self.written = count;
        self.not_before = now + PAUSE * (1 + u32::try_from(bytes / PAUSE_BYTES).unwrap_or(60));
    }
}

#[cfg(test)]
#[path = "../tests/inner/memory.rs"]
mod tests;

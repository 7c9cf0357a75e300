//! Names in the store's folder.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::Path;

use crate::store::steps::{Step, did};

/// The log that is written to, as the log's library calls the first of an empty folder.
pub const IN_USE: &str = "wal-1";
/// A snapshot in the making.
pub const DRAFT: &str = "snapshot.new";
/// A log that is to have its lasting name, in the making.
pub const LOG_DRAFT: &str = "log.new";

const COPIED_AT_ONCE: usize = 64 << 10;

/// The store's files in a folder.
#[derive(Debug, Default)]
pub struct Found {
    pub logs: BTreeSet<u64>,
    pub snapshots: BTreeSet<u64>,
    pub in_use: Vec<String>,
}

pub fn log_name(number: u64) -> String {
    format!("log-{number}")
}

pub fn snapshot_name(number: u64) -> String {
    format!("snapshot-{number}")
}

/// What there is. Other names are none of the store's.
pub fn list(dir: &Path) -> io::Result<Found> {
    let mut found = Found::default();
    for entry in fs::read_dir(dir)? {
        let name = entry?.file_name();
        let Some((kind, rest)) = name.to_str().and_then(|name| name.split_once('-')) else { continue };
        match (kind, rest.parse()) {
            ("wal", _) => found.in_use.push(format!("wal-{rest}")),
            ("log", Ok(number)) => drop(found.logs.insert(number)),
            ("snapshot", Ok(number)) => drop(found.snapshots.insert(number)),
            _ => {}
        }
    }
    Ok(found)
}

/// Removes a file, if it is there.
pub fn remove(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => {
            did(Step::Changed);
            Ok(())
        }
    }
}

/// Gives a file another name so that it lasts: the old one goes only once the new one is there to stay, since after a
/// loss of power a name that was changed may be gone and the one before it too. Does no harm if it was done already,
/// in part or whole. By a copy: not every file system has a second name for a file.
pub fn rename_synced(dir: &Path, from: &str, to: &str) -> io::Result<()> {
    if !dir.join(to).is_file() {
        let draft = dir.join(LOG_DRAFT);
        if let Err(error) = copy_synced(&dir.join(from), &draft) {
            let _ = remove(&draft);
            return Err(error);
        }
        fs::rename(draft, dir.join(to))?;
        did(Step::Changed);
    }
    sync_folder(dir)?;
    remove(&dir.join(from))
}

/// What the copy holds lasts, its name need not. With plain reads and writes, and a bounded buffer.
fn copy_synced(from: &Path, to: &Path) -> io::Result<()> {
    let (mut source, mut copy) = (File::open(from)?, File::create(to)?);
    let mut buffer = vec![0; COPIED_AT_ONCE];
    loop {
        let read = source.read(&mut buffer)?;
        let Some(bytes) = buffer.get(..read).filter(|bytes| !bytes.is_empty()) else { break };
        copy.write_all(bytes)?;
    }
    did(Step::Changed);
    copy.sync_all()?;
    did(Step::FileSynced(LOG_DRAFT));
    Ok(())
}

/// Makes new names, and those that were changed or removed, last.
pub fn sync_folder(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()?;
    did(Step::FolderSynced);
    Ok(())
}

//! Names in the store's folder.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::path::Path;

use crate::store::steps::{Step, did};

/// The log that is written to, as the log's library calls the first of an empty folder.
pub const IN_USE: &str = "wal-1";
/// A snapshot in the making.
pub const DRAFT: &str = "snapshot.new";
/// A log that is to have its lasting name, in the making.
pub const LOG_DRAFT: &str = "log.new";
/// What is known to last of the newest log.
pub const MARK: &str = "synced";

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

/// Gives a draft that was synced its name so that it lasts.
pub fn name_synced(dir: &Path, draft: &str, name: &str) -> io::Result<()> {
    fs::rename(dir.join(draft), dir.join(name))?;
    did(Step::Changed);
    sync_folder(dir)
}

/// Makes new names, and those that were changed or removed, last.
pub fn sync_folder(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()?;
    did(Step::FolderSynced);
    Ok(())
}

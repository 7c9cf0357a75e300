//! A disk loses what was synced: a bit, a block, the end of a file, a file. What is read back is all that was
//! acknowledged, or the folder is damaged and begins anew as another disk, or nothing at all, which is the same. It is
//! never a part.
#![cfg(feature = "faults")]

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use fallgap_control_state::fault::{self, Fault};
use fallgap_control_state::store::{Limits, Store, StoreError};

type Records = Vec<Vec<u8>>;
type Files = BTreeMap<String, Vec<u8>>;

const MARK: &str = "synced";

fn limits() -> Limits {
    Limits {
        entry_bytes: 8 << 10,
        ahead_bytes: 16 << 10,
        checkpoint_bytes: 20 << 10,
        logs: 8,
        log_room: 240 << 10,
    }
}

/// In memory, where there is such a folder: no power is lost here, and thousands of folders are opened.
fn scratch() -> PathBuf {
    let memory = PathBuf::from("/dev/shm");
    if memory.is_dir() { memory } else { std::env::temp_dir() }
}

fn folder(name: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let dir = scratch().join(format!("keeper-rot-{}-{count}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

fn files(dir: &Path) -> Files {
    let entries = fs::read_dir(dir).unwrap().map(Result::unwrap);
    entries.map(|e| (e.file_name().into_string().unwrap(), fs::read(e.path()).unwrap())).collect()
}

/// What lives leave, one letter a life's act: `a` a small record, `l` a lot over several entries, `c` a checkpoint.
fn lives(lives: &[&str]) -> (Files, Records) {
    let dir = folder("lives");
    let (mut held, mut count) = (Records::new(), 0u8);
    for acts in lives {
        let (mut store, read) = Store::open_with(&dir, limits()).unwrap();
        assert_eq!(read, held);
        for act in acts.chars() {
            let mut record = |length: usize| {
                count += 1;
                vec![count; length]
            };
            let more = match act {
                'a' => vec![record(40)],
                'l' => vec![record(3000), record(500), record(5000)],
                _ => {
                    held = vec![record(60), record(5000)];
                    store.checkpoint(held.clone()).unwrap();
                    continue;
                }
            };
            store.append(&more).unwrap();
            held.extend(more);
        }
    }
    let left = files(&dir);
    fs::remove_dir_all(dir).unwrap();
    (left, held)
}

/// Each way in which this file may be lost in part or whole.
fn rotten(bytes: &[u8]) -> BTreeSet<Option<Vec<u8>>> {
    let mut ways = BTreeSet::from([None]);
    // Bits of a long run of equal bytes are as good as each other.
    let telling = |at: &usize| {
        let around = &bytes[at.saturating_sub(20)..bytes.len().min(at + 20)];
        around.iter().any(|byte| *byte != bytes[*at])
    };
    for at in (0..bytes.len()).filter(telling) {
        let mut flipped = bytes.to_vec();
        flipped[at] ^= 1 << (at % 8);
        ways.insert(Some(flipped));
    }
    for block in [16, 512, 4096] {
        for at in (0..bytes.len()).step_by(block) {
            let end = bytes.len().min(at + block);
            let mut zeroed = bytes.to_vec();
            zeroed[at..end].fill(0);
            ways.insert(Some(zeroed));
            ways.insert(Some([&bytes[..at], &bytes[end..]].concat()));
            ways.insert(Some(bytes[..at].to_vec()));
        }
    }
    ways.remove(&Some(bytes.to_vec()));
    ways
}

#[derive(Debug, Default, PartialEq)]
struct Told {
    all: usize,
    damaged: usize,
    empty: usize,
}

/// What stores make of each of these; the first of which they make something else.
fn read_rotten(disk: &Files, held: &Records, has_mark: bool) -> Result<Told, String> {
    let (at, mut told) = (folder("read"), Told::default());
    let mut wrong = None;
    'all: for (name, bytes) in disk {
        for way in rotten(bytes) {
            let _ = fs::remove_dir_all(&at);
            fs::create_dir_all(&at).unwrap();
            let others = disk.iter().filter(|(other, _)| *other != name && (has_mark || *other != MARK));
            others.for_each(|(other, bytes)| fs::write(at.join(other), bytes).unwrap());
            if let Some(way) = &way {
                fs::write(at.join(name), way).unwrap();
            }
            match Store::open_with(&at, limits()) {
                Ok((_, records)) if records == *held => told.all += 1,
                Ok((_, records)) if records.is_empty() => told.empty += 1,
                Err(StoreError::Damaged(_)) => told.damaged += 1,
                other => {
                    let part = other.map(|(_, records)| records.len());
                    wrong = Some(format!("{name}: {part:?} of {}", held.len()));
                    break 'all;
                }
            }
        }
    }
    let _ = fs::remove_dir_all(at);
    wrong.map_or(Ok(told), Err)
}

const LIVES: [&[&str]; 4] = [&["aaa"], &["al", "aa"], &["aca", "a", "laa"], &["aac"]];

#[test]
fn no_part_of_what_was_acknowledged_is_taken_for_all_of_it() {
    for acts in LIVES {
        let (disk, held) = lives(acts);
        let told = read_rotten(&disk, &held, true).unwrap_or_else(|wrong| panic!("{acts:?}: {wrong}"));
        println!("{acts:?}: {told:?}");
        assert!(told.damaged > 100, "{acts:?}: {told:?}");
        // It has to be worth something when all is well, and when only the mark is lost.
        assert!(told.all >= 2 || !disk.contains_key(MARK), "{acts:?}: {told:?}");
    }
}

/// Power was lost too, and with it what was known to be synced: the newest entry may be taken for a torn end, and
/// nothing before it.
#[test]
fn without_the_mark_only_the_newest_entry_is_in_doubt() {
    for acts in [&["aaa"][..], &["aca", "a", "laa"]] {
        let (disk, held) = lives(acts);
        // The last entry is one record of 40 bytes, with its frame.
        let newest = |bytes: &[u8]| bytes.iter().rposition(|byte| *byte != 0).unwrap() - (9 + 1 + 4 + 40 + 4);
        let at = folder("unmarked");
        for (name, bytes) in disk.iter().filter(|(name, _)| *name != MARK) {
            for way in rotten(bytes).into_iter().flatten() {
                let first = bytes.iter().zip(&way).take_while(|(a, b)| a == b).count();
                let same = bytes.iter().rev().zip(way.iter().rev()).take_while(|(a, b)| a == b).count();
                if name == "wal-1" && bytes.len() - same > newest(bytes) {
                    continue;
                }
                let _ = fs::remove_dir_all(&at);
                fs::create_dir_all(&at).unwrap();
                let others = disk.iter().filter(|(other, _)| *other != name && *other != MARK);
                others.for_each(|(other, bytes)| fs::write(at.join(other), bytes).unwrap());
                fs::write(at.join(name), &way).unwrap();
                let opened = Store::open_with(&at, limits()).map(|(_, records)| records);
                let fine = opened.as_ref().map_or_else(
                    |error| matches!(error, StoreError::Damaged(_)),
                    |records| *records == held || records.is_empty(),
                );
                assert!(fine, "{acts:?}, {name} at {first}: {:?}", opened.map(|records| records.len()));
            }
        }
        let _ = fs::remove_dir_all(at);
    }
}

/// A log that was renamed as it was, by a program before this one, is read as ever.
#[test]
fn a_log_with_its_entries_under_its_lasting_name_is_read() {
    let (mut disk, held) = lives(&["aaa"]);
    let log = disk.remove("wal-1").unwrap();
    disk.insert("log-1".to_owned(), log);
    let at = folder("renamed");
    disk.iter().for_each(|(name, bytes)| fs::write(at.join(name), bytes).unwrap());
    assert_eq!(Store::open_with(&at, limits()).unwrap().1, held);
    fs::remove_dir_all(at).unwrap();
}

#[test]
fn the_fault_is_found() {
    fault::set(Some(Fault::RotIsTorn));
    let found: Vec<bool> = LIVES
        .iter()
        .map(|acts| {
            let (disk, held) = lives(acts);
            read_rotten(&disk, &held, true).is_err()
        })
        .collect();
    fault::set(None);
    // The fourth ends with a snapshot, and that has its checksum.
    assert_eq!(found, [true, true, true, false]);
}

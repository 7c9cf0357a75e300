//! What the store hands out after ends of every kind.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use fallgap_control_state::store::{Limits, Store, StoreError};

/// A folder of its own for each case.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("keeper-store-{}-{count}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        Folder(dir)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn names(&self) -> Vec<String> {
        let mut names: Vec<String> =
            fs::read_dir(&self.0).unwrap().map(|e| e.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }

    fn open(&self) -> (Store, Vec<Vec<u8>>) {
        Store::open_with(&self.0, small()).unwrap()
    }

    fn kept(&self) -> Vec<Vec<u8>> {
        self.open().1
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn small() -> Limits {
    Limits {
        entry_bytes: 8 << 10,
        ahead_bytes: 16 << 10,
        checkpoint_bytes: 20 << 10,
        logs: 4,
        log_room: 120 << 10,
    }
}

fn records(words: &[&str]) -> Vec<Vec<u8>> {
    words.iter().map(|word| word.as_bytes().to_vec()).collect()
}

fn garble(path: &Path, at: usize, bytes: &[u8]) {
    let mut all = fs::read(path).unwrap();
    all[at..at + bytes.len()].copy_from_slice(bytes);
    fs::write(path, all).unwrap();
}

fn find(path: &Path, word: &[u8]) -> usize {
    fs::read(path).unwrap().windows(word.len()).position(|w| w == word).unwrap()
}

#[test]
fn what_is_appended_comes_back_in_order() {
    let folder = Folder::new();
    let (mut store, kept) = folder.open();
    assert!(kept.is_empty());
    store.append(&[]).unwrap();
    assert!(folder.names().is_empty(), "nothing is made before it is needed");
    store.append(&records(&["one", "", "two"])).unwrap();
    store.append(&records(&["three"])).unwrap();
    drop(store);
    let (mut store, kept) = folder.open();
    assert_eq!(kept, records(&["one", "", "two", "three"]));
    store.append(&records(&["four"])).unwrap();
    // Killed: the store is not closed.
    assert_eq!(folder.kept(), records(&["one", "", "two", "three", "four"]));
}

#[test]
fn a_lot_over_one_entry_is_taken_and_a_record_over_it_refused() {
    let folder = Folder::new();
    let (mut store, _) = folder.open();
    let lot: Vec<Vec<u8>> = (0..9u8).map(|n| vec![n; 3000 + usize::from(n)]).collect();
    store.append(&lot).unwrap();
    let most = vec![vec![7; 8 << 10]];
    store.append(&most).unwrap();
    assert!(matches!(store.append(&[vec![0; (8 << 10) + 1]]), Err(StoreError::TooLarge(8193))));
    assert_eq!(folder.kept(), [lot, most].concat());
}

#[test]
fn a_snapshot_takes_the_place_of_what_was_before() {
    let folder = Folder::new();
    let (mut store, _) = folder.open();
    store.append(&records(&["a"])).unwrap();
    store.checkpoint(records(&["A"])).unwrap();
    assert_eq!(folder.names(), ["snapshot-2"]);
    store.append(&records(&["b"])).unwrap();
    store.checkpoint(records(&["A", "B"])).unwrap();
    store.checkpoint(records(&["AB"])).unwrap();
    assert_eq!(folder.names(), ["snapshot-3"]);
    store.append(&records(&["c"])).unwrap();
    assert_eq!(folder.kept(), records(&["AB", "c"]));
    assert_eq!(folder.kept(), records(&["AB", "c"]), "looking changes nothing");
}

#[test]
fn a_checkpoint_is_wanted_by_size_by_count_and_before_the_log_is_full() {
    let folder = Folder::new();
    let (mut store, _) = folder.open();
    let large = vec![vec![1; 7 << 10]];
    let appended = (0..).take_while(|_| !store.wants_checkpoint() && store.append(&large).is_ok()).count();
    assert_eq!(appended, 3);
    while store.append(&large).is_ok() {}
    assert!(matches!(store.append(&large), Err(StoreError::Full)));
    store.checkpoint(large.clone()).unwrap();
    assert!(!store.wants_checkpoint());
    store.append(&large).unwrap();
    drop(store);
    // Each life begins a log.
    for life in 2..=5 {
        let (mut store, _) = folder.open();
        assert!(!store.wants_checkpoint(), "life {life}");
        store.append(&records(&["x"])).unwrap();
    }
    assert!(folder.open().0.wants_checkpoint());
}

/// What was known to be synced before a moment is put in the place of what is known now.
fn forget_mark(folder: &Folder, before: Option<Vec<u8>>) {
    match before {
        Some(bytes) => fs::write(folder.path("synced"), bytes).unwrap(),
        None => fs::remove_file(folder.path("synced")).unwrap(),
    }
}

#[test]
fn torn_tails_are_dropped_and_what_was_synced_is_missed() {
    // (what is done to the log, how many of its entries were synced, what is left; None: the log is damaged)
    type Harm = fn(&Path);
    let table: [(&str, Harm, usize, Option<&[&str]>); 9] = [
        ("cut in the last entry", |p| cut(p, find(p, b"third") + 2), 2, Some(&["first", "second"])),
        ("cut before its end mark", |p| cut(p, find(p, b"third") + 9), 2, Some(&["first", "second"])),
        ("cut in the first entry", |p| cut(p, find(p, b"first")), 0, Some(&[])),
        ("cut in the head", |p| cut(p, 7), 0, Some(&[])),
        ("nothing left", |p| cut(p, 0), 0, Some(&[])),
        ("a byte changed", |p| garble(p, find(p, b"third"), b"T"), 2, Some(&["first", "second"])),
        ("a length changed", |p| garble(p, find(p, b"third") - 4, &[255; 4]), 2, Some(&["first", "second"])),
        // Sound entries are begun behind those that were synced: no tear makes the ninth of a third.
        ("a count changed", |p| garble(p, find(p, b"third") - 13, &[9]), 2, None),
        ("a hole, the last entry whole", |p| garble(p, find(p, b"second"), &[0; 6]), 1, None),
    ];
    for (what, harm, synced, left) in table {
        let torn = || {
            let folder = Folder::new();
            let (mut store, _) = folder.open();
            let mut marks = vec![None];
            for word in ["first", "second", "third"] {
                store.append(&records(&[word])).unwrap();
                marks.push(fs::read(folder.path("synced")).ok());
            }
            drop(store);
            harm(&folder.path("wal-1"));
            (folder, marks)
        };
        // All three were synced: none of these is a torn end.
        let (folder, _) = torn();
        let opened = Store::open_with(&folder.0, small());
        assert!(matches!(opened, Err(StoreError::Damaged(_))), "{what}");
        // Power was lost in the write behind those that were synced.
        let (folder, marks) = torn();
        forget_mark(&folder, marks[synced].clone());
        let Some(left) = left else {
            assert!(matches!(Store::open_with(&folder.0, small()), Err(StoreError::Damaged(_))), "{what}");
            continue;
        };
        let (mut store, kept) = folder.open();
        assert_eq!(kept, records(left), "{what}");
        // What comes after it is not lost behind the torn part.
        store.append(&records(&["later"])).unwrap();
        assert_eq!(folder.kept(), [records(left), records(&["later"])].concat(), "{what}");
    }
}

fn cut(path: &Path, length: usize) {
    fs::OpenOptions::new().write(true).open(path).unwrap().set_len(length as u64).unwrap();
}

#[test]
fn a_damaged_snapshot_falls_back_if_all_is_still_there() {
    let folder = Folder::new();
    let (mut store, _) = folder.open();
    store.append(&records(&["a"])).unwrap();
    store.checkpoint(records(&["A"])).unwrap();
    store.append(&records(&["b"])).unwrap();
    let before: Vec<(String, Vec<u8>)> = folder
        .names()
        .into_iter()
        .map(|name| (name.clone(), fs::read(folder.path(&name)).unwrap()))
        .collect();
    store.checkpoint(records(&["AB"])).unwrap();
    drop(store);
    let harm = |folder: &Folder| garble(&folder.path("snapshot-3"), 16, b"?");
    harm(&folder);
    let error = Store::open_with(&folder.0, small()).unwrap_err();
    assert!(matches!(error, StoreError::Damaged(_)), "{error}");
    // The end came before the old files went.
    for (name, bytes) in &before {
        fs::write(folder.path(name), bytes).unwrap();
    }
    assert_eq!(folder.kept(), records(&["A", "b"]));
    // One log of two is missing.
    folder.open().0.append(&records(&["c"])).unwrap();
    fs::remove_file(folder.path("log-2")).unwrap();
    assert!(matches!(Store::open_with(&folder.0, small()), Err(StoreError::Damaged(_))));
    Store::wipe(&folder.0).unwrap();
    assert!(folder.names().is_empty());
    assert!(folder.kept().is_empty());
}

#[test]
fn refused_calls_lose_nothing_and_work_later() {
    let folder = Folder::new();
    let (mut store, _) = folder.open();
    // A folder of its own stands where the file should.
    let block = |name: &str| fs::create_dir_all(folder.path(name).join("x")).unwrap();
    let unblock = |name: &str| fs::remove_dir_all(folder.path(name)).unwrap();
    block("wal-1");
    for _ in 0..20 {
        assert!(store.append(&records(&["a"])).is_err());
    }
    unblock("wal-1");
    store.append(&records(&["a"])).unwrap();
    block("snapshot.new");
    assert!(store.checkpoint(records(&["A"])).is_err());
    unblock("snapshot.new");
    store.append(&records(&["b"])).unwrap();
    // The name is refused: the log is left, and the next one begins.
    block("snapshot-2");
    assert!(store.checkpoint(records(&["AB"])).is_err());
    assert!(store.checkpoint(records(&["AB"])).is_err());
    block("log-1");
    assert!(store.append(&records(&["c"])).is_err());
    unblock("log-1");
    store.append(&records(&["c"])).unwrap();
    unblock("snapshot-2");
    assert_eq!(folder.names(), ["log-1", "snapshot.new", "synced", "wal-1"]);
    let copy = Folder::new();
    for name in folder.names() {
        fs::copy(folder.path(&name), copy.path(&name)).unwrap();
    }
    assert_eq!(copy.kept(), records(&["a", "b", "c"]));
    store.checkpoint(records(&["ABC"])).unwrap();
    store.append(&records(&["d"])).unwrap();
    assert_eq!(folder.kept(), records(&["ABC", "d"]));
}

/// The files of a folder at one moment.
fn picture(folder: &Folder) -> Vec<(String, Vec<u8>)> {
    folder.names().into_iter().map(|name| (name.clone(), fs::read(folder.path(&name)).unwrap())).collect()
}

/// Power is lost between two moments: of what was written in between each block is there or not, and so is
/// each name that is new or gone, unless it is said to last.
fn lose_power(
    rng: &mut fastrand::Rng, folder: &Folder, before: &[(String, Vec<u8>)], names_last: bool,
) -> &'static str {
    // It is written behind the sync that was not waited for.
    let mark = before.iter().find(|(name, _)| name == "synced").map(|(_, bytes)| bytes.clone());
    if folder.path("synced").exists() {
        forget_mark(folder, mark);
    }
    for (name, now) in picture(folder) {
        let old = before.iter().find(|(n, _)| *n == name).map(|(_, bytes)| bytes.as_slice());
        let Some(old) = old else {
            if !names_last && rng.bool() {
                fs::remove_file(folder.path(&name)).unwrap();
            }
            continue;
        };
        if !name.starts_with("wal") {
            continue;
        }
        let block = *rng.choice(&[1, 7, 64, 512]).unwrap();
        let share = *rng.choice(&[0.1, 0.5, 0.9, 0.99]).unwrap();
        let mut torn = old.to_vec();
        torn.resize(if rng.bool() { now.len() } else { old.len() }, 0);
        for (to, from) in torn.chunks_mut(block).zip(now.chunks(block)) {
            if rng.f64() < share {
                let shared = to.len().min(from.len());
                to[..shared].copy_from_slice(&from[..shared]);
            }
        }
        fs::write(folder.path(&name), torn).unwrap();
    }
    for (name, bytes) in before {
        if !folder.path(name).exists() && rng.bool() {
            fs::write(folder.path(name), bytes).unwrap();
        }
    }
    "power lost"
}

#[test]
fn drawn_lives_lose_nothing_that_was_acknowledged() {
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let folder = Folder::new();
        let (mut store, mut kept) = folder.open();
        let mut count = 0u64;
        for step in 0..14 {
            let lot: Vec<Vec<u8>> = (0..rng.usize(1..5))
                .map(|_| {
                    count += 1;
                    let mut record = count.to_le_bytes().to_vec();
                    record.resize(8 + rng.usize(0..600), rng.u8(1..4));
                    record
                })
                .collect();
            let longer = || [kept.clone(), lot.clone()].concat();
            let snapshot = kept[kept.len().saturating_sub(5)..].to_vec();
            let before = picture(&folder);
            let mut may_be = vec![kept.clone()];
            let what = match rng.u8(..8) {
                0..4 => {
                    store.append(&lot).unwrap();
                    kept = longer();
                    continue;
                }
                4 => {
                    store.checkpoint(snapshot.clone()).unwrap();
                    kept = snapshot;
                    continue;
                }
                5 => "killed",
                6 => {
                    store.append(&lot).unwrap();
                    may_be.push(longer());
                    drop(store);
                    lose_power(&mut rng, &folder, &before, false)
                }
                _ => {
                    // Names of a checkpoint last before the old ones go.
                    store.checkpoint(snapshot.clone()).unwrap();
                    may_be = vec![snapshot];
                    drop(store);
                    lose_power(&mut rng, &folder, &before, true)
                }
            };
            let (again, found) = folder.open();
            assert!(may_be.contains(&found), "seed {seed}, step {step}: {what}");
            (store, kept) = (again, found);
        }
    }
}

//! Power is lost, or the process killed, between any two steps of a store: nothing that was acknowledged is gone, and
//! nothing old comes back. Each name that was made, renamed or removed without a sync of the folder is kept or lost
//! by itself, and so is what was written to a file without a sync of it, in part or whole.
#![cfg(feature = "faults")]

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};

use fallgap_control_state::fault::{self, Fault};
use fallgap_control_state::store::steps::{self, Step};
use fallgap_control_state::store::{Limits, Store, StoreError};

type Records = Vec<Vec<u8>>;
/// Names and what they hold.
type Files = BTreeMap<String, Vec<u8>>;

/// States of a disk, and what may be read back from each.
type Found = BTreeSet<(Files, Vec<Records>)>;

/// A disk that knows what of it would last.
struct Disk {
    dir: PathBuf,
    /// Keeps each file under its number, so that no number is used twice.
    pins: PathBuf,
    names: BTreeMap<String, u64>,
    /// What each file held when it was synced last, and holds now.
    synced: BTreeMap<u64, Vec<u8>>,
    newest: BTreeMap<u64, Vec<u8>>,
    /// All that the mark of what is synced ever held: it is written over, and never synced.
    marks: BTreeMap<u64, BTreeSet<Vec<u8>>>,
    /// What may be read back from here on.
    allowed: Vec<Records>,
    found: Found,
    steps: usize,
    kill_at: usize,
}

struct Killed;

const MARK: &str = "synced";

impl Disk {
    fn look(&mut self) -> BTreeMap<String, u64> {
        let mut present = BTreeMap::new();
        for entry in fs::read_dir(&self.dir).unwrap() {
            let entry = entry.unwrap();
            let number = entry.metadata().unwrap().ino();
            let pin = self.pins.join(number.to_string());
            if !pin.exists() {
                fs::hard_link(entry.path(), &pin).unwrap();
            }
            let (name, bytes) = (entry.file_name().into_string().unwrap(), fs::read(&pin).unwrap());
            if name == MARK {
                self.marks.entry(number).or_default().insert(bytes.clone());
            }
            self.newest.insert(number, bytes);
            present.insert(name, number);
        }
        present
    }

    /// What there may be after a loss of power now.
    fn lose_power(&mut self) {
        let present = self.look();
        let mut ways: Vec<BTreeMap<String, u64>> = vec![BTreeMap::new()];
        let all: BTreeSet<&String> = present.keys().chain(self.names.keys()).collect();
        for name in all {
            let choices = BTreeSet::from([present.get(name), self.names.get(name)]);
            ways = ways
                .into_iter()
                .flat_map(|way| {
                    choices.iter().map(move |choice| {
                        let mut way = way.clone();
                        way.extend(choice.map(|number| (name.clone(), *number)));
                        way
                    })
                })
                .collect();
        }
        for way in ways {
            let mut files: Vec<Files> = vec![Files::new()];
            for (name, number) in way {
                let contents = self.contents(number);
                files = files
                    .into_iter()
                    .flat_map(|files| {
                        contents.iter().map({
                            let name = name.clone();
                            move |bytes| {
                                let mut files = files.clone();
                                files.insert(name.clone(), bytes.clone());
                                files
                            }
                        })
                    })
                    .collect();
            }
            self.found.extend(files.into_iter().map(|files| (files, self.allowed.clone())));
        }
    }

    /// What was synced, what was written since, one or other half of it, and two thirds of it with a hole.
    fn contents(&self, number: u64) -> BTreeSet<Vec<u8>> {
        let synced = self.synced.get(&number).cloned().unwrap_or_default();
        let newest = self.newest[&number].clone();
        let from = synced.iter().zip(&newest).take_while(|(a, b)| a == b).count();
        let written = newest.iter().rposition(|byte| *byte != 0).map_or(0, |at| at + 1);
        let half = from + written.saturating_sub(from) / 2;
        let mut torn = newest.clone();
        torn.iter_mut().skip(half).for_each(|byte| *byte = 0);
        let cut = newest[..half].to_vec();
        let mut hole = newest.clone();
        hole[from..half].fill(0);
        let third = written.saturating_sub(from) / 3;
        let mut late = newest.clone();
        late[from..from + third].fill(0);
        let mut middle = newest.clone();
        middle[from + third..from + 2 * third].fill(0);
        let mut contents = self.marks.get(&number).cloned().unwrap_or_default();
        contents.extend([synced, newest, torn, cut, hole, late, middle]);
        contents
    }

    fn did(&mut self, step: Step) {
        self.lose_power();
        match step {
            Step::Changed => {}
            Step::FileSynced(name) => {
                let number = self.look()[name];
                self.synced.insert(number, self.newest[&number].clone());
            }
            Step::FolderSynced => self.names = self.look(),
        }
        self.lose_power();
        self.steps += 1;
        if self.steps == self.kill_at {
            // Without the hook of a panic: it says nothing.
            std::panic::resume_unwind(Box::new(Killed));
        }
    }
}

fn limits() -> Limits {
    Limits {
        entry_bytes: 2 << 10,
        ahead_bytes: 1 << 10,
        checkpoint_bytes: 8 << 10,
        logs: 4,
        log_room: 64 << 10,
    }
}

fn record(count: &mut u8) -> Vec<u8> {
    *count += 1;
    vec![*count; 40]
}

/// A life: what it read, appends and checkpoints, as a process does them. What it says is acknowledged stands in
/// `held` at any time.
fn live(disk: &Rc<RefCell<Disk>>, held: &mut Records, count: &mut u8, acts: &str) {
    let allow = |allowed: Vec<Records>| disk.borrow_mut().allowed = allowed;
    let dir = disk.borrow().dir.clone();
    let (mut store, read) = Store::open_with(&dir, limits()).expect("the store opens");
    assert!(disk.borrow().allowed.contains(&read), "after a kill");
    // It is told to others from here on.
    allow(vec![read.clone()]);
    *held = read;
    for act in acts.chars() {
        let after: Records = match act {
            'a' => [held.clone(), vec![record(count)]].concat(),
            'b' => [held.clone(), vec![record(count), record(count)]].concat(),
            _ => vec![vec![*count; 50]],
        };
        allow(vec![held.clone(), after.clone()]);
        match act {
            'a' | 'b' => store.append(&after[held.len()..]).expect("appended"),
            _ => store.checkpoint(after.clone()).expect("a checkpoint"),
        }
        allow(vec![after.clone()]);
        *held = after;
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
    let dir = scratch().join(format!("keeper-power-{}-{count}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

impl Disk {
    fn new(name: &str, kill_at: usize) -> Rc<RefCell<Disk>> {
        Rc::new(RefCell::new(Disk {
            dir: folder(name),
            pins: folder("pins"),
            names: BTreeMap::new(),
            synced: BTreeMap::new(),
            newest: BTreeMap::new(),
            marks: BTreeMap::new(),
            allowed: vec![Vec::new()],
            found: BTreeSet::new(),
            steps: 0,
            kill_at,
        }))
    }
}

/// Runs a part of a process's life, which may be killed.
fn heard(disk: &Rc<RefCell<Disk>>, run: impl FnOnce()) {
    let hears = disk.clone();
    steps::listen(Some(Box::new(move |step| hears.borrow_mut().did(step))));
    let ended = catch_unwind(AssertUnwindSafe(run));
    steps::listen(None);
    match ended {
        Err(payload) if !payload.is::<Killed>() => std::panic::resume_unwind(payload),
        _ => {}
    }
}

/// All that a disk may hold after a loss of power at any step of these lives, the process killed at one of them.
/// The number of steps, and what may be found.
fn play(lives: &[&str], kill_at: usize) -> (usize, Found) {
    let disk = Disk::new("disk", kill_at);
    let (mut held, mut count) = (Vec::new(), 0);
    for acts in lives {
        heard(&disk, || live(&disk, &mut held, &mut count, acts));
    }
    ended(&disk)
}

fn ended(disk: &Rc<RefCell<Disk>>) -> (usize, Found) {
    let mut disk = disk.borrow_mut();
    let _ = (fs::remove_dir_all(&disk.dir), fs::remove_dir_all(&disk.pins));
    (disk.steps, std::mem::take(&mut disk.found))
}

/// What a store reads in such a folder.
fn read(at: &Path, files: &Files) -> Result<Records, String> {
    let _ = fs::remove_dir_all(at);
    fs::create_dir_all(at).unwrap();
    files.iter().for_each(|(name, bytes)| fs::write(at.join(name), bytes).unwrap());
    Store::open_with(at, limits()).map(|(_, records)| records).map_err(|error| error.to_string())
}

/// The first state of a disk that is read wrongly.
fn wrong(lives: &[&str]) -> Option<String> {
    let (steps, mut found) = play(lives, usize::MAX);
    (1..=steps).for_each(|at| found.extend(play(lives, at).1));
    assert!(found.len() > 200, "{} states", found.len());
    let at = folder("read");
    let wrong = found.iter().find_map(|(files, allowed)| {
        let read = read(&at, files);
        let names: Vec<String> =
            files.iter().map(|(name, bytes)| format!("{name} {}", bytes.len())).collect();
        let firsts = |records: &Records| records.iter().map(|record| record[0]).collect::<Vec<u8>>();
        let said = || read.as_ref().map(firsts);
        let allowed_of = || allowed.iter().map(firsts).collect::<Vec<_>>();
        let is_allowed = read.as_ref().is_ok_and(|records| allowed.contains(records));
        (!is_allowed).then(|| format!("{names:?}: {:?}, not one of {:?}", said(), allowed_of()))
    });
    let _ = fs::remove_dir_all(at);
    println!("{steps} steps, {} states", found.len());
    wrong
}

const LIVES: &[&str] = &["acbcca", "aca", "a"];

#[test]
fn no_loss_of_power_between_two_steps_loses_what_was_acknowledged() {
    assert_eq!(wrong(LIVES), None);
}

/// The newest snapshot is damaged, and a log that would stand in for it is gone: nothing may be made of what is left,
/// however far the emptying of the folder came. The first state of which something is.
fn brought_back(has_mark: bool) -> Option<String> {
    let old = folder("old");
    let (mut store, _) = Store::open_with(&old, limits()).unwrap();
    let mut kept = Files::new();
    let mut keep = |from: &Path| {
        for entry in fs::read_dir(from).unwrap().map(Result::unwrap) {
            kept.insert(entry.file_name().into_string().unwrap(), fs::read(entry.path()).unwrap());
        }
    };
    let mut count = 0;
    store.append(&[record(&mut count)]).unwrap();
    store.checkpoint(vec![record(&mut count)]).unwrap();
    for _ in 0..3 {
        // Each life leaves a log.
        let (mut store, _) = Store::open_with(&old, limits()).unwrap();
        store.append(&[record(&mut count)]).unwrap();
        keep(&old);
    }
    Store::open_with(&old, limits()).unwrap().0.checkpoint(vec![record(&mut count)]).unwrap();
    keep(&old);
    fs::remove_dir_all(&old).unwrap();
    kept.remove("wal-1");
    kept.remove("log-3");
    kept.get_mut("snapshot-5").unwrap()[16] ^= 1;
    let mark = kept.remove(MARK).unwrap();
    let names: Vec<&str> = kept.keys().map(String::as_str).collect();
    assert_eq!(names, ["log-2", "snapshot-2", "snapshot-5"]);
    kept.extend(has_mark.then(|| (MARK.to_owned(), mark)));
    let mut found = Found::new();
    let mut at = 0;
    loop {
        at += 1;
        let disk = Disk::new("emptied", at);
        let dir = disk.borrow().dir.clone();
        kept.iter().for_each(|(name, bytes)| fs::write(dir.join(name), bytes).unwrap());
        {
            let mut disk = disk.borrow_mut();
            disk.names = disk.look();
            disk.synced = disk.newest.clone();
        }
        heard(&disk, || Store::wipe(&dir).unwrap());
        // The next process finds it as it is left.
        heard(&disk, || match Store::open_with(&dir, limits()) {
            Err(StoreError::Damaged(_)) => Store::wipe(&dir).unwrap(),
            opened => assert!(opened.is_ok_and(|(_, records)| records.is_empty())),
        });
        let (steps, more) = ended(&disk);
        found.extend(more);
        if steps < at {
            break;
        }
    }
    assert!(found.len() > 2, "{} states", found.len());
    let at = folder("emptied-read");
    let back = found.iter().find_map(|(files, _)| {
        let read = read(&at, files);
        let names: Vec<&String> = files.keys().collect();
        let holds = read.as_ref().is_ok_and(|records| !records.is_empty());
        holds.then(|| format!("{names:?}: {read:?}"))
    });
    fs::remove_dir_all(&at).unwrap();
    back
}

#[test]
fn no_loss_of_power_while_a_disk_is_emptied_brings_back_what_is_old() {
    assert_eq!((brought_back(false), brought_back(true)), (None, None));
}

#[test]
fn the_faults_are_found() {
    for fault in [Fault::SnapshotNameUnsynced, Fault::TornTailTaken] {
        fault::set(Some(fault));
        let found = catch_unwind(|| wrong(LIVES));
        fault::set(None);
        assert!(!matches!(found, Ok(None)), "{fault:?}");
    }
    fault::set(Some(Fault::WipedInAnyOrder));
    let found = brought_back(false);
    fault::set(None);
    assert!(found.is_some());
}

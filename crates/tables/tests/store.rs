//! The store broken off at every write: what was kept is there again, and no number is used for other content.

use fallgap_tables::store::{Recovered, Store, Unusable};
use fallgap_tables::{Entry, Kept, Key, Tables, Version, Withdrawals};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::Error;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const TABLES: u32 = 3;

fn kept() -> Kept {
    Kept { versions: 4, ..Kept::default() }
}

/// Storage that ends at some operation: what was synced is there, of the rest a drawn part, the last write torn.
#[derive(Clone, Debug, Default)]
struct Breaking(Arc<Mutex<Disk>>);

#[derive(Debug, Default)]
struct Disk {
    synced: Vec<u8>,
    now: Vec<u8>,
    unsynced: Vec<(usize, Vec<u8>)>,
    operations: u64,
    /// Ends at this one.
    ends: Option<u64>,
    full: bool,
}

impl Disk {
    fn operation(&mut self) -> Result<(), Error> {
        self.operations += 1;
        if self.full || self.ends.is_some_and(|ends| self.operations > ends) {
            return Err(Error::other("no more"));
        }
        Ok(())
    }
}

impl StorageBackend for Breaking {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let disk = self.0.lock().unwrap();
        let from = offset as usize;
        let bytes = disk.now.get(from..from + out.len());
        out.copy_from_slice(bytes.ok_or_else(|| Error::other("past the end"))?);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), Error> {
        let mut disk = self.0.lock().unwrap();
        disk.operation()?;
        disk.now.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> Result<(), Error> {
        let mut disk = self.0.lock().unwrap();
        disk.operation()?;
        (disk.synced, disk.unsynced) = (disk.now.clone(), Vec::new());
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let mut disk = self.0.lock().unwrap();
        let from = offset as usize;
        let ended = disk.operation();
        // The write at which it ends may be torn.
        let data = if ended.is_ok() { data } else { &data[..data.len() / 2] };
        if ended.is_ok() {
            disk.now[from..from + data.len()].copy_from_slice(data);
        }
        disk.unsynced.push((from, data.to_vec()));
        ended
    }
}

impl Breaking {
    /// What a machine finds that starts again: of the writes that were not synced each is there or not, drawn.
    fn after_a_crash(&self, seed: u64) -> Breaking {
        let disk = self.0.lock().unwrap();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = disk.synced.clone();
        bytes.resize(disk.now.len().max(bytes.len()), 0);
        for (from, data) in &disk.unsynced {
            if rng.bool() && from + data.len() <= bytes.len() {
                bytes[*from..from + data.len()].copy_from_slice(data);
            }
        }
        Breaking(Arc::new(Mutex::new(Disk { synced: bytes.clone(), now: bytes, ..Disk::default() })))
    }
}

/// The content of every version that was ever built.
type Truth = BTreeMap<(u32, u64, u64), u128>;

struct Life {
    /// The newest that was kept of each table, and the last withdrawal.
    kept: BTreeMap<u32, Version>,
    withdrawn: u64,
}

/// One life of a supervisor on that storage: changes, keeps, and so may send, until the storage ends.
fn live(
    storage: Breaking, epoch: u64, rounds: u32, seed: u64, truth: &mut Truth, life: &mut Life,
) -> Option<u64> {
    let (mut store, Recovered { mut tables, mut withdrawals, .. }) =
        Store::open_on(storage, kept(), epoch).ok()?;
    // All that was kept, and so may have been sent, is there.
    for (table, version) in &life.kept {
        let now = tables.version(*table).unwrap_or_else(|| panic!("table {table} is lost"));
        assert!(
            now.epoch == version.epoch && now.number >= version.number,
            "{version:?} went back to {now:?}"
        );
        if now.number > 0 {
            assert_eq!(truth[&(*table, now.epoch, now.number)], now.digest);
        }
        assert_eq!(tables.content(*table).unwrap().digest_anew(), now.digest);
    }
    assert!(withdrawals.sequence() >= life.withdrawn);
    let mut rng = fastrand::Rng::with_seed(seed);
    for round in 0..rounds {
        let table = rng.u32(..TABLES);
        let name = format!("store{}", rng.u8(..9));
        let figure = rng.u32(1..1_000_000);
        let (key, entry) = match rng.bool() {
            true => (Key::Line(name.as_str().into()), Entry::Part(f64::from(figure))),
            false => (Key::Note(name.as_str().into()), Entry::Note(figure.to_string().into())),
        };
        tables.set(table, key, (rng.u8(..4) > 0).then_some(entry));
        let version = tables.seal(MS * round, table).unwrap();
        if version.number > 0 {
            let before = truth.insert((table, version.epoch, version.number), version.digest);
            // One that was built and not kept was not sent: its number may be taken again.
            let sent = life
                .kept
                .get(&table)
                .is_some_and(|kept| kept.epoch == version.epoch && kept.number >= version.number);
            assert!(
                !sent || before.is_none_or(|before| before == version.digest),
                "{version:?} has other content"
            );
        }
        let moved = withdrawals.tell(&name, rng.bool()).is_some();
        if store.keep(&tables, &[table], moved.then_some(&withdrawals)).is_err() {
            return Some(tables.epoch());
        }
        life.kept.insert(table, version);
        life.withdrawn = withdrawals.sequence();
    }
    Some(tables.epoch())
}

#[test]
fn broken_off_at_every_write_nothing_that_was_kept_is_lost() {
    let whole = Breaking::default();
    let mut life = Life { kept: BTreeMap::new(), withdrawn: 0 };
    live(whole.clone(), 1, 30, 5, &mut Truth::new(), &mut life).unwrap();
    let operations = whole.0.lock().unwrap().operations;
    assert!(operations > 100, "{operations}");
    let mut unmade = 0;
    for ends in 0..operations {
        let storage = Breaking::default();
        storage.0.lock().unwrap().ends = Some(ends);
        let (mut truth, mut life) = (Truth::new(), Life { kept: BTreeMap::new(), withdrawn: 0 });
        live(storage.clone(), 1, 30, 5, &mut truth, &mut life);
        // It starts again, goes on, is broken off at once, and starts a third time.
        let again = storage.after_a_crash(ends);
        let Some(epoch) = live(again.clone(), 2, 5, 6, &mut truth, &mut life) else {
            // It ended while the file was made: nothing is lost with it, and it is moved aside.
            assert!(life.kept.is_empty() && life.withdrawn == 0, "cannot be opened after {ends}");
            unmade += 1;
            continue;
        };
        assert!(
            epoch == 1 || life.kept.values().all(|v| v.epoch == 2),
            "a new epoch where something was kept"
        );
        let third = live(again.after_a_crash(ends + 1), 3, 5, 7, &mut truth, &mut life);
        assert!(third.is_some(), "cannot be opened a third time after {ends}");
    }
    assert!(unmade < 10, "{unmade}");
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fallgap-store-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn one(tables: &mut Tables, store: &mut Store, part: f64) -> Result<Version, Unusable> {
    tables.set(0, Key::Line("a".into()), Some(Entry::Part(part)));
    let version = tables.seal(MS, 0).unwrap();
    store.keep(tables, &[0], None).map(|()| version)
}

/// Guards against a second process on one store, a newer format that is written over, and spoilt bytes that are
/// believed.
#[test]
fn stores_that_cannot_be_used_are_told_apart() {
    let folder = folder("kinds");
    let path = folder.join("tables.redb");
    let (mut store, mut recovered) = Store::open(&path, kept(), 9).unwrap();
    assert!(recovered.new);
    let version = one(&mut recovered.tables, &mut store, 1.0).unwrap();
    assert!(matches!(Store::open(&path, kept(), 10), Err(Unusable::Busy)));
    drop(store);
    let (store, again) = Store::open(&path, kept(), 10).unwrap();
    assert_eq!((again.new, again.tables.version(0)), (false, Some(version)));
    drop(store);
    let bytes = std::fs::read(&path).unwrap();
    // Flipped bits are found, or change nothing that is read; what is read is what was kept.
    let mut rng = fastrand::Rng::with_seed(8);
    let mut refused = 0;
    for _ in 0..60 {
        let mut spoilt = bytes.clone();
        for _ in 0..40 {
            let at = rng.usize(..spoilt.len());
            spoilt[at] ^= 1 << rng.u8(..8);
        }
        std::fs::write(&path, &spoilt).unwrap();
        let opened = std::panic::catch_unwind(|| {
            Store::open(&path, kept(), 10).map(|(_, r)| (r.new, r.tables.version(0)))
        });
        match opened {
            Ok(Ok((new, held))) => assert!(new || held == Some(version), "believed {held:?}"),
            Ok(Err(_)) | Err(_) => refused += 1,
        }
    }
    assert!(refused > 0);
    std::fs::write(&path, &bytes[..bytes.len() / 2]).unwrap();
    assert!(Store::open(&path, kept(), 10).is_err(), "half a file");
    std::fs::remove_file(&path).unwrap();
    // A store of a later program: its format stands first, and nothing of it is touched.
    let meta: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("meta");
    let database = redb::Database::create(&path).unwrap();
    let write = database.begin_write().unwrap();
    write.open_table(meta).unwrap().insert("meta", [9u8, 1, 2, 3].as_slice()).unwrap();
    write.commit().unwrap();
    drop(database);
    let before = std::fs::metadata(&path).unwrap().len();
    assert!(matches!(Store::open(&path, kept(), 10), Err(Unusable::Newer(9))));
    assert_eq!(std::fs::metadata(&path).unwrap().len(), before);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards against numbers that were sent without being kept and are taken again after a start.
#[test]
fn a_full_disk_ends_the_store_and_the_epoch() {
    let storage = Breaking::default();
    let (mut store, Recovered { mut tables, .. }) = Store::open_on(storage.clone(), kept(), 1).unwrap();
    let last = one(&mut tables, &mut store, 1.0).unwrap();
    storage.0.lock().unwrap().full = true;
    let lost = one(&mut tables, &mut store, 2.0);
    assert!(matches!(lost, Err(Unusable::Failed(_))), "{lost:?}");
    tables.leave_epoch(77);
    let on = tables.version(0).unwrap();
    assert_eq!((on.epoch, on.digest), (77, tables.content(0).unwrap().digest()));
    // Disk and process come back: the store's own numbers go on under the store's own epoch.
    let back = storage.after_a_crash(3);
    let (_, Recovered { tables, withdrawals, new }) = Store::open_on(back, kept(), 78).unwrap();
    let held = tables.version(0).unwrap();
    assert!(!new && held.epoch == 1 && held.number >= last.number && withdrawals == Withdrawals::default());
}

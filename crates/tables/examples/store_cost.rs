//! The store: keeping and starting again with 1,000 tables of 100 versions, and the two engines that were weighed,
//! given the same rows in the same synced batches. On the disk of the folder for temporary files.

use fallgap_tables::store::Store;
use fallgap_tables::{Entry, Kept, Key};
use std::path::Path;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const LINES: usize = 100;

fn size(path: &Path) -> u64 {
    let Ok(meta) = std::fs::metadata(path) else { return 0 };
    if meta.is_file() {
        return meta.len();
    }
    let entries = std::fs::read_dir(path).into_iter().flatten().filter_map(Result::ok);
    entries.map(|entry| size(&entry.path())).sum()
}

/// Bytes that this process has had written, as the system counts them.
fn written() -> u64 {
    let io = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    let line = io.lines().find_map(|line| line.strip_prefix("write_bytes: "));
    line.and_then(|n| n.trim().parse().ok()).unwrap_or(0)
}

/// Keeps so many tables through 100 versions; tells ms a round of all tables, and ms to start again.
fn kept(folder: &Path, tables: u32, rounds: usize) -> (f64, f64, u64) {
    let path = folder.join(format!("{tables}.redb"));
    let terms = Kept { versions: 100, bytes: usize::MAX, age: MS * 1_000_000 };
    let (mut store, mut recovered) = Store::open(&path, terms, 1).expect("a store");
    let held = &mut recovered.tables;
    let all: Vec<u32> = (0..tables).collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let names: Vec<Key> =
        (0..LINES * 3).map(|i| Key::Line(format!("store{i}.linz.example.org").into())).collect();
    for table in &all {
        (0..LINES).for_each(|i| {
            held.set(*table, names[(*table as usize * 7 + i) % names.len()].clone(), Some(Entry::Part(1.0)))
        });
        held.seal(MS, *table);
    }
    store.keep(held, &all, None).expect("kept");
    let since = Instant::now();
    for round in 0..rounds {
        for table in &all {
            for _ in 0..10 {
                let i = (*table as usize * 7 + rng.usize(..LINES)) % names.len();
                held.set(*table, names[i].clone(), Some(Entry::Part(1.0 + rng.f64())));
            }
            held.seal(MS * round as u32, *table);
        }
        store.keep(held, &all, None).expect("kept");
    }
    let each = since.elapsed().as_secs_f64() * 1e3 / rounds as f64;
    let newest = held.version(0);
    drop(store);
    let since = Instant::now();
    let (_, again) = Store::open(&path, terms, 2).expect("a store");
    assert_eq!(again.tables.version(0), newest);
    (each, since.elapsed().as_secs_f64() * 1e3, size(&path))
}

/// Rows of about the size of a step, in batches that are synced: seconds, bytes written for each byte given, and size.
fn engines(folder: &Path, batches: u32, rows: u32) {
    let mut rng = fastrand::Rng::with_seed(2);
    let row: Vec<u8> = (0..420).map(|_| rng.u8(..)).collect();
    let given = u64::from(batches) * u64::from(rows) * (row.len() as u64 + 12);
    let show = |name: &str, since: Instant, before: u64, path: &Path| {
        let took = since.elapsed().as_secs_f64();
        let times = (written() - before) as f64 / given as f64;
        let batch = took * 1e3 / f64::from(batches);
        println!(
            "{name:<6} {batches:>7} x {rows:<5} {batch:>9.2} ms a batch  {times:>5.1} bytes written for each  {:>6.1} MB",
            size(path) as f64 / 1e6
        );
    };
    let path = folder.join(format!("engine-{batches}.redb"));
    let table: redb::TableDefinition<(u32, u64), &[u8]> = redb::TableDefinition::new("steps");
    let (since, before) = (Instant::now(), written());
    let database = redb::Database::create(&path).expect("a file");
    for batch in 0..batches {
        let write = database.begin_write().expect("begun");
        {
            let mut table = write.open_table(table).expect("a table");
            (0..rows).for_each(|r| _ = table.insert((r, u64::from(batch)), row.as_slice()).expect("put"));
        }
        write.commit().expect("synced");
    }
    show("redb", since, before, &path);
    let path = folder.join(format!("engine-{batches}.fjall"));
    let (since, before) = (Instant::now(), written());
    let database = fjall::Database::builder(&path).open().expect("a folder");
    let steps = database.keyspace("steps", fjall::KeyspaceCreateOptions::default).expect("a keyspace");
    for batch in 0..batches {
        let mut write = database.batch();
        for r in 0..rows {
            let key = [&r.to_be_bytes()[..], &u64::from(batch).to_be_bytes()].concat();
            write.insert(&steps, key, row.as_slice());
        }
        write.commit().expect("put");
        database.persist(fjall::PersistMode::SyncAll).expect("synced");
    }
    show("fjall", since, before, &path);
}

fn main() {
    let folder = std::env::temp_dir().join(format!("fallgap-store-cost-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    println!(
        "tables   a round kept, ms   start again, ms   MB on disk (100 versions of 10 changes, 100 lines)"
    );
    let mut start = 0.0;
    for tables in [10, 100, 1000] {
        let (round, again, bytes) = kept(&folder, tables, 100);
        println!("{tables:>6}  {round:>16.1}  {again:>16.0}  {:>10.1}", bytes as f64 / 1e6);
        start = again;
    }
    println!("\nengine  batches x rows of 420 bytes, each batch synced");
    engines(&folder, 100, 1000);
    engines(&folder, 2000, 1);
    std::fs::remove_dir_all(&folder).expect("removed");
    println!("figure start_again_ms_1000_tables_100_versions {start:.0}");
}

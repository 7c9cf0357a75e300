//! What versions cost: memory of the history against plain copies, a change and its digest against a digest worked
//! out anew, a delta from some versions back, and lines sent for a day of changes against whole tables. Simulated.

use fallgap_tables::{Entry, Kept, Key, Sent, Tables};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn line(i: usize) -> Key {
    Key::Line(format!("store{i}.linz.example.org").into())
}

fn tables(count: u32, lines: usize, kept: Kept) -> Tables {
    let mut tables = Tables::start(1, kept);
    for table in 0..count {
        (0..lines).for_each(|i| {
            tables.set(table, line((table as usize * 7 + i) % (lines * 3)), Some(Entry::Part(1.0)))
        });
        tables.seal(MS, table);
    }
    tables
}

/// A step of the weights: one line in ten moves.
fn step(tables: &mut Tables, table: u32, lines: usize, round: usize, rng: &mut fastrand::Rng) {
    for _ in 0..lines.div_ceil(10) {
        let i = (table as usize * 7 + rng.usize(..lines)) % (lines * 3);
        tables.set(table, line(i), Some(Entry::Part(1.0 + rng.f64())));
    }
    tables.seal(MS * round as u32, table);
}

fn memory() -> f64 {
    let (count, lines, versions) = (1000, 100, 100);
    let mut rng = fastrand::Rng::with_seed(1);
    let before = resident_kb();
    let mut shared = tables(count, lines, Kept { versions, bytes: usize::MAX, age: MS * 1_000_000 });
    for round in 1..=versions {
        (0..count).for_each(|table| step(&mut shared, table, lines, round, &mut rng));
    }
    let ours = resident_kb() - before;
    let before = resident_kb();
    // A tenth of the tables copied plainly, since all of them would not do a machine good; times ten.
    let copies: Vec<BTreeMap<Key, Entry>> = (0..count / 10)
        .flat_map(|table| (0..versions as u64).map(move |back| (table, back)))
        .filter_map(|(table, back)| shared.at(table, shared.version(table)?.number - back))
        .map(|table| table.into_iter().map(|(key, entry)| (line_copy(&key), entry)).collect())
        .collect();
    let plain = (resident_kb() - before) * 10;
    println!(
        "1,000 tables of 100 lines, 100 versions: {ours} kB; plain copies {plain} kB ({} copies held)",
        copies.len()
    );
    plain as f64 / ours as f64
}

fn line_copy(key: &Key) -> Key {
    match key {
        Key::Line(name) => Key::Line(name.to_string().into()),
        Key::Level(name) => Key::Level(name.to_string().into()),
        Key::Note(name) => Key::Note(name.to_string().into()),
    }
}

fn changes() -> f64 {
    println!("\nlines   a change and its version, us   digest anew, us   delta from 1, 10, 100 back, us");
    let mut last = 0.0;
    for lines in [100, 1000, 10_000] {
        let mut rng = fastrand::Rng::with_seed(2);
        let mut tables = tables(1, lines, Kept { versions: 100, bytes: usize::MAX, age: MS * 1_000_000_000 });
        let rounds = 20_000;
        let keys: Vec<Key> = (0..lines).map(line).collect();
        let since = Instant::now();
        for round in 0..rounds {
            tables.set(0, keys[rng.usize(..lines)].clone(), Some(Entry::Part(2.0 + round as f64)));
            tables.seal(MS * round as u32, 0);
        }
        let one = since.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
        let since = Instant::now();
        let anew = 2_000_000 / lines;
        (0..anew).for_each(|_| _ = black_box(tables.content(0).expect("a table").digest_anew()));
        let digest = since.elapsed().as_secs_f64() * 1e6 / anew as f64;
        let newest = tables.version(0).expect("a version");
        // Versions are named by their digests: the history is walked once to know them.
        let mut versions = vec![newest];
        let mut probe =
            self::tables(1, lines, Kept { versions: 200, bytes: usize::MAX, age: MS * 1_000_000_000 });
        for round in 0..100 {
            versions.push(probe.version(0).expect("a version"));
            probe.set(0, keys[round % lines].clone(), Some(Entry::Part(9.0 + round as f64)));
            probe.seal(MS, 0);
        }
        let back = [1usize, 10, 100].map(|back| {
            let holds = versions[versions.len() - back];
            let since = Instant::now();
            (0..200).for_each(|_| {
                assert!(matches!(black_box(probe.since(0, Some(holds))), Sent::Delta(_) | Sent::Whole(_)))
            });
            since.elapsed().as_secs_f64() * 1e6 / 200.0
        });
        println!("{lines:>6}  {one:>24.2}  {digest:>22.1}   {:.1}, {:.1}, {:.1}", back[0], back[1], back[2]);
        last = digest / one;
    }
    last
}

/// Lines sent to so many dispatchers, each with its table of 60 lines of 200 servers, over 2,000 changes of a day:
/// steps of weights, drains, a deploy. One in fifty misses a version now and then.
fn day(dispatchers: u32) -> (u64, u64) {
    let lines = 60;
    let mut rng = fastrand::Rng::with_seed(3);
    let mut tables = tables(dispatchers, lines, Kept { versions: 20, ..Kept::default() });
    let mut holds: Vec<_> = (0..dispatchers).map(|t| tables.version(t)).collect();
    let (mut by_deltas, mut whole) = (0u64, 0u64);
    for round in 0..200 {
        for table in 0..dispatchers {
            let of = |i: usize| line((table as usize * 7 + i) % (lines * 3));
            match round % 10 {
                // A drain or a return, of one server in each table; else a bounded step of a few lines.
                0 => tables.set(table, of(round / 10 % lines), None),
                5 => tables.set(table, of(round / 10 % lines), Some(Entry::Part(1.0))),
                _ => (0..3).for_each(|_| {
                    tables.set(table, of(rng.usize(..lines)), Some(Entry::Part(1.0 + rng.f64())))
                }),
            }
            tables.seal(MS * round as u32, table);
            whole += tables.content(table).map_or(0, |c| c.entries().len() as u64);
            if rng.u8(..50) == 0 {
                continue;
            }
            by_deltas += match tables.since(table, holds[table as usize]) {
                Sent::Nothing => 0,
                Sent::Delta(delta) => delta.changes.len() as u64,
                Sent::Whole(all) => all.entries.len() as u64,
            };
            holds[table as usize] = tables.version(table);
        }
    }
    (by_deltas, whole)
}

fn main() {
    let memory = memory();
    let digest = changes();
    println!("\ndispatchers   lines sent as deltas   as whole tables   ratio");
    let mut ratio = 0.0;
    for dispatchers in [100, 1000, 5000] {
        let (deltas, whole) = day(dispatchers);
        ratio = whole as f64 / deltas as f64;
        println!("{dispatchers:>11}  {deltas:>21}  {whole:>16}  {ratio:>6.1}");
    }
    println!("figure plain_copies_over_history {memory:.1}");
    println!("figure digest_anew_over_one_change_10000 {digest:.0}");
    println!("figure whole_lines_over_delta_lines_5000 {ratio:.1}");
}

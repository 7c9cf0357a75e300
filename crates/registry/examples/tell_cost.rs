//! What it takes to tell a fleet something new, in virtual time: lines and bytes that leave machines for a change of
//! the configuration, a drain, and a beat, at 12, 50 and 200 supervisors, four of them keepers. Differences as they
//! were sent, and what whole tables would have taken in their place.

#[path = "../tests/world/mod.rs"]
mod world;

use fallgap_feed::wire::Told;
use fallgap_registry::{RosterWord, Terms};
use std::time::Duration;
use world::{MS, World};

const KEEPERS: usize = 4;
const SERVERS: usize = 60;
const ROUTES: usize = 30;
const SECOND: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Sums {
    words: usize,
    bytes: usize,
    lines: usize,
    /// Tables and differences among them.
    tables: usize,
}

/// What was told to followers, of the words that left since the last time.
fn told(world: &mut World, terms: &Terms) -> Sums {
    let mut sums = Sums::default();
    for (word, bytes) in world.heard.replace(Vec::new()).into_iter().flatten() {
        let RosterWord::Told(line) = word else { continue };
        let Ok(told) = RosterWord::read_told(&line, terms) else { continue };
        let (lines, table) = match &told {
            Told::Whole(whole) => (whole.entries.len(), 1),
            Told::Delta(delta) => (delta.changes.len(), 1),
            Told::Withdrawn { .. } => (1, 0),
            // Says that nothing is new; it goes with or without a change.
            Told::Same(_) | Told::AllWithdrawn { .. } => continue,
        };
        sums.words += 1;
        sums.bytes += bytes;
        sums.lines += lines;
        sums.tables += table;
    }
    sums
}

/// Bytes and lines of one whole table: a supervisor starts again.
fn whole(world: &mut World, nodes: usize, terms: &Terms) -> Sums {
    world.kill(nodes - 1);
    world.start(nodes - 1);
    world.run(SECOND);
    told(world, terms)
}

fn main() {
    for nodes in [12, 50, 200] {
        // Servers rise at once: what rising weights send is not looked at here.
        let terms = Terms { rise: (MS, MS), ..Terms::default() };
        let mut world = World::with(terms, 7, KEEPERS, nodes, SERVERS);
        world.configure(1, ROUTES);
        let all = |world: &World| world.all(|seen| seen.edition() == 1 && seen.ids().len() == SERVERS);
        assert!(world.until(8 * SECOND, all).is_some(), "a quiet start");
        world.run(7 * SECOND);
        world.heard = Some(Vec::new());
        let table = whole(&mut world, nodes, &terms);
        world.run(5 * SECOND);
        told(&mut world, &terms);

        let took = time(&mut world, |world| world.configure(2, ROUTES), |w| w.all(|s| s.edition() == 2));
        report("change", nodes, took, &told(&mut world, &terms), &table);

        world.run(5 * SECOND);
        told(&mut world, &terms);
        let id = world.servers[9].beat.id.to_string();
        let took = time(&mut world, |world| world.beats(5, 9, true), |w| w.all(|s| !s.ids().contains(&id)));
        world.servers[9].alive = false;
        report("drain", nodes, took, &told(&mut world, &terms), &table);

        // Beats of open servers change nothing: what leaves is the beat itself, to each keeper.
        world.run(2 * SECOND);
        world.heard = Some(Vec::new());
        world.beats(nodes - 1, 3, false);
        world.run(20 * MS);
        let beats = world.heard.take().into_iter().flatten();
        let beats: Vec<usize> = beats
            .filter(|(word, _)| matches!(word, RosterWord::Beat(beat) if *beat.id == *"i-003"))
            .map(|(_, bytes)| bytes)
            .collect();
        println!("figure beat_bytes_{nodes} {}", beats.iter().sum::<usize>());
        println!("figure beat_words_{nodes} {}", beats.len());
    }
}

/// How long something takes to reach all.
fn time(world: &mut World, change: impl FnOnce(&mut World), there: impl Fn(&World) -> bool) -> Duration {
    change(world);
    let since = world.now;
    while !there(world) {
        world.run(MS);
        assert!(world.now < since + 10 * SECOND, "it does not reach all");
    }
    let took = world.now - since;
    // A difference that follows a withdrawal, and answers.
    world.run(SECOND);
    took
}

fn report(what: &str, nodes: usize, took: Duration, sums: &Sums, table: &Sums) {
    println!("figure {what}_ms_{nodes} {}", took.as_millis());
    println!("figure {what}_words_{nodes} {}", sums.words);
    println!("figure {what}_lines_{nodes} {}", sums.lines);
    println!("figure {what}_bytes_{nodes} {}", sums.bytes);
    let (bytes, lines) = (sums.tables * table.bytes, sums.tables * table.lines);
    println!("figure {what}_whole_bytes_{nodes} {bytes}");
    println!("figure {what}_bytes_whole_against_sent_{nodes} {:.1}", bytes as f64 / sums.bytes.max(1) as f64);
    println!("figure {what}_lines_whole_against_sent_{nodes} {:.1}", lines as f64 / sums.lines.max(1) as f64);
}

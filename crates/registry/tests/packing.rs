//! What homes tell as bytes: the same as ever to whoever reads it, and made once for all that get the same.

mod world;

use fallgap_feed::wire::{Said, Told};
use fallgap_registry::{Distribution, Line, NodeId, Out, RosterWord, Terms};
use fallgap_tables::{Change, Delta, Entry, Key, Version, Whole};
use std::time::Duration;
use world::{MS, configuration, node};

fn version(number: u64) -> Version {
    Version { epoch: 7, number, digest: u128::from(number) << 64 }
}

/// Notes of which a part says the same again and the rest is chance: from texts that pack well to such that do not.
fn entries(count: usize, chance: usize, seed: u64) -> Vec<(Key, Entry)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let text = |rng: &mut fastrand::Rng| -> String {
        let drawn: String = (0..chance).map(|_| rng.alphanumeric()).collect();
        format!("{drawn}\tsafe\t2000\t200\t1\tservice-014 1\t\"{drawn}\"")
    };
    (0..count).map(|i| (Key::Note(format!("route/{i}").into()), Entry::Note(text(&mut rng).into()))).collect()
}

fn whole(table: u32, number: u64, entries: Vec<(Key, Entry)>) -> Told {
    Told::Whole(Whole { table, version: version(number), entries })
}

fn delta(table: u32, number: u64, entries: Vec<(Key, Entry)>) -> Told {
    let changes = entries.into_iter().map(|(key, entry)| Change { key, entry: Some(entry) }).collect();
    Told::Delta(Delta { table, base: version(number - 1), result: version(number), changes })
}

/// What a reader of this build and of the last one makes of the bytes that left.
fn read(line: &Line, before: &[u8]) -> Vec<u8> {
    match (line, line.packed(before)) {
        (_, Some(block)) => {
            lz4_flex::block::decompress(&block, before.len() + line.length()).expect("a block of LZ4")
        }
        (Line::Short(line), None) => [before, line].concat(),
        (Line::Long(..), None) => panic!("a long line that is not packed"),
    }
}

/// For each follower the bytes are those of the word that is told, whatever stands before it, however well it packs, and
/// whether it was made now or for somebody else.
#[test]
fn all_read_what_they_are_told() {
    let mut home = Distribution::start(1000 * MS, 1, Terms::default());
    let mut number = 1;
    let mut long = 0;
    for (count, chances) in [
        (0, [0, 0, 0, 0]),
        (1, [0, 40, 300, 2000]),
        (2, [0, 40, 700, 2000]),
        (12, [0, 3, 40, 500]),
        (60, [0, 3, 40, 500]),
        (400, [0, 3, 40, 100]),
    ] {
        for chance in chances {
            number += 1;
            let entries = entries(count, chance, number);
            for table in [3, 167_837_954, u32::MAX] {
                for told in [whole(table, number, entries.clone()), delta(table, number, entries.clone())] {
                    let line = home.line(&told);
                    assert_eq!(line.length(), told.encode().len());
                    long += usize::from(matches!(line, Line::Long(..)));
                    // Counts of bytes that stand for themselves take one byte more from 15, 270, 525 on.
                    for before in [0, 1, 6, 14, 15, 240, 255, 256, 600] {
                        let before: Vec<u8> = (0..before).map(|at| (at * 37 % 251) as u8).collect();
                        let expected = [before.as_slice(), &told.encode()].concat();
                        assert_eq!(read(&line, &before), expected, "{count} of {chance}, table {table}");
                    }
                }
            }
        }
    }
    // All of the last two counts, and some of the others.
    assert!(long > 48, "{long} were long");
}

/// A home of that many followers, all of which have come; how often a line was put into words, and bytes that left by
/// the second.
fn joined(terms: Terms, followers: u8, routes: usize, most: Duration) -> (u64, Vec<(Duration, usize)>) {
    let mut now = 1000 * MS;
    let mut home = Distribution::start(now, 1, terms);
    home.set_configuration(now, configuration(1, routes));
    let (mut left, mut waiting) = (Vec::new(), followers);
    let nobody =
        |follower: NodeId| Said { table: u32::from(follower), holds: None, heard: (0, 0), rejected: false };
    let all: Vec<NodeId> = (1..=followers.into()).map(node).collect();
    all.iter().for_each(|follower| home.joined(now, *follower, nobody(*follower)));
    let end = now + most;
    while waiting > 0 && now < end {
        for out in home.take() {
            if let Out::Tell(to, told) = out {
                let line = home.line(&told);
                if let Told::Whole(whole) = &told {
                    let held = Said {
                        table: u32::from(to),
                        holds: Some(whole.version),
                        heard: (0, 0),
                        rejected: false,
                    };
                    waiting -= 1;
                    left.push((now, line.bytes()));
                    home.said(now, to, held);
                }
            }
        }
        now += 5 * MS;
        home.woke(now);
    }
    assert_eq!(waiting, 0, "so many have no table");
    (home.lines_made(), left)
}

/// Fails where the table is made for each follower anew.
#[test]
fn a_table_is_put_into_words_once() {
    let (made, left) = joined(Terms::default(), 80, 300, Duration::from_secs(1));
    assert_eq!((made, left.len()), (1, 80));
}

/// Fails where entries are counted in the place of bytes: the cap is of what leaves, so a table of long texts waits and
/// one of as many short ones does not.
#[test]
fn the_cap_is_of_bytes() {
    let sizes = [100, 300].map(|routes| joined(Terms::default(), 1, routes, Duration::from_secs(1)).1[0].1);
    for (routes, table) in [100, 300].into_iter().zip(sizes) {
        // Four tables a second, and as many at once.
        let terms = Terms { bytes_a_second: table as f64 * 4.0, head_bytes: 0.0, ..Terms::default() };
        let (made, left) = joined(terms, 20, routes, Duration::from_secs(8));
        assert_eq!(made, 1, "{routes} routes");
        let (first, last) = (left[0].0, left[left.len() - 1].0);
        let took = (last - first).as_secs_f64();
        assert!((3.9..4.2).contains(&took), "{routes} routes: {took} s for 16 tables beyond the first four");
        for (at, _) in &left {
            let within =
                |(then, _): &&(Duration, usize)| *then >= *at && *then < *at + Duration::from_secs(1);
            let bytes: usize = left.iter().filter(within).map(|(_, bytes)| bytes).sum();
            assert!(bytes <= table * 9, "{routes} routes: {bytes} bytes in a second, tables of {table}");
        }
    }
}

/// Bytes in words of the roster stand as they did when they were written one by one: a count, then each of them.
#[test]
fn lines_stand_in_words_as_ever() {
    for length in [0_usize, 1, 127, 128, 300, 70_000] {
        let line: Vec<u8> = (0..length).map(|at| (at * 31 % 256) as u8).collect();
        let one_by_one = postcard::to_stdvec(&line).unwrap();
        for (number, word) in [
            (4, RosterWord::Join(line.clone())),
            (5, RosterWord::Said(line.clone())),
            (6, RosterWord::Told(line.clone())),
        ] {
            let bytes = postcard::to_stdvec(&word).unwrap();
            assert_eq!(bytes, [&[number], one_by_one.as_slice()].concat());
            assert_eq!(postcard::from_bytes::<RosterWord>(&bytes).unwrap(), word);
        }
    }
    // A count beyond what came is no word.
    assert!(postcard::from_bytes::<RosterWord>(&[6, 200, 1, 7]).is_err());
}

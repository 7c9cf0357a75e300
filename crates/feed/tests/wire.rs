//! The feed's messages as bytes: what is read is what was written, in whatever pieces, and what is spoilt on the way
//! is never applied as something else.

use fallgap_feed::wire::{Bounds, Lines, Said, Told, Unreadable};
use fallgap_tables::{Content, Entry, Kept, Key, Receiver, Sent, Tables, Terms, Version, Withdrawal};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(5);
const EPOCH: u64 = 0x8c1f_30d2_7a5b_e964;

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config { cases, failure_persistence: None, ..Config::default() }, rng)
}

fn entry(key: &Key) -> BoxedStrategy<Entry> {
    match key {
        Key::Level(_) => {
            let admit = prop_oneof![Just(f64::INFINITY), 0.0..1e6];
            (admit, 0..4u8).prop_map(|(admit, policy)| Entry::Level { admit, policy }).boxed()
        }
        // Also parts whose shortest text is long: they are compared by their bits.
        Key::Line(_) => {
            prop_oneof![1e-12..1e12, Just(0.1 + 0.2), Just(f64::MIN_POSITIVE)].prop_map(Entry::Part).boxed()
        }
        Key::Note(_) => "[a-z\"\\\\é\n 0-9]{0,20}".prop_map(|text| Entry::Note(text.into())).boxed(),
    }
}

fn change() -> impl Strategy<Value = (Key, Option<Entry>)> {
    let name = "[a-z\"\\\\é\n]{1,6}";
    (0..3u8, name).prop_flat_map(|(kind, name)| {
        let key = [Key::Level, Key::Line, Key::Note][usize::from(kind)](name.into());
        let entry = prop::option::weighted(0.8, entry(&key));
        (Just(key), entry)
    })
}

/// Two versions of a table, and the messages that lead a receiver through both.
fn told(first: &[(Key, Option<Entry>)], second: &[(Key, Option<Entry>)]) -> (Vec<Told>, Content, Content) {
    let mut tables = Tables::start(EPOCH, Kept::default());
    let mut held = Receiver::new(4, Terms::default());
    held.take_withdrawals(NOW, EPOCH, 2, []);
    let mut messages = vec![Told::AllWithdrawn { epoch: EPOCH, sequence: 2, out: vec!["s\"1".into()] }];
    let mut contents = Vec::new();
    for changes in [first, second] {
        changes.iter().for_each(|(key, entry)| tables.set(4, key.clone(), entry.clone()));
        tables.seal(NOW, 4);
        match tables.since(4, held.version()) {
            Sent::Whole(whole) => {
                held.take_whole(NOW, &whole).unwrap();
                messages.push(Told::Whole(whole));
            }
            Sent::Delta(delta) => {
                held.take_delta(NOW, &delta).unwrap();
                messages.push(Told::Delta(delta));
            }
            Sent::Nothing => messages.extend(held.version().map(Told::Same)),
        }
        contents.push(held.content().clone());
    }
    let back = Withdrawal { sequence: 3, server: "s\"1".into(), out: false };
    messages.push(Told::Withdrawn { epoch: EPOCH, told: back });
    let last = contents.pop().unwrap();
    (messages, contents.pop().unwrap(), last)
}

fn decode_all(bytes: &[u8], piece: usize, bounds: &Bounds) -> Result<Vec<Told>, Unreadable> {
    let (mut lines, mut read) = (Lines::default(), Vec::new());
    for piece in bytes.chunks(piece) {
        lines.feed(piece, bounds, |line| {
            read.push(Told::decode(line, bounds)?);
            Ok::<(), Unreadable>(())
        })?;
    }
    Ok(read)
}

/// Guards against a version that reads otherwise than it was written: then no receiver would believe its digest.
#[test]
fn what_is_read_is_what_was_written() {
    let changes = || prop::collection::vec(change(), 1..20);
    let drawn = (changes(), changes(), 1..90usize);
    let check = |(first, second, piece): (Vec<_>, Vec<_>, usize)| {
        let (messages, ..) = told(&first, &second);
        let bytes: Vec<u8> = messages.iter().flat_map(Told::encode).collect();
        prop_assert_eq!(decode_all(&bytes, piece, &Bounds::default()), Ok(messages));
        Ok(())
    };
    runner(1000).run(&drawn, check).unwrap();
}

/// Guards against a byte spoilt on the way that changes a table: the line cannot be read, or the receiver rejects
/// it, or what it holds is a content that was sent.
#[test]
fn a_spoilt_byte_changes_no_table() {
    let changes = || prop::collection::vec(change(), 1..12);
    let drawn = (changes(), changes(), any::<prop::sample::Index>(), 1..=255u8);
    let check = |(first, second, at, by): (Vec<_>, Vec<_>, prop::sample::Index, u8)| {
        let (messages, one, two) = told(&first, &second);
        let mut bytes: Vec<u8> = messages.iter().flat_map(Told::encode).collect();
        let at = at.index(bytes.len());
        bytes[at] ^= by;
        let mut receiver = Receiver::new(4, Terms::default());
        let bounds = Bounds::default();
        let mut lines = Lines::default();
        // What cannot be read ends the stream; what came before it stands.
        let _ = lines.feed(&bytes, &bounds, |line| {
            match Told::decode(line, &bounds)? {
                Told::Whole(whole) => _ = receiver.take_whole(NOW, &whole),
                Told::Delta(delta) => _ = receiver.take_delta(NOW, &delta),
                Told::Same(version) => _ = receiver.confirmed(NOW, version),
                Told::Withdrawn { epoch, told } => _ = receiver.take_withdrawal(NOW, epoch, &told),
                Told::AllWithdrawn { epoch, sequence, out } => {
                    receiver.take_withdrawals(NOW, epoch, sequence, out);
                }
            }
            Ok::<(), Unreadable>(())
        });
        let held = receiver.content();
        prop_assert!(*held == Content::default() || *held == one || *held == two, "{held:?}");
        Ok(())
    };
    runner(3000).run(&drawn, check).unwrap();
}

/// Guards against memory that a stranger fills: long lines, also without an end, many entries, long names.
#[test]
fn what_is_over_the_bounds_is_refused_by_name() {
    let bounds = Bounds { line: 200, entries: 2, name: 8, text: 3 };
    let read = |text: &str| Told::decode(text.as_bytes(), &bounds).unwrap_err();
    let mut lines = Lines::default();
    let endless = (0..50).try_for_each(|_| lines.feed(&[b'x'; 10], &bounds, |_| Ok::<(), Unreadable>(())));
    assert_eq!(endless, Err(Unreadable::LongLine(200)));
    assert_eq!(read(&"x".repeat(300)), Unreadable::LongLine(200));
    let rows = r#"{"whole":{"table":1,"version":"1.1.1","entries":[["l","a",1],["l","b",1],["l","c",1]]}}"#;
    assert_eq!(read(rows), Unreadable::Many(3, 2));
    let out = r#"{"all_withdrawn":{"epoch":"1","sequence":1,"out":["a","b","c"]}}"#;
    assert_eq!(read(out), Unreadable::Many(3, 2));
    let name = r#"{"delta":{"table":1,"base":"1.1.1","result":"1.2.1","changes":[["l","123456789"]]}}"#;
    assert_eq!(read(name), Unreadable::LongName(9, 8));
    let text = r#"{"whole":{"table":1,"version":"1.1.1","entries":[["n","a","long"]]}}"#;
    assert_eq!(read(text), Unreadable::LongText(4, 3));
}

/// Guards against messages that are half right: each is refused, with what was expected.
#[test]
fn strange_messages_are_refused() {
    let bounds = Bounds::default();
    let read = |text: &str| Told::decode(text.as_bytes(), &bounds);
    assert_eq!(read(r#"{"same":{"version":"1.2"}}"#), Err(Unreadable::Version("1.2".into())));
    for text in [
        r#"{"same":{"version":"1.2.x"}}"#,
        r#"{"same":{"version":"1.2.3","more":1}}"#,
        r#"{"sung":{"version":"1.2.3"}}"#,
        r#"{"whole":{"table":-1,"version":"1.1.1","entries":[]}}"#,
        r#"{"whole":{"table":1,"version":"1.1.1","entries":[["l","a"]]}}"#,
        r#"{"delta":{"table":1,"base":"1.1.1","result":"1.2.1","changes":[["x","a",1]]}}"#,
        r#"{"holds":{"table":1,"version":null,"epoch":"0","sequence":0,"rejected":false}}"#,
        "[]",
        "",
    ] {
        assert!(read(text).is_err(), "{text}");
    }
    assert!(Said::decode(br#"{"same":{"version":"1.2.3"}}"#, &bounds).is_err());
}

/// The lines that docs/protocol-feed.md shows.
#[test]
fn the_page_shows_what_is_written() {
    let page = include_str!("../../../docs/protocol-feed.md");
    let at = |number, digest| Version { epoch: EPOCH, number, digest };
    let (one, two) = (at(7, 0xfe11), at(8, 0xa0b1));
    let level = Entry::Level { admit: f64::INFINITY, policy: 1 };
    let entries = vec![(Key::Line("store3".into()), Entry::Part(1.5)), (Key::Level("lookup".into()), level)];
    let gone = fallgap_tables::Change { key: Key::Line("store3".into()), entry: None };
    let drained = Withdrawal { sequence: 42, server: "store3".into(), out: true };
    let told = [
        Told::AllWithdrawn { epoch: EPOCH, sequence: 41, out: vec!["store9".into()] },
        Told::Whole(fallgap_tables::Whole { table: 17, version: one, entries }),
        Told::Delta(fallgap_tables::Delta { table: 17, base: one, result: two, changes: vec![gone] }),
        Told::Same(two),
        Told::Withdrawn { epoch: EPOCH, told: drained },
    ];
    let said = [
        Said { table: 17, holds: None, heard: (0, 0), rejected: false },
        Said { table: 17, holds: Some(two), heard: (EPOCH, 42), rejected: false },
    ];
    let lines = told.iter().map(Told::encode).chain(said.iter().map(Said::encode));
    for line in lines {
        let line = String::from_utf8(line).unwrap();
        assert!(page.contains(line.trim_end()), "not on the page: {line}");
    }
    for said in said {
        assert_eq!(Said::decode(said.encode().trim_ascii(), &Bounds::default()), Ok(said));
    }
}

//! How words stand in frames.

use fallgap_control_state::{Answer, Call};
use fallgap_gateway::ages::Stamp;
use fallgap_gateway::words::{FRAME, Frames, OddStream, Word, told_frame};
use fallgap_registry::{Distribution, RosterWord, Terms, Told};
use fallgap_tables::{Entry, Key, Version, Whole};
use std::time::Duration;

/// The bit of a length that tells of a packed word.
const PACKED: u32 = 1 << 31;

fn told(bytes: usize) -> Word {
    let text: Vec<u8> =
        (0..bytes / 32).flat_map(|n| format!("route/fiba0.example/l{n:011}").into_bytes()).collect();
    Word::Roster(RosterWord::Told(text))
}

/// Words of all lengths come out as they went in, however the stream is cut; long ones take a third at most.
#[test]
fn long_words_are_packed() {
    let words = [told(64), told(1400), told(1600), told(300_000), told(32)];
    let frames: Vec<Vec<u8>> = words.iter().filter_map(Word::frame).collect();
    assert!(frames[3].len() < 100_000, "{}", frames[3].len());
    let stream = frames.concat();
    for piece in [1000, 64 << 10, stream.len()] {
        let mut held = Frames::default();
        let mut out = Vec::new();
        for bytes in stream.chunks(piece) {
            held.push(bytes);
            while let Some(word) = held.next().unwrap() {
                out.push(format!("{word:?}"));
            }
        }
        assert_eq!(out, words.each_ref().map(|word| format!("{word:?}")));
    }
}

/// A length that no word has, in the frame or within the packing, ends the stream before any room is taken.
#[test]
fn odd_lengths_end_the_stream() {
    let packed = |length: u32| {
        let mut frame = (8 | PACKED).to_le_bytes().to_vec();
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&[0; 4]);
        frame
    };
    let long = (FRAME as u32 + 1).to_le_bytes().to_vec();
    for (frame, odd) in [
        (packed(u32::MAX), OddStream::Word),
        (packed(9), OddStream::Word),
        (long, OddStream::Long(FRAME + 1)),
    ] {
        let mut held = Frames::default();
        held.push(&frame);
        assert_eq!(held.next().unwrap_err(), odd);
    }
}

/// A table that was packed for all is read as the word that it is, at each follower, long or short.
#[test]
fn tables_packed_for_all_are_words_as_ever() {
    let mut home = Distribution::start(Duration::from_secs(1), 1, Terms::default());
    for count in [0, 3, 40, 5000] {
        for table in [1, 167_837_954, u32::MAX] {
            let entry = |i| {
                let text = format!("{:016x} safe {i}", fastrand::Rng::with_seed(i).u64(..));
                (Key::Note(format!("route/{i}").into()), Entry::Note(text.into()))
            };
            let version = Version { epoch: 1, number: count, digest: 5 };
            let told = Told::Whole(Whole { table, version, entries: (0..count).map(entry).collect() });
            let frame = told_frame(&home.line(&told)).unwrap();
            let mut held = Frames::default();
            held.push(&frame);
            let Ok(Some(Word::Roster(RosterWord::Told(line)))) = held.next() else {
                panic!("no word of a table with {count} entries")
            };
            assert_eq!(line, told.encode());
            assert!(held.next().unwrap().is_none());
            let plain = Word::Roster(RosterWord::told(&told)).frame().unwrap();
            assert!(frame.len() <= plain.len() + plain.len() / 20 + 64, "{} {}", frame.len(), plain.len());
        }
    }
}

/// Bodies stand in words as they did when they were written one by one: a count, then each of them.
#[test]
fn bodies_stand_in_words_as_ever() {
    for length in [0_usize, 1, 127, 128, 300, 250_000] {
        let body: Vec<u8> = (0..length).map(|at| (at * 31 % 256) as u8).collect();
        let plain = postcard::to_stdvec(&body).unwrap();
        let stamp = Stamp { life: 6, sent_ms: 7, waited_ms: 8 };
        let put = |call: Call| postcard::to_stdvec(&Word::Forward { id: 5, stamp, call }).unwrap();
        let told = |answer: Answer| postcard::to_stdvec(&Word::Forwarded { id: 5, answer }).unwrap();
        let of = |before: &[u8]| [before, plain.as_slice()].concat();
        assert_eq!(put(Call::ConfigPut { edition: 9, body: body.clone() }), of(&[3, 5, 6, 7, 8, 0, 9]));
        assert_eq!(put(Call::AccountsPut { base: 9, body: body.clone() }), of(&[3, 5, 6, 7, 8, 10, 9]));
        assert_eq!(told(Answer::Config(body.clone())), of(&[4, 5, 1]));
        assert_eq!(told(Answer::Looked { value: Some(body.clone()) }), of(&[4, 5, 13, 1]));
        assert_eq!(told(Answer::Looked { value: None }), [4, 5, 13, 0]);
        let asked = Word::Survey { id: 5, errand: body.clone() };
        assert_eq!(postcard::to_stdvec(&asked).unwrap(), of(&[7, 5]));
        let answered = Word::Surveyed { id: 5, told: body.clone() };
        assert_eq!(postcard::to_stdvec(&answered).unwrap(), of(&[8, 5]));
        for word in
            [asked, answered, Word::Forward { id: 5, stamp, call: Call::ConfigPut { edition: 9, body } }]
        {
            let bytes = postcard::to_stdvec(&word).unwrap();
            let read: Word = postcard::from_bytes(&bytes).unwrap();
            assert_eq!(format!("{read:?}"), format!("{word:?}"));
        }
    }
}

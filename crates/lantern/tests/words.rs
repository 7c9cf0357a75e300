//! How words stand in frames.

use fallgap_lantern::words::{FRAME, Frames, OddStream, Word};
use fallgap_roster::RosterWord;

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

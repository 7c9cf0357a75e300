//! The parts of `gateway`, fallgap's gateway. The cores that match answers to who waits for them are here for their
//! tests as well: `beats`, `calls`, `spread`, `links`, `words`.

pub mod admission;
pub mod ages;
pub mod ask;
pub mod asked;
pub mod asks;
pub mod beats;
pub mod calls;
pub mod carry;
pub mod control;
pub mod counter;
pub mod desk;
pub mod disk;
pub mod ends;
pub mod engine;
pub mod figures;
pub mod hearing;
pub mod holdup;
pub mod http;
pub mod hub;
pub mod leavers;
pub mod line_pace;
pub mod links;
pub mod memory;
pub mod offices;
pub mod preference;
pub mod quotas;
pub mod roster;
pub mod signals;
pub mod slow_disk;
pub mod spread;
pub mod start;
pub mod turns;
pub mod usual;
pub mod withdrawn;
pub mod words;

/// A checksum over the sources that this program is built from: the same text has the same one on every machine.
pub const SOURCES: &str = env!("FALLGAP_SOURCES");
/// What the program says of itself.
pub const VERSION: &str = concat!(env!("CARGO_PKG_VERSION"), " (sources ", env!("FALLGAP_SOURCES"), ")");

/// The thing asked about is not in order; called or configured wrongly; no answer; a defect.
pub const NOT_IN_ORDER: u8 = 1;
pub const WRONG_CALL: u8 = 2;
/// Nobody answered, or the one that did is cut off from the core.
pub const NO_ANSWER: u8 = 3;
pub const DEFECT: u8 = 70;

//! When ops arrive: an open loop that never waits for answers. No I/O, no clock; chance from a seed.

mod schedule;
mod shape;
mod words;

pub use schedule::{Kind, Op, Schedule, Spacing, Stream, Work};
pub use shape::{Shape, Walk};

//! The feed of table versions: whom to tell what, and when. The design's own pace on a second channel: one update
//! in flight for each receiver, the newest when it is answered, an answer wait, differences, a cap on lines with
//! marks served in the order of their arrival, and a periodic word that sends no line if nothing is new.
//! Withdrawals pass all of that.
//!
//! The state machine and its messages as bytes ([`wire`]): no I/O, no clock, chance from a seed. The listener with
//! its TLS is not there yet.

mod budget;
mod feed;
pub mod wire;

pub use feed::{Feed, Limits, Out, ReceiverId};

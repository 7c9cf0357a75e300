//! Tables in versions. A sender keeps each table's newest content and the changes that led to it; a receiver is
//! told what changed since the version that it holds, checks the result, and applies it whole or not at all.
//! Withdrawals of servers go their own way beside the tables and hold whatever a table says. No I/O, no clock,
//! no chance: all are handed in.
//!
//! ```
//! use fallgap_tables::{Entry, Key, Kept, Receiver, Sent, Tables, Terms};
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(1);
//! let mut tables = Tables::start(7, Kept::default());
//! let mut receiver = Receiver::new(4, Terms::default());
//! for (server, part) in [("store3", 1.0), ("store4", 2.0)] {
//!     tables.set(4, Key::Line(server.into()), Some(Entry::Part(part)));
//! }
//! tables.seal(now, 4);
//! let Sent::Whole(whole) = tables.since(4, receiver.version()) else { panic!("nothing is held yet") };
//! receiver.take_withdrawals(now, 7, 0, []);
//! receiver.take_whole(now, &whole).unwrap();
//! tables.set(4, Key::Line("store3".into()), None);
//! tables.seal(now, 4);
//! let Sent::Delta(delta) = tables.since(4, receiver.version()) else { panic!("the history reaches") };
//! receiver.take_delta(now, &delta).unwrap();
//! assert_eq!(receiver.version(), tables.version(4));
//! ```

mod receiver;
mod rollback;
#[cfg(feature = "store")]
pub mod store;
mod table;
mod tables;
mod taken;
mod withdrawals;

pub use receiver::{Age, Receiver, Reject, Terms, WhenOld};
pub use rollback::{Known, Refused, rolled_back, step_towards};
pub use table::{Change, Content, Delta, Entry, Key, Version, Whole, fold};
pub use tables::{Kept, Restored, Sent, StepOf, Tables};
pub use withdrawals::{Withdrawal, Withdrawals};

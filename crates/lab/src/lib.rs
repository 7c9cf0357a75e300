//! A laboratory of our own: load as an open loop that tells the truth about latency, emulated servers with
//! faults that write down what they truly did, experiments that compare two builds or two settings, and
//! watchers of the rules. It shows what the users' benches cannot: our own sockets, other sources, large
//! sizes.
//!
//! [`arrivals`], [`engine`], [`ledger`], [`clients`], [`wheel`] and [`emulated::Machine`] know no socket and
//! no clock; [`drive`] and [`targets`] put them on sockets.

pub mod arrivals;
pub mod checks;
pub mod clients;
pub mod dispatch;
pub mod drive;
pub mod emulated;
pub mod engine;
pub mod experiment;
pub mod frames;
pub mod ledger;
pub mod load;
pub mod report;
pub mod targets;
pub mod trace;
pub mod watched;
pub mod wheel;

//! The sockets of clients and servers around the pilot: the front listener, connections of clients, connections to
//! servers, and the ops between them. One thread, nothing waits: whoever owns the poll hands events and time in.

mod client;
mod clients;
mod line;
mod lines;
mod logbook;
mod ops;
mod quay;
mod terms;
mod timers;
mod tries;

pub use fallgap_routing::Report;
pub use logbook::{Pages, Tale, TryTale};
pub use quay::{Counters, Quay, QuayError, is_of_server};
pub use terms::Terms;

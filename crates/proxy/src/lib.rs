//! The sockets of clients and servers around the pilot: the front listener, connections of clients, connections to
//! servers, and the ops between them. One thread, nothing waits: whoever owns the poll hands events and time in.

mod admission;
mod client;
mod clients;
mod line;
mod lines;
mod logbook;
mod operations;
mod ops;
mod quay;
mod ready;
mod terms;
mod timers;
mod tries;

pub use admission::{KEYED_DEADLINE, PeerMessage};
pub use fallgap_routing::Report;
pub use logbook::{Pages, Tale, TryTale};
pub use operations::{OperationState, operation_of};
pub use quay::{Counters, Peer, Quay, QuayError};
pub use ready::ReadyQueue;
pub use terms::Terms;

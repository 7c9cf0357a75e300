//! The list of lights: which servers may be relied on, for lookups, orders and downloads apart, the same for all
//! supervisors. Keepers hold a [`Lightlist`]: it takes in what their followers saw, hands suspicions to the one
//! keeper that judges a service, and tells followers what was decided. Every supervisor holds a [`Book`] of what it
//! was told. No I/O, no clock, no chance.

mod book;
mod case;
mod judge;
mod lightlist;
mod tally;
mod terms;
mod words;

pub use book::Book;
pub use case::{Case, Event};
pub use lightlist::{Lightlist, Out};
pub use terms::Terms;
pub use words::{Count, KINDS, Kind, LightWord, Reason, Sight, Stand, Verdict, ZoneTally};

/// A machine, by its address.
pub type NodeId = std::net::Ipv4Addr;

/// The servers that there are, as whoever holds the list knows them.
pub trait Roll {
    /// The service of an open server, and its slots.
    fn berth(&self, server: &str) -> Option<(std::sync::Arc<str>, u32)>;
    /// The slots of all open servers of a service.
    fn strength(&self, service: &str) -> u32;
}

//! Which servers there are, and the tables that supervisors route by. Keepers hold a [`Registry`] of servers' lives
//! and a [`Distribution`] that builds a table for each supervisor that follows them; every supervisor has a
//! [`Follower`] that holds on to one home and hands out the view to route by. No I/O, no clock, chance from seeds.

mod closings;
mod differences;
mod distribution;
mod doubt;
mod evening;
mod fitness;
mod follower;
mod holders;
mod homes;
mod kept_ends;
mod leases;
mod lives;
mod messages;
mod packing;
mod registry;
mod rollout;
mod sending;
mod servers;
mod terms;
mod views;
mod weights;

pub use closings::{Closings, Due};
pub use distribution::{Distribution, Out};
pub use fallgap_feed::wire::Told;
pub use fitness::{Fit, Fitness, Ground};
pub use follower::{Follower, FollowerOut};
pub use leases::ViewTimes;
pub use lives::{Life, State, last_beat};
pub use messages::{Compare, Knows, LeaseQuestion, Record, Records, RosterWord, ServerReport};
pub use packing::Line;
pub use registry::{News, Registry};
pub use rollout::{Outcome, Patience, Rollouts};
pub use terms::Terms;

/// A machine, by its address.
pub type NodeId = std::net::Ipv4Addr;

//! Which supervisors are there.
//!
//! Every supervisor has a place on a ring, by a hash of its address, and sends a heartbeat to the few that come
//! next and are believed here. Who misses one asks it, and asks others to ask it; only when one of them is met
//! with silence too is the doubt told on. Nobody takes a doubt on trust: each asks the doubted one itself first,
//! and the doubted one clears itself by a higher `sequence`. News goes to a few drawn peers at once and rides on
//! the heartbeats after that; what is still missed is found by comparing digests with a drawn peer.
//!
//! The core has no I/O, clock or chance of its own: `now` is handed in, what is to be done is handed back.

mod beacon;
mod card;
mod compare;
mod errand;
mod hearing;
mod message;
mod news;
mod ring;
mod standing;
mod terms;
mod timers;

pub use beacon::{Beacon, Out};
pub use card::{Card, NodeId, Peer, State, Unfit};
pub use message::{Message, News, Word};
pub use terms::Terms;

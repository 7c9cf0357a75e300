//! fallgap: the decisions of a traffic director for a fleet of sidecar proxies.
//!
//! [`Director`] holds every decision; it is told what happens, one method a thing, and acts through the
//! [`Host`] handed to it at start. Nothing in this crate knows a wire, a clock or a socket.

mod decide;
mod host;
mod samples;

pub use decide::Director;
pub use host::*;

//! fallgap: the decisions of a traffic director for a fleet of sidecar proxies.
//!
//! [`Director`] holds every decision; it is told what happens, one method a thing, and acts through the
//! [`Host`] handed to it at start. [`Supervisor`] is the same for network code in blocking style. Nothing
//! in this crate knows a wire, a clock or a socket.
//!
//! A deduplicated op is tried again freely only where every try falls inside the window:
//!
//! ```
//! use fallgap::{OpType, Repeats};
//! use std::time::Duration;
//! let log_entry = OpType {
//!     value: 5.0,
//!     target_latency: Duration::from_millis(800),
//!     op_timeout: Duration::from_millis(2500),
//!     repeats: Repeats::Deduplicated { everywhere: true, window: Duration::from_millis(2500) },
//!     own_zone: false,
//! };
//! assert!(log_entry.may_run_again());
//! assert!(!OpType { repeats: Repeats::OnceOnly, ..log_entry }.may_run_again());
//! ```

mod decide;
mod facade;
mod heard;
mod host;
mod known;
pub mod pace;
pub mod ramps;
mod ranks;
mod samples;
mod state;
pub mod weigh;

pub use decide::Director;
pub use facade::{Order, Supervisor};
pub use host::*;

//! The HTTP server of the control and ready addresses.
//!
//! One thread holds all connections and never waits for a call; calls are carried out by a fixed number of workers. The
//! thread sees when a caller closes its connection, so a call that was not begun by then is never begun, and one that
//! waits at will (a watch) is ended.

mod caller;
mod connection;
mod message;
mod server;
mod terms;
mod workers;

pub use caller::{Caller, CallerState};
pub use message::{Request, Response};
pub use server::{Server, ServerError, Service};
pub use terms::Terms;

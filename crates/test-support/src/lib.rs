//! Small stand-ins for what a supervisor talks to, after `docs/protocol.md`: the peers of socket tests, and
//! the toy of `examples/`. They hold little, check little, and put no load on anything.

pub mod collector;
pub mod discovery;
pub mod dns;
pub mod fleet;
pub mod gateway;
mod http;
pub mod relay;

pub use http::Listener;

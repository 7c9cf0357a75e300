//! A small resolver for SRV, A and AAAA records. [`Resolver`] is a state machine: datagrams, messages and the
//! time go in, queries come out through a [`Wire`]. [`shell`] puts sockets around it. It asks name servers
//! that recurse (RFC 1035, section 7), and keeps what it follows fresh.
//!
//! What each kind of answer does is stated in `docs/design/dns.md`.

mod addresses;
mod lookup;
mod message;
mod pace;
mod peers;
mod resolver;
pub mod shell;
mod terms;

pub use lookup::Failure;
pub use message::{Over, oversize};
pub use resolver::{Answer, Asked, Counts, Followed, Resolver, Row, Wire};
pub use terms::{Asking, Lifetimes};

//! Servers from several sources. Each source says of a server that it is ready, draining or gone; one place
//! joins what they say, by one stated rule ([`rule`]), into the changes of the list that
//! [`fallgap::Supervisor`] takes. Nothing here knows a socket, a file, a clock or chance; the caller hands
//! in the time, and the same calls give the same changes.
//!
//! ```
//! use fallgap::{Listed, ServerState};
//! use fallgap_sources::{Age, Claim, Outside, Sources, Terms};
//! use std::time::Duration;
//!
//! #[derive(Default)]
//! struct Told(Vec<Listed>);
//! impl Outside for Told {
//!     fn listed(&mut self, entry: Listed) {
//!         self.0.push(entry);
//!     }
//! }
//!
//! let mut sources = Sources::start(Told::default(), Terms::default());
//! let (list, dns) = (sources.open("discovery", true), sources.open("dns", false));
//! let claim = |state| Claim { server: "store3".into(), state, ..Claim::default() };
//! let second = Duration::from_secs;
//! sources.whole(second(1), list, second(1), None, vec![claim(ServerState::Ready)]);
//! sources.whole(second(2), dns, second(2), Some(second(30)), vec![claim(ServerState::Ready)]);
//! sources.changes(second(3), list, vec![claim(ServerState::Draining)]);
//! // The record still names it; the drain holds.
//! sources.whole(second(4), dns, second(4), Some(second(30)), vec![claim(ServerState::Ready)]);
//! let told: Vec<ServerState> = sources.outside.0.iter().map(|entry| entry.state).collect();
//! assert_eq!(told, [ServerState::Ready, ServerState::Draining]);
//! ```

mod absence;
mod agenda;
mod claim;
mod mapping;
mod nodes;
mod ranks;
pub mod rule;
mod sources;

pub use claim::{Age, Claim, Terms};
pub use mapping::{Addressed, Mapping, NamedBy, Record, ZoneBy};
pub use sources::{Outside, SourceId, Sources};

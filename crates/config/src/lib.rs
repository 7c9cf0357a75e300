//! Settings of a process, configurations of the operator, bodies of calls: read by `sonic-rs`, checked whole, typed.
//!
//! Every reading goes to the end and tells all faults at once, each with its place in the document. Nothing here
//! does I/O.

mod before;
mod berth;
mod bounds;
mod calls;
mod configuration;
mod customers;
pub mod document;
mod fault;
mod licences;
mod notes;
mod routing;
mod settings;
mod spread;
mod terms;
mod types;

pub use before::Before;
pub use bounds::Bounds;
pub use calls::{
    Beat, CellPut, LockBeat, LockEnd, LockStart, is_name, read_beat, read_cell_put, read_lock_beat,
    read_lock_end, read_lock_start,
};
pub use configuration::{class, host, place, prefix, read_configuration, read_route_rows};
pub use customers::{Customer, Customers};
pub use fault::{Fault, Faults, What};
pub use routing::{Routing, plain_host};
pub use settings::{Resources, Settings, read_settings};
pub use spread::spread;
pub use terms::{TERMS, Terms};
pub use types::*;

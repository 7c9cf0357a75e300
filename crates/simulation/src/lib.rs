//! Checks of the control state over the cores that run in service.
//!
//! [`waters::Sea`] is the world, in virtual time: [`machine`]s with clocks and disks, a [`network`]. A [`schedule::Schedule`] says what happens
//! when, [`voyage`] plays it and checks what callers were told, [`shrink`] makes a failing one short. [`tides`] walks
//! all orders of what is under way for a small script.

pub mod breach;
pub mod disk_times;
mod faults;
pub mod hand;
pub mod history;
pub mod ledger;
pub mod machine;
pub mod network;
pub mod schedule;
pub mod shrink;
pub mod storm;
pub mod tides;
mod view;
pub mod voyage;
pub mod waters;

pub use breach::{Breach, Check};
pub use schedule::Schedule;

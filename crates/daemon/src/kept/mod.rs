//! What is kept in memory.

pub mod calls;
pub mod counters;
pub mod desk;
pub mod guests;
pub mod joined;
pub mod links;
pub mod membership;
pub mod names;
pub mod rows;

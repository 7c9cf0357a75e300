//! Emulated servers: a machine that works out when each op starts and ends, faults by a script, and the truth
//! about every op written down.

pub mod machine;
pub mod script;
pub mod shell;
pub mod truth;

pub use machine::{Fate, Machine, Make};
pub use script::{Fault, Script, What};
pub use truth::{Did, Doubled, Effects, Served, Truth};

//! Experiments: what a change does to the same fleet under the same load and the same faults.

pub mod compare;
pub mod file;
pub mod proxies;
pub mod result;
pub mod run;
pub mod world;

//! Start and stop.

pub mod acting;
pub mod clock;
pub mod configuration;
pub mod fits;
pub mod limits;
pub mod logger;
pub mod reload;
pub mod run;
pub mod signals;

//! Keepers together: on a calm sea, and in storms drawn from seeds.

mod alone;
mod calm;
mod history;
mod storm;
mod waters;

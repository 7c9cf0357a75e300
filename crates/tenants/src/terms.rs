//! What binds accounts and offices.

use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub accounts: usize,
    pub offices: usize,
    /// Areas of an account or an office.
    pub areas: usize,
    /// Services that an account may use.
    pub services: usize,
    /// Keys of an office that count at a time: the one in use and the next.
    pub keys: usize,
    /// Routes put or removed by one change.
    pub change: usize,
    /// Changes of an office that are remembered, and the routes that they put aside; the last one always is.
    pub trail: usize,
    pub trail_routes: usize,
    /// Orders of the operator that are remembered, over all accounts, and so many changes of offices, over all offices,
    /// beside those in their trails.
    pub orders: usize,
    /// Changes are counted over this time, and so many at most.
    pub minute: Duration,
    pub recent: usize,
    /// Bytes of a ledger: a register takes a little more.
    pub bytes: usize,
    /// What an account has that says nothing of it: offices, the best priority, servers a request may be sent to.
    pub usual_offices: u32,
    pub usual_priority: u8,
    pub usual_attempts: u32,
}

pub const TERMS: Terms = Terms {
    accounts: 1000,
    offices: 1000,
    areas: 64,
    services: 1000,
    keys: 2,
    change: 1000,
    trail: 16,
    trail_routes: 1000,
    orders: 256,
    minute: Duration::from_secs(60),
    recent: 600,
    bytes: 880 << 10,
    usual_offices: 100,
    usual_priority: 1,
    usual_attempts: 2,
};

impl Default for Terms {
    fn default() -> Self {
        TERMS
    }
}

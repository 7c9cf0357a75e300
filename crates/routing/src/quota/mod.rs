//! Quotas of customers over all supervisors together.
//!
//! One supervisor at a time keeps a customer's tokens (its **home**, `home`); those that clients come to take tokens there and
//! spend one for each request that they send on (`front`). A front holds a few for the next requests, so that most need not
//! wait; what it does not use goes back.
//!
//! Why no more are sent than the bound allows, `(rate * window + burst) * (1 + excess) + slack` over any window: what is spent
//! in a window was granted in it, or was held at its beginning. A home grants from a bucket that fills at the rate and has a
//! depth, so at most `rate * window + depth` in a window, and by its clock, which runs fast by a sixteenth at most; and all that
//! fronts hold unspent, as it granted it, is bounded. Depth and what is held together are less than the rest of the bound. A new
//! home begins with an empty bucket when no other may grant any more.

mod front;
mod home;

pub use front::{QuotaFront, Taken};
pub use home::QuotaHome;

use fallgap_config::{Customer, spread};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// What binds quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    pub window: Duration,
    pub excess: f64,
    pub slack: f64,
    /// A home that has not answered for so long is asked again.
    pub resend: Duration,
    /// A request waits for a token for so long at most.
    pub patience: Duration,
    /// Tokens that nothing was spent of for so long go back.
    pub idle: Duration,
    /// A home takes what a front was granted and has not told of for so long as spent.
    pub forgotten: Duration,
    /// Tokens that a front wants to hold of one customer at most.
    pub hold_most: u32,
}

impl Default for QuotaTerms {
    fn default() -> Self {
        let ms = Duration::from_millis;
        QuotaTerms {
            window: ms(5000),
            excess: 0.1,
            slack: 20.0,
            resend: ms(300),
            patience: ms(900),
            idle: ms(2500),
            forgotten: ms(6000),
            hold_most: 16,
        }
    }
}

/// Clocks of two machines differ in rate by less than one in so many.
pub const RATE_MARGIN: u32 = 16;
/// Of the room that the bound leaves beside the rate, so much is used.
const ROOM_USED: f64 = 0.9;
/// Of that, what fronts may hold unspent.
const HELD: f64 = 0.4;

/// How far a customer's bucket fills, and how many tokens fronts may hold of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    pub depth: f64,
    pub held: f64,
}

impl QuotaTerms {
    pub fn room(&self, customer: &Customer) -> Room {
        let over_window = customer.rate_per_second * self.window.as_secs_f64();
        let excess = (self.excess - 1.0 / f64::from(RATE_MARGIN)).max(0.0) * over_window;
        let room = (customer.burst * (1.0 + self.excess) + excess + self.slack) * ROOM_USED;
        Room { depth: room * (1.0 - HELD), held: room * HELD }
    }
}

/// Parts of all customers; each part has one home.
pub const SHARDS: u32 = 8;

/// The part that a customer belongs to.
pub fn shard_of(customer: &str) -> u32 {
    (spread(customer.bytes()) % u64::from(SHARDS)) as u32
}

/// A front's question for tokens of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    pub customer: Arc<str>,
    /// For requests that wait.
    pub needs: u32,
    /// What it holds now, and how many more it would hold.
    pub holds: u32,
    pub wants: u32,
    /// What it gives back.
    pub returns: u32,
}

/// A home's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    pub customer: Arc<str>,
    pub granted: u32,
    /// There is no more: what waits is over the quota.
    pub is_over: bool,
}

//! One server that ops go to: how its requests ended, and what that shows of it.

use crate::fleet::ServiceKey;
use crate::health::Health;
use crate::terms::Terms;
use fallgap_config::RouteClass;
use fallgap_health::{Count, Kind, Stand};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// How much a new answer moves what is typical.
const MOVES: f64 = 0.1;

/// What one's own requests showed of a server since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub server: Arc<str>,
    /// By kind of work.
    pub kinds: [Count; 3],
    pub good_ms: f32,
}

/// How a request at a server ended, for the server's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It answered well after so long.
    Good(Duration),
    /// It turned the request away.
    Shed,
    /// A failure of its own, a break, bytes that are no answer.
    Failed,
    /// Its answer is longer than may be passed on.
    TooLong,
    /// It was silent up to the end, for so long.
    Silent(Duration),
    /// It takes no connections.
    Unreached,
    /// A connection did not come up in time.
    Hung,
    /// It is another server.
    Other,
    /// The end was not the server's doing.
    Void,
}

pub struct Server {
    pub id: Arc<str>,
    pub address: SocketAddrV4,
    pub service: ServiceKey,
    pub(crate) near: bool,
    /// Its place in the order that all supervisors share.
    pub(crate) order: u64,
    pub(crate) slots: u32,
    pub(crate) weight: f64,
    pub(crate) health: Health,
    pub(crate) at_work: u32,
    /// Of good answers, in seconds; 0 before the first.
    pub(crate) typical: f64,
    pub(crate) kinds: [Count; 3],
    /// As all supervisors are told.
    pub(crate) stands: [Stand; 3],
    pub(crate) good: u32,
    pub(crate) good_s: f64,
}

impl Server {
    /// Requests from here that it works on.
    pub fn at_work(&self) -> u32 {
        self.at_work
    }

    pub fn health(&self) -> &Health {
        &self.health
    }

    /// How long its good answers take; none before the first.
    pub fn typical(&self) -> Option<Duration> {
        (self.typical > 0.0).then(|| Duration::from_secs_f64(self.typical.min(3600.0)))
    }

    /// The part of its work that it gets, as all supervisors are told.
    pub(crate) fn part(&self, class: RouteClass, terms: &Terms) -> f64 {
        let kind = Kind::from(class);
        self.stands[kind as usize].part(kind, &terms.lights)
    }
}

/// What is typical moves towards a new figure; the first one is taken as it is.
pub(crate) fn moved(typical: &mut f64, took: f64) {
    *typical += (took - *typical) * if *typical == 0.0 { 1.0 } else { MOVES };
}

//! What the parts of the gateway share: the configuration as the operator gave it, checked, and the view that a
//! supervisor routes by.

use crate::customers::Customers;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RouteClass {
    /// May run more than once.
    Safe,
    /// At most once for each try of a client.
    Fragile,
    /// Large answers; may run more than once.
    Outbound,
    /// At most once for each idempotency key of a customer, whichever tries carry it.
    Registered,
}

impl RouteClass {
    pub fn may_run_again(self) -> bool {
        matches!(self, RouteClass::Safe | RouteClass::Outbound)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: Arc<str>,
    /// The host, in lower case and without a port.
    pub depot: Arc<str>,
    /// Begins and ends with a slash.
    pub lane_prefix: Arc<str>,
    pub class: RouteClass,
    /// The longest that a try may be held.
    pub timeout: Duration,
    /// Within it an answer earns its full worth.
    pub target: Duration,
    /// 0 is the highest.
    pub priority: u8,
    /// Services with their shares; never empty, the shares never add up to 0.
    pub sorting: Vec<(Arc<str>, f64)>,
    /// The most servers that one try may be sent to.
    pub attempts: u32,
    /// Requests need no key of a customer.
    pub is_open: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: Arc<str>,
    pub health_path: Arc<str>,
    /// Connections that one server takes from all callers together.
    pub line_cap: u32,
    /// Its servers keep a record of idempotency keys of their own.
    pub dedupes: bool,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header: Duration,
    pub idle: Duration,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    pub edition: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Limits,
    /// Who may send requests, by which keys; none: everybody.
    pub customers: Option<Arc<Customers>>,
    /// What offices have of it; none in a system without accounts.
    pub licences: Option<Arc<Licences>>,
}

impl Configuration {
    /// Of the accounts that are joined in; 0 without any.
    pub fn revision(&self) -> u64 {
        self.licences.as_ref().map_or(0, |licences| licences.revision)
    }

    /// Whether neither the operator's edition nor the accounts' revision is below the other's.
    pub fn follows(&self, held: &Configuration) -> bool {
        self.edition >= held.edition && self.revision() >= held.revision()
    }
}

/// What an account or an office may have at most; without end where nothing is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    pub routes: u32,
    pub changes_a_minute: u32,
    /// Requests a second: safe, fragile, outbound.
    pub rates: [f64; 3],
    /// Requests at work at a time.
    pub at_work: u32,
    /// Bytes a second of answers on outbound routes.
    pub download_bytes: f64,
}

/// An office whose routes are in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Licence {
    pub name: Arc<str>,
    /// Its place among the accounts.
    pub account: usize,
    pub allowance: Allowance,
}

/// Who of accounts and offices has which route.
#[derive(Clone, Debug, PartialEq)]
pub struct Licences {
    /// Rises with each change of accounts or of offices' routes.
    pub revision: u64,
    /// By name.
    pub accounts: Vec<(Arc<str>, Allowance)>,
    /// By name.
    pub offices: Vec<Licence>,
    /// For each route of the configuration its place among the offices; none: the operator's own.
    pub owners: Vec<Option<usize>>,
}

/// One life of a server, as a supervisor may send to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Berth {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub address: SocketAddrV4,
    pub zone: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Its part relative to the others of its service; above 0. 1 where nothing speaks for more or less.
    pub weight: f64,
}

/// What a supervisor routes by. Replaced whole.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub configuration: Arc<Configuration>,
    pub berths: Vec<Berth>,
}

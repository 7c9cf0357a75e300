//! What the parts of the gateway share: the configuration as the operator gave it, checked, and the view that a
//! supervisor routes by.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteClass {
    /// May run more than once.
    Safe,
    /// At most once for each try of a client.
    Fragile,
    /// Large answers; may run more than once.
    Outbound,
}

impl RouteClass {
    pub fn may_run_again(self) -> bool {
        self != RouteClass::Fragile
    }
}

#[derive(Clone, Debug, PartialEq)]
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
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: Arc<str>,
    pub health_path: Arc<str>,
    /// Connections that one server takes from all callers together.
    pub line_cap: u32,
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

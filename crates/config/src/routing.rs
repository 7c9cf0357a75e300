//! Which route a request takes: that of its host with the longest prefix of its path.

use crate::configuration::place;
use crate::types::{Configuration, Route};
use std::borrow::Cow;
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

/// A configuration made ready to find routes in.
///
/// The prefixes of a host stand sorted, and each knows the longest other that begins it. All that begin a path also
/// begin the last prefix that does not come behind the path: one search and a few steps up find the longest.
#[derive(Clone, Debug)]
pub struct Routing {
    configuration: Arc<Configuration>,
    /// Routes by host and prefix.
    slots: Vec<Slot>,
    hosts: HashMap<Arc<str>, Range<usize>>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    /// Its place in the configuration.
    route: usize,
    /// The slot with the longest other prefix that begins this one.
    up: Option<usize>,
}

impl Routing {
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let routes = &configuration.routes;
        let mut order: Vec<(&Route, usize)> = routes.iter().zip(0..).collect();
        order.sort_by(|(a, _), (b, _)| place(a).cmp(&place(b)));
        let mut slots: Vec<Slot> = Vec::with_capacity(order.len());
        let mut hosts: HashMap<Arc<str>, Range<usize>> = HashMap::new();
        // The slots that begin the one before, shortest first.
        let mut open: Vec<(usize, &str)> = Vec::new();
        for (slot, (route, at)) in order.into_iter().enumerate() {
            let range = hosts.entry(route.depot.clone()).or_insert(slot..slot);
            if range.start == slot {
                open.clear();
            }
            range.end = slot + 1;
            while open.last().is_some_and(|(_, prefix)| !route.lane_prefix.starts_with(prefix)) {
                open.pop();
            }
            slots.push(Slot { route: at, up: open.last().map(|(up, _)| *up) });
            open.push((slot, &route.lane_prefix));
        }
        Routing { configuration, slots, hosts }
    }

    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The route of a request by its `Host` and its path; a query behind the path does not count.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.configuration.routes.get(self.find_index(host, path)?)
    }

    /// The same as a place among the routes of the configuration.
    pub fn find_index(&self, host: &str, path: &str) -> Option<usize> {
        let range = self.hosts.get(plain_host(host).as_ref())?.clone();
        let path = path.find('?').and_then(|end| path.get(..end)).unwrap_or(path);
        let slots = self.slots.get(range.clone())?;
        let behind = slots.partition_point(|slot| self.prefix(slot).is_some_and(|prefix| prefix <= path));
        let mut at = (range.start + behind).checked_sub(1).filter(|at| *at >= range.start);
        while let Some(slot) = at.and_then(|at| self.slots.get(at)) {
            if self.prefix(slot).is_some_and(|prefix| path.starts_with(prefix)) {
                return Some(slot.route);
            }
            at = slot.up;
        }
        None
    }

    fn prefix(&self, slot: &Slot) -> Option<&str> {
        self.configuration.routes.get(slot.route).map(|route| route.lane_prefix.as_ref())
    }
}

/// A host without the port behind it.
pub(crate) fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// A host as configurations name it.
pub fn plain_host(host: &str) -> Cow<'_, str> {
    lowered(without_port(host))
}

fn lowered(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|b| b.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

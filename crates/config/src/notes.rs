//! A configuration as notes: keys and short texts, so that two of them can be told apart line by line.
//!
//! The parts of a text stand behind one another with tabs between; no name holds one. Times are in nanoseconds.

use crate::configuration::{place, shares_fit};
use crate::customers::{Customer, Customers};
use crate::licences::Gathered;
use crate::types::{Configuration, Limits, Route, RouteClass, Service};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

const EDITION: &str = "edition";
const LIMITS: &str = "limits";
const ROUTE: &str = "route/";
const SERVICE: &str = "service/";
/// The route or the service of that name has it. Readers of before pass these over.
const OPEN_ROUTE: &str = "open-route/";
const DEDUPES: &str = "dedupes/";
/// There are customers, as many as it says.
const CUSTOMERS: &str = "customers";
const CUSTOMER: &str = "customer/";

impl Configuration {
    /// All that it says. The keys are unique and stay the same from one edition to the next.
    pub fn notes(&self) -> Vec<(String, String)> {
        let mut notes = Vec::with_capacity(self.routes.len() + self.services.len() + 2);
        notes.push((EDITION.to_owned(), self.edition.to_string()));
        notes.push((LIMITS.to_owned(), limits_text(&self.limits)));
        for route in &self.routes {
            let place = format!("{}{}", route.depot, route.lane_prefix);
            if route.is_open {
                notes.push((format!("{OPEN_ROUTE}{place}"), String::new()));
            }
            notes.push((format!("{ROUTE}{place}"), route_text(route)));
        }
        for service in &self.services {
            let text = format!("{}\t{}", service.line_cap, service.health_path);
            notes.push((format!("{SERVICE}{}", service.name), text));
            if service.dedupes {
                notes.push((format!("{DEDUPES}{}", service.name), String::new()));
            }
        }
        if let Some(customers) = &self.customers {
            notes.push((CUSTOMERS.to_owned(), customers.all().len().to_string()));
            for customer in customers.all() {
                notes.push((format!("{CUSTOMER}{}", customer.name), customer_text(customer)));
            }
        }
        if let Some(licences) = &self.licences {
            licences.notes(&self.routes, &mut notes);
        }
        notes
    }

    /// The configuration that gave these notes, in whatever order they come. Keys of other kinds are passed over.
    /// `None`: they do not make a whole one.
    pub fn from_notes<'a>(notes: impl Iterator<Item = (&'a str, &'a str)>) -> Option<Configuration> {
        let (mut edition, mut limits) = (None, None);
        let (mut routes, mut services) = (Vec::new(), Vec::new());
        let mut names: BTreeSet<Arc<str>> = BTreeSet::new();
        let (mut customers, mut customer_count) = (Vec::new(), None);
        let (mut open_routes, mut deduping) = (BTreeSet::new(), BTreeSet::new());
        let mut licences = Gathered::default();
        for (key, text) in notes {
            if let Some(place) = key.strip_prefix(ROUTE) {
                routes.push(route_of(place, text, &mut names)?);
            } else if let Some(name) = key.strip_prefix(SERVICE) {
                services.push(service_of(name, text, &mut names)?);
            } else if let Some(place) = key.strip_prefix(OPEN_ROUTE) {
                open_routes.insert(place);
            } else if let Some(name) = key.strip_prefix(DEDUPES) {
                deduping.insert(name);
            } else if let Some(name) = key.strip_prefix(CUSTOMER) {
                customers.push(customer_of(name, text)?);
            } else if key == CUSTOMERS {
                customer_count = Some(text.parse::<usize>().ok()?);
            } else if key == EDITION {
                edition = Some(text.parse().ok()?);
            } else if key == LIMITS {
                limits = Some(limits_of(text)?);
            } else {
                licences.take(key, text)?;
            }
        }
        routes.sort_unstable_by(|a, b| place(a).cmp(&place(b)));
        services.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let licences = licences.whole(&routes)?;
        for route in &mut routes {
            route.is_open = !open_routes.is_empty()
                && open_routes.contains(&*format!("{}{}", route.depot, route.lane_prefix));
        }
        for service in &mut services {
            service.dedupes = deduping.contains(&*service.name);
        }
        if customers.len() != customer_count.unwrap_or(0) {
            return None;
        }
        let customers = match customer_count {
            Some(_) => Some(Arc::new(Customers::new(customers)?)),
            None => None,
        };
        let whole =
            Configuration { edition: edition?, routes, services, limits: limits?, customers, licences };
        is_whole(&whole, &names).then_some(whole)
    }
}

/// Whether all keys were unique and no route goes to a service that is not there.
fn is_whole(whole: &Configuration, names: &BTreeSet<Arc<str>>) -> bool {
    whole.routes.is_sorted_by(|a, b| place(a) < place(b))
        && whole.services.is_sorted_by(|a, b| a.name < b.name)
        && whole.services.len() == names.len()
}

fn shared(names: &mut BTreeSet<Arc<str>>, name: &str) -> Arc<str> {
    if let Some(known) = names.get(name) {
        return known.clone();
    }
    let name: Arc<str> = Arc::from(name);
    names.insert(name.clone());
    name
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

fn limits_text(limits: &Limits) -> String {
    let (header, idle) = (nanos(limits.header), nanos(limits.idle));
    format!("{}\t{}\t{header}\t{idle}", limits.header_bytes, limits.body_bytes)
}

fn route_text(route: &Route) -> String {
    let (timeout, target) = (nanos(route.timeout), nanos(route.target));
    let mut text = format!(
        "{}\t{}\t{timeout}\t{target}\t{}\t{}",
        route.name,
        route.class.word(),
        route.priority,
        route.attempts
    );
    for (service, share) in &route.sorting {
        // Writing to a text does not fail.
        let _ = write!(text, "\t{service}\t{share}");
    }
    text
}

fn customer_text(customer: &Customer) -> String {
    let mut text = format!("{}\t{}\t{}", customer.priority, customer.rate_per_second, customer.burst);
    for key in &customer.keys {
        text.push('\t');
        text.push_str(key);
    }
    text
}

/// The parts of a text, one after the other.
pub(crate) struct Parts<'a>(std::str::Split<'a, char>);

impl<'a> Parts<'a> {
    pub(crate) fn of(text: &'a str) -> Self {
        Parts(text.split('\t'))
    }

    pub(crate) fn read<T: std::str::FromStr>(&mut self) -> Option<T> {
        self.0.next()?.parse().ok()
    }

    fn time(&mut self) -> Option<Duration> {
        self.read().map(Duration::from_nanos)
    }

    fn end(mut self) -> Option<()> {
        self.0.next().is_none().then_some(())
    }
}

fn limits_of(text: &str) -> Option<Limits> {
    let mut parts = Parts::of(text);
    let limits = Limits {
        header_bytes: parts.read()?,
        body_bytes: parts.read()?,
        header: parts.time()?,
        idle: parts.time()?,
    };
    parts.end().map(|()| limits)
}

fn service_of(name: &str, text: &str, names: &mut BTreeSet<Arc<str>>) -> Option<Service> {
    let mut parts = Parts::of(text);
    let line_cap = parts.read()?;
    let health_path: Arc<str> = Arc::from(parts.0.next()?);
    parts.end().map(|()| Service { name: shared(names, name), health_path, line_cap, dedupes: false })
}

fn customer_of(name: &str, text: &str) -> Option<Customer> {
    let mut parts = Parts::of(text);
    Some(Customer {
        name: Arc::from(name),
        priority: parts.read()?,
        rate_per_second: parts.read()?,
        burst: parts.read()?,
        keys: parts.0.map(Arc::from).collect(),
    })
}

fn route_of(place: &str, text: &str, names: &mut BTreeSet<Arc<str>>) -> Option<Route> {
    let (depot, lane_prefix) = place.split_at(place.find('/')?);
    let mut parts = Parts::of(text);
    let mut route = Route {
        name: Arc::from(parts.0.next()?),
        depot: Arc::from(depot),
        lane_prefix: Arc::from(lane_prefix),
        class: RouteClass::from_word(parts.0.next()?)?,
        timeout: parts.time()?,
        target: parts.time()?,
        priority: parts.read()?,
        attempts: parts.read()?,
        is_open: false,
        sorting: Vec::new(),
    };
    while let Some(service) = parts.0.next() {
        route.sorting.push((shared(names, service), parts.read()?));
    }
    shares_fit(&route.sorting).then_some(route)
}

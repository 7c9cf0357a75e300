//! A configuration as the operator sends it, read whole or not at all.
//!
//! Routes and services come as tables: names of fields, then lists of values in that order. What the operator's
//! pages call invalid is refused, and what could never be routed; elsewhere a value out of its range is drawn into
//! it, and one that is left out has a usual figure.

use crate::customers::{Customer, Customers};
use crate::document::{
    Field, NUMBER, SECONDS, WHOLE, count, document, duration, flag, name, number, seconds, whole,
};
use crate::fault::{Faults, What};
use crate::terms::TERMS;
use crate::types::{Configuration, Limits, Route, RouteClass, Service};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

const FLAG: &str = "true or false";
const TIMEOUT: Duration = Duration::from_secs(30);
const TARGET: Duration = Duration::from_millis(300);
const PRIORITY: u32 = 1;
const ATTEMPTS: u32 = 1;
const LINE_CAP: u32 = 64;
const HEALTH_PATH: &str = "/health";
const LIMITS: Limits = Limits {
    header_bytes: 16384,
    body_bytes: 64 << 20,
    header: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

impl Default for Limits {
    fn default() -> Self {
        LIMITS
    }
}

/// Names of services, shared by all that speak of them.
type Names = BTreeSet<Arc<str>>;

/// Reads a body of `config/put`. The routes come sorted by host and prefix, the services by name.
pub fn read_configuration(body: &[u8]) -> Result<Configuration, Faults> {
    let document = document(body, TERMS.configuration_bytes)?;
    let top = Field::top(&document);
    let mut faults = Faults::default();
    let edition = top.field("edition").must(&mut faults, WHOLE, whole).unwrap_or_default();
    let services = read_services(&top.field("services"), &mut faults);
    let names = services.iter().map(|s| s.name.clone()).collect();
    let routes = read_routes(&top.field("routes"), &names, &mut faults);
    let limits = read_limits(&top.field("limits"), &mut faults);
    let customers = read_customers(&top.field("customers"), &mut faults);
    faults.or(Configuration { edition, routes, services, limits, customers, licences: None })
}

/// What a route is found by; routes stand in this order.
pub fn place(route: &Route) -> (&str, &str) {
    (&route.depot, &route.lane_prefix)
}

/// Hands out the rows of a table, the values of each in the order of `wanted`. Columns that are not wanted are
/// passed over; a row may be short, what it lacks is left out.
fn rows<const N: usize>(
    table: &Field<'_, '_>, wanted: [&'static str; N], most: usize, faults: &mut Faults,
    mut each: impl FnMut(&mut Faults, Row<'_, '_, N>),
) {
    if table.must(faults, "a table", |v| v.is_object().then_some(())).is_none() {
        return;
    }
    let columns = read_columns(&table.field("fields"), &wanted, faults);
    let entries = table.field("entries");
    entries.needed(faults, "lists of values");
    let mut numbers = 0..;
    entries.elements(faults, most, |faults, entry| {
        let number = numbers.next().unwrap_or_default();
        let mut row = Row { number, names: wanted, values: [None; N], spot: entry.spot };
        let Some(list) = entry.must(faults, "a list", |v| v.as_array()) else { return };
        for (i, value) in list.iter().enumerate() {
            match columns.get(i) {
                Some(Some(at)) => row.values[*at] = Some(value),
                Some(None) => {}
                None => return faults.add(&entry.spot, What::TooMany(columns.len())),
            }
        }
        each(faults, row);
    });
}

/// For each column its place among the wanted ones.
fn read_columns(fields: &Field<'_, '_>, wanted: &[&str], faults: &mut Faults) -> Vec<Option<usize>> {
    let mut columns: Vec<Option<usize>> = Vec::new();
    fields.needed(faults, "names of fields");
    fields.elements(faults, TERMS.columns, |faults, element| {
        let column = element.must(faults, "the name of a field", |v| {
            let text = v.as_str()?;
            Some(wanted.iter().position(|name| *name == text))
        });
        let column = column.flatten();
        if let Some(first) = columns.iter().position(|c| c.is_some() && *c == column) {
            faults.add(&element.spot, What::Again(first));
        }
        columns.push(column);
    });
    columns
}

/// One entry of a table, its values in the order of the names.
struct Row<'p, 'v, const N: usize> {
    /// Its place among the entries.
    number: usize,
    names: [&'static str; N],
    values: [Option<&'v Value>; N],
    spot: crate::document::Spot<'p>,
}

impl<'v, const N: usize> Row<'_, 'v, N> {
    fn field(&self, name: &'static str) -> Field<'_, 'v> {
        let at = self.names.iter().position(|n| *n == name);
        let value = at.and_then(|at| *self.values.get(at)?);
        Field::new(value, self.spot.key(name))
    }
}

fn read_services(table: &Field<'_, '_>, faults: &mut Faults) -> Vec<Service> {
    let mut services = Vec::new();
    rows(table, ["name", "health_path", "line_cap", "dedupes"], TERMS.services, faults, |faults, row| {
        let health = row.field("health_path").may(faults, "a path from a slash on", path);
        let line_cap = row.field("line_cap").may(faults, NUMBER, |v| count(v, 1, u32::MAX));
        let service = Service {
            name: row.field("name").name(faults).into(),
            health_path: health.unwrap_or_else(|| HEALTH_PATH.to_owned()).into(),
            line_cap: line_cap.unwrap_or(LINE_CAP),
            dedupes: row.field("dedupes").may(faults, FLAG, flag).unwrap_or(false),
        };
        services.push((service, row.number));
    });
    services.sort_unstable_by(|(a, i), (b, j)| (&a.name, i).cmp(&(&b.name, j)));
    tell_again(table, &services, |a, b| a.name == b.name && !a.name.is_empty(), faults);
    services.into_iter().map(|(service, _)| service).collect()
}

/// Tells each entry that stands where one before it stands. The entries come sorted, with their numbers.
fn tell_again<T>(
    table: &Field<'_, '_>, entries: &[(T, usize)], same: impl Fn(&T, &T) -> bool, faults: &mut Faults,
) {
    let list = table.spot.key("entries");
    for ((a, first), (b, second)) in entries.iter().zip(entries.iter().skip(1)) {
        if same(a, b) {
            faults.add(&list.at(*second), What::Again(*first));
        }
    }
}

const ROUTE: [&str; 11] = [
    "name",
    "depot",
    "lane_prefix",
    "route_class",
    "timeout_s",
    "target_s",
    "priority",
    "sorting",
    "attempts",
    "service",
    "unstamped",
];

fn read_routes(table: &Field<'_, '_>, names: &Names, faults: &mut Faults) -> Vec<Route> {
    read_route_rows(table, names, TERMS.routes, faults).into_iter().map(|(route, _)| route).collect()
}

/// Routes by host and prefix, each with its number among the entries of the table; `names`: services that are known.
pub fn read_route_rows(
    table: &Field<'_, '_>, names: &BTreeSet<Arc<str>>, most: usize, faults: &mut Faults,
) -> Vec<(Route, usize)> {
    let mut routes = Vec::new();
    rows(table, ROUTE, most, faults, |faults, row| {
        routes.push((read_route(&row, names, faults), row.number));
    });
    routes.sort_unstable_by(|(a, i), (b, j)| (place(a), i).cmp(&(place(b), j)));
    let told = |route: &Route| route.depot.is_empty() || route.lane_prefix.is_empty();
    tell_again(table, &routes, |a, b| place(a) == place(b) && !told(a), faults);
    routes
}

fn read_route(row: &Row<'_, '_, 11>, names: &Names, faults: &mut Faults) -> Route {
    let depot = row.field("depot").must(faults, "a host", host).unwrap_or_default();
    let prefix =
        row.field("lane_prefix").must(faults, "a prefix between slashes", prefix).unwrap_or_default();
    let class = row.field("route_class").must(faults, "safe, fragile, outbound or registered", class);
    let timeout =
        row.field("timeout_s").may(faults, "seconds above 0", |v| seconds(v).filter(|time| !time.is_zero()));
    let target = row.field("target_s").may(faults, SECONDS, |v| duration(number(v)?.max(0.0)));
    let priority = row.field("priority").may(faults, NUMBER, |v| count(v, 0, 255)).unwrap_or(PRIORITY);
    let attempts = row.field("attempts").may(faults, NUMBER, |v| count(v, 1, u32::MAX)).unwrap_or(ATTEMPTS);
    let name = row.field("name").may(faults, crate::document::NAME, name);
    Route {
        name: name.unwrap_or_else(|| format!("{depot}{prefix}")).into(),
        depot: depot.into(),
        lane_prefix: prefix.into(),
        class: class.unwrap_or(RouteClass::Safe),
        timeout: timeout.unwrap_or(TIMEOUT),
        target: target.unwrap_or(TARGET),
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        sorting: read_sorting(row, names, faults),
        attempts,
        is_open: row.field("unstamped").may(faults, FLAG, flag).unwrap_or(false),
    }
}

/// The services of a route: those of `sorting`, else the one of `service` with all of it.
fn read_sorting(row: &Row<'_, '_, 11>, names: &Names, faults: &mut Faults) -> Vec<(Arc<str>, f64)> {
    let known = |field: &Field<'_, '_>, faults: &mut Faults| {
        let text = field.name(faults);
        let found = names.get(text.as_str()).cloned();
        if found.is_none() && !text.is_empty() {
            faults.add(&field.spot, What::UnknownService(text));
        }
        found
    };
    let (mut sorting, mut clean) = (Vec::new(), true);
    let (listed, single) = (row.field("sorting"), row.field("service"));
    let single = single.value.is_some().then(|| known(&single, faults));
    let mut entries = 0;
    listed.elements(faults, TERMS.sorting, |faults, element| {
        entries += 1;
        if element.must(faults, "an object", |v| v.is_object().then_some(())).is_none() {
            clean = false;
            return;
        }
        let service = known(&element.field("service"), faults);
        let share = element
            .field("share")
            .must(faults, "a share from 0 on", |v| number(v).filter(|share| *share >= 0.0));
        match (service, share) {
            (Some(service), Some(share)) => sorting.push((service, share)),
            _ => clean = false,
        }
    });
    let is_list = listed.value.as_ref().is_none_or(|v| v.is_array());
    if entries == 0 {
        match single {
            Some(Some(service)) => sorting.push((service, 1.0)),
            Some(None) => {}
            None if is_list => faults.add(&row.spot, What::NoService),
            None => {}
        }
    } else if clean && !shares_fit(&sorting) {
        faults.add(&listed.spot, What::NoShare);
    }
    sorting
}

/// Whether shares can be drawn from.
pub(crate) fn shares_fit(sorting: &[(Arc<str>, f64)]) -> bool {
    let sum: f64 = sorting.iter().map(|(_, share)| share).sum();
    sum > 0.0 && sum.is_finite() && sorting.iter().all(|(_, share)| *share >= 0.0)
}

/// The customers, if there is a table of them at all: an empty one lets nobody in.
fn read_customers(table: &Field<'_, '_>, faults: &mut Faults) -> Option<Arc<Customers>> {
    table.value.as_ref()?;
    let mut customers: Vec<(Customer, usize)> = Vec::new();
    rows(
        table,
        ["name", "stamps", "priority", "rate_per_s", "burst"],
        TERMS.customers,
        faults,
        |faults, row| {
            customers.push((read_customer(&row, faults), row.number));
        },
    );
    customers.sort_unstable_by(|(a, i), (b, j)| (&a.name, i).cmp(&(&b.name, j)));
    tell_again(table, &customers, |a, b| a.name == b.name && !a.name.is_empty(), faults);
    tell_shared_keys(table, &customers, faults);
    Customers::new(customers.into_iter().map(|(customer, _)| customer).collect()).map(Arc::new)
}

fn read_customer(row: &Row<'_, '_, 5>, faults: &mut Faults) -> Customer {
    let priority = row.field("priority").may(faults, NUMBER, |v| count(v, 0, 255)).unwrap_or(PRIORITY);
    let mut figure = |key| row.field(key).may(faults, "a number from 0 on", amount).unwrap_or(0.0);
    let (rate_per_second, burst) = (figure("rate_per_s"), figure("burst"));
    let mut keys: Vec<Arc<str>> = Vec::new();
    row.field("stamps").elements(faults, TERMS.customer_keys, |faults, element| {
        keys.extend(element.must(faults, "a key", key).map(Arc::from));
    });
    Customer {
        name: row.field("name").name(faults).into(),
        keys,
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        rate_per_second,
        burst,
    }
}

/// Tells each entry that has a key of one before it.
fn tell_shared_keys(table: &Field<'_, '_>, customers: &[(Customer, usize)], faults: &mut Faults) {
    let list = table.spot.key("entries");
    let mut owners: HashMap<&str, usize> = HashMap::new();
    for (customer, number) in customers {
        for key in &customer.keys {
            let first = *owners.entry(key).or_insert(*number);
            if first != *number {
                faults.add(&list.at(*number), What::KeyOfAnother(first));
            }
        }
    }
}

/// A key as it may stand in a request's line.
fn key(value: &Value) -> Option<&str> {
    let text = value.as_str()?;
    let fit =
        !text.is_empty() && text.len() <= TERMS.name_bytes && text.bytes().all(|b| b.is_ascii_graphic());
    fit.then_some(text)
}

fn amount(value: &Value) -> Option<f64> {
    number(value).filter(|amount| *amount >= 0.0)
}

fn read_limits(field: &Field<'_, '_>, faults: &mut Faults) -> Limits {
    field.object(faults);
    let mut bytes = |key: &str, usual: usize| {
        let found = field.field(key).may(faults, NUMBER, |v| count(v, 0, u32::MAX));
        found.and_then(|n| usize::try_from(n).ok()).filter(|n| *n > 0).unwrap_or(usual)
    };
    let (header_bytes, body_bytes) =
        (bytes("header_bytes", LIMITS.header_bytes), bytes("body_bytes", LIMITS.body_bytes));
    let mut time = |key: &str, usual: Duration| {
        field.field(key).may(faults, SECONDS, seconds).filter(|time| !time.is_zero()).unwrap_or(usual)
    };
    let (header, idle) = (time("header_s", LIMITS.header), time("idle_s", LIMITS.idle));
    Limits { header_bytes, body_bytes, header, idle }
}

/// A host in lower case and without a port.
pub fn host(value: &Value) -> Option<String> {
    let text = value.as_str()?;
    let host = crate::routing::without_port(text);
    let fit = !host.is_empty() && host.len() <= TERMS.name_bytes && host.chars().all(stands_in_host);
    fit.then(|| host.to_ascii_lowercase())
}

fn stands_in_host(c: char) -> bool {
    !c.is_whitespace() && !c.is_control() && c != '/'
}

fn path(value: &Value) -> Option<String> {
    let text = value.as_str()?;
    let fit = text.starts_with('/')
        && text.len() <= TERMS.name_bytes
        && !text.contains(|c: char| c.is_whitespace() || c.is_control());
    fit.then(|| text.to_owned())
}

/// A path that no query or fragment cuts short.
pub fn prefix(value: &Value) -> Option<String> {
    path(value).filter(|text| text.ends_with('/') && !text.contains(['?', '#']))
}

pub fn class(value: &Value) -> Option<RouteClass> {
    RouteClass::from_word(value.as_str()?)
}

impl RouteClass {
    pub fn word(self) -> &'static str {
        match self {
            RouteClass::Safe => "safe",
            RouteClass::Fragile => "fragile",
            RouteClass::Outbound => "outbound",
            RouteClass::Registered => "registered",
        }
    }

    pub fn from_word(word: &str) -> Option<Self> {
        Some(match word {
            "safe" => RouteClass::Safe,
            "fragile" => RouteClass::Fragile,
            "outbound" => RouteClass::Outbound,
            "registered" => RouteClass::Registered,
            _ => return None,
        })
    }
}

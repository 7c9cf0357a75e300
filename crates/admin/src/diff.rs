//! What tells two configurations apart: routes by host and prefix, services and customers by name, limits. Keys are not
//! shown.

use crate::told::Changed;
use fallgap_config::{Configuration, Customer, Limits, Route, Service};
use std::cmp::Ordering;
use std::fmt::{self, Display, Write};
use std::time::Duration;

/// One thing that is in one configuration or in both.
#[derive(Clone, Debug, PartialEq)]
pub enum Change<'a, T> {
    Added(&'a T),
    Removed(&'a T),
    Changed(&'a T, &'a T),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Diff<'a> {
    pub editions: (u64, u64),
    pub routes: Vec<Change<'a, Route>>,
    pub services: Vec<Change<'a, Service>>,
    pub customers: Vec<Change<'a, Customer>>,
    /// Whether requests need a key: before and now, if that differs.
    pub needs_keys: Option<(bool, bool)>,
    pub limits: Option<(Limits, Limits)>,
}

/// From what is held to what is handed in. Both come sorted, as they are read.
pub fn diff<'a>(held: &'a Configuration, new: &'a Configuration) -> Diff<'a> {
    fn place(route: &Route) -> (&str, &str) {
        (&route.depot, &route.lane_prefix)
    }
    Diff {
        editions: (held.edition, new.edition),
        routes: merged(&held.routes, &new.routes, |a, b| place(a).cmp(&place(b))),
        services: merged(&held.services, &new.services, |a, b| a.name.cmp(&b.name)),
        customers: merged(customers(held), customers(new), |a, b| a.name.cmp(&b.name)),
        needs_keys: (held.customers.is_some() != new.customers.is_some())
            .then_some((held.customers.is_some(), new.customers.is_some())),
        limits: (held.limits != new.limits).then_some((held.limits, new.limits)),
    }
}

/// Whether nothing but the edition differs.
pub fn same_but_edition(diff: &Diff<'_>) -> bool {
    let same_customers = diff.customers.is_empty() && diff.needs_keys.is_none();
    diff.routes.is_empty() && diff.services.is_empty() && same_customers && diff.limits.is_none()
}

fn customers(configuration: &Configuration) -> &[Customer] {
    configuration.customers.as_ref().map_or(&[], |customers| customers.all())
}

fn merged<'a, T: PartialEq>(
    held: &'a [T], new: &'a [T], order: impl Fn(&T, &T) -> Ordering,
) -> Vec<Change<'a, T>> {
    let (mut held, mut new) = (held.iter().peekable(), new.iter().peekable());
    let mut changes = Vec::new();
    loop {
        let next = match (held.peek(), new.peek()) {
            (None, None) => return changes,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(a), Some(b)) => order(a, b),
        };
        let old = if next.is_le() { held.next() } else { None };
        let now = if next.is_ge() { new.next() } else { None };
        changes.extend(match (old, now) {
            (Some(a), Some(b)) if a == b => None,
            (Some(a), Some(b)) => Some(Change::Changed(a, b)),
            (Some(a), None) => Some(Change::Removed(a)),
            (None, b) => b.map(Change::Added),
        });
    }
}

impl Diff<'_> {
    pub fn changed(&self) -> Changed {
        let mut changed = Changed {
            services: self.services.len() as u64,
            customers: self.customers.len() as u64,
            limits: self.limits.is_some(),
            ..Changed::default()
        };
        for route in &self.routes {
            match route {
                Change::Added(_) => changed.routes_added += 1,
                Change::Removed(_) => changed.routes_removed += 1,
                Change::Changed(..) => changed.routes_changed += 1,
            }
        }
        changed
    }
}

impl Display for Changed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Changed { routes_added, routes_removed, routes_changed, services, customers, limits } = *self;
        let customers = if customers > 0 { format!(", customers ~{customers}") } else { String::new() };
        let limits = if limits { ", limits changed" } else { "" };
        write!(
            f,
            "routes +{routes_added} -{routes_removed} ~{routes_changed}, services ~{services}{customers}{limits}"
        )
    }
}

/// A field that differs.
type Field = (&'static str, String, String);

fn seconds(time: Duration) -> String {
    format!("{} s", time.as_secs_f64())
}

fn differing(fields: Vec<Field>) -> String {
    let differs = |(name, a, b): Field| (a != b).then(|| format!("{name} {a} -> {b}"));
    fields.into_iter().filter_map(differs).collect::<Vec<_>>().join(", ")
}

fn shares(route: &Route) -> String {
    let share = |(service, share): &(std::sync::Arc<str>, f64)| format!("{service}:{share}");
    route.sorting.iter().map(share).collect::<Vec<_>>().join("+")
}

fn route_fields(a: &Route, b: &Route) -> Vec<Field> {
    let texts = |r: &Route| {
        let (timeout, target) = (seconds(r.timeout), seconds(r.target));
        let (priority, attempts) = (r.priority.to_string(), r.attempts.to_string());
        let open = r.is_open.to_string();
        [r.name.to_string(), r.class.word().to_owned(), timeout, target, priority, attempts, shares(r), open]
    };
    let names = ["name", "class", "timeout", "target", "priority", "attempts", "services", "unstamped"];
    names.into_iter().zip(texts(a).into_iter().zip(texts(b))).map(|(n, (a, b))| (n, a, b)).collect()
}

fn customer_fields(a: &Customer, b: &Customer) -> Vec<Field> {
    let added = b.keys.iter().filter(|key| !a.keys.contains(key)).count();
    let removed = a.keys.iter().filter(|key| !b.keys.contains(key)).count();
    vec![
        ("keys taken away", "0".to_owned(), removed.to_string()),
        ("keys added", "0".to_owned(), added.to_string()),
        ("priority", a.priority.to_string(), b.priority.to_string()),
        ("rate_per_s", a.rate_per_second.to_string(), b.rate_per_second.to_string()),
        ("burst", a.burst.to_string(), b.burst.to_string()),
    ]
}

fn limits_fields(a: &Limits, b: &Limits) -> Vec<Field> {
    vec![
        ("header_bytes", a.header_bytes.to_string(), b.header_bytes.to_string()),
        ("body_bytes", a.body_bytes.to_string(), b.body_bytes.to_string()),
        ("header", seconds(a.header), seconds(b.header)),
        ("idle", seconds(a.idle), seconds(b.idle)),
    ]
}

impl Display for Diff<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (held, new) = self.editions;
        writeln!(f, "edition {held} -> {new}: {}", self.changed())?;
        for change in &self.services {
            match change {
                Change::Added(s) => writeln!(f, "+ service {}: line_cap {}", s.name, s.line_cap)?,
                Change::Removed(s) => writeln!(f, "- service {}", s.name)?,
                Change::Changed(a, b) => {
                    let fields = vec![
                        ("line_cap", a.line_cap.to_string(), b.line_cap.to_string()),
                        ("health_path", a.health_path.to_string(), b.health_path.to_string()),
                        ("dedupes", a.dedupes.to_string(), b.dedupes.to_string()),
                    ];
                    writeln!(f, "~ service {}: {}", a.name, differing(fields))?;
                }
            }
        }
        for change in &self.routes {
            let (sign, route) = match change {
                Change::Added(route) => ('+', route),
                Change::Removed(route) => ('-', route),
                Change::Changed(_, route) => ('~', route),
            };
            let mut line = format!("{sign} route {}{}", route.depot, route.lane_prefix);
            match change {
                Change::Changed(a, b) => write!(line, ": {}", differing(route_fields(a, b)))?,
                Change::Added(r) => write!(line, ": {}, {}, {}", r.name, r.class.word(), shares(r))?,
                Change::Removed(r) => write!(line, ": {}", r.name)?,
            }
            writeln!(f, "{line}")?;
        }
        if let Some((_, needs)) = self.needs_keys {
            writeln!(f, "~ requests {} a customer's key", if needs { "need" } else { "do not need" })?;
        }
        for change in &self.customers {
            match change {
                Change::Added(c) => writeln!(f, "+ customer {}: keys {}", c.name, c.keys.len())?,
                Change::Removed(c) => writeln!(f, "- customer {}: keys {}", c.name, c.keys.len())?,
                Change::Changed(a, b) => {
                    writeln!(f, "~ customer {}: {}", a.name, differing(customer_fields(a, b)))?;
                }
            }
        }
        if let Some((a, b)) = &self.limits {
            writeln!(f, "~ limits: {}", differing(limits_fields(a, b)))?;
        }
        Ok(())
    }
}

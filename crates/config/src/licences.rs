//! What accounts and offices have, as notes beside those of a configuration.

use crate::configuration::place;
use crate::document::{Field, NUMBER, WHOLE, number, whole};
use crate::fault::Faults;
use crate::notes::Parts;
use crate::types::{Allowance, Licence, Licences, Route, RouteClass};
use std::collections::BTreeMap;
use std::sync::Arc;

const REVISION: &str = "licences";
const ACCOUNT: &str = "account/";
const OFFICE: &str = "office/";
const HELD: &str = "held/";

impl Default for Allowance {
    fn default() -> Self {
        Allowance {
            routes: u32::MAX,
            changes_a_minute: u32::MAX,
            rates: [f64::INFINITY; 3],
            at_work: u32::MAX,
            download_bytes: f64::INFINITY,
        }
    }
}

impl RouteClass {
    pub const ALL: [RouteClass; 4] =
        [RouteClass::Safe, RouteClass::Fragile, RouteClass::Outbound, RouteClass::Registered];
    /// Those whose rates are told apart; registered requests count as fragile ones.
    pub const RATED: [RouteClass; 3] = [RouteClass::Safe, RouteClass::Fragile, RouteClass::Outbound];

    /// Its place among those whose rates are told apart.
    pub fn index(self) -> usize {
        match self {
            RouteClass::Safe => 0,
            RouteClass::Fragile | RouteClass::Registered => 1,
            RouteClass::Outbound => 2,
        }
    }
}

impl Allowance {
    /// The fields of an object; what is left out has no end.
    pub fn read(field: &Field<'_, '_>, faults: &mut Faults) -> Allowance {
        field.object(faults);
        let mut read = Allowance::default();
        let mut figure = |key: &str, to: &mut u32| {
            let found = field.field(key).may(faults, WHOLE, |v| u32::try_from(whole(v)?).ok());
            *to = found.unwrap_or(*to);
        };
        figure("routes", &mut read.routes);
        figure("changes_a_minute", &mut read.changes_a_minute);
        figure("at_work", &mut read.at_work);
        let mut rate = |field: &Field<'_, '_>, to: &mut f64| {
            *to = field.may(faults, NUMBER, |v| number(v).filter(|n| *n >= 0.0)).unwrap_or(*to);
        };
        rate(&field.field("download_bytes_s"), &mut read.download_bytes);
        let requests = field.field("requests_s");
        for (class, to) in RouteClass::RATED.into_iter().zip(&mut read.rates) {
            rate(&requests.field(class.word()), to);
        }
        requests.object(faults);
        read
    }

    fn text(&self) -> String {
        let [safe, fragile, outbound] = self.rates;
        let Allowance { routes, changes_a_minute, at_work, download_bytes, .. } = self;
        format!("{routes}\t{changes_a_minute}\t{safe}\t{fragile}\t{outbound}\t{at_work}\t{download_bytes}")
    }

    fn of(parts: &mut Parts<'_>) -> Option<Allowance> {
        Some(Allowance {
            routes: parts.read()?,
            changes_a_minute: parts.read()?,
            rates: [parts.read()?, parts.read()?, parts.read()?],
            at_work: parts.read()?,
            download_bytes: parts.read()?,
        })
    }
}

impl Licences {
    /// The office that has a route, by the route's place in the configuration.
    pub fn owner(&self, route: usize) -> Option<usize> {
        self.owners.get(route).copied().flatten()
    }

    pub(crate) fn notes(&self, routes: &[Route], notes: &mut Vec<(String, String)>) {
        notes.push((REVISION.to_owned(), self.revision.to_string()));
        for (name, allowance) in &self.accounts {
            notes.push((format!("{ACCOUNT}{name}"), allowance.text()));
        }
        for office in &self.offices {
            let Some((account, _)) = self.accounts.get(office.account) else { continue };
            notes.push((
                format!("{OFFICE}{}", office.name),
                format!("{account}\t{}", office.allowance.text()),
            ));
        }
        for (route, owner) in routes.iter().zip(&self.owners) {
            if let Some(office) = owner.and_then(|owner| self.offices.get(owner)) {
                notes.push((format!("{HELD}{}{}", route.depot, route.lane_prefix), office.name.to_string()));
            }
        }
    }
}

/// Notes on licences as they come, in whatever order.
#[derive(Default)]
pub(crate) struct Gathered<'a> {
    revision: Option<u64>,
    accounts: BTreeMap<&'a str, Allowance>,
    offices: BTreeMap<&'a str, (&'a str, Allowance)>,
    held: BTreeMap<&'a str, &'a str>,
}

impl<'a> Gathered<'a> {
    /// `None`: it is one of these, and cannot be read.
    pub(crate) fn take(&mut self, key: &'a str, text: &'a str) -> Option<()> {
        if key == REVISION {
            self.revision = Some(text.parse().ok()?);
        } else if let Some(name) = key.strip_prefix(ACCOUNT) {
            self.accounts.insert(name, Allowance::of(&mut Parts::of(text))?);
        } else if let Some(name) = key.strip_prefix(OFFICE) {
            let (account, rest) = text.split_once('\t')?;
            self.offices.insert(name, (account, Allowance::of(&mut Parts::of(rest))?));
        } else if let Some(place) = key.strip_prefix(HELD) {
            self.held.insert(place, text);
        }
        Some(())
    }

    /// For routes in their order. The outer `None`: they do not fit together.
    pub(crate) fn whole(self, routes: &[Route]) -> Option<Option<Arc<Licences>>> {
        let Some(revision) = self.revision else { return Some(None) };
        let accounts: Vec<&str> = self.accounts.keys().copied().collect();
        let mut offices = Vec::with_capacity(self.offices.len());
        for (name, (account, allowance)) in &self.offices {
            let account = accounts.binary_search(account).ok()?;
            offices.push(Licence { name: Arc::from(*name), account, allowance: allowance.clone() });
        }
        let mut owners = Vec::with_capacity(routes.len());
        for route in routes {
            let (depot, prefix) = place(route);
            let held = (!self.held.is_empty()).then(|| self.held.get([depot, prefix].concat().as_str()));
            owners.push(match held.flatten() {
                Some(office) => Some(offices.binary_search_by(|o| (*o.name).cmp(office)).ok()?),
                None => None,
            });
        }
        let accounts = self.accounts.into_iter().map(|(name, allowance)| (Arc::from(name), allowance));
        Some(Some(Arc::new(Licences { revision, accounts: accounts.collect(), offices, owners })))
    }
}

//! Whether a route of an office may be in force: one rule, asked of each change and of each new configuration.

use crate::ledger::{Account, Area, Ledger, Office, Place};
use fallgap_config::{Configuration, Route, place};
use std::collections::BTreeMap;

/// Why a route of an office cannot be in force.
#[derive(Clone, Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum Unfit {
    /// {0} is in no area of the office
    Outside(String),
    /// the operator has no service {0}
    Unknown(String),
    /// service {0} is not granted
    Service(String),
    /// service {0} gets a share of {1:.3}, granted are {2:.3}
    Share(String, f64, f64),
    /// class {0} is not granted
    Class(&'static str),
    /// priority {0} is better than {1}, the best that is granted
    Priority(u8, u8),
    /// {0} attempts, granted are {1}
    Attempts(u32, u32),
    /// takes requests from the operator's route {0}
    Operator(String),
    /// takes requests from {0}, which office {1} has
    Office(String, String),
    /// more than the {0} routes of the office
    OfficeFull(u32),
    /// more than the {0} routes of the account
    AccountFull(u32),
    /// more routes than a configuration holds
    Full,
}

/// What the routes of offices are looked at against.
pub(crate) struct Ground<'a> {
    operator: &'a Configuration,
    /// Whose places are which.
    held: BTreeMap<(&'a str, &'a str), &'a str>,
}

impl<'a> Ground<'a> {
    pub(crate) fn new(operator: &'a Configuration, ledger: &'a Ledger) -> Ground<'a> {
        let offices = ledger.accounts.values().flat_map(|account| &account.offices);
        let places =
            offices.flat_map(|(name, office)| office.routes.iter().map(|r| (place(r), name.as_str())));
        Ground { operator, held: places.collect() }
    }

    /// Each reason for which a route of this office cannot be in force.
    pub(crate) fn unfit(&self, account: &Account, name: &str, office: &Office, route: &Route) -> Vec<Unfit> {
        let mut unfit = Vec::new();
        let (depot, prefix) = place(route);
        let areas = account.areas(&office.slice);
        let area = areas.iter().find(|area| area.holds(depot, prefix) && granted(account, area));
        match area {
            None => unfit.push(Unfit::Outside([depot, prefix].concat())),
            Some(area) => unfit.extend(self.shadows(name, area, depot, prefix)),
        }
        let grant = &account.grant;
        if !grant.classes.contains(&route.class) {
            unfit.push(Unfit::Class(route.class.word()));
        }
        if route.priority < grant.priority {
            unfit.push(Unfit::Priority(route.priority, grant.priority));
        }
        if route.attempts > grant.attempts {
            unfit.push(Unfit::Attempts(route.attempts, grant.attempts));
        }
        let sum: f64 = route.sorting.iter().map(|(_, share)| share).sum();
        let mut shares: BTreeMap<&str, f64> = BTreeMap::new();
        for (service, share) in &route.sorting {
            *shares.entry(service).or_default() += share / sum;
        }
        for (service, share) in shares {
            // The services of a configuration stand by name.
            if self.operator.services.binary_search_by(|held| (*held.name).cmp(service)).is_err() {
                unfit.push(Unfit::Unknown(service.to_owned()));
            }
            match grant.services.get(service) {
                None => unfit.push(Unfit::Service(service.to_owned())),
                Some(most) if share > most + 1e-9 => {
                    unfit.push(Unfit::Share(service.to_owned(), share, *most));
                }
                Some(_) => {}
            }
        }
        unfit
    }

    /// Whose requests would be taken: of the operator's routes that is any within the area, of other offices' any.
    /// What the operator has at the area's own place, or above it, is what the area is granted out of.
    fn shadows(&self, name: &str, area: &Area, depot: &str, prefix: &str) -> Option<Unfit> {
        let ends = prefix.match_indices('/').filter_map(|(at, _)| prefix.get(..=at));
        for above in ends {
            let of_operator = || {
                let routes = &self.operator.routes;
                routes.binary_search_by(|route| place(route).cmp(&(depot, above))).is_ok()
            };
            if (above == prefix || above.len() > area.prefix.len()) && of_operator() {
                return Some(Unfit::Operator([depot, above].concat()));
            }
            if let Some(other) = self.held.get(&(depot, above)).filter(|other| **other != name) {
                return Some(Unfit::Office([depot, above].concat(), (*other).to_owned()));
            }
        }
        None
    }
}

/// An office's area counts as far as its account still has it.
fn granted(account: &Account, area: &Area) -> bool {
    account.grant.areas.iter().any(|of_account| of_account.holds(&area.depot, &area.prefix))
}

pub(crate) fn place_of(route: &Route) -> Place {
    (route.depot.clone(), route.lane_prefix.clone())
}

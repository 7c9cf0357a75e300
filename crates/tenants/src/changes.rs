//! Changes that offices make of their own routes: read, checked whole, planned, and made into the next ledger.

use crate::fitting::{Ground, place_of};
use crate::ledger::{Account, Entry, Ledger, Office, Place};
use crate::repeats::Made;
use crate::terms::TERMS;
use fallgap_config::document::{Field, Spot, WHOLE, document, whole};
use fallgap_config::{Configuration, Faults, Route, What, host, place, prefix, read_route_rows};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// What an office wants changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The office's edition that it starts from.
    pub base: u64,
    /// Routes to be there, each with its number among the entries.
    pub put: Vec<(Route, usize)>,
    /// Places where there is to be none.
    pub remove: Vec<Place>,
}

/// Who makes a change, and when.
#[derive(Clone, Debug)]
pub struct Maker<'a> {
    pub office: &'a str,
    /// Seconds of the calendar.
    pub at: u64,
    /// By it an order that comes again is known ([`idempotency_key`](crate::idempotency_key)).
    pub idempotency_key: u64,
    pub key: String,
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Add(Route),
    Alter(Route, Route),
    Remove(Route),
}

/// A change that can be applied as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub base: u64,
    pub steps: Vec<Step>,
    /// What is to be kept: with no steps, that the order was taken; none if there is no room for that.
    pub next: Option<Ledger>,
}

/// Why a change is not applied; nothing of it is.
#[derive(Clone, Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum Refused {
    /// no such office
    NoOffice,
    /// the office is at edition {edition} by now
    Stale {
        edition: u64,
        /// What stands now at each place that has changed since.
        changed: Vec<(Place, Option<Route>)>,
    },
    /// {0}
    Faults(Faults),
    /// too many changes within a minute
    Often(Duration),
    /// there is no change to take back
    NothingToUndo,
    /// other content was taken under this number; edition {edition} holds
    Differs { edition: u64 },
}

impl From<Faults> for Refused {
    fn from(faults: Faults) -> Refused {
        Refused::Faults(faults)
    }
}

/// Reads the body of a change; routes stand as in a configuration.
pub fn read_change(body: &[u8], operator: &Configuration) -> Result<Change, Faults> {
    let document = document(body, fallgap_config::TERMS.settings_bytes)?;
    let top = Field::top(&document);
    let mut faults = Faults::default();
    let base = top.field("base").must(&mut faults, WHOLE, whole).unwrap_or_default();
    let names: BTreeSet<Arc<str>> = operator.services.iter().map(|service| service.name.clone()).collect();
    let (table, removed) = (top.field("put"), top.field("remove"));
    if table.value.is_none() && removed.value.is_none() {
        table.needed(&mut faults, "a table of routes, or remove");
    }
    let put = match table.value {
        Some(_) => read_route_rows(&table, &names, TERMS.change, &mut faults),
        None => Vec::new(),
    };
    let mut remove = Vec::new();
    removed.elements(&mut faults, TERMS.change, |faults, field| {
        let depot = field.field("depot").must(faults, "a host", host);
        let prefix = field.field("lane_prefix").must(faults, "a prefix between slashes", prefix);
        remove.extend(depot.zip(prefix).map(|(depot, prefix)| (Arc::from(depot), Arc::from(prefix))));
    });
    faults.or(Change { base, put, remove })
}

/// Reads the body of a call that names nothing but the edition that it starts from.
pub fn read_base(body: &[u8]) -> Result<u64, Faults> {
    let document = document(body, fallgap_config::TERMS.call_bytes)?;
    let mut faults = Faults::default();
    let base = Field::top(&document).field("base").must(&mut faults, WHOLE, whole);
    faults.or(base.unwrap_or_default())
}

/// Checks a change whole, against what the operator has in force and all other offices.
pub fn plan(
    ledger: &Ledger, operator: &Configuration, maker: &Maker<'_>, change: &Change,
) -> Result<Plan, Refused> {
    let (id, account, office) = ledger.office(maker.office).ok_or(Refused::NoOffice)?;
    if change.base != office.edition {
        return Err(Refused::Stale { edition: office.edition, changed: office.changed_since(change.base) });
    }
    planned(ledger, operator, maker, (id, account, office), change, None)
}

/// Takes the office's newest change back, checked like any other; what took a change back can be taken back.
pub fn undo(
    ledger: &Ledger, operator: &Configuration, maker: &Maker<'_>, base: u64,
) -> Result<Plan, Refused> {
    let (id, account, office) = ledger.office(maker.office).ok_or(Refused::NoOffice)?;
    if base != office.edition {
        return Err(Refused::Stale { edition: office.edition, changed: office.changed_since(base) });
    }
    let last = office.trail.back().ok_or(Refused::NothingToUndo)?;
    let mut change = Change { base, put: Vec::new(), remove: Vec::new() };
    for (number, (at, before)) in last.before.iter().enumerate() {
        match before {
            Some(route) => change.put.push((route.clone(), number)),
            None => change.remove.push(at.clone()),
        }
    }
    planned(ledger, operator, maker, (id, account, office), &change, Some(last.edition))
}

fn planned(
    ledger: &Ledger, operator: &Configuration, maker: &Maker<'_>, whose: (&str, &Account, &Office),
    change: &Change, undoes: Option<u64>,
) -> Result<Plan, Refused> {
    let (id, account, office) = whose;
    let mut routes: BTreeMap<Place, Route> = office.routes.iter().map(|r| (place_of(r), r.clone())).collect();
    let mut faults = Faults::default();
    let (mut steps, mut before) = (Vec::new(), Vec::new());
    let removed = Spot::TOP.key("remove");
    for (at, gone) in change.remove.iter().enumerate() {
        match routes.remove(gone) {
            Some(route) => {
                before.push((gone.clone(), Some(route.clone())));
                steps.push(Step::Remove(route));
            }
            None => {
                let what = format!("the office has no route {}{}", gone.0, gone.1);
                faults.add(&removed.at(at), What::Against(what));
            }
        }
    }
    let ground = Ground::new(operator, ledger);
    let (put, gone): (_, BTreeSet<&Place>) = (Spot::TOP.key("put"), change.remove.iter().collect());
    let entries = put.key("entries");
    for (route, number) in &change.put {
        let (spot, at) = (entries.at(*number), place_of(route));
        for unfit in ground.unfit(account, maker.office, office, route) {
            faults.add(&spot, What::Against(unfit.to_string()));
        }
        if gone.contains(&at) {
            faults.add(&spot, What::Against("is to be removed as well".into()));
        }
        let old = routes.insert(at.clone(), route.clone());
        if old.as_ref() != Some(route) {
            steps.push(match old.clone() {
                Some(old) => Step::Alter(old, route.clone()),
                None => Step::Add(route.clone()),
            });
            before.push((at, old));
        }
    }
    over_limits(account, office, routes.len(), &mut faults);
    faults.or(())?;
    often(account, office, maker.at)?;
    if steps.is_empty() {
        return Ok(Plan { base: office.edition, steps, next: remembered(ledger, maker, (id, office)) });
    }
    let edition = ledger.revision + 1;
    let (at, idempotency_key, key) = (maker.at, maker.idempotency_key, maker.key.clone());
    let entry = Entry { edition, base: office.edition, at, idempotency_key, key, undoes, before };
    let mut next = ledger.clone();
    next.revision = edition;
    let of_account = next.accounts.get_mut(id).ok_or(Refused::NoOffice)?;
    let held = of_account.offices.get_mut(maker.office).ok_or(Refused::NoOffice)?;
    let forgotten = held.take(entry, routes.into_values().collect());
    next.remember(forgotten.into_iter().map(|entry| Made {
        office: maker.office.to_owned(),
        idempotency_key: entry.idempotency_key,
        edition: entry.edition,
        touched: entry.before.len() as u64,
    }));
    let mut faults = Faults::default();
    if next.encode().len() > TERMS.bytes {
        faults.add(&Spot::TOP, What::Against("all accounts together are full".into()));
    }
    faults.or(())?;
    Ok(Plan { base: office.edition, steps, next: Some(next) })
}

/// An order that alters nothing is acknowledged, and so it is known when it comes again, whatever came since. The
/// office's edition stays, and there is nothing to take back. None if there is no room for it: then it is acknowledged
/// without being known.
fn remembered(ledger: &Ledger, maker: &Maker<'_>, (id, office): (&str, &Office)) -> Option<Ledger> {
    let (office, edition) = (maker.office.to_owned(), office.edition);
    let mut next = ledger.clone();
    next.revision += 1;
    next.accounts.get_mut(id)?.offices.get_mut(maker.office)?.note(maker.at);
    next.remember([Made { office, idempotency_key: maker.idempotency_key, edition, touched: 0 }]);
    (next.encode().len() <= TERMS.bytes).then_some(next)
}

/// A change that leaves no more routes than before is not held up by a limit that was lowered meanwhile.
fn over_limits(account: &Account, office: &Office, wanted: usize, faults: &mut Faults) {
    let before = office.routes.len();
    let sum = account.routes() - before + wanted;
    let limits = [
        ("the office", wanted, office.slice.allowance.routes),
        ("the account", sum, account.grant.allowance.routes),
    ];
    for (whose, count, most) in limits {
        if wanted > before && count > most as usize {
            let what = format!("{whose} would have {count} routes, {most} at most");
            faults.add(&Spot::TOP, What::Against(what));
        }
    }
}

/// Whether the office, or all of its account, have made as many changes in the last minute as they may.
fn often(account: &Account, office: &Office, now: u64) -> Result<(), Refused> {
    let of_office = office.recent.as_slice();
    let all: Vec<u64> = account.offices.values().flat_map(|office| office.recent.iter().copied()).collect();
    let limits = [
        (of_office, office.slice.allowance.changes_a_minute),
        (all.as_slice(), account.grant.allowance.changes_a_minute),
    ];
    for (times, most) in limits {
        let most = (most as usize).min(TERMS.recent);
        let mut within: Vec<u64> = times.iter().copied().filter(|at| is_recent(*at, now)).collect();
        if within.len() >= most {
            within.sort_unstable();
            // As many have to leave the minute as stand over the limit, and one more.
            let first = within.get(within.len() - most).copied().unwrap_or(now);
            let again = TERMS.minute.as_secs().saturating_sub(now.saturating_sub(first)).max(1);
            return Err(Refused::Often(Duration::from_secs(again)));
        }
    }
    Ok(())
}

/// Within a minute, by clocks that may differ a little: what is ahead counts too, but not for ever.
fn is_recent(at: u64, now: u64) -> bool {
    at.abs_diff(now) < TERMS.minute.as_secs()
}

impl Office {
    /// What stands now at each place that has changed since an edition; all, if that is too long ago.
    pub fn changed_since(&self, base: u64) -> Vec<(Place, Option<Route>)> {
        let mut places: BTreeSet<Place> = BTreeSet::new();
        let since = self.trail.iter().filter(|entry| entry.edition > base);
        places.extend(since.flat_map(|entry| entry.before.iter().map(|(at, _)| at.clone())));
        if self.trail.front().is_none_or(|first| first.base > base) {
            places.extend(self.routes.iter().map(place_of));
        }
        let now = |at: &Place| self.routes.iter().find(|route| place(route) == (&*at.0, &*at.1)).cloned();
        places.into_iter().map(|at| (at.clone(), now(&at))).collect()
    }

    /// It had a change carried out.
    fn note(&mut self, now: u64) {
        self.recent.retain(|at| is_recent(*at, now));
        self.recent.push(now);
        let over = self.recent.len().saturating_sub(TERMS.recent);
        self.recent.drain(..over);
    }

    /// Hands out the changes that its trail holds no more.
    fn take(&mut self, entry: Entry, routes: Vec<Route>) -> Vec<Entry> {
        self.edition = entry.edition;
        self.routes = routes;
        self.note(entry.at);
        self.trail.push_back(entry);
        let aside = |entries: &std::collections::VecDeque<Entry>| -> usize {
            entries.iter().map(|entry| entry.before.len()).sum()
        };
        let mut forgotten = Vec::new();
        while self.trail.len() > TERMS.trail
            || (self.trail.len() > 1 && aside(&self.trail) > TERMS.trail_routes)
        {
            forgotten.extend(self.trail.pop_front());
        }
        forgotten
    }
}

//! All accounts, as they are kept.

use crate::keys::KeyHash;
use crate::repeats::{Again, Made, Taken};
use crate::terms::TERMS;
use fallgap_config::{Allowance, Route, RouteClass};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Rises by one with each change of anything here.
    pub revision: u64,
    pub accounts: BTreeMap<String, Account>,
    /// The operator's newest orders, the last one at the end. They stand behind all else, where a text before this one
    /// reads no further.
    #[serde(skip)]
    pub taken: VecDeque<Taken>,
    /// Changes of offices that their trails hold no more, and orders that altered nothing, the last one at the end. They
    /// stand there too.
    #[serde(skip)]
    pub made: VecDeque<Made>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Of the operator's order.
    pub edition: u64,
    pub grant: Grant,
    /// No two offices have the same name, in whatever accounts.
    pub offices: BTreeMap<String, Office>,
}

/// What an account may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    pub areas: Vec<Area>,
    /// Services with the largest share of a route's requests that may go to each.
    pub services: BTreeMap<String, f64>,
    pub classes: BTreeSet<RouteClass>,
    pub offices: u32,
    /// The best that a route may have; 0 is the highest.
    pub priority: u8,
    pub attempts: u32,
    /// Of all offices together.
    pub allowance: Allowance,
}

/// A host, and the prefix that routes there begin with.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Area {
    pub depot: String,
    pub prefix: String,
}

/// What an office has of its account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slice {
    /// None of its own: those of the account.
    pub areas: Vec<Area>,
    pub allowance: Allowance,
    pub keys: Vec<KeyHash>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Office {
    pub slice: Slice,
    /// The ledger's revision with which its routes changed last; 0: never.
    pub edition: u64,
    /// By host and prefix.
    pub routes: Vec<Route>,
    /// Its newest changes, the last one at the end.
    pub trail: VecDeque<Entry>,
    /// When it changed something within the last minute, in seconds of the calendar.
    pub recent: Vec<u64>,
}

/// Where a route stands: its host and its prefix.
pub type Place = (Arc<str>, Arc<str>);

/// A change that an office made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub edition: u64,
    /// The office's edition that it started from.
    pub base: u64,
    /// Seconds of the calendar, by the supervisor that took it.
    pub at: u64,
    /// By it the same order is known when it comes again.
    pub idempotency_key: u64,
    /// The first digits of the key's hash that it was made with.
    pub key: String,
    /// The change that it takes back.
    pub undoes: Option<u64>,
    /// What stood at the places that it touched.
    pub before: Vec<(Place, Option<Route>)>,
}

/// what is kept of accounts cannot be read
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct UnreadableLedger;

impl Area {
    pub fn holds(&self, depot: &str, prefix: &str) -> bool {
        self.depot == depot && prefix.starts_with(&self.prefix)
    }

    /// Whether there is a place in both.
    pub fn meets(&self, other: &Area) -> bool {
        self.holds(&other.depot, &other.prefix) || other.holds(&self.depot, &self.prefix)
    }
}

impl Ledger {
    /// # Errors
    /// [`UnreadableLedger`].
    pub fn decode(bytes: &[u8]) -> Result<Ledger, UnreadableLedger> {
        let read = |bytes| -> postcard::Result<Ledger> {
            let (mut ledger, rest) = postcard::take_from_bytes::<Ledger>(bytes)?;
            if !rest.is_empty() {
                (ledger.taken, ledger.made) = postcard::from_bytes(rest)?;
            }
            Ok(ledger)
        };
        read(bytes).map_err(|_| UnreadableLedger)
    }

    pub fn encode(&self) -> Vec<u8> {
        // Plain values: this fails only for want of memory.
        let bytes = postcard::to_stdvec(self);
        bytes.and_then(|bytes| postcard::to_extend(&(&self.taken, &self.made), bytes)).unwrap_or_default()
    }

    /// An office with its account and the account's name.
    pub fn office(&self, name: &str) -> Option<(&str, &Account, &Office)> {
        let found =
            |(id, account): (&'_ String, &'_ Account)| account.offices.contains_key(name).then(|| id.clone());
        let id = self.accounts.iter().find_map(found)?;
        let (id, account) = self.accounts.get_key_value(&id)?;
        Some((id, account, account.offices.get(name)?))
    }

    /// The change that an order made, if it is remembered; the order has come again.
    pub fn made_by(&self, name: &str, idempotency_key: u64) -> Option<Again> {
        let (_, account, office) = self.office(name)?;
        if let Some(entry) = office.made_by(idempotency_key) {
            let places: Vec<Place> = entry.before.iter().map(|(place, _)| place.clone()).collect();
            return Some(Again { edition: entry.edition, touched: places.len(), places });
        }
        let made = self.made.iter().rev();
        let made = made.filter(|made| made.office == name);
        let made = made.into_iter().find(|made| made.idempotency_key == idempotency_key)?;
        let areas = account.areas(&office.slice).iter();
        let places = areas.map(|area| (area.depot.as_str().into(), area.prefix.as_str().into())).collect();
        Some(Again { edition: made.edition, touched: made.touched as usize, places })
    }

    /// Orders of offices that no trail holds; the oldest are let go.
    pub(crate) fn remember(&mut self, made: impl IntoIterator<Item = Made>) {
        self.made.extend(made);
        let over = self.made.len().saturating_sub(TERMS.orders);
        self.made.drain(..over);
    }

    /// Whether a key opens an office; an office that is not there is opened by none.
    pub fn opens(&self, office: &str, key: &KeyHash) -> bool {
        self.office(office).is_some_and(|(_, _, office)| office.slice.keys.contains(key))
    }
}

impl Account {
    pub fn routes(&self) -> usize {
        self.offices.values().map(|office| office.routes.len()).sum()
    }

    /// The areas of an office: within those of the account.
    pub fn areas<'a>(&'a self, slice: &'a Slice) -> &'a [Area] {
        if slice.areas.is_empty() { &self.grant.areas } else { &slice.areas }
    }
}

impl Office {
    pub fn new(slice: Slice) -> Office {
        Office { slice, edition: 0, routes: Vec::new(), trail: VecDeque::new(), recent: Vec::new() }
    }

    /// The change that was made by this order, if it is one of the newest.
    pub fn made_by(&self, idempotency_key: u64) -> Option<&Entry> {
        self.trail.iter().rev().find(|entry| entry.idempotency_key == idempotency_key)
    }
}

//! Addresses of targets, as last told, within a bound.

use hickory_proto::rr::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

/// A and AAAA are told apart, and each has its own lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Family {
    V4,
    V6,
}

struct Held {
    addresses: Vec<IpAddr>,
    until: Duration,
}

/// What is past its lifetime stays until it is told anew, or room is needed: a target whose addresses cannot
/// be asked for is where it was.
pub struct Addresses {
    held: BTreeMap<(Name, Family), Held>,
    by_end: BTreeSet<(Duration, Name, Family)>,
    most: usize,
}

impl Addresses {
    pub fn within(most: usize) -> Addresses {
        Addresses { held: BTreeMap::new(), by_end: BTreeSet::new(), most: most.max(1) }
    }

    pub fn told(&mut self, name: &Name, family: Family, addresses: Vec<IpAddr>, until: Duration) {
        let key = (name.clone(), family);
        if let Some(before) = self.held.remove(&key) {
            self.by_end.remove(&(before.until, name.clone(), family));
        }
        while self.held.len() >= self.most {
            let Some((_, name, family)) = self.by_end.pop_first() else { break };
            self.held.remove(&(name, family));
        }
        self.by_end.insert((until, name.clone(), family));
        self.held.insert(key, Held { addresses, until });
    }

    /// Whether they have to be asked for.
    pub fn wants(&self, now: Duration, name: &Name, family: Family) -> bool {
        self.held.get(&(name.clone(), family)).is_none_or(|held| now >= held.until)
    }

    /// The addresses of a target, and when the first of them has to be asked for again.
    pub fn of(&self, name: &Name) -> (Vec<IpAddr>, Option<Duration>) {
        let held = [Family::V4, Family::V6].map(|family| self.held.get(&(name.clone(), family)));
        let held = || held.iter().flatten();
        (held().flat_map(|h| h.addresses.iter().copied()).collect(), held().map(|h| h.until).min())
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }
}

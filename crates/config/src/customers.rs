//! Customers: who may send requests, by which keys, and how many.

use std::collections::HashMap;
use std::sync::Arc;

/// One customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    pub name: Arc<str>,
    /// Any of them may stand in a request.
    pub keys: Vec<Arc<str>>,
    /// 0 is the highest; it weighs more than the route's.
    pub priority: u8,
    /// Requests a second over all supervisors together; 0: no limit.
    pub rate_per_second: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

impl Customer {
    pub fn is_limited(&self) -> bool {
        self.rate_per_second > 0.0
    }
}

/// All customers of a configuration, found by their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customers {
    /// By name.
    list: Vec<Customer>,
    by_key: HashMap<Arc<str>, usize>,
    lowest_priority: u8,
    has_limits: bool,
}

impl Customers {
    /// `None`: two customers have the same name or the same key.
    pub fn new(mut list: Vec<Customer>) -> Option<Customers> {
        list.sort_by(|a, b| a.name.cmp(&b.name));
        if !list.is_sorted_by(|a, b| a.name < b.name) {
            return None;
        }
        let mut by_key = HashMap::with_capacity(list.len());
        for (at, customer) in list.iter().enumerate() {
            for key in &customer.keys {
                if by_key.insert(key.clone(), at).is_some_and(|before| before != at) {
                    return None;
                }
            }
        }
        let lowest_priority = list.iter().map(|customer| customer.priority).max().unwrap_or(0);
        let has_limits = list.iter().any(Customer::is_limited);
        Some(Customers { list, by_key, lowest_priority, has_limits })
    }

    /// Whose key it is.
    pub fn of_key(&self, key: &str) -> Option<&Customer> {
        self.list.get(*self.by_key.get(key)?)
    }

    pub fn named(&self, name: &str) -> Option<&Customer> {
        let at = self.list.binary_search_by(|customer| (*customer.name).cmp(name)).ok()?;
        self.list.get(at)
    }

    /// By name.
    pub fn all(&self) -> &[Customer] {
        &self.list
    }

    /// Whether any of them has a quota.
    pub fn has_limits(&self) -> bool {
        self.has_limits
    }

    pub fn lowest_priority(&self) -> u8 {
        self.lowest_priority
    }
}

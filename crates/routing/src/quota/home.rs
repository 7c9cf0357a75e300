//! The tokens of the customers of one part, granted to fronts.

use super::{QuotaAsk, QuotaGrant, QuotaTerms, Room};
use fallgap_config::Customer;
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

/// Customers that a home keeps at once; beyond, those that nobody asked for of late are let go of.
const MOST: usize = 50_000;

#[derive(Clone, Copy, Debug)]
struct Granted {
    tokens: u32,
    at: Duration,
}

struct Bucket {
    tokens: f64,
    filled: Duration,
    /// What fronts hold unspent.
    held: BTreeMap<Ipv4Addr, Granted>,
}

impl Bucket {
    fn fill(&mut self, now: Duration, rate: f64, room: &Room) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(room.depth.max(1.0));
        self.filled = now;
    }

    fn held(&self) -> u32 {
        self.held.values().map(|granted| granted.tokens).sum()
    }

    /// Up to so many, whole.
    fn grant(&mut self, most: u32) -> u32 {
        let granted = most.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(granted);
        granted
    }
}

/// What one supervisor grants as the home of some parts.
#[derive(Default)]
pub struct QuotaHome {
    terms: QuotaTerms,
    buckets: HashMap<Arc<str>, Bucket>,
}

impl QuotaHome {
    pub fn new(terms: QuotaTerms) -> QuotaHome {
        QuotaHome { terms, buckets: HashMap::new() }
    }

    pub fn set_terms(&mut self, terms: QuotaTerms) {
        self.terms = terms;
    }

    /// It has become the home of parts of which it was not, or is it no longer: nothing of before counts.
    pub fn keep(&mut self, is_home: impl Fn(&str) -> bool) {
        self.buckets.retain(|customer, _| is_home(customer));
    }

    /// A front asks for a customer's tokens. `since`: when this became the customer's home; what it had granted by then is not
    /// known.
    pub fn ask(
        &mut self, now: Duration, since: Duration, front: Ipv4Addr, customer: &Customer, ask: &QuotaAsk,
    ) -> QuotaGrant {
        let room = self.terms.room(customer);
        if self.buckets.len() >= MOST && !self.buckets.contains_key(&ask.customer) {
            self.forget(now);
        }
        let bucket = self.buckets.entry(ask.customer.clone()).or_insert_with(|| Bucket {
            tokens: 0.0,
            filled: since,
            held: BTreeMap::new(),
        });
        bucket.fill(now, customer.rate_per_second, &room);
        let forgotten = self.terms.forgotten;
        bucket.held.retain(|_, granted| now < granted.at + forgotten);
        let known = bucket.held.get(&front).map_or(0, |granted| granted.tokens);
        // No more comes back than was granted.
        bucket.tokens = (bucket.tokens + f64::from(ask.returns.min(known))).min(room.depth.max(1.0));
        bucket.held.insert(front, Granted { tokens: ask.holds, at: now });
        let needed = bucket.grant(ask.needs);
        let free = (room.held as u32).saturating_sub(bucket.held());
        let more = if needed == ask.needs { bucket.grant(ask.wants.min(free)) } else { 0 };
        bucket.held.insert(front, Granted { tokens: ask.holds + more, at: now });
        if ask.holds + more == 0 {
            bucket.held.remove(&front);
        }
        // Until the bucket could have filled, a want says nothing of the quota.
        let is_young = now < since + self.terms.window;
        let is_over = needed < ask.needs && !is_young;
        QuotaGrant { customer: ask.customer.clone(), granted: needed + more, is_over }
    }

    fn forget(&mut self, now: Duration) {
        let idle = self.terms.forgotten;
        self.buckets.retain(|_, bucket| now < bucket.filled + idle);
    }

    /// The tokens of a customer that are left, and what fronts hold of it.
    pub fn left(&self, customer: &str) -> Option<(f64, u32)> {
        self.buckets.get(customer).map(|bucket| (bucket.tokens, bucket.held()))
    }
}

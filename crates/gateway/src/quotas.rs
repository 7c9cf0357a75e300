//! Homes of customers' quotas. Each part of the customers has one home at a time: the keeper that holds the part's lock, a lease
//! on a majority of disks. Who holds it grants tokens until a moment before the lease could be another's. The first of the part's
//! keepers takes the lock, and if it does not, another one in turn.

use crate::calls::by_key;
use fallgap_config::Customers;
use fallgap_control_state::{Answer, Call, Key};
use fallgap_routing::{QuotaAsk, QuotaGrant, QuotaHome, QuotaTerms, SHARDS, shard_of};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

/// A part's lock is held for so long, counted from when it was asked for.
const HOLD: Duration = Duration::from_millis(2000);
/// Keepers give a lock away no sooner than it ends by the holder's clock; this is for what is under way.
const HOLD_MARGIN: Duration = Duration::from_millis(200);
/// A lock that is held is asked for again after so long, and one that is not, or is another's.
const RENEW: Duration = Duration::from_millis(600);
const RETRY: Duration = Duration::from_millis(300);
/// A lock that nobody holds is left so long to each keeper that stands before this one.
const TURN: Duration = Duration::from_millis(250);
/// A home that has not answered for so long is looked for elsewhere.
const SILENT_HOME: Duration = Duration::from_millis(650);
/// A call that was not answered by then is made again.
const UNANSWERED: Duration = Duration::from_millis(1000);

/// One part's lease.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    /// The fence, and until when it may be gone by.
    held: Option<(u64, Duration)>,
    /// When this supervisor became the home.
    since: Duration,
    /// When the lock was asked for, if that is not answered.
    asked: Option<Duration>,
    next: Duration,
    /// Since when nobody is known to hold it.
    free: Option<Duration>,
}

impl Lease {
    fn is_held(&self, now: Duration) -> bool {
        self.held.is_some_and(|(_, until)| now < until)
    }
}

/// Where a part's home is looked for: a place among its keepers, and since when that one has not answered.
#[derive(Clone, Copy, Debug, Default)]
struct Search {
    at: usize,
    waits: Option<Duration>,
}

impl Search {
    fn next(&mut self, keepers: usize) {
        self.at = (self.at + 1) % keepers.max(1);
        self.waits = None;
    }
}

/// What this supervisor does for quotas besides spending tokens.
pub struct Quotas {
    me: Ipv4Addr,
    holder: String,
    leases: [Lease; SHARDS as usize],
    home: QuotaHome,
    /// Where the home of each part is looked for.
    searches: [Search; SHARDS as usize],
}

/// The name of a part's lock: no caller's lock has a slash.
fn lock_name(shard: u32) -> String {
    format!("quota/{shard}")
}

/// Keepers in the order in which they are to be a part's home.
fn order(shard: u32, keepers: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
    by_key(&Key::Lock(lock_name(shard)), keepers.to_vec())
}

impl Quotas {
    /// The holder of its locks is the machine: a process that starts anew has them at once, and begins with empty buckets.
    pub fn new(me: Ipv4Addr, terms: QuotaTerms) -> Quotas {
        let holder = me.to_string();
        let leases = [Lease::default(); SHARDS as usize];
        let searches = [Search::default(); SHARDS as usize];
        Quotas { me, holder, leases, home: QuotaHome::new(terms), searches }
    }

    pub fn set_terms(&mut self, terms: QuotaTerms) {
        self.home.set_terms(terms);
    }

    /// Who is there has changed: homes are looked for from the first one on.
    pub fn keepers_changed(&mut self) {
        self.searches = [Search::default(); SHARDS as usize];
    }

    /// Locks to be asked for, renewed or given back, by their parts. `keepers`: those that may be homes. `holder`: who has a lock, as
    /// far as this keeper's disk knows. `may_hold`: this one is to be a home at all.
    pub fn woke(
        &mut self, now: Duration, keepers: &[Ipv4Addr], holder: impl Fn(&str) -> Option<String>,
        may_hold: bool,
    ) -> Vec<(u32, Call)> {
        let mut calls = Vec::new();
        for (shard, lease) in (0..SHARDS).zip(&mut self.leases) {
            let is_asked = lease.asked.is_some_and(|at| now < at + UNANSWERED);
            if now < lease.next || is_asked {
                continue;
            }
            let name = lock_name(shard);
            let is_free = holder(&name).is_none_or(|holder| holder == self.holder);
            let free = if is_free { lease.free.or(Some(now)) } else { None };
            lease.free = free;
            let place = order(shard, keepers).iter().position(|keeper| *keeper == self.me);
            let is_due = |place: usize| free.is_some_and(|since| now >= since + TURN * place as u32);
            let is_own = lease.held.is_some() || place.is_some_and(is_due);
            if is_own && may_hold {
                lease.asked = Some(now);
                lease.next = now + RENEW;
                calls.push((shard, Call::LockStart { name, holder: self.holder.clone(), hold: HOLD }));
            } else {
                lease.next = now + RETRY;
                let held = lease.held.take();
                let end = |(fence, _)| Call::LockEnd { name, holder: self.holder.clone(), fence };
                calls.extend(held.map(|held| (shard, end(held))));
            }
        }
        calls
    }

    pub fn next_wake(&self) -> Option<Duration> {
        self.leases
            .iter()
            .map(|lease| lease.asked.map_or(lease.next, |at| lease.next.max(at + UNANSWERED)))
            .min()
    }

    /// The answer to a call for a part's lock.
    pub fn answered(&mut self, now: Duration, shard: u32, answer: &Answer) {
        let Some(lease) = self.leases.get_mut(shard as usize) else { return };
        let Some(asked) = lease.asked.take() else { return };
        let Answer::Fence(fence) = *answer else {
            lease.next = now + RETRY;
            if *answer == Answer::Held {
                lease.held = None;
            }
            return;
        };
        let until = asked + HOLD - HOLD_MARGIN;
        // Another may have held it in between, unless it was this one's all the while.
        let goes_on = lease.held.is_some_and(|(before, until)| before == fence && now < until);
        if !goes_on {
            lease.since = now;
            self.home.keep(|customer| shard_of(customer) != shard);
        }
        lease.held = Some((fence, until));
    }

    /// A front asks. `None`: this is not the customer's home, or it has no such limit.
    pub fn ask(
        &mut self, now: Duration, front: Ipv4Addr, customers: &Customers, ask: &QuotaAsk,
    ) -> Option<QuotaGrant> {
        let lease = self.leases.get(shard_of(&ask.customer) as usize).filter(|lease| lease.is_held(now))?;
        let customer = customers.named(&ask.customer).filter(|customer| customer.is_limited())?;
        Some(self.home.ask(now, lease.since, front, customer, ask))
    }

    /// Where a customer's home is looked for. One that has not answered for too long is passed over.
    pub fn home_of(&mut self, now: Duration, customer: &str, keepers: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        let shard = shard_of(customer);
        let order = order(shard, keepers);
        let search = self.searches.get_mut(shard as usize)?;
        if search.waits.is_some_and(|since| now >= since + SILENT_HOME) {
            search.next(order.len());
        }
        search.waits = search.waits.or(Some(now));
        order.get(search.at).copied()
    }

    /// A customer's home has answered.
    pub fn home_answers(&mut self, customer: &str, from: Ipv4Addr, keepers: &[Ipv4Addr]) {
        let shard = shard_of(customer);
        let Some(at) = order(shard, keepers).iter().position(|keeper| *keeper == from) else { return };
        if let Some(search) = self.searches.get_mut(shard as usize) {
            *search = Search { at, waits: None };
        }
    }

    /// That keeper is not the customer's home. Tells whether another one is to be asked at once; after the last one the first is
    /// asked again later.
    pub fn not_home(&mut self, customer: &Arc<str>, from: Ipv4Addr, keepers: &[Ipv4Addr]) -> bool {
        let shard = shard_of(customer);
        let order = order(shard, keepers);
        let Some(search) = self.searches.get_mut(shard as usize) else { return false };
        if order.get(search.at) != Some(&from) {
            return false;
        }
        search.next(order.len());
        search.at > 0
    }

    /// Parts of which this supervisor is the home.
    pub fn parts_held(&self, now: Duration) -> usize {
        self.leases.iter().filter(|lease| lease.is_held(now)).count()
    }
}

#[cfg(test)]
#[path = "../tests/inner/quotas.rs"]
mod tests;

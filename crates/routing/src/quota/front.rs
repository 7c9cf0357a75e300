//! The tokens that one supervisor holds, and the requests that wait for some.

use super::{QuotaAsk, QuotaGrant, QuotaTerms};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How the recent rate of a customer follows: the part of a second's figure that is taken over.
const FOLLOWS: f64 = 0.5;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It has a token.
    Now,
    /// It waits.
    Waits,
}

/// Tokens of one customer.
struct Held<T> {
    tokens: u32,
    waiting: VecDeque<(Duration, T)>,
    /// When the home was asked and has not answered yet.
    asked: Option<Duration>,
    /// None for later requests is asked for before that.
    spare_at: Duration,
    /// When a request came last.
    used: Duration,
    /// Requests in the present second, and a second of late.
    second: Duration,
    count: u32,
    rate: f64,
}

impl<T> Held<T> {
    fn new(now: Duration) -> Held<T> {
        Held {
            tokens: 0,
            waiting: VecDeque::new(),
            asked: None,
            spare_at: now,
            used: now,
            second: now,
            count: 0,
            rate: 0.0,
        }
    }

    fn came(&mut self, now: Duration) {
        self.used = now;
        let passed = now.saturating_sub(self.second).as_secs_f64();
        if passed >= 1.0 {
            self.rate += (f64::from(self.count) / passed - self.rate) * FOLLOWS;
            (self.second, self.count) = (now, 0);
        }
        self.count += 1;
    }

    /// How many it should hold for what comes next.
    fn wish(&self, now: Duration, terms: &QuotaTerms) -> u32 {
        if now > self.used + terms.idle {
            return 0;
        }
        (self.rate.ceil() as u32).clamp(1, terms.hold_most)
    }

    /// Whether the home has something to hear.
    fn is_due(&self, now: Duration, terms: &QuotaTerms) -> bool {
        let answered = self.asked.is_none_or(|at| now >= at + terms.resend);
        let wish = self.wish(now, terms);
        let spare = now >= self.spare_at && self.tokens < wish.div_ceil(2);
        let gives_back = self.tokens > 0 && wish == 0;
        answered && (!self.waiting.is_empty() || spare || gives_back)
    }

    fn ask(&mut self, now: Duration, customer: &Arc<str>, terms: &QuotaTerms) -> QuotaAsk {
        let wish = self.wish(now, terms);
        let returns = if wish == 0 { self.tokens } else { 0 };
        self.tokens -= returns;
        self.asked = Some(now);
        QuotaAsk {
            customer: customer.clone(),
            needs: self.waiting.len() as u32,
            holds: self.tokens,
            wants: if now >= self.spare_at { wish.saturating_sub(self.tokens) } else { 0 },
            returns,
        }
    }
}

/// Tokens of all customers; `T` names a request that waits.
pub struct QuotaFront<T> {
    terms: QuotaTerms,
    customers: HashMap<Arc<str>, Held<T>>,
    /// Those that may have something to say to their homes.
    changed: Vec<Arc<str>>,
    look: Duration,
}

impl<T> QuotaFront<T> {
    pub fn new(terms: QuotaTerms) -> QuotaFront<T> {
        QuotaFront { terms, customers: HashMap::new(), changed: Vec::new(), look: Duration::ZERO }
    }

    pub fn set_terms(&mut self, terms: QuotaTerms) {
        self.terms = terms;
    }

    /// A request of a customer takes a token, or waits for one.
    pub fn take(&mut self, now: Duration, customer: &Arc<str>, request: T) -> Taken {
        let held = self.customers.entry(customer.clone()).or_insert_with(|| Held::new(now));
        held.came(now);
        let taken = if held.tokens > 0 {
            held.tokens -= 1;
            Taken::Now
        } else {
            held.waiting.push_back((now, request));
            Taken::Waits
        };
        if held.is_due(now, &self.terms) {
            self.changed.push(customer.clone());
        }
        taken
    }

    /// A token that was taken is not spent: nothing was sent.
    pub fn put_back(&mut self, customer: &str) {
        if let Some(held) = self.customers.get_mut(customer) {
            held.tokens += 1;
        }
    }

    /// A home has answered. Hands out the requests that have a token now, and those that are over the quota.
    pub fn granted(&mut self, now: Duration, grant: &QuotaGrant) -> (Vec<T>, Vec<T>) {
        let Some(held) = self.customers.get_mut(&grant.customer) else { return (Vec::new(), Vec::new()) };
        // A home that has none now is not asked again at once.
        held.asked = (grant.granted == 0).then_some(now);
        held.tokens += grant.granted;
        if grant.granted as usize <= held.waiting.len() {
            held.spare_at = now + self.terms.idle;
        }
        let mut ready = Vec::new();
        while held.tokens > 0
            && let Some((_, request)) = held.waiting.pop_front()
        {
            held.tokens -= 1;
            ready.push(request);
        }
        let over = if grant.is_over {
            held.waiting.drain(..).map(|(_, request)| request).collect()
        } else {
            Vec::new()
        };
        if !held.waiting.is_empty() && grant.granted > 0 {
            self.changed.push(grant.customer.clone());
        }
        (ready, over)
    }

    /// The supervisor that was asked is not the customer's home: another one is to be asked at once.
    pub fn not_home(&mut self, customer: &Arc<str>) {
        if let Some(held) = self.customers.get_mut(customer) {
            held.asked = None;
            self.changed.push(customer.clone());
        }
    }

    /// What is to be asked of homes now.
    pub fn asks(&mut self, now: Duration) -> Vec<QuotaAsk> {
        if now >= self.look {
            self.look = now + self.terms.resend / 2;
            self.changed = self.customers.keys().cloned().collect();
            self.forget(now);
        }
        let mut asks = Vec::new();
        for customer in std::mem::take(&mut self.changed) {
            if let Some(held) = self.customers.get_mut(&customer)
                && held.is_due(now, &self.terms)
            {
                asks.push(held.ask(now, &customer, &self.terms));
            }
        }
        asks
    }

    fn forget(&mut self, now: Duration) {
        let idle = self.terms.forgotten;
        let kept = |held: &Held<T>| held.tokens > 0 || !held.waiting.is_empty() || now < held.used + idle;
        self.customers.retain(|_, held| kept(held));
    }

    /// Requests that have waited for too long.
    pub fn late(&mut self, now: Duration) -> Vec<T> {
        let patience = self.terms.patience;
        let mut late = Vec::new();
        for held in self.customers.values_mut() {
            while held.waiting.front().is_some_and(|(since, _)| now >= *since + patience) {
                late.extend(held.waiting.pop_front().map(|(_, request)| request));
            }
        }
        late
    }

    pub fn next_wake(&self) -> Option<Duration> {
        if self.customers.is_empty() {
            return None;
        }
        if !self.changed.is_empty() {
            return Some(Duration::ZERO);
        }
        let busy = self.customers.values().any(|held| !held.waiting.is_empty() || held.tokens > 0);
        busy.then_some(self.look)
    }

    /// Tokens held, and requests that wait.
    pub fn held(&self) -> (u64, u64) {
        let tokens = self.customers.values().map(|held| u64::from(held.tokens)).sum();
        let waiting = self.customers.values().map(|held| held.waiting.len() as u64).sum();
        (tokens, waiting)
    }
}

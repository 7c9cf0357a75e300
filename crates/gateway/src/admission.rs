//! Words between supervisors for what requests need before they go to a server: claims on operations, and tokens of quotas.

use crate::calls::{self, Caller};
use crate::engine::Engine;
use crate::words::Word;
use fallgap_config::{Bounds, Customers};
use fallgap_membership::State;
use fallgap_proxy::{KEYED_DEADLINE, PeerMessage};
use fallgap_routing::{QuotaAsk, QuotaGrant, QuotaTerms, RATE_MARGIN};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

/// What binds quotas, by the settings.
pub fn quota_terms(bounds: &Bounds) -> QuotaTerms {
    QuotaTerms {
        window: bounds.quota_window,
        excess: bounds.quota_excess,
        slack: bounds.quota_slack,
        ..QuotaTerms::default()
    }
}

/// An operation is carried out by nobody else for so long: the window from when it was sent, by clocks that differ.
pub fn claim_lifetime(bounds: &Bounds) -> Duration {
    let whole = bounds.stamp_window + KEYED_DEADLINE;
    whole + whole / RATE_MARGIN
}

impl Engine {
    /// The customers, if there are any.
    fn customers(&self) -> Option<Arc<Customers>> {
        self.view.as_ref()?.configuration.customers.clone()
    }

    /// Those that may vote on claims: machines with a disk that are not gone.
    fn voters(&self) -> Vec<Ipv4Addr> {
        let there = self.beacon.peers().filter(|peer| peer.card.disk.is_some() && peer.state != State::Gone);
        let others = there.map(|peer| peer.card.node);
        others.chain(self.disk.as_ref().map(|_| self.me)).collect()
    }

    /// Who is there has changed.
    pub fn admission_view_changed(&mut self) {
        let (me, voters) = (self.me, self.voters());
        self.quotas.keepers_changed();
        self.quay.iter_mut().for_each(|quay| quay.members(me, voters.clone()));
    }

    /// Carries out what the proxy wants of others.
    pub fn carry_admission(&mut self, now: Duration) -> bool {
        let peer_messages = self.quay.as_mut().map(|quay| quay.peer_messages(now)).unwrap_or_default();
        let any = !peer_messages.is_empty();
        let mut asks: BTreeMap<Ipv4Addr, Vec<QuotaAsk>> = BTreeMap::new();
        let keepers = if any { self.keepers() } else { Vec::new() };
        for message in peer_messages {
            match message {
                PeerMessage::Member(to, message) if to == self.me => self.keeper.attempt_here(now, message),
                PeerMessage::Member(to, message) => self.say(now, to, Word::Keeper(message)),
                PeerMessage::AskOwner { number, operation, attempt } => {
                    self.say(now, attempt.node, Word::OperationAsked { number, operation, attempt });
                }
                PeerMessage::Quota(ask) => {
                    let home = self.quotas.home_of(now, &ask.customer, &keepers);
                    home.into_iter().for_each(|home| asks.entry(home).or_default().push(ask.clone()));
                }
            }
        }
        for (home, asks) in asks {
            self.say(now, home, Word::QuotaAsked(asks));
        }
        any
    }

    /// A front asks this supervisor for tokens.
    pub fn quota_asked(&mut self, now: Duration, from: Ipv4Addr, asks: &[QuotaAsk]) {
        let customers = self.customers().unwrap_or_default();
        let (mut grants, mut elsewhere) = (Vec::new(), Vec::new());
        for ask in asks {
            match self.quotas.ask(now, from, &customers, ask) {
                Some(grant) => grants.push(grant),
                None => elsewhere.push(ask.customer.clone()),
            }
        }
        if !grants.is_empty() {
            self.say(now, from, Word::QuotaGranted(grants));
        }
        if !elsewhere.is_empty() {
            self.say(now, from, Word::NotQuotaHome(elsewhere));
        }
    }

    /// The home of customers' quotas has answered.
    pub fn quota_granted(&mut self, now: Duration, from: Ipv4Addr, grants: &[QuotaGrant]) {
        let keepers = self.keepers();
        for grant in grants {
            self.quotas.home_answers(&grant.customer, from, &keepers);
            self.quay.iter_mut().for_each(|quay| quay.quota_granted(now, grant));
        }
    }

    /// The supervisor that was asked is not the home of these customers.
    pub fn not_quota_home(&mut self, from: Ipv4Addr, customers: &[Arc<str>]) {
        let keepers = self.keepers();
        for customer in customers {
            if self.quotas.not_home(customer, from, &keepers) {
                self.quay.iter_mut().for_each(|quay| quay.not_quota_home(customer));
            }
        }
    }

    /// When locks of quotas are to be looked at; never where nobody is limited.
    pub fn quotas_wake(&self) -> Option<Duration> {
        self.limits_customers().then(|| self.quotas.next_wake()).flatten()
    }

    /// Whether this supervisor may be a home of quotas.
    fn limits_customers(&self) -> bool {
        let customers = self.view.as_ref().and_then(|view| view.configuration.customers.as_ref());
        self.disk.is_some() && customers.is_some_and(|all| all.has_limits())
    }

    /// Locks of the parts of which this supervisor is to be the home.
    pub fn quotas_woke(&mut self, now: Duration) {
        let keepers = self.keepers();
        let may_hold = self.leaving.is_none() && self.keeper.in_contact(now);
        let holder = |name: &str| self.keeper.lock_holder(now, name);
        for (shard, call) in self.quotas.woke(now, &keepers, holder, may_hold) {
            let order = calls::by_key(&call.key(), self.keepers());
            let steps = self.calls.came(now, self.me, Caller::Quota(shard), call, &order);
            steps.into_iter().for_each(|step| self.step(now, step));
        }
    }
}

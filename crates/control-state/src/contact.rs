//! Contact with a majority: what a machine has to have before others may go by what it says.
//!
//! To hear a majority is not enough: whose own words reach nobody hears all the same, but what it missed stays missed. So
//! each sign of life says whether its sender has heard whom it goes to. And who was out of contact may hold something old, so
//! it tells when a read at a majority began whose answer it has (as for a read index: what was committed before that is known
//! here).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::charter::Charter;
use crate::fault::{self, Fault};
use crate::keeper::Keeper;
use crate::types::{Call, Key, NodeId};

/// When the newest read at a majority began that came back, for what homes tell of.
pub(crate) type ReadSince = BTreeMap<Key, Duration>;

impl Keeper {
    /// Hears a majority of the members, and is heard by them. Once it is cut off, in one direction or both, this ends
    /// after `settled` and `pulse_whole` at the latest.
    pub fn in_contact(&self, now: Duration) -> bool {
        if fault::is(Fault::ContactAlone) {
            return true;
        }
        let quorum = self.charter.as_ref().map_or(usize::MAX, Charter::quorum);
        let heard = self.heard_members(now, self.terms.settled);
        let both = heard.filter(|node| {
            *node == self.me.node || self.crew.hears_us(*node) || fault::is(Fault::ContactOneWay)
        });
        self.voting_epoch().is_some() && both.count() >= quorum
    }

    /// Members that others may still go by as homes. Who was not heard for `unfollowed` has known for a while that it is out of
    /// contact, and its followers have gone elsewhere; so have those of one that has said for `let_go` that it is. A machine
    /// that has just started, or slept, counts silence from then.
    pub fn may_be_followed(&self, now: Duration) -> Vec<NodeId> {
        let members = self.charter.iter().flat_map(|charter| &charter.members).map(|member| member.node);
        let may = |node: &NodeId| {
            let silent = self.crew.silence(now, *node) > self.terms.unfollowed;
            let out = self.crew.is_out(now, *node, self.terms.let_go);
            let near = !silent && !out && !self.crew.is_leaving(*node);
            *node == self.me.node || near
        };
        members.filter(may).collect()
    }

    /// All of the configuration, the accounts and the ends of servers that was committed before then is known here: when
    /// the oldest of the three newest reads began. None: one of them has not been read since the start.
    pub fn read_since(&self) -> Option<Duration> {
        let (config, ends) = (self.read_of(Key::Config)?, self.ends_read_since()?);
        if self.leaves_accounts() {
            return Some(config.min(ends));
        }
        Some(config.min(self.read_of(Key::Accounts)?).min(ends))
    }

    /// The configuration that was committed before then is known here: it is read at a majority again and again. None: it has not
    /// been read since the start.
    pub fn configuration_read_since(&self) -> Option<Duration> {
        self.read_of(Key::Config)
    }

    /// All ends of servers that were committed before then are known here. None: they have not been read since the start.
    pub fn ends_read_since(&self) -> Option<Duration> {
        self.read_of(Key::ServerEnds)
    }

    fn read_of(&self, key: Key) -> Option<Duration> {
        self.read_since.get(&key).copied()
    }

    /// Reads the configuration, the accounts and the ends of servers at a majority, unless that is under way.
    pub fn read_anew(&mut self, now: Duration) {
        self.clock = now;
        for call in [Call::ConfigGet, Call::AccountsGet, Call::ServerEndsGet] {
            let left = call.key() == Key::Accounts && self.leaves_accounts();
            if !left && !self.active.contains(&call.key()) {
                self.admit(now, self.own_entry(now, call));
            }
        }
        self.drain(now);
    }

    fn leaves_accounts(&self) -> bool {
        fault::is(Fault::AccountsUnasked) && self.acceptor.get(&Key::Accounts).is_none()
    }

    /// A call that came at that time has its answer from a majority.
    pub(crate) fn note_read(&mut self, key: &Key, came: Duration) {
        if matches!(key, Key::Config | Key::Accounts | Key::ServerEnds) {
            let since = self.read_since.entry(key.clone()).or_default();
            *since = came.max(*since);
        }
    }
}

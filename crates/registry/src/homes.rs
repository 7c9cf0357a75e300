//! Which home to follow: the first that is not avoided, in the order of preference.

use crate::NodeId;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    Home(NodeId),
    /// All are avoided until then.
    Wait(Duration),
    /// There is none.
    None,
}

/// Keepers that may be a home. Only those in the list are remembered as avoided.
#[derive(Default)]
pub(crate) struct Homes {
    list: Vec<NodeId>,
    avoided: BTreeMap<NodeId, Duration>,
}

impl Homes {
    pub(crate) fn set(&mut self, list: Vec<NodeId>) {
        self.avoided.retain(|home, _| list.contains(home));
        self.list = list;
    }
    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
    pub(crate) fn has(&self, home: NodeId) -> bool {
        self.list.contains(&home)
    }
    pub(crate) fn avoid(&mut self, home: NodeId, until: Duration) {
        self.avoided.insert(home, until);
    }

    /// A home can be followed again.
    pub(crate) fn welcome(&mut self, home: NodeId) {
        self.avoided.remove(&home);
    }

    pub(crate) fn choose(&self, now: Duration) -> Choice {
        let until = |home: &NodeId| self.avoided.get(home).copied().unwrap_or_default();
        match self.list.iter().find(|home| now >= until(home)) {
            Some(home) => Choice::Home(*home),
            None => self.list.iter().map(until).min().map_or(Choice::None, Choice::Wait),
        }
    }
}

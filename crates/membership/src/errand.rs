//! What a helper is at: it asks one node in the name of another.

use crate::card::NodeId;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Errand {
    pub about: NodeId,
    pub asker: NodeId,
    pub until: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct Errands {
    open: Vec<Errand>,
}

impl Errands {
    /// `false`: there are too many, or it is under way already.
    pub fn take_on(&mut self, errand: Errand, most: usize) -> bool {
        let same = |e: &Errand| e.about == errand.about && e.asker == errand.asker;
        let room = self.open.len() < most && !self.open.iter().any(same);
        if room {
            self.open.push(errand);
        }
        room
    }

    /// Who asked about this node, which now was heard.
    pub fn found(&mut self, about: NodeId) -> Vec<NodeId> {
        if self.open.is_empty() {
            return Vec::new();
        }
        self.open.extract_if(.., |e| e.about == about).map(|e| e.asker).collect()
    }

    /// Those whose time is over.
    pub fn over(&mut self, now: Duration) -> Vec<Errand> {
        self.open.extract_if(.., |e| e.until <= now).collect()
    }

    pub fn until(&self) -> Option<Duration> {
        self.open.iter().map(|e| e.until).min()
    }

    pub fn clear(&mut self) {
        self.open.clear();
    }
}

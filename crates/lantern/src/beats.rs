//! Beats that say `closing`: they are acknowledged when enough keepers know, for the acknowledgement starts the
//! clock by which every supervisor has stopped to use the server.

use crate::asks::Told;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// Servers go on to another supervisor after a second.
const WHOLE: Duration = Duration::from_millis(850);
/// Under way at once; one beyond is not acknowledged.
const MOST: usize = 1024;

struct Pending {
    reply: SyncSender<Told>,
    /// Keepers that have not said yet that they know.
    missing: Vec<Ipv4Addr>,
    /// How many more have to.
    wanted: usize,
    until: Duration,
}

pub struct Beats {
    pending: BTreeMap<u64, Pending>,
    next: u64,
}

impl Beats {
    /// `first`: drawn anew in each life, so that no answer to an earlier one counts for what is asked in this.
    pub fn new(first: u64) -> Beats {
        Beats { pending: BTreeMap::new(), next: first }
    }

    /// A server closes; `keepers`: all that are to know. The number under which they are told.
    pub fn closing(&mut self, now: Duration, reply: SyncSender<Told>, keepers: &[Ipv4Addr]) -> Option<u64> {
        if keepers.is_empty() || self.pending.len() >= MOST {
            return None;
        }
        self.next += 1;
        let wanted = keepers.len() / 2 + 1;
        let pending = Pending { reply, missing: keepers.to_vec(), wanted, until: now + WHOLE };
        self.pending.insert(self.next, pending);
        Some(self.next)
    }

    /// A keeper knows.
    pub fn taken(&mut self, id: u64, keeper: Ipv4Addr) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let before = pending.missing.len();
        pending.missing.retain(|k| *k != keeper);
        pending.wanted = pending.wanted.saturating_sub(before - pending.missing.len());
        if pending.wanted == 0
            && let Some(pending) = self.pending.remove(&id)
        {
            let _ = pending.reply.try_send(Told::Taken);
        }
    }

    /// Those that too few know of are not acknowledged: the server asks elsewhere.
    pub fn woke(&mut self, now: Duration) {
        self.pending.retain(|_, p| now < p.until);
    }
}

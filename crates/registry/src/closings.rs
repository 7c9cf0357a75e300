//! Servers that say `closing`: when that may be acknowledged. The acknowledgement starts the clock by which nobody uses the
//! server any more. A majority of keepers that know is not enough: if all of it lost power, one that was not told would go on
//! handing the server out. Each keeper that knows says whom it takes to be followed still; all of these have to know as well. And
//! what keepers know of servers is in memory, so the end has to be on a majority of disks besides: else a late beat would bring
//! the server back once all keepers have lost theirs.

use crate::NodeId;
use fallgap_config::Beat;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Servers go on to another supervisor after a second.
const WHOLE: Duration = Duration::from_millis(850);
/// A word may be lost, and who was followed when it was said may not be any more.
const AGAIN: Duration = Duration::from_millis(150);
/// Under way at once; one beyond is not acknowledged.
const MOST: usize = 1024;
/// Keepers of one closing at most; beyond, it is not acknowledged.
const KEEPERS: usize = 64;

struct Pending {
    beat: Beat,
    /// Those that were to know from the start: a majority of them has to.
    keepers: Vec<NodeId>,
    /// Who knows, and whom it takes to be followed.
    known: BTreeMap<NodeId, Vec<NodeId>>,
    /// It is on a majority of disks.
    is_kept: bool,
    again: Duration,
    until: Duration,
}

impl Pending {
    fn named(&self) -> BTreeSet<NodeId> {
        self.known.values().flatten().copied().collect()
    }

    fn may_be_acknowledged(&self) -> bool {
        let known = self.keepers.iter().filter(|keeper| self.known.contains_key(keeper)).count();
        let majority = known > self.keepers.len() / 2;
        self.is_kept && majority && self.named().iter().all(|keeper| self.known.contains_key(keeper))
    }
}

/// What is due.
#[derive(Debug, Default, PartialEq)]
pub struct Due {
    /// To tell again: whom, under which number, what.
    pub again: Vec<(NodeId, u64, Beat)>,
    /// Not acknowledged in time.
    pub over: Vec<u64>,
}

pub struct Closings {
    pending: BTreeMap<u64, Pending>,
    next: u64,
}

impl Closings {
    /// `first`: drawn anew in each life, so that no answer to an earlier one counts for what is asked in this.
    pub fn new(first: u64) -> Closings {
        Closings { pending: BTreeMap::new(), next: first }
    }

    /// A server closes; `keepers`: all that are to know, told by the caller. The number under which they are told; `None`: there are
    /// no keepers, or too many closings under way.
    pub fn begin(&mut self, now: Duration, beat: Beat, keepers: &[NodeId]) -> Option<u64> {
        if keepers.is_empty() || keepers.len() > KEEPERS || self.pending.len() >= MOST {
            return None;
        }
        self.next += 1;
        let (keepers, known) = (keepers.to_vec(), BTreeMap::new());
        let (again, until) = (now + AGAIN, now + WHOLE);
        self.pending.insert(self.next, Pending { beat, keepers, known, is_kept: false, again, until });
        Some(self.next)
    }

    /// A keeper knows, and takes `followed` to be keepers that others may go by. Tells whether that was the last to be waited for.
    pub fn taken(&mut self, id: u64, keeper: NodeId, followed: &[NodeId]) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return false };
        if !pending.keepers.contains(&keeper) && !pending.named().contains(&keeper) {
            return false;
        }
        pending.known.insert(keeper, followed.iter().take(KEEPERS).copied().collect());
        self.is_over(id)
    }

    /// The end is on a majority of disks. Tells whether that was the last to be waited for.
    pub fn kept(&mut self, id: u64) -> bool {
        self.pending.get_mut(&id).into_iter().for_each(|pending| pending.is_kept = true);
        self.is_over(id)
    }

    /// It cannot be kept: it is not acknowledged.
    pub fn dropped(&mut self, id: u64) {
        self.pending.remove(&id);
    }

    fn is_over(&mut self, id: u64) -> bool {
        let over = self.pending.get(&id).is_some_and(Pending::may_be_acknowledged);
        if over {
            self.pending.remove(&id);
        }
        over
    }

    pub fn woke(&mut self, now: Duration) -> Due {
        let mut due = Due::default();
        for (id, pending) in &mut self.pending {
            if now >= pending.until {
                due.over.push(*id);
            } else if now >= pending.again {
                pending.again = now + AGAIN;
                let mut whom = pending.named();
                whom.extend(&pending.keepers);
                due.again.extend(whom.into_iter().map(|keeper| (keeper, *id, pending.beat.clone())));
            }
        }
        for id in &due.over {
            self.pending.remove(id);
        }
        due
    }

    /// When to call [`woke`](Closings::woke) next.
    pub fn next_wake(&self) -> Option<Duration> {
        self.pending.values().map(|pending| pending.again.min(pending.until)).min()
    }
}

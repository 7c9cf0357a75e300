//! When an edition that is kept may be acknowledged: when every supervisor that is there routes by it. Homes know what their
//! followers have acknowledged, so they are asked, not each supervisor. Who has not got it by the deployment's own time is not
//! waited for any longer: it is cut off, or its link takes longer than the rules reckon with. Whoever asks waits for less than a
//! second and asks again elsewhere; so that time is counted from what each supervisor knows by itself.

use crate::NodeId;
use crate::messages::RosterWord;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Homes are asked again this often: words may be lost, and followers may have gone from one to another.
const AGAIN: Duration = Duration::from_millis(250);
/// Under way at once.
const MOST: usize = 64;
/// Editions of which it is known since when they are in force here.
const EDITIONS: usize = 256;

/// What became of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All supervisors that are there route by it.
    Everywhere,
    /// These have not said that they do, and have had their time.
    Waited { missing: Vec<NodeId> },
    /// Whoever asked cannot wait any longer: it is to be asked again.
    NotYet { missing: Vec<NodeId> },
}

impl Outcome {
    /// Whether the edition is acknowledged.
    pub fn is_acknowledged(&self) -> bool {
        !matches!(self, Outcome::NotYet { .. })
    }
}

struct Pending<R> {
    reply: R,
    edition: u64,
    until: Duration,
    again: Duration,
    /// Supervisors that hold it, by the word of their homes.
    holding: BTreeSet<NodeId>,
    /// Since when the first home that has answered has had it.
    kept: Option<Duration>,
}

/// How long supervisors that do not hold an edition are waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// From when it is in force at the supervisor that was asked, whose own link may be slow.
    pub in_force: Duration,
    /// Not for less than that from when homes have had it, if any has said so.
    pub kept: Duration,
}

impl Patience {
    /// For a deployment in which an edition has to be in force so long after its acknowledgement.
    pub fn within(in_force: Duration) -> Patience {
        Patience { in_force: in_force / 4, kept: in_force / 4 * 3 }
    }
}

/// Rollouts that this supervisor was asked to see to. `R`: whom the outcome is for.
pub struct Rollouts<R> {
    me: NodeId,
    patience: Patience,
    pending: BTreeMap<u64, Pending<R>>,
    next: u64,
    /// Supervisors that are there, this one among them, and those of them that may be homes.
    supervisors: BTreeSet<NodeId>,
    homes: Vec<NodeId>,
    /// Editions that were in force here, each with since when. Both rise.
    in_force: VecDeque<(u64, Duration)>,
    out: Vec<(NodeId, RosterWord)>,
    over: Vec<(R, u64, Outcome)>,
}

impl<R> Rollouts<R> {
    /// `first`: drawn anew in each life, so that no answer to an earlier one counts for what is asked in this.
    pub fn new(me: NodeId, first: u64, patience: Patience) -> Rollouts<R> {
        Rollouts {
            me,
            patience,
            pending: BTreeMap::new(),
            next: first,
            supervisors: BTreeSet::from([me]),
            homes: Vec::new(),
            in_force: VecDeque::new(),
            out: Vec::new(),
            over: Vec::new(),
        }
    }

    pub fn set_patience(&mut self, patience: Patience) {
        self.patience = patience;
    }

    /// An edition is to be in force everywhere; it may not be kept yet. Whoever asks waits until `until`.
    pub fn begin(&mut self, now: Duration, edition: u64, until: Duration, reply: R) {
        if self.pending.len() >= MOST {
            let missing = self.supervisors.iter().copied().collect();
            self.over.push((reply, edition, Outcome::NotYet { missing }));
            return;
        }
        self.next += 1;
        let (holding, kept, again) = (BTreeSet::new(), None, now + AGAIN);
        self.pending.insert(self.next, Pending { reply, edition, until, again, holding, kept });
        self.ask_homes(self.next, edition);
        self.settle(now);
    }

    /// A home names followers that hold the edition, and for how long it has had it itself.
    pub fn holders(&mut self, now: Duration, id: u64, holders: &[NodeId], age: Option<Duration>) {
        if let Some(pending) = self.pending.get_mut(&id) {
            let kept = age.map(|age| now.saturating_sub(age));
            pending.kept = pending.kept.into_iter().chain(kept).min();
            pending.holding.extend(holders.iter().filter(|node| self.supervisors.contains(node)));
            self.settle(now);
        }
    }

    /// Who is there has changed.
    pub fn members(&mut self, now: Duration, supervisors: BTreeSet<NodeId>, homes: Vec<NodeId>) {
        (self.supervisors, self.homes) = (supervisors, homes);
        self.settle(now);
    }

    /// An edition is in force here.
    pub fn in_force(&mut self, now: Duration, edition: u64) {
        if self.in_force.back().is_some_and(|(newest, _)| *newest >= edition) {
            return;
        }
        if self.in_force.len() >= EDITIONS {
            self.in_force.pop_front();
        }
        self.in_force.push_back((edition, now));
        self.settle(now);
    }

    /// Does what is due.
    pub fn woke(&mut self, now: Duration) {
        let due = self.pending.iter_mut().filter(|(_, pending)| now >= pending.again);
        let due: Vec<(u64, u64)> = due
            .map(|(id, pending)| {
                pending.again = now + AGAIN;
                (*id, pending.edition)
            })
            .collect();
        due.into_iter().for_each(|(id, edition)| self.ask_homes(id, edition));
        self.settle(now);
    }

    /// When to call [`woke`](Rollouts::woke) next.
    pub fn next_wake(&self) -> Option<Duration> {
        let wake = |pending: &Pending<R>| {
            let given_up = self.given_up(pending).unwrap_or(Duration::MAX);
            pending.again.min(pending.until).min(given_up)
        };
        self.pending.values().map(wake).min()
    }

    /// What is to be said, in order.
    pub fn take(&mut self) -> Vec<(NodeId, RosterWord)> {
        std::mem::take(&mut self.out)
    }

    /// What is over: whom it is for, the edition, and what became of it.
    pub fn take_over(&mut self) -> Vec<(R, u64, Outcome)> {
        std::mem::take(&mut self.over)
    }

    fn ask_homes(&mut self, id: u64, edition: u64) {
        let word = |home: &NodeId| (*home, RosterWord::HoldersWanted { id, edition });
        self.out.extend(self.homes.iter().map(word));
    }

    /// Since when the edition, or one that has overtaken it, is in force here.
    fn in_force_since(&self, edition: u64) -> Option<Duration> {
        self.in_force.iter().find(|(held, _)| *held >= edition).map(|(_, since)| *since)
    }

    /// When those that do not hold it are not waited for any longer. `None`: it is not in force here.
    fn given_up(&self, pending: &Pending<R>) -> Option<Duration> {
        let by_itself = self.in_force_since(pending.edition)? + self.patience.in_force;
        let by_homes = pending.kept.map(|since| since + self.patience.kept);
        Some(by_itself.max(by_homes.unwrap_or_default()))
    }

    fn outcome(&self, now: Duration, pending: &Pending<R>) -> Option<Outcome> {
        let given_up = self.given_up(pending);
        let holds = |node: &&NodeId| match **node == self.me {
            true => given_up.is_some(),
            false => pending.holding.contains(node),
        };
        let missing: Vec<NodeId> = self.supervisors.iter().filter(|node| !holds(node)).copied().collect();
        if missing.is_empty() {
            Some(Outcome::Everywhere)
        } else if given_up.is_some_and(|at| now >= at) {
            Some(Outcome::Waited { missing })
        } else {
            (now >= pending.until).then_some(Outcome::NotYet { missing })
        }
    }

    /// Ends those that have come to something.
    fn settle(&mut self, now: Duration) {
        let ended = |(id, pending): (&u64, &Pending<R>)| Some((*id, self.outcome(now, pending)?));
        let ended: Vec<(u64, Outcome)> = self.pending.iter().filter_map(ended).collect();
        for (id, outcome) in ended {
            if let Some(pending) = self.pending.remove(&id) {
                self.over.push((pending.reply, pending.edition, outcome));
            }
        }
    }
}

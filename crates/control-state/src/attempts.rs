//! The side of whoever attempts an operation that is to be done once: members are asked for their votes, and counted. See
//! `claims` for what a vote is.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::claims::{Attempt, OperationId, Vote};
use crate::messages::Message;
use crate::types::NodeId;

/// What binds attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTerms {
    /// Without a majority by then the attempt is given up.
    pub patience: Duration,
    /// Who has not answered is asked again after that.
    pub resend: Duration,
    /// So long members are asked to which a granted claim has not come: it is to be on all disks that can be reached.
    pub tail: Duration,
    /// Attempts whose votes are counted at once.
    pub most: usize,
}

impl Default for AttemptTerms {
    fn default() -> Self {
        let ms = Duration::from_millis;
        AttemptTerms { patience: ms(1000), resend: ms(250), tail: ms(3000), most: 4096 }
    }
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the only one that may carry the operation out.
    Granted,
    /// Another was granted the operation by members; `by_majority`: by so many that it may be under way.
    Taken { by: Attempt, by_majority: bool },
    /// Too few members have answered.
    NoMajority,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Counted {
    epoch: u64,
    vote: Vote,
}

struct Pending {
    operation: OperationId,
    attempt: Attempt,
    /// Whom was asked, and the last vote of each.
    votes: BTreeMap<NodeId, Option<Counted>>,
    /// Of the newest epoch that was heard of.
    epoch: u64,
    quorum: usize,
    granted: bool,
    until: Duration,
    resend: Duration,
}

impl Pending {
    fn counted(&self) -> impl Iterator<Item = Vote> {
        let newest = |counted: &&Counted| counted.epoch == self.epoch;
        self.votes.values().flatten().filter(newest).map(|counted| counted.vote)
    }

    /// Those that may still grant it.
    fn open(&self) -> impl Iterator<Item = NodeId> {
        let is_open = |counted: &Option<Counted>| {
            counted.is_none_or(|counted| counted.epoch < self.epoch || counted.vote == Vote::Abstains)
        };
        self.votes.iter().filter(move |(_, counted)| is_open(counted)).map(|(node, _)| *node)
    }

    /// The other attempt that most members have granted it to, and how many they are.
    fn other(&self) -> Option<(Attempt, usize)> {
        let mut others: BTreeMap<Attempt, usize> = BTreeMap::new();
        for vote in self.counted() {
            if let Vote::Taken(by) = vote {
                *others.entry(by).or_default() += 1;
            }
        }
        others.into_iter().max_by_key(|(_, count)| *count)
    }

    /// `is_late`: nobody is waited for any more.
    fn verdict(&self, is_late: bool) -> Option<Verdict> {
        if self.epoch == 0 && !is_late {
            return None;
        }
        let granted = self.counted().filter(|vote| *vote == Vote::Granted).count();
        if self.epoch > 0 && granted >= self.quorum {
            return Some(Verdict::Granted);
        }
        if !is_late && granted + self.open().count() >= self.quorum {
            return None;
        }
        Some(match self.other() {
            Some((by, count)) => Verdict::Taken { by, by_majority: count >= self.quorum },
            None => Verdict::NoMajority,
        })
    }
}

/// All attempts of one supervisor.
pub struct Attempts {
    terms: AttemptTerms,
    pending: BTreeMap<u64, Pending>,
    next: u64,
    out: Vec<(NodeId, Message)>,
}

impl Attempts {
    /// `first`: numbers of an earlier life are not used again.
    pub fn new(terms: AttemptTerms, first: u64) -> Attempts {
        Attempts { terms, pending: BTreeMap::new(), next: first, out: Vec::new() }
    }

    /// Asks all that may be members. `None`: too many are under way.
    pub fn begin(
        &mut self, now: Duration, operation: OperationId, attempt: Attempt, members: &[NodeId],
    ) -> Option<u64> {
        if self.pending.len() >= self.terms.most {
            return None;
        }
        let number = self.next;
        self.next += 1;
        let pending = Pending {
            operation,
            attempt,
            votes: members.iter().map(|node| (*node, None)).collect(),
            epoch: 0,
            quorum: usize::MAX,
            granted: false,
            until: now + self.terms.patience,
            resend: now + self.terms.resend,
        };
        for node in members {
            self.out.push((*node, Message::Claim { number, operation, attempt }));
        }
        self.pending.insert(number, pending);
        Some(number)
    }

    /// A member has voted.
    pub fn voted(
        &mut self, now: Duration, from: NodeId, number: u64, epoch: u64, quorum: u32, vote: Vote,
    ) -> Option<Verdict> {
        let pending = self.pending.get_mut(&number)?;
        let held = pending.votes.get_mut(&from)?;
        if held.is_some_and(|held| held.epoch > epoch) {
            return None;
        }
        *held = Some(Counted { epoch, vote });
        // A node that knows of no epoch, or of an older one, says nothing of how many are needed.
        if epoch > pending.epoch {
            pending.epoch = epoch;
            pending.quorum = quorum as usize;
        }
        if pending.granted {
            if pending.open().next().is_none() {
                self.pending.remove(&number);
            }
            return None;
        }
        let verdict = pending.verdict(false)?;
        self.settle(now, number, verdict);
        Some(verdict)
    }

    fn settle(&mut self, now: Duration, number: u64, verdict: Verdict) {
        let tail = now + self.terms.tail;
        match self.pending.get_mut(&number) {
            Some(pending) if verdict == Verdict::Granted && pending.open().next().is_some() => {
                (pending.granted, pending.until) = (true, tail);
            }
            _ => _ = self.pending.remove(&number),
        }
    }

    /// The attempt has not begun and never will: whoever granted it may grant it to others.
    pub fn give_up(&mut self, operation: OperationId, attempt: Attempt, members: &[NodeId]) {
        self.pending.retain(|_, pending| pending.attempt != attempt);
        for node in members {
            self.out.push((*node, Message::ClaimGivenUp { operation, attempt }));
        }
    }

    /// Asks again, and ends what has had its time.
    pub fn woke(&mut self, now: Duration) -> Vec<(u64, Verdict)> {
        let mut over = Vec::new();
        let due = |pending: &Pending| now >= pending.until || now >= pending.resend;
        let numbers: Vec<u64> = self.pending.iter().filter(|(_, p)| due(p)).map(|(n, _)| *n).collect();
        for number in numbers {
            let Some(pending) = self.pending.get_mut(&number) else { continue };
            if now >= pending.until {
                if !pending.granted {
                    over.extend(pending.verdict(true).map(|verdict| (number, verdict)));
                }
                self.pending.remove(&number);
                continue;
            }
            pending.resend = now + self.terms.resend;
            let (operation, attempt) = (pending.operation, pending.attempt);
            let open: Vec<NodeId> = pending.open().collect();
            for node in open {
                self.out.push((node, Message::Claim { number, operation, attempt }));
            }
        }
        over
    }

    pub fn next_wake(&self) -> Option<Duration> {
        self.pending.values().map(|pending| pending.until.min(pending.resend)).min()
    }

    /// What is to be sent.
    pub fn take(&mut self) -> Vec<(NodeId, Message)> {
        std::mem::take(&mut self.out)
    }
}

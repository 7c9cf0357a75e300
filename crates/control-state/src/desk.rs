//! Where the calls for one register wait, and how far the attempt for them has come.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ballot::Ballot;
use crate::messages::Sight;
use crate::types::{Answer, Call, NodeId};
use crate::value::Value;

/// Whose call it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Asker {
    Caller(u64),
    /// Its caller waits no more, and it is carried out all the same.
    Gone,
    /// A read by the keeper itself, to learn what was committed.
    Own,
}

#[derive(Clone, Debug, Hash)]
pub(crate) struct Entry {
    pub asker: Asker,
    pub call: Call,
    pub came: Duration,
    /// It is answered by then.
    pub until: Duration,
    /// Its effect was sent out: from here on it may happen.
    pub sent: bool,
}

impl Entry {
    pub fn is_gone(&self) -> bool {
        self.asker == Asker::Gone
    }

    pub fn reads(&self) -> bool {
        use Call::{AccountsGet, CellGet, ConfigGet, Look, ServerEndsGet, Watch};
        matches!(
            self.call,
            ConfigGet | AccountsGet | ServerEndsGet | CellGet { .. } | Watch { .. } | Look { .. }
        )
    }

    pub fn is_own(&self) -> bool {
        self.asker == Asker::Own
    }

    /// It makes all members hold the same again.
    pub fn mends(&self) -> bool {
        self.is_own() && matches!(self.call, Call::Look { .. })
    }
}

/// A value with its ballot, and its proven age at a time.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Known {
    pub ballot: Ballot,
    pub value: Value,
    pub age: Duration,
    pub at: Duration,
}

impl Known {
    pub fn age(&self, now: Duration) -> Duration {
        self.age.saturating_add(now.saturating_sub(self.at))
    }
}

/// The first phase of an attempt that has not been made: a majority holds a promise for `next`, and `base` is the
/// highest that they accepted.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Ready {
    pub next: Ballot,
    pub base: Option<Known>,
    /// What is highest was accepted by a majority; else nothing may rest on it before it is written anew.
    pub is_committed: bool,
}

/// Who said what so far.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Survey {
    pub known: Option<Known>,
    /// The floor here when it began.
    pub floor: Option<Ballot>,
    pub replies: Vec<(NodeId, Option<Sight>)>,
    pub refused: Vec<NodeId>,
    /// Since when it is contested or without agreement.
    pub troubled: Option<Duration>,
    pub resend: Duration,
}

/// A value on its way to a majority.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Push {
    pub ballot: Ballot,
    pub next: Ballot,
    pub value: Value,
    pub age: Duration,
    /// One for each entry of the batch; none for those that look at what was committed.
    pub answers: Vec<Option<Answer>>,
    pub accepted: Vec<NodeId>,
    pub refused: Vec<NodeId>,
    pub troubled: Option<Duration>,
    pub resend: Duration,
}

#[derive(Clone, Debug, Hash)]
pub(crate) enum Stage {
    Idle,
    Reading {
        mark: u64,
        survey: Survey,
    },
    Preparing {
        ballot: Ballot,
        survey: Survey,
    },
    Accepting(Push),
    /// After a lost attempt.
    Pausing {
        until: Duration,
    },
}

#[derive(Clone, Debug, Hash)]
pub(crate) struct Desk {
    pub waiting: VecDeque<Entry>,
    pub batch: Vec<Entry>,
    pub stage: Stage,
    pub ready: Option<Ready>,
    /// The highest count met so far.
    pub top: u64,
    pub losses: u32,
    /// Since when reads of the keeper itself find no agreement here.
    pub contested: Option<Duration>,
    /// When the present attempt began.
    pub begun: Duration,
    /// Since when this desk leaves the attempt of another node its time.
    pub defers: Option<Duration>,
}

impl Desk {
    pub fn new() -> Desk {
        Desk {
            waiting: VecDeque::new(),
            batch: Vec::new(),
            stage: Stage::Idle,
            ready: None,
            top: 0,
            losses: 0,
            contested: None,
            begun: Duration::ZERO,
            defers: None,
        }
    }

    /// All calls at this desk.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.batch.iter().chain(&self.waiting)
    }

    /// The same, to be changed.
    pub fn entries_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.batch.iter_mut().chain(&mut self.waiting)
    }

    /// Bytes of the calls that are carried out though nobody waits for them.
    pub fn gone_bytes(&self) -> usize {
        let gone = self.entries().filter(|entry| entry.is_gone());
        gone.map(|entry| entry.call.bytes()).sum()
    }

    /// The attempt has work of disks behind it, which the next call for this register builds on: it goes on though
    /// nobody waits for it, for so long at most.
    pub fn goes_on(&self, now: Duration, most: Duration) -> bool {
        matches!(self.stage, Stage::Preparing { .. } | Stage::Accepting(_)) && now < self.begun + most
    }

    /// Every change of stage.
    pub fn enter(&mut self, stage: Stage) {
        self.stage = stage;
    }

    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle)
    }

    /// Only reads of the keeper itself wait here, for the next try.
    pub fn rests(&self) -> bool {
        matches!(self.stage, Stage::Pausing { .. }) && self.batch.iter().all(Entry::is_own)
    }

    pub fn met(&mut self, ballot: Ballot) {
        self.top = self.top.max(ballot.count);
    }

    /// Somebody has refused the attempt under way.
    pub fn is_refused(&self) -> bool {
        match &self.stage {
            Stage::Preparing { survey, .. } => survey.troubled.is_some(),
            Stage::Accepting(push) => push.troubled.is_some(),
            Stage::Idle | Stage::Reading { .. } | Stage::Pausing { .. } => false,
        }
    }

    /// When the desk has to be looked at again.
    pub fn wake(&self, patience: Duration, contest: Duration) -> Option<Duration> {
        let stage = match &self.stage {
            Stage::Idle => None,
            Stage::Reading { survey, .. } => {
                Some(soonest(survey.resend, survey.troubled.map(|at| at + patience)))
            }
            Stage::Preparing { survey, .. } => {
                Some(soonest(survey.resend, survey.troubled.map(|at| at + contest)))
            }
            Stage::Accepting(push) => Some(soonest(push.resend, push.troubled.map(|at| at + contest))),
            Stage::Pausing { until } => Some(*until),
        };
        let calls = self.entries().map(|entry| entry.until).min();
        match (stage, calls) {
            (Some(stage), Some(calls)) => Some(stage.min(calls)),
            (stage, calls) => stage.or(calls),
        }
    }
}

fn soonest(at: Duration, other: Option<Duration>) -> Duration {
    other.map_or(at, |other| at.min(other))
}

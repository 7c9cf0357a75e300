//! What keepers and followers say to each other about servers and tables.

use crate::NodeId;
use crate::lives::State;
use crate::terms::Terms;
use fallgap_config::Beat;
use fallgap_feed::wire::{Said, Told, Unreadable};
use fallgap_health::{Count, LightWord};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Groups of servers that are compared by one digest each.
pub(crate) const GROUPS: usize = 32;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RosterWord {
    /// A server's beat, from the machine that it came to, to all keepers.
    Beat(Beat),
    /// A server has left.
    Left(Arc<str>),
    /// Between keepers.
    Compare(Compare),
    Records(Records),
    /// To a home: a follower comes, with what it holds.
    Join(#[serde(with = "serde_bytes")] Vec<u8>),
    /// To a home: what a follower holds now.
    Said(#[serde(with = "serde_bytes")] Vec<u8>),
    /// From a home to a follower.
    Told(#[serde(with = "serde_bytes")] Vec<u8>),
    /// From a home that is cut off from the majority, or full.
    Unfit,
    /// From a home that was unfit a moment ago, to those that it sent away.
    Fit,
    /// To a home: who says it follows another one, and this one's tables would only fill its link.
    Leave,
    /// To a home: what a follower saw of servers since its last report.
    Report(Vec<ServerReport>),
    /// Verdicts on servers, and what they rest on.
    Lights(LightWord),
    /// To a home: which of its followers hold that edition, or a later one?
    HoldersWanted {
        id: u64,
        edition: u64,
    },
    /// From a home: these do. `age`: for how long it has had it itself, if it has.
    Holders {
        id: u64,
        holders: Vec<NodeId>,
        age: Option<Duration>,
    },
    /// To a home: how current is what this follower holds?
    LeaseWanted(LeaseQuestion),
    /// From a home: what it knew when it was asked. `read_age`: how long before its answer it began to read that at a
    /// majority.
    Lease {
        question: LeaseQuestion,
        knows: Knows,
        read_age: Duration,
    },
}

/// A follower's question how current its view is. Both are the follower's own, and come back with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseQuestion {
    /// The follower's process.
    pub life: u64,
    /// When it asked, by its own clock.
    pub asked: Duration,
}

/// What a follower has to hold so that nothing is missing that its home knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knows {
    /// Of the home's tables.
    pub epoch: u64,
    /// The version that brought the newest configuration.
    pub version: u64,
    /// The newest end of a server, by its place in the epoch.
    pub ends: u64,
}

/// What a follower saw of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server's id.
    pub server: Arc<str>,
    /// By kind of work.
    pub kinds: [Count; 3],
    /// Mean time of the good answers.
    pub good_ms: f32,
}

/// A keeper says what it knows of servers, in short.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Compare {
    /// Over lives and states, by group.
    pub digests: Vec<u64>,
    /// Servers not heard of for longer than a beat, with the newest postmark known.
    pub quiet: Vec<(Arc<str>, u64)>,
}

/// The answer to a comparison, perhaps in several messages; or what was asked for by one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Records {
    pub records: Vec<Record>,
    /// Groups of which the answering keeper wants records in turn.
    pub wanted: Vec<u8>,
    /// The last message of this answer.
    pub last: bool,
    /// The sender knows the servers that there are.
    pub warm: bool,
    /// It has not started anew for long, so it knows each end that it was told of; what it held as open it may doubt.
    pub kept: bool,
}

/// All that is known of one life. Times are ages, since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The newest beat; its `cold` is what is left of it.
    pub beat: Beat,
    pub state: State,
    /// Since it was heard.
    pub heard: Duration,
    /// Since it is in that state.
    pub since: Duration,
    /// Since its first beat.
    pub first: Duration,
    /// It was open, and may have closed while the sender was out of contact.
    pub doubted: bool,
}

impl ServerReport {
    pub(crate) fn good(&self) -> u32 {
        let good = self.kinds.iter().map(|count| count.runs.saturating_sub(count.failed));
        good.fold(0, u32::saturating_add)
    }
}

impl RosterWord {
    pub fn join(said: &Said) -> RosterWord {
        RosterWord::Join(said.encode())
    }
    pub fn said(said: &Said) -> RosterWord {
        RosterWord::Said(said.encode())
    }
    pub fn told(told: &Told) -> RosterWord {
        RosterWord::Told(told.encode())
    }

    /// The content of `Join` and `Said`.
    ///
    /// # Errors
    /// [`Unreadable`]: the message is to be dropped.
    pub fn read_said(line: &[u8], terms: &Terms) -> Result<Said, Unreadable> {
        Said::decode(line, &terms.wire)
    }

    /// The content of `Told`.
    ///
    /// # Errors
    /// [`Unreadable`]: the message is to be dropped.
    pub fn read_told(line: &[u8], terms: &Terms) -> Result<Told, Unreadable> {
        Told::decode(line, &terms.wire)
    }
}

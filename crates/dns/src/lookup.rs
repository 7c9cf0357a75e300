//! One question on its way: what was asked of whom, and what becomes of it.

use crate::message::{Over, Question, Srv};
use std::net::SocketAddr;
use std::time::Duration;

/// Why a look-up has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    #[error("no answer within the time of a try")]
    TimedOut,
    #[error("{0}")]
    Broken(String),
    #[error("name servers answer {0}")]
    Unusable(&'static str),
    #[error("no such name (NXDOMAIN)")]
    NoName,
    #[error("no such records (empty NOERROR)")]
    NoRecords,
    #[error("an answer of {0} records is more than is taken")]
    TooLarge(usize),
    #[error("more odd answers than a try may get: forged or spoilt")]
    Odd,
}

impl Failure {
    /// Whether name servers answered, and what they said is that there is nothing.
    pub fn is_nothing(&self) -> bool {
        matches!(self, Failure::NoName | Failure::NoRecords)
    }
}

/// What a question is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum For {
    Service,
    /// An address record of one of its targets.
    Target,
}

pub(crate) struct Ask {
    pub service: u64,
    pub wanted: For,
    pub question: Question,
    /// The name that was wanted first, before aliases.
    pub wanted_name: hickory_proto::rr::Name,
    /// Aliases followed so far.
    pub aliases: usize,
    pub id: u16,
    pub over: Over,
    /// The server asked now, and all asked for this question so far.
    pub peer: usize,
    pub tried: Vec<usize>,
    /// When the first try left, and when this one is over.
    pub first: Option<Duration>,
    pub until: Option<Duration>,
    /// What came that is no answer to this try.
    pub odd: u32,
    pub edns: bool,
}

impl Ask {
    pub fn new(service: u64, wanted: For, question: Question) -> Ask {
        Ask {
            service,
            wanted,
            wanted_name: question.name.clone(),
            question,
            aliases: 0,
            id: 0,
            over: Over::Udp,
            peer: 0,
            tried: Vec::new(),
            first: None,
            until: None,
            odd: 0,
            edns: true,
        }
    }
}

/// The records of a service while its targets' addresses are asked for.
pub(crate) struct Pending {
    pub records: Vec<Srv>,
    pub told: u32,
    pub asked: Duration,
    pub heard: Duration,
    pub authoritative: bool,
    pub by: SocketAddr,
    pub over: Over,
    pub tries: usize,
    /// Address questions that are not answered yet.
    pub open: usize,
}

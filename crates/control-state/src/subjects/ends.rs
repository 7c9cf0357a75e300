//! Servers that said that they end, each with a rising number, so that a beat of before is known as late by every process
//! that reads them. Age alone ends an entry: what does not fit is refused.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::subjects::memory::Memory;
use crate::subjects::{Verdict, encoded};
use crate::types::Answer;

#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct Ends<'a> {
    /// The last number given.
    revision: u64,
    /// Their numbers rise.
    #[serde(borrow)]
    servers: Vec<Ended<'a>>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Ended<'a> {
    revision: u64,
    server: &'a str,
}

impl<'a> Ends<'a> {
    /// None: the value cannot be read.
    fn read(held: Option<&'a [u8]>) -> Option<Ends<'a>> {
        match held {
            Some(bytes) => postcard::from_bytes(bytes).ok(),
            None => Some(Ends::default()),
        }
    }
}

/// Ended servers as one who knows some of them is told of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerEnds {
    /// Those behind the number asked from, in their order.
    pub ended: Vec<(u64, String)>,
    /// Ends below this number are not kept any more.
    pub least: u64,
}

/// The ended servers of a committed value that have a number above `known`. None: the value cannot be read.
pub fn server_ends_after(value: &[u8], known: u64) -> Option<ServerEnds> {
    let ends = Ends::read(Some(value))?;
    let least = ends.servers.first().map_or(ends.revision.saturating_add(1), |first| first.revision);
    let first = ends.servers.partition_point(|ended| ended.revision <= known);
    let ended = ends.servers.iter().skip(first).map(|ended| (ended.revision, ended.server.to_owned()));
    Some(ServerEnds { ended: ended.collect(), least })
}

/// Kept, unless it is already: an end that comes again is acknowledged again.
pub(super) fn end(server: &str, held: Option<&[u8]>, memory: &mut Memory, now: Duration) -> Verdict {
    let limits = memory.limits;
    let Some(mut ends) = Ends::read(held).filter(|_| server.len() <= limits.name_bytes) else {
        return Verdict::busy();
    };
    let old = memory.saw_ends(ends.revision, now);
    if ends.servers.iter().any(|ended| ended.server == server) {
        return Verdict::Answer(Answer::Done);
    }
    let Some(revision) = ends.revision.checked_add(1) else { return Verdict::busy() };
    let gone = ends.servers.partition_point(|ended| ended.revision <= old);
    ends.servers.drain(..gone);
    if ends.servers.len() >= limits.ends {
        return Verdict::busy();
    }
    ends.revision = revision;
    ends.servers.push(Ended { revision, server });
    match encoded(&ends) {
        Some(value) if value.len() <= limits.ends_bytes => Verdict::Write { value, answer: Answer::Done },
        _ => Verdict::busy(),
    }
}

/// Whoever reads learns of the value as it is committed: the answer says only that it was read.
pub(super) fn get(held: Option<&[u8]>, memory: &mut Memory, now: Duration) -> Verdict {
    let Some(ends) = Ends::read(held) else { return Verdict::busy() };
    memory.saw_ends(ends.revision, now);
    Verdict::Answer(Answer::Done)
}

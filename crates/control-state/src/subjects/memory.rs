//! What one process remembers of groups and of ended servers: since when it knows how far their counts had come.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What binds the subjects.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
pub struct Limits {
    /// Overwritten puts of a group stay at least so long after this process saw them: half as much again as
    /// watchers may reach back.
    pub keep: Duration,
    /// Overwritten puts that a group keeps at most; a put that would overwrite one more is `Busy` until the oldest has
    /// been kept long enough.
    pub events: usize,
    /// Bytes of their values within the group's; of the oldest over it a digest is kept there, and the value beside it.
    pub event_bytes: usize,
    /// Keys of a group; a put of one more is `Busy`.
    pub cells: usize,
    /// A group's whole value; a put that makes it larger is `Busy`.
    pub group_bytes: usize,
    /// A name or holder; over it the call is `Busy`.
    pub name_bytes: usize,
    /// A key's value; over it the put is `Busy`.
    pub value_bytes: usize,
    /// A configuration; over it the put is `Busy`.
    pub config_bytes: usize,
    /// Ends of servers stay at least so long after this process saw them: no beat is later.
    pub keep_ends: Duration,
    /// Ended servers that are kept at most; the end of one more is `Busy` until the oldest has been kept long enough.
    pub ends: usize,
    /// Bytes of all of them; an end that makes them more is `Busy`.
    pub ends_bytes: usize,
    /// Groups remembered; over it all are forgotten at once, and old puts stay longer.
    pub groups: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            keep: Duration::from_secs(30),
            events: 8192,
            event_bytes: 128 << 10,
            cells: 4096,
            group_bytes: 512 << 10,
            name_bytes: 512,
            value_bytes: 4 << 10,
            config_bytes: 896 << 10,
            keep_ends: Duration::from_secs(60),
            ends: 16_384,
            ends_bytes: 512 << 10,
            groups: 1024,
        }
    }
}

/// Between two marks of a group lies at least this part of the time that puts are kept.
const MARKS: u32 = 32;

/// What this process remembers of groups. It may be lost at any time: puts count as seen for the first time then.
#[derive(Clone, Debug, Hash, Default)]
pub struct Memory {
    pub limits: Limits,
    groups: BTreeMap<String, Marks>,
    ends: Marks,
}

#[derive(Clone, Debug, Hash, Default)]
struct Marks {
    /// When the group was seen at a revision, both rising.
    seen: VecDeque<(Duration, u64)>,
    /// All puts up to this revision are older than they have to be kept.
    old: u64,
}

impl Memory {
    /// `history`: how far back watchers may reach.
    pub fn new(history: Duration) -> Memory {
        Memory::with(Limits { keep: history.saturating_mul(3) / 2, ..Limits::default() })
    }

    pub fn with(limits: Limits) -> Memory {
        Memory { limits, groups: BTreeMap::new(), ends: Marks::default() }
    }

    /// A group is at a revision. Says up to which revision all its puts are old enough to go.
    pub(super) fn saw(&mut self, group: &str, revision: u64, now: Duration) -> u64 {
        let keep = self.limits.keep;
        if let Some(marks) = self.groups.get_mut(group) {
            return marks.saw(revision, now, keep);
        }
        if self.groups.len() >= self.limits.groups {
            self.groups.clear();
        }
        self.groups.entry(group.to_owned()).or_default().saw(revision, now, keep)
    }

    /// Ends of servers are at a revision. Says up to which revision all are old enough to go.
    pub(super) fn saw_ends(&mut self, revision: u64, now: Duration) -> u64 {
        self.ends.saw(revision, now, self.limits.keep_ends)
    }
}

impl Marks {
    fn saw(&mut self, revision: u64, now: Duration, keep: Duration) -> u64 {
        // Revisions that were judged and never came to be: others may get them later.
        while self.seen.back().is_some_and(|(_, r)| *r > revision) {
            self.seen.pop_back();
        }
        self.old = self.old.min(revision);
        while let Some(&(at, r)) = self.seen.front() {
            if at.saturating_add(keep) > now {
                break;
            }
            self.old = self.old.max(r);
            self.seen.pop_front();
        }
        let due = match self.seen.back() {
            Some(&(at, r)) => r < revision && at.saturating_add(keep / MARKS) <= now,
            None => self.old < revision,
        };
        if due {
            self.seen.push_back((now, revision));
        }
        self.old
    }
}

#[cfg(test)]
#[path = "../../tests/inner/memory.rs"]
mod tests;

//! Groups of small keys with one rising count of revisions, and their puts in order.
//!
//! A group's value holds each key as it is, whatever its age, and besides the puts that were overwritten not long
//! ago. A put is never in both, so all puts above `floor` are there, and each once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fault::{self, Fault};
use crate::subjects::memory::{Limits, Memory};
use crate::subjects::{Verdict, encoded};
use crate::types::{Answer, Event, group_of};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Group<'a> {
    /// The last one given.
    revision: u64,
    /// The highest revision among the puts that are forgotten.
    floor: u64,
    /// With its dot.
    name: &'a str,
    /// In the order of their first puts.
    #[serde(borrow)]
    cells: Vec<Cell<'a>>,
    /// Overwritten puts; their revisions rise.
    #[serde(borrow)]
    past: Vec<Past<'a>>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Cell<'a> {
    /// Without the group's.
    name: &'a str,
    value: &'a str,
    revision: u64,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Past<'a> {
    /// The key's place among the cells.
    cell: u32,
    value: &'a str,
    revision: u64,
}

/// The revision of a group without a put. The count is at 1 from the start: one who watches an empty group is given
/// that, and asks for what is above it; with 0 he would ask for the present again, past the first put.
const EMPTY: u64 = 1;

/// The revision that a group is at.
pub fn revision(held: Option<&[u8]>) -> u64 {
    // It stands first, so nothing else need be read.
    held.and_then(|bytes| postcard::take_from_bytes::<u64>(bytes).ok())
        .map_or(EMPTY, |(revision, _)| revision)
}

/// What a watch is told of a group, if there is news for it: all puts above `after`, or that they are forgotten.
/// An `after` of 0 asks only for the present revision. All puts go into one answer: a revision that is given out
/// has to be the present one, since it may be asked from for as long as puts are kept.
pub fn events_after(held: Option<&[u8]>, after: u64) -> Option<Answer> {
    let present = revision(held);
    if after == 0 {
        return Some(Answer::Events { events: Vec::new(), revision: present });
    }
    if after >= present {
        return None;
    }
    let group: Group = postcard::from_bytes(held?).ok()?;
    if after < group.floor {
        return Some(Answer::Expired);
    }
    Some(Answer::Events { events: group.events(after), revision: present })
}

pub(super) fn watch(
    name: &str, after: u64, held: Option<&[u8]>, memory: &mut Memory, now: Duration,
) -> Verdict {
    memory.saw(name, revision(held), now);
    let nothing = || Answer::Events { events: Vec::new(), revision: after };
    Verdict::Answer(events_after(held, after).unwrap_or_else(nothing))
}

pub(super) fn get(name: &str, held: Option<&[u8]>, memory: &mut Memory, now: Duration) -> Verdict {
    let (group_name, tail) = split(name);
    let Some(group) = Group::read(held, group_name) else { return Verdict::busy() };
    memory.saw(group_name, group.revision, now);
    Verdict::Answer(match group.cells.iter().find(|cell| cell.name == tail) {
        Some(cell) => Answer::Cell { value: cell.value.to_owned(), revision: cell.revision },
        None => Answer::Missing,
    })
}

/// A put that comes again gets its first revision, as long as it is remembered; `on` is not asked then.
pub(super) fn put(
    name: &str, value: &str, on: Option<u64>, held: Option<&[u8]>, memory: &mut Memory, now: Duration,
) -> Verdict {
    let limits = memory.limits;
    let (group_name, tail) = split(name);
    if name.len() > limits.name_bytes || value.len() > limits.value_bytes {
        return Verdict::busy();
    }
    let Some(mut group) = Group::read(held, group_name) else { return Verdict::busy() };
    let old = memory.saw(group_name, group.revision, now);
    let place = group.cells.iter().position(|cell| cell.name == tail);
    if let Some(first) = place.and_then(|place| group.first_revision(place, value)) {
        return Verdict::Answer(Answer::Revision(first));
    }
    let present = place.and_then(|place| group.cells.get(place)).map_or(0, |cell| cell.revision);
    if on.is_some_and(|on| on != present) && !fault::is(Fault::ConditionNotAsked) {
        return Verdict::Answer(Answer::Conflict { revision: present });
    }
    if place.is_none() && group.cells.len() >= limits.cells {
        return Verdict::busy();
    }
    let Some(revision) = group.take(place, Cell { name: tail, value, revision: 0 }) else {
        return Verdict::busy();
    };
    group.forget(old, &limits);
    match encoded(&group) {
        Some(bytes) if bytes.len() <= limits.group_bytes => {
            Verdict::Write { value: bytes, answer: Answer::Revision(revision) }
        }
        _ => Verdict::busy(),
    }
}

/// A key's name as its group and the rest.
fn split(name: &str) -> (&str, &str) {
    name.split_at(group_of(name).len())
}

impl<'a> Group<'a> {
    /// None: the value cannot be read.
    fn read(held: Option<&'a [u8]>, name: &'a str) -> Option<Group<'a>> {
        match held {
            Some(bytes) => postcard::from_bytes(bytes).ok(),
            None => Some(Group { revision: EMPTY, floor: 0, name, cells: Vec::new(), past: Vec::new() }),
        }
    }

    /// The revision that a key's value got when it was put.
    fn first_revision(&self, place: usize, value: &str) -> Option<u64> {
        let cell = self.cells.get(place)?;
        if cell.value == value {
            return Some(cell.revision);
        }
        let mut of_key = self.past.iter().filter(|past| past.cell as usize == place);
        of_key.find(|past| past.value == value).map(|past| past.revision)
    }

    /// Takes a put in under the next revision. None: there is none.
    fn take(&mut self, place: Option<usize>, mut new: Cell<'a>) -> Option<u64> {
        self.revision = self.revision.checked_add(1)?;
        new.revision = self.revision;
        match place.and_then(|place| Some((u32::try_from(place).ok()?, self.cells.get_mut(place)?))) {
            None => self.cells.push(new),
            Some((cell, present)) => {
                let before = std::mem::replace(present, new);
                let at = self.past.partition_point(|past| past.revision < before.revision);
                self.past.insert(at, Past { cell, value: before.value, revision: before.revision });
            }
        }
        Some(self.revision)
    }

    /// Forgets overwritten puts: those up to the revision `old`, and the oldest over the bounds.
    fn forget(&mut self, old: u64, limits: &Limits) {
        let by_age = self.past.partition_point(|past| past.revision <= old);
        let by_count = self.past.len().saturating_sub(limits.events);
        let mut bytes = 0;
        let fits = self.past.iter().rev().take_while(|past| {
            bytes += past.value.len();
            bytes <= limits.event_bytes
        });
        let by_bytes = self.past.len() - fits.count();
        let gone = by_age.max(by_count).max(by_bytes);
        if let Some(last) = self.past.drain(..gone).next_back() {
            self.floor = self.floor.max(last.revision);
        }
    }

    /// All puts above a revision that is not below the floor.
    fn events(&self, after: u64) -> Vec<Event> {
        let event = |cell: &Cell, value: &str, revision| Event {
            name: [self.name, cell.name].concat(),
            value: value.to_owned(),
            revision,
        };
        let first = self.past.partition_point(|past| past.revision <= after);
        let past = self.past.iter().skip(first);
        let mut events: Vec<Event> = past
            .filter_map(|past| Some(event(self.cells.get(past.cell as usize)?, past.value, past.revision)))
            .collect();
        let present = self.cells.iter().filter(|cell| cell.revision > after);
        events.extend(present.map(|cell| event(cell, cell.value, cell.revision)));
        events.sort_unstable_by_key(|event| event.revision);
        events
    }
}

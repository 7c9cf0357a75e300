//! Groups of small keys with one rising count of revisions, and their puts in order.
//!
//! A group's value holds each key as it is, whatever its age, and besides the puts that were overwritten not long
//! ago. A put is never in both, and each is there once until it is old. Of the larger ones only a digest of the value is
//! there: enough to know a put that comes again, and to know its value beside the group's ([`PastValues`]).

use std::borrow::Cow;
use std::fmt::Write;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::fault::{self, Fault};
use crate::subjects::memory::Memory;
use crate::subjects::past::PastValues;
use crate::subjects::{Verdict, encoded};
use crate::types::{Answer, Event, group_of};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Group<'a> {
    /// The last one given.
    revision: u64,
    /// The highest revision among the puts whose values are not here. For builds that know of none beside the group's.
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
    /// The key's place among the cells. With [`REDUCED`] added the value is a digest of what was put.
    cell: u32,
    #[serde(borrow)]
    value: Cow<'a, str>,
    revision: u64,
}

/// Above all places of cells, so that a build without digests takes such a put for one of no key.
const REDUCED: u32 = 1 << 31;
/// Bytes of a digest: that two of a group's values share one is out of question.
const DIGEST_BYTES: usize = 16;

/// The revision of a group without a put. The count is at 1 from the start: one who watches an empty group is given
/// that, and asks for what is above it; with 0 he would ask for the present again, past the first put.
const EMPTY: u64 = 1;

/// The revision that a group is at.
pub fn revision(held: Option<&[u8]>) -> u64 {
    // It stands first, so nothing else need be read.
    held.and_then(|bytes| postcard::take_from_bytes::<u64>(bytes).ok())
        .map_or(EMPTY, |(revision, _)| revision)
}

/// What there is for a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// Nothing yet.
    Nothing,
    /// All puts, or that they are forgotten.
    Told(Answer),
    /// Values of these revisions are with other members.
    Lacking(Vec<u64>),
}

/// What a watch is told of a group, if there is news for it: all puts above `after`, or that they are forgotten.
/// An `after` of 0 asks only for the present revision. All puts go into one answer: a revision that is given out
/// has to be the present one, since it may be asked from for as long as puts are kept.
pub fn events_after(held: Option<&[u8]>, after: u64, past: &PastValues) -> News {
    let present = revision(held);
    if after == 0 {
        return News::Told(Answer::Events { events: Vec::new(), revision: present });
    }
    let Some(group) = held.filter(|_| after < present).and_then(Group::decode) else { return News::Nothing };
    if !group.knows_all_after(after) {
        return News::Told(Answer::Expired);
    }
    match group.events(after, past) {
        Ok(events) => News::Told(Answer::Events { events, revision: present }),
        Err(lacking) => News::Lacking(lacking),
    }
}

pub(super) fn watch(
    name: &str, after: u64, held: Option<&[u8]>, memory: &mut Memory, now: Duration,
) -> Verdict {
    memory.saw(name, revision(held), now);
    match events_after(held, after, &PastValues::default()) {
        News::Told(answer) => Verdict::Answer(answer),
        News::Nothing => Verdict::Answer(Answer::Events { events: Vec::new(), revision: after }),
        News::Lacking(_) => Verdict::busy(),
    }
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
    group.forget(old);
    group.reduce(limits.event_bytes);
    if group.past.len() > limits.events {
        return Verdict::busy();
    }
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
    pub(super) fn decode(held: &'a [u8]) -> Option<Group<'a>> {
        postcard::from_bytes(held).ok()
    }

    /// The same, of a group that may not be there.
    fn read(held: Option<&'a [u8]>, name: &'a str) -> Option<Group<'a>> {
        match held {
            Some(bytes) => Group::decode(bytes),
            None => Some(Group { revision: EMPTY, floor: 0, name, cells: Vec::new(), past: Vec::new() }),
        }
    }

    /// The revision that a key's value got when it was put.
    fn first_revision(&self, place: usize, value: &str) -> Option<u64> {
        let cell = self.cells.get(place)?;
        if cell.value == value {
            return Some(cell.revision);
        }
        let digest = self.past.iter().any(Past::is_reduced).then(|| digest_of(value));
        let is_value = |past: &&Past| match &digest {
            Some(digest) if past.is_reduced() => past.value == *digest,
            _ => !past.is_reduced() && past.value == value,
        };
        let mut of_key = self.past.iter().filter(|past| past.place() == place);
        of_key.find(is_value).map(|past| past.revision)
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
                self.past.insert(at, Past { cell, value: before.value.into(), revision: before.revision });
            }
        }
        Some(self.revision)
    }

    /// Forgets overwritten puts up to the revision `old`, and no other: a younger one may come again, and would be
    /// written twice.
    fn forget(&mut self, old: u64) {
        let gone = self.past.partition_point(|past| past.revision <= old);
        if let Some(last) = self.past.drain(..gone).next_back() {
            self.floor = self.floor.max(last.revision);
        }
    }

    /// Of the oldest overwritten puts whose values do not fit into `most` bytes a digest is kept instead.
    fn reduce(&mut self, most: usize) {
        let mut bytes = 0;
        for past in self.past.iter_mut().rev().filter(|past| !past.is_reduced()) {
            bytes += past.value.len();
            if bytes > most {
                self.floor = self.floor.max(past.revision);
                past.value = digest_of(&past.value).into();
                past.cell |= REDUCED;
            }
        }
    }

    /// Overwritten puts above a revision.
    fn past_after(&self, after: u64) -> &[Past<'a>] {
        let first = self.past.partition_point(|past| past.revision <= after);
        self.past.get(first..).unwrap_or_default()
    }

    /// Whether no put above a revision is forgotten: each revision was given to one put.
    fn knows_all_after(&self, after: u64) -> bool {
        let present = self.cells.iter().filter(|cell| cell.revision > after).count();
        (self.past_after(after).len() + present) as u64 == self.revision.saturating_sub(after)
    }

    /// All puts above a revision; or the revisions of those whose values are neither here nor among the past ones.
    fn events(&self, after: u64, values: &PastValues) -> Result<Vec<Event>, Vec<u64>> {
        let event = |cell: &Cell, value: &str, revision| Event {
            name: [self.name, cell.name].concat(),
            value: value.to_owned(),
            revision,
        };
        let (mut events, mut lacking) = (Vec::new(), Vec::new());
        for past in self.past_after(after) {
            let reduced = past.is_reduced();
            let kept =
                if reduced { values.get(self.name, past.revision, &past.value) } else { Some(&*past.value) };
            match (self.cells.get(past.place()), kept) {
                (Some(cell), Some(value)) => events.push(event(cell, value, past.revision)),
                _ => lacking.push(past.revision),
            }
        }
        if !lacking.is_empty() {
            return Err(lacking);
        }
        let present = self.cells.iter().filter(|cell| cell.revision > after);
        events.extend(present.map(|cell| event(cell, cell.value, cell.revision)));
        events.sort_unstable_by_key(|event| event.revision);
        Ok(events)
    }

    /// The oldest overwritten put that is known.
    pub(super) fn first_past(&self) -> Option<u64> {
        self.past.first().map(|past| past.revision)
    }

    /// Overwritten puts of which a digest is here.
    pub(super) fn reduced(&self) -> impl Iterator<Item = (u64, &str)> {
        self.past.iter().filter(|past| past.is_reduced()).map(|past| (past.revision, &*past.value))
    }

    /// The value of a put, if it is here.
    pub(super) fn value_at(&self, revision: u64) -> Option<&str> {
        let at = self.past.binary_search_by_key(&revision, |past| past.revision);
        let past = at.ok().and_then(|at| self.past.get(at)).filter(|past| !past.is_reduced());
        let present = || self.cells.iter().find(|cell| cell.revision == revision).map(|cell| cell.value);
        past.map(|past| &*past.value).or_else(present)
    }
}

impl Past<'_> {
    /// The key's place among the cells.
    fn place(&self) -> usize {
        (self.cell & !REDUCED) as usize
    }

    fn is_reduced(&self) -> bool {
        self.cell & REDUCED != 0
    }
}

/// What is kept of a value that is not kept itself, as hexadecimal text.
pub(super) fn digest_of(value: &str) -> String {
    let mut text = String::with_capacity(2 * DIGEST_BYTES);
    for byte in Sha256::digest(value).iter().take(DIGEST_BYTES) {
        // Writing to memory does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

//! Values of overwritten puts of which their group's value has digests alone. A member that takes a group's next value keeps what
//! that one has reduced and the one before it still had. So each value that was committed is with all members that committed it, for
//! as long as the group knows of it, and is told by its digest from any other. A member that has missed one asks others for it.

use std::collections::{BTreeMap, BTreeSet};

use crate::subjects::cells::{Group, digest_of};

/// A value, and what its group's value has of it.
#[derive(Clone, Debug, PartialEq, Hash)]
struct Kept {
    digest: String,
    value: String,
}

/// By revision.
#[derive(Clone, Debug, Default, Hash)]
struct Past {
    values: BTreeMap<u64, Kept>,
    /// The group's value has a digest, and the value was not here.
    lacking: BTreeSet<u64>,
    bytes: usize,
}

/// What one member keeps of all groups.
#[derive(Clone, Debug, Default, Hash)]
pub struct PastValues {
    groups: BTreeMap<String, Past>,
    bytes: usize,
}

impl Past {
    fn holds(&self, revision: u64, digest: &str) -> bool {
        self.values.get(&revision).is_some_and(|kept| kept.digest == digest)
    }

    fn keep(&mut self, revision: u64, kept: Kept) {
        self.lacking.remove(&revision);
        self.bytes += kept.value.len();
        let before = self.values.insert(revision, kept);
        self.bytes -= before.map_or(0, |before| before.value.len());
    }

    /// What lies before this revision is not known to the group any more.
    fn forget_before(&mut self, revision: u64) {
        while let Some(first) = self.values.first_entry().filter(|first| *first.key() < revision) {
            self.bytes -= first.remove().value.len();
        }
        self.lacking = self.lacking.split_off(&revision);
    }

    /// Of what a group's value has digests of, what is neither here nor known to be lacking. Both are in order, and most is here.
    fn missing<'a>(&self, group: &'a Group) -> Vec<(u64, &'a str)> {
        let mut kept = self.values.iter().peekable();
        let is_missing = |(revision, digest): &(u64, &str)| {
            while kept.next_if(|(before, _)| **before < *revision).is_some() {}
            let holds = kept.peek().is_some_and(|(at, kept)| **at == *revision && kept.digest == *digest);
            !holds && !self.lacking.contains(revision)
        };
        group.reduced().filter(is_missing).collect()
    }

    /// After a group's value took the place of another.
    fn replaced(&mut self, before: Option<&[u8]>, after: &Group) {
        self.forget_before(after.first_past().unwrap_or(u64::MAX));
        let missing = self.missing(after);
        let before = before.filter(|_| !missing.is_empty()).and_then(Group::decode);
        for (revision, digest) in missing {
            let value = before.as_ref().and_then(|before| before.value_at(revision));
            match value.filter(|value| digest_of(value) == digest) {
                Some(value) => self.keep(revision, Kept { digest: digest.into(), value: value.into() }),
                None => _ = self.lacking.insert(revision),
            }
        }
    }
}

impl PastValues {
    /// Bytes of all values.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes of one group's.
    pub fn bytes_of(&self, group: &str) -> usize {
        self.groups.get(group).map_or(0, |past| past.bytes)
    }

    /// A group's value has taken the place of another.
    pub fn replaced(&mut self, group: &str, before: Option<&[u8]>, after: &[u8]) {
        let Some(after) = Group::decode(after) else { return };
        if after.reduced().next().is_none() {
            self.bytes -= self.groups.remove(group).map_or(0, |past| past.bytes);
            return;
        }
        let past = self.groups.entry(group.to_owned()).or_default();
        let held = past.bytes;
        past.replaced(before, &after);
        self.bytes = self.bytes + past.bytes - held;
    }

    /// Values as another member, or a record, has them; `held`: the group's value by whose digests they are known. Those that were new.
    pub fn add(&mut self, group: &str, held: &[u8], values: Vec<(u64, String)>) -> Vec<(u64, String)> {
        let Some(held) = Group::decode(held) else { return Vec::new() };
        let digests: BTreeMap<u64, &str> = held.reduced().collect();
        let past = self.groups.entry(group.to_owned()).or_default();
        let before = past.bytes;
        let mut new = Vec::new();
        for (revision, value) in values {
            let Some(digest) = digests.get(&revision).filter(|digest| !past.holds(revision, digest)) else {
                continue;
            };
            if digest_of(&value) == **digest {
                past.keep(revision, Kept { digest: (*digest).to_owned(), value: value.clone() });
                new.push((revision, value));
            }
        }
        self.bytes = self.bytes + past.bytes - before;
        new
    }

    /// The value of a put of which a group's value has this digest.
    pub(super) fn get(&self, group: &str, revision: u64, digest: &str) -> Option<&str> {
        let kept = self.groups.get(group)?.values.get(&revision)?;
        (kept.digest == digest).then_some(kept.value.as_str())
    }

    /// Of these revisions the values that are here, in the group's present value or beside it; so many bytes of them.
    pub fn give(&self, group: &str, held: Option<&[u8]>, wanted: &[u64], most: usize) -> Vec<(u64, String)> {
        let past = self.groups.get(group);
        let held = held.and_then(Group::decode);
        let value = |revision: &u64| {
            let kept = past.and_then(|past| past.values.get(revision)).map(|kept| kept.value.as_str());
            let value = kept.or_else(|| held.as_ref()?.value_at(*revision))?;
            Some((*revision, value.to_owned()))
        };
        let mut bytes = 0;
        let fits = |(_, value): &(u64, String)| {
            bytes += value.len();
            bytes <= most
        };
        wanted.iter().filter_map(value).take_while(fits).collect()
    }

    /// Groups of which values are lacking here, and these values' revisions.
    pub fn lacking(&self) -> impl Iterator<Item = (&str, impl Iterator<Item = u64>)> {
        let short = self.groups.iter().filter(|(_, past)| !past.lacking.is_empty());
        short.map(|(group, past)| (group.as_str(), past.lacking.iter().copied()))
    }

    /// All values of all groups.
    pub fn all(&self) -> impl Iterator<Item = (&str, impl Iterator<Item = (u64, String)>)> {
        self.groups.iter().map(|(group, past)| {
            let values = past.values.iter().map(|(revision, kept)| (*revision, kept.value.clone()));
            (group.as_str(), values)
        })
    }
}

/// Values in pages of so many bytes; a page has one value at least.
pub(crate) fn paged(
    values: impl Iterator<Item = (u64, String)>, bytes: usize,
) -> impl Iterator<Item = Vec<(u64, String)>> {
    let mut values = values.peekable();
    std::iter::from_fn(move || {
        let mut room = bytes;
        let mut page = Vec::new();
        while let Some(next) = values.next_if(|(_, value)| page.is_empty() || value.len() <= room) {
            room = room.saturating_sub(next.1.len());
            page.push(next);
        }
        (!page.is_empty()).then_some(page)
    })
}

//! The versions that a receiver held of late, so that it can go back to one of them: on a slow link a delta may leave
//! before the sender has heard that the one before it has arrived, and then both begin at the same version.

use crate::table::{Change, Content, Delta, Entry, Key, Version};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug, Default)]
pub(crate) struct Taken {
    /// Each with what leads back to it from what is held now; the oldest first.
    versions: VecDeque<(Version, BTreeMap<Key, Option<Entry>>)>,
}

impl Taken {
    /// What leads from the held content to a delta's result, by way of the delta's base. `None`: its base is neither
    /// what is held nor a version that can be gone back to.
    pub(crate) fn way(&self, held: Version, delta: &Delta) -> Option<Vec<Change>> {
        if held == delta.base {
            return Some(delta.changes.clone());
        }
        let (_, back) = self.versions.iter().find(|(version, _)| *version == delta.base)?;
        let mut way: BTreeMap<&Key, Option<&Entry>> =
            back.iter().map(|(key, entry)| (key, entry.as_ref())).collect();
        way.extend(delta.changes.iter().map(|change| (&change.key, change.entry.as_ref())));
        let change =
            |(key, entry): (&Key, Option<&Entry>)| Change { key: key.clone(), entry: entry.cloned() };
        Some(way.into_iter().map(change).collect())
    }

    /// The held version is left by these changes of its content. The sender knows by now that `base` was held: no
    /// version before it is gone back to. Of the others the oldest are forgotten, beyond that many changes.
    pub(crate) fn left(
        &mut self, held: Version, content: &Content, changes: &[Change], base: Version, most: usize,
    ) {
        let before: BTreeMap<Key, Option<Entry>> =
            changes.iter().map(|change| (change.key.clone(), content.get(&change.key).cloned())).collect();
        self.versions.retain(|(version, _)| version.number >= base.number);
        for (_, back) in &mut self.versions {
            for (key, entry) in &before {
                back.entry(key.clone()).or_insert_with(|| entry.clone());
            }
        }
        self.versions.push_back((held, before));
        while self.versions.iter().map(|(_, back)| back.len() + 1).sum::<usize>() > most {
            self.versions.pop_front();
        }
    }
}

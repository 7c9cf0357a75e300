//! The receiver's side: holds on to its last checked table, and uses no server of whose withdrawal it has heard.

use crate::table::{Change, Content, Delta, Entry, Key, Version, Whole};
use crate::taken::Taken;
use crate::withdrawals::Withdrawal;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// What a table past its lease means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenOld {
    /// It is used as it is.
    #[default]
    GoOn,
    /// Only servers are used that were confirmed within the lease; if there is none, all are.
    ShunUnconfirmed,
}

/// By what terms a receiver holds a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Time without a word from the feed after which the table is old.
    pub lease: Duration,
    pub when_old: WhenOld,
    /// Most entries of a table, and most withdrawals held.
    pub entries: usize,
    pub withdrawals: usize,
    /// Most changes that lead back to versions that it held: a delta that left before the sender heard of what is held
    /// now begins there.
    pub back: usize,
}

impl Default for Terms {
    fn default() -> Self {
        let lease = Duration::from_secs(30);
        Terms { lease, when_old: WhenOld::GoOn, entries: 10_000, withdrawals: 100_000, back: 4096 }
    }
}

/// Why something that came is not applied. What is held stays; the receiver says what it holds and asks again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reject {
    #[error("another table")]
    OtherTable,
    /// Its base is not what is held: a delta was missed, came out of turn, or is of another epoch.
    #[error("it does not follow what is held")]
    Gap,
    /// Applied, it would not give what it says.
    #[error("it does not give the digest that it names")]
    Digest,
    /// Until the withdrawals of its epoch are heard it may name servers that are out.
    #[error("the withdrawals of its epoch have not been heard")]
    Unheard,
    #[error("more entries than are taken")]
    Bounds,
    /// A figure that is none, or an entry of the wrong kind.
    #[error("an entry that cannot be")]
    Entry,
}

/// How old a table is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// None was ever had.
    Never,
    InLease,
    /// For so long past the lease.
    Old(Duration),
}

#[derive(Clone, Debug)]
pub struct Receiver {
    table: u32,
    terms: Terms,
    version: Option<Version>,
    content: Content,
    taken: Taken,
    /// The epoch and sequence of the last withdrawal, and the servers that are out.
    heard: (u64, u64),
    out: BTreeSet<Arc<str>>,
    last_word: Option<Duration>,
    /// Servers that are in doubt since the feed was last heard, by when they were confirmed.
    confirmed: BTreeMap<Arc<str>, Duration>,
}

fn possible(key: &Key, entry: &Entry) -> bool {
    match (key, entry) {
        (Key::Line(_), Entry::Part(part)) => part.is_finite() && *part > 0.0,
        (Key::Level(_), Entry::Level { admit, policy }) => *admit >= 0.0 && *policy <= 3,
        (Key::Note(_), Entry::Note(_)) => true,
        _ => false,
    }
}

impl Receiver {
    pub fn new(table: u32, terms: Terms) -> Receiver {
        Receiver {
            table,
            terms,
            version: None,
            content: Content::default(),
            taken: Taken::default(),
            heard: (0, 0),
            out: BTreeSet::new(),
            last_word: None,
            confirmed: BTreeMap::new(),
        }
    }

    /// What it joins with, and what it acknowledges.
    pub fn version(&self) -> Option<Version> {
        self.version
    }
    /// The epoch and sequence up to which withdrawals were heard.
    pub fn heard(&self) -> (u64, u64) {
        self.heard
    }
    pub fn content(&self) -> &Content {
        &self.content
    }
    /// The servers that are out, as far as heard.
    pub fn out(&self) -> &BTreeSet<Arc<str>> {
        &self.out
    }

    /// All of a table: checked, and taken in place of what is held. The withdrawals of its epoch come first: a
    /// table alone would have a newcomer use servers that are out.
    ///
    /// # Errors
    /// [`Reject`]; then nothing has changed.
    pub fn take_whole(&mut self, now: Duration, whole: &Whole) -> Result<Version, Reject> {
        if whole.table != self.table {
            return Err(Reject::OtherTable);
        }
        if whole.version.epoch != self.heard.0 {
            return Err(Reject::Unheard);
        }
        if whole.entries.len() > self.terms.entries {
            return Err(Reject::Bounds);
        }
        if !whole.entries.iter().all(|(key, entry)| possible(key, entry)) {
            return Err(Reject::Entry);
        }
        // One that is late is older than what is held: it would undo what came after it.
        let late = |held: Version| held.epoch == whole.version.epoch && held.number > whole.version.number;
        if self.version.is_some_and(late) {
            return Err(Reject::Gap);
        }
        let mut content = Content::default();
        whole.entries.iter().for_each(|(key, entry)| _ = content.set(key, Some(entry.clone())));
        if content.digest() != whole.version.digest || content.entries().len() != whole.entries.len() {
            return Err(Reject::Digest);
        }
        (self.content, self.version, self.taken) = (content, Some(whole.version), Taken::default());
        self.word(now);
        Ok(whole.version)
    }

    /// What changed: checked first, and applied whole or not at all.
    ///
    /// # Errors
    /// [`Reject`]; then nothing has changed.
    pub fn take_delta(&mut self, now: Duration, delta: &Delta) -> Result<Version, Reject> {
        if delta.table != self.table {
            return Err(Reject::OtherTable);
        }
        if self.version == Some(delta.result) {
            // Told twice.
            self.word(now);
            return Ok(delta.result);
        }
        let held = self.version.ok_or(Reject::Gap)?;
        // What is late would undo what came after it.
        if delta.result.epoch != held.epoch || delta.result.number <= held.number {
            return Err(Reject::Gap);
        }
        let once = delta.changes.windows(2).all(|pair| pair[0].key < pair[1].key);
        if !once {
            return Err(Reject::Digest);
        }
        let changes = self.taken.way(held, delta).ok_or(Reject::Gap)?;
        let is_new = |c: &&Change| c.entry.is_some() && self.content.get(&c.key).is_none();
        let more = changes.iter().filter(is_new).count();
        let fewer =
            changes.iter().filter(|c| c.entry.is_none() && self.content.get(&c.key).is_some()).count();
        if (self.content.entries().len() + more).saturating_sub(fewer) > self.terms.entries {
            return Err(Reject::Bounds);
        }
        if !delta.changes.iter().all(|c| c.entry.as_ref().is_none_or(|entry| possible(&c.key, entry))) {
            return Err(Reject::Entry);
        }
        if self.content.digest_after(&changes) != delta.result.digest {
            return Err(Reject::Digest);
        }
        self.taken.left(held, &self.content, &changes, delta.base, self.terms.back);
        for Change { key, entry } in changes {
            self.content.set(&key, entry);
        }
        self.version = Some(delta.result);
        self.word(now);
        Ok(delta.result)
    }

    /// A withdrawal, or its end. Those of an epoch come in order; one that is older than what was heard changes
    /// nothing. `false`: one between was missed, and has to be asked for.
    pub fn take_withdrawal(&mut self, now: Duration, epoch: u64, told: &Withdrawal) -> bool {
        if epoch == self.heard.0 && told.sequence <= self.heard.1 {
            return true;
        }
        if told.out {
            // Heard out of turn it holds all the same: leaving a server out does no harm.
            if self.out.len() < self.terms.withdrawals {
                self.out.insert(told.server.clone());
            }
        }
        let next = epoch == self.heard.0 && told.sequence == self.heard.1 + 1;
        if next {
            if !told.out {
                self.out.remove(&told.server);
            }
            self.heard.1 = told.sequence;
            self.word(now);
        }
        next
    }

    /// All withdrawals of an epoch at once, up to a sequence: those not named are none. What comes of one epoch
    /// after another has begun is the stream's to prevent: a stream ends with its epoch.
    pub fn take_withdrawals(
        &mut self, now: Duration, epoch: u64, sequence: u64, out: impl IntoIterator<Item = Arc<str>>,
    ) {
        if epoch == self.heard.0 && sequence < self.heard.1 {
            return;
        }
        self.out = out.into_iter().take(self.terms.withdrawals).collect();
        self.heard = (epoch, sequence);
        self.word(now);
    }

    /// The feed says that nothing is new: what is held still holds.
    pub fn confirmed(&mut self, now: Duration, version: Version) -> bool {
        let same = self.version == Some(version);
        if same {
            self.word(now);
        }
        same
    }

    fn word(&mut self, now: Duration) {
        self.last_word = Some(now);
        if self.terms.when_old == WhenOld::GoOn {
            // Nobody asks which servers are confirmed.
            return;
        }
        let servers = self.content.entries().keys().filter_map(Key::server);
        self.confirmed = servers.map(|server| (server.clone(), now)).collect();
    }

    /// Whether a version is one before what is held: its word left before the sender heard of that.
    pub fn is_past(&self, version: Version) -> bool {
        self.version.is_some_and(|held| held.epoch == version.epoch && held.number > version.number)
    }

    /// Another party vouches for a server: a health check of the receiver's own, say.
    pub fn vouched(&mut self, now: Duration, server: &str) {
        if let Some(at) = self.confirmed.get_mut(server) {
            *at = now;
        }
    }

    pub fn age(&self, now: Duration) -> Age {
        match (self.version, self.last_word) {
            (Some(_), Some(at)) if now <= at + self.terms.lease => Age::InLease,
            (Some(_), Some(at)) => Age::Old(now - at - self.terms.lease),
            _ => Age::Never,
        }
    }

    /// The servers that may be used now, with their parts: never one of whose withdrawal it has heard.
    pub fn usable(&self, now: Duration) -> Vec<(&Arc<str>, f64)> {
        let lines = || {
            self.content.entries().iter().filter_map(|(key, entry)| match (key, entry) {
                (Key::Line(server), Entry::Part(part)) if !self.out.contains(server) => Some((server, *part)),
                _ => None,
            })
        };
        let shuns = self.terms.when_old == WhenOld::ShunUnconfirmed && matches!(self.age(now), Age::Old(_));
        if shuns {
            let fresh = |server: &Arc<str>| {
                self.confirmed.get(server).is_some_and(|at| now <= *at + self.terms.lease)
            };
            let confirmed: Vec<_> = lines().filter(|(server, _)| fresh(server)).collect();
            if !confirmed.is_empty() {
                return confirmed;
            }
        }
        lines().collect()
    }
}

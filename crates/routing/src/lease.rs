//! Whether what is routed by may still be gone by.
//!
//! A change of configuration, or a server's end, binds all supervisors a while after its acknowledgement, heard or not. So a
//! view is good up to the moment for which a home has said that nothing is missing from it, and for a while longer.
//!
//! A change of offices' routes is acknowledged when nobody in touch can route by
//! what was before, so whoever may have missed one does not answer for them until it knows.
//!
//! Two things make for doubt: a word that a revision is kept that is not held here yet, for the places that it
//! touches; and a home that has not confirmed for too long what is held, for all routes of offices. Nor is it known then that
//! a route is not there: it may have been added since.

use fallgap_config::Before;
use std::sync::Arc;
use std::time::Duration;

/// A host and a prefix.
pub type Place = (Arc<str>, Arc<str>);

/// How long a home's word holds, and how long a word on a kept revision is waited upon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// Homes confirm every 0.2 to 0.3 s.
    pub confirmed: Duration,
    /// By then a supervisor in touch has followed twice over. What is told goes out of force with it.
    pub heeded: Duration,
    /// Words at a time; over it the oldest gives way to doubt of all routes of offices.
    pub words: usize,
    /// So long a view may be routed by while its home has news that has not come.
    pub behind: Duration,
    /// So long keys of customers are gone by after all that was committed was known; none: for good.
    pub keys: Option<Duration>,
}

/// Up to when the view that is routed by is known to be complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewTimes {
    /// The last word of a home by which it is the newest, however long that word was on its way.
    pub confirmed: Option<Duration>,
    /// All that the home knew by then is in it.
    pub known: Duration,
    /// All that was committed by then is in it.
    pub committed: Option<Before>,
    /// Others have had words lately, and no home that it cannot be followed: what is missing can be expected.
    pub is_reached: bool,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        let ms = Duration::from_millis;
        LeaseTerms { confirmed: ms(1000), heeded: ms(5000), words: 64, behind: ms(2250), keys: None }
    }
}

struct Word {
    revision: u64,
    until: Duration,
    /// `None`: wherever an office has a route.
    places: Option<Vec<Place>>,
}

#[derive(Default)]
pub struct Lease {
    terms: LeaseTerms,
    times: ViewTimes,
    revision: u64,
    words: Vec<Word>,
}

impl Lease {
    pub fn new(terms: LeaseTerms) -> Lease {
        Lease { terms, ..Lease::default() }
    }

    /// Up to when the view is known to be complete.
    pub fn view_times(&mut self, times: ViewTimes) {
        self.times = times;
    }

    /// Whether others have had words lately, and a home none for too long that nothing is missing. A supervisor that hears
    /// nobody is cut off, and goes on by what it has.
    pub fn is_behind(&self, now: Duration) -> bool {
        self.times.is_reached && now > self.times.known + self.terms.behind
    }

    /// Whether keys may have been taken away for too long without a word here, whoever is in touch.
    pub fn keys_lapsed(&self, now: Duration) -> bool {
        let held = |keys| self.times.committed.is_some_and(|at| at.is_within(now, keys));
        self.terms.keys.is_some_and(|keys| !held(keys))
    }

    /// Whether others can be asked something: they have had words lately, and a home that can be followed.
    pub fn is_reached(&self) -> bool {
        self.times.is_reached
    }

    /// Whether keys hold for a good while yet: a third of their time is left.
    pub fn keys_hold_on(&self, now: Duration) -> bool {
        let held = |keys: Duration| self.times.committed.is_some_and(|at| at.is_within(now, keys * 2 / 3));
        self.terms.keys.is_none_or(held)
    }

    /// Routes by a revision from here on.
    pub fn holds(&mut self, revision: u64) {
        self.revision = revision;
        self.words.retain(|word| word.revision > revision);
    }

    /// A revision is kept. Tells whether it, or a later one, is held already.
    pub fn heed(&mut self, now: Duration, revision: u64, places: Vec<Place>) -> bool {
        if revision <= self.revision {
            return true;
        }
        self.words.retain(|word| now < word.until);
        if self.words.len() >= self.terms.words
            && let Some(oldest) = self.words.first_mut()
        {
            oldest.places = None;
            oldest.revision = oldest.revision.max(revision);
            oldest.until = now + self.terms.heeded;
        } else {
            self.words.push(Word { revision, until: now + self.terms.heeded, places: Some(places) });
        }
        false
    }

    /// Whether what is held may be old: no home has confirmed it for too long.
    pub fn is_unsure(&self, now: Duration) -> bool {
        self.times.confirmed.is_none_or(|at| now > at + self.terms.confirmed)
    }

    /// Whether a request may not be routed by what is held. `owned`: its route is an office's.
    pub fn doubts(&self, now: Duration, host: &str, path: &str, owned: bool) -> bool {
        let told = |word: &Word| match &word.places {
            None => owned,
            Some(places) => places.iter().any(|(h, prefix)| **h == *host && path.starts_with(&**prefix)),
        };
        (owned && self.is_unsure(now)) || self.words.iter().any(|word| now < word.until && told(word))
    }

    /// Whether it can be in doubt at all.
    pub fn is_told(&self) -> bool {
        !self.words.is_empty()
    }
}

//! Whether a home can be followed, and whether its word confirms what is held.
//!
//! A home that is not in contact with a majority of the keepers may hold something old. One that has come back into
//! contact still does, until a read at a majority that began since then has come back (a read index). What a home
//! remembers over its own start is served for a while at the start, but confirms nothing. Beyond that while nobody follows a home
//! that has not read which servers have ended.

use std::time::Duration;

/// A home in contact waits so long for its first read before it takes followers without one.
const FOR_READ: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fit {
    /// It cannot be followed.
    No,
    /// It can be followed for want of a better one; what it tells may be old.
    Serves,
    /// What it tells is what a majority had, since it last came into contact with one.
    Confirms,
}

/// What a home knows of its contact with the majority at a time.
#[derive(Clone, Copy, Debug)]
pub struct Ground {
    pub contact: bool,
    /// When the newest read at a majority began that has come back.
    pub read: Option<Duration>,
    /// The same for the ends of servers alone.
    pub ends_read: Option<Duration>,
    /// It has something to tell.
    pub knows: bool,
}

/// How it stood until now.
#[derive(Clone, Copy, Debug)]
pub struct Fitness {
    /// Until then it may serve what it remembers.
    young: Duration,
    /// Since when it is in contact without a break.
    since: Option<Duration>,
}

impl Fitness {
    pub fn start(young: Duration) -> Fitness {
        Fitness { young, since: None }
    }

    /// It was started a moment ago.
    pub fn is_young(&self, now: Duration) -> bool {
        now < self.young
    }

    /// The one place where it changes.
    pub fn judge(&mut self, now: Duration, ground: Ground) -> Fit {
        self.since = ground.contact.then(|| self.since.unwrap_or(now));
        let young = ground.knows && self.is_young(now);
        let began_since = |since: Duration, read: Option<Duration>| read.is_some_and(|read| read >= since);
        match self.since {
            Some(since) if began_since(since, ground.read) => Fit::Confirms,
            Some(_) if young => Fit::Serves,
            // A server that it lists may have ended without it.
            Some(since) if now >= since + FOR_READ && began_since(since, ground.ends_read) => Fit::Serves,
            None if young => Fit::Serves,
            _ => Fit::No,
        }
    }
}

//! Ends of servers that this keeper knows of, and supervisors that wait for its word on that. The word may be acknowledged to
//! the server, which serves on for a while and no longer; so it is given when all that follow this home have heard of the end.
//! Who does not hear of it is not waited for beyond what the server's own patience leaves.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

/// So long after this keeper heard of an end followers have to hear of it. A server waits for a second.
pub const FOR_FOLLOWERS: Duration = Duration::from_millis(600);
/// Words that are owed at once. One beyond is not noted: whoever waits asks again.
const MOST: usize = 4096;

struct Owed {
    to: Ipv4Addr,
    id: u64,
    server: Arc<str>,
    until: Duration,
}

#[derive(Default)]
pub struct Ends {
    owed: Vec<Owed>,
    told_unheard: u64,
}

impl Ends {
    /// A supervisor is to be told, by its own number, at that time at the latest.
    pub fn owe(&mut self, to: Ipv4Addr, id: u64, server: Arc<str>, until: Duration) {
        let known = self.owed.iter().any(|owed| (owed.to, owed.id) == (to, id));
        if !known && self.owed.len() < MOST {
            self.owed.push(Owed { to, id, server, until });
        }
    }

    /// Who is to be told now, by which number. `heard`: whether all that follow have heard that a server is out.
    pub fn due(&mut self, now: Duration, heard: impl Fn(&str) -> bool) -> Vec<(Ipv4Addr, u64)> {
        let is_due = |owed: &Owed| now >= owed.until || heard(&owed.server);
        let (due, later) = self.owed.drain(..).partition(is_due);
        self.owed = later;
        let due: Vec<Owed> = due;
        self.told_unheard += due.iter().filter(|owed| !heard(&owed.server)).count() as u64;
        due.into_iter().map(|owed| (owed.to, owed.id)).collect()
    }

    /// Words that were given though not all that follow had heard of the end.
    pub fn told_unheard(&self) -> u64 {
        self.told_unheard
    }

    /// When to look again, whatever is heard.
    pub fn next_wake(&self) -> Option<Duration> {
        self.owed.iter().map(|owed| owed.until).min()
    }
}

//! A hollow follower: it joins homes and leaves them as a real one does, and answers what it is told by the versions
//! that stand at the head of a message. What the table holds it does not read: a real follower takes ten milliseconds
//! for each update at ten thousand entries, and hundreds of them share this machine.

use fallgap_feed::wire::{Said, Told};
use fallgap_registry::{RosterWord, Terms};
use fallgap_tables::Version;
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Messages up to that length are read whole.
const SHORT: usize = 1000;
/// Versions held before, which a difference may begin from.
const EARLIER: usize = 8;

pub struct Echo {
    me: Ipv4Addr,
    terms: Terms,
    homes: Vec<Ipv4Addr>,
    avoided: BTreeMap<Ipv4Addr, Duration>,
    home: Option<Ipv4Addr>,
    came: Duration,
    heard: Duration,
    say: Duration,
    holds: Option<Version>,
    earlier: VecDeque<Version>,
    ends: (u64, u64),
    confirmed: Option<Duration>,
    pub edition: u64,
    pub out: Vec<(Ipv4Addr, RosterWord)>,
}

fn version(text: &[u8]) -> Option<Version> {
    let text = std::str::from_utf8(text).ok()?;
    let mut parts = text.split('.');
    let mut part = || u128::from_str_radix(parts.next()?, 16).ok();
    let (epoch, number, digest) = (part()?, part()?, part()?);
    Some(Version { epoch: u64::try_from(epoch).ok()?, number: u64::try_from(number).ok()?, digest })
}

fn find(line: &[u8], what: &[u8]) -> Option<usize> {
    line.windows(what.len()).position(|piece| piece == what).map(|at| at + what.len())
}

/// What stands behind a name, up to the next quotation mark.
fn named<'l>(line: &'l [u8], name: &[u8]) -> Option<&'l [u8]> {
    let rest = line.get(find(line, name)?..)?;
    rest.split(|byte| *byte == b'"').next()
}

impl Echo {
    pub fn start(now: Duration, me: Ipv4Addr, terms: Terms) -> Echo {
        Echo {
            me,
            terms,
            homes: Vec::new(),
            avoided: BTreeMap::new(),
            home: None,
            came: now,
            heard: now,
            say: now,
            holds: None,
            earlier: VecDeque::new(),
            ends: (0, 0),
            confirmed: None,
            edition: 0,
            out: Vec::new(),
        }
    }

    pub fn home(&self) -> Option<Ipv4Addr> {
        self.home
    }

    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_sub(at))
    }

    fn said(&self, rejected: bool) -> Said {
        Said { table: u32::from(self.me), holds: self.holds, heard: self.ends, rejected }
    }

    fn answer(&mut self, now: Duration, to: Ipv4Addr, rejected: bool) {
        self.say = now + self.terms.say;
        self.out.push((to, RosterWord::said(&self.said(rejected))));
    }

    pub fn homes(&mut self, now: Duration, list: Vec<Ipv4Addr>) {
        self.homes = list;
        if self.home.is_none_or(|home| !self.homes.contains(&home)) {
            self.home = None;
            self.find(now);
        }
    }

    fn find(&mut self, now: Duration) {
        self.avoided.retain(|_, until| now < *until);
        let first = self.homes.iter().find(|home| !self.avoided.contains_key(home));
        if let Some(home) = first.copied() {
            self.join(now, home);
        }
    }

    fn join(&mut self, now: Duration, home: Ipv4Addr) {
        // What another home gave leads nowhere here.
        self.holds = None;
        self.earlier.clear();
        self.home = Some(home);
        (self.came, self.heard, self.say) = (now, now, now + self.terms.say);
        self.out.push((home, RosterWord::join(&self.said(false))));
    }

    pub fn lost(&mut self, now: Duration, home: Ipv4Addr, avoid: Duration) {
        if self.home == Some(home) {
            self.avoided.insert(home, now + avoid);
            self.home = None;
            self.find(now);
        }
    }

    pub fn unfit(&mut self, now: Duration, from: Ipv4Addr) {
        self.lost(now, from, self.terms.avoid.1);
    }

    pub fn fit(&mut self, now: Duration, from: Ipv4Addr) {
        self.avoided.remove(&from);
        if self.home.is_none() {
            self.find(now);
        }
    }

    pub fn unreached(&mut self, now: Duration, home: Ipv4Addr) {
        if self.holds.is_none() {
            self.lost(now, home, self.terms.avoid.1 / 2);
        }
    }

    fn takes(&mut self, version: Version) {
        self.earlier.extend(self.holds.replace(version));
        if self.earlier.len() > EARLIER {
            self.earlier.pop_front();
        }
    }

    /// Tells whether it was a whole table, or a difference.
    pub fn told(&mut self, now: Duration, from: Ipv4Addr, line: &[u8]) -> Option<bool> {
        let whole = line.starts_with(b"{\"whole\"");
        let delta = line.starts_with(b"{\"delta\"");
        if self.home != Some(from) {
            if whole || delta {
                self.out.push((from, RosterWord::Leave));
            }
            return None;
        }
        self.heard = now;
        let head = line.get(..SHORT.min(line.len())).unwrap_or_default();
        if whole || delta {
            if let Some(edition) = named(line, b"[\"n\",\"edition\",\"") {
                let text = std::str::from_utf8(edition).unwrap_or_default();
                self.edition = text.parse().unwrap_or(self.edition);
            }
            let result =
                named(head, if whole { b"\"version\":\"" } else { b"\"result\":\"" }).and_then(version);
            let base = named(head, b"\"base\":\"").and_then(version);
            let fits =
                whole || base.is_some_and(|base| self.holds == Some(base) || self.earlier.contains(&base));
            if let Some(result) = result.filter(|_| fits) {
                self.takes(result);
                self.confirmed = Some(now);
            }
            self.answer(now, from, !fits);
            return Some(whole);
        }
        match RosterWord::read_told(line, &self.terms) {
            Ok(Told::Same(version)) if self.holds == Some(version) => self.confirmed = Some(now),
            Ok(Told::Same(version)) if self.earlier.contains(&version) => {}
            Ok(Told::Same(_)) => self.answer(now, from, true),
            Ok(Told::Withdrawn { epoch, told }) => {
                self.ends = (epoch, told.sequence);
                self.answer(now, from, false);
            }
            Ok(Told::AllWithdrawn { epoch, sequence, .. }) => {
                self.ends = (epoch, sequence);
                self.answer(now, from, false);
            }
            _ => {}
        }
        None
    }

    pub fn woke(&mut self, now: Duration) {
        let Some(home) = self.home else { return self.find(now) };
        let silent = self.terms.silent_home * if self.holds.is_none() { 3 } else { 1 };
        if now >= self.heard + silent {
            self.out.push((home, RosterWord::Leave));
            self.lost(now, home, self.terms.avoid.0);
        } else if now >= self.say {
            self.answer(now, home, false);
        }
        if now >= self.came + self.terms.settle {
            self.came = now;
            let better = self.homes.first().copied().filter(|first| !self.avoided.contains_key(first));
            if let (Some(better), Some(home)) = (better, self.home)
                && better != home
            {
                self.out.push((home, RosterWord::Leave));
                self.join(now, better);
            }
        }
    }

    pub fn next_wake(&self) -> Duration {
        let silent = self.heard + self.terms.silent_home;
        self.say.min(silent).min(self.came + self.terms.settle)
    }
}

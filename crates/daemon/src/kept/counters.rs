//! Counts of what is taken in, sent and answered; printed on request and at exit.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// Counts by name: the first word tells the part, the rest what is counted.
#[derive(Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    told: RefCell<BTreeMap<&'static str, Instant>>,
}

impl Counters {
    pub fn one(&self, name: &'static str) {
        self.add(name, 1);
    }
    pub fn add(&self, name: &'static str, n: usize) {
        *self.counts.borrow_mut().entry(name).or_default() += n as u64;
    }
    /// A figure as it stands.
    pub fn now(&self, name: &'static str, n: usize) {
        self.counts.borrow_mut().insert(name, n as u64);
    }
    pub fn most(&self, name: &'static str, n: usize) {
        let mut counts = self.counts.borrow_mut();
        let most = counts.entry(name).or_default();
        *most = (*most).max(n as u64);
    }
    /// Counts something odd; a line tells of it unless one of its name did just now: nobody fills the log
    /// from outside.
    pub fn odd(&self, name: &'static str, pause: Duration, why: &str) {
        self.one(name);
        let mut told = self.told.borrow_mut();
        if told.get(name).is_none_or(|at| at.elapsed() >= pause) {
            told.insert(name, Instant::now());
            tracing::warn!("{name}: {}", why.chars().take(160).collect::<String>());
        }
    }
    /// One line a count: its name, a space, the figure.
    pub fn page(&self) -> String {
        self.counts.borrow().iter().fold(String::new(), |mut page, (name, n)| {
            let _ = writeln!(page, "{name} {n}");
            page
        })
    }
    /// All on one line, for the log.
    pub fn line(&self) -> String {
        self.page().trim_end().replace('\n', ", ")
    }
}

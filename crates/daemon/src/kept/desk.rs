//! Where all parts meet: the decisions, what is known of the world, and a bell for news.

use crate::kept::counters::Counters;
use crate::kept::joined::Joined;
use crate::kept::links::Board;
use crate::kept::names::Names;
use crate::life::clock::Clock;
use crate::life::limits::Limits;
use fallgap::Supervisor;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;

pub struct Desk {
    pub supervisor: RefCell<Supervisor>,
    pub joined: RefCell<Joined>,
    pub names: Names,
    pub links: Board,
    pub counters: Counters,
    pub limits: Limits,
    pub clock: Clock,
    /// When the first was reported of what is not acted on yet.
    pub since: Cell<Option<Duration>>,
    /// Rung when something was reported.
    pub news: Notify,
}

impl Desk {
    /// Reports something to the decisions, which act on it when all news in hand has been told.
    pub fn report(&self, tell: impl FnOnce(&mut Supervisor, Duration)) {
        let now = self.clock.now();
        self.since.set(self.since.get().or(Some(now)));
        tell(&mut self.supervisor.borrow_mut(), now);
        self.news.notify_one();
    }
    pub fn odd(&self, name: &'static str, why: &str) {
        self.counters.odd(name, self.limits.odd_line, why);
    }
}

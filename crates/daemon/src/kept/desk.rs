//! Where all parts meet: the decisions, what is known of the world, and a bell for news.

use crate::kept::counters::Counters;
use crate::kept::joined::Joined;
use crate::kept::links::Board;
use crate::kept::membership::{Membership, Told};
use crate::kept::names::Names;
use crate::life::clock::Clock;
use crate::life::limits::Limits;
use fallgap::{ListNews, Supervisor};
use fallgap_sources::Sources;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;

pub struct Desk {
    pub supervisor: RefCell<Supervisor>,
    pub membership: Membership,
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
    /// The one path by which the decisions hear of servers: something is told to the sources, and what follows
    /// from it is reported.
    pub fn sources(&self, tell: impl FnOnce(&mut Sources<Told>, Duration)) {
        let membership = &self.membership;
        let mut sources = membership.sources.borrow_mut();
        let before = sources.next_look();
        tell(&mut sources, self.clock.now());
        let Told { entries, again, held } = std::mem::take(&mut sources.outside);
        if sources.next_look() != before {
            membership.looks.notify_one();
        }
        drop(sources);
        if held > 0 {
            self.counters.add("removals_held", held);
        }
        for (source, at) in again {
            if membership.discovery() == Some(source) {
                membership.whole_list.send_replace(Some(at));
            } else {
                membership.asks.send_modify(|asks| asks.push((source, at)));
            }
        }
        if !entries.is_empty() {
            self.report(|supervisor, now| supervisor.report_list(now, ListNews::Changes, entries));
        }
    }
    pub fn odd(&self, name: &'static str, why: &str) {
        self.counters.odd(name, self.limits.odd_line, why);
    }
}

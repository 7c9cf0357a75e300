//! The servers that a home's tables list, with their weights.

use crate::lives::Life;
use crate::messages::ServerReport;
use crate::terms::Terms;
use crate::weights::{risen, stepped, worth_sending};
use fallgap_tables::{Entry, Key};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// What followers saw of a server in a period.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    good: u32,
    ms: f64,
}

struct Server {
    line: Key,
    service: Arc<str>,
    slots: f64,
    rise: (Duration, Duration),
    /// What its load made of it, as a multiple of its base.
    factor: f64,
    seen: Seen,
    /// As it stands in the lines.
    weight: f64,
}

/// Bounded by the registry, which it follows.
#[derive(Default)]
pub(crate) struct Servers {
    by_id: BTreeMap<Arc<str>, Server>,
    /// The part of a table that lists servers.
    lines: BTreeMap<Key, Entry>,
    /// They have changed since that was last asked for.
    moved: bool,
}

impl Servers {
    pub(crate) fn take_moved(&mut self) -> bool {
        std::mem::take(&mut self.moved)
    }

    pub(crate) fn lines(&self) -> &BTreeMap<Key, Entry> {
        &self.lines
    }

    /// An open server is there, or has changed.
    pub(crate) fn put(&mut self, life: &Life) {
        let line = Key::Line(life.berth().line().into());
        let (factor, seen) = match self.by_id.remove(&life.beat.id) {
            Some(held) => {
                self.lines.remove(&held.line);
                self.moved = true;
                (held.factor, held.seen)
            }
            None => (1.0, Seen::default()),
        };
        let server = Server {
            line,
            service: life.beat.service.clone(),
            slots: f64::from(life.beat.slots.max(1)),
            rise: life.rise,
            factor,
            seen,
            weight: 0.0,
        };
        self.by_id.insert(life.beat.id.clone(), server);
    }

    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(held) = self.by_id.remove(id) {
            self.lines.remove(&held.line);
            self.moved = true;
        }
    }

    pub(crate) fn reported(&mut self, report: &ServerReport) {
        let good = report.good();
        let ms = f64::from(report.good_ms) * f64::from(good);
        if let Some(server) = self.by_id.get_mut(&report.server).filter(|_| ms.is_finite() && ms >= 0.0) {
            server.seen.good = server.seen.good.saturating_add(good);
            server.seen.ms += ms;
        }
    }

    /// One period is over: weights step against their load, which is the time that good answers took.
    pub(crate) fn step(&mut self, now: Duration, terms: &Terms) {
        let load = |server: &Server| {
            let heard = server.seen.good >= terms.heard && now >= server.rise.1;
            heard.then(|| server.seen.ms / f64::from(server.seen.good))
        };
        let loads = self.by_id.values().filter_map(|server| Some((&server.service, load(server)?)));
        let means = means(loads);
        for server in self.by_id.values_mut() {
            if let (Some(load), Some(mean)) = (load(server), means.get(&server.service)) {
                server.factor = stepped(server.factor, load, *mean, terms);
            }
            server.seen = Seen::default();
        }
    }

    /// Works the weights out anew; tells whether any server still rises.
    pub(crate) fn refresh(&mut self, now: Duration, terms: &Terms) -> bool {
        let means = means(self.by_id.values().map(|server| (&server.service, server.slots)));
        let mut rising = false;
        for server in self.by_id.values_mut() {
            let base = server.slots / means.get(&server.service).copied().unwrap_or(server.slots);
            let weight = base * server.factor * risen(now, server.rise, terms);
            rising |= now < server.rise.1;
            if worth_sending(server.weight, weight, terms) {
                server.weight = weight;
                self.lines.insert(server.line.clone(), Entry::Part(weight));
                self.moved = true;
            }
        }
        rising
    }
}

/// The mean of each service's figures.
fn means<'a>(all: impl Iterator<Item = (&'a Arc<str>, f64)>) -> BTreeMap<Arc<str>, f64> {
    let mut sums: BTreeMap<&Arc<str>, (f64, f64)> = BTreeMap::new();
    for (service, figure) in all {
        let sum = sums.entry(service).or_default();
        *sum = (sum.0 + figure, sum.1 + 1.0);
    }
    sums.into_iter().map(|(service, (sum, count))| (service.clone(), sum / count)).collect()
}

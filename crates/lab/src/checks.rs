//! Watchers of the rules over what proxies did and servers saw.

use crate::emulated::Doubled;
use std::collections::BTreeMap;
use std::time::Duration;

/// The rules, each kept by one supervisor alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    NoProxyWithoutServer,
    NoEffectTwice,
    DrainsKept,
    NoColdServerPushedOver,
    MessagesCapped,
}

pub const RULES: [Rule; 5] = [
    Rule::NoProxyWithoutServer,
    Rule::NoEffectTwice,
    Rule::DrainsKept,
    Rule::NoColdServerPushedOver,
    Rule::MessagesCapped,
];

impl Rule {
    pub fn name(self) -> &'static str {
        match self {
            Rule::NoProxyWithoutServer => "no proxy without a server",
            Rule::NoEffectTwice => "no effect twice",
            Rule::DrainsKept => "drains kept within the grace",
            Rule::NoColdServerPushedOver => "no cold server pushed over",
            Rule::MessagesCapped => "messages per proxy capped",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub rule: Rule,
    pub at: Duration,
    pub what: String,
}

/// The figures that bind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long after it was told a drain may still be sent to; and how long a proxy may have no server.
    pub grace: Duration,
    /// A cold server gets at most so many times the work it can do, over that span.
    pub pushed: (f64, Duration),
    /// Messages to one proxy within that time; 0: no limit.
    pub messages: (usize, Duration),
}

impl Default for Bounds {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Bounds { grace: ms(1500), pushed: (2.5, ms(2000)), messages: (0, ms(10_000)) }
    }
}

/// Breaks that are named; more are counted.
const NAMED: usize = 50;

#[derive(Default)]
struct Cold {
    /// Work it got and could do, by tenth of a second of the span.
    tenths: Vec<(u64, f64, f64)>,
}

pub struct Watch {
    bounds: Bounds,
    /// Servers that the supervisor was told drain or are gone, and since when.
    leaving: BTreeMap<usize, Duration>,
    empty_since: BTreeMap<u64, Duration>,
    cold: BTreeMap<usize, Cold>,
    messages: BTreeMap<u64, Vec<Duration>>,
    pub broken: Vec<Broken>,
    pub counts: BTreeMap<Rule, u64>,
    /// Ops sent to leaving servers within the grace: allowed, and told.
    pub within_grace: u64,
}

impl Watch {
    pub fn new(bounds: Bounds) -> Watch {
        Watch {
            bounds,
            leaving: BTreeMap::new(),
            empty_since: BTreeMap::new(),
            cold: BTreeMap::new(),
            messages: BTreeMap::new(),
            broken: Vec::new(),
            counts: BTreeMap::new(),
            within_grace: 0,
        }
    }

    fn breaks(&mut self, rule: Rule, at: Duration, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.broken.len() < NAMED {
            self.broken.push(Broken { rule, at, what });
        }
    }

    /// The supervisor was told that a server is ready, or that it drains or is gone.
    pub fn told(&mut self, now: Duration, server: usize, ready: bool) {
        if ready {
            self.leaving.remove(&server);
        } else {
            self.leaving.entry(server).or_insert(now);
        }
    }

    /// A proxy sent an op to a server: `work` in seconds of one core, of the `can` that the server can do in a
    /// second now; `cold`: it has just started.
    pub fn sent(&mut self, now: Duration, proxy: u64, server: usize, work: f64, can: f64, cold: bool) {
        if let Some(since) = self.leaving.get(&server).copied() {
            if now > since + self.bounds.grace {
                let late = (now - since).as_millis();
                self.breaks(
                    Rule::DrainsKept,
                    now,
                    format!("proxy {proxy} sent to server {server} {late} ms after its drain"),
                );
            } else {
                self.within_grace += 1;
            }
        }
        if !cold {
            self.cold.remove(&server);
            return;
        }
        let (times, span) = self.bounds.pushed;
        let tenth = now.as_millis() as u64 / 100;
        let from = tenth.saturating_sub(span.as_millis() as u64 / 100);
        let tenths = &mut self.cold.entry(server).or_default().tenths;
        tenths.retain(|(at, _, _)| *at > from);
        match tenths.last_mut().filter(|(at, _, _)| *at == tenth) {
            Some((_, got, _)) => *got += work,
            None => tenths.push((tenth, work, can / 10.0)),
        }
        let got: f64 = tenths.iter().map(|(_, got, _)| got).sum();
        // What it could do over the whole span at the slowest of it.
        let least = tenths.iter().map(|(_, _, can)| *can).fold(f64::INFINITY, f64::min);
        let could = least * span.as_secs_f64() * 10.0;
        if got > times * could + 3.0 * work {
            tenths.clear();
            self.breaks(
                Rule::NoColdServerPushedOver,
                now,
                format!("server {server} got {got:.2} s of work, could do {could:.2} s"),
            );
        }
    }

    /// How many servers a proxy may pick from; `any`: some server is open and warm.
    pub fn holds(&mut self, now: Duration, proxy: u64, servers: usize, any: bool) {
        if servers > 0 || !any {
            self.empty_since.remove(&proxy);
            return;
        }
        let since = *self.empty_since.entry(proxy).or_insert(now);
        if now > since + self.bounds.grace {
            self.empty_since.insert(proxy, now);
            let span = (now - since).as_millis();
            self.breaks(
                Rule::NoProxyWithoutServer,
                now,
                format!("proxy {proxy} had no server for {span} ms"),
            );
        }
    }

    /// A message reached a proxy.
    pub fn message(&mut self, now: Duration, proxy: u64) {
        let (most, over) = self.bounds.messages;
        if most == 0 {
            return;
        }
        let messages = self.messages.entry(proxy).or_default();
        messages.retain(|at| *at + over > now);
        messages.push(now);
        let count = messages.len();
        if count > most {
            self.breaks(Rule::MessagesCapped, now, format!("proxy {proxy} got {count} messages"));
        }
    }

    /// Effects that were doubled by further tries of proxies, not of clients.
    pub fn doubled(&mut self, now: Duration, doubled: &[Doubled]) {
        for Doubled { id, key, servers, .. } in doubled {
            self.breaks(
                Rule::NoEffectTwice,
                now,
                format!("op {id} of key {key} took effect at {}", servers.join(", ")),
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// Guards against watchers that see nothing: each rule is broken once, and just not.
    #[test]
    fn each_rule_is_seen_broken() {
        let bounds = Bounds { messages: (2, MS * 1000), ..Bounds::default() };
        let mut watch = Watch::new(bounds);
        watch.told(MS * 1000, 3, false);
        watch.sent(MS * 2500, 0, 3, 0.01, 1.0, false);
        assert_eq!((watch.counts.len(), watch.within_grace), (0, 1));
        watch.sent(MS * 2501, 0, 3, 0.01, 1.0, false);
        watch.told(MS * 2600, 3, true);
        watch.sent(MS * 9000, 0, 3, 0.01, 1.0, false);
        assert_eq!(watch.counts, [(Rule::DrainsKept, 1)].into());
        watch.holds(MS * 100, 7, 0, true);
        watch.holds(MS * 1600, 7, 0, true);
        watch.holds(MS * 1601, 7, 0, true);
        watch.holds(MS * 1700, 8, 0, false);
        watch.holds(MS * 9000, 8, 0, false);
        assert_eq!(watch.counts[&Rule::NoProxyWithoutServer], 1);
        [0, 500, 1001, 1002].iter().for_each(|at| watch.message(MS * *at, 1));
        assert_eq!(watch.counts[&Rule::MessagesCapped], 1);
        watch.doubled(
            MS,
            &[Doubled { id: 4, key: 9, tries: vec![1, 2], servers: vec!["a".into(), "b".into()] }],
        );
        assert_eq!(watch.counts[&Rule::NoEffectTwice], 1);
        // A cold server that can do 0.4 s of work a second gets 0.5 s for long: allowed. 1.5 s: pushed over.
        for tenth in 0..100u32 {
            watch.sent(MS * (100 * tenth), 0, 5, 0.05, 0.4, true);
        }
        assert!(!watch.counts.contains_key(&Rule::NoColdServerPushedOver));
        for tenth in 100..200u32 {
            watch.sent(MS * (100 * tenth), 0, 5, 0.15, 0.4, true);
        }
        assert!(watch.counts[&Rule::NoColdServerPushedOver] >= 1);
        assert_eq!(watch.counts.len(), RULES.len());
    }
}

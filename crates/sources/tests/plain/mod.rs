//! A plain reference of the rule: everything is kept in one map and everything is worked out anew at each
//! look. Slow, and written from the words of the design note, not from the table.

use fallgap::{Listed, ServerState};
use fallgap_sources::{Age, Claim, Outside, SourceId, Terms};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the incremental one told, as a list that its changes were applied to.
#[derive(Default)]
pub struct Told {
    pub list: BTreeMap<String, Listed>,
    pub news: Vec<String>,
    pub ask_again: Vec<(SourceId, Duration)>,
    pub events: Vec<String>,
}

impl Outside for Told {
    fn listed(&mut self, entry: Listed) {
        self.news.push(format!("{entry:?}"));
        self.list.insert(entry.server.clone(), entry);
    }
    fn ask_again(&mut self, source: SourceId, at: Duration) {
        self.ask_again.push((source, at));
    }
    fn removal_held(&mut self, source: &str, missing: usize, open: usize) {
        self.events.push(format!("held {source} {missing} of {open}"));
    }
    fn removal_settled(&mut self, source: &str, removed: usize, _open: usize) {
        self.events.push(format!("settled {source} {removed}"));
    }
    fn source_failing(&mut self, source: &str, named: usize) {
        self.events.push(format!("failing {source} {named}"));
    }
    fn source_back(&mut self, source: &str, after: Duration) {
        self.events.push(format!("back {source} {}s", after.as_secs()));
    }
    fn last_resort(&mut self, on: bool, servers: usize) {
        self.events.push(format!("last resort {on} {servers}"));
    }
    fn refused(&mut self, source: &str, server: &str) {
        self.events.push(format!("refused {source} {server}"));
    }
}

impl Told {
    pub fn ready(&self) -> BTreeSet<&str> {
        let ready = self.list.values().filter(|entry| entry.state == ServerState::Ready);
        ready.map(|entry| entry.server.as_str()).collect()
    }
    pub fn state(&self, server: &str) -> Option<ServerState> {
        self.list.get(server).map(|entry| entry.state)
    }
}

#[derive(Clone, PartialEq)]
enum Word {
    Offer,
    Drain,
    Gone,
    Dropped,
}

#[derive(Clone)]
struct Entry {
    word: Word,
    claim: Claim,
    made: Duration,
    oldest: Duration,
    runs_out: Option<Duration>,
    lacked: u32,
    lacked_at: Duration,
    returns: u32,
    returned: Duration,
}

#[derive(Default)]
pub struct Plain {
    terms: Terms,
    /// By source and server.
    said: BTreeMap<(usize, String), Entry>,
    failing: BTreeMap<usize, Duration>,
    acked: BTreeMap<String, Duration>,
    heard: Option<(Duration, Duration)>,
    pub list: BTreeMap<String, Listed>,
    /// Servers that were told, gone, and of which nothing is known any more.
    forgotten: BTreeSet<String>,
}

impl Plain {
    pub fn start(terms: Terms) -> Plain {
        Plain { terms, ..Plain::default() }
    }

    pub fn whole(
        &mut self, now: Duration, source: usize, oldest: Duration, lifetime: Option<Duration>,
        claims: &[Claim],
    ) {
        self.failing.remove(&source);
        let open = self.list.values().filter(|l| l.state == ServerState::Ready).count();
        claims.iter().for_each(|claim| self.hear(now, source, oldest, lifetime, claim));
        let named: BTreeSet<&String> = claims.iter().map(|c| &c.server).collect();
        let ready: BTreeSet<String> = self.ready().into_iter().map(str::to_owned).collect();
        let terms = self.terms.clone();
        let offered = |e: &Entry| e.word == Word::Offer || e.word == Word::Drain;
        let lacking: Vec<String> = self
            .said
            .iter()
            .filter(|((s, name), e)| *s == source && offered(e) && !named.contains(name))
            .map(|((_, name), _)| name.clone())
            .collect();
        let closing = lacking.iter().filter(|name| ready.contains(*name)).count();
        let doubted = closing as f64 > terms.most_removed * open as f64;
        for name in lacking {
            let entry = self.said.get_mut(&(source, name)).unwrap();
            if entry.lacked == 0 || now >= entry.lacked_at + terms.confirm {
                (entry.lacked, entry.lacked_at) = (entry.lacked + 1, now);
            }
            if now >= entry.returned + terms.hold {
                entry.returns = 0;
            }
            if entry.lacked > entry.returns + if doubted { 1 } else { 0 } {
                (entry.word, entry.made, entry.lacked) = (Word::Dropped, now, 0);
            }
        }
        self.look(now);
    }

    pub fn changes(&mut self, now: Duration, source: usize, claims: &[Claim]) {
        self.failing.remove(&source);
        for claim in claims {
            self.hear(now, source, now, None, claim);
            if let Some(entry) = self.said.get_mut(&(source, claim.server.clone())) {
                (entry.made, entry.oldest) = (now, now);
            }
        }
        self.look(now);
    }

    pub fn failed(&mut self, now: Duration, source: usize) {
        self.failing.entry(source).or_insert(now);
        self.look(now);
    }

    pub fn answered(&mut self, now: Duration, server: &str) {
        let since = match self.heard {
            Some((since, last)) if now < last + self.terms.answering => since,
            _ => now,
        };
        self.heard = Some((since, now));
        if self.said.keys().any(|(_, name)| name == server) {
            self.acked.insert(server.to_owned(), now);
        }
        self.look(now);
    }

    fn hear(
        &mut self, now: Duration, source: usize, oldest: Duration, lifetime: Option<Duration>, claim: &Claim,
    ) {
        let word = match claim.state {
            ServerState::Ready => Word::Offer,
            ServerState::Draining => Word::Drain,
            ServerState::Gone => Word::Gone,
        };
        let known = self.said.keys().any(|(_, name)| *name == claim.server);
        if !known && word == Word::Gone {
            return;
        }
        let key = (source, claim.server.clone());
        let runs_out = lifetime.map(|l| now + l);
        let entry = self.said.entry(key).or_insert_with(|| Entry {
            word: word.clone(),
            claim: claim.clone(),
            made: now,
            oldest,
            runs_out,
            lacked: 0,
            lacked_at: Duration::ZERO,
            returns: 0,
            returned: Duration::ZERO,
        });
        let away = entry.word == Word::Dropped || entry.word == Word::Gone;
        if away && word == Word::Offer && oldest < entry.made {
            return;
        }
        if entry.lacked > 0 {
            (entry.lacked, entry.returns, entry.returned) = (0, (entry.returns + 1).min(3), now);
        }
        if entry.word != word {
            (entry.made, entry.oldest) = (now, oldest);
        }
        (entry.word, entry.claim, entry.runs_out) = (word, claim.clone(), runs_out);
    }

    pub fn ready(&self) -> BTreeSet<&str> {
        let ready = self.list.values().filter(|l| l.state == ServerState::Ready);
        ready.map(|l| l.server.as_str()).collect()
    }

    /// Servers that some source offers, believed, and that no source calls draining or gone.
    pub fn believed(&self, now: Duration) -> BTreeSet<&str> {
        let offers = self.said.iter().filter(|(_, e)| e.word == Word::Offer);
        let fresh = offers.filter(|((s, _), e)| !self.is_worn(now, *s, e));
        let names: BTreeSet<&str> = fresh.map(|((_, name), _)| name.as_str()).collect();
        names.into_iter().filter(|n| !self.stands(n, &Word::Gone) && !self.drains(n)).collect()
    }

    /// Whether a drain stands that no new start has ended.
    pub fn drains(&self, server: &str) -> bool {
        self.stands(server, &Word::Drain)
    }

    fn of<'a>(&'a self, server: &'a str) -> impl Iterator<Item = (usize, &'a Entry)> {
        self.said.iter().filter(move |((_, name), _)| name == server).map(|((s, _), e)| (*s, e))
    }

    fn stands(&self, server: &str, word: &Word) -> bool {
        self.of(server).filter(|(_, e)| e.word == *word).any(|(_, w)| {
            let offers = self.of(server).filter(|(_, e)| e.word == Word::Offer);
            let mut lifted = offers.filter(|(_, o)| {
                let started = matches!(o.claim.age, Age::Since(at) if at > w.made);
                started || (*word != Word::Drain && o.oldest > w.made)
            });
            lifted.next().is_none()
        })
    }

    fn worn_at(&self, source: usize, entry: &Entry) -> Option<Duration> {
        entry.runs_out.or(self.failing.get(&source).copied()).map(|at| at + self.terms.hold)
    }

    fn is_worn(&self, now: Duration, source: usize, entry: &Entry) -> bool {
        self.worn_at(source, entry).is_some_and(|at| now >= at)
    }

    fn answers(&self, now: Duration, server: &str) -> bool {
        let span = self.terms.answering;
        match self.heard {
            Some((since, last)) if now >= since + span && now < last + span => {
                self.acked.get(server).is_some_and(|at| now < *at + span)
            }
            _ => true,
        }
    }

    /// Works out the whole list anew.
    pub fn look(&mut self, now: Duration) {
        let names: BTreeSet<String> = self.said.keys().map(|(_, name)| name.clone()).collect();
        let (mut serve, mut resort) = (Vec::new(), Vec::new());
        let mut states: BTreeMap<String, ServerState> = BTreeMap::new();
        for name in &names {
            let believed = self.of(name).any(|(s, e)| e.word == Word::Offer && !self.is_worn(now, s, e));
            let worn = self.of(name).any(|(s, e)| e.word == Word::Offer && self.is_worn(now, s, e));
            let state = if self.stands(name, &Word::Gone) {
                ServerState::Gone
            } else if self.drains(name) {
                ServerState::Draining
            } else if self.stands(name, &Word::Dropped) {
                if believed {
                    resort.push(name.clone());
                }
                ServerState::Gone
            } else if believed || (worn && self.answers(now, name)) {
                serve.push(name.clone());
                // Until it turns out to be of the best rank.
                ServerState::Draining
            } else {
                if worn {
                    resort.push(name.clone());
                }
                ServerState::Gone
            };
            states.insert(name.clone(), state);
        }
        for name in &serve {
            let best = |source: usize| {
                let ranks = serve
                    .iter()
                    .flat_map(|n| self.of(n))
                    .filter(|(s, e)| *s == source && e.word == Word::Offer);
                ranks.filter_map(|(_, e)| e.claim.rank).min()
            };
            let mut offers = self.of(name).filter(|(_, e)| e.word == Word::Offer);
            if offers.any(|(s, e)| e.claim.rank.is_none() || e.claim.rank == best(s)) {
                states.insert(name.clone(), ServerState::Ready);
            }
        }
        if serve.is_empty() {
            resort.into_iter().for_each(|name| _ = states.insert(name, ServerState::Ready));
        }
        for (name, state) in states {
            let offer = self.of(&name).find(|(_, e)| e.word == Word::Offer).map(|(_, e)| e.claim.clone());
            let size = self.of(&name).filter(|(_, e)| e.word == Word::Offer).find_map(|(_, e)| e.claim.size);
            if let (ServerState::Ready, Some(claim)) = (state, offer) {
                let (zone, server) = (claim.zone, name.clone());
                self.forgotten.remove(&name);
                self.list.insert(name, Listed { server, zone, size, state, started: None });
            } else if let Some(listed) = self.list.get_mut(&name).filter(|_| !self.forgotten.contains(&name))
            {
                listed.state = state;
            }
        }
        for name in names {
            let until = self.of(&name).map(|(s, e)| match e.word {
                Word::Offer => Duration::MAX,
                Word::Drain => self.worn_at(s, e).unwrap_or(Duration::MAX),
                _ => e.made + self.terms.remember,
            });
            if until.max().is_some_and(|at| now >= at) {
                self.said.retain(|(_, n), _| *n != name);
                self.acked.remove(&name);
                self.list.entry(name.clone()).and_modify(|l| l.state = ServerState::Gone);
                self.forgotten.insert(name);
            }
        }
    }
}

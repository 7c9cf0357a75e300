//! The one place that joins what all sources say. A change costs what changed: servers are found by name and
//! address, looked at again by time, and judged only when something was said of them.

mod telling;

use crate::agenda::Agenda;
use crate::claim::{Claim, Kept, Terms};
use crate::nodes::{Found, Nodes};
use crate::ranks::Ranks;
use crate::rule::Said;
use fallgap::{Listed, ServerState};
use std::collections::BTreeSet;
use std::time::Duration;

/// A source's number, as [`Sources::open`] gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceId(usize);

/// What the sources act through. All but [`listed`](Outside::listed) may be left alone.
pub trait Outside {
    /// One change of the list; those that belong together come in one call of a [`Sources`] method.
    fn listed(&mut self, entry: Listed);
    /// A source's answer is doubted: it is to be asked again at that time.
    fn ask_again(&mut self, _source: SourceId, _at: Duration) {}
    /// An answer lacks so many of the servers that are open; they stay until a second one lacks them too.
    fn removal_held(&mut self, _source: &str, _missing: usize, _open: usize) {}
    /// What was held is removed, or has come back.
    fn removal_settled(&mut self, _source: &str, _removed: usize, _open: usize) {}
    fn source_failing(&mut self, _source: &str, _named: usize) {}
    fn source_back(&mut self, _source: &str, _after: Duration) {}
    /// No server could be open by the rule: so many that were worn out or contested are; or not any more.
    fn last_resort(&mut self, _on: bool, _servers: usize) {}
    /// Not taken, since as many servers are known as may be.
    fn refused(&mut self, _source: &str, _server: &str) {}
}

struct Source {
    name: String,
    /// Its names are the servers' ids.
    ids: bool,
    answers: u64,
    named: BTreeSet<usize>,
    failing: Option<Duration>,
    /// That it fails was told.
    told_failing: bool,
    /// A removal of its last answer is held.
    held: bool,
    ranks: Ranks,
}

/// When ops were last acked at all, and since when without a long gap: without them nobody can tell whether
/// one server answers.
#[derive(Clone, Copy, Default)]
struct Heard {
    since: Duration,
    last: Option<Duration>,
}

pub struct Sources<O> {
    pub outside: O,
    terms: Terms,
    sources: Vec<Source>,
    nodes: Nodes,
    agenda: Agenda,
    dirty: BTreeSet<usize>,
    /// Servers that are known to no avail, oldest first.
    out: BTreeSet<(Duration, usize)>,
    worn: BTreeSet<usize>,
    resorts: BTreeSet<usize>,
    serving: usize,
    open: usize,
    resorting: bool,
    heard: Heard,
}

impl<O: Outside> Sources<O> {
    pub fn start(outside: O, terms: Terms) -> Self {
        Sources {
            outside,
            terms,
            sources: Vec::new(),
            nodes: Nodes::default(),
            agenda: Agenda::default(),
            dirty: BTreeSet::new(),
            out: BTreeSet::new(),
            worn: BTreeSet::new(),
            resorts: BTreeSet::new(),
            serving: 0,
            open: 0,
            resorting: false,
            heard: Heard::default(),
        }
    }

    /// A further source; those opened first are believed first on zone, size and start. `ids`: its names are
    /// the ids of servers; else a name may turn out to mean a server that has another id.
    pub fn open(&mut self, name: &str, ids: bool) -> SourceId {
        self.sources.push(Source {
            name: name.to_owned(),
            ids,
            answers: 0,
            named: BTreeSet::new(),
            failing: None,
            told_failing: false,
            held: false,
            ranks: Ranks::default(),
        });
        SourceId(self.sources.len() - 1)
    }

    /// A source is given up: what it said is as if it had not been. It may speak again later.
    pub fn close(&mut self, now: Duration, source: SourceId) {
        let given_up = &mut self.sources[source.0];
        (given_up.failing, given_up.told_failing, given_up.held) = (None, false, false);
        for node in std::mem::take(&mut self.sources[source.0].named) {
            self.nodes.unsay(node, source.0);
            self.dirty.insert(node);
        }
        self.settle(now);
    }

    /// Other terms, for all that is held.
    pub fn change_terms(&mut self, now: Duration, terms: Terms) {
        self.terms = terms;
        let named = self.sources.iter().flat_map(|source| source.named.iter().copied());
        self.dirty.extend(named);
        self.settle(now);
    }

    /// What a source had said when it was last heard, in an earlier life: as one that fails since.
    pub fn remembered(&mut self, now: Duration, source: SourceId, claims: Vec<Claim>) {
        for claim in claims {
            self.hear(now, source, Duration::ZERO, None, claim);
        }
        self.sources[source.0].failing = Some(now);
        self.settle(now);
    }

    /// All that a source says. `oldest`: no part of it can be older; `lifetime`: how long it holds without
    /// being said again, or `None` if until the source fails.
    pub fn whole(
        &mut self, now: Duration, source: SourceId, oldest: Duration, lifetime: Option<Duration>,
        claims: Vec<Claim>,
    ) {
        self.sources[source.0].answers += 1;
        self.back(now, source);
        for claim in claims {
            self.hear(now, source, oldest, lifetime, claim);
        }
        self.miss(now, source);
        self.settle(now);
    }

    /// What a source says has changed: each claim is made anew, now.
    pub fn changes(&mut self, now: Duration, source: SourceId, claims: Vec<Claim>) {
        self.back(now, source);
        for claim in claims {
            let name = claim.server.clone();
            self.hear(now, source, now, None, claim);
            let Some(node) = self.nodes.named(&name) else { continue };
            if let Some(kept) = self.nodes.get_mut(node).and_then(|n| n.by_mut(source.0)) {
                (kept.made, kept.oldest) = (now, now);
                self.dirty.insert(node);
            }
        }
        self.settle(now);
    }

    /// All that a source has said still holds.
    pub fn unchanged(&mut self, now: Duration, source: SourceId) {
        self.back(now, source);
        self.settle(now);
    }

    /// A source cannot be asked, or its answer cannot be used.
    pub fn failed(&mut self, now: Duration, source: SourceId) {
        let failing = &mut self.sources[source.0];
        if !std::mem::replace(&mut failing.told_failing, true) {
            self.outside.source_failing(&failing.name, failing.named.len());
        }
        if failing.failing.is_none() {
            failing.failing = Some(now);
            if self.terms.hold < Duration::MAX {
                self.dirty.extend(&failing.named);
            }
        }
        self.settle(now);
    }

    /// A server acked an op.
    pub fn answered(&mut self, now: Duration, server: &str) {
        if self.terms.hold == Duration::MAX {
            return;
        }
        let silent = self.heard.last.is_none_or(|last| now >= last + self.terms.answering);
        if silent {
            self.heard.since = now;
            self.dirty.extend(&self.worn);
        }
        self.heard.last = Some(now);
        let node = self.nodes.named(server);
        if let Some(known) = node.and_then(|node| self.nodes.get_mut(node)) {
            known.answered = Some(now);
            if known.worn {
                self.dirty.extend(node);
            }
        }
        if !self.dirty.is_empty() {
            self.settle(now);
        }
    }

    /// Looks at all servers whose time has come.
    pub fn woke(&mut self, now: Duration) {
        while let Some(node) = self.agenda.due(now) {
            self.dirty.insert(node);
        }
        self.settle(now);
    }

    /// When to call [`woke`](Sources::woke) next.
    pub fn next_look(&self) -> Option<Duration> {
        self.agenda.next()
    }

    /// Servers known, those lately gone among them, and those open.
    pub fn held(&self) -> (usize, usize) {
        (self.nodes.len(), self.open)
    }

    fn back(&mut self, now: Duration, source: SourceId) {
        let source = &mut self.sources[source.0];
        if let Some(since) = source.failing.take() {
            if std::mem::take(&mut source.told_failing) {
                self.outside.source_back(&source.name, now.saturating_sub(since));
            }
            self.dirty.extend(source.named.intersection(&self.worn));
        }
    }

    fn hear(
        &mut self, now: Duration, source: SourceId, oldest: Duration, lifetime: Option<Duration>,
        claim: Claim,
    ) {
        let SourceId(s) = source;
        let (is_id, answer) = (self.sources[s].ids, self.sources[s].answers);
        let kind = match claim.state {
            ServerState::Ready => Said::Ready,
            ServerState::Draining => Said::Draining,
            ServerState::Gone => Said::Gone,
        };
        let sources = &self.sources;
        let found = self.nodes.find(&claim, is_id, |other| sources[other].ids);
        let node = match found {
            Found::Known(node) => node,
            Found::Renamed(node) => {
                self.rename(node, &claim.server);
                node
            }
            Found::Moved { from, to } => {
                self.nodes.unsay(from, s);
                self.sources[s].named.remove(&from);
                self.dirty.insert(from);
                to
            }
            // Nothing is known that this could end.
            Found::New if kind == Said::Gone => return,
            Found::New => match self.room(&claim.server, now) {
                Some(node) => node,
                None => return self.outside.refused(&self.sources[s].name, &claim.server),
            },
        };
        self.nodes.also_named(node, &claim.server);
        let Some(known) = self.nodes.get_mut(node) else { return };
        let runs_out = lifetime.map(|lifetime| now.saturating_add(lifetime));
        let Some(kept) = known.by_mut(s) else {
            let Claim { zone, size, age, rank, .. } = claim;
            let (made, confirmed, addresses) = (now, now, Vec::new());
            let absence = Default::default();
            let kept = Kept {
                kind,
                zone,
                size,
                age,
                rank,
                addresses,
                made,
                oldest,
                confirmed,
                runs_out,
                answer,
                absence,
            };
            let at = known.kept.partition_point(|(other, _)| *other < s);
            known.kept.insert(at, (s, kept));
            self.nodes.place(node, s, claim.addresses);
            self.sources[s].named.insert(node);
            self.dirty.insert(node);
            return;
        };
        // A name that the source took away is not back by an answer that may be older than that.
        if matches!(kept.kind, Said::Dropped | Said::Gone) && kind == Said::Ready && oldest < kept.made {
            return;
        }
        // One server under two names: the better rank counts, and all its addresses.
        let again = kept.answer == answer && answer > 0 && kept.kind == Said::Ready && lifetime.is_some();
        let rank = if again { kept.rank.min(claim.rank) } else { claim.rank };
        kept.absence.named(now);
        let same = (kept.kind, kept.zone, kept.size, kept.age, kept.rank)
            == (kind, claim.zone, claim.size, claim.age, rank);
        if kept.kind != kind {
            (kept.made, kept.oldest) = (now, oldest);
        }
        (kept.kind, kept.zone, kept.size, kept.age, kept.rank) =
            (kind, claim.zone, claim.size, claim.age, rank);
        (kept.confirmed, kept.runs_out, kept.answer) = (now, runs_out, answer);
        if !again {
            self.nodes.place(node, s, claim.addresses);
        }
        if !same || self.worn.contains(&node) {
            self.dirty.insert(node);
        }
    }

    /// A new server; one that is out makes room if as many are known as may be.
    fn room(&mut self, id: &str, now: Duration) -> Option<usize> {
        if self.nodes.len() >= self.terms.most_servers {
            let (_, oldest) = *self.out.first()?;
            self.forget(oldest);
        }
        Some(self.nodes.add(id, now))
    }

    fn forget(&mut self, node: usize) {
        if let Some(known) = self.nodes.get(node) {
            self.out.remove(&(known.out_since, node));
            for (source, _) in &known.kept {
                self.sources[*source].named.remove(&node);
            }
            self.nodes.remove(node);
        }
        self.dirty.remove(&node);
    }

    /// What an answer lacks of all that its source named before.
    fn miss(&mut self, now: Duration, SourceId(s): SourceId) {
        let answer = self.sources[s].answers;
        let lacked = |node: &usize| {
            self.nodes
                .get(*node)
                .and_then(|n| n.by(s))
                .is_some_and(|kept| kept.names() && kept.answer != answer)
        };
        let missing: Vec<usize> = self.sources[s].named.iter().copied().filter(lacked).collect();
        let ready = |node: &&usize| {
            let node = self.nodes.get(**node);
            node.and_then(|n| n.told.as_ref()).is_some_and(|told| told.state == ServerState::Ready)
        };
        let closing = missing.iter().filter(ready).count();
        let doubted = closing as f64 > self.terms.most_removed * self.open as f64;
        let (mut removed, mut waiting) = (0, false);
        for node in missing {
            let Some(kept) = self.nodes.get_mut(node).and_then(|n| n.by_mut(s)) else { continue };
            if kept.absence.missed(now, doubted, self.terms.confirm, self.terms.hold) {
                (kept.kind, kept.made, kept.absence) = (Said::Dropped, now, kept.absence.settled());
                removed += 1;
                self.dirty.insert(node);
            }
            waiting |= kept.absence.waits();
        }
        let source = &mut self.sources[s];
        if doubted && !source.held && waiting {
            source.held = true;
            self.outside.removal_held(&source.name, closing, self.open);
        } else if source.held && !waiting {
            source.held = false;
            self.outside.removal_settled(&source.name, removed, self.open);
        }
        if waiting {
            self.outside.ask_again(SourceId(s), now + self.terms.confirm);
        }
    }
}

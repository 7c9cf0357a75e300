//! The beacon: what one node knows of the others.

use crate::card::{Card, NodeId, Peer, State};
use crate::errand::Errands;
use crate::message::{Message, News, Word};
use crate::news::{Fresh, Rank, times};
use crate::ring::Ring;
use crate::standing::{Event, Standing};
use crate::terms::Terms;
use crate::timers::{Clocks, Pace};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send(NodeId, Message),
    /// The view changed.
    Changed,
    /// A line for the log.
    Note(String),
}

/// What is held of another node.
#[derive(Debug)]
pub(crate) struct Entry {
    pub peer: Peer,
    pub standing: Standing,
    /// The last sign of life that came here.
    pub heard: Option<Duration>,
    /// Silence counts from here, when it is watched.
    pub counted: Duration,
    /// When it was asked last, beside heartbeats.
    pub asked: Option<Duration>,
}

/// Knows who is there. Does nothing by itself: whoever holds it hands in what happens, calls [`Beacon::woke`]
/// when [`Beacon::next_wake`] says, and carries out what [`Beacon::take`] gives.
#[derive(Debug)]
pub struct Beacon {
    pub(crate) me: Card,
    pub(crate) terms: Terms,
    pub(crate) rng: fastrand::Rng,
    pub(crate) seeds: Vec<NodeId>,
    pub(crate) known: BTreeMap<NodeId, Entry>,
    /// How many of them are here.
    pub(crate) present: usize,
    pub(crate) ring: Ring,
    pub(crate) ring_stale: bool,
    pub(crate) fresh: Fresh,
    pub(crate) errands: Errands,
    pub(crate) clocks: Clocks,
    pub(crate) pages: Pace,
    pub(crate) notes: Pace,
    /// When [`Beacon::woke`] has something to do.
    pub(crate) wake: Duration,
    pub(crate) changed: bool,
    out: Vec<Out>,
}

impl Beacon {
    /// `me.life` is drawn for each start; `me.sequence` may start at 0.
    pub fn start(now: Duration, seed: u64, me: Card, seeds: Vec<NodeId>, terms: Terms) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let clocks = Clocks::start(now, &terms, &mut rng);
        let mut beacon = Beacon {
            me,
            terms,
            rng,
            seeds: Vec::new(),
            known: BTreeMap::new(),
            present: 0,
            ring: Ring::default(),
            ring_stale: false,
            fresh: Fresh::default(),
            errands: Errands::default(),
            clocks,
            pages: Pace::new(now, terms.pages),
            notes: Pace::new(now, terms.notes),
            wake: now,
            changed: false,
            out: Vec::new(),
        };
        beacon.seeds(now, seeds);
        beacon
    }

    /// The settings name these seeds now.
    pub fn seeds(&mut self, now: Duration, seeds: Vec<NodeId>) {
        self.seeds = seeds;
        self.seeds.retain(|seed| *seed != self.me.node);
        self.clocks.seek_again(now, &self.terms);
        self.by(now, now);
    }

    /// This node is about to leave: all are told at once.
    pub fn leaving(&mut self, now: Duration) {
        if !self.me.leaving {
            self.me.leaving = true;
            self.tell_of_me(0);
            self.push(now);
            self.clocks.beat = now;
            self.by(now, now);
        }
    }

    /// The disk's number, once it is known.
    pub fn set_disk(&mut self, disk: Option<u64>) {
        if self.me.disk != disk {
            self.me.disk = disk;
            // Goes out when this wakes next: at the next heartbeat at the latest.
            self.tell_of_me(0);
        }
    }

    /// A link of another kind has just heard from that node. Cheap: may be called for every frame.
    pub fn met(&mut self, now: Duration, node: NodeId) {
        match self.known.get_mut(&node) {
            _ if node == self.me.node => {}
            Some(entry) if entry.standing == Standing::Here => entry.heard = Some(now),
            Some(entry) if entry.peer.state == State::Here => {
                entry.heard = Some(now);
                self.event(now, node, Event::Sign);
            }
            Some(_) => self.ask(now, node),
            None if now >= self.clocks.stranger => {
                self.clocks.stranger = now + self.terms.push;
                self.send(node, Word::Ask, Vec::new());
            }
            None => {}
        }
    }

    /// When to call [`Beacon::woke`] at the latest.
    pub fn next_wake(&self) -> Duration {
        self.wake
    }

    /// What is to be done, in order.
    pub fn take(&mut self) -> Vec<Out> {
        let mut out = std::mem::take(&mut self.out);
        if std::mem::take(&mut self.changed) {
            out.push(Out::Changed);
        }
        out
    }

    /// All others that are known, by address.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.known.values().map(|entry| &entry.peer)
    }

    pub fn peer(&self, node: NodeId) -> Option<&Peer> {
        self.known.get(&node).map(|entry| &entry.peer)
    }

    /// The own card, as it is told now.
    pub fn me(&self) -> &Card {
        &self.me
    }

    /// How many are here, this node included.
    pub fn here(&self) -> usize {
        self.present + 1
    }

    /// [`Beacon::woke`] is wanted by then, or now: never before, or it would seem to come late.
    pub(crate) fn by(&mut self, now: Duration, at: Duration) {
        self.wake = self.wake.min(at.max(now));
    }

    /// Something befell a known node. Every change of what is believed of it passes here.
    pub(crate) fn event(&mut self, now: Duration, node: NodeId, event: Event) {
        let Some(entry) = self.known.get_mut(&node) else { return };
        let (before, after) = (entry.standing, entry.standing.next(now, event, &self.terms));
        if before == after {
            return;
        }
        entry.standing = after;
        if let Some(until) = after.until() {
            self.by(now, until);
        }
        if after == Standing::Forgotten {
            self.known.remove(&node);
            self.fresh.drop(node);
            return self.view_changed(now);
        }
        match (before.told(), after.told()) {
            (was, is) if was == is => {}
            // A doubt that nobody else has met is not told on: a node that hears nobody must not blame all.
            (State::Here, State::Doubted) if after.state() == State::Here => {
                self.spread(now, node, Rank::Known)
            }
            (State::Doubted, State::Here) if event == Event::Sign => self.fresh.drop(node),
            _ => {}
        }
        let (was, is) = (before.state(), after.state());
        if was != is {
            self.present = self.present + usize::from(is == State::Here) - usize::from(was == State::Here);
            if let Some(entry) = self.known.get_mut(&node) {
                entry.peer.state = is;
                entry.peer.since = now;
            }
            self.view_changed(now);
            match is {
                State::Here => self.note(now, |_| format!("beacon: {node} is here again")),
                State::Doubted => self.note(now, |_| format!("beacon: {node} is silent and doubted")),
                State::Gone => {
                    self.note(now, |b| format!("beacon: {node} is gone, {} are here", b.here()));
                }
            }
        }
    }

    pub(crate) fn view_changed(&mut self, now: Duration) {
        self.changed = true;
        self.ring_stale = true;
        self.clocks.lively(now, &self.terms);
        self.by(now, now + self.terms.push / 4);
    }

    /// News of a node that is to reach everybody.
    pub(crate) fn spread(&mut self, now: Duration, node: NodeId, rank: Rank) {
        self.fresh.add(node, rank, times(rank, self.here()));
        self.by(now, self.clocks.push);
    }

    /// The own card changes: it goes above `sequence`, and out with the next push.
    pub(crate) fn tell_of_me(&mut self, sequence: u32) {
        self.me.rise(sequence);
        self.clocks.own_news = true;
    }

    /// What is told of a node.
    pub(crate) fn news_of(&self, node: NodeId) -> Option<News> {
        let entry = self.known.get(&node)?;
        Some(News { card: entry.peer.card.clone(), state: entry.standing.told() })
    }

    /// Sends with as much news as has room. Whom this node doubts is told so in any message to it.
    pub(crate) fn send(&mut self, to: NodeId, word: Word, first: Vec<News>) {
        let message = self.message(to, word, first, 1);
        self.out.push(Out::Send(to, message));
    }

    fn message(&mut self, to: NodeId, word: Word, first: Vec<News>, peers: u32) -> Message {
        let mut news = first;
        if let Some(own) = self.news_of(to).filter(|own| own.state != State::Here) {
            news.insert(0, own);
        }
        news.truncate(self.terms.news);
        if !matches!(word, Word::Page { .. } | Word::Parts { .. }) {
            let room = self.terms.news.saturating_sub(news.len());
            for node in self.fresh.take(room, peers) {
                news.extend(self.news_of(node).filter(|_| node != to));
            }
        }
        Message { card: self.me.clone(), word, news }
    }

    /// Tells the hottest news to the next on the ring and a few drawn peers.
    pub(crate) fn push(&mut self, now: Duration) {
        self.clocks.push = now + self.terms.push;
        self.clocks.own_news = false;
        // The next on the ring is always among them: so news that each passes on reaches all.
        let next = self.ring.watchers.first().copied();
        let mut peers =
            self.draw(self.terms.push_peers, |node, e| e.peer.state == State::Here && Some(node) != next);
        peers.extend(next);
        if let Some((first, others)) = peers.split_first() {
            let message = self.message(*first, Word::Tell, Vec::new(), peers.len() as u32);
            self.fresh.pushed(self.terms.news);
            for other in others {
                self.out.push(Out::Send(*other, message.clone()));
            }
            self.out.push(Out::Send(*first, message));
        } else {
            self.fresh.pushed(usize::MAX);
        }
        if self.fresh.is_hot() {
            self.by(now, self.clocks.push);
        }
    }

    /// Asks a node for a sign of life, not more often than each [`Terms::push`].
    pub(crate) fn ask(&mut self, now: Duration, node: NodeId) {
        let Some(entry) = self.known.get_mut(&node) else { return };
        if entry.asked.is_none_or(|at| now >= at + self.terms.push) {
            entry.asked = Some(now);
            self.send(node, Word::Ask, Vec::new());
        }
    }

    /// Draws up to `count` of the known nodes that fit.
    pub(crate) fn draw(&mut self, count: usize, fits: impl Fn(NodeId, &Entry) -> bool) -> Vec<NodeId> {
        let mut drawn = Vec::with_capacity(count);
        let fitting = self.known.iter().filter(|(node, entry)| fits(**node, entry));
        for (seen, (node, _)) in fitting.enumerate() {
            if drawn.len() < count {
                drawn.push(*node);
            } else if let Some(place) = drawn.get_mut(self.rng.usize(..=seen)) {
                *place = *node;
            }
        }
        drawn
    }

    /// A line for the log, if there is room for it in this second.
    pub(crate) fn note(&mut self, now: Duration, line: impl FnOnce(&Beacon) -> String) {
        let skipped = self.notes.skipped_before(now);
        if skipped > 0 {
            self.out.push(Out::Note(format!("beacon: {skipped} more notes")));
        }
        if self.notes.take(now) {
            let line = line(self);
            self.out.push(Out::Note(line));
        }
    }
}

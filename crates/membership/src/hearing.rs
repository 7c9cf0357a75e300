//! What a message does.

use crate::beacon::{Beacon, Entry};
use crate::card::{Card, NodeId, Peer, State, Unfit};
use crate::errand::Errand;
use crate::message::{Message, News, Word};
use crate::news::Rank;
use crate::standing::{Event, Standing};
use std::cmp::Ordering;
use std::time::Duration;

/// How a piece of news came.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// The node itself said it.
    Itself,
    /// It rode on a message: others do not know it yet.
    Told,
    /// By comparing: most others know it.
    Compared,
}

impl Entry {
    /// Silence counts from here.
    pub(crate) fn last(&self) -> Duration {
        self.heard.map_or(self.counted, |heard| heard.max(self.counted))
    }
}

impl Beacon {
    /// A message came from that node. What does not fit is ignored.
    pub fn heard(&mut self, now: Duration, from: NodeId, message: Message) {
        self.thaw(now);
        if from == self.me.node {
            return;
        }
        if let Err(unfit) = self.fits(from, &message) {
            return self.note(now, |_| format!("beacon: a message of {from} is ignored: {unfit}"));
        }
        self.clocks.any = now;
        let Message { card, word, news } = message;
        let mut owed = Vec::new();
        self.itself(now, card, &mut owed);
        let way = if matches!(word, Word::Page { .. }) { Way::Compared } else { Way::Told };
        for piece in news {
            if piece.card.node == self.me.node {
                self.of_me(now, &piece);
            } else {
                owed.extend(self.learn(now, piece, way));
            }
        }
        self.word(now, from, word, owed);
        if self.clocks.own_news {
            if now >= self.clocks.push { self.push(now) } else { self.by(now, self.clocks.push) }
        }
    }

    fn fits(&self, from: NodeId, message: &Message) -> Result<(), Unfit> {
        if message.card.node != from {
            return Err(Unfit::Sender(message.card.node));
        }
        if message.news.len() > self.terms.news {
            return Err(Unfit::News(message.news.len()));
        }
        message.card.check(self.terms.zone_bytes)?;
        message.news.iter().try_for_each(|n| n.card.check(self.terms.zone_bytes))
    }

    /// The sender's card.
    fn itself(&mut self, now: Duration, card: Card, owed: &mut Vec<News>) {
        let node = card.node;
        let held = self.known.get(&node).map(|e| (card.order(&e.peer.card), card.life == e.peer.card.life));
        match held {
            // Of an older life: if this is the newer one in truth, it goes above what it hears now.
            Some((Ordering::Less, false)) => return owed.extend(self.news_of(node)),
            // A late datagram says nothing of now.
            Some((Ordering::Less, true)) => return,
            Some((Ordering::Equal, _)) => {}
            Some((Ordering::Greater, _)) | None => {
                _ = self.learn(now, News { card, state: State::Here }, Way::Itself)
            }
        }
        if let Some(entry) = self.known.get_mut(&node) {
            entry.heard = Some(now);
            self.event(now, node, Event::Sign);
            owed.extend(self.news_of(node).filter(|n| n.state != State::Here));
        }
        for asker in self.errands.found(node) {
            self.send(asker, Word::Found { about: node }, Vec::new());
        }
    }

    /// Others hold something of this node: if they doubt it, or hold an older life, it goes above that.
    fn of_me(&mut self, now: Duration, piece: &News) {
        let theirs = piece.card.sequence;
        let other_life = piece.card.life != self.me.life;
        let refuted = theirs >= self.me.sequence && (other_life || piece.state != State::Here);
        if refuted || theirs > self.me.sequence {
            self.tell_of_me(theirs);
            if other_life {
                self.note(now, |_| "beacon: this process follows an older one".into());
            } else {
                self.note(now, |b| format!("beacon: was doubted, goes on under sequence {}", b.me.sequence));
            }
        }
    }

    /// News of another node. What comes back is owed to the sender, who holds something older.
    fn learn(&mut self, now: Duration, piece: News, way: Way) -> Option<News> {
        let node = piece.card.node;
        let Some(entry) = self.known.get_mut(&node) else {
            self.meet(now, piece, way);
            return None;
        };
        match piece.card.order(&entry.peer.card) {
            Ordering::Less => return self.news_of(node),
            Ordering::Equal => return self.same(now, node, piece.state),
            Ordering::Greater => {}
        }
        let restarted = piece.card.life != entry.peer.card.life;
        let away = entry.peer.state != State::Here;
        entry.peer.card = piece.card;
        entry.counted = now;
        self.view_changed(now);
        if restarted {
            self.note(now, |_| format!("beacon: {node} has been started anew"));
        }
        if piece.state == State::Here {
            self.event(now, node, Event::Renewed);
            self.spread(now, node, Rank::Known);
            if way == Way::Itself && away {
                self.compare_with(now, node);
            }
        } else if away {
            // Alive since, and doubted since.
            self.ask(now, node);
        } else {
            self.event(now, node, Event::Accuse);
            self.ask(now, node);
        }
        None
    }

    /// News under the card that is held.
    fn same(&mut self, now: Duration, node: NodeId, state: State) -> Option<News> {
        let entry = self.known.get(&node)?;
        match (entry.peer.state == State::Here, state == State::Here) {
            (true, false) => {
                // What was heard of late is no longer silent; but it must learn that it is doubted.
                let well = entry.heard.is_some_and(|at| now < at + self.terms.miss / 2);
                if well {
                    self.warn(now, node, state);
                } else if matches!(entry.standing, Standing::Here | Standing::Missed { silent: false, .. }) {
                    self.event(now, node, Event::Accuse);
                    self.ask(now, node);
                }
                None
            }
            (false, true) => {
                self.ask(now, node);
                self.news_of(node)
            }
            _ => None,
        }
    }

    /// Tells a node that others doubt it.
    fn warn(&mut self, now: Duration, node: NodeId, state: State) {
        let Some(entry) = self.known.get_mut(&node) else { return };
        if entry.asked.is_none_or(|at| now >= at + self.terms.push) {
            entry.asked = Some(now);
            let news = News { card: entry.peer.card.clone(), state };
            self.send(node, Word::Ask, vec![news]);
        }
    }

    /// A node that was not known. Who is gone is not worth knowing.
    fn meet(&mut self, now: Duration, piece: News, way: Way) {
        let node = piece.card.node;
        if piece.state == State::Gone || !self.room(now) {
            return;
        }
        let peer = Peer { card: piece.card, state: State::Here, since: now };
        let entry = Entry { peer, standing: Standing::Here, heard: None, counted: now, asked: None };
        self.known.insert(node, entry);
        self.present += 1;
        self.view_changed(now);
        self.note(now, |b| format!("beacon: {node} is here, {} are", b.here()));
        if way != Way::Compared {
            self.spread(now, node, Rank::New);
        }
        if piece.state == State::Doubted {
            self.event(now, node, Event::Accuse);
            self.ask(now, node);
        }
        if way == Way::Itself {
            self.compare_with(now, node);
        }
    }

    /// Whether there is room for one more: if not, the one that is gone for longest is forgotten.
    fn room(&mut self, now: Duration) -> bool {
        if self.known.len() < self.terms.nodes {
            return true;
        }
        let gone = self.known.iter().filter(|(_, e)| e.peer.state == State::Gone);
        match gone.min_by_key(|(_, e)| e.peer.since).map(|(node, _)| *node) {
            Some(node) => {
                self.event(now, node, Event::Over);
                true
            }
            None => {
                self.note(now, |b| format!("beacon: more than {} nodes are not known", b.terms.nodes));
                false
            }
        }
    }

    fn word(&mut self, now: Duration, from: NodeId, word: Word, owed: Vec<News>) {
        match word {
            Word::Ask => self.send(from, Word::Answer, owed),
            Word::Compare { sum } if sum != self.digest() => {
                self.owe(from, owed);
                let sums = self.parts();
                self.send(from, Word::Parts { sums }, Vec::new());
            }
            Word::Beat | Word::Answer | Word::Tell | Word::Compare { .. } => self.owe(from, owed),
            Word::Parts { sums } => {
                self.owe(from, owed);
                self.compared(from, &sums);
            }
            Word::Pull { parts, after, back } => {
                self.owe(from, owed);
                self.pulled(now, from, parts, after);
                if back {
                    self.send(from, Word::Pull { parts, after: None, back: false }, Vec::new());
                }
            }
            Word::Page { parts, more } => {
                self.owe(from, owed);
                if more.is_some() {
                    self.send(from, Word::Pull { parts, after: more, back: false }, Vec::new());
                }
            }
            Word::Help { about } => {
                self.owe(from, owed);
                self.help(now, from, about);
            }
            Word::Found { about } => {
                if let Some(entry) = self.known.get_mut(&about) {
                    entry.counted = now;
                    self.event(now, about, Event::Sign);
                }
                self.owe(from, owed);
            }
            Word::Silent { about } => {
                self.event(now, about, Event::Silent);
                self.owe(from, owed);
            }
        }
    }

    fn owe(&mut self, to: NodeId, owed: Vec<News>) {
        if !owed.is_empty() {
            self.send(to, Word::Tell, owed);
        }
    }

    /// Asks a node in the name of another, unless it was heard a moment ago.
    fn help(&mut self, now: Duration, asker: NodeId, about: NodeId) {
        if about == self.me.node {
            return self.send(asker, Word::Answer, Vec::new());
        }
        let Some(entry) = self.known.get(&about) else { return };
        if entry.peer.state == State::Here && entry.heard.is_some_and(|at| now < at + self.terms.beat) {
            return self.send(asker, Word::Found { about }, Vec::new());
        }
        let errand = Errand { about, asker, until: now + self.terms.errand };
        if self.errands.take_on(errand, self.terms.errands) {
            self.by(now, errand.until);
            self.send(about, Word::Ask, Vec::new());
        }
    }
}

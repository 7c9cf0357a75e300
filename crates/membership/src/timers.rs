//! What happens by time.

use crate::beacon::Beacon;
use crate::card::{NodeId, State};
use crate::message::Word;
use crate::ring::Ring;
use crate::standing::{Event, Standing};
use crate::terms::Terms;
use std::time::Duration;

/// When what is due.
#[derive(Debug)]
pub(crate) struct Clocks {
    pub beat: Duration,
    pub compare: Duration,
    compared: Duration,
    probe: Duration,
    strange: Duration,
    /// The next question to the seeds, and the pause behind it.
    seek: Duration,
    seek_pause: Duration,
    /// No push before.
    pub push: Duration,
    /// The own card is to be pushed.
    pub own_news: bool,
    /// The view has changed of late, up to then comparisons are quick.
    lively_until: Duration,
    /// No question to a stranger before.
    pub stranger: Duration,
    /// When anything was heard last, from anybody.
    pub any: Duration,
    /// The next look at all others, while nothing is heard.
    alone: Duration,
}

impl Clocks {
    pub fn start(now: Duration, terms: &Terms, rng: &mut fastrand::Rng) -> Clocks {
        Clocks {
            beat: now + terms.beat.mul_f64(rng.f64()),
            compare: now + terms.compare_lively.mul_f64(rng.f64()),
            compared: now,
            probe: now + terms.probe.mul_f64(rng.f64()),
            strange: now + terms.strange.mul_f64(rng.f64()),
            seek: now,
            seek_pause: terms.seek,
            push: now,
            own_news: false,
            lively_until: now + Duration::from_secs(1),
            stranger: now,
            any: now,
            alone: now,
        }
    }

    pub fn lively(&mut self, now: Duration, terms: &Terms) {
        self.lively_until = now + Duration::from_secs(1);
        self.compare = self.compare.min(now + terms.compare_lively);
    }

    pub fn seek_again(&mut self, now: Duration, terms: &Terms) {
        self.seek = now;
        self.seek_pause = terms.seek;
    }
}

/// So many in a second, and no more.
#[derive(Debug)]
pub(crate) struct Pace {
    most: u32,
    from: Duration,
    used: u32,
    skipped: u32,
}

impl Pace {
    pub fn new(now: Duration, most: u32) -> Pace {
        Pace { most, from: now, used: 0, skipped: 0 }
    }

    fn turn(&mut self, now: Duration) {
        if now >= self.from + Duration::from_secs(1) {
            (self.from, self.used) = (now, 0);
        }
    }

    pub fn take(&mut self, now: Duration) -> bool {
        self.turn(now);
        let room = self.used < self.most;
        self.used += u32::from(room);
        self.skipped += u32::from(!room);
        room
    }

    /// How many found no room, once a new second has begun; they are counted once.
    pub fn skipped_before(&mut self, now: Duration) -> u32 {
        self.turn(now);
        if self.used == 0 { std::mem::take(&mut self.skipped) } else { 0 }
    }
}

impl Beacon {
    /// Time has come for something.
    pub fn woke(&mut self, now: Duration) {
        self.thaw(now);
        self.wake = Duration::MAX;
        if self.ring_stale {
            self.new_ring(now);
        }
        self.listen(now);
        for node in self.due(now) {
            self.event(now, node, Event::Over);
        }
        for errand in self.errands.over(now) {
            self.send(errand.asker, Word::Silent { about: errand.about }, Vec::new());
        }
        self.beat(now);
        self.seek(now);
        self.probe(now);
        if now >= self.clocks.compare {
            let drawn = self.draw(1, |_, e| e.peer.state == State::Here);
            if let Some(node) = drawn.first() {
                self.compare_with(now, *node);
            }
            let lively = now < self.clocks.lively_until;
            self.clocks.compare = now + if lively { self.terms.compare_lively } else { self.terms.compare };
        }
        if (self.clocks.own_news || self.fresh.is_hot()) && now >= self.clocks.push {
            self.push(now);
        }
        self.set_wake(now);
    }

    /// Starts a comparison with that node, if the last one is not of this very moment.
    pub(crate) fn compare_with(&mut self, now: Duration, node: NodeId) {
        if now >= self.clocks.compared + self.terms.push / 2 {
            self.clocks.compared = now;
            let sum = self.digest();
            self.send(node, Word::Compare { sum }, Vec::new());
        }
    }

    /// A call that comes much too late: this node was away, and does not blame the others for it.
    pub(crate) fn thaw(&mut self, now: Duration) {
        let away = now.saturating_sub(self.wake);
        if away <= self.terms.late {
            return;
        }
        let nodes: Vec<_> = self.known.keys().copied().collect();
        for node in nodes {
            self.event(now, node, Event::Thaw(away));
            if let Some(entry) = self.known.get_mut(&node) {
                entry.counted = now;
            }
        }
        self.errands.clear();
        self.clocks.any = now;
        self.clocks.beat = now;
        self.clocks.compare = now;
        self.clocks.seek_again(now, &self.terms);
        self.wake = now;
        self.note(now, |_| format!("beacon: away for {} ms", away.as_millis()));
    }

    /// Who is next on the ring has changed. Whom this node has not listened for before, it asks at once.
    fn new_ring(&mut self, now: Duration) {
        self.ring_stale = false;
        let others = self.known.iter().map(|(node, entry)| (*node, entry.peer.state));
        let ring = Ring::of(self.me.node, self.terms.watchers, others);
        let old = std::mem::replace(&mut self.ring, ring);
        let new: Vec<_> = self.ring.watched.iter().filter(|n| !old.watched.contains(n)).copied().collect();
        let grace = self.terms.miss.saturating_sub(self.terms.beat);
        for node in new {
            let Some(entry) = self.known.get_mut(&node) else { continue };
            entry.counted = entry.counted.max(now.saturating_sub(grace));
            if entry.heard.is_none_or(|at| at + self.terms.beat < now) {
                self.ask(now, node);
            }
        }
    }

    /// Looks for silence among those whose heartbeats come here.
    fn listen(&mut self, now: Duration) {
        let silent = |node: &NodeId| {
            let entry = self.known.get(node)?;
            let due = entry.last() + self.terms.miss;
            (entry.standing == Standing::Here && now >= due).then_some(*node)
        };
        let missed: Vec<_> = self.ring.watched.iter().filter_map(silent).collect();
        for node in missed {
            self.event(now, node, Event::Miss);
            self.ask(now, node);
            let helpers = self.draw(self.terms.helpers, |n, e| n != node && e.standing == Standing::Here);
            for helper in helpers {
                self.send(helper, Word::Help { about: node }, Vec::new());
            }
        }
        self.listen_to_all(now);
    }

    /// Nothing at all is heard: this node may be cut off. It does not go round the ring for that, but asks all,
    /// some at a time.
    fn listen_to_all(&mut self, now: Duration) {
        if self.present == 0 || now < self.clocks.any + self.terms.miss || now < self.clocks.alone {
            return;
        }
        self.clocks.alone = now + self.terms.push;
        for node in self.draw(self.terms.round, |_, e| e.standing == Standing::Here) {
            self.event(now, node, Event::Miss);
            self.ask(now, node);
        }
    }

    /// Nodes whose state's time is over. Those that are accused are asked once more when half of it is.
    fn due(&mut self, now: Duration) -> Vec<NodeId> {
        let mut due = Vec::new();
        let mut again = Vec::new();
        for (node, entry) in &self.known {
            match entry.standing.until() {
                Some(until) if now >= until => due.push(*node),
                Some(until) if entry.peer.state == State::Here && now + self.terms.verify / 2 >= until => {
                    again.push(*node);
                }
                _ => {}
            }
        }
        for node in again {
            self.ask(now, node);
        }
        due
    }

    fn beat(&mut self, now: Duration) {
        if now < self.clocks.beat {
            return;
        }
        // Not in step with others, nor all that was missed at once.
        self.clocks.beat = now + self.terms.beat.mul_f64(0.95 + 0.1 * self.rng.f64());
        for watcher in self.ring.watchers.clone() {
            self.send(watcher, Word::Beat, Vec::new());
        }
    }

    /// While nobody is here, the seeds are asked.
    fn seek(&mut self, now: Duration) {
        if self.present > 0 {
            self.clocks.seek_pause = self.terms.seek;
            return;
        }
        if now < self.clocks.seek || self.seeds.is_empty() {
            return;
        }
        let seeds = self.rng.choose_multiple(self.seeds.iter().copied(), self.terms.seeds);
        for seed in seeds {
            self.send(seed, Word::Ask, Vec::new());
        }
        self.clocks.seek = now + self.clocks.seek_pause;
        self.clocks.seek_pause = self.clocks.seek_pause.mul_f64(1.5).min(self.terms.seek_most);
    }

    /// Nodes that are not here, and seeds that are not known, are asked now and then: so that halves that were
    /// cut from each other meet again.
    fn probe(&mut self, now: Duration) {
        if now >= self.clocks.probe {
            self.clocks.probe = now + self.terms.probe;
            let drawn = self.draw(1, |_, e| e.peer.state != State::Here);
            for node in drawn {
                self.ask(now, node);
            }
        }
        if now >= self.clocks.strange {
            self.clocks.strange = now + self.terms.strange;
            let strange = self.seeds.iter().filter(|seed| !self.known.contains_key(seed)).copied();
            if let Some(seed) = self.rng.choice(strange.collect::<Vec<_>>()) {
                self.send(seed, Word::Ask, Vec::new());
            }
        }
    }

    /// The next time that something is due.
    fn set_wake(&mut self, now: Duration) {
        let mut wake = self.wake.min(self.clocks.compare);
        if !self.ring.watchers.is_empty() {
            wake = wake.min(self.clocks.beat);
        }
        if self.present == 0 && !self.seeds.is_empty() {
            wake = wake.min(self.clocks.seek);
        }
        if self.present > 0 {
            wake = wake.min((self.clocks.any + self.terms.miss).max(self.clocks.alone));
        }
        if self.present < self.known.len() {
            wake = wake.min(self.clocks.probe);
        }
        if !self.seeds.is_empty() {
            wake = wake.min(self.clocks.strange);
        }
        if self.clocks.own_news || self.fresh.is_hot() {
            wake = wake.min(self.clocks.push);
        }
        if let Some(until) = self.errands.until() {
            wake = wake.min(until);
        }
        for node in &self.ring.watched {
            if let Some(entry) = self.known.get(node).filter(|e| e.standing == Standing::Here) {
                wake = wake.min(entry.last() + self.terms.miss);
            }
        }
        for entry in self.known.values() {
            let Some(until) = entry.standing.until() else { continue };
            let half = until.saturating_sub(self.terms.verify / 2);
            let ask_again = entry.peer.state == State::Here && half > now;
            wake = wake.min(if ask_again { half } else { until });
        }
        self.wake = wake.max(now);
    }
}

//! Every life of a server that a keeper knows: by beats, ends, silence, and what other keepers know.

use crate::NodeId;
use crate::doubt::Doubt;
use crate::evening::Evening;
use crate::kept_ends::KeptEnds;
use crate::lives::{Event, Life, State, last_beat};
use crate::messages::{Record, RosterWord};
use crate::terms::Terms;
use fallgap_config::Beat;
use fallgap_health::Roll;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

/// What a beat or an end changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Nothing that routing depends on.
    Same,
    /// It came late, or for a life that is over: nothing.
    Late,
    /// Servers to route to: the distribution is to be told.
    Changed,
    /// As many servers are known as may be.
    Refused,
}

impl News {
    pub fn is_change(self) -> bool {
        self == News::Changed
    }
}

/// Without a call for longer than that this process did not run.
const PAUSE: Duration = Duration::from_millis(1500);

pub struct Registry {
    pub(crate) terms: Terms,
    pub(crate) lives: BTreeMap<Arc<str>, Life>,
    /// The open life at each address.
    by_address: BTreeMap<SocketAddrV4, Arc<str>>,
    /// Lives by when they last changed, counted.
    by_change: BTreeMap<u64, Arc<str>>,
    count: u64,
    started: Duration,
    /// Another keeper that knew had its whole answer taken in.
    pub(crate) evened: bool,
    told_warm: bool,
    /// When this was last called, and before when nothing is held to be silent.
    called: Duration,
    grace: Duration,
    look: Duration,
    pub(crate) evening: Evening,
    /// Open lives of which only this keeper's disk tells: of the time before its start.
    pub(crate) remembered: BTreeSet<Arc<str>>,
    /// What was held while out of contact with the majority.
    pub(crate) doubt: Doubt,
    /// Ends that are on a majority of disks.
    pub(crate) kept_ends: KeptEnds,
    /// Until then they are used.
    remember_until: Duration,
}

impl Registry {
    /// `seed`: for when comparisons are made, and with whom.
    pub fn start(now: Duration, seed: u64, terms: Terms) -> Registry {
        Registry {
            evening: Evening::start(now, seed, &terms),
            terms,
            lives: BTreeMap::new(),
            by_address: BTreeMap::new(),
            by_change: BTreeMap::new(),
            count: 0,
            started: now,
            evened: false,
            told_warm: false,
            called: now,
            grace: now,
            look: now + terms.silent(),
            remembered: BTreeSet::new(),
            doubt: Doubt::default(),
            kept_ends: KeptEnds::default(),
            remember_until: now,
        }
    }

    /// What this keeper knew before its start. Such servers are used at once, but they are told to no other keeper,
    /// and are let go of when one that knows the servers does not know them, or when they have not beaten `until` then:
    /// one that closed may serve on for long, and all that heard of it may have lost power.
    pub fn remember(&mut self, now: Duration, records: Vec<Record>, until: Duration) {
        self.remember_until = until;
        let heard = self.started.saturating_sub(self.terms.beat);
        for record in records.into_iter().take(self.terms.servers) {
            // Doubt ends with the life of who doubted: what is remembered is used for a while only.
            let open = record.state == State::Open && !record.beat.closing;
            if !open || self.lives.contains_key(&record.beat.id) {
                continue;
            }
            let id = record.beat.id.clone();
            if self.heard_of(now, record.beat, heard, heard).is_change() {
                self.remembered.insert(id);
            }
        }
    }

    /// What is worth to be remembered over a start: the open servers.
    pub fn to_remember(&self, now: Duration) -> Vec<Record> {
        self.open().map(|life| self.record(now, life)).collect()
    }

    /// Whether servers are used of which only the disk tells.
    pub(crate) fn remembers(&self) -> bool {
        !self.remembered.is_empty()
    }

    /// Those of which nobody else knows are over.
    pub(crate) fn let_go(&mut self, now: Duration) {
        for id in std::mem::take(&mut self.remembered) {
            self.turn(now, &id, Event::Silent);
        }
    }

    /// A server's beat, as it came or as another machine handed it on.
    pub fn beat(&mut self, now: Duration, beat: Beat) -> News {
        self.called(now);
        if let Some(waits) = self.waits_for_ends(now, &beat) {
            return waits;
        }
        let ends = beat.closing;
        let news = self.heard_of(now, beat, now, now);
        if ends && news.is_change() {
            self.evening.soon(now);
        }
        news
    }

    /// A server says that it has left.
    pub fn left(&mut self, now: Duration, id: &str) -> News {
        self.called(now);
        if !self.lives.contains_key(id) {
            // Remembered all the same: followers may have it from another keeper.
            let id: Arc<str> = id.into();
            if !self.has_room() {
                return News::Refused;
            }
            self.add(now, last_beat(id.clone()), now, now, State::Closing);
        }
        if !self.turn(now, id, Event::Left) {
            return News::Late;
        }
        self.evening.soon(now);
        News::Changed
    }

    /// Does what is due; tells whether servers to route to have changed, or whether it has become warm.
    pub fn woke(&mut self, now: Duration) -> bool {
        self.called(now);
        let mut changed = self.warm(now) && !std::mem::replace(&mut self.told_warm, true);
        if now >= self.look {
            changed |= self.expire(now);
        }
        if self.remembers() && now >= self.remember_until {
            self.let_go(now);
            changed = true;
        }
        changed |= self.doubt_woke(now);
        self.compare(now);
        changed
    }

    /// When to call [`woke`](Registry::woke) next.
    pub fn next_wake(&self) -> Duration {
        let warm = self.started + self.terms.warm_after();
        let next = self.look.min(self.evening.next());
        let next = if self.remembers() { next.min(self.remember_until) } else { next };
        let next = next.min(self.doubt_wake().unwrap_or(next));
        if self.told_warm || self.kept_ends.is_awaited() { next } else { next.min(warm) }
    }

    /// What is to be sent to other keepers.
    pub fn take(&mut self) -> Vec<(NodeId, RosterWord)> {
        self.evening.take()
    }

    /// Whether the servers that there are can be known: beats came for long enough, or another keeper told; and none of them waits.
    pub fn warm(&self, now: Duration) -> bool {
        !self.kept_ends.is_awaited() && (self.evened || now >= self.started + self.terms.warm_after())
    }

    /// It knows no more than one that has just started.
    pub(crate) fn cold(&mut self, now: Duration) {
        (self.evened, self.told_warm, self.started) = (false, false, now);
    }

    pub fn life(&self, id: &str) -> Option<&Life> {
        self.lives.get(id)
    }

    /// The lives behind that id, in order, ended ones too.
    pub fn after(&self, id: &str) -> impl Iterator<Item = &Life> {
        let behind = (Bound::Excluded(id), Bound::Unbounded);
        self.lives.range::<str, _>(behind).map(|(_, life)| life)
    }

    /// The open servers.
    pub fn open(&self) -> impl Iterator<Item = &Life> {
        self.lives.values().filter(|life| life.state == State::Open)
    }

    /// Counts changes of what servers there are and how they are.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Lives that changed after a count, each once.
    pub fn changed_after(&self, count: u64) -> impl Iterator<Item = &Life> {
        self.by_change.range(count + 1..).filter_map(|(_, id)| self.lives.get(id))
    }

    /// What a beat says, heard at some time by this keeper or another one.
    pub(crate) fn heard_of(
        &mut self, now: Duration, mut beat: Beat, heard: Duration, first: Duration,
    ) -> News {
        let id = beat.id.clone();
        beat.closing |= self.comes_late(&beat);
        self.remembered.remove(&id);
        self.doubt.heard(&id, heard);
        let event = if beat.closing { Event::BeatClosing } else { Event::Beat };
        let Some(life) = self.lives.get_mut(&id) else {
            if !self.has_room() {
                return News::Refused;
            }
            self.add(now, beat, heard, first, State::Lost);
            return self.stands(now, &id, event);
        };
        // An end holds, however late it is heard of.
        if beat.postmark <= life.beat.postmark && event == Event::Beat {
            return News::Late;
        }
        let newer = beat.postmark > life.beat.postmark;
        let differs = newer && life.differs(&beat);
        life.heard = life.heard.max(heard);
        let before = life.beat.address;
        if newer {
            life.beat = beat;
        }
        if differs {
            if self.by_address.get(&before) == Some(&id) {
                self.by_address.remove(&before);
            }
            self.changes(&id);
        }
        match self.stands(now, &id, event) {
            News::Same if differs => News::Changed,
            news => news,
        }
    }

    /// A life that was heard takes its event, and its address from another one. Whoever was heard last at an address
    /// is the one that is there.
    fn stands(&mut self, now: Duration, id: &Arc<str>, event: Event) -> News {
        let Some(life) = self.lives.get(id) else { return News::Late };
        let (address, heard, state) = (life.beat.address, life.heard, life.state);
        if state == State::Gone {
            return News::Late;
        }
        let other = self.by_address.get(&address).filter(|other| *other != id).cloned();
        let other_heard = other.as_ref().and_then(|other| self.lives.get(other)).map(|other| other.heard);
        if event == Event::Beat && other_heard.is_some_and(|other| other > heard) {
            return if self.turn(now, id, Event::Replaced) { News::Changed } else { News::Same };
        }
        let mut changed = false;
        if let Some(other) = other.filter(|_| event == Event::Beat && !state.is_final()) {
            changed |= self.turn(now, &other, Event::Replaced);
        }
        changed |= self.turn(now, id, event);
        // It may have beaten from another address than before.
        let open = self.lives.get(id).is_some_and(|life| life.state == State::Open);
        if open && self.by_address.get(&address) != Some(id) {
            self.by_address.insert(address, id.clone());
        }
        if changed { News::Changed } else { News::Same }
    }

    /// The one way in which a life's state changes; tells whether it did.
    pub(crate) fn turn(&mut self, now: Duration, id: &str, event: Event) -> bool {
        let Some(life) = self.lives.get_mut(id) else { return false };
        let state = life.state.after(event);
        if state == life.state {
            return false;
        }
        (life.state, life.since) = (state, now);
        let (address, id) = (life.beat.address, life.beat.id.clone());
        if state == State::Open {
            self.by_address.insert(address, id.clone());
        } else if self.by_address.get(&address) == Some(&id) {
            self.by_address.remove(&address);
        }
        self.changes(&id);
        true
    }

    fn changes(&mut self, id: &str) {
        let Some(life) = self.lives.get_mut(id) else { return };
        self.by_change.remove(&life.changed);
        self.count += 1;
        life.changed = self.count;
        self.by_change.insert(self.count, life.beat.id.clone());
    }

    pub(crate) fn add(&mut self, now: Duration, beat: Beat, heard: Duration, first: Duration, state: State) {
        let rise = if beat.cold.is_zero() {
            (first, first)
        } else {
            let (least, most) = self.terms.rise;
            let over = (now + beat.cold).max(first + least).min(first + most);
            (first, over)
        };
        let id = beat.id.clone();
        self.lives.insert(id.clone(), Life { beat, state, heard, since: now, rise, changed: 0 });
        // Before its first event it is in no list.
        if state != State::Lost {
            self.changes(&id);
        }
    }

    /// Room for one more life, if need be by forgetting the one that ended first.
    fn has_room(&mut self) -> bool {
        if self.lives.len() < self.terms.servers {
            return true;
        }
        let ended = self.lives.values().filter(|life| life.state != State::Open);
        let first = ended.min_by_key(|life| life.since).map(|life| life.beat.id.clone());
        first.is_some_and(|id| self.forget(&id))
    }

    fn forget(&mut self, id: &str) -> bool {
        let Some(life) = self.lives.remove(id) else { return false };
        self.by_change.remove(&life.changed);
        if self.by_address.get(&life.beat.address) == Some(&life.beat.id) {
            self.by_address.remove(&life.beat.address);
        }
        true
    }

    /// Looks for silent servers, and for ends that need not be remembered any more.
    fn expire(&mut self, now: Duration) -> bool {
        let silent = self.terms.silent();
        let trusted = now >= self.grace && self.evening.trusted(now);
        let due = |life: &Life| match life.state {
            State::Open | State::Closing => life.heard + silent,
            State::Lost | State::Gone => life.since + self.terms.remember,
        };
        let over: Vec<(Arc<str>, State)> = self
            .lives
            .iter()
            .filter(|(_, life)| now >= due(life))
            .map(|(id, life)| (id.clone(), life.state))
            .collect();
        let mut changed = false;
        for (id, state) in over {
            match state {
                // Others are asked for what they heard of it.
                State::Open if self.lives.get(&id).is_some_and(|life| self.is_doubted(life)) => {}
                State::Open | State::Closing if trusted => changed |= self.turn(now, &id, Event::Silent),
                State::Open | State::Closing => {}
                State::Lost | State::Gone => _ = self.forget(&id),
            }
        }
        let due = |life: &Life| match life.state {
            State::Open | State::Closing => life.heard + silent,
            State::Lost | State::Gone => life.since + self.terms.remember,
        };
        let next = self.lives.values().map(due).min().unwrap_or(now + silent);
        self.look = next.clamp(now + Duration::from_millis(200), now + silent);
        changed
    }

    /// After a pause of this process beats may still wait to be read: nothing is silent yet.
    pub(crate) fn called(&mut self, now: Duration) {
        if now > self.called + PAUSE {
            self.grace = now + self.terms.beat;
            self.evening.soon(now);
        }
        self.called = self.called.max(now);
    }
}

impl Roll for Registry {
    fn berth(&self, server: &str) -> Option<(Arc<str>, u32)> {
        let life = self.lives.get(server).filter(|life| life.state == State::Open)?;
        Some((life.beat.service.clone(), life.beat.slots.max(1)))
    }

    fn strength(&self, service: &str) -> u32 {
        self.open().filter(|life| *life.beat.service == *service).map(|life| life.beat.slots.max(1)).sum()
    }
}

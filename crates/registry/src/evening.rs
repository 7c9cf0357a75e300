//! Keepers even out what they know of servers: each compares with one other now and then, by digests over groups of
//! lives and by the servers that it has not heard of lately.

use crate::NodeId;
use crate::lives::{Event, Life, State};
use crate::messages::{Compare, GROUPS, Record, Records, RosterWord};
use crate::registry::Registry;
use crate::terms::Terms;
use std::sync::Arc;
use std::time::Duration;

/// With whom a keeper compares, and when.
pub(crate) struct Evening {
    peers: Vec<NodeId>,
    /// Whose turn it is.
    turn: usize,
    at: Duration,
    every: Duration,
    /// When a comparison was last answered.
    answered: Option<Duration>,
    out: Vec<(NodeId, RosterWord)>,
    rng: fastrand::Rng,
}

impl Evening {
    pub(crate) fn start(now: Duration, seed: u64, terms: &Terms) -> Evening {
        Evening {
            peers: Vec::new(),
            turn: 0,
            at: now,
            every: terms.compare,
            answered: None,
            out: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub(crate) fn next(&self) -> Duration {
        self.at
    }
    pub(crate) fn say(&mut self, to: NodeId, word: RosterWord) {
        self.out.push((to, word));
    }
    pub(crate) fn take(&mut self) -> Vec<(NodeId, RosterWord)> {
        std::mem::take(&mut self.out)
    }

    /// An end was heard of, or this keeper was away: what the others know is seen to soon.
    pub(crate) fn soon(&mut self, now: Duration) {
        self.at = self.at.min(now + self.every / 4);
    }

    /// Whether silence of a server means something: another keeper, if there is one, was asked about quiet servers
    /// and has answered lately.
    pub(crate) fn trusted(&self, now: Duration) -> bool {
        self.peers.is_empty() || self.answered.is_some_and(|at| now <= at + self.every * 4)
    }

    fn due(&mut self, now: Duration) -> Option<NodeId> {
        if now < self.at {
            return None;
        }
        self.at = now + self.every.mul_f64(1.0 + 0.25 * self.rng.f64());
        self.turn = self.turn.wrapping_add(1);
        self.peers.get(self.turn.checked_rem(self.peers.len())?).copied()
    }
}

/// FNV-1a: the same on all machines.
fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

fn group(id: &str) -> usize {
    (hash(id.as_bytes()) >> 32) as usize % GROUPS
}

impl Registry {
    /// The other keepers that are believed to be here. With one that is new it compares soon.
    pub fn peers(&mut self, now: Duration, mut peers: Vec<NodeId>) {
        peers.sort();
        peers.dedup();
        if peers.iter().any(|peer| !self.evening.peers.contains(peer)) {
            self.evening.soon(now);
        }
        self.evening.peers = peers;
    }

    /// A word of another keeper. Tells whether servers to route to have changed, or whether it has become warm.
    pub fn heard(&mut self, now: Duration, from: NodeId, word: RosterWord) -> bool {
        self.called(now);
        match word {
            RosterWord::Compare(compare) => {
                self.answer(now, from, &compare);
                false
            }
            RosterWord::Records(records) => self.even(now, from, records),
            _ => false,
        }
    }

    pub(crate) fn compare(&mut self, now: Duration) {
        let Some(peer) = self.evening.due(now) else { return };
        let word = self.comparison(now);
        self.evening.out.push((peer, word));
    }

    /// With the servers that are quiet, the quietest first.
    pub(crate) fn comparison(&self, now: Duration) -> RosterWord {
        let late = self.terms.beat.mul_f64(1.3);
        let quiet = self.lives.values().filter(|life| life.state == State::Open && now > life.heard + late);
        let mut quiet: Vec<(Duration, &Life)> = quiet.map(|life| (life.heard, life)).collect();
        quiet.sort_by_key(|(heard, _)| *heard);
        let quiet = quiet.iter().take(self.terms.quiet).map(|(_, l)| (l.beat.id.clone(), l.beat.postmark));
        RosterWord::Compare(Compare { digests: self.digests(now), quiet: quiet.collect() })
    }

    /// Over what keepers should agree on. Ends that will soon be forgotten are left out: keepers forget them at
    /// times of their own.
    fn digests(&self, now: Duration) -> Vec<u64> {
        let mut digests = vec![0u64; GROUPS];
        for life in self.lives.values().filter(|life| self.counts(now, life)) {
            let id = &life.beat.id;
            if let Some(digest) = digests.get_mut(group(id)) {
                *digest = digest.wrapping_add(hash(id.as_bytes()).rotate_left(life.state as u32 * 7 + 1));
            }
        }
        digests
    }

    fn counts(&self, now: Duration, life: &Life) -> bool {
        match life.state {
            State::Open => !self.remembered.contains(&life.beat.id),
            State::Lost => false,
            State::Closing | State::Gone => now <= life.since + self.terms.remember / 2,
        }
    }

    /// Answers a comparison with what the other one may not know, and asks for what this one may not know.
    fn answer(&mut self, now: Duration, to: NodeId, theirs: &Compare) {
        let ours = self.digests(now);
        let differs = |at: &usize| theirs.digests.get(*at) != ours.get(*at);
        let differ: Vec<usize> = (0..GROUPS).filter(differs).collect();
        let newer = |(id, postmark): &(Arc<str>, u64)| {
            let life = self.lives.get(id)?;
            let told = !differ.contains(&group(id)) && life.beat.postmark > *postmark;
            told.then(|| self.record(now, life))
        };
        let mut records: Vec<Record> = theirs.quiet.iter().take(self.terms.quiet).filter_map(newer).collect();
        records.extend(self.records_of(now, &differ));
        let wanted = differ.into_iter().filter_map(|at| u8::try_from(at).ok()).collect();
        self.send_records(now, to, records, wanted, true);
    }

    fn records_of(&self, now: Duration, groups: &[usize]) -> Vec<Record> {
        if groups.is_empty() {
            return Vec::new();
        }
        let of = self.lives.values().filter(|l| self.counts(now, l) && groups.contains(&group(&l.beat.id)));
        of.map(|life| self.record(now, life)).collect()
    }

    pub(crate) fn record(&self, now: Duration, life: &Life) -> Record {
        let mut beat = life.beat.clone();
        beat.cold = life.rise.1.saturating_sub(now);
        Record {
            beat,
            state: life.state,
            heard: now.saturating_sub(life.heard),
            since: now.saturating_sub(life.since),
            first: now.saturating_sub(life.rise.0),
            doubted: self.is_doubted(life),
        }
    }

    /// In pages. `answers`: they answer a comparison, and the last one says so.
    fn send_records(
        &mut self, now: Duration, to: NodeId, records: Vec<Record>, wanted: Vec<u8>, answers: bool,
    ) {
        let kept = self.warm(now);
        let warm = kept && !self.is_unsure();
        let mut rest = records.into_iter().peekable();
        let mut wanted = Some(wanted);
        while answers || rest.peek().is_some() {
            let records: Vec<Record> = rest.by_ref().take(self.terms.page.max(1)).collect();
            let last = rest.peek().is_none();
            let wanted = if last { wanted.take().unwrap_or_default() } else { Vec::new() };
            let word = Records { records, wanted, last: last && answers, warm, kept };
            self.evening.out.push((to, RosterWord::Records(word)));
            if last {
                break;
            }
        }
    }

    /// Takes in what another keeper knows.
    fn even(&mut self, now: Duration, from: NodeId, told: Records) -> bool {
        let before = (self.count(), self.warm(now));
        for record in told.records.into_iter().take(self.terms.page.max(1) * 2) {
            self.merge(now, record);
        }
        if told.last {
            self.evening.answered = Some(now);
            self.evened |= told.warm;
            self.doubt_told(now, from, told.kept);
            if told.warm {
                self.let_go(now);
            }
            let groups: Vec<usize> = told.wanted.iter().map(|at| usize::from(*at)).collect();
            let records = self.records_of(now, &groups);
            self.send_records(now, from, records, Vec::new(), false);
        }
        before != (self.count(), self.warm(now))
    }

    fn merge(&mut self, now: Duration, record: Record) {
        let Record { mut beat, state, heard, since, first, doubted } = record;
        // It may have closed since, and nobody may know any more: no reason to take it up.
        let held = || self.lives.get(&beat.id).is_some_and(|life| life.state == State::Open);
        if doubted && (!held() || self.remembered.contains(&beat.id)) {
            return;
        }
        let known = self.lives.get(&beat.id).map(|life| life.state);
        // What is about to be forgotten is not learned again, nor is one that is silent for too long.
        let stale = match state {
            State::Closing | State::Gone => since >= self.terms.remember.mul_f64(0.9),
            State::Open | State::Lost => heard >= self.terms.silent(),
        };
        if stale && known.is_none() || state == State::Lost {
            return;
        }
        let id = beat.id.clone();
        let (heard, first) = (now.saturating_sub(heard), now.saturating_sub(first));
        beat.closing |= state.is_final();
        self.heard_of(now, beat, heard, first);
        if state == State::Gone {
            self.turn(now, &id, Event::Left);
        }
        // An end is as old as it was first heard of, so that all forget it at about the same time.
        if let Some(life) = self.lives.get_mut(&id).filter(|life| state.is_final() && life.state == state) {
            life.since = life.since.min(now.saturating_sub(since));
        }
    }
}

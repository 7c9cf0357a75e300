//! The keeper: all parts of one node's share in the control state, on one thread.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::acceptor::{Acceptor, mixed};
use crate::ballot::Ballot;
use crate::charter::Charter;
use crate::claims::Claims;
use crate::contact::ReadSince;
use crate::crew::Crew;
use crate::departure::Departure;
use crate::desk::{Asker, Desk, Entry};
use crate::fault::{self, Fault};
use crate::founding::Founding;
use crate::handover::{Page, Repair};
use crate::messages::{Message, Record};
use crate::pace::Pace;
use crate::past_fetch::PastFetch;
use crate::pen::Pen;
use crate::recovery::CatchUp;
use crate::reuse::Reuse;
use crate::subjects::Memory;
use crate::succession::{Drive, Successor};
use crate::terms::Terms;
use crate::types::{Answer, Call, Key, NodeId};
use crate::watches::Watches;
use crate::{Kept, KeptError, Me, Out, Peer, value::Value};

#[derive(Clone)]
pub struct Keeper {
    pub(crate) me: Me,
    /// It has been there since the system's first start, and has forgotten nothing since.
    pub(crate) first: bool,
    pub(crate) terms: Terms,
    pub(crate) rng: fastrand::Rng,
    pub(crate) pen: Pen,
    pub(crate) acceptor: Acceptor,
    /// Operations that are to be carried out once.
    pub(crate) claims: Claims,
    pub(crate) memory: Memory,
    /// The newest epoch, and the record of it. Epoch 0: see `founding`.
    pub(crate) charter: Option<Charter>,
    pub(crate) chartered: u64,
    /// Once this record is durable, this disk takes no part in an epoch before the present one, whatever it forgets: that of the
    /// epoch, or of the successor that it accepted.
    pub(crate) fenced: u64,
    /// The epoch with which this disk came in, once it has caught up.
    pub(crate) caught_up: Option<u64>,
    pub(crate) successor: Successor,
    pub(crate) drive: Drive,
    /// How often others came first with a change of this epoch.
    pub(crate) contention: u32,
    pub(crate) crew: Crew,
    pub(crate) catch_up: Option<CatchUp>,
    pub(crate) repair: Repair,
    pub(crate) reuse: Reuse,
    pub(crate) founding: Founding,
    /// Where calls wait; those with an attempt under way are active.
    pub(crate) desks: BTreeMap<Key, Desk>,
    pub(crate) active: BTreeSet<Key>,
    /// Calls of callers at the desks.
    pub(crate) calls: usize,
    pub(crate) watches: Watches,
    pub(crate) past_fetch: PastFetch,
    pub(crate) pace: Pace,
    /// The newest committed values that this node heard of; they never go back.
    pub(crate) shown: BTreeMap<Key, (Ballot, Value)>,
    pub(crate) read_since: ReadSince,
    /// The highest count of a ballot of this life.
    pub(crate) count: u64,
    /// Names plain reads.
    pub(crate) mark: u64,
    pub(crate) pulse_at: Duration,
    pub(crate) pulse_whole_at: Duration,
    pub(crate) poll_at: Duration,
    /// It has polled since it last heard a majority: so after a start, or when a cut ends, it does so at once.
    pub(crate) polled: bool,
    pub(crate) leaving: bool,
    pub(crate) departure: Departure,
    /// The newest time that this node was told.
    pub(crate) clock: Duration,
}

impl Keeper {
    /// `seed` is for what is drawn. `me.disk` is for an empty disk only: otherwise the number in `kept` counts.
    pub fn start(now: Duration, seed: u64, me: Me, kept: Kept, terms: Terms) -> Result<Keeper, KeptError> {
        let rng = fastrand::Rng::with_seed(seed);
        let mark = mixed(&(me.life, seed));
        let mut keeper = Keeper {
            first: me.first_start && (me.empty || me.disk.is_none()),
            pen: Pen::new(me.node, terms.held),
            acceptor: Acceptor::new(),
            claims: Claims::default(),
            memory: Memory::new(terms.history),
            charter: None,
            chartered: 0,
            fenced: 0,
            caught_up: None,
            successor: Successor::default(),
            drive: Drive::Idle,
            contention: 0,
            crew: Crew::new(now, terms.peers),
            catch_up: None,
            repair: Repair::new(now + terms.handover, now + terms.compare),
            reuse: Reuse::new(now),
            founding: Founding::new(now),
            desks: BTreeMap::new(),
            active: BTreeSet::new(),
            calls: 0,
            watches: Watches::new(terms.past_wait),
            past_fetch: PastFetch::new(now),
            pace: Pace::default(),
            shown: BTreeMap::new(),
            read_since: ReadSince::new(),
            count: 0,
            mark,
            pulse_at: now,
            pulse_whole_at: now,
            poll_at: now,
            polled: false,
            leaving: false,
            departure: Departure::default(),
            clock: now,
            me,
            rng,
            terms,
        };
        keeper.replay(now, kept)?;
        Ok(keeper)
    }

    pub fn heard(&mut self, now: Duration, from: NodeId, message: Message) {
        self.clock = now;
        if from == self.me.node {
            return;
        }
        let met = !self.crew.is_heard(now, from, self.terms.settled);
        self.crew.heard(now, from);
        self.handle(now, from, message);
        if met && self.is_in(from) {
            // It may have been started a moment ago: it is settled the sooner.
            self.pulse_to(from);
        }
        if !self.polled && self.is_settled(now) {
            self.poll_at = now;
            self.poll(now);
        }
        self.drain(now);
    }

    /// All records up to this number are durable.
    pub fn synced(&mut self, now: Duration, number: u64) {
        self.clock = now;
        self.pace.synced(now, number);
        self.pen.synced(number);
        self.catch_up_synced(now);
        self.drain(now);
    }

    /// The beacon's view, whole.
    pub fn peers(&mut self, now: Duration, peers: &[Peer]) {
        self.clock = now;
        self.crew.peers(now, peers);
        let charter = self.charter.as_ref();
        self.crew.keep(|node| charter.is_some_and(|charter| charter.member(node).is_some()));
    }

    /// One that is no member, or is cut off from the majority, answers `Busy`.
    pub fn call(&mut self, now: Duration, id: u64, call: Call) {
        self.call_since(now, id, call, now);
    }

    /// As [`Keeper::call`], for one whose caller has waited since `came`: its time is over so much sooner.
    pub fn call_since(&mut self, now: Duration, id: u64, call: Call, came: Duration) {
        self.clock = now;
        let key = call.key();
        let watch = matches!(call, Call::Watch { .. });
        let over = self.calls >= self.terms.calls
            || (watch && self.watches.len() >= self.terms.watches)
            || key.name().len() > self.terms.name
            || (call.adds() && self.acceptor.bytes() + call.bytes() > self.terms.bytes)
            || self.is_past_full(&call)
            || (self.acceptor.len() >= self.terms.registers && self.acceptor.get(&key).is_none());
        let alone = fault::is(Fault::ReadAlone);
        if over || self.voting_epoch().is_none() || (!alone && !self.has_quorum(now)) {
            return self.pen.answer(id, Answer::Busy);
        }
        let until = came + self.terms.call;
        self.admit(now, Entry { asker: Asker::Caller(id), call, came, until, sent: false });
        self.drain(now);
    }

    pub fn woke(&mut self, now: Duration) {
        if now > self.next_wake() + self.terms.freeze {
            self.crew.woke_late(now);
        }
        self.clock = now;
        self.founding_woke(now);
        if now >= self.pulse_at {
            let whole = now >= self.pulse_whole_at;
            self.pulse(now, whole);
        }
        self.watches.woke(now, &mut self.pen);
        for key in self.due(now) {
            self.look_at(now, key);
        }
        if self.member_epoch().is_some() {
            self.succession_woke(now);
            self.catch_up_woke(now);
            self.repair_woke(now);
            self.reuse_woke(now);
            self.past_woke(now);
            self.poll(now);
        }
        self.departure_woke(now);
        self.drain(now);
    }

    pub fn next_wake(&self) -> Duration {
        let mut wake = self.founding.at;
        if self.member_epoch().is_some() {
            let repair = self.repair.hand_over_at.min(self.repair.compare_at);
            wake = wake.min(self.past_wake().unwrap_or(Duration::MAX));
            wake = wake.min(self.pulse_at).min(repair).min(self.poll_at);
            wake = wake.min(if self.is_short() { self.reuse.at } else { Duration::MAX });
            wake = wake.min(self.drive.wake().unwrap_or(Duration::MAX));
            let catch_up = self.catch_up.as_ref().filter(|catch_up| catch_up.logged.is_none());
            wake = wake.min(catch_up.map_or(Duration::MAX, |catch_up| catch_up.again));
        }
        wake = wake.min(self.departure.next_wake().unwrap_or(Duration::MAX));
        wake = wake.min(self.watches.next_wake().unwrap_or(Duration::MAX));
        self.active.iter().filter_map(|key| self.desk_wake(key)).fold(wake, Duration::min)
    }

    pub fn take(&mut self) -> Vec<Out> {
        self.pace.handed_out(self.clock, self.pen.written());
        self.pen.take()
    }

    /// A member that has caught up.
    pub fn is_member(&self) -> bool {
        self.voting_epoch().is_some()
    }

    /// Has heard a majority of the members just now.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.hears(now, self.terms.settled)
    }

    pub fn members(&self) -> Vec<NodeId> {
        if self.epoch() == 0 { Vec::new() } else { self.electors() }
    }

    /// Those that decide in the newest epoch: its members, or the seeds.
    pub(crate) fn electors(&self) -> Vec<NodeId> {
        self.charter.iter().flat_map(|charter| &charter.members).map(|member| member.node).collect()
    }

    pub fn epoch(&self) -> u64 {
        self.charter.as_ref().map_or(0, |charter| charter.number)
    }

    /// The number of this node's disk.
    pub fn disk(&self) -> Option<u64> {
        self.me.disk
    }

    /// This process ends soon: others are to be stewards.
    pub fn leaving(&mut self, now: Duration) {
        self.clock = now;
        self.leaving = true;
        self.pulse(now, true);
        self.drain(now);
    }

    pub(crate) fn drain(&mut self, now: Duration) {
        while let Some(message) = self.pen.next_own() {
            self.handle(now, self.me.node, message);
        }
    }

    /// This disk is a member of the newest epoch, caught up or not; or this is a seed in epoch 0.
    pub(crate) fn member_epoch(&self) -> Option<u64> {
        let charter = self.charter.as_ref()?;
        let member = charter.member(self.me.node)?;
        (charter.number == 0 || Some(member.disk) == self.me.disk || fault::is(Fault::WipedDiskVotes))
            .then_some(charter.number)
    }

    /// This disk counts in the majorities of the newest epoch.
    pub(crate) fn voting_epoch(&self) -> Option<u64> {
        let epoch = self.member_epoch().filter(|epoch| *epoch > 0)?;
        let joined = self.charter.as_ref()?.member(self.me.node)?.joined;
        (joined == 1 || self.caught_up == Some(joined) || fault::is(Fault::NewcomerVotes)).then_some(epoch)
    }

    pub(crate) fn is_in(&self, node: NodeId) -> bool {
        self.charter.as_ref().is_some_and(|charter| charter.member(node).is_some())
    }

    /// Members heard a moment ago, with this node.
    pub(crate) fn alive_members(&self, now: Duration) -> impl Iterator<Item = NodeId> {
        self.heard_members(now, self.terms.alive)
    }

    pub(crate) fn heard_members(&self, now: Duration, within: Duration) -> impl Iterator<Item = NodeId> {
        let members = self.charter.iter().flat_map(|charter| &charter.members).map(|member| member.node);
        members.filter(move |node| *node == self.me.node || self.crew.is_heard(now, *node, within))
    }

    fn hears(&self, now: Duration, within: Duration) -> bool {
        let quorum = self.charter.as_ref().map_or(usize::MAX, Charter::quorum);
        self.voting_epoch().is_some() && self.heard_members(now, within).count() >= quorum
    }

    pub(crate) fn has_quorum(&self, now: Duration) -> bool {
        self.hears(now, self.terms.alive)
    }

    pub(crate) fn tell_members(&mut self, message: &Message) {
        for node in self.electors() {
            self.pen.send(node, message.clone());
        }
    }

    pub(crate) fn send_members(&mut self, to: NodeId) {
        if let Some(charter) = &self.charter {
            self.pen.send(to, Message::Members(charter.clone()));
        }
    }

    /// Whether this disk answers requests of an epoch. Who is behind is told the newest; who is ahead is asked.
    pub(crate) fn answers(&mut self, from: NodeId, epoch: u64) -> bool {
        let ours = self.epoch();
        if ours > epoch {
            self.send_members(from);
        } else if ours < epoch {
            self.pen.send(from, Message::Ask { epoch: ours });
        }
        ours == epoch
            && self.voting_epoch().is_some()
            && (self.successor.accepted.is_none() || fault::is(Fault::NotSealed))
    }

    /// A decided epoch above the one known.
    pub(crate) fn enter_epoch(&mut self, now: Duration, charter: Charter) {
        if charter.number <= self.epoch() || charter.members.is_empty() {
            return;
        }
        self.pen.note(format!("keeper: epoch {} begins, {} keepers", charter.number, charter.members.len()));
        if self.me.disk.is_some() {
            self.chartered = self.pen.log(&Record::Epoch(charter.clone()));
            let sealed = self.successor.accepted.is_some().then_some(self.successor.logged);
            self.fenced = sealed.unwrap_or(self.chartered);
        }
        for member in self.charter.iter().flat_map(|before| &before.members) {
            if charter.member(member.node).is_none() {
                self.crew.taken_out(now, member.node);
            }
        }
        self.departure.entered(self.charter.as_ref(), &charter, self.me.node, self.leaving);
        self.charter = Some(charter);
        self.successor = Successor::default();
        self.drive = Drive::Idle;
        self.contention = 0;
        self.reuse.ended();
        self.start_catch_up(now);
        self.restart_desks(now);
        self.pulse(now, true);
        self.departure_woke(now);
    }

    pub(crate) fn start_catch_up(&mut self, now: Duration) {
        self.catch_up = None;
        if self.member_epoch().is_none() || self.voting_epoch().is_some() {
            return;
        }
        if let Some(charter) = &self.charter
            && let Some(member) = charter.member(self.me.node)
            && member.joined == charter.number
            && charter.number > 0
        {
            self.catch_up = Some(CatchUp::new(now, charter.number, member.joined, charter.cover()));
        }
    }

    pub(crate) fn pulse(&mut self, now: Duration, whole: bool) {
        self.pulse_at = now + self.terms.pulse;
        let spoken = self.pen.spoken();
        let Some(epoch) = self.member_epoch() else { return };
        if whole {
            self.pulse_whole_at = now + self.terms.pulse_whole;
        }
        for node in self.electors() {
            if node != self.me.node && (whole || !spoken.contains(&node)) {
                let said = self.said(now, epoch, node);
                self.pen.send(node, said);
            }
        }
    }

    fn pulse_to(&mut self, node: NodeId) {
        if let Some(epoch) = self.member_epoch() {
            let said = self.said(self.clock, epoch, node);
            self.pen.send(node, said);
        }
    }

    fn said(&self, now: Duration, epoch: u64, to: NodeId) -> Message {
        Message::Pulse {
            epoch,
            disk: self.me.disk,
            caught_up: self.caught_up,
            life: self.me.life,
            leaving: self.leaving,
            hears_you: self.crew.is_heard(now, to, self.terms.settled),
            contact: self.in_contact(now),
            sync_ms: u32::try_from(self.pace.slowest(now).as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn desk_wake(&self, key: &Key) -> Option<Duration> {
        let desk = self.desks.get(key)?;
        let contest = if desk.is_refused() { self.contest(self.clock) } else { self.terms.contest };
        desk.wake(self.terms.patience, contest)
    }

    fn due(&self, now: Duration) -> Vec<Key> {
        let due = self.active.iter().filter(|key| self.desk_wake(key).is_some_and(|wake| wake <= now));
        due.cloned().collect()
    }

    /// The record that has to be durable before an answer goes out.
    fn rests_on(&self, logged: u64, unless: Fault) -> u64 {
        if fault::is(unless) { 0 } else { logged.max(self.chartered) }
    }

    fn handle(&mut self, now: Duration, from: NodeId, message: Message) {
        match message {
            Message::Pulse { epoch, disk, caught_up, life, leaving, hears_you, contact, sync_ms } => {
                self.crew.pulse(now, from, disk, caught_up, life, leaving);
                self.crew.hears(now, from, hears_you, contact);
                self.crew.syncs(now, from, Duration::from_millis(sync_ms.into()));
                if epoch > self.epoch() {
                    self.pen.send(from, Message::Ask { epoch: self.epoch() });
                } else if epoch < self.epoch() {
                    self.send_members(from);
                }
            }
            Message::Ask { epoch } if epoch < self.epoch() => self.is_behind(now, from),
            Message::Ask { .. } => {}
            Message::Members(charter) => self.enter_epoch(now, charter),
            Message::Present { disk } => self.present(now, from, disk),
            Message::Read { epoch, key, mark, known } => {
                if self.answers(from, epoch) {
                    let (held, logged) = self.acceptor.see(now, &key, known);
                    self.pen.reply(logged.max(self.chartered), from, Message::Seen { key, mark, held });
                }
            }
            Message::Seen { key, mark, held } => self.seen(now, from, key, mark, held),
            Message::Prepare { key, ballot, known } => {
                if self.answers(from, ballot.epoch) {
                    match self.acceptor.promise(now, &key, ballot, known, &mut self.pen) {
                        Ok((held, logged)) => {
                            let promised = Message::Promised { key, ballot, held };
                            let rests = self.rests_on(logged, Fault::PromiseUnsynced);
                            self.pen.reply(rests, from, promised);
                        }
                        Err(promised) => self.pen.send(from, Message::Refused { key, ballot, promised }),
                    }
                }
            }
            Message::Promised { key, ballot, held } => self.promised(now, from, key, ballot, held),
            Message::Accept { key, ballot, next, age, value } => {
                if !self.is_sealed() && self.answers(from, ballot.epoch) {
                    match self.acceptor.accept(now, &key, ballot, next, age, value, &mut self.pen) {
                        Ok(logged) => {
                            let accepted = Message::Accepted { key, ballot };
                            let rests = self.rests_on(logged, Fault::AcceptUnsynced);
                            self.pen.reply(rests, from, accepted);
                        }
                        Err(promised) => self.pen.send(from, Message::Refused { key, ballot, promised }),
                    }
                }
            }
            Message::Accepted { key, ballot } => self.accepted(now, from, key, ballot),
            Message::Refused { key, ballot, promised } => self.refused(now, from, key, ballot, promised),
            Message::Committed { key, ballot } => self.hinted(now, from, key, ballot),
            Message::SuccessorPrepare { ballot } => self.successor_prepare(from, ballot),
            Message::SuccessorPromised { ballot, accepted } => {
                self.successor_promised(now, from, ballot, accepted)
            }
            Message::SuccessorAccept { ballot, charter } => self.successor_accept(from, ballot, charter),
            Message::SuccessorAccepted { ballot } => self.successor_accepted(now, from, ballot),
            Message::SuccessorRefused { ballot, promised } => self.successor_refused(now, ballot, promised),
            Message::Digest { epoch, sums, floor } => self.digest(from, epoch, &sums, floor),
            Message::List { epoch, parts, after } => self.list(from, epoch, parts, after),
            Message::Listed { epoch, parts, after, entries, more, floor } => {
                self.listed(now, from, epoch, Page { parts, after, entries, more, floor });
            }
            Message::Want { epoch, keys } => self.want(from, epoch, &keys),
            Message::Give { epoch, entries, floor } => self.given(now, from, epoch, entries, floor),
            Message::Retire { ballot, entries } => self.retire(from, ballot, &entries),
            Message::Retired { ballot, keys, above } => self.retired(from, ballot, keys, above),
            Message::Forget { ballot, entries } => self.forget(from, ballot, &entries),
            Message::Farewell { epoch, life, sums } => self.farewell(from, epoch, life, &sums),
            Message::Differing { epoch, life, parts } => self.differing(now, from, epoch, life, parts),
            Message::Held { epoch, life, after, entries } => self.held(from, epoch, life, after, &entries),
            Message::PastWanted { key, revisions } => self.past_wanted(from, key, &revisions),
            Message::Claim { number, operation, attempt } => {
                self.claim(now, from, number, operation, attempt)
            }
            Message::Voted { number, epoch, quorum, vote } => {
                self.pen.voted(Out::Voted { from, number, epoch, quorum, vote });
            }
            Message::ClaimGivenUp { operation, attempt } => self.claim_given_up(from, operation, attempt),
            Message::ClaimsWanted { epoch, after } => self.claims_wanted(now, from, epoch, after),
            Message::ClaimsGiven { epoch, after, claims, more } => {
                self.claims_given(now, from, epoch, after, &claims, more);
            }
            Message::PastGiven { key, values } => self.past_given(now, from, key, values),
            Message::Lacking { epoch, life, after, keys } => {
                self.lacking(now, from, epoch, life, after, &keys);
            }
        }
    }
}

//! A member that ends may hold one of few copies, and its disk may never come back. Before it ends it takes nothing
//! more, and shows that a majority of those that stay hold, on disk, all that it holds: they compare sums first, then
//! lists, and what one lacks is handed over (anti-entropy). One that makes the number of members even again, after a
//! newcomer was added, is taken out first: those that stay then need no fewer, and can lose one more.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ballot::Ballot;
use crate::charter::Charter;
use crate::fault::{self, Fault};
use crate::keeper::Keeper;
use crate::messages::Message;
use crate::types::{Key, NodeId};

/// How far one that stays has been compared with.
#[derive(Clone, Debug, Hash, Default)]
struct Stayer {
    /// The parts in which it differs, once it has said so.
    parts: Option<u64>,
    /// The page at hand begins after this.
    after: Option<Key>,
    /// It holds all, on disk.
    shown: bool,
    ask_at: Duration,
}

#[derive(Clone, Debug, Hash, Default)]
pub(crate) struct Departure {
    /// From here on this disk takes nothing more.
    pub sealed: bool,
    /// It was a member when it got the word to end, and was taken out since.
    out: bool,
    /// Those compared with in the newest epoch.
    stayers: BTreeMap<NodeId, Stayer>,
}

impl Departure {
    /// Another epoch: what was shown was shown to the members of the one before.
    pub fn entered(&mut self, before: Option<&Charter>, after: &Charter, me: NodeId, leaving: bool) {
        self.stayers.clear();
        let Some(before) = before else { return };
        self.out |= leaving && before.member(me).is_some() && after.member(me).is_none();
    }

    pub fn next_wake(&self) -> Option<Duration> {
        let open = self.stayers.values().filter(|stayer| !stayer.shown);
        open.map(|stayer| stayer.ask_at).min().filter(|_| self.sealed)
    }
}

impl Keeper {
    /// The process is ready to end: this disk takes nothing more, and asks those that stay what they hold.
    pub fn depart(&mut self, now: Duration) {
        self.clock = now;
        if !self.departure.sealed {
            self.departure.sealed = true;
            self.pen.note("keeper: takes nothing more, asks those that stay".to_owned());
        }
        if self.member_epoch().is_some() {
            self.succession_woke(now);
        }
        self.departure_woke(now);
        self.drain(now);
    }

    /// What this disk holds stands on a majority of those that stay, or counts no more. After `depart`.
    pub fn may_end(&self) -> bool {
        if fault::is(Fault::LeaverDoesNotAsk) {
            return true;
        }
        let Some(charter) = self.charter.as_ref().filter(|_| self.departure.sealed) else {
            return self.charter.is_none();
        };
        if self.voting_epoch().is_none() && !self.departure.out {
            return true;
        }
        if self.successor.accepted.is_some() || self.is_to_go(charter) {
            return false;
        }
        let stayers = self.stayers();
        let shown = |node: &&NodeId| self.departure.stayers.get(node).is_some_and(|stayer| stayer.shown);
        // One that came in its place says so only once it has caught up.
        let placed = charter.newcomer().filter(|_| self.departure.out);
        let caught_up = placed.is_none_or(|member| shown(&&member.node));
        stayers.is_empty() || (caught_up && stayers.iter().filter(shown).count() > stayers.len() / 2)
    }

    /// Whether this member is to be taken out before it ends.
    pub(crate) fn is_to_go(&self, charter: &Charter) -> bool {
        let enough = (self.me.tolerate as usize).saturating_mul(2).saturating_add(1);
        let size = charter.members.len();
        self.departure.sealed
            && charter.grown
            && !fault::is(Fault::LeaverStaysIn)
            && charter.member(self.me.node).is_some()
            && size.is_multiple_of(2)
            && size > enough
    }

    /// This disk accepts nothing more.
    pub(crate) fn is_sealed(&self) -> bool {
        self.departure.sealed && !fault::is(Fault::LeaverAccepts)
    }

    fn stayers(&self) -> Vec<NodeId> {
        let others = self.members().into_iter().filter(|node| *node != self.me.node);
        others.filter(|node| !self.crew.is_leaving(*node)).collect()
    }

    pub(crate) fn departure_woke(&mut self, now: Duration) {
        let counts = self.voting_epoch().is_some() || self.departure.out;
        let stayers = if self.departure.sealed && counts { self.stayers() } else { Vec::new() };
        self.departure.stayers.retain(|node, _| stayers.contains(node));
        for node in stayers {
            let stayer = self.departure.stayers.entry(node).or_default();
            if !stayer.shown && now >= stayer.ask_at {
                self.ask_stayer(now, node);
            }
        }
    }

    fn ask_stayer(&mut self, now: Duration, node: NodeId) {
        let (epoch, life) = (self.epoch(), self.me.life);
        let Some(stayer) = self.departure.stayers.get_mut(&node) else { return };
        stayer.ask_at = now + self.terms.resend;
        let after = stayer.after.clone();
        let Some(parts) = stayer.parts else {
            // Of what one holds that was taken out nothing counts: only the epoch is to be known.
            let sums = if self.departure.out { Vec::new() } else { self.acceptor.sums().to_vec() };
            return self.pen.send(node, Message::Farewell { epoch, life, sums });
        };
        let entries = self.page(parts, after.as_ref());
        self.pen.send(node, Message::Held { epoch, life, after, entries });
    }

    fn page(&self, parts: u64, after: Option<&Key>) -> Vec<(Key, Ballot)> {
        let entries = self.acceptor.list(parts, after).take(self.terms.listed);
        entries.map(|(key, accepted)| (key.clone(), accepted.ballot)).collect()
    }

    /// To one that leaves: the parts in which this disk differs, once all of it is durable.
    pub(crate) fn farewell(&mut self, from: NodeId, epoch: u64, life: u64, sums: &[u64]) {
        if !self.is_at(from, epoch) {
            return;
        }
        let pairs = self.acceptor.sums().iter().zip(sums).enumerate();
        let parts = pairs.filter(|(_, (ours, theirs))| ours != theirs).fold(0, |all, (at, _)| all | 1 << at);
        self.pen.reply(self.covered(), from, Message::Differing { epoch, life, parts });
    }

    pub(crate) fn held(
        &mut self, from: NodeId, epoch: u64, life: u64, after: Option<Key>, entries: &[(Key, Ballot)],
    ) {
        if !self.is_at(from, epoch) {
            return;
        }
        let ours = |key: &Key| self.acceptor.get(key).and_then(|register| register.ballot());
        let lacks = entries.iter().filter(|(key, ballot)| ours(key) < Some(*ballot));
        let keys = lacks.map(|(key, _)| key.clone()).collect();
        self.pen.reply(self.covered(), from, Message::Lacking { epoch, life, after, keys });
    }

    /// All that was written so far.
    fn covered(&self) -> u64 {
        if fault::is(Fault::StayerUnsynced) { 0 } else { self.pen.written() }
    }

    pub(crate) fn differing(&mut self, now: Duration, from: NodeId, epoch: u64, life: u64, parts: u64) {
        if let Some(stayer) = self.awaited(from, epoch, life).filter(|stayer| stayer.parts.is_none()) {
            stayer.parts = Some(parts);
            stayer.shown = parts == 0;
            if parts != 0 {
                self.ask_stayer(now, from);
            }
        }
    }

    pub(crate) fn lacking(
        &mut self, now: Duration, from: NodeId, epoch: u64, life: u64, after: Option<Key>, keys: &[Key],
    ) {
        let (again, most) = (now + self.terms.patience, self.terms.listed);
        let Some(stayer) = self.awaited(from, epoch, life).filter(|stayer| stayer.after == after) else {
            return;
        };
        let Some(parts) = stayer.parts.filter(|_| !stayer.shown) else { return };
        if !keys.is_empty() {
            stayer.ask_at = again;
            return self.give(from, keys);
        }
        let page = self.page(parts, after.as_ref());
        let last = page.last().map(|(key, _)| key.clone()).filter(|_| page.len() >= most);
        let Some(stayer) = self.departure.stayers.get_mut(&from) else { return };
        stayer.shown = last.is_none();
        if last.is_some() {
            stayer.after = last;
            self.ask_stayer(now, from);
        }
    }

    fn awaited(&mut self, from: NodeId, epoch: u64, life: u64) -> Option<&mut Stayer> {
        let fits = self.departure.sealed && self.epoch() == epoch && self.me.life == life;
        self.departure.stayers.get_mut(&from).filter(|_| fits)
    }

    /// Whether this disk counts in this epoch. Who is behind is told the newest; who is ahead is asked.
    fn is_at(&mut self, from: NodeId, epoch: u64) -> bool {
        let ours = self.epoch();
        if ours > epoch {
            self.send_members(from);
        } else if ours < epoch {
            self.pen.send(from, Message::Ask { epoch: ours });
        }
        ours == epoch && self.voting_epoch().is_some()
    }
}

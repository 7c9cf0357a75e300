//! A newcomer catches up before it counts in any majority.
//!
//! Why one member at a time may be exchanged in one step. Before a change each committed value is on a majority of
//! the members, q of n. The successor was accepted by a majority too, each of which takes nothing more of the old
//! epoch; so whatever is committed in it was on disk there before. Without the one that left, at least q - 1 of the
//! other n - 1 hold the value. The newcomer reads from n - q + 1 of them, in the new epoch, when none takes anything
//! of the old one: q - 1 and n - q + 1 of n - 1 have one in common. With it q hold the value again, so the next
//! change finds what this one found. Until then the newcomer does not count, and majorities of the others, q of
//! n - 1, meet the q - 1. What is written in the new epoch meanwhile is on q of the others, as always.
//!
//! One that is added reads from n' - q' + 1 of the n before it, n' = n + 1: they meet the q that hold the value.
//! One is removed only from an even number: q of n = 2k is k + 1, and the k left of them are a majority of 2k - 1.
//! Hence one change at a time: the newcomer of an epoch has caught up before the next, or is the one that goes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ballot::Ballot;
use crate::claims::{GivenClaim, OperationId};
use crate::fault::{self, Fault};
use crate::floor::Floor;
use crate::handover::{ALL_PARTS, Page};
use crate::keeper::Keeper;
use crate::messages::{Message, Record};
use crate::types::{Key, NodeId};

#[derive(Clone, Debug, Hash)]
pub(crate) struct CatchUp {
    epoch: u64,
    joined: u64,
    /// From so many members all was read.
    cover: usize,
    done: Vec<NodeId>,
    from: Option<NodeId>,
    after: Option<Key>,
    /// The last key of the page at hand, if there are pages after it.
    rest: Option<Key>,
    lacking: BTreeMap<Key, Ballot>,
    listed: bool,
    /// All registers of this source were read: its claims are next, behind this one.
    claims: Option<Option<OperationId>>,
    /// The highest floor of those it reads from, and what they listed of registers that may be given up.
    floor: Floor,
    there: BTreeSet<Key>,
    pub again: Duration,
    silent: u32,
    /// The record that says so.
    pub logged: Option<u64>,
}

impl CatchUp {
    pub fn new(now: Duration, epoch: u64, joined: u64, cover: usize) -> CatchUp {
        CatchUp {
            epoch,
            joined,
            cover,
            done: Vec::new(),
            from: None,
            after: None,
            rest: None,
            lacking: BTreeMap::new(),
            listed: false,
            claims: None,
            floor: Floor::default(),
            there: BTreeSet::new(),
            again: now,
            silent: 0,
            logged: None,
        }
    }

    /// The epoch it came in with, if all was read.
    pub fn finished(&self) -> Option<u64> {
        self.logged.map(|_| self.joined)
    }

    fn turn_to(&mut self, from: Option<NodeId>) {
        self.from = from;
        self.after = None;
        self.rest = None;
        self.lacking.clear();
        self.listed = false;
        self.claims = None;
        self.silent = 0;
    }
}

impl Keeper {
    pub(crate) fn catch_up_woke(&mut self, now: Duration) {
        let Some(mut catch_up) = self.catch_up.take() else { return };
        if catch_up.logged.is_none() && now >= catch_up.again {
            catch_up.silent += 1;
            if catch_up.from.is_none() || catch_up.silent > 2 {
                self.next_source(&mut catch_up);
            }
            self.fetch(now, &mut catch_up);
        }
        self.catch_up = Some(catch_up);
    }

    /// Turns to the next member after the present one that was not read yet.
    fn next_source(&mut self, catch_up: &mut CatchUp) {
        let Some(charter) = &self.charter else { return };
        let nodes = || charter.members.iter().map(|member| member.node);
        let open = |node: &NodeId| *node != self.me.node && !catch_up.done.contains(node);
        let next = nodes().filter(open).find(|node| Some(*node) > catch_up.from);
        let next = next.or_else(|| nodes().find(open));
        catch_up.turn_to(next);
    }

    /// One that does not know of the newest epoch asks for it. If this newcomer reads from it, it has not answered.
    pub(crate) fn is_behind(&mut self, now: Duration, from: NodeId) {
        self.send_members(from);
        let soon = now + self.terms.patience;
        if let Some(catch_up) = self.catch_up.as_mut().filter(|catch_up| catch_up.from == Some(from)) {
            catch_up.again = catch_up.again.min(soon);
            catch_up.silent = 0;
        }
    }

    /// Asks for what is next.
    fn fetch(&mut self, now: Duration, catch_up: &mut CatchUp) {
        catch_up.again = now + self.terms.fetch;
        let Some(from) = catch_up.from else { return };
        let epoch = catch_up.epoch;
        let message = if let Some(after) = catch_up.claims {
            Message::ClaimsWanted { epoch, after }
        } else if catch_up.listed {
            let keys = catch_up.lacking.keys().take(self.terms.listed).cloned().collect();
            Message::Want { epoch, keys }
        } else {
            Message::List { epoch, parts: ALL_PARTS, after: catch_up.after.clone() }
        };
        self.pen.send(from, message);
    }

    pub(crate) fn caught_list(&mut self, now: Duration, from: NodeId, epoch: u64, page: Page) {
        let Page { after, entries, more, floor, .. } = page;
        let Some(mut catch_up) = self.catch_up.take() else { return };
        let awaited = catch_up.from == Some(from) && catch_up.epoch == epoch && catch_up.after == after;
        if awaited && !catch_up.listed && catch_up.claims.is_none() && catch_up.logged.is_none() {
            catch_up.listed = true;
            catch_up.floor = catch_up.floor.raised(floor);
            let reusable = entries.iter().map(|(key, _)| key).filter(|key| key.is_reusable());
            catch_up.there.extend(reusable.cloned());
            catch_up.rest = entries.last().map(|(key, _)| key.clone()).filter(|_| more);
            catch_up.lacking = entries.into_iter().collect();
            self.advance(now, &mut catch_up);
        }
        self.catch_up = Some(catch_up);
    }

    /// Something was handed over.
    pub(crate) fn caught_more(&mut self, now: Duration, from: NodeId) {
        let Some(mut catch_up) = self.catch_up.take() else { return };
        if catch_up.from == Some(from) && catch_up.listed && catch_up.logged.is_none() {
            self.advance(now, &mut catch_up);
        }
        self.catch_up = Some(catch_up);
    }

    fn advance(&mut self, now: Duration, catch_up: &mut CatchUp) {
        catch_up.silent = 0;
        let acceptor = &self.acceptor;
        let ours = |key: &Key| acceptor.get(key).and_then(|register| register.ballot());
        catch_up.lacking.retain(|key, ballot| ours(key) < Some(*ballot));
        if !catch_up.lacking.is_empty() {
            return self.fetch(now, catch_up);
        }
        catch_up.listed = false;
        if let Some(rest) = catch_up.rest.take() {
            catch_up.after = Some(rest);
            return self.fetch(now, catch_up);
        }
        if fault::is(Fault::ClaimsNotRead) {
            return self.source_read(now, catch_up);
        }
        catch_up.claims = Some(None);
        self.fetch(now, catch_up);
    }

    /// A page of a source's claims.
    pub(crate) fn claims_given(
        &mut self, now: Duration, from: NodeId, epoch: u64, after: Option<OperationId>,
        claims: &[GivenClaim], more: bool,
    ) {
        let Some(mut catch_up) = self.catch_up.take() else { return };
        let awaited =
            catch_up.from == Some(from) && catch_up.epoch == epoch && catch_up.claims == Some(after);
        if awaited && catch_up.logged.is_none() {
            catch_up.silent = 0;
            claims.iter().for_each(|claim| self.claims.take_over(now, *claim, &mut self.pen));
            match claims.last().filter(|_| more) {
                Some(last) => {
                    catch_up.claims = Some(Some(last.operation));
                    self.fetch(now, &mut catch_up);
                }
                None => self.source_read(now, &mut catch_up),
            }
        }
        self.catch_up = Some(catch_up);
    }

    /// All of one source was read.
    fn source_read(&mut self, now: Duration, catch_up: &mut CatchUp) {
        catch_up.done.extend(catch_up.from);
        if catch_up.done.len() >= catch_up.cover {
            self.forget_left(catch_up);
            // It stands on the disk behind all that was read.
            catch_up.logged = Some(self.pen.log(&Record::CaughtUp(catch_up.joined)));
            return;
        }
        self.next_source(catch_up);
        self.fetch(now, catch_up);
    }

    /// Locks and numbers that this disk holds from before, and that none of those it read from has, may have been given
    /// up while it was away; what a majority holds they had. The floor takes their place.
    fn forget_left(&mut self, catch_up: &CatchUp) {
        let before = self.acceptor.floor().ballot;
        if catch_up.floor.ballot > before && !fault::is(Fault::OldRegistersStay) {
            let all = self.acceptor.list(ALL_PARTS, None);
            let left = all.filter(|(key, accepted)| {
                key.is_reusable() && accepted.ballot.epoch < catch_up.epoch && !catch_up.there.contains(*key)
            });
            let left: Vec<(Key, Ballot)> =
                left.map(|(key, accepted)| (key.clone(), accepted.ballot)).collect();
            for lot in left.chunks(self.terms.listed.max(1)) {
                self.acceptor.forget(lot, catch_up.floor, &mut self.pen);
            }
        }
        self.acceptor.raise(catch_up.floor, &mut self.pen);
    }

    /// Counts from here on, once the record of it is durable.
    pub(crate) fn catch_up_synced(&mut self, now: Duration) {
        let done =
            self.catch_up.as_ref().filter(|catch_up| catch_up.logged.is_some_and(|n| self.pen.is_synced(n)));
        let Some(joined) = done.map(|catch_up| catch_up.joined) else { return };
        self.catch_up = None;
        self.caught_up = Some(joined);
        self.pen.note(format!("keeper: caught up, {} registers", self.acceptor.len()));
        self.pulse(now, true);
    }
}

//! Epochs follow each other: the members of one decide together on those of the next.
//!
//! The successor of an epoch is one more register of its members, with a single decision. Who accepts one takes
//! nothing more of the old epoch; the new one begins once a majority has accepted.

use std::time::Duration;

use crate::ballot::Ballot;
use crate::charter::Charter;
use crate::fault::{self, Fault};
use crate::keeper::Keeper;
use crate::messages::{Message, Record};
use crate::types::NodeId;

/// What this disk promised and accepted for the successor of the present epoch.
#[derive(Clone, Debug, Hash, Default)]
pub(crate) struct Successor {
    pub promised: Option<Ballot>,
    pub accepted: Option<(Ballot, Charter)>,
    pub logged: u64,
    pub rival: Option<Rival>,
}

/// A change that another node asks for: who, and when it asked first and last.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Rival {
    ballot: Ballot,
    since: Duration,
    at: Duration,
}

/// How far this node has come with a change of its own, or with one that somebody left undone.
#[derive(Clone, Debug, Hash)]
pub(crate) enum Drive {
    Idle,
    Waiting {
        until: Duration,
    },
    Preparing {
        ballot: Ballot,
        own: Option<Charter>,
        told: Vec<NodeId>,
        found: Option<(Ballot, Charter)>,
        until: Duration,
    },
    Accepting {
        ballot: Ballot,
        charter: Charter,
        told: Vec<NodeId>,
        until: Duration,
    },
}

impl Drive {
    pub fn wake(&self) -> Option<Duration> {
        match self {
            Drive::Idle => None,
            Drive::Waiting { until } | Drive::Preparing { until, .. } | Drive::Accepting { until, .. } => {
                Some(*until)
            }
        }
    }
}

impl Keeper {
    fn drive(&mut self, drive: Drive) {
        self.drive = drive;
    }

    pub(crate) fn succession_woke(&mut self, now: Duration) {
        if self.drive.wake().is_some_and(|until| now < until) {
            return;
        }
        if self.member_epoch().is_none() {
            return self.drive(Drive::Idle);
        }
        if self.ask_again(now) {
            return;
        }
        let sealed = self.successor.accepted.is_some();
        let own = if sealed { None } else { self.wanted(now) };
        if own.is_none() && !sealed {
            self.contention = 0;
            return self.drive(Drive::Idle);
        }
        match self.drive {
            Drive::Waiting { .. } if self.yields(now) => {
                self.drive(Drive::Waiting { until: now + self.terms.decide });
            }
            Drive::Waiting { .. } => self.drive_prepare(now, own),
            _ => {
                let most = self.terms.change.as_millis() as u64;
                // One that waits for its own leave does not wait for the others.
                let rank = if self.departure.sealed { 0 } else { self.rank(now) };
                let delay = Duration::from_millis(self.rng.u64(1..=most.max(1))) + self.terms.change * rank;
                self.drive(Drive::Waiting { until: now + delay });
            }
        }
    }

    /// Whoever has not answered is asked again under the same ballot: a new one would have to be written anew, and where
    /// a majority needs longer for a sync than the time until then no change would ever be decided. Only a higher ballot
    /// ends an attempt, or that it is not wanted any more. Those that have answered hear of it too, so that they do not
    /// begin one of their own.
    fn ask_again(&mut self, now: Duration) -> bool {
        if fault::is(Fault::BallotEachTry) && self.epoch() > 0 {
            return false;
        }
        let wanted = match &self.drive {
            Drive::Preparing { .. } if self.successor.accepted.is_none() => self.wanted(now),
            _ => None,
        };
        let founds = self.epoch() == 0;
        let again = now + self.terms.decide;
        let message = match &mut self.drive {
            Drive::Preparing { ballot, own, until, .. } => {
                if own.is_some() && self.successor.accepted.is_none() {
                    match wanted {
                        None if !founds => return false,
                        None => {}
                        wanted => *own = wanted,
                    }
                }
                *until = again;
                Message::SuccessorPrepare { ballot: *ballot }
            }
            Drive::Accepting { ballot, charter, until, .. } => {
                *until = again;
                Message::SuccessorAccept { ballot: *ballot, charter: charter.clone() }
            }
            Drive::Idle | Drive::Waiting { .. } => return false,
        };
        self.tell_members(&message);
        true
    }

    /// Another node's attempt is under way: it asks on, hears this node, and stands above all that was promised here. It
    /// is left alone for a time that doubles with each contention.
    fn yields(&self, now: Duration) -> bool {
        let Some(rival) = self.successor.rival.as_ref().filter(|_| !fault::is(Fault::BallotEachTry)) else {
            return false;
        };
        let Rival { ballot, since, at } = rival;
        let patience = self.terms.yielding * (1 << self.contention.min(self.terms.yielding_doublings));
        self.successor.promised == Some(*ballot)
            && now.saturating_sub(*at) <= self.terms.alive
            && now.saturating_sub(*since) < patience
            && self.crew.is_heard(now, ballot.node, self.terms.alive)
            && self.crew.hears_us(ballot.node)
    }

    /// A ballot that this disk promised or accepted, of another node.
    fn rival_asked(&mut self, ballot: Ballot) {
        if ballot.node == self.me.node {
            return;
        }
        let now = self.clock;
        match &mut self.successor.rival {
            Some(rival) if rival.ballot == ballot => rival.at = now,
            rival => *rival = Some(Rival { ballot, since: now, at: now }),
        }
    }

    /// This node's place among the members alive, so that not all act at once.
    fn rank(&self, now: Duration) -> u32 {
        let before = self.alive_members(now).filter(|node| *node < self.me.node).count();
        u32::try_from(before).unwrap_or(0)
    }

    /// The change that is needed now, if this node may ask for one. The rules and why they are safe: see `recovery`.
    fn wanted(&self, now: Duration) -> Option<Charter> {
        if self.epoch() == 0 {
            return self.first_members(now);
        }
        self.voting_epoch()?;
        if !self.is_settled(now) {
            return None;
        }
        let charter = self.charter.as_ref()?;
        let newcomer = charter.newcomer();
        let caught_up = newcomer
            .is_none_or(|m| self.crew.is_caught_up(m.node, m.disk, m.joined) || m.node == self.me.node)
            || fault::is(Fault::ChangeBeforeCaughtUp);
        let may_go = |node: NodeId| caught_up || newcomer.is_some_and(|m| m.node == node);
        if caught_up && self.is_to_go(charter) {
            return Some(charter.changed(Some(self.me.node), None));
        }
        let others = || charter.members.iter().filter(|m| m.node != self.me.node && may_go(m.node));
        for member in others() {
            let disk = self.crew.disk(now, member.node, self.terms.alive);
            if let Some(disk) = disk.filter(|disk| *disk != member.disk) {
                return Some(charter.changed(Some(member.node), Some((member.node, disk))));
            }
        }
        let gone =
            |node: NodeId, after: Duration| !self.crew.is_here(node) && self.crew.silence(now, node) >= after;
        let here = || self.crew.staying(now, self.terms.remove);
        let mut stands_by =
            here().filter(|(node, ..)| charter.member(*node).is_none() && *node != self.me.node);
        let stand_by = stands_by.next();
        let going = |node: NodeId| self.crew.is_going(now, node, self.terms.remove);
        let goes = others().find(|m| going(m.node));
        if let (Some((node, disk, _)), Some(out)) =
            (stand_by, goes.or_else(|| others().find(|m| gone(m.node, self.terms.replace))))
        {
            return Some(charter.changed(Some(out.node), Some((node, disk))));
        }
        let size = charter.members.len();
        let enough = (self.me.tolerate as usize).saturating_mul(2).saturating_add(1);
        if size.is_multiple_of(2)
            && size > enough
            && let Some(out) = others().find(|m| gone(m.node, self.terms.remove))
        {
            return Some(charter.changed(Some(out.node), None));
        }
        let all = caught_up && self.alive_members(now).count() == size && size < self.terms.members;
        let mut long = here().filter(|(node, _, since)| {
            charter.member(*node).is_none() && now.saturating_sub(*since) >= self.terms.add
        });
        long.next()
            .filter(|_| all && goes.is_none())
            .map(|(node, disk, _)| charter.changed(None, Some((node, disk))))
    }

    fn drive_prepare(&mut self, now: Duration, own: Option<Charter>) {
        let Some(epoch) = self.member_epoch() else { return };
        let top = self.successor.promised.map_or(0, |promised| promised.count);
        self.count = self.count.max(top).saturating_add(1);
        let ballot = Ballot { epoch, count: self.count, node: self.me.node, life: self.me.life };
        let until = now + self.terms.decide;
        self.drive(Drive::Preparing { ballot, own, told: Vec::new(), found: None, until });
        self.tell_members(&Message::SuccessorPrepare { ballot });
    }

    /// Only members of the present epoch vote on its successor, those too that have not caught up.
    fn successor_gate(&mut self, from: NodeId, epoch: u64) -> bool {
        let ours = self.charter.as_ref().map_or(0, |charter| charter.number);
        if ours > epoch {
            self.send_members(from);
        } else if ours < epoch {
            self.pen.send(from, Message::Ask { epoch: ours });
        }
        self.member_epoch() == Some(epoch)
    }

    fn log_successor(&mut self, epoch: u64) {
        if self.me.disk.is_none() {
            return;
        }
        let Successor { promised, accepted, .. } = self.successor.clone();
        self.successor.logged = self.pen.log(&Record::Successor { epoch, promised, accepted });
    }

    fn successor_rests(&self) -> u64 {
        if fault::is(Fault::SuccessorUnsynced) { 0 } else { self.successor.logged }
    }

    pub(crate) fn successor_prepare(&mut self, from: NodeId, ballot: Ballot) {
        if !self.successor_gate(from, ballot.epoch) {
            return;
        }
        match self.successor.promised {
            Some(promised) if promised > ballot => {
                return self.pen.send(from, Message::SuccessorRefused { ballot, promised });
            }
            Some(promised) if promised == ballot => {}
            _ => {
                self.successor.promised = Some(ballot);
                self.log_successor(ballot.epoch);
            }
        }
        self.rival_asked(ballot);
        let accepted = self.successor.accepted.clone();
        self.pen.reply(self.successor_rests(), from, Message::SuccessorPromised { ballot, accepted });
    }

    pub(crate) fn successor_promised(
        &mut self, now: Duration, from: NodeId, ballot: Ballot, accepted: Option<(Ballot, Charter)>,
    ) {
        let Some(quorum) = self.charter.as_ref().filter(|c| c.member(from).is_some()).map(Charter::quorum)
        else {
            return;
        };
        let Drive::Preparing { ballot: asked, own, told, found, .. } = &mut self.drive else { return };
        if *asked != ballot || told.contains(&from) {
            return;
        }
        told.push(from);
        if let Some((at, charter)) = accepted
            && found.as_ref().is_none_or(|(before, _)| *before < at)
        {
            *found = Some((at, charter));
        }
        if told.len() < quorum {
            return;
        }
        let found = found.as_ref().filter(|_| own.is_none() || !fault::is(Fault::OwnSuccessor));
        let chosen = found.map(|(_, charter)| charter.clone()).or(own.clone());
        let Some(charter) = chosen else { return };
        let until = now + self.terms.decide;
        self.drive(Drive::Accepting { ballot, charter: charter.clone(), told: Vec::new(), until });
        self.tell_members(&Message::SuccessorAccept { ballot, charter });
    }

    pub(crate) fn successor_accept(&mut self, from: NodeId, ballot: Ballot, charter: Charter) {
        if !self.successor_gate(from, ballot.epoch) || charter.number != ballot.epoch.saturating_add(1) {
            return;
        }
        if let Some(promised) = self.successor.promised.filter(|promised| *promised > ballot) {
            return self.pen.send(from, Message::SuccessorRefused { ballot, promised });
        }
        if self.successor.accepted.as_ref().is_none_or(|(at, _)| *at != ballot) {
            self.successor.promised = Some(ballot);
            self.successor.accepted = Some((ballot, charter));
            self.log_successor(ballot.epoch);
        }
        self.rival_asked(ballot);
        self.pen.reply(self.successor_rests(), from, Message::SuccessorAccepted { ballot });
    }

    pub(crate) fn successor_accepted(&mut self, now: Duration, from: NodeId, ballot: Ballot) {
        let Some(old) = self.charter.clone().filter(|charter| charter.member(from).is_some()) else { return };
        let Drive::Accepting { ballot: asked, charter, told, .. } = &mut self.drive else { return };
        if *asked != ballot || told.contains(&from) {
            return;
        }
        told.push(from);
        if told.len() < old.quorum() {
            return;
        }
        let charter = charter.clone();
        if old.number == 0 {
            self.pen.note(format!("keeper: founded with {} disks", charter.members.len()));
        }
        self.enter_epoch(now, charter.clone());
        let mut nodes: Vec<NodeId> = old.members.iter().chain(&charter.members).map(|m| m.node).collect();
        nodes.extend(self.crew.here().map(|(node, ..)| node));
        nodes.sort();
        nodes.dedup();
        nodes.retain(|node| *node != self.me.node);
        for node in nodes {
            self.send_members(node);
        }
    }

    pub(crate) fn successor_refused(&mut self, now: Duration, ballot: Ballot, promised: Ballot) {
        let asked = match &self.drive {
            Drive::Preparing { ballot, .. } | Drive::Accepting { ballot, .. } => *ballot,
            _ => return,
        };
        if asked == ballot {
            self.count = self.count.max(promised.count);
            // The longer they are in each other's way, the further apart they draw.
            let most = (self.terms.change.as_millis() as u64).max(1)
                << self.contention.min(self.terms.contention_doublings);
            let drawn = Duration::from_millis(self.rng.u64(0..=most));
            self.contention += 1;
            self.drive(Drive::Waiting { until: now + self.terms.change + drawn });
        }
    }
}

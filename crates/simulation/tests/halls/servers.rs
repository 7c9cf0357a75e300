//! Servers in the halls: what they say, and what homes and keepers make of it.

use super::{Fit, Halls, Home, MS, Machine, NodeId, Without, Word};
use fallgap_config::Beat;
use fallgap_registry::RosterWord;
use std::time::Duration;

/// Out of contact for less, others have acknowledged no server's end without this keeper.
const MISSED: Duration = Duration::from_millis(500);

impl Home {
    /// As the program has it: contact that begins anew brings doubt of what was held.
    pub(super) fn contact(
        &mut self, now: Duration, contact: bool, others: impl FnOnce() -> Vec<NodeId>,
        without: Option<Without>,
    ) {
        if !contact {
            if self.met && self.out.is_none() && without != Some(Without::Doubt) {
                self.registry.alone();
                self.out = Some(now);
            }
        } else if let Some(since) = self.out.take() {
            self.registry.back(now, (now >= since + MISSED).then(others));
        }
        self.met |= contact;
    }
}

impl Halls {
    /// A server beats at a machine. One that closes is answered when that is acknowledged.
    pub fn beat(&mut self, n: u8, beat: &Beat) {
        let (now, me) = (self.now, super::node(n));
        let Some(machine) = self.machines.get_mut(&me) else { return };
        let here = |p: &&fallgap_membership::Peer| {
            p.state == fallgap_membership::State::Here && p.card.disk.is_some() && !p.card.leaving
        };
        let mut keepers: Vec<NodeId> = machine.beacon.peers().filter(here).map(|p| p.card.node).collect();
        keepers.extend(machine.home.is_some().then_some(me));
        let takes = machine.home.as_ref().is_none_or(|home| home.fit != Fit::No);
        let asked = beat.closing && takes;
        let id = asked.then(|| machine.closings.begin(now, beat.clone(), &keepers)).flatten().unwrap_or(0);
        for keeper in keepers {
            self.send(me, keeper, Word::Beat(id, beat.clone()));
        }
    }

    pub(super) fn beaten(&mut self, me: NodeId, from: NodeId, id: u64, beat: Beat) {
        let now = self.now;
        if self.deaf.is_some_and(|(deaf, until)| deaf == me && now < until) {
            return;
        }
        let Some(machine) = self.machines.get_mut(&me) else { return };
        let Some(home) = &mut machine.home else { return };
        if home.registry.beat(now, beat).is_change() {
            home.distribution.registry_changed(now, &home.registry);
        }
        if id > 0 && machine.keeper.in_contact(now) {
            let followed = match self.without {
                Some(Without::Followed) => Vec::new(),
                _ => machine.keeper.may_be_followed(now),
            };
            self.send(me, from, Word::BeatTaken(id, followed));
        }
        self.carry(me);
    }

    pub(super) fn taken(&mut self, me: NodeId, from: NodeId, id: u64, followed: &[NodeId]) {
        let Some(machine) = self.machines.get_mut(&me) else { return };
        if machine.closings.taken(id, from, followed) {
            self.acknowledged = true;
        }
    }

    /// All processes but this machine's lose power for so long.
    pub fn lose_keepers_but(&mut self, spared: NodeId, down: Duration) {
        for n in (1..=self.disks).filter(|n| super::node(*n) != spared) {
            let spread = MS * self.rng.u32(0..100);
            self.restart(n, down + spread);
        }
    }
}

pub(super) fn roster(now: Duration, machine: &mut Machine, from: NodeId, word: RosterWord) {
    let terms = fallgap_registry::Terms::default();
    match (word, machine.home.as_mut()) {
        (RosterWord::Told(line), _) => {
            let told = RosterWord::read_told(&line, &terms).expect("what is told");
            machine.follower.told(now, from, told);
        }
        (RosterWord::Unfit, _) => machine.follower.unfit(now, from),
        (RosterWord::Fit, _) => machine.follower.fit(now, from),
        (RosterWord::Join(line), Some(home)) => {
            let said = RosterWord::read_said(&line, &terms).expect("what is said");
            home.distribution.joined(now, from, said);
        }
        (RosterWord::Said(line), Some(home)) => {
            let said = RosterWord::read_said(&line, &terms).expect("what is said");
            home.distribution.said(now, from, said);
        }
        (RosterWord::Leave, Some(home)) => home.distribution.left(from),
        (word @ (RosterWord::Compare(_) | RosterWord::Records(_)), Some(home)) => {
            let changed = home.registry.heard(now, from, word);
            if changed {
                home.distribution.registry_changed(now, &home.registry);
            }
        }
        _ => {}
    }
}

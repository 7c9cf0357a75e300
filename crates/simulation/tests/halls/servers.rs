//! Servers in the halls: what they say, and what homes and keepers make of it.

use super::{Fit, Halls, Home, MS, Machine, NodeId, Without, Word};
use fallgap_config::Beat;
use fallgap_control_state::{Answer, Call, subjects};
use fallgap_registry::RosterWord;
use std::time::Duration;

/// Out of contact for less, others have acknowledged no server's end without this keeper.
const MISSED: Duration = Duration::from_millis(500);
/// Keepers that are asked at once to put an end on a majority of disks: one of them may be cut off.
const ASKED: usize = 2;
/// Numbers of such calls stand above those of the tests.
const FIRST_END: u64 = 1 << 40;

impl Home {
    /// As the program has it: contact that begins anew brings doubt of what was held.
    pub(super) fn contact(
        &mut self, now: Duration, contact: bool, others: impl FnOnce() -> Vec<NodeId>, without: &[Without],
    ) {
        if !contact {
            if self.met && self.out.is_none() && !without.contains(&Without::Doubt) {
                self.registry.alone();
                self.out = Some(now);
            }
        } else if let Some(since) = self.out.take() {
            self.registry.back(now, (now >= since + MISSED).then(others));
        }
        self.met |= contact;
    }
}

/// What a server says of itself: its number is in its id and its port.
pub fn server_beat(i: usize, postmark: u64, closing: bool) -> Beat {
    Beat {
        id: format!("i-{i}").into(),
        address: std::net::SocketAddrV4::new(NodeId::new(10, 9, 0, 1), 8000 + i as u16),
        service: "shop".into(),
        edition: "v1".into(),
        zone: "hall".into(),
        slots: 4,
        closing,
        postmark,
        cold: Duration::ZERO,
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
        for keeper in &keepers {
            self.send(me, *keeper, Word::Beat(id, beat.clone()));
        }
        if id == 0 {
            return;
        }
        if self.lacks(Without::KeptEnds) {
            return self.kept_end(me, id);
        }
        self.rng.shuffle(&mut keepers);
        for keeper in keepers.into_iter().take(ASKED) {
            self.send(me, keeper, Word::KeepEnd(id, beat.id.to_string()));
        }
    }

    /// Another machine, or this one, wants an end on a majority of disks.
    pub(super) fn keep_end(&mut self, me: NodeId, from: NodeId, closing: u64, server: String) {
        let id = FIRST_END + self.ends.len() as u64;
        self.ends.insert(id, (from, closing));
        let Some(machine) = self.machines.get_mut(&me) else { return };
        machine.keeper.call(self.now, id, Call::ServerEnd { server });
        self.carry(me);
    }

    pub(super) fn end_kept(&mut self, me: NodeId, id: u64, answer: &Answer) {
        if let (Some((asker, closing)), Answer::Done) = (self.ends.get(&id).copied(), answer) {
            self.send(me, asker, Word::EndKept(closing));
        }
    }

    pub(super) fn kept_end(&mut self, me: NodeId, closing: u64) {
        let Some(machine) = self.machines.get_mut(&me) else { return };
        self.acknowledged |= machine.closings.kept(closing);
    }

    /// Ends of servers are committed.
    pub(super) fn servers_ended(&mut self, me: NodeId, value: &[u8]) {
        let home = self.machines.get_mut(&me).and_then(|machine| machine.home.as_mut());
        let Some(home) = home else { return };
        let ends = subjects::server_ends_after(value, home.registry.newest_end()).expect("ends");
        let ended = ends.ended.into_iter().map(|(number, server)| (number, server.into()));
        if home.registry.ended(self.now, ended, ends.least) {
            home.distribution.registry_changed(self.now, &home.registry);
        }
    }

    /// Once the ends were read, beats that waited for that count.
    pub(super) fn ends_are_read(&mut self, me: NodeId) {
        let Some(machine) = self.machines.get_mut(&me) else { return };
        let read = machine.keeper.ends_read_since().is_some();
        let Some(home) = machine.home.as_mut().filter(|_| read) else { return };
        if home.registry.ends_are_told(self.now) {
            home.distribution.registry_changed(self.now, &home.registry);
        }
    }

    pub(super) fn beaten(&mut self, me: NodeId, from: NodeId, id: u64, beat: Beat) {
        let now = self.now;
        if self.deaf.is_some_and(|(deaf, until)| deaf == me && now < until) {
            return;
        }
        let alone = self.lacks(Without::Followed);
        let Some(machine) = self.machines.get_mut(&me) else { return };
        let Some(home) = &mut machine.home else { return };
        if home.registry.beat(now, beat).is_change() {
            home.distribution.registry_changed(now, &home.registry);
        }
        if id > 0 && machine.keeper.in_contact(now) {
            let followed = if alone { Vec::new() } else { machine.keeper.may_be_followed(now) };
            self.send(me, from, Word::BeatTaken(id, followed));
        }
        self.carry(me);
    }

    pub(super) fn taken(&mut self, me: NodeId, from: NodeId, id: u64, followed: &[NodeId]) {
        let Some(machine) = self.machines.get_mut(&me) else { return };
        self.acknowledged |= machine.closings.taken(id, from, followed);
    }

    /// All processes with a disk are killed for so long; one of the disks may be lost with them.
    pub fn lose_all_keepers(&mut self, down: Duration, lost_disk: Option<NodeId>) {
        lost_disk.into_iter().for_each(|node| _ = self.kept.remove(&node));
        self.lose_keepers_but(NodeId::UNSPECIFIED, down);
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
        (RosterWord::Lease { question, knows, read_age }, _) => {
            machine.follower.lease_answered(now, from, question, knows, read_age);
        }
        (RosterWord::LeaseWanted(question), Some(home)) => home.distribution.lease_wanted(from, question),
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

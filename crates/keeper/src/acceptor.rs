//! The registers of one disk: what it promised and accepted.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::ops::Bound;
use std::time::Duration;

use crate::ballot::Ballot;
use crate::fault::{self, Fault};
use crate::messages::{Given, Record, Sight};
use crate::pen::Pen;
use crate::types::Key;
use crate::value::Value;

/// Parts by which two members compare what they hold.
pub(crate) const PARTS: usize = 64;

#[derive(Clone, Debug, Hash)]
pub(crate) struct Accepted {
    pub ballot: Ballot,
    pub value: Value,
    /// When it was accepted here, and how old the value was proven to be then.
    pub at: Duration,
    pub age: Duration,
}

#[derive(Clone, Debug, Hash, Default)]
pub(crate) struct Register {
    /// Never below the accepted ballot.
    pub promised: Option<Ballot>,
    pub accepted: Option<Accepted>,
    /// A majority accepted this ballot, as far as is known here.
    pub committed: Option<Ballot>,
    /// The newest record about this register.
    pub logged: u64,
}

impl Register {
    pub fn ballot(&self) -> Option<Ballot> {
        self.accepted.as_ref().map(|accepted| accepted.ballot)
    }

    fn bytes(&self) -> usize {
        self.accepted.as_ref().map_or(0, |accepted| accepted.value.bytes().len())
    }

    fn sight(&self, now: Duration, known: Option<Ballot>) -> Option<Sight> {
        let accepted = self.accepted.as_ref()?;
        Some(Sight {
            ballot: accepted.ballot,
            age: accepted.age.saturating_add(now.saturating_sub(accepted.at)),
            committed: self.committed == Some(accepted.ballot),
            value: (Some(accepted.ballot) > known).then(|| accepted.value.clone()),
        })
    }
}

/// All registers of this disk.
#[derive(Clone, Hash, Default)]
pub(crate) struct Acceptor {
    registers: BTreeMap<Key, Register>,
    sums: Vec<u64>,
    /// Of all values.
    bytes: usize,
}

impl Acceptor {
    pub fn new() -> Acceptor {
        Acceptor { registers: BTreeMap::new(), sums: vec![0; PARTS], bytes: 0 }
    }

    pub fn len(&self) -> usize {
        self.registers.len()
    }

    /// What all values hold together.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn get(&self, key: &Key) -> Option<&Register> {
        self.registers.get(key)
    }

    pub fn sums(&self) -> &[u64] {
        &self.sums
    }

    /// What is held, and the record that it rests on.
    pub fn see(&self, now: Duration, key: &Key, known: Option<Ballot>) -> (Option<Sight>, u64) {
        match self.registers.get(key) {
            Some(register) => (register.sight(now, known), register.logged),
            None => (None, 0),
        }
    }

    /// Promises, or names the higher promise that forbids it.
    pub fn promise(
        &mut self, now: Duration, key: &Key, ballot: Ballot, known: Option<Ballot>, pen: &mut Pen,
    ) -> Result<(Option<Sight>, u64), Ballot> {
        let register = Self::entry(&mut self.registers, key);
        match register.promised {
            Some(promised) if promised > ballot && !fault::is(Fault::PromiseFalls) => return Err(promised),
            Some(promised) if promised == ballot => {}
            _ => {
                register.promised = Some(ballot);
                if !fault::is(Fault::PromiseNotWritten) {
                    register.logged = pen.log(&Record::Promise { key: key.clone(), ballot });
                }
            }
        }
        Ok((register.sight(now, known), register.logged))
    }

    /// Accepts, or names the higher promise that forbids it. What was accepted before is accepted still.
    pub fn accept(
        &mut self, now: Duration, key: &Key, ballot: Ballot, next: Ballot, age: Duration, value: Value,
        pen: &mut Pen,
    ) -> Result<u64, Ballot> {
        let register = Self::entry(&mut self.registers, key);
        if register.ballot() == Some(ballot) {
            return Ok(register.logged);
        }
        if let Some(promised) = register.promised.filter(|promised| *promised > ballot)
            && !fault::is(Fault::AcceptBelowPromise)
        {
            return Err(promised);
        }
        let next = if fault::is(Fault::NextNotPromised) { ballot } else { next.max(ballot) };
        Ok(self.put(now, key, ballot, next, age, value, pen))
    }

    /// Takes what another member holds. A committed ballot may be taken whatever was promised: each attempt above it
    /// met a member that had accepted it. One of an older epoch too: no attempt of that epoch can succeed any more,
    /// and it stands below all of this one. What remains is an accept of this epoch that came round about.
    pub fn adopt(&mut self, now: Duration, epoch: u64, given: Given, pen: &mut Pen) -> bool {
        let Given { key, ballot, committed, value } = given;
        let register = Self::entry(&mut self.registers, &key);
        if ballot.epoch > epoch || register.ballot() >= Some(ballot) {
            return false;
        }
        let promised = register.promised.unwrap_or(ballot);
        let taken = committed || ballot.epoch != epoch || fault::is(Fault::AdoptOverPromise);
        if !taken && promised > ballot {
            return false;
        }
        self.put(now, &key, ballot, promised.max(ballot), Duration::ZERO, value, pen);
        true
    }

    /// A majority is known to have accepted this ballot. True if it is the one held here.
    pub fn commit(&mut self, key: &Key, ballot: Ballot) -> bool {
        let Some(register) = self.registers.get_mut(key) else { return false };
        register.committed = register.committed.max(Some(ballot));
        register.ballot() == Some(ballot)
    }

    /// A record read back, whatever came before it.
    pub fn replay(&mut self, now: Duration, key: Key, promised: Ballot, accepted: Option<(Ballot, Value)>) {
        let register = Self::entry(&mut self.registers, &key);
        register.promised = register.promised.max(Some(promised));
        let Some((ballot, value)) = accepted else { return };
        if register.ballot() < Some(ballot) {
            let before = register.ballot();
            let held = register.bytes();
            self.bytes = (self.bytes + value.bytes().len()).saturating_sub(held);
            register.accepted = Some(Accepted { ballot, value, at: now, age: Duration::ZERO });
            register.committed = fault::is(Fault::ReadBackIsCommitted).then_some(ballot);
            self.sum(&key, before, ballot);
        }
    }

    /// Records that alone bring back all registers.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        self.registers.iter().flat_map(|(key, register)| {
            let promised = register.promised.filter(|_| !fault::is(Fault::SnapshotWithoutPromises));
            let accepted = register.accepted.as_ref().map(|accepted| Record::Accept {
                key: key.clone(),
                ballot: accepted.ballot,
                promised: promised.unwrap_or(accepted.ballot),
                value: accepted.value.clone(),
            });
            match (accepted, promised) {
                (None, Some(ballot)) => Some(Record::Promise { key: key.clone(), ballot }),
                (accepted, _) => accepted,
            }
        })
    }

    /// Registers with a value in these parts, after a key.
    pub fn list(&self, parts: u64, after: Option<&Key>) -> impl Iterator<Item = (&Key, &Accepted)> {
        let from = match after {
            Some(key) => Bound::Excluded(key),
            None => Bound::Unbounded,
        };
        let range = self.registers.range::<Key, _>((from, Bound::Unbounded));
        range
            .filter(move |(key, _)| parts & (1 << part_of(key)) != 0)
            .filter_map(|(key, register)| Some((key, register.accepted.as_ref()?)))
    }

    /// A register as it is handed on.
    pub fn give(&self, key: &Key) -> Option<Given> {
        let register = self.registers.get(key)?;
        let accepted = register.accepted.as_ref()?;
        Some(Given {
            key: key.clone(),
            ballot: accepted.ballot,
            committed: register.committed == Some(accepted.ballot),
            value: accepted.value.clone(),
        })
    }

    fn entry<'a>(registers: &'a mut BTreeMap<Key, Register>, key: &Key) -> &'a mut Register {
        registers.entry(key.clone()).or_default()
    }

    fn put(
        &mut self, now: Duration, key: &Key, ballot: Ballot, promised: Ballot, age: Duration, value: Value,
        pen: &mut Pen,
    ) -> u64 {
        let record = Record::Accept { key: key.clone(), ballot, promised, value: value.clone() };
        let logged = pen.log(&record);
        let register = Self::entry(&mut self.registers, key);
        let before = register.ballot();
        let held = register.bytes();
        self.bytes = (self.bytes + value.bytes().len()).saturating_sub(held);
        register.promised = Some(promised);
        register.accepted = Some(Accepted { ballot, value, at: now, age });
        register.logged = logged;
        self.sum(key, before, ballot);
        logged
    }

    fn sum(&mut self, key: &Key, before: Option<Ballot>, after: Ballot) {
        let add = before.map_or(0, |ballot| mixed(&(key, ballot))) ^ mixed(&(key, after));
        if let Some(sum) = self.sums.get_mut(part_of(key) as usize) {
            *sum ^= add;
        }
    }
}

/// The part that a register belongs to.
pub(crate) fn part_of(key: &Key) -> u64 {
    mixed(key) % PARTS as u64
}

/// The same number on all machines.
pub(crate) fn mixed(of: &impl Hash) -> u64 {
    let mut mixer = Mixer(0xcbf2_9ce4_8422_2325);
    of.hash(&mut mixer);
    mixer.finish()
}

struct Mixer(u64);

impl Hasher for Mixer {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        let mut x = self.0;
        x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        x ^ (x >> 33)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::types::NodeId;

    fn ballot(epoch: u64, count: u64) -> Ballot {
        Ballot { epoch, count, node: NodeId::LOCALHOST, life: 1 }
    }

    fn given(at: Ballot, committed: bool) -> Given {
        Given { key: Key::Config, ballot: at, committed, value: vec![at.count as u8].into() }
    }

    /// An acceptor in epoch 2 that promised 2.5 and accepted 2.3.
    fn acceptor(pen: &mut Pen) -> Acceptor {
        let mut acceptor = Acceptor::new();
        let (at, next) = (ballot(2, 3), ballot(2, 4));
        let accepted =
            acceptor.accept(Duration::ZERO, &Key::Config, at, next, Duration::ZERO, vec![3].into(), pen);
        assert!(accepted.is_ok());
        assert!(acceptor.promise(Duration::ZERO, &Key::Config, ballot(2, 5), None, pen).is_ok());
        acceptor
    }

    #[test]
    fn what_others_hold_is_taken_unless_a_promise_forbids_it() {
        let table = [
            ("below", ballot(2, 2), true, false),
            ("the same", ballot(2, 3), true, false),
            ("between, not known to be committed", ballot(2, 4), false, false),
            ("between, committed", ballot(2, 4), true, true),
            ("as promised", ballot(2, 5), false, true),
            ("above", ballot(2, 6), false, true),
            ("of an older epoch", ballot(1, 9), true, false),
            ("of an epoch that is not known yet", ballot(3, 1), true, false),
        ];
        for (what, at, committed, taken) in table {
            let mut pen = Pen::new(NodeId::LOCALHOST, 9);
            let mut acceptor = acceptor(&mut pen);
            assert_eq!(acceptor.adopt(Duration::ZERO, 2, given(at, committed), &mut pen), taken, "{what}");
            let register = acceptor.get(&Key::Config).expect("a register");
            assert_eq!(register.ballot(), Some(if taken { at } else { ballot(2, 3) }), "{what}");
            assert!(register.promised >= Some(ballot(2, 5)), "{what}");
        }
    }

    #[test]
    fn an_accept_stands_once_made_and_below_a_promise_none_is_made() {
        let table = [
            ("again", ballot(2, 3), true),
            ("below", ballot(2, 4), false),
            ("as promised", ballot(2, 5), true),
            ("above", ballot(2, 7), true),
            ("of an older epoch", ballot(1, 9), false),
        ];
        for (what, at, accepted) in table {
            let mut pen = Pen::new(NodeId::LOCALHOST, 9);
            let mut acceptor = acceptor(&mut pen);
            let (next, age) = (at.following(), Duration::ZERO);
            let result = acceptor.accept(age, &Key::Config, at, next, age, vec![1].into(), &mut pen);
            assert_eq!(result.is_ok(), accepted, "{what}");
        }
    }

    #[test]
    fn what_is_written_brings_back_the_same() {
        let mut pen = Pen::new(NodeId::LOCALHOST, 9);
        let before = acceptor(&mut pen);
        let mut after = Acceptor::new();
        for record in before.records() {
            if let Record::Accept { key, ballot, promised, value } = record {
                after.replay(Duration::ZERO, key, promised, Some((ballot, value)));
            }
        }
        assert_eq!(after.sums(), before.sums());
        assert_eq!(after.get(&Key::Config).map(|r| r.promised), before.get(&Key::Config).map(|r| r.promised));
    }
}

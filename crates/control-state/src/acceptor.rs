//! The registers of one disk: what it promised and accepted.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::ops::Bound;
use std::time::Duration;

use crate::ballot::Ballot;
use crate::fault::{self, Fault};
use crate::floor::{Floor, NEVER};
use crate::messages::{Given, Record, Sight};
use crate::pen::Pen;
use crate::subjects::{PastValues, lock_seen, paged};
use crate::types::Key;
use crate::value::Value;

/// Bytes of past values in one record.
const PAST_PAGE: usize = 64 << 10;
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
    /// The record of the value, if it was accepted in this process.
    pub accepted_in: u64,
    /// When it promised or accepted last, in this process.
    pub touched: Option<Duration>,
}

impl Register {
    pub fn ballot(&self) -> Option<Ballot> {
        self.accepted.as_ref().map(|accepted| accepted.ballot)
    }

    fn value(&self) -> Option<&Value> {
        self.accepted.as_ref().map(|accepted| &accepted.value)
    }

    /// The record that a reader's sight of the value rests on: none where a majority is known to have it. What was promised
    /// changes nothing of what is seen.
    fn sight_rests_on(&self) -> u64 {
        let is_committed = self.committed.is_some() && self.committed == self.ballot();
        if is_committed { 0 } else { self.accepted_in }
    }

    fn bytes(&self) -> usize {
        self.value().map_or(0, |value| value.bytes().len())
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

/// Somebody's attempt at a register, as a member hears of it.
pub(crate) struct Attempt {
    /// The ballot that was promised last.
    pub ballot: Ballot,
    /// When it was heard of last.
    pub since: Duration,
}

/// All registers of this disk.
#[derive(Clone, Hash, Default)]
pub(crate) struct Acceptor {
    registers: BTreeMap<Key, Register>,
    sums: Vec<u64>,
    /// Of all values.
    bytes: usize,
    /// Values of which groups have digests alone.
    past: PastValues,
    /// Stands for registers that are not there, and the newest record of it.
    floor: Floor,
    floor_logged: u64,
}

impl Acceptor {
    pub fn new() -> Acceptor {
        Acceptor { sums: vec![0; PARTS], ..Acceptor::default() }
    }

    pub fn len(&self) -> usize {
        self.registers.len()
    }

    /// What all values hold together, past ones among them.
    pub fn bytes(&self) -> usize {
        self.bytes + self.past.bytes()
    }

    pub fn past(&self) -> &PastValues {
        &self.past
    }

    /// Values of past puts that another member has, known by the group's value on this disk or by the one that is `shown`. Tells
    /// whether any was new.
    pub fn add_past(
        &mut self, key: &Key, shown: Option<&Value>, values: Vec<(u64, String)>, pen: &mut Pen,
    ) -> bool {
        let Key::Group(group) = key else { return false };
        let own = self.registers.get(key).and_then(Register::value);
        let shown = shown.filter(|shown| Some(*shown) != own);
        let mut new = Vec::new();
        if let (Some(own), Some(_)) = (own, shown) {
            new.extend(self.past.add(group, own.bytes(), values.clone()));
        }
        if let Some(held) = shown.or(own) {
            new.extend(self.past.add(group, held.bytes(), values));
        }
        let is_new = !new.is_empty();
        for values in paged(new.into_iter(), PAST_PAGE) {
            pen.log(&Record::PastValues { key: key.clone(), values });
        }
        is_new
    }

    /// Of these puts the values that are here.
    pub fn give_past(&self, key: &Key, wanted: &[u64], most: usize) -> Vec<(u64, String)> {
        let Key::Group(group) = key else { return Vec::new() };
        let held = self.registers.get(key).and_then(Register::value);
        self.past.give(group, held.map(Value::bytes), wanted, most)
    }

    /// Values of past puts read back, behind the group's own value.
    pub fn replay_past(&mut self, key: &Key, values: Vec<(u64, String)>) {
        let Key::Group(group) = key else { return };
        if let Some(held) = self.registers.get(key).and_then(Register::value) {
            self.past.add(group, held.bytes(), values);
        }
    }

    /// A group's next value stands for the one before, which may be all that has some of its puts' values.
    fn keep_past(&mut self, key: &Key, next: &Value) {
        let Key::Group(group) = key else { return };
        let before = self.registers.get(key).and_then(Register::value);
        self.past.replaced(group, before.map(Value::bytes), next.bytes());
    }

    pub fn get(&self, key: &Key) -> Option<&Register> {
        self.registers.get(key)
    }

    pub fn sums(&self) -> &[u64] {
        &self.sums
    }

    pub fn floor(&self) -> Floor {
        self.floor
    }

    pub fn floor_logged(&self) -> u64 {
        self.floor_logged
    }

    /// What is held, and the record that it rests on.
    pub fn see(&self, now: Duration, key: &Key, known: Option<Ballot>) -> (Option<Sight>, u64) {
        let register = self.registers.get(key);
        let logged = register.map_or(0, Register::sight_rests_on).max(self.floor_logged);
        (register.and_then(|register| register.sight(now, known)).or_else(|| self.given_up(key)), logged)
    }

    /// What the floor has for a register without a value.
    fn given_up(&self, key: &Key) -> Option<Sight> {
        let value = self.floor.value(key)?;
        Some(Sight { ballot: NEVER, age: Duration::ZERO, committed: true, value: Some(value) })
    }

    /// What was promised for a register: for one that is not there, the floor.
    pub fn promised(&self, key: &Key) -> Option<Ballot> {
        self.registers.get(key).map_or(self.floor.ballot, |register| register.promised)
    }

    /// An attempt that this disk has heard of and that is not known to be over.
    pub fn attempt(&self, key: &Key) -> Option<Attempt> {
        let register = self.registers.get(key)?;
        let (ballot, since) = (register.promised?, register.touched?);
        let is_accepted = register.ballot().is_some_and(|accepted| accepted.following() == ballot);
        let is_over = is_accepted && register.committed == register.ballot();
        (!is_over).then_some(Attempt { ballot, since })
    }

    /// Promises, or names the higher promise that forbids it.
    pub fn promise(
        &mut self, now: Duration, key: &Key, ballot: Ballot, known: Option<Ballot>, pen: &mut Pen,
    ) -> Result<(Option<Sight>, u64), Ballot> {
        if let Some(promised) = self.promised(key).filter(|promised| *promised > ballot)
            && !fault::is(Fault::PromiseFalls)
        {
            return Err(promised);
        }
        let given_up = self.given_up(key);
        let floor = self.floor_logged;
        let register = self.entry(key);
        match register.promised {
            Some(promised) if promised == ballot => {}
            _ => {
                register.promised = Some(ballot);
                register.touched = Some(now);
                if !fault::is(Fault::PromiseNotWritten) {
                    register.logged = pen.log(&Record::Promise { key: key.clone(), ballot });
                }
            }
        }
        Ok((register.sight(now, known).or(given_up), register.logged.max(floor)))
    }

    /// Accepts, or names the higher promise that forbids it. What was accepted before is accepted still.
    pub fn accept(
        &mut self, now: Duration, key: &Key, ballot: Ballot, next: Ballot, age: Duration, value: Value,
        pen: &mut Pen,
    ) -> Result<u64, Ballot> {
        if let Some(register) = self.registers.get(key).filter(|register| register.ballot() == Some(ballot)) {
            return Ok(register.logged);
        }
        if let Some(promised) = self.promised(key).filter(|promised| *promised > ballot)
            && !fault::is(Fault::AcceptBelowPromise)
        {
            return Err(promised);
        }
        let next = if fault::is(Fault::NextNotPromised) { ballot } else { next.max(ballot) };
        Ok(self.put(now, key, ballot, next, age, value, pen))
    }

    /// Takes what another member holds. A committed ballot may be taken whatever was promised: each attempt above it
    /// met a member that had accepted it. One of an older epoch too: no attempt of that epoch can succeed any more,
    /// and it stands below all of this one. What remains is an accept of this epoch that came round about. `floor`: the
    /// giver's. Below the one here it may have been said before all gave the register up, and brings none back.
    pub fn adopt(
        &mut self, now: Duration, epoch: u64, given: Given, floor: Option<Ballot>, pen: &mut Pen,
    ) -> bool {
        let Given { key, ballot, committed, value } = given;
        let ours = self.registers.get(&key).and_then(Register::ballot);
        if ballot.epoch > epoch || ours >= Some(ballot) {
            return false;
        }
        let old = ours.is_none() && key.is_reusable() && floor < self.floor.ballot;
        if old && !fault::is(Fault::OldGivenTaken) {
            return false;
        }
        let promised = self.promised(&key).unwrap_or(ballot);
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
        let register = self.registers.entry(key.clone()).or_default();
        register.promised = register.promised.max(Some(promised));
        let Some((ballot, value)) = accepted else { return };
        if register.ballot() < Some(ballot) {
            self.keep_past(&key, &value);
            let register = self.registers.entry(key.clone()).or_default();
            let before = register.ballot();
            let held = register.bytes();
            self.bytes = (self.bytes + value.bytes().len()).saturating_sub(held);
            register.accepted = Some(Accepted { ballot, value, at: now, age: Duration::ZERO });
            register.committed = fault::is(Fault::ReadBackIsCommitted).then_some(ballot);
            self.sum(&key, before, ballot);
        }
    }

    /// Records that alone bring back all registers, and the floor behind them.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        let floor = Some(self.floor).filter(|floor| *floor != Floor::default());
        let floor = floor.map(|floor| Record::Forget { floor, entries: Vec::new() });
        let registers = self.registers.iter().flat_map(|(key, register)| {
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
        });
        let past = self.past.all().flat_map(|(group, values)| {
            let key = Key::Group(group.to_owned());
            paged(values, PAST_PAGE).map(move |values| Record::PastValues { key: key.clone(), values })
        });
        registers.chain(past).chain(floor)
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

    /// Registers of locks and numbers behind a key that may be given up as they are: nobody holds the lock, and nothing
    /// came for so long.
    pub fn unused(
        &self, now: Duration, for_long: Duration, after: Option<&Key>,
    ) -> impl Iterator<Item = (&Key, Ballot)> {
        let long = move |key: &Key, accepted: &Accepted| {
            let quiet = now.saturating_sub(accepted.at);
            let age = accepted.age.saturating_add(quiet);
            let free = || lock_seen(accepted.value.bytes(), age).is_some_and(|(_, _, left)| left.is_zero());
            quiet >= for_long && (!matches!(key, Key::Lock(_)) || free())
        };
        let all = self.list(u64::MAX, after).filter(|(key, _)| key.is_reusable());
        all.filter(move |(key, accepted)| long(key, accepted)).map(|(key, accepted)| (key, accepted.ballot))
    }

    /// From here on nothing is promised below this floor for registers that are not there. Those that were only
    /// promised go: the floor says as much.
    pub fn raise(&mut self, floor: Floor, pen: &mut Pen) {
        let floor = self.floor.raised(floor);
        if floor != self.floor {
            self.set_floor(floor);
            self.floor_logged = pen.log(&Record::Forget { floor, entries: Vec::new() });
        }
    }

    /// Whether it holds just this, and the record of that.
    pub fn holds(&self, key: &Key, ballot: Ballot) -> Option<u64> {
        let register = self.registers.get(key)?;
        (register.ballot() == Some(ballot)).then_some(register.logged)
    }

    /// Gives up registers that hold just these ballots. One that promised more than the floor says stays.
    pub fn forget(&mut self, entries: &[(Key, Ballot)], floor: Floor, pen: &mut Pen) {
        let mut floor = self.floor.raised(floor);
        let mut gone = Vec::new();
        for (key, ballot) in entries {
            let Some(register) = self.registers.get(key) else { continue };
            let Some(accepted) = register.accepted.as_ref().filter(|accepted| accepted.ballot == *ballot)
            else {
                continue;
            };
            if register.promised > floor.ballot {
                continue;
            }
            let Some(over) = floor.over(key, accepted.value.bytes()) else { continue };
            if !fault::is(Fault::ForgottenWithoutFloor) {
                floor = over;
            }
            gone.push((key.clone(), *ballot));
        }
        if gone.is_empty() && floor == self.floor {
            return;
        }
        self.set_floor(floor);
        gone.iter().for_each(|(key, _)| self.remove(key));
        self.floor_logged = pen.log(&Record::Forget { floor, entries: gone });
    }

    /// A record read back, behind what came before it.
    pub fn replay_forget(&mut self, floor: Floor, entries: &[(Key, Ballot)]) {
        for (key, ballot) in entries {
            if self.registers.get(key).is_some_and(|register| register.ballot() <= Some(*ballot)) {
                self.remove(key);
            }
        }
        self.set_floor(self.floor.raised(floor));
    }

    fn set_floor(&mut self, floor: Floor) {
        if floor.ballot > self.floor.ballot {
            let says = |register: &Register| register.accepted.is_none() && register.promised <= floor.ballot;
            self.registers.retain(|_, register| !says(register));
        }
        self.floor = floor;
    }

    fn remove(&mut self, key: &Key) {
        let Some(register) = self.registers.remove(key) else { return };
        self.bytes = self.bytes.saturating_sub(register.bytes());
        if let Some(ballot) = register.ballot()
            && let Some(sum) = self.sums.get_mut(part_of(key) as usize)
        {
            *sum ^= mixed(&(key, ballot));
        }
    }

    /// One that was not there has promised what the floor says.
    fn entry(&mut self, key: &Key) -> &mut Register {
        let promised = self.floor.ballot;
        let new = || Register { promised, ..Register::default() };
        self.registers.entry(key.clone()).or_insert_with(new)
    }

    fn put(
        &mut self, now: Duration, key: &Key, ballot: Ballot, promised: Ballot, age: Duration, value: Value,
        pen: &mut Pen,
    ) -> u64 {
        let record = Record::Accept { key: key.clone(), ballot, promised, value: value.clone() };
        let logged = pen.log(&record);
        self.keep_past(key, &value);
        let bytes = value.bytes().len();
        let register = self.entry(key);
        let before = register.ballot();
        let held = register.bytes();
        register.promised = Some(promised);
        register.accepted = Some(Accepted { ballot, value, at: now, age });
        register.touched = Some(now);
        (register.logged, register.accepted_in) = (logged, logged);
        self.bytes = (self.bytes + bytes).saturating_sub(held);
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
#[path = "../tests/inner/acceptor.rs"]
mod tests;

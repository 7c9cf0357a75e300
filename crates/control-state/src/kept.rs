//! What a disk holds of a keeper: read back at the start, and written anew as a whole.

use std::time::Duration;

use crate::keeper::Keeper;
use crate::messages::Record;
use crate::recovery::CatchUp;
use crate::succession::Successor;
use crate::{Kept, KeptError};

impl Keeper {
    /// Takes in what the disk held.
    pub(crate) fn replay(&mut self, now: Duration, kept: Kept) -> Result<(), KeptError> {
        let mut disk = None;
        let mut successors: Vec<(u64, Successor)> = Vec::new();
        for (at, bytes) in kept.records.iter().enumerate() {
            match Record::read(bytes).map_err(|_| KeptError::Record(at))? {
                Record::Disk { number, first } => disk = Some((number, first)),
                Record::Epoch(charter) => {
                    if self.charter.as_ref().is_none_or(|before| before.number < charter.number) {
                        self.charter = Some(charter);
                    }
                }
                Record::CaughtUp(joined) => self.caught_up = self.caught_up.max(Some(joined)),
                Record::Promise { key, ballot } => self.acceptor.replay(now, key, ballot, None),
                Record::Accept { key, ballot, promised, value } => {
                    self.acceptor.replay(now, key, promised, Some((ballot, value)));
                }
                Record::Forget { floor, entries } => self.acceptor.replay_forget(floor, &entries),
                Record::Claim { operation, attempt } => self.claims.replay(now, operation, attempt),
                Record::ClaimFreed { operation, attempt } => self.claims.replay_freed(operation, attempt),
                Record::PastValues { key, values } => self.acceptor.replay_past(&key, values),
                Record::Successor { epoch, promised, accepted } => {
                    successors.push((epoch, Successor { promised, accepted, ..Successor::default() }));
                }
            }
        }
        for (epoch, successor) in successors {
            if self.charter.as_ref().is_some_and(|charter| charter.number == epoch) {
                self.successor.promised = self.successor.promised.max(successor.promised);
                let at = |successor: &Successor| successor.accepted.as_ref().map(|(at, _)| *at);
                if at(&self.successor) < at(&successor) {
                    self.successor.accepted = successor.accepted;
                }
            }
        }
        match (disk, self.me.disk) {
            (Some((number, first)), Some(_)) => {
                self.me.disk = Some(number);
                self.first = first;
            }
            (None, Some(number)) => {
                if !kept.records.is_empty() {
                    return Err(KeptError::Disk);
                }
                self.founding.enrolled = self.pen.log(&Record::Disk { number, first: self.first });
            }
            (_, None) => {}
        }
        self.elect(kept.records.is_empty());
        self.start_catch_up(now);
        Ok(())
    }

    /// Records that alone bring back the present state.
    pub fn snapshot(&self) -> Vec<Vec<u8>> {
        let epoch = self.charter.iter().cloned().map(Record::Epoch);
        let successor = self.charter.iter().filter(|_| self.successor.promised.is_some()).map(|charter| {
            Record::Successor {
                epoch: charter.number,
                promised: self.successor.promised,
                accepted: self.successor.accepted.clone(),
            }
        });
        // What is caught up but not yet durable is in the snapshot as a whole, so it may say so.
        let logged = self.catch_up.as_ref().and_then(CatchUp::finished);
        let caught_up = self.caught_up.max(logged).map(Record::CaughtUp);
        let disk = self.me.disk.map(|number| Record::Disk { number, first: self.first });
        let records = disk.into_iter().chain(epoch).chain(caught_up).chain(successor);
        let records = records.chain(self.acceptor.records()).chain(self.claims.records());
        records.filter_map(|record| postcard::to_stdvec(&record).ok()).collect()
    }
}

//! What a disk holds of a keeper: read back at the start, and written anew as a whole.

use std::time::Duration;

use crate::keeper::Keeper;
use crate::messages::Record;
use crate::recovery::CatchUp;
use crate::succession::Heir;
use crate::{Kept, KeptError};

impl Keeper {
    /// Takes in what the disk held.
    pub(crate) fn replay(&mut self, now: Duration, kept: Kept) -> Result<(), KeptError> {
        let mut disk = None;
        let mut heirs: Vec<(u64, Heir)> = Vec::new();
        for (at, bytes) in kept.records.iter().enumerate() {
            match postcard::from_bytes(bytes).map_err(|_| KeptError::Record(at))? {
                Record::Disk { number, first } => disk = Some((number, first)),
                Record::Epoch(charter) => {
                    if self.charter.as_ref().is_none_or(|before| before.number < charter.number) {
                        self.charter = Some(charter);
                    }
                }
                Record::Whole(joined) => self.whole = self.whole.max(Some(joined)),
                Record::Promise { key, ballot } => self.acceptor.replay(now, key, ballot, None),
                Record::Accept { key, ballot, promised, value } => {
                    self.acceptor.replay(now, key, promised, Some((ballot, value)));
                }
                Record::Forget { floor, entries } => self.acceptor.replay_forget(floor, &entries),
                Record::Heir { epoch, promised, accepted } => {
                    heirs.push((epoch, Heir { promised, accepted, ..Heir::default() }));
                }
            }
        }
        for (epoch, heir) in heirs {
            if self.charter.as_ref().is_some_and(|charter| charter.number == epoch) {
                self.heir.promised = self.heir.promised.max(heir.promised);
                let at = |heir: &Heir| heir.accepted.as_ref().map(|(at, _)| *at);
                if at(&self.heir) < at(&heir) {
                    self.heir.accepted = heir.accepted;
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
        let heir = self.charter.iter().filter(|_| self.heir.promised.is_some()).map(|charter| Record::Heir {
            epoch: charter.number,
            promised: self.heir.promised,
            accepted: self.heir.accepted.clone(),
        });
        // What is caught up but not yet durable is in the snapshot as a whole, so it may say so.
        let logged = self.catch_up.as_ref().and_then(CatchUp::finished);
        let whole = self.whole.max(logged).map(Record::Whole);
        let disk = self.me.disk.map(|number| Record::Disk { number, first: self.first });
        let records = disk.into_iter().chain(epoch).chain(whole).chain(heir);
        let records = records.chain(self.acceptor.records());
        records.filter_map(|record| postcard::to_stdvec(&record).ok()).collect()
    }
}

//! What keepers say to each other, and what they write to their disks.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ballot::Ballot;
use crate::charter::Charter;
use crate::claims::{Attempt, GivenClaim, OperationId, Vote};
use crate::floor::Floor;
use crate::types::Key;
use crate::value::Value;

/// What an acceptor holds of a register.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Sight {
    /// The newest ballot that it accepted.
    pub ballot: Ballot,
    /// Time since the value was written, by its own steady clock: never more than the true one.
    pub age: Duration,
    /// It knows that a majority accepted this ballot.
    pub committed: bool,
    /// Left out if the asker has it.
    pub value: Option<Value>,
}

/// One register handed on.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Given {
    pub key: Key,
    pub ballot: Ballot,
    pub committed: bool,
    pub value: Value,
}

/// Between keepers, in any order; each may be lost or come twice.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life. `caught_up`: the epoch with which its disk came in, once it has caught up. `hears_you`: the sender has
    /// heard whom this goes to a moment ago. `contact`: it is in contact with a majority.
    Pulse {
        epoch: u64,
        disk: Option<u64>,
        caught_up: Option<u64>,
        life: u64,
        leaving: bool,
        hears_you: bool,
        contact: bool,
        /// How long records wait for its disk of late, in milliseconds.
        sync_ms: u32,
    },
    /// Asks for the newest epoch, if it is above this one (0: knows none).
    Ask {
        epoch: u64,
    },
    /// A decided epoch.
    Members(Charter),
    /// To the founder: a machine with an empty disk that knows of no epoch.
    Present {
        disk: u64,
    },

    /// What do you hold? No promise.
    Read {
        epoch: u64,
        key: Key,
        mark: u64,
        known: Option<Ballot>,
    },
    Seen {
        key: Key,
        mark: u64,
        held: Option<Sight>,
    },
    /// Promise to accept nothing below this ballot.
    Prepare {
        key: Key,
        ballot: Ballot,
        known: Option<Ballot>,
    },
    Promised {
        key: Key,
        ballot: Ballot,
        held: Option<Sight>,
    },
    /// Accept this value, and promise to accept nothing below `next`.
    Accept {
        key: Key,
        ballot: Ballot,
        next: Ballot,
        age: Duration,
        value: Value,
    },
    Accepted {
        key: Key,
        ballot: Ballot,
    },
    /// `promised` stands above `ballot`.
    Refused {
        key: Key,
        ballot: Ballot,
        promised: Ballot,
    },
    /// A majority accepted this ballot.
    Committed {
        key: Key,
        ballot: Ballot,
    },

    /// The next epoch's members are one register more, with one decision.
    SuccessorPrepare {
        ballot: Ballot,
    },
    SuccessorPromised {
        ballot: Ballot,
        accepted: Option<(Ballot, Charter)>,
    },
    SuccessorAccept {
        ballot: Ballot,
        charter: Charter,
    },
    SuccessorAccepted {
        ballot: Ballot,
    },
    SuccessorRefused {
        ballot: Ballot,
        promised: Ballot,
    },

    /// Sums over what the sender holds, by parts.
    Digest {
        epoch: u64,
        sums: Vec<u64>,
        floor: Floor,
    },
    /// What do you hold in these parts, from here on?
    List {
        epoch: u64,
        parts: u64,
        after: Option<Key>,
    },
    Listed {
        epoch: u64,
        parts: u64,
        after: Option<Key>,
        entries: Vec<(Key, Ballot)>,
        more: bool,
        floor: Floor,
    },
    Want {
        epoch: u64,
        keys: Vec<Key>,
    },
    /// With the floor as it was when this was said: what was given up since is not to come back by it.
    Give {
        epoch: u64,
        entries: Vec<Given>,
        floor: Floor,
    },

    /// Do you hold these registers with just these ballots? From here on your floor is that of this ballot.
    Retire {
        ballot: Ballot,
        entries: Vec<(Key, Ballot)>,
    },
    /// Those that are held so, on disk. `above`: the floor, if it stands above already; then nothing was done.
    Retired {
        ballot: Ballot,
        keys: Vec<Key>,
        above: Option<Ballot>,
    },
    /// All members held these: who still does gives them up.
    Forget {
        ballot: Ballot,
        entries: Vec<(Key, Ballot)>,
    },

    /// From one that leaves, in this life: sums over all that it holds. None: it was taken out.
    Farewell {
        epoch: u64,
        life: u64,
        sums: Vec<u64>,
    },
    /// Parts in which the sender differs. What it holds is on its disk.
    Differing {
        epoch: u64,
        life: u64,
        parts: u64,
    },
    /// From one that leaves: what it holds in those parts, a page of it.
    Held {
        epoch: u64,
        life: u64,
        after: Option<Key>,
        entries: Vec<(Key, Ballot)>,
    },
    /// Of these the sender holds nothing, or something older. The rest of the page is on its disk.
    Lacking {
        epoch: u64,
        life: u64,
        after: Option<Key>,
        keys: Vec<Key>,
    },

    /// Which values of these overwritten puts of a group do you have?
    PastWanted {
        key: Key,
        revisions: Vec<u64>,
    },
    PastGiven {
        key: Key,
        values: Vec<(u64, String)>,
    },

    /// From any supervisor: may this attempt carry the operation out? `number`: the asker's own for the question.
    Claim {
        number: u64,
        operation: OperationId,
        attempt: Attempt,
    },
    /// `quorum`: so many members of that epoch have to grant it.
    Voted {
        number: u64,
        epoch: u64,
        quorum: u32,
        vote: Vote,
    },
    /// The attempt has not begun and never will.
    ClaimGivenUp {
        operation: OperationId,
        attempt: Attempt,
    },
    /// From a newcomer: what have you granted, from here on?
    ClaimsWanted {
        epoch: u64,
        after: Option<OperationId>,
    },
    ClaimsGiven {
        epoch: u64,
        after: Option<OperationId>,
        claims: Vec<GivenClaim>,
        more: bool,
    },
}

/// On disk. Read back in their order, lots of them repeated, they give the same state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The disk's number, and whether it was first used at the system's first start.
    Disk {
        number: u64,
        first: bool,
    },
    Epoch(Charter),
    /// This disk has caught up as the member that came in with this epoch.
    CaughtUp(u64),
    Promise {
        key: Key,
        ballot: Ballot,
    },
    Accept {
        key: Key,
        ballot: Ballot,
        promised: Ballot,
        value: Value,
    },
    /// Promised and accepted for the successor of an epoch.
    Successor {
        epoch: u64,
        promised: Option<Ballot>,
        accepted: Option<(Ballot, Charter)>,
    },
    /// Registers given up with these ballots or lower ones, and the floor that stands for them.
    Forget {
        floor: Floor,
        entries: Vec<(Key, Ballot)>,
    },
    /// Values of overwritten puts, by revision, of which the group's value has digests alone. What a member reduces itself is
    /// not written again: the group's values in their order give it.
    PastValues {
        key: Key,
        values: Vec<(u64, String)>,
    },
    /// An operation was granted to an attempt.
    Claim {
        operation: OperationId,
        attempt: Attempt,
    },
    ClaimFreed {
        operation: OperationId,
        attempt: Attempt,
    },
}

impl Record {
    /// As this text wrote it or the one before, whose epochs did not say whether they had grown. An epoch stands last in its
    /// record, so there its last byte is missing.
    ///
    /// # Errors
    ///
    /// The bytes are no record.
    pub fn read(bytes: &[u8]) -> Result<Record, postcard::Error> {
        match postcard::from_bytes(bytes) {
            Err(postcard::Error::DeserializeUnexpectedEnd) => {}
            read => return read,
        }
        match postcard::from_bytes(&[bytes, &[0]].concat())? {
            record @ (Record::Epoch(_) | Record::Successor { accepted: Some(_), .. }) => Ok(record),
            _ => Err(postcard::Error::DeserializeUnexpectedEnd),
        }
    }
}

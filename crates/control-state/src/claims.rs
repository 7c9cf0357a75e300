//! Claims on operations: which attempt may carry out an operation that is to be done once.
//!
//! A claim is write-once for a while: each member that votes grants an operation to the first attempt that asks, has that on
//! its disk before it says so, and grants it to no other until the claim's time is over or that attempt gives it up. An
//! attempt that a majority of one epoch has granted is the only one: any two majorities of an epoch have a member in common,
//! and what a majority of an epoch granted is found by each majority of the next, as for accepted values (`recovery`): who
//! has accepted a successor grants nothing any more, and a newcomer has read all claims from a cover of the members before it
//! counts.
//!
//! No round among the members is needed: whoever attempts asks them all and counts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fault::{self, Fault};
use crate::keeper::Keeper;
use crate::messages::{Message, Record};
use crate::pen::Pen;
use crate::types::NodeId;

/// An operation, by a digest of whose it is and of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperationId(pub [u8; 16]);

impl OperationId {
    /// Its bytes in hexadecimal digits.
    pub fn digits(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// From 32 hexadecimal digits.
    pub fn from_digits(text: &str) -> Option<OperationId> {
        let is_whole = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_whole)?;
        Some(OperationId(number.to_be_bytes()))
    }
}

/// One attempt at an operation: the supervisor that makes it, and a number that is drawn for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    pub node: NodeId,
    pub number: u64,
}

impl Attempt {
    /// Stands for attempts that differ, of which one may have been granted by a majority: none is granted any more.
    const DISPUTED: Attempt = Attempt { node: NodeId::UNSPECIFIED, number: 0 };
}

/// What a member says to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Vote {
    Granted,
    /// It was granted to this one.
    Taken(Attempt),
    /// It does not vote now, or has no room.
    Abstains,
}

/// A claim as it is handed to a newcomer. Its age is never more than the true one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GivenClaim {
    pub operation: OperationId,
    pub attempt: Attempt,
    pub age: Duration,
}

#[derive(Clone, Copy, Debug, Hash)]
struct Claim {
    attempt: Attempt,
    /// When it was granted, as far as is known; not before the true time.
    since: Duration,
    /// The record that it rests on.
    logged: u64,
}

/// What one disk has granted.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Claims {
    claims: BTreeMap<OperationId, Claim>,
    /// In the order of their ends; some may have been given up since.
    ends: VecDeque<(Duration, OperationId)>,
}

impl Claims {
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Grants, or names who has it; with the record that the vote rests on.
    pub fn claim(
        &mut self, now: Duration, operation: OperationId, attempt: Attempt, most: usize, pen: &mut Pen,
    ) -> (Vote, u64) {
        if let Some(claim) = self.claims.get(&operation) {
            let vote = if claim.attempt == attempt { Vote::Granted } else { Vote::Taken(claim.attempt) };
            return (vote, claim.logged);
        }
        if self.claims.len() >= most {
            return (Vote::Abstains, 0);
        }
        let logged = pen.log(&Record::Claim { operation, attempt });
        self.put(operation, Claim { attempt, since: now, logged });
        (Vote::Granted, logged)
    }

    /// An attempt gives the operation up: it has not begun, and never will.
    pub fn free(&mut self, operation: OperationId, attempt: Attempt, pen: &mut Pen) {
        if self.claims.get(&operation).is_some_and(|claim| claim.attempt == attempt) {
            self.claims.remove(&operation);
            pen.log(&Record::ClaimFreed { operation, attempt });
        }
    }

    /// Another member's claim. Differing ones are granted to nobody.
    pub fn take_over(&mut self, now: Duration, given: GivenClaim, pen: &mut Pen) {
        let GivenClaim { operation, attempt, age } = given;
        let held = self.claims.get(&operation).map(|claim| claim.attempt);
        let attempt = match held {
            Some(_) if fault::is(Fault::LaterClaimCounts) => attempt,
            Some(held) if held == attempt || held == Attempt::DISPUTED => return,
            Some(_) => Attempt::DISPUTED,
            None => attempt,
        };
        let logged = pen.log(&Record::Claim { operation, attempt });
        self.put(operation, Claim { attempt, since: now.saturating_sub(age), logged });
    }

    fn put(&mut self, operation: OperationId, claim: Claim) {
        self.ends.push_back((claim.since, operation));
        self.claims.insert(operation, claim);
    }

    /// Lets go of those that are older than that.
    pub fn expire(&mut self, now: Duration, lifetime: Duration) {
        while let Some((since, operation)) = self.ends.front().copied()
            && since + lifetime < now
        {
            self.ends.pop_front();
            if self.claims.get(&operation).is_some_and(|claim| claim.since + lifetime < now) {
                self.claims.remove(&operation);
            }
        }
    }

    /// A page behind that operation, and whether there is more.
    pub fn page(&self, now: Duration, after: Option<OperationId>, most: usize) -> (Vec<GivenClaim>, bool) {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        let mut behind = self.claims.range((from, Unbounded));
        let page = behind.by_ref().take(most).map(|(operation, claim)| GivenClaim {
            operation: *operation,
            attempt: claim.attempt,
            age: now.saturating_sub(claim.since),
        });
        (page.collect(), behind.next().is_some())
    }

    /// A record read back: the later of two counts.
    pub fn replay(&mut self, now: Duration, operation: OperationId, attempt: Attempt) {
        self.put(operation, Claim { attempt, since: now, logged: 0 });
    }

    pub fn replay_freed(&mut self, operation: OperationId, attempt: Attempt) {
        if self.claims.get(&operation).is_some_and(|claim| claim.attempt == attempt) {
            self.claims.remove(&operation);
        }
    }

    /// Records that alone bring back all of them.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        let record = |(operation, claim): (&OperationId, &Claim)| Record::Claim {
            operation: *operation,
            attempt: claim.attempt,
        };
        self.claims.iter().map(record)
    }
}

impl Keeper {
    /// A supervisor attempts an operation; `number` is its own for the question.
    pub(crate) fn claim(
        &mut self, now: Duration, from: NodeId, number: u64, operation: OperationId, attempt: Attempt,
    ) {
        self.claims.expire(now, self.terms.claim_lifetime);
        let votes = self.voting_epoch().is_some() && !self.is_sealed() && self.successor.accepted.is_none();
        let (vote, logged) = match votes {
            true => self.claims.claim(now, operation, attempt, self.terms.claims, &mut self.pen),
            false => (Vote::Abstains, 0),
        };
        let quorum = self.charter.as_ref().map_or(usize::MAX, |charter| charter.quorum());
        let quorum = u32::try_from(quorum).unwrap_or(u32::MAX);
        let voted = Message::Voted { number, epoch: self.epoch(), quorum, vote };
        let rests = if fault::is(Fault::VoteUnsynced) { 0 } else { logged.max(self.chartered) };
        self.pen.reply(rests, from, voted);
    }

    /// An attempt of this supervisor itself, as by [`Message::Claim`].
    pub fn attempt_here(&mut self, now: Duration, message: Message) {
        self.clock = now;
        match message {
            Message::Claim { number, operation, attempt } => {
                self.claim(now, self.me.node, number, operation, attempt);
            }
            Message::ClaimGivenUp { operation, attempt } => {
                self.claim_given_up(self.me.node, operation, attempt);
            }
            _ => {}
        }
        self.drain(now);
    }

    pub(crate) fn claim_given_up(&mut self, from: NodeId, operation: OperationId, attempt: Attempt) {
        if attempt.node == from {
            self.claims.free(operation, attempt, &mut self.pen);
        }
    }

    /// A newcomer wants to know what this member has granted.
    pub(crate) fn claims_wanted(
        &mut self, now: Duration, from: NodeId, epoch: u64, after: Option<OperationId>,
    ) {
        if !self.answers(from, epoch) {
            return;
        }
        self.claims.expire(now, self.terms.claim_lifetime);
        let (claims, more) = self.claims.page(now, after, self.terms.claims_given);
        let given = Message::ClaimsGiven { epoch, after, claims, more };
        // What this member forgets by a loss of power it does not grant in an epoch before.
        self.pen.reply(self.fenced, from, given);
    }

    /// To whom this disk has granted an operation.
    pub fn granted(&self, operation: OperationId) -> Option<Attempt> {
        self.claims.claims.get(&operation).map(|claim| claim.attempt)
    }

    /// Operations that this disk has granted.
    pub fn claims_held(&self) -> usize {
        self.claims.len()
    }
}

//! Operations that are to be carried out once, whichever supervisors their requests reach: what this one knows of those that it
//! began.

use fallgap_control_state::{Attempt, OperationId};
use fallgap_routing::KeptAnswer;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Operations that are remembered at once; over it the oldest go.
const MOST: usize = 32_768;
/// Bytes of answers that are kept. Over it the oldest go, and their operations have no answer any more.
const ANSWER_BYTES: usize = 8 << 20;
/// A longer answer is not kept.
const LONGEST: usize = 256 << 10;

/// The operation of a customer's key.
pub fn operation_of(customer: &str, key: &str) -> OperationId {
    let mut digest = Sha256::new();
    digest.update((customer.len() as u64).to_le_bytes());
    digest.update(customer.as_bytes());
    digest.update(key.as_bytes());
    let mut id = [0; 16];
    id.iter_mut().zip(digest.finalize()).for_each(|(to, from)| *to = from);
    OperationId(id)
}

/// What a supervisor knows of an attempt of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationState {
    InWork,
    Answered(Arc<KeptAnswer>),
    /// It was sent to a server, and there is no answer.
    Unknown,
    /// Nothing is known of it here: it is of an earlier process.
    NotHere,
    /// It was given up before anything was sent: members may not have heard yet that the operation is free.
    GivenUp,
}

struct Known {
    attempt: Attempt,
    state: OperationState,
    since: Duration,
}

/// The operations that were begun here.
#[derive(Default)]
pub(crate) struct Operations {
    known: HashMap<OperationId, Known>,
    order: VecDeque<(Duration, OperationId)>,
    bytes: usize,
}

impl Operations {
    pub fn state(&self, operation: OperationId) -> Option<&OperationState> {
        let known = self.known.get(&operation).map(|known| &known.state);
        known.filter(|state| **state != OperationState::GivenUp)
    }

    /// What another supervisor is told of one of this one's attempts.
    pub fn told(&self, operation: OperationId, attempt: Attempt) -> OperationState {
        let known = self.known.get(&operation).filter(|known| known.attempt == attempt);
        known.map_or(OperationState::NotHere, |known| known.state.clone())
    }

    pub fn begun(&mut self, now: Duration, operation: OperationId, attempt: Attempt) {
        if self.known.len() >= MOST {
            self.drop_oldest();
        }
        self.order.push_back((now, operation));
        self.known.insert(operation, Known { attempt, state: OperationState::InWork, since: now });
    }

    /// It has not begun, and never will.
    pub fn given_up(&mut self, operation: OperationId, attempt: Attempt) {
        if let Some(known) = self.known.get_mut(&operation).filter(|known| known.attempt == attempt) {
            known.state = OperationState::GivenUp;
        }
    }

    /// What became of it.
    pub fn ended(&mut self, operation: OperationId, attempt: Attempt, answer: Option<KeptAnswer>) {
        let Some(known) = self.known.get_mut(&operation).filter(|known| known.attempt == attempt) else {
            return;
        };
        let kept = answer.filter(|answer| answer.held() <= LONGEST);
        self.bytes += kept.as_ref().map_or(0, KeptAnswer::held);
        known.state = kept.map_or(OperationState::Unknown, |kept| OperationState::Answered(Arc::new(kept)));
        while self.bytes > ANSWER_BYTES {
            self.drop_oldest();
        }
    }

    /// Lets go of those that are older than that.
    pub fn expire(&mut self, now: Duration, lifetime: Duration) {
        while self.order.front().is_some_and(|(since, _)| *since + lifetime < now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((since, operation)) = self.order.pop_front() else { return };
        if self.known.get(&operation).is_some_and(|known| known.since == since)
            && let Some(known) = self.known.remove(&operation)
            && let OperationState::Answered(answer) = known.state
        {
            self.bytes = self.bytes.saturating_sub(answer.held());
        }
    }

    /// Operations known, and bytes of their answers.
    pub fn held(&self) -> (usize, usize) {
        (self.known.len(), self.bytes)
    }
}

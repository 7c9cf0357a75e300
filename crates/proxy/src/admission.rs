//! What a request needs before a server is asked: a key, a token of its customer's quota, the claim on its operation.

use crate::client::Outgoing;
use crate::operations::{OperationState, operation_of};
use crate::ops::{OpEntry, Stage};
use crate::quay::Quay;
use crate::timers::{ClientKey, OpKey};
use fallgap_config::{Configuration, RouteClass};
use fallgap_control_state::attempts::Verdict;
use fallgap_control_state::{Attempt, Message, NodeId, OperationId, Vote};
use fallgap_routing::{
    CREDENTIAL, Ends, Head, IDEMPOTENCY_KEY, KeptAnswer, QuotaAsk, QuotaGrant, Request, Sender, Taken, Why,
};
use std::sync::Arc;
use std::time::Duration;

/// The supervisor that began an operation is waited for so long.
const OWNER_PATIENCE: Duration = Duration::from_millis(600);
/// A request with an idempotency key is sent to servers within this, or not at all: claims outlive it.
pub const KEYED_DEADLINE: Duration = Duration::from_secs(10);
/// Bytes of an idempotency key.
const LONGEST_KEY: usize = 512;

/// Something that other supervisors are to be told.
#[derive(Debug)]
pub enum PeerMessage {
    /// To a member of the control state.
    Member(NodeId, Message),
    /// To the supervisor that began an operation: what became of it? `number` is this one's for the question.
    AskOwner { number: u64, operation: OperationId, attempt: Attempt },
    /// To the home of a customer's quota.
    Quota(QuotaAsk),
}

/// Why a request goes no further, and the status that tells it.
pub(crate) struct Refused(pub u16, pub Why);

impl Quay {
    /// Who sends a request.
    pub(crate) fn identify(
        &self, now: Duration, configuration: &Configuration, head: &Head, is_open: bool,
    ) -> Result<Sender, Refused> {
        let Some(customers) = &configuration.customers else { return Ok(Sender::Unmanaged) };
        if !head.has_line(CREDENTIAL) && is_open {
            return Ok(Sender::Anonymous);
        }
        let customer = head.only_line(CREDENTIAL).and_then(|key| customers.of_key(key));
        match customer {
            Some(_) if self.lease.keys_lapsed(now) => Err(Refused(503, Why::Lapsed)),
            Some(customer) => Ok(Sender::Customer(customer.name.clone())),
            // The key may have been added since; 401 is final for clients.
            None if head.has_line(CREDENTIAL) && self.lease.is_unsure(now) => {
                Err(Refused(503, Why::Unconfirmed))
            }
            None => Err(Refused(401, Why::NoKey)),
        }
    }

    /// The operation of a request that is to be carried out once.
    pub(crate) fn operation(
        &self, class: RouteClass, head: &Head, sender: &Sender,
    ) -> Result<Option<OperationId>, Refused> {
        if class != RouteClass::Registered {
            return Ok(None);
        }
        let key = head.only_line(IDEMPOTENCY_KEY).filter(|key| !key.is_empty() && key.len() <= LONGEST_KEY);
        let key = key.ok_or(Refused(400, Why::NoOperationKey))?;
        let customer = sender.customer().map_or("", |name| &**name);
        Ok(Some(operation_of(customer, key)))
    }

    /// A request whose operation was begun here gets what is known of it. `false`: it was not.
    pub(crate) fn repeats(
        &mut self, now: Duration, client: ClientKey, began: Duration, request: &Request,
        operation: OperationId,
    ) -> bool {
        self.operations.expire(now, self.terms.operation_lifetime);
        let Some(state) = self.operations.state(operation).cloned() else { return false };
        let (status, why) = outcome(&state, true);
        self.refused(now, began, request, status, why, None);
        self.repeated(now, client, request, status, &state);
        true
    }

    /// Whatever a request still needs, one after the other; then a server is asked. `is_limited`: its customer has a quota.
    pub(crate) fn admit(&mut self, now: Duration, key: OpKey, is_limited: bool) {
        let Some(op) = self.ops.get(key) else { return };
        match op.sender.customer().filter(|_| is_limited).cloned() {
            Some(customer) => match self.quotas.take(now, &customer, key) {
                Taken::Now => self.has_token(now, key),
                Taken::Waits if self.lease.is_reached() => self.waits(key, Stage::Quota),
                // It is cut off: its client does better elsewhere at once.
                Taken::Waits => self.end_before_tries(now, key, 503, Why::NoToken),
            },
            None => self.claim(now, key),
        }
    }

    fn waits(&mut self, key: OpKey, stage: Stage) {
        if let Some(op) = self.ops.get_mut(key) {
            op.stage = stage;
            self.set_op_due(key);
        }
    }

    fn has_token(&mut self, now: Duration, key: OpKey) {
        if let Some(op) = self.ops.get_mut(key) {
            op.has_token = true;
            self.claim(now, key);
        }
    }

    /// An operation that is to be carried out once is claimed first.
    fn claim(&mut self, now: Duration, key: OpKey) {
        let Some(op) = self.ops.get_mut(key) else { return };
        let Some(operation) = op.operation else {
            op.stage = Stage::Tries;
            return self.start_try(now, key);
        };
        if !self.lease.is_reached() {
            return self.unclaimed(now, key);
        }
        let attempt = Attempt { node: self.me, number: self.rng.u64(1..) };
        let Some(number) = self.attempts.begin(now, operation, attempt, &self.members) else {
            return self.unclaimed(now, key);
        };
        op.claim = Some(attempt);
        op.stage = Stage::Votes;
        self.operations.begun(now, operation, attempt);
        self.claiming.insert(number, key);
        self.set_op_due(key);
    }

    /// A member has voted.
    pub fn voted(&mut self, now: Duration, from: NodeId, number: u64, epoch: u64, quorum: u32, vote: Vote) {
        if let Some(verdict) = self.attempts.voted(now, from, number, epoch, quorum, vote) {
            self.settled(now, number, verdict);
        }
    }

    pub(crate) fn settled(&mut self, now: Duration, number: u64, verdict: Verdict) {
        let Some(key) = self.claiming.remove(&number) else { return };
        let Some(op) = self.ops.get_mut(key).filter(|op| op.stage == Stage::Votes) else { return };
        match verdict {
            Verdict::Granted => {
                op.stage = Stage::Tries;
                self.start_try(now, key);
            }
            Verdict::Taken { by, by_majority } => {
                self.give_claim_up(key);
                self.ask_owner(now, key, by, by_majority);
            }
            Verdict::NoMajority => self.unclaimed(now, key),
        }
    }

    /// Whether it was begun elsewhere cannot be known: it is not begun here.
    fn unclaimed(&mut self, now: Duration, key: OpKey) {
        self.end_before_tries(now, key, 503, Why::Unclaimed);
    }

    /// An attempt that sent nothing is given up.
    pub(crate) fn give_claim_up(&mut self, key: OpKey) {
        let Some(op) = self.ops.get_mut(key) else { return };
        if let (Some(claim), Some(operation)) = (op.claim.take(), op.operation) {
            self.claiming.retain(|_, its| *its != key);
            self.attempts.give_up(operation, claim, &self.members);
            self.operations.given_up(operation, claim);
        }
    }

    fn ask_owner(&mut self, now: Duration, key: OpKey, owner: Attempt, by_majority: bool) {
        let Some(operation) = self.ops.get(key).and_then(|op| op.operation) else { return };
        if owner.node == self.me || owner.node.is_unspecified() {
            let state = self.operations.told(operation, owner);
            return self.owner_has_told(now, key, &state, by_majority);
        }
        let number = self.next_question;
        self.next_question += 1;
        self.peer_messages.push(PeerMessage::AskOwner { number, operation, attempt: owner });
        self.waits(key, Stage::Owner { number, by_majority, until: now + OWNER_PATIENCE });
    }

    /// Another supervisor asks what became of an attempt of this one.
    pub fn operation_state(&self, operation: OperationId, attempt: Attempt) -> OperationState {
        self.operations.told(operation, attempt)
    }

    /// What is known here of an operation that was begun here.
    pub fn operation_begun(&self, operation: OperationId) -> Option<OperationState> {
        self.operations.state(operation).cloned()
    }

    /// The supervisor that began an operation has answered.
    pub fn owner_told(&mut self, now: Duration, number: u64, state: &OperationState) {
        let asked = |op: &OpEntry| matches!(op.stage, Stage::Owner { number: its, .. } if its == number);
        let found = self.ops.iter().find(|(_, op)| asked(op)).map(|(key, op)| (key, op.stage));
        if let Some((key, Stage::Owner { by_majority, .. })) = found {
            self.owner_has_told(now, key, state, by_majority);
        }
    }

    pub(crate) fn owner_has_told(
        &mut self, now: Duration, key: OpKey, state: &OperationState, by_majority: bool,
    ) {
        let (status, why) = outcome(state, by_majority);
        if let Some(op) = self.ops.get_mut(key) {
            op.draft.why = why;
        }
        let state = state.clone();
        self.finish(now, key, status, |quay, client, request| {
            quay.repeated(now, client, request, status, &state);
        });
    }

    /// What a request gets whose operation was begun by another one.
    fn repeated(
        &mut self, now: Duration, client: ClientKey, request: &Request, status: u16, state: &OperationState,
    ) {
        if let OperationState::Answered(answer) = state {
            self.counters.operations_repeated += 1;
            return self.replay(now, client, request, answer);
        }
        match status {
            502 => {
                self.counters.operations_unknown += 1;
                self.own_answer(now, client, request, status, None);
            }
            _ => {
                let again = self.again();
                self.own_answer(now, client, request, status, Some(again));
            }
        }
    }

    fn replay(&mut self, now: Duration, key: ClientKey, request: &Request, answer: &Arc<KeptAnswer>) {
        let ends = self.ends(key, request.head.keep);
        let mut head = Vec::with_capacity(512);
        answer.head(request.head.id(), ends, &mut head);
        let body = if request.head.is_head() { Vec::new() } else { answer.body.clone() };
        self.reply(now, key, Outgoing::new(head, body), ends != Ends::Closed);
    }

    /// A home has answered for a customer's quota.
    pub fn quota_granted(&mut self, now: Duration, grant: &QuotaGrant) {
        let (ready, over) = self.quotas.granted(now, grant);
        for key in ready {
            if self.ops.get(key).is_some_and(|op| op.stage == Stage::Quota) {
                self.has_token(now, key);
            } else {
                self.quotas.put_back(&grant.customer);
            }
        }
        for key in over {
            if self.ops.get(key).is_some_and(|op| op.stage == Stage::Quota) {
                self.counters.over_quota += 1;
                self.end_before_tries(now, key, 429, Why::OverQuota);
            }
        }
    }

    /// The supervisor that was asked is not the home of a customer's quota.
    pub fn not_quota_home(&mut self, customer: &Arc<str>) {
        self.quotas.not_home(customer);
    }

    /// A request ends before any server was asked, with when to come back.
    fn end_before_tries(&mut self, now: Duration, key: OpKey, status: u16, why: Why) {
        if let Some(op) = self.ops.get_mut(key) {
            op.draft.why = why;
        }
        self.finish(now, key, status, |quay, client, request| {
            let again = quay.again();
            quay.counters.not_run += u64::from(status == 503);
            quay.own_answer(now, client, request, status, Some(again));
        });
    }

    /// Whoever is waited for has had its time.
    pub(crate) fn admission_woke(&mut self, now: Duration) {
        for (number, verdict) in self.attempts.woke(now) {
            self.settled(now, number, verdict);
        }
        for key in self.quotas.late(now) {
            if self.ops.get(key).is_some_and(|op| op.stage == Stage::Quota) {
                self.end_before_tries(now, key, 503, Why::NoToken);
            }
        }
    }

    /// What other supervisors are to be told.
    pub fn peer_messages(&mut self, now: Duration) -> Vec<PeerMessage> {
        let mut peer_messages = std::mem::take(&mut self.peer_messages);
        peer_messages
            .extend(self.attempts.take().into_iter().map(|(to, message)| PeerMessage::Member(to, message)));
        peer_messages.extend(self.quotas.asks(now).into_iter().map(PeerMessage::Quota));
        peer_messages
    }

    /// This supervisor, and those that may be members of the control state.
    pub fn members(&mut self, me: NodeId, members: Vec<NodeId>) {
        (self.me, self.members) = (me, members);
    }
}

/// The status of a request whose operation was begun by another one. `by_majority`: it may be under way.
fn outcome(state: &OperationState, by_majority: bool) -> (u16, Why) {
    match state {
        OperationState::InWork => (409, Why::InWork),
        OperationState::Answered(answer) => (answer.status, Why::Repeated),
        OperationState::Unknown => (502, Why::Forgotten),
        OperationState::NotHere if by_majority => (502, Why::Forgotten),
        OperationState::NotHere | OperationState::GivenUp => (503, Why::Unclaimed),
    }
}

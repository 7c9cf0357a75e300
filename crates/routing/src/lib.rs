//! The way of one op, free of sockets and clock: strict reading of requests and answers, the route's servers and
//! the pick among them, the states of a try and what they prove, the budget of further tries.

mod answer;
mod budget;
mod chunks;
mod draught;
mod fleet;
mod gate;
mod head;
mod health;
mod lease;
mod op;
mod quota;
mod request;
mod server;
mod terms;
mod unread;
mod why;
mod wire;

pub use answer::{Answer, AnswerFault, AnswerReader, Judgement, Progress};
pub use budget::Budget;
pub use chunks::{ChunkFault, Chunks};
pub use draught::Draught;
pub use fleet::{Fleet, ServerKey, ServiceKey};
pub use gate::Gate;
pub use head::{Framing, Head};
pub use health::{Health, HealthState};
pub use lease::{Lease, LeaseTerms, Place, ViewTimes};
pub use op::{Final, Next, Op, Plan, TryOutcome, TryState};
pub use quota::{
    QuotaAsk, QuotaFront, QuotaGrant, QuotaHome, QuotaTerms, RATE_MARGIN, Room, SHARDS, Taken, shard_of,
};
pub use request::{Inbox, Refusal, Request, Step};
pub use server::{Ended, Report, Server};
pub use terms::Terms;
pub use why::{Why, try_word};
pub use wire::{
    CREDENTIAL, CUSTOMER, Ends, IDEMPOTENCY_KEY, KeptAnswer, Sender, answer_head, forwarded_head, own_answer,
};

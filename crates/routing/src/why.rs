//! Why an op ended as it did, in a word that fits into a record.

use crate::op::TryOutcome;
use crate::server::Ended;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Why {
    /// A server's answer went back.
    #[default]
    Answered,
    /// There was no view to route by yet.
    NoView,
    NoRoute,
    /// No route is known, and what is known may be old.
    Unconfirmed,
    /// The view lacks for too long what its home knows.
    Behind,
    /// The request has no key of a customer, or one that no customer has.
    NoKey,
    /// No home has confirmed for too long that keys still hold.
    Lapsed,
    /// Its customer has used up its quota.
    OverQuota,
    /// Its customer's quota could not be asked in time.
    NoToken,
    /// Its route wants an idempotency key, and it has none.
    NoOperationKey,
    /// Its operation is being carried out for another request.
    InWork,
    /// It got the answer of the first request of its operation.
    Repeated,
    /// Its operation was begun by another request, and what became of that is not known.
    Forgotten,
    /// No majority of disks could be asked whether its operation was begun.
    Unclaimed,
    /// No open server of the service is known.
    NoServer,
    /// Each server that may be asked works on all that it takes, or was asked already.
    NoRoom,
    /// Its servers turn requests away, and its rank is refused for now.
    Gate,
    /// The node's link is laden: it does better at another one.
    Laden,
    /// Further tries of the service have used up their budget.
    Budget,
    /// As many servers were asked as its route allows.
    Attempts,
    /// As many connections were in vain as there may be.
    Connects,
    /// It may have run, and its route forbids that it runs again.
    Once,
    /// Its time was over.
    Time,
    /// Its answer broke off when its head had left already.
    Broke,
    /// The client was gone.
    Abandoned,
    /// It ended as it would have for a client that waits, but its client had closed the connection before.
    Unheard,
}

impl Why {
    const ALL: [Why; 26] = [
        Why::Answered,
        Why::NoView,
        Why::NoRoute,
        Why::Unconfirmed,
        Why::Behind,
        Why::NoKey,
        Why::Lapsed,
        Why::OverQuota,
        Why::NoToken,
        Why::NoOperationKey,
        Why::InWork,
        Why::Repeated,
        Why::Forgotten,
        Why::Unclaimed,
        Why::NoServer,
        Why::NoRoom,
        Why::Gate,
        Why::Laden,
        Why::Budget,
        Why::Attempts,
        Why::Connects,
        Why::Once,
        Why::Time,
        Why::Broke,
        Why::Abandoned,
        Why::Unheard,
    ];

    pub fn word(self) -> &'static str {
        match self {
            Why::Answered => "answered",
            Why::NoView => "no-view",
            Why::NoRoute => "no-route",
            Why::Unconfirmed => "unconfirmed",
            Why::Behind => "behind",
            Why::NoKey => "no-key",
            Why::Lapsed => "keys-lapsed",
            Why::OverQuota => "over-quota",
            Why::NoToken => "no-token",
            Why::NoOperationKey => "no-idempotency-key",
            Why::InWork => "in-work",
            Why::Repeated => "repeated",
            Why::Forgotten => "outcome-unknown",
            Why::Unclaimed => "unclaimed",
            Why::NoServer => "no-server",
            Why::NoRoom => "no-room",
            Why::Gate => "gate",
            Why::Laden => "laden",
            Why::Budget => "budget",
            Why::Attempts => "attempts",
            Why::Connects => "connects",
            Why::Once => "once",
            Why::Time => "time",
            Why::Broke => "broke-off",
            Why::Abandoned => "abandoned",
            Why::Unheard => "unheard",
        }
    }

    pub fn from_word(word: &str) -> Option<Why> {
        Why::ALL.into_iter().find(|why| why.word() == word)
    }
}

/// How a try ended, in a word.
pub fn try_word(outcome: TryOutcome, how: Ended) -> &'static str {
    match (outcome, how) {
        (_, Ended::Silent(_)) => "silent",
        (_, Ended::Unreached | Ended::Hung) => "unreached",
        (_, Ended::Other) => "other-server",
        (_, Ended::TooLong) => "answer-too-long",
        (TryOutcome::Answered, _) => "answered",
        (TryOutcome::NotRun, _) => "turned-away",
        (TryOutcome::Failed, _) => "failed",
        (TryOutcome::NotSent, Ended::Void) => "withdrawn",
        (TryOutcome::NotSent, _) => "broke-before",
        (TryOutcome::Unknown, Ended::Void) => "left",
        (TryOutcome::Unknown, _) => "broke-after",
    }
}

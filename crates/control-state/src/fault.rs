//! Deliberate faults, so that it can be shown that the checks of `fallgap-simulation` find them.
//!
//! Without the feature `faults`, which no program asks for, each question below is the constant `false`, and nothing
//! of this is in what is built.

/// One thing done wrongly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Half of the members, or fewer, count as a majority.
    MajorityLessOne,
    /// A newcomer reads from one member less than it has to.
    CoverLessOne,
    /// A promise is told before it is on disk.
    PromiseUnsynced,
    /// An accept is told before it is on disk.
    AcceptUnsynced,
    /// What was accepted or promised for the successor is told before it is on disk.
    SuccessorUnsynced,
    /// A promise is not written at all.
    PromiseNotWritten,
    /// A snapshot holds no promises.
    SnapshotWithoutPromises,
    /// A disk that was wiped counts as the one before it.
    WipedDiskVotes,
    /// A newcomer counts before it has caught up.
    NewcomerVotes,
    /// A promise is given below one that was given before.
    PromiseFalls,
    /// An accept is made below a promise.
    AcceptBelowPromise,
    /// An accept does not promise what the next attempt without a first phase rests on.
    NextNotPromised,
    /// What comes round about is taken over a promise.
    AdoptOverPromise,
    /// The lowest ballot found is built on, instead of the highest.
    LowestFound,
    /// Whatever a majority was asked about counts as committed.
    FoundIsCommitted,
    /// What is not sure is told as not done.
    UnclearIsBusy,
    /// A call whose effect was sent is judged again as if it were not.
    SentForgotten,
    /// One who accepted a successor goes on in the old epoch.
    NotSealed,
    /// A change puts its own successor before one that it found accepted.
    OwnSuccessor,
    /// A lock that changes hands keeps its fence.
    FenceStays,
    /// A renewal shortens a hold whose answer the holder has.
    HoldShortened,
    /// A value that is written has the age of the one before it.
    AgeStays,
    /// An edition takes the place of a higher one.
    EditionFalls,
    /// A put does not ask what it is to stand on.
    ConditionNotAsked,
    /// Nothing is handed over to who missed it, and nothing is compared.
    NoRepair,
    /// A process takes its times from a clock that is set by hand. The checker's machines do this, not the core.
    WallClock,
    // Founding.
    /// One seed less than a majority decides on the first members.
    FoundedByFew,
    /// A seed that lost its memory or its disk has a vote again.
    WipedSeedVotes,
    // Numbers and orders that come again.
    /// An edition that holds is acknowledged whatever content comes under it.
    ContentNotAsked,
    /// What is overtaken is not remembered.
    TakenForgotten,
    // many: the store, and members that come back after many changes.
    /// A snapshot's name is not made to last before what it replaces goes.
    SnapshotNameUnsynced,
    /// The end of a log that is torn is taken for whole.
    TornTailTaken,
    /// What the disk lost though it was synced is taken for an end that was never synced.
    RotIsTorn,
    /// The files of a disk that is of no use go in any order.
    WipedInAnyOrder,
    /// What was read back from the disk counts as committed.
    ReadBackIsCommitted,
    /// A register is given up without the floor that stands for its fence or number.
    ForgottenWithoutFloor,
    /// A register is given up once a majority holds it with the same ballot.
    ForgottenByMajority,
    /// What is handed over is taken, however long ago it was said.
    OldGivenTaken,
    /// A member that comes in again keeps what it held of registers that were given up meanwhile.
    OldRegistersStay,

    // Cut off, and clocks that drift (tests/cut_off.rs, tests/drift.rs).
    /// A hold is over when a keeper's own clock says so, however fast that runs.
    NoDriftMargin,
    /// Who hears a majority counts as in contact with it, though nobody hears it.
    ContactOneWay,
    /// Who hears nobody counts as in contact with a majority.
    ContactAlone,
    /// A read is answered by what this disk holds.
    ReadAlone,
    /// Who holds no accounts does not ask for them (tests/first_account.rs).
    AccountsUnasked,

    // once-only: found by `fallgap-simulation`'s tests/once.rs.
    /// A call that nobody waits for any more is carried out all the same.
    WithdrawalIgnored,
    // Members that leave, and changes one after the other.
    /// One that leaves asks nobody what they hold.
    LeaverDoesNotAsk,
    /// One that leaves goes on accepting while it asks.
    LeaverAccepts,
    /// One that leaves stays a member, though a newcomer has its place.
    LeaverStaysIn,
    /// One that stays says that it holds what is not yet on its disk.
    StayerUnsynced,
    /// The members change before the newcomer of the change before has caught up.
    ChangeBeforeCaughtUp,
    /// Each try to decide on a change has a ballot of its own.
    BallotEachTry,
    // Slow disks (tests/slow_decisions.rs).
    /// An attempt ends with its last caller, and what disks have done for it is thrown away.
    AttemptThrownAway,
    /// A call has the answer of any other one on its register whose caller has gone.
    JoinsOther,
    /// Who leaves another node's attempt its time never goes on itself.
    DefersWithoutEnd,
    // Claims (tests/claims.rs).
    /// A vote is told before it is on disk.
    VoteUnsynced,
    /// A newcomer does not read what others have granted.
    ClaimsNotRead,
    /// Of differing claims the one that is read later counts.
    LaterClaimCounts,
}

impl Fault {
    pub const ALL: [Fault; 54] = [
        Fault::MajorityLessOne,
        Fault::CoverLessOne,
        Fault::PromiseUnsynced,
        Fault::AcceptUnsynced,
        Fault::SuccessorUnsynced,
        Fault::PromiseNotWritten,
        Fault::SnapshotWithoutPromises,
        Fault::WipedDiskVotes,
        Fault::NewcomerVotes,
        Fault::PromiseFalls,
        Fault::AcceptBelowPromise,
        Fault::NextNotPromised,
        Fault::AdoptOverPromise,
        Fault::LowestFound,
        Fault::FoundIsCommitted,
        Fault::UnclearIsBusy,
        Fault::SentForgotten,
        Fault::NotSealed,
        Fault::OwnSuccessor,
        Fault::FenceStays,
        Fault::HoldShortened,
        Fault::AgeStays,
        Fault::EditionFalls,
        Fault::ConditionNotAsked,
        Fault::NoRepair,
        Fault::WallClock,
        Fault::FoundedByFew,
        Fault::WipedSeedVotes,
        Fault::ContentNotAsked,
        Fault::TakenForgotten,
        Fault::SnapshotNameUnsynced,
        Fault::TornTailTaken,
        Fault::RotIsTorn,
        Fault::WipedInAnyOrder,
        Fault::ReadBackIsCommitted,
        Fault::ForgottenWithoutFloor,
        Fault::ForgottenByMajority,
        Fault::OldGivenTaken,
        Fault::OldRegistersStay,
        Fault::NoDriftMargin,
        Fault::ContactOneWay,
        Fault::ContactAlone,
        Fault::ReadAlone,
        Fault::AccountsUnasked,
        Fault::WithdrawalIgnored,
        Fault::LeaverDoesNotAsk,
        Fault::LeaverAccepts,
        Fault::LeaverStaysIn,
        Fault::StayerUnsynced,
        Fault::ChangeBeforeCaughtUp,
        Fault::BallotEachTry,
        Fault::VoteUnsynced,
        Fault::ClaimsNotRead,
        Fault::LaterClaimCounts,
    ];
}

#[cfg(feature = "faults")]
mod seam {
    use super::Fault;
    use std::cell::Cell;

    thread_local! {
        static PRESENT: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    /// The one fault that all cores on this thread have from here on.
    pub fn set(fault: Option<Fault>) {
        PRESENT.set(fault);
    }

    pub fn is(fault: Fault) -> bool {
        PRESENT.get() == Some(fault)
    }
}

#[cfg(not(feature = "faults"))]
mod seam {
    use super::Fault;

    pub const fn is(_: Fault) -> bool {
        false
    }
}

pub use seam::*;

//! What must hold, and where it did not.

/// Each thing that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, displaydoc::Display)]
pub enum Check {
    /// each register's answers fit one order
    Linear,
    /// a fence is one holder's
    Fence,
    /// a lock has one holder
    OneHolder,
    /// what was refused never takes effect
    Refused,
    /// one number is confirmed with one content
    Content,
    /// a conditional put stands on what it named
    Condition,
    /// a watch skips nothing
    Watch,
    /// an epoch has the same members everywhere
    Epochs,
    /// a call is answered once
    AnsweredOnce,
    /// what is shown never goes back
    Shown,
    /// a keeper comes to rest
    Rest,
    /// the members have caught up again
    CaughtUp,
    /// calls are served again
    Served,
    /// all members hold the same again
    Even,
    /// nothing panics
    Panic,
}

/// What did not hold.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum Breach {
    /// not so: {0}: {1}
    Not(Check, String),
}

impl Breach {
    pub fn check(&self) -> Check {
        match self {
            Breach::Not(check, _) => *check,
        }
    }
}

/// Ends the run with a breach unless this holds. [`crate::voyage::guarded`] hands it out.
macro_rules! hold {
    ($holds:expr, $check:expr, $($why:tt)*) => {
        if !$holds {
            std::panic::panic_any($crate::breach::Breach::Not($check, format!($($why)*)));
        }
    };
}
pub(crate) use hold;

//! When a name that an answer lacks counts as withdrawn.

use std::time::Duration;

/// Returns after which no further one makes a name harder to withdraw.
const MOST_RETURNS: u32 = 3;

/// How often a source's answers lacked a name that stood before.
#[derive(Clone, Debug, Default)]
pub(crate) struct Absence {
    in_a_row: u32,
    /// The last answer that counted.
    at: Duration,
    /// Times that it came back after an answer lacked it, and when it last did.
    returns: u32,
    returned: Duration,
}

impl Absence {
    /// An answer lacks the name. Tells whether that withdraws it: at once, but with the second answer where
    /// so many are missing that the answer is doubted, and one more for each time that the name came back
    /// within the hold: a server whose record comes and goes is not closed and opened again each time.
    pub fn missed(&mut self, now: Duration, doubted: bool, confirm: Duration, hold: Duration) -> bool {
        if self.in_a_row == 0 || now >= self.at + confirm {
            (self.in_a_row, self.at) = (self.in_a_row + 1, now);
        }
        if now >= self.returned.saturating_add(hold) {
            self.returns = 0;
        }
        self.in_a_row > u32::from(doubted) + self.returns
    }

    pub fn named(&mut self, now: Duration) {
        if self.in_a_row > 0 {
            self.returns = (self.returns + 1).min(MOST_RETURNS);
            (self.in_a_row, self.returned) = (0, now);
        }
    }

    pub fn waits(&self) -> bool {
        self.in_a_row > 0
    }
}

impl Absence {
    /// After a withdrawal only the returns count on.
    pub fn settled(&self) -> Absence {
        Absence { in_a_row: 0, ..self.clone() }
    }
}

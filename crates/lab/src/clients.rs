//! What clients do after an op went wrong: a stated model of further tries.

use fallgap::Repeats;
use std::time::Duration;

/// How one try ended, as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ended {
    Acked,
    /// Turned away: it never ran.
    Rejected,
    /// It failed, or its connection broke: it may have run.
    Aborted,
    /// No connection was had: it never ran.
    Unsent,
    /// Nothing came within the op timeout.
    Late,
}

/// After which ends a client tries again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Again {
    #[default]
    Never,
    /// Only what surely never ran, and what may run again.
    Safely,
    /// After any end: also what must not run twice.
    Carelessly,
}

/// A client's further tries. Each is counted to its op.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Clients {
    pub again: Again,
    /// Tries in all.
    pub most: u8,
    /// The pause before the first further try; each one after it is twice as long, and of all a half is drawn.
    pub pause: Duration,
}

impl Clients {
    /// The pause before the next try, if there is one. No try starts after the op timeout.
    pub fn next(
        &self, repeats: Repeats, tries: u8, ended: Ended, left: Duration, drawn: f64,
    ) -> Option<Duration> {
        let ran = !matches!(ended, Ended::Rejected | Ended::Unsent);
        let safe = !ran || repeats != Repeats::OnceOnly;
        let allowed = match self.again {
            Again::Never => false,
            Again::Safely => safe,
            Again::Carelessly => true,
        };
        if !allowed || tries >= self.most || matches!(ended, Ended::Acked | Ended::Late) {
            return None;
        }
        let whole = self.pause.saturating_mul(1 << u32::from(tries.saturating_sub(1)).min(16));
        let pause = whole.mul_f64(0.5 + 0.5 * drawn);
        (pause < left).then_some(pause)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// Guards against careful clients that repeat what may have run, and tries past the op timeout.
    #[test]
    fn tries_follow_the_model() {
        let next = |again, repeats, tries, ended, left| {
            Clients { again, most: 3, pause: MS * 100 }.next(repeats, tries, ended, left, 1.0)
        };
        let once = Repeats::OnceOnly;
        assert_eq!(next(Again::Safely, once, 1, Ended::Aborted, MS * 900), None);
        assert_eq!(next(Again::Safely, once, 1, Ended::Rejected, MS * 900), Some(MS * 100));
        assert_eq!(next(Again::Safely, Repeats::Retryable, 2, Ended::Aborted, MS * 900), Some(MS * 200));
        assert_eq!(next(Again::Carelessly, once, 1, Ended::Aborted, MS * 900), Some(MS * 100));
        assert_eq!(next(Again::Carelessly, once, 3, Ended::Aborted, MS * 900), None);
        assert_eq!(next(Again::Safely, Repeats::Retryable, 1, Ended::Unsent, MS * 100), None);
        assert_eq!(next(Again::Never, Repeats::Retryable, 1, Ended::Unsent, MS * 900), None);
    }
}

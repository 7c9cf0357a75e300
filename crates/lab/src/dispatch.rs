//! What a proxy does with an op: admission, a pick by the table, and further tries as the supervisor orders.
//! No I/O, no clock.

use crate::clients::Ended;
use crate::frames::Tried;
use std::collections::HashMap;
use std::time::Duration;

/// What a proxy holds for one op type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Ops a second that are let in.
    pub admit: f64,
    /// Further tries: 0 never, 1 after proof that the first never ran, 2 once, 3 twice after any failure.
    pub policy: u64,
}

/// Ops that may come at once under a level, as seconds of it.
const AT_ONCE: f64 = 0.2;

/// One proxy's admission: a bucket for each op type.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    buckets: HashMap<u16, (Duration, f64)>,
}

impl Admission {
    /// Whether an op is let in now.
    pub fn admits(&mut self, now: Duration, kind: u16, admit: f64) -> bool {
        let most = (admit * AT_ONCE).max(1.0);
        let (at, left) = self.buckets.entry(kind).or_insert((now, most));
        *left = (*left + now.saturating_sub(*at).as_secs_f64() * admit).min(most);
        *at = now;
        let admitted = *left >= 1.0;
        if admitted {
            *left -= 1.0;
        }
        admitted
    }
}

/// A server by the weights of its lines; `drawn` from 0 to 1. `not`: one that has just failed, passed by while
/// there is another.
pub fn pick(lines: &[(usize, f64)], not: Option<usize>, drawn: f64) -> Option<usize> {
    let other = lines.iter().any(|(server, part)| Some(*server) != not && *part > 0.0);
    let open = || lines.iter().filter(|(server, part)| *part > 0.0 && !(other && Some(*server) == not));
    let mut left = drawn * open().map(|(_, part)| part).sum::<f64>();
    let mut last = None;
    for (server, part) in open() {
        left -= part;
        last = Some(*server);
        if left < 0.0 {
            break;
        }
    }
    last
}

/// Whether another server is tried, as ordered: no op that must not run twice unless it surely never ran.
pub fn further(policy: u64, repeats: Tried, tries: u8, ended: Ended) -> bool {
    let ran = !matches!(ended, Ended::Rejected | Ended::Unsent);
    if ended == Ended::Acked || (ran && repeats == Tried::OnceOnly) {
        return false;
    }
    match policy {
        0 => false,
        1 => !ran && tries < 2,
        2 => tries < 2,
        _ => tries < 3,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn picks_follow_the_weights_and_pass_by_the_failed() {
        let lines = [(4, 3.0), (7, 1.0), (9, 0.0)];
        let count = |not, of| (0..1000).filter(|i| pick(&lines, not, *i as f64 / 1000.0) == Some(of)).count();
        assert_eq!([count(None, 4), count(None, 7), count(None, 9)], [750, 250, 0]);
        assert_eq!([count(Some(4), 4), count(Some(4), 7)], [0, 1000]);
        assert_eq!(pick(&lines[..1], Some(4), 0.5), Some(4), "the only one");
        assert_eq!((pick(&[], None, 0.5), pick(&lines[2..], None, 0.5)), (None, None));
    }

    /// Guards against a second run of what must not run twice.
    #[test]
    fn further_tries_are_those_ordered() {
        use Ended::{Aborted, Acked, Late, Rejected, Unsent};
        for ended in [Acked, Aborted, Rejected, Unsent, Late] {
            assert!(!further(0, Tried::Retryable, 1, ended));
            let ran = matches!(ended, Acked | Aborted | Late);
            assert!(!(ran && further(3, Tried::OnceOnly, 1, ended)));
        }
        assert!(further(1, Tried::OnceOnly, 1, Unsent) && !further(1, Tried::Retryable, 1, Aborted));
        assert!(further(2, Tried::Retryable, 1, Aborted) && !further(2, Tried::Retryable, 2, Aborted));
        assert!(further(3, Tried::Deduplicated, 2, Aborted) && !further(3, Tried::Deduplicated, 3, Aborted));
    }

    #[test]
    fn admission_keeps_its_rate() {
        let mut admission = Admission::default();
        let ms = Duration::from_millis;
        let admitted = (0..10_000).filter(|i| admission.admits(ms(*i), 0, 50.0)).count();
        assert!((500..=511).contains(&admitted), "{admitted}");
        assert!((0..100).all(|i| admission.admits(ms(20_000 + i), 1, 1e6)));
        assert!(!(0..100).any(|i| admission.admits(ms(30_000 + i), 2, 0.0) && i > 0));
    }
}

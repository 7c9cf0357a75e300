//! Ways back to full weight. Called when a server starts or is cleared of a suspicion, and for each line of
//! a table that is worked out while it is on its way.

use crate::host::ColdTerms;
pub use crate::state::Ease;
use std::time::Duration;

/// A fresh server's ramp starts from this multiple of the least cold share, takes this part of the longest
/// warming, and stays under this while cold: a jam sends it a multiple in seconds. A cleared suspect eases in
/// from this part over this time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampTerms {
    pub fresh: (f64, f64),
    pub cold_most: f64,
    pub cleared: (f64, Duration),
}

impl Default for RampTerms {
    fn default() -> Self {
        RampTerms { fresh: (1.6, 0.75), cold_most: 0.65, cleared: (0.3, Duration::from_secs(4)) }
    }
}

/// The ramp of a server that started at a moment, if it may still be cold.
pub fn fresh(now: Duration, since: Duration, cold: &ColdTerms, terms: &RampTerms) -> Option<Ease> {
    let (from, over) = ((cold.from * terms.fresh.0).min(1.0), cold.over.mul_f64(terms.fresh.1));
    let cold_until = since + cold.over;
    (now < cold_until).then_some(Ease { since, over, from, cold_until })
}

/// The way back of a suspect that is cleared now.
pub fn cleared(now: Duration, terms: &RampTerms) -> Ease {
    Ease { since: now, over: terms.cleared.1, from: terms.cleared.0, cold_until: Duration::ZERO }
}

/// How far a server is on its way: the part of its full weight that it gets.
pub fn at(ease: Option<Ease>, now: Duration, terms: &RampTerms) -> f64 {
    ease.map_or(1.0, |e| {
        let gone = now.saturating_sub(e.since).as_secs_f64() / e.over.as_secs_f64().max(0.001);
        let most = if e.is_cold() { terms.cold_most.max(e.from) } else { 1.0 };
        (e.from + (1.0 - e.from) * gone).min(most)
    })
}

/// How far cold servers are held down: until tries are heard of, and while the line is down; up to how busy.
pub const UNHEARD: f64 = 3.0;
const LINE_DOWN: f64 = 2.0;
const COLD_BUSY: f64 = 0.6;

/// How far cold servers are to be held down: as far as tries outnumber what the fleet can do, and letting go
/// slowly. Those that idle (`said`: how busy they say they are) are held too far: the warm ones jam, which
/// would hold them more.
pub fn hold(held: f64, pressure: f64, failing: f64, line_down: bool, said: Option<f64>) -> f64 {
    let least = if line_down { LINE_DOWN } else { 1.0 };
    let most = (pressure.max(least) / (1.0 - failing).max(0.15)).max(held * 0.7);
    let moved = said.map(|busy| held * (busy / COLD_BUSY).clamp(0.7, 1.4));
    moved.map_or(most, |moved| moved.min(most).max(least))
}

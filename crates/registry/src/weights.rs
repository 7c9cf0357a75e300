//! The arithmetic of weights, which is the first deployments' own (`fallgap::weigh`, `fallgap::ramps`), by the
//! terms of these tables.

use crate::terms::Terms;
use fallgap::ramps::{self, Ease, RampTerms};
use fallgap::weigh::{self, StepTerms};
use std::time::Duration;

/// A factor after one period: a step against the gap between a server's load and the mean, all of it up to the
/// largest step.
pub(crate) fn stepped(factor: f64, load: f64, mean: f64, terms: &Terms) -> f64 {
    let (low, high) = terms.bounds;
    let step = StepTerms { part: 1.0, most: terms.step, ignored: terms.ignored, bounds: [low, high] };
    if load.is_finite() && mean > 0.0 {
        weigh::step(factor, load, mean, &step)
    } else {
        factor.clamp(low, high)
    }
}

/// What a fresh server gets of its base: evenly from the lower bound to all of it.
pub(crate) fn risen(now: Duration, (from, to): (Duration, Duration), terms: &Terms) -> f64 {
    let over = to.saturating_sub(from);
    let ease = Ease { since: from, over, from: terms.bounds.0, cold_until: Duration::ZERO };
    ramps::at((now < to).then_some(ease), now, &RampTerms::default())
}

/// Whether a weight differs enough from the one that was sent.
pub(crate) fn worth_sending(sent: f64, weight: f64, terms: &Terms) -> bool {
    weigh::settle(sent, weight, terms.least_change) != sent
}

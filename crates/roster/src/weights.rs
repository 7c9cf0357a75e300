//! The arithmetic of weights: steps against the load, bounds, and a fresh server's rise.

use crate::terms::Terms;
use std::time::Duration;

/// A factor after one period: a step against the gap between a server's load and the mean.
pub(crate) fn stepped(factor: f64, load: f64, mean: f64, terms: &Terms) -> f64 {
    let gap = load - mean;
    let counts = mean > 0.0 && gap.is_finite() && gap.abs() >= terms.ignored * mean;
    let moved = match counts {
        true if gap > 0.0 => factor * (1.0 - terms.step),
        true => factor * (1.0 + terms.step),
        false => factor,
    };
    moved.clamp(terms.bounds.0, terms.bounds.1)
}

/// What a fresh server gets of its base: evenly from the lower bound to all of it.
pub(crate) fn risen(now: Duration, (from, to): (Duration, Duration), terms: &Terms) -> f64 {
    if now >= to {
        return 1.0;
    }
    let part = now.saturating_sub(from).as_secs_f64() / to.saturating_sub(from).as_secs_f64().max(1e-9);
    let low = terms.bounds.0;
    low + (1.0 - low) * part
}

/// Whether a weight differs enough from the one that was sent.
pub(crate) fn worth_sending(sent: f64, weight: f64, terms: &Terms) -> bool {
    (weight - sent).abs() > terms.least_change * sent
}

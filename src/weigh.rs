//! How a weight follows what its server is heard to bear. Called at each step of the weights, for every server
//! that was heard, and when a line of a table is worked out. The tables are the caller's.

use crate::host::Load;

/// What binds a step: the part of a relative gap taken in one, the largest step, the gap ignored, and the
/// bounds of the factor that a listed weight is multiplied by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTerms {
    pub part: f64,
    pub most: f64,
    pub ignored: f64,
    pub bounds: [f64; 2],
}

impl Default for StepTerms {
    fn default() -> Self {
        StepTerms { part: 0.3, most: 0.3, ignored: 0.1, bounds: [0.4, 2.0] }
    }
}

/// The design's step: the factor moves against the load minus what is common.
pub fn step(factor: f64, load: f64, common: f64, terms: &StepTerms) -> f64 {
    let gap = load / common.max(1e-9) - 1.0;
    let step =
        if gap.abs() < terms.ignored { 0.0 } else { (terms.part * gap).clamp(-terms.most, terms.most) };
    (factor * (1.0 - step)).clamp(terms.bounds[0], terms.bounds[1])
}

/// Load of a server: its last reports, or the time of good answers where none come. Service time alone does
/// not fall with the load: what a server is given, times that, does.
pub fn load(said: &Load, size: f64, factor: f64, good_ms: Option<f64>) -> Option<f64> {
    let given = |ms: f64| factor * ms * (1.0 + said.waiting.unwrap_or(0.0) / 8.0);
    let busy = said.busy.or(said.active.map(|a| a / size));
    busy.or(said.service_ms.map(given)).or(said.waiting.map(|w| w / size)).or(good_ms)
}

/// Ops waiting at a server whose cores are about half busy: tells busyness where only queues are reported.
const HALF_BUSY: f64 = 0.7;

/// How busy a server says it is; where only queues are reported, what such a queue tells.
pub fn busyness(load: &Load) -> Option<f64> {
    load.busy.or(load.waiting.map(|w| w / (w + HALF_BUSY)))
}

/// The value to be sent: the old one unless the new differs by such a part.
pub fn settle(old: f64, new: f64, same: f64) -> f64 {
    if (new / old - 1.0).abs() < same { old } else { new }
}

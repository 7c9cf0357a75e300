//! Further tries. Called whenever the line moves (`eager`) and for each level of a table that is built.

use super::*;

/// Tries are free while more than this part aborts and pressure is under that: else they only add work.
const FREE: (f64, f64) = (0.05, 0.8);

pub(super) fn eager(failing: f64, pressure: f64) -> bool {
    failing > FREE.0 && pressure < FREE.1
}

impl Known {
    pub(super) fn retry(&self, op_type: usize) -> Retry {
        match self.line.is_finite() {
            _ if self.eager && self.set.op_types[op_type].may_run_again() => Retry::Once,
            true => Retry::Never,
            false => Retry::Unsent,
        }
    }
}

impl OpType {
    /// Whether a further try can never take effect twice, whatever became of the first: once-only op types
    /// never, deduplicated ones only if every try falls inside the window.
    pub fn may_run_again(&self) -> bool {
        match self.repeats {
            Repeats::Retryable => true,
            Repeats::Deduplicated { everywhere, window } => everywhere && window >= self.op_timeout,
            Repeats::OnceOnly => false,
        }
    }
}

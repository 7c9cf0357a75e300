//! Recorded ops: read from CSV or JSON lines, put in order, scaled, and written again. Streaming: memory does
//! not grow with the trace.

pub mod export;
pub mod fields;
pub mod order;
pub mod read;
pub mod scale;

use std::time::Duration;

/// One op of a trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// Since the first of the trace, once it is in order; as recorded before that.
    pub at: Duration,
    pub kind: String,
    pub key: u64,
    pub tenant: u32,
    pub zone: u16,
    pub work: Duration,
    /// What names the op in the recording, if something does.
    pub id: Option<String>,
}

/// A row that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {why}")]
pub struct BadRow {
    /// Counted from 1.
    pub line: u64,
    pub why: String,
}

/// What was met on the way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Met {
    pub rows: u64,
    pub bad: u64,
    /// The first few of them.
    pub first_bad: Vec<BadRow>,
    /// Of a name that was said before, and skipped; without a field that names ops none can be told.
    pub doubled: u64,
    /// Out of order, and put where they belong.
    pub moved: u64,
    /// Too late to be put in order: they stand at the time of the row before.
    pub late: u64,
    /// Times that the recording's clock stepped back, and by how much in all.
    pub steps_back: u64,
    pub stepped: Duration,
    /// The longest time without an op.
    pub longest_gap: Duration,
}

/// Bad rows that are named.
const NAMED: usize = 20;

impl Met {
    pub fn bad(&mut self, row: BadRow) {
        self.bad += 1;
        if self.first_bad.len() < NAMED {
            self.first_bad.push(row);
        }
    }
}

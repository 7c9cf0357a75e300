//! What was sent, in the form that is read by default, so that a run replays.

use crate::arrivals::{Kind, Op};
use std::io::Write;

/// Writes ops as CSV: times in nanoseconds since the start.
pub struct Export<W: Write> {
    to: csv::Writer<W>,
}

impl<W: Write> Export<W> {
    /// # Errors
    /// If it cannot be written.
    pub fn start(to: W) -> csv::Result<Export<W>> {
        let mut to = csv::Writer::from_writer(to);
        to.write_record(["at_ns", "kind", "key", "tenant", "zone", "work_ns", "id"])?;
        Ok(Export { to })
    }
    /// # Errors
    /// If it cannot be written.
    pub fn op(&mut self, op: &Op, kinds: &[Kind]) -> csv::Result<()> {
        let kind = kinds.get(usize::from(op.kind)).map_or("", |kind| kind.name.as_str());
        let numbers = [op.key, op.tenant.into(), op.zone.into(), op.work.as_nanos() as u64, op.id];
        let [key, tenant, zone, work, id] = numbers.map(|n| n.to_string());
        self.to.write_record([&op.at.as_nanos().to_string(), kind, &key, &tenant, &zone, &work, &id])
    }
    /// # Errors
    /// If what is left cannot be written.
    pub fn end(mut self) -> std::io::Result<()> {
        self.to.flush()
    }
}

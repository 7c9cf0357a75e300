//! A target looked at: progress, what was sent, and each op's end.

use crate::arrivals::{Kind, Op};
use crate::clients::Ended;
use crate::drive::Target;
use crate::engine::{Room, Sends};
use crate::targets::Inbox;
use crate::trace::export::Export;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

pub type Sent = Export<Box<dyn Write>>;

/// What became of one op.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recorded {
    pub id: u64,
    pub at: Duration,
    pub sent: Option<Duration>,
    pub ended: Ended,
    pub took: Duration,
    pub tries: u8,
}

/// Ops over so far, and those of them that were acked; over all workers.
#[derive(Clone, Default)]
pub struct Progress(pub Arc<(AtomicU64, AtomicU64)>);

pub struct Watched<T> {
    pub inner: T,
    pub progress: Progress,
    /// Each op's end, if they are kept.
    pub records: Option<Vec<Recorded>>,
    /// What was sent goes there, with the op types that it names.
    pub export: Option<(Sent, Vec<Kind>)>,
    /// The export could not be written: it is given up.
    pub export_failed: Option<String>,
}

impl<T> Watched<T> {
    pub fn new(inner: T, progress: Progress) -> Watched<T> {
        Watched { inner, progress, records: None, export: None, export_failed: None }
    }
}

impl<T: Sends> Sends for Watched<T> {
    fn send(&mut self, now: Duration, op: &Op, tries: u8) -> Room {
        let room = self.inner.send(now, op, tries);
        if room == Room::Left
            && tries == 1
            && let Some((export, kinds)) = &mut self.export
            && let Err(e) = export.op(op, kinds)
        {
            (self.export, self.export_failed) = (None, Some(e.to_string()));
        }
        room
    }
    fn over(&mut self, op: &Op, sent: Option<Duration>, ended: Ended, took: Duration, tries: u8) {
        let (over, acked) = &*self.progress.0;
        over.fetch_add(1, Ordering::Relaxed);
        acked.fetch_add(u64::from(ended == Ended::Acked), Ordering::Relaxed);
        if let Some(records) = &mut self.records {
            records.push(Recorded { id: op.id, at: op.at, sent, ended, took, tries });
        }
        self.inner.over(op, sent, ended, took, tries);
    }
}

impl<T: Target> Target for Watched<T> {
    fn inbox(&self) -> &Inbox {
        self.inner.inbox()
    }
    fn flush(&mut self, now: Duration) -> bool {
        self.inner.flush(now)
    }
    fn is_ready(&self) -> bool {
        self.inner.is_ready()
    }
}

//! The thread that waits for the disk. Records come in, numbers that are durable go back; all that waits is
//! written with one sync.

use crate::memory::{Memory, Subject};
use fallgap_keeper::store::Store;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

pub enum Work {
    Record(u64, Vec<u8>),
    /// Records that alone bring back the state as of all records before.
    Checkpoint(Vec<Vec<u8>>),
    /// Something to serve with after a start. Nothing waits for it.
    Remember(Subject, Vec<u8>),
}

pub enum Done {
    Synced(u64),
    WantsCheckpoint,
}

/// After a disk has refused so long passes before the next try.
const AGAIN: Duration = Duration::from_millis(100);
/// Records written with one sync at most.
const BATCH: usize = 512;

pub struct Disk {
    pub work: Sender<Work>,
    pub done: Receiver<Done>,
}

/// Starts the thread. What it reports is announced by `wake`.
///
/// # Errors
/// The thread cannot be started.
pub fn start(store: Store, memory: Memory, wake: Arc<mio::Waker>) -> std::io::Result<Disk> {
    let (work, works) = channel();
    let (dones, done) = channel();
    thread::Builder::new()
        .name("disk".into())
        .stack_size(512 << 10)
        .spawn(move || run(store, memory, &works, &dones, &wake))?;
    Ok(Disk { work, done })
}

fn run(
    mut store: Store, mut memory: Memory, works: &Receiver<Work>, dones: &Sender<Done>, wake: &mio::Waker,
) {
    let mut held: Option<Work> = None;
    while let Some(first) = held.take().or_else(|| works.recv().ok()) {
        let mut records = Vec::new();
        let mut newest = 0;
        let mut next = Some(first);
        while let Some(work) = next.take() {
            match work {
                Work::Record(number, record) => {
                    newest = newest.max(number);
                    records.push(record);
                    if records.len() < BATCH {
                        next = works.try_recv().ok();
                    }
                }
                Work::Checkpoint(snapshot) if records.is_empty() => {
                    if let Err(e) = store.checkpoint(snapshot) {
                        tracing::info!("disk: no checkpoint, {e}");
                    }
                }
                Work::Remember(subject, bytes) if records.is_empty() => {
                    if let Err(e) = memory.write(subject, &bytes) {
                        tracing::info!("disk: {subject:?} is not remembered, {e}");
                    }
                }
                later => held = Some(later),
            }
        }
        if records.is_empty() {
            continue;
        }
        while let Err(e) = store.append(&records) {
            tracing::info!("disk: refuses to write, {e}");
            thread::sleep(AGAIN);
        }
        let wants = store.wants_checkpoint();
        let told =
            dones.send(Done::Synced(newest)).is_ok() && (!wants || dones.send(Done::WantsCheckpoint).is_ok());
        if !told {
            return;
        }
        let _ = wake.wake();
    }
}

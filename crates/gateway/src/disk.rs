//! The thread that waits for the disk. Records come in, numbers that are durable go back; all that waits is
//! written with one sync.

use crate::memory::{Memory, Subject};
use crate::slow_disk::before_sync;
use fallgap_control_state::store::{Store, StoreError};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
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
/// Of refusals in a row so many are told of by one line.
const TOLD: u32 = 50;
/// Records written with one sync at most, and their bytes: far less than the room that logs have.
const BATCH: usize = 512;
const BATCH_BYTES: usize = 1 << 20;

pub struct Disk {
    pub work: Sender<Work>,
    pub done: Receiver<Done>,
    /// The last write failed, and is tried again.
    pub refusing: Arc<AtomicBool>,
}

/// Starts the thread. What it reports is announced by `wake`.
///
/// # Errors
/// The thread cannot be started.
pub fn start(store: Store, memory: Memory, wake: Arc<mio::Waker>) -> std::io::Result<Disk> {
    let (work, works) = channel();
    let (dones, done) = channel();
    let refusing = Arc::new(AtomicBool::new(false));
    let refuses = refusing.clone();
    thread::Builder::new()
        .name("disk".into())
        .stack_size(512 << 10)
        .spawn(move || run(store, memory, &works, &dones, &wake, &refuses))?;
    Ok(Disk { work, done, refusing })
}

fn run(
    mut store: Store, mut memory: Memory, works: &Receiver<Work>, dones: &Sender<Done>, wake: &mio::Waker,
    refuses: &AtomicBool,
) {
    // What came while something before it had to be done first.
    let mut held = VecDeque::new();
    while let Some(first) = held.pop_front().or_else(|| works.recv().ok()) {
        let mut records = Vec::new();
        let (mut newest, mut bytes) = (0, 0);
        let mut next = Some(first);
        while let Some(work) = next.take() {
            match work {
                Work::Record(number, record) => {
                    newest = newest.max(number);
                    records.push(record);
                    bytes += records.last().map_or(0, Vec::len);
                    if records.len() < BATCH && bytes < BATCH_BYTES {
                        next = held.pop_front().or_else(|| works.try_recv().ok());
                    }
                }
                Work::Checkpoint(snapshot) if records.is_empty() => {
                    checkpoint(&mut store, snapshot);
                }
                Work::Remember(subject, bytes) if records.is_empty() => {
                    before_sync();
                    if let Err(e) = memory.write(subject, &bytes) {
                        tracing::info!("disk: {subject:?} is not remembered, {e}");
                    }
                }
                later => held.push_front(later),
            }
        }
        if records.is_empty() {
            continue;
        }
        before_sync();
        let mut refused = 0u32;
        while let Err(e) = store.append(&records) {
            if refused.is_multiple_of(TOLD) {
                tracing::info!("disk: refuses to write, {e}");
            }
            refused += 1;
            refuses.store(true, Relaxed);
            if matches!(e, StoreError::Full) {
                // Only a checkpoint makes room, and the last one may have failed.
                let _ = dones.send(Done::WantsCheckpoint);
                let _ = wake.wake();
                if !make_room(&mut store, works, &mut held) {
                    return;
                }
            } else {
                thread::sleep(AGAIN);
            }
        }
        refuses.store(false, Relaxed);
        let wants = store.wants_checkpoint();
        let told =
            dones.send(Done::Synced(newest)).is_ok() && (!wants || dones.send(Done::WantsCheckpoint).is_ok());
        if !told {
            return;
        }
        let _ = wake.wake();
    }
}

/// Whether it was written. If not, all that was there still counts.
fn checkpoint(store: &mut Store, snapshot: Vec<Vec<u8>>) -> bool {
    before_sync();
    let written = store.checkpoint(snapshot);
    if let Err(e) = &written {
        tracing::info!("disk: no checkpoint, {e}");
    }
    written.is_ok()
}

/// Takes the next checkpoint before what waits for it, or waits a while for one. It holds all records that were sent
/// before it, so also those that found no room. `false`: nobody sends any more.
fn make_room(store: &mut Store, works: &Receiver<Work>, held: &mut VecDeque<Work>) -> bool {
    let at = held.iter().position(|work| matches!(work, Work::Checkpoint(_)));
    let mut found = at.and_then(|at| held.remove(at));
    loop {
        match found.take().map_or_else(|| works.recv_timeout(AGAIN), Ok) {
            Ok(Work::Checkpoint(snapshot)) => {
                if !checkpoint(store, snapshot) {
                    thread::sleep(AGAIN);
                }
                return true;
            }
            Ok(record) => held.push_back(record),
            Err(RecvTimeoutError::Timeout) => return true,
            Err(RecvTimeoutError::Disconnected) => return false,
        }
    }
}

#[cfg(test)]
#[path = "../tests/inner/disk.rs"]
mod tests;

//! Drives an engine by the clock: on one thread, with a target's sockets beside it.

use crate::arrivals::Op;
use crate::engine::{Engine, Sends};
use crate::targets::Inbox;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Timers tell a millisecond late at times: what is due sooner than this is awaited awake.
const AWAKE: Duration = Duration::from_millis(2);
/// How long what could not be written at once may lie.
const BLOCKED: Duration = Duration::from_micros(500);
/// How long a target may take before the first op.
const READY: Duration = Duration::from_secs(3);

/// Sockets that ops go over.
pub trait Target: Sends {
    fn inbox(&self) -> &Inbox;
    /// Writes what can be written at once; tells whether any is left.
    fn flush(&mut self, now: Duration) -> bool;
    fn is_ready(&self) -> bool;
}

/// Waits until a target is ready, or for as long as it may take.
pub async fn ready(target: &impl Target) {
    let since = Instant::now();
    while !target.is_ready() && since.elapsed() < READY {
        // The bell may have rung before anybody listened.
        let _ = timeout(Duration::from_millis(20), target.inbox().bell.notified()).await;
    }
}

/// Plays a schedule to its end, or until `stop` says so. Times are since `start`.
pub async fn drive<I: Iterator<Item = Op>>(
    engine: &mut Engine<I>, target: &mut impl Target, start: Instant, mut stop: watch::Receiver<bool>,
) {
    loop {
        let now = start.elapsed();
        while let Some(heard) = target.inbox().take() {
            engine.ended(now, heard.id, heard.tries, heard.ended, target);
        }
        engine.run(now, target);
        let blocked = target.flush(now);
        if *stop.borrow() {
            return engine.cut(now, target);
        }
        if engine.is_over() {
            return;
        }
        let due = engine.next_due().unwrap_or(now + Duration::from_secs(1));
        let due = if blocked { due.min(now + BLOCKED) } else { due };
        let wait = due.saturating_sub(start.elapsed());
        if wait <= AWAKE {
            tokio::task::yield_now().await;
            continue;
        }
        let bell = target.inbox().bell.clone();
        tokio::select! {
            () = bell.notified() => {}
            () = sleep(wait - AWAKE / 2) => {}
            _ = stop.changed() => {}
        }
    }
}

//! Signals of the platform, as the engine hears of them.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;

#[derive(Clone, Default)]
pub struct Heard {
    /// The settings file has changed.
    pub changed: Arc<AtomicBool>,
    /// The process is to end in order.
    pub end: Arc<AtomicBool>,
}

/// Takes over the signals: from here on none of them ends the process.
///
/// # Errors
/// They cannot be taken over.
pub fn take() -> std::io::Result<Signals> {
    Signals::new([SIGHUP, SIGTERM, SIGINT])
}

/// Announces each signal by `wake`.
///
/// # Errors
/// The thread cannot be started.
pub fn start(mut signals: Signals, heard: Heard, wake: Arc<mio::Waker>) -> std::io::Result<()> {
    thread::Builder::new().name("signals".into()).stack_size(64 << 10).spawn(move || {
        for signal in signals.forever() {
            let flag = if signal == SIGHUP { &heard.changed } else { &heard.end };
            flag.store(true, Relaxed);
            let _ = wake.wake();
        }
    })?;
    Ok(())
}

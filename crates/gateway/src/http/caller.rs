//! Whether somebody still waits for a call: shared by the connection that the call came on and the worker that has it.

use crate::asks::Told;
use std::sync::atomic::{AtomicU8, Ordering::SeqCst};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, PoisonError};

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum CallerState {
    /// No worker has taken it up.
    Waiting,
    /// A worker carries it out.
    Begun,
    /// Its caller closed the connection before it was begun, so it never is.
    Gone,
}

/// The caller of one call.
#[derive(Clone, Default)]
pub struct Caller {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: AtomicU8,
    /// Whom to tell that the caller has gone while a call waits at will, and whether it has.
    left: Mutex<Left>,
}

#[derive(Default)]
struct Left {
    gone: bool,
    tell: Option<SyncSender<Told>>,
}

impl Caller {
    /// A worker takes the call up. `false`: its caller has gone, it must not be begun.
    pub fn begin(&self) -> bool {
        self.turn(CallerState::Begun)
    }

    /// The caller has closed its connection. `true`: the call was not begun, and will not be.
    pub fn left(&self) -> bool {
        let unbegun = self.turn(CallerState::Gone);
        let mut left = self.shared.left.lock().unwrap_or_else(PoisonError::into_inner);
        left.gone = true;
        if let Some(tell) = left.tell.take() {
            // An answer that is there already ends the wait as well.
            let _ = tell.try_send(Told::CallerLeft);
        }
        unbegun
    }

    /// `tell` is told if the caller leaves, at once if it has left.
    pub fn watch(&self, tell: &SyncSender<Told>) {
        let mut left = self.shared.left.lock().unwrap_or_else(PoisonError::into_inner);
        if left.gone {
            let _ = tell.try_send(Told::CallerLeft);
        } else {
            left.tell = Some(tell.clone());
        }
    }

    /// The one change of state: only a call that waits may be begun or given up.
    fn turn(&self, to: CallerState) -> bool {
        let (waiting, to) = (CallerState::Waiting as u8, to as u8);
        self.shared.state.compare_exchange(waiting, to, SeqCst, SeqCst).is_ok()
    }
}

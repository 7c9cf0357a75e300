//! Whether this process was held up for so long that who called before has gone on elsewhere.
//!
//! A process that is frozen and thaws reads what has come to its sockets meanwhile as if it had come now. A caller goes
//! on to another supervisor after a second, and may have what it asked for there, and have given it back: a lock taken
//! here in its name would be held by one that knows nothing of it, and a put that was overwritten and forgotten would
//! come again under a second revision. Such calls are turned away for a moment: nothing was done, and nothing will be.

use fallgap_control_state::Call;
use std::time::Duration;

/// Callers wait for a second: what waited for less than this is still waited for.
const LONG: Duration = Duration::from_millis(600);
/// So long after a hold-up all that waited has been read.
const READ: Duration = Duration::from_millis(150);

#[derive(Debug, Default)]
pub struct HoldUp {
    turned: Duration,
    until: Duration,
}

impl HoldUp {
    /// The engine turns once more; it meant to wait for so long at most since it last did.
    pub fn turns(&mut self, now: Duration, wait: Duration) {
        if now > self.turned + wait + LONG {
            self.until = now + READ;
        }
        self.turned = now;
    }

    /// Whether a call that comes now may be one whose caller has gone on, and would do harm.
    pub fn turns_away(&self, now: Duration, call: &Call) -> bool {
        now < self.until && matches!(call, Call::LockStart { .. } | Call::CellPut { .. })
    }
}

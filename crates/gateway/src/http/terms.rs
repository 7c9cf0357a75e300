//! What binds the server of the control and ready addresses.

use std::time::Duration;

/// All bounds of the server, and what happens at each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Calls carried out at once. Threads are made once and kept.
    pub workers: usize,
    /// Calls that wait for a worker. One beyond is answered 503: nothing was done.
    pub waiting: usize,
    /// A call that waited so long for a worker is answered 503 and not begun: its caller has gone on, or is about to.
    pub patience: Duration,
    /// Open connections. Over it the one at rest for longest is closed for a new one; with none at rest the new one is
    /// closed.
    pub connections: usize,
    /// Bytes of a head; more is refused with 431.
    pub head_bytes: usize,
    /// Bytes of a body; more is refused with 413.
    pub body_bytes: usize,
    /// Bytes held of all calls that come in; over it a call is refused with 503.
    pub held_bytes: usize,
    /// How long a head may take to come, and then how long nothing of its body may come. Then the call is refused with 408.
    pub slow: Duration,
    /// How long a connection is kept at rest.
    pub idle: Duration,
    /// A caller that takes nothing of its answer for so long is dropped.
    pub slow_reader: Duration,
    /// How long a connection is still heard behind its last answer.
    pub linger: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        let s = Duration::from_secs;
        Terms {
            workers: 20,
            waiting: 256,
            patience: Duration::from_millis(900),
            connections: 1024,
            head_bytes: 16 << 10,
            body_bytes: 896 << 10,
            held_bytes: 16 << 20,
            slow: s(3),
            idle: s(60),
            slow_reader: s(5),
            linger: s(1),
        }
    }
}

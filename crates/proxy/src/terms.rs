//! What binds the quay.

use crate::logbook::Pages;
use std::time::Duration;

/// All bounds of the sockets, and what happens at each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub pilot: fallgap_routing::Terms,
    /// How long a view may be routed by that its home has not confirmed.
    pub lease: fallgap_routing::LeaseTerms,
    pub quota: fallgap_routing::QuotaTerms,
    /// An operation's answer is kept for its repeats for so long.
    pub operation_lifetime: Duration,
    /// Connections of clients. Over it the one at rest for longest is closed for a new one; with none at rest, new
    /// ones wait in the kernel's queue.
    pub connections: usize,
    /// Connections to servers, all together. Over it the one at rest for longest is closed for a new one; with none at
    /// rest, ops go where a connection is.
    pub lines: usize,
    /// Bytes of requests and answers held, all together. Over it bodies are refused with 503, and answers count as
    /// broken off.
    pub memory: usize,
    /// Bytes of a large answer that are read ahead of what its client takes.
    pub ahead: usize,
    /// A client that takes nothing of its answer for so long is dropped, once its op's time is over too.
    pub slow_reader: Duration,
    /// How long a connection is still heard behind its last answer.
    pub linger: Duration,
    /// How long after the order to leave connections at rest are closed.
    pub leave: Duration,
    /// How long one that comes later may take until its first request begins.
    pub first: Duration,
    /// How long after the order to leave such ones are served: what begins later might be cut off by the process's end.
    pub serves: Duration,
    /// How long a connection to a server is kept at rest if the server says nothing.
    pub rest: Duration,
    /// The longest that one is kept at rest, whatever the server says.
    pub rest_most: Duration,
    /// How much earlier than the server says.
    pub rest_margin: Duration,
    /// After so long without a sign from the other machine the kernel ends a connection to a server; not before the
    /// time of its request is over.
    pub silence: Duration,
    /// How long a connection that is given up by its try may still come up.
    pub coming: Duration,
    /// How long nothing is accepted when there is no room.
    pub accept_pause: Duration,
    /// Clients are told to come back after so long; up to that much more is drawn.
    pub again: Duration,
    pub again_drawn: Duration,
    /// Ops remembered: half a megabyte, and at a few hundred ops a second the rough ones of minutes.
    pub pages: Pages,
    /// A client that does better at another supervisor is told to come back after so long.
    pub elsewhere: Duration,
    /// What the own link carries.
    pub link_mbps: f64,
}

impl Default for Terms {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Terms {
            pilot: fallgap_routing::Terms::default(),
            lease: fallgap_routing::LeaseTerms::default(),
            quota: fallgap_routing::QuotaTerms::default(),
            operation_lifetime: Duration::from_secs(75),
            connections: 2500,
            lines: 1000,
            memory: 48 << 20,
            ahead: 256 << 10,
            slow_reader: ms(5000),
            linger: ms(1000),
            leave: ms(1500),
            first: ms(1000),
            serves: ms(2600),
            rest: ms(3000),
            rest_most: ms(30_000),
            rest_margin: ms(250),
            silence: ms(2000),
            coming: ms(1000),
            accept_pause: ms(50),
            again: ms(50),
            again_drawn: ms(200),
            pages: Pages { smooth: 1024, rough: 2048, gone: 256 },
            elsewhere: ms(20),
            link_mbps: 1000.0,
        }
    }
}

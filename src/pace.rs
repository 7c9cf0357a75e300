//! How much may leave, and how soon. Called before a build: what cannot leave is not built. The marks, and
//! what is under way, are the caller's.

use crate::host::Channel;
use std::time::Duration;

/// How much a build hurries: by its place here it takes its part of what follows.
pub const ORDINARY: usize = 0;
pub const URGENT: usize = 1;
pub const RULE: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceTerms {
    /// Ordinary lines queued each second, as a part of the channel's rate (the design's start).
    pub cap: f64,
    /// Parts of the backlog that ordinary, urgent and rule-needed builds may fill with unanswered lines.
    pub fill: [f64; 3],
    /// Messages to one receiver that each leaves unused within the limit's span.
    pub spare: [usize; 3],
    /// Seconds of the channel's work that each may have in it: what waits there is old when it leaves, and
    /// all that comes later waits behind it.
    pub ahead: [f64; 3],
    /// After so long without an answer the next build leaves anyway.
    pub answer: Duration,
    /// Span between ordinary builds of a table, if nothing marks it.
    pub rebuild: Duration,
}

impl Default for PaceTerms {
    fn default() -> Self {
        PaceTerms {
            cap: 0.5,
            fill: [0.4, 0.55, 0.85],
            spare: [7, 4, 1],
            ahead: [0.5, 0.75, 1.5],
            answer: Duration::from_secs(3),
            rebuild: Duration::from_secs(5),
        }
    }
}

/// Ordinary lines that may be queued each second.
pub fn rate(channel: &Channel, terms: &PaceTerms) -> f64 {
    channel.lines_per_s * terms.cap
}

/// Lines that may leave now, with so many unanswered and so many perhaps still in the channel; one message
/// always may while the channel is empty.
pub fn room(channel: &Channel, unanswered: f64, in_channel: f64, hurry: usize, terms: &PaceTerms) -> f64 {
    let room = channel.backlog * terms.fill[hurry] - unanswered;
    if in_channel > 0.0 { room.min(channel.lines_per_s * terms.ahead[hurry] - in_channel) } else { room }
}

/// Whether a receiver has had so many messages within the limit's span that this one has to wait.
pub fn spent(channel: &Channel, messages: usize, hurry: usize, terms: &PaceTerms) -> bool {
    channel.messages_most > 0 && messages + terms.spare[hurry] >= channel.messages_most
}

/// How long until a table's next ordinary build; `drawn`: by chance, from 0 to 1. The first waits longer, so
/// that receivers that came together do not stay together.
pub fn rebuild_in(first: bool, drawn: f64, terms: &PaceTerms) -> Duration {
    terms.rebuild.mul_f64(if first { 1.0 + drawn } else { 0.8 + 0.4 * drawn })
}

//! Bounds within which name servers are asked and believed.

use std::time::Duration;

/// Bounds of how long an answer is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetimes {
    pub least: Duration,
    pub most: Duration,
    /// The longest for an answer that there is nothing.
    pub most_negative: Duration,
}

impl Default for Lifetimes {
    fn default() -> Self {
        let s = Duration::from_secs;
        Lifetimes { least: s(5), most: s(3600), most_negative: s(60) }
    }
}

impl Lifetimes {
    /// A lifetime as told, in seconds; one with its highest bit set counts as 0 (RFC 2181, section 8).
    pub fn held(&self, told: u32) -> Duration {
        let told = if told > i32::MAX as u32 { 0 } else { told };
        Duration::from_secs(told.into()).clamp(self.least, self.most.max(self.least))
    }
    /// Of an answer that there is nothing (RFC 2308, section 5); without one it is not kept longer than the
    /// least.
    pub fn negative(&self, told: Option<u32>) -> Duration {
        self.held(told.unwrap_or(0)).min(self.most_negative)
    }
}

/// How name servers are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asking {
    /// How long one try may take.
    pub within: Duration,
    /// Tries of one question, over all name servers.
    pub tries: usize,
    /// Pauses after a look-up that failed: the first, and the longest.
    pub pause: (Duration, Duration),
    /// Most queries sent in any second.
    pub a_second: usize,
    /// Most records of one answer, and most addresses held.
    pub records: usize,
    /// Most queries that wait for an answer at once.
    pub in_flight: usize,
}

impl Default for Asking {
    fn default() -> Self {
        let ms = Duration::from_millis;
        let pause = (ms(500), ms(30_000));
        Asking { within: ms(1000), tries: 4, pause, a_second: 50, records: 20_000, in_flight: 32 }
    }
}

//! Whether a server is to be asked, as one's own requests show it.

use crate::terms::Terms;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Failures in a row so far.
    Well { failures: u32 },
    /// Not asked until then while others are there.
    Avoided { until: Duration },
    /// One request is at it to see.
    Trial { since: Duration },
    /// It said that it is another server: it does not come back under this id.
    Gone,
}

/// What happened with a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthEvent {
    /// A request goes to it.
    Asked,
    /// It answered, well or with its own refusal.
    Answered,
    /// An answer of its own that is a failure, a break, silence.
    Failed,
    /// There was no connection.
    Unreached,
    /// Another server answers at its address.
    Other,
    /// The request's end says nothing of the server.
    Void,
}

/// A trial that ended without a word counts for so long.
const TRIAL: Duration = Duration::from_secs(2);
/// So long after its avoidance a server waits for a repeatable request before an order may be the first there.
const FOR_OTHERS: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
pub struct Health {
    state: HealthState,
    /// How long it is avoided the next time.
    avoid: Duration,
}

impl Health {
    pub fn new(terms: &Terms) -> Self {
        Health { state: HealthState::Well { failures: 0 }, avoid: terms.avoid }
    }

    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Whether it may be asked when others may be, too. What may run once is no trial, as long as some repeatable
    /// work may come to be one.
    pub fn is_open(&self, now: Duration, may_run_again: bool) -> bool {
        let wait = if may_run_again { Duration::ZERO } else { FOR_OTHERS };
        match self.state {
            HealthState::Well { .. } => true,
            HealthState::Avoided { until } => now >= until + wait,
            HealthState::Trial { since } => now >= since + TRIAL + wait,
            HealthState::Gone => false,
        }
    }

    pub fn is_gone(&self) -> bool {
        self.state == HealthState::Gone
    }

    /// The one change of state.
    pub(crate) fn happened(&mut self, now: Duration, event: HealthEvent, terms: &Terms) {
        use {HealthEvent as E, HealthState as S};
        self.state = match (self.state, event) {
            (S::Gone, _) | (_, E::Other) => S::Gone,
            (S::Well { failures }, E::Failed) if failures + 1 < terms.failures => {
                S::Well { failures: failures + 1 }
            }
            (_, E::Failed | E::Unreached) => {
                let until = now + self.avoid;
                self.avoid = (self.avoid * 2).min(terms.avoid_most);
                S::Avoided { until }
            }
            (S::Avoided { until }, E::Asked) if now >= until => S::Trial { since: now },
            (S::Trial { since }, E::Asked) if now >= since + TRIAL => S::Trial { since: now },
            (S::Trial { .. }, E::Void) => S::Avoided { until: now },
            (S::Trial { .. }, E::Answered) => {
                self.avoid = terms.avoid;
                S::Well { failures: 0 }
            }
            (S::Well { .. }, E::Answered) => S::Well { failures: 0 },
            // Said of a request that was sent before it was avoided.
            (state, _) => state,
        };
    }
}

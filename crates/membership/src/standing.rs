//! What a node makes of another one: states, and the one function that changes them.

use crate::card::State;
use crate::terms::Terms;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Standing {
    Here,
    /// Silent towards this node, its watcher, which asks around. `silent`: others meet with silence too.
    Missed {
        until: Duration,
        silent: bool,
    },
    /// Others doubt it, and this node asks it itself.
    Accused {
        until: Duration,
    },
    Doubted {
        until: Duration,
    },
    Gone {
        until: Duration,
    },
    /// Gone for so long that nothing need be held of it.
    Forgotten,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Event {
    /// It was heard itself, or a helper has found it.
    Sign,
    /// It has a card above the one held: what was held against that one is void.
    Renewed,
    /// It, being watched, was not heard for too long.
    Miss,
    /// A helper has found it silent.
    Silent,
    /// Somebody doubts it.
    Accuse,
    /// The state's time is over.
    Over,
    /// This node itself was away for so long.
    Thaw(Duration),
}

impl Standing {
    /// The only change of state there is.
    pub fn next(self, now: Duration, event: Event, terms: &Terms) -> Standing {
        use Standing::*;
        let doubted = Doubted { until: now + terms.gone.saturating_sub(terms.miss + terms.confirm) };
        match (self, event) {
            (Forgotten, _) => Forgotten,
            (_, Event::Renewed) => Here,
            (Here, Event::Miss) => Missed { until: now + terms.confirm, silent: false },
            (Here, Event::Accuse) => Accused { until: now + terms.verify },
            (Missed { until, .. }, Event::Silent | Event::Accuse) => Missed { until, silent: true },
            (Missed { .. } | Accused { .. }, Event::Sign | Event::Thaw(_)) => Here,
            (Missed { .. } | Accused { .. }, Event::Over) => doubted,
            (Doubted { .. }, Event::Over) => Gone { until: now + terms.forget },
            (Gone { .. }, Event::Over) => Forgotten,
            (Doubted { until }, Event::Thaw(away)) => Doubted { until: until + away },
            (Gone { until }, Event::Thaw(away)) => Gone { until: until + away },
            // Only a higher card clears the doubted: a late datagram must not.
            (Doubted { .. } | Gone { .. }, _) => self,
            (Here | Missed { .. } | Accused { .. }, _) => self,
        }
    }

    pub fn state(self) -> State {
        match self {
            Standing::Here | Standing::Missed { .. } | Standing::Accused { .. } => State::Here,
            Standing::Doubted { .. } => State::Doubted,
            Standing::Gone { .. } | Standing::Forgotten => State::Gone,
        }
    }

    /// What is told of it: a doubt that is heard is told on before it is shared, or it would be slow.
    pub fn told(self) -> State {
        match self {
            Standing::Accused { .. } | Standing::Missed { silent: true, .. } => State::Doubted,
            _ => self.state(),
        }
    }

    pub fn until(self) -> Option<Duration> {
        match self {
            Standing::Here | Standing::Forgotten => None,
            Standing::Missed { until, .. }
            | Standing::Accused { until }
            | Standing::Doubted { until }
            | Standing::Gone { until } => Some(until),
        }
    }
}

#[cfg(test)]
#[path = "../tests/inner/standing.rs"]
mod tests;

//! One life of a server, and the states that it goes through.

use fallgap_config::{Beat, Berth};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Where a server's life stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Open,
    /// Silent, or another life beats at its address. A newer beat brings it back.
    Lost,
    /// It said that it will end. Final: nothing more is sent to it in this life.
    Closing,
    /// It has left, or fell silent after it said that it would. Final.
    Gone,
}

/// What can happen to a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Beat,
    BeatClosing,
    Left,
    Silent,
    /// Another life has beaten at its address later.
    Replaced,
}

impl State {
    /// The state after an event: the one place where states change.
    pub fn after(self, event: Event) -> State {
        match (self, event) {
            (State::Gone, _) | (_, Event::Left) => State::Gone,
            (State::Closing, Event::Silent | Event::Replaced) => State::Gone,
            (State::Closing, Event::Beat) | (_, Event::BeatClosing) => State::Closing,
            (State::Open | State::Lost, Event::Beat) => State::Open,
            (State::Open | State::Lost, Event::Silent | Event::Replaced) => State::Lost,
        }
    }

    /// No beat ends that state.
    pub fn is_final(self) -> bool {
        matches!(self, State::Closing | State::Gone)
    }
}

/// What is known of one life.
#[derive(Clone, Debug, PartialEq)]
pub struct Life {
    /// The newest beat.
    pub beat: Beat,
    pub state: State,
    /// When it was last heard, and since when it is in that state.
    pub heard: Duration,
    pub since: Duration,
    /// From where to where its weight rises; the same time twice: it does not.
    pub rise: (Duration, Duration),
    /// The registry's count when it last changed.
    pub(crate) changed: u64,
}

impl Life {
    /// As a table names it.
    pub fn berth(&self) -> Berth {
        let Beat { id, service, address, zone, slots, .. } = &self.beat;
        let (id, service, zone) = (id.clone(), service.clone(), zone.clone());
        Berth { id, service, address: *address, zone, slots: *slots, weight: 1.0 }
    }

    /// Whether a newer beat says something else than how it is.
    pub(crate) fn differs(&self, beat: &Beat) -> bool {
        let held = &self.beat;
        (&held.service, held.address, &held.zone, held.slots)
            != (&beat.service, beat.address, &beat.zone, beat.slots)
    }
}

/// The last beat of a server that says only that it leaves: older than all that it said before, and it closes.
pub fn last_beat(id: Arc<str>) -> Beat {
    let nowhere = std::net::SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0);
    let none: Arc<str> = "".into();
    Beat {
        id,
        address: nowhere,
        service: none.clone(),
        edition: none.clone(),
        zone: none,
        slots: 1,
        closing: true,
        postmark: 0,
        cold: Duration::ZERO,
    }
}

#[cfg(test)]
#[path = "../tests/inner/lives.rs"]
mod tests;

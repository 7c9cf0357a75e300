//! When whom is to be looked at.

use slotmap::new_key_type;
use std::collections::BTreeSet;
use std::time::Duration;

new_key_type! {
    pub(crate) struct ClientKey;
    pub(crate) struct LineKey;
    pub(crate) struct OpKey;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Who {
    Listener,
    Client(ClientKey),
    Line(LineKey),
    Op(OpKey),
}

#[derive(Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Duration, Who)>,
}

impl Timers {
    /// Whoever is looked at says itself whether it is time: a time that moves on needs no change here. `at`: the
    /// time noted for it.
    pub(crate) fn no_later(&mut self, noted: &mut Option<Duration>, at: Duration, who: Who) {
        if noted.is_none_or(|noted| at < noted) {
            self.set(noted, Some(at), who);
        }
    }

    pub(crate) fn set(&mut self, noted: &mut Option<Duration>, at: Option<Duration>, who: Who) {
        if *noted == at {
            return;
        }
        if let Some(old) = noted.take() {
            self.due.remove(&(old, who));
        }
        if let Some(at) = at {
            self.due.insert((at, who));
        }
        *noted = at;
    }

    pub(crate) fn next(&self) -> Option<Duration> {
        self.due.first().map(|(at, _)| *at)
    }

    pub(crate) fn pop(&mut self, now: Duration) -> Option<Who> {
        let first = *self.due.first().filter(|(at, _)| *at <= now)?;
        self.due.remove(&first);
        Some(first.1)
    }
}

//! The verdict on one server for one kind of work: its states, and the one function that changes them.

use crate::terms::Terms;
use crate::words::{Kind, Reason, Stand};
use std::time::Duration;

/// What the evidence says at a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Enough zones see it ill. `room`: it may be barred as well.
    Ill { room: bool },
    /// Its whole service is ill: nobody is barred.
    Common,
    /// It did enough, and hardly failed.
    Sound,
    /// Nothing that would be enough.
    Quiet,
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    kind: Kind,
    stand: Stand,
    since: Duration,
    /// When it was last found ill.
    ill: Duration,
    /// How often it was barred since it was last well for long: each bar lasts twice as long as the one before.
    bars: u32,
    pub(crate) reason: Reason,
}

impl Case {
    pub fn new(now: Duration, kind: Kind) -> Case {
        Case { kind, stand: Stand::Well, since: now, ill: now, bars: 0, reason: Reason::default() }
    }

    /// Goes on where another judge left off.
    pub(crate) fn held(now: Duration, kind: Kind, stand: Stand, reason: Reason) -> Case {
        let bars = u32::from(stand >= Stand::Lightened);
        Case { stand, reason, bars, ..Case::new(now, kind) }
    }

    pub fn stand(&self) -> Stand {
        self.stand
    }

    pub fn since(&self) -> Duration {
        self.since
    }

    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Whether there is nothing to remember.
    pub(crate) fn is_over(&self, now: Duration, terms: &Terms) -> bool {
        self.stand == Stand::Well && (self.bars == 0 || now >= self.since + terms.forgive)
    }

    /// The one change of state. Tells whether the stand is another one.
    pub fn happened(&mut self, now: Duration, event: Event, terms: &Terms) -> bool {
        use {Event as E, Stand as S};
        let lasted = now.saturating_sub(self.since);
        let ill = matches!(event, E::Ill { .. } | E::Common);
        if ill {
            self.ill = now;
        }
        let quiet = now.saturating_sub(self.ill);
        let bar = (terms.bar * (1 << self.bars.clamp(1, 8).saturating_sub(1))).min(terms.bar_most);
        let to = match (self.stand, event) {
            (S::Well, _) if ill => S::Watched,
            (S::Well, _) => S::Well,
            (S::Watched, E::Ill { room: true }) if lasted >= terms.watch => S::Barred,
            (S::Watched, E::Ill { room: false }) if lasted >= terms.watch => S::Lightened,
            (S::Watched, _) if quiet >= terms.unwatch => S::Well,
            (S::Watched, _) => S::Watched,
            (S::Lightened, E::Ill { room: true }) if lasted >= terms.watch => S::Barred,
            (S::Lightened, E::Sound | E::Quiet) if quiet.min(lasted) >= terms.light => S::Well,
            (S::Lightened, _) => S::Lightened,
            (S::Barred | S::Trial, E::Common) => S::Lightened,
            (S::Barred, _) if lasted >= bar => S::Trial,
            (S::Barred, _) => S::Barred,
            // What was sent before the bar still speaks for a moment.
            (S::Trial, E::Ill { .. }) if lasted >= terms.watch => S::Barred,
            (S::Trial, E::Sound) if lasted >= terms.trial => S::Lightened,
            (S::Trial, E::Quiet) if lasted >= terms.trial * 3 => S::Lightened,
            (S::Trial, _) => S::Trial,
        };
        if to == self.stand {
            return false;
        }
        if self.stand == S::Well && lasted >= terms.forgive {
            self.bars = 0;
        }
        self.bars += u32::from(to == S::Barred);
        (self.stand, self.since) = (to, now);
        true
    }
}

//! How long the turns of the event loop take, and what they are spent on.
//!
//! One thread does everything: whatever keeps it busy holds up all the rest. A turn goes from one waiting for events to
//! the next.

use std::fmt;
use std::time::Duration;

/// What the loop is busy with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Connections of clients: accepting, reading, answering.
    Clients,
    /// Connections to servers, and the answers on them.
    Servers,
    /// Streams of other supervisors, and what is said on them.
    Peers,
    /// Datagrams of other supervisors.
    Datagrams,
    /// Callers of the control address, the disk and signals, which come by threads.
    Threads,
    /// Timers, and all that follows from what was heard.
    Timers,
}

impl Activity {
    pub const ALL: [Activity; 6] = [
        Activity::Clients,
        Activity::Servers,
        Activity::Peers,
        Activity::Datagrams,
        Activity::Threads,
        Activity::Timers,
    ];

    /// As figures and the log name it.
    pub fn name(self) -> &'static str {
        match self {
            Activity::Clients => "clients",
            Activity::Servers => "servers",
            Activity::Peers => "peers",
            Activity::Datagrams => "datagrams",
            Activity::Threads => "threads",
            Activity::Timers => "timers",
        }
    }
}

/// A turn that takes so long is logged.
const LOGGED: Duration = Duration::from_millis(250);
/// The longest turn is told of this window and the one before it.
const WINDOW: Duration = Duration::from_secs(60);

/// Times of one turn, or the longest of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnTimes {
    /// From its begin to its end.
    pub whole: Duration,
    /// By [`Activity`].
    on: [Duration; Activity::ALL.len()],
}

impl TurnTimes {
    pub fn on(&self, activity: Activity) -> Duration {
        self.on.get(activity as usize).copied().unwrap_or_default()
    }

    fn add(&mut self, activity: Activity, time: Duration) {
        if let Some(on) = self.on.get_mut(activity as usize) {
            *on += time;
        }
    }

    /// The longer one of each time.
    fn longest(self, other: TurnTimes) -> TurnTimes {
        let mut on = self.on;
        on.iter_mut().zip(other.on).for_each(|(mine, others)| *mine = (*mine).max(others));
        TurnTimes { whole: self.whole.max(other.whole), on }
    }
}

/// "5.213 s, of it servers 5.209 s": what took a thousandth of a second at least.
impl fmt::Display for TurnTimes {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{:.3} s, of it", self.whole.as_secs_f64())?;
        for activity in Activity::ALL {
            let time = self.on(activity);
            if time >= Duration::from_millis(1) {
                write!(out, " {} {:.3} s", activity.name(), time.as_secs_f64())?;
            }
        }
        Ok(())
    }
}

/// Measures turns.
#[derive(Debug, Default)]
pub struct Turns {
    began: Duration,
    /// Up to when time is accounted for.
    accounted: Duration,
    current: TurnTimes,
    /// The longest times in the window that runs, and in the one before it.
    longest: TurnTimes,
    longest_before: TurnTimes,
    window_began: Duration,
}

impl Turns {
    /// Events have come: a turn begins.
    pub fn begin(&mut self, now: Duration) {
        (self.began, self.accounted) = (now, now);
        self.current = TurnTimes::default();
    }

    /// The time since this was last called, or since the turn began, went into `activity`.
    pub fn spent(&mut self, activity: Activity, now: Duration) {
        self.current.add(activity, now.saturating_sub(self.accounted));
        self.accounted = now;
    }

    /// The turn is over. Gives its times if it took too long.
    pub fn end(&mut self, now: Duration) -> Option<TurnTimes> {
        self.current.whole = now.saturating_sub(self.began);
        if now >= self.window_began + WINDOW {
            self.longest_before = std::mem::take(&mut self.longest);
            self.window_began = now;
        }
        self.longest = self.longest.longest(self.current);
        (self.current.whole >= LOGGED).then_some(self.current)
    }

    /// The longest whole turn, and the longest time in one turn for each activity, of the last one to two minutes.
    pub fn longest(&self) -> TurnTimes {
        self.longest.longest(self.longest_before)
    }
}

//! What goes wrong with a server, and when.

use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// Nothing moves on; ops wait, and go on after it.
    Stall,
    /// Ops are taken and never answered, nor run.
    Hang,
    /// That share of ops is aborted at once.
    Aborts(f64),
    /// New connections are read only so much later.
    Handshake(Duration),
    /// Something else uses the machine: its speed is that part.
    Neighbour(f64),
    /// What it holds is completed; new ops are turned away.
    Drain,
    /// The process is gone: connections break, what it held is lost; it is cold when it is back.
    Crash,
    /// The load it tells is that many times the true one.
    FalseLoad(f64),
    /// That share of ops runs, and the connection breaks instead of an answer.
    Resets(f64),
    /// Ops run, and no answer leaves; the connection stays open.
    HalfOpen,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    pub from: Duration,
    pub to: Duration,
    pub what: What,
}

/// All faults of one server, in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(Vec<Fault>);

impl Script {
    pub fn new(mut faults: Vec<Fault>) -> Script {
        faults.sort_by_key(|fault| (fault.from, fault.to));
        Script(faults)
    }
    pub fn faults(&self) -> &[Fault] {
        &self.0
    }
    /// Those that hold at that time.
    pub fn at(&self, now: Duration) -> impl Iterator<Item = What> {
        self.0.iter().filter(move |f| f.from <= now && now < f.to).map(|f| f.what)
    }
    /// The first crash that begins after `from` and not after `to`.
    pub fn crash_between(&self, from: Duration, to: Duration) -> Option<Duration> {
        let crashes = self.0.iter().filter(|f| f.what == What::Crash).map(|f| f.from);
        crashes.filter(|at| *at > from && *at <= to).min()
    }
    /// When the process that runs at that time started, if it was back from a crash.
    pub fn started(&self, now: Duration) -> Option<Duration> {
        self.0.iter().filter(|f| f.what == What::Crash && f.to <= now).map(|f| f.to).max()
    }
    /// The next time after that at which a fault begins or ends.
    pub fn next_turn(&self, now: Duration) -> Option<Duration> {
        let turns = self.0.iter().flat_map(|f| [f.from, f.to]);
        turns.filter(|at| *at > now).min()
    }
}

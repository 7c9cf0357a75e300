//! What befalls the machines: signals, restarts, lost disks, peers that say nonsense, in series that overlap.

use crate::traffic::{self, Shared};
use fallgap_test_support::gateway::{Beating, Landing, Server};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Machines with a disk come first; more than a minority of them is never down at once.
pub const DISKS: usize = 3;
/// A process that is told to end has ended by then: its grace and a little.
const ENDS_WITHIN: Duration = Duration::from_secs(8);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What is to be done to a machine later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Later {
    Continue,
    Start,
    /// It was told to end; then it is started again.
    End,
}

/// The machines, and what they are in.
pub struct Troubles {
    pub fleet: Landing,
    shared: Shared,
    rng: fastrand::Rng,
    later: Vec<(Instant, usize, Later)>,
    servers: Vec<(Server, Beating)>,
    next_server: u64,
    pub told: Vec<String>,
}

impl Troubles {
    pub fn new(fleet: Landing, shared: Shared, servers: u64) -> Troubles {
        let rng = fastrand::Rng::with_seed(shared.seed);
        let all = (0..servers).map(|number| traffic::serve(&shared, format!("i-{number}"))).collect();
        Troubles {
            fleet,
            shared,
            rng,
            later: Vec::new(),
            servers: all,
            next_server: servers,
            told: Vec::new(),
        }
    }

    fn is_down(&self, at: usize) -> bool {
        self.later.iter().any(|(_, machine, _)| *machine == at)
    }

    /// Whether this machine may be troubled now: a majority of the disks stays.
    fn may_fall(&self, at: usize) -> bool {
        let down = (0..DISKS).filter(|disk| self.is_down(*disk)).count();
        !self.is_down(at) && (at >= DISKS || down == 0)
    }

    /// Whether all disks are members that have caught up: only then one may be lost.
    fn disks_are_whole(&self) -> bool {
        let votes =
            |at: usize| self.fleet.machines.get(at).and_then(|machine| machine.metric("keeper")) == Some(1);
        (0..DISKS).all(|at| !self.is_down(at) && votes(at))
    }

    fn note(&mut self, at: usize, what: &str) {
        self.told.push(format!("{what} {at}"));
    }

    /// One trouble, drawn.
    pub fn strike(&mut self) {
        let at = self.rng.usize(..self.fleet.machines.len());
        if self.rng.u8(..6) == 0 {
            return self.replace_server();
        }
        if !self.may_fall(at) {
            return self.nonsense(at);
        }
        let now = Instant::now();
        match self.rng.u8(..8) {
            0..=1 => {
                self.note(at, "STOP");
                self.fleet.machines[at].signal("STOP");
                self.later.push((now + ms(self.rng.u64(150..2500)), at, Later::Continue));
            }
            2..=3 => self.kill(at, false),
            4 if at < DISKS && self.disks_are_whole() => self.kill(at, true),
            5..=6 => {
                self.note(at, "TERM");
                self.fleet.machines[at].signal("TERM");
                self.later.push((now + ENDS_WITHIN, at, Later::End));
            }
            _ => {
                self.note(at, "HUP");
                self.fleet.machines[at].signal("HUP");
            }
        }
    }

    fn kill(&mut self, at: usize, loses_disk: bool) {
        self.note(at, if loses_disk { "KILL and wipe" } else { "KILL" });
        self.fleet.machines[at].signal("KILL");
        if self.fleet.machines[at].wait(ENDS_WITHIN).is_none() {
            self.shared.history.breach(format!("machine {at} does not end by KILL"));
        }
        if loses_disk {
            let _ = std::fs::remove_dir_all(self.fleet.machines[at].data());
        }
        self.later.push((Instant::now() + ms(self.rng.u64(50..1500)), at, Later::Start));
    }

    fn replace_server(&mut self) {
        let at = self.rng.usize(..self.servers.len());
        let id = format!("i-{}", self.next_server);
        self.next_server += 1;
        self.told.push(format!("server {id}"));
        let new = traffic::serve(&self.shared, id);
        self.servers[at] = new;
    }

    /// A peer that is none.
    fn nonsense(&mut self, at: usize) {
        self.note(at, "nonsense to");
        let addresses = [
            self.fleet.machines[at].inner(),
            self.fleet.machines[at].front(),
            self.fleet.machines[at].control(),
        ];
        for address in addresses {
            let bytes: Vec<u8> = (0..600).map(|_| self.rng.u8(..)).collect();
            if let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(200)) {
                let _ = stream.write_all(&bytes);
            }
        }
    }

    /// Does what is due. A process that was told to end is started again as soon as it has.
    pub fn attend(&mut self) {
        let now = Instant::now();
        for (until, at, later) in std::mem::take(&mut self.later) {
            let ended = later == Later::End && self.fleet.machines[at].wait(Duration::ZERO).is_some();
            match later {
                Later::Continue if now >= until => self.fleet.machines[at].signal("CONT"),
                Later::Start if now >= until => self.start(at),
                Later::End if ended => self.start(at),
                Later::End if now >= until => {
                    self.shared.history.breach(format!("machine {at} does not end by TERM"));
                    self.kill(at, false);
                }
                _ => self.later.push((until, at, later)),
            }
        }
        self.see_ends();
    }

    fn start(&mut self, at: usize) {
        if let Err(error) = self.fleet.start(at, false) {
            self.shared.history.breach(format!("machine {at} cannot be started: {error}"));
        }
    }

    /// No process ends that nobody told to.
    fn see_ends(&mut self) {
        for at in 0..self.fleet.machines.len() {
            if !self.is_down(at)
                && let Some(status) = self.fleet.machines[at].wait(Duration::ZERO)
            {
                self.shared.history.breach(format!("machine {at} ended by itself: {status}"));
                self.start(at);
            }
        }
    }

    /// All machines are back, and stay.
    pub fn calm(&mut self) {
        while !self.later.is_empty() {
            self.attend();
            std::thread::yield_now();
        }
    }
}

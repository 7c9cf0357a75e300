//! What the director is told and only keeps: reports, probes, answers, notes. Decisions read it when they run.

use crate::decide::{Director, KEPT};
use crate::host::{Came, Host, Load, Met, Probed};
use std::time::Duration;

impl<H: Host> Director<H> {
    pub fn probe_answered(&mut self, now: Duration, server: &str, result: Probed, load: Option<Load>) {
        self.known.now = now;
        if let Some(s) = self.known.servers.get_mut(server) {
            s.missed = if result == Probed::Failed { s.missed + 1 } else { 0 };
            load.into_iter().for_each(|load| s.loads.add(now, load, KEPT));
        }
    }

    pub fn peer_told(&mut self, now: Duration, peer: u32, demand: Vec<f64>) {
        self.known.now = now;
        self.known.peer_demand.insert(peer, (now, demand));
    }

    /// Tells whether the server is known.
    pub fn server_met(&mut self, now: Duration, server: &str, met: Met, load: Option<Load>) -> bool {
        self.known.now = now;
        let Some(s) = self.known.servers.get_mut(server) else { return false };
        s.met.add(now, met, KEPT);
        load.into_iter().for_each(|load| s.loads.add(now, load, KEPT));
        true
    }

    pub fn ops_came(&mut self, now: Duration, proxy: u32, op_type: usize, came: Came) {
        self.known.now = now;
        if let Some(samples) = self.known.proxies.get_mut(&proxy).and_then(|p| p.came.get_mut(op_type)) {
            self.known.heard = now;
            samples.add(now, came, KEPT);
        }
    }

    /// Frees the update in flight; guards against late or repeated answers, whose stamp is another.
    pub fn update_answered(&mut self, now: Duration, proxy: u32, stamp: u16) {
        let known = &mut self.known;
        known.now = now;
        let answered = known.proxies.get_mut(&proxy).into_iter().flat_map(|p| p.answer(stamp));
        answered.for_each(|(written, lines)| known.out.answered(written, lines));
    }
}

//! Suspicion. Called at each tick, for every ready server.

use super::*;

/// Tries, and aborted share above the healthier servers'; tries missing; probes that fail.
pub(super) const ABORTS: (f64, f64) = (3.0, 0.4);
const MISSED: (f64, u32) = (9.0, 2);
/// Busyness from which on aborts are believed to be overload: that is for the weights and the line.
const SWAMPED: f64 = 0.83;
/// Suspects beyond this part of the listed weight are believed to share a cause that is not theirs.
const PANIC: f64 = 0.7;
/// Aborts that accuse a server while it is cold and full.
pub(super) const COLD: f64 = 0.2;

impl Known {
    /// Guards against servers that abort fast or answer nothing: both look idle to load feedback. Aborts are
    /// held against the healthier servers', so that overload accuses nobody; silence is reports that stop.
    pub(super) fn judge_servers(&mut self, host: &mut impl Host) {
        let now = self.now;
        let window = self.pace.mul_f64(2.0).max(Duration::from_secs(2));
        let quiet = |s: &Server| s.met.last().map(|at| now.saturating_sub(at).as_secs_f64());
        let usual = lowest(self.ready().filter_map(|(_, s)| quiet(s)), 2);
        // Tries that hung end late: only what was heard lately tells whether a suspect answers again.
        let recent = now.saturating_sub(window);
        let healthy = aborted_share(self.ready().map(|(_, s)| s), recent, ABORTS.0, 4);
        let mut verdicts: Vec<(String, bool, String)> = Vec::new();
        for (id, s) in self.ready() {
            let (total, aborted, _) = s.sums(s.suspect.map_or(recent, |at| recent.max(at + window)));
            let share = aborted / total.max(1.0);
            let aborts = || format!("{aborted:.0} of {total:.0} tries aborted");
            let extra = quiet(s).unwrap_or(0.0) - usual;
            let missing = s.tries_a_second() * extra;
            let asked = || self.proxies.values().any(|p| p.bound && p.sent.lines.contains_key(id.as_str()));
            let unwell = total >= ABORTS.0 && share >= healthy + ABORTS.1;
            // At any time in the span of its aborts: these are heard of when what was full has drained.
            let loads = s.loads.since(recent).filter_map(busyness);
            let full = loads.fold(0.0, f64::max) >= SWAMPED;
            // A cold server that is full may be about to fall over: it is taken back at its first aborts.
            let cold_and_aborting = s.cold() && total >= ABORTS.0 && share >= COLD;
            let why = if s.suspect.is_some() {
                (total >= 2.0 && share < 0.3 && s.missed == 0).then(aborts)
            } else if (unwell && !full) || (full && cold_and_aborting) {
                Some(aborts())
            } else if s.missed >= MISSED.1 {
                Some(format!("{} probes failed", s.missed))
            } else if extra > self.pace.as_secs_f64() * 1.2 && missing >= MISSED.0 && asked() {
                Some(format!("silent {extra:.1} s, {missing:.0} tries missing"))
            } else {
                None
            };
            verdicts.extend(why.map(|why| (id.clone(), s.suspect.is_none(), why)));
        }
        for (id, bad, why) in verdicts {
            host.log(&format!("{} {id}: {why}", if bad { "suspect" } else { "cleared" }));
            self.mark_all(bad.then_some(id.as_str()), URGENT);
            let ease = ramps::cleared(now, &RampTerms::default());
            self.servers.entry(id).and_modify(|s| {
                s.suspect = bad.then_some(now);
                s.loads.clear();
                // A cold server stays on its ramp, whatever it was accused of.
                s.ease = if bad || s.cold() { s.ease } else { Some(ease) };
            });
        }
        let all: f64 = self.ready().map(|(_, s)| s.size).sum();
        let bad: f64 = self.ready().filter(|(_, s)| s.suspect.is_some()).map(|(_, s)| s.size).sum();
        if self.panic != (bad > all * PANIC) {
            self.panic = !self.panic;
            let mode = if self.panic { "on" } else { "off" };
            host.log(&format!("panic {mode}: {bad:.1} of {all:.1} weight suspect"));
            self.mark_all(None, ORDINARY);
        }
    }
}

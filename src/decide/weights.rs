//! Steps of the weights. Called once a span of reports; the arithmetic is in `weigh.rs`.

use super::*;

/// Span that a load is taken over.
const FEW: Duration = Duration::from_millis(1500);
/// How long a server that is gone is remembered.
const GONE: Duration = Duration::from_secs(60);

impl Known {
    fn figure(&self, s: &Server, pick: fn(&Load) -> Option<f64>) -> Option<f64> {
        let few = (FEW.as_secs_f64() / self.set.reporting.interval.as_secs_f64().max(0.1)).max(2.0) as usize;
        mean(s.loads.since(self.now.saturating_sub(FRESH)).take(few).filter_map(pick))
    }

    fn load_of(&self, s: &Server) -> Option<f64> {
        let said = Load {
            active: self.figure(s, |l| l.active),
            waiting: self.figure(s, |l| l.waiting),
            busy: self.figure(s, |l| l.busy),
            service_ms: self.figure(s, |l| l.service_ms),
        };
        let (total, aborted, ms) = s.sums(self.now.saturating_sub(FRESH));
        weigh::load(&said, s.size, s.factor, (total > aborted).then(|| ms / (total - aborted)))
    }

    /// How busy a server says it is; where only queues are reported, what such a queue tells.
    pub(super) fn busy_of(&self, s: &Server) -> Option<f64> {
        self.figure(s, busyness)
    }

    /// The design's step: each heard server's weight moves against its load minus the mean. Fresh servers
    /// and suspects are free of it.
    pub(super) fn step_weights(&mut self) {
        let heard = self.ready().filter(|(_, s)| s.suspect.is_none() && s.ease.is_none());
        let loads: Vec<(String, f64)> =
            heard.filter_map(|(id, s)| self.load_of(s).map(|l| (id.clone(), l))).collect();
        let common = mean(loads.iter().map(|l| l.1)).unwrap_or(0.0);
        for (id, load) in loads {
            let moved =
                |s: &mut Server| s.factor = weigh::step(s.factor, load, common, &StepTerms::default());
            self.servers.entry(id).and_modify(moved);
        }
        self.forget(GONE);
        // Steps drift together; a fresh server's weight counts against the others', so their mean stays 1.
        let drift = mean(self.ready().map(|(_, s)| s.factor)).unwrap_or(1.0);
        for s in self.servers.values_mut() {
            s.factor /= drift;
            s.ease = s.ease.filter(|e| e.holds(self.now));
        }
        self.mark_all(None, ORDINARY);
    }
}

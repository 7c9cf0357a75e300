//! The line of worth. Called once a second, by what was heard in the last span of reports; its shares whenever
//! what all tables have in common is worked out, its levels for each table that is built.

use super::*;

/// Room above its demand that an op type above the line gets where levels are rates.
const HEADROOM: f64 = 1.25;
/// Part of the ops let in by a rate meant for all of them where it is less than an op a second.
const LET_IN: f64 = 0.9;
/// Pressure at which the line comes down, that it then aims at, and under which there is clearly room.
const PRESSED: (f64, f64, f64) = (0.96, 0.88, 0.6);
/// The line's least part of the usual, how far it falls at most in a second, how far rates and shares rise.
const LEAST_IN: f64 = 0.43;
const FALL: f64 = 0.6;
const RISE: [f64; 2] = [1.5, 1.2];
/// An order is heard of so much later.
const ORDER_HEARD: Duration = Duration::from_secs(1);

impl Known {
    /// How busy servers are, then how late answers come and how many ops got none.
    fn strain(&self) -> Strain {
        let since = self.now.saturating_sub(self.lately());
        let well: Vec<&Server> =
            self.ready().map(|(_, s)| s).filter(|s| s.suspect.is_none() || self.panic).collect();
        // Cold ones by what they get: idle ones hide no jam. Warm ones by size: full ones' weights were lowered.
        let given = |s: &Server| if s.cold() { self.weight(s).max(0.001) } else { s.size };
        let heard = well.iter().filter_map(|s| self.busy_of(s).map(|b| (b * given(s), given(s))));
        let (work, room) = heard.fold((0.0, 0.001), |a, h| (a.0 + h.0, a.1 + h.1));
        let busy = work / room;
        // What cold servers say of themselves counts while few of their tries abort: some lie.
        let cold = || well.iter().copied().filter(|s| s.cold());
        let (pushed, back, _) = sums(cold(), since);
        let said = mean(cold().filter_map(|s| self.busy_of(s))).filter(|_| back <= (pushed + 1.0) * COLD);
        let (tries, aborted, ms) = sums(well.iter().copied(), since);
        let targets = self.set.op_types.iter().map(|t| t.target_latency.as_secs_f64() * 1e3);
        let late = ms / (tries - aborted).max(1.0) / mean(targets).unwrap_or(0.0);
        let ops = self.proxies.values().flat_map(|p| &p.came).flat_map(|c| c.since(since));
        let (came, lost) = ops.fold((0.0, 0.0), |a, c| (a.0 + c.total, a.1 + c.aborted));
        let let_in = (tries - aborted + lost).max(1.0);
        let answered = ((tries - aborted) / let_in).max(0.3);
        // Swamped servers answer too little to say how busy they are: most abort. Suspects tell nothing.
        let common = aborted_share(well.iter().copied(), since, ABORTS.0, 2);
        let full = if common > 0.15 && late > 0.25 { busy.max(1.0 / (1.0 - common).max(0.3)) } else { busy };
        let pressure = if full < 0.85 { busy } else { full * (1.0 + (late - 0.35).max(0.0)) / answered };
        let (failing, got_in) = (aborted / tries.max(1.0), (let_in / came.max(1.0)).min(1.0));
        Strain { tries, failing, busy, late, answered, got_in, pressure, cold: said }
    }

    /// Moves the line by the pressure measured. What was let in then, not now, made that pressure.
    pub(super) fn move_line(&mut self, host: &mut impl Host) {
        let Strain { tries, failing, busy, late, answered, got_in, pressure, cold } = self.strain();
        // Shares are drawn by each op: what was ordered counts. Of rates, what got in counts.
        let by_rate = self.set.habits.admission == Admission::Rate;
        let all: f64 = self.own_demand().iter().sum();
        let usual: f64 = self.joined().map(|p| p.usual).sum();
        let (whole, least_in) = if by_rate { (all, LEAST_IN * usual) } else { (1.0, LEAST_IN) };
        let before = (self.line, self.eager);
        if tries > 0.0 && (self.line.is_finite() || pressure > PRESSED.0) {
            let line = self.line.min(whole);
            // What was let in when the reports were made: a share cut twice for one jam empties servers.
            // Reports of `lately` each tell of a span before them: of the middle of both together, mostly.
            let told = self.lately() + self.pace;
            let ago = |part: f64| self.now.saturating_sub(ORDER_HEARD + told.mul_f64(part));
            let then = mean(self.past.between(ago(0.75), ago(0.25)).copied()).unwrap_or(whole);
            let (got, rise) = if by_rate { (got_in * all, RISE[0]) } else { (then, RISE[1]) };
            // Small rates let in less than they say: with clear room, what was ordered counts if it is more.
            let part = if pressure < PRESSED.2 { then.max(got) } else { got };
            let aim = (part * PRESSED.1 / pressure.max(0.01)).clamp(line * FALL, line * rise).max(least_in);
            self.line = if aim < whole { aim } else { f64::INFINITY };
        }
        self.past.add(self.now, self.line.min(whole), KEPT);
        if tries > 0.0 {
            self.stress = ramps::hold(self.stress, pressure, failing, self.line.is_finite(), cold);
        }
        self.eager = tries::eager(failing, pressure);
        if before.0.is_finite() != self.line.is_finite() || before.1 != self.eager {
            let tries = if self.eager { "free" } else { "held" };
            let at = if self.line.is_finite() { self.line / whole } else { 1.0 };
            let why = format!("busy {busy:.2}, late {late:.2}, answered {answered:.2}, aborted {failing:.2}");
            host.log(&format!("line at {at:.2}, tries {tries}: {why}"));
        }
        if before != (self.line, self.eager) {
            self.mark_all(None, ORDINARY);
        }
    }

    /// Starting over under an unknown line: until something is heard, rates let in no more than is usual.
    pub(super) fn line_at_join(&mut self, usual: f64, fresh: bool) {
        let unheard = self.servers.values().all(|s| s.met.last().is_none());
        if !fresh && unheard && self.set.habits.admission == Admission::Rate {
            self.line = usual + if self.line.is_finite() { self.line } else { 0.0 };
        }
    }

    /// What a proxy is told to let in of an op type, by the share that the line lets in.
    pub(super) fn level(&self, p: &Proxy, op_type: usize, share: f64) -> f64 {
        match self.set.habits.admission {
            _ if self.line.is_infinite() => f64::INFINITY,
            Admission::Rate => small_rate(share, share.min(1.0) * LET_IN, self.demand(p, op_type)).max(0.05),
            _ if share >= 1.0 => f64::INFINITY,
            _ => share,
        }
    }

    /// Share of each op type let in: by value, the rest under the line, or alike if that loses less.
    pub(super) fn shares(&self) -> Vec<f64> {
        let (types, aims) = (&self.set.op_types, &self.set.aims);
        let n = types.len();
        if self.line.is_infinite() || n == 0 {
            return vec![1.0; n];
        }
        let demand = |t: usize| self.joined().map(|p| self.demand(p, t)).sum::<f64>() + 0.01;
        let demand: Vec<f64> = (0..n).map(demand).collect();
        let all: f64 = demand.iter().sum();
        let share = if self.set.habits.admission == Admission::Rate { self.line / all } else { self.line };
        let value: f64 = (0..n).map(|t| demand[t] * types[t].value).sum::<f64>() / all;
        let mut order: Vec<usize> = (0..n).collect();
        order.sort_by(|a, b| types[*b].value.total_cmp(&types[*a].value));
        let low = order[n - 1];
        let by_value = aims.rest * types[low].value / value + aims.worst_op_type * all / demand[low];
        if by_value >= aims.rest + aims.worst_op_type {
            return vec![share.min(1.0); n];
        }
        let mut shares = vec![1.0; n];
        let mut left = share * all;
        for t in order {
            shares[t] = (left / demand[t]).clamp(0.05, HEADROOM);
            left -= shares[t].min(1.0) * demand[t];
        }
        shares
    }
}

/// The rate that lets in such a part of a demand, beyond a share of it. Measured: an op finds the bucket
/// empty that the one before it has just emptied, so a rate r lets in r / (r + demand); less so, the more
/// ops a second's bucket holds.
fn small_rate(share: f64, part: f64, demand: f64) -> f64 {
    let bucket = (share * demand).max(1.0);
    demand * (share + part * part / (1.0 - part) / bucket.powi(3))
}

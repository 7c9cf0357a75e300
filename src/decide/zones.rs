//! Locality: what demand and room each zone has, and what lines a table is dealt. Called when a build finds
//! that what all tables have in common is old.

use super::*;

/// Part of its weight that a suspect keeps, so that its return is seen.
const TRICKLE: f64 = 0.12;
/// A zone may be this much busier than the fleet before it spills.
const SPILL: f64 = 1.08;
/// Least lines of a table, for each server's worth of ops brought, and of a zone: few bad ones must not matter.
const LINES: (f64, f64, f64) = (12.0, 4.0, 3.0);
/// Bounds of what evens out how unequally servers were dealt, and rounds of working it out.
const LIFT: (f64, f64, usize) = (0.25, 4.0, 4);
/// Ops counted, if heard of at all lately, before a proxy's own demand is believed.
const COUNTED: f64 = 12.0;

impl Known {
    /// Ops a second of one op type that reach a proxy, client repeats and rejected ones included. A span in
    /// which none came is not reported, so time passes from the oldest sample used; few ops say little.
    pub(super) fn demand(&self, p: &Proxy, op_type: usize) -> f64 {
        let (n, over) = p.counted(op_type, self.now.saturating_sub(FRESH), self.heard, COUNTED);
        (n + p.usual / self.set.op_types.len() as f64) / (over + 1.0)
    }

    fn brings(&self, p: &Proxy) -> f64 {
        (0..self.set.op_types.len()).map(|t| self.demand(p, t)).sum()
    }

    /// Ops a second by zone: all that was told of lately, over that time.
    pub(super) fn own_demand(&self) -> Vec<f64> {
        let mut demand = vec![0.0; self.zones];
        let (window, recent) = (self.lately(), self.now.saturating_sub(FRESH));
        let since = (self.heard + self.pace / 2).saturating_sub(window);
        for p in self.joined() {
            // One just back brings its usual: else its zone spills nothing, all onto one cold server.
            let unheard = p.came.iter().all(|c| c.last() < Some(recent));
            demand[p.zone] += if unheard { p.usual } else { p.told(since) / window.as_secs_f64() }.max(0.01);
        }
        demand
    }

    /// A cold server's work counts every try, also those turned away: it gets less as they are more.
    pub(super) fn weight(&self, s: &Server) -> f64 {
        self.room(s) / if s.cold() { self.stress } else { 1.0 }
    }

    fn room(&self, s: &Server) -> f64 {
        let held = if s.suspect.is_some() && !self.panic { TRICKLE } else { 1.0 };
        s.size * s.factor * ramps::at(s.ease, self.now, &RampTerms::default()) * held
    }

    /// How a line's weight counts for proxies of one zone, by the server's zone: 1 in the own zone, less
    /// elsewhere. A zone spills only what it cannot carry at (a little over) the fleet's common load.
    fn reach(&self, zone: usize, room: &[f64], demand: &[f64]) -> Vec<f64> {
        if room[zone] <= 0.0 {
            return vec![1.0; self.zones];
        }
        let mut part: Vec<f64> = (0..self.zones).map(|z| if z == zone { 1.0 } else { 0.0 }).collect();
        let common = demand.iter().sum::<f64>() / room.iter().sum::<f64>();
        let excess = demand[zone] - common * SPILL * room[zone];
        let free: Vec<f64> = demand.iter().zip(room).map(|(d, r)| (common * r - d).max(0.0)).collect();
        let all_free: f64 = free.iter().sum();
        if excess > 0.0 && all_free > 0.0 && !self.set.op_types.iter().any(|t| t.own_zone) {
            let kept = (demand[zone] - excess) / room[zone];
            for y in (0..self.zones).filter(|y| *y != zone && room[*y] > 0.0) {
                part[y] = (excess * free[y] / all_free / room[y] / kept * 20.0).round() / 20.0;
            }
        }
        part
    }

    pub(super) fn plan(&mut self) -> Plan {
        let mut demand = self.own_demand();
        let all = demand.iter().sum::<f64>() * (self.set.peers.others + 1) as f64;
        let (lines, room) = self.lines(|s| self.weight(s));
        let heard = self.add_peers(&mut demand, FRESH * 2);
        if heard < self.set.peers.others && self.set.peers.by_zone {
            // Other zones' demand is unknown: each counts as our busiest. By chance, ours stand for all.
            let busiest = demand.iter().zip(&room).map(|(d, r)| d / r.max(0.001)).fold(0.0, f64::max);
            demand = room.iter().map(|r| busiest * r).collect();
        }
        let reach = (0..self.zones).map(|zone| self.reach(zone, &room, &demand)).collect();
        let (dealt, per_server) = (Default::default(), all / lines.iter().flatten().count().max(1) as f64);
        let mut plan = Plan { at: self.now, lines, dealt, room, reach, per_server, shares: self.shares() };
        self.proxies_where(|p| p.joined).into_iter().for_each(|id| self.deal(&mut plan, id));
        // Tables of some servers fill them unevenly: each is lifted towards its part of what all bring.
        (0..LIFT.2).for_each(|_| plan.lift(LIFT.0, LIFT.1));
        plan
    }

    /// Deals lines to a proxy: doubled rather than raised by one, so that what is brought may waver and no line
    /// changes.
    pub(super) fn deal(&mut self, plan: &mut Plan, id: u32) {
        let Some((zone, brings)) = self.proxies.get(&id).map(|p| (p.zone, self.brings(p))) else { return };
        let times = LINES.1 * brings / plan.per_server.max(1e-9) / LINES.0;
        let wanted = LINES.0 * times.max(1.0).log2().ceil().min(16.0).exp2();
        let dealt = plan.deal(&mut self.ranks, id, zone, brings, wanted, LINES.2);
        plan.dealt.insert(id, dealt);
    }
}

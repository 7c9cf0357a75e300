//! Evidence on one kind of work at one server: what nodes of each zone saw, halved every so often.

use crate::NodeId;
use crate::terms::Terms;
use crate::words::{Count, Reason, ZoneTally};
use std::sync::Arc;
use std::time::Duration;

/// Nodes remembered of one zone that saw a failure: as many as can matter.
const WITNESSES: usize = 4;
/// The sums, by their half lives.
const QUICK: usize = 0;
const LONG: usize = 1;

#[derive(Clone, Debug)]
struct Zone {
    name: Arc<str>,
    runs: [f64; 2],
    failed: [f64; 2],
    by: [Option<(NodeId, Duration)>; WITNESSES],
}

/// At a home. Of a fixed size; without news it fades.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    at: Duration,
    zones: Vec<Zone>,
}

impl Tally {
    fn fade(&mut self, now: Duration, terms: &Terms) {
        let span = now.saturating_sub(self.at).as_secs_f64();
        let parts = terms.half_lives.map(|half| 0.5f64.powf(span / half.as_secs_f64()));
        for zone in &mut self.zones {
            for (at, part) in parts.into_iter().enumerate() {
                zone.runs[at] *= part;
                zone.failed[at] *= part;
            }
        }
        self.zones.retain(|zone| zone.runs[LONG] >= 0.05);
        self.at = now;
    }

    /// A node of a zone tells of the time since it last did.
    pub(crate) fn add(
        &mut self, now: Duration, from: (NodeId, &Arc<str>), count: Count, span: Duration, terms: &Terms,
    ) {
        self.fade(now, terms);
        let (node, name) = from;
        let place = self.zones.iter().position(|zone| zone.name == *name);
        if place.is_none() && self.zones.len() >= terms.tally_zones {
            return;
        }
        let place = place.unwrap_or_else(|| {
            self.zones.push(Zone {
                name: name.clone(),
                runs: [0.0; 2],
                failed: [0.0; 2],
                by: [None; WITNESSES],
            });
            self.zones.len() - 1
        });
        let Some(zone) = self.zones.get_mut(place) else { return };
        let most = (terms.runs_a_second * span.as_secs_f64().clamp(0.2, 1.0)).max(1.0);
        let runs = f64::from(count.runs);
        let part = if runs > most { most / runs } else { 1.0 };
        zone.runs.iter_mut().for_each(|sum| *sum += runs * part);
        let failed = f64::from(count.failed.min(count.runs)) * part;
        zone.failed.iter_mut().for_each(|sum| *sum += failed);
        if count.failed > 0 {
            let held = zone.by.iter().position(|by| by.is_some_and(|(by, _)| by == node));
            let oldest = || zone.by.iter().enumerate().min_by_key(|(_, by)| by.map(|(_, at)| at));
            let place = held.or_else(|| oldest().map(|(place, _)| place));
            if let Some(by) = place.and_then(|place| zone.by.get_mut(place)) {
                *by = Some((node, now));
            }
        }
    }

    /// Runs and failures of all zones, by the long sum.
    pub(crate) fn sum(&mut self, now: Duration, terms: &Terms) -> (f64, f64) {
        self.fade(now, terms);
        self.zones.iter().fold((0.0, 0.0), |sum, zone| (sum.0 + zone.runs[LONG], sum.1 + zone.failed[LONG]))
    }

    pub(crate) fn told(&mut self, now: Duration, terms: &Terms) -> Vec<ZoneTally> {
        self.fade(now, terms);
        let fresh = |by: &&Option<(NodeId, Duration)>| {
            by.is_some_and(|(_, at)| now < at + terms.half_lives[LONG] * 2)
        };
        let told = |zone: &Zone| ZoneTally {
            zone: zone.name.clone(),
            runs: zone.runs.map(|sum| sum as f32),
            failed: zone.failed.map(|sum| sum as f32),
            nodes: zone.by.iter().filter(fresh).count() as u8,
        };
        self.zones.iter().map(told).collect()
    }
}

/// What all homes' evidence on one kind of work comes to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Finding {
    /// Enough zones and nodes see it ill.
    pub ill: bool,
    /// It did enough, and hardly failed.
    pub sound: bool,
    /// It fails a good part, by whoever sees it: too little for a verdict, and enough to ask whether all do.
    pub ailing: bool,
    pub share: f64,
    pub reason: Reason,
}

/// What the tallies of all homes come to: ill by the short sum or by the long one, the rest by the long one.
pub(crate) fn weigh<'a>(tallies: impl Iterator<Item = &'a ZoneTally> + Clone, terms: &Terms) -> Finding {
    let quick = weigh_sum(tallies.clone(), QUICK, terms);
    let long = weigh_sum(tallies, LONG, terms);
    if quick.ill && !long.ill { Finding { sound: false, ailing: true, ..quick } } else { long }
}

/// Only zones that agree condemn, and most of those that have a say.
fn weigh_sum<'a>(tallies: impl Iterator<Item = &'a ZoneTally>, sum: usize, terms: &Terms) -> Finding {
    let mut zones: Vec<(&str, f64, f64, u32)> = Vec::new();
    for tally in tallies {
        let (runs, failed) = (f64::from(tally.runs[sum]), f64::from(tally.failed[sum]));
        if !(runs.is_finite() && failed.is_finite()) || runs < 0.0 || failed < 0.0 {
            continue;
        }
        let place = zones.iter().position(|zone| *zone.0 == *tally.zone);
        let full = zones.len() >= terms.tally_zones;
        match place.and_then(|place| zones.get_mut(place)) {
            Some(zone) => {
                zone.1 += runs;
                zone.2 += failed.min(runs);
                zone.3 += u32::from(tally.nodes);
            }
            None if !full => {
                zones.push((&tally.zone, runs, failed.min(runs), tally.nodes.into()));
            }
            None => {}
        }
    }
    let says_ill =
        |zone: &&(&str, f64, f64, u32)| zone.2 >= terms.zone_failed && zone.2 >= terms.zone_share * zone.1;
    let has_say = |zone: &&(&str, f64, f64, u32)| zone.1 >= terms.zone_runs || says_ill(zone);
    let ill = zones.iter().filter(says_ill).count();
    let say = zones.iter().filter(has_say).count();
    let nodes: u32 = zones.iter().filter(|zone| zone.2 >= 0.2).map(|zone| zone.3).sum();
    let runs: f64 = zones.iter().map(|zone| zone.1).sum();
    let failed: f64 = zones.iter().map(|zone| zone.2).sum();
    let share = if runs > 0.0 { failed / runs } else { 0.0 };
    let reason = Reason {
        percent: (share * 100.0).round().clamp(0.0, 100.0) as u8,
        zones: ill.min(255) as u8,
        nodes: nodes.min(255) as u8,
    };
    Finding {
        ill: ill >= terms.zones
            && nodes as usize >= terms.nodes
            && ill * 2 > say
            && failed >= terms.failed
            && share >= terms.share,
        ailing: failed >= terms.zone_failed && share >= terms.zone_share,
        sound: runs >= terms.sound_runs && share <= terms.sound_share,
        share,
        reason,
    }
}

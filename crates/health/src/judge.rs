//! The judge of a service: one keeper, that its name's hash picks. It weighs what all homes tell, and decides.

use crate::NodeId;
use crate::Roll;
use crate::book::Book;
use crate::case::{Case, Event};
use crate::tally::{Finding, weigh};
use crate::terms::Terms;
use crate::words::{KINDS, Kind, Sight, Stand, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The server's cases, by kind, and what was last said of it.
struct Docket {
    cases: [Case; 3],
    number: u32,
    decided: Duration,
    /// When what was loosened takes hold.
    eases: Duration,
    /// What the evidence came to, and when it is weighed again.
    found: [Finding; 3],
    weigh: Duration,
    /// The newest evidence of each home.
    sights: BTreeMap<NodeId, (Duration, Sight)>,
}

/// A server in its service.
struct Place {
    server: Arc<str>,
    service: Arc<str>,
    slots: f64,
}

/// Bounded by [`Terms::cases`].
#[derive(Default)]
pub(crate) struct Judge {
    dockets: BTreeMap<Arc<str>, Docket>,
}

impl Judge {
    /// A home tells what it saw of a server of which this keeper is the judge.
    pub(crate) fn told(&mut self, now: Duration, home: NodeId, sight: Sight, book: &Book, terms: &Terms) {
        if let Some(docket) = self.docket(now, &sight.server, book, terms) {
            docket.sights.insert(home, (now, sight));
            docket.weigh = now;
        }
    }

    /// A server's docket; a new one goes on from what is known of the server.
    fn docket(
        &mut self, now: Duration, server: &Arc<str>, book: &Book, terms: &Terms,
    ) -> Option<&mut Docket> {
        if self.dockets.len() >= terms.cases && !self.dockets.contains_key(server) {
            return None;
        }
        let new = || {
            let held = book.verdict(now, server);
            let case = |kind: Kind| match &held {
                Some(held) => Case::held(now, kind, held.stands[kind as usize], held.reasons[kind as usize]),
                None => Case::new(now, kind),
            };
            Docket {
                cases: KINDS.map(case),
                found: [Finding::default(); 3],
                weigh: now,
                number: held.as_ref().map_or(0, |held| held.number),
                decided: now,
                eases: now,
                sights: BTreeMap::new(),
            }
        };
        Some(self.dockets.entry(server.clone()).or_insert_with(new))
    }

    /// Looks at all cases. Gives the verdicts that changed. `judged`: whether this keeper is a service's judge.
    pub(crate) fn look(
        &mut self, now: Duration, roll: &dyn Roll, judged: impl Fn(&str) -> bool, book: &Book, terms: &Terms,
    ) -> Vec<Verdict> {
        let here = |server: &str| roll.berth(server).filter(|(service, _)| judged(service));
        // Whoever judged before may be gone: what it decided is gone on with.
        let left = book.verdicts(now).filter(|verdict| !verdict.is_well() && here(&verdict.server).is_some());
        left.for_each(|verdict| _ = self.docket(now, &verdict.server, book, terms));
        let mut places: Vec<Place> = Vec::new();
        self.dockets.retain(|server, docket| {
            let Some((service, slots)) = here(server) else { return false };
            docket.sights.retain(|_, (at, _)| now < *at + terms.fresh);
            if now >= docket.weigh {
                docket.weigh = now + terms.reweigh;
                docket.found = [0, 1, 2].map(|kind| docket.finding(kind, terms));
            }
            let over = docket.cases.iter().all(|case| case.is_over(now, terms)) && docket.sights.is_empty();
            if !over {
                places.push(Place { server: server.clone(), service, slots: slots.into() });
            }
            !over
        });
        let services: BTreeSet<Arc<str>> = places.iter().map(|place| place.service.clone()).collect();
        let mut changed: BTreeMap<Arc<str>, [Stand; 3]> = BTreeMap::new();
        for service in services {
            let strength = f64::from(roll.strength(&service).max(1));
            let of = |place: &&Place| place.service == service;
            let places: Vec<&Place> = places.iter().filter(of).collect();
            KINDS.into_iter().for_each(|kind| self.judge(now, kind, &places, strength, &mut changed, terms));
        }
        let changed = changed.into_iter();
        changed.filter_map(|(server, before)| self.decide(now, server, before, book, terms)).collect()
    }

    /// All cases of one service and kind of work.
    fn judge(
        &mut self, now: Duration, kind: Kind, places: &[&Place], strength: f64,
        changed: &mut BTreeMap<Arc<str>, [Stand; 3]>, terms: &Terms,
    ) {
        let at = kind as usize;
        let (mut ill, mut out) = (0.0, 0.0);
        let mut order: Vec<(f64, &Place)> = Vec::new();
        for place in places {
            let Some(docket) = self.dockets.get(&place.server) else { continue };
            let kept = docket.cases[at].stand() >= Stand::Trial;
            out += if kept { place.slots } else { 0.0 };
            ill += if kept || docket.found[at].ailing { place.slots } else { 0.0 };
            order.push((docket.found[at].share, place));
        }
        // The worst first: there may not be room for all.
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        let common = ill > terms.common_part * strength;
        for (_, place) in order {
            let Some(docket) = self.dockets.get_mut(&place.server) else { continue };
            let before = docket.cases.map(|case| case.stand());
            let found = docket.found[at];
            let kept = before[at] >= Stand::Trial;
            let room = out + if kept { 0.0 } else { place.slots } <= terms.barred_part * strength;
            let event = match found {
                // A service that is ill as a whole only lets go.
                _ if common && (found.ill || kept) => Event::Common,
                Finding { ill: true, .. } => Event::Ill { room },
                Finding { sound: true, .. } => Event::Sound,
                _ => Event::Quiet,
            };
            let case = &mut docket.cases[at];
            if !case.happened(now, event, terms) {
                continue;
            }
            if found.ill {
                case.reason = found.reason;
            }
            match (kept, case.stand() >= Stand::Trial) {
                (false, true) => out += place.slots,
                (true, false) => out -= place.slots,
                _ => {}
            }
            if case.stand() == Stand::Trial {
                // Only what is seen from here on speaks.
                docket.sights.clear();
                docket.found[at] = Finding::default();
            }
            changed.entry(place.server.clone()).or_insert(before);
        }
    }

    fn decide(
        &mut self, now: Duration, server: Arc<str>, before: [Stand; 3], book: &Book, terms: &Terms,
    ) -> Option<Verdict> {
        let docket = self.dockets.get_mut(&server)?;
        docket.number = docket.number.max(book.number(&server)) + 1;
        docket.decided = now;
        let looser = docket.cases.iter().zip(before).any(|(case, before)| case.stand() < before);
        docket.eases = if looser { now + terms.together } else { now };
        Some(docket.verdict(now, server))
    }

    /// All that is to be told again: what is not simply well, and what became so of late.
    pub(crate) fn renewals(&self, now: Duration, terms: &Terms) -> Vec<Verdict> {
        let told = |docket: &Docket| {
            docket.number > 0
                && (docket.cases.iter().any(|case| case.stand() != Stand::Well)
                    || now < docket.decided + terms.told_well)
        };
        let held = self.dockets.iter().filter(|(_, docket)| told(docket));
        held.map(|(server, docket)| docket.verdict(now, server.clone())).collect()
    }

    /// What was decided a moment ago, for those that a word of it did not reach.
    pub(crate) fn again(&self, now: Duration, terms: &Terms) -> Vec<Verdict> {
        let held = self.dockets.iter().filter(|(_, d)| d.number > 0 && now < d.decided + terms.look * 3);
        held.map(|(server, docket)| docket.verdict(now, server.clone())).collect()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.dockets.is_empty()
    }
}

impl Docket {
    fn finding(&self, kind: usize, terms: &Terms) -> Finding {
        let of = |kind: usize| {
            let sights = self.sights.values().filter_map(move |(_, sight)| sight.kinds.get(kind));
            weigh(sights.flatten(), terms)
        };
        let mut own = of(kind);
        // All kinds of work together see more than one alone, where this one does not say otherwise.
        let all = weigh(self.sights.values().flat_map(|(_, sight)| sight.kinds.iter().flatten()), terms);
        if !own.ill && all.ill && own.share >= terms.zone_share {
            own = all;
        }
        own.ailing |= all.ailing && !own.sound;
        // No order goes to a server on trial: what may run again speaks for it.
        let Some(case) = self.cases.get(kind) else { return own };
        if case.kind() == Kind::Order && case.stand() == Stand::Trial && !own.ill {
            let others = [of(0), of(2)];
            return Finding { sound: others.iter().any(|other| other.sound), ..own };
        }
        own
    }

    fn verdict(&self, now: Duration, server: Arc<str>) -> Verdict {
        Verdict {
            server,
            number: self.number,
            stands: self.cases.each_ref().map(Case::stand),
            reasons: self.cases.each_ref().map(|case| case.reason),
            age_ms: now.saturating_sub(self.decided).as_millis().min(u32::MAX.into()) as u32,
            eases_in_ms: self.eases.saturating_sub(now).as_millis().min(u16::MAX.into()) as u16,
        }
    }
}

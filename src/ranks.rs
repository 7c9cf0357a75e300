//! Which servers of a zone a proxy draws first, kept as servers come and go. A whole draw looks at every
//! server of the zone, for every proxy; so each proxy's first few are remembered, and only what came or went
//! since is looked at again. Nothing here decides anything: how many are wanted is the caller's.

use std::collections::VecDeque;

/// What a server's draws depend on.
#[derive(Clone, Copy)]
struct Entrant {
    key: u64,
    size: f64,
}

#[derive(Default)]
struct Zone {
    members: Vec<usize>,
    /// The latest that entered or left, and how many more there were before.
    changes: VecDeque<(usize, bool)>,
    forgotten: usize,
}

impl Zone {
    fn note(&mut self, slot: usize, entered: bool) {
        self.changes.push_back((slot, entered));
        // Whoever has missed more than that draws anew, for about the same cost.
        while self.changes.len() > self.members.len().max(16) {
            self.changes.pop_front();
            self.forgotten += 1;
        }
    }
}

/// The first of one zone by one proxy's draws, in order: all of its members up to the last one here.
#[derive(Clone, Default)]
struct Drawn {
    first: Vec<(f64, usize)>,
    /// Whether that is every member, how many are kept at most, and how many changes are in it.
    all: bool,
    kept: usize,
    changes: usize,
}

#[derive(Default)]
pub struct Ranks {
    /// By slot; a slot is given again once its server is forgotten.
    entrants: Vec<Option<Entrant>>,
    free: Vec<usize>,
    zones: Vec<Zone>,
    /// By proxy, then zone.
    drawn: Vec<Vec<Drawn>>,
}

impl Ranks {
    /// A slot for a server, which takes part in no draw yet.
    pub fn slot(&mut self) -> usize {
        self.free.pop().unwrap_or_else(|| {
            self.entrants.push(None);
            self.entrants.len() - 1
        })
    }
    /// Gives a slot back whose server has left.
    pub fn forget(&mut self, slot: usize) {
        self.free.push(slot);
    }
    pub fn slots(&self) -> usize {
        self.entrants.len()
    }
    pub fn enter(&mut self, slot: usize, zone: usize, key: u64, size: f64) {
        if self.zones.len() <= zone {
            self.zones.resize_with(zone + 1, Zone::default);
        }
        self.entrants[slot] = Some(Entrant { key, size });
        self.zones[zone].members.push(slot);
        self.zones[zone].note(slot, true);
    }
    pub fn leave(&mut self, slot: usize, zone: usize) {
        let Some(zone) = self.zones.get_mut(zone) else { return };
        if let Some(at) = zone.members.iter().position(|m| *m == slot) {
            zone.members.swap_remove(at);
            self.entrants[slot] = None;
            zone.note(slot, false);
        }
    }

    /// The slots that a proxy draws first in a zone: so many, or all if there are fewer.
    pub fn first(&mut self, proxy: u32, zone: usize, most: usize) -> impl Iterator<Item = usize> {
        let proxy_at = proxy as usize;
        if self.drawn.len() <= proxy_at {
            self.drawn.resize(proxy_at + 1, Vec::new());
        }
        let Some(members) = self.zones.get(zone) else { return [].iter().take(0).map(slot_of) };
        let drawn = &mut self.drawn[proxy_at];
        if drawn.len() <= zone {
            drawn.resize(zone + 1, Drawn::default());
        }
        let drawn = &mut drawn[zone];
        if drawn.kept == 0 || drawn.changes < members.forgotten {
            drawn.anew(proxy, members, &self.entrants, most);
        } else {
            drawn.catch_up(proxy, members, &self.entrants);
            if !drawn.all && drawn.first.len() < most {
                drawn.anew(proxy, members, &self.entrants, most);
            }
        }
        drawn.first.iter().take(most).map(slot_of)
    }
}

fn slot_of((_, slot): &(f64, usize)) -> usize {
    *slot
}

impl Drawn {
    fn anew(&mut self, proxy: u32, zone: &Zone, entrants: &[Option<Entrant>], most: usize) {
        // Some to spare, so that one that leaves asks for no new draw.
        self.kept = most + most / 2 + 4;
        let drawn = zone.members.iter().filter_map(|m| entrants[*m].map(|e| (e.draw(proxy), *m)));
        self.first = drawn.collect();
        self.all = self.first.len() <= self.kept;
        if !self.all {
            self.first.select_nth_unstable_by(self.kept, |a, b| a.0.total_cmp(&b.0));
            self.first.truncate(self.kept);
        }
        self.first.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.first.shrink_to_fit();
        self.changes = zone.forgotten + zone.changes.len();
    }

    fn catch_up(&mut self, proxy: u32, zone: &Zone, entrants: &[Option<Entrant>]) {
        for (slot, entered) in zone.changes.iter().skip(self.changes - zone.forgotten) {
            if !entered {
                self.first.retain(|f| f.1 != *slot);
            } else if let Some(draw) = entrants[*slot].map(|e| e.draw(proxy)) {
                let at = self.first.partition_point(|f| f.0 < draw);
                if self.all || at < self.first.len() {
                    self.first.insert(at, (draw, *slot));
                }
                if self.first.len() > self.kept {
                    self.first.pop();
                    self.all = false;
                }
            }
        }
        self.changes = zone.forgotten + zone.changes.len();
    }
}

impl Entrant {
    /// Where a server stands among those that one proxy might hold: by chance, larger servers sooner.
    fn draw(self, proxy: u32) -> f64 {
        let seed = self.key ^ u64::from(proxy).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        -fastrand::Rng::with_seed(seed).f64().max(1e-12).ln() / self.size
    }
}

/// FNV-1a: any even spread would do that never changes.
pub fn key_of(server: &str) -> u64 {
    let mix = |key: u64, byte: u8| (key ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    server.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    /// Guards against a remembered draw that differs from a whole one, however servers come and go: drawn
    /// changes over three zones, some proxies looking seldom, against drawing everything each time.
    #[test]
    fn what_is_remembered_is_what_a_whole_draw_gives() {
        let mut rng = fastrand::Rng::with_seed(11);
        let mut ranks = Ranks::default();
        let mut listed: BTreeMap<usize, (usize, u64, f64)> = BTreeMap::new();
        for step in 0..6000u64 {
            if listed.len() < 10 || rng.f64() < if step % 1000 < 500 { 0.6 } else { 0.4 } {
                let (slot, zone, size) = (ranks.slot(), rng.usize(..3), 0.5 + rng.f64());
                ranks.enter(slot, zone, step, size);
                listed.insert(slot, (zone, step, size));
            } else {
                let slot = *listed.keys().nth(rng.usize(..listed.len())).unwrap();
                let (zone, ..) = listed.remove(&slot).unwrap();
                ranks.leave(slot, zone);
                ranks.forget(slot);
            }
            let (proxy, zone, most) = (rng.u32(..5) * rng.u32(..5), rng.usize(..3), 3 + rng.usize(..20));
            let here = listed.iter().filter(|(_, l)| l.0 == zone);
            let mut whole: Vec<(f64, usize)> =
                here.map(|(slot, l)| (Entrant { key: l.1, size: l.2 }.draw(proxy), *slot)).collect();
            whole.sort_by(|a, b| a.0.total_cmp(&b.0));
            let wanted: Vec<usize> = whole.iter().take(most).map(|w| w.1).collect();
            assert_eq!(ranks.first(proxy, zone, most).collect::<Vec<_>>(), wanted, "step {step}");
        }
        assert!(ranks.slots() < 400, "slots are given again: {}", ranks.slots());
    }
}

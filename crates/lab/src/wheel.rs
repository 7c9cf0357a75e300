//! A timing wheel for deadlines: entering and expiring cost the same whatever is pending.

use std::time::Duration;

const LEVELS: usize = 4;
const SLOTS: usize = 256;

/// Four levels of 256 slots, a slot of the first for each 2^20 ns (about a millisecond): 49 days. An item is
/// never told early, and at most one slot late.
pub struct Wheel<T> {
    tick: u64,
    slots: Vec<Vec<(u64, T)>>,
    /// Which slots of each level hold anything.
    held: [[u64; 4]; LEVELS],
    len: usize,
}

fn up(at: Duration) -> u64 {
    (at.as_nanos() as u64).div_ceil(1 << 20)
}

impl<T> Default for Wheel<T> {
    fn default() -> Self {
        let slots = (0..LEVELS * SLOTS).map(|_| Vec::new()).collect();
        Wheel { tick: 0, slots, held: [[0; 4]; LEVELS], len: 0 }
    }
}

impl<T> Wheel<T> {
    pub fn len(&self) -> usize {
        self.len
    }
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// One that is due already is told at the next chance.
    pub fn enter(&mut self, at: Duration, item: T) {
        self.len += 1;
        self.place(up(at).max(self.tick), item);
    }

    fn place(&mut self, tick: u64, item: T) {
        // The level of the highest group of eight bits in which it differs from now.
        let differs = 63 - ((tick ^ self.tick) | 1).leading_zeros() as usize;
        let level = (differs / 8).min(LEVELS - 1);
        let far = self.tick | ((1 << (8 * LEVELS)) - 1);
        let slot = (tick.min(far) >> (8 * level)) as usize % SLOTS;
        self.slots[level * SLOTS + slot].push((tick, item));
        self.held[level][slot / 64] |= 1 << (slot % 64);
    }

    /// Where the next slot with anything is: its level, its place and its first tick.
    fn next_held(&self) -> Option<(usize, usize, u64)> {
        for level in 0..LEVELS {
            let here = (self.tick >> (8 * level)) as usize % SLOTS;
            let from = if level == 0 { here } else { here + 1 };
            let found = (from / 64..4).find_map(|word| {
                let skip = if word == from / 64 { from % 64 } else { 0 };
                let bits = self.held[level][word] & (u64::MAX << skip);
                (bits != 0).then(|| word * 64 + bits.trailing_zeros() as usize)
            });
            if let Some(slot) = found {
                let above = self.tick >> (8 * (level + 1)) << (8 * (level + 1));
                return Some((level, slot, above | ((slot as u64) << (8 * level))));
            }
        }
        None
    }

    /// No item is due before this.
    pub fn next(&self) -> Option<Duration> {
        self.next_held().map(|(_, _, tick)| Duration::from_nanos(tick << 20))
    }

    /// Tells all that is due, in the order of slots.
    pub fn expire(&mut self, now: Duration, mut tell: impl FnMut(T)) {
        let target = now.as_nanos() as u64 >> 20;
        while let Some((level, slot, tick)) = self.next_held().filter(|(_, _, tick)| *tick <= target) {
            self.tick = tick;
            self.held[level][slot / 64] &= !(1 << (slot % 64));
            for (tick, item) in std::mem::take(&mut self.slots[level * SLOTS + slot]) {
                if tick <= self.tick {
                    self.len -= 1;
                    tell(item);
                } else {
                    self.place(tick, item);
                }
            }
        }
        self.tick = self.tick.max(target);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    /// Guards against deadlines lost, told early, or late by more than a slot, over all levels.
    #[test]
    fn it_tells_what_a_sorted_set_tells() {
        let mut rng = fastrand::Rng::with_seed(5);
        let (mut wheel, mut plain) = (Wheel::default(), BTreeSet::new());
        let mut now = Duration::from_secs(77);
        wheel.expire(now, |_: (Duration, u32)| panic!("nothing is pending"));
        for item in 0..40_000u32 {
            let reach = 10f64.powi(rng.i32(-4..6));
            let at = now + Duration::from_secs_f64(rng.f64() * reach);
            wheel.enter(at, (at, item));
            plain.insert((at, item));
            if rng.u8(..4) == 0 {
                now += Duration::from_secs_f64(rng.f64() * 10f64.powi(rng.i32(-4..4)));
                let next = wheel.next();
                assert!(next <= plain.first().map(|(at, _)| *at + Duration::from_millis(2)));
                let mut told = Vec::new();
                wheel.expire(now, |item| told.push(item));
                for item in told {
                    assert!(item.0 <= now && plain.remove(&item), "told early, or twice");
                }
                let late = plain.first().filter(|(at, _)| *at + Duration::from_nanos(2 << 20) < now);
                assert_eq!(late, None);
            }
        }
        assert_eq!(wheel.len(), plain.len());
        wheel.expire(now + Duration::from_secs(1_000_000), |item| assert!(plain.remove(&item)));
        assert!(wheel.is_empty() && plain.is_empty());
    }
}

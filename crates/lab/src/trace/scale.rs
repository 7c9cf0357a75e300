//! A trace at another speed or another rate, its bursts kept.

use super::Row;
use crate::arrivals::{Kind, Op};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// Most copies that wait for their time.
const MOST_COPIES: usize = 100_000;

/// `speed`: times pass so many times as fast. `rate`: so many ops stand for each; of a part of an op it is
/// drawn whether it does. Copies are spread over the shorter of the gaps before and after it, so a burst stays as
/// long as it was.
pub struct Scaled<I: Iterator<Item = Row>> {
    from: std::iter::Peekable<I>,
    speed: f64,
    rate: f64,
    rng: fastrand::Rng,
    copies: BinaryHeap<Reverse<(Duration, u64)>>,
    rows: HashMap<u64, Row>,
    count: u64,
    /// The last op's time.
    before: Option<Duration>,
}

impl<I: Iterator<Item = Row>> Scaled<I> {
    pub fn new(from: I, speed: f64, rate: f64, seed: u64) -> Self {
        let (copies, rows) = (BinaryHeap::new(), HashMap::new());
        let (from, rng) = (from.peekable(), fastrand::Rng::with_seed(seed));
        Scaled { from, speed: speed.max(1e-9), rate, rng, copies, rows, count: 0, before: None }
    }

    fn copy(&mut self, row: Row) {
        self.copies.push(Reverse((row.at, self.count)));
        self.rows.insert(self.count, row);
        self.count += 1;
    }
}

impl<I: Iterator<Item = Row>> Iterator for Scaled<I> {
    type Item = Row;

    fn next(&mut self) -> Option<Row> {
        loop {
            let due = self.from.peek().map(|row| row.at);
            let ready = self.copies.peek().is_some_and(|Reverse((at, _))| due.is_none_or(|due| *at <= due));
            if ready || self.copies.len() >= MOST_COPIES {
                let Reverse((_, number)) = self.copies.pop()?;
                let mut row = self.rows.remove(&number)?;
                row.at = row.at.div_f64(self.speed);
                return Some(row);
            }
            let row = self.from.next()?;
            let gap = self.from.peek().map_or(Duration::ZERO, |next| next.at.saturating_sub(row.at));
            let gap = self.before.map_or(gap, |before| gap.min(row.at.saturating_sub(before)));
            self.before = Some(row.at);
            let times = self.rate.floor() as u64 + u64::from(self.rng.f64() < self.rate.fract());
            for time in 0..times {
                let later = if time == 0 { Duration::ZERO } else { gap.mul_f64(self.rng.f64()) };
                // A copy is another op: it is nobody's double.
                let id =
                    row.id.as_ref().map(|id| if time == 0 { id.clone() } else { format!("{id}+{time}") });
                self.copy(Row { at: row.at + later, id, ..row.clone() });
            }
        }
    }
}

/// Rows as ops of these types; one of no known type is of the first.
pub fn ops(rows: impl Iterator<Item = Row>, kinds: Vec<Kind>) -> impl Iterator<Item = Op> {
    rows.enumerate().map(move |(id, row)| {
        let kind = kinds.iter().position(|kind| kind.name == row.kind).unwrap_or(0);
        let (Row { at, key, tenant, zone, work, .. }, timeout) = (row, kinds[kind].timeout);
        Op { id: id as u64, at, kind: kind as u16, key, tenant, zone, timeout, work }
    })
}

//! Streams of ops, each with its shape, merged into one schedule.

use super::shape::{Shape, Walk, drawn};
use fallgap::Repeats;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A rate is taken as constant for so long.
const CELL_NS: f64 = 1e6;

/// What an op asks of a server: time of one core at speed 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    Fixed(Duration),
    /// Drawn, with that mean.
    Exponential(Duration),
    /// Drawn, log-normal with that median and that spread of the logarithm: most small, some large.
    Heavy(Duration, f64),
}

impl Work {
    fn draw(self, rng: &mut fastrand::Rng) -> Duration {
        match self {
            Work::Fixed(work) => work,
            Work::Exponential(mean) => Duration::from_secs_f64(drawn(rng, mean.as_secs_f64())),
            Work::Heavy(median, spread) => {
                // Box and Muller.
                let (u, v) = (1.0 - rng.f64(), rng.f64());
                let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
                median.mul_f64((spread * normal).exp().min(1e3))
            }
        }
    }
}

/// An op type as a stream sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    pub name: String,
    pub repeats: Repeats,
    pub timeout: Duration,
    pub work: Work,
    /// Keys and tenants are drawn from so many; the first are the busiest.
    pub keys: u64,
    pub tenants: u32,
}

/// One op, as it is intended.
#[derive(Clone, Debug, PartialEq)]
pub struct Op {
    /// Its place in the whole schedule.
    pub id: u64,
    /// When it is to be sent, since the start.
    pub at: Duration,
    /// Place of its op type.
    pub kind: u16,
    pub key: u64,
    pub tenant: u32,
    pub zone: u16,
    pub timeout: Duration,
    pub work: Duration,
}

/// Whether arrivals keep even distances, or are drawn as those of many who know nothing of each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spacing {
    Even,
    #[default]
    Poisson,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    pub shape: Shape,
    pub spacing: Spacing,
    pub zone: u16,
    /// Op types by place, with their shares.
    pub kinds: Vec<(u16, f64)>,
}

/// One stream on its way: the rate is constant in each cell, and used up arrival by arrival.
struct Flow {
    walk: Walk,
    spacing: Spacing,
    zone: u16,
    kinds: Vec<(u16, f64)>,
    rng: fastrand::Rng,
    cell: u64,
    /// Where in the cell, in nanoseconds, and ops a nanosecond there.
    place: f64,
    rate: f64,
}

impl Flow {
    /// The next arrival, in nanoseconds, before `end`.
    fn next(&mut self, end: u64) -> Option<u64> {
        let mut need = match self.spacing {
            Spacing::Even => 1.0,
            Spacing::Poisson => drawn(&mut self.rng, 1.0),
        };
        loop {
            let left = (CELL_NS - self.place) * self.rate;
            if need <= left {
                self.place += need / self.rate;
                let at = self.cell * CELL_NS as u64 + self.place as u64;
                return (at < end).then_some(at);
            }
            need -= left;
            self.cell += 1;
            let from = self.cell * CELL_NS as u64;
            if from >= end {
                return None;
            }
            self.place = 0.0;
            self.rate = self.walk.rate(Duration::from_nanos(from + CELL_NS as u64 / 2)) / 1e9;
        }
    }

    fn kind(&mut self) -> u16 {
        let all: f64 = self.kinds.iter().map(|(_, share)| share).sum();
        let mut drawn = self.rng.f64() * all;
        for (kind, share) in &self.kinds {
            drawn -= share;
            if drawn <= 0.0 {
                return *kind;
            }
        }
        self.kinds.last().map_or(0, |(kind, _)| *kind)
    }
}

/// All ops of a run in the order of their times. The same seed gives the same ops to the nanosecond; memory
/// grows with the streams and not with the ops.
pub struct Schedule {
    kinds: Vec<Kind>,
    flows: Vec<Flow>,
    next: BinaryHeap<Reverse<(u64, usize)>>,
    end: u64,
    count: u64,
}

impl Schedule {
    pub fn new(kinds: Vec<Kind>, streams: &[Stream], end: Duration, seed: u64) -> Schedule {
        let end = end.as_nanos() as u64;
        let mut seeds = fastrand::Rng::with_seed(seed);
        let mut schedule = Schedule { kinds, flows: Vec::new(), next: BinaryHeap::new(), end, count: 0 };
        for stream in streams {
            let mut walk = stream.shape.walk(seeds.u64(..));
            let rate = walk.rate(Duration::from_nanos(CELL_NS as u64 / 2)) / 1e9;
            schedule.flows.push(Flow {
                walk,
                spacing: stream.spacing,
                zone: stream.zone,
                kinds: stream.kinds.clone(),
                rng: fastrand::Rng::with_seed(seeds.u64(..)),
                cell: 0,
                place: 0.0,
                rate,
            });
            schedule.advance(schedule.flows.len() - 1);
        }
        schedule
    }

    fn advance(&mut self, flow: usize) {
        if let Some(at) = self.flows[flow].next(self.end) {
            self.next.push(Reverse((at, flow)));
        }
    }

    /// The part of one worker of several: every op is some worker's, with the id that it has for one alone.
    pub fn part(self, worker: u64, workers: u64) -> impl Iterator<Item = Op> {
        self.filter(move |op| op.id % workers.max(1) == worker)
    }
}

impl Iterator for Schedule {
    type Item = Op;

    fn next(&mut self) -> Option<Op> {
        let Reverse((at, place)) = self.next.pop()?;
        let flow = &mut self.flows[place];
        let kind = flow.kind();
        let zone = flow.zone;
        let of = self.kinds.get(usize::from(kind))?;
        // The square of an even draw: a few keys and tenants have most of the ops.
        let mut pick = |most: f64| (flow.rng.f64().powi(2) * most) as u64;
        let (key, tenant) = (pick(of.keys as f64), pick(f64::from(of.tenants)) as u32);
        let (timeout, work) = (of.timeout, of.work.draw(&mut flow.rng));
        let op = Op { id: self.count, at: Duration::from_nanos(at), kind, key, tenant, zone, timeout, work };
        self.count += 1;
        self.advance(place);
        Some(op)
    }
}

//! Rates over time, as small values that compose.

use std::time::Duration;

/// Ops a second over time.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    Constant(f64),
    /// From one rate to another over that time, and the latter from then on.
    Ramp {
        from: f64,
        to: f64,
        over: Duration,
    },
    /// Each rate from its time on; before the first there are none.
    Steps(Vec<(Duration, f64)>),
    /// Round a mean, with a swing as part of it: a day.
    Sine {
        mean: f64,
        swing: f64,
        period: Duration,
    },
    /// A campaign's end: a long rise from a base to a peak, and on it truckloads: that many times the rate, at
    /// drawn moments that come closer as the rate rises, each for a while.
    Campaign {
        base: f64,
        peak: f64,
        over: Duration,
        load: f64,
        lasting: Duration,
    },
    /// A rate that is on and off by turns, each for a drawn time with a heavy tail (Pareto with that index:
    /// the smaller, the heavier; over 1).
    Bursts {
        rate: f64,
        on: Duration,
        off: Duration,
        tail: f64,
    },
    Times(Box<Shape>, Box<Shape>),
}

/// Goes along a shape; time never goes back.
pub struct Walk {
    part: Part,
}

enum Part {
    Plain(Shape),
    Campaign {
        base: f64,
        peak: f64,
        over: f64,
        load: f64,
        lasting: f64,
        until: f64,
        next: f64,
        rng: fastrand::Rng,
    },
    Bursts {
        rate: f64,
        mean: [f64; 2],
        tail: f64,
        on: bool,
        until: f64,
        rng: fastrand::Rng,
    },
    Times(Box<Walk>, Box<Walk>),
}

/// Truckloads between one at the base rate and ten at the peak, in the whole rise.
const TRUCKS: f64 = 12.0;

impl Shape {
    pub fn walk(&self, seed: u64) -> Walk {
        let rng = fastrand::Rng::with_seed(seed);
        let part = match self {
            Shape::Campaign { base, peak, over, load, lasting } => Part::Campaign {
                base: *base,
                peak: *peak,
                over: over.as_secs_f64(),
                load: *load,
                lasting: lasting.as_secs_f64(),
                until: -1.0,
                next: 0.0,
                rng,
            },
            Shape::Bursts { rate, on, off, tail } => Part::Bursts {
                rate: *rate,
                mean: [off.as_secs_f64(), on.as_secs_f64()],
                tail: *tail,
                on: false,
                until: 0.0,
                rng,
            },
            Shape::Times(one, other) => {
                let next = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                Part::Times(Box::new(one.walk(next ^ 1)), Box::new(other.walk(next ^ 2)))
            }
            plain => Part::Plain(plain.clone()),
        };
        Walk { part }
    }

    /// The same shape, played that many times as fast.
    pub fn sped_up(&self, times: f64) -> Shape {
        let faster = |span: &Duration| span.div_f64(times);
        match self {
            Shape::Constant(rate) => Shape::Constant(*rate),
            Shape::Ramp { from, to, over } => Shape::Ramp { from: *from, to: *to, over: faster(over) },
            Shape::Steps(steps) => Shape::Steps(steps.iter().map(|(at, rate)| (faster(at), *rate)).collect()),
            Shape::Sine { mean, swing, period } => {
                Shape::Sine { mean: *mean, swing: *swing, period: faster(period) }
            }
            Shape::Campaign { base, peak, over, load, lasting } => Shape::Campaign {
                base: *base,
                peak: *peak,
                over: faster(over),
                load: *load,
                lasting: faster(lasting),
            },
            Shape::Bursts { rate, on, off, tail } => {
                Shape::Bursts { rate: *rate, on: faster(on), off: faster(off), tail: *tail }
            }
            Shape::Times(one, other) => {
                Shape::Times(Box::new(one.sped_up(times)), Box::new(other.sped_up(times)))
            }
        }
    }
}

impl Walk {
    /// Ops a second at that time, which is not before the one asked for last.
    pub fn rate(&mut self, at: Duration) -> f64 {
        let t = at.as_secs_f64();
        let rate = match &mut self.part {
            Part::Plain(shape) => plain(shape, at),
            Part::Campaign { base, peak, over, load, lasting, until, next, rng } => {
                let risen = (t / *over).min(1.0);
                let rate = *base + (*peak - *base) * risen * risen;
                while t >= *next {
                    // Trucks come as the rate does: few at first, many at the end.
                    let share = (rate / peak.max(1e-9)).clamp(0.05, 1.0);
                    let mean = *over / TRUCKS / share;
                    *until = if *next > 0.0 { *next + *lasting } else { *until };
                    *next = next.max(0.0) + drawn(rng, mean);
                }
                if t < *until { rate * *load } else { rate }
            }
            Part::Bursts { rate, mean, tail, on, until, rng } => {
                while t >= *until {
                    *on = !*on;
                    *until += pareto(rng, mean[usize::from(*on)], *tail);
                }
                if *on { *rate } else { 0.0 }
            }
            Part::Times(one, other) => one.rate(at) * other.rate(at),
        };
        rate.max(0.0)
    }
}

fn plain(shape: &Shape, at: Duration) -> f64 {
    match shape {
        Shape::Constant(rate) => *rate,
        Shape::Ramp { from, to, over } => {
            let done = if over.is_zero() { 1.0 } else { (at.as_secs_f64() / over.as_secs_f64()).min(1.0) };
            from + (to - from) * done
        }
        Shape::Steps(steps) => {
            steps.iter().rev().find(|(from, _)| at >= *from).map_or(0.0, |(_, rate)| *rate)
        }
        Shape::Sine { mean, swing, period } => {
            let turn = at.as_secs_f64() / period.as_secs_f64().max(1e-9);
            mean * (1.0 + swing * (std::f64::consts::TAU * turn).sin())
        }
        Shape::Campaign { .. } | Shape::Bursts { .. } | Shape::Times(..) => 0.0,
    }
}

/// Exponential with that mean.
pub fn drawn(rng: &mut fastrand::Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

fn pareto(rng: &mut fastrand::Rng, mean: f64, tail: f64) -> f64 {
    let tail = tail.max(1.01);
    let least = mean * (tail - 1.0) / tail;
    least / (1.0 - rng.f64()).powf(1.0 / tail)
}

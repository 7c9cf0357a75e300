//! A server as a queue before some cores. When an op arrives, its start and its end are worked out at once:
//! the queue is in order of arrival, and what goes wrong later is known from the script. No I/O, no clock.

use super::script::{Script, What};
use super::truth::{Did, Served, Truth};
use crate::clients::Ended;
use crate::frames::{Request, Tried};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// How a server is made.
#[derive(Clone, Debug, PartialEq)]
pub struct Make {
    pub cores: usize,
    /// Work done in a second of one core.
    pub speed: f64,
    /// Ops that may wait; further ones are turned away.
    pub queue: usize,
    /// The part of its speed that it starts with, and the time until it has all.
    pub cold: (f64, Duration),
    /// For how long repeats of a deduplicated op are known.
    pub window: Duration,
}

impl Default for Make {
    fn default() -> Self {
        Make { cores: 2, speed: 1.0, queue: 200, cold: (1.0, Duration::ZERO), window: Duration::from_secs(5) }
    }
}

/// What becomes of a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Answer {
        at: Duration,
        ended: Ended,
    },
    /// The connection breaks.
    Broken {
        at: Duration,
    },
    Silence,
}

/// Steps in which a cold machine gets faster, and the span over which busyness is told.
const WARMING: u32 = 40;
const BUSY_OVER: f64 = 0.5;

pub struct Machine {
    make: Make,
    script: Script,
    /// When it last started; `None`: warm since long ago.
    started: Option<Duration>,
    /// When each core is free.
    cores: BinaryHeap<Reverse<Duration>>,
    /// Starts of ops that wait, and ends of all that are held.
    waiting: VecDeque<Duration>,
    ends: BinaryHeap<Reverse<Duration>>,
    done: HashMap<(u64, u64), Duration>,
    busy: (Duration, f64),
    rng: fastrand::Rng,
    pub truth: Truth,
}

impl Machine {
    pub fn new(make: Make, script: Script, started: Option<Duration>, seed: u64) -> Machine {
        let cores = std::iter::repeat_n(Reverse(Duration::ZERO), make.cores.max(1)).collect();
        Machine {
            make,
            script,
            started,
            cores,
            waiting: VecDeque::new(),
            ends: BinaryHeap::new(),
            done: HashMap::new(),
            busy: (Duration::ZERO, 0.0),
            rng: fastrand::Rng::with_seed(seed),
            truth: Truth::default(),
        }
    }

    pub fn script(&self) -> &Script {
        &self.script
    }

    pub fn is_down(&self, now: Duration) -> bool {
        self.script.at(now).any(|what| what == What::Crash)
    }

    /// When the process that runs now started; `None`: long ago.
    pub fn started(&self, now: Duration) -> Option<Duration> {
        self.script.started(now).or(self.started)
    }

    /// Whether it has started lately and is not yet at its speed.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.started(now).is_some_and(|started| now < started + self.make.cold.1)
    }

    /// The part of its cores that was busy lately.
    pub fn true_busy(&mut self, now: Duration) -> f64 {
        self.pass(now);
        self.busy.1
    }

    /// Work it can do in a second at that time, over all cores.
    pub fn capacity(&self, now: Duration) -> f64 {
        self.pace(now) * self.make.cores as f64
    }

    /// Work that one core does in a second at that time.
    fn pace(&self, now: Duration) -> f64 {
        let mut pace = self.make.speed;
        let (from, over) = self.make.cold;
        if let Some(started) = self.started(now).filter(|started| now < *started + over) {
            let warm = now.saturating_sub(started).as_secs_f64() / over.as_secs_f64();
            let steps = f64::from(WARMING);
            pace *= from + (1.0 - from) * (warm * steps).floor() / steps;
        }
        for what in self.script.at(now) {
            match what {
                What::Stall => return 0.0,
                What::Neighbour(part) => pace *= part,
                _ => {}
            }
        }
        pace
    }

    fn next_turn(&self, now: Duration) -> Option<Duration> {
        let (_, over) = self.make.cold;
        let warming = self.started(now).filter(|started| now < *started + over).map(|started| {
            let step = over / WARMING;
            let done = now.saturating_sub(started).as_nanos() / step.as_nanos().max(1);
            started + step * (done as u32 + 1)
        });
        [self.script.next_turn(now), warming].into_iter().flatten().min()
    }

    /// When work that begins then is done; `None`: never.
    fn finish(&self, start: Duration, work: Duration) -> Option<Duration> {
        let (mut at, mut left) = (start, work.as_secs_f64());
        loop {
            let pace = self.pace(at);
            let turn = self.next_turn(at);
            let span = turn.map_or(f64::INFINITY, |turn| (turn - at).as_secs_f64());
            if pace > 0.0 && left <= pace * span {
                return Some(at + Duration::from_secs_f64(left / pace));
            }
            left -= pace * span;
            at = turn?;
        }
    }

    /// Ops held at that time, and the part of its cores that was busy lately, as it tells.
    pub fn load(&mut self, now: Duration) -> (usize, f64) {
        self.pass(now);
        let told =
            self.script.at(now).find_map(|what| if let What::FalseLoad(by) = what { Some(by) } else { None });
        let by = told.unwrap_or(1.0);
        ((self.ends.len() as f64 * by) as usize, (self.busy.1 * by).clamp(0.0, 1.0))
    }

    /// Time goes on: ops start and end.
    fn pass(&mut self, now: Duration) {
        let cores = self.make.cores.max(1) as f64;
        // Busyness is smoothed step by step, from end to end.
        while let Some(Reverse(end)) = self.ends.peek().copied().filter(|Reverse(end)| *end <= now) {
            self.smooth(end, (self.ends.len() as f64).min(cores) / cores);
            self.ends.pop();
        }
        self.smooth(now, (self.ends.len() as f64).min(cores) / cores);
        while self.waiting.front().is_some_and(|start| *start <= now) {
            self.waiting.pop_front();
        }
    }

    fn smooth(&mut self, now: Duration, busy: f64) {
        let (at, before) = self.busy;
        let fresh = 1.0 - (-now.saturating_sub(at).as_secs_f64() / BUSY_OVER).exp();
        self.busy = (now.max(at), before + (busy - before) * fresh);
    }

    /// An op arrives. Tells what becomes of it, and the place where its answer is to be noted.
    pub fn arrive(&mut self, now: Duration, request: Request) -> (Fate, Option<usize>) {
        self.pass(now);
        if self.script.started(now).is_some_and(|back| self.cores.iter().any(|Reverse(free)| *free < back)) {
            self.restart(now);
        }
        let (fate, did, start, end) = self.decide(now, &request);
        let place = self.truth.note(Served { request, arrival: now, start, end, did, answered: None });
        (fate, place)
    }

    /// What was held before a crash is gone.
    fn restart(&mut self, now: Duration) {
        let back = self.script.started(now).unwrap_or(now);
        let cores = self.make.cores.max(1);
        self.cores = std::iter::repeat_n(Reverse(back), cores).collect();
        self.waiting.clear();
        self.ends.clear();
        self.done.clear();
    }

    fn decide(&mut self, now: Duration, request: &Request) -> (Fate, Did, Duration, Duration) {
        let at_once = |ended| Fate::Answer { at: now, ended };
        let (mut reset, mut half_open) = (false, false);
        for what in self.script.at(now).collect::<Vec<_>>() {
            match what {
                What::Crash => return (Fate::Broken { at: now }, Did::Lost, now, now),
                What::Hang => return (Fate::Silence, Did::Lost, now, now),
                What::Aborts(share) if self.rng.f64() < share => {
                    return (at_once(Ended::Aborted), Did::Aborted, now, now);
                }
                What::Drain => return (at_once(Ended::Rejected), Did::TurnedAway, now, now),
                What::Resets(share) => reset |= self.rng.f64() < share,
                What::HalfOpen => half_open = true,
                _ => {}
            }
        }
        let op = (request.key, request.id);
        if request.repeats == Tried::Deduplicated {
            if self.done.get(&op).is_some_and(|at| now < *at + self.make.window) {
                return (at_once(Ended::Acked), Did::Dropped, now, now);
            }
            if self.done.len() > 100_000 {
                let window = self.make.window;
                self.done.retain(|_, at| now < *at + window);
            }
        }
        let free = self.cores.peek().map_or(now, |Reverse(free)| *free);
        let start = free.max(now);
        if start > now && self.waiting.len() >= self.make.queue {
            return (at_once(Ended::Rejected), Did::TurnedAway, now, now);
        }
        let Some(end) = self.finish(start, request.work) else {
            return (Fate::Silence, Did::Lost, start, start);
        };
        self.cores.pop();
        self.cores.push(Reverse(end));
        self.ends.push(Reverse(end));
        if start > now {
            self.waiting.push_back(start);
        }
        if let Some(crash) = self.script.crash_between(now, end) {
            return (Fate::Broken { at: crash }, Did::Lost, start, crash);
        }
        self.done.insert(op, end);
        let fate = match (reset, half_open) {
            (true, _) => Fate::Broken { at: end },
            (_, true) => Fate::Silence,
            _ => Fate::Answer { at: end, ended: Ended::Acked },
        };
        (fate, Did::Ran, start, end)
    }
}

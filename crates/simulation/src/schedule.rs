//! What happens when: drawn from a seed, printed as a file, read back and played again.

use std::fmt::{Display, Formatter};
use std::str::FromStr;

/// One kind of thing that happens. What exactly (to whom, how long) is drawn from the step's own dice, so that a step
/// does the same whichever others were taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Act {
    /// A caller makes a call, unless it waits for one.
    Call,
    /// A process ends, and comes back.
    Kill,
    /// The same with a part of what was not synced.
    Power,
    KillAll,
    PowerAll,
    Freeze,
    /// Some machines cannot reach the others for a while.
    Cut,
    /// A disk needs up to three seconds for a sync, for a while.
    SlowDisk,
    /// Messages are lost, late and doubled from here on, or not any more.
    Weather,
    /// Up to `tolerate` disks are lost, once the members have caught up.
    Wipe,
    /// A machine goes for good and a new one comes, once the members have caught up.
    Replace,
    /// A wall clock is set forward.
    Clock,
    /// A process loses its power and is back before what is on its way to it has come.
    Blink,
    /// All callers that wait for nothing want the same at once, each at a keeper of its own.
    Clash,
}

impl Act {
    pub const ALL: [Act; 14] = [
        Act::Call,
        Act::Kill,
        Act::Power,
        Act::KillAll,
        Act::PowerAll,
        Act::Freeze,
        Act::Cut,
        Act::SlowDisk,
        Act::Weather,
        Act::Wipe,
        Act::Replace,
        Act::Clock,
        Act::Blink,
        Act::Clash,
    ];
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Step {
    pub at_ms: u64,
    pub act: Act,
    pub dice: u64,
}

/// A whole run. What is not in it is drawn from the seed: delays of the network and the disks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Schedule {
    pub seed: u64,
    /// Machines with a disk, and without.
    pub disks: u8,
    pub plain: u8,
    pub tolerate: u32,
    pub callers: u64,
    /// All that see the need of a change of members ask for it at the same moment.
    pub hasty: bool,
    /// It begins with empty disks and the naming of the first members.
    pub founding: bool,
    /// Rates of steady clocks are off by so many parts in a million at most, each machine's by its own.
    pub drift_ppm: u32,
    /// In the order of their times.
    pub steps: Vec<Step>,
}

/// What schedules are drawn from.
#[derive(Clone, Copy, Debug)]
pub struct Waters<'a> {
    pub disks: &'a [u8],
    pub tolerate: u32,
    /// What happens besides calls; one named twice happens twice as often.
    pub troubles: &'a [Act],
    pub time_ms: u64,
    /// Troubles are so far apart.
    pub apart_ms: (u64, u64),
    pub callers: u64,
    /// Calls of all callers are so far apart.
    pub calls_ms: (u64, u64),
    pub founding: bool,
}

impl Schedule {
    pub fn draw(seed: u64, waters: &Waters) -> Schedule {
        Schedule::draw_from(seed, waters, if waters.founding { 3500 } else { 500 })
    }

    /// Steps begin at this millisecond.
    fn draw_from(seed: u64, waters: &Waters, from: u64) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut steps = Vec::new();
        let mut lay = |rng: &mut fastrand::Rng, apart: (u64, u64), acts: &[Act]| {
            let mut at_ms = from;
            loop {
                at_ms += rng.u64(apart.0..apart.1);
                if at_ms >= from + waters.time_ms || acts.is_empty() {
                    return;
                }
                let act = acts[rng.usize(0..acts.len())];
                steps.push(Step { at_ms, act, dice: rng.u64(..1 << 40) });
            }
        };
        lay(&mut rng, waters.apart_ms, waters.troubles);
        lay(&mut rng, waters.calls_ms, &[Act::Call]);
        steps.sort_by_key(|step| step.at_ms);
        Schedule {
            seed,
            disks: waters.disks[rng.usize(0..waters.disks.len())],
            plain: 1,
            tolerate: waters.tolerate,
            callers: waters.callers,
            hasty: rng.u8(0..3) == 0,
            founding: waters.founding,
            drift_ppm: 0,
            steps,
        }
    }
}

/// Short schedules, close set: the one that a seed names is drawn from one of these.
const SHORT: [Waters; 6] = {
    let waters = Waters {
        disks: &[3, 4, 5, 6],
        tolerate: 1,
        troubles: &[],
        time_ms: 2500,
        apart_ms: (20, 500),
        callers: 5,
        calls_ms: (1, 25),
        founding: false,
    };
    use Act::*;
    [
        Waters {
            troubles: &[Kill, Power, Power, Freeze, Cut, Weather, SlowDisk, Clock],
            apart_ms: (20, 500),
            ..waters
        },
        Waters {
            troubles: &[KillAll, PowerAll, Power, Weather, Clock],
            disks: &[3, 4],
            apart_ms: (20, 900),
            ..waters
        },
        Waters { troubles: &[Wipe, Wipe, Replace, Kill, Power, Cut, Weather], apart_ms: (20, 900), ..waters },
        Waters {
            troubles: &[Wipe, Wipe, Replace, Power, Freeze],
            tolerate: 2,
            disks: &[5, 6],
            time_ms: 6000,
            apart_ms: (20, 2500),
            ..waters
        },
        Waters {
            troubles: &[Clash, Clash, Clash, Clash, Blink, Blink, Blink, Weather],
            disks: &[3, 4],
            time_ms: 1500,
            apart_ms: (1, 25),
            calls_ms: (1, 150),
            ..waters
        },
        Waters {
            troubles: &[Wipe, Replace, Blink, Blink, Blink, Clash, Clash, Weather],
            disks: &[3, 4, 5],
            apart_ms: (1, 90),
            time_ms: 5000,
            calls_ms: (1, 150),
            ..waters
        },
    ]
};

impl Schedule {
    /// A schedule whose faults begin with the first start: of one disk to seven, with and without seeds that have none.
    pub fn at_founding(seed: u64) -> Schedule {
        use Act::*;
        let waters = Waters {
            disks: &[1, 2, 3, 3, 4, 5, 7],
            tolerate: 1,
            troubles: &[
                Kill, Power, Power, KillAll, PowerAll, Blink, Freeze, Cut, Cut, Weather, SlowDisk, Clock,
            ],
            time_ms: 3500,
            apart_ms: (10, 600),
            callers: 3,
            calls_ms: (10, 200),
            founding: true,
        };
        let mut schedule = Schedule::draw_from(seed, &waters, 0);
        schedule.plain = (seed % 4) as u8;
        if schedule.disks < 3 {
            schedule.tolerate = 0;
        }
        schedule
    }

    /// The short schedule of a seed.
    pub fn short(seed: u64) -> Schedule {
        Schedule::draw(seed, &SHORT[seed as usize % SHORT.len()])
    }
}

/// Why a file is no schedule.
#[derive(Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum NoSchedule {
    /// line {0}: expected `{1}`
    Line(usize, &'static str),
    /// line {0}: no such step: {1}
    Act(usize, String),
}

const HEAD: &str =
    "sextant 1 seed N disks N plain N tolerate N callers N hasty true|false founding true|false [drift N]";
const STEP: &str = "MILLISECOND ACT DICE";
/// Machines are named by a byte.
const MOST_MACHINES: u8 = 20;
/// A clock that stands still is no clock.
const MOST_DRIFT: u32 = 500_000;

impl Display for Schedule {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Schedule { seed, disks, plain, tolerate, callers, hasty, founding, drift_ppm, steps } = self;
        write!(f, "sextant 1 seed {seed} disks {disks} plain {plain} tolerate {tolerate} ")?;
        write!(f, "callers {callers} hasty {hasty} founding {founding}")?;
        if *drift_ppm > 0 {
            write!(f, " drift {drift_ppm}")?;
        }
        writeln!(f)?;
        for Step { at_ms, act, dice } in steps {
            writeln!(f, "{at_ms} {} {dice}", format!("{act:?}").to_lowercase())?;
        }
        Ok(())
    }
}

impl FromStr for Schedule {
    type Err = NoSchedule;

    fn from_str(text: &str) -> Result<Schedule, NoSchedule> {
        let mut lines = text.lines().enumerate().map(|(at, line)| (at + 1, line));
        let head: Vec<&str> =
            lines.next().map(|(_, line)| line.split_whitespace().collect()).unwrap_or_default();
        let [
            "sextant",
            "1",
            "seed",
            seed,
            "disks",
            disks,
            "plain",
            plain,
            "tolerate",
            tolerate,
            "callers",
            callers,
            "hasty",
            hasty,
            "founding",
            founding,
            ref drift @ ..,
        ] = head[..]
        else {
            return Err(NoSchedule::Line(1, HEAD));
        };
        let bad = |_| NoSchedule::Line(1, HEAD);
        let flag = |word: &str| word.parse::<bool>().map_err(|_| NoSchedule::Line(1, HEAD));
        let mut schedule = Schedule {
            seed: seed.parse().map_err(bad)?,
            disks: disks.parse().map_err(bad)?,
            plain: plain.parse().map_err(bad)?,
            tolerate: tolerate.parse().map_err(bad)?,
            callers: callers.parse().map_err(bad)?,
            hasty: flag(hasty)?,
            founding: flag(founding)?,
            drift_ppm: match drift {
                [] => 0,
                ["drift", ppm] => ppm.parse().map_err(bad)?,
                _ => return Err(NoSchedule::Line(1, HEAD)),
            },
            steps: Vec::new(),
        };
        if schedule.drift_ppm > MOST_DRIFT
            || !(1..=MOST_MACHINES).contains(&schedule.disks)
            || schedule.plain > MOST_MACHINES
            || schedule.callers == 0
        {
            return Err(NoSchedule::Line(1, HEAD));
        }
        for (line, text) in lines.filter(|(_, text)| !text.trim().is_empty() && !text.starts_with('#')) {
            let [at, name, dice] = text.split_whitespace().collect::<Vec<_>>()[..] else {
                return Err(NoSchedule::Line(line, STEP));
            };
            let bad = |_| NoSchedule::Line(line, STEP);
            let act = Act::ALL.into_iter().find(|act| format!("{act:?}").to_lowercase() == name);
            let act = act.ok_or_else(|| NoSchedule::Act(line, name.to_owned()))?;
            let step = Step { at_ms: at.parse().map_err(bad)?, act, dice: dice.parse().map_err(bad)? };
            schedule.steps.push(step);
        }
        schedule.steps.sort_by_key(|step| step.at_ms);
        Ok(schedule)
    }
}

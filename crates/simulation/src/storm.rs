//! What happens in a schedule's steps: faults, and callers that insist.

use std::collections::BTreeMap;
use std::time::Duration;

use fallgap_control_state::{Answer, Call, NodeId};

use crate::breach::{Check, hold};
use crate::history::History;
use crate::schedule::{Act, Schedule, Step};
use crate::waters::{Sea, Weather, ms, node};

/// A caller that repeats its call elsewhere until it is answered.
#[derive(Clone)]
struct Caller {
    name: u64,
    at: NodeId,
    pending: Option<(u64, Duration, Call)>,
    next: Duration,
    /// Holds this lock with a fence.
    lock: Option<(String, u64)>,
    /// The revision up to which it has watched.
    watched: BTreeMap<String, u64>,
    seen: BTreeMap<String, u64>,
    tries: u32,
}

/// The sea, with its callers and what they were told.
#[derive(Clone)]
pub struct Storm {
    pub sea: Sea,
    pub history: History,
    callers: Vec<Caller>,
    id: u64,
    edition: u64,
    fresh: u8,
}

/// Locks and numbers, by their places.
const NAMES: u8 = 3;
/// Records that a disk of a short schedule holds before it takes a snapshot.
const SNAPSHOT: usize = 25;

impl Storm {
    pub fn new(schedule: &Schedule) -> Storm {
        let Schedule { seed, disks, plain, .. } = *schedule;
        let callers = (0..schedule.callers).map(|name| Caller {
            name,
            at: node(1),
            pending: None,
            next: Duration::ZERO,
            lock: None,
            watched: BTreeMap::new(),
            seen: BTreeMap::new(),
            tries: 0,
        });
        let mut sea =
            if schedule.founding { Sea::new(seed, disks, plain) } else { Sea::founded(seed, disks, plain) };
        sea.tolerate = schedule.tolerate;
        sea.drift_ppm = schedule.drift_ppm;
        if schedule.hasty {
            sea.terms.change = ms(4);
        }
        if !schedule.founding {
            sea.snapshot_after = SNAPSHOT;
        }
        Storm {
            sea,
            history: History::default(),
            callers: callers.collect(),
            id: 0,
            edition: 0,
            fresh: disks + plain,
        }
    }

    /// Does one step of a schedule.
    pub fn act(&mut self, step: Step) {
        self.sea.first = false;
        let mut rng = fastrand::Rng::with_seed(step.dice);
        if step.act == Act::Clash {
            return self.clash(&mut rng);
        }
        if step.act != Act::Call {
            return self.blow(step.act, &mut rng);
        }
        let place = rng.usize(0..self.callers.len());
        let Some(caller) = self.callers.get(place).cloned() else { return };
        if caller.pending.is_none() && self.sea.now >= caller.next {
            let call = self.draw(&caller, &mut rng);
            self.call(place, call, &mut rng);
        }
    }

    fn clash(&mut self, rng: &mut fastrand::Rng) {
        let (which, kind) = (rng.u8(0..NAMES), rng.u8(0..3));
        let mut up = self.sea.up();
        rng.shuffle(&mut up);
        for (place, to) in (0..self.callers.len()).zip(up) {
            let Some(caller) = self.callers.get(place).filter(|caller| caller.pending.is_none()) else {
                continue;
            };
            let call = match kind {
                0 => Call::Number { name: format!("n{which}") },
                1 => {
                    let (name, holder) = (format!("l{which}"), format!("h{}", caller.name));
                    Call::LockStart { name, holder, hold: ms(rng.u64(20..400)) }
                }
                _ => {
                    let (name, value) = (format!("g{}.k0", which % 2), format!("v{}", self.id));
                    Call::CellPut { name, value, on: None }
                }
            };
            self.call_at(place, to, call);
        }
    }

    fn draw(&mut self, caller: &Caller, rng: &mut fastrand::Rng) -> Call {
        let Storm { edition, id, .. } = self;
        let which = rng.u8(0..NAMES);
        let lock = format!("l{which}");
        let holder = format!("h{}", caller.name);
        let key = format!("g{}.k{}", which % 2, rng.u8(0..3));
        let group = format!("g{}.", which % 2);
        if let Some((name, fence)) = caller.lock.clone()
            && rng.bool()
        {
            return match rng.bool() {
                true => Call::LockEnd { name, holder, fence },
                false => Call::LockBeat { name, holder, fence, hold: ms(rng.u64(500..4000)) },
            };
        }
        match rng.u8(0..12) {
            0..2 => Call::Number { name: format!("n{which}") },
            2..4 => Call::LockStart { name: lock, holder, hold: ms(rng.u64(300..4000)) },
            4 => {
                *edition += rng.u64(1..4);
                let mut body = edition.to_be_bytes().to_vec();
                body.resize(rng.usize(8..40_000), 7);
                Call::ConfigPut { edition: *edition, body }
            }
            5 => Call::ConfigGet,
            6..9 => {
                let on = match rng.u8(0..3) {
                    0 => None,
                    _ => Some(caller.seen.get(&key).copied().unwrap_or(0)),
                };
                Call::CellPut { name: key, value: format!("v{id}"), on }
            }
            9 => Call::CellGet { name: key },
            _ => {
                let after = caller.watched.get(&group).copied().unwrap_or(0);
                Call::Watch { group, after, wait: ms(rng.u64(0..1500)) }
            }
        }
    }

    fn call(&mut self, at: usize, call: Call, rng: &mut fastrand::Rng) {
        let up = self.sea.up();
        if up.is_empty() {
            return;
        }
        let mut to = up[rng.usize(0..up.len())];
        // Mostly as the engine does it: the steward runs it.
        if rng.u8(0..4) > 0
            && let Some(steward) = self.sea.keeper(to).and_then(|keeper| keeper.steward(&call.key()))
            && up.contains(&steward)
        {
            to = steward;
        }
        self.call_at(at, to, call);
    }

    fn call_at(&mut self, at: usize, to: NodeId, call: Call) {
        self.id += 1;
        self.history.sent(self.id, self.sea.now, call.clone());
        if let Some(caller) = self.callers.get_mut(at) {
            caller.at = to;
            caller.pending = Some((self.id, self.sea.now, call.clone()));
        }
        self.sea.call(to, self.id, call);
    }

    /// Callers take their answers, and ask again for what they wait too long for.
    fn step(&mut self) {
        for (id, at, answer) in std::mem::take(&mut self.sea.answers) {
            self.history.told(id, at, answer.clone());
            let Some(place) = self.callers.iter().position(|c| c.pending.as_ref().is_some_and(|p| p.0 == id))
            else {
                continue;
            };
            self.answered(place, at, answer);
        }
        let now = self.sea.now;
        for place in 0..self.callers.len() {
            let caller = self.callers[place].clone();
            let Some((_, since, call)) = caller.pending else { continue };
            let wait = if matches!(call, Call::Watch { .. }) { 3000 } else { 1000 };
            if now > since + ms(wait) {
                self.again(place, call);
            }
        }
    }

    fn answered(&mut self, place: usize, at: Duration, answer: Answer) {
        let caller = &mut self.callers[place];
        let Some((_, _, call)) = caller.pending.take() else { return };
        match (&call, &answer) {
            (_, Answer::Unknown | Answer::Busy) => {
                caller.next = at + ms(50);
                return self.again(place, call);
            }
            (Call::LockStart { name, .. }, Answer::Fence(fence)) => {
                caller.lock = Some((name.clone(), *fence))
            }
            (Call::LockBeat { .. }, Answer::Held) | (Call::LockEnd { .. }, _) => caller.lock = None,
            (Call::CellPut { name, .. }, Answer::Revision(r) | Answer::Conflict { revision: r }) => {
                caller.seen.insert(name.clone(), *r);
            }
            (Call::CellGet { name }, Answer::Cell { revision, .. }) => {
                caller.seen.insert(name.clone(), *revision);
            }
            (Call::Watch { group, .. }, Answer::Events { revision, .. }) => {
                caller.watched.insert(group.clone(), *revision);
            }
            _ => {}
        }
        caller.tries = 0;
    }

    /// The same call once more, or another; a lock's start is a new one anyhow.
    fn again(&mut self, place: usize, call: Call) {
        let caller = &mut self.callers[place];
        caller.pending = None;
        caller.tries += 1;
        let put = matches!(call, Call::CellPut { .. } | Call::ConfigPut { .. });
        if caller.tries < 6 && put {
            // Its value counts as refused only if every try was.
            let mut rng = self.sea.rng.fork();
            self.call(place, call, &mut rng);
        } else {
            caller.tries = 0;
            caller.next = self.sea.now + ms(50);
        }
    }

    pub fn run(&mut self, until: Duration) {
        while self.sea.now < until {
            self.sea.run(self.sea.now + ms(10));
            self.step();
        }
    }

    /// Each register is asked for through each keeper that runs, and is to be served.
    pub fn sound(&mut self, within: Duration) {
        let locks = (0..NAMES).map(|n| Call::LockStart {
            name: format!("l{n}"),
            holder: "last".into(),
            hold: ms(500),
        });
        let numbers = (0..NAMES).map(|n| Call::Number { name: format!("n{n}") });
        let keys = (0..2 * NAMES).map(|n| Call::CellGet { name: format!("g{}.k{}", n % 2, n / 2) });
        let calls: Vec<Call> =
            [Call::ConfigGet].into_iter().chain(keys).chain(numbers).chain(locks).collect();
        for node in self.sea.up() {
            if !self.sea.keeper(node).is_some_and(|keeper| keeper.is_member()) {
                continue;
            }
            for call in &calls {
                self.until_served(node, call, within);
            }
        }
    }

    fn until_served(&mut self, node: NodeId, call: &Call, within: Duration) {
        let until = self.sea.now + within;
        loop {
            self.id += 1;
            let id = self.id;
            self.history.sent(id, self.sea.now, call.clone());
            self.sea.call(node, id, call.clone());
            let told = |storm: &Storm| storm.history.calls.get(&id).and_then(|told| told.told.clone());
            while told(self).is_none() && self.sea.now < until {
                self.run(self.sea.now + ms(5));
            }
            match told(self) {
                Some((_, Answer::Unknown | Answer::Busy)) if self.sea.now < until => {
                    self.run(self.sea.now + ms(50));
                }
                Some((_, answer)) if !matches!(answer, Answer::Unknown | Answer::Busy) => return,
                other => hold!(false, Check::Served, "{call:?} at {node}: {other:?}"),
            }
        }
    }

    fn blow(&mut self, act: Act, rng: &mut fastrand::Rng) {
        let disks = self.sea.disk_machines();
        let one = disks[rng.usize(0..disks.len())];
        let (short, long) = (ms(rng.u64(50..1000)), ms(rng.u64(300..5000)));
        let tolerate = self.sea.tolerate as usize;
        match act {
            Act::Kill | Act::Power if self.sea.spares(one) => {
                self.sea.kill(one, act == Act::Power);
                let after = if rng.bool() { short } else { long };
                self.sea.restart(one, after);
            }
            Act::KillAll | Act::PowerAll => {
                for node in disks {
                    let after = ms(rng.u64(50..1500));
                    if self.sea.spares(node) {
                        self.sea.kill(node, act == Act::PowerAll);
                        self.sea.restart(node, after);
                    }
                }
            }
            Act::Freeze => self.sea.freeze(one, long),
            Act::Cut => {
                let side: Vec<NodeId> = disks.into_iter().filter(|_| rng.bool()).collect();
                self.sea.cut(&side, long);
            }
            Act::SlowDisk => {
                let until = self.sea.now + long;
                self.sea.machines.get_mut(&one).expect("a machine").slow_until = until;
            }
            Act::Weather => {
                let late = rng.u64(0..40) * u64::from(rng.bool());
                self.sea.weather = Weather { lost: rng.u64(0..60), late, doubled: rng.u64(0..30) };
            }
            // What may be lost for good is lost only while nothing else is missing.
            Act::Wipe if tolerate > 0 && self.sea.is_caught_up() => {
                let lost = rng.usize(1..=tolerate);
                let others = rng.bool();
                let mut disks = disks;
                rng.shuffle(&mut disks);
                for (at, node) in disks.into_iter().enumerate() {
                    let after = ms(rng.u64(50..1500));
                    if at < lost {
                        self.sea.wipe(node);
                        self.sea.restart(node, after);
                    } else if others {
                        self.sea.kill(node, true);
                        self.sea.restart(node, after);
                    }
                }
            }
            Act::Replace if self.sea.is_caught_up() && self.fresh < 30 => {
                self.fresh += 1;
                let new = node(self.fresh);
                let before = rng.bool();
                if before {
                    self.sea.add(new, true);
                    let wait = ms(rng.u64(0..4000));
                    self.run(self.sea.now + wait);
                }
                if !before || self.sea.is_caught_up() {
                    self.sea.remove(one);
                }
                if !before {
                    self.sea.add(new, true);
                }
            }
            Act::Clock => self.sea.set_clock(one, long * 2),
            Act::Blink => {
                let all = rng.u8(0..4) == 0;
                for node in disks.into_iter().filter(|node| all || *node == one) {
                    let after = Duration::from_micros(rng.u64(0..3000));
                    if self.sea.spares(node) {
                        self.sea.kill(node, true);
                        self.sea.restart(node, after);
                    }
                }
            }
            Act::Kill | Act::Power | Act::Wipe | Act::Replace | Act::Call | Act::Clash => {}
        }
    }
}

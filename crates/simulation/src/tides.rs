//! All orders of what is under way, for a small script: each state of three nodes is gone on from in every way, and
//! each is gone on from once.
//!
//! Time stands still meanwhile, so nobody resends or gives up. Where nothing is under way any more time goes on, all
//! comes to rest, and what callers were told is checked.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use fallgap_control_state::{Answer, Call, NodeId};

use crate::breach::{Breach, Check, hold};
use crate::history::History;
use crate::voyage::guarded;
use crate::waters::{Event, Sea, ms, node};

/// What may happen.
#[derive(Clone, Debug)]
pub struct Script {
    /// Made in this order, each when it pleases, at the node of this number.
    pub calls: Vec<(u8, Call)>,
    /// So many times a machine loses its power, and comes back: with any part of what was not synced.
    pub powers: usize,
    /// So many messages are lost, and so many come twice.
    pub lost: usize,
    pub doubled: usize,
}

/// What a walk came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Walked {
    pub states: usize,
    pub ends: usize,
    pub deepest: usize,
    /// Every state was gone on from. If not, the bound was reached.
    pub exhaustive: bool,
}

/// A breach, and the way to it: at each state the place of the step that was taken, and what it was.
#[derive(Clone, Debug, displaydoc::Display)]
pub struct Stranded {
    /// {breach}
    pub breach: Breach,
    pub way: Vec<String>,
}

#[derive(Clone, Debug)]
enum Step {
    Call,
    Happen((Duration, u64)),
    Lose((Duration, u64)),
    Double((Duration, u64)),
    Power(NodeId, usize),
}

#[derive(Clone)]
struct Tide {
    sea: Sea,
    history: History,
    /// Calls and answers in their order.
    order: Vec<(u64, Option<Answer>)>,
    left: Script,
    way: Vec<String>,
}

const NODES: u8 = 3;

impl Tide {
    fn new(script: &Script) -> Tide {
        let mut sea = Sea::founded(1, NODES, 0);
        sea.run(ms(3000));
        while !sea.events.is_empty() {
            sea.run(sea.now + Duration::from_micros(500));
        }
        let left = Script { calls: script.calls.iter().rev().cloned().collect(), ..script.clone() };
        Tide { sea, history: History::default(), order: Vec::new(), left, way: Vec::new() }
    }

    fn mark(&self) -> u64 {
        let mut mark = DefaultHasher::new();
        self.sea.mark(&mut mark);
        self.order.hash(&mut mark);
        (self.left.calls.len(), self.left.powers, self.left.lost, self.left.doubled).hash(&mut mark);
        mark.finish()
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        // What is the same twice over is one step.
        let mut seen: Vec<&Event> = Vec::new();
        for (at, event) in &self.sea.events {
            if seen.contains(&event) {
                continue;
            }
            seen.push(event);
            steps.push(Step::Happen(*at));
            if matches!(event, Event::Deliver { .. }) {
                steps.extend((self.left.lost > 0).then_some(Step::Lose(*at)));
                steps.extend((self.left.doubled > 0).then_some(Step::Double(*at)));
            }
        }
        steps.extend((!self.left.calls.is_empty()).then_some(Step::Call));
        if self.left.powers > 0 && !self.order.is_empty() {
            for (node, machine) in self.sea.machines.iter().filter(|(_, machine)| machine.keeper.is_some()) {
                steps.extend((0..=machine.loose.len()).map(|keep| Step::Power(*node, keep)));
            }
        }
        steps
    }

    fn take(&mut self, step: &Step) {
        self.way.push(self.said(step));
        let tick = Duration::from_nanos(self.way.len() as u64);
        match step {
            Step::Call => {
                let Some((n, call)) = self.left.calls.pop() else { return };
                let id = self.left.calls.len() as u64 + 1;
                self.history.sent(id, tick, call.clone());
                self.order.push((id, None));
                self.sea.call(node(n), id, call);
            }
            Step::Happen(at) => self.sea.happen(*at),
            Step::Lose(at) => {
                self.left.lost -= 1;
                self.sea.events.remove(at);
            }
            Step::Double(at) => {
                self.left.doubled -= 1;
                let again = self.sea.events.get(at).cloned();
                self.sea.happen(*at);
                self.sea.events.extend(again.map(|event| (*at, event)));
            }
            Step::Power(node, keep) => {
                self.left.powers -= 1;
                self.sea.stop(*node, *keep);
                self.sea.restart(*node, Duration::ZERO);
            }
        }
        for (id, _, answer) in std::mem::take(&mut self.sea.answers) {
            self.history.told(id, tick, answer.clone());
            self.order.push((id, Some(answer)));
        }
    }

    fn said(&self, step: &Step) -> String {
        let event = |at| format!("{:?}", self.sea.events.get(at));
        match step {
            Step::Call => format!("call {:?}", self.left.calls.last()),
            Step::Happen(at) => format!("happens {}", event(at)),
            Step::Lose(at) => format!("lost {}", event(at)),
            Step::Double(at) => format!("twice {}", event(at)),
            Step::Power(node, keep) => format!("power lost at {node}, {keep} records are kept"),
        }
    }

    /// Time goes on; each register is asked for, and everything is checked.
    fn end(mut self) {
        self.sea.run(self.sea.now + ms(2500));
        let calls: Vec<Call> = self.history.calls.values().map(|told| told.call.clone()).collect();
        for (at, call) in calls.into_iter().enumerate() {
            let id = 1000 + at as u64;
            self.history.sent(id, self.sea.now, call.clone());
            self.sea.call(node(NODES), id, call);
            self.sea.run(self.sea.now + ms(1000));
            for (id, at, answer) in std::mem::take(&mut self.sea.answers) {
                self.history.told(id, at, answer);
            }
            let told = self.history.calls.get(&id).and_then(|told| told.told.as_ref());
            let served = told.is_some_and(|(_, answer)| !matches!(answer, Answer::Unknown | Answer::Busy));
            hold!(served, Check::Served, "{told:?}");
        }
        self.history.check();
    }
}

/// Walks all states that the script leads to, up to so many.
///
/// # Errors
/// [`Stranded`]: the first breach that was met.
pub fn walk(script: &Script, most: usize) -> Result<Walked, Box<Stranded>> {
    let mut walked = Walked { exhaustive: true, ..Walked::default() };
    let mut known = HashSet::new();
    let mut open = vec![Tide::new(script)];
    while let Some(tide) = open.pop() {
        let steps = tide.steps();
        walked.deepest = walked.deepest.max(tide.way.len());
        if steps.is_empty() {
            walked.ends += 1;
            let way = tide.way.clone();
            guarded(|| tide.end()).map_err(|breach| Box::new(Stranded { breach, way }))?;
            continue;
        }
        for step in &steps {
            let mut next = tide.clone();
            let way = || tide.way.iter().cloned().chain([tide.said(step)]).collect();
            guarded(|| next.take(step)).map_err(|breach| Box::new(Stranded { breach, way: way() }))?;
            if known.insert(next.mark()) {
                open.push(next);
            }
        }
        walked.states = known.len();
        if walked.states >= most {
            walked.exhaustive = false;
            return Ok(walked);
        }
    }
    Ok(walked)
}

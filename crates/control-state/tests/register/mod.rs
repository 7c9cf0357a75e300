//! A register by itself, whose calls are judged one after the other, and what several tests of registers use.

use std::time::Duration;

use fallgap_control_state::subjects::{Limits, Memory, News, PastValues, Verdict, events_after, judge};
use fallgap_control_state::{Answer, Call, Event};

/// A register of its own, and when its value was written.
pub struct Register {
    pub held: Option<Vec<u8>>,
    written: Duration,
    pub memory: Memory,
}

impl Register {
    pub fn with(limits: Limits) -> Register {
        Register { held: None, written: Duration::ZERO, memory: Memory::with(limits) }
    }

    pub fn new() -> Register {
        Register::with(Limits::default())
    }

    /// The answer, and whether a value was written.
    pub fn call(&mut self, now: Duration, call: &Call) -> (Answer, bool) {
        match judge(call, self.held.as_deref(), now - self.written, &mut self.memory, now) {
            Verdict::Answer(answer) => (answer, false),
            Verdict::Write { value, answer } => {
                self.held = Some(value);
                self.written = now;
                (answer, true)
            }
        }
    }
}

/// What a watch is told of a group that has all values itself.
pub fn told_after(held: Option<&[u8]>, after: u64) -> Option<Answer> {
    match events_after(held, after, &PastValues::default()) {
        News::Told(answer) => Some(answer),
        News::Nothing => None,
        News::Lacking(revisions) => panic!("values are lacking: {revisions:?}"),
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn put(name: &str, value: &str, on: Option<u64>) -> Call {
    Call::CellPut { name: name.into(), value: value.into(), on }
}

pub fn event(name: &str, value: &str, revision: u64) -> Event {
    Event { name: name.into(), value: value.into(), revision }
}

pub fn get(name: &str) -> Call {
    Call::CellGet { name: name.into() }
}

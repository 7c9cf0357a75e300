//! Plays a schedule, lets all come to rest, and checks what callers were told.

use std::any::Any;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Once;
use std::time::Duration;

use fallgap_control_state::ballot::Ballot;
use fallgap_control_state::messages::Record;
use fallgap_control_state::{Answer, Key};

use crate::breach::{Breach, Check, hold};
use crate::schedule::Schedule;
use crate::storm::Storm;
use crate::waters::{Sea, Weather, ms};

/// What a run came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Log {
    pub calls: usize,
    /// Answered, and not by `Unknown` or `Busy`.
    pub good: usize,
    pub messages: usize,
    pub records: usize,
    /// The last epoch.
    pub epoch: u64,
}

thread_local! {
    static GUARDED: Cell<bool> = const { Cell::new(false) };
}

/// Runs something that ends with a panic where a check fails, and hands the breach out. What is guarded prints nothing.
pub fn guarded<T>(run: impl FnOnce() -> T) -> Result<T, Breach> {
    static QUIET: Once = Once::new();
    QUIET.call_once(|| {
        let before = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            if !GUARDED.get() {
                before(info);
            }
        }));
    });
    let outer = GUARDED.replace(true);
    let result = catch_unwind(AssertUnwindSafe(run));
    GUARDED.set(outer);
    result.map_err(breach)
}

fn breach(payload: Box<dyn Any + Send>) -> Breach {
    let payload = match payload.downcast::<Breach>() {
        Ok(breach) => return *breach,
        Err(payload) => payload,
    };
    let text = payload.downcast_ref::<String>().cloned();
    let text = text.or_else(|| payload.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    Breach::Not(Check::Panic, text.unwrap_or_default())
}

/// Plays all of it.
pub fn sail(schedule: &Schedule) -> Result<Log, Breach> {
    guarded(|| {
        let mut storm = Storm::new(schedule);
        for step in &schedule.steps {
            storm.run(ms(step.at_ms));
            storm.act(*step);
        }
        settle(&mut storm);
        storm.history.check();
        storm.log()
    })
}

/// The longest that the members may need to catch up, that a call may go unserved, and that what they hold may differ.
const CAUGHT_UP: Duration = ms(25_000);
const SERVED: Duration = ms(5_000);
const EVEN: Duration = ms(40_000);

/// All come back. Within a while the members have caught up, each register is served through each of them, and all hold the
/// same. Hands out how long it took until they had.
///
/// # Panics
/// With a [`Breach`], where that does not hold.
pub fn settle(storm: &mut Storm) -> Duration {
    storm.sea.weather = Weather::default();
    storm.sea.machines.values_mut().for_each(|machine| machine.slow_until = Duration::ZERO);
    let from = storm.sea.now;
    let until = from + CAUGHT_UP;
    while !storm.sea.is_caught_up() && storm.sea.now < until {
        storm.run(storm.sea.now + ms(50));
    }
    hold!(storm.sea.is_caught_up(), Check::CaughtUp, "{:?}", storm.sea.view());
    let caught_up = storm.sea.now - from;
    storm.sound(SERVED);
    let until = storm.sea.now + EVEN;
    while uneven(&storm.sea).is_some() && storm.sea.now < until {
        storm.run(storm.sea.now + ms(500));
    }
    let uneven = uneven(&storm.sea);
    hold!(uneven.is_none(), Check::Even, "{}", uneven.unwrap_or_default());
    caught_up
}

/// A register of which two members hold different states, and what each of them accepted and promised.
pub fn uneven(sea: &Sea) -> Option<String> {
    type Held = BTreeMap<Key, (Ballot, Ballot)>;
    let keepers = sea.machines.iter().filter_map(|(node, machine)| Some((node, machine.keeper.as_ref()?)));
    let members = keepers.filter(|(_, keeper)| keeper.is_member());
    let held = members.map(|(node, keeper)| {
        let records = keeper.snapshot();
        let records = records.iter().filter_map(|bytes| Record::read(bytes).ok());
        let accepted = records.filter_map(|record| match record {
            Record::Accept { key, ballot, promised, .. } => Some((key, (ballot, promised))),
            _ => None,
        });
        (*node, accepted.collect::<Held>())
    });
    let held: Vec<(_, Held)> = held.collect();
    let ballot = |held: &Held, key: &Key| held.get(key).map(|(ballot, _)| *ballot);
    let keys = held.iter().flat_map(|(_, held)| held.keys());
    let differs = |key: &&Key| held.iter().any(|(_, other)| ballot(other, key) != ballot(&held[0].1, key));
    let key = keys.into_iter().find(differs)?;
    let each: Vec<String> = held.iter().map(|(node, held)| format!("{node} {:?}", held.get(key))).collect();
    Some(format!("{key:?}: {}", each.join(", ")))
}

impl Storm {
    fn log(&self) -> Log {
        let answers = self.history.calls.values().filter_map(|told| told.told.as_ref());
        Log {
            calls: self.history.calls.len(),
            good: answers.filter(|(_, answer)| !matches!(answer, Answer::Unknown | Answer::Busy)).count(),
            messages: self.sea.messages,
            records: self.sea.records,
            epoch: self
                .sea
                .machines
                .values()
                .filter_map(|m| m.keeper.as_ref())
                .map(|k| k.epoch())
                .max()
                .unwrap_or(0),
        }
    }
}

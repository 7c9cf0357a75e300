//! Each kind of answer that somebody relies on, and right behind it the loss of every process: on quick disks and on slow ones,
//! with a disk lost among them or none, while words come late. What was told holds, and a call that comes again is told the same.
//! `KEPT_SEEDS` plays so many seeds of each case.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fallgap_control_state::{Answer, Call, Key, NodeId, subjects};
use fallgap_simulation::disk_times::DiskTimes;
use fallgap_simulation::schedule::{Act, Schedule, Step};
use fallgap_simulation::storm::Storm;
use fallgap_simulation::voyage::{guarded, settle};
use fallgap_simulation::waters::{Weather, ms};

/// How many times all processes are lost in one play.
const LOSSES: u32 = 2;
/// An answer of the kind that is waited for comes within that, or the processes are lost without it.
const PATIENCE: Duration = ms(12_000);
/// A caller waits so long for an answer.
const CALLER: Duration = ms(1000);
/// A call that comes again is answered within that, on whatever disks.
const AGAIN: Duration = ms(60_000);
/// Puts are known again for longer than that.
const KNOWN: Duration = ms(15_000);
/// Ids of the calls that this file makes; the storm's own are lower.
const FIRST_ID: u64 = 1 << 40;
/// The newest calls among which the answer that is waited for is.
const NEWEST: usize = 400;

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Edition,
    EditionRead,
    Fence,
    Renewal,
    LockEnded,
    LockHeld,
    Number,
    Put,
    Condition,
    Read,
    Watch,
    Accounts,
    ServerEnd,
}

const KINDS: [Kind; 13] = [
    Kind::Edition,
    Kind::EditionRead,
    Kind::Fence,
    Kind::Renewal,
    Kind::LockEnded,
    Kind::LockHeld,
    Kind::Number,
    Kind::Put,
    Kind::Condition,
    Kind::Read,
    Kind::Watch,
    Kind::Accounts,
    Kind::ServerEnd,
];

impl Kind {
    fn of(call: &Call, answer: &Answer) -> Option<Kind> {
        Some(match (call, answer) {
            (Call::ConfigPut { .. }, Answer::Done) => Kind::Edition,
            (Call::ConfigGet, Answer::Config(_)) => Kind::EditionRead,
            (Call::LockStart { .. }, Answer::Fence(_)) => Kind::Fence,
            (Call::LockBeat { .. }, Answer::Done) => Kind::Renewal,
            (Call::LockEnd { .. }, Answer::Done) => Kind::LockEnded,
            (_, Answer::Held) => Kind::LockHeld,
            (Call::Number { .. }, Answer::Value(_)) => Kind::Number,
            (Call::CellPut { .. }, Answer::Revision(_)) => Kind::Put,
            (Call::CellPut { .. }, Answer::Conflict { .. }) => Kind::Condition,
            (Call::CellGet { .. }, Answer::Cell { .. }) => Kind::Read,
            (Call::Watch { .. }, Answer::Events { .. }) => Kind::Watch,
            (Call::AccountsPut { .. }, Answer::Revision(_)) => Kind::Accounts,
            (Call::ServerEnd { .. }, Answer::Done) => Kind::ServerEnd,
            _ => return None,
        })
    }

    /// Said again, it is told the same.
    fn may_come_again(self) -> bool {
        matches!(self, Kind::Edition | Kind::LockEnded | Kind::Put | Kind::Accounts | Kind::ServerEnd)
    }
}

#[derive(Clone, Debug)]
struct Case {
    kind: Kind,
    /// None: disks as they usually are.
    times: Option<DiskTimes>,
    lost_disk: bool,
    seed: u64,
}

/// Accounts and ends of servers, which the storm's callers do not ask for: one after the other.
#[derive(Default)]
struct Operator {
    pending: Option<(u64, Duration, Call)>,
    made: u64,
    /// The revision and content of the accounts that were acknowledged last.
    accounts: Option<(u64, Vec<u8>)>,
    /// The revision that the next change is made from.
    base: u64,
    ended: BTreeSet<String>,
}

struct Play {
    case: Case,
    storm: Storm,
    rng: fastrand::Rng,
    operator: Operator,
    id: u64,
    /// Processes were lost right behind an answer of the kind.
    behind: u32,
}

impl Play {
    fn new(case: &Case) -> Play {
        let schedule = Schedule {
            seed: case.seed,
            disks: [3, 5][case.seed as usize % 2],
            plain: 0,
            tolerate: 1,
            callers: 6,
            hasty: false,
            drift_ppm: 200,
            founding: false,
            steps: Vec::new(),
        };
        let mut play = Play {
            case: case.clone(),
            storm: Storm::new(&schedule),
            rng: fastrand::Rng::with_seed(case.seed),
            operator: Operator::default(),
            id: FIRST_ID,
            behind: 0,
        };
        play.run(ms(2500));
        play.storm.sea.weather = Weather { lost: 10, late: 60, doubled: 20 };
        play.storm.sea.machines.values_mut().for_each(|machine| machine.disk_times = case.times.clone());
        play
    }

    fn now(&self) -> Duration {
        self.storm.sea.now
    }

    /// Sends a call to any keeper that runs.
    fn send(&mut self, call: &Call) -> Option<u64> {
        let up = self.storm.sea.up();
        if up.is_empty() {
            return None;
        }
        let steward = self.storm.sea.keeper(up[0]).and_then(|keeper| keeper.steward(&call.key()));
        let drawn = up[self.rng.usize(0..up.len())];
        let to = steward.filter(|node| up.contains(node) && self.rng.u8(0..4) > 0).unwrap_or(drawn);
        self.id += 1;
        self.storm.history.sent(self.id, self.now(), call.clone());
        self.storm.sea.call(to, self.id, call.clone());
        Some(self.id)
    }

    fn told(&self, id: u64) -> Option<(Duration, Answer)> {
        self.storm.history.calls.get(&id)?.told.clone()
    }

    /// The next change of the accounts, or the next end of a server.
    fn next_order(&mut self) -> Call {
        self.operator.made += 1;
        let made = self.operator.made;
        match made % 2 {
            0 => Call::AccountsPut { base: self.operator.base, body: made.to_be_bytes().to_vec() },
            _ => Call::ServerEnd { server: format!("i-{made}") },
        }
    }

    fn operate(&mut self) {
        let Some((id, since, call)) = self.operator.pending.clone() else {
            let call = self.next_order();
            let now = self.now();
            self.operator.pending = self.send(&call).map(|id| (id, now, call));
            return;
        };
        match (self.told(id).map(|(_, answer)| answer), call) {
            (None, _) if self.now() < since + CALLER => return,
            (Some(Answer::Revision(revision)), Call::AccountsPut { body, .. }) => {
                self.operator.base = revision;
                self.operator.accounts = Some((revision, body));
            }
            (Some(Answer::Conflict { revision }), _) => self.operator.base = revision,
            (Some(Answer::Done), Call::ServerEnd { server }) => _ = self.operator.ended.insert(server),
            _ => {}
        }
        self.operator.pending = None;
    }

    fn step(&mut self) {
        let dice = self.rng.u64(..);
        self.storm.act(Step { at_ms: 0, act: Act::Call, dice });
        self.storm.run(self.now() + ms(10));
    }

    fn run(&mut self, time: Duration) {
        let until = self.now() + time;
        while self.now() < until {
            self.operate();
            self.step();
        }
    }

    /// The newest answer of the kind since then.
    fn answered(&self, since: Duration) -> Option<(Call, Duration, Answer)> {
        self.storm.history.calls.values().rev().take(NEWEST).find_map(|told| {
            let (at, answer) = told.told.as_ref()?;
            let fits = *at >= since && Kind::of(&told.call, answer) == Some(self.case.kind);
            fits.then(|| (told.call.clone(), *at, answer.clone()))
        })
    }

    /// Every process ends at once, moments after an answer of the kind, and comes back within a second.
    fn lose_all(&mut self) -> Option<(Call, Duration, Answer)> {
        let since = self.now();
        let mut behind = None;
        while behind.is_none() && self.now() < since + PATIENCE {
            self.run(ms(10));
            behind = self.answered(since);
        }
        let pause = ms(self.rng.u64(0..20));
        self.run(pause);
        let disks = self.storm.sea.disk_machines();
        let lost: Option<NodeId> = (self.case.lost_disk && self.storm.sea.is_caught_up())
            .then(|| disks[self.rng.usize(0..disks.len())]);
        for node in disks {
            let back = ms(self.rng.u64(50..1000));
            match lost == Some(node) {
                true => self.storm.sea.wipe(node),
                false => self.storm.sea.kill(node, true),
            }
            self.storm.sea.restart(node, back);
        }
        // What was under way has no caller any more.
        self.operator.pending = None;
        self.behind += u32::from(behind.is_some());
        behind
    }

    /// The call that was answered comes again, until it is answered again.
    fn again(&mut self, call: &Call, at: Duration, answer: &Answer) -> Result<(), String> {
        let until = self.now() + AGAIN;
        while self.now() < until {
            let Some(id) = self.send(call) else {
                self.step();
                continue;
            };
            let waits = self.now() + CALLER;
            while self.told(id).is_none() && self.now() < waits {
                self.step();
            }
            match self.told(id) {
                None | Some((_, Answer::Unknown | Answer::Busy)) => {}
                Some((_, told)) if told == *answer => return Ok(()),
                Some((now, _)) if matches!(call, Call::CellPut { .. }) && now >= at + KNOWN => return Ok(()),
                Some((_, told)) => return Err(format!("{call:?} was told {answer:?}, and then {told:?}")),
            }
        }
        Err(format!("{call:?} is not answered again"))
    }

    /// What a read on quick disks finds.
    fn look(&mut self, key: Key) -> Result<Option<Vec<u8>>, String> {
        for _ in 0..10 {
            let Some(id) = self.send(&Call::Look { key: key.clone() }) else { continue };
            self.storm.run(self.now() + CALLER);
            if let Some((_, Answer::Looked { value })) = self.told(id) {
                return Ok(value);
            }
        }
        Err(format!("{key:?} cannot be read"))
    }

    fn check_operator(&mut self) -> Result<(), String> {
        let held = self.look(Key::ServerEnds)?;
        let ends = held.and_then(|value| subjects::server_ends_after(&value, 0).map(|ends| ends.ended));
        let known: BTreeSet<String> = ends.unwrap_or_default().into_iter().map(|(_, ended)| ended).collect();
        if let Some(missing) = self.operator.ended.difference(&known).next() {
            return Err(format!("the end of {missing} is not known"));
        }
        let held = self.look(Key::Accounts)?;
        let Some((revision, body)) = &self.operator.accounts else { return Ok(()) };
        let present = subjects::config_edition(held.as_deref());
        let same = present > Some(*revision) || subjects::accounts_body(held.as_deref()) == Some(body);
        match present >= Some(*revision) && same {
            true => Ok(()),
            false => Err(format!("accounts of revision {revision} are lost: {present:?}")),
        }
    }

    fn play(mut self) -> Result<u32, String> {
        for _ in 0..LOSSES {
            if let Some((call, at, answer)) = self.lose_all()
                && self.case.kind.may_come_again()
            {
                self.again(&call, at, &answer)?;
            }
            let rest = ms(self.rng.u64(1000..6000));
            self.run(rest);
        }
        self.storm.sea.machines.values_mut().for_each(|machine| machine.disk_times = None);
        self.run(ms(6000));
        settle(&mut self.storm);
        self.storm.history.check();
        self.check_operator()?;
        Ok(self.behind)
    }
}

fn seeds() -> u64 {
    std::env::var("KEPT_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2)
}

fn play(case: &Case) -> Result<u32, String> {
    guarded(|| Play::new(case).play()).unwrap_or_else(|breach| Err(breach.to_string()))
}

fn holds(times: Option<&DiskTimes>) {
    let mut behind: BTreeMap<Kind, u32> = BTreeMap::new();
    for (kind, lost_disk) in KINDS.into_iter().flat_map(|kind| [(kind, false), (kind, true)]) {
        for seed in 0..seeds() {
            let case = Case { kind, times: times.cloned(), lost_disk, seed };
            match play(&case) {
                Ok(lost) => *behind.entry(kind).or_default() += lost,
                Err(wrong) => panic!("{case:?}: {wrong}"),
            }
        }
    }
    println!("{times:?}: losses right behind an answer: {behind:?}");
    for kind in KINDS {
        assert!(behind.get(&kind).is_some_and(|losses| *losses > 0), "no loss right behind {kind:?}");
    }
}

/// Guards, with those below, against an answer that rests on memory alone, or on a disk that has not synced: a `leave` was
/// acknowledged so (review/3, DRAIN).
#[test]
fn what_was_told_holds_over_the_loss_of_all() {
    holds(None);
}

#[test]
fn what_was_told_holds_over_the_loss_of_all_on_slow_disks() {
    holds(Some(&DiskTimes::steady(350)));
}

#[test]
fn what_was_told_holds_over_the_loss_of_all_on_disks_that_swing() {
    holds(Some(&DiskTimes::swinging(700)));
}

#[test]
fn what_was_told_holds_over_the_loss_of_all_on_disks_that_hang() {
    holds(Some(&DiskTimes { hangs_percent: 10, hang_ms: 2000..=4000, ..DiskTimes::swinging(250) }));
}

/// Each way of telling what is not on a majority of disks is found.
#[cfg(feature = "faults")]
#[test]
fn answers_before_the_disks_have_synced_are_found() {
    use fallgap_control_state::fault::{self, Fault};
    for (fault, kind) in [(Fault::AcceptUnsynced, Kind::Put), (Fault::AcceptUnsynced, Kind::ServerEnd)] {
        fault::set(Some(fault));
        let found = (0..20).find_map(|seed| {
            play(&Case { kind, times: Some(DiskTimes::swinging(700)), lost_disk: false, seed }).err()
        });
        fault::set(None);
        println!("{fault:?}, {kind:?}: {found:?}");
        assert!(found.is_some(), "{fault:?}, {kind:?}");
    }
}

//! Calls under way: whom they came from, where they are run, and what is said when that place falls silent. A call
//! runs at the keeper that its key names, so that calls on one key do not get in each other's way; any other
//! keeper may run it as well. One that takes much longer than usual is run at a second keeper besides: every call
//! may run twice, and the first answer counts.

use crate::asks::Told;
use crate::usual::Usual;
use fallgap_keeper::{Answer, Call, Key};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// What binds the calls of one supervisor.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Under way at once; one beyond is turned away.
    pub calls: usize,
    /// A keeper that has not answered for so long is passed over.
    pub patience: Duration,
    /// A second keeper is asked after the usual time of an answer and four times its swing, but not before this:
    /// one round of a contested register is no reason.
    pub second: Duration,
    /// The caller goes on elsewhere after a second: by then it has an answer.
    pub whole: Duration,
    /// A keeper that said nothing is asked last for so long, each time in a row twice as long, up to the most.
    pub avoid: Duration,
    pub avoid_most: Duration,
    /// One that could not run a call is asked last for so long.
    pub unfit: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Terms {
            calls: 2048,
            patience: ms(400),
            second: ms(45),
            whole: ms(880),
            avoid: ms(600),
            avoid_most: ms(1500),
            unfit: ms(250),
        }
    }
}

/// Whom an answer goes to.
pub enum Caller {
    /// A thread that waits here.
    Here(SyncSender<Told>),
    /// Another supervisor, by its own number for the call.
    There(Ipv4Addr, u64),
}

/// What this supervisor makes of a keeper by its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Good,
    /// It said nothing, or could not run a call: others are asked first until then.
    Avoided {
        until: Duration,
        silent: u32,
    },
}

/// What a keeper did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    Answers,
    CannotRun,
    Silent,
}

impl Standing {
    /// The one place where it changes.
    fn after(self, now: Duration, sign: Sign, terms: &Terms) -> Standing {
        let before = match self {
            Standing::Good => 0,
            Standing::Avoided { silent, .. } => silent,
        };
        match sign {
            Sign::Answers => Standing::Good,
            Sign::CannotRun => Standing::Avoided { until: now + terms.unfit, silent: 0 },
            Sign::Silent => {
                let span = (terms.avoid * (1 << before.min(4))).min(terms.avoid_most);
                Standing::Avoided { until: now + span, silent: before + 1 }
            }
        }
    }

    fn avoided(self, now: Duration) -> bool {
        matches!(self, Standing::Avoided { until, .. } if now < until)
    }
}

/// How far a keeper is with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stand {
    /// It has not said anything. `missed`: for so long that it is held against it.
    Open { missed: bool },
    /// It has not run it, or does not know whether it has.
    Done,
}

struct Asked {
    keeper: Ipv4Addr,
    at: Duration,
    stand: Stand,
}

struct Pending {
    caller: Caller,
    call: Call,
    /// What they were asked may have taken effect unless they said otherwise.
    asked: Vec<Asked>,
    /// One of them does not know what became of it.
    doubt: bool,
    since: Duration,
    /// A watch waits for so long at will.
    wait: Duration,
    /// Then another keeper is asked, or the caller is told.
    next: Duration,
}

impl Pending {
    fn open(&self) -> impl Iterator<Item = &Asked> {
        self.asked.iter().filter(|asked| matches!(asked.stand, Stand::Open { .. }))
    }

    fn last(&self, terms: &Terms) -> Duration {
        self.since + self.wait + terms.whole
    }

    /// Who may run it. What another supervisor handed here is run here or not at all: whoever handed it on asks the
    /// others. If each keeper that cannot run it asked all the rest in its turn, one call would become thousands.
    fn runners(&self, me: Ipv4Addr, keepers: impl Fn(&Key) -> Vec<Ipv4Addr>) -> Vec<Ipv4Addr> {
        match self.caller {
            Caller::Here(_) => keepers(&self.call.key()),
            Caller::There(..) => vec![me],
        }
    }
}

/// What is to be done for a call.
pub enum Step {
    Run(u64, Call),
    Ask(Ipv4Addr, u64, Call),
    Answer(Caller, Answer),
}

pub struct Calls {
    terms: Terms,
    pending: BTreeMap<u64, Pending>,
    /// Keepers that are not simply good.
    standings: BTreeMap<Ipv4Addr, Standing>,
    usual: Usual,
    next: u64,
}

impl Calls {
    /// `first`: numbers of calls of an earlier life are not used again.
    pub fn new(terms: Terms, first: u64) -> Calls {
        let usual = Usual::default();
        Calls { terms, pending: BTreeMap::new(), standings: BTreeMap::new(), usual, next: first }
    }

    /// A call has come. `keepers`: those that may run it, the best first; `me` among them if it may run here.
    pub fn came(
        &mut self, now: Duration, me: Ipv4Addr, caller: Caller, call: Call, keepers: &[Ipv4Addr],
    ) -> Vec<Step> {
        if self.pending.len() >= self.terms.calls {
            return vec![Step::Answer(caller, Answer::Busy)];
        }
        let wait = if let Call::Watch { wait, .. } = &call { *wait } else { Duration::ZERO };
        let asked = Vec::new();
        let pending = Pending { caller, call, asked, doubt: false, since: now, wait, next: now };
        let id = self.next;
        self.next += 1;
        let mut steps = self.place(now, me, id, pending, keepers);
        // A watch's silence says nothing, so it waits at two: what one keeper does not hear of, the other does.
        if !wait.is_zero()
            && let Some(pending) = self.pending.remove(&id)
        {
            steps.extend(self.place(now, me, id, pending, keepers));
        }
        steps
    }

    fn sign(&mut self, now: Duration, keeper: Ipv4Addr, sign: Sign) {
        let before = self.standings.get(&keeper).copied().unwrap_or(Standing::Good);
        match before.after(now, sign, &self.terms) {
            Standing::Good => _ = self.standings.remove(&keeper),
            avoided => _ = self.standings.insert(keeper, avoided),
        }
    }

    fn avoided(&self, now: Duration, keeper: &Ipv4Addr) -> bool {
        self.standings.get(keeper).is_some_and(|s| s.avoided(now))
    }

    /// Sends a call to the best keeper that was not asked yet. Those that are avoided are not waited for: if only
    /// they are left, the caller is better off elsewhere.
    fn place(
        &mut self, now: Duration, me: Ipv4Addr, id: u64, mut pending: Pending, keepers: &[Ipv4Addr],
    ) -> Vec<Step> {
        let last = pending.last(&self.terms);
        let fit = |k: &&Ipv4Addr| {
            let asked = pending.asked.iter().any(|asked| asked.keeper == **k);
            !asked && (keepers.len() == 1 || !self.avoided(now, k))
        };
        let Some(next) = keepers.iter().find(fit).filter(|_| now < last).copied() else {
            if pending.open().next().is_some() && now < last {
                pending.next = last;
                self.pending.insert(id, pending);
                return Vec::new();
            }
            let sure = !pending.doubt && pending.open().next().is_none();
            return vec![Step::Answer(pending.caller, if sure { Answer::Busy } else { Answer::Unknown })];
        };
        // Only the first is helped early: a second that is as slow tells that all are.
        let first = pending.asked.is_empty() && keepers.len() > 1;
        let usual = self.usual.late().map_or(self.terms.patience, |late| late.max(self.terms.second));
        let patience = if first { usual.min(self.terms.patience) } else { self.terms.patience };
        // A watch may wait: its silence says less than another call's.
        pending.next = (now + pending.wait + patience).min(last);
        pending.asked.push(Asked { keeper: next, at: now, stand: Stand::Open { missed: false } });
        let call = pending.call.clone();
        self.pending.insert(id, pending);
        vec![if next == me { Step::Run(id, call) } else { Step::Ask(next, id, call) }]
    }

    /// A keeper says what became of a call; `from`: which one.
    pub fn answered(
        &mut self, now: Duration, me: Ipv4Addr, from: Ipv4Addr, id: u64, answer: Answer,
        keepers: impl Fn(&Key) -> Vec<Ipv4Addr>,
    ) -> Vec<Step> {
        let Some(mut pending) = self.pending.remove(&id) else { return Vec::new() };
        let open = |asked: &&mut Asked| asked.keeper == from && asked.stand != Stand::Done;
        let Some(asked) = pending.asked.iter_mut().find(open) else {
            self.pending.insert(id, pending);
            return Vec::new();
        };
        asked.stand = Stand::Done;
        let at = asked.at;
        self.sign(now, from, if answer == Answer::Busy { Sign::CannotRun } else { Sign::Answers });
        match answer {
            // It has not been run there: another may.
            Answer::Busy => {}
            Answer::Unknown => pending.doubt = true,
            answer => {
                if pending.wait.is_zero() && from != me {
                    self.usual.took(now.saturating_sub(at));
                }
                self.overtaken(now, me, &pending, at);
                return vec![Step::Answer(pending.caller, answer)];
            }
        }
        if pending.open().next().is_some() {
            self.pending.insert(id, pending);
            return Vec::new();
        }
        if pending.doubt {
            return vec![Step::Answer(pending.caller, Answer::Unknown)];
        }
        let keepers = pending.runners(me, keepers);
        self.place(now, me, id, pending, &keepers)
    }

    /// One that was asked later, `at` this time, has answered first: the others are slow at least.
    fn overtaken(&mut self, now: Duration, me: Ipv4Addr, pending: &Pending, at: Duration) {
        let slow = pending.open().filter(|asked| asked.at < at && asked.keeper != me);
        for keeper in
            slow.filter(|asked| asked.stand == Stand::Open { missed: false }).map(|asked| asked.keeper)
        {
            self.sign(now, keeper, Sign::Silent);
        }
    }

    /// Passes over keepers that say nothing.
    pub fn woke(
        &mut self, now: Duration, me: Ipv4Addr, keepers: impl Fn(&Key) -> Vec<Ipv4Addr>,
    ) -> Vec<Step> {
        let due: Vec<u64> = self.pending.iter().filter(|(_, p)| now >= p.next).map(|(id, _)| *id).collect();
        let mut steps = Vec::new();
        for id in due {
            let Some(mut pending) = self.pending.remove(&id) else { continue };
            let over = now >= pending.last(&self.terms);
            let patience = pending.wait + self.terms.patience;
            for asked in &mut pending.asked {
                let missed = (over || now >= asked.at + patience) && asked.keeper != me;
                if missed && asked.stand == (Stand::Open { missed: false }) {
                    asked.stand = Stand::Open { missed: true };
                    self.sign(now, asked.keeper, Sign::Silent);
                }
            }
            let keepers = pending.runners(me, &keepers);
            steps.extend(self.place(now, me, id, pending, &keepers));
        }
        steps
    }

    /// A keeper's process is a new one: what the old one did says nothing.
    pub fn anew(&mut self, keeper: Ipv4Addr) {
        self.standings.remove(&keeper);
    }

    pub fn next_wake(&self) -> Option<Duration> {
        self.pending.values().map(|p| p.next).min()
    }

    pub fn under_way(&self) -> usize {
        self.pending.len()
    }
}

/// Keepers in the order in which they are to run calls on a key: the same at every supervisor that knows the same.
pub fn by_key(key: &Key, mut keepers: Vec<Ipv4Addr>) -> Vec<Ipv4Addr> {
    let (kind, name) = match key {
        Key::Config => (0u8, ""),
        Key::Lock(name) => (1, name.as_str()),
        Key::Number(name) => (2, name.as_str()),
        Key::Group(name) => (3, name.as_str()),
        Key::Accounts => (4, ""),
    };
    let hash =
        |node: &Ipv4Addr| fallgap_chart::spread([kind].into_iter().chain(name.bytes()).chain(node.octets()));
    keepers.sort_by_key(|node| std::cmp::Reverse(hash(node)));
    keepers
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn node(i: u8) -> Ipv4Addr {
        Ipv4Addr::new(10, 0, 0, i)
    }

    fn call() -> Call {
        Call::Number { name: "n".into() }
    }

    /// A caller of this supervisor, who does not listen any more.
    fn here() -> Caller {
        Caller::Here(std::sync::mpsc::sync_channel(1).0)
    }

    /// One supervisor, itself no keeper, that knows three.
    struct World {
        calls: Calls,
        keepers: Vec<Ipv4Addr>,
        ids: Vec<(Ipv4Addr, u64)>,
        said: Vec<Answer>,
    }

    impl World {
        fn new() -> World {
            let keepers = vec![node(1), node(2), node(3)];
            World { calls: Calls::new(Terms::default(), 1), keepers, ids: vec![], said: vec![] }
        }
        fn take(&mut self, steps: Vec<Step>) -> &'static str {
            assert!(steps.len() < 2);
            let Some(step) = steps.into_iter().next() else { return "nothing" };
            match step {
                Step::Run(..) => "here",
                Step::Ask(to, id, _) => {
                    self.ids.push((to, id));
                    ["1", "2", "3"][usize::from(to.octets()[3]) - 1]
                }
                Step::Answer(_, answer) => {
                    let word = match answer {
                        Answer::Busy => "busy",
                        Answer::Unknown => "unknown",
                        _ => "answer",
                    };
                    self.said.push(answer);
                    word
                }
            }
        }
        fn comes(&mut self, now: Duration) -> &'static str {
            let keepers = self.keepers.clone();
            let step = self.calls.came(now, node(9), here(), call(), &keepers);
            self.take(step)
        }
        fn answers(&mut self, now: Duration, answer: Answer) -> &'static str {
            let (from, id) = self.ids.pop().expect("a call under way");
            self.says(now, from, id, answer)
        }
        fn says(&mut self, now: Duration, from: Ipv4Addr, id: u64, answer: Answer) -> &'static str {
            let keepers = self.keepers.clone();
            let step = self.calls.answered(now, node(9), from, id, answer, |_| keepers.clone());
            self.take(step)
        }
        fn wakes(&mut self, now: Duration) -> Vec<&'static str> {
            let keepers = self.keepers.clone();
            let steps = self.calls.woke(now, node(9), |_| keepers.clone());
            steps.into_iter().map(|step| self.take(vec![step])).collect()
        }
    }

    #[test]
    fn a_call_goes_on_to_others_and_ends_in_time() {
        let mut world = World::new();
        assert_eq!(world.comes(Duration::ZERO), "1");
        assert_eq!(world.answers(5 * MS, Answer::Busy), "2");
        // The second says nothing: what was asked of it may have been done.
        assert_eq!(world.wakes(405 * MS), ["3"]);
        assert_eq!(world.answers(410 * MS, Answer::Busy), "nothing");
        assert_eq!(world.wakes(879 * MS), [] as [&str; 0]);
        assert_eq!(world.wakes(880 * MS), ["unknown"]);
        // Nothing of this one was ever run.
        let mut world = World::new();
        assert_eq!(world.comes(Duration::ZERO), "1");
        assert_eq!(world.answers(1 * MS, Answer::Busy), "2");
        assert_eq!(world.answers(2 * MS, Answer::Busy), "3");
        assert_eq!(world.answers(3 * MS, Answer::Busy), "busy");
    }

    /// Fails without the standings: each call waited for the silent keeper anew, 400 ms each.
    #[test]
    fn a_silent_keeper_is_waited_for_once() {
        let mut world = World::new();
        assert_eq!(world.comes(Duration::ZERO), "1");
        assert_eq!(world.wakes(400 * MS), ["2"]);
        assert_eq!(world.answers(410 * MS, Answer::Value(1)), "answer");
        assert_eq!(world.comes(500 * MS), "2");
        assert_eq!(world.answers(510 * MS, Answer::Value(2)), "answer");
        // After a while it is asked again; silent again, it is avoided for longer.
        assert_eq!(world.comes(1001 * MS), "1");
        assert_eq!(world.wakes(1401 * MS), ["2"]);
        assert_eq!(world.answers(1402 * MS, Answer::Value(3)), "answer");
        assert_eq!(world.comes(2500 * MS), "2");
        assert_eq!(world.answers(2501 * MS, Answer::Value(3)), "answer");
        // An answer clears it.
        assert_eq!(world.comes(2602 * MS), "1");
        assert_eq!(world.answers(2603 * MS, Answer::Value(4)), "answer");
        assert_eq!(world.comes(2604 * MS), "1");
        // So does a new process at its address.
        assert_eq!(world.wakes(3004 * MS), ["2"]);
        world.calls.anew(node(1));
        assert_eq!(world.comes(3005 * MS), "1");
    }

    /// Fails without the second keeper: a call that met a frozen one took 400 ms, at each supervisor anew.
    #[test]
    fn one_that_takes_longer_than_usual_is_helped_by_a_second() {
        let mut world = World::new();
        for at in 0..20 {
            assert_eq!(world.comes(100 * at * MS), "1");
            assert_eq!(world.answers((100 * at + 10) * MS, Answer::Value(1)), "answer");
        }
        assert_eq!(world.comes(2000 * MS), "1");
        let (first, id) = world.ids[0];
        assert_eq!(world.wakes(2044 * MS), [] as [&str; 0]);
        assert_eq!(world.wakes(2045 * MS), ["2"]);
        // Not run by the second: the first is waited for, and its answer counts.
        assert_eq!(world.answers(2050 * MS, Answer::Busy), "nothing");
        assert_eq!(world.says(2060 * MS, first, id, Answer::Value(1)), "answer");
        assert_eq!(world.says(2061 * MS, first, id, Answer::Value(1)), "nothing");
        // The second is faster by far: the first is not waited for again.
        world.calls.anew(node(2));
        world.ids.clear();
        assert_eq!(world.comes(3000 * MS), "1");
        assert_eq!(world.wakes(3100 * MS), ["2"]);
        assert_eq!(world.answers(3110 * MS, Answer::Value(2)), "answer");
        assert_eq!(world.comes(3111 * MS), "2");
        assert_eq!(world.answers(3120 * MS, Answer::Value(2)), "answer");
        // One answer late by much is usual where all are: no third is asked early.
        world.calls.anew(node(1));
        assert_eq!(world.comes(4000 * MS), "1");
        assert_eq!(world.wakes(4100 * MS), ["2"]);
        assert_eq!(world.wakes(4400 * MS), [] as [&str; 0]);
        assert_eq!(world.wakes(4500 * MS), ["3"]);
    }

    /// Cut off from all keepers: callers are sent elsewhere at once, and nothing was done.
    #[test]
    fn with_none_to_ask_the_caller_goes_elsewhere_at_once() {
        let mut world = World::new();
        assert_eq!(world.comes(Duration::ZERO), "1");
        assert_eq!(world.wakes(400 * MS), ["2"]);
        assert_eq!(world.wakes(800 * MS), ["3"]);
        assert_eq!(world.wakes(880 * MS), ["unknown"]);
        assert_eq!(world.comes(890 * MS), "busy");
        world.keepers.clear();
        assert_eq!(world.comes(891 * MS), "busy");
    }

    /// Fails where a keeper that cannot run what was handed to it asks the others as the first one does: seven keepers
    /// without a majority made one call two thousand, each with its body.
    #[test]
    fn what_was_handed_here_is_run_here_or_not_at_all() {
        for (answer, wanted) in [(Some(Answer::Busy), Answer::Busy), (None, Answer::Unknown)] {
            let mut calls = Calls::new(Terms::default(), 1);
            let all = || vec![node(1), node(2), node(3)];
            let steps = calls.came(MS, node(1), Caller::There(node(3), 7), call(), &[node(1)]);
            let [Step::Run(id, _)] = steps.as_slice() else { panic!("it is to be run here") };
            let mut said = match answer {
                Some(answer) => calls.answered(2 * MS, node(1), node(1), *id, answer, |_| all()),
                None => Vec::new(),
            };
            (3..1000).for_each(|at| said.extend(calls.woke(at * MS, node(1), |_| all())));
            let told = |step: &Step| match step {
                Step::Answer(Caller::There(to, 7), answer) => *to == node(3) && *answer == wanted,
                _ => false,
            };
            assert!(said.len() == 1 && said.iter().all(told), "{wanted:?}: {} steps", said.len());
        }
    }

    /// Fails with a watch at one keeper: while that was cut off, its watchers heard of no put for seconds.
    #[test]
    fn a_watch_waits_at_two_keepers() {
        let mut world = World::new();
        let keepers = world.keepers.clone();
        let watch = Call::Watch { group: "g.".into(), after: 1, wait: 2000 * MS };
        let steps = world.calls.came(MS, node(9), here(), watch, &keepers);
        assert_eq!(steps.into_iter().map(|step| world.take(vec![step])).collect::<Vec<_>>(), ["1", "2"]);
        assert_eq!(world.wakes(2400 * MS), [] as [&str; 0]);
        let heard = || Answer::Events { events: vec![], revision: 2 };
        let (first, id) = world.ids[0];
        assert_eq!(world.answers(2399 * MS, heard()), "answer");
        assert_eq!(world.says(2399 * MS, first, id, heard()), "nothing");
        // The other did not fail: it is asked first as before.
        assert_eq!(world.comes(2400 * MS), "1");
    }
}

//! Calls under way: whom they came from, where they are run, and what is said when that place falls silent. A call
//! runs at the keeper that its key names, so that calls on one key do not get in each other's way; any other
//! keeper may run it as well.

use crate::asks::Told;
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

/// Where a call is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Here,
    At(Ipv4Addr),
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

struct Pending {
    caller: Caller,
    call: Call,
    place: Place,
    /// Keepers that were asked; what they were asked may have taken effect unless they said otherwise.
    tried: Vec<Ipv4Addr>,
    /// One of them has not said what became of it.
    doubt: bool,
    since: Duration,
    /// A watch waits for so long at will.
    wait: Duration,
    next: Duration,
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
    next: u64,
}

impl Calls {
    /// `first`: numbers of calls of an earlier life are not used again.
    pub fn new(terms: Terms, first: u64) -> Calls {
        Calls { terms, pending: BTreeMap::new(), standings: BTreeMap::new(), next: first }
    }

    /// A call has come. `keepers`: those that may run it, the best first; `me` among them if it may run here.
    pub fn came(
        &mut self, now: Duration, me: Ipv4Addr, caller: Caller, call: Call, keepers: &[Ipv4Addr],
    ) -> Step {
        if self.pending.len() >= self.terms.calls {
            return Step::Answer(caller, Answer::Busy);
        }
        let wait = if let Call::Watch { wait, .. } = &call { *wait } else { Duration::ZERO };
        let tried = Vec::new();
        let place = Place::Here;
        let pending = Pending { caller, call, place, tried, doubt: false, since: now, wait, next: now };
        self.place(now, me, pending, keepers)
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
    fn place(&mut self, now: Duration, me: Ipv4Addr, mut pending: Pending, keepers: &[Ipv4Addr]) -> Step {
        let over = now >= pending.since + pending.wait + self.terms.whole;
        let fit = |k: &&Ipv4Addr| !pending.tried.contains(k) && (keepers.len() == 1 || !self.avoided(now, k));
        let next = keepers.iter().find(fit).filter(|_| !over);
        let Some(next) = next.copied() else {
            let answer = if pending.doubt { Answer::Unknown } else { Answer::Busy };
            return Step::Answer(pending.caller, answer);
        };
        let id = self.next;
        self.next += 1;
        pending.tried.push(next);
        pending.place = if next == me { Place::Here } else { Place::At(next) };
        let last = pending.since + pending.wait + self.terms.whole;
        // A keeper of its own knows when to give up; silence of another one means nothing.
        let patience = if next == me { self.terms.whole } else { self.terms.patience };
        pending.next = (now + pending.wait + patience).min(last);
        let call = pending.call.clone();
        self.pending.insert(id, pending);
        if next == me { Step::Run(id, call) } else { Step::Ask(next, id, call) }
    }

    /// A keeper says what became of a call; `from`: which one.
    pub fn answered(
        &mut self, now: Duration, me: Ipv4Addr, from: Ipv4Addr, id: u64, answer: Answer,
        keepers: impl Fn(&Key) -> Vec<Ipv4Addr>,
    ) -> Option<Step> {
        let place = if from == me { Place::Here } else { Place::At(from) };
        if self.pending.get(&id).is_none_or(|p| p.place != place) {
            return None;
        }
        let mut pending = self.pending.remove(&id)?;
        let sign = if answer == Answer::Busy { Sign::CannotRun } else { Sign::Answers };
        self.sign(now, from, sign);
        match answer {
            // It has not been run there: another may.
            Answer::Busy => {
                let keepers = keepers(&pending.call.key());
                Some(self.place(now, me, pending, &keepers))
            }
            Answer::Unknown => {
                pending.doubt = true;
                Some(Step::Answer(pending.caller, Answer::Unknown))
            }
            answer => Some(Step::Answer(pending.caller, answer)),
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
            pending.doubt = true;
            // A watch may wait: its silence says less than another call's.
            if let Place::At(keeper) = pending.place {
                self.sign(now, keeper, Sign::Silent);
            }
            let keepers = keepers(&pending.call.key());
            steps.push(self.place(now, me, pending, &keepers));
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
    };
    // FNV-1a, then a mix: near names must not all fall to one keeper.
    let hash = |node: &Ipv4Addr| {
        let bytes = [kind].into_iter().chain(name.bytes()).chain(node.octets());
        let sum =
            bytes.fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        let mixed = (sum ^ (sum >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ (mixed >> 29)
    };
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
        fn take(&mut self, step: Step) -> &'static str {
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
            let step = self.calls.came(now, node(9), Caller::There(node(8), 1), call(), &keepers);
            self.take(step)
        }
        fn answers(&mut self, now: Duration, answer: Answer) -> &'static str {
            let (from, id) = self.ids.pop().expect("a call under way");
            let keepers = self.keepers.clone();
            let step = self.calls.answered(now, node(9), from, id, answer, |_| keepers.clone());
            step.map_or("nothing", |step| self.take(step))
        }
        fn wakes(&mut self, now: Duration) -> Vec<&'static str> {
            let keepers = self.keepers.clone();
            let steps = self.calls.woke(now, node(9), |_| keepers.clone());
            steps.into_iter().map(|step| self.take(step)).collect()
        }
    }

    #[test]
    fn a_call_goes_on_to_others_and_ends_in_time() {
        let mut world = World::new();
        assert_eq!(world.comes(Duration::ZERO), "1");
        assert_eq!(world.answers(5 * MS, Answer::Busy), "2");
        // The second says nothing: what was asked of it may have been done.
        assert_eq!(world.wakes(405 * MS), ["3"]);
        assert_eq!(world.answers(410 * MS, Answer::Busy), "unknown");
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
}

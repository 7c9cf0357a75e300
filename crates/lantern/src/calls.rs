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
}

impl Default for Terms {
    fn default() -> Self {
        Terms { calls: 2048, patience: Duration::from_millis(400), whole: Duration::from_millis(880) }
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
    next: u64,
}

impl Calls {
    /// `first`: numbers of calls of an earlier life are not used again.
    pub fn new(terms: Terms, first: u64) -> Calls {
        Calls { terms, pending: BTreeMap::new(), next: first }
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

    /// Sends a call to the best keeper that was not asked yet.
    fn place(&mut self, now: Duration, me: Ipv4Addr, mut pending: Pending, keepers: &[Ipv4Addr]) -> Step {
        let over = now >= pending.since + pending.wait + self.terms.whole;
        let next = keepers.iter().find(|k| !pending.tried.contains(k)).filter(|_| !over);
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
            let keepers = keepers(&pending.call.key());
            steps.push(self.place(now, me, pending, &keepers));
        }
        steps
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

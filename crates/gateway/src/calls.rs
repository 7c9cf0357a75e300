//! Calls under way: whom they came from, where they are run, and what is said when that place falls silent. A call
//! runs at the keeper that its key names, so that calls on one key do not get in each other's way; any other
//! keeper may run it as well. One that takes much longer than usual is run at a second keeper besides: every call
//! may run twice, and the first answer counts.

use crate::asks::Told;
use crate::usual::Usual;
use crate::withdrawn::Withdrawn;
use fallgap_control_state::{Answer, Call, Key};
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
    /// The caller goes on elsewhere after a second: by then it has an answer. A call of another supervisor that is older
    /// as it comes is not begun.
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
    /// This supervisor itself, for the end of a server, by its number.
    End(u64),
    /// This supervisor itself, for the lock of a part of the quotas.
    Quota(u32),
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
}

/// What is to be done for a call.
pub enum Step {
    /// It is run here; so long ago it came to whoever took it from its caller.
    Run(u64, Call, Duration),
    /// Another supervisor is asked; so long ago the call came here.
    Ask(Ipv4Addr, u64, Call, Duration),
    Answer(Caller, Answer),
    /// Nobody waits for it any more: what of it was not begun here, or there, is not to be run.
    Stop(u64, Key),
    Withdraw(Ipv4Addr, u64),
}

pub struct Calls {
    terms: Terms,
    pending: BTreeMap<u64, Pending>,
    /// Keepers that are not simply good.
    standings: BTreeMap<Ipv4Addr, Standing>,
    usual: Usual,
    withdrawn: Withdrawn,
    next: u64,
}

impl Calls {
    /// `first`: numbers of calls of an earlier life are not used again.
    pub fn new(terms: Terms, first: u64) -> Calls {
        let (pending, standings) = (BTreeMap::new(), BTreeMap::new());
        let (usual, withdrawn) = (Usual::default(), Withdrawn::default());
        Calls { terms, pending, standings, usual, withdrawn, next: first }
    }

    /// A call has come. `keepers`: those that may run it, the best first; `me` among them if it may run here.
    pub fn came(
        &mut self, now: Duration, me: Ipv4Addr, caller: Caller, call: Call, keepers: &[Ipv4Addr],
    ) -> Vec<Step> {
        self.came_aged(now, me, caller, call, keepers, Duration::ZERO)
    }

    /// As [`Calls::came`], for one that is so old: past `whole` it is not begun, and what is begun ends by then.
    pub fn came_aged(
        &mut self, now: Duration, me: Ipv4Addr, caller: Caller, call: Call, keepers: &[Ipv4Addr],
        age: Duration,
    ) -> Vec<Step> {
        // Its caller has gone on: it is neither run nor answered.
        if let Caller::There(from, number) = caller
            && self.withdrawn.holds(now, from, number)
        {
            return Vec::new();
        }
        let may_be_withdrawn = matches!(caller, Caller::There(..)) && self.withdrawn.is_over(now);
        if may_be_withdrawn || self.pending.len() >= self.terms.calls {
            return vec![Step::Answer(caller, Answer::Busy)];
        }
        let wait = if let Call::Watch { wait, .. } = &call { *wait } else { Duration::ZERO };
        let asked = Vec::new();
        let since = now.saturating_sub(age);
        let pending = Pending { caller, call, asked, doubt: false, since, wait, next: now };
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
        // Another's call is run here or nowhere: whoever asked goes on elsewhere itself. Handed on, it would go round
        // between keepers that cannot run it, more of it each time, and be run by one long after its caller was told.
        let only = [me];
        let keepers = if matches!(pending.caller, Caller::There(..)) { &only } else { keepers };
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
            return told(id, me, pending, if sure { Answer::Busy } else { Answer::Unknown });
        };
        // Only the first is helped early: a second that is as slow tells that all are.
        let first = pending.asked.is_empty() && keepers.len() > 1;
        let usual = self.usual.late().map_or(self.terms.patience, |late| late.max(self.terms.second));
        let patience = if first { usual.min(self.terms.patience) } else { self.terms.patience };
        // A watch may wait: its silence says less than another call's.
        pending.next = (now + pending.wait + patience).min(last);
        pending.asked.push(Asked { keeper: next, at: now, stand: Stand::Open { missed: false } });
        let (call, waited) = (pending.call.clone(), now.saturating_sub(pending.since));
        self.pending.insert(id, pending);
        vec![if next == me { Step::Run(id, call, waited) } else { Step::Ask(next, id, call, waited) }]
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
                return told(id, me, pending, answer);
            }
        }
        if pending.open().next().is_some() {
            self.pending.insert(id, pending);
            return Vec::new();
        }
        if pending.doubt {
            return vec![Step::Answer(pending.caller, Answer::Unknown)];
        }
        let keepers = keepers(&pending.call.key());
        self.place(now, me, id, pending, &keepers)
    }

    /// Another supervisor does not wait for its call, which it knows by this number, any more. The call itself may
    /// come later.
    pub fn withdrawn(&mut self, now: Duration, me: Ipv4Addr, from: Ipv4Addr, number: u64) -> Vec<Step> {
        self.withdrawn.add(now, from, number);
        let its = |pending: &Pending| matches!(pending.caller, Caller::There(node, its) if (node, its) == (from, number));
        let Some(id) = self.pending.iter().find(|(_, pending)| its(pending)).map(|(id, _)| *id) else {
            return Vec::new();
        };
        self.pending.remove(&id).map_or_else(Vec::new, |pending| withdrawals(id, me, &pending).collect())
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
            let keepers = keepers(&pending.call.key());
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

/// The caller is told; whoever may still run the call is not to. The withdrawals go first: the caller may act at once.
fn told(id: u64, me: Ipv4Addr, pending: Pending, answer: Answer) -> Vec<Step> {
    let mut steps: Vec<Step> = withdrawals(id, me, &pending).collect();
    steps.push(Step::Answer(pending.caller, answer));
    steps
}

fn withdrawals(id: u64, me: Ipv4Addr, pending: &Pending) -> impl Iterator<Item = Step> {
    let step = move |keeper| match keeper == me {
        true => Step::Stop(id, pending.call.key()),
        false => Step::Withdraw(keeper, id),
    };
    pending.open().map(|asked| asked.keeper).map(step)
}

/// Keepers in the order in which they are to run calls on a key: the same at every supervisor that knows the same.
pub fn by_key(key: &Key, mut keepers: Vec<Ipv4Addr>) -> Vec<Ipv4Addr> {
    keepers.sort_by_key(|node| std::cmp::Reverse(ordered_hash(key, node)));
    keepers
}

/// What keepers are put in order by, for one key: the higher the earlier.
pub fn ordered_hash(key: &Key, node: &Ipv4Addr) -> u64 {
    let (kind, name) = match key {
        Key::Config => (0u8, ""),
        Key::Lock(name) => (1, name.as_str()),
        Key::Number(name) => (2, name.as_str()),
        Key::Group(name) => (3, name.as_str()),
        Key::Accounts => (4, ""),
        Key::ServerEnds => (5, ""),
    };
    fallgap_config::spread([kind].into_iter().chain(name.bytes()).chain(node.octets()))
}

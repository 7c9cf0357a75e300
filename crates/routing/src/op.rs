//! One op: its tries, what each proves, and what is to be done next.

use crate::why::Why;
use fallgap_config::{Route, RouteClass};
use std::time::Duration;

/// What the route and the client set for an op.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    pub class: RouteClass,
    pub began: Duration,
    /// Then it is over.
    pub deadline: Duration,
    pub target: Duration,
    pub priority: u8,
    /// The most servers that it may be sent to.
    pub attempts: u32,
    /// Connections in vain after which it is refused.
    pub connects: u32,
}

impl Plan {
    /// `wait`: how long the client waits, if it says so.
    pub fn new(now: Duration, route: &Route, wait: Option<Duration>, connects: u32) -> Plan {
        let held = wait.map_or(route.timeout, |wait| wait.min(route.timeout));
        Plan {
            class: route.class,
            began: now,
            deadline: now + held,
            target: route.target,
            priority: route.priority,
            attempts: route.attempts.max(1),
            connects,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryState {
    /// Nothing has left.
    Connecting,
    /// A byte may have left: only the server's own word proves that it did not run.
    Sent,
    /// It has ended, and so.
    Ended(TryOutcome),
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// No byte has left.
    NotSent,
    /// The server said that it did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The server answered with a failure of its own.
    Failed,
    /// The server answered.
    Answered,
}

/// What a client is told of an op that no server answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// It has not run and will not: 503.
    NotRun,
    /// It may have run: 502.
    Unknown,
    /// Its time is over, and it may have run: 504.
    Late,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Something is under way.
    Wait,
    /// Another server is to be asked.
    Try,
    /// The server's answer goes to the client.
    Pass,
    Reply(Final),
    /// The answer breaks off on its way: so must the client's connection.
    Break,
}

#[derive(Clone, Debug)]
pub struct Op {
    pub plan: Plan,
    tries: Vec<TryState>,
    /// The try whose answer goes to the client as it comes: it is the only one from then on.
    passing: Option<usize>,
    /// Its client has left: no other server is asked.
    left: bool,
    over: bool,
}

impl Op {
    pub fn new(plan: Plan) -> Op {
        Op { plan, tries: Vec::new(), passing: None, left: false, over: false }
    }

    /// A try begins. Gives its number.
    pub fn begin(&mut self) -> usize {
        self.tries.push(TryState::Connecting);
        self.tries.len() - 1
    }

    /// The first byte of a try is about to leave.
    pub fn sends(&mut self, number: usize) {
        self.turn(number, TryState::Sent);
    }

    /// The answer of a try begins to go to the client. `false`: it may not.
    pub fn passes(&mut self, number: usize) -> bool {
        let may = !self.over
            && self.passing.is_none()
            && self.plan.class == RouteClass::Outbound
            && self.tries.get(number) == Some(&TryState::Sent);
        if may {
            self.passing = Some(number);
        }
        may
    }

    pub fn is_passing(&self) -> bool {
        self.passing.is_some()
    }

    /// The last try begun found no connection to be had: it is as if it had never been.
    pub fn dismissed(&mut self, number: usize) {
        if number + 1 == self.tries.len() && self.tries.last() == Some(&TryState::Connecting) {
            self.tries.pop();
        }
    }

    /// The one change of a try's state: only onwards.
    fn turn(&mut self, number: usize, to: TryState) {
        let Some(state) = self.tries.get_mut(number) else { return };
        *state = match (*state, to) {
            (TryState::Ended(outcome), _) => TryState::Ended(outcome),
            (TryState::Sent, TryState::Connecting) => TryState::Sent,
            // What was sent may have run whatever else is said.
            (TryState::Sent, TryState::Ended(TryOutcome::NotSent)) => TryState::Ended(TryOutcome::Unknown),
            (_, to) => to,
        };
    }

    /// Whether a byte of any try may have left.
    pub fn was_sent(&self) -> bool {
        self.arrivals() > 0
    }

    /// Servers that it was sent to.
    pub fn arrivals(&self) -> u32 {
        let sent =
            |state: &&TryState| !matches!(state, TryState::Connecting | TryState::Ended(TryOutcome::NotSent));
        self.tries.iter().filter(sent).count() as u32
    }

    fn any(&self, of: impl Fn(&TryState) -> bool) -> bool {
        self.tries.iter().any(of)
    }

    pub fn is_live(&self) -> bool {
        self.any(|state| !matches!(state, TryState::Ended(_)))
    }

    /// A try ended. `budget`: whether one more arrival may be spent.
    pub fn ended(&mut self, now: Duration, number: usize, outcome: TryOutcome, budget: bool) -> Next {
        self.turn(number, TryState::Ended(outcome));
        match outcome {
            _ if self.over => Next::Wait,
            // What has left can not be taken back, and no other answer may follow it.
            _ if self.passing.is_some_and(|passing| passing != number) => Next::Wait,
            _ if self.is_passing() && outcome != TryOutcome::Answered => self.over(Next::Break),
            TryOutcome::Answered => self.over(Next::Pass),
            // Another try that is under way may still answer.
            _ if self.is_live() => Next::Wait,
            _ if self.may_try(now, budget) => Next::Try,
            TryOutcome::Failed => self.over(Next::Pass),
            _ => self.give_up(now),
        }
    }

    /// There is no server, or no room at any.
    pub fn nowhere(&mut self, now: Duration) -> Next {
        if self.is_live() { Next::Wait } else { self.give_up(now) }
    }

    /// Its time is over.
    pub fn late(&mut self) -> Next {
        if self.is_passing() {
            return self.over(Next::Break);
        }
        self.over(Next::Reply(if self.may_have_run() { Final::Late } else { Final::NotRun }))
    }

    /// Its client has left. What may run once and was sent runs on where it is; all else ends now.
    pub fn client_left(&mut self) -> Next {
        self.left = true;
        let runs_on = !self.plan.class.may_run_again() && self.any(|state| *state == TryState::Sent);
        if self.over || runs_on {
            return Next::Wait;
        }
        if self.is_passing() {
            return self.over(Next::Break);
        }
        self.over(Next::Reply(if self.may_have_run() { Final::Unknown } else { Final::NotRun }))
    }

    /// Whether a second server may be asked while the first is silent.
    pub fn may_hedge(&self, now: Duration, budget: bool) -> bool {
        self.plan.class.may_run_again()
            && !self.is_passing()
            && self.tries.len() == 1
            && self.is_live()
            && self.may_try(now, budget)
    }

    fn may_try(&self, now: Duration, budget: bool) -> bool {
        !self.over && self.barred(now, budget).is_none()
    }

    /// What forbids one more try, if something does.
    pub fn barred(&self, now: Duration, budget: bool) -> Option<Why> {
        let arrivals = self.arrivals();
        let connects = self.tries.len() as u32 - arrivals;
        let again = self.plan.class.may_run_again() || !self.may_have_run();
        let bars = [
            (self.left, Why::Abandoned),
            (!again, Why::Once),
            (now >= self.plan.deadline, Why::Time),
            (arrivals >= self.plan.attempts, Why::Attempts),
            (connects >= self.plan.connects, Why::Connects),
            (arrivals > 0 && !budget, Why::Budget),
        ];
        bars.into_iter().find(|(bars, _)| *bars).map(|(_, why)| why)
    }

    /// Whether a server may have carried it out.
    pub fn may_have_run(&self) -> bool {
        use TryOutcome as O;
        self.any(|state| {
            matches!(state, TryState::Sent | TryState::Ended(O::Unknown | O::Failed | O::Answered))
        })
    }

    fn give_up(&mut self, now: Duration) -> Next {
        let end = match self.may_have_run() {
            false => Final::NotRun,
            true if now >= self.plan.deadline => Final::Late,
            true => Final::Unknown,
        };
        self.over(Next::Reply(end))
    }

    fn over(&mut self, next: Next) -> Next {
        self.over = true;
        next
    }
}

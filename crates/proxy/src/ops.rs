//! Ops: from a whole request to its answer.

use crate::admission::{KEYED_DEADLINE, Refused};
use crate::client::{ClientState, Outgoing};
use crate::clients::Ahead;
use crate::line::TryAt;
use crate::logbook::{Draft, Over};
use crate::operations::OperationState;
use crate::quay::Quay;
use crate::timers::{ClientKey, LineKey, OpKey, Who};
use fallgap_config::{Configuration, Customer, RouteClass, plain_host};
use fallgap_control_state::{Attempt, OperationId};
use fallgap_routing::{
    Answer, Ended, Final, KeptAnswer, Next, Op, Plan, Request, Sender, ServerKey, ServiceKey, TryOutcome,
    Why, answer_head, own_answer,
};
use std::sync::Arc;
use std::time::Duration;

/// An op at work.
pub(crate) struct OpEntry {
    pub core: Op,
    pub request: Box<Request>,
    /// Who asked. An op that has to run on outlasts its client.
    pub client: ClientKey,
    pub service: ServiceKey,
    pub route: Arc<str>,
    pub cargo: f64,
    pub tries: Vec<Try>,
    /// Servers that it was at, or that had no room.
    pub skip: Vec<ServerKey>,
    /// Then a second server is asked if the first is silent.
    pub hedge_at: Option<Duration>,
    pub noted: Option<Duration>,
    pub edition: u64,
    pub sender: Sender,
    /// It has a token of its customer's quota.
    pub has_token: bool,
    /// What it is to carry out once.
    pub operation: Option<OperationId>,
    /// The own attempt at it.
    pub claim: Option<Attempt>,
    pub stage: Stage,
    /// What is told of it afterwards.
    pub draft: Draft,
}

/// What an op waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A token of its customer's quota.
    Quota,
    /// Votes on its claim.
    Votes,
    /// The word of the supervisor that began its operation.
    Owner { number: u64, by_majority: bool, until: Duration },
    /// Servers.
    Tries,
}

/// A try that is under way.
#[derive(Clone, Copy)]
pub(crate) struct Try {
    pub number: usize,
    pub line: LineKey,
    pub server: ServerKey,
    pub began: Duration,
    /// A byte has left.
    pub sent: bool,
}

impl Quay {
    pub(crate) fn begin_op(&mut self, now: Duration, key: ClientKey, began: Duration, request: Box<Request>) {
        self.counters.requests += 1;
        match self.read_ahead(now, key) {
            Ahead::Open => {}
            Ahead::Closed => return self.asked_for_nobody(now, key, began, &request),
            Ahead::Broken => return,
        }
        if self.lease.is_behind(now) {
            self.counters.behind += 1;
            self.refused(now, began, &request, 503, Why::Behind, None);
            return self.not_run(now, key, &request);
        }
        let head = &request.head;
        // Before the first view no route is known to be missing.
        let Some(routing) = &self.routing else {
            self.refused(now, began, &request, 503, Why::NoView, None);
            return self.not_run(now, key, &request);
        };
        let found = routing.find_index(head.host(), head.path());
        let configuration = routing.configuration().clone();
        let edition = configuration.edition;
        let owner = configuration.licences.as_ref().and_then(|licences| licences.owner(found?));
        if (owner.is_some() || self.lease.is_told())
            && self.lease.doubts(now, &plain_host(head.host()), head.path(), owner.is_some())
        {
            self.counters.doubted += 1;
            return self.not_run(now, key, &request);
        }
        let Some(route) = found.and_then(|at| configuration.routes.get(at)) else {
            if self.lease.is_unsure(now) {
                self.counters.doubted += 1;
                self.refused(now, began, &request, 503, Why::Unconfirmed, None);
                return self.not_run(now, key, &request);
            }
            self.counters.no_route += 1;
            self.refused(now, began, &request, 404, Why::NoRoute, None);
            return self.own_answer(now, key, &request, 404, None);
        };
        let mut plan = Plan::new(began, route, head.wait, self.terms.pilot.connects);
        let route_name = route.name.clone();
        let sender = match self.identify(now, &configuration, head, route.is_open) {
            Ok(sender) => sender,
            Err(refused) => return self.not_admitted(now, key, began, &request, refused, route_name),
        };
        let operation = match self.operation(route.class, head, &sender) {
            Ok(operation) => operation,
            Err(refused) => return self.not_admitted(now, key, began, &request, refused, route_name),
        };
        if let Some(operation) = operation {
            plan.deadline = plan.deadline.min(began + KEYED_DEADLINE);
            if self.repeats(now, key, began, &request, operation) {
                return;
            }
        }
        let customer = customer_of(&configuration, &sender);
        let below = self.ranks_below(&configuration, customer, plan.priority);
        let is_limited = customer.is_some_and(Customer::is_limited);
        let service = self.fleet.sorted(&route.sorting);
        let let_in = service.filter(|service| self.fleet.arrives(now, *service, below));
        let Some(service) = let_in.filter(|_| now < plan.deadline) else {
            self.counters.pressed += 1;
            let why = match service {
                None => Why::NoServer,
                Some(_) if let_in.is_none() => Why::Gate,
                Some(_) => Why::Time,
            };
            self.refused(now, began, &request, 503, why, Some((route_name, service)));
            return self.not_run(now, key, &request);
        };
        let route = route_name;
        if !self.draught.has_room(&route, plan.class, plan.target, request.head.wait) {
            self.counters.laden += 1;
            self.refused(now, began, &request, 503, Why::Laden, Some((route, Some(service))));
            return self.own_answer(now, key, &request, 503, Some(self.terms.elsewhere));
        }
        let cargo = self.draught.loads(&route);
        let hedge =
            plan.class.may_run_again().then(|| self.fleet.hedge_after(service, plan.target)).flatten();
        let core = Op::new(plan);
        let (tries, skip) = (Vec::new(), Vec::new());
        let hedge_at = hedge.map(|after| now + after);
        let entry = OpEntry {
            core,
            request,
            client: key,
            service,
            route,
            cargo,
            tries,
            skip,
            hedge_at,
            noted: None,
            edition,
            sender,
            has_token: false,
            operation,
            claim: None,
            stage: Stage::Tries,
            draft: Draft::default(),
        };
        self.memory += entry.request.body.len();
        let op = self.ops.insert(entry);
        if let Some(client) = self.clients.get_mut(key) {
            client.until = plan.deadline;
            client.turn(now, ClientState::Working(op));
        }
        self.admit(now, op, is_limited);
    }

    /// How many ranks stand under a request's own: its customer's weighs more than its route's.
    fn ranks_below(&self, configuration: &Configuration, customer: Option<&Customer>, priority: u8) -> u8 {
        let below = self.last_priority.saturating_sub(priority);
        let Some(customers) = &configuration.customers else { return below };
        let lowest = customers.lowest_priority();
        let above = lowest.saturating_sub(customer.map_or(lowest, |customer| customer.priority));
        above.saturating_mul(self.last_priority.saturating_add(1)).saturating_add(below)
    }

    fn not_admitted(
        &mut self, now: Duration, key: ClientKey, began: Duration, request: &Request, refused: Refused,
        route: Arc<str>,
    ) {
        let Refused(status, why) = refused;
        self.refused(now, began, request, status, why, Some((route, None)));
        match why {
            Why::NoKey => self.counters.no_key += 1,
            Why::NoOperationKey => self.counters.malformed += 1,
            _ => self.counters.keys_lapsed += 1,
        }
        if status == 503 {
            return self.not_run(now, key, request);
        }
        self.own_answer(now, key, request, status, None);
    }

    /// Does what an op's core says.
    pub(crate) fn act(&mut self, now: Duration, op: OpKey, next: Next, answer: Option<Answer>) {
        match next {
            Next::Wait => self.set_op_due(op),
            Next::Try if self.is_waited_for(now, op) => self.start_try(now, op),
            Next::Try => {}
            Next::Pass => {
                if let Some((op, answer)) = self.ops.get(op).zip(answer.as_ref()) {
                    self.draught.brought(&op.route, answer.told_length.unwrap_or(answer.body.len()));
                }
                let status = answer.as_ref().map_or(502, |answer| answer.status);
                self.keep_answer(op, answer.as_ref());
                self.finish(now, op, status, |quay, client, request| match answer {
                    Some(answer) => quay.pass(now, client, request, answer),
                    None => quay.own_answer(now, client, request, status, None),
                });
            }
            // Its head had left already, and it was a good one.
            Next::Break => {
                self.finish(now, op, 200, |quay, client, _| quay.close_client(now, client));
            }
            Next::Reply(end) => {
                let status = match end {
                    Final::NotRun => 503,
                    Final::Unknown => 502,
                    Final::Late => 504,
                };
                self.finish(now, op, status, |quay, client, request| match end {
                    Final::NotRun => quay.not_run(now, client, request),
                    Final::Unknown => {
                        quay.counters.unknown += 1;
                        quay.own_answer(now, client, request, status, None);
                    }
                    Final::Late => {
                        quay.counters.late += 1;
                        quay.own_answer(now, client, request, status, None);
                    }
                });
            }
        }
    }

    /// An op is over: its tries end, and its client gets an answer.
    pub(crate) fn finish(
        &mut self, now: Duration, key: OpKey, status: u16,
        answer: impl FnOnce(&mut Quay, ClientKey, &Request),
    ) {
        self.end_admission(key);
        let Some(mut op) = self.ops.remove(key) else { return };
        self.timers.set(&mut op.noted, None, Who::Op(key));
        self.memory = self.memory.saturating_sub(op.request.body.len());
        self.draught.unloads(op.cargo);
        let patience = op.core.plan.target / 2;
        let class = op.core.plan.class;
        for one in op.tries.drain(..) {
            let (outcome, how) = self.drop_try(now, one, class, patience);
            // It was not silent if a part of its answer has left.
            let how = if op.draft.why == Why::Broke { Ended::Failed } else { how };
            op.draft.ended(one.server, now.saturating_sub(op.core.plan.began), outcome, how);
        }
        let left = self.clients.get(op.client).is_none_or(|client| client.closed);
        if left && op.draft.why == Why::Answered {
            self.counters.unheard += 1;
            op.draft.why = Why::Unheard;
        }
        let (came, id) = (op.core.plan.began, op.request.head.id());
        let (edition, service, draft) = (op.edition, Some(op.service), op.draft);
        let over = Over { id, status, came, edition, route: Some(op.route), service, draft };
        self.logbook.over(now, over);
        if self.clients.contains_key(op.client) {
            answer(self, op.client, &op.request);
        }
    }

    /// An op's answer is kept for the repeats of its operation.
    fn keep_answer(&mut self, key: OpKey, answer: Option<&Answer>) {
        let Some(op) = self.ops.get_mut(key) else { return };
        if let (Some(claim), Some(operation)) = (op.claim.take(), op.operation) {
            self.operations.ended(operation, claim, answer.map(KeptAnswer::of));
        }
    }

    /// An op ends: what it has claimed and not begun is free again, and its token is another's if it was not spent.
    fn end_admission(&mut self, key: OpKey) {
        let Some(op) = self.ops.get(key) else { return };
        if op.has_token
            && !op.core.was_sent()
            && let Some(customer) = op.sender.customer()
        {
            self.quotas.put_back(customer);
        }
        if op.core.may_have_run() {
            self.keep_answer(key, None);
        } else {
            self.give_claim_up(key);
        }
    }

    /// An op is refused before it is one.
    pub(crate) fn refused(
        &mut self, now: Duration, came: Duration, request: &Request, status: u16, why: Why,
        route: Option<(Arc<str>, Option<ServiceKey>)>,
    ) {
        let edition = self.routing.as_ref().map_or(0, |routing| routing.configuration().edition);
        let (route, service) = route.map_or((None, None), |(route, service)| (Some(route), service));
        let (draft, id) = (Draft::of(why), request.head.id());
        self.logbook.over(now, Over { id, status, came, edition, route, service, draft });
    }

    /// A try is of no use any more: another has answered, or time is over.
    fn drop_try(
        &mut self, now: Duration, one: Try, class: RouteClass, patience: Duration,
    ) -> (TryOutcome, Ended) {
        // Was it silent all the while?
        let waited = now.saturating_sub(one.began);
        let how = if one.sent && waited >= patience { Ended::Silent(waited) } else { Ended::Void };
        self.fleet.ended(now, one.server, class, how);
        self.close_line(one.line);
        (if one.sent { TryOutcome::Unknown } else { TryOutcome::NotSent }, how)
    }

    /// A large answer goes on as it comes: read whole first, it would cross a thin link twice, one time after the
    /// other, and leave in one heap before which small answers wait.
    pub(crate) fn pass_on(&mut self, now: Duration, key: LineKey, at: TryAt) {
        let Some((op, line)) = self.ops.get_mut(at.op).zip(self.lines.get_mut(key)) else { return };
        let client = op.client;
        if !op.core.is_passing() {
            let id = op.request.head.id();
            let long =
                line.reader.answer().told_length.is_some_and(|told| told >= self.terms.pilot.pass_from);
            if !long || !line.reader.is_sound(id) || !op.core.passes(at.number) {
                return;
            }
            let patience = op.core.plan.target / 2;
            let (mine, others): (Vec<Try>, Vec<Try>) =
                std::mem::take(&mut op.tries).into_iter().partition(|one| one.number == at.number);
            let class = op.core.plan.class;
            (op.tries, op.hedge_at) = (mine, None);
            let keep = op.request.head.keep;
            for one in others {
                let (outcome, how) = self.drop_try(now, one, class, patience);
                let Some(op) = self.ops.get_mut(at.op) else { return };
                op.draft.ended(one.server, now.saturating_sub(op.core.plan.began), outcome, how);
            }
            let ends = self.ends(client, keep);
            let Some((op, line)) = self.ops.get(at.op).zip(self.lines.get(key)) else { return };
            let mut head = Vec::with_capacity(512);
            answer_head(line.reader.answer(), op.request.head.id(), ends, &mut head);
            let Some(held) = self.clients.get_mut(client) else { return };
            held.out = Outgoing::new(head, Vec::new());
            held.turn(now, ClientState::Passing { op: at.op, keep: ends != fallgap_routing::Ends::Closed });
        }
        let Some((line, held)) = self.lines.get_mut(key).zip(self.clients.get_mut(client)) else { return };
        held.out.push(&line.reader.take_body());
        let rest = line.reader.held();
        self.memory = (self.memory + rest).saturating_sub(std::mem::replace(&mut line.held, rest));
        self.write_client(now, client);
    }

    /// A server's answer goes to the client.
    fn pass(&mut self, now: Duration, key: ClientKey, request: &Request, mut answer: Answer) {
        self.counters.passed += 1;
        if let Some(client) = self.clients.get_mut(key)
            && let ClientState::Passing { keep, .. } = client.state
        {
            client.out.push(&answer.body);
            client.turn(now, ClientState::Writing { keep });
            return self.write_client(now, key);
        }
        let ends = self.ends(key, request.head.keep);
        let mut head = Vec::with_capacity(512);
        answer_head(&answer, request.head.id(), ends, &mut head);
        let body = std::mem::take(&mut answer.body);
        self.reply(now, key, Outgoing::new(head, body), ends != fallgap_routing::Ends::Closed);
    }

    fn not_run(&mut self, now: Duration, key: ClientKey, request: &Request) {
        self.counters.not_run += 1;
        self.come_again(now, key, request);
    }

    /// It has not run and will not: 503, with when to come back.
    fn come_again(&mut self, now: Duration, key: ClientKey, request: &Request) {
        let again = self.again();
        self.own_answer(now, key, request, 503, Some(again));
    }

    pub(crate) fn own_answer(
        &mut self, now: Duration, key: ClientKey, request: &Request, status: u16, again: Option<Duration>,
    ) {
        let ends = self.ends(key, request.head.keep);
        let mut head = Vec::with_capacity(160);
        own_answer(status, Some(request.head.id()), again, ends, &mut head);
        self.reply(now, key, Outgoing::new(head, Vec::new()), ends != fallgap_routing::Ends::Closed);
    }

    /// A request whose client has closed its side before it was begun: it is not begun.
    fn asked_for_nobody(&mut self, now: Duration, key: ClientKey, began: Duration, request: &Request) {
        self.counters.closed_early += 1;
        self.refused(now, began, request, 0, Why::Abandoned, None);
        self.come_again(now, key, request);
    }

    /// The client of an op has closed its side, or its connection is gone. Who still hears is told what became of it.
    pub(crate) fn client_left(&mut self, now: Duration, key: OpKey) {
        let Some(op) = self.ops.get_mut(key) else { return };
        let next = op.core.client_left();
        if next == Next::Wait {
            return;
        }
        op.draft.why = Why::Abandoned;
        self.finish(now, key, 0, |quay, client, request| match next {
            Next::Reply(Final::NotRun) => quay.come_again(now, client, request),
            Next::Reply(_) => quay.own_answer(now, client, request, 502, None),
            _ => quay.close_client(now, client),
        });
    }

    /// When an op is to be looked at next.
    pub(crate) fn set_op_due(&mut self, key: OpKey) {
        let Some(target) = self.ops.get(key).map(|op| op.core.plan.target) else { return };
        let connect = self.connect_most(target);
        let Some(op) = self.ops.get_mut(key) else { return };
        let connecting = op.tries.iter().filter(|one| !one.sent).map(|one| one.began + connect).min();
        let hedge = op.hedge_at.filter(|_| op.tries.len() == 1);
        let owner = if let Stage::Owner { until, .. } = op.stage { Some(until) } else { None };
        let due = [connecting, hedge, owner].into_iter().flatten().fold(op.core.plan.deadline, Duration::min);
        self.timers.set(&mut op.noted, Some(due), Who::Op(key));
    }

    pub(crate) fn op_due(&mut self, now: Duration, key: OpKey) {
        let Some(op) = self.ops.get_mut(key) else { return };
        let target = op.core.plan.target;
        op.noted = None;
        // This process may have been held up: what stands at the sockets goes before what the clock says.
        for one in op.tries.clone() {
            self.look(now, one.line, TryAt { op: key, number: one.number });
        }
        let connect = self.connect_most(target);
        let Some(op) = self.ops.get_mut(key) else { return };
        if let Stage::Owner { by_majority, until, .. } = op.stage
            && now >= until
        {
            return self.owner_has_told(now, key, &OperationState::NotHere, by_majority);
        }
        if now >= op.core.plan.deadline {
            let next = op.core.late();
            op.draft.why = if next == Next::Break { Why::Broke } else { Why::Time };
            return self.act(now, key, next, None);
        }
        if let Some(hung) = op.tries.iter_mut().find(|one| !one.sent && now >= one.began + connect) {
            let at = TryAt { op: key, number: hung.number };
            // It may still come up: the next request is glad of it, and how long it took is worth knowing.
            let line = std::mem::take(&mut hung.line);
            self.leave_coming(now, line);
            self.try_ended(now, at, fallgap_routing::TryOutcome::NotSent, Ended::Hung, None);
        } else if op.hedge_at.take_if(|at| now >= *at).is_some() {
            self.hedge(now, key);
        }
        self.set_op_due(key);
    }
}

/// Who a request is of, as this configuration has it.
fn customer_of<'a>(configuration: &'a Configuration, sender: &Sender) -> Option<&'a Customer> {
    configuration.customers.as_ref()?.named(sender.customer()?)
}

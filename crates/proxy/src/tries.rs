//! Tries: one op at one server.

use crate::client::{Written, write_from};
use crate::line::{LineState, TryAt};
use crate::lines::prepare;
use crate::ops::Try;
use crate::quay::Quay;
use crate::timers::{LineKey, OpKey, Who};
use fallgap_config::RouteClass;
use fallgap_routing::{Answer, Ended, Judgement, Next, ServerKey, TryOutcome, Why, forwarded_head};
use std::net::SocketAddr;
use std::time::Duration;

/// The part of the budget that help for silent servers may use: the rest is for proofs that nothing ran.
const HEDGES: f64 = 0.6;

impl Quay {
    /// An op goes to a server, or it ends.
    pub(crate) fn start_try(&mut self, now: Duration, key: OpKey) {
        while let Some(op) = self.ops.get_mut(key) {
            let (service, plan) = (op.service, op.core.plan);
            let class = plan.class;
            if self.lease.is_behind(now) {
                return self.no_try(now, key, Why::Behind);
            }
            let Some(server) = self.fleet.pick(now, service, class, plan.target, &op.skip) else {
                let why = self.fleet.nowhere(service);
                return self.no_try(now, key, why);
            };
            op.skip.push(server);
            let number = op.core.begin();
            let at = TryAt { op: key, number };
            let Some(line) = self.line_for(now, server, at, class) else {
                // Nothing has left: the try is as if it had never been.
                if let Some(op) = self.ops.get_mut(key) {
                    op.core.dismissed(number);
                }
                continue;
            };
            if let Some(op) = self.ops.get_mut(key) {
                op.tries.push(Try { number, line, server, began: now, sent: false });
                op.draft.began(server, now.saturating_sub(plan.began));
            }
            self.fleet.began(now, server);
            if self.lines.get(line).is_some_and(|line| !line.is_new) {
                self.send(now, line, at);
            }
            return self.set_op_due(key);
        }
    }

    /// No server may be asked now.
    fn no_try(&mut self, now: Duration, key: OpKey, why: Why) {
        let Some(op) = self.ops.get_mut(key) else { return };
        op.draft.why = why;
        let next = op.core.nowhere(now);
        self.act(now, key, next, None);
    }

    /// A connection for a try: one at rest, or a new one if there may be one more.
    fn line_for(
        &mut self, now: Duration, server: ServerKey, at: TryAt, class: RouteClass,
    ) -> Option<LineKey> {
        if let Some(line) = self.resting_line(now, server, !class.may_run_again()) {
            return Some(line);
        }
        let known = self.fleet.server(server)?;
        let address = SocketAddr::V4(known.address);
        let most = self.fleet.lines_most(known.service);
        let open = self.pools.get(server).map_or(0, |pool| pool.open);
        if open < most { self.open_line(now, server, address, at) } else { None }
    }

    /// Writes a request, from where it stands.
    pub(crate) fn send(&mut self, now: Duration, key: LineKey, at: TryAt) {
        let Some(op) = self.ops.get_mut(at.op) else { return self.close_line(key) };
        let Some(line) = self.lines.get_mut(key) else { return };
        if !matches!(line.state, LineState::Working(_)) {
            prepare(line, at, op.request.head.is_head());
            line.turn(LineState::Working(at));
            let Some(server) = self.fleet.server(line.server) else {
                return self.try_ended(now, at, TryOutcome::NotSent, Ended::Void, None);
            };
            let left = op.core.plan.deadline.saturating_sub(now);
            Quay::bear_silence(line, left.max(self.terms.silence));
            line.head.clear();
            let length = op.request.body.len();
            forwarded_head(&op.request.head, &op.sender, &server.id, left, length, &mut line.head);
        }
        let written = write_from(&mut line.stream, &mut line.sent, &line.head, &op.request.body);
        let first = line.sent > 0 && !op.tries.iter().any(|one| one.number == at.number && one.sent);
        if first {
            let extra = op.core.was_sent();
            op.core.sends(at.number);
            op.tries.iter_mut().filter(|one| one.number == at.number).for_each(|one| one.sent = true);
            self.counters.sent += 1;
            self.counters.extras += u64::from(extra);
            self.fleet.sends(now, op.service, extra);
        }
        match written {
            Ok(written) => {
                line.wrote_all = written == Written::All;
                if written == Written::Spent {
                    self.ready.add(Who::Line(key));
                }
            }
            Err(_) if line.sent == 0 => self.try_ended(now, at, TryOutcome::NotSent, Ended::Failed, None),
            // An answer may stand there already, sent before the break.
            Err(_) => {
                self.hear(now, key, at, true);
                self.try_ended(now, at, TryOutcome::Unknown, Ended::Failed, None);
            }
        }
        self.set_op_due(at.op);
    }

    /// What came in the place of an answer was another's: a second server is asked now if it may be.
    pub(crate) fn help(&mut self, now: Duration, key: OpKey) {
        if self.ops.get_mut(key).is_some_and(|op| op.hedge_at.take().is_some()) {
            self.hedge(now, key);
            self.set_op_due(key);
        }
    }

    /// A second server is asked, as the first is silent.
    pub(crate) fn hedge(&mut self, now: Duration, key: OpKey) {
        let Some(op) = self.ops.get(key) else { return };
        let budget = self.fleet.budget_allows(now, op.service, HEDGES);
        if op.core.may_hedge(now, budget) && self.is_waited_for(now, key) {
            self.counters.hedges += 1;
            self.start_try(now, key);
        }
    }

    /// A whole answer came. `fit`: the connection may serve on.
    pub(crate) fn answered(&mut self, now: Duration, key: LineKey, at: TryAt, answer: Answer, fit: bool) {
        let Some(op) = self.ops.get(at.op) else { return self.close_line(key) };
        let judgement = answer.judge(op.request.head.id());
        let began = op.tries.iter().find(|one| one.number == at.number).map_or(now, |one| one.began);
        let took = now.saturating_sub(began);
        let (outcome, how) = match judgement {
            Judgement::Good | Judgement::Plain => (TryOutcome::Answered, Ended::Good(took)),
            // Time was over before a server had a fair part of it: the client's doing.
            Judgement::Failed if answer.status == 504 && took < op.core.plan.target / 2 => {
                (TryOutcome::Failed, Ended::Void)
            }
            Judgement::Failed => (TryOutcome::Failed, Ended::Failed),
            Judgement::NotRun => (TryOutcome::NotRun, Ended::Shed),
            Judgement::Elsewhere => (TryOutcome::NotRun, Ended::Other),
            Judgement::Void | Judgement::Foreign => (TryOutcome::Unknown, Ended::Failed),
        };
        match judgement {
            Judgement::NotRun => self.counters.sheds += 1,
            Judgement::Void | Judgement::Foreign => self.counters.void += 1,
            _ => {}
        }
        let sound = !matches!(judgement, Judgement::Void | Judgement::Foreign | Judgement::Elsewhere);
        if fit && sound && !answer.close {
            // It belongs to the try no longer.
            if let Some(op) = self.ops.get_mut(at.op) {
                op.tries
                    .iter_mut()
                    .filter(|one| one.number == at.number)
                    .for_each(|one| one.line = LineKey::default());
            }
            self.rest_line(now, key, answer.kept);
        }
        self.try_ended(now, at, outcome, how, Some(answer));
    }

    /// A try is over. Its connection is closed unless it rests already.
    pub(crate) fn try_ended(
        &mut self, now: Duration, at: TryAt, outcome: TryOutcome, how: Ended, answer: Option<Answer>,
    ) {
        let Some(op) = self.ops.get_mut(at.op) else { return };
        let Some(place) = op.tries.iter().position(|one| one.number == at.number) else { return };
        let one = op.tries.swap_remove(place);
        let (service, class) = (op.service, op.core.plan.class);
        if matches!(how, Ended::Unreached | Ended::Hung) {
            self.counters.unreached += 1;
        }
        self.close_line(one.line);
        self.fleet.ended(now, one.server, class, how);
        let budget = self.fleet.budget_allows(now, service, 1.0);
        let Some(op) = self.ops.get_mut(at.op) else { return };
        op.draft.ended(one.server, now.saturating_sub(op.core.plan.began), outcome, how);
        let next = op.core.ended(now, at.number, outcome, budget);
        op.draft.why = match next {
            Next::Pass | Next::Reply(_) if outcome != TryOutcome::Answered => {
                op.core.barred(now, budget).unwrap_or_default()
            }
            Next::Break => Why::Broke,
            _ => Why::Answered,
        };
        self.act(now, at.op, next, answer);
    }
}

//! Attempts: calls that wait for one register are judged together, and one write does for all of them.
//!
//! The first phase asks a majority what they hold, with a promise or, for plain reads, without. The second writes
//! the judged value to a majority. Each accept promises the ballot after it too, so that the next attempt of the same
//! node starts with its second phase. What was found half written is written anew with the next value, or by itself
//! before an answer depends on it.

use std::time::Duration;

use crate::ballot::Ballot;
use crate::charter::Charter;
use crate::desk::{Asker, Desk, Entry, Known, Push, Ready, Stage, Survey};
use crate::fault::{self, Fault};
use crate::keeper::Keeper;
use crate::messages::{Message, Sight};
use crate::types::{Answer, Call, Key, NodeId};
use crate::watches::Watch;
use crate::weighing::{Found, Judged, found};

impl Keeper {
    /// A read of the keeper itself.
    pub(crate) fn own_entry(&self, now: Duration, call: Call) -> Entry {
        Entry { asker: Asker::Own, call, came: now, until: now + self.terms.call, sent: false }
    }

    pub(crate) fn admit(&mut self, now: Duration, entry: Entry) {
        let key = entry.call.key();
        let mut desk = self.take_desk(&key);
        if let Asker::Caller(_) = entry.asker {
            self.calls += 1;
        }
        if !Keeper::join(&mut desk, &entry) {
            if self.has_room(&mut desk) {
                desk.waiting.push_back(entry);
            } else {
                self.tell(&entry, Answer::Busy);
            }
        }
        // A caller does not wait for the keeper's own next try.
        if desk.is_idle() || (desk.rests() && desk.waiting.iter().any(|entry| !entry.is_own())) {
            self.begin(now, &key, &mut desk);
        }
        self.put_desk(key, desk);
    }

    /// Takes up what waits.
    fn begin(&mut self, now: Duration, key: &Key, desk: &mut Desk) {
        self.expire(now, desk);
        let room = self.terms.waiting.saturating_sub(desk.batch.len()).min(desk.waiting.len());
        desk.batch.extend(desk.waiting.drain(..room));
        if desk.batch.is_empty() {
            return desk.enter(Stage::Idle);
        }
        if fault::is(Fault::ReadAlone) && desk.batch.iter().all(Entry::reads) {
            let base = self.survey(now, key).known;
            let answers = self.judge_all(now, &desk.batch, base.as_ref()).answers;
            return self.finish(now, key, desk, answers, base.as_ref());
        }
        let Some(epoch) = self.voting_epoch().filter(|_| self.has_quorum(now)) else {
            return self.refuse_all(desk);
        };
        let is_sent = desk.batch.iter().any(|entry| entry.sent);
        let is_known_again = |entry: &Entry| entry.call.outlives_caller() || entry.call.may_be_joined();
        if desk.batch.iter().any(|entry| entry.sent && !is_known_again(entry)) {
            return self.prepare(now, key, desk, epoch);
        }
        // Another node's attempt, which won or was left its time, may have done all that is wanted here.
        let reads = desk.batch.iter().all(Entry::reads) || desk.defers.is_some() || is_sent;
        let ready = desk.ready.take().filter(|ready| ready.next.epoch == epoch);
        if reads {
            // The promises that a majority gave hold on, unless somebody went above them.
            desk.ready = ready;
            return self.read(now, key, desk);
        }
        let Some(ready) = ready else { return self.prepare(now, key, desk, epoch) };
        let judged = self.judge_all(now, &desk.batch, ready.base.as_ref());
        if judged.written.is_some() || !ready.is_committed {
            return self.push(now, key, desk, ready.next, judged, ready.base);
        }
        desk.ready = Some(ready);
        self.read(now, key, desk);
    }

    fn survey(&self, now: Duration, key: &Key) -> Survey {
        let accepted = self.acceptor.get(key).and_then(|register| register.accepted.as_ref());
        let known = accepted.map(|accepted| Known {
            ballot: accepted.ballot,
            value: accepted.value.clone(),
            age: accepted.age,
            at: accepted.at,
        });
        let resend = self.resend_at(now);
        let floor = self.acceptor.floor().ballot;
        Survey { known, floor, replies: Vec::new(), refused: Vec::new(), troubled: None, resend }
    }

    fn read(&mut self, now: Duration, key: &Key, desk: &mut Desk) {
        self.mark = self.mark.wrapping_add(1);
        let survey = self.survey(now, key);
        desk.enter(Stage::Reading { mark: self.mark, survey });
        self.ask(key, desk);
    }

    fn prepare(&mut self, now: Duration, key: &Key, desk: &mut Desk, epoch: u64) {
        desk.ready = None;
        if let Some(until) = self.others_attempt(now, key, desk.defers) {
            desk.defers.get_or_insert(now);
            return desk.enter(Stage::Pausing { until });
        }
        desk.begun = now;
        if let Some(promised) = self.acceptor.promised(key) {
            desk.met(promised);
        }
        self.count = self.count.max(desk.top).saturating_add(1);
        let ballot = Ballot { epoch, count: self.count, node: self.me.node, life: self.me.life };
        let survey = self.survey(now, key);
        desk.enter(Stage::Preparing { ballot, survey });
        self.ask(key, desk);
    }

    /// Sends the present request to all members that have not answered it.
    fn ask(&mut self, key: &Key, desk: &Desk) {
        let Some(charter) = &self.charter else { return };
        for node in charter.members.iter().map(|member| member.node) {
            let known = |survey: &Survey| survey.known.as_ref().map(|known| known.ballot);
            let told = |survey: &Survey| {
                survey.refused.contains(&node) || survey.replies.iter().any(|(from, _)| *from == node)
            };
            let message = match &desk.stage {
                Stage::Reading { mark, survey } if !told(survey) => {
                    let epoch = charter.number;
                    Message::Read { epoch, key: key.clone(), mark: *mark, known: known(survey) }
                }
                Stage::Preparing { ballot, survey } if !told(survey) => {
                    Message::Prepare { key: key.clone(), ballot: *ballot, known: known(survey) }
                }
                Stage::Accepting(push) if !push.accepted.contains(&node) && !push.refused.contains(&node) => {
                    Message::Accept {
                        key: key.clone(),
                        ballot: push.ballot,
                        next: push.next,
                        age: push.age,
                        value: push.value.clone(),
                    }
                }
                _ => continue,
            };
            self.pen.send(node, message);
        }
    }

    pub(crate) fn seen(&mut self, now: Duration, from: NodeId, key: Key, mark: u64, held: Option<Sight>) {
        if !self.is_in(from) || !self.active.contains(&key) {
            return;
        }
        let mut desk = self.take_desk(&key);
        if let Stage::Reading { mark: asked, survey } = &mut desk.stage
            && *asked == mark
        {
            survey.note(from, held);
            self.weigh(now, &key, &mut desk);
        }
        self.put_desk(key, desk);
    }

    /// Ends a plain read, if what was seen is enough.
    fn weigh(&mut self, now: Duration, key: &Key, desk: &mut Desk) {
        let mends = desk.batch.iter().any(Entry::mends);
        let Stage::Reading { survey, .. } = &mut desk.stage else { return };
        let Some(found) = found(now, self.charter.as_ref(), survey) else { return };
        let floor = survey.floor;
        if found.committed {
            // What one member holds above it, half written, only that member can tell.
            if mends && survey.replies.len() < self.alive_members(now).count() {
                let since = *survey.troubled.get_or_insert(now);
                if now < since + self.terms.patience {
                    return;
                }
            }
            self.learn_known(now, key, found.base.as_ref());
            if mends {
                self.take_over(now, key, found.base.as_ref(), floor);
            }
            let judged = self.judge_all(now, &desk.batch, found.base.as_ref());
            // What was sent out before and is not there may be found somewhere yet: that takes a write.
            let is_there = |(entry, (answer, _)): (&Entry, &(Option<Answer>, bool))| {
                !entry.sent || matches!(answer, Some(Answer::Done | Answer::Revision(_)))
            };
            if judged.written.is_none() && desk.batch.iter().zip(&judged.answers).all(is_there) {
                return self.finish(now, key, desk, judged.answers, found.base.as_ref());
            }
            if let Some(ready) = self.still_ready(desk, found.base.as_ref()).filter(|_| !mends) {
                return self.push(now, key, desk, ready.next, judged, ready.base);
            }
            if desk.defers.is_some() {
                self.answer_reads(now, key, desk, found.base.as_ref());
            }
        } else {
            let since = *survey.troubled.get_or_insert(now);
            let all = survey.replies.len() >= self.alive_members(now).count();
            if !all && now < since + self.terms.patience {
                return;
            }
            // A lost hint is not worth a write by everybody: most often somebody's attempt is under way, and the next
            // read finds it done. But who hears of it only over others has to come to know it in the end.
            if desk.batch.iter().all(Entry::is_own) {
                let since = *desk.contested.get_or_insert(now);
                if now < since + self.terms.contested * self.steward_rank(key) {
                    return self.lose(now, desk);
                }
                // Whoever wrote that was promised the ballot behind it as well: one below is refused.
                found.base.iter().for_each(|base| desk.met(base.ballot.following()));
            }
        }
        match self.voting_epoch() {
            Some(epoch) => self.prepare(now, key, desk, epoch),
            None => self.refuse_all(desk),
        }
    }

    /// The promises of a majority that this node holds, if nothing was written since as far as was read.
    fn still_ready(&self, desk: &mut Desk, found: Option<&Known>) -> Option<Ready> {
        let is_sent = desk.batch.iter().any(|entry| entry.sent);
        let ready = desk.ready.take().filter(|ready| Some(ready.next.epoch) == self.voting_epoch())?;
        let ballot = |known: Option<&Known>| known.map(|known| known.ballot);
        (!is_sent && ballot(ready.base.as_ref()) == ballot(found)).then_some(ready)
    }

    pub(crate) fn promised(
        &mut self, now: Duration, from: NodeId, key: Key, ballot: Ballot, held: Option<Sight>,
    ) {
        if !self.is_in(from) || !self.active.contains(&key) {
            return;
        }
        let mut desk = self.take_desk(&key);
        if let Stage::Preparing { ballot: asked, survey } = &mut desk.stage
            && *asked == ballot
        {
            survey.note(from, held);
            if let Some(found) = found(now, self.charter.as_ref(), survey) {
                self.decide(now, &key, &mut desk, ballot, found);
            }
        }
        self.put_desk(key, desk);
    }

    /// A majority has promised: judges, and writes unless nothing depends on a write.
    fn decide(&mut self, now: Duration, key: &Key, desk: &mut Desk, ballot: Ballot, found: Found) {
        // This process may have stood still since it asked: what is too old by now is not written.
        self.expire(now, desk);
        if desk.batch.is_empty() {
            desk.ready = Some(found.ready(ballot));
            return self.begin_anew(now, key, desk);
        }
        let mut judged = self.judge_all(now, &desk.batch, found.base.as_ref());
        // What was begun to make all hold the same is written anew: the majority that promised may be one that lacks
        // what another member holds half written.
        let mends = desk.batch.iter().any(Entry::mends);
        let tainted = mends || desk.batch.iter().any(|entry| entry.sent);
        if judged.written.is_none() && found.committed && !tainted {
            let base = found.base.clone();
            self.learn_known(now, key, base.as_ref());
            desk.ready = Some(found.ready(ballot));
            return self.finish(now, key, desk, judged.answers, base.as_ref());
        }
        self.tell_held(desk, &mut judged);
        if desk.batch.is_empty() {
            desk.ready = Some(found.ready(ballot));
            return self.begin_anew(now, key, desk);
        }
        if judged.written.is_none() && found.base.is_none() {
            // What was sent before may still be found somewhere, and there is nothing to write over it.
            for entry in std::mem::take(&mut desk.batch) {
                self.give_up(&entry);
            }
            return self.begin_anew(now, key, desk);
        }
        self.push(now, key, desk, ballot, judged, found.base);
    }

    /// The second phase. From here on what is written may happen.
    fn push(
        &mut self, now: Duration, key: &Key, desk: &mut Desk, ballot: Ballot, judged: Judged,
        base: Option<Known>,
    ) {
        let (value, age) = match (judged.written, base) {
            (Some(value), Some(base)) if fault::is(Fault::AgeStays) => (value, base.age(now)),
            (Some(value), _) => (value, Duration::ZERO),
            (None, Some(base)) => (base.value.clone(), base.age(now)),
            (None, None) => return self.refuse_all(desk),
        };
        let mut answers = Vec::with_capacity(judged.answers.len());
        for (entry, (answer, wrote)) in desk.batch.iter_mut().zip(judged.answers) {
            entry.sent |= wrote && !fault::is(Fault::SentForgotten);
            answers.push(answer);
        }
        let next = ballot.following();
        self.count = self.count.max(next.count);
        if !matches!(desk.stage, Stage::Preparing { .. }) {
            desk.begun = now;
        }
        desk.enter(Stage::Accepting(Push {
            ballot,
            next,
            value,
            age,
            answers,
            accepted: Vec::new(),
            refused: Vec::new(),
            troubled: None,
            resend: self.resend_at(now),
        }));
        self.ask(key, desk);
    }

    pub(crate) fn accepted(&mut self, now: Duration, from: NodeId, key: Key, ballot: Ballot) {
        self.repair.acked(from, &key, ballot);
        if !self.is_in(from) || !self.active.contains(&key) {
            return;
        }
        let mut desk = self.take_desk(&key);
        let quorum = self.charter.as_ref().map_or(usize::MAX, |charter| charter.quorum());
        if let Stage::Accepting(push) = &mut desk.stage
            && push.ballot == ballot
            && !push.accepted.contains(&from)
        {
            push.accepted.push(from);
            if push.accepted.len() >= quorum {
                self.complete(now, &key, &mut desk);
            }
        }
        self.put_desk(key, desk);
    }

    /// A majority has the value on disk.
    fn complete(&mut self, now: Duration, key: &Key, desk: &mut Desk) {
        let Stage::Accepting(push) = std::mem::replace(&mut desk.stage, Stage::Idle) else { return };
        let known = Known { ballot: push.ballot, value: push.value, age: push.age, at: now };
        self.learn_known(now, key, Some(&known));
        self.hint(key, push.ballot);
        if let Some(charter) = &self.charter {
            let others = charter.members.iter().map(|member| member.node);
            for node in others.filter(|node| *node != self.me.node && !push.accepted.contains(node)) {
                self.repair.missed(now, node, key, push.ballot, self.terms.missed);
            }
        }
        desk.ready = Some(Ready { next: push.next, base: Some(known.clone()), is_committed: true });
        let answers = push.answers.into_iter().map(|answer| (answer, false)).collect();
        self.finish(now, key, desk, answers, Some(&known));
    }

    fn finish(
        &mut self, now: Duration, key: &Key, desk: &mut Desk, answers: Vec<(Option<Answer>, bool)>,
        base: Option<&Known>,
    ) {
        let entries = std::mem::take(&mut desk.batch);
        self.conclude(now, key, entries, answers, base);
        self.begin_anew(now, key, desk);
    }

    /// What was read at a majority answers the reads, though the writes beside them wait for another node.
    fn answer_reads(&mut self, now: Duration, key: &Key, desk: &mut Desk, base: Option<&Known>) {
        let (reads, rest) = std::mem::take(&mut desk.batch).into_iter().partition(Entry::reads);
        desk.batch = rest;
        let reads: Vec<Entry> = reads;
        let answers = self.judge_all(now, &reads, base).answers;
        self.conclude(now, key, reads, answers, base);
    }

    /// These calls have their answers.
    fn conclude(
        &mut self, now: Duration, key: &Key, entries: Vec<Entry>, answers: Vec<(Option<Answer>, bool)>,
        base: Option<&Known>,
    ) {
        for (entry, (answer, _)) in entries.into_iter().zip(answers) {
            self.note_read(key, entry.came);
            match (answer, &entry.call) {
                (Some(answer), _) => self.tell(&entry, answer),
                (None, Call::Watch { group, after, wait }) if !entry.is_own() => {
                    if let Asker::Caller(id) = entry.asker {
                        self.calls = self.calls.saturating_sub(1);
                        let until = entry.came + (*wait).min(self.terms.watch);
                        let held = base.map(|known| known.value.bytes());
                        let watch = Watch { id, group, after: *after, until };
                        self.watches.admit(now, watch, held, self.acceptor.past(), &mut self.pen);
                        self.want_past_soon(now, key);
                    }
                }
                _ => {}
            }
        }
    }

    pub(crate) fn begin_anew(&mut self, now: Duration, key: &Key, desk: &mut Desk) {
        (desk.losses, desk.contested, desk.defers) = (0, None, None);
        desk.enter(Stage::Idle);
        self.begin(now, key, desk);
    }

    pub(crate) fn refused(
        &mut self, now: Duration, from: NodeId, key: Key, ballot: Ballot, promised: Ballot,
    ) {
        if !self.is_in(from) || !self.active.contains(&key) {
            return;
        }
        let mut desk = self.take_desk(&key);
        desk.met(promised);
        let (asked, refused, troubled) = match &mut desk.stage {
            Stage::Preparing { ballot, survey } => (*ballot, &mut survey.refused, &mut survey.troubled),
            Stage::Accepting(push) => (push.ballot, &mut push.refused, &mut push.troubled),
            _ => return self.put_desk(key, desk),
        };
        if asked == ballot && !refused.contains(&from) {
            refused.push(from);
            troubled.get_or_insert(now);
            let short =
                |charter: &Charter| charter.members.len().saturating_sub(refused.len()) < charter.quorum();
            if self.charter.as_ref().is_some_and(short) {
                self.lose(now, &mut desk);
            }
        }
        self.put_desk(key, desk);
    }

    /// Somebody else's ballot stands above. Tries again after a pause.
    fn lose(&mut self, now: Duration, desk: &mut Desk) {
        let (least, most) = (self.terms.pause_least.as_micros(), self.terms.pause_most.as_micros());
        let drawn = self.rng.u64(least as u64..=most.max(least) as u64);
        let pause = Duration::from_micros(drawn << desk.losses.min(self.terms.pause_doublings));
        desk.losses += 1;
        (desk.ready, desk.defers) = (None, None);
        Keeper::drop_gone(desk);
        desk.enter(Stage::Pausing { until: now + pause });
    }

    /// Does what is due at a desk.
    pub(crate) fn look_at(&mut self, now: Duration, key: Key) {
        let mut desk = self.take_desk(&key);
        self.expire(now, &mut desk);
        if self.is_left(now, &desk) {
            desk.ready = None;
            self.begin_anew(now, &key, &mut desk);
            return self.put_desk(key, desk);
        }
        let (again, contest) = (self.resend_at(now), self.contest(now));
        match &mut desk.stage {
            Stage::Idle => {}
            Stage::Pausing { until } if now < *until => {}
            Stage::Pausing { .. } => self.begin(now, &key, &mut desk),
            Stage::Reading { survey, .. } => {
                let resend = now >= survey.resend;
                if resend {
                    survey.resend = again;
                }
                let waited = survey.troubled.is_some_and(|since| now >= since + self.terms.patience);
                if waited {
                    self.weigh(now, &key, &mut desk);
                } else if resend {
                    self.ask(&key, &desk);
                }
            }
            Stage::Preparing { survey: Survey { troubled, resend, .. }, .. }
            | Stage::Accepting(Push { troubled, resend, .. }) => {
                if troubled.is_some_and(|since| now >= since + contest) {
                    self.lose(now, &mut desk);
                } else if now >= *resend {
                    *resend = again;
                    self.ask(&key, &desk);
                }
            }
        }
        self.put_desk(key, desk);
    }

    /// The members are others now: each attempt begins anew.
    pub(crate) fn restart_desks(&mut self, now: Duration) {
        self.desks.retain(|_, desk| !desk.is_idle());
        for key in std::mem::take(&mut self.active) {
            let mut desk = self.take_desk(&key);
            desk.ready = None;
            desk.enter(Stage::Idle);
            self.begin(now, &key, &mut desk);
            self.put_desk(key, desk);
        }
    }

    fn learn_known(&mut self, now: Duration, key: &Key, known: Option<&Known>) {
        if let Some(known) = known {
            self.learn(now, key, known.ballot, &known.value);
        }
    }
}

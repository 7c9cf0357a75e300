//! What the answers to a request come to, and what the waiting calls make of it.

use std::time::Duration;

use crate::ballot::Ballot;
use crate::charter::Charter;
use crate::desk::{Desk, Entry, Known, Ready, Survey};
use crate::fault::{self, Fault};
use crate::keeper::Keeper;
use crate::messages::Sight;
use crate::subjects::{Verdict, judge};
use crate::types::{Answer, Call, NodeId};
use crate::value::Value;

/// What became of a batch on one value.
pub(crate) struct Judged {
    /// For each entry its answer, and whether it wrote.
    pub answers: Vec<(Option<Answer>, bool)>,
    /// The value after all of them, if one wrote.
    pub written: Option<Value>,
}

/// What a survey comes to.
pub(crate) struct Found {
    pub base: Option<Known>,
    /// A majority accepted it in this epoch, or it is known that one did, or a majority holds nothing.
    pub committed: bool,
}

impl Found {
    /// A majority has promised this ballot, and nothing is to be written now.
    pub fn ready(self, next: Ballot) -> Ready {
        Ready { next, base: self.base, is_committed: self.committed }
    }
}

impl Keeper {
    /// `Held` promises nothing, so it needs no write: a lock's age is not to begin anew with each one who asks.
    pub(crate) fn tell_held(&mut self, desk: &mut Desk, judged: &mut Judged) {
        let mut at = 0;
        while let (Some(entry), Some((answer, wrote))) = (desk.batch.get(at), judged.answers.get(at)) {
            if *wrote {
                return;
            }
            if entry.sent || *answer != Some(Answer::Held) {
                at += 1;
                continue;
            }
            let entry = desk.batch.remove(at);
            judged.answers.remove(at);
            self.tell(&entry, Answer::Held);
        }
    }

    pub(crate) fn judge_all(&mut self, now: Duration, batch: &[Entry], base: Option<&Known>) -> Judged {
        let mut age = base.map_or(Duration::ZERO, |known| known.age(now));
        let mut written: Option<Value> = None;
        let mut answers = Vec::with_capacity(batch.len());
        for entry in batch {
            if entry.is_own() || matches!(entry.call, Call::Watch { .. }) {
                answers.push((None, false));
                continue;
            }
            if matches!(entry.call, Call::Look { .. }) {
                // Before whatever is written together with it.
                let value = base.map(|known| known.value.bytes().to_vec());
                answers.push((Some(Answer::Looked { value }), false));
                continue;
            }
            let held = written.as_ref().or(base.map(|known| &known.value)).map(Value::bytes);
            match judge(&entry.call, held, age, &mut self.memory, now) {
                Verdict::Answer(Answer::Busy) if entry.sent => answers.push((Some(Answer::Unknown), false)),
                Verdict::Answer(answer) => answers.push((Some(answer), false)),
                Verdict::Write { value, answer } => {
                    answers.push((Some(answer), true));
                    written = Some(value.into());
                    age = Duration::ZERO;
                }
            }
        }
        Judged { answers, written }
    }
}

impl Survey {
    pub fn note(&mut self, from: NodeId, held: Option<Sight>) {
        if !self.replies.iter().any(|(node, _)| *node == from) {
            self.replies.push((from, held));
        }
    }
}

/// None: no majority has answered. The highest ballot counts, also one that only this node holds: taking a higher
/// one that was accepted anywhere is always allowed.
pub(crate) fn found(now: Duration, charter: Option<&Charter>, survey: &Survey) -> Option<Found> {
    let charter = charter?;
    if survey.replies.len() < charter.quorum() {
        return None;
    }
    let sights = || survey.replies.iter().filter_map(|(_, held)| held.as_ref());
    let own = survey.known.as_ref().map(|known| known.ballot);
    let ballots = sights().map(|sight| sight.ballot).chain(own);
    let top = if fault::is(Fault::LowestFound) { ballots.min() } else { ballots.max() };
    let Some(top) = top else { return Some(Found { base: None, committed: true }) };
    let at_top = || sights().filter(|sight| sight.ballot == top);
    let known = survey.known.as_ref().filter(|known| known.ballot == top);
    let value = known.map(|known| known.value.clone());
    let value = value.or_else(|| at_top().find_map(|sight| sight.value.clone()))?;
    let committed = (top.epoch == charter.number && at_top().count() >= charter.quorum())
        || at_top().any(|sight| sight.committed)
        || fault::is(Fault::FoundIsCommitted);
    let own = known.map(|known| known.age(now));
    let age = at_top().map(|sight| sight.age).chain(own).max().unwrap_or_default();
    Some(Found { base: Some(Known { ballot: top, value, age, at: now }), committed })
}

//! What callers were told, and what must hold of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fallgap_control_state::{Answer, Call, Event, Key};

use crate::breach::{Check, hold};
use crate::ledger::{Ledger, Span};

/// One call, and what came of it.
#[derive(Clone, Debug)]
pub struct Told {
    pub call: Call,
    pub sent: Duration,
    /// None: no answer came.
    pub told: Option<(Duration, Answer)>,
}

/// Holder, sent, first answer, end.
type Hold<'a> = (&'a String, Duration, Duration, Duration);

/// All calls of one run, by their ids.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub calls: BTreeMap<u64, Told>,
}

impl History {
    pub fn sent(&mut self, id: u64, sent: Duration, call: Call) {
        self.calls.insert(id, Told { call, sent, told: None });
    }

    pub fn told(&mut self, id: u64, at: Duration, answer: Answer) {
        if let Some(told) = self.calls.get_mut(&id) {
            told.told = Some((at, answer));
        }
    }

    fn done(&self) -> impl Iterator<Item = (&Call, Duration, Duration, &Answer)> {
        self.calls.values().filter_map(|told| {
            let (at, answer) = told.told.as_ref()?;
            Some((&told.call, told.sent, *at, answer))
        })
    }

    /// Ends with a breach if something does not hold.
    pub fn check(&self) {
        self.check_order();
        self.check_locks();
        self.check_config();
        self.check_cells();
        self.check_watches();
    }

    /// Every register's answers fit one order.
    fn check_order(&self) {
        let mut ledgers: BTreeMap<Key, Ledger> = BTreeMap::new();
        let mut numbers: BTreeSet<(&String, u64)> = BTreeSet::new();
        let mut revisions: BTreeMap<(&String, &String), u64> = BTreeMap::new();
        let mut read_editions: BTreeSet<u64> = BTreeSet::new();
        for (call, sent, told, answer) in self.done() {
            let ledger = ledgers.entry(call.key()).or_default();
            let span = Span { sent, told };
            match (call, answer) {
                (Call::Number { name }, Answer::Value(value)) => {
                    hold!(
                        numbers.insert((name, *value)),
                        Check::Linear,
                        "{name}: {value} is given out twice"
                    );
                    ledger.began("", *value, span);
                }
                (Call::LockStart { .. }, Answer::Fence(fence)) => {
                    ledger.began("", *fence, span);
                    ledger.saw("", *fence, span);
                }
                (Call::LockBeat { fence, .. }, Answer::Done) => ledger.saw("", *fence, span),
                (Call::CellPut { name, value, .. }, Answer::Revision(revision)) => {
                    ledger.began(name, *revision, span);
                    revisions.insert((name, value), *revision);
                }
                (Call::CellPut { name, .. }, Answer::Conflict { revision }) => {
                    ledger.saw(name, *revision, span)
                }
                (Call::CellGet { name }, Answer::Cell { value, revision }) => {
                    ledger.saw(name, *revision, span);
                    revisions.insert((name, value), *revision);
                }
                (Call::CellGet { name }, Answer::Missing) => ledger.saw(name, 0, span),
                (Call::Watch { .. }, Answer::Events { events, .. }) => {
                    revisions
                        .extend(events.iter().map(|event| ((&event.name, &event.value), event.revision)));
                }
                (Call::ConfigGet, Answer::Config(body)) => {
                    ledger.saw("", edition_of(body), span);
                    read_editions.insert(edition_of(body));
                }
                (Call::ConfigGet, Answer::Missing) => ledger.saw("", 0, span),
                _ => {}
            }
        }
        // What was seen was begun by one of the tries that put it.
        for told in self.calls.values() {
            match &told.call {
                Call::CellPut { name, value, .. } => {
                    if let Some(revision) = revisions.get(&(name, value)) {
                        ledgers
                            .entry(told.call.key())
                            .or_default()
                            .may_have_begun(name, *revision, told.sent);
                    }
                }
                Call::ConfigPut { edition, .. } if read_editions.contains(edition) => {
                    ledgers.entry(Key::Config).or_default().may_have_begun("", *edition, told.sent);
                }
                _ => {}
            }
        }
        for (key, ledger) in ledgers {
            ledger.check(&format!("{key:?}"));
        }
    }

    fn check_locks(&self) {
        // Per lock: each hold is one fence of one holder, from the first answer to its last end.
        let mut locks: BTreeMap<&String, BTreeMap<u64, Hold>> = BTreeMap::new();
        for (call, sent, at, answer) in self.done() {
            let (name, holder, fence, hold) = match (call, answer) {
                (Call::LockStart { name, holder, hold }, Answer::Fence(fence)) => {
                    (name, holder, *fence, *hold)
                }
                (Call::LockBeat { name, holder, fence, hold }, Answer::Done) => (name, holder, *fence, *hold),
                _ => continue,
            };
            let holds = locks.entry(name).or_default();
            let held = holds.entry(fence).or_insert((holder, sent, at, sent + hold));
            hold!(held.0 == holder, Check::Fence, "{name}: fence {fence} went to {} and {holder}", held.0);
            held.1 = held.1.min(sent);
            held.2 = held.2.min(at);
            held.3 = held.3.max(sent + hold);
        }
        for told in self.calls.values() {
            if let Call::LockEnd { name, fence, .. } = &told.call
                && let Some(held) = locks.get_mut(name).and_then(|holds| holds.get_mut(fence))
            {
                held.3 = held.3.min(told.sent);
            }
        }
        for (name, holds) in locks {
            let holds: Vec<_> = holds.into_iter().collect();
            for (at, (fence, (holder, sent, from, until))) in holds.iter().enumerate() {
                for (next, (other, _, begins, ends)) in &holds[at + 1..] {
                    hold!(begins >= sent, Check::Fence, "{name}: {fence} asked for after {next} was given");
                    let both = holder != other && from.max(begins) < until.min(ends);
                    hold!(
                        !both,
                        Check::OneHolder,
                        "{name}: {fence} {from:?}..{until:?}, {next} {begins:?}..{ends:?}"
                    );
                }
            }
        }
    }

    fn check_config(&self) {
        let mut given = Vec::new();
        for (call, sent, at, answer) in self.done() {
            match (call, answer) {
                (Call::ConfigPut { edition, .. }, Answer::Done) => given.push((sent, at, *edition, false)),
                (Call::ConfigGet, Answer::Config(body)) => {
                    given.push((sent, at, edition_of(body), true));
                }
                (Call::ConfigGet, Answer::Missing) => given.push((sent, at, 0, true)),
                _ => {}
            }
        }
        self.check_contents();
        for (sent, _, edition, read) in &given {
            for (_, end, before, _) in given.iter().filter(|_| *read) {
                hold!(end >= sent || before <= edition, Check::Linear, "edition {edition} after {before}");
            }
        }
    }

    /// An edition is confirmed with one content, and what was refused is not read.
    fn check_contents(&self) {
        let mut confirmed: BTreeMap<u64, &Vec<u8>> = BTreeMap::new();
        let mut refused: BTreeSet<&Vec<u8>> = BTreeSet::new();
        for (call, _, _, answer) in self.done() {
            match (call, answer) {
                (Call::ConfigPut { edition, body }, Answer::Done) => {
                    let one = *confirmed.entry(*edition).or_insert(body) == body;
                    hold!(one, Check::Content, "edition {edition} is confirmed with two contents");
                }
                (Call::ConfigPut { body, .. }, Answer::Differs { .. }) => _ = refused.insert(body),
                _ => {}
            }
        }
        for (call, _, _, answer) in self.done() {
            let body = match (call, answer) {
                (Call::ConfigGet, Answer::Config(body)) => body,
                (Call::ConfigPut { body, .. }, Answer::Done) => body,
                _ => continue,
            };
            hold!(!refused.contains(body), Check::Refused, "a content that was refused is in force");
        }
    }

    fn check_cells(&self) {
        // Group -> revision -> (key, value), from everything shown.
        let mut shown: BTreeMap<String, BTreeMap<u64, (String, String)>> = BTreeMap::new();
        let mut show = |key: &String, value: &String, revision: u64| {
            let group = fallgap_control_state::group_of(key).to_owned();
            let put = (key.clone(), value.clone());
            let before = shown.entry(group).or_default().insert(revision, put.clone());
            let one = before.as_ref().is_none_or(|before| *before == put);
            hold!(one, Check::Linear, "revision {revision} shows {before:?} and {put:?}");
        };
        let mut refused: BTreeSet<&String> = BTreeSet::new();
        let mut puts: BTreeSet<(&String, &String)> = BTreeSet::new();
        for told in self.calls.values() {
            if let Call::CellPut { name, value, .. } = &told.call {
                puts.insert((name, value));
            }
        }
        for (call, _, _, answer) in self.done() {
            match (call, answer) {
                (Call::CellPut { name, value, .. }, Answer::Revision(revision)) => {
                    show(name, value, *revision);
                }
                (Call::CellPut { value, .. }, Answer::Conflict { .. }) => {
                    refused.insert(value);
                }
                (Call::CellGet { name }, Answer::Cell { value, revision }) => {
                    show(name, value, *revision);
                }
                (Call::Watch { .. }, Answer::Events { events, .. }) => {
                    for Event { name, value, revision } in events {
                        show(name, value, *revision);
                    }
                }
                _ => {}
            }
        }
        // A put whose every try was refused has never been.
        let busy = |told: &Told| matches!(told.told, Some((_, Answer::Busy)));
        let mut tries: BTreeMap<&String, bool> = BTreeMap::new();
        for told in self.calls.values() {
            if let Call::CellPut { value, .. } = &told.call {
                *tries.entry(value).or_insert(true) &= busy(told);
            }
        }
        refused.extend(tries.iter().filter(|(_, all)| **all).map(|(value, _)| *value));
        for (key, value) in shown.values().flat_map(|revisions| revisions.values()) {
            hold!(puts.contains(&(key, value)), Check::Linear, "{key} never was {value}");
            hold!(!refused.contains(value), Check::Refused, "{value} at {key} was turned away");
        }
        self.check_conditions(&shown);
    }

    fn check_conditions(&self, shown: &BTreeMap<String, BTreeMap<u64, (String, String)>>) {
        for (call, _, _, answer) in self.done() {
            let Call::CellPut { name, on, .. } = call else { continue };
            let Some(puts) = shown.get(fallgap_control_state::group_of(name)) else { continue };
            match answer {
                Answer::Revision(revision) => {
                    let Some(on) = on else { continue };
                    let mut between = puts.range(on + 1..*revision).filter(|(_, (key, _))| key == name);
                    hold!(
                        between.next().is_none(),
                        Check::Condition,
                        "{name}: a put on {on} over a later one"
                    );
                }
                Answer::Conflict { revision } if *revision > 0 => {
                    // Puts that nobody was told of are not shown.
                    let put = puts.get(revision);
                    let own = put.is_none_or(|(key, _)| key == name);
                    hold!(own, Check::Condition, "{name}: conflict with another key's {revision}");
                }
                _ => {}
            }
        }
    }

    /// A watch's events rise and skip no put that was shown in their span.
    fn check_watches(&self) {
        let mut known: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
        for (call, _, _, answer) in self.done() {
            if let (Call::CellPut { name, .. }, Answer::Revision(revision)) = (call, answer) {
                known.entry(fallgap_control_state::group_of(name)).or_default().insert(*revision);
            }
        }
        let mut given: BTreeMap<&str, Vec<(Duration, Duration, u64)>> = BTreeMap::new();
        for (call, sent, at, answer) in self.done() {
            let Call::Watch { group, after, .. } = call else { continue };
            match answer {
                Answer::Events { events, revision } if *after > 0 => {
                    let has: Vec<u64> = events.iter().map(|event| event.revision).collect();
                    hold!(has.is_sorted_by(|a, b| a < b), Check::Watch, "events of {group} do not rise");
                    let within = has.iter().all(|r| r > after && r <= revision);
                    hold!(within, Check::Watch, "events of {group} outside {after} to {revision}");
                    let puts = known
                        .get(group.as_str())
                        .into_iter()
                        .flat_map(|all| all.iter().filter(|put| *put > after && *put <= revision));
                    for put in puts {
                        hold!(
                            has.contains(put),
                            Check::Watch,
                            "{group} skips {put} after {after}, up to {revision}"
                        );
                    }
                }
                Answer::Events { revision, .. } => {
                    given.entry(group).or_default().push((sent, at, *revision))
                }
                Answer::Expired => hold!(false, Check::Watch, "{group} after {after} expired"),
                _ => {}
            }
        }
        for (call, sent, at, answer) in self.done() {
            if let (Call::CellPut { name, .. }, Answer::Revision(revision)) = (call, answer)
                && let Some(given) = given.get_mut(fallgap_control_state::group_of(name))
            {
                // A put that came again has an old revision: it says nothing of the present.
                let _ = sent;
                given.push((Duration::MAX, at, *revision));
            }
        }
        for (group, given) in given {
            let asked: Vec<_> = given.iter().filter(|(sent, ..)| *sent < Duration::MAX).collect();
            for (sent, _, revision) in asked {
                for (_, end, before) in &given {
                    hold!(
                        end >= sent || before <= revision,
                        Check::Watch,
                        "{group} at {revision} after {before}"
                    );
                }
            }
        }
    }
}

/// The edition that a drawn configuration begins with.
fn edition_of(body: &[u8]) -> u64 {
    body.iter().take(8).fold(0, |n, byte| n << 8 | u64::from(*byte))
}

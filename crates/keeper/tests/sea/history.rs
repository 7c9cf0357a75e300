//! What callers were told, and what must hold of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fallgap_keeper::{Answer, Call, Event};

#[derive(Clone, Debug)]
pub struct Told {
    pub call: Call,
    pub sent: Duration,
    /// None: no answer came.
    pub told: Option<(Duration, Answer)>,
}

/// Holder, sent, first answer, end.
type Hold<'a> = (&'a String, Duration, Duration, Duration);

#[derive(Default)]
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

    pub fn check(&self) {
        self.check_rising();
        self.check_locks();
        self.check_config();
        self.check_cells();
        self.check_watches();
    }

    /// Given out once, and above all that were given out before the call was sent.
    fn rising(what: &str, mut given: Vec<(Duration, Duration, u64)>, strictly: bool) {
        given.sort();
        let mut by_end = given.clone();
        by_end.sort_by_key(|(_, end, _)| *end);
        let mut ended = by_end.iter().peekable();
        let mut highest = 0;
        for (sent, _, value) in &given {
            while let Some((_, _, before)) = ended.next_if(|(_, end, _)| end < sent) {
                highest = highest.max(*before);
            }
            if strictly {
                assert!(*value > highest, "{what}: {value} after {highest}");
            } else {
                assert!(*value >= highest, "{what}: {value} after {highest}");
            }
        }
        if strictly {
            let values: BTreeSet<u64> = given.iter().map(|(.., value)| *value).collect();
            assert_eq!(values.len(), given.len(), "{what}: given out twice");
        }
    }

    fn check_rising(&self) {
        let mut names: BTreeMap<&String, Vec<_>> = BTreeMap::new();
        for (call, sent, at, answer) in self.done() {
            if let (Call::Number { name }, Answer::Value(value)) = (call, answer) {
                names.entry(name).or_default().push((sent, at, *value));
            }
        }
        for (name, given) in names {
            Self::rising(name, given, true);
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
            assert_eq!(held.0, holder, "{name}: fence {fence} went to two");
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
                    assert!(begins >= sent, "{name}: {fence} asked for after {next} was given");
                    let both = holder != other && from.max(begins) < until.min(ends);
                    assert!(!both, "{name}: {fence} {from:?}..{until:?}, {next} {begins:?}..{ends:?}");
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
                    let edition = body.iter().take(8).fold(0, |n, byte| n << 8 | u64::from(*byte));
                    given.push((sent, at, edition, true));
                }
                (Call::ConfigGet, Answer::Missing) => given.push((sent, at, 0, true)),
                _ => {}
            }
        }
        for (sent, _, edition, read) in &given {
            for (_, end, before, _) in given.iter().filter(|_| *read) {
                assert!(end >= sent || before <= edition, "read {edition} after {before}");
            }
        }
    }

    fn check_cells(&self) {
        // Group -> revision -> (key, value), from everything shown.
        let mut shown: BTreeMap<String, BTreeMap<u64, (String, String)>> = BTreeMap::new();
        let mut show = |key: &String, value: &String, revision: u64| {
            let group = fallgap_keeper::group_of(key).to_owned();
            let put = (key.clone(), value.clone());
            let before = shown.entry(group).or_default().insert(revision, put.clone());
            assert!(before.is_none_or(|before| before == put), "revision {revision} shows two puts");
        };
        let mut refused: BTreeSet<&String> = BTreeSet::new();
        let mut puts: BTreeSet<(&String, &String)> = BTreeSet::new();
        let mut reads: BTreeMap<&String, Vec<(Duration, Duration, u64)>> = BTreeMap::new();
        let mut first: BTreeMap<&String, Duration> = BTreeMap::new();
        for told in self.calls.values() {
            if let Call::CellPut { name, value, .. } = &told.call {
                puts.insert((name, value));
                let sent = first.entry(value).or_insert(told.sent);
                *sent = told.sent.min(*sent);
            }
        }
        for (call, sent, at, answer) in self.done() {
            match (call, answer) {
                (Call::CellPut { name, value, .. }, Answer::Revision(revision)) => {
                    show(name, value, *revision);
                    let sent = first.get(value).copied().unwrap_or(sent);
                    reads.entry(name).or_default().push((sent, at, *revision));
                }
                (Call::CellPut { value, .. }, Answer::Conflict { .. }) => {
                    refused.insert(value);
                }
                (Call::CellGet { name }, Answer::Cell { value, revision }) => {
                    show(name, value, *revision);
                    reads.entry(name).or_default().push((sent, at, *revision));
                }
                (Call::CellGet { name }, Answer::Missing) => {
                    reads.entry(name).or_default().push((sent, at, 0));
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
            assert!(puts.contains(&(key, value)), "{key} never was {value}");
            assert!(!refused.contains(value), "{value} at {key} was turned away");
        }
        for (key, given) in reads {
            Self::rising(key, given, false);
        }
        self.check_conditions(&shown);
    }

    fn check_conditions(&self, shown: &BTreeMap<String, BTreeMap<u64, (String, String)>>) {
        for (call, _, _, answer) in self.done() {
            let Call::CellPut { name, on, .. } = call else { continue };
            let Some(puts) = shown.get(fallgap_keeper::group_of(name)) else { continue };
            match answer {
                Answer::Revision(revision) => {
                    let Some(on) = on else { continue };
                    let mut between = puts.range(on + 1..*revision).filter(|(_, (key, _))| key == name);
                    assert!(between.next().is_none(), "{name}: a put on {on} over a later one");
                }
                Answer::Conflict { revision } if *revision > 0 => {
                    // Puts that nobody was told of are not shown.
                    let put = puts.get(revision);
                    assert!(
                        put.is_none_or(|(key, _)| key == name),
                        "{name}: conflict with another key's {revision}"
                    );
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
                known.entry(fallgap_keeper::group_of(name)).or_default().insert(*revision);
            }
        }
        let mut given: BTreeMap<&str, Vec<(Duration, Duration, u64)>> = BTreeMap::new();
        for (call, sent, at, answer) in self.done() {
            let Call::Watch { group, after, .. } = call else { continue };
            match answer {
                Answer::Events { events, revision } if *after > 0 => {
                    let has: Vec<u64> = events.iter().map(|event| event.revision).collect();
                    assert!(has.is_sorted_by(|a, b| a < b), "events do not rise");
                    assert!(has.iter().all(|r| r > after && r <= revision));
                    let puts = known
                        .get(group.as_str())
                        .into_iter()
                        .flat_map(|all| all.iter().filter(|put| *put > after && *put <= revision));
                    for put in puts {
                        assert!(has.contains(put), "{group} skips {put} after {after}, up to {revision}");
                    }
                }
                Answer::Events { revision, .. } => {
                    given.entry(group).or_default().push((sent, at, *revision))
                }
                Answer::Expired => panic!("{group} after {after} expired"),
                _ => {}
            }
        }
        for (call, sent, at, answer) in self.done() {
            if let (Call::CellPut { name, .. }, Answer::Revision(revision)) = (call, answer)
                && let Some(given) = given.get_mut(fallgap_keeper::group_of(name))
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
                    assert!(end >= sent || before <= revision, "{group} at {revision} after {before}");
                }
            }
        }
    }
}

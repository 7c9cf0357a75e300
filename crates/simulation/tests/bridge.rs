//! Three keepers of which two do not reach each other, while changes come through one of these two: the other one hears of
//! them over the third. It is in contact with a majority, so others go by what it tells, and it may not fall behind.

use std::collections::BTreeMap;
use std::time::Duration;

use fallgap_control_state::subjects::config_edition;
use fallgap_control_state::{Answer, Call, Keeper, Key, Message, Out};
use fallgap_simulation::waters::{ms, node, one_of_three};

/// One way between two keepers.
const WAY: Duration = ms(3);
/// What is acknowledged is told by whoever is in contact within this: the least `config_s` is 2 s, and followers need some of it.
const BOUND: Duration = ms(1500);

enum Happening {
    Message { from: usize, to: usize, message: Message },
    Synced { at: usize, number: u64 },
}

struct Bridge {
    keepers: Vec<Keeper>,
    now: Duration,
    /// By when it happens, and a count.
    coming: BTreeMap<(Duration, u64), Happening>,
    count: u64,
    /// How long a disk takes.
    sync: Duration,
    /// These two do not reach each other.
    cut: Option<[usize; 2]>,
    /// The newest edition that each has told of.
    told: [u64; 3],
    /// Editions that were acknowledged, by when.
    acked: Vec<(Duration, u64)>,
}

impl Bridge {
    fn new(seed: u64, sync: Duration) -> Bridge {
        let now = ms(5000);
        Bridge {
            keepers: (1..4).map(|n| one_of_three(now, n, seed * 8 + u64::from(n))).collect(),
            now,
            coming: BTreeMap::new(),
            count: 0,
            sync,
            cut: None,
            told: [0; 3],
            acked: Vec::new(),
        }
    }

    fn comes(&mut self, after: Duration, what: Happening) {
        self.count += 1;
        self.coming.insert((self.now + after, self.count), what);
    }

    fn take(&mut self) {
        for at in 0..self.keepers.len() {
            let mut last = None;
            for out in self.keepers[at].take() {
                match out {
                    Out::Send(to, message) => {
                        let to = (1..4).position(|n| node(n) == to).expect("a member");
                        let is_cut = self.cut.is_some_and(|cut| cut.contains(&at) && cut.contains(&to));
                        if at == to || !is_cut {
                            self.comes(WAY, Happening::Message { from: at, to, message });
                        }
                    }
                    Out::Log { number, .. } => last = Some(number),
                    Out::Answer(edition, Answer::Done) => self.acked.push((self.now, edition)),
                    Out::Committed { key: Key::Config, value } => {
                        self.told[at] = self.told[at].max(config_edition(Some(&value)).unwrap_or(0));
                    }
                    Out::Answer(..) | Out::Committed { .. } | Out::Voted { .. } | Out::Note(_) => {}
                }
            }
            if let Some(number) = last {
                self.comes(self.sync, Happening::Synced { at, number });
            }
        }
    }

    fn passes(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            self.take();
            let wake = self.keepers.iter().map(Keeper::next_wake).min().expect("three");
            let next = self.coming.first_key_value().map(|((at, _), _)| *at);
            let at = next.map_or(wake, |next| next.min(wake)).max(self.now);
            if at > end {
                break;
            }
            self.now = at;
            while let Some(first) = self.coming.first_entry().filter(|first| first.key().0 <= at) {
                match first.remove() {
                    Happening::Message { from, to, message } => {
                        self.keepers[to].heard(at, node(from as u8 + 1), message);
                    }
                    Happening::Synced { at: keeper, number } => self.keepers[keeper].synced(at, number),
                }
            }
            for keeper in &mut self.keepers {
                if keeper.next_wake() <= at {
                    keeper.woke(at);
                }
            }
        }
        self.now = end;
    }

    fn change(&mut self, at: usize, edition: u64) {
        let body = format!("{{\"edition\":{edition}}}").into_bytes();
        self.keepers[at].call(self.now, edition, Call::ConfigPut { edition, body });
    }

    /// How far whoever is in contact is behind what was acknowledged `BOUND` ago: keeper, told, acknowledged.
    fn behind(&self) -> Option<(usize, u64, u64)> {
        let old = self.acked.iter().filter(|(at, _)| *at + BOUND <= self.now);
        let due = old.map(|(_, edition)| *edition).max().unwrap_or(0);
        let in_contact = |at: &usize| self.keepers[*at].in_contact(self.now);
        let late = (0..3).filter(in_contact).find(|at| self.told[*at] < due);
        late.map(|at| (at, self.told[at], due))
    }
}

#[test]
fn whoever_is_in_contact_over_a_third_keeper_stays_up_to_date() {
    let mut found = Vec::new();
    for seed in 0..12 {
        for cut in [[0, 2], [0, 1], [1, 2]] {
            for (sync, gap) in [(ms(5), ms(40)), (ms(20), ms(60)), (ms(40), ms(80))] {
                let mut bridge = Bridge::new(seed, sync);
                bridge.passes(ms(1000));
                bridge.cut = Some(cut);
                let through = cut[seed as usize % 2];
                let steps = (ms(12_000).as_millis() / gap.as_millis()) as u64;
                let late = (1..=steps).find_map(|edition| {
                    bridge.change(through, edition);
                    bridge.passes(gap);
                    bridge.behind()
                });
                let acked = bridge.acked.len() as u64;
                assert!(late.is_some() || acked > steps / 2, "seed {seed}: {acked} of {steps}");
                found.extend(late.map(|late| {
                    format!(
                        "seed {seed}, cut {cut:?}, through {through}, sync {sync:?}, gap {gap:?}: {late:?}"
                    )
                }));
            }
        }
    }
    assert!(found.is_empty(), "{} of 108:\n{}", found.len(), found.join("\n"));
}

//! One table for all that follow a home: each is led on from what it acknowledged itself, and under its own number.

mod world;

use fallgap_feed::wire::{Said, Told};
use fallgap_registry::{Distribution, NodeId, Out, Terms};
use fallgap_tables::Version;
use std::collections::BTreeMap;
use std::time::Duration;
use world::{MS, bytes_of, configuration, node};

/// A home, and followers that answer only when they are asked to.
struct Home {
    now: Duration,
    home: Distribution,
    holds: BTreeMap<NodeId, Version>,
    heard: BTreeMap<NodeId, (u64, u64)>,
    /// What each was told of tables: `whole` or the base, and the edition, if it is in it.
    told: Vec<(NodeId, Option<Version>, Option<u64>)>,
}

fn edition<'a>(
    mut notes: impl Iterator<Item = (&'a fallgap_tables::Key, Option<&'a fallgap_tables::Entry>)>,
) -> Option<u64> {
    notes.find_map(|(key, entry)| match (key, entry?) {
        (fallgap_tables::Key::Note(name), fallgap_tables::Entry::Note(text)) if **name == *"edition" => {
            text.parse().ok()
        }
        _ => None,
    })
}

impl Home {
    fn new(terms: Terms) -> Home {
        let mut home = Distribution::start(1000 * MS, 1, terms);
        home.set_configuration(1000 * MS, configuration(1, 30));
        let (holds, heard, told) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        Home { now: 1000 * MS, home, holds, heard, told }
    }

    fn said(&self, follower: NodeId) -> Said {
        let (holds, heard) = (self.holds.get(&follower).copied(), self.heard.get(&follower).copied());
        Said { table: u32::from(follower), holds, heard: heard.unwrap_or_default(), rejected: false }
    }

    fn joins(&mut self, follower: NodeId) {
        self.home.joined(self.now, follower, self.said(follower));
        self.take();
    }

    fn answers(&mut self, follower: NodeId) {
        self.home.said(self.now, follower, self.said(follower));
        self.take();
    }

    fn configure(&mut self, edition: u64) {
        self.home.set_configuration(self.now, configuration(edition, 30));
        self.take();
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += 5 * MS;
            self.home.woke(self.now);
            self.take();
        }
    }

    /// Takes what is told; a follower holds it from then on, whether it says so or not.
    fn take(&mut self) {
        for out in self.home.take() {
            let Out::Tell(to, told) = out else { continue };
            match told {
                Told::Whole(whole) => {
                    assert_eq!(whole.table, u32::from(to), "under its own number");
                    let edition = edition(whole.entries.iter().map(|(key, entry)| (key, Some(entry))));
                    self.told.push((to, None, edition));
                    self.holds.insert(to, whole.version);
                }
                Told::Delta(delta) => {
                    assert_eq!(delta.table, u32::from(to), "under its own number");
                    let edition =
                        edition(delta.changes.iter().map(|change| (&change.key, change.entry.as_ref())));
                    self.told.push((to, Some(delta.base), edition));
                    self.holds.insert(to, delta.result);
                }
                Told::AllWithdrawn { epoch, sequence, .. } => _ = self.heard.insert(to, (epoch, sequence)),
                _ => {}
            }
        }
    }
}

#[test]
fn each_is_led_on_from_what_it_acknowledged() {
    // An edition does not overtake here: what is under way is waited for.
    let terms = Terms { urgent: Duration::from_secs(9), answer: Duration::from_secs(9), ..Terms::default() };
    let terms = Terms { answer_most: Duration::from_secs(9), ..terms };
    let mut home = Home::new(terms);
    let (quick, slow, late) = (node(1), node(2), node(3));
    for follower in [quick, slow] {
        home.joins(follower);
        home.answers(follower);
    }
    assert_eq!(home.told, [(quick, None, Some(1)), (slow, None, Some(1))]);
    let first = home.holds[&slow];
    assert_eq!(home.holds[&quick], first, "one table, one version");
    home.told.clear();
    for edition in 2..5 {
        home.configure(edition);
        home.answers(quick);
    }
    let of = |home: &Home, follower| -> Vec<_> {
        home.told
            .iter()
            .filter(|(to, ..)| *to == follower)
            .map(|(_, base, edition)| (*base, *edition))
            .collect()
    };
    assert_eq!(
        of(&home, quick).iter().map(|(_, edition)| *edition).collect::<Vec<_>>(),
        [Some(2), Some(3), Some(4)]
    );
    assert_eq!(of(&home, slow), [(Some(first), Some(2))], "one update under way");
    let second = home.holds[&slow];
    home.answers(slow);
    assert_eq!(of(&home, slow)[1..], [(Some(second), Some(4))], "then what is newest, and only that");
    home.answers(slow);
    home.joins(late);
    assert_eq!(of(&home, late), [(None, Some(4))]);
    assert_eq!(home.holds[&late], home.holds[&quick]);
    // Nothing is told again that all hold.
    home.told.clear();
    home.answers(late);
    home.pass(Duration::from_secs(4));
    assert_eq!(home.told, []);
}

/// Fails where a table is built for each follower, and only when nobody waits for lines: those that waited were told
/// the edition that they waited with, and the next one behind it.
#[test]
fn who_waits_for_lines_is_told_what_is_newest_then() {
    // Some nine tables go at once, and then nine in a second.
    let terms = Terms { bytes_a_second: bytes_of(30, 30).0 * 9.4, head_bytes: 0.0, ..Terms::default() };
    let mut home = Home::new(terms);
    let all: Vec<NodeId> = (1..40).map(node).collect();
    all.iter().for_each(|follower| home.joins(*follower));
    home.configure(2);
    let before = std::mem::take(&mut home.told);
    assert!(before.len() < 12, "{} were told at once", before.len());
    before.iter().for_each(|(follower, ..)| home.answers(*follower));
    for _ in 0..100 {
        home.pass(50 * MS);
        let told = std::mem::take(&mut home.told);
        assert!(told.iter().all(|(_, base, edition)| *edition == Some(2) || base.is_some()), "{told:?}");
        told.iter().for_each(|(follower, ..)| home.answers(*follower));
    }
    let newest = home.holds[&node(39)];
    assert!(all.iter().all(|follower| home.holds.get(follower) == Some(&newest)));
}

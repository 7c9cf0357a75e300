//! Tables of cases: lives of servers, evening out between keepers, weights, and what a follower makes of a home that
//! sends nonsense.

mod world;

use fallgap_feed::wire::{Said, Told};
use fallgap_health::Count;
use fallgap_registry::{
    Distribution, Follower, FollowerOut, News, NodeId, Out, Registry, RosterWord, ServerReport, State, Terms,
};
use std::time::Duration;
use world::{MS, beat, configuration, node, states};

const S: Duration = Duration::from_secs(1);

enum Do {
    /// Id, port, postmark; what it changes.
    Beat(&'static str, u16, u64, News),
    Close(&'static str, u16, u64, News),
    Leave(&'static str, News),
    Pass(Duration),
}

#[test]
fn lives_of_servers() {
    use Do::{Beat, Close, Leave, Pass};
    use News::{Changed, Late, Refused, Same};
    let cases: Vec<(&str, Vec<Do>, &str)> = vec![
        (
            "a beat opens, the next is nothing new",
            vec![Beat("a", 1, 1, Changed), Beat("a", 1, 2, Same)],
            "a Open",
        ),
        (
            "a late beat",
            vec![Beat("a", 1, 2, Changed), Beat("a", 1, 1, Late), Beat("a", 1, 2, Late)],
            "a Open",
        ),
        (
            "closing is final",
            vec![Beat("a", 1, 1, Changed), Close("a", 1, 2, Changed), Beat("a", 1, 3, Same)],
            "a Closing",
        ),
        ("closing twice", vec![Close("a", 1, 2, Changed), Close("a", 1, 3, Same)], "a Closing"),
        (
            "closing that comes late holds",
            vec![Beat("a", 1, 3, Changed), Close("a", 1, 2, Changed)],
            "a Closing",
        ),
        (
            "left, then a late beat",
            vec![Beat("a", 1, 1, Changed), Leave("a", Changed), Beat("a", 1, 2, Late)],
            "a Gone",
        ),
        (
            "left before any beat",
            vec![Leave("a", Changed), Leave("a", Late), Beat("a", 1, 9, Late)],
            "a Gone",
        ),
        ("silent", vec![Beat("a", 1, 1, Changed), Pass(4700 * MS)], "a Open"),
        ("silent for too long", vec![Beat("a", 1, 1, Changed), Pass(5 * S)], "a Lost"),
        ("silent, and back", vec![Beat("a", 1, 1, Changed), Pass(5 * S), Beat("a", 1, 2, Changed)], "a Open"),
        (
            "silent while closing",
            vec![Close("a", 1, 1, Changed), Pass(5 * S), Beat("a", 1, 2, Late)],
            "a Gone",
        ),
        (
            "lost, then closing",
            vec![Beat("a", 1, 1, Changed), Pass(5 * S), Close("a", 1, 2, Changed)],
            "a Closing",
        ),
        (
            "an address used again",
            vec![Beat("a", 1, 8, Changed), Pass(S), Beat("b", 1, 1, Changed)],
            "a Lost, b Open",
        ),
        (
            "a late beat of the life before, put right by the next one",
            vec![
                Beat("b", 1, 1, Changed),
                Pass(S),
                Beat("a", 1, 9, Changed),
                Pass(S),
                Beat("b", 1, 2, Changed),
            ],
            "a Lost, b Open",
        ),
        (
            "another address in one life",
            vec![Beat("a", 1, 1, Changed), Beat("a", 2, 2, Changed), Pass(S), Beat("b", 2, 1, Changed)],
            "a Lost, b Open",
        ),
        ("remembered", vec![Leave("a", Changed), Pass(59 * S), Beat("a", 1, 9, Late)], "a Gone"),
        ("forgotten", vec![Leave("a", Changed), Pass(66 * S)], ""),
        (
            "as many as may be, ended ones make room",
            vec![
                Beat("a", 1, 1, Changed),
                Beat("b", 2, 1, Changed),
                Beat("c", 3, 1, Refused),
                Leave("a", Changed),
                Beat("c", 3, 1, Changed),
            ],
            "b Open, c Open",
        ),
    ];
    for (name, events, end) in cases {
        let mut now = S;
        let mut registry = Registry::start(now, 1, Terms { servers: 2, ..Terms::default() });
        for (step, event) in events.into_iter().enumerate() {
            let (news, wanted) = match event {
                Beat(id, port, postmark, news) => (registry.beat(now, beat(id, port, postmark)), news),
                Close(id, port, postmark, news) => {
                    let mut closing = beat(id, port, postmark);
                    closing.closing = true;
                    (registry.beat(now, closing), news)
                }
                Leave(id, news) => (registry.left(now, id), news),
                Pass(time) => {
                    let end = now + time;
                    while registry.next_wake() <= end {
                        now = now.max(registry.next_wake());
                        registry.woke(now);
                    }
                    now = end;
                    (Same, Same)
                }
            };
            assert_eq!(news, wanted, "{name}, step {step}");
        }
        assert_eq!(states(&registry), end, "{name}");
    }
}

#[test]
fn a_process_that_paused_does_not_take_servers_for_silent() {
    let mut registry = Registry::start(S, 1, Terms::default());
    registry.beat(S, beat("a", 1, 1));
    // Frozen for long; the beats are still to be read.
    registry.woke(30 * S);
    assert_eq!(states(&registry), "a Open");
    for at in 1..=20 {
        registry.woke(30 * S + 100 * MS * at);
    }
    assert_eq!(states(&registry), "a Lost");
}

#[test]
fn with_keepers_that_do_not_answer_nobody_is_silent() {
    let mut registry = Registry::start(S, 1, Terms::default());
    registry.peers(S, vec![node(1), node(2)]);
    registry.beat(S, beat("a", 1, 1));
    (0..200).for_each(|at| _ = registry.woke(S + 100 * MS * at));
    assert_eq!(states(&registry), "a Open");
}

/// Hands words between two registries until both have nothing more to say; how many there were.
fn talk(now: Duration, one: &mut Registry, other: &mut Registry) -> usize {
    let mut words = 0;
    loop {
        let (from_one, from_other) = (one.take(), other.take());
        if from_one.is_empty() && from_other.is_empty() {
            return words;
        }
        words += from_one.len() + from_other.len();
        from_one.into_iter().for_each(|(_, word)| _ = other.heard(now, node(0), word));
        from_other.into_iter().for_each(|(_, word)| _ = one.heard(now, node(1), word));
    }
}

#[test]
fn keepers_even_out_what_they_know() {
    let terms = Terms::default();
    let mut one = Registry::start(S, 1, terms);
    let mut other = Registry::start(S, 2, terms);
    let beats = |registry: &mut Registry, at: Duration, postmark: u64, but: u16| {
        for i in (0..600u16).filter(|i| i % 10 != but) {
            let mut beat = beat(&format!("i-{i}"), i, postmark);
            beat.closing = i % 7 == 0 && but == 3;
            registry.beat(at, beat);
        }
    };
    // Each has not heard of a tenth of the servers; only one has heard which close.
    beats(&mut one, S, 1, 3);
    beats(&mut other, S, 1, 4);
    one.left(S, "i-9");
    one.woke(5 * S);
    other.woke(5 * S);
    let mut now = 5 * S;
    beats(&mut one, now, 2, 3);
    beats(&mut other, now, 2, 4);
    one.peers(now, vec![node(1)]);
    let mut rounds = Vec::new();
    for _ in 0..4 {
        now += S;
        one.woke(now);
        rounds.push(talk(now, &mut one, &mut other));
    }
    let known = |registry: &Registry| -> Vec<(String, State)> {
        (0..600)
            .filter_map(|i| registry.life(&format!("i-{i}")))
            .map(|l| (l.beat.id.to_string(), l.state))
            .collect()
    };
    assert_eq!(known(&one).len(), 600);
    assert_eq!(known(&one), known(&other));
    assert_eq!(other.life("i-9").map(|life| life.state), Some(State::Gone));
    // A question and its answer, once all is even.
    assert_eq!(rounds.last(), Some(&2), "{rounds:?}");
    // A keeper that starts knows what there is once one that knows has answered.
    let mut new = Registry::start(now, 3, terms);
    new.peers(now, vec![node(1)]);
    new.woke(now);
    assert!(!new.warm(now));
    talk(now, &mut new, &mut one);
    assert!(new.warm(now));
    assert_eq!(known(&new), known(&one));
    // A server heard by the other one only is not silent here.
    for at in 1..=100 {
        let at = now + 100 * MS * at;
        if at.as_millis().is_multiple_of(1000) {
            other.beat(at, beat("i-1", 1, at.as_millis() as u64));
        }
        one.woke(at);
        talk(at, &mut one, &mut other);
    }
    assert_eq!(one.life("i-1").map(|life| life.state), Some(State::Open));
    assert_eq!(one.life("i-2").map(|life| life.state), Some(State::Lost));
}

/// A home and one follower, without a net between.
struct Pair {
    now: Duration,
    registry: Registry,
    home: Distribution,
    follower: Follower,
    updates: usize,
}

const HOME: NodeId = NodeId::new(10, 0, 0, 1);

impl Pair {
    fn new() -> Pair {
        let (now, terms) = (S, Terms::default());
        let mut pair = Pair {
            now,
            registry: Registry::start(now, 1, terms),
            home: Distribution::start(now, 2, terms),
            follower: Follower::start(now, 3, node(4), terms),
            updates: 0,
        };
        pair.home.set_configuration(now, configuration(1, 3));
        pair.follower.homes(now, vec![HOME]);
        pair
    }

    fn settle(&mut self) {
        loop {
            let (told, said) = (self.home.take(), self.follower.take());
            if told.is_empty() && said.is_empty() {
                return;
            }
            for out in told {
                if let Out::Tell(_, told) = out {
                    self.updates += usize::from(matches!(told, Told::Whole(_) | Told::Delta(_)));
                    self.follower.told(self.now, HOME, told);
                }
            }
            for out in said {
                match out {
                    FollowerOut::Join(_, said) => self.home.joined(self.now, node(4), said),
                    FollowerOut::Say(_, said) => self.home.said(self.now, node(4), said),
                    _ => {}
                }
            }
        }
    }

    /// Time passes; each second servers beat, and are reported with their latency.
    fn pass(&mut self, seconds: u32, servers: &[(&str, u32, f32)]) {
        for _ in 0..seconds {
            for (port, (id, total, good_ms)) in servers.iter().enumerate() {
                let postmark = self.now.as_millis() as u64;
                let mut beat = beat(id, port as u16, postmark);
                beat.cold =
                    if *id == "fresh" && self.registry.life(id).is_none() { 10 * S } else { Duration::ZERO };
                if self.registry.beat(self.now, beat).is_change() {
                    self.home.registry_changed(self.now, &self.registry);
                }
                let report = ServerReport {
                    server: (*id).into(),
                    kinds: [Count { runs: *total, failed: 0 }, Count::default(), Count::default()],
                    good_ms: *good_ms,
                };
                self.home.reported(self.now, node(4), &[report]);
            }
            for _ in 0..20 {
                self.now += 50 * MS;
                if self.registry.woke(self.now) {
                    self.home.registry_changed(self.now, &self.registry);
                }
                self.home.woke(self.now);
                self.follower.woke(self.now);
                self.settle();
            }
        }
    }

    fn weight(&self, id: &str) -> f64 {
        let berths = self.follower.view().into_iter().flat_map(|view| &view.berths);
        berths.filter(|berth| *berth.id == *id).map(|berth| berth.weight).sum()
    }
}

#[test]
fn weights_step_against_the_load() {
    let servers = [("quick", 10, 50.0), ("even", 10, 100.0), ("slow", 10, 150.0), ("unheard", 1, 900.0)];
    let mut pair = Pair::new();
    pair.pass(4, &servers);
    assert_eq!(servers.map(|(id, ..)| pair.weight(id)), [1.0; 4]);
    // Four answers count in all for the unheard one, which is too few in a period of five seconds or so.
    pair.pass(12, &servers.map(|(id, total, ms)| (id, if id == "unheard" { 0 } else { total }, ms)));
    let (quick, slow) = (pair.weight("quick"), pair.weight("slow"));
    assert!((1.05..1.17).contains(&quick) && (0.85..0.951).contains(&slow), "{quick} {slow}");
    pair.pass(200, &servers.map(|(id, total, ms)| (id, if id == "unheard" { 0 } else { total }, ms)));
    let all = servers.map(|(id, ..)| pair.weight(id));
    assert!((1.92..=2.0).contains(&all[0]) && (0.5..=0.52).contains(&all[2]), "{all:?}");
    assert_eq!((all[1], all[3]), (1.0, 1.0), "even and unheard");
    // Nothing moves any more, and nothing is sent.
    let updates = pair.updates;
    pair.pass(30, &servers[..3]);
    assert!(pair.updates <= updates + 1, "{} updates of nothing", pair.updates - updates);
}

#[test]
fn fresh_servers_rise_evenly_whatever_they_do() {
    let servers = [("old", 10, 100.0), ("fresh", 10, 900.0)];
    let mut pair = Pair::new();
    pair.pass(4, &servers[..1]);
    let mut weights = Vec::new();
    for _ in 0..10 {
        pair.pass(1, &servers);
        weights.push(pair.weight("fresh"));
    }
    assert!((0.5..0.6).contains(&weights[0]), "{weights:?}");
    assert!((0.7..0.8).contains(&weights[4]), "{weights:?}");
    assert!(weights.windows(2).all(|pair| pair[0] <= pair[1]), "{weights:?}");
    pair.pass(2, &servers);
    assert!(pair.weight("fresh") > 0.94, "{weights:?}");
    pair.pass(30, &servers);
    assert!(pair.weight("fresh") < 0.9, "its latency counts from then on");
}

#[test]
fn servers_out_are_told_at_once_and_known_to_be_heard() {
    let servers = [("a", 0, 0.0), ("b", 0, 0.0)];
    let mut pair = Pair::new();
    pair.pass(4, &servers);
    let mut closing = beat("a", 0, u64::MAX);
    closing.closing = true;
    pair.registry.beat(pair.now, closing);
    pair.home.registry_changed(pair.now, &pair.registry);
    assert!(!pair.home.is_heard("a", pair.home.ends_heard()));
    pair.settle();
    assert!(
        pair.home.is_heard("a", pair.home.ends_heard()) && !pair.home.is_heard("b", pair.home.ends_heard())
    );
    assert_eq!((pair.weight("a"), pair.weight("b")), (0.0, 1.0), "no time has passed");
    // Ends that all have heard are forgotten in the end, and a follower that is silent is, too.
    (0..200).for_each(|_| pair.pass(1, &servers[1..]));
    assert!(!pair.home.is_heard("a", pair.home.ends_heard()));
    pair.follower = Follower::start(pair.now, 4, node(5), Terms::default());
    pair.pass(12, &[]);
    assert_eq!(pair.home.followers().count(), 0);
}

#[test]
fn a_home_that_sends_nonsense_is_left() {
    let mut pair = Pair::new();
    pair.pass(3, &[("a", 0, 0.0)]);
    let view = pair.follower.view().cloned();
    pair.follower.homes(pair.now, vec![HOME, node(1)]);
    for at in 0..10 {
        // Of a base that nobody holds.
        let version = |number| fallgap_tables::Version { epoch: 5, number, digest: 3 };
        let delta = fallgap_tables::Delta {
            table: u32::from(node(4)),
            base: version(at),
            result: version(at + 1),
            changes: Vec::new(),
        };
        pair.follower.told(pair.now, HOME, Told::Delta(delta));
    }
    assert_eq!(pair.follower.home(), Some(node(1)));
    assert_eq!(pair.follower.view().cloned(), view, "what it has it keeps");
    // A word of the home that was left is not taken for one of the new home.
    pair.follower.unfit(pair.now, HOME);
    assert_eq!(pair.follower.home(), Some(node(1)));
}

#[test]
fn a_home_is_asked_as_soon_as_it_may_answer() {
    let (now, one, other) = (1000 * MS, node(0), node(1));
    let mut follower = Follower::start(now, 1, node(4), Terms::default());
    let asked = |follower: &mut Follower| {
        let outs = follower.take().into_iter();
        outs.filter_map(|out| if let FollowerOut::Join(home, _) = out { Some(home) } else { None }).collect()
    };
    let none: Vec<NodeId> = Vec::new();
    follower.homes(now, vec![one, other]);
    assert_eq!(asked(&mut follower), [one]);
    // What was said to the first is lost, and the other has just been started as well.
    follower.unreached(now + MS, one);
    assert_eq!(asked(&mut follower), [other]);
    follower.unfit(now + 2 * MS, other);
    assert_eq!(asked(&mut follower), none);
    // It is fit by now.
    follower.fit(now + 9 * MS, other);
    assert_eq!(asked(&mut follower), [other]);
    // A home that has a word is not left for another one, nor for a stream that broke.
    follower.told(now + 10 * MS, other, Told::AllWithdrawn { epoch: 3, sequence: 0, out: Vec::new() });
    follower.fit(now + 11 * MS, one);
    follower.unreached(now + 11 * MS, other);
    assert_eq!((asked(&mut follower), follower.home()), (none, Some(other)));
}

#[test]
fn a_home_that_was_unfit_calls_those_back_that_it_sent_away() {
    let terms = Terms::default();
    let mut distribution = Distribution::start(1000 * MS, 1, terms);
    distribution.set_fit(1000 * MS, false);
    let said = |i| Said { table: u32::from(node(i)), holds: None, heard: (0, 0), rejected: false };
    distribution.joined(1000 * MS, node(4), said(4));
    distribution.joined(1500 * MS, node(5), said(5));
    distribution.take();
    distribution.set_fit(1000 * MS + terms.avoid.1 + MS, true);
    let called = distribution.take().into_iter().filter(|out| matches!(out, Out::Fit(_)));
    assert_eq!(called.collect::<Vec<_>>(), [Out::Fit(node(5))]);
}

#[test]
fn words_are_read_as_written() {
    let terms = Terms::default();
    let said = Said { table: 7, holds: None, heard: (0, 0), rejected: false };
    let RosterWord::Join(line) = RosterWord::join(&said) else { panic!("a join") };
    assert_eq!(RosterWord::read_said(&line, &terms), Ok(said));
    assert!(RosterWord::read_said(b"nonsense", &terms).is_err());
    assert!(RosterWord::read_told(&line, &terms).is_err());
}

/// A server that says nothing before it leaves: the last word counts whatever was said before, and whether it is known.
#[test]
fn a_last_beat_closes_a_life_that_is_known_or_not() {
    use fallgap_registry::last_beat;
    for known in [false, true] {
        let mut registry = Registry::start(S, 1, Terms::default());
        if known {
            registry.beat(S, beat("a", 1, 7));
        }
        assert_eq!(registry.beat(2 * S, last_beat("a".into())), News::Changed, "{known}");
        assert_eq!(states(&registry), "a Closing", "{known}");
        // It serves on, and may beat on.
        registry.beat(3 * S, beat("a", 1, 8));
        assert_eq!(states(&registry), "a Closing", "{known}");
        // Another server may live at its address.
        registry.beat(3 * S, beat("b", 1, 1));
        assert_eq!(states(&registry), "a Closing, b Open", "{known}");
    }
}

//! Failures of sources, each as a case with the time handed in.

#[allow(dead_code)] // each test uses its part of it
mod plain;

use fallgap::ServerState::{self, Draining, Gone, Ready};
use fallgap_sources::{Age, Claim, SourceId, Sources, Terms};
use plain::Told;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);
const LIFE: Option<Duration> = Some(Duration::from_secs(30));

struct World {
    sources: Sources<Told>,
    list: SourceId,
    dns: SourceId,
    now: Duration,
}

fn claim(server: &str, state: ServerState) -> Claim {
    Claim { server: server.into(), state, age: Age::LongAgo, ..Claim::default() }
}

fn ready(servers: &[&str]) -> Vec<Claim> {
    servers.iter().map(|server| claim(server, Ready)).collect()
}

/// As DNS tells them: of unknown age.
fn records(servers: &[&str]) -> Vec<Claim> {
    servers.iter().map(|server| Claim { age: Age::Unknown, ..claim(server, Ready) }).collect()
}

impl World {
    fn new() -> World {
        let mut sources = Sources::start(Told::default(), Terms::default());
        let (list, dns) = (sources.open("discovery", true), sources.open("dns", false));
        World { sources, list, dns, now: S * 100_000 }
    }
    fn list(&mut self, claims: Vec<Claim>) {
        self.sources.whole(self.now, self.list, self.now, None, claims);
    }
    fn change(&mut self, claim: Claim) {
        self.sources.changes(self.now, self.list, vec![claim]);
    }
    fn dns(&mut self, claims: Vec<Claim>) {
        self.sources.whole(self.now, self.dns, self.now, LIFE, claims);
    }
    /// Time passes; whatever is due is looked at when it is.
    fn wait(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(at) = self.sources.next_look().filter(|at| *at <= until) {
            self.sources.woke(at);
        }
        self.now = until;
    }
    fn open(&self) -> Vec<&str> {
        self.sources.outside.ready().into_iter().collect()
    }
    fn state(&self, server: &str) -> Option<ServerState> {
        self.sources.outside.state(server)
    }
    fn news(&self) -> usize {
        self.sources.outside.news.len()
    }
    fn event(&self) -> &str {
        self.sources.outside.events.last().map_or("", String::as_str)
    }
}

/// Guards against a drain that a record undoes: before, during and after the drain it names the node.
#[test]
fn a_record_that_stays_does_not_end_a_drain() {
    let mut world = World::new();
    world.dns(records(&["a", "b"]));
    world.list(ready(&["a", "b"]));
    world.change(claim("a", Draining));
    assert_eq!(world.state("a"), Some(Draining));
    for _ in 0..20 {
        world.wait(S * 20);
        world.dns(records(&["a", "b"]));
        assert_eq!(world.state("a"), Some(Draining));
    }
    world.change(claim("a", Gone));
    world.dns(records(&["a", "b"]));
    assert_eq!(world.state("a"), Some(Gone), "the record has merely stayed");
    // The node restarts: discovery says ready, with a new start.
    let started = world.now;
    world.wait(S);
    world.change(Claim { age: Age::Since(started), ..claim("a", Ready) });
    assert_eq!(world.sources.outside.list["a"].started, Some(started));
    assert_eq!(world.open(), ["a", "b"]);
}

/// Guards against a drain that outlives the node's restart when another source tells of it.
#[test]
fn a_new_start_ends_a_drain() {
    let mut world = World::new();
    let third = world.sources.open("registry", false);
    world.list(vec![claim("a", Draining), claim("b", Ready)]);
    world.wait(S * 60);
    let since = |at| vec![Claim { age: Age::Since(at), ..claim("a", Ready) }];
    world.sources.whole(world.now, third, world.now, LIFE, since(world.now - S * 90));
    assert_eq!(world.state("a"), None, "started before the drain: never told");
    world.sources.whole(world.now, third, world.now, LIFE, since(world.now - S));
    assert_eq!(world.state("a"), Some(Ready));
}

/// Guards against a cached answer that brings back what is gone.
#[test]
fn an_answer_that_may_be_older_brings_nothing_back() {
    let mut world = World::new();
    world.dns(records(&["a", "b", "c"]));
    world.list(ready(&["a", "b", "c"]));
    world.change(claim("a", Gone));
    // The record goes, and comes back out of a cache that may hold it since before.
    world.wait(S);
    world.dns(records(&["b", "c"]));
    world.wait(S);
    let oldest = world.now - S * 3;
    world.sources.whole(world.now, world.dns, oldest, LIFE, records(&["a", "b", "c"]));
    assert_eq!(world.state("a"), Some(Gone));
    world.wait(S * 5);
    world.dns(records(&["a", "b", "c"]));
    assert_eq!(world.state("a"), Some(Ready), "named anew by an answer that cannot be older");
    assert_eq!(world.sources.outside.list["a"].started, Some(world.now), "its age is unknown: cold");
}

/// Guards against a table emptied by resolvers that fail, without discovery at hand.
#[test]
fn ten_minutes_without_resolvers() {
    let mut world = World::new();
    let servers = ["a", "b", "c", "d"];
    world.dns(records(&servers));
    world.wait(S * 20);
    world.sources.failed(world.now, world.dns);
    let news = world.news();
    world.wait(S * 600);
    assert_eq!((world.open(), world.news()), (servers.to_vec(), news));
    // They return with half the set changed: too much to believe at once.
    world.dns(records(&["c", "d", "e", "f"]));
    assert_eq!(world.open(), ["a", "b", "c", "d", "e", "f"]);
    assert_eq!(world.event(), "held dns 2 of 4");
    let (_, at) = world.sources.outside.ask_again[0];
    assert_eq!(at, world.now + S * 2, "asked again soon");
    world.wait(S * 2);
    world.dns(records(&["c", "d", "e", "f"]));
    assert_eq!(world.open(), ["c", "d", "e", "f"]);
    assert_eq!(world.event(), "settled dns 2");
}

/// Guards against a fleet that is let go of for its source, and against servers kept that answer nothing.
#[test]
fn past_the_hold_servers_that_answer_stay() {
    let mut world = World::new();
    world.dns(records(&["a", "b", "c"]));
    world.sources.failed(world.now, world.dns);
    // c has died meanwhile, and nobody tells.
    for _ in 0..40 {
        world.wait(S * 30);
        world.sources.answered(world.now, "a");
        world.sources.answered(world.now, "b");
    }
    assert_eq!(world.open(), ["a", "b"]);
    // Then no op is acked anywhere: the supervisor may be cut off itself, and nobody can tell.
    world.wait(S * 61);
    assert_eq!(world.open(), ["a", "b", "c"]);
    // One alone answers: it counts once that has been so for a while.
    for _ in 0..9 {
        world.wait(S * 10);
        world.sources.answered(world.now, "c");
    }
    assert_eq!(world.open(), ["c"]);
    // A server with no answer at hand is better than none.
    world.list(vec![claim("c", Draining)]);
    assert_eq!(world.open(), ["a", "b"]);
    assert_eq!(world.event(), "last resort true 2");
    assert_eq!(world.state("c"), Some(Draining), "a known drain is no last resort");
    world.list(vec![claim("c", Ready)]);
    assert_eq!((world.open(), world.event()), (vec!["c"], "last resort false 2"));
}

/// The same with discovery at hand: it goes on telling drains, and its servers stay.
#[test]
fn discovery_goes_on_while_resolvers_fail() {
    let mut world = World::new();
    world.list(ready(&["a", "b"]));
    world.dns(records(&["a", "b", "c"]));
    world.sources.failed(world.now, world.dns);
    world.change(claim("b", Draining));
    world.change(claim("d", Ready));
    for _ in 0..60 {
        world.wait(S * 20);
        ["a", "d"].iter().for_each(|server| world.sources.answered(world.now, server));
        world.sources.unchanged(world.now, world.list);
    }
    assert_eq!(world.open(), ["a", "d"], "c, of DNS alone, answers nothing");
    world.dns(records(&["a", "b", "c"]));
    assert_eq!(world.open(), ["a", "c", "d"]);
    assert_eq!(world.event(), "back dns 1200s");
}

/// Guards against drains that are forgotten while discovery is dead, and servers that go with it.
#[test]
fn dns_goes_on_while_discovery_is_dead() {
    let mut world = World::new();
    world.list(vec![claim("a", Ready), claim("b", Draining), claim("c", Ready)]);
    world.dns(records(&["a", "b", "c"]));
    world.sources.failed(world.now, world.list);
    for minute in 0..30 {
        world.wait(S * 60);
        world.dns(records(if minute < 20 { &["a", "b", "c"] } else { &["b", "c", "d"] }));
        world.sources.answered(world.now, "c");
    }
    assert_eq!(world.open(), ["c", "d"], "a went with its record, past the hold of discovery's word");
    assert_ne!(world.state("b"), Some(Ready), "the drain holds while a record names it");
    world.list(ready(&["a", "b", "c"]));
    assert_eq!(world.state("b"), Some(Ready), "discovery itself says ready again");
}

/// Guards against a restart that takes the whole fleet for cold, or serves what was draining.
#[test]
fn a_restart_with_only_the_remembered_list() {
    let mut world = World::new();
    let remembered = vec![claim("a", Ready), claim("b", Ready), claim("c", Draining)];
    world.sources.remembered(world.now, world.list, remembered);
    assert_eq!((world.open(), world.event()), (vec!["a", "b"], ""));
    world.sources.failed(world.now, world.list);
    world.dns(records(&["a", "b", "c", "d"]));
    assert_eq!(world.open(), ["a", "b", "d"], "a drain that is remembered holds");
    let started = |server: &str| world.sources.outside.list[server].started;
    assert_eq!((started("a"), started("d")), (None, Some(world.now)));
    world.list(ready(&["a", "c", "d"]));
    assert_eq!(world.open(), ["a", "c", "d"], "one of three may go at once");
}

/// Guards against tables that swing with a server of half the records, and ramps begun again and again.
#[test]
fn answers_that_flap_between_two_halves() {
    let mut world = World::new();
    let all = ["a", "b", "c", "d", "e", "f"];
    world.dns(records(&all));
    let news = world.news();
    for round in 0..60 {
        world.wait(S * 15);
        world.dns(records(if round % 2 == 0 { &all[..3] } else { &all[3..] }));
        assert_eq!((world.open(), world.news()), (all.to_vec(), news), "round {round}");
    }
    // Small parts that come and go settle down after a few rounds.
    for round in 0..60usize {
        world.wait(S * 15);
        let lacking = all[round % 3];
        world.dns(records(&all.iter().copied().filter(|s| *s != lacking).collect::<Vec<_>>()));
    }
    let news = world.news();
    for round in 0..60usize {
        world.wait(S * 15);
        let lacking = all[round % 3];
        world.dns(records(&all.iter().copied().filter(|s| *s != lacking).collect::<Vec<_>>()));
    }
    assert_eq!(world.news(), news);
}

/// Guards against a real shrink that never comes through, and one whose first answer was a mistake.
#[test]
fn a_large_removal_waits_for_a_second_answer() {
    let mut world = World::new();
    world.dns(records(&["a", "b", "c", "d", "e", "f"]));
    world.wait(S * 30);
    world.dns(records(&["a"]));
    assert_eq!((world.open().len(), world.event()), (6, "held dns 5 of 6"));
    world.wait(S);
    world.dns(records(&["a"]));
    assert_eq!(world.open().len(), 6, "the same answer a moment later confirms nothing");
    world.wait(S);
    world.dns(records(&["a", "b", "c", "d", "e"]));
    assert_eq!((world.open().len(), world.event()), (5, "settled dns 1"), "f lacked twice");
    world.wait(S * 30);
    world.dns(records(&["a", "b", "c"]));
    assert_eq!(world.open().len(), 5);
    for _ in 0..3 {
        world.wait(S * 2);
        world.dns(records(&["a", "b", "c"]));
    }
    assert_eq!(world.open(), ["a", "b", "c"]);
}

/// Guards against a node that counts twice, or is told under two ids.
#[test]
fn one_node_under_two_names() {
    let mut world = World::new();
    let at = |server: &str, port: u16| Claim {
        addresses: vec![([10, 0, 0, 7], port).into()],
        ..claim(server, Ready)
    };
    world.dns(vec![at("store3", 8443), at("store3-old", 8443), at("store4", 8444)]);
    assert_eq!(world.open(), ["store3", "store4"]);
    // Discovery's id is the one that is told; the record goes on meaning the same node.
    world.list(vec![at("s-5be2", 8443)]);
    assert_eq!(world.open(), ["s-5be2", "store4"]);
    assert_eq!(world.state("store3"), Some(Gone));
    world.change(Claim { state: Draining, ..at("s-5be2", 8443) });
    world.wait(S * 20);
    world.dns(vec![at("store3", 8443), at("store4", 8444)]);
    assert_eq!(world.open(), ["store4"], "its other name is no way round the drain");
    // The name moves to another machine: that is another server.
    let moved = Claim { addresses: vec![([10, 0, 0, 9], 8443).into()], ..at("store3", 8443) };
    world.dns(vec![moved, at("store4", 8444)]);
    assert_eq!(world.open(), ["store3", "store4"]);
    world.wait(S);
    // Two ids of discovery at one address stay two servers.
    world.list(vec![at("s-5be2", 8443), at("s-77aa", 8443)]);
    assert_eq!(world.open(), ["s-5be2", "s-77aa", "store3", "store4"]);
}

/// Guards against a drain that does not cover the record of the same node, as its address came late.
#[test]
fn two_servers_that_turn_out_to_be_one() {
    let mut world = World::new();
    let at = |server: &str, addresses| Claim { addresses, ..claim(server, Ready) };
    let address = vec![([10, 0, 0, 7], 8443).into()];
    world.dns(vec![at("store3", vec![]), at("store4", vec![])]);
    world.list(vec![at("s-5be2", address.clone())]);
    assert_eq!(world.open(), ["s-5be2", "store3", "store4"]);
    world.change(Claim { state: Draining, ..at("s-5be2", address.clone()) });
    world.dns(vec![at("store3", address.clone()), at("store4", vec![])]);
    assert_eq!((world.open(), world.state("store3")), (vec!["store4"], Some(Gone)));
    world.change(at("s-5be2", address));
    assert_eq!((world.open(), world.sources.held()), (vec!["s-5be2", "store4"], (2, 2)));
}

/// Guards against servers of a worse rank in use while a better one has any, and against none when it has not.
#[test]
fn ranks_are_used_in_order() {
    let mut world = World::new();
    let ranked = |server: &str, rank| Claim { rank: Some(rank), ..records(&[server]).remove(0) };
    let all = || vec![ranked("a", 10), ranked("b", 10), ranked("c", 20), ranked("d", 30)];
    world.dns(all());
    assert_eq!((world.open(), world.state("c")), (vec!["a", "b"], None));
    world.list(ready(&["x"]));
    world.change(claim("a", Draining));
    assert_eq!(world.open(), ["b", "x"]);
    world.change(claim("b", Draining));
    assert_eq!(world.open(), ["c", "x"], "better ranks have none, though x of no rank is open");
    world.change(claim("b", Ready));
    assert_eq!(world.open(), ["b", "x"]);
    assert_eq!(world.state("c"), Some(Draining), "it ends what it holds");
}

/// Guards against memory that grows with every name that ever was.
#[test]
fn what_is_known_is_bounded() {
    let terms = Terms { most_servers: 10, ..Terms::default() };
    let mut sources = Sources::start(Told::default(), terms);
    let list = sources.open("discovery", true);
    let named =
        |range: std::ops::Range<usize>| range.map(|i| claim(&format!("s-{i}"), Ready)).collect::<Vec<_>>();
    sources.whole(S, list, S, None, named(0..12));
    assert_eq!((sources.held(), sources.outside.events.len()), ((10, 10), 2));
    let gone = (0..4).map(|i| claim(&format!("s-{i}"), Gone)).collect();
    sources.changes(S * 2, list, gone);
    sources.changes(S * 3, list, named(20..23));
    assert_eq!(sources.held(), (10, 9), "those gone make room");
    for fleet in 1..50 {
        sources.changes(S * 100 * fleet, list, (0..40).map(|i| claim(&format!("s-{i}"), Gone)).collect());
        let from = 100 + 6 * fleet as usize;
        sources.whole(S * 100 * fleet, list, S * 100 * fleet, None, named(from..from + 6));
        sources.whole(S * 100 * fleet + S * 3, list, S * 100 * fleet, None, named(from..from + 6));
    }
    assert!(sources.held().0 <= 10);
    sources.woke(S * 100_000);
    assert_eq!(sources.held(), (6, 6), "what is gone is forgotten in time");
}

/// Guards against a source that is given up and leaves its servers, or its withdrawals, behind.
#[test]
fn a_source_that_is_closed_said_nothing() {
    let mut world = World::new();
    world.list(ready(&["a", "b"]));
    world.dns(records(&["b", "c"]));
    world.change(claim("b", Draining));
    world.sources.close(world.now, world.dns);
    assert_eq!(world.open(), ["a"]);
    let again = world.sources.open("dns", false);
    world.sources.whole(world.now, again, world.now, LIFE, records(&["c"]));
    world.sources.close(world.now, world.list);
    assert_eq!(world.open(), ["c"]);
}

/// Guards against platforms where one list is all there is: it is believed at once, and for ever.
#[test]
fn one_believed_source_is_told_on_as_it_is() {
    let mut sources = Sources::start(Told::default(), Terms::one_believed_source());
    let list = sources.open("discovery", true);
    sources.remembered(S, list, ready(&["a", "b", "c", "d"]));
    sources.whole(S * 2, list, S * 2, None, vec![claim("b", Draining), claim("e", Ready)]);
    assert_eq!(sources.outside.ready().into_iter().collect::<Vec<_>>(), ["e"]);
    sources.failed(S * 3, list);
    sources.woke(S * 1_000_000);
    assert_eq!(sources.outside.state("e"), Some(Ready));
    sources.whole(S * 1_000_001, list, S * 1_000_001, None, ready(&["a", "b"]));
    assert_eq!(sources.outside.ready().into_iter().collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(sources.outside.ask_again, []);
}

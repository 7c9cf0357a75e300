//! The state machine with time handed in: each kind of answer, and what it does.

use fallgap_dns::{Answer, Asked, Asking, Failure, Followed, Lifetimes, Over, Resolver, Wire};
use hickory_proto::op::{Message, MessageType, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, NS, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record};
use std::net::SocketAddr;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);
const SERVICE: &str = "_store._tcp.linz.example.org";

struct Sent {
    asked: Asked,
    to: SocketAddr,
    query: Vec<u8>,
    over: Over,
}

#[derive(Default)]
struct Out {
    sent: Vec<Sent>,
    over: Vec<Asked>,
    answers: Vec<Answer>,
    failures: Vec<(Failure, Duration)>,
}

impl Wire for Out {
    fn datagram(&mut self, asked: Asked, to: SocketAddr, query: Vec<u8>) {
        self.sent.push(Sent { asked, to, query, over: Over::Udp });
    }
    fn stream(&mut self, asked: Asked, to: SocketAddr, query: Vec<u8>) {
        self.sent.push(Sent { asked, to, query: query[2..].to_vec(), over: Over::Tcp });
    }
    fn over(&mut self, asked: Asked) {
        self.over.push(asked);
    }
    fn answered(&mut self, _: Followed, answer: Answer) {
        self.answers.push(answer);
    }
    fn failed(&mut self, _: Followed, why: Failure, again: Duration) {
        self.failures.push((why, again));
    }
}

struct Rig {
    resolver: Resolver<Out>,
    now: Duration,
    followed: Followed,
}

fn at(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn name(text: &str) -> Name {
    let mut name = Name::from_ascii(text).unwrap();
    name.set_fqdn(true);
    name
}

fn srv(target: &str, ttl: u32) -> Record {
    srv_of(SERVICE, target, ttl)
}

fn srv_of(owner: &str, target: &str, ttl: u32) -> Record {
    Record::from_rdata(name(owner), ttl, RData::SRV(SRV::new(10, 1, 8443, name(target))))
}

fn a(owner: &str, last: u8, ttl: u32) -> Record {
    Record::from_rdata(name(owner), ttl, RData::A(A([10, 0, 0, last].into())))
}

fn alias(owner: &str, to: &str) -> Record {
    Record::from_rdata(name(owner), 60, RData::CNAME(CNAME(name(to))))
}

impl Rig {
    fn with(addresses: bool, asking: Asking) -> Rig {
        let servers = [at(1), at(2)];
        let mut resolver = Resolver::start(Out::default(), &servers, asking, Lifetimes::default(), 7);
        let now = S * 1000;
        let followed = resolver.follow(now, SERVICE, addresses).unwrap();
        Rig { resolver, now, followed }
    }
    fn new() -> Rig {
        Rig::with(false, Asking::default())
    }
    fn last(&self) -> &Sent {
        self.resolver.wire.sent.last().unwrap()
    }
    fn sent(&self) -> usize {
        self.resolver.wire.sent.len()
    }
    /// The answer to the last query, as `make` fills it.
    fn made(&self, make: impl FnOnce(&mut Message)) -> Vec<u8> {
        self.made_to(self.sent() - 1, make)
    }
    fn made_to(&self, sent: usize, make: impl FnOnce(&mut Message)) -> Vec<u8> {
        let query = Message::from_vec(&self.resolver.wire.sent[sent].query).unwrap();
        let meta = &query.metadata;
        assert!(meta.recursion_desired && query.queries.len() == 1);
        let mut answer = Message::new(meta.id, MessageType::Response, meta.op_code);
        answer.metadata.authoritative = true;
        answer.add_query(query.queries[0].clone());
        make(&mut answer);
        answer.to_vec().unwrap()
    }
    fn hear(&mut self, bytes: &[u8]) {
        self.hear_to(self.sent() - 1, bytes);
    }
    fn hear_to(&mut self, sent: usize, bytes: &[u8]) {
        let Sent { asked, to, over, .. } = self.resolver.wire.sent[sent];
        match over {
            Over::Udp => self.resolver.heard_datagram(self.now, asked, to, bytes),
            Over::Tcp => self.resolver.heard_message(self.now, asked, bytes),
        }
    }
    fn answer(&mut self, make: impl FnOnce(&mut Message)) {
        let bytes = self.made(make);
        self.hear(&bytes);
    }
    fn wait(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(next) = self.resolver.next_wake().filter(|next| *next <= until) {
            self.now = self.now.max(next);
            self.resolver.woke(self.now);
        }
        self.now = until;
    }
    fn targets(&self) -> Vec<&str> {
        let last = self.resolver.wire.answers.last();
        last.map_or(Vec::new(), |answer| answer.rows.iter().map(|row| row.target.as_str()).collect())
    }
    fn failure(&self) -> Option<&Failure> {
        self.resolver.wire.failures.last().map(|(why, _)| why)
    }
}

/// Guards against answers that are forged: another id, another question, from elsewhere, or unreadable. The
/// true one that comes after them counts.
#[test]
fn what_is_no_answer_to_the_query_is_ignored() {
    let mut rig = Rig::new();
    let good = rig.made(|m| _ = m.add_answer(srv("store3.linz.example.org", 60)));
    let other_id = rig.made(|m| m.metadata.id = m.metadata.id.wrapping_add(1));
    let other_name = rig.made(|m| m.queries[0].name = name("_other._tcp.example.org"));
    let not_answer = rig.made(|m| m.metadata.message_type = MessageType::Query);
    for bytes in [&other_id, &other_name, &not_answer, &vec![0; 3], &good[..good.len() - 4].to_vec()] {
        rig.hear(bytes);
    }
    let asked = rig.last().asked;
    rig.resolver.heard_datagram(rig.now, asked, at(9), &good);
    assert_eq!((rig.resolver.wire.answers.len(), rig.sent()), (0, 1));
    rig.hear(&good);
    assert_eq!(rig.targets(), ["store3.linz.example.org"]);
    rig.hear(&good);
    assert_eq!(rig.resolver.wire.answers.len(), 1, "an answer counts once");
    let counts = rig.resolver.counts();
    assert_eq!((counts.not_ours, counts.unreadable), (5, 2));
}

/// Guards against a guesser who gets as many tries as he can send: the query is asked anew, under another id.
#[test]
fn a_flood_of_odd_answers_ends_the_try() {
    let mut rig = Rig::new();
    let forged = rig.made(|m| m.metadata.id = m.metadata.id.wrapping_add(1));
    let first = rig.last().query.clone();
    (0..8).for_each(|_| rig.hear(&forged));
    assert_eq!(rig.sent(), 2);
    assert_ne!(rig.last().query[..2], first[..2]);
    assert_eq!(rig.resolver.wire.over.len(), 1, "its port is closed");
}

/// Guards against a part of the records taken for all, and against TCP for anything else.
#[test]
fn truncated_answers_are_asked_for_over_tcp() {
    let mut rig = Rig::new();
    rig.answer(|m| {
        m.metadata.truncation = true;
        m.add_answer(srv("store3.linz.example.org", 60));
    });
    assert!(rig.resolver.wire.answers.is_empty() && rig.last().over == Over::Tcp);
    assert_eq!(rig.last().to, at(1), "the same server");
    rig.answer(|m| (3..5).for_each(|i| _ = m.add_answer(srv(&format!("store{i}.linz.example.org"), 60))));
    assert_eq!(rig.targets().len(), 2);
    assert_eq!((rig.resolver.wire.answers[0].over, rig.resolver.wire.answers[0].tries), (Over::Tcp, 2));
}

/// Guards against a truncating server that refuses TCP, or stalls there: the next one is asked.
#[test]
fn truncated_and_no_tcp() {
    let mut rig = Rig::new();
    rig.answer(|m| m.metadata.truncation = true);
    let asked = rig.last().asked;
    rig.resolver.broke(rig.now, asked, "connection refused".into());
    assert_eq!((rig.last().over, rig.last().to), (Over::Udp, at(2)));
    rig.answer(|m| m.metadata.truncation = true);
    rig.wait(S);
    assert_eq!((rig.sent(), rig.resolver.wire.answers.len()), (4, 0));
    assert_eq!(rig.failure(), Some(&Failure::TimedOut));
}

/// Guards against one bad server that spoils a look-up, and against bad ones that are asked first for ever.
#[test]
fn servers_that_do_not_answer_are_passed_by() {
    let bad: [fn(&mut Message); 5] = [
        |m| m.metadata.response_code = ResponseCode::ServFail,
        |m| m.metadata.response_code = ResponseCode::Refused,
        |m| m.metadata.response_code = ResponseCode::NotAuth,
        |m| _ = m.add_authority(Record::from_rdata(name("org"), 60, RData::NS(NS(name("ns.org"))))),
        |m| _ = m.add_answer(srv_of("_store._tcp.example.net", "evil.example.net", 60)),
    ];
    for make in bad {
        let mut rig = Rig::new();
        rig.answer(make);
        assert_eq!(rig.last().to, at(2));
        rig.answer(|m| _ = m.add_answer(srv("store3.linz.example.org", 10)));
        assert_eq!(rig.targets(), ["store3.linz.example.org"]);
        rig.wait(S * 9);
        assert_eq!(rig.last().to, at(2), "the one that answered comes first");
        (0..4).for_each(|_| rig.answer(make));
        assert!(matches!(rig.failure(), Some(Failure::Unusable(_))));
        assert_eq!(rig.targets(), ["store3.linz.example.org"], "nothing else was told");
    }
}

/// Guards against servers that know no EDNS.
#[test]
fn a_server_without_edns_is_asked_without() {
    let mut rig = Rig::new();
    assert!(Message::from_vec(&rig.last().query).unwrap().edns.is_some());
    rig.answer(|m| {
        m.queries.clear();
        m.metadata.response_code = ResponseCode::FormErr;
    });
    assert_eq!(rig.last().to, at(1));
    assert!(Message::from_vec(&rig.last().query).unwrap().edns.is_none());
    rig.answer(|m| _ = m.add_answer(srv("store3.linz.example.org", 60)));
    assert_eq!(rig.targets().len(), 1);
}

/// Guards against answers of nothing that are taken for a failure, or kept for ever.
#[test]
fn nothing_is_an_answer_with_its_own_lifetime() {
    let soa = |minimum: u32| {
        let soa = SOA::new(name("ns.example.org"), name("host.example.org"), 1, 60, 60, 600, minimum);
        Record::from_rdata(name("example.org"), 86_400, RData::SOA(soa))
    };
    for (code, minimum, held) in [
        (ResponseCode::NXDomain, Some(20), 20),
        (ResponseCode::NoError, Some(86_400), 60),
        (ResponseCode::NXDomain, None, 5),
    ] {
        let mut rig = Rig::new();
        rig.answer(|m| {
            m.metadata.response_code = code;
            minimum.into_iter().for_each(|minimum| _ = m.add_authority(soa(minimum)));
        });
        let (why, again) = rig.resolver.wire.failures[0].clone();
        assert!(why.is_nothing() && rig.sent() == 1);
        let (least, most) = ((S * held).mul_f64(0.7), S * held);
        assert!((least..most).contains(&(again - rig.now)), "{code} {again:?}");
    }
}

/// Guards against aliases that lead round and round, and against those that lead out of the answer.
#[test]
fn aliases_are_followed_so_far() {
    let mut rig = Rig::new();
    rig.answer(|m| {
        m.add_answer(srv_of("b.example.org", "store3.linz.example.org", 60));
        m.add_answer(alias("a.example.org", "b.example.org"));
        m.add_answer(alias(SERVICE, "a.example.org"));
    });
    assert_eq!(rig.targets().len(), 1, "in whatever order");
    let mut rig = Rig::new();
    rig.answer(|m| _ = m.add_answer(alias(SERVICE, "_store._tcp.example.net")));
    assert_eq!(
        Message::from_vec(&rig.last().query).unwrap().queries[0].name,
        name("_store._tcp.example.net")
    );
    rig.answer(|m| _ = m.add_answer(srv_of("_store._tcp.example.net", "store9.example.net", 60)));
    assert_eq!(rig.targets(), ["store9.example.net"]);
    let mut rig = Rig::new();
    for _ in 0..4 {
        rig.answer(|m| {
            m.add_answer(alias(SERVICE, "a.example.org"));
            m.add_answer(alias("a.example.org", SERVICE));
        });
    }
    assert_eq!(rig.failure(), Some(&Failure::Unusable("alias loop")));
    let mut rig = Rig::new();
    for i in 0..20 {
        if rig.resolver.wire.failures.is_empty() {
            let owner = Message::from_vec(&rig.last().query).unwrap().queries[0].name.to_ascii();
            rig.answer(|m| _ = m.add_answer(alias(&owner, &format!("a{i}.example.org"))));
        }
    }
    assert!(matches!(rig.failure(), Some(Failure::Unusable(_))) && rig.sent() <= 10);
}

/// Guards against addresses told by whoever likes to: those of other domains are asked for.
#[test]
fn addresses_that_came_along_count_in_their_own_domain() {
    let mut rig = Rig::with(true, Asking::default());
    rig.answer(|m| {
        m.add_answer(srv("store3.linz.example.org", 60));
        m.add_answer(srv("store4.example.net", 60));
        m.add_additional(a("store3.linz.example.org", 3, 60));
        m.add_additional(a("store4.example.net", 66, 60));
        m.add_additional(a("other.linz.example.org", 5, 60));
    });
    assert!(rig.resolver.wire.answers.is_empty(), "not before all addresses are known");
    assert_eq!(rig.sent(), 3, "A and AAAA of the one");
    let asked = |rig: &Rig, i: usize| {
        Message::from_vec(&rig.resolver.wire.sent[i].query).unwrap().queries[0].name.clone()
    };
    assert_eq!((asked(&rig, 1), asked(&rig, 2)), (name("store4.example.net"), name("store4.example.net")));
    let v4 = rig.made_to(1, |m| _ = m.add_answer(a("store4.example.net", 4, 60)));
    let v6 = rig.made_to(2, |m| {
        let v6 = AAAA("fd00::4".parse().unwrap());
        m.add_answer(Record::from_rdata(name("store4.example.net"), 60, RData::AAAA(v6)));
    });
    rig.hear_to(2, &v6);
    rig.hear_to(1, &v4);
    let rows = &rig.resolver.wire.answers[0].rows;
    let told: Vec<Vec<String>> =
        rows.iter().map(|r| r.addresses.iter().map(|a| a.to_string()).collect()).collect();
    assert_eq!(told, [vec!["10.0.0.3"], vec!["10.0.0.4", "fd00::4"]]);
}

/// Guards against a target that loses its addresses when they cannot be asked for.
#[test]
fn addresses_stay_while_they_cannot_be_asked_for() {
    let mut rig = Rig::with(true, Asking { tries: 2, ..Asking::default() });
    let records = |m: &mut Message| _ = m.add_answer(srv("store4.example.net", 10));
    rig.answer(records);
    let v4 = rig.made_to(1, |m| _ = m.add_answer(a("store4.example.net", 4, 10)));
    let v6 = rig.made_to(2, |m| m.metadata.response_code = ResponseCode::NXDomain);
    rig.hear_to(1, &v4);
    rig.hear_to(2, &v6);
    assert_eq!(rig.resolver.wire.answers[0].rows[0].addresses.len(), 1);
    let before = rig.sent();
    while rig.sent() == before {
        rig.wait(S);
    }
    rig.wait(S * 7);
    let again = rig.sent() - 1;
    let bytes = rig.made_to(again, records);
    rig.hear_to(again, &bytes);
    rig.wait(S * 5);
    let answers = &rig.resolver.wire.answers;
    assert!(answers.iter().all(|answer| answer.rows[0].addresses.len() == 1));
}

/// Guards against lifetimes that make a storm, or hold for a life.
#[test]
fn lifetimes_are_held_within_bounds() {
    for (told, held) in [(0, S * 5), (2_147_483_647, S * 3600), (u32::MAX, S * 5), (60, S * 60)] {
        let mut rig = Rig::new();
        rig.answer(|m| _ = m.add_answer(srv("store3.linz.example.org", told)));
        let answer = &rig.resolver.wire.answers[0];
        assert_eq!((answer.lifetime, answer.told), (held, if told == u32::MAX { 0 } else { told }));
        let next = rig.resolver.next_wake().unwrap() - rig.now;
        assert!((held.mul_f64(0.7)..held.mul_f64(0.9)).contains(&next), "{told}: asked again after {next:?}");
    }
}

/// Guards against supervisors that ask in step.
#[test]
fn refreshes_of_many_are_spread() {
    let next = |seed| {
        let asking = Asking::default();
        let mut resolver = Resolver::start(Out::default(), &[at(1)], asking, Lifetimes::default(), seed);
        let followed = resolver.follow(S, SERVICE, false).unwrap();
        let mut rig = Rig { resolver, now: S, followed };
        rig.answer(|m| _ = m.add_answer(srv("store3.linz.example.org", 100)));
        rig.resolver.next_wake().unwrap()
    };
    let mut all: Vec<Duration> = (0..100).map(next).collect();
    all.sort();
    let most = (0..100).map(|i| all.iter().filter(|t| **t >= all[i] && **t < all[i] + S).count()).max();
    assert!(most <= Some(15), "{most:?} of 100 within one second of 20");
}

/// Guards against a cached answer that passes for a new one.
#[test]
fn how_old_an_answer_may_be() {
    let mut rig = Rig::new();
    rig.answer(|m| _ = m.add_answer(srv("store3.linz.example.org", 60)));
    assert_eq!(rig.resolver.wire.answers[0].oldest, rig.now);
    let followed = rig.followed;
    rig.resolver.ask_again(followed, rig.now);
    rig.resolver.woke(rig.now);
    rig.answer(|m| {
        m.metadata.authoritative = false;
        m.add_answer(srv("store3.linz.example.org", 20));
    });
    assert_eq!(rig.resolver.wire.answers[1].oldest, rig.now - S * 40, "40 s of its 60 are over");
}

/// Guards against more held than was stated.
#[test]
fn what_is_held_is_bounded() {
    let mut rig = Rig::with(true, Asking { records: 10, in_flight: 4, a_second: 1000, ..Asking::default() });
    rig.answer(|m| (0..11).for_each(|i| _ = m.add_answer(srv(&format!("store{i}.linz.example.org"), 60))));
    assert_eq!(rig.failure(), Some(&Failure::TooLarge(11)));
    rig.wait(S);
    let before = rig.sent();
    rig.answer(|m| (0..10).for_each(|i| _ = m.add_answer(srv(&format!("store{i}.example.net"), 60))));
    assert_eq!(rig.sent() - before, 4, "of 20 questions for addresses");
    rig.resolver.unfollow(rig.followed);
    assert_eq!(rig.resolver.held(), (0, 0));
    rig.wait(S * 100);
    assert_eq!(rig.sent() - before, 4);
}

/// Ten minutes without any answer: pauses grow, no second has more queries than stated, and the first answer
/// after them counts at once.
#[test]
fn ten_minutes_of_failure() {
    let mut rig = Rig::with(false, Asking { a_second: 2, ..Asking::default() });
    rig.wait(S * 600);
    let failures = rig.resolver.wire.failures.clone();
    assert!(failures.iter().all(|(why, _)| *why == Failure::TimedOut));
    assert!((20..60).contains(&failures.len()), "{}", failures.len());
    assert!(rig.sent() <= 4 * failures.len() + 4);
    while rig.resolver.held().1 == 0 {
        rig.wait(S / 10);
    }
    rig.answer(|m| _ = m.add_answer(srv("store3.linz.example.org", 60)));
    assert_eq!(rig.targets().len(), 1);
    assert!(rig.resolver.next_wake().unwrap() >= rig.now + S * 42);
}

/// Guards against messages that end the process: whatever comes is read or counted.
#[test]
fn hostile_messages_do_no_harm() {
    let cases = std::env::var("FALLGAP_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(20_000);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut rig = Rig::with(true, Asking { a_second: 10_000, ..Asking::default() });
    for case in 0..cases {
        while rig.resolver.held().1 == 0 {
            rig.wait(S);
        }
        let mut bytes = rig.made(|m| {
            m.add_answer(alias(SERVICE, "b.example.org"));
            m.add_answer(srv_of("b.example.org", "store3.linz.example.org", 60));
            m.add_additional(a("store3.linz.example.org", 3, 60));
        });
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(..bytes.len());
            match rng.u8(..4) {
                0 => bytes[at] = rng.u8(..),
                1 => bytes.truncate(at.max(1)),
                2 => bytes.insert(at, rng.u8(..)),
                // A pointer to anywhere.
                _ => bytes[at] = 0xc0 | rng.u8(..4),
            }
        }
        rig.hear(&bytes);
        assert!(rig.resolver.held().0 <= 100 && rig.resolver.held().1 <= 100, "case {case}");
        rig.resolver.wire.answers.clear();
        rig.resolver.wire.failures.clear();
        rig.resolver.wire.over.clear();
        let sent = rig.sent();
        rig.resolver.wire.sent.drain(..sent - 1);
    }
}

//! Whom an answer between supervisors belongs to: answers that are late, doubled, out of order, or meant for a life
//! that has ended.

use fallgap_config::Beat;
use fallgap_control_state::{Answer, Call};
use fallgap_gateway::ages::Stamp;
use fallgap_gateway::asks::Told;
use fallgap_gateway::beats::Beats;
use fallgap_gateway::holdup::HoldUp;
use fallgap_gateway::links::{self, Links};
use fallgap_gateway::spread::{Spread, Spreading};
use fallgap_gateway::words::{Frames, Word};
use mio::{Events, Poll};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const STAMP: Stamp = Stamp { life: 1, sent_ms: 0, waited_ms: 0 };

fn node(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn acknowledged(told: &Receiver<Told>) -> bool {
    matches!(told.try_recv(), Ok(Told::Taken))
}

fn beat() -> Beat {
    Beat {
        id: "i-1".into(),
        address: SocketAddrV4::new(node(9), 8000),
        service: "shop".into(),
        edition: "v1".into(),
        zone: "hall".into(),
        slots: 4,
        closing: true,
        postmark: 1,
        cold: Duration::ZERO,
    }
}

/// What is said of a server's end, and in which life that was asked for.
enum Said {
    /// This keeper knows of it.
    Taken(usize, u8),
    /// What became of the call that puts it on a majority of disks.
    Kept(usize, Answer),
}

/// A server's `closing` is acknowledged once it is on a majority of disks, by a majority of those that were told of it in this life,
/// whatever else comes.
#[test]
fn a_closing_beat_is_acknowledged_by_answers_to_this_life_alone() {
    use Said::{Kept, Taken};
    const KEPT: Said = Kept(1, Answer::Done);
    let rows: [(&str, &[Said], bool); 11] = [
        ("a majority", &[KEPT, Taken(1, 1), Taken(1, 2)], true),
        ("one twice", &[KEPT, Taken(1, 1), Taken(1, 1)], false),
        ("one that was not told", &[KEPT, Taken(1, 1), Taken(1, 9)], false),
        ("late, for the life before", &[KEPT, Taken(0, 1), Taken(0, 2), Taken(0, 3)], false),
        ("one of them for the life before", &[KEPT, Taken(0, 1), Taken(1, 2)], false),
        ("in any order", &[Taken(0, 3), Taken(1, 3), Taken(0, 1), Taken(1, 1), KEPT], true),
        ("on no disk", &[Taken(1, 1), Taken(1, 2), Taken(1, 3)], false),
        ("on disks alone", &[KEPT, Taken(1, 1)], false),
        ("on disks for the life before", &[Kept(0, Answer::Done), Taken(1, 1), Taken(1, 2)], false),
        ("refused by the disks", &[Kept(1, Answer::Busy), Taken(1, 1), Taken(1, 2)], false),
        ("perhaps on disks", &[Taken(1, 1), Taken(1, 2), Kept(1, Answer::Unknown)], false),
    ];
    for (name, words, wanted) in rows {
        // The process is started anew: it remembers nothing of what it asked for.
        let mut lives = [1, 2].map(|seed| Beats::new(fastrand::Rng::with_seed(seed).u64(1..1 << 62)));
        let keepers = [node(1), node(2), node(3)];
        let asked = lives.each_mut().map(|beats| {
            let (reply, told) = sync_channel(1);
            (beats.closing(Duration::ZERO, beat(), reply, &keepers).unwrap(), told)
        });
        for word in words {
            match word {
                Taken(life, keeper) => lives[1].taken(asked[*life].0, node(*keeper), &[]),
                Kept(life, answer) => lives[1].kept(asked[*life].0, answer.clone()),
            }
        }
        assert_eq!(acknowledged(&asked[1].1), wanted, "{name}");
    }
}

/// An office is told that its change is in force by answers to this life alone: a supervisor that was told by the life
/// before says so whenever it comes to route by that revision.
#[test]
fn a_change_is_in_force_by_answers_to_this_life_alone() {
    let in_force = |told: &Receiver<Told>| match told.try_recv() {
        Ok(Told::Spread(Spreading { in_force, .. })) => Some(in_force),
        _ => None,
    };
    let mut lives = [1, 2].map(|seed| Spread::new(fastrand::Rng::with_seed(seed).u64(1..1 << 62)));
    let nodes = [node(1), node(2)];
    let asked = lives.each_mut().map(|spread| {
        let (reply, told) = sync_channel(1);
        (spread.begin(Duration::ZERO, reply, &nodes).unwrap(), told)
    });
    for last in [1, 2] {
        lives[1].heeded(MS, asked[0].0, node(last), true);
    }
    assert_eq!(in_force(&asked[1].1), None);
    for last in [1, 1, 2] {
        lives[1].heeded(MS, asked[1].0, node(last), true);
    }
    assert_eq!(in_force(&asked[1].1), Some(2));
}

/// Streams between supervisors, with the other end's part played by hand.
struct Wire {
    poll: Poll,
    links: Links,
    at: SocketAddrV4,
    clock: Instant,
    heard: Vec<(Ipv4Addr, u64)>,
}

impl Wire {
    fn new(last: u8) -> Wire {
        let me = Ipv4Addr::new(127, 0, 1, last);
        let port = TcpListener::bind((me, 0)).unwrap().local_addr().unwrap().port();
        let poll = Poll::new().unwrap();
        let links = Links::open(poll.registry(), me, port, 16, links::Terms::default()).unwrap();
        Wire { poll, links, at: SocketAddrV4::new(me, port), clock: Instant::now(), heard: Vec::new() }
    }

    /// Goes on until it is so.
    fn until(&mut self, so: impl Fn(&[(Ipv4Addr, u64)]) -> bool) {
        let mut events = Events::with_capacity(16);
        let mut words = Vec::new();
        while !so(&self.heard) {
            assert!(self.clock.elapsed() < Duration::from_secs(10), "it does not come about");
            self.poll.poll(&mut events, Some(5 * MS)).unwrap();
            for event in &events {
                self.links.event(self.clock.elapsed(), self.poll.registry(), event);
            }
            self.links.work(self.clock.elapsed(), self.poll.registry(), &mut words);
            self.heard.extend(words.drain(..).map(|(from, word)| match word {
                Word::BeatTaken { id, .. } => (from, id),
                other => panic!("{other:?}"),
            }));
        }
    }

    fn stream(&self, words: &[Word]) -> TcpStream {
        let mut stream = TcpStream::connect(self.at).unwrap();
        say(&mut stream, words);
        stream
    }
}

fn say(stream: &mut TcpStream, words: &[Word]) {
    let bytes: Vec<u8> = words.iter().filter_map(Word::frame).flatten().collect();
    stream.write_all(&bytes).unwrap();
}

fn taken(id: u64) -> Word {
    Word::BeatTaken { id, followed: Vec::new() }
}

/// Whether the other side has ended it.
fn is_over(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    match stream.read(&mut [0; 16]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// What an ended life, or a stream that its peer gave up, still has under way is not heard behind what is said now.
#[test]
fn a_new_stream_ends_those_that_its_peer_opened_before() {
    let mut wire = Wire::new(1);
    let (peer, other) = (node(5), node(6));
    let mut old = wire.stream(&[Word::Hello(peer), taken(1)]);
    let mut others = wire.stream(&[Word::Hello(other), taken(2)]);
    wire.until(|heard| heard.len() == 2);
    let mut new = wire.stream(&[Word::Hello(peer), taken(3)]);
    wire.until(|heard| heard.contains(&(peer, 3)));
    // Its other end may be gone already.
    let _ = old.write_all(&taken(4).frame().unwrap());
    assert!(is_over(&mut old));
    say(&mut others, &[taken(5)]);
    say(&mut new, &[taken(6)]);
    wire.until(|heard| heard.contains(&(other, 5)) && heard.contains(&(peer, 6)));
    assert!(!wire.heard.contains(&(peer, 4)));
}

/// Words are of who has greeted, once and first.
#[test]
fn a_stream_that_is_nobodys_or_two_peers_ends() {
    let mut wire = Wire::new(2);
    type Case<'a> = (&'a str, &'a [Word], &'a [(Ipv4Addr, u64)]);
    let cases: [Case; 3] = [
        ("no greeting", &[taken(1), Word::Hello(node(5)), taken(2)], &[]),
        ("two", &[Word::Hello(node(5)), taken(3), Word::Hello(node(6)), taken(4)], &[(node(5), 3)]),
        (
            "the same twice",
            &[Word::Hello(node(5)), taken(5), Word::Hello(node(5)), taken(6)],
            &[(node(5), 5)],
        ),
    ];
    for (name, words, wanted) in cases {
        wire.heard.clear();
        let mut odd = wire.stream(words);
        let mut sound = wire.stream(&[Word::Hello(node(7)), taken(9)]);
        wire.until(|heard| heard.contains(&(node(7), 9)));
        assert!(is_over(&mut odd), "{name}");
        say(&mut sound, &[taken(10)]);
        wire.until(|heard| heard.contains(&(node(7), 10)));
        wire.heard.retain(|(from, _)| *from != node(7));
        assert_eq!(wire.heard, wanted, "{name}");
    }
}

/// What a process that was held up reads is of callers that may have gone on elsewhere.
#[test]
fn what_waited_through_a_hold_up_is_not_begun() {
    let lock = Call::LockStart { name: "l".into(), holder: "a".into(), hold: 3000 * MS };
    let put = Call::CellPut { name: "g.k".into(), value: "v".into(), on: None };
    let harmless = [Call::Number { name: "n".into() }, Call::ConfigGet, Call::CellGet { name: "g.k".into() }];
    // When the engine last turned, how long it meant to wait, when it turned again, when the call is looked at.
    let rows = [
        (1000, 50, 1050, 1050, false),
        (1000, 500, 1600, 1600, false),
        // A busy machine, not a hold-up: who called is still there.
        (1000, 50, 1650, 1650, false),
        (1000, 50, 1651, 1651, true),
        (1000, 50, 9000, 9149, true),
        (1000, 50, 9000, 9150, false),
    ];
    for (before, wait, turned, at, wanted) in rows {
        let mut hold_up = HoldUp::default();
        hold_up.turns(before * MS, before * MS);
        hold_up.turns(turned * MS, wait * MS);
        for call in [&lock, &put] {
            assert_eq!(hold_up.turns_away(at * MS, call), wanted, "{turned} {at}");
        }
        assert!(harmless.iter().all(|call| !hold_up.turns_away(at * MS, call)));
    }
}

/// The other end of a link that this process opens.
struct Peer {
    listener: TcpListener,
    wire: Wire,
    to: Ipv4Addr,
}

impl Peer {
    fn new(last: u8, terms: links::Terms) -> Peer {
        let (me, to) = (Ipv4Addr::new(127, 0, 1, last), Ipv4Addr::new(127, 0, 2, last));
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        // Small, so that what is under way is soon in the sender's kernel.
        socket.set_recv_buffer_size(8 << 10).unwrap();
        socket.bind(&SocketAddr::from((to, 0)).into()).unwrap();
        socket.listen(16).unwrap();
        let listener: TcpListener = socket.into();
        let port = listener.local_addr().unwrap().port();
        let poll = Poll::new().unwrap();
        let links = Links::open(poll.registry(), me, port, 16, terms).unwrap();
        let at = SocketAddrV4::new(me, port);
        Peer { listener, wire: Wire { poll, links, at, clock: Instant::now(), heard: Vec::new() }, to }
    }

    fn say(&mut self, word: &Word) {
        let now = self.wire.clock.elapsed();
        self.wire.links.say(now, self.wire.poll.registry(), self.to, word);
    }

    /// Turns until nothing has happened for a moment.
    fn settle(&mut self) {
        let mut events = Events::with_capacity(16);
        loop {
            let now = self.wire.clock.elapsed();
            self.wire.links.flush(now, self.wire.poll.registry());
            self.wire.poll.poll(&mut events, Some(50 * MS)).unwrap();
            if events.is_empty() {
                return;
            }
            for event in &events {
                self.wire.links.event(now, self.wire.poll.registry(), event);
            }
            self.wire.links.work(now, self.wire.poll.registry(), &mut Vec::new());
        }
    }

    /// So much later, by the links' clock.
    fn later(&mut self, time: Duration) {
        let now = self.wire.clock.elapsed() + time;
        self.wire.links.woke(now, self.wire.poll.registry());
    }

    fn accept(&self) -> TcpStream {
        self.listener.set_nonblocking(true).unwrap();
        let start = Instant::now();
        let stream = loop {
            match self.listener.accept() {
                Ok((stream, _)) => break stream,
                Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
            }
            assert!(start.elapsed() < Duration::from_secs(2), "no stream is opened");
            std::thread::yield_now();
        };
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(200 * MS)).unwrap();
        stream
    }
}

/// The words on a stream until it ends, or says no more, and whether its end was a reset.
fn words(stream: &mut TcpStream) -> (Vec<Word>, bool) {
    let (mut frames, mut words, mut piece) = (Frames::default(), Vec::new(), [0; 64 << 10]);
    let reset = loop {
        match stream.read(&mut piece) {
            Ok(0) => break false,
            Ok(count) => frames.push(&piece[..count]),
            Err(error) => break error.kind() == ErrorKind::ConnectionReset,
        }
        while let Some(word) = frames.next().unwrap() {
            words.push(word);
        }
    };
    (words, reset)
}

fn withdraws(words: &[Word]) -> Vec<u64> {
    words.iter().filter_map(|word| if let Word::Withdraw { id } = word { Some(*id) } else { None }).collect()
}

/// What a stream holds when it is given up counts as lost. Fails if it is closed: the kernel went on delivering it
/// behind what was said on the next one, a call behind its withdrawal.
#[test]
fn a_stream_that_is_given_up_delivers_nothing_more() {
    let terms = links::Terms { waiting: 32 << 20, waiting_all: 32 << 20, ..links::Terms::default() };
    let mut peer = Peer::new(3, terms);
    // More than two kernels take.
    let errand: Vec<u8> = (0..100_000).map(|_| fastrand::u8(..)).collect();
    for _ in 0..100 {
        peer.say(&Word::Survey { id: 1, errand: errand.clone() });
    }
    peer.say(&Word::Forward { id: 9, stamp: STAMP, call: Call::ConfigGet });
    peer.settle();
    let mut stream = peer.accept();
    peer.settle();
    peer.later(links::Terms::default().stall + MS);
    let (words, reset) = words(&mut stream);
    assert!(reset, "it goes on to its end");
    assert!(!words.iter().any(|word| matches!(word, Word::Forward { .. })));
}

/// Fails without what is said again: a call that had been delivered ran on for 0.9 s after its caller had gone on.
#[test]
fn a_withdrawal_is_said_again_on_the_next_stream() {
    let terms = || links::Terms { pause: 500 * MS, ..links::Terms::default() };
    let said = |peer: &mut Peer, id| peer.say(&Word::Withdraw { id });
    // Whether it was said before the reset, in the pause behind it, or both; whether anything else is to be said later;
    // how long after; what the next stream says.
    type Row<'a> = (u8, &'a [u64], &'a [u64], Duration, &'a [u64]);
    let rows: [Row; 4] = [
        (4, &[1], &[], 600 * MS, &[1]),
        (5, &[], &[2], 600 * MS, &[2]),
        (6, &[1], &[2, 3], 600 * MS, &[1, 2, 3]),
        (7, &[1], &[2], 1300 * MS, &[]),
    ];
    for (last, before, pause, late, wanted) in rows {
        let mut peer = Peer::new(last, terms());
        peer.say(&Word::Forward { id: 1, stamp: STAMP, call: Call::ConfigGet });
        before.iter().for_each(|id| said(&mut peer, *id));
        peer.settle();
        let stream = peer.accept();
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream);
        peer.settle();
        assert_eq!(peer.wire.links.take_broken(), [peer.to]);
        pause.iter().for_each(|id| said(&mut peer, *id));
        peer.later(late);
        if wanted.is_empty() {
            peer.listener.set_nonblocking(true).unwrap();
            assert!(peer.listener.accept().is_err(), "{last}");
            continue;
        }
        let mut next = peer.accept();
        peer.settle();
        let (words, _) = words(&mut next);
        assert!(matches!(words.first(), Some(Word::Hello(_))), "{last}: {words:?}");
        assert_eq!(withdraws(&words), wanted, "{last}");
        assert!(!words.iter().any(|word| matches!(word, Word::Forward { .. })), "{last}");
    }
}

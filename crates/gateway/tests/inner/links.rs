use super::*;
use crate::words::Frames;
use mio::{Events, Poll};
use std::io::Read;
use std::time::Instant;

const FIRST: usize = 16;
const ME: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const PEER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);

/// A peer that takes no connection, as one without power: its queue is full, so first packets are lost.
fn deaf() -> (std::net::TcpListener, Vec<std::net::TcpStream>, u16) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.bind(&SocketAddr::V4(SocketAddrV4::new(PEER, 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener: std::net::TcpListener = socket.into();
    let at = listener.local_addr().unwrap();
    let mut held = Vec::new();
    while let Ok(stream) = std::net::TcpStream::connect_timeout(&at, Duration::from_millis(50)) {
        held.push(stream);
    }
    (listener, held, at.port())
}

#[test]
fn a_peer_that_is_met_gets_what_waits_at_once() {
    let (listener, held, port) = deaf();
    let mut poll = Poll::new().unwrap();
    let registry = poll.registry().try_clone().unwrap();
    let mut links = Links::open(&registry, ME, port, FIRST, Terms::default()).unwrap();
    let clock = Instant::now();
    let mut events = Events::with_capacity(16);
    let mut heard = Vec::new();
    let word = Word::BeatTaken { id: 7, followed: Vec::new() };
    links.say(Duration::ZERO, &registry, PEER, &word);
    let mut turn = |links: &mut Links, most: Duration| {
        while clock.elapsed() < most {
            poll.poll(&mut events, Some(most.saturating_sub(clock.elapsed()))).unwrap();
            for event in &events {
                links.event(clock.elapsed(), &registry, event);
            }
            links.work(clock.elapsed(), &registry, &mut heard);
            links.flush(clock.elapsed(), &registry);
        }
    };
    turn(&mut links, Duration::from_millis(100));
    // Power is back, and the peer is heard.
    held.iter().for_each(|_| drop(listener.accept().unwrap()));
    links.met(clock.elapsed(), &registry, PEER);
    turn(&mut links, Duration::from_millis(400));
    listener.set_nonblocking(true).unwrap();
    let (mut stream, _) = listener.accept().expect("a new connection");
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let (mut frames, mut bytes) = (Frames::default(), [0; 256]);
    let count = stream.read(&mut bytes).unwrap();
    frames.push(&bytes[..count]);
    assert!(matches!(frames.next(), Ok(Some(Word::Hello(ME)))));
    assert!(matches!(frames.next(), Ok(Some(Word::BeatTaken { id: 7, .. }))));
    assert!(matches!(frames.next(), Ok(None)));
}

const NOW: Duration = Duration::ZERO;

fn opened(poll: &Poll, terms: Terms) -> (Links, std::net::TcpListener, Ipv4Addr) {
    let (me, to) = (Ipv4Addr::new(127, 0, 0, 71), Ipv4Addr::new(127, 0, 0, 72));
    let other = std::net::TcpListener::bind((to, 0)).unwrap();
    let port = other.local_addr().unwrap().port();
    let mut links = Links::open(poll.registry(), me, 0, 16, terms).unwrap();
    links.port = port;
    (links, other, to)
}

fn told(bytes: usize) -> Word {
    Word::Roster(RosterWord::Told((0..bytes).map(|_| fastrand::u8(..)).collect()))
}

/// A follower that begins anew gets the new table at once, not behind those that it has given up.
#[test]
fn tables_that_are_void_do_not_wait() {
    let poll = Poll::new().unwrap();
    let (mut links, _other, to) = opened(&poll, Terms::default());
    links.say(NOW, poll.registry(), to, &Word::BeatTaken { id: 1, followed: Vec::new() });
    for _ in 0..3 {
        links.say(NOW, poll.registry(), to, &told(100_000));
    }
    links.drop_tables(to);
    links.say(NOW, poll.registry(), to, &told(1000));
    let out = &links.out[&to];
    let waiting: Vec<bool> = out.queue.iter().map(|frame| frame.table).collect();
    // Its own name, the beat's word, the new table.
    assert_eq!(waiting, [false, false, true]);
    assert_eq!(out.bytes, out.queue.iter().map(|frame| frame.bytes.len()).sum::<usize>());
    assert_eq!(links.held, out.bytes);
}

/// However much is said, no more waits than may.
#[test]
fn what_waits_is_bounded() {
    let poll = Poll::new().unwrap();
    let terms = Terms { waiting: 50_000, waiting_all: 30_000, ..Terms::default() };
    let (mut links, _other, to) = opened(&poll, terms);
    for _ in 0..20 {
        links.say(NOW, poll.registry(), to, &told(10_000));
    }
    assert!((20_000..=31_000).contains(&links.held), "{}", links.held);
    links.turn(NOW, poll.registry(), to, Turn::Fails);
    assert_eq!(links.held, 0);
}

/// Fails where a value is put into bytes and packed for each member anew.
#[test]
fn a_value_is_packed_once_for_all_members() {
    let poll = Poll::new().unwrap();
    let (mut links, _other, _) = opened(&poll, Terms::default());
    // The ninth message, as it stands in words: register, ballot and the next one, age, value.
    let accept = |number: u8| -> Message {
        let value: Vec<u8> = (0..50_000).map(|at| (at % 251) as u8 ^ number).collect();
        let ballot = (1_u64, u64::from(number), Ipv4Addr::new(127, 0, 0, 71), 1_u64);
        let message = (8_u8, fallgap_control_state::Key::Config, ballot, ballot, NOW, value);
        postcard::from_bytes(&postcard::to_stdvec(&message).unwrap()).unwrap()
    };
    assert!(matches!(accept(1), Message::Accept { .. }));
    let members: Vec<Ipv4Addr> = (72..78).map(|last| Ipv4Addr::new(127, 0, 0, last)).collect();
    for (round, made) in [(1, 1), (2, 2)] {
        let word = Word::Keeper(accept(round));
        for to in &members {
            links.say(NOW, poll.registry(), *to, &word);
        }
        assert_eq!(links.frames_made(), made);
    }
    let frames =
        |to: &Ipv4Addr| links.out[to].queue.iter().map(|frame| frame.bytes.clone()).collect::<Vec<_>>();
    // The name, and both values, at each.
    for to in &members {
        assert_eq!(frames(to), frames(&members[0]));
        assert_eq!(frames(to).len(), 3);
    }
    // What is said in a turn is not kept beyond it.
    links.flush(NOW, poll.registry());
    assert!(links.last.is_none());
}

/// Guards against streams without end that name nobody: they would take the places of those that do.
#[test]
fn streams_that_name_nobody_hold_no_place() {
    let mut poll = Poll::new().unwrap();
    let registry = poll.registry().try_clone().unwrap();
    let terms = Terms { incoming: 3, ..Terms::default() };
    let greeting = terms.greeting;
    let mut links = Links::open(&registry, Ipv4Addr::new(127, 0, 0, 73), 0, 16, terms).unwrap();
    let at = links.listener.local_addr().unwrap();
    let mut events = Events::with_capacity(16);
    let mut hears = |links: &mut Links, now: Duration| {
        let mut heard = Vec::new();
        poll.poll(&mut events, Some(Duration::from_millis(100))).unwrap();
        events.iter().for_each(|event| links.event(now, &registry, event));
        while links.has_work() {
            links.work(now, &registry, &mut heard);
        }
        links.woke(now, &registry);
        heard
    };
    let nameless: Vec<_> = (0..3).map(|_| std::net::TcpStream::connect(at).unwrap()).collect();
    hears(&mut links, NOW);
    assert_eq!(links.incoming.len(), nameless.len());
    hears(&mut links, greeting);
    assert_eq!(links.incoming.len(), 0);
    let mut peer = std::net::TcpStream::connect(at).unwrap();
    for word in [Word::Hello(PEER), Word::BeatTaken { id: 7, followed: Vec::new() }] {
        peer.write_all(&word.frame().unwrap()).unwrap();
    }
    let mut heard = Vec::new();
    for _ in 0..10 {
        heard.extend(hears(&mut links, greeting));
    }
    assert!(matches!(heard.as_slice(), [(PEER, Word::BeatTaken { id: 7, .. })]), "{heard:?}");
    hears(&mut links, 10 * greeting);
    assert_eq!(links.incoming.len(), 1, "a stream that has a name may rest");
}

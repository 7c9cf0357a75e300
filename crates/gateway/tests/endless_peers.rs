//! Whoever doesn't stop sending to a supervisor, where others of its fleet speak to it or callers do: it goes on
//! serving, and the others know it as there.
//!
//! Each of these guards against one source keeping the one thread that does everything.

#[allow(dead_code)]
mod landing;

use fallgap_gateway::words::Word;
use fallgap_test_support::gateway::{Flood, Landing, alone, configuration};
use landing::*;
use std::net::{Ipv4Addr, TcpStream, UdpSocket};
use std::time::Instant;

/// Sources that send at once.
const SOURCES: u8 = 4;
/// Requests and calls meanwhile, and how long each may take.
const OTHERS: usize = 10;
/// How long a supervisor that is silent is still taken for there, at most.
const NOTICED: std::time::Duration = std::time::Duration::from_secs(3);

/// A fleet that serves; it is left to `case` to trouble its first machine for as long as what it gives lives.
#[track_caller]
fn case<T>(trouble: impl FnOnce(&Landing) -> T) {
    let _alone = alone();
    let fleet = fleet();
    configure(&fleet.machines[0], &configuration(7, PREFIXES));
    let _server = serve(&fleet, "i-1");
    all_ready(&fleet);
    for machine in &fleet.machines {
        until("it knows the others", || machine.figure("supervisors").filter(|known| *known == 4));
    }
    let _trouble = trouble(&fleet);
    let end = Instant::now() + NOTICED;
    let mut number = 0;
    while number < OTHERS || Instant::now() < end {
        let began = Instant::now();
        assert_eq!(ask(&fleet.machines[0], "/safe/x", &number.to_string()).status, 200, "request {number}");
        let status = fleet.machines[0].get("/-/status").map(|reply| reply.status);
        assert!(matches!(status, Some(200 | 503)), "call {number}: {status:?}");
        assert!(began.elapsed() < S, "request {number} took {:?}", began.elapsed());
        assert_eq!(fleet.machines[1].figure("supervisors"), Some(4), "request {number}");
        number += 1;
    }
}

#[test]
fn datagrams_without_end() {
    case(|fleet| {
        let at = fleet.machines[0].inner();
        Flood::of(usize::from(SOURCES), move || {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            (0..1000).for_each(|_| drop(socket.send_to(b"no message", at)));
        })
    });
}

#[test]
fn words_without_end() {
    let word = Word::BeatTaken { id: 1, followed: Vec::new() }.frame().unwrap();
    case(|fleet| {
        let at = fleet.machines[0].inner();
        let from = |last| {
            let hello = Word::Hello(Ipv4Addr::new(127, 9, 9, last)).frame().unwrap();
            Flood::of_streams(1, at, &hello, &word.repeat(5000))
        };
        (1..=SOURCES).map(from).collect::<Vec<_>>()
    });
}

#[test]
fn parts_of_a_long_word_without_end() {
    case(|fleet| {
        let at = fleet.machines[0].inner();
        let length = 4_000_000_u32.to_le_bytes();
        Flood::of_streams(usize::from(SOURCES), at, &length, &[0; 64 << 10])
    });
}

#[test]
fn streams_without_end() {
    case(|fleet| {
        let at = fleet.machines[0].inner();
        Flood::of(usize::from(SOURCES), move || drop(TcpStream::connect(at)))
    });
}

#[test]
fn calls_without_end() {
    case(|fleet| {
        let at = fleet.machines[0].control();
        let calls = "GET /-/status HTTP/1.1\r\nHost: x\r\n\r\n".repeat(500);
        Flood::of_streams(usize::from(SOURCES), at, b"", calls.as_bytes())
    });
}

#[test]
fn beats_without_end() {
    case(|fleet| {
        let at = fleet.machines[0].control();
        let body = r#"{"address":"127.0.0.1:9","notice":{"service":"s","edition":"v1","zone":"a","slots":1},"tracking":{"state":"closing","postmark":1,"cold_s_time":0}}"#;
        let beat = format!(
            "POST /-/servers/none/beat HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Flood::of_streams(usize::from(SOURCES), at, b"", beat.repeat(100).as_bytes())
    });
}

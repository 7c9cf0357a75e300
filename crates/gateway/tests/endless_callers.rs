//! Callers that don't stop sending: whatever one of them does, the control and ready addresses answer the others.
//!
//! Each of these guards against one source keeping the one thread that holds all connections.

use fallgap_gateway::http::{Caller, Request, Response, Server, Service, Terms};
use fallgap_test_support::gateway::{Client, Flood, alone, call};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

const ANYWHERE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
/// Sources that send at once.
const SOURCES: usize = 4;
/// Calls of others meanwhile, and how long each may take.
const OTHERS: usize = 20;
const WITHIN: Duration = Duration::from_secs(1);

struct Addresses {
    at_once: SocketAddr,
    by_workers: SocketAddr,
}

fn serve() -> Addresses {
    let mut server = Server::new(Terms::default()).unwrap();
    let service: Service = Arc::new(|_: &Request, _: &Caller| Response::text(200, &"here"));
    let at_once = server.listen_at_once(ANYWHERE, service.clone()).unwrap();
    let by_workers = server.listen(ANYWHERE, service).unwrap();
    server.start().unwrap();
    Addresses { at_once, by_workers }
}

/// Others call at both addresses: every one gets its answer in time.
#[track_caller]
fn others_are_answered(addresses: &Addresses, standing: &mut Client) {
    for number in 0..OTHERS {
        let began = Instant::now();
        for at in [addresses.at_once, addresses.by_workers] {
            let status = call(at, "GET", "/", "").map(|reply| reply.status);
            assert_eq!(status, Some(200), "call {number}");
        }
        assert_eq!(standing.try_ask("GET / HTTP/1.1\r\n\r\n").map(|reply| reply.status), Some(200));
        assert!(began.elapsed() < WITHIN, "call {number} took {:?}", began.elapsed());
    }
}

fn standing(addresses: &Addresses) -> Client {
    Client::connect(addresses.by_workers, 5 * WITHIN).unwrap()
}

#[track_caller]
fn caller_case(first: &str, piece: &str) {
    let _alone = alone();
    let addresses = serve();
    let mut standing = standing(&addresses);
    let _flood = Flood::of_streams(SOURCES, addresses.at_once, first.as_bytes(), piece.as_bytes());
    others_are_answered(&addresses, &mut standing);
}

#[test]
fn calls_that_are_answered_at_once_without_end() {
    caller_case("", &"GET / HTTP/1.1\r\n\r\n".repeat(1000));
}

#[test]
fn empty_lines_before_a_call_without_end() {
    caller_case("", &"\r\n".repeat(16 << 10));
}

#[test]
fn bytes_behind_a_last_answer_without_end() {
    caller_case("GET / HTTP/1.1\r\nHost : x\r\n\r\n", &"x".repeat(64 << 10));
}

#[test]
fn large_bodies_of_calls_without_end() {
    let head = "POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n";
    caller_case("", &(head.to_owned() + &"x".repeat(900_000)));
}

#[test]
fn tiny_chunks_of_calls_without_end() {
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    caller_case(head, &"1\r\nx\r\n".repeat(10 << 10));
}

#[test]
fn connections_without_end() {
    let _alone = alone();
    let addresses = serve();
    let mut standing = standing(&addresses);
    let at = addresses.at_once;
    let _flood = Flood::of(SOURCES, move || drop(TcpStream::connect(at)));
    others_are_answered(&addresses, &mut standing);
}

/// Calls that workers carry out: they may be turned away as too many, but the thread that holds the connections goes on.
#[test]
fn calls_by_workers_without_end() {
    let _alone = alone();
    let addresses = serve();
    let mut standing = Client::connect(addresses.at_once, 5 * WITHIN).unwrap();
    let calls = "GET / HTTP/1.1\r\n\r\n".repeat(1000);
    let _flood = Flood::of_streams(SOURCES, addresses.by_workers, b"", calls.as_bytes());
    for number in 0..OTHERS {
        let began = Instant::now();
        assert_eq!(standing.try_ask("GET / HTTP/1.1\r\n\r\n").map(|reply| reply.status), Some(200));
        let status = call(addresses.by_workers, "GET", "/", "").map(|reply| reply.status);
        assert!(matches!(status, Some(200 | 503)), "call {number}: {status:?}");
        assert!(began.elapsed() < WITHIN, "call {number} took {:?}", began.elapsed());
    }
}

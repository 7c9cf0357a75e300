//! The server of the control and ready addresses, on loopback: who leaves, who is slow, and what is too much.

use fallgap_gateway::asks::Told;
use fallgap_gateway::http::{Caller, Request, Response, Server, Service, Terms};
use fallgap_test_support::gateway::Client;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4};
use std::sync::mpsc::{Receiver, Sender, channel, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(10);
const ANYWHERE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

fn serve(terms: Terms, service: Service) -> SocketAddr {
    let mut server = Server::new(terms).unwrap();
    let at = server.listen(ANYWHERE, service).unwrap();
    server.start().unwrap();
    at
}

/// A server whose service tells of each call that it begins, and ends it when it is told to.
struct Held {
    at: SocketAddr,
    begun: Receiver<String>,
    release: Sender<()>,
}

fn held(terms: Terms) -> Held {
    let ((begins, begun), (release, released)) = (channel(), channel::<()>());
    let held = Mutex::new((begins, released));
    let service = move |request: &Request, _: &Caller| {
        let held = held.lock().unwrap();
        held.0.send(request.path().to_owned()).unwrap();
        held.1.recv_timeout(LONG).unwrap();
        Response::json(200, request.body().to_vec())
    };
    Held { at: serve(terms, Arc::new(service)), begun, release }
}

fn client(at: SocketAddr) -> Client {
    Client::connect(at, LONG).unwrap()
}

fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn one_worker() -> Terms {
    Terms { workers: 1, patience: LONG, ..Terms::default() }
}

#[test]
fn a_call_that_was_not_begun_is_dropped_with_its_caller() {
    for half in [false, true] {
        let held = held(one_worker());
        let mut first = client(held.at);
        first.send(&post("/first", "1"));
        assert_eq!(held.begun.recv_timeout(LONG).unwrap(), "/first");
        let mut second = client(held.at);
        second.send(&post("/second", "2"));
        let left = half.then(|| {
            second.reader.get_ref().shutdown(Shutdown::Write).unwrap();
            // It is told that nothing was done before the first call is over.
            second.reply().map(|reply| reply.status)
        });
        assert!(left.is_none_or(|left| left == Some(503)));
        let mut third = client(held.at);
        third.send(&post("/third", "3"));
        for _ in 0..2 {
            held.release.send(()).unwrap();
        }
        assert_eq!(first.reply().unwrap().body, b"1");
        // By the time that the third came the second had left, or else it may have been begun first.
        let next = held.begun.recv_timeout(LONG).unwrap();
        if half {
            assert_eq!(next, "/third");
            assert_eq!(third.reply().unwrap().body, b"3");
        }
    }
}

#[test]
fn a_call_that_was_begun_is_answered_though_its_caller_sends_no_more() {
    let held = held(one_worker());
    let mut caller = client(held.at);
    caller.send(&post("/a", "bytes"));
    held.begun.recv_timeout(LONG).unwrap();
    caller.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    held.release.send(()).unwrap();
    let reply = caller.reply().unwrap();
    assert_eq!((reply.status, reply.body.as_slice()), (200, b"bytes".as_slice()));
    assert_eq!(caller.reply(), None);
}

#[test]
fn a_call_that_waits_at_will_ends_with_its_caller() {
    let (tell, told) = channel();
    let tell = Mutex::new(tell);
    let service = move |_: &Request, caller: &Caller| {
        let (reply, answer) = sync_channel(1);
        caller.watch(&reply);
        let left = matches!(answer.recv_timeout(LONG), Ok(Told::CallerLeft));
        tell.lock().unwrap().send(left).unwrap();
        Response::empty(200)
    };
    let at = serve(one_worker(), Arc::new(service));
    for _ in 0..3 {
        let mut caller = client(at);
        caller.send(&post("/watch", ""));
        drop(caller);
    }
    // Whether or not it was begun by the time that its caller left: none holds the worker.
    let mut last = client(at);
    last.send(&post("/watch", ""));
    last.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    assert!(matches!(last.reply().map(|reply| reply.status), Some(200 | 503)));
    assert!(told.try_iter().all(|left| left));
}

#[test]
fn a_call_that_waited_too_long_for_a_worker_is_not_begun() {
    let held = held(Terms { workers: 1, patience: Duration::ZERO, ..Terms::default() });
    let mut caller = client(held.at);
    assert_eq!(caller.ask(&post("/a", "")).status, 503);
    assert!(held.begun.try_recv().is_err());
}

#[test]
fn more_than_may_wait_is_turned_away() {
    let held = held(Terms { waiting: 1, ..one_worker() });
    let mut first = client(held.at);
    first.send(&post("/first", ""));
    held.begun.recv_timeout(LONG).unwrap();
    let mut waits = client(held.at);
    waits.send(&post("/waits", ""));
    // One of the next two finds the place taken, whichever is read first.
    let mut beyond = client(held.at);
    beyond.send(&post("/beyond", ""));
    let mut one_more = client(held.at);
    one_more.send(&post("/one-more", ""));
    let turned_away = one_more.reply().unwrap();
    assert_eq!((turned_away.status, turned_away.line("retry-after")), (503, Some("0.2")));
    (0..3).for_each(|_| held.release.send(()).unwrap());
    assert_eq!(first.reply().map(|reply| reply.status), Some(200));
}

#[test]
fn a_defect_in_a_call_ends_that_call_alone() {
    let service = |request: &Request, _: &Caller| {
        assert!(request.path() != "/defect", "as it is meant");
        Response::empty(200)
    };
    let at = serve(one_worker(), Arc::new(service));
    let mut caller = client(at);
    for (path, status) in [("/defect", 500), ("/a", 200), ("/defect", 500), ("/a", 200)] {
        assert_eq!(caller.ask(&post(path, "")).status, status);
    }
}

#[test]
fn calls_of_one_connection_are_answered_in_their_order() {
    let at = serve(Terms::default(), Arc::new(|request, _| Response::json(200, request.body().to_vec())));
    let mut caller = client(at);
    let calls: String = (0..50).map(|n| post("/a", &n.to_string())).collect();
    caller.send(&calls);
    for n in 0..50 {
        assert_eq!(caller.reply().unwrap().text(), n.to_string());
    }
}

#[test]
fn what_is_slow_too_long_or_odd_is_refused() {
    let terms = Terms { slow: Duration::from_millis(100), body_bytes: 1000, ..Terms::default() };
    let at = serve(terms, Arc::new(|_, _| Response::empty(200)));
    let long = "x".repeat(20_000);
    let cases = [
        ("GET /a HT".to_owned(), 408),
        ("POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc".to_owned(), 408),
        ("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab".to_owned(), 408),
        (post("/a", &long), 413),
        (format!("GET /{long} HTTP/1.1\r\n\r\n"), 431),
        ("GET /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".to_owned(), 400),
        ("no call\r\n\r\n".to_owned(), 400),
        // Neither a host nor an id is needed.
        ("GET /a HTTP/1.1\r\n\r\n".to_owned(), 200),
    ];
    for (call, status) in cases {
        let mut caller = client(at);
        caller.send(&call);
        assert_eq!(caller.reply().map(|reply| reply.status), Some(status), "{}", &call[..20.min(call.len())]);
    }
}

#[test]
fn one_at_rest_gives_way_to_a_new_connection() {
    let at = serve(Terms { connections: 2, ..Terms::default() }, Arc::new(|_, _| Response::empty(200)));
    let mut callers: Vec<Client> = Vec::new();
    for _ in 0..5 {
        let mut caller = client(at);
        assert_eq!(caller.ask(&post("/a", "")).status, 200);
        callers.push(caller);
    }
    assert_eq!(callers[0].reply(), None);
    assert_eq!(callers[4].ask(&post("/a", "")).status, 200);
}

#[test]
fn a_querys_parameters_are_decoded() {
    let told = |request: &Request, _: &Caller| Response::text(200, &format!("{:?}", request.parameter("id")));
    let at = serve(Terms::default(), Arc::new(told));
    for (query, wanted) in [
        ("?id=a%2Fb+c%", Some("a/b c%")),
        ("?x=1&id=2&id=3", Some("2")),
        ("?id", Some("")),
        ("?x=1", None),
        ("", None),
    ] {
        let reply = client(at).ask(&format!("GET /a{query} HTTP/1.1\r\n\r\n"));
        assert_eq!(reply.text(), format!("{:?}\n", wanted.map(str::to_owned)), "{query}");
    }
}

//! Requests are read in one way only, however they arrive.

use fallgap_config::Limits;
use fallgap_routing::{Inbox, Refusal, Request, Sender, Step, forwarded_head};
use std::time::Duration;

fn limits() -> Limits {
    let s = Duration::from_secs;
    Limits { header_bytes: 400, body_bytes: 100, header: s(3), idle: s(15) }
}

/// All requests of these bytes, given in pieces of a size, and how it ends if not well.
fn read(bytes: &[u8], piece: usize) -> (Vec<Request>, Option<Refusal>) {
    let (mut inbox, mut requests) = (Inbox::default(), Vec::new());
    for piece in bytes.chunks(piece) {
        inbox.push(piece);
        loop {
            match inbox.step(&limits(), 1000) {
                Step::Whole(request) => requests.push(*request),
                Step::Refused(refusal) => return (requests, Some(refusal)),
                Step::Expects => {}
                Step::More => break,
            }
        }
    }
    (requests, None)
}

fn all_pieces(bytes: &[u8], see: impl Fn(Vec<Request>, Option<Refusal>)) {
    for piece in [1, 2, 3, 7, 1000] {
        let (requests, refusal) = read(bytes, piece);
        see(requests, refusal);
    }
}

fn request(start: &str, lines: &str, body: &str) -> String {
    format!("{start}\r\nHost: h\r\nX-Request-Id: 1\r\n{lines}\r\n{body}")
}

#[test]
fn what_could_be_read_in_two_ways_is_refused() {
    let long = format!("X: {}\r\n", "x".repeat(400));
    let chunked = "Transfer-Encoding: chunked\r\n";
    let post = |lines: &str, body: &str| request("POST /a HTTP/1.1", lines, body);
    let start = |start: &str| request(start, "", "");
    use Refusal::{BodyTooLong, HeadTooLong, Malformed};
    let cases = [
        (post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), Malformed),
        (post("Content-Length: 3, 3\r\n", "abc"), Malformed),
        (post("Content-Length: +3\r\n", "abc"), Malformed),
        (post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"), Malformed),
        (post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), Malformed),
        (post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), Malformed),
        (post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), Malformed),
        (post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"), Malformed),
        (post(chunked, "0x3\r\nabc\r\n0\r\n\r\n"), Malformed),
        (post(chunked, "3 \r\nabc\r\n0\r\n\r\n"), Malformed),
        (post(chunked, "3\nabc\r\n0\r\n\r\n"), Malformed),
        (post(chunked, "3\r\nabcd\r\n0\r\n\r\n"), Malformed),
        (post(chunked, "\r\n"), Malformed),
        (post(chunked, "123456789\r\n"), Malformed),
        (post(chunked, "3;a\x01\r\nabc\r\n"), Malformed),
        (post(chunked, "0\r\nT: 1\n\r\n"), Malformed),
        (post(chunked, "65\r\n"), BodyTooLong),
        (post("Content-Length: 101\r\n", ""), BodyTooLong),
        (post("X: a\r\n b\r\n", ""), Malformed),
        (post("X: a\nY: b\r\n", ""), Malformed),
        (post("X: a\rY: b\r\n", ""), Malformed),
        (post("X: a\0b\r\n", ""), Malformed),
        (post(": a\r\n", ""), Malformed),
        (post("Host: other\r\n", ""), Malformed),
        (post("X-Request-Id: 2\r\n", ""), Malformed),
        (post(&long, ""), HeadTooLong),
        (start("GET http://h/a HTTP/1.1"), Malformed),
        (start("GET a HTTP/1.1"), Malformed),
        (start("OPTIONS * HTTP/1.1"), Malformed),
        (start("CONNECT h:80 HTTP/1.1"), Malformed),
        (start("TRACE /a HTTP/1.1"), Malformed),
        (start("GET /a#b HTTP/1.1"), Malformed),
        (start("GET /a\tb HTTP/1.1"), Malformed),
        (start("GET /a HTTP/1.2"), Malformed),
        (start("GET /a HTTP/2.0"), Malformed),
        (start("GET  /a HTTP/1.1"), Malformed),
        (start("GET /a"), Malformed),
        ("GET /a HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n".into(), Malformed),
        ("GET /a HTTP/1.1\r\nHost:\r\nX-Request-Id: 1\r\n\r\n".into(), Malformed),
        ("GET /a HTTP/1.1\r\nHost: a,b\r\nX-Request-Id: 1\r\n\r\n".into(), Malformed),
        ("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".into(), Malformed),
        ("GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: \r\n\r\n".into(), Malformed),
        (
            "GET /a HTTP/1.0\r\nHost: h\r\nX-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            Malformed,
        ),
        ("\x16\x03\x01\r\n\r\n".into(), Malformed),
    ];
    for (bytes, expected) in cases {
        all_pieces(bytes.as_bytes(), |requests, refusal| {
            assert_eq!((requests.len(), refusal), (0, Some(expected)), "{bytes:?}");
        });
    }
}

#[test]
fn requests_follow_each_other() {
    let first = request("POST /a/?q HTTP/1.1", "Content-Length: 3\r\n", "abc");
    let second = request(
        "PUT /b HTTP/1.1",
        "transfer-encoding: Chunked\r\n",
        "2\r\nab\r\n1;e=1\r\nc\r\n0\r\nT: 1\r\n\r\n",
    );
    let third = request("GET /c HTTP/1.1", "X-Deadline-Ms: 1500\r\nConnection: close\r\n", "");
    let bytes = format!("{first}\r\n{second}{third}");
    all_pieces(bytes.as_bytes(), |requests, refusal| {
        assert_eq!(refusal, None);
        let told: Vec<_> = requests.iter().map(|r| (r.head.path(), r.body.as_slice(), r.head.keep)).collect();
        let expected: [(&str, &[u8], bool); 3] =
            [("/a/", b"abc", true), ("/b", b"abc", true), ("/c", b"", false)];
        assert_eq!(told, expected);
        assert_eq!(requests[2].head.wait, Some(Duration::from_millis(1500)));
    });
}

#[test]
fn lines_of_one_connection_stay_behind() {
    let lines = "X-Empty:\r\nX-A: 1\r\nConnection: x-b , Host, X-Request-Id\r\nX-B: 2\r\nKeep-Alive: 5\r\n\
        Proxy-Authorization: p\r\nTE: t\r\nUpgrade: h2c\r\nX-Expect-Server: mine\r\nX-Deadline-Ms: 9\r\n\
        Content-Length: 2\r\nX-Last: 3\r\n";
    let (requests, _) = read(request("POST /a?b HTTP/1.1", lines, "ab").as_bytes(), 1000);
    let mut out = Vec::new();
    forwarded_head(&requests[0].head, &Sender::Unmanaged, "i-1", Duration::from_millis(700), 2, &mut out);
    let expected = "POST /a?b HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Expect-Server: i-1\r\nX-Empty:\r\nX-A: 1\r\n\
        X-Last: 3\r\nX-Deadline-Ms: 700\r\nContent-Length: 2\r\n\r\n";
    assert_eq!(String::from_utf8(out).unwrap(), expected);
}

#[test]
fn a_body_finds_no_room_or_is_asked_for() {
    let mut inbox = Inbox::default();
    inbox.push(request("POST /a HTTP/1.1", "Content-Length: 9\r\nExpect: 100-continue\r\n", "").as_bytes());
    assert!(matches!(inbox.step(&limits(), 100), Step::Expects));
    assert!(matches!(inbox.step(&limits(), 100), Step::More));
    assert_eq!(inbox.id(), Some("1"));
    inbox.push(b"123456789");
    assert!(matches!(inbox.step(&limits(), 4), Step::Refused(Refusal::NoRoom)));
    inbox.push(b"GET / HTTP/1.1\r\n\r\n");
    // Behind a refusal nothing is a request.
    assert!(matches!(inbox.step(&limits(), 100), Step::More));
}

/// Guards against a client that sends empty lines without end and never a request.
#[test]
fn empty_lines_before_a_request_are_passed_over_up_to_a_bound() {
    let get = request("GET /a HTTP/1.1", "", "");
    for (lines, served) in [(0, 2), (1, 2), (8, 2), (9, 0), (5000, 0)] {
        let one = "\r\n".repeat(lines) + &get;
        all_pieces(one.repeat(2).as_bytes(), |requests, refusal| {
            assert_eq!((requests.len(), refusal.is_some()), (served, served == 0), "{lines} lines");
        });
    }
}

//! Ops over loopback sockets, with servers in trouble.

mod world;

use fallgap_routing::ViewTimes;
use fallgap_test_support::gateway::{Got, status};
use std::time::Duration;
use world::*;

#[test]
fn a_request_goes_through_unchanged() {
    let server = Server::start("i-1", |got| Does::Sends(ok(got, "bytes")));
    let world = World::with(&[&server]);
    let mut client = world.client();
    let chunked = "POST /fragile/x/../%2e?a=1&b HTTP/1.1\r\nhost: H.example:80\r\nX-Request-Id: r1\r\n\
        X-Other: 7\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n\
        Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n";
    let reply = client.ask(chunked);
    assert_eq!((reply.status, reply.body.as_slice()), (200, b"bytes".as_slice()));
    assert_eq!((reply.line("x-request-id"), reply.line("x-server-seal")), (Some("r1"), Some("seal.r1")));
    let second = client.ask(&get("/safe/y", "r2"));
    assert_eq!((second.status, second.line("keep-alive")), (200, Some("timeout=14")));
    let got = server.got();
    assert_eq!(got[0].lines[0], "POST /fragile/x/../%2e?a=1&b HTTP/1.1");
    assert_eq!((got[0].body.as_slice(), got[0].line("x-expect-server")), (b"abcde".as_slice(), Some("i-1")));
    assert_eq!((got[0].line("x-other"), got[0].line("x-hop"), got[0].line("te")), (Some("7"), None, None));
    let left: u64 = got[1].line("x-deadline-ms").unwrap().parse().unwrap();
    assert!((1000..=1500).contains(&left), "{left}");
    // One connection carried both.
    assert_eq!((got[1].connection, got[1].on_it), (0, 1));
}

/// What a server in trouble does, and what clients of fragile and of safe routes get if they meet it.
type Trouble = (&'static str, Box<dyn Fn(&Got) -> Does + Send + Sync>, u16, u16);

fn troubles() -> Vec<Trouble> {
    let half = |got: &Got| ok(got, "0123456789").replace("6789", "");
    let foreign = |got: &Got| ok(got, "other").replace(got.id(), "other-id");
    let unsealed = |got: &Got| ok(got, "bytes").replace("X-Server-Seal", "X-Other");
    let until_close = |got: &Got| ok(got, "bytes").replace("Content-Length", "X-Length");
    vec![
        ("breaks off", Box::new(move |got| Does::SendsAndCloses(half(got))), 502, 200),
        ("closes", Box::new(|_| Does::SendsAndCloses(String::new())), 502, 200),
        ("garbles", Box::new(|_| Does::SendsAndCloses("\x01\x02\r\n\r\n".into())), 502, 200),
        ("answers another", Box::new(move |got| Does::SendsAndCloses(foreign(got))), 502, 200),
        (
            "answers another first",
            Box::new(move |got| Does::Sends(foreign(got) + &ok(got, "bytes"))),
            200,
            200,
        ),
        ("lacks the seal", Box::new(move |got| Does::Sends(unsealed(got))), 502, 200),
        ("never ends", Box::new(move |got| Does::SendsAndCloses(until_close(got))), 502, 200),
        ("sends too much", Box::new(|got| Does::Sends(ok(got, "bytes") + "HTTP/1.1 200 OK\r\n")), 200, 200),
        ("sheds", Box::new(|got| Does::Sends(status(got, 503, "X-Not-Run: 1\r\n"))), 200, 200),
        ("sheds without a word", Box::new(|got| Does::Sends(status(got, 503, ""))), 502, 200),
        ("is another", Box::new(|got| Does::Sends(status(got, 421, ""))), 200, 200),
        ("fails", Box::new(|got| Does::Sends(status(got, 500, ""))), 500, 200),
        ("hangs", Box::new(|_| Does::Hangs), 504, 200),
        ("stalls behind half of it", Box::new(move |got| Does::Sends(half(got))), 504, 200),
    ]
}

#[test]
fn what_servers_do_wrong_reaches_no_client() {
    for (name, script, fragile, safe) in troubles() {
        let bad = Server::start("bad", script);
        let good = Server::start("good", |got| Does::Sends(ok(got, "bytes")));
        let world = World::with(&[&bad, &good]);
        let mut met = 0;
        for (path, expected) in [("/fragile/", fragile), ("/safe/", safe)] {
            for number in 0..8 {
                let id = format!("{path}{number}");
                let reply = world.client().ask(&get(path, &id).replace("1500", "400"));
                let arrived = |server: &Server| server.got().iter().filter(|got| got.id() == id).count();
                let (at_bad, at_good) = (arrived(&bad), arrived(&good));
                met += at_bad;
                assert!(at_bad <= 1 && at_good <= 1, "{name}");
                assert_eq!(reply.status, if at_bad == 1 { expected } else { 200 }, "{name} {id}");
                assert_eq!(reply.line("x-request-id"), Some(&*id));
                if reply.status == 200 {
                    assert_eq!(reply.body, b"bytes");
                }
                if path == "/fragile/" && fragile != 200 {
                    assert_eq!(at_bad + at_good, 1, "{name}: run twice");
                }
            }
        }
        assert!(met > 0, "{name}");
    }
}

#[test]
fn with_no_other_server_the_promise_is_given_only_on_proof() {
    let cases = [("sheds", 503), ("is another", 503), ("closes", 502), ("garbles", 502), ("fails", 500)];
    for (name, script, _, _) in troubles() {
        let Some((_, expected)) = cases.iter().find(|(case, _)| *case == name) else { continue };
        let bad = Server::start("bad", script);
        let reply = World::with(&[&bad]).get("/fragile/", "1");
        assert_eq!(
            (reply.status, reply.line("retry-after").is_some()),
            (*expected, *expected == 503),
            "{name}"
        );
        assert_eq!(bad.got().len(), 1, "{name}");
    }
    assert_eq!(World::with(&[&Server::dead("dead")]).get("/fragile/", "1").status, 503);
    assert_eq!(World::with(&[]).get("/fragile/", "1").status, 503);
    assert_eq!(World::with(&[]).get("/none/", "1").status, 404);
}

#[test]
fn a_dead_server_costs_no_answer() {
    let good = Server::start("good", |got| Does::Sends(ok(got, "bytes")));
    let world = World::with(&[&Server::dead("dead"), &good]);
    for number in 0..20 {
        assert_eq!(world.get("/fragile/", &number.to_string()).status, 200);
    }
    assert_eq!(good.got().len(), 20);
}

#[test]
fn a_connection_that_ended_at_rest_is_not_used_again() {
    // It ends behind the answer without a word of it.
    let server = Server::start("i-1", |got| Does::SendsAndCloses(ok(got, "bytes")));
    let world = World::with(&[&server]);
    let mut client = world.client();
    for number in 0..20 {
        assert_eq!(client.ask(&get("/safe/", &number.to_string())).status, 200);
        until(|| world.ask(|quay, _| quay.connections().1) == 0);
    }
    assert!(server.got().iter().all(|got| got.on_it == 0));
}

#[test]
fn a_server_that_is_out_gets_nothing_new_and_ends_what_it_has() {
    let (release, held) = std::sync::mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let old = Server::start("old", move |got| {
        held.lock().unwrap().recv().unwrap();
        Does::Sends(ok(got, "old"))
    });
    let new = Server::start("new", |got| Does::Sends(ok(got, "new")));
    let world = World::with(&[&old]);
    let mut first = world.client();
    first.send(&get("/fragile/", "1"));
    until(|| !old.got().is_empty());
    world.view(&[&new]);
    assert_eq!(world.get("/fragile/", "2").body, b"new");
    release.send(()).unwrap();
    assert_eq!(first.reply().unwrap().body, b"old");
    assert_eq!(world.get("/fragile/", "3").body, b"new");
    assert_eq!(world.ask(|quay, _| quay.connections().1), 1);
}

#[test]
fn leaving_answers_all_that_was_read() {
    let (release, held) = std::sync::mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let server = Server::start("i-1", move |got| {
        if got.id() == "1" {
            held.lock().unwrap().recv().unwrap();
        }
        Does::Sends(ok(got, "bytes"))
    });
    let world = World::with(&[&server]);
    let (mut at_work, mut at_rest) = (world.client(), world.client());
    assert_eq!(at_rest.ask(&get("/safe/", "0")).line("connection"), None);
    // Two behind each other: the second has been read with the first.
    at_work.send(&(get("/fragile/", "1") + &get("/fragile/", "2")));
    until(|| server.got().len() == 2);
    assert_eq!(world.ask(|quay, now| (quay.leave(now), quay.at_work()).1), 1);
    let fresh = world.get("/safe/", "3");
    assert_eq!((fresh.status, fresh.line("connection")), (200, Some("close")));
    release.send(()).unwrap();
    assert_eq!(at_work.reply().map(|reply| reply.status), Some(200));
    let last = at_work.reply().unwrap();
    assert_eq!((last.status, last.line("connection")), (200, Some("close")));
    assert_eq!((at_work.reply(), at_rest.reply()), (None, None));
    assert_eq!(world.ask(|quay, _| quay.at_work()), 0);
}

/// Guards against connections that a leaving supervisor accepts and closes unread: while the platform still sends clients here, each
/// new one is served, also after those at rest were closed. One that says nothing is closed, and so is one that comes when the process
/// might end before its answer.
#[test]
fn leaving_serves_whoever_comes_after_connections_at_rest_were_closed() {
    let server = Server::start("i-1", |got| Does::Sends(ok(got, "bytes")));
    let world = World::new(fallgap_proxy::Terms {
        leave: ms(0),
        first: ms(400),
        serves: ms(60_000),
        ..Default::default()
    });
    world.view(&[&server]);
    let mut at_rest = world.client();
    assert_eq!(at_rest.ask(&get("/safe/", "0")).status, 200);
    world.ask(|quay, now| quay.leave(now));
    assert_eq!(at_rest.reply(), None);
    let (mut speaks, mut silent) = (world.client(), world.client());
    until(|| world.ask(|quay, _| quay.connections().0) == 2);
    let reply = speaks.ask(&get("/safe/", "1"));
    assert_eq!((reply.status, reply.line("connection")), (200, Some("close")));
    assert_eq!((speaks.reply(), silent.reply()), (None, None));
    let late = World::new(fallgap_proxy::Terms { leave: ms(0), serves: ms(0), ..Default::default() });
    late.view(&[&server]);
    late.ask(|quay, now| quay.leave(now));
    assert_eq!(late.client().reply(), None);
}

#[test]
fn before_the_first_view_all_are_told_to_come_back() {
    let server = Server::start("i-1", |got| Does::Sends(ok(got, "bytes")));
    let world = World::new(fallgap_proxy::Terms::default());
    let early = world.get("/safe/", "1");
    assert_eq!((early.status, early.line("retry-after").is_some()), (503, true));
    world.view(&[&server]);
    assert_eq!(world.get("/safe/", "2").status, 200);
    assert_eq!(world.get("/nowhere/", "3").status, 404);
}

/// A route may have been added since a home last confirmed the view. What is known is served on.
#[test]
fn with_an_unconfirmed_view_it_is_not_said_that_a_route_is_not_there() {
    let server = Server::start("i-1", |got| Does::Sends(ok(got, "bytes")));
    let world = World::with(&[&server]);
    let confirmed = |at| ViewTimes { confirmed: at, ..ViewTimes::default() };
    world.ask(move |quay, _| quay.view_times(confirmed(None)));
    let unknown = world.get("/nowhere/", "1");
    assert_eq!((unknown.status, unknown.line("retry-after").is_some()), (503, true));
    assert_eq!(world.get("/safe/", "2").status, 200);
    let tales = world.ask(|quay, now| quay.tales(now, Some("1"), 9));
    assert_eq!(tales.iter().map(|tale| tale.why.word()).collect::<Vec<_>>(), ["unconfirmed"]);
    world.ask(move |quay, now| quay.view_times(confirmed(Some(now))));
    assert_eq!(world.get("/nowhere/", "3").status, 404);
}

/// What its home knew may have been acknowledged, and binds after a while. Who is cut off from all goes on.
#[test]
fn with_a_view_that_is_behind_its_home_requests_are_turned_away() {
    let server = Server::start("i-1", |got| Does::Sends(ok(got, "bytes")));
    let mut terms = fallgap_proxy::Terms::default();
    terms.lease.behind = Duration::ZERO;
    let world = World::new(terms);
    world.view(&[&server]);
    let times = |known, is_reached| ViewTimes { known, is_reached, ..ViewTimes::default() };
    world.ask(move |quay, _| quay.view_times(times(Duration::ZERO, true)));
    let refused = world.get("/safe/", "1");
    assert_eq!((refused.status, refused.line("retry-after").is_some()), (503, true));
    let tales = world.ask(|quay, now| quay.tales(now, Some("1"), 9));
    assert_eq!(tales.iter().map(|tale| tale.why.word()).collect::<Vec<_>>(), ["behind"]);
    world.ask(move |quay, _| quay.view_times(times(Duration::ZERO, false)));
    assert_eq!(world.get("/safe/", "2").status, 200);
    world.ask(move |quay, _| quay.view_times(times(Duration::MAX / 2, true)));
    assert_eq!(world.get("/safe/", "3").status, 200);
}

#[test]
fn bad_and_slow_requests_are_refused_and_go_nowhere() {
    let server = Server::start("i-1", |got| Does::Sends(ok(got, "bytes")));
    let world = World::with(&[&server]);
    let hidden = "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 1\r\nContent-Length: 5\r\n\
        Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let cases = [
        (format!("{hidden}{}", get("/safe/", "2")), Some(400)),
        (get("/safe/", "3").replace("X-Request-Id", "X-Id"), Some(400)),
        (format!("{}X: {}", get("/safe/", "4").trim_end(), "x".repeat(20_000)), Some(431)),
        (get("/safe/", "5").replace("\r\n\r\n", "\r\nContent-Length: 99999999\r\n\r\n"), Some(413)),
        ("GET /safe/ HTTP/1.1\r\n".into(), Some(408)),
    ];
    for (bytes, expected) in cases {
        let mut client = world.client();
        client.send(&bytes);
        let reply = client.reply();
        assert_eq!(reply.as_ref().map(|reply| reply.status), expected, "{bytes:.80}");
        assert_eq!(reply.unwrap().line("connection"), Some("close"));
        assert_eq!(client.reply(), None);
    }
    assert_eq!(server.got().len(), 0);
}

#[test]
fn large_bodies_pass_both_ways_while_others_are_served() {
    let server = Server::start("i-1", |got| Does::Sends(ok(got, &"z".repeat(got.body.len()))));
    let world = World::with(&[&server]);
    let length = 6 << 20;
    let mut large = world.client();
    let lines = format!("Content-Length: {length}\r\nExpect: 100-continue\r\n\r\n");
    large.send(&get("/outbound/", "1").replace("GET", "POST").replace("\r\n\r\n", &format!("\r\n{lines}")));
    assert_eq!(large.reply().unwrap().status, 100);
    large.send(&"y".repeat(length));
    until(|| !server.got().is_empty());
    // It does not read its answer yet.
    assert_eq!(world.get("/safe/", "2").status, 200);
    let reply = large.reply().unwrap();
    assert_eq!((reply.status, reply.body.len()), (200, length));
    assert_eq!(server.got()[0].body.len(), length);
    drop(large);
    until(|| world.ask(|quay, _| quay.held()) == 0);
}

/// Fails where an answer is read whole before a byte of it leaves, and where one that has begun to leave is followed by
/// anything.
#[test]
fn large_answers_go_on_as_they_come_and_end_early_if_their_server_does() {
    use std::io::Read;
    const BODY: usize = 40_000;
    let half = |got: &Got| {
        let body = if got.id().starts_with("small") { 1000 } else { BODY };
        let whole = ok(got, &"z".repeat(body));
        whole[..whole.len() - body / 2].to_owned()
    };
    let stalls = Server::start("stalls", move |got| Does::Sends(half(got)));
    let world = World::with(&[&stalls]);
    let mut client = world.client();
    client.send(&get("/outbound/", "1").replace("1500", "400"));
    let mut come = [0; BODY / 2];
    client.reader.read_exact(&mut come).unwrap();
    assert!(come.starts_with(b"HTTP/1.1 200 OK\r\n"));
    let mut rest = Vec::new();
    let _ = client.reader.read_to_end(&mut rest);
    assert!(rest.iter().all(|byte| *byte == b'z') && rest.len() < BODY / 2);
    until(|| world.ask(|quay, _| (quay.held(), quay.at_work(), quay.connections().1)) == (0, 0, 0));

    let breaks = Server::start("breaks", move |got| Does::SendsAndCloses(half(got)));
    let good = Server::start("good", |got| Does::Sends(ok(got, &"z".repeat(BODY))));
    for (path, name) in [("/outbound/", "small"), ("/outbound/", "large"), ("/safe/", "large")] {
        let world = World::with(&[&breaks, &good]);
        for number in 0..8 {
            let id = format!("{name}{path}{number}");
            let mut client = world.client();
            client.send(&get(path, &id));
            match client.reply() {
                Some(whole) => assert_eq!((whole.status, whole.body.len()), (200, BODY), "{id}"),
                None => {
                    assert_eq!((path, name), ("/outbound/", "large"));
                    assert!(good.got().iter().all(|got| got.id() != id));
                }
            }
        }
        assert!(breaks.got().iter().any(|got| got.id().starts_with(name)));
    }
}

/// What the logbook says of ops that met trouble: why they ended, and how each try did.
#[test]
fn what_became_of_an_op_is_told_afterwards() {
    let sheds = |got: &Got| Does::Sends(status(got, 503, "X-Not-Run: 1\r\n"));
    let fails = |got: &Got| Does::Sends(status(got, 500, ""));
    let hangs = |_: &Got| Does::Hangs;
    // Its content is as long as it says, or its chunks go on beyond the bound.
    let tells_long = |got: &Got| Does::Sends(ok(got, "").replace("Length: 0", "Length: 16777217"));
    let sends_long = |got: &Got| {
        let head = ok(got, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
        Does::Sends(head + &format!("100000\r\n{}\r\n", "z".repeat(1 << 20)).repeat(17))
    };
    type Row = (&'static str, fn(&Got) -> Does, u16, &'static str, &'static [&'static str]);
    let rows: [Row; 7] = [
        ("/safe/x", tells_long, 502, "attempts", &["answer-too-long", "answer-too-long"]),
        ("/fragile/x", sends_long, 502, "once", &["answer-too-long"]),
        ("/safe/x", sheds, 503, "attempts", &["turned-away", "turned-away"]),
        ("/safe/x", fails, 500, "attempts", &["failed", "failed"]),
        ("/fragile/x", fails, 500, "once", &["failed"]),
        ("/fragile/x", hangs, 504, "time", &["silent"]),
        ("/none/", hangs, 404, "no-route", &[]),
    ];
    for (path, does, code, why, ends) in rows {
        let servers = [Server::start("i-1", does), Server::start("i-2", does)];
        let world = World::with(&[&servers[0], &servers[1]]);
        assert_eq!(world.get(path, "r1").status, code, "{path} {why}");
        let tales = world.ask(|quay, now| quay.tales(now, Some("r1"), 9));
        let [tale] = &tales[..] else { panic!("{tales:?}") };
        assert_eq!((tale.status, tale.why.word(), tale.edition), (code, why, 1), "{path}");
        assert_eq!(tale.tries.iter().map(|one| one.end).collect::<Vec<_>>(), ends, "{path}");
        assert!(tale.tries.iter().all(|one| one.server.as_deref().is_some_and(|id| id.starts_with("i-"))));
    }
    // What had begun to leave is told of as broken off, not as answered.
    let half = |got: &Got| {
        let whole = ok(got, &"z".repeat(40_000));
        Does::Sends(whole[..whole.len() - 20_000].to_owned())
    };
    let server = Server::start("i-1", half);
    let world = World::with(&[&server]);
    let mut client = world.client();
    client.send(&get("/outbound/x", "r1").replace("1500", "400"));
    assert!(client.reply().is_none());
    let tales = world.ask(|quay, now| quay.tales(now, Some("r1"), 9));
    let of = |tale: &fallgap_proxy::Tale| (tale.status, tale.why.word(), tale.tries.first().map(|t| t.end));
    assert_eq!(tales.iter().map(of).collect::<Vec<_>>(), [(200, "broke-off", Some("broke-after"))]);
    // Its server is drained: the next op finds none, and the name of the old one is known still.
    let server = Server::start("i-1", fails);
    let world = World::with(&[&server]);
    assert_eq!(world.get("/fragile/x", "r1").status, 500);
    world.view(&[]);
    assert_eq!(world.get("/safe/x", "r2").status, 503);
    let tales = world.ask(|quay, now| quay.tales(now, None, 9));
    let of =
        |tale: &fallgap_proxy::Tale| (tale.why.word(), tale.tries.first().and_then(|t| t.server.clone()));
    assert_eq!(tales.iter().map(of).collect::<Vec<_>>(), [("once", Some("i-1".into())), ("no-server", None)]);
}

/// It sends more than a head may be long as soon as a connection is up. Whether it has read the request is not known once a byte
/// of it has left: no other server is asked.
#[test]
fn a_server_that_speaks_first_and_too_long_is_not_taken_for_one_that_ran_nothing() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let std::net::SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!("as bound") };
    let speaks = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nX-Long: {}\r\n", "x".repeat(1 << 20));
        // The other end closes as soon as it has read too much.
        let _ = stream.write_all(head.as_bytes());
        stream
    });
    let quiet = Server::start("i-2", |got| Does::Sends(ok(got, "bytes")));
    let world = World::new(fallgap_proxy::Terms::default());
    let first = fallgap_config::Berth { id: "i-1".into(), address, ..berth(&quiet) };
    let view = fallgap_config::View { configuration: configuration().into(), berths: vec![first] };
    world.ask(move |quay, now| quay.view(now, view.into()));
    assert_eq!(world.get("/fragile/", "1").status, 502);
    let counters = world.ask(|quay, _| quay.counters());
    assert_eq!((counters.too_long, counters.void, counters.sent), (1, 0, 1));
    drop(speaks.join().unwrap());
}

//! Eight orders come to one supervisor at once while its keepers are slow, with watches and calls of offices beside them:
//! beats there are answered within their second all the same.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::{Client, Landing, Reply, configuration};
use landing::*;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// So many of the orders wait at one supervisor.
const WAITING: usize = 7;
/// A beat has to be answered within this.
const BEAT: Duration = S;

fn sent(at: SocketAddr, patience: Duration, method: &str, path: &str, body: &str) -> Client {
    let mut client = Client::connect(at, patience).unwrap();
    client.send(&request(method, path, body.len(), body));
    client
}

fn request(method: &str, path: &str, length: usize, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn beat(at: SocketAddr, id: &str, state: &str) -> (Option<u16>, Duration) {
    let body = format!(
        r#"{{"address":"127.9.9.9:8080","notice":{{"service":"s","edition":"v1","zone":"a","slots":4}},
            "tracking":{{"state":"{state}","postmark":4,"cold_s_time":0}}}}"#
    );
    let since = Instant::now();
    let reply: Option<Reply> = sent(at, BEAT, "POST", &format!("/-/servers/{id}/beat"), &body).reply();
    (reply.map(|reply| reply.status), since.elapsed())
}

/// An answer, or the end, has come.
fn is_told(client: &Client) -> bool {
    let stream = client.reader.get_ref();
    stream.set_nonblocking(true).unwrap();
    let told = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).unwrap();
    told
}

fn told(clients: Vec<Client>) -> Vec<Option<u16>> {
    clients.into_iter().map(|mut client| client.reply().map(|reply| reply.status)).collect()
}

/// Two of three keepers stand still, so nothing that needs a majority comes to an end. Calls of all kinds come, as many wait
/// as may, and beats come. How many beats were answered before any order that waits was.
fn beats_before_calls(fleet: &mut Landing, texts: &[String]) -> usize {
    let at = fleet.machines[0].control();
    let _watches: Vec<Client> =
        (0..10).map(|n| sent(at, LONG, "GET", &format!("/-/watch/w{n}?after=0&wait_ms=8000"), "")).collect();
    fleet.machines[1..3].iter_mut().for_each(|machine| machine.signal("STOP"));
    let orders: Vec<Client> =
        texts.iter().map(|text| sent(at, LONG, "POST", "/-/config/put", text)).collect();
    let offices: Vec<Client> = (0..4).map(|_| sent(at, LONG, "GET", "/-/accounts", "")).collect();
    let numbers: Vec<Client> =
        (0..12).map(|n| sent(at, LONG, "POST", &format!("/-/numbers/n{n}"), "{}")).collect();
    let closing = thread::spawn(move || beat(at, "i-closing", "closing"));
    let mut before = 0;
    loop {
        let (status, took) = beat(at, &format!("i-{before}"), "open");
        // Without a majority for 0.6 s it takes none, and says so.
        assert!(matches!(status, Some(200 | 503)), "{status:?} after {took:?}, behind {before}");
        // Those that are turned away are told at once.
        if orders.iter().filter(|client| is_told(client)).count() > orders.len() - WAITING {
            break;
        }
        before += 1;
    }
    // An end that too few know of is not acknowledged, and that is said in time.
    let (status, took) = closing.join().unwrap();
    assert!(matches!(status, Some(200 | 500 | 503)) && took < BEAT, "{status:?} after {took:?}");
    for (what, clients) in [("orders", orders), ("offices", offices), ("numbers", numbers)] {
        let told = told(clients);
        println!("{what}: {told:?}");
        assert!(told.iter().all(|status| matches!(status, Some(200 | 500 | 503))), "{what}: {told:?}");
    }
    fleet.machines[1..3].iter_mut().for_each(|machine| machine.signal("CONT"));
    println!("{before} beats before the first of them");
    before
}

#[test]
fn beats_are_answered_while_orders_wait_for_slow_keepers() {
    let mut fleet = fleet();
    configure(&fleet.machines[0], &configuration(7, PREFIXES));
    for machine in &fleet.machines {
        until("the edition is in force", || machine.figure("edition").filter(|edition| *edition == 7));
        until("it knows the others", || machine.figure("supervisors").filter(|known| *known == 4));
    }
    let at = fleet.machines[0].control();
    // On a machine that is busy the calls may be over before the first beat is sent: then it is tried again.
    let mut edition = 7;
    let overtook = (0..5).any(|_| {
        let texts: Vec<String> = (1..=8).map(|n| configuration(edition + n, PREFIXES)).collect();
        edition += 8;
        let overtook = beats_before_calls(&mut fleet, &texts) > 0;
        let newest = texts.last().unwrap();
        assert_eq!(post(&fleet.machines[0], "/-/config/put", newest).0, 200);
        assert_eq!(read(&fleet.machines[1], "/-/config/get").1, *newest);
        until("beats are taken", || (beat(at, "i-0", "open").0 == Some(200)).then_some(()));
        overtook
    });
    assert!(overtook, "no beat is answered before the calls");
}

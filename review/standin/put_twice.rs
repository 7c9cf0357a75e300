//! A put whose answer is lost goes out again, with the same value, after a second of silence. Meanwhile other callers put to keys of
//! the same group. MIXED: the put that comes again gets its first revision, and no value is shown under two revisions.

use crate::fleet::Fleet;
use crate::http::{Message, call};
use crate::record::Record;
use crate::{End, Given};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Callers beside the one whose answer is lost, and their puts a second, all together: 80 of the site's 89 calls a second.
const CALLERS: u64 = 10;
const PUTS: u64 = 80;
/// Bytes of each value. The supervisors take values of 4096 bytes.
const VALUE: usize = 2048;
const KEYS: u64 = 5;
const SECOND: Duration = Duration::from_secs(1);

/// Values are unique.
fn value(next: &AtomicU64) -> String {
    let number = next.fetch_add(1, SeqCst);
    let mut text = format!("{number:016x}");
    while text.len() < VALUE {
        text.push_str("5c0e7a21d94b36f8");
    }
    text
}

fn short(value: &str) -> &str {
    value.get(..16).unwrap_or(value)
}

fn put(at: SocketAddr, key: &str, value: &str) -> Option<Message> {
    call(at, "POST", &format!("/-/cells/{key}/put"), &format!("{{\"value\":\"{value}\"}}"), SECOND)
}

/// A relay before a supervisor's control address, which carries one call and loses the answer: the caller hears nothing.
fn relay(to: SocketAddr, lost: Arc<Mutex<Option<String>>>) -> Option<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).ok()?;
    let at = listener.local_addr().ok()?;
    spawn(move || {
        let (mut caller, _) = listener.accept().ok()?;
        let mut on = TcpStream::connect(to).ok()?;
        let (mut from, mut into) = (caller.try_clone().ok()?, on.try_clone().ok()?);
        spawn(move || {
            let mut piece = [0; 16384];
            while let Ok(count @ 1..) = from.read(&mut piece) {
                if into.write_all(&piece[..count]).is_err() {
                    return;
                }
            }
        });
        let mut answer = Vec::new();
        on.read_to_end(&mut answer).ok()?;
        *lost.lock().ok()? = Some(String::from_utf8_lossy(&answer).into_owned());
        // Silence, until the caller has gone on.
        sleep(3 * SECOND);
        caller.flush().ok()
    });
    Some(at)
}

/// The events of an answer to a watch: key, value, revision.
fn events(text: &str) -> Vec<(String, String, u64)> {
    let field = |event: &str, name: &str| {
        let (_, rest) = event.split_once(&format!("\"{name}\":"))?;
        Some(rest.trim_start_matches('"').split(['"', ',', '}']).next()?.to_owned())
    };
    let one = |event: &str| {
        Some((field(event, "name")?, field(event, "value")?, field(event, "revision")?.parse().ok()?))
    };
    let list = text.split_once("\"events\":[").and_then(|(_, rest)| rest.split_once(']')).map_or("", |(list, _)| list);
    list.split("},").filter_map(one).collect()
}

/// Under which revisions each value was shown.
type Shown = Arc<Mutex<BTreeMap<String, Vec<(String, u64)>>>>;

/// Watches the group from one address, without a pause.
fn watch(at: SocketAddr, record: Record, shown: Shown, stop: Arc<AtomicBool>) {
    spawn(move || {
        let mut after = 0;
        while !stop.load(SeqCst) {
            let path = format!("/-/watch/g1.?after={after}&wait_ms=500");
            let Some(answer) = call(at, "GET", &path, "", 2 * SECOND) else { continue };
            if answer.status() != 200 {
                record.line(&format!("watch after {after}: {}", answer.status()));
                after = 0;
                continue;
            }
            let text = answer.text();
            let Some(revision) = text.rsplit_once("\"revision\":").and_then(|(_, rest)| rest.trim_end_matches('}').parse().ok())
            else {
                continue;
            };
            if let Ok(mut shown) = shown.lock() {
                for (key, value, revision) in events(&text) {
                    let seen = shown.entry(value).or_default();
                    if !seen.contains(&(key.clone(), revision)) {
                        seen.push((key, revision));
                    }
                }
            }
            after = revision;
        }
    });
}

pub fn play(given: &Given) -> End {
    let record = &given.record;
    let could_not = |why: &str| End::CouldNotRun(why.to_owned());
    let Some(mut fleet) = Fleet::open(&given.gateway, &given.work, record) else {
        return could_not("no addresses");
    };
    if !fleet.start_all(true) {
        return could_not("the gateway does not start");
    }
    let controls = fleet.controls();
    if fleet.insist("POST", "/-/config/put", crate::client::CONFIGURATION, 60).is_none_or(|m| m.status() != 200) {
        return could_not("the configuration is not acknowledged");
    }
    sleep(2 * SECOND);
    let next = Arc::new(AtomicU64::new(1));
    let stop = Arc::new(AtomicBool::new(false));
    let shown = Shown::default();
    watch(controls[2], record.clone(), shown.clone(), stop.clone());
    let done = Arc::new(AtomicU64::new(0));
    let unclear = Arc::new(AtomicU64::new(0));
    for caller in 0..CALLERS {
        let (next, stop, controls) = (next.clone(), stop.clone(), controls.clone());
        let (done, unclear, record) = (done.clone(), unclear.clone(), record.clone());
        spawn(move || {
            let pause = Duration::from_millis(1000 * CALLERS / PUTS);
            let mut number = caller;
            while !stop.load(SeqCst) {
                let began = record.now();
                let (key, value) = (format!("g1.k{}", number % KEYS), value(&next));
                number += 1;
                match put(controls[(caller % 3) as usize], &key, &value) {
                    Some(answer) if answer.status() == 200 => {
                        done.fetch_add(1, SeqCst);
                        let revision = answer.figure("revision").unwrap_or(0);
                        record.line(&format!("put {key} {}: 200, revision {revision}", short(&value)));
                    }
                    other => {
                        unclear.fetch_add(1, SeqCst);
                        record.line(&format!("put {key} {}: {}", short(&value), other.map_or(0, |m| m.status())));
                    }
                }
                sleep((began + pause).saturating_sub(record.now()));
            }
        });
    }
    sleep(4 * SECOND);

    // The put, at the first address.
    let (key, mine) = ("g1.k1", value(&next));
    let lost = Arc::new(Mutex::new(None));
    let first_at = if given.trouble {
        let Some(at) = relay(controls[0], lost.clone()) else { return could_not("no relay") };
        at
    } else {
        controls[0]
    };
    let sent = record.now();
    record.line(&format!("MINE put {key} {} is sent", short(&mine)));
    let mut answer = put(first_at, key, &mine);
    record.line(&format!("MINE answer: {}", answer.as_ref().map_or(0, Message::status)));
    for at in controls.iter().cycle().skip(1).take(3) {
        if answer.as_ref().is_some_and(|m| m.status() == 200) {
            break;
        }
        // No clear answer in a second: it goes out again, with the same value, at another address.
        let after = (record.now() - sent).as_secs_f64();
        answer = put(*at, key, &mine);
        let (status, revision) = answer.as_ref().map_or((0, None), |m| (m.status(), m.figure("revision")));
        record.line(&format!("MINE put {key} {} again {after:.3} s after the first, at {at}: {status}, revision {revision:?}", short(&mine)));
    }
    if let Some(text) = lost.lock().ok().and_then(|lost| lost.clone()) {
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned();
        record.line(&format!("MINE the answer that was lost: {} {body}", text.lines().next().unwrap_or_default()));
    }
    let answered = answer.as_ref().and_then(|m| m.figure("revision"));
    // Some puts come once more right after their 200, at another address.
    let once_more = put(controls[1], key, &mine);
    record.line(&format!(
        "MINE put {key} {} once more right after its answer: {}, revision {:?}",
        short(&mine),
        once_more.as_ref().map_or(0, Message::status),
        once_more.as_ref().and_then(|m| m.figure("revision"))
    ));
    sleep(3 * SECOND);
    stop.store(true, SeqCst);
    sleep(2 * SECOND);

    let shown = shown.lock().map(|shown| shown.clone()).unwrap_or_default();
    let seconds = record.now().as_secs_f64();
    record.line(&format!(
        "{} puts acknowledged in {seconds:.1} s, {} without a clear answer; {} values shown",
        done.load(SeqCst),
        unclear.load(SeqCst),
        shown.len()
    ));
    if done.load(SeqCst) < 300 || answered.is_none() || !shown.contains_key(&mine) {
        return could_not("too little was put or shown to judge");
    }
    let mut twice = 0;
    for (value, under) in shown.iter().filter(|(_, under)| under.len() > 1) {
        twice += 1;
        record.line(&format!("value {} is shown under {under:?}", short(value)));
    }
    drop(fleet);
    if twice > 0 { End::Broken } else { End::Held }
}

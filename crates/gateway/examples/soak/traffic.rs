//! Servers, clients, callers and the operator: threads that go on whatever happens.

use crate::history::{Class, History};
use fallgap_test_support::gateway::{Beating, Client, Does, Got, Notice, Server, call, get, ok, status};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

/// A client gives up on a connection without an answer after that.
const PATIENCE: Duration = Duration::from_secs(5);
const BEAT: Duration = Duration::from_millis(300);
const HOLD: Duration = Duration::from_millis(900);
pub const HOST: &str = "h.example";

/// What all threads share.
#[derive(Clone)]
pub struct Shared {
    pub seed: u64,
    pub history: Arc<History>,
    pub ends: Arc<AtomicBool>,
    pub fronts: Arc<Vec<SocketAddr>>,
    pub controls: Arc<Vec<SocketAddr>>,
}

impl Shared {
    fn rng(&self, of: u64) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.seed ^ of.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    fn goes_on(&self) -> bool {
        !self.ends.load(Relaxed)
    }

    fn control(&self, rng: &mut fastrand::Rng) -> SocketAddr {
        self.controls[rng.usize(..self.controls.len())]
    }
}

/// An operator's configuration with customers and a route of each class.
pub fn configuration(edition: u64) -> String {
    format!(
        r#"{{"edition":{edition},
"routes":{{"fields":["name","depot","lane_prefix","route_class","timeout_s","target_s","priority","attempts","service"],
"entries":[["r1","{HOST}","/safe/","safe",2,0.25,0,2,"s"],["r2","{HOST}","/fragile/","fragile",2,0.3,1,2,"s"],["r3","{HOST}","/order/","registered",2,0.3,1,2,"s"]]}},
"services":{{"fields":["name","health_path","line_cap"],"entries":[["s","/health",256]]}},
"limits":{{"header_bytes":16384,"body_bytes":1048576,"header_s":3,"idle_s":15}},
"customers":{{"fields":["name","stamps","priority","rate_per_s","burst"],"entries":[["ann",["a-1"],1,null,null],["bob",["b-1"],1,2000,2000]]}}}}"#
    )
}

/// A server that beats, and troubles some of its answers. Another one takes its place when it is dropped.
pub fn serve(shared: &Shared, id: String) -> (Server, Beating) {
    let (history, seed) = (shared.history.clone(), shared.seed);
    let server = Server::start(&id, move |got| answer(&history, seed, got));
    let notice = Notice::of(&server, "s", "a", 64);
    let beating = Beating::start(notice, shared.controls.to_vec(), BEAT);
    (server, beating)
}

fn answer(history: &History, seed: u64, got: &Got) -> Does {
    let path = got.lines.first().and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
    let Some(class) = Class::of_path(path) else {
        return Does::Sends(status(got, 200, "X-Server-Id: s\r\n"));
    };
    let drawn =
        got.id().bytes().fold(seed, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    let drawn = fastrand::Rng::with_seed(drawn).u8(..100);
    if drawn < 3 {
        return Does::Sends(status(got, 503, "X-Not-Run: 1\r\n"));
    }
    history.runs(got.id(), class, got.line("X-Idempotency-Key"));
    let whole = ok(got, &format!("ran {}", got.id()));
    match drawn {
        3..=4 => Does::SendsAndCloses(String::new()),
        5 => Does::Hangs,
        6 => Does::SendsAndHangs(whole[..whole.len() / 2].to_owned()),
        7 => Does::SendsAndCloses("no answer at all\r\n\r\n".to_owned()),
        8..=9 => Does::SendsAndCloses(whole),
        10 => Does::Sends(format!("{whole}and more")),
        _ => Does::Sends(whole),
    }
}

/// A client that uses its connection until it breaks, and repeats its orders.
pub fn client(shared: Shared, number: u64) -> JoinHandle<()> {
    spawn(move || {
        let mut rng = shared.rng(number + 1);
        let mut open: Option<Client> = None;
        for count in 0_u64.. {
            if !shared.goes_on() {
                return;
            }
            let class = Class::ALL[rng.usize(..Class::ALL.len())];
            let operation = (class == Class::Registered).then(|| format!("o-{number}-{count}"));
            let tries = if class == Class::Registered { rng.u8(1..4) } else { 1 };
            for attempt in 0..tries {
                let id = format!("{number}-{count}-{attempt}");
                if rng.u8(..20) == 0 {
                    open = None;
                }
                let front = shared.fronts[rng.usize(..shared.fronts.len())];
                let Some(mut with) = open.take().or_else(|| Client::connect(front, PATIENCE).ok()) else {
                    continue;
                };
                let key = if rng.bool() { "a-1" } else { "b-1" };
                let customer = if operation.is_some() { "a-1" } else { key };
                let named = operation
                    .as_ref()
                    .map(|name| format!("X-Idempotency-Key: {name}\r\n"))
                    .unwrap_or_default();
                let lines = format!("X-Credential: {customer}\r\n{named}X-Deadline-Ms");
                let request =
                    get(&format!("{}{number}", class.prefix()), &id).replace("X-Deadline-Ms", &lines);
                match with.try_ask(&request) {
                    Some(reply) => {
                        shared.history.answered(&id, operation.as_deref(), reply.status, &reply.text());
                        let closes = reply.line("connection").is_some_and(|line| line == "close");
                        open = (!closes).then_some(with);
                    }
                    None => shared.history.count("broken off"),
                }
            }
        }
    })
}

/// One call, made again elsewhere until it is answered clearly, or for that long.
fn clear(shared: &Shared, rng: &mut fastrand::Rng, path: &str, body: &str) -> Option<(u16, String)> {
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until && shared.goes_on() {
        let reply = call(shared.control(rng), "POST", path, body);
        if let Some(reply) = reply.filter(|reply| reply.status < 500) {
            return Some((reply.status, reply.text()));
        }
    }
    None
}

fn figure(text: &str, name: &str) -> Option<u64> {
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    rest.split(|sign: char| !sign.is_ascii_digit()).next()?.parse().ok()
}

/// An application: puts, numbers, a lock.
pub fn caller(shared: Shared, number: u64) -> JoinHandle<()> {
    spawn(move || {
        let mut rng = shared.rng(1000 + number);
        for count in 0_u64.. {
            if !shared.goes_on() {
                return;
            }
            match rng.u8(..3) {
                0 => put(&shared, &mut rng, number, count),
                1 => {
                    let before = shared.history.highest_number();
                    let told = clear(&shared, &mut rng, "/-/numbers/n", "{}");
                    let value = told.and_then(|(_, text)| figure(&text, "value"));
                    value.into_iter().for_each(|value| shared.history.number(before, value));
                }
                _ => lock(&shared, &mut rng, number),
            }
        }
    })
}

fn put(shared: &Shared, rng: &mut fastrand::Rng, number: u64, count: u64) {
    let value = format!("v-{number}-{count}-{}", "x".repeat(rng.usize(..400)));
    let cell = rng.u8(..4);
    let told = clear(shared, rng, &format!("/-/cells/g.{cell}/put"), &format!("{{\"value\":\"{value}\"}}"));
    if let Some(revision) =
        told.filter(|(status, _)| *status == 200).and_then(|(_, text)| figure(&text, "revision"))
    {
        shared.history.put("g.", &value, revision);
    }
}

fn lock(shared: &Shared, rng: &mut fastrand::Rng, number: u64) {
    let (holder, sent) = (format!("h-{number}"), Instant::now());
    let body = format!("{{\"holder\":\"{holder}\",\"hold_s_time\":{}}}", HOLD.as_secs_f64());
    let Some(reply) = call(shared.control(rng), "POST", "/-/locks/l/start", &body) else { return };
    let Some(fence) =
        Some(reply).filter(|reply| reply.status == 200).and_then(|reply| figure(&reply.text(), "fence"))
    else {
        return;
    };
    if sent.elapsed() >= HOLD {
        return;
    }
    shared.history.locked(&holder, fence, sent, HOLD);
    if rng.bool() {
        shared.history.unlocks(&holder);
        let body = format!("{{\"holder\":\"{holder}\",\"fence\":{fence}}}");
        call(shared.control(rng), "POST", "/-/locks/l/end", &body);
    }
}

/// The operator: one edition after the other.
pub fn operator(shared: Shared) -> JoinHandle<()> {
    spawn(move || {
        let mut rng = shared.rng(5000);
        for edition in 2.. {
            if !shared.goes_on() {
                return;
            }
            let told = clear(&shared, &mut rng, "/-/config/put", &configuration(edition));
            if told.is_some_and(|(status, _)| status == 200) {
                shared.history.edition(edition);
            }
        }
    })
}

//! A quay on loopback sockets, with scripted servers behind it.
#![allow(dead_code)]

use fallgap_config::{Berth, Configuration, Limits, Route, RouteClass, Service, View};
use fallgap_proxy::{PeerMessage, Quay, Terms};
use fallgap_routing::ViewTimes;
pub use fallgap_test_support::gateway::{Client, Does, Reply, Server, get, ok};
use mio::{Events, Poll, Token, Waker};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

const LOOPBACK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
/// Longer than any test here.
const LONG: Duration = Duration::from_secs(3600);
const WAKER: Token = Token(0);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Looks until it is so, for ten seconds.
#[track_caller]
pub fn until(so: impl Fn() -> bool) {
    let start = Instant::now();
    while !so() {
        assert!(start.elapsed() < Duration::from_secs(10), "it does not come about");
        std::thread::yield_now();
    }
}

type Order = Box<dyn FnOnce(&mut Quay, Duration) + Send>;

/// What members of the control state, other supervisors and homes of quotas do with what they are told.
pub type Others = Box<dyn FnMut(&mut Quay, Duration, PeerMessage) + Send>;

/// A quay in a thread of its own.
pub struct World {
    pub front: SocketAddr,
    orders: Option<Sender<Order>>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

impl World {
    pub fn new(terms: Terms) -> World {
        World::among(terms, Box::new(|_, _, _| ()))
    }

    pub fn among(terms: Terms, mut others: Others) -> World {
        let poll = Poll::new().unwrap();
        let waker = Arc::new(Waker::new(poll.registry(), WAKER).unwrap());
        let quay = Quay::open(poll.registry(), 1..10_000, LOOPBACK, "here".into(), 1, terms).unwrap();
        let front = quay.front().unwrap();
        let (orders, taken) = channel::<Order>();
        let thread = spawn(move || {
            let (mut poll, mut quay, start) = (poll, quay, Instant::now());
            let mut events = Events::with_capacity(64);
            loop {
                let wait = quay.next_wake().map(|at| at.saturating_sub(start.elapsed()));
                let wait = wait.map(|wait| if wait.is_zero() { wait } else { wait + ms(1) });
                poll.poll(&mut events, wait).unwrap();
                for event in events.iter().filter(|event| event.token() != WAKER) {
                    quay.event(start.elapsed(), event);
                }
                quay.woke(start.elapsed());
                quay.work(start.elapsed(), |_| ());
                for message in quay.peer_messages(start.elapsed()) {
                    others(&mut quay, start.elapsed(), message);
                }
                loop {
                    match taken.try_recv() {
                        Ok(order) => order(&mut quay, start.elapsed()),
                        Err(std::sync::mpsc::TryRecvError::Empty) => break,
                        Err(std::sync::mpsc::TryRecvError::Disconnected) => return,
                    }
                }
            }
        });
        World { front, orders: Some(orders), waker, thread: Some(thread) }
    }

    /// A quay with one route for each class to service `s`.
    pub fn with(servers: &[&Server]) -> World {
        let world = World::new(Terms::default());
        world.view(servers);
        world
    }

    /// A view that a home goes on confirming.
    pub fn view(&self, servers: &[&Server]) {
        self.view_of(configuration(), servers);
    }

    pub fn view_of(&self, configuration: Configuration, servers: &[&Server]) {
        let view = Arc::new(View {
            configuration: Arc::new(configuration),
            berths: servers.iter().map(|server| berth(server)).collect(),
        });
        self.ask(move |quay, now| {
            let until = now + LONG;
            let known = ViewTimes { confirmed: Some(until), known: until, committed: None, is_reached: true };
            quay.view_times(known);
            quay.view(now, view);
        });
    }

    pub fn ask<T: Send + 'static>(&self, order: impl FnOnce(&mut Quay, Duration) -> T + Send + 'static) -> T {
        let (back, answer) = channel();
        let order: Order = Box::new(move |quay, now| back.send(order(quay, now)).unwrap());
        self.orders.as_ref().unwrap().send(order).unwrap();
        self.waker.wake().unwrap();
        answer.recv_timeout(Duration::from_secs(10)).unwrap()
    }

    pub fn client(&self) -> Client {
        Client::connect(self.front, Duration::from_secs(10)).unwrap()
    }

    /// One request on a new connection.
    pub fn get(&self, path: &str, id: &str) -> Reply {
        self.client().ask(&get(path, id))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        drop(self.orders.take());
        // A thread that is held up would not end.
        if std::thread::panicking() {
            return;
        }
        self.waker.wake().unwrap();
        self.thread.take().unwrap().join().unwrap();
    }
}

pub fn configuration() -> Configuration {
    let route = |prefix: &str, class| Route {
        name: prefix.into(),
        depot: "h.example".into(),
        lane_prefix: prefix.into(),
        class,
        timeout: ms(2000),
        target: ms(200),
        priority: 1,
        sorting: vec![("s".into(), 1.0)],
        attempts: 2,
        is_open: false,
    };
    let routes = vec![
        route("/fragile/", RouteClass::Fragile),
        route("/outbound/", RouteClass::Outbound),
        route("/registered/", RouteClass::Registered),
        route("/safe/", RouteClass::Safe),
    ];
    let services =
        vec![Service { name: "s".into(), health_path: "/health".into(), line_cap: 64, dedupes: false }];
    let limits = Limits { header_bytes: 16 << 10, body_bytes: 64 << 20, header: ms(300), idle: ms(15_000) };
    Configuration { edition: 1, routes, services, limits, customers: None, licences: None }
}

pub fn berth(server: &Server) -> Berth {
    let (id, service, zone) = (server.id.as_str().into(), "s".into(), "here".into());
    Berth { id, service, address: server.address, zone, slots: 3, weight: 1.0 }
}

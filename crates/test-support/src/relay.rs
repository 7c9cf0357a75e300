//! The relay: takes calls of orders, keeps tables, and tells the news. What it does with the next calls can
//! be set, so that every way a call may end can be met.

use crate::http::Listener;
use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Payload, Request, Response};
use futures_util::StreamExt;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Taken,
    /// The connection breaks, and nothing was carried out.
    BrokenBefore,
    /// The connection breaks after all was carried out.
    BrokenAfter,
    /// Carried out, and the answer cannot be read.
    Garbled,
    /// Carried out, and nothing is answered.
    Silent,
    /// The run has not begun.
    TooSoon,
}

/// By table and op type.
type Levels = BTreeMap<(u64, String), (f64, u64)>;

/// Calls that are kept; of more, the newest.
const MOST_CALLS: usize = 20_000;

#[derive(Default)]
pub struct Relay {
    pub fates: RefCell<VecDeque<Fate>>,
    /// The calls that came, as they came.
    pub calls: RefCell<Vec<Value>>,
    /// Each table's lines.
    pub tables: Rc<RefCell<BTreeMap<u64, BTreeMap<String, f64>>>>,
    /// By table and op type: what is let in, and the way of trying again.
    pub levels: Rc<RefCell<Levels>>,
    /// Servers that are shut out of all tables.
    pub out: Rc<RefCell<BTreeSet<String>>>,
    /// Each joined proxy's entry, and the table each is bound to.
    joined: Rc<RefCell<BTreeMap<u64, Value>>>,
    pub bound: Rc<RefCell<BTreeMap<u64, u64>>>,
    watchers: RefCell<Vec<(mpsc::UnboundedSender<String>, Rc<Notify>)>>,
    pub opened: Cell<u64>,
    /// Told whenever something was carried out, a watch was opened, or news was told.
    pub moved: Notify,
}

impl Relay {
    /// The same relay at another address: what it keeps is one, calls and streams are each address's own.
    pub fn elsewhere(&self) -> Relay {
        let (tables, joined, bound) = (self.tables.clone(), self.joined.clone(), self.bound.clone());
        let (levels, out) = (self.levels.clone(), self.out.clone());
        Relay { tables, levels, out, joined, bound, ..Relay::default() }
    }

    pub fn join(&self, proxy: u64, zone: &str, usual: f64, fresh: bool) {
        let object = json!({ "proxy": proxy, "zone": zone, "weight": usual, "fresh": fresh });
        self.tell(&json!({ "type": "joined", "object": object }));
        self.joined.borrow_mut().insert(proxy, object);
    }

    /// `told`: watchers hear of it.
    pub fn leave(&self, proxy: u64, told: bool) {
        self.joined.borrow_mut().remove(&proxy);
        self.bound.borrow_mut().remove(&proxy);
        if told {
            self.tell(&json!({ "type": "left", "object": { "proxy": proxy } }));
        }
    }

    fn tell(&self, news: &Value) {
        self.tell_text(&format!("{news}\n"));
    }

    /// Writes this to every watcher, in whatever pieces.
    pub fn tell_text(&self, text: &str) {
        self.watchers.borrow_mut().retain(|(watcher, _)| watcher.send(text.to_owned()).is_ok());
        self.moved.notify_waiters();
    }

    /// How many streams of news are open.
    pub fn watching(&self) -> usize {
        self.watchers.borrow().iter().filter(|(watcher, _)| !watcher.is_closed()).count()
    }

    /// Breaks every stream of news off.
    pub fn break_news(&self) {
        self.watchers.borrow_mut().drain(..).for_each(|(_, breaker)| breaker.notify_one());
    }

    /// Waits until something holds that the relay can see.
    pub async fn until(&self, holds: impl Fn(&Relay) -> bool) {
        loop {
            let moved = self.moved.notified();
            if holds(self) {
                return;
            }
            moved.await;
        }
    }

    pub async fn serve(self: Rc<Self>, listener: Listener) {
        let alive = self.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_secs(1)).await;
                alive.tell_text("{}\n");
            }
        });
        let serve = move |request, payload, breaker| self.clone().answer(request, payload, breaker);
        listener.serve(serve).await;
    }

    async fn answer(
        self: Rc<Self>, request: Request, payload: Payload, breaker: Rc<Notify>,
    ) -> Response<BoxBody> {
        if request.path() == "/v3/kv/watch" {
            return self.watch(breaker);
        }
        let call = serde_json::from_slice::<Value>(&body(payload).await).unwrap_or_default();
        let fate = self.fates.borrow_mut().pop_front().unwrap_or(Fate::Taken);
        let orders = call["orders"].as_array().cloned();
        self.keep(call);
        let Some(orders) = orders else { return say(&json!({ "error": "malformed" })) };
        let mut taken = 0;
        if !matches!(fate, Fate::BrokenBefore | Fate::TooSoon) {
            taken = self.carry_out(&orders);
        }
        self.moved.notify_waiters();
        match fate {
            Fate::Taken => return say(&json!({ "accepted": taken })),
            Fate::TooSoon => return say(&json!({ "error": "limit" })),
            Fate::Garbled => return Response::ok().set_body("{\"accep").map_into_boxed_body(),
            Fate::BrokenBefore | Fate::BrokenAfter => breaker.notify_one(),
            Fate::Silent => {}
        }
        std::future::pending().await
    }

    fn keep(&self, call: Value) {
        let mut calls = self.calls.borrow_mut();
        if calls.len() >= MOST_CALLS {
            calls.drain(..MOST_CALLS / 2);
        }
        calls.push(call);
    }

    /// Carries out orders up to the first that cannot be used; tells how many were taken.
    fn carry_out(&self, orders: &[Value]) -> usize {
        let mut reached = BTreeSet::new();
        let mut stamp = None;
        let taken = orders.iter().take_while(|order| self.carry_one(order, &mut reached, &mut stamp)).count();
        for proxy in reached.iter().filter(|_| stamp.is_some()) {
            let object = json!({ "proxy": proxy, "mark": stamp, "took_ms": 1.0 });
            self.tell(&json!({ "type": "applied", "object": object }));
        }
        taken
    }

    fn carry_one(&self, order: &Value, reached: &mut BTreeSet<u64>, stamp: &mut Option<u64>) -> bool {
        let (mut tables, mut bound) = (self.tables.borrow_mut(), self.bound.borrow_mut());
        let group = order["group"].as_u64();
        match order["do"].as_str().unwrap_or("") {
            "SET" => {
                let line = (group, order["server"].as_str(), order["weight"].as_f64());
                let (Some(group), Some(server), Some(part)) = line else { return false };
                let lines = tables.entry(group).or_default();
                lines.insert(server.to_owned(), part);
                lines.retain(|_, part| *part > 0.0);
            }
            "DEL" => {
                group.and_then(|group| tables.remove(&group));
                self.levels.borrow_mut().retain(|(of, _), _| Some(*of) != group);
            }
            "LIMIT" => {
                let level = (group, order["admit"].as_f64(), order["policy"].as_u64());
                let (Some(group), Some(admit), Some(policy)) = level else { return false };
                for op_type in order["routes"].as_array().into_iter().flatten().filter_map(Value::as_str) {
                    self.levels.borrow_mut().insert((group, op_type.to_owned()), (admit, policy));
                }
            }
            "OUT" | "IN" => {
                let Some(server) = order["server"].as_str() else { return false };
                let mut out = self.out.borrow_mut();
                if order["do"] == "OUT" {
                    out.insert(server.to_owned())
                } else {
                    out.remove(server)
                };
            }
            "USE" => match (order["proxy"].as_u64(), group) {
                (Some(proxy), Some(group)) if self.joined.borrow().contains_key(&proxy) => {
                    bound.insert(proxy, group);
                }
                _ => return false,
            },
            "SYNC" => *stamp = order["nonce_out"].as_u64(),
            _ => return false,
        }
        reached.extend(bound.iter().filter(|(_, g)| Some(**g) == group).map(|(proxy, _)| *proxy));
        true
    }

    fn watch(&self, breaker: Rc<Notify>) -> Response<BoxBody> {
        let (sender, mut lines) = mpsc::unbounded_channel();
        for object in self.joined.borrow().values() {
            // The receiver is held below.
            let _ = sender.send(format!("{}\n", json!({ "type": "joined", "object": object })));
        }
        let _ = sender.send("{}\n".to_owned());
        self.watchers.borrow_mut().push((sender, breaker));
        self.opened.set(self.opened.get() + 1);
        self.moved.notify_waiters();
        let lines = futures_util::stream::poll_fn(move |cx| {
            lines.poll_recv(cx).map(|line| line.map(|line| Ok::<_, Infallible>(line.into())))
        });
        Response::ok().set_body(BodyStream::new(lines)).map_into_boxed_body()
    }
}

fn say(answer: &Value) -> Response<BoxBody> {
    Response::ok().set_body(answer.to_string()).map_into_boxed_body()
}

async fn body(mut payload: Payload) -> Vec<u8> {
    let mut body = Vec::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    body
}

//! The wire's events as calls, and orders as the wire's actions.

use fallgap::{Came, Director, Host, ListNews, Listed, Load, Met, Probed, Retry, Settings};
use fallgap_deployment::{self as deployment, duration, level_number, read_note, retry_number, write_note};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is wrong with a line, in plain words.
#[derive(Debug)]
pub struct WireError(pub String);

/// A [`Host`] that gathers one instance's orders until the reply is written.
pub struct Orders {
    instance: String,
    fields: Vec<String>,
    sized: bool,
    orders: Vec<Value>,
}

impl Orders {
    fn new(instance: &str, fields: Vec<String>, sized: bool) -> Self {
        Orders { instance: instance.to_owned(), fields, sized, orders: Vec::new() }
    }

    pub fn drain_into(&mut self, all: &mut Vec<Value>) {
        all.append(&mut self.orders);
    }

    fn order(&mut self, kind: &str, fields: Value) {
        let mut order = Map::new();
        order.insert("op".into(), kind.into());
        order.insert("i".into(), self.instance.clone().into());
        if let Value::Object(fields) = fields {
            order.extend(fields);
        }
        self.orders.push(Value::Object(order));
    }
}

impl Host for Orders {
    fn set_line(&mut self, table: u32, server: &str, part: f64) {
        self.order("assign", json!({ "route_table": table, "server": server, "size": part }));
    }
    fn clear_table(&mut self, table: u32) {
        self.order("reset_table", json!({ "route_table": table }));
    }
    fn bind(&mut self, proxy: u32, table: u32) {
        self.order("attach_table", json!({ "route_table": table, "class_bits": 0, "sidecar": proxy }));
    }
    fn withdraw(&mut self, server: &str, out: bool) {
        self.order("mask", json!({ "server": server, "active": out }));
    }
    fn admit(&mut self, table: u32, op_type: usize, level: f64, retry: Retry) {
        let (bits, amount, resend) = (1u64 << op_type, level_number(level), retry_number(retry));
        self.order(
            "throttle",
            json!({ "route_table": table, "class_bits": bits, "amount": amount, "resend": resend }),
        );
    }
    fn ask_answer(&mut self, stamp: u16) {
        self.order("stamp", json!({ "epoch": stamp, "active": false }));
    }
    fn wake_at(&mut self, at: Duration, cookie: u64) {
        self.order("timer", json!({ "at": at.as_secs_f64() * 1e3, "cookie": cookie }));
    }
    fn probe(&mut self, server: &str) {
        self.order("health_check", json!({ "server": server }));
    }
    fn tell_peers(&mut self, demand: &[f64]) {
        let octets: String = write_note(demand).iter().map(|b| format!("{b:02x}")).collect();
        self.order("notify", json!({ "dst": "all", "octets": octets }));
    }
    fn follow_list(&mut self) {
        self.order("track", json!({ "active": true }));
    }
    fn fetch_list(&mut self) {
        self.order("read_list", json!({}));
    }
    fn log(&mut self, line: &str) {
        self.order("note_down", json!({ "text": line }));
    }
}

/// Tells an instance one event. Returns a remark if the event was odd and has been skipped.
pub fn tell(
    instances: &mut BTreeMap<String, Director<Orders>>, name: &str, event: &Value, now: Duration,
    orders: &mut Vec<Value>,
) -> Result<Option<String>, WireError> {
    let kind = kind(event);
    if kind == "start" {
        let settings = event.get("conf").filter(|c| c.is_object());
        let settings = settings.ok_or_else(|| WireError("no object \"conf\"".into()))?;
        let seed = event.get("rng_seed").and_then(Value::as_u64).unwrap_or(0);
        let host = Orders::new(name, deployment::load_fields(settings), deployment::sized(settings));
        let set = Settings {
            op_types: deployment::op_types(settings),
            habits: deployment::habits(settings),
            channel: deployment::channel(settings),
            cold: deployment::cold_terms(settings),
            reporting: deployment::reporting(settings),
            aims: deployment::aims(settings),
            peers: deployment::peers(settings),
        };
        let director = Director::start(now, seed, host, set, deployment::ask_for_list(settings));
        instances.insert(name.to_owned(), director);
        return Ok(None);
    }
    if kind == "halt" {
        if let Some(mut stopped) = instances.remove(name) {
            stopped.host.drain_into(orders);
        }
        return Ok(None);
    }
    let Some(director) = instances.get_mut(name) else {
        return Err(WireError("this instance was never started".into()));
    };
    match kind {
        "directory_update" => {
            let news = match text(event, "scope")? {
                "failed" => {
                    director.list_failed(now);
                    return Ok(None);
                }
                "full" => ListNews::Whole,
                "cached" => ListNews::Remembered,
                _ => ListNews::Changes,
            };
            let rows = event.get("rows_in").and_then(Value::as_array).map_or(&[][..], |r| r);
            let entries =
                rows.iter().map(|row| listed(row, director.host.sized)).collect::<Result<Vec<_>, _>>()?;
            director.list_changed(now, news, entries);
        }
        "wake" => director.woke(now, whole(event, "cookie")),
        "checked" => {
            let result = match whole(event, "verdict") {
                1 => Probed::Answered,
                2 => Probed::TurnedAway,
                _ => Probed::Failed,
            };
            director.probe_answered(now, text(event, "server")?, result, load(event, &director.host.fields));
        }
        "datagram" => match demand(text(event, "octets")?) {
            Some(demand) => director.peer_told(now, whole(event, "by") as u32, demand),
            None => return Ok(Some("skipped a note that is none of ours".into())),
        },
        "connected" => {
            let (zone, usual) = (whole(event, "locality") as usize, number(event, "size"));
            let fresh = event.get("active").and_then(Value::as_bool).unwrap_or(false);
            director.proxy_joined(now, proxy(event)?, zone, usual, fresh);
        }
        "detached" => director.proxy_left(now, proxy(event)?),
        "traffic_report" => {
            let met = Met {
                total: number(event, "total"),
                aborted: number(event, "failed"),
                good_ms: number(event, "delay_seen"),
                span: span(event, "span"),
            };
            director.server_met(now, text(event, "server")?, met, load(event, &director.host.fields));
        }
        "traffic" => {
            let (total, aborted) = (number(event, "total"), number(event, "failed"));
            let came = Came { total, aborted, span: span(event, "span") };
            director.ops_came(now, proxy(event)?, whole(event, "class") as usize, came);
        }
        "caught_up" => match u16::try_from(whole(event, "epoch")) {
            Ok(stamp) => director.update_answered(now, proxy(event)?, stamp),
            Err(_) => return Ok(Some("skipped an answer whose stamp was never sent".into())),
        },
        // Sites with slices are not served: there is nothing to tell the decisions.
        "heat" | "given" | "stored_line" => {}
        other => return Ok(Some(format!("skipped an unknown event {other:?}"))),
    }
    Ok(None)
}

pub fn kind(event: &Value) -> &str {
    event.get("op").and_then(Value::as_str).unwrap_or("")
}

pub fn clock(batch: &Value) -> Result<Duration, WireError> {
    let ms = batch.get("sim_time").and_then(Value::as_f64);
    ms.and_then(duration).ok_or_else(|| WireError("no clock in \"sim_time\"".into()))
}

pub fn text<'a>(event: &'a Value, key: &str) -> Result<&'a str, WireError> {
    event.get(key).and_then(Value::as_str).ok_or_else(|| WireError(format!("no text {key:?}")))
}

fn number(event: &Value, key: &str) -> f64 {
    event.get(key).and_then(Value::as_f64).unwrap_or(0.0)
}

fn whole(event: &Value, key: &str) -> u64 {
    event.get(key).and_then(Value::as_u64).unwrap_or(0)
}

fn span(event: &Value, key: &str) -> Duration {
    duration(number(event, key)).unwrap_or_default()
}

/// A load report: a row of figures, in the order of the settings' field names.
fn load(event: &Value, fields: &[String]) -> Option<Load> {
    let figures = event.get("load").and_then(Value::as_array).filter(|l| !l.is_empty())?;
    let figure = |name: &str| fields.iter().position(|f| f == name).and_then(|i| figures.get(i)?.as_f64());
    Some(deployment::load(figure))
}

fn proxy(event: &Value) -> Result<u32, WireError> {
    let number = whole(event, "sidecar");
    u32::try_from(number).map_err(|_| WireError(format!("no proxy has the number {number}")))
}

/// A peer's demand: what [`Orders::tell_peers`] wrote, in hex digits.
fn demand(digits: &str) -> Option<Vec<f64>> {
    let byte = |i: usize| digits.get(2 * i..2 * i + 2).and_then(|d| u8::from_str_radix(d, 16).ok());
    read_note(&(0..digits.len() / 2).map(byte).collect::<Option<Vec<u8>>>()?)
}

/// A list entry; `sized`: its size is the server's own, not one that moves with its load.
fn listed(row: &Value, sized: bool) -> Result<Listed, WireError> {
    Ok(Listed {
        server: text(row, "server")?.to_owned(),
        zone: whole(row, "locality") as usize,
        size: row.get("size").and_then(Value::as_f64).filter(|_| sized),
        state: deployment::server_state(row.get("mode").and_then(Value::as_str).unwrap_or("ready")),
        started: deployment::started(number(row, "since")),
    })
}

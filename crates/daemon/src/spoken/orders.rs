//! Calls of orders to the relay: encoding, the answer, and carrying one call until it is settled.

use crate::kept::calls::{Next, Outcome, Unsettled};
use crate::kept::desk::Desk;
use crate::kept::names::Names;
use awc::error::{ConnectError, SendRequestError};
use fallgap::Order;
use fallgap_deployment::{level_number, retry_number};
use serde::Serialize;
use serde_json::Value;
use tokio::time::timeout;

#[derive(Serialize)]
struct Call<'a> {
    orders: Vec<Spoken<'a>>,
}

#[derive(Default, Serialize)]
struct Spoken<'a> {
    #[serde(rename = "do")]
    what: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    proxy: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    group: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    server: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    weight: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    routes: Option<[&'a str; 1]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    admit: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    policy: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    nonce_out: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    on: Option<u8>,
}

fn spoken<'a>(order: &'a Order, names: &'a Names) -> Spoken<'a> {
    let say = Spoken::default();
    match order {
        Order::Line { table, server, part } => {
            Spoken { what: "SET", group: Some(*table), server: Some(server), weight: Some(*part), ..say }
        }
        Order::Clear { table } => Spoken { what: "DEL", group: Some(*table), ..say },
        Order::Bind { proxy, table } => {
            Spoken { what: "USE", proxy: Some(*proxy), group: Some(*table), ..say }
        }
        Order::Withdraw { server, out } => {
            Spoken { what: if *out { "OUT" } else { "IN" }, server: Some(server), ..say }
        }
        Order::Admit { table, op_type, level, retry } => Spoken {
            what: "LIMIT",
            group: Some(*table),
            routes: names.op_types.get(*op_type).map(|name| [name.as_str()]),
            admit: Some(level_number(*level)),
            policy: Some(retry_number(*retry)),
            ..say
        },
        Order::Ask { stamp } => Spoken { what: "SYNC", nonce_out: Some(*stamp), on: Some(0), ..say },
    }
}

/// At least what an order takes up when it is encoded.
pub fn size(order: &Order, names: &Names) -> usize {
    let name = match order {
        Order::Line { server, .. } | Order::Withdraw { server, .. } => server.len(),
        Order::Admit { op_type, .. } => names.op_types.get(*op_type).map_or(0, String::len),
        _ => 0,
    };
    120 + name
}

fn encode(orders: &[Order], names: &Names) -> Vec<u8> {
    let orders = orders.iter().map(|order| spoken(order, names)).collect();
    serde_json::to_vec(&Call { orders }).unwrap_or_default()
}

fn decode(body: &[u8]) -> Outcome {
    let Ok(answer) = serde_json::from_slice::<Value>(body) else { return Outcome::Uncertain };
    match (answer["accepted"].as_u64(), answer["error"].as_str()) {
        (Some(n), _) => Outcome::Taken(usize::try_from(n).unwrap_or(usize::MAX)),
        (_, Some("limit")) => Outcome::TooSoon,
        (_, Some("malformed")) => Outcome::Malformed,
        _ => Outcome::Uncertain,
    }
}

/// Sends a call until it is settled, each try to where the links lead then: a move loses no call and lets
/// none overtake another. Each try after a failed one goes over a new connection, since the
/// failed one's is let go of.
pub async fn carry(desk: &Desk, orders: Vec<Order>) {
    let limits = &desk.limits;
    let mut call = Unsettled::new(orders);
    let counters = &desk.counters;
    let since = desk.clock.now();
    loop {
        counters.one("calls_sent");
        counters.add("orders_sent", call.orders.len());
        let body = encode(&call.orders, &desk.names);
        let links = desk.links.now();
        let url = format!("http://{}/v3/kv/txn", links.to.relay);
        let answer = async {
            let request = links.client.post(&url).insert_header(("content-type", "application/json"));
            match request.send_body(body).await {
                Ok(mut response) => {
                    let body = response.body().limit(limits.reply).await;
                    body.map_or(Outcome::Uncertain, |body| decode(&body))
                }
                Err(why) => unanswered(&why),
            }
        };
        let outcome = timeout(limits.answer, answer).await.unwrap_or(Outcome::Uncertain);
        counters.one(match &outcome {
            Outcome::Taken(n) if *n < call.orders.len() => "calls_taken_in_part",
            Outcome::Taken(n) if *n == call.orders.len() => "calls_taken",
            Outcome::TooSoon => "calls_too_soon",
            Outcome::Malformed => "calls_malformed",
            Outcome::Unsent => "calls_unsent",
            Outcome::Uncertain | Outcome::Taken(_) => "calls_uncertain",
        });
        match call.after(&outcome, limits) {
            Next::Settled if outcome == Outcome::Malformed => {
                tracing::error!("the relay calls {} orders malformed; they are lost", call.orders.len());
                break;
            }
            Next::Settled => break,
            Next::Again(pause) => tokio::time::sleep(pause).await,
        }
    }
    let took = desk.clock.now().saturating_sub(since);
    counters.most("calls_longest_ms", took.as_millis() as usize);
}

fn unanswered(why: &SendRequestError) -> Outcome {
    match why {
        SendRequestError::Connect(ConnectError::Io(_) | ConnectError::Timeout) => Outcome::Unsent,
        _ => Outcome::Uncertain,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fallgap::Retry;

    fn names() -> Names {
        let op_types = vec!["lookup".to_owned(), "box-move".to_owned()];
        Names { zones: vec![], op_types, load_fields: vec![], sized: true, proxies: 9 }
    }

    #[test]
    fn orders_are_spoken_as_the_relay_reads_them() {
        let server = || "s-1".to_owned();
        let told = [
            (
                Order::Line { table: 4, server: server(), part: 1.5 },
                r#"{"do":"SET","group":4,"server":"s-1","weight":1.5}"#,
            ),
            (Order::Clear { table: 4 }, r#"{"do":"DEL","group":4}"#),
            (Order::Bind { proxy: 17, table: 4 }, r#"{"do":"USE","proxy":17,"group":4}"#),
            (Order::Withdraw { server: server(), out: true }, r#"{"do":"OUT","server":"s-1"}"#),
            (Order::Withdraw { server: server(), out: false }, r#"{"do":"IN","server":"s-1"}"#),
            (
                Order::Admit { table: 4, op_type: 1, level: f64::INFINITY, retry: Retry::Unsent },
                r#"{"do":"LIMIT","group":4,"routes":["box-move"],"admit":1000000.0,"policy":1}"#,
            ),
            (Order::Ask { stamp: 905 }, r#"{"do":"SYNC","nonce_out":905,"on":0}"#),
        ];
        for (order, text) in &told {
            let encoded = encode(std::slice::from_ref(order), &names());
            assert_eq!(String::from_utf8_lossy(&encoded), format!(r#"{{"orders":[{text}]}}"#));
            assert!(size(order, &names()) > text.len());
        }
    }

    #[test]
    fn answers_are_read_and_the_unreadable_is_uncertain() {
        assert_eq!(decode(br#"{"accepted":2}"#), Outcome::Taken(2));
        assert_eq!(decode(br#"{"error":"limit"}"#), Outcome::TooSoon);
        assert_eq!(decode(br#"{"error":"malformed"}"#), Outcome::Malformed);
        for odd in [&b"{\"accepted\":"[..], b"", b"{}", b"[7]", br#"{"accepted":-1}"#, br#"{"error":"moot"}"#]
        {
            assert_eq!(decode(odd), Outcome::Uncertain);
        }
    }
}

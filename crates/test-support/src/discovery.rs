//! Discovery: a list of servers with a version, told whole or as what changed since.

use crate::http::Listener;
use actix_http::Response;
use actix_http::body::BoxBody;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

#[derive(Default)]
pub struct Discovery {
    /// Each server's entry, and the version that it last changed in.
    rows: RefCell<BTreeMap<String, (u64, Value)>>,
    version: Cell<u64>,
    changed: Notify,
    /// While set, nothing is answered.
    pub silent: Cell<bool>,
    pub calls: Cell<u64>,
}

impl Discovery {
    /// Lists a server in a state: `ready`, `draining` or `gone`.
    pub fn set(&self, server: &str, zone: &str, state: &str, started_ms: u64) {
        self.version.set(self.version.get() + 1);
        let row = json!({ "id": server, "addr": "127.0.0.1:1", "zone": zone, "kind": "toy", "cell": 0,
            "state": state, "weight": 1.0, "started_ms": started_ms });
        self.rows.borrow_mut().insert(server.to_owned(), (self.version.get(), row));
        self.changed.notify_waiters();
    }

    /// The list as one that is asked answers: whole, or what changed after a version.
    pub fn list(&self, after: Option<u64>) -> Value {
        let rows = self.rows.borrow();
        let told = rows.values().filter(|(version, row)| match after {
            Some(after) => *version > after,
            None => row["state"] != "gone",
        });
        let servers: Vec<&Value> = told.map(|(_, row)| row).collect();
        json!({ "version": self.version.get(), "full": after.is_none(), "servers": servers })
    }

    pub async fn serve(self: Rc<Self>, listener: Listener) {
        let serve = move |request: actix_http::Request, _, _| self.clone().answer(request);
        listener.serve(serve).await;
    }

    async fn answer(self: Rc<Self>, request: actix_http::Request) -> Response<BoxBody> {
        self.calls.set(self.calls.get() + 1);
        let query = request.uri().query().unwrap_or("").to_owned();
        let asked = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse::<u64>().ok())
        };
        if let (Some(after), Some(wait)) = (asked("after"), asked("wait_ms"))
            && !self.silent.get()
        {
            let newer = async {
                loop {
                    let changed = self.changed.notified();
                    if self.version.get() > after {
                        break;
                    }
                    changed.await;
                }
            };
            // Nothing newer is an answer too.
            let _ = timeout(Duration::from_millis(wait), newer).await;
        }
        if self.silent.get() {
            std::future::pending::<()>().await;
        }
        Response::ok().set_body(self.list(asked("after")).to_string()).map_into_boxed_body()
    }
}

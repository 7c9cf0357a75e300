//! HTTP/1.1 over a bounded pool of kept connections. Each op is a POST; what it is stands in the header
//! `x-op`: id, try, repeats, op type, key, work in nanoseconds.

use super::Inbox;
use crate::arrivals::{Kind, Op};
use crate::clients::Ended;
use crate::drive::Target;
use crate::engine::{Room, Sends};
use crate::frames::{Request, Tried};
use awc::error::SendRequestError;
use awc::http::{StatusCode, header};
use awc::{Client, Connector};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

pub struct Http {
    client: Client,
    url: String,
    kinds: Vec<Kind>,
    under_way: Rc<Cell<usize>>,
    pool: usize,
    inbox: Inbox,
}

impl Http {
    pub fn open(url: &str, pool: usize, kinds: Vec<Kind>) -> Http {
        let connector = Connector::new().limit(pool).timeout(Duration::from_millis(500));
        let connector =
            connector.conn_keep_alive(Duration::from_secs(30)).conn_lifetime(Duration::from_secs(3600));
        let client = Client::builder().connector(connector).disable_timeout().disable_redirects();
        Http {
            client: client.no_default_headers().finish(),
            url: url.to_owned(),
            kinds,
            under_way: Rc::default(),
            pool,
            inbox: Inbox::default(),
        }
    }
}

/// What the header says of an op.
pub fn described(request: &Request) -> String {
    let Request { id, tries, repeats, kind, key, work } = request;
    format!("{id} {tries} {} {kind} {key} {}", *repeats as u8, work.as_nanos())
}

/// The op that the header describes.
pub fn read(text: &str) -> Option<Request> {
    let mut words = text.split(' ');
    let mut next = || words.next()?.parse::<u64>().ok();
    let (id, tries, repeats) = (next()?, u8::try_from(next()?).ok()?, next()?);
    let repeats = match repeats {
        0 => Tried::Retryable,
        1 => Tried::Deduplicated,
        2 => Tried::OnceOnly,
        _ => return None,
    };
    let kind = u16::try_from(next()?).ok()?;
    Some(Request { id, tries, repeats, kind, key: next()?, work: Duration::from_nanos(next()?) })
}

impl Sends for Http {
    fn send(&mut self, now: Duration, op: &Op, tries: u8) -> Room {
        if self.under_way.get() >= self.pool {
            return Room::Full;
        }
        let Some(kind) = self.kinds.get(usize::from(op.kind)) else { return Room::Nobody };
        let left = (op.at + op.timeout).saturating_sub(now);
        let call = self
            .client
            .post(&self.url)
            .insert_header(("x-op", described(&Request::of(op, tries, kind.repeats))));
        let call = call.insert_header((header::CONTENT_LENGTH, "0")).send();
        let (id, under_way, inbox) = (op.id, self.under_way.clone(), self.inbox.clone());
        under_way.set(under_way.get() + 1);
        actix_rt::spawn(async move {
            let answer = async {
                match call.await {
                    Ok(mut response) => match response.body().limit(1 << 16).await {
                        Ok(_) if response.status().is_success() => Ended::Acked,
                        Ok(_) if turned_away(response.status()) => Ended::Rejected,
                        _ => Ended::Aborted,
                    },
                    Err(SendRequestError::Connect(_)) => Ended::Unsent,
                    Err(_) => Ended::Aborted,
                }
            };
            // Past the op timeout nobody waits for it; its connection is closed with it.
            let ended = tokio::time::timeout(left, answer).await.unwrap_or(Ended::Late);
            under_way.set(under_way.get() - 1);
            inbox.put(id, tries, ended);
        });
        Room::Left
    }
}

fn turned_away(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE
}

impl Target for Http {
    fn inbox(&self) -> &Inbox {
        &self.inbox
    }
    fn flush(&mut self, _: Duration) -> bool {
        false
    }
    fn is_ready(&self) -> bool {
        true
    }
}

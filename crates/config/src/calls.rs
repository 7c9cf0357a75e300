//! Bodies of calls: servers' beats, and what applications ask of locks and keys.

use crate::document::{Field, WHOLE, document, number, seconds, whole};
use crate::fault::{Faults, What};
use crate::terms::TERMS;
use serde::{Deserialize, Serialize};
use sonic_rs::{JsonValueTrait, Value};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// New with each of its lives.
    pub id: Arc<str>,
    pub address: SocketAddrV4,
    pub service: Arc<str>,
    /// Of its software.
    pub edition: Arc<str>,
    pub zone: Arc<str>,
    /// Requests that it works on at once; 1 at least.
    pub slots: u32,
    pub closing: bool,
    /// Rises with each call of this life.
    pub postmark: u64,
    /// How much longer it is slow from its start.
    pub cold: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LockStart {
    pub holder: String,
    pub hold: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LockBeat {
    pub holder: String,
    pub fence: u64,
    pub hold: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LockEnd {
    pub holder: String,
    pub fence: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellPut {
    pub value: String,
    /// The revision that the key must have, 0 for none; left out: any.
    pub on: Option<u64>,
}

const ID: &str = "a name without spaces";

/// Whether a text may name a server, a service, a zone, a lock or a key: not empty, not too long, without spaces or
/// control characters.
pub fn is_name(text: &str) -> bool {
    let unfit = |c: char| c.is_whitespace() || c.is_control();
    !text.is_empty() && text.len() <= TERMS.id_bytes && !text.contains(unfit)
}

fn id(value: &Value) -> Option<Arc<str>> {
    value.as_str().filter(|text| is_name(text)).map(Arc::from)
}

/// The body of a server's beat; `id` stands in the path of the call.
pub fn read_beat(id_in_path: &str, body: &[u8]) -> Result<Beat, Faults> {
    let document = document(body, TERMS.call_bytes)?;
    let top = Field::top(&document);
    let mut faults = Faults::default();
    if !is_name(id_in_path) {
        let shown: String = id_in_path.chars().take(40).collect();
        let found = format!("{shown:?}");
        faults.add(&top.spot.key("(path)"), What::Unexpected { expected: ID, found });
    }
    let address =
        top.field("address").must(&mut faults, "an address with a port", |v| v.as_str()?.parse().ok());
    let notice = top.field("notice");
    let tracking = top.field("tracking");
    let beat = Beat {
        id: Arc::from(id_in_path),
        address: address.unwrap_or(SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0)),
        service: notice.field("service").must(&mut faults, ID, id).unwrap_or_default(),
        edition: notice.field("edition").may(&mut faults, ID, id).unwrap_or_default(),
        zone: notice.field("zone").must(&mut faults, ID, id).unwrap_or_default(),
        slots: read_slots(&notice.field("slots"), &mut faults),
        closing: read_closing(&tracking.field("state"), &mut faults),
        postmark: tracking.field("postmark").must(&mut faults, WHOLE, whole).unwrap_or_default(),
        cold: tracking.field("cold_s_time").may(&mut faults, "seconds", seconds).unwrap_or_default(),
    };
    faults.or(beat)
}

fn read_slots(field: &Field<'_, '_>, faults: &mut Faults) -> u32 {
    let slots = field.must(faults, WHOLE, whole).unwrap_or(1);
    u32::try_from(slots).unwrap_or(u32::MAX).max(1)
}

fn read_closing(field: &Field<'_, '_>, faults: &mut Faults) -> bool {
    let closing = field.must(faults, "open or closing", |v| match v.as_str()? {
        "open" => Some(false),
        "closing" => Some(true),
        _ => None,
    });
    closing.unwrap_or(false)
}

pub fn read_lock_start(body: &[u8]) -> Result<LockStart, Faults> {
    let document = document(body, TERMS.call_bytes)?;
    let (top, mut faults) = (Field::top(&document), Faults::default());
    let start = LockStart { holder: read_holder(&top, &mut faults), hold: read_hold(&top, &mut faults) };
    faults.or(start)
}

pub fn read_lock_beat(body: &[u8]) -> Result<LockBeat, Faults> {
    let document = document(body, TERMS.call_bytes)?;
    let (top, mut faults) = (Field::top(&document), Faults::default());
    let beat = LockBeat {
        holder: read_holder(&top, &mut faults),
        fence: read_fence(&top, &mut faults),
        hold: read_hold(&top, &mut faults),
    };
    faults.or(beat)
}

pub fn read_lock_end(body: &[u8]) -> Result<LockEnd, Faults> {
    let document = document(body, TERMS.call_bytes)?;
    let (top, mut faults) = (Field::top(&document), Faults::default());
    let end = LockEnd { holder: read_holder(&top, &mut faults), fence: read_fence(&top, &mut faults) };
    faults.or(end)
}

pub fn read_cell_put(body: &[u8]) -> Result<CellPut, Faults> {
    let document = document(body, TERMS.call_bytes)?;
    let (top, mut faults) = (Field::top(&document), Faults::default());
    let value = top.field("value").must(&mut faults, "a text of 4096 bytes at most", |v| {
        v.as_str().filter(|text| text.len() <= TERMS.value_bytes).map(str::to_owned)
    });
    let on = top.field("on").may(&mut faults, WHOLE, whole);
    faults.or(CellPut { value: value.unwrap_or_default(), on })
}

fn read_holder(top: &Field<'_, '_>, faults: &mut Faults) -> String {
    let holder = top.field("holder").must(faults, "a name", |v| {
        let text = v.as_str()?;
        (!text.is_empty() && text.len() <= TERMS.id_bytes).then(|| text.to_owned())
    });
    holder.unwrap_or_default()
}

/// Not cut where it is too long: the caller would count on all of it.
fn read_hold(top: &Field<'_, '_>, faults: &mut Faults) -> Duration {
    let hold = top.field("hold_s_time").must(faults, "seconds, a day at most", |v| {
        number(v).filter(|n| *n <= TERMS.longest.as_secs_f64()).and(seconds(v))
    });
    hold.unwrap_or_default()
}

fn read_fence(top: &Field<'_, '_>, faults: &mut Faults) -> u64 {
    top.field("fence").must(faults, WHOLE, whole).unwrap_or_default()
}

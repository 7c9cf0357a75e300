//! What is written: requests on to servers, answers back to clients.

use crate::answer::Answer;
use crate::head::{Framing, Head};
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

/// What becomes of a client's connection behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ends {
    /// It is kept, and at rest it is closed after so long.
    Kept(Duration),
    Closed,
}

/// Whose key a request carries.
pub const CREDENTIAL: &str = "X-Credential";
/// Names a request's customer to a server.
pub const CUSTOMER: &str = "X-Tenant";
/// Names an operation that is to be carried out once.
pub const IDEMPOTENCY_KEY: &str = "X-Idempotency-Key";

/// Who sent a request, as its server is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Sender {
    /// There are no customers: what the client says of itself goes along.
    #[default]
    Unmanaged,
    /// It needed no key and had none.
    Anonymous,
    Customer(Arc<str>),
}

impl Sender {
    pub fn customer(&self) -> Option<&Arc<str>> {
        match self {
            Sender::Customer(name) => Some(name),
            Sender::Unmanaged | Sender::Anonymous => None,
        }
    }

    /// Whether a client's line goes on to the server.
    fn lets_on(&self, line: &[u8]) -> bool {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let ours = [CREDENTIAL, CUSTOMER].iter().any(|ours| name.eq_ignore_ascii_case(ours.as_bytes()));
        *self == Sender::Unmanaged || !ours
    }
}

/// The head of a request as a server gets it. `left`: how long the client still waits.
pub fn forwarded_head(
    head: &Head, sender: &Sender, server: &str, left: Duration, body: usize, out: &mut Vec<u8>,
) {
    let line = |out: &mut Vec<u8>, parts: [&[u8]; 2]| {
        parts.iter().for_each(|part| out.extend_from_slice(part));
        out.extend_from_slice(b"\r\n");
    };
    out.extend_from_slice(head.method().as_bytes());
    out.push(b' ');
    line(out, [head.target().as_bytes(), b" HTTP/1.1"]);
    line(out, [b"Host: ", head.host().as_bytes()]);
    line(out, [b"X-Request-Id: ", head.id().as_bytes()]);
    line(out, [b"X-Expect-Server: ", server.as_bytes()]);
    head.along().filter(|other| sender.lets_on(other)).for_each(|other| line(out, [other, b""]));
    if let Some(customer) = sender.customer() {
        line(out, [b"X-Tenant: ", customer.as_bytes()]);
    }
    // Writing to memory does not fail.
    let _ = write!(out, "X-Deadline-Ms: {}\r\n", left.as_millis());
    if head.framing != Framing::None {
        let _ = write!(out, "Content-Length: {body}\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// The head of a server's answer as the client gets it.
pub fn answer_head(answer: &Answer, id: &str, ends: Ends, out: &mut Vec<u8>) {
    status_and_lines(answer.status, answer.reason(), id, answer.along(), out);
    match (answer.status, answer.told_length) {
        (204 | 304, _) => {}
        (_, None) if answer.bodiless => {}
        // Of an answer that is not here whole the length is told, too.
        (_, told) => drop(write!(out, "Content-Length: {}\r\n", told.unwrap_or(answer.body.len()))),
    }
    write_ends(ends, out);
}

/// What a server's answer begins with: its status, the request's id, and the lines that go along.
fn status_and_lines<'a>(
    status: u16, reason: &[u8], id: &str, lines: impl Iterator<Item = &'a [u8]>, out: &mut Vec<u8>,
) {
    let _ = write!(out, "HTTP/1.1 {status:03} ");
    out.extend_from_slice(reason);
    let _ = write!(out, "\r\nX-Request-Id: {id}\r\n");
    for line in lines {
        out.extend_from_slice(line);
        out.extend_from_slice(b"\r\n");
    }
}

/// An answer that is kept for repeats of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    pub status: u16,
    #[serde(with = "serde_bytes")]
    reason: Vec<u8>,
    lines: Vec<Vec<u8>>,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl KeptAnswer {
    pub fn of(answer: &Answer) -> KeptAnswer {
        KeptAnswer {
            status: answer.status,
            reason: answer.reason().to_vec(),
            lines: answer.along().map(<[u8]>::to_vec).collect(),
            body: answer.body.clone(),
        }
    }

    /// Bytes that it holds.
    pub fn held(&self) -> usize {
        self.body.len() + self.lines.iter().map(Vec::len).sum::<usize>() + self.reason.len()
    }

    /// The head as the client of a repeat gets it.
    pub fn head(&self, id: &str, ends: Ends, out: &mut Vec<u8>) {
        status_and_lines(self.status, &self.reason, id, self.lines.iter().map(Vec::as_slice), out);
        if !matches!(self.status, 204 | 304) {
            let _ = write!(out, "Content-Length: {}\r\n", self.body.len());
        }
        write_ends(ends, out);
    }
}

/// An answer of the system's own, whole.
pub fn own_answer(status: u16, id: Option<&str>, again: Option<Duration>, ends: Ends, out: &mut Vec<u8>) {
    let _ = write!(out, "HTTP/1.1 {status} {}\r\nContent-Length: 0\r\n", reason(status));
    if let Some(id) = id {
        let _ = write!(out, "X-Request-Id: {id}\r\n");
    }
    if let Some(again) = again {
        let _ = write!(out, "Retry-After: {:.3}\r\n", again.as_secs_f64());
    }
    write_ends(ends, out);
}

fn write_ends(ends: Ends, out: &mut Vec<u8>) {
    let _ = match ends {
        Ends::Kept(rest) => write!(out, "Keep-Alive: timeout={}\r\n\r\n", rest.as_secs()),
        Ends::Closed => write!(out, "Connection: close\r\n\r\n"),
    };
}

fn reason(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        409 => "Conflict",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

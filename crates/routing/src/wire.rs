//! What is written: requests on to servers, answers back to clients.

use crate::answer::Answer;
use crate::head::{Framing, Head};
use std::io::Write;
use std::time::Duration;

/// What becomes of a client's connection behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ends {
    /// It is kept, and at rest it is closed after so long.
    Kept(Duration),
    Closed,
}

/// The head of a request as a server gets it. `left`: how long the client still waits.
pub fn forwarded_head(head: &Head, server: &str, left: Duration, body: usize, out: &mut Vec<u8>) {
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
    head.along().for_each(|other| line(out, [other, b""]));
    // Writing to memory does not fail.
    let _ = write!(out, "X-Deadline-Ms: {}\r\n", left.as_millis());
    if head.framing != Framing::None {
        let _ = write!(out, "Content-Length: {body}\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// The head of a server's answer as the client gets it.
pub fn answer_head(answer: &Answer, id: &str, ends: Ends, out: &mut Vec<u8>) {
    let _ = write!(out, "HTTP/1.1 {:03} ", answer.status);
    out.extend_from_slice(answer.reason());
    let _ = write!(out, "\r\nX-Request-Id: {id}\r\n");
    for line in answer.along() {
        out.extend_from_slice(line);
        out.extend_from_slice(b"\r\n");
    }
    match (answer.status, answer.told_length) {
        (204 | 304, _) => {}
        (_, None) if answer.bodiless => {}
        // Of an answer that is not here whole the length is told, too.
        (_, told) => drop(write!(out, "Content-Length: {}\r\n", told.unwrap_or(answer.body.len()))),
    }
    write_ends(ends, out);
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
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

//! Calls as they are carried out, and their answers.

use std::fmt::Display;
use std::io::Write;

/// A whole call.
#[derive(Debug)]
pub struct Request {
    inner: Box<fallgap_routing::Request>,
}

impl Request {
    pub fn new(inner: Box<fallgap_routing::Request>) -> Request {
        Request { inner }
    }

    pub fn method(&self) -> &str {
        self.inner.head.method()
    }

    /// The path without its query, as it came.
    pub fn path(&self) -> &str {
        self.inner.head.path()
    }

    /// What stands behind the question mark.
    pub fn query(&self) -> &str {
        self.inner.head.target().split_once('?').map_or("", |(_, query)| query)
    }

    /// The value of a query's parameter, decoded; the first of that name.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self.query().split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decoded(value))
    }

    /// The value of a header line.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.inner.head.line(name)
    }

    pub fn body(&self) -> &[u8] {
        &self.inner.body
    }
}

/// A query's value with `+` and `%` sequences decoded; what is no sequence stays as it is.
fn decoded(value: &str) -> String {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let Some((first, behind)) = rest.split_first() {
        let hex = |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok();
        let sequence = behind.get(..2).filter(|_| *first == b'%').and_then(hex);
        bytes.push(sequence.unwrap_or(if *first == b'+' { b' ' } else { *first }));
        rest = if sequence.is_some() { behind.get(2..).unwrap_or_default() } else { behind };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    content_type: Option<&'static str>,
    /// Seconds.
    retry_after: Option<String>,
    pub body: Vec<u8>,
}

impl Response {
    /// An answer without a body.
    pub fn empty(status: u16) -> Response {
        Response { status, content_type: None, retry_after: None, body: Vec::new() }
    }

    pub fn json(status: u16, body: Vec<u8>) -> Response {
        Response { status, content_type: Some("application/json"), retry_after: None, body }
    }

    /// One line of text.
    pub fn text(status: u16, line: &dyn Display) -> Response {
        Response::plain(status, format!("{line}\n"))
    }

    /// Text as it is.
    pub fn plain(status: u16, text: String) -> Response {
        let body = text.into_bytes();
        Response { status, content_type: Some("text/plain; charset=utf-8"), retry_after: None, body }
    }

    /// Nothing was done; the caller may come back soon.
    pub fn busy() -> Response {
        Response::empty(503).retry_after("0.2")
    }

    #[must_use]
    pub fn retry_after(mut self, seconds: impl Into<String>) -> Response {
        self.retry_after = Some(seconds.into());
        self
    }

    /// The answer as it leaves. `head_only`: without its body, whose length is told all the same.
    pub fn bytes(&self, keep: bool, head_only: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(160 + self.body.len());
        let reason = reason(self.status);
        // Writing to memory does not fail.
        let _ = write!(out, "HTTP/1.1 {} {reason}\r\nContent-Length: {}\r\n", self.status, self.body.len());
        if let Some(kind) = self.content_type {
            let _ = write!(out, "Content-Type: {kind}\r\n");
        }
        if let Some(seconds) = &self.retry_after {
            let _ = write!(out, "Retry-After: {seconds}\r\n");
        }
        if !keep {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        if !head_only {
            out.extend_from_slice(&self.body);
        }
        out
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Answer",
    }
}

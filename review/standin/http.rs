//! Requests and answers, read by the letter.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Message {
    /// The first line.
    pub first: String,
    pub lines: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn line(&self, name: &str) -> Option<&str> {
        self.lines.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A whole number of a flat JSON object.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let text = self.text();
        let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
        rest.trim_start().split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
    }
}

/// One message, or none at the end of the connection or of the time.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        head.push(line);
    }
    let first = head.first()?.clone();
    let lines = head.iter().skip(1).filter_map(|line| line.split_once(':'));
    let lines = lines.map(|(name, value)| (name.to_owned(), value.trim().to_owned())).collect();
    let mut message = Message { first, lines, body: Vec::new() };
    let length = message.line("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// How an exchange ended.
pub enum Answer {
    Got(Message),
    /// No connection came up: nothing was sent.
    NoConnection,
    /// The connection ended, or the time was over, before a whole answer.
    None,
}

/// One exchange on a connection of its own, which is closed behind it.
pub fn exchange(at: SocketAddr, bytes: &[u8], patience: Duration) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, patience) else { return Answer::NoConnection };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    if let Err(e) = stream.write_all(bytes) {
        return if e.kind() == ErrorKind::NotConnected { Answer::NoConnection } else { Answer::None };
    }
    read(&mut BufReader::new(stream)).map_or(Answer::None, Answer::Got)
}

/// A call to a control address, as the pages write it.
pub fn call(at: SocketAddr, method: &str, path: &str, body: &str, patience: Duration) -> Option<Message> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    match exchange(at, text.as_bytes(), patience) {
        Answer::Got(message) => Some(message),
        _ => None,
    }
}

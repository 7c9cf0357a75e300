//! A client that reads answers by the letter.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub lines: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn line(&self, name: &str) -> Option<&str> {
        self.lines.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    /// # Errors
    /// Nobody listens there.
    pub fn connect(at: SocketAddr, patience: Duration) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&at, patience)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_nodelay(true)?;
        Ok(Client { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &str) {
        self.reader.get_mut().write_all(bytes.as_bytes()).unwrap();
    }

    pub fn ask(&mut self, bytes: &str) -> Reply {
        self.send(bytes);
        self.reply().expect("an answer")
    }

    /// As [`Client::ask`], for peers that may be gone.
    pub fn try_ask(&mut self, bytes: &str) -> Option<Reply> {
        self.reader.get_mut().write_all(bytes.as_bytes()).ok()?;
        self.reply()
    }

    /// The next answer, or none at the end of the connection.
    pub fn reply(&mut self) -> Option<Reply> {
        let lines = head(&mut self.reader)?;
        let status = lines.first()?.split(' ').nth(1)?.parse().ok()?;
        let lines = lines.iter().skip(1).filter_map(|line| line.split_once(": "));
        let lines = lines.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        let mut reply = Reply { status, lines, body: Vec::new() };
        let length = reply.line("content-length").map_or(Some(0), |length| length.parse().ok())?;
        reply.body.resize(length, 0);
        self.reader.read_exact(&mut reply.body).ok()?;
        Some(reply)
    }
}

/// The lines of a head, or none at the end of the connection.
pub(super) fn head(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            return Some(lines);
        }
        lines.push(line.trim_end().to_owned());
    }
}

/// A client's request.
pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\r\n")
}

/// One call to a control or ready address, on a connection of its own. `None`: no answer within two seconds.
pub fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> Option<Reply> {
    let mut client = Client::connect(at, Duration::from_secs(2)).ok()?;
    let length = body.len();
    client.try_ask(&format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    ))
}

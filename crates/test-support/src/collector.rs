//! A collector: names its zone at a supervisor's address and forwards reports.

use actix_rt::net::TcpStream;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

pub struct Collector {
    pub stream: TcpStream,
}

impl Collector {
    pub async fn connect(supervisor: SocketAddr, zone: &str) -> std::io::Result<Collector> {
        let mut collector = Collector { stream: TcpStream::connect(supervisor).await? };
        collector.say(&format!("collector zone {zone}")).await?;
        Ok(collector)
    }

    /// Sends one message, its words parted by spaces.
    pub async fn say(&mut self, message: &str) -> std::io::Result<()> {
        self.stream.write_all(&resp(message)).await
    }
}

/// A message as a RESP2 array of bulk strings.
pub fn resp(message: &str) -> Vec<u8> {
    let words: Vec<String> = message.split(' ').map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{}", words.len(), words.concat()).into_bytes()
}

/// Whether a supervisor answers a ping.
pub async fn ping(supervisor: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(supervisor).await else { return false };
    let mut answer = [0; 14];
    let asked = stream.write_all(&resp("ping")).await.is_ok();
    asked && stream.read_exact(&mut answer).await.is_ok() && answer[..] == resp("pong")[..]
}

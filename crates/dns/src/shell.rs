//! Sockets around the state machine: each query has one of its own, on a port that the system draws. Runs on
//! one thread, among the tasks of a `LocalSet`.

use crate::lookup::Failure;
use crate::resolver::{Answer, Asked, Followed, Resolver, Wire};
use crate::terms::{Asking, Lifetimes};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

/// What sockets have heard and nobody has looked at yet.
const WAITING: usize = 256;

/// Hears what becomes of the services that are followed.
pub trait Hears {
    fn answered(&mut self, service: Followed, answer: Answer);
    /// `again`: when the service is asked for next.
    fn failed(&mut self, service: Followed, why: Failure, again: Duration);
}

enum Heard {
    Datagram(Asked, SocketAddr, Vec<u8>),
    Message(Asked, Vec<u8>),
    Broke(Asked, String),
}

/// The sockets of the queries on their way.
pub struct Sockets<T> {
    heard: mpsc::Sender<Heard>,
    open: BTreeMap<Asked, AbortHandle>,
    pub tell: T,
}

impl<T: Hears> Wire for Sockets<T> {
    fn datagram(&mut self, asked: Asked, to: SocketAddr, query: Vec<u8>) {
        let task = spawn_local(by_datagram(asked, to, query, self.heard.clone()));
        self.open.insert(asked, task.abort_handle());
    }
    fn stream(&mut self, asked: Asked, to: SocketAddr, query: Vec<u8>) {
        let task = spawn_local(by_stream(asked, to, query, self.heard.clone()));
        self.open.insert(asked, task.abort_handle());
    }
    fn over(&mut self, asked: Asked) {
        if let Some(task) = self.open.remove(&asked) {
            task.abort();
        }
    }
    fn answered(&mut self, service: Followed, answer: Answer) {
        self.tell.answered(service, answer);
    }
    fn failed(&mut self, service: Followed, why: Failure, again: Duration) {
        self.tell.failed(service, why, again);
    }
}

impl<T> Drop for Sockets<T> {
    fn drop(&mut self) {
        self.open.values().for_each(AbortHandle::abort);
    }
}

/// A resolver on sockets. `clock` tells the time since any start that stays.
pub struct Shell<T, C> {
    pub resolver: Resolver<Sockets<T>>,
    heard: mpsc::Receiver<Heard>,
    clock: C,
}

impl<T: Hears, C: Fn() -> Duration> Shell<T, C> {
    pub fn start(
        tell: T, clock: C, servers: &[SocketAddr], asking: Asking, lifetimes: Lifetimes, seed: u64,
    ) -> Self {
        let (sender, heard) = mpsc::channel(WAITING);
        let sockets = Sockets { heard: sender, open: BTreeMap::new(), tell };
        Shell { resolver: Resolver::start(sockets, servers, asking, lifetimes, seed), heard, clock }
    }

    pub fn now(&self) -> Duration {
        (self.clock)()
    }

    /// Waits for one thing to happen, and lets the resolver act on it. Loses nothing when it is dropped
    /// before its end.
    pub async fn step(&mut self) {
        let wake = self.resolver.next_wake();
        let due = async {
            match wake {
                Some(at) => tokio::time::sleep(at.saturating_sub((self.clock)())).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            heard = self.heard.recv() => {
                let now = (self.clock)();
                match heard {
                    Some(Heard::Datagram(asked, from, bytes)) => {
                        self.resolver.heard_datagram(now, asked, from, &bytes);
                    }
                    Some(Heard::Message(asked, bytes)) => self.resolver.heard_message(now, asked, &bytes),
                    Some(Heard::Broke(asked, why)) => self.resolver.broke(now, asked, why),
                    None => {}
                }
            }
            () = due => {
                let now = (self.clock)();
                self.resolver.woke(now);
            }
        }
    }
}

async fn by_datagram(asked: Asked, to: SocketAddr, query: Vec<u8>, heard: mpsc::Sender<Heard>) {
    if let Err(e) = datagrams(asked, to, &query, &heard).await {
        // Whoever no longer listens has no use for it.
        let _ = heard.send(Heard::Broke(asked, e.to_string())).await;
    }
}

async fn datagrams(
    asked: Asked, to: SocketAddr, query: &[u8], heard: &mpsc::Sender<Heard>,
) -> io::Result<()> {
    let any: SocketAddr = match to {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any).await?;
    // Connected, it hears this server alone, and learns when nobody is there.
    socket.connect(to).await?;
    socket.send(query).await?;
    let mut bytes = [0; 2048];
    loop {
        let length = socket.recv(&mut bytes).await?;
        let datagram = Heard::Datagram(asked, to, bytes[..length].to_vec());
        if heard.send(datagram).await.is_err() {
            return Ok(());
        }
    }
}

async fn by_stream(asked: Asked, to: SocketAddr, query: Vec<u8>, heard: mpsc::Sender<Heard>) {
    let came = match message(to, &query).await {
        Ok(message) => Heard::Message(asked, message),
        Err(e) => Heard::Broke(asked, format!("over tcp: {e}")),
    };
    let _ = heard.send(came).await;
}

/// One query and its answer. Memory grows with what came, not with the length that was declared.
async fn message(to: SocketAddr, query: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(query).await?;
    let length = stream.read_u16().await?;
    let mut message = Vec::new();
    stream.take(length.into()).read_to_end(&mut message).await?;
    if message.len() < usize::from(length) {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "it ended amid a message"));
    }
    Ok(message)
}

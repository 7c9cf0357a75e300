//! Four clients with a modest rate, which go on to another supervisor after a failure.

use fallgap_test_support::gateway::{Client, get};
use std::fmt;
use std::net::SocketAddr;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

const CLIENTS: usize = 4;
const PATIENCE: Duration = Duration::from_millis(1500);

/// What became of ops.
#[derive(Clone, Copy, Default)]
pub struct Sums {
    served: u64,
    /// Answers that promise that nothing has run.
    refused: u64,
    /// Any other answer.
    failed: u64,
    /// No answer.
    broken: u64,
    longest: Duration,
}

impl Sums {
    pub fn add(&mut self, other: &Sums) {
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.broken += other.broken;
        self.longest = self.longest.max(other.longest);
    }

    fn note(&mut self, status: Option<u16>, took: Duration) {
        let sum = match status {
            Some(200..300) => &mut self.served,
            Some(429 | 503 | 408 | 421) => &mut self.refused,
            Some(_) => &mut self.failed,
            None => &mut self.broken,
        };
        *sum += 1;
        self.longest = self.longest.max(took);
    }
}

impl fmt::Display for Sums {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Sums { served, refused, failed, broken, longest } = self;
        let longest = longest.as_millis();
        write!(
            f,
            "served {served}, refused {refused}, failed {failed}, broken off {broken}, longest {longest} ms"
        )
    }
}

/// Clients at work; they end when it is dropped.
pub struct Callers {
    sums: Arc<Mutex<Sums>>,
    ends: Vec<Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// `rate`: ops a second of each client.
    pub fn start(fronts: Vec<SocketAddr>, rate: u32) -> Callers {
        let sums = Arc::new(Mutex::new(Sums::default()));
        let (mut ends, mut threads) = (Vec::new(), Vec::new());
        for client in 0..CLIENTS {
            let (end, ended) = channel::<()>();
            let (sums, fronts) = (sums.clone(), fronts.clone());
            ends.push(end);
            threads.push(spawn(move || {
                let mut at = client;
                let mut line = None;
                for op in 0_u32.. {
                    if ended.recv_timeout(Duration::from_secs(1) / rate) != Err(RecvTimeoutError::Timeout) {
                        return;
                    }
                    let path = if op % 4 == 0 { "/order/x" } else { "/lookup/x" };
                    let begun = Instant::now();
                    let Some(front) = fronts.get(at % fronts.len().max(1)) else { return };
                    let mut open = line.take().or_else(|| Client::connect(*front, PATIENCE).ok());
                    let ask = |open: &mut Client| open.try_ask(&get(path, &format!("{client:x}-{op:x}")));
                    let reply = open.as_mut().and_then(ask);
                    let status = reply.as_ref().map(|reply| reply.status);
                    sums.lock().unwrap_or_else(PoisonError::into_inner).note(status, begun.elapsed());
                    match reply {
                        Some(reply) if reply.line("connection") != Some("close") => line = open,
                        Some(_) => {}
                        None => at += 1,
                    }
                }
            }));
        }
        Callers { sums, ends, threads }
    }

    /// What became of ops since the last time.
    pub fn take(&self) -> Sums {
        std::mem::take(&mut *self.sums.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.ends.clear();
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

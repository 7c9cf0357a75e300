//! Sources that don't stop sending.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{JoinHandle, spawn};
use std::time::Duration;

/// A sender looks at least so often whether it is to end.
const LOOK: Duration = Duration::from_millis(100);

/// Whoever has this floods alone in its process: each flood keeps processors busy, and tests of one file run side by side.
pub fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Threads that go on until this is dropped.
pub struct Flood {
    ends: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Runs `work` again and again, in as many threads.
    pub fn of(threads: usize, work: impl Fn() + Send + Sync + 'static) -> Flood {
        let (ends, work) = (Arc::new(AtomicBool::new(false)), Arc::new(work));
        let start = |_| {
            let (ends, work) = (ends.clone(), work.clone());
            spawn(move || {
                while !ends.load(Relaxed) {
                    work();
                }
            })
        };
        Flood { threads: (0..threads).map(start).collect(), ends: ends.clone() }
    }

    /// On each of so many connections: `first` once, then `piece` again and again, whatever is answered. A connection
    /// that ends is opened anew.
    pub fn of_streams(connections: usize, to: SocketAddr, first: &[u8], piece: &[u8]) -> Flood {
        let (first, piece) = (first.to_vec(), piece.to_vec());
        let ends = Arc::new(AtomicBool::new(false));
        let start = |_| {
            let (ends, first, piece) = (ends.clone(), first.clone(), piece.clone());
            spawn(move || {
                while !ends.load(Relaxed) {
                    let _ = send_on_one(to, &first, &piece, &ends);
                }
            })
        };
        Flood { threads: (0..connections).map(start).collect(), ends: ends.clone() }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.ends.store(true, Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// Until the connection ends or the flood does.
fn send_on_one(to: SocketAddr, first: &[u8], piece: &[u8], ends: &AtomicBool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_write_timeout(Some(LOOK))?;
    let answers = stream.try_clone()?;
    let reader = spawn(move || read_all(answers));
    let mut sent = stream.write_all(first);
    while sent.is_ok() && !ends.load(Relaxed) {
        sent = write_whole(&mut stream, piece, ends);
    }
    stream.shutdown(std::net::Shutdown::Both)?;
    let _ = reader.join();
    sent
}

/// As [`Write::write_all`], and goes on when a write takes too long.
fn write_whole(stream: &mut TcpStream, mut piece: &[u8], ends: &AtomicBool) -> std::io::Result<()> {
    while !piece.is_empty() && !ends.load(Relaxed) {
        match stream.write(piece) {
            Ok(0) => return Err(std::io::ErrorKind::WriteZero.into()),
            Ok(count) => piece = piece.get(count..).unwrap_or_default(),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Takes all that is answered.
fn read_all(mut stream: TcpStream) {
    let mut scratch = vec![0; 64 << 10];
    while stream.read(&mut scratch).is_ok_and(|count| count > 0) {}
}

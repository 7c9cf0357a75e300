//! Framed messages over a bounded number of connections.

use super::Inbox;
use crate::arrivals::{Kind, Op};
use crate::clients::Ended;
use crate::drive::Target;
use crate::engine::{Room, Sends};
use crate::frames::{ANSWER, Answer, Incoming, Request};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Bytes of one connection that may wait to be written.
const MOST_OUT: usize = 1 << 18;
/// Pause before a connection that broke is dialled again, and how long a dial may take.
const DIAL: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));

/// One connection, dialled again whenever it breaks. What was under way on it is aborted then: it may have run.
pub struct Line {
    stream: RefCell<Option<Rc<TcpStream>>>,
    out: RefCell<Vec<u8>>,
    under_way: RefCell<BTreeSet<(u64, u8)>>,
    /// The load that the last answer told, and when: ops active, busy of a thousand.
    pub load: Cell<Option<(Instant, u16, u16)>>,
}

impl Line {
    /// Dials, and goes on reading until the line is let go of.
    pub fn open(to: SocketAddr, inbox: Inbox) -> Rc<Line> {
        let line = Rc::new(Line {
            stream: RefCell::default(),
            out: RefCell::default(),
            under_way: RefCell::default(),
            load: Cell::new(None),
        });
        let weak = Rc::downgrade(&line);
        actix_rt::spawn(async move {
            loop {
                let dialled = timeout(DIAL.1, TcpStream::connect(to)).await;
                let Some(line) = weak.upgrade() else { return };
                if let Ok(Ok(stream)) = dialled {
                    // Without it frames still arrive, only later.
                    let _ = stream.set_nodelay(true);
                    let stream = Rc::new(stream);
                    line.stream.replace(Some(stream.clone()));
                    inbox.bell.notify_one();
                    drop(line);
                    read(&weak, &stream, &inbox).await;
                    let Some(line) = weak.upgrade() else { return };
                    line.broke(&inbox);
                }
                sleep(DIAL.0).await;
            }
        });
        line
    }

    pub fn is_open(&self) -> bool {
        self.stream.borrow().is_some()
    }

    /// Ops under way on it.
    pub fn load_here(&self) -> usize {
        self.under_way.borrow().len()
    }

    pub fn send(&self, request: &Request) -> Room {
        if !self.is_open() {
            return Room::Nobody;
        }
        let mut out = self.out.borrow_mut();
        if out.len() >= MOST_OUT {
            return Room::Full;
        }
        request.write(&mut out);
        self.under_way.borrow_mut().insert((request.id, request.tries));
        Room::Left
    }

    /// Writes what can be written at once; tells whether any is left.
    pub fn flush(&self) -> bool {
        let stream = self.stream.borrow().clone();
        let mut out = self.out.borrow_mut();
        let Some(stream) = stream else { return false };
        while !out.is_empty() {
            match stream.try_write(&out) {
                Ok(written) => _ = out.drain(..written),
                // A connection that broke is found out by whoever reads it.
                Err(_) => break,
            }
        }
        !out.is_empty()
    }

    fn broke(&self, inbox: &Inbox) {
        self.stream.replace(None);
        self.out.borrow_mut().clear();
        let lost = std::mem::take(&mut *self.under_way.borrow_mut());
        lost.into_iter().for_each(|(id, tries)| inbox.put(id, tries, Ended::Aborted));
        inbox.bell.notify_one();
    }
}

/// Reads answers until the connection ends or what comes is none.
async fn read(line: &std::rc::Weak<Line>, stream: &TcpStream, inbox: &Inbox) {
    let mut incoming = Incoming::<ANSWER>::default();
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        let Some(line) = line.upgrade() else { return };
        let goes_on = incoming.read(stream, |frame| {
            let Some(answer) = Answer::read(frame) else { return false };
            line.load.set(Some((Instant::now(), answer.active, answer.busy)));
            // One that is answered twice, or was never asked, is told on and found stray there.
            line.under_way.borrow_mut().remove(&(answer.id, answer.tries));
            inbox.put(answer.id, answer.tries, answer.ended);
            true
        });
        if !goes_on {
            return;
        }
    }
}

/// One server at the other end of several connections, used in turn.
pub struct Framed {
    lines: Vec<Rc<Line>>,
    turn: usize,
    kinds: Vec<Kind>,
    inbox: Inbox,
}

impl Framed {
    pub fn open(to: SocketAddr, connections: usize, kinds: Vec<Kind>) -> Framed {
        let inbox = Inbox::default();
        let lines = (0..connections.max(1)).map(|_| Line::open(to, inbox.clone())).collect();
        Framed { lines, turn: 0, kinds, inbox }
    }
}

impl Sends for Framed {
    fn send(&mut self, _: Duration, op: &Op, tries: u8) -> Room {
        let Some(kind) = self.kinds.get(usize::from(op.kind)) else { return Room::Nobody };
        let request = Request::of(op, tries, kind.repeats);
        let mut room = Room::Nobody;
        for _ in 0..self.lines.len() {
            self.turn = (self.turn + 1) % self.lines.len();
            match self.lines[self.turn].send(&request) {
                Room::Left => return Room::Left,
                Room::Full => room = Room::Full,
                Room::Nobody => {}
            }
        }
        room
    }
}

impl Target for Framed {
    fn inbox(&self) -> &Inbox {
        &self.inbox
    }
    fn flush(&mut self, _: Duration) -> bool {
        self.lines.iter().fold(false, |left, line| line.flush() | left)
    }
    fn is_ready(&self) -> bool {
        self.lines.iter().all(|line| line.is_open())
    }
}

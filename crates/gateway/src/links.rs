//! Streams between supervisors: one for each direction, opened when there is something to say, closed when it
//! breaks or stalls. What a broken link held is lost; the cores cope with that.

use crate::words::{Word, told_frame};
use fallgap_control_state::Message;
use fallgap_proxy::ReadyQueue;
use fallgap_registry::{Line as Told, RosterWord};
use incoming::{Incoming, Next};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use outgoing::{Frame, Line, Outgoing, Turn};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

pub struct Terms {
    /// Bytes that wait for one peer, and for all of them; what comes beyond is dropped. The least of a machine has
    /// not a tenth of this a second to carry it off.
    pub waiting: usize,
    pub waiting_all: usize,
    /// Streams that others have opened; more are closed at once.
    pub incoming: usize,
    /// A stream that others have opened and on which nobody says who it is for so long is closed.
    pub greeting: Duration,
    /// A stream that does not open, or takes nothing, for so long is given up.
    pub stall: Duration,
    /// After a failure so long passes before the next try.
    pub pause: Duration,
    /// A stream that does not open for so long is opened anew when its peer is met elsewhere: to a machine that was
    /// without power its first packet is lost, and the next one goes out much later.
    pub anew: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Terms {
            waiting: 4 << 20,
            waiting_all: 24 << 20,
            incoming: 1200,
            greeting: ms(3000),
            stall: ms(1200),
            pause: ms(150),
            anew: ms(60),
        }
    }
}

/// Streams that are accepted before others get their turn.
const TURN_ACCEPTS: usize = 64;
/// Streams that get a turn before timers and other sources are looked at again.
const TURNS: usize = 64;

pub struct Links {
    me: Ipv4Addr,
    port: u16,
    terms: Terms,
    listener: TcpListener,
    first: usize,
    out: BTreeMap<Ipv4Addr, Outgoing>,
    by_token: BTreeMap<usize, Ipv4Addr>,
    tokens: BTreeMap<Ipv4Addr, usize>,
    incoming: BTreeMap<usize, Incoming>,
    next: usize,
    buffer: Vec<u8>,
    /// Bytes that wait, for all peers.
    held: usize,
    /// The value that members were last sent in this turn, as a frame: the same to each of them.
    last: Option<(Message, Arc<Vec<u8>>)>,
    /// Frames that were made.
    made: u64,
    /// Peers with frames to be written.
    writing: Vec<Ipv4Addr>,
    /// Tokens of streams to be read, and of the listener, that wait for their turn.
    ready: ReadyQueue<usize>,
    /// Peers that could not be connected with, or whose stream broke, since this was last asked.
    broken: Vec<Ipv4Addr>,
}

impl Links {
    /// Listens at its own address; uses tokens from `first` on.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn open(
        registry: &Registry, me: Ipv4Addr, port: u16, first: usize, terms: Terms,
    ) -> io::Result<Links> {
        let mut listener = TcpListener::bind(SocketAddr::V4(SocketAddrV4::new(me, port)))?;
        registry.register(&mut listener, Token(first), Interest::READABLE)?;
        Ok(Links {
            me,
            port,
            terms,
            listener,
            first,
            out: BTreeMap::new(),
            by_token: BTreeMap::new(),
            tokens: BTreeMap::new(),
            incoming: BTreeMap::new(),
            next: first + 1,
            buffer: vec![0; 64 << 10],
            held: 0,
            last: None,
            made: 0,
            writing: Vec::new(),
            ready: ReadyQueue::default(),
            broken: Vec::new(),
        })
    }

    /// Puts a word on its way. It may be lost.
    pub fn say(&mut self, now: Duration, registry: &Registry, to: Ipv4Addr, word: &Word) {
        let Some(bytes) = self.framed(word) else { return };
        let table = matches!(word, Word::Roster(RosterWord::Told(_)));
        self.send(now, registry, to, Frame { bytes, table, owed: word.is_withdrawal() });
    }

    /// Puts a part of a follower's table on its way.
    pub fn tell(&mut self, now: Duration, registry: &Registry, to: Ipv4Addr, told: &Told) {
        let Some(bytes) = told_frame(told) else { return };
        self.made += 1;
        self.send(now, registry, to, Frame { bytes: Arc::new(bytes), table: true, owed: false });
    }

    fn framed(&mut self, word: &Word) -> Option<Arc<Vec<u8>>> {
        let Word::Keeper(message @ Message::Accept { .. }) = word else {
            self.made += 1;
            return word.frame().map(Arc::new);
        };
        if let Some((_, frame)) = self.last.as_ref().filter(|(last, _)| last == message) {
            return Some(frame.clone());
        }
        self.made += 1;
        let frame = Arc::new(word.frame()?);
        self.last = Some((message.clone(), frame.clone()));
        Some(frame)
    }

    /// How many frames were made, for those who look.
    pub fn frames_made(&self) -> u64 {
        self.made
    }

    fn send(&mut self, now: Duration, registry: &Registry, to: Ipv4Addr, frame: Frame) {
        let out = self.out.entry(to).or_insert_with(|| Outgoing::new(now));
        if frame.owed {
            out.owed.add(now, &frame.bytes);
        }
        if matches!(out.line, Line::Failed { until } if now < until) {
            return;
        }
        let length = frame.bytes.len();
        if out.bytes + length > self.terms.waiting || self.held + length > self.terms.waiting_all {
            return;
        }
        self.held += length;
        if out.queue.is_empty() {
            out.moved = now;
        }
        out.bytes += length;
        out.queue.push_back(frame);
        if matches!(out.line, Line::Rest | Line::Failed { .. }) {
            self.connect(now, registry, to);
        } else if !self.writing.contains(&to) {
            self.writing.push(to);
        }
    }

    /// A peer has just been heard by other means: it is there.
    pub fn met(&mut self, now: Duration, registry: &Registry, peer: Ipv4Addr) {
        let Some(out) = self.out.get_mut(&peer) else { return };
        match &out.line {
            Line::Opening(_) if now >= out.moved + self.terms.anew => {
                let (queue, bytes) = (std::mem::take(&mut out.queue), out.bytes);
                self.turn(now, registry, peer, Turn::Fails);
                self.broken.retain(|broken| *broken != peer);
                // What waited has not left. The greeting in front is put there again.
                if let Some(out) = self.out.get_mut(&peer) {
                    (out.queue, out.bytes) = (queue, bytes);
                    out.bytes -= out.queue.pop_front().map_or(0, |hello| hello.bytes.len());
                    self.held += out.bytes;
                }
                self.connect(now, registry, peer);
            }
            Line::Failed { .. } => {
                self.turn(now, registry, peer, Turn::Met);
                self.connect_if_owed(now, registry, peer);
            }
            _ => {}
        }
    }

    /// Writes what is to be written, several words with one call.
    pub fn flush(&mut self, now: Duration, registry: &Registry) {
        self.last = None;
        for to in std::mem::take(&mut self.writing) {
            self.write(now, registry, to);
        }
    }

    /// Peers to whom what was said is lost.
    pub fn take_broken(&mut self) -> Vec<Ipv4Addr> {
        std::mem::take(&mut self.broken)
    }

    /// A follower has begun anew here: what waits of tables for it is void, and would only stand before what comes.
    pub fn drop_tables(&mut self, to: Ipv4Addr) {
        let Some(out) = self.out.get_mut(&to) else { return };
        let begun = usize::from(out.sent > 0);
        let mut at = 0;
        let mut gone = 0;
        out.queue.retain(|frame| {
            at += 1;
            let stays = at <= begun || !frame.table;
            gone += if stays { 0 } else { frame.bytes.len() };
            stays
        });
        out.bytes -= gone;
        self.held -= gone;
    }

    pub fn owns(&self, token: usize) -> bool {
        token >= self.first && token < self.next
    }

    /// Something has happened at a token. What others say is heard by [`Links::work`].
    pub fn event(&mut self, now: Duration, registry: &Registry, event: &mio::event::Event) {
        let token = event.token().0;
        if token == self.first || self.incoming.contains_key(&token) {
            self.ready.add(token);
        } else if let Some(to) = self.by_token.get(&token).copied() {
            let opening = matches!(self.out.get(&to).map(|o| &o.line), Some(Line::Opening(_)));
            let broken = event.is_error() || event.is_read_closed() || event.is_write_closed();
            if broken {
                self.turn(now, registry, to, Turn::Fails);
            } else if event.is_writable() {
                if opening {
                    self.turn(now, registry, to, Turn::Opened);
                }
                self.write(now, registry, to);
            } else if event.is_readable() {
                // The other side says nothing on this stream: what can be read is its end.
                self.turn(now, registry, to, Turn::Fails);
            }
        }
    }

    /// Gives up what has stalled.
    pub fn woke(&mut self, now: Duration, registry: &Registry) {
        self.drop_nameless(now, registry);
        let stalled = |out: &Outgoing| match out.line {
            Line::Opening(_) => now >= out.moved + self.terms.stall,
            Line::Open(_) => !out.queue.is_empty() && now >= out.moved + self.terms.stall,
            Line::Rest | Line::Failed { .. } => false,
        };
        let stalled: Vec<Ipv4Addr> = self.out.iter().filter(|(_, o)| stalled(o)).map(|(to, _)| *to).collect();
        for to in stalled {
            self.turn(now, registry, to, Turn::Fails);
        }
        let paused = |out: &Outgoing| matches!(out.line, Line::Failed { until } if now >= until);
        let paused: Vec<Ipv4Addr> = self.out.iter().filter(|(_, o)| paused(o)).map(|(to, _)| *to).collect();
        for to in paused {
            self.connect_if_owed(now, registry, to);
        }
        self.out.retain(
            |_, o| !matches!(o.line, Line::Failed { until } if now > until + Duration::from_secs(60)),
        );
    }

    /// The one place where a link's state changes.
    fn turn(&mut self, now: Duration, registry: &Registry, to: Ipv4Addr, turn: Turn) {
        let Some(out) = self.out.get_mut(&to) else { return };
        let before = std::mem::replace(&mut out.line, Line::Rest);
        out.line = match (before, turn) {
            (Line::Rest | Line::Failed { .. }, Turn::Opens(stream)) => Line::Opening(stream),
            (Line::Opening(stream), Turn::Opened) => Line::Open(stream),
            (before, Turn::Fails) => {
                if let Line::Opening(mut stream) | Line::Open(mut stream) = before {
                    let _ = registry.deregister(&mut stream);
                    // A reset. The kernel would go on delivering what it holds, behind what is said on the next stream.
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                }
                if let Some(token) = self.tokens.remove(&to) {
                    self.by_token.remove(&token);
                }
                if !self.broken.contains(&to) {
                    self.broken.push(to);
                }
                self.held -= out.bytes;
                out.queue.clear();
                (out.bytes, out.sent) = (0, 0);
                Line::Failed { until: now + self.terms.pause }
            }
            (Line::Failed { .. }, Turn::Met) => Line::Rest,
            (before, _) => before,
        };
        out.moved = now;
    }

    fn connect(&mut self, now: Duration, registry: &Registry, to: Ipv4Addr) {
        let token = self.next;
        self.next += 1;
        match self.stream(to).and_then(|mut stream| {
            registry.register(&mut stream, Token(token), Interest::READABLE | Interest::WRITABLE)?;
            Ok(stream)
        }) {
            Ok(stream) => {
                self.by_token.insert(token, to);
                self.tokens.insert(to, token);
                if let (Some(out), Some(hello)) = (self.out.get_mut(&to), Word::Hello(self.me).frame()) {
                    self.held -= out.bytes;
                    out.queue.retain(|frame| !frame.owed);
                    let again = out.owed.again(now).rev().map(|bytes| (bytes, true));
                    for (bytes, owed) in again.chain([(Arc::new(hello), false)]) {
                        out.queue.push_front(Frame { bytes, table: false, owed });
                    }
                    out.bytes = out.queue.iter().map(|frame| frame.bytes.len()).sum();
                    self.held += out.bytes;
                }
                self.turn(now, registry, to, Turn::Opens(stream));
            }
            Err(_) => self.turn(now, registry, to, Turn::Fails),
        }
    }

    fn connect_if_owed(&mut self, now: Duration, registry: &Registry, to: Ipv4Addr) {
        if self.out.get_mut(&to).is_some_and(|out| !out.owed.is_empty(now)) {
            self.connect(now, registry, to);
        }
    }

    fn stream(&self, to: Ipv4Addr) -> io::Result<TcpStream> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(self.terms.stall))?;
        if self.me.is_loopback() {
            socket.bind(&SocketAddr::V4(SocketAddrV4::new(self.me, 0)).into())?;
        }
        match socket.connect(&SocketAddr::V4(SocketAddrV4::new(to, self.port)).into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(115) || e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Ok(TcpStream::from_std(socket.into()))
    }

    fn write(&mut self, now: Duration, registry: &Registry, to: Ipv4Addr) {
        let Some(out) = self.out.get_mut(&to) else { return };
        let Line::Open(stream) = &mut out.line else { return };
        while let Some(first) = out.queue.front() {
            let rest = first.bytes.get(out.sent..).unwrap_or_default();
            // Small words that wait together leave together.
            let joined: Vec<u8>;
            let (piece, frames) = if out.queue.len() > 1 && rest.len() < 16 << 10 {
                let mut all = rest.to_vec();
                let mut frames = 1;
                for frame in out.queue.iter().skip(1) {
                    if all.len() + frame.bytes.len() > 64 << 10 {
                        break;
                    }
                    all.extend_from_slice(&frame.bytes);
                    frames += 1;
                }
                joined = all;
                (joined.as_slice(), frames)
            } else {
                (rest, 1)
            };
            match stream.write(piece) {
                Ok(0) => return self.turn(now, registry, to, Turn::Fails),
                Ok(mut n) => {
                    out.moved = now;
                    let whole = n == piece.len();
                    for _ in 0..frames {
                        let left = out.queue.front().map_or(0, |f| f.bytes.len() - out.sent);
                        if n < left {
                            out.sent += n;
                            break;
                        }
                        n -= left;
                        out.sent = 0;
                        if let Some(frame) = out.queue.pop_front() {
                            out.bytes -= frame.bytes.len();
                            self.held -= frame.bytes.len();
                        }
                    }
                    if !whole {
                        return;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.turn(now, registry, to, Turn::Fails),
            }
        }
    }

    fn accept(&mut self, now: Duration, registry: &Registry) {
        for _ in 0..TURN_ACCEPTS {
            match self.listener.accept() {
                Ok((stream, _)) => self.accepted(now, registry, stream),
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(_) => return,
            }
        }
        self.ready.add(self.first);
    }

    fn accepted(&mut self, now: Duration, registry: &Registry, mut stream: TcpStream) {
        if self.incoming.len() >= self.terms.incoming {
            return;
        }
        let token = self.next;
        self.next += 1;
        if registry.register(&mut stream, Token(token), Interest::READABLE).is_ok() {
            self.incoming.insert(token, Incoming::new(now, stream));
        }
    }

    /// Gives streams that wait for it their turn, and none of them two; whole words are added to `heard`.
    pub fn work(&mut self, now: Duration, registry: &Registry, heard: &mut Vec<(Ipv4Addr, Word)>) {
        for _ in 0..self.ready.len().min(TURNS) {
            match self.ready.take() {
                Some(token) if token == self.first => self.accept(now, registry),
                Some(token) => self.read(now, registry, token, heard),
                None => return,
            }
        }
    }

    /// Streams wait for their turn.
    pub fn has_work(&self) -> bool {
        !self.ready.is_empty()
    }

    fn read(&mut self, now: Duration, registry: &Registry, token: usize, heard: &mut Vec<(Ipv4Addr, Word)>) {
        let Some(incoming) = self.incoming.get_mut(&token) else { return };
        let (greeted, next) = incoming.turn(&mut self.buffer, heard);
        match next {
            Next::Waits => {}
            Next::GoesOn => self.ready.add(token),
            Next::Ends => self.drop_incoming(registry, token),
        }
        if let Some(peer) = greeted {
            self.overtaken(registry, token, peer);
            self.met(now, registry, peer);
        }
    }

    fn drop_incoming(&mut self, registry: &Registry, token: usize) {
        if let Some(mut incoming) = self.incoming.remove(&token) {
            // The socket closes all the same.
            let _ = registry.deregister(&mut incoming.stream);
        }
    }

    /// Streams whose opener does not say who it is hold no place.
    fn drop_nameless(&mut self, now: Duration, registry: &Registry) {
        let nameless =
            |incoming: &Incoming| incoming.peer.is_none() && now >= incoming.opened + self.terms.greeting;
        let over: Vec<usize> =
            self.incoming.iter().filter(|(_, held)| nameless(held)).map(|(token, _)| *token).collect();
        over.into_iter().for_each(|token| self.drop_incoming(registry, token));
    }

    /// A peer has greeted on a new stream: the one before broke, or was of a life that has ended. The peer counts as
    /// lost what it said there; heard later, it would come behind what is said now.
    fn overtaken(&mut self, registry: &Registry, newest: usize, peer: Ipv4Addr) {
        let older = |token: &usize, incoming: &Incoming| *token < newest && incoming.peer == Some(peer);
        for (_, mut incoming) in self.incoming.extract_if(..newest, |token, held| older(token, held)) {
            let _ = registry.deregister(&mut incoming.stream);
        }
    }
}

mod incoming;
mod outgoing;
mod owed;
#[cfg(test)]
#[path = "../tests/inner/links.rs"]
mod tests;

//! The thread that holds all connections.

use super::Terms;
use super::caller::Caller;
use super::connection::{Came, Connection, Lingers, State};
use super::message::{Request, Response};
use super::workers::{Done, Job, Workers};
use fallgap_config::Limits;
use fallgap_proxy::ReadyQueue;
use fallgap_routing::Refusal;
use mio::event::Event;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token, Waker};
use slotmap::{Key, SlotMap, new_key_type};
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

new_key_type! {
    /// A connection, told apart from others that had its place before.
    pub struct ConnectionKey;
}

/// What answers calls at an address.
pub type Service = Arc<dyn Fn(&Request, &Caller) -> Response + Send + Sync>;

/// Why the server does not start.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ServerError {
    /// {0} cannot be listened at: {1}
    Listen(SocketAddrV4, std::io::Error),
    /// the system refuses: {0}
    System(std::io::Error),
}

impl From<std::io::Error> for ServerError {
    fn from(error: std::io::Error) -> Self {
        ServerError::System(error)
    }
}

/// How a call is carried out.
enum Carried {
    /// By the thread that holds the connections: it must not wait for anything.
    AtOnce(Service),
    ByWorkers(Service),
}

struct Listener {
    socket: TcpListener,
    carried: Carried,
}

const WAKE: Token = Token(0);
/// Tokens of listeners come behind the waker's, and behind these the connections'.
const LISTENERS: usize = 1;
const CONNECTIONS: usize = 16;
/// Bytes read at once.
const READ: usize = 16 << 10;
/// Connections that are accepted, calls that are begun on one connection, and answers of workers that are taken, before
/// others get their turn.
const TURN_ACCEPTS: usize = 64;
const TURN_CALLS: usize = 16;
const TURN_ANSWERS: usize = 256;
/// Sources that get a turn before events and slow callers are looked at again.
const TURNS: usize = 64;
/// How often connections are looked at whose caller is slow.
const LOOK: Duration = Duration::from_millis(500);
/// How often, if all are at rest.
const LOOK_AT_REST: Duration = Duration::from_secs(10);

/// A server that is being set up.
pub struct Server {
    poll: Poll,
    waker: Arc<Waker>,
    listeners: Vec<Listener>,
    terms: Terms,
    done: (Sender<Done>, Receiver<Done>),
}

impl Server {
    /// # Errors
    /// The system has no poll for it.
    pub fn new(terms: Terms) -> Result<Server, ServerError> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        Ok(Server { poll, waker, listeners: Vec::new(), terms, done: channel() })
    }

    /// Listens at an address whose calls are carried out by workers. Gives the address, whose port may have been left
    /// to the system.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub fn listen(&mut self, at: SocketAddrV4, service: Service) -> Result<SocketAddr, ServerError> {
        self.add(at, Carried::ByWorkers(service))
    }

    /// Listens at an address whose calls wait for nothing, and are answered at once. Gives the address.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub fn listen_at_once(&mut self, at: SocketAddrV4, service: Service) -> Result<SocketAddr, ServerError> {
        self.add(at, Carried::AtOnce(service))
    }

    fn add(&mut self, at: SocketAddrV4, carried: Carried) -> Result<SocketAddr, ServerError> {
        let listen = |error| ServerError::Listen(at, error);
        let mut socket = TcpListener::bind(SocketAddr::V4(at)).map_err(listen)?;
        let token = Token(LISTENERS + self.listeners.len());
        self.poll.registry().register(&mut socket, token, Interest::READABLE).map_err(listen)?;
        let bound = socket.local_addr().map_err(listen)?;
        self.listeners.push(Listener { socket, carried });
        Ok(bound)
    }

    /// Starts the threads. They end with the process.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start(self) -> Result<(), ServerError> {
        let terms = self.terms;
        let (tell, done) = self.done;
        let workers = Workers::start(terms.workers, terms.waiting, terms.patience, &tell, &self.waker)?;
        let limits = Limits {
            header_bytes: terms.head_bytes,
            body_bytes: terms.body_bytes,
            header: terms.slow,
            idle: terms.idle,
        };
        let running = Running {
            poll: self.poll,
            clock: Instant::now(),
            listeners: self.listeners,
            connections: SlotMap::with_key(),
            places: Vec::new(),
            workers,
            done,
            ready: ReadyQueue::default(),
            limits,
            held: 0,
            look: Duration::ZERO,
            accepts_again: false,
            scratch: vec![0; READ].into_boxed_slice(),
            terms,
        };
        thread::Builder::new().name("control".into()).spawn(move || running.run())?;
        Ok(())
    }
}

/// Something that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Source {
    Listener(usize),
    Connection(ConnectionKey),
    /// Answers of workers.
    Workers,
}

struct Running {
    poll: Poll,
    clock: Instant,
    listeners: Vec<Listener>,
    connections: SlotMap<ConnectionKey, Connection>,
    /// The key that has each place now.
    places: Vec<ConnectionKey>,
    workers: Workers,
    done: Receiver<Done>,
    ready: ReadyQueue<Source>,
    limits: Limits,
    /// Bytes held by all connections.
    held: usize,
    /// When connections are looked at next.
    look: Duration,
    /// Connections that could not be accepted may wait.
    accepts_again: bool,
    scratch: Box<[u8]>,
    terms: Terms,
}

impl Running {
    fn run(mut self) {
        let mut events = Events::with_capacity(256);
        loop {
            let looks = self.accepts_again || !self.connections.is_empty();
            let wait = looks.then(|| self.look.saturating_sub(self.clock.elapsed()));
            let wait = if self.ready.is_empty() { wait } else { Some(Duration::ZERO) };
            match self.poll.poll(&mut events, wait) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return tracing::error!("control: ends, its poll fails: {error}"),
                Ok(()) => {}
            }
            let now = self.clock.elapsed();
            for event in &events {
                self.event(event);
            }
            self.work(now);
            if now >= self.look {
                self.look_at_all(now);
            }
        }
    }

    fn event(&mut self, event: &Event) {
        let token = event.token();
        if token == WAKE {
            return self.ready.add(Source::Workers);
        }
        if let Some(place) = token.0.checked_sub(CONNECTIONS) {
            let Some(key) = self.places.get(place).copied() else { return };
            let Some(connection) = self.connections.get_mut(key) else { return };
            // A hint: the event may be meant for one that had the place before.
            connection.more |= event.is_readable() || event.is_read_closed() || event.is_error();
            return self.ready.add(Source::Connection(key));
        }
        self.ready.add(Source::Listener(token.0 - LISTENERS));
    }

    /// Gives sources that wait for it their turn, and none of them two.
    fn work(&mut self, now: Duration) {
        for _ in 0..self.ready.len().min(TURNS) {
            match self.ready.take() {
                Some(Source::Listener(at)) => self.accept(now, at),
                Some(Source::Connection(key)) => self.see_to(now, key),
                Some(Source::Workers) => self.take_answers(now),
                None => return,
            }
        }
    }

    fn take_answers(&mut self, now: Duration) {
        for _ in 0..TURN_ANSWERS {
            match self.done.try_recv() {
                Ok(done) => self.done(now, done),
                Err(_) => return,
            }
        }
        self.ready.add(Source::Workers);
    }

    fn accept(&mut self, now: Duration, at: usize) {
        for _ in 0..TURN_ACCEPTS {
            let Some(listener) = self.listeners.get(at) else { return };
            match listener.socket.accept() {
                Ok((stream, _)) => self.accepted(now, at, stream),
                Err(error) => match error.kind() {
                    ErrorKind::Interrupted | ErrorKind::ConnectionAborted => {}
                    ErrorKind::WouldBlock => return,
                    // No descriptor is left, or the like. The poll does not tell again of those that wait.
                    _ if self.close_oldest() => {}
                    _ => {
                        self.accepts_again = true;
                        self.look = self.look.min(now + LOOK);
                        return;
                    }
                },
            }
        }
        self.ready.add(Source::Listener(at));
    }

    fn accepted(&mut self, now: Duration, listener: usize, stream: mio::net::TcpStream) {
        if self.connections.len() >= self.terms.connections && !self.close_oldest() {
            return;
        }
        // Answers are written whole: only their delay is at stake.
        let _ = stream.set_nodelay(true);
        let key = self.connections.insert(Connection::new(stream, listener, now));
        let place = place(key);
        if self.places.len() <= place {
            self.places.resize(place + 1, ConnectionKey::null());
        }
        if let Some(held) = self.places.get_mut(place) {
            *held = key;
        }
        let Some(connection) = self.connections.get_mut(key) else { return };
        let token = Token(CONNECTIONS + place);
        if self.poll.registry().register(&mut connection.stream, token, Interest::READABLE).is_err() {
            self.connections.remove(key);
        }
        // It is read as the poll tells of it.
        self.look = self.look.min(now + LOOK);
    }

    /// Closes the connection at rest for longest. `false`: there is none.
    fn close_oldest(&mut self) -> bool {
        let at_rest = self.connections.iter().filter(|(_, connection)| connection.is_at_rest());
        let oldest = at_rest.min_by_key(|(key, connection)| (connection.moved, *key)).map(|(key, _)| key);
        oldest.is_some_and(|key| {
            self.close(key);
            true
        })
    }

    /// A connection's turn: it goes on as far as it goes in one.
    fn see_to(&mut self, now: Duration, key: ConnectionKey) {
        let mut calls = 0;
        while let Some(connection) = self.connections.get_mut(key) {
            let goes_on = match connection.state {
                State::Reading if calls == TURN_CALLS => {
                    self.ready.add(Source::Connection(key));
                    false
                }
                State::Reading => {
                    calls += 1;
                    self.read(now, key)
                }
                State::Waiting { .. } => self.see_close(now, key),
                State::Writing { keep } => self.write(now, key, keep),
                State::Lingering => {
                    self.linger(key);
                    false
                }
            };
            self.account(key);
            if !goes_on {
                return;
            }
        }
    }

    fn linger(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        match connection.linger(&mut self.scratch) {
            Lingers::On => {}
            Lingers::Spent => self.ready.add(Source::Connection(key)),
            Lingers::Ended => self.close(key),
        }
    }

    /// Reads on. Tells whether its state has changed.
    fn read(&mut self, now: Duration, key: ConnectionKey) -> bool {
        let room = self.terms.held_bytes.saturating_sub(self.held);
        let Some(connection) = self.connections.get_mut(key) else { return false };
        match connection.read(now, &self.limits, room, &mut self.scratch) {
            Came::Nothing => {
                self.look_soon(now, key);
                return false;
            }
            Came::Spent => {
                self.look_soon(now, key);
                self.ready.add(Source::Connection(key));
                return false;
            }
            Came::Ended => {
                self.close(key);
                return false;
            }
            Came::Refused(refusal) => {
                let response = match refusal {
                    Refusal::NoRoom => Response::busy(),
                    refusal => Response::text(refusal.status(), &refusal),
                };
                connection.answer(now, response.bytes(false, false), false);
            }
            Came::Call(request) => self.call(now, key, request),
        }
        true
    }

    /// A call is whole.
    fn call(&mut self, now: Duration, key: ConnectionKey, request: Box<fallgap_routing::Request>) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let (keep, head_only) = (request.head.keep, request.head.is_head());
        let request = Request::new(request);
        let caller = Caller::default();
        let response = match self.listeners.get(connection.listener).map(|listener| &listener.carried) {
            None => Response::empty(404),
            // Whoever has closed by now has gone on: nothing is begun.
            Some(_) if connection.has_closed(self.terms.head_bytes, &mut self.scratch) => Response::busy(),
            Some(Carried::AtOnce(service)) => service(&request, &caller),
            Some(Carried::ByWorkers(service)) => {
                let (service, came) = (Arc::clone(service), Instant::now());
                let job = Job { connection: key, service, request, caller: caller.clone(), came };
                if self.workers.take(job) {
                    connection.state = State::Waiting { caller, keep, head_only };
                    return;
                }
                Response::busy()
            }
        };
        connection.answer(now, response.bytes(keep, head_only), keep);
    }

    /// Sees whether the caller of a call that is with a worker has closed. What was not begun is not begun any more.
    fn see_close(&mut self, now: Duration, key: ConnectionKey) -> bool {
        let Some(connection) = self.connections.get_mut(key) else { return false };
        if !connection.has_closed(self.terms.head_bytes, &mut self.scratch) {
            return false;
        }
        let State::Waiting { caller, .. } = &connection.state else { return false };
        if !caller.left() {
            // What was begun is answered: the caller may still hear.
            return false;
        }
        connection.answer(now, Response::busy().bytes(false, false), false);
        true
    }

    /// A worker has an answer.
    fn done(&mut self, now: Duration, done: Done) {
        let key = done.connection;
        let Some(connection) = self.connections.get_mut(key) else { return };
        let State::Waiting { keep, head_only, .. } = connection.state else { return };
        connection.answer(now, done.response.bytes(keep, head_only), keep);
        self.see_to(now, key);
    }

    /// Writes on. Tells whether all has left.
    fn write(&mut self, now: Duration, key: ConnectionKey, keep: bool) -> bool {
        let Some(connection) = self.connections.get_mut(key) else { return false };
        match connection.write(now) {
            Ok(true) => {
                connection.answered(now, keep);
                self.look_soon(now, key);
                return true;
            }
            Ok(false) => {
                let both = Interest::READABLE | Interest::WRITABLE;
                let token = Token(CONNECTIONS + place(key));
                let registry = self.poll.registry();
                if connection.watched || registry.reregister(&mut connection.stream, token, both).is_ok() {
                    connection.watched = true;
                    self.look_soon(now, key);
                    return false;
                }
            }
            Err(_) => {}
        }
        self.close(key);
        false
    }

    /// Ends what is too slow.
    fn look_at_all(&mut self, now: Duration) {
        if std::mem::take(&mut self.accepts_again) {
            (0..self.listeners.len()).for_each(|at| self.accept(now, at));
        }
        let due = |connection: &Connection| connection.due(&self.terms).is_some_and(|at| now >= at);
        let over: Vec<ConnectionKey> =
            self.connections.iter().filter(|(_, connection)| due(connection)).map(|(key, _)| key).collect();
        for key in over {
            self.too_slow(now, key);
        }
        let moves =
            self.accepts_again || self.connections.values().any(|connection| !connection.is_at_rest());
        self.look = now + if moves { LOOK } else { LOOK_AT_REST };
    }

    /// The time is over for what a connection waits for.
    fn too_slow(&mut self, now: Duration, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if !matches!(connection.state, State::Reading) {
            return self.close(key);
        }
        // Bytes may stand there that no event has told of yet: this process may have been held up.
        connection.more = true;
        self.see_to(now, key);
        let Some(connection) = self.connections.get_mut(key) else { return };
        let reads = matches!(connection.state, State::Reading);
        if !reads || connection.due(&self.terms).is_none_or(|at| now < at) {
            return;
        }
        if connection.is_at_rest() {
            return self.close(key);
        }
        let response = Response::text(Refusal::Slow.status(), &Refusal::Slow);
        connection.answer(now, response.bytes(false, false), false);
        self.see_to(now, key);
    }

    /// A connection that is not at rest is looked at soon.
    fn look_soon(&mut self, now: Duration, key: ConnectionKey) {
        if self.connections.get(key).is_some_and(|connection| !connection.is_at_rest()) {
            self.look = self.look.min(now + LOOK);
        }
    }

    /// Counts what a connection holds.
    fn account(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let held = connection.held();
        let before = std::mem::replace(&mut connection.accounted, held);
        self.held = (self.held + held).saturating_sub(before);
    }

    fn close(&mut self, key: ConnectionKey) {
        let Some(mut connection) = self.connections.remove(key) else { return };
        self.held = self.held.saturating_sub(connection.accounted);
        if let State::Waiting { caller, .. } = &connection.state {
            caller.left();
        }
        // The socket closes all the same.
        let _ = self.poll.registry().deregister(&mut connection.stream);
    }
}

/// The place of a key: dense, and free again with the key.
fn place(key: ConnectionKey) -> usize {
    (key.data().as_ffi() & 0xffff_ffff) as usize
}

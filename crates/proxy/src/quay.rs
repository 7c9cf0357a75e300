//! The quay as its owner sees it.

use crate::admission::PeerMessage;
use crate::client::{Client, ClientState};
use crate::line::Line;
use crate::lines::Pool;
use crate::logbook::{Logbook, Tale};
use crate::operations::Operations;
use crate::ops::OpEntry;
use crate::ready::ReadyQueue;
use crate::terms::Terms;
use crate::timers::{ClientKey, LineKey, OpKey, Timers, Who};
use fallgap_config::{Limits, Routing, View};
use fallgap_control_state::NodeId;
use fallgap_control_state::attempts::{AttemptTerms, Attempts};
use fallgap_health::Verdict;
use fallgap_routing::{
    Draught, Ends, Fleet, Lease, Place, QuotaFront, QuotaTerms, Report, ServerKey, ServiceKey, ViewTimes,
};
use mio::event::Event;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use slotmap::{Key, SecondaryMap, SlotMap};
use socket2::{Domain, Socket, Type};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, SocketAddrV4};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum QuayError {
    /// the front address can not be listened on: {0}
    Listen(std::io::Error),
    /// the poll does not take the front: {0}
    Register(std::io::Error),
}

impl From<QuayError> for std::io::Error {
    fn from(error: QuayError) -> Self {
        let kind = match &error {
            QuayError::Listen(from) | QuayError::Register(from) => from.kind(),
        };
        std::io::Error::new(kind, error)
    }
}

/// What has been since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub accepted: u64,
    pub requests: u64,
    /// Answers of servers that went back.
    pub passed: u64,
    /// Own answers by status: what was not to be understood, or too long or slow; no route; not run; may have run;
    /// time over.
    pub malformed: u64,
    pub no_route: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub late: u64,
    /// Requests that left for servers, those beyond the first of an op, and those of them to a silent server's
    /// help.
    pub sent: u64,
    pub extras: u64,
    pub hedges: u64,
    /// Refusals by servers that say so, and answers that proved nothing.
    pub sheds: u64,
    pub void: u64,
    /// Answers of servers that were longer than may be passed on.
    pub too_long: u64,
    /// Connections to servers that were opened, and those that never came up.
    pub lines: u64,
    pub unreached: u64,
    /// Refused before any server was asked, as it is pressed.
    pub pressed: u64,
    /// Refused as their route may have changed meanwhile.
    pub doubted: u64,
    /// Came while the view lacked for too long what its home knows.
    pub behind: u64,
    /// Sent elsewhere, as the own link is laden.
    pub laden: u64,
    /// Clients whose connection broke before their answer, and those that closed it in order.
    pub abandoned: u64,
    pub closed_early: u64,
    /// Answers that came for clients that had closed their connection.
    pub unheard: u64,
    /// Refused for want of a customer's key, or as keys may have been taken away without a word here.
    pub no_key: u64,
    pub keys_lapsed: u64,
    /// Refused as their customer had used up its quota.
    pub over_quota: u64,
    /// Requests that got the answer of the first one of their operation, and those whose operation has no answer that is known.
    pub operations_repeated: u64,
    pub operations_unknown: u64,
}

pub struct Quay {
    pub(crate) registry: Registry,
    pub(crate) tokens: Range<usize>,
    pub(crate) listener: TcpListener,
    pub(crate) accept_noted: Option<Duration>,
    pub(crate) clients: SlotMap<ClientKey, Client>,
    pub(crate) client_at: Vec<ClientKey>,
    pub(crate) lines: SlotMap<LineKey, Line>,
    pub(crate) line_at: Vec<LineKey>,
    pub(crate) ops: SlotMap<OpKey, OpEntry>,
    pub(crate) pools: SecondaryMap<ServerKey, Pool>,
    /// How long servers of a service seem to keep connections that they say nothing of.
    pub(crate) rests: SecondaryMap<ServiceKey, Duration>,
    pub(crate) fleet: Fleet,
    pub(crate) draught: Draught,
    pub(crate) routing: Option<Routing>,
    /// Whether routes of offices may be gone by.
    pub(crate) lease: Lease,
    pub(crate) limits: Limits,
    /// The lowest rank of all routes.
    pub(crate) last_priority: u8,
    pub(crate) timers: Timers,
    /// Connections that have something to be read or written and wait for their turn.
    pub(crate) ready: ReadyQueue<Who>,
    pub(crate) scratch: Box<[u8]>,
    pub(crate) memory: usize,
    /// How long a connection to a server takes to come up, in seconds.
    pub(crate) connect_typical: f64,
    pub(crate) leaving: Option<Duration>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) terms: Terms,
    pub(crate) counters: Counters,
    pub(crate) logbook: Logbook,
    pub(crate) me: NodeId,
    /// Those that may be members of the control state.
    pub(crate) members: Vec<NodeId>,
    pub(crate) quotas: QuotaFront<OpKey>,
    pub(crate) operations: Operations,
    pub(crate) attempts: Attempts,
    /// Whose attempts are counted, by their numbers.
    pub(crate) claiming: HashMap<u64, OpKey>,
    pub(crate) next_question: u64,
    pub(crate) peer_messages: Vec<PeerMessage>,
}

/// Bytes read at once.
const READ: usize = 64 << 10;
/// Bytes that are read from one connection, or written to it, before others get their turn.
pub(crate) const TURN_BYTES: usize = 256 << 10;
/// Connections that get a turn before timers and words of other supervisors are looked at again.
const TURNS: usize = 64;
/// Timers that are looked at before words of other supervisors are: a connection may be read for each.
const TIMERS: usize = 256;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    Client,
    Server,
}

impl Quay {
    /// Listens at `front`. The poll must give back events with tokens of the range to [`Quay::event`].
    pub fn open(
        registry: &Registry, tokens: Range<usize>, front: SocketAddrV4, zone: Arc<str>, seed: u64,
        terms: Terms,
    ) -> std::io::Result<Quay> {
        let mut listener = listen(front).map_err(QuayError::Listen)?;
        let registry = registry.try_clone().map_err(QuayError::Register)?;
        registry
            .register(&mut listener, Token(tokens.start), Interest::READABLE)
            .map_err(QuayError::Register)?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let limits = Limits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        };
        Ok(Quay {
            registry,
            tokens,
            listener,
            accept_noted: None,
            clients: SlotMap::with_key(),
            client_at: Vec::new(),
            lines: SlotMap::with_key(),
            line_at: Vec::new(),
            ops: SlotMap::with_key(),
            pools: SecondaryMap::new(),
            rests: SecondaryMap::new(),
            draught: Draught::new(terms.link_mbps, terms.pilot.laden_part),
            fleet: Fleet::new(zone, terms.pilot, rng.u64(..)),
            routing: None,
            lease: Lease::new(terms.lease),
            limits,
            last_priority: 0,
            timers: Timers::default(),
            ready: ReadyQueue::default(),
            scratch: vec![0; READ].into_boxed_slice(),
            memory: 0,
            connect_typical: 0.0,
            leaving: None,
            terms,
            counters: Counters::default(),
            logbook: Logbook::new(terms.pages),
            me: NodeId::UNSPECIFIED,
            members: Vec::new(),
            quotas: QuotaFront::new(terms.quota),
            operations: Operations::default(),
            attempts: Attempts::new(AttemptTerms::default(), rng.u64(1..1 << 62)),
            claiming: HashMap::new(),
            next_question: rng.u64(1..1 << 62),
            peer_messages: Vec::new(),
            rng,
        })
    }

    /// Where it listens.
    pub fn front(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Something has happened at one of its sockets. What there is to do is done here or in [`Quay::work`]. Tells whose
    /// socket it is.
    pub fn event(&mut self, now: Duration, event: &Event) -> Peer {
        let Some(place) = event.token().0.checked_sub(self.tokens.start) else { return Peer::Client };
        match place.checked_sub(1) {
            None => {
                self.ready.add(Who::Listener);
                Peer::Client
            }
            Some(at) if at % 2 == 0 => {
                if let Some(key) = self.client_at.get(at / 2).copied() {
                    self.client_event(now, key, event);
                }
                Peer::Client
            }
            Some(at) => {
                if let Some(key) = self.line_at.get(at / 2).copied() {
                    self.line_event(now, key, event);
                }
                Peer::Server
            }
        }
    }

    /// Gives connections that wait for it their turn, the one that has waited for longest first, and none of them two.
    /// To be called once between two waitings for events; what is left then is due at once by [`Quay::next_wake`].
    /// `after` is told whose turn it was, behind each.
    pub fn work(&mut self, now: Duration, mut after: impl FnMut(Peer)) {
        for _ in 0..self.ready.len().min(TURNS) {
            let Some(who) = self.ready.take() else { return };
            match who {
                Who::Listener => self.accept(now),
                Who::Client(key) => self.client_turn(now, key),
                Who::Line(key) => self.line_turn(now, key),
                Who::Op(_) => {}
            }
            after(if matches!(who, Who::Line(_)) { Peer::Server } else { Peer::Client });
        }
    }

    /// The time that [`Quay::next_wake`] gave has come. Where very many are due at once, some are due still.
    pub fn woke(&mut self, now: Duration) {
        self.admission_woke(now);
        for _ in 0..TIMERS {
            let Some(who) = self.timers.pop(now) else { return };
            match who {
                Who::Listener => {
                    self.accept_noted = None;
                    self.accept(now);
                }
                Who::Client(key) => self.client_due(now, key),
                Who::Line(key) => self.line_due(now, key),
                Who::Op(key) => self.op_due(now, key),
            }
        }
    }

    pub fn next_wake(&self) -> Option<Duration> {
        if !self.ready.is_empty() || !self.peer_messages.is_empty() {
            return Some(Duration::ZERO);
        }
        let wakes = [self.timers.next(), self.attempts.next_wake(), self.quotas.next_wake()];
        wakes.into_iter().flatten().min()
    }

    /// New routes and servers. What is not in it gets nothing any more.
    pub fn view(&mut self, now: Duration, view: Arc<View>) {
        let configuration = &view.configuration;
        let known = self.routing.as_ref().map(Routing::configuration);
        if known.is_none_or(|known| !Arc::ptr_eq(known, configuration)) {
            self.routing = Some(Routing::new(configuration.clone()));
            self.lease.holds(configuration.revision());
            self.limits = configuration.limits;
            let names: HashSet<&str> = configuration.routes.iter().map(|route| &*route.name).collect();
            self.draught.keep(|route| names.contains(route));
            self.last_priority = configuration.routes.iter().map(|route| route.priority).max().unwrap_or(0);
        }
        for (server, id) in self.fleet.view(&view) {
            self.server_gone(now, server);
            self.logbook.server_gone(server, id);
        }
    }

    /// Up to when the view that is routed by is known to be complete.
    pub fn view_times(&mut self, times: ViewTimes) {
        self.lease.view_times(times);
        self.logbook.confirmed(times.confirmed);
    }

    /// A revision of the accounts is kept that touches these places. Tells whether it is routed by here.
    pub fn heed(&mut self, now: Duration, revision: u64, places: Vec<Place>) -> bool {
        self.lease.heed(now, revision, places)
    }

    /// What binds quotas from here on.
    pub fn quota_terms(&mut self, terms: QuotaTerms) {
        self.quotas.set_terms(terms);
    }

    /// Tokens held and requests that wait for one, operations known and bytes of their answers.
    pub fn admission_held(&self) -> [u64; 4] {
        let ((tokens, waiting), (operations, bytes)) = (self.quotas.held(), self.operations.held());
        [tokens, waiting, operations as u64, bytes as u64]
    }

    /// How many supervisors are known, with this one, and its place among them in an order that all share: what is
    /// shared by all is shared by so many.
    pub fn supervisors(&mut self, place: usize, count: usize) {
        self.fleet.supervisors(place, count);
    }

    /// Serves on, and tells each client that it is its last answer here.
    pub fn leave(&mut self, now: Duration) {
        if self.leaving.is_some() {
            return;
        }
        self.leaving = Some(now);
        let keys: Vec<ClientKey> = self.clients.keys().collect();
        keys.into_iter().for_each(|key| self.set_due(now, key));
    }

    /// Requests that came in part or whole and whose answer has not left.
    pub fn at_work(&self) -> usize {
        let at_work = |client: &&Client| match client.state {
            ClientState::Reading => !client.inbox.is_empty(),
            ClientState::Writing { .. } => true,
            ClientState::Working(_) | ClientState::Passing { .. } | ClientState::Lingering => false,
        };
        self.clients.values().filter(at_work).count() + self.ops.len()
    }

    /// What became of the ops with this id; without one, of the last ones that met something.
    pub fn tales(&self, now: Duration, id: Option<&str>, most: usize) -> Vec<Tale> {
        let service = |key| self.fleet.service_name(key).cloned();
        let server = |key| self.fleet.server(key).map(|server| server.id.clone());
        self.logbook.find(now, id, most, service, server)
    }

    pub fn reports(&mut self, now: Duration) -> Vec<Report> {
        self.fleet.reports(now)
    }

    /// The servers as ops see them: what is told of them, and what they did.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Verdicts that all supervisors are told.
    pub fn verdicts(&mut self, now: Duration, verdicts: &[Verdict]) {
        self.fleet.verdicts(now, verdicts);
    }

    /// There are routes and servers for some. Where customers have keys, it can ask others for what requests need, and keys hold for
    /// a good while yet.
    pub fn is_ready(&self, now: Duration) -> bool {
        let configuration = self.routing.as_ref().map(Routing::configuration);
        let needs_keys = configuration.is_some_and(|configuration| configuration.customers.is_some());
        configuration.is_some_and(|configuration| !configuration.routes.is_empty())
            && (!needs_keys || (self.lease.is_reached() && self.lease.keys_hold_on(now)))
            && self.fleet.services().any(|(_, servers)| servers > 0)
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Connections of clients and to servers.
    pub fn connections(&self) -> (usize, usize) {
        (self.clients.len(), self.lines.len())
    }

    /// How long each connection to a server is borne silent by the kernel.
    pub fn silences(&self) -> Vec<Duration> {
        self.lines.values().map(|line| line.silence).collect()
    }

    /// Bytes of requests and answers held.
    pub fn held(&self) -> usize {
        self.memory
    }

    /// The place of a key among those of its kind: dense, and free again with the key.
    pub(crate) fn place(key: impl Key) -> usize {
        (key.data().as_ffi() & 0xffff_ffff) as usize
    }

    pub(crate) fn client_token(&self, key: ClientKey) -> Option<Token> {
        let token = self.tokens.start + 1 + 2 * Self::place(key);
        self.tokens.contains(&token).then_some(Token(token))
    }

    pub(crate) fn line_token(&self, key: LineKey) -> Option<Token> {
        let token = self.tokens.start + 2 + 2 * Self::place(key);
        self.tokens.contains(&token).then_some(Token(token))
    }

    /// What is told of the connection behind an answer.
    pub(crate) fn ends(&self, client: ClientKey, keep: bool) -> Ends {
        let rest = self.limits.idle.saturating_sub(Duration::from_secs(1));
        // What has been read gets its answer, too.
        let waits = || self.clients.get(client).is_some_and(|client| !client.inbox.is_empty());
        let keep = keep && self.clients.get(client).is_some_and(|client| !client.closed);
        if keep && rest >= Duration::from_secs(1) && (self.leaving.is_none() || waits()) {
            Ends::Kept(rest)
        } else {
            Ends::Closed
        }
    }

    /// When a connection that is not up is given up: nothing is lost by it.
    pub(crate) fn connect_most(&self, target: Duration) -> Duration {
        let most = self.terms.pilot.connect;
        let typical = Duration::from_secs_f64(self.connect_typical);
        let usual = if typical.is_zero() { most } else { (typical * 10).clamp(most / 2, most) };
        let patience = most.max(target.mul_f64(self.terms.pilot.connect_part));
        usual.max((typical * 4).min(patience))
    }

    pub(crate) fn again(&mut self) -> Duration {
        self.terms.again + self.terms.again_drawn.mul_f64(self.rng.f64())
    }
}

/// Connections that wait in the kernel to be accepted. One beyond is tried again by its client after a second.
const BACKLOG: i32 = 4096;

fn listen(at: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(at).into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Notes a key at its place.
pub(crate) fn note<K: Key>(at: &mut Vec<K>, key: K) {
    let place = Quay::place(key);
    if at.len() <= place {
        at.resize(place + 1, K::null());
    }
    if let Some(held) = at.get_mut(place) {
        *held = key;
    }
}

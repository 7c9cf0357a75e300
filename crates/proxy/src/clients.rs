//! Connections of clients: accepted, read, answered, closed.

use crate::client::{Client, ClientState, Outgoing, Written};
use crate::quay::{Quay, TURN_BYTES, note};
use crate::timers::{ClientKey, OpKey, Who};
use fallgap_routing::{Ends, Refusal, Step, own_answer};
use mio::Interest;
use mio::event::Event;
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

/// How a client's connection stands behind what was read of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ahead {
    Open,
    /// The client sends no more. Whether it still hears shows only when something is written.
    Closed,
    /// It broke, and is closed here as well.
    Broken,
}

/// Connections that are accepted before others get their turn.
const TURN_ACCEPTS: usize = 64;

impl Quay {
    pub(crate) fn accept(&mut self, now: Duration) {
        for _ in 0..TURN_ACCEPTS {
            if self.clients.len() >= self.terms.connections && !self.close_oldest(now) {
                return self.pause_accepting(now);
            }
            match self.listener.accept() {
                Ok((stream, _)) => self.accepted(now, stream),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock => return,
                    ErrorKind::Interrupted | ErrorKind::ConnectionAborted => {}
                    // No descriptor is left, or the like.
                    _ => {
                        self.close_oldest(now);
                        return self.pause_accepting(now);
                    }
                },
            }
        }
        self.ready.add(Who::Listener);
    }

    fn pause_accepting(&mut self, now: Duration) {
        let at = now + self.terms.accept_pause;
        self.timers.no_later(&mut self.accept_noted, at, Who::Listener);
    }

    fn accepted(&mut self, now: Duration, stream: mio::net::TcpStream) {
        // Answers are written whole: only their delay is at stake.
        let _ = stream.set_nodelay(true);
        let key = self.clients.insert(Client::new(stream, now));
        let token = self.client_token(key);
        let registered = self.clients.get_mut(key).zip(token).is_some_and(|(client, token)| {
            self.registry.register(&mut client.stream, token, Interest::READABLE).is_ok()
        });
        if !registered {
            self.clients.remove(key);
            return;
        }
        self.counters.accepted += 1;
        note(&mut self.client_at, key);
        self.set_due(now, key);
    }

    /// Closes the connection at rest for longest, if there is one.
    fn close_oldest(&mut self, now: Duration) -> bool {
        let at_rest = self.clients.iter().filter(|(_, client)| client.is_at_rest());
        let oldest = at_rest.min_by_key(|(key, client)| (client.moved, *key)).map(|(key, _)| key);
        oldest.is_some_and(|key| {
            self.close_client(now, key);
            true
        })
    }

    pub(crate) fn client_event(&mut self, now: Duration, key: ClientKey, event: &Event) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.more |= event.is_readable() || event.is_read_closed();
        if (event.is_error() || event.is_write_closed()) && is_broken(client) {
            self.counters.abandoned += u64::from(client.op().is_some());
            return self.close_client(now, key);
        }
        if client.more && client.op().is_some() {
            self.see_close(now, key);
        }
        let Some(client) = self.clients.get(key) else { return };
        match client.state {
            ClientState::Reading | ClientState::Lingering => self.ready.add(Who::Client(key)),
            ClientState::Writing { .. } | ClientState::Passing { .. } if event.is_writable() => {
                self.ready.add(Who::Client(key));
            }
            ClientState::Writing { .. } | ClientState::Passing { .. } | ClientState::Working(_) => {}
        }
    }

    /// Sees whether a client whose op is at work has closed its side, and ends what it then needs no more.
    fn see_close(&mut self, now: Duration, key: ClientKey) {
        let known = self.clients.get(key).is_none_or(|client| client.closed);
        if known || self.read_ahead(now, key) != Ahead::Closed {
            return;
        }
        if let Some(op) = self.clients.get(key).and_then(Client::op) {
            self.counters.closed_early += 1;
            self.client_left(now, op);
        }
    }

    /// Looks at an op's client before another server is asked. `false`: the op has ended with it.
    pub(crate) fn is_waited_for(&mut self, now: Duration, op: OpKey) -> bool {
        let client = self.ops.get(op).map(|op| op.client);
        if let Some((key, client)) = client.and_then(|key| Some((key, self.clients.get_mut(key)?))) {
            client.more = true;
            self.see_close(now, key);
        }
        self.ops.contains_key(op)
    }

    /// Reads on behind a whole request, as a close shows only behind all that was sent. Up to a head's length is held
    /// for the next request; a close behind more than that is seen when that has been taken.
    pub(crate) fn read_ahead(&mut self, now: Duration, key: ClientKey) -> Ahead {
        let room = self.terms.memory.saturating_sub(self.memory).min(self.limits.header_bytes);
        let Some(client) = self.clients.get_mut(key) else { return Ahead::Broken };
        while client.more && !client.closed {
            let most = room.saturating_sub(client.inbox.held()).min(self.scratch.len());
            let Some(piece) = self.scratch.get_mut(..most).filter(|piece| !piece.is_empty()) else { break };
            match client.stream.read(piece) {
                Ok(0) => client.closed = true,
                Ok(count) => client.inbox.push(piece.get(..count).unwrap_or_default()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => client.more = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.counters.abandoned += 1;
                    self.close_client(now, key);
                    return Ahead::Broken;
                }
            }
        }
        let ahead = if client.closed { Ahead::Closed } else { Ahead::Open };
        self.account(key);
        ahead
    }

    /// A client's turn: it is read from or written to, as far as a turn goes.
    pub(crate) fn client_turn(&mut self, now: Duration, key: ClientKey) {
        let Some(client) = self.clients.get(key) else { return };
        match client.state {
            ClientState::Reading => self.read_client(now, key),
            ClientState::Lingering => self.linger(now, key),
            ClientState::Passing { op, .. } if client.out.is_empty() => self.hear_on(now, op),
            ClientState::Passing { .. } | ClientState::Writing { .. } => self.write_client(now, key),
            ClientState::Working(_) => {}
        }
    }

    fn read_client(&mut self, now: Duration, key: ClientKey) {
        let mut read = 0;
        loop {
            let room = self.terms.memory.saturating_sub(self.memory);
            let Some(client) = self.clients.get_mut(key) else { return };
            match client.inbox.step(&self.limits, room) {
                Step::Whole(request) => {
                    let began = client.since.take().unwrap_or(now);
                    self.account(key);
                    return self.begin_op(now, key, began, request);
                }
                Step::Refused(refusal) => return self.refuse(now, key, refusal),
                Step::Expects => {
                    // If it can not be written at once the client waits a little, and sends the body all the same.
                    let _ = client.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                Step::More if client.more && read >= TURN_BYTES => {
                    self.ready.add(Who::Client(key));
                    break;
                }
                Step::More if client.more => match client.stream.read(&mut self.scratch) {
                    Ok(0) => return self.close_client(now, key),
                    Ok(count) => {
                        read += count;
                        client.moved = now;
                        client.since.get_or_insert(now);
                        client.inbox.push(self.scratch.get(..count).unwrap_or_default());
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => client.more = false,
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return self.close_client(now, key),
                },
                Step::More => break,
            }
        }
        self.account(key);
        self.set_due(now, key);
    }

    /// A request that goes no further, and with it its connection: where the next one begins is not known.
    fn refuse(&mut self, now: Duration, key: ClientKey, refusal: Refusal) {
        match refusal {
            Refusal::NoRoom => self.counters.not_run += 1,
            Refusal::NoRoute => self.counters.no_route += 1,
            _ => self.counters.malformed += 1,
        }
        let again = (refusal == Refusal::NoRoom).then(|| self.again());
        let mut head = Vec::with_capacity(128);
        own_answer(refusal.status(), None, again, Ends::Closed, &mut head);
        self.reply(now, key, Outgoing::new(head, Vec::new()), false);
    }

    /// An answer leaves for a client.
    pub(crate) fn reply(&mut self, now: Duration, key: ClientKey, out: Outgoing, keep: bool) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.out = out;
        client.turn(now, ClientState::Writing { keep });
        self.write_client(now, key);
    }

    pub(crate) fn write_client(&mut self, now: Duration, key: ClientKey) {
        let token = self.client_token(key);
        let Some((client, token)) = self.clients.get_mut(key).zip(token) else { return };
        let (keep, whole) = match client.state {
            ClientState::Writing { keep } => (keep, true),
            ClientState::Passing { keep, .. } => (keep, false),
            _ => return,
        };
        match client.out.write(&mut client.stream) {
            Ok(Written::All) if !whole => {
                client.moved = now;
                self.ready.add(Who::Client(key));
            }
            Ok(Written::All) if keep => {
                client.turn(now, ClientState::Reading);
                client.since = (!client.inbox.is_empty()).then_some(now);
                if client.more || !client.inbox.is_empty() {
                    self.ready.add(Who::Client(key));
                }
            }
            Ok(Written::All) => {
                client.turn(now, ClientState::Lingering);
                // Fails if the client is gone, which the next reading shows.
                let _ = client.stream.shutdown(Shutdown::Write);
                if client.more {
                    self.ready.add(Who::Client(key));
                }
            }
            Ok(Written::Spent) => {
                client.moved = now;
                self.ready.add(Who::Client(key));
            }
            Ok(Written::Blocked) => {
                client.moved = now;
                let both = Interest::READABLE | Interest::WRITABLE;
                if !client.watched && self.registry.reregister(&mut client.stream, token, both).is_err() {
                    return self.close_client(now, key);
                }
                client.watched = true;
            }
            Err(_) => return self.close_client(now, key),
        }
        self.account(key);
        self.set_due(now, key);
    }

    /// Hears what comes behind the last answer, and lets it fall: a close with unread bytes could take the answer
    /// along.
    fn linger(&mut self, now: Duration, key: ClientKey) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let mut read = 0;
        loop {
            if read >= TURN_BYTES {
                return self.ready.add(Who::Client(key));
            }
            match client.stream.read(&mut self.scratch) {
                Ok(0) => break,
                Ok(count) => read += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    client.more = false;
                    return;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.close_client(now, key);
    }

    /// When the client is to be looked at next.
    pub(crate) fn set_due(&mut self, now: Duration, key: ClientKey) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.due = match client.state {
            ClientState::Reading if client.is_at_rest() => {
                let idle = client.moved + self.limits.idle;
                let over = |order: Duration| {
                    // Clients are sent here for a while yet: whoever comes then is served once.
                    let first = (client.moved + self.terms.first).min(order + self.terms.serves);
                    let first = if client.fresh { first } else { order };
                    (order + self.terms.leave).max(first).max(now)
                };
                self.leaving.map_or(idle, |order| over(order).min(idle))
            }
            ClientState::Reading if client.inbox.id().is_some() => client.moved + self.limits.idle,
            ClientState::Reading => client.since.unwrap_or(client.moved) + self.limits.header,
            // The op has a time of its own.
            ClientState::Working(_) | ClientState::Passing { .. } => return,
            ClientState::Writing { .. } => (client.moved + self.terms.slow_reader).max(client.until),
            ClientState::Lingering => client.moved + self.terms.linger,
        };
        self.timers.no_later(&mut client.noted, client.due, Who::Client(key));
    }

    pub(crate) fn client_due(&mut self, now: Duration, key: ClientKey) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.noted = None;
        if client.op().is_some() {
            return;
        }
        if now < client.due {
            return self.timers.no_later(&mut client.noted, client.due, Who::Client(key));
        }
        match client.state {
            // Bytes may have come that no event has told of yet.
            ClientState::Reading if !std::mem::replace(&mut client.more, true) => {
                self.read_client(now, key);
                let over = |client: &Client| client.state == ClientState::Reading && now >= client.due;
                if self.clients.get(key).is_some_and(over) {
                    self.too_slow(now, key);
                }
            }
            ClientState::Reading => self.too_slow(now, key),
            _ => self.close_client(now, key),
        }
    }

    fn too_slow(&mut self, now: Duration, key: ClientKey) {
        if self.clients.get(key).is_some_and(Client::is_at_rest) {
            self.close_client(now, key);
        } else {
            self.refuse(now, key, Refusal::Slow);
        }
    }

    pub(crate) fn close_client(&mut self, now: Duration, key: ClientKey) {
        let Some(mut client) = self.clients.remove(key) else { return };
        self.timers.set(&mut client.noted, None, Who::Client(key));
        self.memory = self.memory.saturating_sub(client.held);
        // The socket closes all the same.
        let _ = self.registry.deregister(&mut client.stream);
        if let Some(op) = client.op() {
            self.client_left(now, op);
        }
    }

    /// Counts what a client holds.
    pub(crate) fn account(&mut self, key: ClientKey) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let held = client.inbox.held() + client.out.len();
        self.memory = (self.memory + held).saturating_sub(std::mem::replace(&mut client.held, held));
    }
}

/// Whether the connection is broken, as an event hints: the event may be meant for one that was there before.
fn is_broken(client: &Client) -> bool {
    let mut one = [0];
    client.stream.peek(&mut one).is_err_and(|error| error.kind() != ErrorKind::WouldBlock)
}

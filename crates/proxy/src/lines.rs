//! Connections to servers: opened, kept at rest, closed.

use crate::line::{Line, LineState, TryAt};
use crate::quay::{Quay, TURN_BYTES, note};
use crate::timers::{LineKey, OpKey, Who};
use fallgap_routing::{AnswerReader, Ended, Progress, ServerKey, TryOutcome};
use mio::Interest;
use mio::event::Event;
use mio::net::TcpStream;
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::time::Duration;

/// The connections to one server.
#[derive(Default)]
pub(crate) struct Pool {
    /// At rest, the one used last at the end.
    pub resting: Vec<LineKey>,
    pub open: usize,
}

/// Answers of other requests in the place of one's own, that are let fall. One more breaks the line.
const FOREIGN: u32 = 2;

/// What reading from a line gave.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Heard {
    /// The answer is not whole yet. `foreign`: an answer of another request came, and was let fall. `spent`: the line's
    /// turn is over, and there may be more to be read.
    More { foreign: bool, spent: bool },
    /// A whole answer. `fit`: the line may serve on.
    Answer { fit: bool },
    /// It broke, or what came is no answer.
    Broken,
    /// It is longer than may be passed on.
    TooLong,
}

impl Quay {
    /// A connection at rest that stands, best the one used last.
    pub(crate) fn resting_line(
        &mut self, now: Duration, server: ServerKey, careful: bool,
    ) -> Option<LineKey> {
        while let Some(key) = self.pools.get_mut(server).and_then(|pool| pool.resting.pop()) {
            let Some(line) = self.lines.get_mut(key) else { continue };
            let LineState::Resting { since, until } = line.state else { continue };
            // Where the server has not said how long it stays, what may run once trusts it for less.
            let until = if careful && !line.told { since + (until - since) / 3 } else { until };
            if now < until && line.is_silent() {
                return Some(key);
            }
            self.close_line(key);
        }
        None
    }

    /// Opens a connection for a try. `None`: it can not be.
    pub(crate) fn open_line(
        &mut self, now: Duration, server: ServerKey, address: SocketAddr, at: TryAt,
    ) -> Option<LineKey> {
        if self.lines.len() >= self.terms.lines && !self.close_oldest_line() {
            return None;
        }
        let stream = TcpStream::connect(address).ok()?;
        // Without these it is only slower to notice.
        let _ = stream.set_nodelay(true);
        let key = self.lines.insert(Line::new(now, stream, server, at));
        let token = self.line_token(key);
        let both = Interest::READABLE | Interest::WRITABLE;
        let registered = self
            .lines
            .get_mut(key)
            .zip(token)
            .is_some_and(|(line, token)| self.registry.register(&mut line.stream, token, both).is_ok());
        if !registered {
            self.lines.remove(key);
            return None;
        }
        self.counters.lines += 1;
        note(&mut self.line_at, key);
        if let Some(pool) = self.pools.entry(server) {
            pool.or_default().open += 1;
        }
        Some(key)
    }

    /// Closes the connection at rest for longest, if there is one.
    fn close_oldest_line(&mut self) -> bool {
        let at_rest = self.lines.iter().filter_map(|(key, line)| match line.state {
            LineState::Resting { since, .. } => Some((since, key)),
            LineState::Connecting(_) | LineState::Coming | LineState::Working(_) => None,
        });
        let oldest = at_rest.min().map(|(_, key)| key);
        oldest.is_some_and(|key| {
            self.close_line(key);
            true
        })
    }

    /// How long the other machine may be silent before the kernel ends the connection: its silence is no reason to end
    /// an answer that there is still time for.
    pub(crate) fn bear_silence(line: &mut Line, time: Duration) {
        if time > line.silence && SockRef::from(&line.stream).set_tcp_user_timeout(Some(time)).is_ok() {
            line.silence = time;
        }
    }

    pub(crate) fn close_line(&mut self, key: LineKey) {
        let Some(mut line) = self.lines.remove(key) else { return };
        self.timers.set(&mut line.noted, None, Who::Line(key));
        self.memory = self.memory.saturating_sub(line.held);
        // What of a request still lies in the kernel, as on a link that is full, would be delivered behind the close and
        // run for nobody: a reset drops it. Without one the server only learns of the end as of any other.
        if matches!(line.state, LineState::Working(_)) {
            let _ = SockRef::from(&line.stream).set_linger(Some(Duration::ZERO));
        }
        // The socket closes all the same.
        let _ = self.registry.deregister(&mut line.stream);
        if let Some(pool) = self.pools.get_mut(line.server) {
            pool.open = pool.open.saturating_sub(1);
            pool.resting.retain(|resting| *resting != key);
        }
    }

    /// Nothing is due on it any more: it is kept for the next request, as long as the server seems to.
    pub(crate) fn rest_line(&mut self, now: Duration, key: LineKey, kept: Option<Duration>) {
        let Some(line) = self.lines.get_mut(key) else { return };
        let Some(pool) = self.pools.get_mut(line.server) else { return self.close_line(key) };
        let service = self.fleet.server(line.server).map(|server| server.service);
        let seen = service.and_then(|service| self.rests.get(service)).copied();
        let rest = match kept {
            Some(kept) => kept.saturating_sub(self.terms.rest_margin).min(self.terms.rest_most),
            None => seen.map_or(self.terms.rest, |seen| seen.mul_f64(0.7)),
        };
        if rest.is_zero() {
            return self.close_line(key);
        }
        pool.resting.push(key);
        line.is_new = false;
        line.told = kept.is_some();
        line.head = Vec::new();
        line.turn(LineState::Resting { since: now, until: now + rest });
        self.timers.no_later(&mut line.noted, now + rest, Who::Line(key));
        self.memory = self.memory.saturating_sub(std::mem::take(&mut line.held));
    }

    pub(crate) fn line_due(&mut self, now: Duration, key: LineKey) {
        let Some(line) = self.lines.get_mut(key) else { return };
        line.noted = None;
        match line.state {
            LineState::Coming => self.close_line(key),
            LineState::Resting { until, .. } if now >= until => self.close_line(key),
            LineState::Resting { until, .. } => {
                self.timers.no_later(&mut line.noted, until, Who::Line(key));
            }
            LineState::Connecting(_) | LineState::Working(_) => {}
        }
    }

    pub(crate) fn line_event(&mut self, now: Duration, key: LineKey, event: &Event) {
        let Some(line) = self.lines.get_mut(key) else { return };
        match line.state {
            LineState::Resting { since, .. } => {
                if !line.is_silent() {
                    self.broken_at_rest(now.saturating_sub(since), key);
                }
            }
            LineState::Connecting(at) => self.look(now, key, at),
            LineState::Coming => match is_up(line) {
                Ok(false) => {}
                Ok(true) => {
                    self.came_up(now, key);
                    self.rest_line(now, key, None);
                }
                Err(_) => self.close_line(key),
            },
            // Its turn is to come, and then all is seen.
            LineState::Working(_) if self.ready.contains(Who::Line(key)) => {}
            LineState::Working(at) => {
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    self.hear(now, key, at, event.is_read_closed() || event.is_error());
                }
                let writes = |line: &Line| line.state == LineState::Working(at) && !line.wrote_all;
                if event.is_writable() && self.lines.get(key).is_some_and(writes) {
                    self.send(now, key, at);
                }
            }
        }
    }

    /// A line's turn: it is written to and read from, as far as a turn goes.
    pub(crate) fn line_turn(&mut self, now: Duration, key: LineKey) {
        let Some(line) = self.lines.get(key) else { return };
        let LineState::Working(at) = line.state else { return };
        if !line.wrote_all {
            self.send(now, key, at);
        }
        if self.lines.get(key).is_some_and(|line| line.state == LineState::Working(at)) {
            self.hear(now, key, at, true);
        }
    }

    /// Looks what has become of a try, whatever was told of it.
    pub(crate) fn look(&mut self, now: Duration, key: LineKey, at: TryAt) {
        let Some(line) = self.lines.get_mut(key) else { return };
        if line.state == LineState::Working(at) {
            return self.hear(now, key, at, false);
        }
        match is_up(line) {
            Ok(false) => {}
            Ok(true) => {
                self.came_up(now, key);
                self.send(now, key, at);
            }
            Err(_) => self.try_ended(now, at, TryOutcome::NotSent, Ended::Unreached, None),
        }
    }

    /// A connection is up.
    fn came_up(&mut self, now: Duration, key: LineKey) {
        if let Some(line) = self.lines.get(key) {
            let took = now.saturating_sub(line.began).as_secs_f64();
            let part = if self.connect_typical == 0.0 { 1.0 } else { 0.1 };
            self.connect_typical += (took - self.connect_typical) * part;
        }
    }

    /// A connection that takes too long for its try comes up without it, or is given up later.
    pub(crate) fn leave_coming(&mut self, now: Duration, key: LineKey) {
        let Some(line) = self.lines.get_mut(key) else { return };
        line.turn(LineState::Coming);
        let until = now + self.terms.coming;
        self.timers.no_later(&mut line.noted, until, Who::Line(key));
    }

    /// The server closed it, or sent what nobody asked for.
    fn broken_at_rest(&mut self, rested: Duration, key: LineKey) {
        let Some(line) = self.lines.get(key) else { return };
        let server = self.fleet.server(line.server).filter(|_| !line.told);
        if let Some(rests) = server.and_then(|server| self.rests.entry(server.service)) {
            let seen = rests.or_insert(self.terms.rest);
            *seen = (*seen * 7 + rested * 3) / 10;
        }
        self.close_line(key);
    }

    /// Reads what has come of an answer.
    pub(crate) fn hear(&mut self, now: Duration, key: LineKey, at: TryAt, closed: bool) {
        let room = self.terms.memory.saturating_sub(self.memory);
        let Some(line) = self.lines.get_mut(key) else { return };
        let Some(op) = self.ops.get(at.op) else { return self.close_line(key) };
        // A stream takes no more room than its client's slowness is worth, and is not broken off for want of it.
        let passing = op.core.is_passing();
        let out = self.clients.get(op.client).filter(|_| passing);
        line.held_back = out.is_some_and(|client| client.out.len() >= self.terms.ahead);
        if line.held_back {
            return;
        }
        let room = if passing { usize::MAX } else { room };
        let id = op.request.head.id();
        let heard = hear_line(line, &mut self.scratch, &self.terms.pilot, closed, room, id);
        let held = line.reader.held();
        self.memory = (self.memory + held).saturating_sub(std::mem::replace(&mut line.held, held));
        match heard {
            Heard::More { foreign, spent } => {
                if spent {
                    self.ready.add(Who::Line(key));
                }
                if foreign {
                    self.counters.void += 1;
                    self.help(now, at.op);
                } else {
                    self.pass_on(now, key, at);
                }
            }
            Heard::Answer { fit } => {
                let answer = line.reader.take();
                self.answered(now, key, at, answer, fit);
            }
            ended @ (Heard::TooLong | Heard::Broken) => {
                let how = if ended == Heard::TooLong { Ended::TooLong } else { Ended::Failed };
                match how {
                    Ended::TooLong => self.counters.too_long += 1,
                    _ => self.counters.void += 1,
                }
                // What ended before a byte had left has not run.
                let sent = self.lines.get(key).is_some_and(|line| line.sent > 0);
                let outcome = if sent { TryOutcome::Unknown } else { TryOutcome::NotSent };
                self.try_ended(now, at, outcome, how, None);
            }
        }
    }

    /// A client has taken what came of its stream: the rest is read on.
    pub(crate) fn hear_on(&mut self, now: Duration, op: OpKey) {
        let Some(one) = self.ops.get(op).and_then(|op| op.tries.first()).copied() else { return };
        if self.lines.get(one.line).is_some_and(|line| line.held_back) {
            self.hear(now, one.line, TryAt { op, number: one.number }, true);
        }
    }

    /// A server is out: nothing new goes to it. What it works on may end.
    pub(crate) fn server_gone(&mut self, now: Duration, server: ServerKey) {
        self.pools.remove(server);
        let of_server = self.lines.iter().filter(|(_, line)| line.server == server);
        let lines: Vec<_> = of_server.map(|(key, line)| (key, line.state, line.sent)).collect();
        for (key, state, sent) in lines {
            match state {
                LineState::Resting { .. } | LineState::Coming => self.close_line(key),
                LineState::Working(_) if sent > 0 => {}
                LineState::Connecting(at) | LineState::Working(at) => {
                    self.try_ended(now, at, TryOutcome::NotSent, Ended::Void, None);
                }
            }
        }
    }
}

/// Reads until an answer is whole, nothing more is there, or the line's turn is over. `closed`: the end is to be looked
/// for, too. `room`: bytes that may be held of it.
fn hear_line(
    line: &mut Line, scratch: &mut [u8], terms: &fallgap_routing::Terms, closed: bool, room: usize, id: &str,
) -> Heard {
    let mut foreign = false;
    let mut read = 0;
    let before = line.reader.held();
    loop {
        let count = match line.stream.read(scratch) {
            Ok(0) => return Heard::Broken,
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                return Heard::More { foreign, spent: false };
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => return Heard::Broken,
        };
        let full = count == scratch.len();
        read += count;
        let mut progress = line.reader.push(scratch.get(..count).unwrap_or_default(), terms);
        while matches!(progress, Ok(Progress::Whole { .. })) && line.reader.is_foreign(id) {
            line.foreign += 1;
            if line.foreign > FOREIGN {
                return Heard::Broken;
            }
            foreign = true;
            progress = line.reader.skip(terms);
        }
        match progress {
            Ok(Progress::Whole { surplus }) => {
                let fit = !surplus
                    && line.wrote_all
                    && line.foreign == 0
                    && (!(full || closed) || line.is_silent());
                return Heard::Answer { fit };
            }
            Ok(Progress::More) if line.reader.held().saturating_sub(before) > room => return Heard::Broken,
            Ok(Progress::More) if !full && !closed => return Heard::More { foreign, spent: false },
            Ok(Progress::More) if read >= TURN_BYTES => return Heard::More { foreign, spent: true },
            Ok(Progress::More) => {}
            Err(fault) if fault.is_length() => return Heard::TooLong,
            Err(_) => return Heard::Broken,
        }
    }
}

/// Whether a connection has come up.
fn is_up(line: &Line) -> std::io::Result<bool> {
    if let Some(error) = line.stream.take_error()? {
        return Err(error);
    }
    match line.stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
        Err(error) => Err(error),
    }
}

/// A line is made ready for a request.
pub(crate) fn prepare(line: &mut Line, at: TryAt, bodiless: bool) {
    line.sent = 0;
    line.wrote_all = false;
    line.reader = AnswerReader::new(bodiless);
    line.turn(LineState::Connecting(at));
}

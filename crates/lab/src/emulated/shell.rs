//! Sockets around a machine: framed, or HTTP.

use super::machine::{Fate, Machine};
use super::script::What;
use crate::clients::Ended;
use crate::frames::{Answer, Incoming, REQUEST, Request};
use crate::targets::http;
use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Response, StatusCode};
use fallgap_test_support::Listener;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// A machine on sockets; times are since `start`.
pub struct Server {
    pub machine: RefCell<Machine>,
    start: Instant,
}

impl Server {
    pub fn new(machine: Machine, start: Instant) -> Rc<Server> {
        Rc::new(Server { machine: RefCell::new(machine), start })
    }
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    async fn until(&self, at: Duration) {
        sleep(at.saturating_sub(self.now())).await;
    }

    /// When connections that are open now break next.
    fn next_crash(&self) -> Option<Duration> {
        let now = self.now();
        self.machine.borrow().script().crash_between(now, Duration::MAX)
    }

    fn handshake(&self) -> Duration {
        let now = self.now();
        let slow = |what| if let What::Handshake(by) = what { Some(by) } else { None };
        self.machine.borrow().script().at(now).find_map(slow).unwrap_or_default()
    }

    /// Serves framed ops at a port of its own.
    ///
    /// # Errors
    /// If none can be had.
    pub async fn framed(self: &Rc<Self>, at: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        let server = self.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !server.machine.borrow().is_down(server.now()) {
                    actix_rt::spawn(framed(server.clone(), stream));
                }
            }
        });
        Ok(address)
    }

    /// Serves ops over HTTP at a port of its own.
    ///
    /// # Errors
    /// If none can be had.
    pub async fn http(self: &Rc<Self>, at: &str) -> std::io::Result<SocketAddr> {
        let listener = Listener::open(at).await?;
        let address = listener.address;
        let server = self.clone();
        let answer = move |request: actix_http::Request, _, breaker: Rc<tokio::sync::Notify>| {
            let server = server.clone();
            async move { server.answer(&request, &breaker).await }
        };
        actix_rt::spawn(listener.serve(answer));
        Ok(address)
    }

    async fn answer(
        &self, request: &actix_http::Request, breaker: &tokio::sync::Notify,
    ) -> Response<BoxBody> {
        let said = |code, text: &'static str| Response::new(code).set_body(BoxBody::new(text));
        let described = request.headers().get("x-op").and_then(|v| v.to_str().ok()).and_then(http::read);
        let Some(op) = described else { return said(StatusCode::BAD_REQUEST, "no op") };
        let (fate, place) = self.machine.borrow_mut().arrive(self.now(), op);
        match fate {
            Fate::Answer { at, ended } => {
                if at > self.now() {
                    self.until(at).await;
                }
                self.machine.borrow_mut().truth.answered(place, self.now());
                match ended {
                    Ended::Acked => said(StatusCode::OK, "acked"),
                    Ended::Rejected => said(StatusCode::SERVICE_UNAVAILABLE, "rejected"),
                    _ => said(StatusCode::INTERNAL_SERVER_ERROR, "aborted"),
                }
            }
            Fate::Broken { at } => {
                self.until(at).await;
                breaker.notify_one();
                std::future::pending().await
            }
            Fate::Silence => std::future::pending().await,
        }
    }
}

/// What is still to be done on a connection, by its time; `None`: it breaks.
type Due = BinaryHeap<Reverse<(Duration, u64, Option<usize>)>>;

async fn framed(server: Rc<Server>, stream: TcpStream) {
    sleep(server.handshake()).await;
    // Without it answers still leave, only later.
    let _ = stream.set_nodelay(true);
    let crash = server.next_crash();
    let mut incoming = Incoming::<REQUEST>::default();
    let (mut out, mut due) = (Vec::new(), Due::new());
    let mut answers: Vec<(Answer, Option<usize>)> = Vec::new();
    loop {
        let now = server.now();
        while let Some(Reverse((at, _, what))) = due.peek().copied()
            && at <= now
        {
            due.pop();
            let Some((answer, place)) = what.map(|what| answers[what]) else { return };
            let (active, busy) = server.machine.borrow_mut().load(now);
            Answer { active: active.min(65_535) as u16, busy: (busy * 1e3) as u16, ..answer }.write(&mut out);
            server.machine.borrow_mut().truth.answered(place, now);
        }
        if due.is_empty() {
            answers.clear();
        }
        while !out.is_empty() {
            match stream.try_write(&out) {
                Ok(written) => _ = out.drain(..written),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(_) => return,
            }
        }
        let next = due.peek().map(|Reverse((at, _, _))| *at);
        let next = [next, crash, (!out.is_empty()).then(|| now + Duration::from_millis(1))];
        let wait = next.into_iter().flatten().min();
        let came = async {
            match wait {
                Some(at) => server.until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            readable = stream.readable() => if readable.is_err() {
                return;
            },
            () = came => {}
        }
        if crash.is_some_and(|at| server.now() >= at) {
            return;
        }
        let now = server.now();
        let goes_on = incoming.read(&stream, |frame| {
            let Some(request) = Request::read(frame) else { return false };
            let (fate, place) = server.machine.borrow_mut().arrive(now, request);
            let order = answers.len() as u64;
            match fate {
                Fate::Answer { at, ended } => {
                    let (id, tries) = (request.id, request.tries);
                    answers.push((Answer { id, tries, ended, active: 0, busy: 0 }, place));
                    due.push(Reverse((at, order, Some(answers.len() - 1))));
                }
                Fate::Broken { at } => due.push(Reverse((at, order, None))),
                Fate::Silence => {}
            }
            true
        });
        if !goes_on {
            return;
        }
    }
}

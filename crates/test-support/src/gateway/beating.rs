//! Beats of a server to the control addresses of supervisors.

use super::client::call;
use super::server::Server;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread::{JoinHandle, spawn};
use std::time::Duration;

/// What a server says of itself.
#[derive(Clone, Debug)]
pub struct Notice {
    pub id: String,
    pub address: SocketAddrV4,
    pub service: String,
    pub zone: String,
    pub slots: u32,
}

impl Notice {
    pub fn of(server: &Server, service: &str, zone: &str, slots: u32) -> Notice {
        let (id, address) = (server.id.clone(), server.address);
        Notice { id, address, service: service.to_owned(), zone: zone.to_owned(), slots }
    }

    /// One beat; `true`: it is acknowledged.
    pub fn beat(&self, at: SocketAddr, state: &str, postmark: u64) -> bool {
        let Notice { id, address, service, zone, slots } = self;
        let body = format!(
            "{{\"address\":\"{address}\",\"notice\":{{\"service\":\"{service}\",\"edition\":\"v1\",\
             \"zone\":\"{zone}\",\"slots\":{slots}}},\"tracking\":{{\"state\":\"{state}\",\
             \"postmark\":{postmark},\"cold_s_time\":0}}}}"
        );
        call(at, "POST", &format!("/-/servers/{id}/beat"), &body).is_some_and(|reply| reply.status == 200)
    }
}

/// A thread that beats for one server until it is dropped; then it says `closing`, once.
pub struct Beating {
    end: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Beating {
    /// Beats to one address after another for as long as one acknowledges; the next takes over from one that
    /// does not.
    pub fn start(notice: Notice, controls: Vec<SocketAddr>, every: Duration) -> Beating {
        let (end, ended) = channel::<()>();
        let thread = spawn(move || {
            let mut at = controls.into_iter().cycle().peekable();
            for postmark in 1.. {
                let last = !matches!(
                    if postmark == 1 { Err(RecvTimeoutError::Timeout) } else { ended.recv_timeout(every) },
                    Err(RecvTimeoutError::Timeout)
                );
                let state = if last { "closing" } else { "open" };
                let Some(first) = at.peek().copied() else { return };
                if !notice.beat(first, state, postmark) {
                    at.next();
                }
                if last {
                    return;
                }
            }
        });
        Beating { end: Some(end), thread: Some(thread) }
    }
}

impl Drop for Beating {
    fn drop(&mut self) {
        drop(self.end.take());
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

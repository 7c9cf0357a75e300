//! Where the outgoing links lead: the one place that a new configuration changes and that all of them follow.

use awc::Client;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// The addresses that a new configuration may name anew.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    /// By their number; `None` where an address cannot be read.
    pub peers: Vec<Option<SocketAddr>>,
    pub peers_all: Option<SocketAddr>,
}

/// Addresses, and the client whose kept connections lead there.
pub struct Links {
    pub to: Addresses,
    pub client: Client,
}

pub struct Board {
    links: watch::Sender<Rc<Links>>,
}

impl Board {
    pub fn new(to: Addresses, client: Client) -> Board {
        Board { links: watch::Sender::new(Rc::new(Links { to, client })) }
    }
    /// As they are now: asked for anew by each call.
    pub fn now(&self) -> Rc<Links> {
        self.links.borrow().clone()
    }
    /// For links that stay open, for ever: keeps one where the links lead, lets go of it when they lead
    /// elsewhere, and tells of each move.
    pub async fn follow(&self, keep: impl AsyncFn(&Links), moved: impl Fn()) {
        let mut links = self.links.subscribe();
        loop {
            let here = links.borrow_and_update().clone();
            tokio::select! {
                () = keep(&here) => {}
                _ = links.changed() => moved(),
            }
        }
    }
    /// The client is new too: with the one before go its connections to where nobody answers any more.
    pub fn lead(&self, to: Addresses, client: Client) {
        self.links.send_replace(Rc::new(Links { to, client }));
    }
}

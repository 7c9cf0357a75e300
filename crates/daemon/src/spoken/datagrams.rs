//! Notes between supervisors, as datagrams.

use crate::kept::desk::Desk;
use fallgap_deployment::{read_note, write_note};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Where notes come in and go out: one socket for both, so that receivers know the sender.
pub struct Post {
    socket: UdpSocket,
    own: u32,
}

impl Post {
    pub async fn open(listen: SocketAddr, own: u32) -> std::io::Result<Post> {
        Ok(Post { socket: UdpSocket::bind(listen).await?, own })
    }

    /// Notes may be lost, so a failure is only counted.
    pub async fn tell_all(&self, desk: &Desk, demand: &[f64]) {
        let note = write_note(demand);
        let links = desk.links.now();
        let others = links.to.peers.iter().enumerate().filter(|(i, _)| *i as u32 != self.own);
        let to: Vec<SocketAddr> =
            links.to.peers_all.map_or_else(|| others.filter_map(|p| *p.1).collect(), |all| vec![all]);
        for address in to {
            match self.socket.send_to(&note, address).await {
                Ok(_) => desk.counters.one("notes_sent"),
                Err(e) => desk.odd("notes_unsent", &e.to_string()),
            }
        }
    }

    /// The sender's number is its place among the peers; notes of strangers, and our own, count for nothing.
    fn sender(&self, desk: &Desk, from: SocketAddr) -> Option<u32> {
        let place = desk.links.now().to.peers.iter().position(|p| *p == Some(from))? as u32;
        (place != self.own).then_some(place)
    }
}

/// Hears notes for ever; without a post there are none.
pub async fn hear(desk: Rc<Desk>, post: Option<Rc<Post>>) {
    let Some(post) = post else { return std::future::pending().await };
    let mut bytes = [0; 512];
    loop {
        match post.socket.recv_from(&mut bytes).await {
            Ok((n, from)) => match (post.sender(&desk, from), read_note(&bytes[..n])) {
                (Some(peer), Some(demand)) => {
                    desk.counters.one("notes_heard");
                    desk.report(|s, now| s.report_peer(now, peer, demand));
                }
                _ => desk.counters.one("notes_odd"),
            },
            Err(e) => {
                desk.odd("notes_failed", &e.to_string());
                tokio::time::sleep(desk.limits.again.0).await;
            }
        }
    }
}

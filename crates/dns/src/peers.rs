//! Name servers in turn, with a memory of which one answers.

use std::net::SocketAddr;
use std::time::Duration;

struct Peer {
    at: SocketAddr,
    /// Failures since it last answered.
    failures: u32,
    /// When it last answered, or failed.
    answered: Option<Duration>,
    failed: Duration,
    /// It does not take EDNS (RFC 6891, section 7).
    plain: bool,
}

pub struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    pub fn new(addresses: &[SocketAddr]) -> Peers {
        let peer = |at: &SocketAddr| Peer {
            at: *at,
            failures: 0,
            answered: None,
            failed: Duration::ZERO,
            plain: false,
        };
        Peers { peers: addresses.iter().map(peer).collect() }
    }

    /// The one to ask, of those asked least for the same question: one that answers before one that failed,
    /// of these the one that failed least and then longest ago, and of equals the one named first.
    pub fn next(&self, asked: &[usize]) -> Option<usize> {
        let times = |peer: usize| asked.iter().filter(|p| **p == peer).count();
        (0..self.peers.len()).min_by_key(|i| {
            let peer = &self.peers[*i];
            (times(*i), peer.failures, peer.failed, *i)
        })
    }
    pub fn at(&self, peer: usize) -> SocketAddr {
        self.peers[peer].at
    }
    pub fn answered(&mut self, now: Duration, peer: usize) {
        (self.peers[peer].failures, self.peers[peer].answered) = (0, Some(now));
    }
    /// A server that has failed often is no worse than one that failed a few times: all get their turn.
    pub fn failed(&mut self, now: Duration, peer: usize) {
        let peer = &mut self.peers[peer];
        (peer.failures, peer.failed) = ((peer.failures + 1).min(3), now);
    }
    pub fn takes_edns(&self, peer: usize) -> bool {
        !self.peers[peer].plain
    }
    pub fn refuses_edns(&mut self, peer: usize) {
        self.peers[peer].plain = true;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a dead name server that is asked first for ever, and one that is never asked again.
    #[test]
    fn the_one_that_answers_comes_first() {
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let mut peers = Peers::new(&[at(1), at(2), at(3)]);
        let s = Duration::from_secs;
        assert_eq!(peers.next(&[]), Some(0));
        peers.failed(s(1), 0);
        assert_eq!((peers.next(&[0]), peers.next(&[])), (Some(1), Some(1)));
        peers.answered(s(1), 1);
        assert_eq!(peers.next(&[]), Some(1));
        (2..9).for_each(|t| peers.failed(s(t), 1));
        (2..9).for_each(|t| peers.failed(s(10 + t), 2));
        assert_eq!(peers.next(&[]), Some(0), "it failed once, the others often");
        (2..9).for_each(|t| peers.failed(s(20 + t), 0));
        let order = [peers.next(&[]), peers.next(&[1]), peers.next(&[1, 2]), peers.next(&[1, 2, 0])];
        assert_eq!(order, [Some(1), Some(2), Some(0), Some(1)], "the one that failed longest ago is first");
    }
}

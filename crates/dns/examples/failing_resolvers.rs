//! A hundred supervisors started at the same moment, with three services each and no name server that
//! answers, for ten minutes of virtual time: queries a second of all of them. Once as they are, and once with
//! the same draws for all, so that they ask in step.

use fallgap_dns::{Answer, Asked, Asking, Failure, Followed, Lifetimes, Resolver, Wire};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Default)]
struct Sent(Vec<Duration>, Duration);

impl Wire for Sent {
    fn datagram(&mut self, _: Asked, _: SocketAddr, _: Vec<u8>) {
        self.0.push(self.1);
    }
    fn stream(&mut self, _: Asked, _: SocketAddr, _: Vec<u8>) {}
    fn over(&mut self, _: Asked) {}
    fn answered(&mut self, _: Followed, _: Answer) {}
    fn failed(&mut self, _: Followed, _: Failure, _: Duration) {}
}

const MINUTES: u64 = 10;

/// Queries in each tenth of a second, of all supervisors.
fn play(seed: impl Fn(u64) -> u64) -> BTreeMap<u64, u64> {
    let servers = [([127, 0, 0, 1], 53).into(), ([127, 0, 0, 2], 53).into()];
    let mut tenths = BTreeMap::new();
    for supervisor in 0..100 {
        let asking = Asking::default();
        let mut resolver =
            Resolver::start(Sent::default(), &servers, asking, Lifetimes::default(), seed(supervisor));
        for service in ["_a._tcp.example.org", "_b._tcp.example.org", "_c._tcp.example.org"] {
            resolver.follow(Duration::ZERO, service, true);
        }
        while let Some(at) = resolver.next_wake().filter(|at| at.as_secs() < MINUTES * 60) {
            resolver.wire.1 = at;
            resolver.woke(at);
        }
        let mut sent = resolver.wire.0;
        sent.sort();
        let over =
            sent.windows(asking.a_second + 1).find(|w| w[asking.a_second] - w[0] < Duration::from_secs(1));
        assert!(over.is_none(), "more queries in a second than stated");
        sent.iter().for_each(|at| *tenths.entry(at.as_millis() as u64 / 100).or_default() += 1);
    }
    tenths
}

/// Most in any second that starts later than the first minute, and the mean.
fn peak_and_mean(tenths: &BTreeMap<u64, u64>) -> (u64, u64, f64) {
    let second = |from: u64| tenths.range(from..from + 10).map(|(_, n)| n).sum::<u64>();
    let all = (0..MINUTES * 600).map(second).max().unwrap_or(0);
    let later = (600..MINUTES * 600).map(second).max().unwrap_or(0);
    (all, later, tenths.values().sum::<u64>() as f64 / (MINUTES * 60) as f64)
}

fn main() {
    println!("100 supervisors, 3 services each   peak/s  peak/s after a minute  mean/s");
    let spread = peak_and_mean(&play(|supervisor| supervisor));
    let in_step = peak_and_mean(&play(|_| 7));
    println!("each with its own draws           {:>7}  {:>21}  {:>6.1}", spread.0, spread.1, spread.2);
    println!("all with the same draws           {:>7}  {:>21}  {:>6.1}", in_step.0, in_step.1, in_step.2);
    println!("figure peak_in_step_over_spread {:.1}", in_step.1 as f64 / spread.1 as f64);
}

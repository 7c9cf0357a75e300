//! Quotas in virtual time: fronts that clients reach unevenly, a home, words that take their time or are lost, a home that
//! changes.

use fallgap_config::Customer;
use fallgap_routing::{QuotaAsk, QuotaFront, QuotaGrant, QuotaHome, QuotaTerms, Taken};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const STEP: Duration = ms(5);

fn customer(rate: f64, burst: f64) -> Customer {
    Customer { name: "c".into(), keys: Vec::new(), priority: 1, rate_per_second: rate, burst }
}

enum Word {
    Ask(usize, QuotaAsk),
    Grant(usize, QuotaGrant),
}

struct World {
    now: Duration,
    rng: fastrand::Rng,
    customer: Customer,
    fronts: Vec<QuotaFront<()>>,
    home: QuotaHome,
    since: Duration,
    /// Nobody is home until then.
    vacant: Duration,
    net: BTreeMap<(Duration, u64), Word>,
    sent: u64,
    loss: f64,
    /// When requests were sent on; how many were over the quota, and how many waited in vain.
    spent: Vec<Duration>,
    over: usize,
    late: usize,
    asks: usize,
}

fn front(at: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, at as u8)
}

impl World {
    fn new(seed: u64, fronts: usize, customer: Customer) -> World {
        let terms = QuotaTerms::default();
        World {
            now: ms(10_000),
            rng: fastrand::Rng::with_seed(seed),
            customer,
            fronts: (0..fronts).map(|_| QuotaFront::new(terms)).collect(),
            home: QuotaHome::new(terms),
            since: Duration::ZERO,
            vacant: Duration::ZERO,
            net: BTreeMap::new(),
            sent: 0,
            loss: 0.0,
            spent: Vec::new(),
            over: 0,
            late: 0,
            asks: 0,
        }
    }

    fn send(&mut self, word: Word) {
        if self.rng.f64() < self.loss {
            return;
        }
        let delay = ms(self.rng.u64(1..60));
        self.sent += 1;
        self.net.insert((self.now + delay, self.sent), word);
    }

    /// Another home, which knows nothing; for a while there is none.
    fn home_dies(&mut self) {
        self.vacant = self.now + ms(2500);
        self.since = self.vacant;
        self.home = QuotaHome::new(QuotaTerms::default());
    }

    /// Requests come at that rate, most of them at a few fronts.
    fn run(&mut self, time: Duration, rate: f64) {
        let until = self.now + time;
        let mut owed = 0.0;
        while self.now < until {
            self.now += STEP;
            owed += rate * STEP.as_secs_f64() * self.rng.f64() * 2.0;
            while owed >= 1.0 {
                owed -= 1.0;
                let drawn = self.rng.f64();
                let at = (drawn * drawn * self.fronts.len() as f64) as usize;
                if self.fronts[at].take(self.now, &self.customer.name, ()) == Taken::Now {
                    self.spent.push(self.now);
                }
            }
            while self.net.first_key_value().is_some_and(|((at, _), _)| *at <= self.now) {
                let (_, word) = self.net.pop_first().expect("it is there");
                self.hear(word);
            }
            for at in 0..self.fronts.len() {
                self.late += self.fronts[at].late(self.now).len();
                let asks = self.fronts[at].asks(self.now);
                self.asks += asks.len();
                asks.into_iter().for_each(|ask| self.send(Word::Ask(at, ask)));
            }
        }
    }

    fn hear(&mut self, word: Word) {
        match word {
            Word::Ask(at, ask) if self.now >= self.vacant => {
                let grant = self.home.ask(self.now, self.since, front(at), &self.customer, &ask);
                self.send(Word::Grant(at, grant));
            }
            Word::Ask(..) => {}
            Word::Grant(at, grant) => {
                let (ready, over) = self.fronts[at].granted(self.now, &grant);
                self.spent.extend(ready.iter().map(|()| self.now));
                self.over += over.len();
            }
        }
    }

    /// The most that were sent on in any window, and how many may be.
    fn worst_window(&self) -> (usize, f64) {
        let terms = QuotaTerms::default();
        let mut from = 0;
        let mut worst = 0;
        for (at, time) in self.spent.iter().enumerate() {
            while self.spent[from] + terms.window < *time {
                from += 1;
            }
            worst = worst.max(at + 1 - from);
        }
        let Customer { rate_per_second, burst, .. } = self.customer;
        let allowed = rate_per_second * terms.window.as_secs_f64() + burst;
        (worst, allowed * (1.0 + terms.excess) + terms.slack)
    }
}

#[test]
fn no_window_holds_more_than_the_bound_whatever_is_asked() {
    for (rate, burst) in [(1.0, 1.0), (10.0, 10.0), (37.0, 37.0), (336.0, 336.0), (50.0, 0.0)] {
        for seed in 0..4 {
            let mut world = World::new(seed, 80, customer(rate, burst));
            world.loss = if seed % 2 == 1 { 0.05 } else { 0.0 };
            world.run(ms(6000), rate * 0.6);
            world.run(ms(8000), rate * 6.0);
            world.home_dies();
            world.run(ms(9000), rate * 6.0);
            world.run(ms(9000), rate * 0.6);
            world.run(ms(4000), rate * 8.0);
            let (worst, allowed) = world.worst_window();
            assert!(worst as f64 <= allowed, "{rate} a second, seed {seed}: {worst} of {allowed}");
            assert!(world.over > 0, "{rate} a second, seed {seed}: what is over is refused");
        }
    }
}

/// Fronts that die with tokens in hand, and begin anew with none: what they held is lost, and never granted beyond the bound.
#[test]
fn fronts_that_die_holding_tokens_make_none() {
    for (rate, burst) in [(10.0, 10.0), (37.0, 37.0), (336.0, 336.0)] {
        for seed in 0..3 {
            let mut world = World::new(seed, 80, customer(rate, burst));
            for second in 0..24 {
                let dies = world.rng.usize(..world.fronts.len());
                world.fronts[dies] = QuotaFront::new(QuotaTerms::default());
                // What was under way to it reaches nobody.
                world.net.retain(|_, word| !matches!(word, Word::Grant(at, _) if *at == dies));
                world.run(ms(1000), rate * if second % 3 == 0 { 5.0 } else { 0.6 });
            }
            let (worst, allowed) = world.worst_window();
            assert!(worst as f64 <= allowed, "{rate} a second, seed {seed}: {worst} of {allowed}");
            assert!(worst as f64 >= rate * 5.0 * 0.9, "{rate} a second, seed {seed}: {worst} only");
        }
    }
}

#[test]
fn what_is_below_the_limit_is_not_refused() {
    for rate in [4.0, 37.0, 336.0] {
        let mut world = World::new(1, 80, customer(rate, rate));
        world.run(ms(20_000), rate / 1.6);
        let all = world.spent.len();
        println!(
            "{rate} a second: {all} sent on, {} asks, over {}, late {}",
            world.asks, world.over, world.late
        );
        assert_eq!((world.over, world.late), (0, 0), "{rate} a second");
    }
}

#[test]
fn a_new_home_makes_requests_wait_rather_than_refusing_them() {
    let mut world = World::new(3, 40, customer(100.0, 100.0));
    world.run(ms(8000), 60.0);
    world.home_dies();
    world.run(ms(2500), 60.0);
    let late = world.late;
    world.run(ms(8000), 60.0);
    assert_eq!(world.over, 0);
    assert!(world.late - late < 60, "{} waited in vain behind {late}", world.late - late);
}

#[test]
fn what_is_not_used_goes_back() {
    let mut world = World::new(5, 20, customer(30.0, 30.0));
    world.run(ms(5000), 20.0);
    world.run(ms(8000), 0.0);
    assert!(world.fronts.iter().all(|front| front.held() == (0, 0)));
    let (tokens, held) = world.home.left("c").expect("it is known");
    let depth = QuotaTerms::default().room(&world.customer).depth;
    assert!(held == 0 && tokens <= depth, "{tokens} of {depth}, {held} held");
}

/// A home that has no tokens yet is not asked again at once, however near it is.
#[test]
fn a_home_without_tokens_is_asked_again_later() {
    let terms = QuotaTerms::default();
    let (mut front, name) = (QuotaFront::new(terms), "c".into());
    let mut now = ms(1000);
    assert_eq!(front.take(now, &name, ()), Taken::Waits);
    assert_eq!(front.asks(now).len(), 1);
    let none = QuotaGrant { customer: name, granted: 0, is_over: false };
    assert!(front.granted(now, &none).0.is_empty());
    assert!(front.asks(now).is_empty());
    now += terms.resend;
    assert_eq!(front.asks(now).len(), 1);
}

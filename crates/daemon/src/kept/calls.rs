//! The call that is not settled yet, and what becomes of it after each outcome.

use crate::life::limits::Limits;
use fallgap::Order;
use std::time::Duration;

/// How one try of a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// That many orders were taken, from the first.
    Taken(usize),
    /// Rejected whole: the run has not begun.
    TooSoon,
    /// Rejected whole as no call: a defect of ours, or an answer that is spoilt.
    Malformed,
    /// Not carried out: there was no connection.
    Unsent,
    /// Carried out whole or not at all: nobody knows.
    Uncertain,
}

/// What to do next.
#[derive(Debug, PartialEq)]
pub enum Next {
    Settled,
    Again(Duration),
}

pub struct Unsettled {
    pub orders: Vec<Order>,
    tries: u32,
    dropped: u32,
}

impl Unsettled {
    pub fn new(orders: Vec<Order>) -> Self {
        Unsettled { orders, tries: 0, dropped: 0 }
    }

    /// Every order sets an absolute value, so what may not have been carried out is sent again whole, before
    /// anything else; it is never given up, since the decisions count on what they ordered.
    pub fn after(&mut self, outcome: &Outcome, limits: &Limits) -> Next {
        self.tries += 1;
        match outcome {
            Outcome::Taken(n) if *n < self.orders.len() => self.without(*n, limits),
            Outcome::Taken(n) if *n == self.orders.len() => Next::Settled,
            // Said again and again it is no spoilt answer: a call that cannot be read holds nothing up for ever.
            Outcome::Malformed if self.tries >= limits.malformed => Next::Settled,
            // More taken than were sent tells as little as no answer.
            Outcome::Uncertain | Outcome::Taken(_) if self.tries == 1 => Next::Again(Duration::ZERO),
            // The run may begin at any moment, and its proxies have no orders until it does.
            Outcome::TooSoon => Next::Again(limits.again.0),
            _ => Next::Again(limits.pause(self.tries)),
        }
    }

    /// The order at this place cannot be used, most often since its proxy has just left. It is dropped; the
    /// ones before it stand, and the rest goes again, with the stamp in front.
    fn without(&mut self, at: usize, limits: &Limits) -> Next {
        (self.tries, self.dropped) = (0, self.dropped + 1);
        let many = self.dropped > limits.dropped_at_once;
        if !many {
            tracing::info!("relay took {at} of {} orders and not {:?}", self.orders.len(), self.orders[at]);
        }
        let stamp = self.orders.first().filter(|o| at > 0 && matches!(o, Order::Ask { .. })).cloned();
        self.orders.drain(..=at);
        self.orders.splice(0..0, stamp);
        let any = self.orders.iter().any(|o| !matches!(o, Order::Ask { .. }));
        if any { Next::Again(if many { limits.again.0 } else { Duration::ZERO }) } else { Next::Settled }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call() -> Unsettled {
        let bind = |proxy| Order::Bind { proxy, table: proxy };
        Unsettled::new(vec![Order::Ask { stamp: 7 }, bind(1), bind(2), bind(3)])
    }

    /// Guards against a call lost or cut when its answer is: it goes again whole, however often.
    #[test]
    fn uncertain_calls_go_again_whole() {
        let (mut call, limits) = (call(), Limits::within(None, None));
        assert_eq!(call.after(&Outcome::Uncertain, &limits), Next::Again(Duration::ZERO));
        for outcome in [Outcome::Uncertain, Outcome::Unsent, Outcome::TooSoon].iter().cycle().take(300) {
            let Next::Again(pause) = call.after(outcome, &limits) else { panic!("{outcome:?} settles") };
            assert!(pause >= limits.again.0 && pause <= limits.again.1);
        }
        assert_eq!(call.orders.len(), 4);
        assert_eq!(call.after(&Outcome::Taken(4), &limits), Next::Settled);
    }

    /// Guards against orders lost to a spoilt answer, and a call that is no call going round for ever.
    #[test]
    fn answers_that_cannot_be_true_settle_nothing() {
        let (mut call, limits) = (call(), Limits::within(None, None));
        assert_eq!(call.after(&Outcome::Taken(5), &limits), Next::Again(Duration::ZERO));
        assert_ne!(call.after(&Outcome::Taken(usize::MAX), &limits), Next::Settled);
        let mut call = self::call();
        (1..limits.malformed)
            .for_each(|_| assert_ne!(call.after(&Outcome::Malformed, &limits), Next::Settled));
        assert_eq!(call.orders.len(), 4);
        assert_eq!(call.after(&Outcome::Malformed, &limits), Next::Settled);
    }

    /// Guards against a loop over an order that the relay cannot use.
    #[test]
    fn an_order_not_taken_is_dropped_and_the_rest_goes_again() {
        let (mut call, limits) = (call(), Limits::within(None, None));
        assert_eq!(call.after(&Outcome::Taken(2), &limits), Next::Again(Duration::ZERO));
        assert_eq!(call.orders, [Order::Ask { stamp: 7 }, Order::Bind { proxy: 3, table: 3 }]);
        assert_eq!(call.after(&Outcome::Taken(1), &limits), Next::Settled);
        let mut call = self::call();
        assert_eq!(call.after(&Outcome::Taken(0), &limits), Next::Again(Duration::ZERO));
        assert_eq!(call.orders.len(), 3, "a stamp that is not taken is not sent again");
        let mut call = Unsettled::new((0..99).map(|proxy| Order::Bind { proxy, table: proxy }).collect());
        let pauses = std::iter::from_fn(|| match call.after(&Outcome::Taken(0), &limits) {
            Next::Again(pause) => Some(pause),
            Next::Settled => None,
        });
        assert_eq!(pauses.filter(|pause| !pause.is_zero()).count(), 90);
    }
}

//! How deep the own link lies: what the answers of the ops at work will bring over it. A client whose answer would
//! come late here does better at another supervisor, and is told so at once.

use crate::fleet::moved;
use fallgap_chart::RouteClass;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A client that is ready to wait for less than this part of the longest wait has been elsewhere.
const FIRST: f64 = 0.985;

/// What is usual on a route.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    /// Bytes of an answer.
    bytes: f64,
    /// The longest that a client was ready to wait: one that is ready for less has been elsewhere.
    wait: Duration,
}

#[derive(Clone, Debug)]
pub struct Draught {
    /// Bytes a second that the link carries.
    rate: f64,
    /// The part of an op's target that its answer may wait for others.
    part: f64,
    /// Bytes that the ops at work are to bring.
    laden: f64,
    routes: BTreeMap<Arc<str>, Usual>,
}

impl Draught {
    pub fn new(link_mbps: f64, part: f64) -> Draught {
        Draught { rate: link_mbps * 1e6 / 8.0, part, laden: 0.0, routes: BTreeMap::new() }
    }

    /// Whether an op is to be taken here. Only large answers are sent for elsewhere: for a small one a second way
    /// costs more than it saves. One that was refused before is taken, as it may have nowhere else to go.
    pub fn has_room(
        &mut self, route: &Arc<str>, class: RouteClass, target: Duration, wait: Option<Duration>,
    ) -> bool {
        let Some(usual) = self.routes.get_mut(route).filter(|_| class == RouteClass::Outbound) else {
            return true;
        };
        let first = wait.is_some_and(|wait| wait >= usual.wait.mul_f64(FIRST));
        usual.wait = usual.wait.max(wait.unwrap_or_default());
        !first || self.laden <= self.part * target.as_secs_f64() * self.rate
    }

    /// An op is begun. Gives what it will bring.
    pub fn loads(&mut self, route: &Arc<str>) -> f64 {
        let bytes = self.routes.get(route).map_or(0.0, |usual| usual.bytes);
        self.laden += bytes;
        bytes
    }

    /// An op that was to bring so much is over.
    pub fn unloads(&mut self, bytes: f64) {
        self.laden = (self.laden - bytes).max(0.0);
    }

    /// An answer of a route came.
    pub fn brought(&mut self, route: &Arc<str>, bytes: usize) {
        let usual = self.routes.entry(route.clone()).or_default();
        moved(&mut usual.bytes, bytes as f64);
    }

    /// Only these routes are there.
    pub fn keep(&mut self, there: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| there(route));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn large_answers_are_sent_for_elsewhere_while_the_link_is_laden() {
        let (scan, target): (Arc<str>, _) = ("scan".into(), Duration::from_millis(1500));
        let wait = |ms| Some(Duration::from_millis(ms));
        // A thin link: 90 kB take 190 ms.
        let mut draught = Draught::new(3.8, 0.1);
        draught.brought(&scan, 90_000);
        let asks = |draught: &mut Draught, class, wait| draught.has_room(&scan, class, target, wait);
        assert!(asks(&mut draught, RouteClass::Outbound, wait(4000)), "nothing is at work");
        let bytes = draught.loads(&scan);
        let cases = [
            (RouteClass::Outbound, wait(4000), false, "one is at work"),
            (RouteClass::Outbound, wait(3980), false, "its connection took a moment"),
            (RouteClass::Outbound, wait(3900), true, "it has been elsewhere"),
            (RouteClass::Outbound, None, true, "it does not say how long it waits"),
            (RouteClass::Safe, wait(4000), true, "small answers are taken"),
        ];
        for (class, wait, taken, why) in cases {
            assert_eq!(asks(&mut draught, class, wait), taken, "{why}");
        }
        draught.unloads(bytes);
        assert!(asks(&mut draught, RouteClass::Outbound, wait(4000)), "it is over");
        // The same on a wide link.
        let mut wide = Draught::new(1000.0, 0.1);
        wide.brought(&scan, 90_000);
        let at_work: f64 = (0..20).map(|_| wide.loads(&scan)).sum();
        assert!(asks(&mut wide, RouteClass::Outbound, wait(4000)));
        wide.unloads(at_work);
    }
}

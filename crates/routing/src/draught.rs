//! How deep the own link lies: what the answers of the ops at work will bring over it. A client whose answer would
//! come late here does better at another supervisor, and is told so at once.

use crate::server::moved;
use fallgap_config::RouteClass;
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

//! The part `membership`: by what rule sources are believed.

use crate::fault::Faults;
use crate::reading::{Fields, count, flag, share, time};
use fallgap_sources::Terms;
use kdl::KdlNode;
use std::time::Duration;

/// Which sources count, and by what terms they are believed; `docs/design/sources.md` states the rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// Whether the platform's own list counts as a source. Without it only DNS names servers.
    pub discovery: bool,
    pub terms: Terms,
}

impl Default for Membership {
    fn default() -> Self {
        Membership { discovery: true, terms: Terms::default() }
    }
}

pub fn read(node: &KdlNode, faults: &mut Faults) -> Membership {
    let (ms, day) = (Duration::from_millis(1), Duration::from_secs(86_400));
    let usual = Terms::default();
    let mut fields = Fields::of(node.children());
    let discovery = fields.one("discovery", faults, flag).unwrap_or(true);
    let terms = Terms {
        hold: fields.one("hold", faults, time(ms..=day * 30)).unwrap_or(usual.hold),
        most_removed: fields.one("most-removed", faults, share).unwrap_or(usual.most_removed),
        confirm: fields.one("confirm", faults, time(ms..=ms * 60_000)).unwrap_or(usual.confirm),
        remember: fields.one("remember", faults, time(ms * 1000..=day * 30)).unwrap_or(usual.remember),
        answering: fields.one("answering", faults, time(ms..=day)).unwrap_or(usual.answering),
        most_servers: fields.one("most-servers", faults, count(1..=1_000_000)).unwrap_or(usual.most_servers),
    };
    fields.end(faults);
    Membership { discovery, terms }
}

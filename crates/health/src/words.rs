//! What is said of servers between supervisors.

use crate::terms::Terms;
use fallgap_config::RouteClass;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Kinds of work, judged apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Lookup,
    Order,
    Download,
}

pub const KINDS: [Kind; 3] = [Kind::Lookup, Kind::Order, Kind::Download];

impl From<RouteClass> for Kind {
    fn from(class: RouteClass) -> Kind {
        match class {
            RouteClass::Safe => Kind::Lookup,
            RouteClass::Fragile | RouteClass::Registered => Kind::Order,
            RouteClass::Outbound => Kind::Download,
        }
    }
}

impl Kind {
    pub fn name(self) -> &'static str {
        ["lookups", "orders", "downloads"][self as usize]
    }
}

/// Runs at a server of one kind, and how many of them failed by its own doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    pub runs: u32,
    pub failed: u32,
}

impl Count {
    pub fn run(&mut self, failed: bool) {
        self.runs = self.runs.saturating_add(1);
        self.failed = self.failed.saturating_add(failed.into());
    }
}

/// Where a server stands for one kind of work. The further down, the more careful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stand {
    #[default]
    Well,
    /// Ill by some; all are asked.
    Watched,
    /// It gets a part of its work.
    Lightened,
    /// Some repeatable work goes to it, to see.
    Trial,
    Barred,
}

impl Stand {
    pub fn name(self) -> &'static str {
        ["well", "watched", "lightened", "on trial", "barred"][self as usize]
    }
}

impl Stand {
    /// The part of its work of a kind that it gets, next to what it would get.
    pub fn part(self, kind: Kind, terms: &Terms) -> f64 {
        match self {
            Stand::Well | Stand::Watched => 1.0,
            Stand::Lightened => terms.lightened,
            // What may run once is no trial.
            Stand::Trial if kind == Kind::Order => 0.0,
            Stand::Trial => terms.on_trial,
            Stand::Barred => 0.0,
        }
    }
}

/// Why: what was seen when the stand last changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reason {
    /// Of a hundred runs, how many failed.
    pub percent: u8,
    /// Zones that saw it ill, and nodes that saw a failure.
    pub zones: u8,
    pub nodes: u8,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.nodes == 0 {
            return f.write_str("nothing was seen against it");
        }
        let Reason { percent, zones, nodes } = self;
        write!(f, "{percent} of 100 failed, ill in {zones} zones, seen by {nodes} nodes")
    }
}

/// The verdict on one life of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    pub server: Arc<str>,
    /// The higher one holds. Of two with the same number the more careful stands hold.
    pub number: u32,
    /// By kind.
    pub stands: [Stand; 3],
    pub reasons: [Reason; 3],
    /// Since it was decided, when it was sent.
    pub age_ms: u32,
    /// What it loosens takes hold so much later.
    pub eases_in_ms: u16,
}

impl Verdict {
    pub fn is_well(&self) -> bool {
        self.stands == [Stand::Well; 3]
    }
}

/// What one zone's nodes saw of one kind of work at a server, at one home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneTally {
    pub zone: Arc<str>,
    /// By the short and the long sum.
    pub runs: [f32; 2],
    pub failed: [f32; 2],
    /// Nodes that saw a failure.
    pub nodes: u8,
}

/// What a home's followers saw of a server, by kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sight {
    pub server: Arc<str>,
    pub kinds: [Vec<ZoneTally>; 3],
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LightWord {
    /// From a home to the judge.
    Sights(Vec<Sight>),
    /// From the judge to all keepers.
    Decided(Vec<Verdict>),
    /// From a home to its followers.
    Told(Vec<Verdict>),
}

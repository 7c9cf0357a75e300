//! What is asked and told. The same values go to the operator as JSON and between nodes as `postcard` writes them.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// What an operator asks one node. Pages begin behind what `after` names; empty: at the beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    Fleet {
        after: Option<Ipv4Addr>,
    },
    Servers {
        after: String,
    },
    Routes {
        after: String,
    },
    Locks {
        after: String,
    },
    History,
    /// One op, or without an id the last ones that met something, on all nodes.
    Tales {
        id: Option<String>,
    },
    /// An operation that is carried out once, by its digest in hexadecimal digits, on all nodes.
    Operation {
        id: String,
    },
}

/// What a node asks others for it. Variants are only ever added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Errand {
    Standing,
    Locks { after: String },
    Tales { id: Option<String> },
    Operation { id: String },
}

/// What they answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Part {
    Standing(Box<Standing>),
    Locks(Locks),
    Tales(Vec<Tale>),
    Operation(OperationSeen),
}

/// How one node stands, by its own word.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    pub name: String,
    /// Since its process started, and its wall clock.
    pub up_ms: u64,
    pub wall_ms: u64,
    /// The configuration in force; 0: none.
    pub edition: u64,
    pub servers: u64,
    pub supervisors: u64,
    pub home: Option<Ipv4Addr>,
    /// Since the home confirmed what is held; none: no home ever did.
    pub table_age_ms: Option<u64>,
    pub epoch: u64,
    pub keepers: Vec<Ipv4Addr>,
    /// It has a disk; it counts; it hears a majority; its disk refuses to write.
    pub disk: bool,
    pub keeper: bool,
    pub settled: bool,
    pub refusing: bool,
    /// Clients may come.
    pub ready: bool,
    pub leaving: bool,
    pub at_work: u64,
    /// Machines with a disk that may be lost at a time, by its settings.
    pub tolerate: u32,
    /// Services of routes without an open server, the first few by name.
    pub bare: Vec<String>,
    /// Since the start: requests, answers passed on, and own answers 404, 503, 502, 504.
    pub requests: u64,
    pub passed: u64,
    pub no_route: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub late: u64,
}

/// A node as the asked one sees it, and its own word if it gave one in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    pub node: Ipv4Addr,
    pub zone: String,
    pub disk: bool,
    /// here, doubted or gone
    pub state: String,
    pub since_ms: u64,
    pub leaving: bool,
    pub standing: Option<Standing>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The node that answers.
    pub asked: Option<Ipv4Addr>,
    /// How long the others were waited for: no answer is older.
    pub waited_ms: u64,
    pub nodes: Vec<Node>,
    pub next: Option<Ipv4Addr>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: u32,
    /// In the table of the asked node; none: it is in no table.
    pub weight: Option<f64>,
    /// open, lost, closing or gone. A node that is no keeper knows open ones only.
    pub state: String,
    /// Since its last beat, if the asked node is a keeper.
    pub heard_ms: Option<u64>,
    /// As requests from the asked node show it: well, avoided, trial, gone.
    pub health: Option<String>,
    pub at_work: u32,
    pub usual_ms: Option<f64>,
}

/// One page of servers, as the asked node has them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Servers {
    pub asked: Option<Ipv4Addr>,
    pub edition: u64,
    pub table_age_ms: Option<u64>,
    pub keeper: bool,
    pub servers: Vec<Server>,
    pub next: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    pub service: String,
    pub share: f64,
    pub open: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub class: String,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub priority: u8,
    pub attempts: u32,
    pub services: Vec<Target>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Routes {
    pub asked: Option<Ipv4Addr>,
    pub edition: u64,
    pub table_age_ms: Option<u64>,
    pub routes: Vec<Route>,
    pub next: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lock {
    pub name: String,
    pub holder: Option<String>,
    pub fence: u64,
    /// The most that its hold may still last.
    pub left_ms: u64,
}

/// One page of locks, as one keeper's own disk has them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Locks {
    /// Whose disk it is; none: no keeper answered.
    pub keeper: Option<Ipv4Addr>,
    /// It hears a majority: what is not on its disk yet is a moment old at most.
    pub settled: bool,
    pub locks: Vec<Lock>,
    pub next: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edition {
    pub edition: u64,
    /// Since it came in force at the asked node, and at what time of its wall clock.
    pub ago_ms: u64,
    pub wall_ms: u64,
    pub routes: u64,
    pub services: u64,
    /// Against the one before; none: it is the first since the start.
    pub changed: Option<Changed>,
}

/// How much a configuration changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changed {
    pub routes_added: u64,
    pub routes_removed: u64,
    pub routes_changed: u64,
    pub services: u64,
    #[serde(default)]
    pub customers: u64,
    pub limits: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Editions {
    pub asked: Option<Ipv4Addr>,
    /// Since that node's process started: nothing older is remembered.
    pub up_ms: u64,
    pub editions: Vec<Edition>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Try {
    /// None: its name is forgotten.
    pub server: Option<String>,
    pub began_us: u64,
    pub took_us: u64,
    pub end: String,
}

/// What became of one op at one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tale {
    pub node: Ipv4Addr,
    /// The first 40 bytes of the id.
    pub id: String,
    /// Of the answer to the client; 0: it was gone.
    pub status: u16,
    pub why: String,
    pub ago_ms: u64,
    pub took_us: u64,
    pub edition: u64,
    pub route: Option<String>,
    pub service: Option<String>,
    pub table_age_ms: Option<u64>,
    pub tries: Vec<Try>,
    pub more_tries: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tales {
    pub asked: Option<Ipv4Addr>,
    /// Nodes that answered, and those that did not.
    pub answered: u64,
    pub silent: Vec<Ipv4Addr>,
    pub tales: Vec<Tale>,
}

/// What one node knows of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationSeen {
    pub node: Ipv4Addr,
    /// It was begun there: `in work`, `answered 200`, or `outcome unknown`.
    pub begun: Option<String>,
    /// Its disk has granted it to a request at this node.
    pub granted_to: Option<Ipv4Addr>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    pub asked: Option<Ipv4Addr>,
    pub answered: u64,
    pub silent: Vec<Ipv4Addr>,
    /// Nodes that know something of it.
    pub seen: Vec<OperationSeen>,
}

/// What an operator is told, as it goes out.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Answer {
    Fleet(Fleet),
    Servers(Servers),
    Routes(Routes),
    Locks(Locks),
    Editions(Editions),
    Tales(Tales),
    Operation(Operation),
}

//! Words shared by the registers and their subjects.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A machine is named by its address.
pub type NodeId = std::net::Ipv4Addr;

/// One register's name. Locks, numbers and groups of cells are each one register; the configuration is one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    Config,
    Lock(String),
    Number(String),
    /// A group with its dot.
    Group(String),
    /// All accounts, with the routes of their offices.
    Accounts,
    /// Servers that said that they end.
    ServerEnds,
}

impl Key {
    /// Whether its register may be given up once nobody uses it. Cells never vanish, so groups stay, and there is one
    /// configuration, one set of accounts and one of ended servers.
    pub(crate) fn is_reusable(&self) -> bool {
        matches!(self, Key::Lock(_) | Key::Number(_))
    }

    /// The configuration has none.
    pub fn name(&self) -> &str {
        match self {
            Key::Config | Key::Accounts | Key::ServerEnds => "",
            Key::Lock(name) | Key::Number(name) | Key::Group(name) => name,
        }
    }
}

/// What a caller wants of the control state.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Call {
    ConfigPut {
        edition: u64,
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    ConfigGet,
    LockStart {
        name: String,
        holder: String,
        hold: Duration,
    },
    LockBeat {
        name: String,
        holder: String,
        fence: u64,
        hold: Duration,
    },
    LockEnd {
        name: String,
        holder: String,
        fence: u64,
    },
    Number {
        name: String,
    },
    CellPut {
        name: String,
        value: String,
        on: Option<u64>,
    },
    CellGet {
        name: String,
    },
    /// The group comes with its dot.
    Watch {
        group: String,
        after: u64,
        wait: Duration,
    },
    /// A register as it is, whatever it holds.
    Look {
        key: Key,
    },
    /// Holds if the revision held is `base`, 0 for none; it becomes the one after.
    AccountsPut {
        base: u64,
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    AccountsGet,
    /// A server ends, in this life: what it said before is not to bring it back.
    ServerEnd {
        server: String,
    },
    ServerEndsGet,
}

impl Call {
    /// The register that the call is about.
    pub fn key(&self) -> Key {
        match self {
            Call::ConfigPut { .. } | Call::ConfigGet => Key::Config,
            Call::LockStart { name, .. } | Call::LockBeat { name, .. } | Call::LockEnd { name, .. } => {
                Key::Lock(name.clone())
            }
            Call::Number { name } => Key::Number(name.clone()),
            Call::CellPut { name, .. } | Call::CellGet { name } => Key::Group(group_of(name).to_owned()),
            Call::Watch { group, .. } => Key::Group(group.clone()),
            Call::Look { key } => key.clone(),
            Call::AccountsPut { .. } | Call::AccountsGet => Key::Accounts,
            Call::ServerEnd { .. } | Call::ServerEndsGet => Key::ServerEnds,
        }
    }

    /// Whether it may make a register hold more than before.
    pub fn adds(&self) -> bool {
        match self {
            Call::ConfigPut { .. } | Call::LockStart { .. } | Call::Number { .. } | Call::CellPut { .. } => {
                true
            }
            Call::AccountsPut { .. } | Call::ServerEnd { .. } => true,
            Call::ServerEndsGet
            | Call::ConfigGet
            | Call::AccountsGet
            | Call::LockBeat { .. }
            | Call::LockEnd { .. } => false,
            Call::CellGet { .. } | Call::Watch { .. } | Call::Look { .. } => false,
        }
    }

    /// Whether it is carried out though its caller waits no more: said again it changes nothing further, and whoever said
    /// it once means it still.
    pub(crate) fn outlives_caller(&self) -> bool {
        matches!(self, Call::ServerEnd { .. } | Call::ConfigPut { .. })
    }

    /// Whether the same call of somebody else may have the answer of one that was sent out and whose caller has gone. It may
    /// have been at a majority before the other one came, with others written since: only an answer that is the same then is
    /// for both. A number would be out of order, and a hold is counted from when its own call was sent.
    pub(crate) fn may_be_joined(&self) -> bool {
        matches!(self, Call::CellPut { .. } | Call::LockEnd { .. })
    }

    /// How many bytes the call's words hold, for bounds.
    pub fn bytes(&self) -> usize {
        match self {
            Call::ConfigPut { body, .. } | Call::AccountsPut { body, .. } => body.len(),
            Call::ConfigGet | Call::AccountsGet | Call::ServerEndsGet => 0,
            Call::ServerEnd { server } => server.len(),
            Call::LockStart { name, holder, .. }
            | Call::LockBeat { name, holder, .. }
            | Call::LockEnd { name, holder, .. } => name.len() + holder.len(),
            Call::Number { name } | Call::CellGet { name } => name.len(),
            Call::CellPut { name, value, .. } => name.len() + value.len(),
            Call::Watch { group, .. } => group.len(),
            Call::Look { key } => key.name().len(),
        }
    }
}

/// A cell's group: its name up to and including the first dot; the whole name, if it has none.
pub fn group_of(name: &str) -> &str {
    match name.find('.') {
        Some(dot) => name.get(..=dot).unwrap_or(name),
        None => name,
    }
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Answer {
    Done,
    Config(#[serde(with = "serde_bytes")] Vec<u8>),
    Fence(u64),
    /// 409.
    Held,
    Value(u64),
    Revision(u64),
    /// 412.
    Conflict {
        revision: u64,
    },
    Cell {
        value: String,
        revision: u64,
    },
    /// 404.
    Missing,
    Events {
        events: Vec<Event>,
        revision: u64,
    },
    /// 410.
    Expired,
    /// 500: may or may not have taken effect.
    Unknown,
    /// 503: has not taken effect and never will.
    Busy,
    /// The bytes that a register holds.
    Looked {
        #[serde(with = "serde_bytes")]
        value: Option<Vec<u8>>,
    },
    /// 409: the number was taken with other content. This one has not taken effect and never will.
    Differs {
        /// The edition that holds.
        edition: u64,
    },
}

/// One put, as a watch shows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Event {
    pub name: String,
    pub value: String,
    pub revision: u64,
}

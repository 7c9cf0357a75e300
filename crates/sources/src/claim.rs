//! What a source says of one server, and by what terms it is believed.

use crate::absence::Absence;
use crate::rule::Said as Kind;
use fallgap::ServerState;
use std::net::SocketAddr;
use std::time::Duration;

/// When a server last started, as far as a source tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Age {
    /// The source does not know.
    #[default]
    Unknown,
    LongAgo,
    Since(Duration),
}

/// What a source says of one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claim {
    pub server: String,
    pub state: ServerState,
    pub zone: usize,
    /// Listed size, where the source gives one worth weighing by.
    pub size: Option<f64>,
    pub age: Age,
    /// Servers of a source with a higher rank are used only when none with a lower one is open.
    pub rank: Option<u16>,
    /// Where it listens: what tells that two names mean one server.
    pub addresses: Vec<SocketAddr>,
}

/// By what terms sources are believed.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// How long an offer stands after its lifetime, or after its source failed where it has none;
    /// [`Duration::MAX`]: for ever.
    pub hold: Duration,
    /// An answer that would remove more than this part of the open servers waits for a second one.
    pub most_removed: f64,
    /// Least time between answers that confirm a removal, and until the second one is asked for.
    pub confirm: Duration,
    /// How long a withdrawal is remembered that no offer stands against.
    pub remember: Duration,
    /// A server is taken to answer for that long after an op that it acked.
    pub answering: Duration,
    /// Most servers known at once, those lately gone among them.
    pub most_servers: usize,
}

impl Default for Terms {
    fn default() -> Self {
        let s = Duration::from_secs;
        let (hold, remember, answering) = (s(15 * 60), s(3600), s(60));
        Terms { hold, most_removed: 0.34, confirm: s(2), remember, answering, most_servers: 50_000 }
    }
}

impl Terms {
    /// Those of one source that is believed in all it says, for ever: nothing is held up, nothing wears out.
    pub fn one_believed_source() -> Self {
        Terms { hold: Duration::MAX, most_removed: 1.0, confirm: Duration::ZERO, ..Terms::default() }
    }
}

/// What one source has said of one server, as kept.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub kind: Kind,
    pub zone: usize,
    pub size: Option<f64>,
    pub age: Age,
    pub rank: Option<u16>,
    pub addresses: Vec<SocketAddr>,
    /// Since when it says so without a break.
    pub made: Duration,
    /// What was said then cannot be older than this.
    pub oldest: Duration,
    /// When it was last said.
    pub confirmed: Duration,
    /// End of its lifetime; `None`: it has none, and stands until its source fails.
    pub runs_out: Option<Duration>,
    /// The source's answer that last named it.
    pub answer: u64,
    pub absence: Absence,
}

impl Kept {
    pub fn offers(&self) -> bool {
        self.kind == Kind::Ready
    }
    /// Ready or draining: an answer that lacks it says something.
    pub fn names(&self) -> bool {
        matches!(self.kind, Kind::Ready | Kind::Draining)
    }
    /// Whether this offer lifts another source's withdrawal: the server has started since, or, for one that
    /// was called gone or is no longer named, the offer was made anew and cannot be older than the withdrawal.
    /// A record that has merely stayed says nothing new, and a cached one may be older.
    pub fn lifts(&self, withdrawal: &Kept) -> bool {
        let started = matches!(self.age, Age::Since(at) if at > withdrawal.made);
        started || (withdrawal.kind != Kind::Draining && self.oldest > withdrawal.made)
    }
}

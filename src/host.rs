//! What the decisions need from whatever carries them: the [`Host`] they act through, and the plain
//! domain types both sides share. Nothing here decides anything.

use std::time::Duration;

/// Carries out what the decisions order. Everything ordered between two calls of
/// [`crate::Director::news_in`] may travel together.
pub trait Host {
    /// Sets one line of a table: its part relative to the other lines; 0 takes the line out.
    fn set_line(&mut self, table: u32, server: &str, part: f64);
    /// Empties a table of lines and levels.
    fn clear_table(&mut self, table: u32);
    /// Puts a joined proxy on a table, for all op types, with everything the table holds.
    fn bind(&mut self, proxy: u32, table: u32);
    /// Shuts a server out of all tables that joined proxies hold, or lets it back in.
    fn withdraw(&mut self, server: &str, out: bool);
    /// Sets how much of an op type a table lets in, and when its proxies try again.
    fn admit(&mut self, table: u32, op_type: usize, level: f64, retry: Retry);
    /// Asks the proxies reached by the present orders to answer with this stamp.
    fn ask_answer(&mut self, stamp: u16);
    /// Asks to be woken; the cookie comes back.
    fn wake_at(&mut self, at: Duration, cookie: u64);
    /// Probes a server.
    fn probe(&mut self, server: &str);
    /// Tells every other supervisor our demand, in ops a second by zone; it may be lost.
    fn tell_peers(&mut self, demand: &[f64]);
    /// Subscribes to changes of the server list.
    fn follow_list(&mut self);
    /// Asks for the whole server list once.
    fn fetch_list(&mut self);
    /// Writes one line for the operators.
    fn log(&mut self, line: &str);
}

/// How a piece of list news relates to the list in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListNews {
    /// Only the entries that changed.
    Changes,
    /// The complete list; whatever is missing has been removed.
    Whole,
    /// The complete list as last held, perhaps stale in both directions.
    Remembered,
}

/// What the list says of a server's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One entry of the server list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub server: String,
    pub zone: usize,
    /// Listed size, where the list gives one worth weighing by.
    pub size: Option<f64>,
    pub state: ServerState,
    /// When it last started; `None`: long ago.
    pub started: Option<Duration>,
}

/// Whether an op may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Retryable,
    /// Servers drop a repeat that comes within the window after the first try; `everywhere`: all of them do.
    Deduplicated {
        everywhere: bool,
        window: Duration,
    },
    OnceOnly,
}

/// One op type, as the settings describe it.
#[derive(Clone, Debug)]
pub struct OpType {
    pub value: f64,
    pub target_latency: Duration,
    pub op_timeout: Duration,
    pub repeats: Repeats,
    /// May go only to servers of the proxy's own zone.
    pub own_zone: bool,
}

/// How levels of admission are read by the proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A share of what comes.
    Share,
    /// Ops a second at each proxy.
    Rate,
    /// Levels are ignored.
    Silent,
}

/// When a proxy tries another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    Never,
    /// Once, after proof that the first try never ran.
    Unsent,
    /// Once, after any failure.
    Once,
    /// Twice, after any failure.
    Twice,
}

/// What proxies make of levels, and when they try again unless they are told.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    pub admission: Admission,
    pub usual_retry: Retry,
}

/// The supervisor's own channel to its proxies.
#[derive(Clone, Copy, Debug)]
pub struct Channel {
    pub lines_per_s: f64,
    /// Lines each message costs beyond its own.
    pub head: f64,
    /// Lines that may wait.
    pub backlog: f64,
    /// Messages to one proxy within `messages_over`; 0: no limit.
    pub messages_most: usize,
    pub messages_over: Duration,
}

/// The terms on servers that have just started.
#[derive(Clone, Copy, Debug)]
pub struct ColdTerms {
    /// Share of its capacity a server starts with, at least.
    pub from: f64,
    /// Time to become warm, at most.
    pub over: Duration,
}

/// A server's load report: what it holds of these.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Ops being handled.
    pub active: Option<f64>,
    /// Ops waiting.
    pub waiting: Option<f64>,
    /// Share of its cores that is busy.
    pub busy: Option<f64>,
    /// Recent service time in milliseconds, without waiting.
    pub service_ms: Option<f64>,
}

/// What is reported, and how.
#[derive(Clone, Copy, Debug)]
pub struct Reporting {
    /// Load comes with probes only.
    pub by_probe: bool,
    pub probes_allowed: bool,
    /// Span between reports of what proxies met.
    pub interval: Duration,
}

/// What the result counts, beyond the whole run.
#[derive(Clone, Copy, Debug)]
pub struct Aims {
    pub worst_op_type: f64,
    pub rest: f64,
}

/// Other supervisors of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Peers {
    pub others: usize,
    pub notes_allowed: bool,
    /// Proxies join a supervisor of their own zone; else they are dealt by chance.
    pub by_zone: bool,
}

/// What a deployment settles for one supervisor.
#[derive(Clone, Debug)]
pub struct Settings {
    pub op_types: Vec<OpType>,
    pub habits: Habits,
    pub channel: Channel,
    pub cold: ColdTerms,
    pub reporting: Reporting,
    pub aims: Aims,
    pub peers: Peers,
}

/// Tries that ended at one server, as one zone's proxies met them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Met {
    pub total: f64,
    pub aborted: f64,
    /// Mean time of the good ones in milliseconds; 0 if none.
    pub good_ms: f64,
    pub span: Duration,
}

/// Ops of one type that reached a proxy, client repeats and rejected ones included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Came {
    pub total: f64,
    /// Those let in that got no answer.
    pub aborted: f64,
    pub span: Duration,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probed {
    Answered,
    TurnedAway,
    /// No answer, an error, or no connection.
    Failed,
}

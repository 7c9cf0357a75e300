//! The module for network code, in blocking style: **report** what happened, **tick** to let it act, **pick**
//! the next call of orders. A [`Supervisor`] knows no socket and no clock; the caller hands in the time.
//!
//! One call is out at a time: until it is [settled](Supervisor::report_settled), reports go on but nothing
//! new is built, so the next build reads the state of that moment and no queue of stale orders grows.
//! A caller's round, whatever it speaks:
//!
//! ```
//! use fallgap::{Order, Supervisor};
//! use std::time::Duration;
//! fn round(supervisor: &mut Supervisor, now: Duration, carry_out: impl FnOnce(&[Order])) -> Duration {
//!     supervisor.report_left(now, 17); // and whatever else has happened
//!     let next = supervisor.tick(now);
//!     if let Some(call) = supervisor.pick(500, |_| 1) {
//!         carry_out(&call); // again and again, until it is certain
//!         supervisor.report_settled();
//!     }
//!     next // when to tick again, if nothing happens before
//! }
//! ```

use crate::decide::Director;
use crate::host::*;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// One order, with an absolute value: carried out again, it changes nothing.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Line { table: u32, server: String, part: f64 },
    Clear { table: u32 },
    Bind { proxy: u32, table: u32 },
    Withdraw { server: String, out: bool },
    Admit { table: u32, op_type: usize, level: f64, retry: Retry },
    Ask { stamp: u16 },
}

impl Order {
    /// The table that an order works on: orders on one table in a row travel in one call.
    fn table(&self) -> Option<u32> {
        match self {
            Order::Line { table, .. } | Order::Clear { table } => Some(*table),
            Order::Bind { table, .. } | Order::Admit { table, .. } => Some(*table),
            Order::Withdraw { .. } | Order::Ask { .. } => None,
        }
    }
}

/// What the decisions ordered and has not left yet.
#[derive(Default)]
struct Gathered {
    orders: VecDeque<Order>,
    /// Stamp that each call of this build carries.
    ask: Option<u16>,
    wakes: BTreeSet<(Duration, u64)>,
    note: Option<Vec<f64>>,
}

impl Host for Gathered {
    fn set_line(&mut self, table: u32, server: &str, part: f64) {
        self.orders.push_back(Order::Line { table, server: server.to_owned(), part });
    }
    fn clear_table(&mut self, table: u32) {
        self.orders.push_back(Order::Clear { table });
    }
    fn bind(&mut self, proxy: u32, table: u32) {
        self.orders.push_back(Order::Bind { proxy, table });
    }
    fn withdraw(&mut self, server: &str, out: bool) {
        self.orders.push_back(Order::Withdraw { server: server.to_owned(), out });
    }
    fn admit(&mut self, table: u32, op_type: usize, level: f64, retry: Retry) {
        self.orders.push_back(Order::Admit { table, op_type, level, retry });
    }
    fn ask_answer(&mut self, stamp: u16) {
        self.ask = Some(stamp);
    }
    fn wake_at(&mut self, at: Duration, cookie: u64) {
        self.wakes.insert((at, cookie));
    }
    /// Real supervisors have no way to probe: the decisions were told so at start.
    fn probe(&mut self, _server: &str) {}
    fn tell_peers(&mut self, demand: &[f64]) {
        self.note = Some(demand.to_vec());
    }
    /// The list is always watched.
    fn follow_list(&mut self) {}
    fn fetch_list(&mut self) {}
    fn log(&mut self, line: &str) {
        tracing::info!("{line}");
    }
}

/// One supervisor's decisions, for code that talks to the world.
pub struct Supervisor {
    director: Director<Gathered>,
    unsettled: bool,
}

impl Supervisor {
    /// `now` may be any time of a clock that never goes back; start times of servers are told in the same.
    pub fn start(
        now: Duration, seed: u64, op_types: Vec<OpType>, habits: Habits, channel: Channel, cold: ColdTerms,
        reporting: Reporting, aims: Aims, peers: Peers,
    ) -> Self {
        let reporting = Reporting { probes_allowed: false, ..reporting };
        let host = Gathered::default();
        let set = Settings { op_types, habits, channel, cold, reporting, aims, peers };
        let director = Director::start(now, seed, host, set, false);
        Supervisor { director, unsettled: false }
    }

    pub fn report_list(&mut self, now: Duration, news: ListNews, entries: Vec<Listed>) {
        self.director.list_changed(now, news, entries);
    }
    pub fn report_list_failed(&mut self, now: Duration) {
        self.director.list_failed(now);
    }
    /// Also for a proxy that was joined already: its bindings are in doubt then.
    pub fn report_joined(&mut self, now: Duration, proxy: u32, zone: usize, usual: f64, fresh: bool) {
        self.director.proxy_joined(now, proxy, zone, usual, fresh);
    }
    pub fn report_left(&mut self, now: Duration, proxy: u32) {
        self.director.proxy_left(now, proxy);
    }
    pub fn report_answered(&mut self, now: Duration, proxy: u32, stamp: u16) {
        self.director.update_answered(now, proxy, stamp);
    }
    /// Tells whether the server is known: what is told of others counts for nothing.
    pub fn report_met(&mut self, now: Duration, server: &str, met: Met, load: Option<Load>) -> bool {
        self.director.server_met(now, server, met, load)
    }
    pub fn report_came(&mut self, now: Duration, proxy: u32, op_type: usize, came: Came) {
        self.director.ops_came(now, proxy, op_type, came);
    }
    pub fn report_peer(&mut self, now: Duration, peer: u32, demand: Vec<f64>) {
        self.director.peer_told(now, peer, demand);
    }
    /// The call picked last needs nothing more.
    pub fn report_settled(&mut self) {
        self.unsettled = false;
    }

    /// Lets the decisions act on all that was reported. Returns when to tick next if nothing is reported.
    pub fn tick(&mut self, now: Duration) -> Duration {
        let later = self.director.host.wakes.split_off(&(now + Duration::from_nanos(1), 0));
        let due = std::mem::replace(&mut self.director.host.wakes, later);
        due.into_iter().for_each(|(_, cookie)| self.director.woke(now, cookie));
        if !self.unsettled && self.director.host.orders.is_empty() {
            self.director.host.ask = None;
            self.director.news_in(now);
        }
        self.director.host.wakes.first().map_or(now + Duration::from_secs(1), |w| w.0)
    }

    /// The next call of orders, at most `room` as `size` measures them. Where there are more, the cut falls
    /// between tables: a proxy gets one message of each build. The stamp comes first and in every call, so
    /// that whoever a call reaches is asked, also if the call is carried out in part.
    pub fn pick(&mut self, room: usize, size: impl Fn(&Order) -> usize) -> Option<Vec<Order>> {
        let Gathered { orders, ask, .. } = &mut self.director.host;
        if self.unsettled || orders.is_empty() {
            return None;
        }
        let mut call: Vec<Order> = ask.iter().map(|stamp| Order::Ask { stamp: *stamp }).collect();
        let mut used: usize = call.iter().map(&size).sum();
        let fit = orders.iter().take_while(|order| {
            used += size(order);
            used <= room
        });
        let fit = fit.count().max(1);
        let whole = |at: &usize| orders.get(*at).is_none_or(|o| o.table() != orders[at - 1].table());
        let cut = (1..=fit).rev().find(whole).unwrap_or(fit);
        call.extend(orders.drain(..cut));
        self.unsettled = true;
        Some(call)
    }

    /// Whether a call is out.
    pub fn is_unsettled(&self) -> bool {
        self.unsettled
    }

    /// How many servers are remembered, those lately gone among them.
    pub fn servers_held(&self) -> usize {
        self.director.known.servers.len()
    }

    /// Demand to be told to every other supervisor, in ops a second by zone.
    pub fn pick_note(&mut self) -> Option<Vec<f64>> {
        self.director.host.note.take()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// Three servers in one zone and as many proxies as asked for, joined, long after the clock's start.
    fn supervisor(proxies: u32) -> (Supervisor, Duration) {
        let now = Duration::from_secs(1_700_000_000);
        let op = OpType {
            value: 1.0,
            target_latency: MS * 500,
            op_timeout: MS * 2000,
            repeats: Repeats::Retryable,
            own_zone: false,
        };
        let mut supervisor = Supervisor::start(
            now,
            1,
            vec![op],
            Habits { admission: Admission::Rate, usual_retry: Retry::Unsent },
            Channel { lines_per_s: 1e4, head: 5.0, backlog: 1e4, messages_most: 0, messages_over: MS },
            ColdTerms { from: 0.2, over: MS * 10_000 },
            Reporting { by_probe: true, probes_allowed: true, interval: MS * 1000 },
            Aims { worst_op_type: 0.1, rest: 0.9 },
            Peers { others: 1, notes_allowed: true, by_zone: true },
        );
        let state = ServerState::Ready;
        let listed = |i| Listed { server: format!("s-{i}"), zone: 0, size: None, state, started: None };
        supervisor.report_list(now, ListNews::Whole, (0..3).map(listed).collect());
        (0..proxies).for_each(|p| supervisor.report_joined(now, p, 0, 10.0, true));
        (supervisor, now)
    }

    fn binds(call: &[Order]) -> Vec<u32> {
        let proxy = |o: &Order| if let Order::Bind { proxy, .. } = o { Some(*proxy) } else { None };
        call.iter().filter_map(proxy).collect()
    }

    /// Guards against proxies that get two messages of one build, and calls that nobody answers.
    #[test]
    fn calls_are_cut_between_tables_and_each_asks() {
        let (mut supervisor, now) = supervisor(5);
        supervisor.tick(now);
        let mut seen = Vec::new();
        // Room for one stamp and two tables of three lines and a binding each, and a bit.
        while let Some(call) = supervisor.pick(11, |_| 1) {
            assert!(matches!(call[0], Order::Ask { .. }) && call.len() <= 11);
            assert!(matches!(call.last(), Some(Order::Bind { .. })), "cut inside a table");
            assert!(supervisor.pick(11, |_| 1).is_none(), "one call is out at a time");
            seen.extend(binds(&call));
            supervisor.report_settled();
        }
        assert_eq!(seen, [0, 1, 2, 3, 4]);
        // A table with more orders than there is room for is cut all the same: it has to leave.
        let (mut supervisor, now) = self::supervisor(1);
        supervisor.tick(now);
        assert_eq!(supervisor.pick(3, |_| 1).map(|call| call.len()), Some(3));
    }

    /// Guards against a queue of stale orders while the relay does not answer.
    #[test]
    fn nothing_is_built_while_a_call_is_unsettled() {
        let (mut supervisor, now) = supervisor(1);
        supervisor.tick(now);
        assert_eq!(supervisor.pick(99, |_| 1).map(|call| binds(&call)), Some(vec![0]));
        supervisor.report_left(now + MS, 0);
        (1..4).for_each(|p| supervisor.report_joined(now + MS, p, 0, 10.0, true));
        supervisor.tick(now + MS);
        supervisor.report_left(now + MS * 2, 3);
        supervisor.tick(now + MS * 2);
        supervisor.report_settled();
        assert!(supervisor.pick(99, |_| 1).is_none(), "built only when asked to act");
        supervisor.tick(now + MS * 3);
        assert_eq!(supervisor.pick(99, |_| 1).map(|call| binds(&call)), Some(vec![1, 2]));
    }

    /// Guards against memory that grows with every server that ever was: a fleet replaced by one with new ids
    /// again and again leaves no more behind than was remembered after the first few times.
    #[test]
    fn replaced_fleets_are_forgotten() {
        let (mut supervisor, mut now) = supervisor(2);
        let mut held = Vec::new();
        for fleet in 0..30 {
            let state = ServerState::Ready;
            let listed =
                |i| Listed { server: format!("s-{fleet}-{i}"), zone: 0, size: None, state, started: None };
            supervisor.report_list(now, ListNews::Whole, (0..3).map(listed).collect());
            for _ in 0..20 {
                now = supervisor.tick(now + MS * 1000);
                while supervisor.pick(99, |_| 1).is_some() {
                    supervisor.report_settled();
                }
                (0..2).for_each(|proxy| {
                    (0..200).for_each(|stamp| supervisor.report_answered(now, proxy, stamp))
                });
            }
            held.push(supervisor.servers_held());
        }
        assert!(held[29] <= held[9] && held[29] < 30, "{held:?}");
    }

    /// Guards against decisions that wait for a wake that never comes: they act by the time they asked for.
    #[test]
    fn ticks_run_what_is_due() {
        let (mut supervisor, now) = supervisor(1);
        let mut next = supervisor.tick(now);
        for _ in 0..40 {
            assert!(next > now && next <= now + Duration::from_secs(30));
            next = supervisor.tick(next);
        }
        let note = supervisor.pick_note();
        assert!(note.is_some_and(|demand| demand.len() == 1 && demand[0] > 0.0));
        assert!(supervisor.pick_note().is_none(), "a note leaves once");
    }
}

//! Several supervisors over one fleet in virtual time: each hears only of its own proxies, and its orders wait
//! in its channel before they work. Servers are bookkeeping: what the tables in force bring each of them.

use fallgap::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub const ZONES: usize = 3;
pub const MS: Duration = Duration::from_millis(1);
const STEP: Duration = Duration::from_millis(20);
/// From the channel to a proxy, and for the answer back.
const TRAVEL: Duration = Duration::from_millis(300);
/// Long after the clock's start, as a real one would be.
pub const START: Duration = Duration::from_secs(1_700_000_000);

/// The terms of a world that its tests vary.
#[derive(Clone, Copy)]
pub struct Terms {
    pub supervisors: usize,
    pub proxies: u32,
    pub servers: usize,
    /// Part of the servers' capacity that all proxies ask for.
    pub load: f64,
    pub lines_per_s: f64,
    pub backlog: f64,
    pub messages: usize,
}

pub struct Truth {
    pub zone: usize,
    pub state: ServerState,
    pub started: Option<Duration>,
    /// Neither answers nor refuses: its tries hang.
    pub silent: bool,
    pub capacity: f64,
}

impl Truth {
    /// What it can do now: a fifth when it starts, evenly more over ten seconds.
    pub fn present(&self, now: Duration) -> f64 {
        let warm = self.started.map_or(1.0, |at| 0.2 + 0.08 * now.saturating_sub(at).as_secs_f64());
        self.capacity * warm.min(1.0)
    }
}

#[derive(Default)]
pub struct Proxy {
    pub zone: usize,
    pub usual: f64,
    pub home: Option<usize>,
    pub joined: Duration,
    /// Bound by the supervisor it is joined to.
    pub bound: bool,
    pub table: BTreeMap<String, f64>,
    pub level: f64,
    messages: VecDeque<Duration>,
}

impl Proxy {
    /// Ops a second that it brings a server.
    pub fn brings(&self, server: &str) -> f64 {
        let all: f64 = self.table.values().sum();
        self.table.get(server).map_or(0.0, |part| self.usual * part / all)
    }
}

/// One message: what a call ordered for one proxy.
struct Message {
    leaves: Duration,
    proxy: u32,
    stamp: u16,
    lines: f64,
    orders: Vec<Order>,
}

struct Node {
    supervisor: Option<Supervisor>,
    channel: VecDeque<Message>,
    travelling: VecDeque<Message>,
    free: Duration,
}

pub struct World {
    pub terms: Terms,
    pub now: Duration,
    pub proxies: Vec<Proxy>,
    pub servers: BTreeMap<String, Truth>,
    nodes: Vec<Node>,
    reported: Duration,
    /// Most lines that ever waited in one channel, and messages that one proxy had in ten seconds.
    pub most_waiting: f64,
    pub most_messages: usize,
}

pub fn name(server: usize) -> String {
    format!("s-{server:03}")
}

impl World {
    pub fn new(terms: Terms) -> World {
        let usual = 4.0;
        let capacity = usual * f64::from(terms.proxies) / terms.servers as f64 / terms.load;
        let truth = |s: usize| Truth {
            zone: s % ZONES,
            state: ServerState::Ready,
            started: None,
            silent: false,
            capacity,
        };
        let proxy = |p| Proxy { zone: p as usize % ZONES, usual, level: f64::INFINITY, ..Proxy::default() };
        let node =
            |_| Node { supervisor: None, channel: VecDeque::new(), travelling: VecDeque::new(), free: START };
        World {
            terms,
            now: START,
            proxies: (0..terms.proxies).map(proxy).collect(),
            servers: (0..terms.servers).map(|s| (name(s), truth(s))).collect(),
            nodes: (0..terms.supervisors).map(node).collect(),
            reported: START,
            most_waiting: 0.0,
            most_messages: 0,
        }
    }

    /// Starts a supervisor with a list as it was held last.
    pub fn start(&mut self, node: usize, known: Vec<Listed>) {
        let op = OpType {
            value: 1.0,
            target_latency: MS * 1000,
            op_timeout: MS * 3000,
            repeats: Repeats::Retryable,
            own_zone: false,
        };
        let Terms { lines_per_s, backlog, messages, supervisors, .. } = self.terms;
        let mut supervisor = Supervisor::start(
            self.now,
            node as u64 + 1,
            vec![op],
            Habits { admission: Admission::Rate, usual_retry: Retry::Unsent },
            Channel { lines_per_s, head: 10.0, backlog, messages_most: messages, messages_over: MS * 10_000 },
            ColdTerms { from: 0.2, over: MS * 10_000 },
            Reporting { by_probe: false, probes_allowed: false, interval: MS * 1000 },
            Aims { worst_op_type: 0.1, rest: 0.9 },
            Peers { others: supervisors - 1, notes_allowed: true, by_zone: true },
        );
        supervisor.report_list(self.now, ListNews::Remembered, known);
        self.nodes[node].supervisor = Some(supervisor);
    }

    /// A supervisor dies: what waits in its channel is lost, its proxies go on with what they hold.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node] =
            Node { supervisor: None, channel: VecDeque::new(), travelling: VecDeque::new(), free: self.now };
        self.proxies.iter_mut().filter(|p| p.home == Some(node)).for_each(|p| p.home = None);
    }

    pub fn join(&mut self, proxy: u32, node: usize) {
        let p = &mut self.proxies[proxy as usize];
        let fresh = p.table.is_empty();
        (p.home, p.joined, p.bound) = (Some(node), self.now, false);
        p.messages.clear();
        let (zone, usual, now) = (p.zone, p.usual, self.now);
        if let Some(s) = &mut self.nodes[node].supervisor {
            s.report_joined(now, proxy, zone, usual, fresh);
        }
    }

    /// Every proxy joins a supervisor of its zone, evenly.
    pub fn join_all(&mut self) {
        for proxy in 0..self.terms.proxies {
            let here: Vec<usize> =
                (0..self.nodes.len()).filter(|n| n % ZONES == proxy as usize % ZONES).collect();
            self.join(proxy, here[proxy as usize / ZONES % here.len()]);
        }
    }

    pub fn listed(&self, server: &str) -> Listed {
        let t = &self.servers[server];
        Listed { server: server.into(), zone: t.zone, size: None, state: t.state, started: t.started }
    }

    pub fn whole_list(&self) -> Vec<Listed> {
        self.servers.keys().map(|server| self.listed(server)).collect()
    }

    /// What is true of a server changes, and every supervisor is told.
    pub fn change(&mut self, server: &str, state: ServerState, started: Option<Duration>) {
        if let Some(truth) = self.servers.get_mut(server) {
            (truth.state, truth.started) = (state, started.or(truth.started));
        }
        let entry = self.listed(server);
        for s in self.nodes.iter_mut().filter_map(|n| n.supervisor.as_mut()) {
            s.report_list(self.now, ListNews::Changes, vec![entry.clone()]);
        }
    }

    /// Ops a second that the tables in force bring each server.
    pub fn brought(&self) -> BTreeMap<String, f64> {
        let mut brought: BTreeMap<String, f64> = BTreeMap::new();
        for p in &self.proxies {
            let all: f64 = p.table.values().sum();
            p.table
                .iter()
                .for_each(|(s, part)| *brought.entry(s.clone()).or_default() += p.usual * part / all);
        }
        brought
    }

    pub fn run(&mut self, until: Duration, mut look: impl FnMut(&World)) {
        while self.now < until {
            self.now += STEP;
            self.deliver();
            self.report();
            for node in 0..self.nodes.len() {
                self.act(node);
            }
            look(self);
        }
    }

    fn act(&mut self, node: usize) {
        let (now, rate) = (self.now, self.terms.lines_per_s);
        let Node { supervisor: Some(supervisor), channel, free, .. } = &mut self.nodes[node] else { return };
        supervisor.tick(now);
        while let Some(call) = supervisor.pick(60_000, |_| 130) {
            supervisor.report_settled();
            let mut by_proxy: BTreeMap<u32, Vec<Order>> = BTreeMap::new();
            let mut stamp = 0;
            for order in call {
                match &order {
                    Order::Ask { stamp: asked } => stamp = *asked,
                    Order::Line { table, .. } | Order::Bind { table, .. } | Order::Admit { table, .. } => {
                        by_proxy.entry(*table).or_default().push(order);
                    }
                    other => panic!("not ordered here: {other:?}"),
                }
            }
            for (proxy, orders) in by_proxy {
                let lines = orders.len() as f64 + 11.0;
                *free = (*free).max(now) + Duration::from_secs_f64(lines / rate);
                channel.push_back(Message { leaves: *free, proxy, stamp, lines, orders });
                let p = &mut self.proxies[proxy as usize];
                p.messages.push_back(now);
                p.messages.retain(|at| *at + MS * 10_000 > now);
                self.most_messages = self.most_messages.max(p.messages.len());
            }
        }
        let waiting = channel.iter().map(|m| m.lines).sum();
        self.most_waiting = self.most_waiting.max(waiting);
        if let Some(note) = supervisor.pick_note() {
            for other in (0..self.nodes.len()).filter(|other| *other != node) {
                if let Some(s) = &mut self.nodes[other].supervisor {
                    s.report_peer(now, node as u32, note.clone());
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (at, node) in self.nodes.iter_mut().enumerate() {
            while node.channel.front().is_some_and(|m| m.leaves <= now) {
                node.travelling.extend(node.channel.pop_front());
            }
            while let Some(m) = node.travelling.pop_front_if(|m| m.leaves + TRAVEL <= now) {
                let p = &mut self.proxies[m.proxy as usize];
                if p.home != Some(at) {
                    continue;
                }
                if m.orders.iter().any(|o| matches!(o, Order::Bind { .. })) {
                    p.table.clear();
                    p.bound = true;
                }
                for order in m.orders {
                    match order {
                        Order::Line { server, part, .. } => _ = p.table.insert(server, part),
                        Order::Admit { level, .. } => p.level = level,
                        _ => {}
                    }
                }
                p.table.retain(|_, part| *part > 0.0);
                if let Some(s) = &mut node.supervisor {
                    s.report_answered(now, m.proxy, m.stamp);
                }
            }
        }
    }

    /// Once a second each supervisor hears what its own proxies met, and what came to them.
    fn report(&mut self) {
        if self.now < self.reported + MS * 1000 {
            return;
        }
        self.reported = self.now;
        let (now, span, brought) = (self.now, MS * 1000, self.brought());
        for (at, node) in self.nodes.iter_mut().enumerate() {
            let Some(supervisor) = &mut node.supervisor else { continue };
            let own: Vec<&Proxy> = self.proxies.iter().filter(|p| p.home == Some(at)).collect();
            for (server, truth) in &self.servers {
                let total: f64 = own.iter().map(|p| p.brings(server)).sum();
                if total < 0.5 || truth.silent {
                    continue;
                }
                // Gone servers abort every try; others what is beyond them.
                let busy = brought[server] / truth.present(now);
                let aborted = if truth.state == ServerState::Gone { 1.0 } else { 1.0 - 1.0 / busy.max(1.0) };
                let met = Met { total, aborted: total * aborted, good_ms: 100.0 + 200.0 * busy, span };
                let load = Load { busy: Some(busy.min(1.0)), ..Load::default() };
                supervisor.report_met(now, server, met, Some(load));
            }
            for (proxy, p) in self.proxies.iter().enumerate().filter(|(_, p)| p.home == Some(at)) {
                let came = Came { total: p.usual, aborted: 0.0, span };
                supervisor.report_came(now, proxy as u32, 0, came);
            }
        }
    }
}

//! Proxies as a target: each op goes to one of its zone, which does with it what its table says.

use crate::arrivals::{Kind, Op};
use crate::checks::Watch;
use crate::clients::Ended;
use crate::dispatch::{Admission, Level, further, pick};
use crate::drive::Target;
use crate::emulated::shell::Server;
use crate::engine::{Room, Sends};
use crate::frames::{Request, Tried};
use crate::targets::Inbox;
use crate::targets::framed::Line;
use fallgap_test_support::relay::Relay;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Where proxies have their tables from.
#[derive(Clone)]
pub enum Tables {
    Ordered(Rc<Relay>),
    /// No supervisor: one even table of all servers that are listed as ready.
    Even(Rc<RefCell<Vec<bool>>>),
}

/// What one server was to one zone's proxies, since the last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Met {
    pub tries: u64,
    pub failed: u64,
    pub good_ms: f64,
}

/// What is reported: by zone and server, and by proxy and op type.
#[derive(Default)]
pub struct Sums {
    pub met: BTreeMap<(u16, usize), Met>,
    pub came: BTreeMap<(u64, u16), (u64, u64)>,
}

struct Flow {
    proxy: u64,
    kind: u16,
    zone: u16,
    /// The client's try, and the number of the frame.
    tries: u8,
    frame: u8,
    /// Tries that this proxy made of the client's one.
    here: u8,
    server: usize,
    sent: Duration,
    waits: bool,
    request: Request,
}

pub struct Proxies {
    kinds: Vec<Kind>,
    zones: u16,
    per_zone: u64,
    names: HashMap<String, usize>,
    servers: Vec<Rc<Server>>,
    /// By proxy and server.
    pub lines: Vec<Vec<Rc<Line>>>,
    tables: Tables,
    admission: Vec<Admission>,
    flows: HashMap<u64, Flow>,
    inner: Inbox,
    outer: Inbox,
    rng: fastrand::Rng,
    pub sums: Rc<RefCell<Sums>>,
    pub watch: Rc<RefCell<Watch>>,
    /// Frames that were a proxy's own further try.
    pub by_proxies: HashSet<(u64, u8)>,
    /// When tables were last looked at.
    looked: Duration,
}

/// How often each proxy's table is looked at: has it a server?
const LOOKS: Duration = Duration::from_millis(50);

impl Proxies {
    #[allow(clippy::too_many_arguments)]
    pub fn open(
        kinds: Vec<Kind>, zones: u16, per_zone: u64, names: &[String], servers: Vec<Rc<Server>>,
        at: &[SocketAddr], tables: Tables, watch: Rc<RefCell<Watch>>, seed: u64,
    ) -> Proxies {
        let outer = Inbox::default();
        let inner = outer.beside();
        let count = u64::from(zones) * per_zone;
        let line = |at: &SocketAddr| Line::open(*at, inner.clone());
        Proxies {
            kinds,
            zones,
            per_zone,
            names: names.iter().cloned().enumerate().map(|(i, name)| (name, i)).collect(),
            servers,
            lines: (0..count).map(|_| at.iter().map(line).collect()).collect(),
            tables,
            admission: vec![Admission::default(); count as usize],
            flows: HashMap::new(),
            inner,
            outer,
            rng: fastrand::Rng::with_seed(seed),
            sums: Rc::default(),
            watch,
            by_proxies: HashSet::new(),
            looked: Duration::ZERO,
        }
    }

    pub fn zone_of(&self, proxy: u64) -> u16 {
        (proxy / self.per_zone) as u16
    }

    fn look(&mut self, now: Duration) {
        self.looked = now;
        let any = self.any_open(now);
        for proxy in 0..self.lines.len() as u64 {
            let held = self.table(proxy).iter().filter(|(_, part)| *part > 0.0).count();
            self.watch.borrow_mut().holds(now, proxy, held, any);
        }
    }

    /// Whether some server takes ops and is warm.
    fn any_open(&self, now: Duration) -> bool {
        let open = |server: &Rc<Server>| {
            let machine = server.machine.borrow();
            !machine.is_down(now) && !machine.is_cold(now) && machine.capacity(now) > 0.0
        };
        self.servers.iter().any(open)
    }

    /// The lines of a proxy's table, without the servers that are shut out.
    fn table(&self, proxy: u64) -> Vec<(usize, f64)> {
        match &self.tables {
            Tables::Even(ready) => {
                let ready = ready.borrow();
                ready.iter().enumerate().filter(|(_, ready)| **ready).map(|(i, _)| (i, 1.0)).collect()
            }
            Tables::Ordered(relay) => {
                let (bound, tables, out) = (relay.bound.borrow(), relay.tables.borrow(), relay.out.borrow());
                let lines = bound.get(&proxy).and_then(|table| tables.get(table));
                let open = lines.into_iter().flatten().filter(|(server, _)| !out.contains(*server));
                open.filter_map(|(server, part)| Some((*self.names.get(server)?, *part))).collect()
            }
        }
    }

    fn level(&self, proxy: u64, kind: u16) -> Level {
        let usual = Level { admit: f64::INFINITY, policy: 1 };
        let Tables::Ordered(relay) = &self.tables else { return usual };
        let Some(table) = relay.bound.borrow().get(&proxy).copied() else { return usual };
        let name = self.kinds.get(usize::from(kind)).map_or("", |kind| kind.name.as_str());
        let levels = relay.levels.borrow();
        levels
            .get(&(table, name.to_owned()))
            .map_or(usual, |(admit, policy)| Level { admit: *admit, policy: *policy })
    }

    /// Sends a flow's op to a server of its table, or tells why not.
    fn dispatch(&mut self, now: Duration, id: u64, not: Option<usize>) -> Result<(), Ended> {
        let Some(flow) = self.flows.get(&id) else { return Err(Ended::Aborted) };
        let (proxy, frame) = (flow.proxy, flow.frame + 1);
        let lines = self.table(proxy);
        let server = pick(&lines, not, self.rng.f64()).ok_or(Ended::Unsent)?;
        let request = Request { tries: frame, ..flow.request };
        let room = self.lines[proxy as usize][server].send(&request);
        let machine = self.servers[server].machine.borrow();
        let (can, cold) = (machine.capacity(now), machine.is_cold(now));
        drop(machine);
        let Some(flow) = self.flows.get_mut(&id) else { return Err(Ended::Aborted) };
        (flow.frame, flow.server, flow.sent) = (frame, server, now);
        flow.here += 1;
        if flow.here > 1 {
            self.by_proxies.insert((id, frame));
        }
        flow.waits = room == Room::Left;
        if !flow.waits {
            let zone = flow.zone;
            self.met(zone, server, None);
            return Err(Ended::Unsent);
        }
        let work = request.work.as_secs_f64();
        self.watch.borrow_mut().sent(now, proxy, server, work, can, cold);
        Ok(())
    }

    fn met(&self, zone: u16, server: usize, good: Option<Duration>) {
        let mut sums = self.sums.borrow_mut();
        let met = sums.met.entry((zone, server)).or_default();
        met.tries += 1;
        match good {
            Some(took) => met.good_ms += took.as_secs_f64() * 1e3,
            None => met.failed += 1,
        }
    }

    /// A try ended: it is tried elsewhere as ordered, or told to the client.
    fn tried(&mut self, now: Duration, id: u64, ended: Ended) {
        let Some(flow) = self.flows.get(&id) else { return };
        let (proxy, kind, tries, here, server) = (flow.proxy, flow.kind, flow.tries, flow.here, flow.server);
        let repeats: Tried = flow.request.repeats;
        let mut ended = ended;
        let mut here = here;
        while further(self.level(proxy, kind).policy, repeats, here, ended) {
            match self.dispatch(now, id, Some(server)) {
                Ok(()) => return,
                Err(again) => ended = again,
            }
            here += 1;
        }
        self.settled(proxy, kind, ended);
        self.outer.put(id, tries, ended);
    }

    fn settled(&self, proxy: u64, kind: u16, ended: Ended) {
        let mut sums = self.sums.borrow_mut();
        let came = sums.came.entry((proxy, kind)).or_default();
        came.1 += u64::from(!matches!(ended, Ended::Acked | Ended::Rejected));
    }
}

impl Sends for Proxies {
    fn send(&mut self, now: Duration, op: &Op, tries: u8) -> Room {
        let Some(kind) = self.kinds.get(usize::from(op.kind)) else { return Room::Nobody };
        let zone = op.zone.min(self.zones - 1);
        let proxy = u64::from(zone) * self.per_zone + (op.id + u64::from(tries)) % self.per_zone;
        self.sums.borrow_mut().came.entry((proxy, op.kind)).or_default().0 += 1;
        let admit = self.level(proxy, op.kind).admit;
        if !self.admission[proxy as usize].admits(now, op.kind, admit) {
            // Given up at once: the client hears so.
            self.outer.put(op.id, tries, Ended::Rejected);
            return Room::Left;
        }
        let request = Request::of(op, 0, kind.repeats);
        // Frames of one op are numbered through all its tries.
        let frame = self.flows.get(&op.id).map_or(0, |flow| flow.frame);
        let flow = Flow {
            proxy,
            kind: op.kind,
            zone,
            tries,
            frame,
            here: 0,
            server: usize::MAX,
            sent: now,
            waits: false,
            request,
        };
        self.flows.insert(op.id, flow);
        if let Err(ended) = self.dispatch(now, op.id, None) {
            self.tried(now, op.id, ended);
        }
        Room::Left
    }

    fn over(&mut self, op: &Op, _: Option<Duration>, _: Ended, _: Duration, _: u8) {
        if let Some(flow) = self.flows.remove(&op.id).filter(|flow| flow.waits) {
            // Its time ran out at a server.
            self.met(flow.zone, flow.server, None);
            self.settled(flow.proxy, flow.kind, Ended::Late);
        }
    }
}

impl Target for Proxies {
    fn inbox(&self) -> &Inbox {
        &self.outer
    }
    fn flush(&mut self, now: Duration) -> bool {
        if now >= self.looked + LOOKS {
            self.look(now);
        }
        while let Some(heard) = self.inner.take() {
            let Some(flow) = self.flows.get_mut(&heard.id).filter(|f| f.frame == heard.tries && f.waits)
            else {
                continue;
            };
            flow.waits = false;
            let (zone, server, took) = (flow.zone, flow.server, now.saturating_sub(flow.sent));
            self.met(zone, server, (heard.ended == Ended::Acked).then_some(took));
            self.tried(now, heard.id, heard.ended);
        }
        self.lines.iter().flatten().fold(false, |left, line| line.flush() | left)
    }
    fn is_ready(&self) -> bool {
        self.lines.iter().flatten().all(|line| line.is_open())
    }
}

//! A view of a size, and what routing, admission and the pick take of the processor over it.

use crate::gauge::{ran, resident_kb};
use fallgap_config::{Allowance, Berth, Configuration, Licence, Licences, Limits, Route, RouteClass};
use fallgap_config::{Routing, Service, View};
use fallgap_health::{Reason, Stand, Verdict};
use fallgap_routing::{Draught, Ended, Fleet, Terms};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
pub const VERDICTS: usize = 512;
pub const SUPERVISORS: usize = 580;
/// Requests of which the mean is told.
const ASKED: usize = 200_000;
/// How often what takes a moment is done: the clock of a thread moves by ticks.
const TURNS: u32 = 40;

/// Servers, services, routes, tenants.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub servers: usize,
    pub services: usize,
    pub routes: usize,
    pub tenants: usize,
}

impl Size {
    pub const ALL: [Size; 3] = [
        Size { servers: 80, services: 3, routes: 18, tenants: 290 },
        Size { servers: 800, services: 33, routes: 180, tenants: 2900 },
        Size { servers: 8000, services: 330, routes: 1800, tenants: 29_000 },
    ];

    pub fn host(i: usize) -> String {
        format!("tenant-{:05}.example", i / 2 * 16)
    }

    /// Two routes to a host, one within the other.
    pub fn prefix(i: usize) -> String {
        if i.is_multiple_of(2) { "/v1/".into() } else { "/v1/parcels/".into() }
    }

    pub fn configuration(&self) -> Configuration {
        let route = |i: usize| Route {
            name: format!("{:08x}-lane", fastrand::Rng::with_seed(i as u64).u32(..)).into(),
            depot: Size::host(i).into(),
            lane_prefix: Size::prefix(i).into(),
            class: RouteClass::Safe,
            timeout: MS * 2000,
            target: MS * 300,
            priority: 1,
            sorting: vec![(format!("service-{:03}", i % self.services).into(), 1.0)],
            attempts: 2,
            is_open: false,
        };
        let service = |i: usize| Service {
            name: format!("service-{i:03}").into(),
            health_path: "/health".into(),
            line_cap: 64,
            dedupes: false,
        };
        let limits =
            Limits { header_bytes: 16384, body_bytes: 1 << 20, header: MS * 3000, idle: MS * 15_000 };
        let mut routes: Vec<Route> = (0..self.routes).map(route).collect();
        routes.sort_by(|a, b| (&a.depot, &a.lane_prefix).cmp(&(&b.depot, &b.lane_prefix)));
        // Half of the routes are offices', one each.
        let name = |i: usize| -> Arc<str> { format!("tenant-{i:05}").into() };
        let licences = Licences {
            revision: 1,
            accounts: (0..self.tenants).map(|i| (name(i), Allowance::default())).collect(),
            offices: (0..self.tenants)
                .map(|i| Licence { name: name(i), account: i, allowance: Allowance::default() })
                .collect(),
            owners: (0..self.routes)
                .map(|i| (i % 2 == 1).then_some(i * self.tenants / self.routes))
                .collect(),
        };
        let services = (0..self.services).map(service).collect();
        Configuration {
            edition: 1,
            routes,
            services,
            limits,
            customers: None,
            licences: Some(licences.into()),
        }
    }

    pub fn server(i: usize) -> Arc<str> {
        format!("{:012x}-{i:05}", fastrand::Rng::with_seed(i as u64).u64(..) >> 16).into()
    }

    pub fn address(i: usize, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 20, (i / 250) as u8, (i % 250) as u8 + 1), port)
    }

    pub fn view(&self, port: u16) -> View {
        let berth = |i: usize| Berth {
            id: Size::server(i),
            service: format!("service-{:03}", i % self.services).into(),
            address: Size::address(i, port),
            zone: if i.is_multiple_of(10) { "here".into() } else { format!("zone-{}", i % 10).into() },
            slots: 4,
            weight: 1.0,
        };
        View { configuration: Arc::new(self.configuration()), berths: (0..self.servers).map(berth).collect() }
    }

    /// Every sixteenth server is lightened, at the most as many as there may be.
    pub fn verdicts(&self, number: u32) -> Vec<Verdict> {
        let verdict = |i: usize| Verdict {
            server: Size::server(i * self.servers / VERDICTS.min(self.servers)),
            number,
            stands: [Stand::Lightened, Stand::Well, Stand::Well],
            reasons: [Reason { percent: 45, zones: 3, nodes: 9 }, Reason::default(), Reason::default()],
            age_ms: 0,
            eases_in_ms: 0,
        };
        (0..VERDICTS.min(self.servers)).map(verdict).collect()
    }

    /// In a process of its own, for its memory.
    pub fn measure(&self) {
        let figure = |what: &str, value: f64| println!("figure {what}_s{} {value:.3}", self.servers);
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let before = resident_kb();
        let view = Arc::new(self.view(9));
        figure("view_kb", (resident_kb() - before) as f64);
        let began = ran();
        for _ in 1..TURNS {
            drop(Routing::new(view.configuration.clone()));
        }
        let routing = Routing::new(view.configuration.clone());
        figure("routing_made_ms", ms(ran() - began) / f64::from(TURNS));
        let fresh = || {
            let mut fleet = Fleet::new("here".into(), Terms::default(), 1);
            fleet.supervisors(17, SUPERVISORS);
            fleet.view(&view);
            fleet
        };
        let mut fleet = fresh();
        figure("view_routing_fleet_kb", (resident_kb() - before) as f64);
        let began = ran();
        for _ in 0..TURNS {
            drop(fresh());
        }
        figure("fleet_first_view_ms", ms(ran() - began) / f64::from(TURNS));
        let began = ran();
        for _ in 0..TURNS {
            fleet.view(&view);
        }
        figure("fleet_further_view_ms", ms(ran() - began) / f64::from(TURNS));
        let mut now = MS * 1000;
        let verdicts: Vec<Vec<Verdict>> = (1..=TURNS).map(|number| self.verdicts(number)).collect();
        let began = ran();
        verdicts.iter().for_each(|verdicts| fleet.verdicts(now, verdicts));
        figure("verdicts_taken_ms", ms(ran() - began) / f64::from(TURNS));

        let asked: Vec<(String, String)> = (0..self.routes)
            .map(|i| (Size::host(i), format!("{}{:06x}/tail", Size::prefix(i), i * 7919)))
            .collect();
        let licences = view.configuration.licences.as_ref();
        let mut draught = Draught::new(100.0, 0.1);
        let mut rng = fastrand::Rng::with_seed(5);
        let draws: Vec<usize> = (0..ASKED).map(|_| rng.usize(..self.routes)).collect();
        let began = ran();
        let mut owned = 0;
        let found: Vec<usize> = draws
            .iter()
            .filter_map(|at| {
                let (host, path) = &asked[*at];
                let found = routing.find_index(host, path)?;
                owned += usize::from(licences.and_then(|licences| licences.owner(found)).is_some());
                Some(found)
            })
            .collect();
        let routed = ran();
        assert_eq!(found.len(), ASKED, "every request has a route");
        figure("route_us", ms(routed - began) * 1e3 / ASKED as f64);
        let mut let_in = Vec::with_capacity(ASKED);
        for at in &found {
            now += MS * 11;
            let route = &view.configuration.routes[*at];
            let service = fleet.sorted(&route.sorting).expect("a service");
            assert!(fleet.arrives(now, service, 0), "nothing presses");
            assert!(draught.has_room(&route.name, route.class, route.target, Some(MS * 1500)));
            fleet.sends(now, service, false);
            let_in.push((service, route));
        }
        let admitted = ran();
        figure("admit_us", ms(admitted - routed) * 1e3 / ASKED as f64);
        for (service, route) in let_in {
            now += MS * 11;
            let server = fleet.pick(now, service, route.class, route.target, &[]).expect("a server");
            fleet.began(now, server);
            fleet.ended(now, server, route.class, Ended::Good(MS * 20));
        }
        figure("pick_us", ms(ran() - admitted) * 1e3 / ASKED as f64);
        // As after a second of its share of the peak.
        let mut reported = Duration::ZERO;
        for second in 0..20 {
            for i in 0..86 {
                let route = &view.configuration.routes[(second * 86 + i) % self.routes];
                let service = fleet.sorted(&route.sorting).expect("a service");
                let server = fleet.pick(now, service, route.class, route.target, &[]).expect("a server");
                fleet.began(now, server);
                fleet.ended(now, server, route.class, Ended::Good(MS * 20));
            }
            let began = ran();
            let rows = fleet.reports(now).len();
            reported += ran() - began;
            assert!(rows > 0);
        }
        figure("report_a_second_ms", ms(reported) / 20.0);
        figure("owned_percent", owned as f64 * 100.0 / ASKED as f64);
    }
}

//! What is printed, case by case.

use fallgap_admin::*;
use fallgap_config::{Configuration, Limits, Route, RouteClass, Service};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

/// A node that is well: the first three are keepers.
fn standing(n: u8) -> Standing {
    Standing {
        name: format!("n{n}"),
        up_ms: 120_000,
        wall_ms: 1_000_000 + u64::from(n),
        edition: 7,
        servers: 6,
        supervisors: 4,
        home: Some(ip(1)),
        table_age_ms: Some(400),
        epoch: 3,
        keepers: vec![ip(1), ip(2), ip(3)],
        disk: n <= 3,
        keeper: n <= 3,
        settled: n <= 3,
        refusing: false,
        ready: true,
        leaving: false,
        at_work: u64::from(n),
        tolerate: 1,
        bare: Vec::new(),
        requests: 1000,
        passed: 990,
        no_route: 3,
        not_run: 5,
        unknown: 1,
        late: 1,
    }
}

fn node(n: u8) -> Node {
    Node {
        node: ip(n),
        zone: if n.is_multiple_of(2) { "b" } else { "a" }.into(),
        disk: n <= 3,
        state: "here".into(),
        since_ms: 90_000,
        leaving: false,
        standing: Some(standing(n)),
    }
}

fn fleet(with: impl Fn(u8, &mut Node)) -> Fleet {
    let nodes = (1..=4).map(|n| {
        let mut node = node(n);
        with(n, &mut node);
        node
    });
    Fleet { asked: Some(ip(4)), waited_ms: 35, nodes: nodes.collect(), next: None }
}

/// Changes a node's own word.
fn own(node: &mut Node, change: impl FnOnce(&mut Standing)) {
    if let Some(own) = &mut node.standing {
        change(own);
    }
}

#[test]
fn a_fleet_that_is_well() {
    let well = fleet(|_, _| {});
    insta::assert_snapshot!(Summary::of(&well));
    insta::assert_snapshot!(nodes_table(&well));
    insta::assert_snapshot!(findings_text(&examine(&well), &well));
    insta::assert_snapshot!(node_text(&well.nodes[0]));
}

#[test]
fn a_fleet_in_trouble() {
    let ill = fleet(|n, node| match n {
        1 => (node.state, node.standing) = ("gone".into(), None),
        2 => {
            node.state = "doubted".into();
            own(node, |own| (own.settled, own.refusing, own.wall_ms) = (false, true, 9_000_000));
        }
        3 => node.standing = None,
        _ => own(node, |own| {
            (own.home, own.table_age_ms, own.edition, own.servers) = (None, Some(90_000), 6, 0);
            (own.ready, own.bare) = (false, vec!["pay".into()]);
        }),
    });
    insta::assert_snapshot!(Summary::of(&ill));
    insta::assert_snapshot!(nodes_table(&ill));
    insta::assert_snapshot!(findings_text(&examine(&ill), &ill));
    let why: Vec<String> = ill.nodes.iter().map(node_text).collect();
    insta::assert_snapshot!(why.join("\n"));
}

/// Each trouble alone is found, and nothing else is.
#[test]
fn each_trouble_has_its_finding() {
    type Row = (&'static str, fn(u8, &mut Node));
    let rows: [Row; 11] = [
        ("no-majority", |_, node| own(node, |own| own.settled = false)),
        ("keepers-few", |n, node| own(node, |own| own.settled = n == 2)),
        ("disk-refuses", |n, node| own(node, |own| own.refusing = n == 2)),
        ("silent", |n, node| node.standing = node.standing.take().filter(|_| n != 4)),
        // Nor are keepers that are only slow to answer held to be down.
        ("silent", |n, node| node.standing = node.standing.take().filter(|_| n == 4)),
        ("gone", |n, node| {
            if n == 4 {
                (node.state, node.standing) = ("gone".into(), None);
            }
        }),
        ("stale", |n, node| own(node, |own| own.table_age_ms = (n != 4).then_some(2000))),
        ("edition-behind", |n, node| own(node, |own| own.edition = u64::from(n.min(2)))),
        ("no-servers", |n, node| own(node, |own| own.bare = vec![format!("s{n}")])),
        ("not-ready", |n, node| own(node, |own| own.ready = n != 2)),
        ("clocks", |n, node| own(node, |own| own.wall_ms += u64::from(n) / 4 * 1036)),
    ];
    for (kind, with) in rows {
        let found: Vec<&str> = examine(&fleet(with)).iter().map(|finding| finding.kind).collect();
        assert_eq!(found, [kind]);
    }
    // What is young, or was told to end, is not held against a node.
    let young = |n: u8, node: &mut Node| {
        own(node, |own| {
            (own.ready, own.table_age_ms) = (n != 4, None);
            (own.up_ms, own.leaving) = if n == 4 { (900, false) } else { (90_000, true) };
        });
    };
    assert_eq!(examine(&fleet(young)), []);
    assert_eq!(examine(&Fleet::default()).len(), 1);
}

#[test]
fn two_hundred_nodes_and_none() {
    let mut large = fleet(|_, _| {});
    large.nodes = (0..200).map(|n| node(4 + n % 2)).collect();
    assert_eq!(nodes_table(&large).lines().count(), 202);
    let none = Fleet::default();
    insta::assert_snapshot!(nodes_table(&none));
    insta::assert_snapshot!(Summary::of(&none));
}

fn server(id: &str) -> Server {
    Server {
        id: id.into(),
        service: "s".into(),
        address: "10.0.1.1:80".into(),
        zone: "a".into(),
        slots: 4,
        weight: Some(1.0),
        state: "open".into(),
        heard_ms: Some(700),
        health: Some("well".into()),
        at_work: 2,
        usual_ms: Some(31.4),
    }
}

#[test]
fn servers_routes_locks_and_editions() {
    let drained =
        Server { weight: None, state: "closing".into(), health: None, usual_ms: None, ..server("i-2") };
    let servers = vec![server("i-1"), drained];
    let servers = Servers {
        asked: Some(ip(1)),
        edition: 7,
        table_age_ms: Some(300),
        keeper: true,
        servers,
        next: None,
    };
    insta::assert_snapshot!(servers_table(&servers));
    let target = |service: &str, share, open| Target { service: service.into(), share, open };
    let route = fallgap_admin::Route {
        name: "r".into(),
        host: "h.example".into(),
        prefix: "/a/".into(),
        class: "safe".into(),
        timeout_ms: 2000,
        target_ms: 250,
        priority: 1,
        attempts: 2,
        services: vec![target("s", 0.9, 2), target("new", 0.1, 0)],
    };
    let routes =
        Routes { asked: Some(ip(4)), edition: 7, table_age_ms: None, routes: vec![route], next: None };
    insta::assert_snapshot!(routes_table(&routes));
    let lock = |name: &str, holder: Option<&str>, left_ms| Lock {
        name: name.into(),
        holder: holder.map(Into::into),
        fence: 3,
        left_ms,
    };
    let locks = vec![lock("l1", Some("me"), 4000), lock("l2", None, 0), lock("l3", Some("old"), 0)];
    let mut locks = Locks { keeper: Some(ip(2)), settled: true, locks, next: None };
    insta::assert_snapshot!(locks_table(&locks));
    locks.settled = false;
    has(&locks_table(&locks), "it may be far behind");
    has(&locks_table(&Locks::default()), "no keeper has answered");

    let mut history = History::default();
    let second = |n: u64| Duration::from_secs(n);
    let configurations = [configuration(7, &["/a/"]), configuration(8, &["/a/", "/b/"])];
    let configurations = configurations.map(std::sync::Arc::new);
    for (at, which) in [(10, 0), (20, 0), (30, 1)] {
        history.took(second(at), &configurations[which], || 3_600_000 + 1000 * at);
    }
    let editions = Editions { asked: Some(ip(1)), up_ms: 40_000, editions: history.told(second(40)) };
    insta::assert_snapshot!(history_table(&editions));
    for n in 0..200 {
        let next = std::sync::Arc::new(configuration(n, &[]));
        history.took(second(50), &next, || 0);
    }
    assert_eq!(history.told(second(60)).len(), Terms::USUAL.editions);
}

fn has(text: &str, words: &str) {
    assert!(text.contains(words), "{words} is not in\n{text}");
}

fn configuration(edition: u64, prefixes: &[&str]) -> Configuration {
    let route = |prefix: &&str| Route {
        name: format!("r{prefix}").into(),
        depot: "h.example".into(),
        lane_prefix: (*prefix).into(),
        class: RouteClass::Safe,
        timeout: Duration::from_secs(2),
        target: Duration::from_millis(250),
        priority: 1,
        sorting: vec![("s".into(), 1.0)],
        attempts: 2,
        is_open: false,
    };
    let service = |name: &str| Service {
        name: name.into(),
        health_path: "/health".into(),
        line_cap: 64,
        dedupes: false,
    };
    let routes = prefixes.iter().map(route).collect();
    Configuration {
        edition,
        routes,
        services: vec![service("s")],
        limits: Limits::default(),
        customers: None,
        licences: None,
    }
}

#[test]
fn a_configuration_against_another() {
    let held = configuration(7, &["/a/", "/b/", "/c/"]);
    let mut new = configuration(8, &["/a/", "/c/", "/d/"]);
    new.routes[1].class = RouteClass::Fragile;
    new.routes[1].timeout = Duration::from_millis(1500);
    new.routes[2].sorting = vec![("t".into(), 2.0), ("s".into(), 1.0)];
    let service = |name: &str, line_cap| Service {
        name: name.into(),
        health_path: "/h".into(),
        line_cap,
        dedupes: false,
    };
    new.services = vec![service("s", 32), service("t", 8), service("u", 8)];
    new.limits.idle = Duration::from_secs(30);
    insta::assert_snapshot!(diff(&held, &new));
    let open = |count| BTreeMap::from([("s".to_owned(), count)]);
    insta::assert_snapshot!(plan(&held, &new, 10, 100, Some(&open(2))));
    insta::assert_snapshot!(plan(&new, &held, 101, 100, Some(&open(0))));
    let same = Configuration { edition: 9, ..new.clone() };
    assert!(same_but_edition(&diff(&new, &same)));
    insta::assert_snapshot!(plan(&new, &same, 10, 100, None));
    has(&plan(&new, &configuration(9, &[]), 10, 100, None).to_string(), "no supervisor would be ready");
}

fn tale(why: &str, status: u16, ends: &[&str]) -> Tale {
    let one = |(n, end): (usize, &&str)| Try {
        server: (n < 9).then(|| format!("i-{n}")),
        began_us: 1500 * n as u64,
        took_us: 1200,
        end: (*end).into(),
    };
    Tale {
        node: ip(2),
        id: why.into(),
        status,
        why: why.into(),
        ago_ms: 12_000,
        took_us: 4200,
        edition: 7,
        route: Some("r".into()),
        service: Some("s".into()),
        table_age_ms: Some(300),
        tries: ends.iter().enumerate().map(one).collect(),
        more_tries: 0,
    }
}

fn tales(tales: Vec<Tale>) -> Tales {
    Tales { asked: Some(ip(1)), answered: 3, silent: vec![ip(4)], tales }
}

#[test]
fn a_request_try_by_try() {
    let told = tales(vec![tale("answered", 200, &["turned-away", "answered"])]);
    insta::assert_snapshot!(tales_text(&told));
    insta::assert_snapshot!(tales_text(&tales(vec![])));
}

#[test]
fn why_in_sentences() {
    let stale = Tale { table_age_ms: Some(8000), ..tale("no-server", 503, &[]) };
    let all = [
        tale("answered", 200, &["withdrawn", "answered"]),
        Tale { route: None, service: None, ..tale("no-route", 404, &[]) },
        Tale { table_age_ms: None, ..tale("no-view", 503, &[]) },
        stale,
        tale("no-room", 503, &["other-server"]),
        tale("gate", 503, &[]),
        tale("laden", 503, &[]),
        tale("budget", 503, &["turned-away", "turned-away"]),
        tale("attempts", 500, &["failed"]),
        tale("connects", 503, &["unreached", "unreached", "unreached"]),
        tale("once", 502, &["broke-after"]),
        tale("time", 504, &["silent", "left"]),
        tale("once", 502, &["answer-too-long"]),
        tale("broke-off", 200, &["broke-after"]),
        tale("abandoned", 0, &["left"]),
        tale("unheard", 200, &["answered"]),
        tale("of-tomorrow", 503, &["broke-before", "of-tomorrow"]),
    ];
    insta::assert_snapshot!(why_text(&tales(all.to_vec())));
    insta::assert_snapshot!(why_text(&tales(vec![])));
}

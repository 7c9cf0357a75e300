//! The longest prefix that begins a path, against a plain search.

use fallgap_config::{Configuration, Limits, Route, RouteClass, Routing};
use std::sync::Arc;
use std::time::Duration;

fn route(depot: &str, prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        depot: depot.into(),
        lane_prefix: prefix.into(),
        class: RouteClass::Safe,
        timeout: Duration::from_secs(1),
        target: Duration::from_secs(1),
        priority: 1,
        sorting: vec![("s".into(), 1.0)],
        attempts: 1,
        is_open: false,
    }
}

fn routing(routes: Vec<Route>) -> Routing {
    let limits = Limits::default();
    Routing::new(Arc::new(Configuration {
        edition: 1,
        routes,
        services: vec![],
        limits,
        customers: None,
        licences: None,
    }))
}

#[test]
fn hosts_and_paths_find_their_route() {
    let routes = vec![
        route("b.example", "/a/"),
        route("a.example", "/a/"),
        route("a.example", "/a/b/"),
        route("a.example", "/a/b-c/"),
        route("a.example", "/a/b/c/d/"),
        route("all.example", "/"),
    ];
    let routing = routing(routes);
    let cases = [
        ("a.example", "/a/x", Some(1)),
        ("A.Example:8080", "/a/x", Some(1)),
        ("a.example", "/a/b/c/dd", Some(2)),
        ("a.example", "/a/b/c/d/", Some(4)),
        ("a.example", "/a/b-c/d", Some(3)),
        ("a.example", "/a/b-b", Some(1)),
        ("a.example", "/a", None),
        ("a.example", "/", None),
        ("a.example", "", None),
        ("a.example", "/a?x=/a/b/", None),
        ("a.example", "/a/b?/c/d/", Some(1)),
        ("a.example", "/zz/", None),
        ("b.example", "/a/b/", Some(0)),
        ("b.example", "/0/", None),
        ("all.example", "/anything?x", Some(5)),
        ("all.example", "*", None),
        ("c.example", "/a/", None),
        ("", "/a/", None),
    ];
    for (host, path, expected) in cases {
        assert_eq!(routing.find_index(host, path), expected, "{host} {path}");
    }
    assert_eq!(routing.find("b.example", "/a/").map(|r| &*r.depot), Some("b.example"));
}

#[test]
fn drawn_routes_are_found_as_by_a_plain_search() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut path = |most: usize| {
            let parts: Vec<&str> =
                (0..rng.usize(0..most)).map(|_| *rng.choice(&["a", "b", "aa", "-", "é"]).unwrap()).collect();
            parts.iter().fold(String::from("/"), |path, part| path + part + "/")
        };
        let mut places: Vec<(String, String)> = (0..40).map(|i| (format!("h{}", i % 3), path(5))).collect();
        let asked: Vec<String> = (0..60).map(|_| path(7) + "a").collect();
        places.sort();
        places.dedup();
        rng.shuffle(&mut places);
        let routes: Vec<Route> = places.iter().map(|(host, prefix)| route(host, prefix)).collect();
        let routing = routing(routes.clone());
        for (path, host) in asked.iter().flat_map(|path| ["h0", "h1", "h2", "h3"].map(|host| (path, host))) {
            let fit = |r: &&Route| &*r.depot == host && path.starts_with(&*r.lane_prefix);
            let expected = routes.iter().filter(fit).max_by_key(|r| r.lane_prefix.len());
            assert_eq!(routing.find(host, path), expected, "seed {seed} {host} {path}");
        }
    }
}

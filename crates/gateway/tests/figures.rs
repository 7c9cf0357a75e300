//! A supervisor's own figures, as collectors read them.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::{Client, Landing, Reply, configuration};
use landing::*;
use std::collections::BTreeMap;

fn asked(fleet: &Landing, path: &str) -> Option<Reply> {
    let mut client = Client::connect(fleet.machines[0].metrics(), S).ok()?;
    client.try_ask(&format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
}

/// The figures by their names; each line is one.
fn figures(fleet: &Landing) -> BTreeMap<String, f64> {
    let reply =
        until("it tells its figures", || asked(fleet, "/metrics").filter(|reply| reply.status == 200));
    let figure = |line: &str| {
        let (name, value) = line.split_once(' ').expect("a name and a number");
        assert!(name.starts_with("fallgap_"), "{line}");
        (name.to_owned(), value.parse().expect("a number"))
    };
    reply.text().lines().map(figure).collect()
}

#[test]
fn figures_tell_what_has_been_and_what_is() {
    let fleet = fleet();
    configure(&fleet.machines[0], &configuration(7, PREFIXES));
    let _server = serve(&fleet, "i-1");
    all_ready(&fleet);
    assert_eq!(ask(&fleet.machines[0], "/safe/x", "1").status, 200);
    assert_eq!(ask(&fleet.machines[0], "/none/", "2").status, 404);
    let figures = figures(&fleet);
    let wanted = [
        ("requests_total", 2.0),
        ("answers_passed_total", 1.0),
        ("answers_too_long_total", 0.0),
        ("requests_no_route_total", 1.0),
        ("clients_closed_early_total", 0.0),
        ("edition", 7.0),
        ("servers", 1.0),
        ("keeper", 1.0),
        ("leaving", 0.0),
        ("servers_ended", 0.0),
        ("late_beats_total", 0.0),
    ];
    for (name, value) in wanted {
        assert_eq!(figures.get(&format!("fallgap_{name}")), Some(&value), "{name}");
    }
    assert!(figures["fallgap_loop_turn_longest_seconds"] >= figures["fallgap_loop_clients_longest_seconds"]);
    assert!(figures["fallgap_loop_clients_longest_seconds"] > 0.0);
    assert_eq!(asked(&fleet, "/").map(|reply| reply.status), Some(404));
}

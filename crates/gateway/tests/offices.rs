//! Offices that change their routes while a whole fleet runs on loopback: real processes, real disks.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::{Beating, Client, Does, Landing, Notice, Reply, Server, Supervisor, ok};
use landing::*;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// With a configuration of two services, and an account with two offices, each under a prefix of its own.
fn with_offices(fleet: &Landing) {
    let routes = r#"["h.example","/","safe","s"]"#;
    let text = format!(
        r#"{{"edition":1,"routes":{{"fields":["depot","lane_prefix","route_class","service"],"entries":[{routes}]}},
"services":{{"fields":["name"],"entries":[["s"],["t"]]}}}}"#
    );
    configure(&fleet.machines[0], &text);
    let office = |name: &str| {
        let hash = fallgap_tenants::KeyHash::of(&format!("key-{name}"));
        let area = format!(r#"{{"depot":"h.example","lane_prefix":"/o/{name}/"}}"#);
        format!(r#"{{"id":"{name}","keys":["{hash}"],"areas":[{area}]}}"#)
    };
    let account = format!(
        r#"{{"edition":1,"areas":[{{"depot":"h.example","lane_prefix":"/o/"}}],"classes":["safe","fragile"],
"services":[{{"service":"s"}},{{"service":"t"}}],"offices":[{},{}]}}"#,
        office("north"),
        office("south")
    );
    let put = || office_call(&fleet.machines[3], "POST", "/-/accounts/survey/put", "", &account);
    assert_eq!(settled(put).0, 200);
}

fn office_call(at: &Supervisor, method: &str, path: &str, key: &str, body: &str) -> Option<Reply> {
    let mut client = Client::connect(at.control(), 8 * S).ok()?;
    let length = body.len();
    client.try_ask(&format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nX-Office-Key: {key}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    ))
}

/// Each differs from all before.
fn change_of(base: u64, name: &str, service: &str) -> String {
    static CHANGES: AtomicU8 = AtomicU8::new(10);
    let timeout = CHANGES.fetch_add(1, Ordering::Relaxed);
    let fields = r#"["depot","lane_prefix","route_class","service","timeout_s"]"#;
    let entry = format!(r#"["h.example","/o/{name}/x/","safe","{service}",{timeout}]"#);
    format!(r#"{{"base":{base},"put":{{"fields":{fields},"entries":[{entry}]}}}}"#)
}

fn figure_of(text: &str, name: &str) -> u64 {
    let rest = text.split_once(&format!("\"{name}\":")).expect(name).1;
    rest.split([',', '}']).next().unwrap().parse().expect(name)
}

/// Of the service that the node's answer for a path came from; the status if it is none.
fn served_by(at: &Supervisor, path: &str) -> String {
    let reply = ask(at, path, "r");
    if reply.status == 200 { reply.text() } else { reply.status.to_string() }
}

#[test]
fn offices_change_their_routes_on_every_node_at_once() {
    let mut fleet = fleet();
    let serves = |service: &'static str| {
        let server = Server::start(&format!("i-{service}"), move |got| Does::Sends(ok(got, service)));
        let beating = Beating::start(
            Notice::of(&server, service, "a", 4),
            fleet.controls(),
            Duration::from_millis(300),
        );
        (server, beating)
    };
    let _servers = [serves("s"), serves("t")];
    with_offices(&fleet);
    all_ready(&fleet);
    for machine in &fleet.machines {
        until("it knows both services", || machine.figure("servers").filter(|known| *known == 2));
        until("it knows the others", || machine.figure("supervisors").filter(|known| *known == 4));
    }
    let put = |at: &Supervisor, office: &str, key: &str, verb: &str, body: &str| {
        settled(|| office_call(at, "POST", &format!("/-/offices/{office}/routes/{verb}"), key, body))
    };
    let [first, second, third, diskless] = &fleet.machines[..] else { panic!("four machines") };
    // On a busy machine one may get no clear answer: sent again, it is told what the first one would have been.
    let put_north = |at: &Supervisor, base: u64, service: &str| {
        let (status, text) = put(at, "north", "key-north", "put", &change_of(base, "north", service));
        assert_eq!((status, figure_of(&text, "changed")), (200, 1), "{text}");
        figure_of(&text, "edition")
    };
    // Acknowledged: not one node routes by what was before. What is not there yet says when to come back.
    let only = |fleet: &Landing, service: &str| {
        for node in &fleet.machines {
            until("it routes by the change", || {
                let by = served_by(node, "/o/north/x/y");
                assert!(by == service || by.parse::<u16>().is_ok(), "{by}, not {service}");
                (by == service).then_some(())
            });
        }
    };
    let mut edition = 0;
    for (turn, at) in [diskless, first, second, third, diskless].into_iter().enumerate() {
        let service = if turn % 2 == 0 { "t" } else { "s" };
        edition = put_north(at, edition, service);
        only(&fleet, service);
        assert_eq!(served_by(first, "/elsewhere"), "s");
    }
    let (status, text) = put(second, "north", "key-north", "put", &change_of(2, "north", "s"));
    assert_eq!((status, figure_of(&text, "edition")), (409, edition));
    let beyond = change_of(edition, "south", "s");
    let (status, text) = put(second, "north", "key-north", "plan", &beyond);
    assert_eq!((status, text.contains("/put/entries/0: h.example/o/south/x/ is in no area")), (400, true));
    for (office, key) in [("north", "key-south"), ("north", ""), ("west", "key-north")] {
        assert_eq!(put(first, office, key, "put", &change_of(edition, "north", "s")).0, 403);
    }
    // A newest change of which it is clear what stood there before.
    let before = put_north(second, edition, "s");
    let edition = put_north(second, before, "t");
    let (status, text) = put(first, "north", "key-north", "undo", &format!(r#"{{"base":{edition}}}"#));
    assert_eq!((status, edition), (200, before + 1), "{text}");
    only(&fleet, "s");
    // One that is frozen is waited for, and after it woke not one request goes by what was before.
    fleet.machines[3].signal("STOP");
    let edition = figure_of(&text, "edition");
    let edition = put_north(&fleet.machines[1], edition, "t");
    fleet.machines[3].signal("CONT");
    only(&fleet, "t");
    put_north(&fleet.machines[0], edition, "s");
    let [first, _, third, _] = &fleet.machines[..] else { panic!("four machines") };
    // The operator takes the service away: the route goes out of force, and the office is told.
    let (_, shown) = settled(|| office_call(third, "GET", "/-/offices/north/routes", "key-north", ""));
    assert!(shown.contains(r#""unfit":[]"#), "{shown}");
    configure(
        first,
        r#"{"edition":2,"routes":{"fields":["depot","lane_prefix","route_class","service"],
"entries":[["h.example","/","safe","t"]]},"services":{"fields":["name"],"entries":[["t"]]}}"#,
    );
    for machine in &fleet.machines {
        until("the operator's edition is in force", || {
            (served_by(machine, "/o/north/x/") == "t").then_some(())
        });
    }
    let (_, shown) = settled(|| office_call(third, "GET", "/-/offices/north/routes", "key-north", ""));
    assert!(shown.contains("the operator has no service s"), "{shown}");
    let edition = figure_of(&shown, "edition");
    let body = change_of(edition, "north", "t");
    let (status, told) = put(third, "north", "key-north", "put", &body);
    assert_eq!(status, 200, "{told}");
    let south = change_of(0, "south", "t");
    assert_eq!(put(first, "south", "key-south", "put", &south).0, 200);
    let told = (figure_of(&told, "edition"), figure_of(&told, "changed"));
    let told_again = |at: &Supervisor| {
        let (status, text) = put(at, "north", "key-north", "put", &body);
        assert_eq!(
            (status, (figure_of(&text, "edition"), figure_of(&text, "changed"))),
            (200, told),
            "{text}"
        );
    };
    // An answer may have been lost: the same order at another supervisor is told the same, and is done once.
    told_again(first);
    let revision = first.figure("accounts").unwrap();
    // All lose power: what was acknowledged is there again, also before a majority is.
    fleet.machines.iter_mut().for_each(|machine| machine.signal("KILL"));
    fleet.machines.iter_mut().for_each(|machine| _ = machine.wait(5 * S));
    fleet.start_all(false).unwrap();
    for machine in &fleet.machines {
        until("the accounts are in force again", || {
            machine.figure("accounts").filter(|held| *held == revision)
        });
    }
    fleet.machines.iter().for_each(told_again);
    let machine = &fleet.machines[0];
    assert_eq!(machine.figure("accounts"), Some(revision));
    // One number, one content: of the operator's configuration and of an account.
    let numbered = |services: &str| {
        format!(
            r#"{{"edition":2,"routes":{{"fields":[],"entries":[]}},"services":{{"fields":["name"],"entries":[{services}]}}}}"#
        )
    };
    let other = |path: &str, body: &str| settled(|| office_call(machine, "POST", path, "", body));
    assert_eq!(other("/-/config/put", &numbered(r#"["t"]"#)), (409, r#"{"edition":2}"#.to_owned()));
    let account = r#"{"edition":1,"areas":[]}"#;
    assert_eq!(other("/-/accounts/survey/put", account), (409, r#"{"edition":1}"#.to_owned()));
}

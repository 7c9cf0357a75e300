//! Invalid configurations at every machine, over real processes: each is refused for good, however often and wherever it is
//! sent, and none is ever in force. What is held is read back unchanged.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::{Landing, call, configuration};
use landing::*;

const HELD: u64 = 7;

/// What is wrong, and the body that an operator sends. Its edition is above the one that is held, where it has one.
fn invalid() -> Vec<(&'static str, String)> {
    let whole = configuration(HELD + 10, PREFIXES);
    let with = |from: &str, to: &str| {
        assert!(whole.contains(from), "{from}");
        whole.replacen(from, to, 1)
    };
    let part = r#"[{"service":"s","share":1}]"#;
    let weighed = with("\"service\"]", "\"sorting\"]").replace(r#",2,"s"]"#, &format!(",2,{part}]"));
    let weighed = weighed.replace(r#",1,"s"]"#, &format!(",1,{part}]"));
    assert!(fallgap_config::read_configuration(weighed.as_bytes()).is_ok());
    vec![
        ("cut short", whole[..whole.len() / 2].to_owned()),
        ("cut by its last byte", whole[..whole.len() - 1].to_owned()),
        ("sent twice in one body", whole.repeat(2)),
        ("nothing", String::new()),
        ("an unknown service", with(r#"2,"s"]"#, r#"2,"t"]"#)),
        ("weights that add up to 0", weighed.replace("\"share\":1", "\"share\":0")),
        ("a weight below 0", weighed.replace("\"share\":1", "\"share\":-1")),
        ("a part of an unknown service", weighed.replacen("\"service\":\"s\"", "\"service\":\"t\"", 1)),
        ("no host", with(r#""r1","h.example""#, r#""r1","""#)),
        ("a host that is left out", with(r#""r1","h.example""#, r#""r1",null"#)),
        ("an unknown class", with(r#""safe",2"#, r#""brittle",2"#)),
        ("no class", with(r#""safe",2"#, "null,2")),
        ("no time", with(r#""safe",2"#, r#""safe",0"#)),
        ("two routes at one place", with("/fragile/", "/safe/")),
        ("no edition", with("\"edition\"", "\"version\"")),
        ("an edition in words", with("\"edition\":17", "\"edition\":\"17\"")),
        ("no routes", with("\"routes\"", "\"ways\"")),
        ("no services", with("\"services\"", "\"ways\"")),
        (
            "a list for a table",
            with(r#"{"fields":["name","health_path","line_cap"],"entries":[["s","/health",64]]}"#, "[]"),
        ),
        ("something behind", format!("{whole}]")),
    ]
}

fn all_hold(fleet: &Landing, held: &str) {
    for machine in &fleet.machines {
        assert_eq!(read(machine, "/-/config/get").1, held);
        until("the edition is in force", || machine.figure("edition").filter(|edition| *edition == HELD));
    }
}

/// Each is refused by a 4xx: no 5xx, by which it would be sent again for ever.
fn all_refused(fleet: &Landing) {
    for (wrong, body) in invalid() {
        for machine in &fleet.machines {
            // The second time it is a repeat.
            for _ in 0..2 {
                let status = settled(|| machine.post("/-/config/put", &body)).0;
                assert!((400..500).contains(&status), "{wrong} at {}: {status}", machine.ip);
            }
        }
    }
}

#[test]
fn invalid_configurations_are_refused_everywhere_and_never_in_force() {
    let mut fleet = fleet();
    let held = configuration(HELD, PREFIXES);
    configure(&fleet.machines[0], &held);
    all_refused(&fleet);
    all_hold(&fleet, &held);
    // Other content under the edition that is held, whoever is asked; and an older edition, which changes nothing.
    let other = configuration(HELD, ["/other/", "/fragile/"]);
    let older = configuration(HELD - 3, ["/older/", "/fragile/"]);
    for machine in &fleet.machines {
        assert_eq!(post(machine, "/-/config/put", &other).0, 409);
        assert_eq!(post(machine, "/-/config/put", &older).0, 200);
    }
    all_hold(&fleet, &held);
    // Two at once, at two machines: an invalid one never gets before a valid one.
    let wrong = invalid();
    let first = fleet.machines[0].control();
    let put = |(_, body): &(&str, String)| settled(|| call(first, "POST", "/-/config/put", body)).0;
    std::thread::scope(|scope| {
        let races = scope.spawn(|| wrong.iter().map(&put).filter(|status| *status == 200).count());
        for _ in 0..wrong.len() {
            assert_eq!(post(&fleet.machines[1], "/-/config/put", &held).0, 200);
        }
        assert_eq!(races.join().unwrap(), 0);
    });
    // All processes end and start again.
    for machine in &mut fleet.machines {
        machine.signal("KILL");
        machine.wait(LONG);
    }
    fleet.start_all(false).unwrap();
    until("there is a majority", || {
        fleet.machines[0].get("/-/config/get").filter(|reply| reply.status == 200)
    });
    all_hold(&fleet, &held);
    all_refused(&fleet);
    all_hold(&fleet, &held);
}

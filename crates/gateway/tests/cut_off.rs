//! What a keeper that is left alone says on its control address: nothing that promises, and nothing that refuses for good.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::configuration;
use landing::*;

#[test]
fn a_keeper_without_a_majority_answers_by_503_or_not_at_all() {
    let mut fleet = fleet();
    configure(&fleet.machines[0], &configuration(7, PREFIXES));
    for machine in &fleet.machines {
        until("the edition is in force", || machine.figure("edition").filter(|edition| *edition == 7));
    }
    let lock = r#"{"holder":"a","hold_s_time":30}"#;
    assert_eq!(post(&fleet.machines[0], "/-/locks/l1/start", lock).0, 200);
    for machine in &mut fleet.machines[1..3] {
        machine.signal("KILL");
        assert_eq!(machine.wait(LONG).map(|status| status.code()), Some(None));
    }
    let closing = r#"{"address":"127.9.9.9:8080","notice":{"service":"s","edition":"v1","zone":"a","slots":4},
        "tracking":{"state":"closing","postmark":4,"cold_s_time":0}}"#;
    let open = closing.replace("closing", "open");
    let (newer, older) = (configuration(8, PREFIXES), configuration(6, PREFIXES));
    let newest = configuration(9, PREFIXES);
    let calls = [
        ("/-/servers/i-9/beat", Some(open.as_str())),
        ("/-/servers/i-9/beat", Some(closing)),
        ("/-/servers/i-8/leave", Some("{}")),
        ("/-/config/put", Some(newer.as_str())),
        ("/-/config/put", Some(older.as_str())),
        ("/-/config/get", None),
        ("/-/locks/l1/start", Some(lock)),
        ("/-/locks/l1/start", Some(r#"{"holder":"b","hold_s_time":30}"#)),
        ("/-/locks/l1/beat", Some(r#"{"holder":"b","fence":9,"hold_s_time":30}"#)),
        ("/-/numbers/n1", Some("{}")),
        ("/-/cells/g.k/put", Some(r#"{"value":"v1","on":5}"#)),
        ("/-/cells/g.k/get", None),
        ("/-/accounts", None),
        ("/-/offices/o/routes", None),
    ];
    let alone = &fleet.machines[0];
    // It knows that it is alone, and has been up for longer than it may go by what it remembers.
    until("beats are not taken", || alone.post(calls[0].0, &open).filter(|reply| reply.status == 503));
    let mut newer_said = None;
    for (path, body) in calls {
        let reply = match body {
            Some(body) => alone.post(path, body),
            None => alone.get(path),
        };
        let status = reply.map(|reply| reply.status);
        assert!(matches!(status, None | Some(500 | 503)), "{path} {body:?}: {status:?}");
        if body == Some(newer.as_str()) {
            newer_said = status;
        }
    }
    // After a second without a majority nothing is begun any more, and that is said.
    until("calls are turned away", || alone.get("/-/config/get").filter(|reply| reply.status == 503));
    assert_eq!(alone.post("/-/config/put", &newest).map(|reply| reply.status), Some(503));
    // One of the others is back: all is answered again, by what was acknowledged, and by nothing that was turned away.
    // What had no clear answer may have been done.
    fleet.start(1, false).unwrap();
    let alone = &fleet.machines[0];
    until("beats are taken", || alone.post(calls[0].0, &open).filter(|reply| reply.status == 200));
    assert_eq!(post(alone, "/-/locks/l1/start", lock).0, 200);
    assert_eq!(post(alone, "/-/locks/l1/start", r#"{"holder":"b","hold_s_time":30}"#).0, 409);
    let held = read(alone, "/-/config/get").1;
    let done = held == newer && newer_said != Some(503);
    assert!(done || held == configuration(7, PREFIXES), "{newer_said:?} to the newer: {held}");
    // Sent again it is acknowledged, whether it was done or not, and in force at the one that came back too.
    assert_eq!(post(&fleet.machines[1], "/-/config/put", &newer).0, 200);
    for machine in &fleet.machines[..2] {
        assert_eq!(read(machine, "/-/config/get").1, newer);
    }
}

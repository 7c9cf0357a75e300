//! What an operator asks at the prompt, of real processes.

#[allow(dead_code)]
mod landing;

use fallgap_test_support::gateway::{Client, Landing, Supervisor, configuration, get};
use landing::{LONG, PREFIXES, all_ready, configure, fleet, serve, until};
use std::path::PathBuf;
use std::process::Command;

/// Exit code, what was printed, what was complained of.
fn gateway(args: &[&str]) -> (i32, String, String) {
    let run = Command::new(env!("CARGO_BIN_EXE_gateway")).args(args).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (run.status.code().unwrap(), text(run.stdout), text(run.stderr))
}

/// Guards against an older program that is run in place of the one that was just built: both say which sources they are of.
#[test]
fn a_process_logs_the_sources_that_its_program_names() {
    let (code, version, _) = gateway(&["--version"]);
    assert_eq!(code, 0);
    let version = version.trim().strip_prefix("gateway ").expect("its own name");
    let sources = version.split_once("(sources ").and_then(|(_, rest)| rest.strip_suffix(')'));
    let digits = |text: &str| text.len() == 16 && text.chars().all(|c| c.is_ascii_hexdigit());
    assert!(sources.is_some_and(digits), "{version}");
    let fleet = fleet();
    for machine in &fleet.machines {
        until("it logs its version", || {
            std::fs::read_to_string(machine.log()).ok().filter(|log| log.contains(version))
        });
    }
}

fn at(machine: &Supervisor) -> String {
    machine.control().to_string()
}

fn file(fleet: &Landing, name: &str, text: &str) -> PathBuf {
    let folder = fleet.machines[0].settings().parent().unwrap().to_owned();
    let file = folder.join(name);
    std::fs::write(&file, text).unwrap();
    file
}

/// Asks until the exit code is the one wanted: on a busy machine a call may be late.
fn becomes(code: i32, args: &[&str]) -> String {
    until(&format!("{args:?} ends with {code}"), || {
        let (ended, printed, _) = gateway(args);
        (ended == code).then_some(printed)
    })
}

fn has(text: &str, words: &[&str]) {
    for word in words {
        assert!(text.contains(word), "{word} is not in\n{text}");
    }
}

#[test]
fn a_fleet_is_seen_and_its_configuration_is_planned_from_any_node() {
    let fleet = fleet();
    let diskless = at(&fleet.machines[3]);
    let first = file(&fleet, "first.json", &configuration(7, PREFIXES));
    let (first, here) = (first.to_str().unwrap(), diskless.as_str());
    // Nothing is held yet, and no server beats.
    let planned = becomes(0, &["config", "plan", "--at", here, first]);
    has(&planned, &["edition 0 -> 7: routes +2 -0 ~0", "requests would get 503", "it would be taken"]);
    has(&becomes(0, &["config", "put", "--at", here, first]), &["edition 7 is in force everywhere"]);
    assert_eq!(
        becomes(0, &["config", "get", "--at", here]).trim_end(),
        configuration(7, PREFIXES).trim_end()
    );
    let (server, beating) = serve(&fleet, "i-1");
    all_ready(&fleet);
    for machine in &fleet.machines {
        until("it knows the others", || machine.figure("supervisors").filter(|known| *known == 4));
    }

    has(&becomes(0, &["status", "--at", here]), &["\"edition\":7", "\"supervisors\":4"]);
    let status = until("all four answer", || {
        let printed = becomes(0, &["fleet", "status", "--at", here]);
        printed.contains("from 4 of 4 nodes").then_some(printed)
    });
    has(&status, &["nodes: 4 here, 0 doubted, 0 gone; 4 ready", "edition: 7 on 4", "3 members"]);
    let nodes = becomes(0, &["fleet", "nodes", "--at", here]);
    has(&nodes, &["counts", &fleet.machines[0].ip.to_string(), &fleet.machines[3].ip.to_string()]);
    has(&becomes(0, &["fleet", "servers", "--at", here]), &["i-1", "open", "1 servers, from 1 node"]);
    has(&becomes(0, &["fleet", "routes", "--at", here, "--json"]), &["\"open\":1", "\"edition\":7"]);
    let lock = r#"{"holder":"me","hold_s_time":30}"#;
    until("a lock", || fleet.machines[1].post("/-/locks/l1/start", lock).filter(|r| r.status == 200));
    until("the lock is seen", || becomes(0, &["fleet", "locks", "--at", here]).contains("me").then_some(()));
    has(&becomes(0, &["doctor", "--at", here]), &["nothing is found wrong"]);
    has(&becomes(0, &["why", "--at", here]), &["is ready: edition 7 and 1 servers"]);
    has(&gateway(&["completions", "bash"]).1, &["_gateway"]);

    // A route goes, one changes; the same edition would change nothing.
    let second = configuration(8, ["/safe/", "/other/"]);
    let second = file(&fleet, "second.json", &second);
    let second = second.to_str().unwrap();
    let differs = becomes(1, &["config", "diff", "--at", here, second]);
    has(&differs, &["edition 7 -> 8: routes +1 -1 ~0", "/other/", "- route"]);
    becomes(0, &["config", "diff", "--at", here, first]);
    has(&becomes(1, &["config", "plan", "--at", here, first]), &["refused: edition 7 is not above 7"]);
    becomes(0, &["config", "put", "--at", here, second]);
    until("both are remembered", || {
        becomes(0, &["config", "history", "--at", here]).contains("routes +1 -1 ~0").then_some(())
    });

    // A request that met a refusal, one that no route takes, one that was served, all asked about elsewhere.
    let other = at(&fleet.machines[0]);
    let carry = |path: &str, id: &str| {
        Client::connect(fleet.machines[3].front(), LONG).unwrap().ask(&get(path, id)).status
    };
    assert_eq!((carry("/safe/x", "id/1+x"), carry("/none/", "id2")), (200, 404));
    let told = becomes(0, &["trace", "--at", &other, "id/1+x"]);
    has(&told, &["200 after", "try 1: i-1", "answered", &fleet.machines[3].ip.to_string()]);
    has(&becomes(0, &["why", "--at", &other, "id2"]), &["404, as edition", "has no route"]);
    has(&becomes(1, &["why", "--at", &other, "id3"]), &["Nothing is remembered of it"]);
    drop((server, beating));
    until("the server is lost", || (carry("/safe/x", "id4") == 503).then_some(()));
    has(&becomes(0, &["why", "--at", &other, "id4"]), &["503, as no open server of s was known"]);
    has(&becomes(1, &["doctor", "--at", &other]), &["no-servers: routes lead to services", "To do"]);
}

#[test]
fn a_node_cut_off_from_the_core_says_so_and_changes_nothing() {
    let mut fleet = fleet();
    configure(&fleet.machines[0], &configuration(7, PREFIXES));
    let (_server, _beating) = serve(&fleet, "i-1");
    all_ready(&fleet);
    let next = file(&fleet, "next.json", &configuration(8, PREFIXES));
    let (next, here) = (next.to_str().unwrap().to_owned(), at(&fleet.machines[3]));
    for machine in &mut fleet.machines[..2] {
        machine.signal("KILL");
        machine.wait(LONG);
    }
    let put = || gateway(&["config", "put", "--at", &here, &next]);
    let (_, _, complaint) = until("it is cut off", || Some(put()).filter(|(_, _, c)| c.contains("cut off")));
    assert!(complaint.contains("nothing was changed"), "{complaint}");
    assert_eq!(gateway(&["config", "plan", "--at", &here, &next]).0, 3);
    // What it knows is told all the same, and how old that is.
    has(&becomes(1, &["doctor", "--at", &here]), &["no-majority: none of 3 keepers hears a majority"]);
    until("it is told to be old", || {
        becomes(0, &["fleet", "status", "--at", &here]).contains("is cut off from the keepers").then_some(())
    });
    has(&becomes(0, &["config", "history", "--at", &here]), &["first since the start"]);
    assert_eq!(fleet.machines[3].figure("edition"), Some(7));
    // Nobody is there at all.
    let dead = at(&fleet.machines[0]);
    let (code, _, complaint) = gateway(&["fleet", "nodes", "--at", &dead]);
    assert_eq!((code, complaint.contains("gives no answer")), (3, true));
    assert_eq!(gateway(&["fleet", "nodes", "--at", &dead, "--at", &here]).0, 0);
    // As they come back, all is well again.
    fleet.start(0, false).unwrap();
    fleet.start(1, false).unwrap();
    until("it is taken", || (put().0 == 0).then_some(()));
    until("it is in force", || fleet.machines[3].figure("edition").filter(|edition| *edition == 8));
}

#[test]
fn wrong_calls_and_odd_files_have_codes_of_their_own() {
    let folder = std::env::temp_dir().join(format!("gateway-prompt-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let odd = folder.join("odd.json");
    std::fs::write(&odd, "{").unwrap();
    let (odd, none) = (odd.to_str().unwrap(), "127.0.0.1:9");
    let rows: [(&[&str], i32); 7] = [
        (&["fleet", "nodes"], 2),
        (&["fleet", "nodes", "--at", "nowhere"], 2),
        (&["config", "plan", "--at", none, "/nonsense"], 2),
        (&["config", "plan", "--at", none, odd], 1),
        (&["config", "diff", "--at", none, odd], 1),
        (&["check", "config", odd], 1),
        (&["doctor", "--at", none], 3),
    ];
    for (args, code) in rows {
        assert_eq!(gateway(args).0, code, "{args:?}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

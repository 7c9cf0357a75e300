//! Files that can be used, and everything that is wrong with those that cannot.

use fallgap_operator::{Installation, read};
use fallgap_sources::{Addressed, NamedBy, ZoneBy};
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../../deploy/operator.kdl");

fn faults(text: &str) -> Vec<String> {
    read(text).unwrap_err().iter().map(|fault| fault.to_string()).collect()
}

/// Guards against an example that switches something on, or that is not what the usual values are.
#[test]
fn the_example_is_all_off_and_says_the_usual_values() {
    assert_eq!(read(EXAMPLE), Ok(Installation::default()));
    let on = read(&EXAMPLE.replace("/- ", "")).unwrap();
    assert_eq!(on.membership, Some(Default::default()));
    let dns = on.dns.unwrap();
    assert_eq!((dns.ask, dns.lifetimes), (Default::default(), Default::default()));
    assert_eq!(dns.servers.len(), 2);
}

#[test]
fn a_whole_file_is_read() {
    let text = r#"
        membership { hold "1h 30m"; most-removed 1; discovery #false }
        dns {
            server "127.0.0.1:5353"
            server "::1"
            service "_Store._tcp.example.org." { zone "linz"; size "weight"; id "host-port" }
            service "_store._tcp.example.net" { zone-label 2; addresses "each" }
            lifetime-least "250ms"; tries 2
        }"#;
    let read = read(text).unwrap();
    let membership = read.membership.unwrap();
    assert_eq!(membership.terms.hold, Duration::from_secs(5400));
    assert_eq!((membership.terms.most_removed, membership.discovery), (1.0, false));
    let dns = read.dns.unwrap();
    let servers: Vec<String> = dns.servers.iter().map(|s| s.to_string()).collect();
    assert_eq!(servers, ["127.0.0.1:5353", "[::1]:53"]);
    let [one, other] = &dns.services[..] else { panic!("two services") };
    assert_eq!(one.name, "_store._tcp.example.org");
    assert_eq!((&one.mapping.zone, one.mapping.named_by), (&ZoneBy::Fixed("linz".into()), NamedBy::HostPort));
    assert_eq!((&other.mapping.zone, other.mapping.addressed), (&ZoneBy::Label(2), Addressed::Each));
    assert!(one.mapping.sized && !other.mapping.sized);
    assert_eq!((dns.lifetimes.least, dns.ask.tries), (Duration::from_millis(250), 2));
}

/// Guards against faults that hide behind each other: all are told, each with its place and what is meant.
#[test]
fn all_faults_are_told_at_once() {
    let text = "membership {\n    hold 20\n    hodl \"1m\"\n    confirm \"2s\" \"3s\"\n    confirm \"2s\"\n    \
        most-removed 1.5\n}\ndns {\n    server \"localhost\"\n    service \"_store._tcp.example.org\" {\n        \
        id \"both\"\n    }\n    tries 0\n    within \"1\"\n    records a=1\n}\nmetrics\n";
    assert_eq!(
        faults(text),
        [
            "2:10: found 20; expected a time from \"1ms\" to \"30days\", with its unit",
            "3:5: found \"hodl\"; expected one of discovery, hold, most-removed, confirm, remember, answering, \
             most-servers",
            "4:18: found \"3s\"; expected one value after \"confirm\"",
            "5:5: found a second \"confirm\"; expected it once",
            "6:18: found 1.5; expected a share from 0.0 to 1.0",
            "8:1: found dns without a name server; expected at least one \"server\"",
            "9:12: found localhost; expected an address as \"127.0.0.53\" or \"127.0.0.53:53\"",
            "10:5: found a service without a zone; expected \"zone\" or \"zone-label\"",
            "11:12: found both; expected one of \"host\", \"target\", \"host-port\"",
            "13:11: found 0; expected a whole number from 1 to 32",
            "14:12: found \"1\"; expected a time from \"10ms\" to \"1m\", with its unit",
            "15:5: found \"records\" without a value; expected one",
            "15:13: found a=1; expected a plain value after \"records\"",
            "17:1: found \"metrics\"; expected one of membership, dns",
        ]
    );
}

#[test]
fn what_cannot_be_together_is_refused() {
    assert!(faults("membership { discovery #false }")[0].contains("no source of servers"));
    let dns = |inner: &str| format!("dns {{ server \"127.0.0.1\"\n{inner}\n}}");
    let service = "service \"_a._tcp.x\" { zone \"a\" }";
    assert_eq!(faults(&dns(&format!("{service}\n{service}"))).len(), 1);
    assert!(faults(&dns("service \"_a._tcp.x\" { zone \"a\"; zone-label 2 }"))[0].contains("one of them"));
    assert!(faults(&dns(&format!("{service}\nlifetime-least \"2h\"")))[0].contains("least lifetime"));
    assert!(faults(&dns(&format!("{service}\nserver {{ a 1 }}"))).len() >= 2);
    assert!(faults("dns #true { }").iter().any(|f| f.contains("before the braces")));
}

/// Guards against a file that is no KDL, and one without end.
#[test]
fn what_is_no_kdl_is_refused_with_its_place() {
    for text in ["dns {", "dns }", "membership { hold \"1m }", "hold 1 = 2"] {
        let faults = faults(text);
        assert!(faults[0].starts_with("1:"), "{text}: {faults:?}");
    }
    assert!(faults(&"// long\n".repeat(200_000))[0].contains("at most"));
    assert_eq!(read(""), Ok(Installation::default()));
}

/// Guards against files that end the process: whatever stands in them is read or faulted.
#[test]
fn spoilt_files_are_refused_and_no_more() {
    let mut rng = fastrand::Rng::with_seed(7);
    let text = EXAMPLE.replace("/- ", "").into_bytes();
    for _ in 0..100 {
        let mut bytes = text.clone();
        for _ in 0..rng.usize(1..5) {
            let at = rng.usize(..bytes.len());
            match rng.u8(..3) {
                0 => bytes[at] = b" {}\"#0a\n/-;=\\"[rng.usize(..13)],
                1 => _ = bytes.remove(at),
                _ => bytes.truncate(at.max(1)),
            }
        }
        if let Err(faults) = read(&String::from_utf8_lossy(&bytes)) {
            assert!(!faults.is_empty() && faults.iter().all(|f| f.line > 0 && f.column > 0));
        }
    }
}

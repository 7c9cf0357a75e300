//! Configurations: what is read, what is refused, and that notes say all of one.

use fallgap_config::{Configuration, Limits, RouteClass, TERMS, read_configuration};
use std::time::Duration;

const BODY: &str = include_str!("configuration.json");

fn with(from: &str, to: &str) -> String {
    assert!(BODY.contains(from), "{from}");
    BODY.replacen(from, to, 1)
}

fn read(body: &str) -> Configuration {
    read_configuration(body.as_bytes()).unwrap_or_else(|faults| panic!("{faults}"))
}

fn from_notes(notes: &[(String, String)]) -> Option<Configuration> {
    Configuration::from_notes(notes.iter().map(|(key, text)| (key.as_str(), text.as_str())))
}

/// A configuration with so many routes.
fn large(routes: usize) -> String {
    let entry = |i| format!(r#"["r{i}","h{}.example","/p{i}/","safe",1.5,0.25,2,null,2,"huvo11a"]"#, i % 30);
    let entries: Vec<String> = (0..routes).map(entry).collect();
    let at = BODY.find("[\n      [\"r-hwrr6x7").unwrap();
    let end = at + BODY[at..].find("\n    ]").unwrap() + "\n    ]".len();
    format!("{}[{}]{}", &BODY[..at], entries.join(","), &BODY[end..])
}

#[test]
fn a_whole_one_is_read() {
    let read = read(BODY);
    let places: Vec<String> = read.routes.iter().map(|r| format!("{}{}", r.depot, r.lane_prefix)).collect();
    assert_eq!(
        places,
        [
            "bücher.example/",
            "ficu95.example/lohu930/",
            "ficu95.example/lohu930/pe/",
            "ficu95.example/pufi791/"
        ]
    );
    let (plain, split, usual) = (&read.routes[3], &read.routes[1], &read.routes[2]);
    assert_eq!(plain.sorting, [("huvo11a".into(), 1.0)]);
    assert_eq!((plain.class, plain.timeout), (RouteClass::Fragile, Duration::from_millis(800)));
    assert_eq!(split.sorting, [("huvo11a".into(), 90.0), ("wuno96b".into(), 10.1)]);
    assert_eq!((usual.target, usual.priority, usual.attempts), (Duration::from_millis(300), 1, 1));
    assert_eq!(read.routes[0].timeout, Duration::from_secs(30));
    let services: Vec<_> = read.services.iter().map(|s| (&*s.name, &*s.health_path, s.line_cap)).collect();
    assert_eq!(services, [("huvo11a", "/health", 64), ("wuno96b", "/health", 130)]);
}

#[test]
fn what_is_unusual_and_fit_is_taken() {
    let cases = [
        ("an unknown field on top", with("\"edition\"", "\"new\": [{}], \"edition\"")),
        ("an unknown column", with("\"sealed\"", "\"new\"")),
        ("a share of 0 beside another", with("\"share\": 90}", "\"share\": 0}")),
        ("both ways to services", with("10.1}], 2, null]", "10.1}], 2, \"wuno96b\"]")),
        ("an empty list beside a service", with("1, null, 2, \"huvo11a\"]", "1, [], 2, \"huvo11a\"]")),
        ("out of range", with("0.8, 0.3, 1, null, 2,", "1e12, -1, 3000, null, 0,")),
        ("a number with a fraction of 0", with("\"edition\": 7", "\"edition\": 7.0")),
        ("a short entry", with("130, \"h1\", false", "130")),
        ("no name", with("\"r-4k\"", "null")),
        ("escapes", with("/pufi791/", "\\/pu\\u0066i791\\/")),
        ("no limits", BODY.replace("\"limits\"", "\"other\"")),
        ("no routes", with("\"entries\": [\n", "\"entries\": [], \"old\": [\n")),
    ];
    for (case, body) in cases {
        let read = read_configuration(body.as_bytes()).unwrap_or_else(|faults| panic!("{case}: {faults}"));
        assert_eq!(from_notes(&read.notes()), Some(read), "{case}");
    }
    assert_eq!(read(&BODY.replace("\"limits\"", "\"other\"")).limits, Limits::default());
    let swapped = with("\"depot\", \"lane_prefix\"", "\"lane_prefix\", \"depot\"")
        .replace("\"ficu95.example\", \"/pufi791/\"", "\"/pufi791/\", \"ficu95.example\"")
        .replace("\"ficu95.example\", \"/lohu930/pe/\"", "\"/lohu930/pe/\", \"ficu95.example\"")
        .replace("\"Ficu95.example:80\", \"/lohu930/\"", "\"/lohu930/\", \"Ficu95.example:80\"")
        .replace("\"b\\u00fccher.example\", \"/\"", "\"/\", \"b\\u00fccher.example\"");
    assert_eq!(read(&swapped), read(BODY));
}

#[test]
fn what_is_invalid_is_refused() {
    let cases = [
        ("an unknown service", with("2, \"huvo11a\"]", "2, \"huvo\"]")),
        ("an unknown service among others", with("\"service\": \"wuno96b\"", "\"service\": \"wuno\"")),
        ("a service that is gone", with("[\"wuno96b\", \"/health\", 130, \"h1\", false], ", "")),
        ("shares of 0", with("90}", "0}").replace("10.1}", "0.0}")),
        ("a share below 0", with("10.1}", "-10.1}")),
        ("a share without end", with("10.1}", "1e999}")),
        ("no share", with(", \"share\": 10.1", "")),
        ("an empty host", with("\"ficu95.example\"", "\"\"")),
        ("no host", with("\"ficu95.example\"", "null")),
        ("a port alone", with("\"ficu95.example\"", "\":80\"")),
        ("an unknown class", with("fragile", "brittle")),
        ("no class", with("\"fragile\"", "null")),
        ("no service", with("2, \"huvo11a\"]", "2, null]")),
        ("a prefix without a slash", with("/pufi791/", "pufi791/")),
        ("a prefix without its last slash", with("/pufi791/", "/pufi791")),
        ("no prefix", with("\"/pufi791/\"", "null")),
        ("the same place twice", with("/pufi791/", "/lohu930/")),
        ("the same service twice", with("\"huvo11a\", null", "\"wuno96b\", null")),
        ("a timeout of 0", with("0.8,", "0,")),
        ("a timeout in words", with("0.8,", "\"0.8\",")),
        ("an edition below 0", with("\"edition\": 7", "\"edition\": -7")),
        ("half an edition", with("\"edition\": 7", "\"edition\": 7.5")),
        ("no edition", with("\"edition\"", "\"version\"")),
        ("no table of routes", with("\"routes\"", "\"ways\"")),
        ("no table of services", with("\"services\"", "\"ways\"")),
        ("no entries", with("\"entries\"", "\"rows\"")),
        ("an entry that is none", with("[\"wuno96b\", \"/health\", 130, \"h1\", false]", "7")),
        ("an entry past its fields", with("2, \"huvo11a\"]", "2, \"huvo11a\", 1]")),
        ("limits that are none", with("{\"header_bytes\"", "7, \"x\": {\"header_bytes\"")),
        ("something behind", format!("{BODY} 7")),
        ("nothing", String::new()),
        ("too many routes", large(TERMS.routes + 1)),
        (
            "nested too deep",
            with("\"edition\"", &format!("\"x\": {}{}, \"edition\"", "[".repeat(40), "]".repeat(40))),
        ),
    ];
    let taken: Vec<&str> = cases
        .iter()
        .filter(|(_, body)| read_configuration(body.as_bytes()).is_ok())
        .map(|(case, _)| *case)
        .collect();
    assert!(taken.is_empty(), "{taken:?}");
}

#[test]
fn faults_are_told_with_their_places() {
    let faulty = BODY
        .replace("\"edition\": 7", "\"edition\": \"seven\"")
        .replace("0.8, 0.3, 1, null, 2, \"huvo11a\"", "0, 0.3, 1, null, 2, \"huvo\"")
        .replace(
            "\"r-4k\", \"ficu95.example\", \"/lohu930/pe/\", \"outbound\"",
            "\"r\", null, \"/lohu930\", \"new\"",
        )
        .replace("90}", "0}")
        .replace("10.1}", "0}")
        .replace("\"header_s\": 3", "\"header_s\": \"three\\n\"");
    insta::assert_snapshot!(read_configuration(faulty.as_bytes()).unwrap_err(), @r#"
    /edition: expected a whole number from 0 on, found "seven"
    /routes/entries/0/sorting: the shares add up to 0
    /routes/entries/1/timeout_s: expected seconds above 0, found 0
    /routes/entries/1/service: unknown service huvo
    /routes/entries/2/depot: missing; expected a host
    /routes/entries/2/lane_prefix: expected a prefix between slashes, found "/lohu930"
    /routes/entries/2/route_class: expected safe, fragile, outbound or registered, found "new"
    /limits/header_s: expected seconds, found "three\n"
    "#);
    let many = large(400).replace("\"safe\"", "\"save\"");
    let faults = read_configuration(many.as_bytes()).unwrap_err();
    assert_eq!((faults.list().len(), faults.untold()), (TERMS.faults, 400 - TERMS.faults));
}

#[test]
fn cut_short_anywhere_it_is_refused() {
    let body = BODY.trim_end().as_bytes();
    let taken: Vec<usize> = (0..body.len()).filter(|end| read_configuration(&body[..*end]).is_ok()).collect();
    assert!(taken.is_empty(), "{taken:?}");
}

/// Whatever is taken of a damaged body keeps what the types promise, and nothing ends the process.
#[test]
fn damage_is_refused_or_does_no_harm() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut taken = 0;
    for _ in 0..20_000 {
        let mut body = BODY.as_bytes().to_vec();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..body.len());
            let until = (at + rng.usize(1..30)).min(body.len());
            match rng.u8(..4) {
                0 => body[at] = rng.u8(..),
                1 => body[at] = *rng.choice(b"[]{}\",:0-9e.\\nu").unwrap(),
                2 => drop(body.drain(at..until)),
                _ => body.extend_from_within(at..until),
            }
        }
        let Ok(read) = read_configuration(&body) else { continue };
        taken += 1;
        assert!(read.routes.iter().all(|r| r.sorting.iter().map(|(_, share)| share).sum::<f64>() > 0.0));
        assert_eq!(from_notes(&read.notes()), Some(read));
    }
    assert!(taken > 500, "{taken}");
}

#[test]
fn notes_tell_two_apart_line_by_line() {
    let (old, new) = (read(BODY), read(&with("0.8,", "0.9,").replace("\"edition\": 7", "\"edition\": 9")));
    let (old_notes, new_notes) = (old.notes(), new.notes());
    let changed: Vec<&str> =
        new_notes.iter().filter(|note| !old_notes.contains(note)).map(|(key, _)| key.as_str()).collect();
    assert_eq!(changed, ["edition", "route/ficu95.example/pufi791/"]);
    let keys: std::collections::BTreeSet<_> = old_notes.iter().map(|(key, _)| key).collect();
    assert_eq!(keys.len(), old_notes.len());

    let mut mixed = old_notes.clone();
    mixed.reverse();
    mixed.push(("new/x".into(), "y".into()));
    assert_eq!(from_notes(&mixed), Some(old));
    let whole = from_notes(&old_notes);
    assert!(whole.is_some());
    for at in 0..old_notes.len() {
        let mut twice = old_notes.clone();
        twice.push(old_notes[at].clone());
        let mut cut = old_notes.clone();
        cut[at].1.pop();
        assert_ne!(from_notes(&cut), whole);
        let mut less = old_notes.clone();
        let (key, _) = less.remove(at);
        assert_ne!(from_notes(&less), whole);
        let repeatable = key == "edition" || key == "limits";
        assert_eq!(from_notes(&less).is_none(), !key.starts_with("route/"), "{key}");
        assert_eq!(from_notes(&twice).is_some(), repeatable, "{key}");
    }
}

/// An edition is a whole number, told apart to its last digit, or it is refused with its place.
#[test]
fn an_edition_is_a_whole_number() {
    let of = |edition: &str| {
        let body = format!(
            r#"{{"edition":{edition},"routes":{{"fields":[],"entries":[]}},"services":{{"fields":["name"],"entries":[["s"]]}}}}"#
        );
        read_configuration(body.as_bytes()).map(|read| read.edition).map_err(|faults| faults.to_string())
    };
    for (edition, wanted) in [
        ("0", 0),
        ("7.0", 7),
        ("9007199254740993", (1 << 53) + 1),
        ("18446744073709551614", u64::MAX - 1),
        ("18446744073709551615", u64::MAX),
    ] {
        assert_eq!(of(edition), Ok(wanted), "{edition}");
    }
    let refused = ["-1", "-0.5", "7.5", "\"7\"", "null", "true", "[7]", "18446744073709551616", "1e20"];
    for edition in refused {
        let told = of(edition);
        assert!(told.as_ref().is_err_and(|why| why.contains("/edition")), "{edition}: {told:?}");
    }
    // No number at all for whoever reads JSON.
    assert!(of("1e400").is_err_and(|why| why.contains("line 1 column")));
}

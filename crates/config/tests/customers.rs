//! Customers of a configuration: what is read, what is refused, and that notes say all of them.

use fallgap_config::{Configuration, RouteClass, read_configuration};

const BODY: &str = include_str!("shared.json");

fn read(body: &str) -> Configuration {
    read_configuration(body.as_bytes()).unwrap_or_else(|faults| panic!("{faults}"))
}

fn with(from: &str, to: &str) -> String {
    assert!(BODY.contains(from), "{from}");
    BODY.replacen(from, to, 1)
}

fn from_notes(notes: &[(String, String)]) -> Option<Configuration> {
    Configuration::from_notes(notes.iter().map(|(key, text)| (key.as_str(), text.as_str())))
}

#[test]
fn customers_keyed_orders_and_open_routes_are_read() {
    let read = read(BODY);
    let classes: Vec<(RouteClass, bool)> = read.routes.iter().map(|r| (r.class, r.is_open)).collect();
    assert_eq!(
        classes,
        [(RouteClass::Safe, false), (RouteClass::Safe, true), (RouteClass::Registered, false)]
    );
    assert_eq!(read.services.iter().map(|s| s.dedupes).collect::<Vec<_>>(), [false, true]);
    let customers = read.customers.expect("there are customers");
    let names: Vec<&str> = customers.all().iter().map(|customer| &*customer.name).collect();
    assert_eq!(names, ["bilo12", "kaje80"]);
    let of = |key| customers.of_key(key).map(|customer| &*customer.name);
    assert_eq!(of("a828m82thhkmgjqnirth"), Some("kaje80"));
    assert_eq!(of("8wuakn2ftimaj3nr26tt"), Some("kaje80"));
    assert_eq!(of("9xk2m82thhkmgjqnirth"), Some("bilo12"));
    assert_eq!(of("another"), None);
    let limited = customers.named("kaje80").expect("it is there");
    assert_eq!((limited.priority, limited.rate_per_second, limited.burst), (1, 336.0, 336.0));
    assert!(limited.is_limited() && !customers.named("bilo12").expect("it is there").is_limited());
    assert_eq!(customers.lowest_priority(), 1);
}

#[test]
fn without_a_table_of_customers_nobody_needs_a_key_and_with_an_empty_one_nobody_has_one() {
    let cut = BODY.find(",\n  \"customers\"").expect("it is there");
    assert_eq!(read(&format!("{}\n}}", &BODY[..cut])).customers, None);
    let empty = r#""customers": {"fields": ["name"], "entries": []}"#;
    let emptied = read(&format!("{},\n{empty}\n}}", &BODY[..cut]));
    assert!(emptied.customers.is_some_and(|customers| customers.all().is_empty()));
}

#[test]
fn customers_that_cannot_be_told_apart_are_refused() {
    let cases = [
        (with("bilo12", "kaje80"), "/customers/entries/1: stands there already, at entry 0"),
        (with("9xk2m82thhkmgjqnirth", "8wuakn2ftimaj3nr26tt"), "/customers/entries/0: has a key of entry 1"),
        (
            with("\"9xk2m82thhkmgjqnirth\"", "\"\""),
            "/customers/entries/1/stamps/0: expected a key, found \"\"",
        ),
        (with("\"9xk2m82thhkmgjqnirth\"", "\"a b\""), "expected a key"),
        (with("1, 336, 336", "1, -1, 336"), "/customers/entries/0/rate_per_s: expected a number from 0 on"),
        (with("\"kaje80\"", "null"), "/customers/entries/0/name: missing"),
        (with("\"registered\"", "\"unheard\""), "expected safe, fragile, outbound or registered"),
        (with("2, true,", "2, 1,"), "/routes/entries/2/unstamped: expected true or false, found 1"),
    ];
    for (body, expected) in cases {
        let told = read_configuration(body.as_bytes()).expect_err(expected).to_string();
        assert!(told.contains(expected), "{expected}: {told}");
    }
}

#[test]
fn notes_say_all_of_the_customers() {
    let read = read(BODY);
    let mut notes = read.notes();
    notes.reverse();
    assert_eq!(from_notes(&notes), Some(read.clone()));
    let missing: Vec<_> = notes.iter().filter(|(key, _)| key != "customer/kaje80").cloned().collect();
    assert_eq!(from_notes(&missing), None, "a customer that is not there yet");
    let mut none = read;
    none.customers = Some(Default::default());
    assert_eq!(from_notes(&none.notes()), Some(none));
}

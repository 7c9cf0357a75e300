//! Orders of the operator that come again, and ledgers of the text before: tables of cases.

use fallgap_config::{Configuration, read_configuration};
use fallgap_tenants::{
    Account, Carried, Ledger, Maker, TERMS, idempotency_key, plan, read_change, read_order,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

fn carried(ledger: &Ledger, account: &str, body: &str) -> Carried {
    let order = read_order(account, body.as_bytes(), ledger).unwrap_or_else(|faults| panic!("{faults}"));
    order.carried_out(ledger, account)
}

/// One with so many routes at most, in an area of its own.
fn order(account: &str, edition: u64, routes: u64) -> String {
    format!(
        r#"{{"edition":{edition},"areas":[{{"depot":"h","lane_prefix":"/{account}/"}}],"limits":{{"routes":{routes}}},
            "offices":[{{"id":"of-{account}"}}]}}"#
    )
}

fn out(ledger: &Ledger, account: &str, body: &str) -> Ledger {
    match carried(ledger, account, body) {
        Carried::Out(next) => next,
        other => panic!("{account} {body}: {other:?}"),
    }
}

#[test]
fn an_edition_of_an_account_has_one_content() {
    let first = out(&Ledger::default(), "a", &order("a", 3, 1));
    let second = out(&first, "b", &order("b", 3, 9));
    let third = out(&second, "a", &order("a", 5, 2));
    let again = Carried::Again { touched: 0 };
    // The same in other words.
    let same = order("a", 3, 1).replace("{\"edition\":3,", "{\n\"classes\": [], \"edition\":3,");
    let rows = [
        (&first, "a", order("a", 3, 1), again.clone()),
        (&first, "a", same.clone(), again.clone()),
        (&first, "a", order("a", 3, 2), Carried::Differs { edition: 3 }),
        (&first, "a", order("a", 2, 1), Carried::Overtaken { edition: 3 }),
        // Another account has numbers of its own.
        (&second, "a", order("a", 3, 1), again.clone()),
        (&second, "b", order("b", 3, 9), again.clone()),
        (&second, "b", order("b", 3, 8), Carried::Differs { edition: 3 }),
        // A higher edition has overtaken it.
        (&third, "a", order("a", 3, 1), again.clone()),
        (&third, "a", same, again.clone()),
        (&third, "a", order("a", 3, 2), Carried::Differs { edition: 5 }),
        (&third, "a", order("a", 4, 2), Carried::Overtaken { edition: 5 }),
        (&third, "a", order("a", 5, 2), again),
    ];
    for (at, (ledger, account, body, wanted)) in rows.into_iter().enumerate() {
        let read = Ledger::decode(&ledger.encode()).unwrap();
        assert_eq!(read, *ledger);
        assert_eq!(carried(&read, account, &body), wanted, "row {at}: {account} {body}");
    }
}

#[test]
fn what_is_remembered_of_orders_is_bounded() {
    let mut ledger = out(&Ledger::default(), "a", &order("a", 1, 1));
    let most = TERMS.orders as u64;
    for edition in 2..=most + 1 {
        ledger = out(&ledger, "b", &order("b", edition, 1));
    }
    assert_eq!(ledger.taken.len(), TERMS.orders);
    // Forgotten, but held: its content tells.
    assert_eq!(carried(&ledger, "a", &order("a", 1, 1)), Carried::Again { touched: 0 });
    assert_eq!(carried(&ledger, "a", &order("a", 1, 2)), Carried::Differs { edition: 1 });
    ledger = out(&ledger, "b", &order("b", most + 2, 1));
    let edition = most + 2;
    assert_eq!(carried(&ledger, "b", &order("b", 2, 7)), Carried::Overtaken { edition });
    assert_eq!(carried(&ledger, "b", &order("b", 3, 7)), Carried::Differs { edition });
}

fn operator() -> Configuration {
    let text = br#"{"edition":1,"routes":{"fields":[],"entries":[]},"services":{"fields":["name"],"entries":[["s"]]}}"#;
    read_configuration(text).unwrap()
}

/// Puts so many routes with this time-out; the order's key is the time-out.
fn changed(ledger: &Ledger, office: &str, routes: usize, timeout: u64) -> Ledger {
    let entry = |at: usize| format!(r#"["h","/{}/{at}/","safe","s",{timeout}]"#, &office[3..]);
    let entries: Vec<String> = (0..routes).map(entry).collect();
    let base = ledger.office(office).unwrap().2.edition;
    let text = format!(
        r#"{{"base":{base},"put":{{"fields":["depot","lane_prefix","route_class","service","timeout_s"],"entries":[{}]}}}}"#,
        entries.join(",")
    );
    let change = read_change(text.as_bytes(), &operator()).unwrap();
    let maker = Maker { office, at: 60 * timeout, idempotency_key: timeout, key: String::new() };
    plan(ledger, &operator(), &maker, &change).unwrap_or_else(|why| panic!("{why}")).next.unwrap()
}

#[test]
fn a_change_is_known_after_its_trail_has_let_it_go() {
    let granted = |account: &str, edition: u64| {
        let more = r#""classes":["safe"],"services":[{"service":"s"}],"offices""#;
        order(account, edition, 2000).replace(r#""offices""#, more)
    };
    let mut ledger = out(&Ledger::default(), "a", &granted("a", 1));
    ledger = out(&ledger, "b", &granted("b", 1));
    let told = |ledger: &Ledger, office: &str, key| {
        ledger.made_by(office, key).map(|again| (again.edition, again.touched))
    };
    // Each puts 600 routes aside, so that the trail has room for one.
    for timeout in 1..=3 {
        ledger = changed(&ledger, "of-a", 600, timeout);
        ledger = Ledger::decode(&ledger.encode()).unwrap();
    }
    assert_eq!((ledger.office("of-a").unwrap().2.trail.len(), ledger.made.len()), (1, 2));
    for key in 1..=3 {
        assert_eq!(told(&ledger, "of-a", key), Some((key + 2, 600)), "{key}");
    }
    assert_eq!(told(&ledger, "of-a", 4), None);
    assert_eq!(told(&ledger, "of-b", 1), None, "another office's");
    let places = |key| ledger.made_by("of-a", key).unwrap().places;
    assert_eq!((places(3).len(), places(1)), (600, vec![("h".into(), "/a/".into())]));
    // Small ones: the trail holds its number, all offices together so many more, the oldest go.
    let (trail, more) = (TERMS.trail as u64, TERMS.orders as u64);
    for timeout in 1..=trail + more + 1 {
        ledger = changed(&ledger, "of-b", 1, timeout);
    }
    assert_eq!(ledger.made.len(), TERMS.orders);
    assert_eq!(told(&ledger, "of-a", 1), None);
    assert_eq!((told(&ledger, "of-b", 1), told(&ledger, "of-b", 2)), (None, Some((7, 1))));
    assert_eq!(told(&ledger, "of-b", trail + more + 1), Some((trail + more + 6, 1)));
    // An office that is gone and comes again begins anew.
    let none = granted("b", 2).replace(r#"{"id":"of-b"}"#, "");
    let ledger = out(&out(&ledger, "b", &none), "b", &granted("b", 3));
    assert_eq!((told(&ledger, "of-b", 2), told(&ledger, "of-b", trail + more + 1)), (None, None));
}

/// As the text before has it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Earlier {
    revision: u64,
    accounts: BTreeMap<String, Account>,
}

#[test]
fn ledgers_of_the_text_before_are_read_and_it_reads_ours() {
    let ledger = out(&Ledger::default(), "a", &order("a", 3, 1));
    let Ledger { revision, accounts, .. } = ledger.clone();
    let earlier = Earlier { revision, accounts };
    let read: Earlier = postcard::from_bytes(&ledger.encode()).unwrap();
    assert_eq!(read, earlier);
    let read = Ledger::decode(&postcard::to_stdvec(&earlier).unwrap()).unwrap();
    assert_eq!((&read.accounts, read.revision, read.taken.len()), (&ledger.accounts, 1, 0));
    for (edition, routes, wanted) in [
        (3, 1, Carried::Again { touched: 0 }),
        (3, 2, Carried::Differs { edition: 3 }),
        (2, 2, Carried::Overtaken { edition: 3 }),
    ] {
        assert_eq!(carried(&read, "a", &order("a", edition, routes)), wanted);
    }
    assert!(
        Ledger::decode(&[&ledger.encode()[..], &[1]].concat()).is_ok(),
        "what stands behind is a later text's"
    );
    assert!(Ledger::decode(&ledger.encode()[..20]).is_err());
}

#[test]
fn a_key_tells_orders_apart() {
    let keys = [("put", "{}"), ("undo", "{}"), ("plan", "{}"), ("put", "{} "), ("pu", "t{}"), ("put", "")];
    let drawn: Vec<u64> = keys.iter().map(|(verb, body)| idempotency_key(verb, body.as_bytes())).collect();
    for (at, key) in drawn.iter().enumerate() {
        assert_eq!(drawn.iter().position(|other| other == key), Some(at), "{:?}", keys[at]);
    }
    assert_eq!(idempotency_key("put", b"{}"), drawn[0]);
}

/// What it was granted then may be another's by now.
#[test]
fn an_order_that_was_taken_is_known_though_it_would_not_be_taken_any_more() {
    let ledger = out(&Ledger::default(), "a", &order("a", 1, 1));
    let ledger = out(&ledger, "a", &order("z", 2, 1));
    let ledger = out(&ledger, "b", &order("a", 1, 1));
    for (at, (body, wanted)) in [
        (order("a", 1, 1), Carried::Again { touched: 0 }),
        (order("a", 1, 2), Carried::Differs { edition: 2 }),
        (order("z", 2, 1), Carried::Again { touched: 0 }),
    ]
    .into_iter()
    .enumerate()
    {
        assert_eq!(carried(&ledger, "a", &body), wanted, "row {at}");
    }
    assert!(read_order("a", order("a", 3, 1).as_bytes(), &ledger).is_err(), "a newer one is checked");
}

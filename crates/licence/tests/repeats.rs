//! Orders of the operator that come again, and ledgers of the text before: tables of cases.

use fallgap_licence::{Account, Carried, Ledger, TERMS, idempotency_key, read_order};
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

//! An order as a transaction: tables of what is read and what became of its writes.

use fallgap_config::{Configuration, read_configuration};
use fallgap_tenants::{Carried, Ledger, Maker, Refused, Step, Transaction, Wanted, Wrote, read_order};

fn operator() -> Configuration {
    let text = br#"{"edition":1,"routes":{"fields":[],"entries":[]},"services":{"fields":["name"],"entries":[["s"]]}}"#;
    read_configuration(text).unwrap()
}

fn account(edition: u64, offices: &str) -> String {
    format!(
        r#"{{"edition":{edition},"areas":[{{"depot":"h","lane_prefix":"/"}}],"classes":["safe"],
            "services":[{{"service":"s"}}],"offices":[{offices}]}}"#
    )
}

const TWO: &str = r#"{"id":"north"},{"id":"south"}"#;

fn ordered(ledger: &Ledger, body: &str) -> Ledger {
    match read_order("survey", body.as_bytes(), ledger).unwrap().carried_out(ledger, "survey") {
        Carried::Out(next) => next,
        other => panic!("{other:?}"),
    }
}

fn put(office: &str, base: u64) -> String {
    format!(
        r#"{{"base":{base},"put":{{"fields":["depot","lane_prefix","route_class","service"],
            "entries":[["h","/{office}/","safe","s"]]}}}}"#
    )
}

fn transaction<'a>(office: &'a str, body: &'a str) -> Transaction<'a> {
    let maker = Maker::of(office, "put", body.as_bytes(), 60, String::new());
    Transaction::new(Wanted::Put(maker), body.as_bytes())
}

/// The ledger that it wants kept.
fn written(transaction: &mut Transaction<'_>, ledger: &Ledger) -> Ledger {
    match transaction.read(ledger, &operator()) {
        Ok(Step::Write { base, body }) => {
            assert_eq!(base, ledger.revision);
            Ledger::decode(&body).unwrap()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn what_may_have_been_done_is_not_said_to_be_undone() {
    let first = ordered(&Ledger::default(), &account(1, TWO));
    let (north, south) = (put("north", 0), put("south", 0));
    let others = written(&mut transaction("south", &south), &first);
    let unclear = || {
        let mut asked = transaction("north", &north);
        let next = written(&mut asked, &first);
        assert!(!asked.in_doubt());
        assert_eq!((asked.wrote(Wrote::Unclear), asked.in_doubt()), (Step::Read, true));
        (asked, next)
    };
    // Nothing has come since: the same is written again, and it is in doubt whatever becomes of that.
    let (mut asked, next) = unclear();
    assert_eq!(written(&mut asked, &first), next);
    assert_eq!((asked.wrote(Wrote::NotDone), asked.in_doubt()), (Step::GivenUp, true));
    // It is in, also under what came after it.
    let after = written(&mut transaction("south", &south), &next);
    for kept in [&next, &after] {
        let (mut asked, _) = unclear();
        let Ok(Step::Done(done)) = asked.read(kept, &operator()) else { panic!("it is done") };
        assert_eq!((done.edition, done.touched, done.revision), (2, 1, kept.revision));
    }
    // Another one stands over what it was made from: it is not in, and will not be.
    let (mut asked, _) = unclear();
    assert_eq!((written(&mut asked, &others).revision, asked.in_doubt()), (3, false));
    assert_eq!((asked.wrote(Wrote::NotDone), asked.in_doubt()), (Step::GivenUp, false));
    let (mut asked, _) = unclear();
    let gone = ordered(&first, &account(2, r#"{"id":"south"}"#));
    assert_eq!((asked.read(&gone, &operator()), asked.in_doubt()), (Err(Refused::NoOffice), false));
    // What is wrong with it now says nothing of the write that may be under way.
    let (mut asked, _) = unclear();
    let none = Configuration { services: Vec::new(), ..operator() };
    assert!(matches!(asked.read(&first, &none), Err(Refused::Faults(_))) && asked.in_doubt());
}

#[test]
fn who_is_overtaken_begins_anew_and_gives_up_in_the_end() {
    let mut ledger = ordered(&Ledger::default(), &account(1, TWO));
    let body = account(9, TWO);
    let mut asked = Transaction::new(Wanted::Account("survey"), body.as_bytes());
    for edition in 2..7 {
        written(&mut asked, &ledger);
        assert_eq!(asked.wrote(Wrote::Overtaken), Step::Read);
        ledger = ordered(&ledger, &account(edition, TWO));
    }
    assert_eq!((asked.read(&ledger, &operator()), asked.in_doubt()), (Ok(Step::GivenUp), false));
}

#[test]
fn an_order_of_the_operator_is_told_what_became_of_it() {
    let first = ordered(&Ledger::default(), &account(2, TWO));
    let kept = written(&mut transaction("north", &put("north", 0)), &first);
    let read =
        |body: &str| Transaction::new(Wanted::Account("survey"), body.as_bytes()).read(&kept, &operator());
    let again = read(&account(2, TWO));
    let Ok(Step::Done(done)) = &again else { panic!("{again:?}") };
    assert_eq!((done.edition, done.touched, done.revision, done.places.len()), (2, 0, 2, 1));
    assert_eq!(read(&account(1, TWO)), Ok(Step::Nothing { edition: 2 }));
    assert_eq!(read(&account(2, "")), Err(Refused::Differs { edition: 2 }));
    let mut asked = transaction("north", "{}");
    assert!(matches!(asked.read(&kept, &operator()), Err(Refused::Faults(_))) && !asked.in_doubt());
}

/// The office's newest answer may have been lost, whatever it was.
#[test]
fn a_change_that_alters_nothing_is_known_when_it_comes_again() {
    let mut ledger = ordered(&Ledger::default(), &account(1, TWO));
    let nothing = r#"{"base":0,"remove":[]}"#;
    let mut asked = transaction("north", nothing);
    ledger = written(&mut asked, &ledger);
    assert_eq!(asked.wrote(Wrote::Kept), Step::Nothing { edition: 0 });
    assert_eq!(ledger.office("north").map(|(.., north)| (north.edition, north.trail.len())), Some((0, 0)));
    let again = |ledger: &Ledger| transaction("north", nothing).read(ledger, &operator());
    assert_eq!(again(&ledger), Ok(Step::Nothing { edition: 0 }));
    // Its base holds on: the next change starts from it too.
    let put = put("north", 0);
    ledger = written(&mut transaction("north", &put), &ledger);
    assert_eq!(again(&Ledger::decode(&ledger.encode()).unwrap()), Ok(Step::Nothing { edition: 0 }));
    // What takes the newest change back takes back one that altered something.
    let edition = ledger.office("north").unwrap().2.edition;
    let (nothing, back) =
        (format!(r#"{{"base":{edition},"remove":[]}}"#), format!(r#"{{"base":{edition}}}"#));
    ledger = written(&mut transaction("north", &nothing), &ledger);
    let maker = Maker::of("north", "undo", back.as_bytes(), 60, String::new());
    ledger = written(&mut Transaction::new(Wanted::Undo(maker), back.as_bytes()), &ledger);
    assert_eq!(ledger.office("north").unwrap().2.routes, []);
    // Another order with this base is stale, and an office has so many a minute, whatever they alter.
    let other = r#"{"base":0,"remove": []}"#;
    let told = transaction("north", other).read(&ledger, &operator());
    assert!(matches!(told, Err(Refused::Stale { .. })), "{told:?}");
}

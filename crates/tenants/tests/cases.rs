//! Tables of orders and changes, each on what the one before it left.

use fallgap_config::{Configuration, Faults, read_configuration};
use fallgap_tenants::{
    Carried, Change, KeyHash, Ledger, Maker, Order, Plan, Refused, join, plan, read_change, read_order,
    shown_accounts, shown_office, shown_plan, shown_stale, undo,
};

const ROUTE_FIELDS: &str = r#"["depot","lane_prefix","route_class","service","priority","attempts"]"#;

fn configuration(edition: u64, services: &[&str], routes: &str) -> Configuration {
    let services: Vec<String> = services.iter().map(|name| format!(r#"["{name}"]"#)).collect();
    let text = format!(
        r#"{{"edition":{edition},"routes":{{"fields":{ROUTE_FIELDS},"entries":[{routes}]}},
            "services":{{"fields":["name"],"entries":[{}]}}}}"#,
        services.join(",")
    );
    read_configuration(text.as_bytes()).unwrap()
}

fn operator() -> Configuration {
    let routes = r#"["h","/","safe","s",1,1],["h","/a/kept/","safe","s",1,1]"#;
    configuration(1, &["s", "t", "u"], routes)
}

fn hash(key: &str) -> String {
    KeyHash::of(key).to_string()
}

fn account(edition: u64, limits: &str, offices: &str) -> String {
    format!(
        r#"{{"edition":{edition},"areas":[{{"depot":"H","lane_prefix":"/a/"}}],"classes":["safe","outbound"],
            "services":[{{"service":"s"}},{{"service":"t","share":0.5}}],"limits":{{{limits}}},"offices":[{offices}]}}"#
    )
}

fn two_offices() -> String {
    let (north, south) = (hash("kn"), hash("ks"));
    format!(
        r#"{{"id":"north","keys":["{north}"],"limits":{{"routes":3,"changes_a_minute":9}}}},
           {{"id":"south","keys":["{south}"],"areas":[{{"depot":"h","lane_prefix":"/a/south/"}}]}}"#
    )
}

fn ordered(ledger: &Ledger, id: &str, body: &str) -> Ledger {
    let order = read_order(id, body.as_bytes(), ledger).unwrap_or_else(|faults| panic!("{faults}"));
    match order.carried_out(ledger, id) {
        Carried::Out(next) => next,
        other => panic!("a newer edition: {other:?}"),
    }
}

fn ledger() -> Ledger {
    ordered(&Ledger::default(), "survey", &account(1, r#""routes":4"#, &two_offices()))
}

fn change(base: u64, put: &str, remove: &str) -> Change {
    let text = format!(
        r#"{{"base":{base},"put":{{"fields":{ROUTE_FIELDS},"entries":[{put}]}},"remove":[{remove}]}}"#
    );
    read_change(text.as_bytes(), &operator()).unwrap()
}

fn maker(office: &str, at: u64) -> Maker<'_> {
    Maker { office, at, idempotency_key: at, key: "k".into() }
}

/// Nothing is another but what is remembered of orders, and that the office made one more.
fn assert_only_remembered(before: &Ledger, office: &str, plan: &Plan) {
    assert_eq!(plan.steps, [], "{}", shown_plan(plan));
    let mut next = plan.next.clone().unwrap();
    assert_eq!(next.made.pop_back().map(|made| (made.office, made.touched)), Some((office.to_owned(), 0)));
    next.revision -= 1;
    for account in next.accounts.values_mut() {
        if let Some(held) = account.offices.get_mut(office) {
            assert!(held.recent.pop().is_some());
            held.recent.clone_from(&before.office(office).unwrap().2.recent);
        }
    }
    assert_eq!(next, *before);
}

fn asked(ledger: &Ledger, office: &str, put: &str, remove: &str) -> Result<Plan, Refused> {
    let base = ledger.office(office).map_or(0, |(_, _, office)| office.edition);
    plan(ledger, &operator(), &maker(office, 1000), &change(base, put, remove))
}

fn applied(ledger: &Ledger, office: &str, put: &str, remove: &str) -> Ledger {
    asked(ledger, office, put, remove).unwrap().next.expect("something changes")
}

fn told(result: Result<Plan, Refused>) -> String {
    match result {
        Ok(plan) => format!("{} steps", plan.steps.len()),
        Err(refused) => refused.to_string(),
    }
}

#[test]
fn a_change_is_checked_whole_and_each_fault_has_its_place() {
    let ledger = applied(&ledger(), "south", r#"["h","/a/south/x/","safe","s",1,1]"#, "");
    let rows = [
        (r#"["h","/a/x/","safe","s",1,1]"#, "", "1 steps"),
        // Under the operator's route at the root: that is what the area is granted out of.
        (r#"["h","/a/","safe","s",1,2]"#, "", "1 steps"),
        (r#"["h","/b/x/","safe","s",1,1]"#, "", "/put/entries/0: h/b/x/ is in no area of the office"),
        (r#"["g","/a/x/","safe","s",1,1]"#, "", "/put/entries/0: g/a/x/ is in no area of the office"),
        (r#"["h","/a/x/","fragile","s",1,1]"#, "", "/put/entries/0: class fragile is not granted"),
        (r#"["h","/a/x/","safe","u",1,1]"#, "", "/put/entries/0: service u is not granted"),
        (
            r#"["h","/a/x/","safe","t",1,1]"#,
            "",
            "/put/entries/0: service t gets a share of 1.000, granted are 0.500",
        ),
        (
            r#"["h","/a/x/","safe","s",0,9]"#,
            "",
            "/put/entries/0: priority 0 is better than 1, the best that is granted\n\
             /put/entries/0: 9 attempts, granted are 2",
        ),
        (
            r#"["h","/a/kept/","safe","s",1,1],["h","/a/kept/in/","safe","s",1,1]"#,
            "",
            "/put/entries/0: takes requests from the operator's route h/a/kept/\n\
             /put/entries/1: takes requests from the operator's route h/a/kept/",
        ),
        (
            r#"["h","/a/south/x/","safe","s",1,1],["h","/a/south/x/y/","safe","s",1,1],["h","/a/south/","safe","s",1,1]"#,
            "",
            "/put/entries/0: takes requests from h/a/south/x/, which office south has\n\
             /put/entries/1: takes requests from h/a/south/x/, which office south has",
        ),
        (
            r#"["h","/a/1/","safe","s",1,1],["h","/a/2/","safe","s",1,1],["h","/a/3/","safe","s",1,1],["h","/a/4/","safe","s",1,1]"#,
            r#"{"depot":"h","lane_prefix":"/a/none/"}"#,
            "/remove/0: the office has no route h/a/none/\n\
             the office would have 4 routes, 3 at most\nthe account would have 5 routes, 4 at most",
        ),
    ];
    for (put, remove, wanted) in rows {
        assert_eq!(told(asked(&ledger, "north", put, remove)), wanted, "{put}");
    }
    assert_eq!(told(asked(&ledger, "west", "", "")), "no such office");
}

#[test]
fn what_cannot_be_read_is_told_at_once() {
    let read = |text: &str| read_change(text.as_bytes(), &operator()).unwrap_err().to_string();
    let rows = [
        (
            "{}",
            "/base: missing; expected a whole number from 0 on\n/put: missing; expected a table of routes, or remove",
        ),
        (
            r#"{"base":1,"put":{"fields":["depot","lane_prefix","route_class","sorting"],
               "entries":[["h","/a","safe",[{"service":"s","share":0}]],["h","/a/","safe",[{"service":"no","share":1}]]]}}"#,
            "/put/entries/0/lane_prefix: expected a prefix between slashes, found \"/a\"\n\
             /put/entries/0/sorting: the shares add up to 0\n/put/entries/1/sorting/0/service: unknown service no",
        ),
    ];
    for (text, wanted) in rows {
        assert_eq!(read(text), wanted);
    }
}

#[test]
fn orders_are_checked_against_other_accounts() {
    let ledger = ledger();
    let faults = |id: &str, body: &str| {
        let read: Result<Order, Faults> = read_order(id, body.as_bytes(), &ledger);
        read.map_or_else(|faults| faults.to_string(), |_| "in order".into())
    };
    let area = |prefix: &str, offices: &str| {
        format!(r#"{{"edition":1,"areas":[{{"depot":"h","lane_prefix":"{prefix}"}}],"offices":[{offices}]}}"#)
    };
    let key = hash("kn");
    let rows = [
        ("census", area("/c/", ""), "in order"),
        ("census", area("/a/in/", ""), "/areas/0: h/a/in/ is granted to account survey"),
        ("census", area("/", ""), "/areas/0: h/ is granted to account survey"),
        ("census", area("/c/", r#"{"id":"north"}"#), "/offices: north is an office of account survey"),
        (
            "census",
            area("/c/", &format!(r#"{{"id":"west","keys":["{key}"]}}"#)),
            "/offices: a key of west stands twice",
        ),
        (
            "census",
            area("/c/", r#"{"id":"we/st","keys":["secret"],"areas":[{"depot":"h","lane_prefix":"/d/"}]}"#),
            "/offices/0/id: expected a name of letters, digits, dots, dashes and underscores, found \"we/st\"\n\
             /offices/0/areas: h/d/ is in no area of the account\n\
             /offices/0/keys/0: expected a key's hash, 64 hexadecimal digits",
        ),
        (
            "we st",
            area("/c/", ""),
            "/(path): expected a name of letters, digits, dots, dashes and underscores, found \"we st\"",
        ),
        ("survey", account(1, "", ""), "in order"),
    ];
    for (id, body, wanted) in rows {
        assert_eq!(faults(id, &body), wanted);
    }
    let again = read_order("survey", account(1, "", "").as_bytes(), &ledger).unwrap();
    // Held with other content, from the ledger above: an edition that is not newer changes nothing.
    assert_eq!(again.carried_out(&ledger, "survey"), Carried::Differs { edition: 1 });
}

#[test]
fn stale_changes_are_told_what_changed_and_changes_are_taken_back() {
    let x = |priority: u8| format!(r#"["h","/a/x/","safe","s",{priority},1]"#);
    let first = applied(&ledger(), "north", &x(1), "");
    let (_, _, office) = first.office("north").unwrap();
    assert_eq!((first.revision, office.edition, office.routes.len()), (2, 2, 1));
    // Another office's change is no reason to begin anew.
    let second = applied(&first, "south", r#"["h","/a/south/x/","safe","s",1,1]"#, "");
    let third = applied(&second, "north", &x(2), "");
    assert_eq!(third.office("north").unwrap().2.edition, 4);
    match plan(&third, &operator(), &maker("north", 1), &change(2, &x(3), "")) {
        Err(Refused::Stale { edition: 4, changed }) => {
            assert_eq!(changed.len(), 1);
            assert!(shown_stale(4, &changed).contains(r#"{"depot":"h","lane_prefix":"/a/x/","now":["#));
        }
        other => panic!("{other:?}"),
    }
    // The same once more changes nothing, and is remembered.
    assert_only_remembered(&third, "north", &asked(&third, "north", &x(2), "").unwrap());
    let back = |ledger: &Ledger, base| undo(ledger, &operator(), &maker("north", 2000), base).map(|p| p.next);
    assert!(matches!(back(&third, 2), Err(Refused::Stale { .. })));
    let fourth = back(&third, 4).unwrap().unwrap();
    let (_, _, office) = fourth.office("north").unwrap();
    assert_eq!(office.routes[0].priority, 1);
    let fifth = back(&fourth, 5).unwrap().unwrap();
    assert_eq!(fifth.office("north").unwrap().2.routes[0].priority, 2);
    assert_eq!(back(&ledger(), 0).unwrap_err(), Refused::NothingToUndo);
    // What is taken back is checked as well: meanwhile the service may be gone.
    let without = configuration(2, &["t"], "");
    let refused = undo(&fifth, &without, &maker("north", 2000), 6).unwrap_err().to_string();
    assert_eq!(refused, "/put/entries/0: the operator has no service s");
    assert_eq!(Ledger::decode(&fifth.encode()), Ok(fifth.clone()));
    assert!(Ledger::decode(&fifth.encode()[..9]).is_err());
}

#[test]
fn an_office_may_change_so_often_within_a_minute() {
    let mut held = ledger();
    let put = |n: usize| change(held_edition(n), &format!(r#"["h","/a/x/","safe","s",{n},1]"#), "");
    fn held_edition(n: usize) -> u64 {
        if n == 1 { 0 } else { n as u64 }
    }
    for n in 1..=9 {
        held = plan(&held, &operator(), &maker("north", 100 + n as u64), &put(n)).unwrap().next.unwrap();
    }
    let at = |at: u64| plan(&held, &operator(), &maker("north", at), &put(10));
    assert_eq!(at(110), Err(Refused::Often(std::time::Duration::from_secs(51))));
    // Also one that alters nothing: it is written too.
    let same = change(held_edition(10), r#"["h","/a/x/","safe","s",9,1]"#, "");
    let same = plan(&held, &operator(), &maker("north", 110), &same);
    assert_eq!(same, Err(Refused::Often(std::time::Duration::from_secs(51))));
    assert!(at(161).is_ok());
    // A clock that was far ahead does not shut an office out.
    assert!(at(20).is_ok());
}

#[test]
fn keys_open_their_own_office_until_an_order_leaves_them_out() {
    let ledger = ledger();
    let opens = |ledger: &Ledger, office: &str, key: &str| ledger.opens(office, &KeyHash::of(key));
    assert!(opens(&ledger, "north", "kn") && opens(&ledger, "south", "ks"));
    assert!(!opens(&ledger, "north", "ks") && !opens(&ledger, "west", "kn") && !opens(&ledger, "north", ""));
    let both = two_offices()
        .replace(&format!(r#""{}""#, hash("kn")), &format!(r#""{}","{}""#, hash("kn"), hash("k2")));
    let ledger = ordered(&ledger, "survey", &account(2, "", &both));
    assert!(opens(&ledger, "north", "kn") && opens(&ledger, "north", "k2"));
    let ledger =
        ordered(&ledger, "survey", &account(3, "", &two_offices().replace(&hash("kn"), &hash("k2"))));
    assert!(!opens(&ledger, "north", "kn") && opens(&ledger, "north", "k2"));
}

/// The operator's newer edition wins: what fits no more goes out of force, is told, and comes back with the reason
/// gone.
#[test]
fn in_force_is_what_fits_under_the_operator() {
    let held =
        applied(&ledger(), "north", r#"["h","/a/x/","safe","s",1,1],["h","/a/y/","outbound","s",1,1]"#, "");
    let places = |operator: &Configuration, ledger: &Ledger| {
        let joined = join(operator, ledger);
        let configuration = joined.configuration;
        let licences = configuration.licences.clone().expect("there are accounts");
        let offices = configuration.routes.iter().enumerate().map(|(at, route)| {
            let owner = licences.owner(at).map_or("-", |owner| &*licences.offices[owner].name);
            format!("{}{} {owner}", route.depot, route.lane_prefix)
        });
        let unfit = joined.unfit.iter().map(|(_, place, why)| format!("{}: {}", place.1, why[0]));
        let notes = configuration.notes();
        let notes = notes.iter().map(|(key, text)| (key.as_str(), text.as_str()));
        assert_eq!(Configuration::from_notes(notes).as_ref(), Some(&configuration));
        assert_eq!(join(operator, ledger).configuration, configuration);
        (offices.collect::<Vec<_>>().join(", "), unfit.collect::<Vec<_>>().join(", "))
    };
    let both = "h/ -, h/a/kept/ -, h/a/x/ north, h/a/y/ north";
    let lowered = ordered(&held, "survey", &account(2, r#""routes":1"#, &two_offices()));
    let gone = ordered(&held, "survey", &account(2, "", ""));
    let moved = ordered(
        &held,
        "survey",
        &account(2, "", &two_offices()).replace("/a/\"", "/b/\"").replace("/a/south", "/b/south"),
    );
    let taken = configuration(2, &["s"], r#"["h","/a/x/","safe","s",1,1]"#);
    let rows = [
        (operator(), &held, both, ""),
        (taken, &held, "h/a/x/ -, h/a/y/ north", "/a/x/: takes requests from the operator's route h/a/x/"),
        (
            configuration(3, &["t"], ""),
            &held,
            "",
            "/a/x/: the operator has no service s, /a/y/: the operator has no service s",
        ),
        (
            operator(),
            &lowered,
            "h/ -, h/a/kept/ -, h/a/x/ north",
            "/a/y/: more than the 1 routes of the account",
        ),
        (operator(), &gone, "h/ -, h/a/kept/ -", ""),
        (
            operator(),
            &moved,
            "h/ -, h/a/kept/ -",
            "/a/x/: h/a/x/ is in no area of the office, /a/y/: h/a/y/ is in no area of the office",
        ),
    ];
    for (operator, ledger, routes, unfit) in rows {
        assert_eq!(places(&operator, ledger), (routes.to_owned(), unfit.to_owned()));
    }
    let plain = join(&operator(), &Ledger::default()).configuration;
    assert_eq!(plain, operator(), "without accounts nothing is different");
    let joined = join(&operator(), &lowered);
    let (_, account, office) = lowered.office("north").unwrap();
    let shown = shown_office("north", account, office, &joined);
    assert!(shown.contains(r#""why":["more than the 1 routes of the account"]"#), "{shown}");
    // What an office reads can be put as it stands.
    let table = shown.split_once(r#""routes":"#).unwrap().1.split_once(r#","unfit""#).unwrap().0;
    let text = format!(r#"{{"base":2,"put":{table}}}"#);
    let same = read_change(text.as_bytes(), &operator()).unwrap();
    let plan = plan(&held, &operator(), &maker("north", 1), &same).unwrap();
    assert_only_remembered(&held, "north", &plan);
    let all = shown_accounts(&lowered, &joined);
    assert!(all.contains(r#""revision":3"#) && all.contains(&hash("kn")[..8]) && !all.contains(&hash("kn")));
}

/// Two numbers rise apart; what is in force goes back in neither.
#[test]
fn in_force_never_goes_back() {
    let at = |edition, revision| {
        let ledger = Ledger { revision, ..Ledger::default() };
        join(&configuration(edition, &["s"], ""), &ledger).configuration
    };
    let rows =
        [((2, 3), true), ((2, 4), true), ((3, 3), true), ((2, 2), false), ((1, 4), false), ((3, 0), false)];
    for ((edition, revision), follows) in rows {
        assert_eq!(at(edition, revision).follows(&at(2, 3)), follows, "{edition}, {revision}");
    }
}

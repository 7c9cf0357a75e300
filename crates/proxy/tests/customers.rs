//! Keys of customers and their quotas over loopback sockets: who gets to a server, and what it is told of them.

mod world;

use fallgap_config::{Before, Configuration, Customer, Customers};
use fallgap_proxy::{PeerMessage, Terms};
use fallgap_routing::{QuotaGrant, ViewTimes};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use world::*;

fn customer(name: &str, keys: &[&str], rate: f64) -> Customer {
    let keys = keys.iter().map(|key| (*key).into()).collect();
    Customer { name: name.into(), keys, priority: 1, rate_per_second: rate, burst: rate }
}

fn with_customers(list: Vec<Customer>) -> Configuration {
    let mut configuration = configuration();
    let mut open = configuration.routes.last().expect("the safe one").clone();
    (open.lane_prefix, open.name, open.is_open) = ("/open/".into(), "open".into(), true);
    configuration.routes.push(open);
    configuration.routes.sort_by(|a, b| a.lane_prefix.cmp(&b.lane_prefix));
    configuration.customers = Customers::new(list).map(Arc::new);
    configuration
}

fn asked(path: &str, id: &str, lines: &str) -> String {
    get(path, id).replace("X-Deadline-Ms", &format!("{lines}X-Deadline-Ms"))
}

/// What a request told its server: id, customer, and whether a key came along.
type Told = (String, Option<String>, bool);

/// A server, and what requests told it.
fn telling() -> (Server, Arc<Mutex<Vec<Told>>>) {
    let told = Arc::new(Mutex::new(Vec::new()));
    let noted = told.clone();
    let server = Server::start("i-1", move |got| {
        let customers: Vec<&String> =
            got.lines.iter().filter(|line| line.to_lowercase().starts_with("x-tenant:")).collect();
        assert!(customers.len() <= 1, "{customers:?}");
        let key = got.line("X-Credential").is_some();
        noted.lock().unwrap().push((got.id().to_owned(), got.line("X-Tenant").map(str::to_owned), key));
        Does::Sends(ok(got, "bytes"))
    });
    (server, told)
}

#[test]
fn keys_say_who_asks_and_go_no_further() {
    let (server, told) = telling();
    let world = World::new(Terms::default());
    world.view_of(
        with_customers(vec![customer("ann", &["a-1", "a-2"], 0.0), customer("bob", &["b-1"], 0.0)]),
        &[&server],
    );
    let cases = [
        ("/safe/", "1", "X-Credential: a-1\r\n", 200, Some(Some("ann"))),
        ("/safe/", "2", "x-credential: a-2\r\nX-TENANT: bob\r\n", 200, Some(Some("ann"))),
        ("/safe/", "3", "", 401, None),
        ("/safe/", "4", "X-Credential: c-1\r\n", 401, None),
        ("/safe/", "5", "X-Credential: a-1\r\nX-Credential: b-1\r\n", 401, None),
        ("/safe/", "6", "X-Credential: a-1\r\nConnection: X-Credential\r\n", 401, None),
        ("/safe/", "7", "X-Credential:\r\n", 401, None),
        ("/open/", "8", "", 200, Some(None)),
        ("/open/", "9", "X-Tenant: ann\r\n", 200, Some(None)),
        ("/open/", "10", "X-Credential: b-1\r\n", 200, Some(Some("bob"))),
        ("/open/", "11", "X-Credential: c-1\r\n", 401, None),
        ("/nowhere/", "12", "X-Credential: c-1\r\n", 404, None),
    ];
    for (path, id, lines, status, _) in cases {
        assert_eq!(world.client().ask(&asked(path, id, lines)).status, status, "{id}: {lines}");
    }
    let expected: Vec<Told> = cases
        .iter()
        .filter_map(|(_, id, _, _, customer)| {
            Some(((*id).to_owned(), customer.as_ref()?.map(str::to_owned), false))
        })
        .collect();
    assert_eq!(*told.lock().unwrap(), expected);
    assert_eq!(world.ask(|quay, _| quay.counters().no_key), 6);
}

#[test]
fn without_customers_what_a_client_says_of_itself_goes_along() {
    let (server, told) = telling();
    let world = World::with(&[&server]);
    let reply = world.client().ask(&asked("/safe/", "1", "X-Credential: a\r\nX-Tenant: t\r\n"));
    assert_eq!(reply.status, 200);
    assert_eq!(*told.lock().unwrap(), [("1".to_owned(), Some("t".to_owned()), true)]);
}

/// A key may have been taken away: who was told of nothing for too long goes by none. Routes without keys go on.
#[test]
fn keys_lapse_where_no_home_confirms_them() {
    let (server, _) = telling();
    let mut terms = Terms::default();
    terms.lease.keys = Some(Duration::ZERO);
    let world = World::new(terms);
    world.view_of(with_customers(vec![customer("ann", &["a-1"], 0.0)]), &[&server]);
    let with_key = || world.client().ask(&asked("/safe/", "1", "X-Credential: a-1\r\n"));
    let unknown = || world.client().ask(&asked("/safe/", "2", "X-Credential: a-9\r\n")).status;
    let committed = |at: Option<Duration>| ViewTimes {
        committed: at.map(|asked| Before { asked, age: Duration::ZERO }),
        confirmed: Some(Duration::MAX / 4),
        ..ViewTimes::default()
    };
    let reply = with_key();
    assert_eq!((reply.status, reply.line("retry-after").is_some()), (503, true));
    assert_eq!(world.client().ask(&asked("/open/", "3", "")).status, 200);
    assert_eq!(unknown(), 401);
    world.ask(move |quay, _| quay.view_times(committed(Some(Duration::MAX / 2))));
    assert_eq!(with_key().status, 200);
    world.ask(move |quay, _| quay.view_times(ViewTimes::default()));
    assert_eq!((with_key().status, unknown()), (503, 503), "a key may have been added since");
    let tales = world.ask(|quay, now| quay.tales(now, Some("1"), 9));
    assert_eq!(tales[0].why.word(), "keys-lapsed");
}

#[test]
fn a_limited_customer_is_served_as_far_as_its_home_grants() {
    let (server, told) = telling();
    let granted = Arc::new(Mutex::new(3));
    let left = granted.clone();
    let others: Others = Box::new(move |quay, now, message| {
        let PeerMessage::Quota(ask) = message else { return };
        let mut left = left.lock().unwrap();
        let granted = ask.needs.min(*left);
        *left -= granted;
        quay.quota_granted(
            now,
            &QuotaGrant { customer: ask.customer, granted, is_over: granted < ask.needs },
        );
    });
    let world = World::among(Terms::default(), others);
    world.view_of(
        with_customers(vec![customer("ann", &["a-1"], 10.0), customer("bob", &["b-1"], 0.0)]),
        &[&server],
    );
    let ask =
        |id: &str, key: &str| world.client().ask(&asked("/safe/", id, &format!("X-Credential: {key}\r\n")));
    let statuses: Vec<u16> = (0..5).map(|n| ask(&n.to_string(), "a-1").status).collect();
    assert_eq!(statuses, [200, 200, 200, 429, 429]);
    assert!(ask("6", "a-1").line("retry-after").is_some());
    assert_eq!(ask("7", "b-1").status, 200, "others are not held up");
    assert_eq!(told.lock().unwrap().len(), 4);
    let tales = world.ask(|quay, now| quay.tales(now, Some("3"), 9));
    assert_eq!(tales[0].why.word(), "over-quota");
}

#[test]
fn without_a_home_a_limited_customer_is_told_to_come_back() {
    let (server, told) = telling();
    let mut terms = Terms::default();
    terms.quota.patience = ms(40);
    let world = World::new(terms);
    world.view_of(with_customers(vec![customer("ann", &["a-1"], 10.0)]), &[&server]);
    let reply = world.client().ask(&asked("/safe/", "1", "X-Credential: a-1\r\n"));
    assert_eq!((reply.status, reply.line("retry-after").is_some()), (503, true));
    assert!(told.lock().unwrap().is_empty());
}

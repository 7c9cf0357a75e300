use super::*;
use fallgap_config::Customer;

const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const FRONT: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn quotas() -> Quotas {
    Quotas::new(ME, QuotaTerms::default())
}

fn customers() -> Customers {
    let one = |name: &str, rate| Customer {
        name: name.into(),
        keys: Vec::new(),
        priority: 1,
        rate_per_second: rate,
        burst: rate,
    };
    Customers::new(vec![one("ann", 10.0), one("bob", 0.0)]).expect("they differ")
}

fn ask(customer: &str) -> QuotaAsk {
    QuotaAsk { customer: customer.into(), needs: 1, holds: 0, wants: 0, returns: 0 }
}

/// No lock is known to be held.
fn nobody(_: &str) -> Option<String> {
    None
}

/// Has all locks, with that fence.
fn hold_all(quotas: &mut Quotas, now: Duration, fence: u64) {
    for (shard, call) in quotas.woke(now, &[ME], nobody, true) {
        assert!(matches!(call, Call::LockStart { .. }));
        quotas.answered(now + ms(20), shard, &Answer::Fence(fence));
    }
}

#[test]
fn only_who_holds_the_lock_grants_and_no_longer_than_it_holds() {
    let (mut quotas, customers) = (quotas(), customers());
    assert_eq!(quotas.ask(ms(0), FRONT, &customers, &ask("ann")), None);
    hold_all(&mut quotas, ms(0), 1);
    assert_eq!(quotas.parts_held(ms(20)), SHARDS as usize);
    assert!(quotas.ask(ms(100), FRONT, &customers, &ask("ann")).is_some());
    assert_eq!(quotas.ask(ms(100), FRONT, &customers, &ask("bob")), None, "it has no limit");
    assert_eq!(quotas.ask(ms(100), FRONT, &customers, &ask("eve")), None, "it is no customer");
    let over = HOLD - HOLD_MARGIN;
    assert!(quotas.ask(over - ms(1), FRONT, &customers, &ask("ann")).is_some());
    assert_eq!(quotas.ask(over, FRONT, &customers, &ask("ann")), None, "counted from when it was asked for");
}

#[test]
fn a_lock_that_goes_on_keeps_the_bucket_and_another_begins_anew() {
    let (mut quotas, customers) = (quotas(), customers());
    hold_all(&mut quotas, ms(0), 1);
    let granted =
        |quotas: &mut Quotas, now| quotas.ask(now, FRONT, &customers, &ask("ann")).map(|grant| grant.granted);
    assert_eq!(granted(&mut quotas, ms(700)), Some(1));
    hold_all(&mut quotas, ms(900), 1);
    assert_eq!(granted(&mut quotas, ms(930)), Some(1), "what came in since the start is there");
    hold_all(&mut quotas, ms(1800), 2);
    assert_eq!(granted(&mut quotas, ms(1830)), Some(0), "another may have granted in between");
}

#[test]
fn a_lock_that_is_anothers_or_is_not_to_be_held_is_let_go_of() {
    let mut quotas = quotas();
    hold_all(&mut quotas, ms(0), 1);
    for (shard, _) in quotas.woke(ms(900), &[ME], nobody, true) {
        quotas.answered(ms(910), shard, &Answer::Held);
    }
    assert_eq!(quotas.parts_held(ms(920)), 0);
    hold_all(&mut quotas, ms(1800), 3);
    let ends = quotas.woke(ms(2700), &[ME], nobody, false);
    assert_eq!(ends.len(), SHARDS as usize);
    assert!(ends.iter().all(|(_, call)| matches!(call, Call::LockEnd { fence: 3, .. })));
    assert_eq!(quotas.parts_held(ms(2700)), 0);
    assert!(quotas.next_wake().is_some_and(|at| at > ms(2700)), "it comes to rest");
}

#[test]
fn a_call_without_an_answer_is_made_again() {
    let mut quotas = quotas();
    assert_eq!(quotas.woke(ms(0), &[ME], nobody, true).len(), SHARDS as usize);
    assert!(quotas.woke(ms(900), &[ME], nobody, true).is_empty());
    assert_eq!(quotas.woke(ms(1000), &[ME], nobody, true).len(), SHARDS as usize);
}

#[test]
fn a_lock_that_nobody_takes_is_taken_by_another_keeper_in_turn() {
    let mut quotas = quotas();
    let keepers = [ME, OTHER];
    let first: Vec<u32> = (0..SHARDS).filter(|shard| order(*shard, &keepers).first() == Some(&ME)).collect();
    let asked = |calls: Vec<(u32, Call)>| calls.into_iter().map(|(shard, _)| shard).collect::<Vec<_>>();
    assert_eq!(asked(quotas.woke(ms(0), &keepers, nobody, true)), first);
    first.iter().for_each(|shard| quotas.answered(ms(10), *shard, &Answer::Fence(1)));
    let others =
        |name: &str| (!first.iter().any(|shard| lock_name(*shard) == name)).then(|| "other".to_owned());
    let again = asked(quotas.woke(ms(900), &keepers, others, true));
    assert_eq!(again, first, "the rest is held by another");
    first.iter().for_each(|shard| quotas.answered(ms(910), *shard, &Answer::Fence(1)));
    // The other one's locks have ended, and it takes none of them up.
    assert!(asked(quotas.woke(ms(1350), &keepers, nobody, true)).is_empty());
    let taken = asked(quotas.woke(ms(1350) + TURN + RETRY, &keepers, nobody, true));
    assert_eq!(taken.len(), SHARDS as usize, "with its own, which it renews");
}

#[test]
fn the_home_of_a_part_is_looked_for_among_keepers_one_after_the_other() {
    let mut quotas = quotas();
    let keepers = [ME, OTHER];
    let first = quotas.home_of(ms(0), "ann", &keepers).expect("there are some");
    let second = if first == ME { OTHER } else { ME };
    let name: Arc<str> = "ann".into();
    assert!(!quotas.not_home(&name, second, &keepers), "it was not asked");
    assert!(quotas.not_home(&name, first, &keepers));
    assert_eq!(quotas.home_of(ms(1), "ann", &keepers), Some(second));
    assert!(!quotas.not_home(&name, second, &keepers), "the first one again, later");
    assert_eq!(quotas.home_of(ms(2), "ann", &keepers), Some(first));
    // It does not answer.
    assert_eq!(quotas.home_of(ms(300), "ann", &keepers), Some(first));
    assert_eq!(quotas.home_of(ms(2) + SILENT_HOME, "ann", &keepers), Some(second));
    quotas.home_answers("ann", second, &keepers);
    assert_eq!(quotas.home_of(ms(2000), "ann", &keepers), Some(second));
    assert_eq!(quotas.home_of(ms(2000), "ann", &[]), None);
}

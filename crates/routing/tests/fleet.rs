//! Picks, records and the budget of further tries.

use fallgap_config::{Berth, Configuration, Limits, RouteClass, Service, View};
use fallgap_routing::{Budget, Ended, Fleet, ServerKey, ServiceKey, Terms};
use std::collections::BTreeMap;
use std::sync::Arc;

mod common;
use common::ms;

fn berth(id: usize, zone: &str, weight: f64) -> Berth {
    let address = format!("10.0.0.{id}:80").parse().unwrap();
    Berth { id: format!("i-{id}").into(), service: "s".into(), address, zone: zone.into(), slots: 3, weight }
}

fn view(berths: Vec<Berth>) -> View {
    let services = vec![Service { name: "s".into(), health_path: "/".into(), line_cap: 130, dedupes: false }];
    let limits = Limits { header_bytes: 1, body_bytes: 1, header: ms(1), idle: ms(1) };
    View {
        configuration: Arc::new(Configuration {
            edition: 1,
            routes: vec![],
            services,
            limits,
            customers: None,
            licences: None,
        }),
        berths,
    }
}

fn fleet(berths: Vec<Berth>) -> (Fleet, ServiceKey) {
    let mut fleet = Fleet::new("near".into(), Terms::default(), 1);
    fleet.view(&view(berths));
    let service = fleet.sorted(&[("s".into(), 1.0)]).unwrap();
    (fleet, service)
}

fn pick(fleet: &mut Fleet, at: u64, service: ServiceKey, skip: &[ServerKey]) -> Option<ServerKey> {
    fleet.pick(ms(at), service, RouteClass::Safe, ms(250), skip)
}

/// How often each is picked in a thousand.
fn counts(fleet: &mut Fleet, at: u64, service: ServiceKey) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..1000 {
        let key = pick(fleet, at, service, &[]).unwrap();
        *counts.entry(fleet.server(key).unwrap().id.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn the_heavier_the_nearer_and_the_less_loaded_is_picked_more() {
    let (mut fleet, service) =
        fleet(vec![berth(1, "near", 2.0), berth(2, "near", 1.0), berth(3, "far", 1.0)]);
    let at_rest = counts(&mut fleet, 0, service);
    assert!(at_rest["i-1"] > at_rest["i-2"] && at_rest["i-2"] > at_rest["i-3"], "{at_rest:?}");
    let mut taken = Vec::new();
    while let Some(key) = pick(&mut fleet, 0, service, &[]) {
        fleet.began(ms(0), key);
        taken.push(key);
    }
    // Three slots and two more at each.
    assert_eq!(taken.len(), 15);
    fleet.ended(ms(1), taken[0], RouteClass::Safe, Ended::Good(ms(60)));
    assert_eq!(pick(&mut fleet, 1, service, &[]), Some(taken[0]));
    assert_eq!(pick(&mut fleet, 1, service, &[taken[0]]), None);
}

/// A base weight comes from the slots: counted twice, the larger server of two got all until it was over its slots.
#[test]
fn slots_count_once() {
    let of = |id, slots, weight| Berth { slots, ..berth(id, "near", weight) };
    let (mut fleet, service) = fleet(vec![of(1, 2, 0.5), of(2, 6, 1.5)]);
    let mut at_small = 0;
    for _ in 0..8 {
        let key = pick(&mut fleet, 0, service, &[]).unwrap();
        fleet.began(ms(0), key);
        at_small += usize::from(&*fleet.server(key).unwrap().id == "i-1");
    }
    assert!((1..=3).contains(&at_small), "{at_small}");
}

/// Fails where the own zone is only drawn more often: a third of the large answers crossed zones for nothing.
#[test]
fn large_answers_come_from_the_own_zone_while_it_serves_well() {
    let (mut fleet, service) = fleet(vec![berth(1, "near", 1.0), berth(2, "far", 1.0), berth(3, "far", 1.0)]);
    let large = |fleet: &mut Fleet, skip: &[ServerKey]| {
        fleet.pick(ms(0), service, RouteClass::Outbound, ms(250), skip).unwrap()
    };
    let near = large(&mut fleet, &[]);
    for _ in 0..3 {
        assert_eq!(large(&mut fleet, &[]), near);
        fleet.began(ms(0), near);
    }
    // Its slots are taken; or it was asked already; or it is slow.
    assert!((0..20).any(|_| large(&mut fleet, &[]) != near));
    (0..3).for_each(|_| fleet.ended(ms(50), near, RouteClass::Safe, Ended::Good(ms(50))));
    assert_eq!(large(&mut fleet, &[]), near);
    assert_ne!(large(&mut fleet, &[near]), near);
    for _ in 0..20 {
        fleet.began(ms(50), near);
        fleet.ended(ms(250), near, RouteClass::Safe, Ended::Good(ms(200)));
    }
    assert!((0..100).any(|_| large(&mut fleet, &[]) != near));
}

#[test]
fn a_server_that_fails_is_left_alone_and_then_tried_by_one() {
    let (mut fleet, service) = fleet(vec![berth(1, "near", 1.0), berth(2, "near", 1.0)]);
    let first = pick(&mut fleet, 0, service, &[]).unwrap();
    for _ in 0..3 {
        fleet.began(ms(0), first);
        fleet.ended(ms(0), first, RouteClass::Safe, Ended::Failed);
    }
    let other = pick(&mut fleet, 499, service, &[]).unwrap();
    assert_ne!(other, first);
    assert_eq!(counts(&mut fleet, 499, service).len(), 1);
    // With no other it is asked all the same.
    assert_eq!(pick(&mut fleet, 499, service, &[other]), Some(first));
    assert_eq!(counts(&mut fleet, 500, service).len(), 2);
    fleet.began(ms(500), first);
    assert_eq!(counts(&mut fleet, 500, service).len(), 1);
    fleet.ended(ms(510), first, RouteClass::Safe, Ended::Unreached);
    assert_eq!(counts(&mut fleet, 1500, service).len(), 1);
    fleet.began(ms(1510), first);
    fleet.ended(ms(1520), first, RouteClass::Safe, Ended::Good(ms(10)));
    assert_eq!(counts(&mut fleet, 1520, service).len(), 2);
    // Another one lives at its address now.
    fleet.began(ms(1600), first);
    fleet.ended(ms(1610), first, RouteClass::Safe, Ended::Other);
    assert_eq!(pick(&mut fleet, 100_000, service, &[other]), None);
}

#[test]
fn what_the_view_lacks_is_picked_no_more() {
    let (mut fleet, service) = fleet(vec![berth(1, "near", 1.0), berth(2, "near", 1.0)]);
    let gone = fleet.view(&view(vec![berth(2, "near", 1.0), berth(3, "near", 1.0)]));
    assert_eq!(gone.len(), 1);
    assert!(fleet.server(gone[0].0).is_none());
    let ids: Vec<String> = counts(&mut fleet, 0, service).into_keys().collect();
    assert_eq!(ids, ["i-2", "i-3"]);
    fleet.view(&view(vec![]));
    assert_eq!(pick(&mut fleet, 0, service, &[]), None);
}

#[test]
fn reports_tell_what_was_seen_once() {
    let (mut fleet, service) = fleet(vec![berth(1, "near", 1.0)]);
    let key = pick(&mut fleet, 0, service, &[]).unwrap();
    for how in [Ended::Good(ms(40)), Ended::Good(ms(60)), Ended::Silent(ms(400)), Ended::Shed, Ended::Void] {
        fleet.began(ms(0), key);
        fleet.ended(ms(0), key, RouteClass::Safe, how);
    }
    let reports = fleet.reports(ms(2000));
    let told = (reports[0].kinds[0].runs, reports[0].kinds[0].failed, reports[0].good_ms.round());
    assert_eq!((reports.len(), told), (1, (4, 1, 50.0)));
    assert_eq!(fleet.reports(ms(2000)), []);
}

#[test]
fn a_pressed_service_refuses_the_lowest_rank_first() {
    let (mut fleet, service) = fleet(vec![berth(1, "near", 1.0)]);
    let key = pick(&mut fleet, 0, service, &[]).unwrap();
    let (mut high, mut low) = (0, 0);
    for step in 0..4000 {
        high += usize::from(fleet.arrives(ms(step), service, 1));
        low += usize::from(fleet.arrives(ms(step), service, 0));
        fleet.sends(ms(step), service, false);
        fleet.began(ms(step), key);
        fleet.ended(
            ms(step),
            key,
            RouteClass::Safe,
            if step % 2 == 0 { Ended::Shed } else { Ended::Good(ms(60)) },
        );
    }
    assert!(low < 2500 && high > low + 1000, "{low} {high}");
    // Nothing is turned away any more.
    assert!((0..100).all(|step| fleet.arrives(ms(20_000 + step), service, 0)));
}

/// Over all windows that end with a further arrival: no more than the part of the requests and of the slack.
#[test]
fn the_budget_holds_in_every_window() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = Budget::new(0.2, 64.0, ms(10_000));
        let (mut now, mut firsts, mut extras) = (0, Vec::new(), Vec::new());
        for _ in 0..2000 {
            let pace = [2, 20, 200][rng.usize(0..3)];
            now += rng.u64(0..pace);
            if rng.f64() < 0.02 {
                now += rng.u64(0..12_000);
            }
            if rng.bool() {
                budget.first(ms(now));
                firsts.push(now);
            } else if budget.allows(ms(now), 4, 1.0) {
                budget.spend(ms(now));
                extras.push(now);
                let within = |times: &[u64]| times.iter().filter(|at| **at + 10_000 >= now).count() as f64;
                assert!(within(&extras) <= within(&firsts) * 0.2 + 64.0 / 4.0, "seed {seed} at {now}");
            }
        }
        assert!(extras.len() > 20, "seed {seed}: {}", extras.len());
    }
}

/// Fails where each supervisor asks any server: it then meets each too seldom to have a connection at rest.
#[test]
fn supervisors_keep_to_stretches_that_meet_all_servers_alike() {
    let (supervisors, servers) = (20, 100);
    let berths: Vec<Berth> = (0..servers).map(|id| berth(id, "near", 1.0)).collect();
    let mut met: BTreeMap<String, usize> = BTreeMap::new();
    let mut before = Vec::new();
    for place in 0..supervisors {
        let (mut fleet, service) = fleet(berths.clone());
        fleet.supervisors(place, supervisors);
        let own: Vec<String> = counts(&mut fleet, 0, service).into_keys().collect();
        assert_eq!(own.len(), 40);
        assert!(own != before);
        own.iter().for_each(|id| *met.entry(id.clone()).or_default() += 1);
        // One supervisor less: most of the stretch stays.
        fleet.supervisors(place.saturating_sub(1), supervisors - 1);
        let moved = counts(&mut fleet, 0, service);
        assert!(own.iter().filter(|id| moved.contains_key(*id)).count() >= 30);
        before = own;
    }
    assert_eq!((met.len(), met.values().min(), met.values().max()), (servers, Some(&8), Some(&8)));
    // Most of one's own are out: the others help.
    let (mut fleet, service) = fleet(berths);
    fleet.supervisors(3, supervisors);
    let own = counts(&mut fleet, 0, service).len();
    for _ in 0..25 {
        let key = pick(&mut fleet, 0, service, &[]).unwrap();
        (0..3).for_each(|_| {
            fleet.began(ms(0), key);
            fleet.ended(ms(0), key, RouteClass::Safe, Ended::Unreached);
        });
    }
    assert!(counts(&mut fleet, 1, service).len() > own);
}

use fallgap_config::RouteClass;
use fallgap_routing::Draught;
use std::sync::Arc;
use std::time::Duration;

#[test]
fn large_answers_are_sent_for_elsewhere_while_the_link_is_laden() {
    let (scan, target): (Arc<str>, _) = ("scan".into(), Duration::from_millis(1500));
    let wait = |ms| Some(Duration::from_millis(ms));
    // A thin link: 90 kB take 190 ms.
    let mut draught = Draught::new(3.8, 0.1);
    draught.brought(&scan, 90_000);
    let asks = |draught: &mut Draught, class, wait| draught.has_room(&scan, class, target, wait);
    assert!(asks(&mut draught, RouteClass::Outbound, wait(4000)), "nothing is at work");
    let bytes = draught.loads(&scan);
    let cases = [
        (RouteClass::Outbound, wait(4000), false, "one is at work"),
        (RouteClass::Outbound, wait(3980), false, "its connection took a moment"),
        (RouteClass::Outbound, wait(3900), true, "it has been elsewhere"),
        (RouteClass::Outbound, None, true, "it does not say how long it waits"),
        (RouteClass::Safe, wait(4000), true, "small answers are taken"),
    ];
    for (class, wait, taken, why) in cases {
        assert_eq!(asks(&mut draught, class, wait), taken, "{why}");
    }
    draught.unloads(bytes);
    assert!(asks(&mut draught, RouteClass::Outbound, wait(4000)), "it is over");
    // The same on a wide link.
    let mut wide = Draught::new(1000.0, 0.1);
    wide.brought(&scan, 90_000);
    let at_work: f64 = (0..20).map(|_| wide.loads(&scan)).sum();
    assert!(asks(&mut wide, RouteClass::Outbound, wait(4000)));
    wide.unloads(at_work);
}

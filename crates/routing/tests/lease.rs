use fallgap_routing::{Lease, ViewTimes};
use std::sync::Arc;
use std::time::Duration;

#[test]
fn what_may_have_been_missed_is_not_gone_by() {
    let ms = Duration::from_millis;
    let place = |prefix: &str| vec![(Arc::from("h"), Arc::from(prefix))];
    let mut lease = Lease::default();
    assert!(lease.doubts(ms(0), "h", "/a/", true) && !lease.doubts(ms(0), "h", "/a/", false));
    lease.holds(3);
    lease.view_times(ViewTimes { confirmed: Some(ms(1000)), ..ViewTimes::default() });
    assert!(lease.heed(ms(1000), 3, place("/a/")) && !lease.is_told());
    assert!(!lease.heed(ms(1000), 5, place("/a/")) && !lease.heed(ms(1000), 4, place("/b/")));
    // When, the path, whether its route is an office's, whether it is in doubt.
    let rows = [
        (1000, "/a/x", true, true),
        // A route that is new there was the operator's before.
        (1000, "/a/x", false, true),
        (1000, "/b/x", true, true),
        (1000, "/c/x", true, false),
        (2000, "/c/x", true, false),
        (2001, "/c/x", true, true),
        (2001, "/c/x", false, false),
        (6000, "/a/x", false, false),
    ];
    for (at, path, owned, doubted) in rows {
        assert_eq!(lease.doubts(ms(at), "h", path, owned), doubted, "{at} {path} {owned}");
    }
    assert!(!lease.doubts(ms(1000), "g", "/a/x", true));
    lease.holds(4);
    assert!(lease.doubts(ms(1000), "h", "/a/x", true) && !lease.doubts(ms(1000), "h", "/b/x", true));
    lease.holds(5);
    assert!(!lease.is_told());
    // More words than are kept: all routes of offices are in doubt instead.
    for revision in 6..=70 {
        lease.heed(ms(1000), revision, place("/n/"));
    }
    assert!(lease.doubts(ms(1000), "h", "/c/", true) && !lease.doubts(ms(1000), "h", "/c/", false));
    lease.holds(70);
    assert!(!lease.doubts(ms(1000), "h", "/c/", true));
}

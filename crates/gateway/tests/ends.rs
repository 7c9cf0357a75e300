//! When a keeper's word on a server's end is given.

use fallgap_gateway::ends::Ends;
use std::net::Ipv4Addr;
use std::time::Duration;

#[test]
fn an_end_is_told_when_followers_have_heard_of_it_or_in_time() {
    let ms = Duration::from_millis;
    let (one, other) = (Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2));
    let mut ends = Ends::default();
    ends.owe(one, 7, "i-1".into(), ms(600));
    // Asked again: it is told once.
    ends.owe(one, 7, "i-1".into(), ms(750));
    ends.owe(other, 7, "i-1".into(), ms(700));
    ends.owe(other, 8, "i-2".into(), ms(650));
    assert_eq!(ends.next_wake(), Some(ms(600)));
    // What has been heard of by then, and who is told.
    type Row<'a> = (u64, &'a [&'a str], &'a [(Ipv4Addr, u64)]);
    let rows: [Row; 4] = [
        (0, &[], &[]),
        (10, &["i-2"], &[(other, 8)]),
        (600, &[], &[(one, 7)]),
        (601, &["i-1"], &[(other, 7)]),
    ];
    for (at, heard, told) in rows {
        assert_eq!(ends.due(ms(at), |server| heard.contains(&server)), told, "{at} ms");
    }
    assert_eq!(ends.next_wake(), None);
}

//! How far a change of an office has come, and when that is told.

use fallgap_gateway::asks::Told;
use fallgap_gateway::spread::{Spread, Spreading};
use std::net::Ipv4Addr;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

enum Do {
    Hears(u8),
    Routes(u8),
    Wakes,
}

#[test]
fn an_office_is_answered_when_nobody_can_route_by_what_was_before() {
    use Do::{Hears, Routes, Wakes};
    // What happens at which millisecond, and what is answered then: in force, of how many.
    type Row = (u64, Do, Option<(usize, usize)>);
    let cases: [&[Row]; 4] = [
        &[(1, Routes(1), None), (2, Hears(2), None), (3, Routes(3), None), (9, Routes(2), Some((3, 3)))],
        // One does not get on with it, but has heard.
        &[
            (1, Routes(1), None),
            (2, Routes(2), None),
            (3, Hears(3), None),
            (599, Wakes, None),
            (600, Wakes, Some((2, 3))),
        ],
        // One is frozen or cut off: it is waited for until it does not answer for such routes any more.
        &[
            (1, Routes(1), None),
            (2, Routes(2), None),
            (600, Wakes, None),
            (2799, Wakes, None),
            (2800, Wakes, Some((2, 3))),
        ],
        &[(1, Routes(1), None), (2, Routes(1), None), (900, Hears(3), None), (901, Hears(2), Some((1, 3)))],
    ];
    for (case, rows) in cases.into_iter().enumerate() {
        let (reply, told) = sync_channel(1);
        let mut spread = Spread::new(0);
        let node = |last| Ipv4Addr::new(10, 0, 0, last);
        let id = spread.begin(Duration::ZERO, reply, &[node(1), node(2), node(3)]).unwrap();
        for (at, what, wanted) in rows {
            let now = Duration::from_millis(*at);
            match what {
                Hears(last) => spread.heeded(now, id, node(*last), false),
                Routes(last) => spread.heeded(now, id, node(*last), true),
                Wakes => spread.woke(now),
            }
            let got = told.try_recv().ok().map(|told| match told {
                Told::Spread(Spreading { in_force, of, .. }) => (in_force, of),
                _ => panic!("another answer"),
            });
            assert_eq!(got, *wanted, "case {case} at {at}");
        }
    }
    let mut spread = Spread::new(0);
    for (id, revision) in [(1, 5), (2, 7), (3, 6)] {
        spread.owe(Ipv4Addr::LOCALHOST, id, revision);
    }
    let ids = |due: Vec<(Ipv4Addr, u64)>| due.into_iter().map(|(_, id)| id).collect::<Vec<_>>();
    assert_eq!(
        [ids(spread.holds(4)), ids(spread.holds(6)), ids(spread.holds(9))],
        [vec![], vec![1, 3], vec![2]]
    );
}

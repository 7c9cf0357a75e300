//! When a home can be followed, and when its word confirms.

use fallgap_registry::{Fit, Fitness, Ground};
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Started at 0 and young until 2,000. Times of contact, when reads began and came back, whether it has something to tell,
/// and how it stands when.
type Row = (&'static [(u64, u64)], &'static [(u64, u64)], bool, &'static [(u64, Fit)]);

#[test]
fn a_home_confirms_only_what_was_read_since_it_came_into_contact() {
    use Fit::{Confirms, No, Serves};
    let rows: [Row; 7] = [
        // A start with nothing remembered: as soon as the first read is back, or without one.
        (&[(100, 9000)], &[(100, 105)], false, &[(99, No), (104, No), (105, Confirms), (8000, Confirms)]),
        (&[(100, 9000)], &[], false, &[(399, No), (400, Serves), (8000, Serves)]),
        // Remembered: served at once, confirmed by a read only, and too old after a while without contact.
        (
            &[(100, 9000)],
            &[(100, 900)],
            true,
            &[(0, Serves), (899, Serves), (900, Confirms), (5000, Confirms)],
        ),
        (&[], &[], true, &[(0, Serves), (1999, Serves), (2000, No), (8000, No)]),
        (&[], &[], false, &[(0, No), (8000, No)]),
        // Cut off and back: what it read before says nothing.
        (
            &[(0, 3000), (7000, 9000)],
            &[(10, 15), (2990, 2995), (7005, 7010)],
            true,
            &[(2999, Confirms), (3000, No), (7000, No), (7009, No), (7010, Confirms)],
        ),
        // A read that was begun before the contact ended and came back after it began again.
        (
            &[(0, 3000), (3100, 9000)],
            &[(10, 15), (2990, 3150)],
            true,
            &[(3050, No), (3150, No), (3399, No), (3400, Serves), (8000, Serves)],
        ),
    ];
    for (row, (contacts, reads, knows, wanted)) in rows.into_iter().enumerate() {
        let mut fitness = Fitness::start(at(2000));
        for ms in 0..9000 {
            let contact = contacts.iter().any(|(from, until)| (*from..*until).contains(&ms));
            let back = reads.iter().filter(|(_, back)| *back <= ms);
            let read = back.map(|(began, _)| at(*began)).max();
            // The ends of servers are read without delay here.
            let ends_read = Some(at(ms));
            let fit = fitness.judge(at(ms), Ground { contact, read, ends_read, knows });
            if let Some((_, wanted)) = wanted.iter().find(|(at, _)| *at == ms) {
                assert_eq!(fit, *wanted, "row {row}, {ms} ms");
            }
        }
    }
}

/// A home that has been in contact for long, and whose other reads do not come back, is followed as soon as it has read which
/// servers ended, and not before.
#[test]
fn nobody_follows_a_home_that_has_not_read_which_servers_ended() {
    let ground = |ends_read: Option<u64>| Ground {
        contact: true,
        read: None,
        ends_read: ends_read.map(at),
        knows: true,
    };
    let mut fitness = Fitness::start(at(0));
    let rows =
        [(100, None, Fit::No), (900, None, Fit::No), (901, Some(99), Fit::No), (902, Some(100), Fit::Serves)];
    for (ms, ends_read, wanted) in rows {
        assert_eq!(fitness.judge(at(ms), ground(ends_read)), wanted, "{ms} ms");
    }
}

//! Tables of cases for the states of a verdict, and for what a supervisor makes of what it is told.

use fallgap_health::{Book, Case, Event, Kind, Reason, Stand, Terms, Verdict};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn states_of_a_verdict() {
    use Event::{Common, Ill, Quiet, Sound};
    use Stand::{Barred, Lightened, Trial, Watched, Well};
    const ROOM: Event = Ill { room: true };
    const FULL: Event = Ill { room: false };
    type Row = (&'static str, &'static [(u64, Event, Stand)]);
    let rows: [Row; 9] = [
        (
            "ill once is watched, and then well",
            &[(0, ROOM, Watched), (1900, Quiet, Watched), (2000, Quiet, Well)],
        ),
        ("ill for longer is barred", &[(0, ROOM, Watched), (140, ROOM, Watched), (150, ROOM, Barred)]),
        ("without room it is lightened", &[(0, FULL, Watched), (150, FULL, Lightened), (300, ROOM, Barred)]),
        (
            "a whole service is not barred",
            &[(0, Common, Watched), (500, Common, Watched), (900, Common, Watched)],
        ),
        (
            "a bar, a trial, a part, well",
            &[
                (0, ROOM, Watched),
                (150, ROOM, Barred),
                (4100, Quiet, Barred),
                (4150, Quiet, Trial),
                (6100, Sound, Trial),
                (6150, Sound, Lightened),
                (8100, Sound, Lightened),
                (8150, Sound, Well),
            ],
        ),
        (
            "a trial without news takes three times as long",
            &[
                (0, ROOM, Watched),
                (150, ROOM, Barred),
                (4150, Quiet, Trial),
                (10_100, Quiet, Trial),
                (10_150, Quiet, Lightened),
            ],
        ),
        (
            "a relapse bars for twice as long",
            &[
                (0, ROOM, Watched),
                (150, ROOM, Barred),
                (4150, Quiet, Trial),
                (4200, ROOM, Trial),
                (4300, ROOM, Barred),
                (12_200, Sound, Barred),
                (12_300, Sound, Trial),
            ],
        ),
        (
            "long well, and bars are short again",
            &[
                (0, ROOM, Watched),
                (150, ROOM, Barred),
                (4150, Quiet, Trial),
                (6150, Sound, Lightened),
                (8150, Sound, Well),
                (38_150, ROOM, Watched),
                (38_300, ROOM, Barred),
                (42_300, Quiet, Trial),
            ],
        ),
        (
            "all ill lets go of who is barred",
            &[(0, ROOM, Watched), (150, ROOM, Barred), (300, Common, Lightened)],
        ),
    ];
    let terms = Terms::default();
    for (name, steps) in rows {
        let mut case = Case::new(ms(0), Kind::Order);
        for (at, event, wanted) in steps {
            case.happened(ms(*at), *event, &terms);
            assert_eq!(case.stand(), *wanted, "{name}, at {at}");
        }
    }
}

#[test]
fn an_order_is_no_trial() {
    let terms = Terms::default();
    for (kind, wanted) in [(Kind::Lookup, true), (Kind::Order, false), (Kind::Download, true)] {
        assert_eq!(Stand::Trial.part(kind, &terms) > 0.0, wanted, "{kind:?}");
    }
}

#[test]
fn what_is_told_and_what_holds() {
    use Stand::{Barred, Lightened, Well};
    let told = |number, stand, eases_in_ms| Verdict {
        server: "a".into(),
        number,
        stands: [stand, Well, Well],
        reasons: [Reason::default(); 3],
        age_ms: 0,
        eases_in_ms,
    };
    let at = |at: u64, verdict: Option<Verdict>, wanted: Stand| (at, verdict, wanted);
    let rows = [
        ("at once when it tightens", vec![at(0, Some(told(1, Barred, 0)), Barred)]),
        (
            "at its moment when it loosens",
            vec![
                at(0, Some(told(1, Barred, 0)), Barred),
                at(10, Some(told(2, Well, 300)), Barred),
                at(309, None, Barred),
                at(310, None, Well),
            ],
        ),
        (
            "the higher number holds",
            vec![at(0, Some(told(2, Barred, 0)), Barred), at(10, Some(told(1, Well, 0)), Barred)],
        ),
        (
            "of the same number the more careful",
            vec![at(0, Some(told(2, Lightened, 0)), Lightened), at(10, Some(told(2, Barred, 0)), Barred)],
        ),
        (
            "without news it is over",
            vec![
                at(0, Some(told(1, Barred, 0)), Barred),
                at(4900, Some(told(1, Barred, 0)), Barred),
                at(9800, None, Barred),
                at(9900, None, Well),
            ],
        ),
    ];
    let terms = Terms::default();
    for (name, steps) in rows {
        let mut book = Book::default();
        for (at, verdict, wanted) in steps {
            book.expire(ms(at), &terms);
            verdict.iter().for_each(|told| _ = book.told(ms(at), std::slice::from_ref(told), &terms));
            assert_eq!(book.stand(ms(at), "a", Kind::Lookup), wanted, "{name}, at {at}");
        }
    }
}

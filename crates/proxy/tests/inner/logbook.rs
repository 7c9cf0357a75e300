use super::*;

const PAGES: Pages = Pages { smooth: 3, rough: 2, gone: 1 };

fn over(book: &mut Logbook, ms: u64, id: &str, status: u16, why: Why, tries: u32) {
    let mut draft = Draft::of(why);
    for n in 0..tries {
        draft.began(ServerKey::default(), Duration::from_millis(u64::from(n)));
    }
    let came = Duration::from_millis(ms);
    let (edition, route, service) = (1, None, None);
    book.over(came + Duration::from_millis(5), Over { id, status, came, edition, route, service, draft });
}

/// Calm ops push out calm ones only, all stays bounded, and long ids are told apart.
#[test]
fn ops_that_met_something_outlive_the_calm_ones() {
    let mut book = Logbook::new(PAGES);
    let long = ["a".repeat(50), "a".repeat(51)];
    over(&mut book, 1, "r1", 503, Why::NoServer, 0);
    over(&mut book, 2, &long[0], 200, Why::Answered, 6);
    for n in 0..10 {
        over(&mut book, 10 + n, &format!("s{n}"), 200, Why::Answered, 1);
    }
    let find = |id| {
        let tales = book.find(Duration::from_secs(1), id, 9, |_| None, |_| None);
        tales.into_iter().map(|t| (t.id, t.status, t.tries.len(), t.more)).collect::<Vec<_>>()
    };
    assert_eq!(find(Some("r1")), [("r1".into(), 503, 0, 0)]);
    assert_eq!(find(Some("s6")), []);
    assert_eq!(find(Some("s9")), [("s9".into(), 200, 1, 0)]);
    assert_eq!(find(Some(&long[0])), [("a".repeat(40), 200, 4, 2)]);
    assert_eq!(find(Some(&long[1])), []);
    assert_eq!(find(None).len(), 2);
    assert_eq!((book.smooth.len(), book.rough.len()), (3, 2));
}

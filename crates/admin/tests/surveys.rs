use fallgap_admin::{Part, Question, Surveys, Terms};
use std::net::Ipv4Addr;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn node(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

#[test]
fn a_survey_ends_with_the_last_answer_or_its_time() {
    // Answers as (ms, from, readable); when it is over, and who is silent.
    type Row<'a> = (&'a [(u32, u8, bool)], u32, &'a [u8]);
    let rows: [Row<'_>; 4] = [
        (&[(5, 1, true), (9, 2, true)], 9, &[]),
        (&[(5, 1, true), (6, 1, true), (7, 3, true)], 700, &[2]),
        (&[(5, 1, true), (6, 2, false)], 700, &[2]),
        (&[], 700, &[1, 2]),
    ];
    for (answers, over, silent) in rows {
        let mut surveys = Surveys::new(Terms::USUAL, 7);
        let id = surveys.came(Duration::ZERO, "r", Question::History, vec![node(1), node(2)]).unwrap();
        let mut found = None;
        for (at, from, readable) in answers {
            let part = readable.then(|| Part::Tales(Vec::new()));
            found = found.or(surveys.heard(MS * *at, id, node(*from), part));
        }
        let wake = surveys.next_wake();
        let found = found.or_else(|| surveys.woke(wake.unwrap()).pop()).unwrap();
        assert_eq!((found.waited, found.silent), (MS * over, silent.iter().map(|n| node(*n)).collect()));
        assert_eq!(surveys.next_wake(), None);
    }
}

#[test]
fn few_are_under_way_at_once() {
    let mut surveys = Surveys::new(Terms { surveys: 2, ..Terms::USUAL }, 0);
    let mut came = || surveys.came(Duration::ZERO, (), Question::History, vec![node(1)]).is_some();
    assert_eq!([came(), came(), came()], [true, true, false]);
}

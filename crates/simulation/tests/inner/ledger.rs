use super::*;
use crate::voyage::guarded;

fn span(sent: u64, told: u64) -> Span {
    Span { sent: Duration::from_millis(sent), told: Duration::from_millis(told) }
}

/// Writes (part, number, sent, told), reads the same, and whether there is an order.
type Case = (&'static str, Vec<(&'static str, u64, u64, u64)>, Vec<(&'static str, u64, u64, u64)>, bool);

#[test]
fn an_order_is_found_or_there_is_none() {
    const NEVER: u64 = u64::MAX;
    let table: Vec<Case> = vec![
        ("one after the other", vec![("a", 1, 0, 5), ("a", 2, 6, 9)], vec![("a", 1, 6, 7)], true),
        ("numbers against time", vec![("a", 2, 0, 5), ("a", 1, 6, 9)], vec![], false),
        ("at once, either way", vec![("a", 2, 0, 5), ("a", 1, 4, 9)], vec![], true),
        ("an old state read late", vec![("a", 1, 0, 1), ("a", 2, 2, 3)], vec![("a", 1, 4, 5)], false),
        ("nothing read after a write", vec![("a", 1, 0, 1)], vec![("a", 0, 2, 3)], false),
        ("of another part it may be", vec![("a", 1, 0, 1), ("b", 2, 2, 3)], vec![("a", 1, 4, 5)], true),
        ("unclear, and seen", vec![("a", 1, 0, NEVER)], vec![("a", 1, 8, 9), ("a", 0, 5, 6)], true),
        ("unclear, seen and gone", vec![("a", 1, 0, NEVER)], vec![("a", 1, 2, 3), ("a", 0, 5, 6)], false),
        (
            "two reads that turn back",
            vec![("a", 1, 0, 9), ("a", 2, 0, 9)],
            vec![("a", 2, 1, 2), ("a", 1, 3, 4)],
            false,
        ),
        ("seen before it was sent", vec![("a", 1, 5, 9)], vec![("a", 1, 1, 2)], false),
    ];
    for (what, writes, reads, fits) in table {
        let checked = guarded(|| {
            let mut ledger = Ledger::default();
            for (part, number, sent, told) in writes {
                match told {
                    NEVER => ledger.may_have_begun(part, number, Duration::from_millis(sent)),
                    _ => ledger.began(part, number, span(sent, told)),
                }
            }
            reads.iter().for_each(|(part, number, sent, told)| ledger.saw(part, *number, span(*sent, *told)));
            ledger.check(what);
        });
        assert_eq!(checked.is_ok(), fits, "{what}: {checked:?}");
    }
}

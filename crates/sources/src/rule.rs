//! The rule when sources disagree, as one table of all pairs of what two sources may say of a server.
//! `docs/design/sources.md` shows the same table; a test compares the two.

/// What one source, or several joined, say of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Said {
    /// Nothing, or a withdrawal that a newer offer has lifted.
    Silent,
    /// An offer that is believed.
    Ready,
    /// An offer past its lifetime and hold.
    Worn,
    /// An offer that is believed, against a source that named the server and no longer does.
    Contested,
    /// A source named it and no longer does.
    Dropped,
    Draining,
    Gone,
}

use Said::*;

/// All of them, in the order of the table's rows and columns.
pub const ALL: [Said; 7] = [Silent, Ready, Worn, Contested, Dropped, Draining, Gone];

/// What two together say. Withdrawals win over offers, whoever made them; what is known to drain is drained
/// though a record was taken away; gone is gone. Joining is commutative and associative, so it does not
/// matter in which order sources are asked.
pub const TABLE: [[Said; 7]; 7] = [
    //           Silent     Ready      Worn       Contested  Dropped    Draining  Gone
    /* Silent */
    [Silent, Ready, Worn, Contested, Dropped, Draining, Gone],
    /* Ready  */ [Ready, Ready, Ready, Contested, Contested, Draining, Gone],
    /* Worn   */ [Worn, Ready, Worn, Contested, Dropped, Draining, Gone],
    /* Cont.  */ [Contested, Contested, Contested, Contested, Contested, Draining, Gone],
    /* Dropped*/ [Dropped, Contested, Dropped, Contested, Dropped, Draining, Gone],
    /* Drain. */ [Draining, Draining, Draining, Draining, Draining, Draining, Gone],
    /* Gone   */ [Gone, Gone, Gone, Gone, Gone, Gone, Gone],
];

pub fn join(one: Said, other: Said) -> Said {
    TABLE[one as usize][other as usize]
}

/// What is done with a server of which all sources together say this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    /// Open, unless a server of a better rank is.
    Serve,
    /// Open only while no other server could be.
    LastResort,
    Drain,
    Out,
}

/// `answers`: whether it still acks ops, or nobody can tell.
pub fn course(joined: Said, answers: bool) -> Course {
    match joined {
        Ready => Course::Serve,
        Worn if answers => Course::Serve,
        Worn | Contested => Course::LastResort,
        Draining => Course::Drain,
        Silent | Dropped | Gone => Course::Out,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a verdict that depends on the order in which sources are asked.
    #[test]
    fn joining_does_not_depend_on_the_order() {
        for a in ALL {
            assert_eq!((join(a, a), join(Silent, a)), (a, a));
            for b in ALL {
                assert_eq!(join(a, b), join(b, a));
                for c in ALL {
                    assert_eq!(join(join(a, b), c), join(a, join(b, c)), "{a:?} {b:?} {c:?}");
                }
            }
        }
    }

    /// Guards against a table in the design note that says something else.
    #[test]
    fn the_design_note_shows_this_table() {
        let note = include_str!("../../../docs/design/sources.md");
        let rows: Vec<Vec<&str>> = note
            .lines()
            .filter(|line| line.starts_with("| **"))
            .map(|line| line.trim_matches('|').split('|').map(|cell| cell.trim().trim_matches('*')).collect())
            .collect();
        assert_eq!(rows.len(), ALL.len());
        for (row, one) in rows.iter().zip(ALL) {
            let shown = TABLE[one as usize].map(|said| format!("{said:?}").to_lowercase());
            assert_eq!(row[0], format!("{one:?}").to_lowercase());
            assert_eq!(row[1..], shown);
        }
    }
}

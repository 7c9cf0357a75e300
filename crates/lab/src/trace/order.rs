//! Puts a recording in order: rows that stand a little out of place, doubled ones, and a clock that stepped
//! back.

use super::fields::number_of;
use super::{BadRow, Met, Row};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Rows within which out-of-place ones are put in order, and doubled ones found.
const WINDOW: usize = 4096;
/// A row that is further back than this, and so are the ones after it: the clock was set back.
const STEP: Duration = Duration::from_secs(1);
const AFTER: usize = 3;

type Held = Reverse<(Duration, u64)>;

/// Rows in order, their times since the first one. What was met is told to `met` as it is met.
pub struct Ordered<I> {
    from: I,
    strict: bool,
    /// Read and not yet looked at: enough to tell a late row from a clock set back.
    ahead: VecDeque<(u64, Row)>,
    heap: BinaryHeap<Held>,
    rows: HashMap<u64, Row>,
    seen: VecDeque<u64>,
    marks: HashSet<u64>,
    count: u64,
    /// The latest time so far, and what later times are moved by.
    latest: Option<Duration>,
    moved_by: Duration,
    first: Option<Duration>,
    told: Duration,
    over: bool,
    pub met: Met,
    /// The row at which a strict reading stopped.
    pub stopped: Option<BadRow>,
}

impl<I: Iterator<Item = Result<(u64, Row), BadRow>>> Ordered<I> {
    /// `strict`: the first bad row ends it.
    pub fn new(from: I, strict: bool) -> Self {
        Ordered {
            from,
            strict,
            ahead: VecDeque::new(),
            heap: BinaryHeap::new(),
            rows: HashMap::new(),
            seen: VecDeque::new(),
            marks: HashSet::new(),
            count: 0,
            latest: None,
            moved_by: Duration::ZERO,
            first: None,
            told: Duration::ZERO,
            over: false,
            met: Met::default(),
            stopped: None,
        }
    }

    fn read(&mut self) -> Option<(u64, Row)> {
        while !self.over {
            match self.from.next() {
                None => self.over = true,
                Some(Ok(row)) => {
                    self.met.rows += 1;
                    return Some(row);
                }
                Some(Err(bad)) => {
                    self.met.bad(bad.clone());
                    if self.strict {
                        (self.over, self.stopped) = (true, Some(bad));
                    }
                }
            }
        }
        None
    }

    /// Takes one row in; `false`: there is none.
    fn take(&mut self) -> bool {
        while self.ahead.len() <= AFTER
            && let Some(row) = self.read()
        {
            self.ahead.push_back(row);
        }
        let Some((_, mut row)) = self.ahead.pop_front() else { return false };
        if let Some(latest) = self.latest {
            let back = |at: Duration| at + self.moved_by + STEP < latest;
            if back(row.at) && self.ahead.len() >= AFTER && self.ahead.iter().all(|(_, after)| back(after.at))
            {
                let by = latest - (row.at + self.moved_by);
                self.met.steps_back += 1;
                self.met.stepped += by;
                self.moved_by += by;
            }
        }
        row.at += self.moved_by;
        if self.latest.is_some_and(|latest| row.at < latest) {
            self.met.moved += 1;
        }
        self.latest = self.latest.max(Some(row.at));
        if self.is_doubled(&row) {
            self.met.doubled += 1;
            return true;
        }
        self.heap.push(Reverse((row.at, self.count)));
        self.rows.insert(self.count, row);
        self.count += 1;
        true
    }

    fn is_doubled(&mut self, row: &Row) -> bool {
        // Without a name two rows that are alike may be two ops: that cannot be told.
        let Some(text) = &row.id else { return false };
        let mark = number_of(text);
        if !self.marks.insert(mark) {
            return true;
        }
        self.seen.push_back(mark);
        if self.seen.len() > WINDOW
            && let Some(old) = self.seen.pop_front()
        {
            self.marks.remove(&old);
        }
        false
    }
}

impl<I: Iterator<Item = Result<(u64, Row), BadRow>>> Iterator for Ordered<I> {
    type Item = Row;

    fn next(&mut self) -> Option<Row> {
        while self.heap.len() < WINDOW && self.take() {}
        let Reverse((at, number)) = self.heap.pop()?;
        let mut row = self.rows.remove(&number)?;
        let first = *self.first.get_or_insert(at);
        let mut since = at.saturating_sub(first);
        if since < self.told {
            self.met.late += 1;
            since = self.told;
        }
        self.met.longest_gap = self.met.longest_gap.max(since - self.told);
        self.told = since;
        row.at = since;
        Some(row)
    }
}

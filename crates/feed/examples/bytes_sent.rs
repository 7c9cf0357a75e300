//! Bytes and lines that a day of changes takes as deltas, against whole tables at each change: steps of weights,
//! drains and a deploy, drawn from a seed, at 100, 1,000 and 5,000 dispatchers with a table each. Simulated.

use fallgap_feed::wire::Told;
use fallgap_tables::{Entry, Kept, Key, Sent, Tables, Whole};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SERVERS: usize = 200;
const LINES: usize = 24;
const STEPS: usize = 60;
/// A line is sent again when its part has moved by more than this, as the decisions do it.
const SAME: f64 = 0.04;

struct Sums {
    bytes: usize,
    lines: usize,
}

/// Both ways at once, so that they see the same day.
struct Day {
    tables: Tables,
    rng: fastrand::Rng,
    weights: Vec<f64>,
    open: Vec<bool>,
    names: Vec<Arc<str>>,
    /// Each dispatcher's servers, in the order in which it would use them, and the parts it holds.
    order: Vec<Vec<usize>>,
    parts: Vec<BTreeMap<usize, f64>>,
    deltas: Sums,
    wholes: Sums,
}

impl Day {
    fn start(dispatchers: usize) -> Day {
        let mut rng = fastrand::Rng::with_seed(18);
        let mut order = |_| {
            let mut all: Vec<usize> = (0..SERVERS).collect();
            rng.shuffle(&mut all);
            all
        };
        let order: Vec<Vec<usize>> = (0..dispatchers).map(&mut order).collect();
        Day {
            tables: Tables::start(1, Kept { versions: 4, ..Kept::default() }),
            rng: fastrand::Rng::with_seed(19),
            weights: vec![1.0; SERVERS],
            open: vec![true; SERVERS],
            names: (0..SERVERS).map(|s| format!("s-{:08x}", s * 2_654_435_761).into()).collect(),
            parts: vec![BTreeMap::new(); order.len()],
            order,
            deltas: Sums { bytes: 0, lines: 0 },
            wholes: Sums { bytes: 0, lines: 0 },
        }
    }

    /// Every dispatcher's table is built anew; what differs is told, each way.
    fn round(&mut self, now: Duration) {
        for dispatcher in 0..self.order.len() {
            let table = dispatcher as u32;
            let held = self.tables.version(table);
            let due = self.order[dispatcher].iter().copied().filter(|s| self.open[*s]).take(LINES);
            let due: BTreeMap<usize, f64> = due.map(|s| (s, self.weights[s])).collect();
            let parts = &mut self.parts[dispatcher];
            let gone: Vec<usize> = parts.keys().copied().filter(|s| !due.contains_key(s)).collect();
            for server in gone {
                parts.remove(&server);
                self.tables.set(table, Key::Line(self.names[server].clone()), None);
            }
            for (server, part) in due {
                if parts.get(&server).is_none_or(|old| (part / old - 1.0).abs() >= SAME) {
                    parts.insert(server, part);
                    self.tables.set(table, Key::Line(self.names[server].clone()), Some(Entry::Part(part)));
                }
            }
            self.tables.seal(now, table);
            let (told, lines) = match self.tables.since(table, held) {
                Sent::Nothing => continue,
                Sent::Delta(delta) => (delta.changes.len(), Told::Delta(delta)),
                Sent::Whole(whole) => (whole.entries.len(), Told::Whole(whole)),
            };
            self.deltas.lines += told;
            self.deltas.bytes += lines.encode().len();
            if let Sent::Whole(whole @ Whole { .. }) = self.tables.since(table, None) {
                self.wholes.lines += whole.entries.len();
                self.wholes.bytes += Told::Whole(whole).encode().len();
            }
        }
    }

    fn run(&mut self) {
        let second = Duration::from_secs(1);
        self.round(second);
        // What everybody gets on joining is the same both ways.
        (self.deltas, self.wholes) = (Sums { bytes: 0, lines: 0 }, Sums { bytes: 0, lines: 0 });
        for step in 0..STEPS {
            // A step moves few servers' weights far enough; now and then one drains, or comes back.
            for server in 0..SERVERS {
                if self.rng.f64() < 0.05 {
                    let weight = self.weights[server] * (0.85 + 0.3 * self.rng.f64());
                    self.weights[server] = (weight.clamp(0.4, 2.0) * 1e4).round() / 1e4;
                }
            }
            if step % 10 == 0 {
                self.open[self.rng.usize(..SERVERS)] ^= true;
            }
            // A deploy: three in ten servers go, in steps, and come back a step later.
            if (30..36).contains(&step) {
                let from = (step - 30) * 10;
                (from..from + 10).for_each(|server| self.open[server] = false);
                (from.saturating_sub(10)..from).for_each(|server| self.open[server] = true);
            }
            self.round(second * (step as u32 + 2));
        }
    }
}

fn main() {
    for dispatchers in [100, 1000, 5000] {
        let mut day = Day::start(dispatchers);
        day.run();
        let (deltas, wholes) = (day.deltas, day.wholes);
        println!("figure delta_bytes_{dispatchers} {}", deltas.bytes);
        println!("figure whole_bytes_{dispatchers} {}", wholes.bytes);
        println!(
            "figure whole_bytes_against_delta_{dispatchers} {:.1}",
            wholes.bytes as f64 / deltas.bytes as f64
        );
        println!(
            "figure whole_lines_against_delta_{dispatchers} {:.1}",
            wholes.lines as f64 / deltas.lines as f64
        );
    }
}

//! What one changed record costs among many servers of two sources, against rebuilding the list plainly; and
//! how the cost of a change grows with its size. Simulated: no I/O.

use fallgap::{Listed, ServerState};
use fallgap_sources::rule::{Course, Said, course, join};
use fallgap_sources::{Age, Claim, Outside, SourceId, Sources, Terms};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

struct Told(usize);

impl Outside for Told {
    fn listed(&mut self, entry: Listed) {
        self.0 += 1;
        black_box(entry);
    }
}

fn claim(i: usize, size: f64, rank: Option<u16>) -> Claim {
    let state = if i.is_multiple_of(50) { ServerState::Draining } else { ServerState::Ready };
    let addresses = vec![([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 8443).into()];
    Claim {
        server: format!("store{i}"),
        state,
        zone: i % 3,
        size: Some(size),
        age: Age::LongAgo,
        rank,
        addresses,
    }
}

fn world(n: usize) -> (Sources<Told>, SourceId) {
    let mut sources = Sources::start(Told(0), Terms::default());
    let (list, dns) = (sources.open("discovery", true), sources.open("dns", false));
    let s = Duration::from_secs;
    sources.whole(s(1), list, s(1), None, (0..n).map(|i| claim(i, 1.0, None)).collect());
    let records = (0..n).map(|i| Claim { state: ServerState::Ready, ..claim(i, 1.0, Some(10)) });
    sources.whole(s(1), dns, s(1), Some(s(3600)), records.collect());
    (sources, list)
}

/// The plain way: all claims of both sources in maps, the whole list worked out anew and compared.
struct Plain {
    said: [BTreeMap<String, Claim>; 2],
    list: BTreeMap<String, Listed>,
}

impl Plain {
    fn new(n: usize) -> Plain {
        let of = |rank| (0..n).map(|i| (format!("store{i}"), claim(i, 1.0, rank))).collect();
        let mut plain = Plain { said: [of(None), of(Some(10))], list: BTreeMap::new() };
        plain.rebuild();
        plain
    }
    fn rebuild(&mut self) -> usize {
        let mut list = BTreeMap::new();
        for (server, first) in &self.said[0] {
            let said = |claim: &Claim| match claim.state {
                ServerState::Ready => Said::Ready,
                ServerState::Draining => Said::Draining,
                ServerState::Gone => Said::Gone,
            };
            let second = self.said[1].get(server);
            let state = match course(join(said(first), second.map_or(Said::Silent, said)), true) {
                Course::Serve => ServerState::Ready,
                Course::Drain => ServerState::Draining,
                Course::LastResort | Course::Out => ServerState::Gone,
            };
            let entry =
                Listed { server: server.clone(), zone: first.zone, size: first.size, state, started: None };
            list.insert(server.clone(), entry);
        }
        let same = |a: &Listed, b: &Listed| (a.state, a.size, a.zone) == (b.state, b.size, b.zone);
        let changed =
            list.iter().filter(|(s, l)| self.list.get(*s).is_none_or(|before| !same(l, before))).count();
        self.list = list;
        changed
    }
}

fn main() {
    println!("servers  one change, us  plain rebuild, us  ratio");
    let mut last = 0.0;
    for n in [100, 1000, 10_000] {
        let (mut sources, list) = world(n);
        let rounds = 20_000;
        let before = sources.outside.0;
        let since = Instant::now();
        for round in 0..rounds {
            let changed = claim(round * 7 % n, 2.0 + round as f64, None);
            sources.changes(
                Duration::from_secs(2) + Duration::from_millis(round as u64),
                list,
                vec![changed],
            );
        }
        let one = since.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        assert!(sources.outside.0 > before + rounds * 9 / 10, "changes were told");
        let mut plain = Plain::new(n);
        let rebuilds = 200_000 / n;
        let since = Instant::now();
        for round in 0..rebuilds {
            let changed = claim(1 + round * 7 % 49, 2.0 + round as f64, None);
            plain.said[0].insert(changed.server.clone(), changed);
            assert_eq!(plain.rebuild(), 1);
        }
        let whole = since.elapsed().as_secs_f64() * 1e6 / rebuilds as f64;
        last = whole / one;
        println!("{n:>7}  {one:>14.2}  {whole:>17.1}  {last:>5.0}");
    }
    println!("\nchanged of 10,000  us a change, in one call");
    let (mut sources, list) = world(10_000);
    let (mut first, mut grown) = (0.0, 0.0);
    for (step, size) in [1, 10, 100, 1000].into_iter().enumerate() {
        let rounds = 10_000 / size;
        let since = Instant::now();
        for round in 0..rounds {
            let changed =
                (0..size).map(|i| claim((round * size + i) % 10_000, (step * 20_000 + round) as f64, None));
            sources.changes(Duration::from_secs(90 + round as u64), list, changed.collect());
        }
        let each = since.elapsed().as_secs_f64() * 1e6 / (rounds * size) as f64;
        println!("{size:>17}  {each:.2}");
        (first, grown) = (if step == 0 { each } else { first }, each);
    }
    println!("figure cost_of_each_of_1000_against_1 {:.2}", grown / first);
    println!("figure plain_rebuild_over_one_change_10000 {last:.0}");
}

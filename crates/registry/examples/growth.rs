//! What one node costs the others, in virtual time: bytes on the links of homes and of followers, time to the last node
//! and processor time, at 12, 91 and 400 nodes with as many servers and routes as go with them; at rest, when a seventh
//! of the routes change, when 1,400 are added, when a fifth of the servers close at once, and when half of the nodes are
//! killed and back within a second. Links of 3.8 Mbit/s for followers, 100 for homes. Beside it what whole tables would
//! have taken.

#[path = "../tests/world/mod.rs"]
mod world;

use fallgap_feed::wire::Told;
use fallgap_registry::{RosterWord, Terms};
use std::collections::BTreeMap;
use std::time::Duration;
use world::{Link, MS, Seen, World};

const SECOND: Duration = Duration::from_secs(1);
const LINK: Link = Link { bytes_a_second: 475_000.0, ahead: (Duration::ZERO, MS), keepers: 12_500_000.0 };
const MORE: usize = 1400;
/// What a span of time is looked at for.
const SPAN: Duration = Duration::from_secs(4);

/// Nodes, keepers, servers, routes.
const SIZES: [(usize, usize, usize, usize); 3] = [(12, 4, 33, 40), (91, 5, 448, 680), (400, 5, 1000, 680)];

struct Size {
    nodes: usize,
    world: World,
    terms: Terms,
}

impl Size {
    fn figure(&self, what: &str, value: impl std::fmt::Display) {
        println!("figure {what}_{} {value}", self.nodes);
    }

    /// Lets something happen, tells when all are there, and what links carried in a span from then on.
    /// Hands back how many tables and differences were told, and their bytes.
    fn tell(
        &mut self, what: &str, change: impl FnOnce(&mut World), there: impl Fn(&World) -> bool,
    ) -> (usize, usize) {
        self.world.links.clear();
        self.world.heard = Some(Vec::new());
        self.world.spent = [Duration::ZERO; 2];
        let since = self.world.now;
        change(&mut self.world);
        while !there(&self.world) {
            self.world.run(MS);
            assert!(self.world.now < since + 30 * SECOND, "{what} does not reach all");
        }
        self.figure(&format!("{what}_last_ms"), (self.world.now - since).as_millis());
        let left = (since + SPAN).saturating_sub(self.world.now);
        self.world.run(left);
        let span = (self.world.now - since).as_secs_f64();
        let [homes, followers] = self.world.spent.map(|spent| spent.as_secs_f64() * 1e3);
        let mut most: BTreeMap<(bool, bool), (usize, usize, usize)> = BTreeMap::new();
        let cores: Vec<_> = self.world.cores.keys().copied().collect();
        for ((node, leaves), (_, bytes)) in std::mem::take(&mut self.world.links) {
            let held = most.entry((cores.contains(&node), leaves)).or_default();
            *held = (held.0.max(bytes), held.1 + bytes, held.2 + 1);
        }
        for ((keeper, leaves), (most, sum, count)) in most {
            let who = if keeper { "home" } else { "follower" };
            let way = if leaves { "out" } else { "in" };
            let a_second = |bytes: usize| (bytes as f64 / span) as u64;
            self.figure(&format!("{what}_{who}_{way}_bytes_a_second"), a_second(sum / count.max(1)));
            self.figure(&format!("{what}_{who}_{way}_bytes_a_second_most"), a_second(most));
        }
        let (mut tables, mut sent) = (0, 0);
        for (word, bytes) in self.world.heard.take().into_iter().flatten() {
            let RosterWord::Told(line) = word else { continue };
            if let Ok(Told::Whole(_) | Told::Delta(_)) = RosterWord::read_told(&line, &self.terms) {
                (tables, sent) = (tables + 1, sent + bytes);
            }
        }
        self.figure(&format!("{what}_tables"), tables);
        self.figure(&format!("{what}_table_bytes"), sent);
        let each = |ms: f64, count: usize| format!("{:.2}", ms / count as f64);
        self.figure(&format!("{what}_home_processor_ms"), each(homes, self.world.keepers));
        self.figure(&format!("{what}_follower_processor_ms"), each(followers, self.nodes));
        (tables, sent)
    }
}

/// What a node holds: its edition, and how many servers.
fn holds(world: &World, edition: u64, servers: usize) -> bool {
    let count = |seen: &Seen| seen.view.as_ref().map_or(0, |view| view.berths.len());
    world.all(|seen| seen.edition() == edition && count(seen) == servers)
}

fn main() {
    for (nodes, keepers, servers, routes) in SIZES {
        // Servers rise at once: what rising weights send is not looked at here.
        let terms = Terms { rise: (MS, MS), ..Terms::default() };
        let mut world = World::with(terms, 7, keepers, nodes, servers);
        world.link = Some(LINK);
        world.configure(1, routes);
        let took = world.until(20 * SECOND, |w| holds(w, 1, servers)).expect("a quiet start");
        println!("figure start_last_ms_{nodes} {}", took.as_millis());
        world.run(8 * SECOND);
        let mut size = Size { nodes, world, terms };
        size.tell("rest", |_| {}, |_| true);
        let change = size.tell("change", |w| w.configure(2, routes), |w| holds(w, 2, servers));
        let more = size.tell("routes", |w| w.configure(3, routes + MORE), |w| holds(w, 3, servers));
        let fifth = servers / 5;
        let release = |w: &mut World| {
            for i in 0..fifth {
                w.beats(i % nodes, i, true);
                w.servers[i].alive = false;
            }
        };
        let released = size.tell("release", release, |w| holds(w, 3, servers - fifth));
        let herd = |w: &mut World| {
            let half = (keepers..nodes).step_by(2);
            half.clone().for_each(|i| w.kill(i));
            w.run(200 * MS);
            for i in half {
                w.start(i);
                w.run(SECOND.mul_f64(1.6 / nodes as f64));
            }
        };
        // They come with nothing: what they are told is whole tables, which is the plain way for all the rest.
        let (wholes, bytes) = size.tell("herd", herd, |w| holds(w, 3, servers - fifth));
        let whole = bytes / wholes.max(1);
        size.figure("whole_table_bytes", whole);
        for (what, (tables, sent)) in [("change", change), ("routes", more), ("release", released)] {
            let times = (tables * whole) as f64 / sent.max(1) as f64;
            size.figure(&format!("{what}_whole_against_sent"), format!("{times:.1}"));
        }
    }
}

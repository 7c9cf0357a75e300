//! Plays every file of `tests/scenarios/`: one event or expectation a line, as `docs/scenarios.md` tells.

use fallgap::*;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

#[derive(Default)]
struct Seen {
    orders: BTreeMap<u32, Vec<String>>,
    tables: BTreeMap<u32, BTreeMap<String, f64>>,
    wakes: Vec<(Duration, u64)>,
    stamps: Vec<u16>,
    other: Vec<String>,
}

#[derive(Clone, Default)]
struct Recorder(Rc<RefCell<Seen>>);

impl Recorder {
    fn order(&self, table: u32, what: String) {
        self.0.borrow_mut().orders.entry(table).or_default().push(what);
    }
    fn other(&self, what: String) {
        self.0.borrow_mut().other.push(what);
    }
}

impl Host for Recorder {
    fn set_line(&mut self, table: u32, server: &str, part: f64) {
        self.order(table, format!("{server}={part}"));
        let mut seen = self.0.borrow_mut();
        let lines = seen.tables.entry(table).or_default();
        lines.insert(server.to_owned(), part);
        lines.retain(|_, part| *part > 0.0);
    }
    fn clear_table(&mut self, table: u32) {
        self.order(table, "clear".into());
    }
    fn bind(&mut self, proxy: u32, table: u32) {
        assert_eq!(proxy, table, "a proxy has the table of its own number");
        self.order(table, "bind".into());
    }
    fn withdraw(&mut self, server: &str, out: bool) {
        self.other(format!("withdraw {server} {out}"));
    }
    fn admit(&mut self, table: u32, op_type: usize, level: f64, retry: Retry) {
        self.order(table, format!("op{op_type}:{level:.2}:{retry:?}"));
    }
    fn ask_answer(&mut self, stamp: u16) {
        self.0.borrow_mut().stamps.push(stamp);
    }
    fn wake_at(&mut self, at: Duration, cookie: u64) {
        self.0.borrow_mut().wakes.push((at, cookie));
    }
    fn probe(&mut self, server: &str) {
        self.other(format!("probe {server}"));
    }
    fn tell_peers(&mut self, _demand: &[f64]) {
        self.other("note".into());
    }
    fn follow_list(&mut self) {
        self.other("follow".into());
    }
    fn fetch_list(&mut self) {
        self.other("fetch".into());
    }
    fn log(&mut self, line: &str) {
        self.other(format!("log {line}"));
    }
}

fn seconds(word: &str) -> Duration {
    Duration::from_secs_f64(word.parse().unwrap_or_else(|_| panic!("not a time: {word}")))
}

struct Play {
    seen: Recorder,
    director: Director<Recorder>,
    now: Duration,
    owed: bool,
}

impl Play {
    fn start(set: &BTreeMap<String, String>) -> Play {
        let get = |key: &str, usual: f64| set.get(key).map_or(usual, |v| v.parse().expect(key));
        let repeats = match set.get("repeats").map(String::as_str) {
            Some("once") => Repeats::OnceOnly,
            Some(window) => Repeats::Deduplicated { everywhere: true, window: seconds(window) },
            None => Repeats::Retryable,
        };
        let (target_latency, op_timeout) = (Duration::from_secs(1), Duration::from_secs(3));
        let op =
            OpType { value: 1.0, target_latency, op_timeout, repeats, own_zone: set.contains_key("ownzone") };
        let op_types = vec![OpType { value: get("value", 1.0), ..op.clone() }, op];
        let rate = get("rate", 1000.0);
        let channel = Channel {
            lines_per_s: rate,
            head: 5.0,
            backlog: get("backlog", rate),
            messages_most: get("messages", 0.0) as usize,
            messages_over: Duration::from_secs(10),
        };
        let cold = ColdTerms { from: get("coldfrom", 0.2), over: seconds("10") };
        let interval = Duration::from_secs(1);
        let probes = set.contains_key("probes");
        let reporting = Reporting { by_probe: probes, probes_allowed: probes, interval };
        let admission = if set.contains_key("byrate") { Admission::Rate } else { Admission::Share };
        let peers = Peers {
            others: get("peers", 0.0) as usize,
            notes_allowed: true,
            by_zone: !set.contains_key("bychance"),
        };
        let aims = Aims { worst_op_type: 0.1, rest: 0.9 };
        let seen = Recorder::default();
        let ask = set.contains_key("asklist");
        let habits = Habits { admission, usual_retry: Retry::Unsent };
        let set = Settings { op_types, habits, channel, cold, reporting, aims, peers };
        let director = Director::start(Duration::ZERO, 7, seen.clone(), set, ask);
        Play { seen, director, now: Duration::ZERO, owed: false }
    }

    /// Ends the batch under way, then plays the wakes that fall due until a moment.
    fn settle(&mut self, until: Duration) {
        if self.owed {
            self.director.news_in(self.now);
            self.owed = false;
        }
        loop {
            let mut wakes = std::mem::take(&mut self.seen.0.borrow_mut().wakes);
            wakes.sort();
            let due = wakes.first().copied().filter(|w| w.0 <= until);
            wakes.drain(..due.iter().count());
            self.seen.0.borrow_mut().wakes.extend(wakes);
            let Some((at, cookie)) = due else { break };
            self.now = at;
            self.director.woke(at, cookie);
            self.director.news_in(at);
        }
        self.now = until;
    }

    fn list(&mut self, news: ListNews, state: ServerState, words: &[&str]) {
        let entries = words.iter().map(|word| {
            let (name, started) = word.split_once('+').unwrap_or((word, ""));
            let (server, zone) = name.split_once('@').unwrap_or((name, "0"));
            let started = (!started.is_empty()).then(|| seconds(started));
            let zone = zone.parse().expect("zone");
            Listed { server: server.to_owned(), zone, size: None, state, started }
        });
        self.director.list_changed(self.now, news, entries.collect());
    }

    fn event(&mut self, what: &str, words: &[&str]) -> bool {
        let now = self.now;
        let n = |i: usize| words[i].parse::<f64>().unwrap_or_else(|_| panic!("not a number: {}", words[i]));
        match what {
            "list" => self.list(ListNews::Whole, ServerState::Ready, words),
            "cached" => self.list(ListNews::Remembered, ServerState::Ready, words),
            "ready" => self.list(ListNews::Changes, ServerState::Ready, words),
            "drain" => self.list(ListNews::Changes, ServerState::Draining, words),
            "gone" => self.list(ListNews::Changes, ServerState::Gone, words),
            "listfails" => self.director.list_failed(now),
            "join" | "rejoin" => {
                let zone = words.get(1).map_or(0, |z| z.parse().expect("zone"));
                let usual = if words.len() > 2 { n(2) } else { 10.0 };
                self.director.proxy_joined(now, n(0) as u32, zone, usual, what == "join");
            }
            "leave" => self.director.proxy_left(now, n(0) as u32),
            "answer" => {
                let last = self.seen.0.borrow().stamps.last().copied().unwrap_or(0);
                let stamp = words.get(1).map_or(last, |s| s.parse().expect("stamp"));
                self.director.update_answered(now, n(0) as u32, stamp);
            }
            // met SERVER TOTAL ABORTED GOOD_MS [BUSY [SPAN]]
            "met" => {
                let span = words.get(5).map_or(Duration::from_secs(1), |s| seconds(s));
                let met = Met { total: n(1), aborted: n(2), good_ms: n(3), span };
                let load = (words.len() > 4).then(|| Load { busy: Some(n(4)), ..Load::default() });
                self.director.server_met(now, words[0], met, load);
            }
            "probed" => {
                let result = if words[1] == "ok" { Probed::Answered } else { Probed::Failed };
                self.director.probe_answered(now, words[0], result, None);
            }
            // came PROXY OP_TYPE TOTAL ABORTED
            "came" => {
                let came = Came { total: n(2), aborted: n(3), span: Duration::from_secs(1) };
                self.director.ops_came(now, n(0) as u32, n(1) as usize, came);
            }
            "wrap" => (0..n(0) as usize).for_each(|_| {
                self.director.proxy_joined(now, 9, 0, 1.0, true);
                self.director.news_in(now);
                let stamp = *self.seen.0.borrow().stamps.last().expect("a stamp");
                self.director.update_answered(now, 9, stamp);
            }),
            _ => return false,
        }
        self.owed = true;
        true
    }

    fn expect(&mut self, what: &str, words: &[&str], at: &str) {
        self.settle(self.now);
        let mut seen = self.seen.0.borrow_mut();
        let id: u32 = words.first().and_then(|w| w.parse().ok()).unwrap_or(0);
        match what {
            "sent" => {
                let mut got = seen.orders.remove(&id).unwrap_or_default();
                got.retain(|o| !o.starts_with("op") || words.iter().any(|w| w.starts_with("op")));
                let (mut got, mut wanted): (Vec<&str>, Vec<&str>) =
                    (got.iter().map(String::as_str).collect(), words[1..].to_vec());
                got.sort();
                wanted.sort();
                assert_eq!(got, wanted, "{at}: orders to {id}");
            }
            "holds" => {
                let held: Vec<&str> = seen.tables[&id].keys().map(String::as_str).collect();
                assert_eq!(held, &words[1..], "{at}: servers in table {id}");
            }
            "lines" => {
                assert_eq!(seen.tables[&id].len().to_string(), words[1], "{at}: {:?}", seen.tables[&id])
            }
            // part PROXY SERVER LEAST MOST: the line's share of its table
            "part" => {
                let table = &seen.tables[&id];
                let part = table.get(words[1]).unwrap_or(&0.0) / table.values().sum::<f64>();
                let bounds: Vec<f64> = words[2..4].iter().map(|w| w.parse().expect("bound")).collect();
                assert!((bounds[0]..=bounds[1]).contains(&part), "{at}: part is {part:.3}");
            }
            "told" | "untold" => {
                let words = words.join(" ");
                let found = seen.other.iter().any(|o| o.starts_with(&words));
                assert_eq!(found, what == "told", "{at}: {:?}", seen.other);
                seen.other.clear();
            }
            "forget" => seen.orders.clear(),
            other => panic!("{at}: unknown word {other}"),
        }
    }
}

fn play(path: &std::path::Path) {
    let text = std::fs::read_to_string(path).expect("a scenario");
    let mut set = BTreeMap::new();
    let mut play: Option<Play> = None;
    for (number, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("");
        let words: Vec<&str> = line.split_whitespace().collect();
        let at = format!("{}:{}", path.display(), number + 1);
        match words[..] {
            [] => {}
            ["set", key, value] => _ = set.insert(key.to_owned(), value.to_owned()),
            [time, what, ref rest @ ..] => {
                let play = play.get_or_insert_with(|| Play::start(&set));
                let time = seconds(time);
                if time > play.now {
                    play.settle(time);
                }
                if !play.event(what, rest) {
                    play.expect(what, rest, &at);
                }
            }
            _ => panic!("{at}: cannot read this line"),
        }
    }
    assert!(play.is_some(), "{}: nothing happens", path.display());
}

#[test]
fn every_scenario_plays_as_written() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> =
        std::fs::read_dir(folder).expect("scenarios").map(|f| f.expect("a file").path()).collect();
    files.sort();
    assert!(!files.is_empty());
    for file in files {
        println!("{}", file.file_name().unwrap_or_default().display());
        play(&file);
    }
}

//! Orders of offices and of the operator that come again. Two to eight at once on one version, at different supervisors,
//! over keepers in virtual time; answers are lost, and whoever had none sends the same body to another supervisor. Keepers
//! die before and after they took one, and all lose power.

use fallgap_config::{Configuration, read_configuration};
use fallgap_control_state::{Answer, Call};
use fallgap_simulation::waters::{Sea, ms};
use fallgap_tenants::{Ledger, Maker, Refused, Step, Transaction, Wanted, Wrote, idempotency_key};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a supervisor answers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Said {
    /// 200: the edition, and how many places were touched.
    Done(u64, usize),
    /// 200 for an order of the operator that a higher edition has overtaken; it names that edition.
    Overtaken(u64),
    /// 409.
    Refused,
    /// 503: it was not done, and will not be for this coming.
    NotDone,
    /// 500, or nothing.
    Unclear,
}

/// One order, with the body that goes out each time.
#[derive(Clone, Debug)]
struct Order {
    /// `None`: the operator's, for the account.
    office: Option<&'static str>,
    verb: &'static str,
    body: &'static str,
    /// What only this one puts, if it puts something.
    own: Option<u8>,
    at: Stage,
    since: Duration,
    /// Of the supervisor that has it.
    transaction: Transaction<'static>,
    told: Option<Said>,
}

/// How far the supervisor that has it is.
#[derive(Clone, Debug)]
enum Stage {
    /// Nobody has it: it goes out at this time.
    Out(Duration),
    Reads(u64),
    Writes(u64),
}

struct World {
    sea: Sea,
    ids: u64,
    operator: Configuration,
    /// Each clear answer to each body, lost ones too.
    said: BTreeMap<String, BTreeSet<Said>>,
    /// A deliberate fault: each coming has a key of its own.
    forgets: bool,
    values: u8,
    counts: [u64; 4],
}

fn operator() -> Configuration {
    read_configuration(br#"{"edition":1,"routes":{"fields":[],"entries":[]},"services":{"fields":["name"],"entries":[["s"]]}}"#)
        .unwrap()
}

fn account(edition: u64, content: u64) -> String {
    format!(
        r#"{{"edition":{edition},"areas":[{{"depot":"h","lane_prefix":"/"}}],"classes":["safe"],"priority":0,
            "services":[{{"service":"s"}}],"limits":{{"routes":{}}},"offices":[{{"id":"north"}},{{"id":"south"}}]}}"#,
        100 + content
    )
}

impl World {
    fn new(seed: u64, forgets: bool) -> World {
        let mut sea = Sea::new(seed, 3 + (seed % 3) as u8, 1);
        sea.run(ms(3500));
        sea.first = false;
        (sea.weather.lost, sea.weather.late) = (20, 30);
        let (said, counts) = (BTreeMap::new(), [0; 4]);
        World { sea, ids: 0, operator: operator(), said, forgets, values: 0, counts }
    }

    fn call(&mut self, call: Call) -> u64 {
        let up = self.sea.up();
        self.ids += 1;
        if !up.is_empty() {
            let at = up[self.sea.rng.usize(0..up.len())];
            self.sea.call(at, self.ids, call);
        }
        self.ids
    }

    fn order(
        &mut self, office: Option<&'static str>, verb: &'static str, body: &str, own: Option<u8>,
    ) -> Order {
        let body: &'static str = body.to_owned().leak();
        let at = Stage::Out(self.sea.now + ms(self.sea.rng.u64(0..40)));
        let transaction = Transaction::new(Wanted::Account("survey"), body.as_bytes());
        Order { office, verb, body, own, at, since: self.sea.now, transaction, told: None }
    }

    /// A supervisor takes it up.
    fn take_up(&mut self, order: &mut Order) {
        let wanted = match order.office {
            None => Wanted::Account("survey"),
            Some(office) => {
                let at = self.sea.now.as_secs() * 60;
                let mut maker = Maker::of(office, order.verb, order.body.as_bytes(), at, String::new());
                if self.forgets {
                    maker.idempotency_key = self.sea.rng.u64(..);
                }
                if order.verb == "undo" { Wanted::Undo(maker) } else { Wanted::Put(maker) }
            }
        };
        order.transaction = Transaction::new(wanted, order.body.as_bytes());
        self.reads(order);
    }

    /// Two to eight orders, all of them made from what is held now.
    fn draw(&mut self, ledger: &Ledger) -> Vec<Order> {
        let count = self.sea.rng.u64(2..=8);
        let edition = ledger.accounts.get("survey").map_or(0, |account| account.edition) + 1;
        let mut orders: Vec<Order> = Vec::new();
        for _ in 0..count {
            let office = ["north", "south"][self.sea.rng.usize(0..2)];
            let base = ledger.office(office).map_or(0, |(.., office)| office.edition);
            let order = match self.sea.rng.u8(0..8) {
                0..2 => {
                    let content = self.sea.rng.u64(0..3);
                    self.order(None, "account", &account(edition, content), None)
                }
                2 => self.order(Some(office), "undo", &format!(r#"{{"base":{base}}}"#), None),
                // It alters nothing; its base holds on.
                4 => self.order(Some(office), "put", &format!(r#"{{"base":{base},"remove":[]}}"#), None),
                // Two who hold one key send the same.
                3 if orders.iter().any(|order| order.office.is_some()) => {
                    let same = orders.iter().find(|order| order.office.is_some()).cloned();
                    let Order { office, verb, body, own, .. } = same.expect("one of an office");
                    self.order(office, verb, body, own)
                }
                _ => {
                    self.values = self.values % 250 + 1;
                    let (value, place) = (self.values, self.sea.rng.u8(0..3));
                    let body = format!(
                        r#"{{"base":{base},"put":{{"fields":["depot","lane_prefix","route_class","service","priority"],
                            "entries":[["h","/{office}/{place}/","safe","s",{value}]]}}}}"#
                    );
                    self.order(Some(office), "put", &body, Some(value))
                }
            };
            orders.push(order);
        }
        orders
    }

    fn play(&mut self, orders: &mut [Order], troubled: bool) -> Result<(), String> {
        let until = self.sea.now + ms(40_000);
        while orders.iter().any(|order| order.told.is_none()) {
            if self.sea.now > until {
                return Err(format!("no clear answer: {orders:?}"));
            }
            self.sea.run(self.sea.now + ms(4));
            for order in orders.iter_mut().filter(|order| order.told.is_none()) {
                self.step(order, troubled)?;
            }
            let up = self.sea.up();
            if troubled && up.len() > self.sea.disk_machines().len() {
                let node = up[self.sea.rng.usize(0..up.len())];
                match self.sea.rng.u16(0..300) {
                    0..2 => {
                        self.sea.kill(node, true);
                        self.sea.restart(node, ms(400));
                    }
                    2 => self.sea.cut(&[node], ms(900)),
                    3 => {
                        for node in self.sea.disk_machines() {
                            self.sea.kill(node, true);
                            self.sea.restart(node, ms(300));
                        }
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    fn answer(&self, id: u64) -> Option<Answer> {
        self.sea.answers.iter().find(|(told, ..)| *told == id).map(|(.., answer)| answer.clone())
    }

    /// Carries its transaction out, as `gateway` does.
    fn step(&mut self, order: &mut Order, troubled: bool) -> Result<(), String> {
        let late = self.sea.now > order.since + ms(1000);
        match order.at.clone() {
            Stage::Out(at) if self.sea.now < at => Ok(()),
            Stage::Out(_) => {
                self.take_up(order);
                Ok(())
            }
            Stage::Reads(id) => match self.answer(id) {
                None if !late => Ok(()),
                Some(Answer::Config(body)) => {
                    let ledger = Ledger::decode(&body).map_err(|e| e.to_string())?;
                    self.judge(order, &ledger, troubled)
                }
                Some(Answer::Missing) => self.judge(order, &Ledger::default(), troubled),
                Some(Answer::Busy) if !order.transaction.in_doubt() => {
                    self.say(order, Said::NotDone, troubled)
                }
                _ => self.say(order, Said::Unclear, troubled),
            },
            Stage::Writes(id) => {
                let wrote = match self.answer(id) {
                    None if !late => return Ok(()),
                    Some(Answer::Revision(_)) => Wrote::Kept,
                    Some(Answer::Conflict { .. }) => Wrote::Overtaken,
                    Some(Answer::Busy) => Wrote::NotDone,
                    _ => Wrote::Unclear,
                };
                self.counts[0] += u64::from(wrote == Wrote::Kept);
                let step = order.transaction.wrote(wrote);
                self.go_on(order, step, troubled)
            }
        }
    }

    fn reads(&mut self, order: &mut Order) {
        order.since = self.sea.now;
        order.at = Stage::Reads(self.call(Call::AccountsGet));
    }

    fn judge(&mut self, order: &mut Order, ledger: &Ledger, troubled: bool) -> Result<(), String> {
        match order.transaction.read(ledger, &self.operator) {
            Ok(step) => self.go_on(order, step, troubled),
            Err(_) if order.transaction.in_doubt() => self.say(order, Said::Unclear, troubled),
            // The first order of the operator is not there yet.
            Err(Refused::NoOffice) => self.say(order, Said::Unclear, troubled),
            Err(Refused::Stale { .. } | Refused::NothingToUndo | Refused::Differs { .. }) => {
                self.say(order, Said::Refused, troubled)
            }
            Err(other) => Err(other.to_string()),
        }
    }

    fn go_on(&mut self, order: &mut Order, step: Step, troubled: bool) -> Result<(), String> {
        let said = match step {
            Step::Read => {
                self.reads(order);
                return Ok(());
            }
            Step::Write { base, body } => {
                order.since = self.sea.now;
                order.at = Stage::Writes(self.call(Call::AccountsPut { base, body }));
                return Ok(());
            }
            Step::Done(done) => Said::Done(done.edition, done.touched),
            Step::Nothing { edition } if order.office.is_none() => Said::Overtaken(edition),
            Step::Nothing { edition } => Said::Done(edition, 0),
            Step::GivenUp if order.transaction.in_doubt() => Said::Unclear,
            Step::GivenUp => Said::NotDone,
        };
        self.say(order, said, troubled)
    }

    /// The supervisor answers; its answer may be lost.
    fn say(&mut self, order: &mut Order, said: Said, troubled: bool) -> Result<(), String> {
        let again = Stage::Out(self.sea.now + ms(self.sea.rng.u64(20..300)));
        if matches!(said, Said::Unclear | Said::NotDone) {
            order.at = again;
            return Ok(());
        }
        let name = format!("{:?} {} {}", order.office, order.verb, order.body);
        let answers = self.said.entry(name.clone()).or_default();
        answers.insert(said.clone());
        // Overtaken is no confirmation: it names another edition.
        let clear = answers.iter().filter(|said| !matches!(said, Said::Overtaken(_))).count();
        if clear > 1 {
            return Err(format!("{name} is told {answers:?}"));
        }
        if troubled && self.sea.rng.u8(0..4) == 0 {
            self.counts[2] += 1;
            order.at = again;
        } else {
            self.counts[if said == Said::Refused { 3 } else { 1 }] += 1;
            order.told = Some(said);
        }
        Ok(())
    }

    fn read(&mut self) -> Result<Ledger, String> {
        for _ in 0..40 {
            let id = self.call(Call::AccountsGet);
            self.sea.run(self.sea.now + ms(500));
            match self.answer(id) {
                Some(Answer::Config(body)) => return Ledger::decode(&body).map_err(|e| e.to_string()),
                Some(Answer::Missing) => return Ok(Ledger::default()),
                _ => {}
            }
        }
        Err("nothing is read".to_owned())
    }

    /// No number was confirmed for two contents, each that was is there once, and none that was refused is.
    fn check(&self, orders: &[Order], ledger: &Ledger) -> Result<(), String> {
        let mut numbers: BTreeMap<(Option<&str>, u64), &str> = BTreeMap::new();
        for order in orders {
            if let Some(Said::Done(edition, touched)) = &order.told
                && (*touched > 0 || order.office.is_none())
                && let Some(other) = numbers.insert((order.office, *edition), order.body)
                && other != order.body
            {
                return Err(format!("{:?} {edition} is both {other} and {}", order.office, order.body));
            }
        }
        for office in ["north", "south"] {
            let Some((_, _, held)) = ledger.office(office) else { continue };
            let mut keys: Vec<u64> = held.trail.iter().map(|entry| entry.idempotency_key).collect();
            keys.sort_unstable();
            if keys.windows(2).any(|pair| pair[0] == pair[1]) {
                return Err(format!("{office} has a change twice"));
            }
        }
        for order in orders.iter().filter(|order| order.told == Some(Said::Refused)) {
            let key = idempotency_key(order.verb, order.body.as_bytes());
            let held = order.office.and_then(|office| ledger.office(office));
            if held.is_some_and(|(.., held)| {
                held.made_by(key).is_some()
                    || held.routes.iter().any(|route| Some(route.priority) == order.own)
            }) {
                return Err(format!("{} was refused and is there", order.body));
            }
        }
        Ok(())
    }
}

fn play(seed: u64, rounds: u64, forgets: bool) -> Result<[u64; 4], String> {
    let mut world = World::new(seed, forgets);
    let mut first = [world.order(None, "account", &account(1, 0), None)];
    world.play(&mut first, false)?;
    let mut before: Vec<Order> = first.to_vec();
    for _ in 0..rounds {
        let ledger = world.read()?;
        let mut orders = world.draw(&ledger);
        world.play(&mut orders, true)?;
        let ledger = world.read()?;
        world.check(&orders, &ledger)?;
        // All of them once more, and what was done in the round before: each is told the same, and nothing moves.
        before.retain(|order| matches!(&order.told, Some(Said::Done(..))));
        for order in orders.iter().chain(&before) {
            let mut again = [Order { told: None, at: Stage::Out(world.sea.now), ..order.clone() }];
            world.play(&mut again, false)?;
            if again[0].told != order.told {
                return Err(format!("{order:?} was told {:?} when it came again", again[0].told));
            }
        }
        let after = world.read()?;
        if after != ledger {
            return Err(format!("what came again moved {} to {}", ledger.revision, after.revision));
        }
        before = orders;
    }
    Ok(world.counts)
}

#[test]
fn an_order_that_comes_again_is_told_what_it_was_told_and_done_once() {
    let mut all = [0; 4];
    let more = std::env::var("SEA_MORE").ok().and_then(|more| more.parse::<u64>().ok()).unwrap_or(1);
    for seed in 0..25 * more {
        match play(seed, 8, false) {
            Ok(counts) => (0..4).for_each(|at| all[at] += counts[at]),
            Err(why) => panic!("seed {seed}: {why}"),
        }
    }
    println!("written, done, lost, refused: {all:?}");
    assert!(all.iter().all(|count| *count > 100), "{all:?}");
}

/// Without the key what was made is not known again.
#[test]
fn an_order_that_is_not_remembered_is_found_out() {
    let found = (0..25).find_map(|seed| Some((seed, play(seed, 8, true).err()?)));
    println!("{found:?}");
    assert!(found.is_some());
}

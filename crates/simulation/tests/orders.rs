//! Two to eight operators put configurations at once, on versions that meet, at different keepers, over the real cores in
//! virtual time. Answers are lost on their way, and an order without a clear answer goes out again unchanged, to another
//! keeper. Whoever took one dies before it answers and after. With `--features faults`: each fault of numbers is found.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fallgap_control_state::messages::Record;
use fallgap_control_state::{Answer, Call, Key};
use fallgap_simulation::tides::{Script, walk};
use fallgap_simulation::waters::{Sea, ms};

type Body = Vec<u8>;

/// An order of an operator, until it is told clearly.
#[derive(Clone, Debug)]
struct Order {
    edition: u64,
    body: Body,
    /// The call under way, when it went out, and whether its answer is lost.
    asked: Option<(u64, Duration, bool)>,
    next: Duration,
    told: Option<Answer>,
}

struct World {
    sea: Sea,
    ids: u64,
    /// All that was told, lost answers too: a lost answer was given all the same.
    confirmed: BTreeMap<u64, BTreeSet<Body>>,
    refused: BTreeSet<(u64, Body)>,
    counts: Counts,
}

#[derive(Debug, Default)]
struct Counts {
    confirmed: u64,
    refused: u64,
    again: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let mut sea = Sea::new(seed, 3 + (seed % 3) as u8, 1);
        sea.run(ms(3500));
        sea.first = false;
        (sea.weather.lost, sea.weather.late, sea.weather.doubled) = (30, 40, 20);
        World { sea, ids: 0, confirmed: BTreeMap::new(), refused: BTreeSet::new(), counts: Counts::default() }
    }

    /// Orders on one version: some of them send the same content, some the version next to it.
    fn draw(&mut self, top: u64) -> Vec<Order> {
        let rng = &mut self.sea.rng;
        let operators = rng.u64(2..=8);
        let versions = [top + 1, top + 1, top + 1, top + 2, top + 3, top.saturating_sub(1).max(1)];
        let contents = rng.u64(1..=operators);
        let mut orders: Vec<Order> = (0..operators)
            .map(|operator| {
                let edition = versions[rng.usize(0..versions.len())];
                let content = operator % contents;
                let body = format!("{edition}:{}", if edition <= top { 9 } else { content }).into_bytes();
                Order { edition, body, asked: None, next: self.sea.now + ms(rng.u64(0..60)), told: None }
            })
            .collect();
        // What came before comes again; it was confirmed or refused for good.
        let before: Vec<(u64, Body)> = self
            .confirmed
            .iter()
            .rev()
            .take(20)
            .flat_map(|(edition, bodies)| bodies.iter().map(|body| (*edition, body.clone())))
            .collect();
        if let Some((edition, body)) =
            (!before.is_empty()).then(|| before[rng.usize(0..before.len())].clone())
        {
            orders.push(Order { edition, body, asked: None, next: self.sea.now, told: None });
        }
        orders
    }

    /// Plays them until each has a clear answer.
    fn play(&mut self, orders: &mut [Order], troubled: bool) -> Result<(), String> {
        let until = self.sea.now + ms(30_000);
        while orders.iter().any(|order| order.told.is_none()) {
            if self.sea.now > until {
                return Err(format!("no clear answer: {orders:?}, {:?}", self.sea.view()));
            }
            self.sea.run(self.sea.now + ms(3));
            for order in &mut *orders {
                self.step(order, troubled)?;
            }
            if troubled {
                self.blow();
            }
        }
        Ok(())
    }

    fn step(&mut self, order: &mut Order, troubled: bool) -> Result<(), String> {
        if order.told.is_some() {
            return Ok(());
        }
        let Some((id, since, lost)) = order.asked else {
            let up = self.sea.up();
            if self.sea.now >= order.next && !up.is_empty() {
                let at = up[self.sea.rng.usize(0..up.len())];
                self.ids += 1;
                order.asked = Some((self.ids, self.sea.now, troubled && self.sea.rng.u8(0..4) == 0));
                let call = Call::ConfigPut { edition: order.edition, body: order.body.clone() };
                self.sea.call(at, self.ids, call);
                // Now and then who took it dies with it.
                if troubled && self.sea.rng.u8(0..10) == 0 && up.len() > self.sea.disk_machines().len() {
                    let after = ms(self.sea.rng.u64(1..40));
                    self.sea.run(self.sea.now + after);
                    self.sea.kill(at, true);
                    self.sea.restart(at, ms(500));
                }
            }
            return Ok(());
        };
        let answer =
            self.sea.answers.iter().find(|(told, ..)| *told == id).map(|(.., answer)| answer.clone());
        let again = |order: &mut Order, pause| (order.asked, order.next) = (None, pause);
        let pause = self.sea.now + ms(self.sea.rng.u64(20..200));
        match answer {
            None if self.sea.now < since + ms(1000) => {}
            None | Some(Answer::Unknown | Answer::Busy) => again(order, pause),
            Some(answer) => {
                self.note(order, &answer)?;
                if lost {
                    self.counts.again += 1;
                    again(order, pause);
                } else {
                    order.told = Some(answer);
                }
            }
        }
        Ok(())
    }

    fn note(&mut self, order: &Order, answer: &Answer) -> Result<(), String> {
        let Order { edition, body, .. } = order;
        match answer {
            Answer::Done => {
                self.counts.confirmed += 1;
                self.confirmed.entry(*edition).or_default().insert(body.clone());
            }
            Answer::Differs { .. } => {
                self.counts.refused += 1;
                self.refused.insert((*edition, body.clone()));
            }
            other => return Err(format!("{edition}: {other:?}")),
        }
        let confirmed = self.confirmed.get(edition);
        if let Some(contents) = confirmed.filter(|contents| contents.len() > 1) {
            return Err(format!("two contents are confirmed under {edition}: {contents:?}"));
        }
        if confirmed.is_some_and(|contents| contents.contains(body))
            && self.refused.contains(&(*edition, body.clone()))
        {
            return Err(format!("{edition} {body:?} is both confirmed and refused"));
        }
        Ok(())
    }

    fn blow(&mut self) {
        let up = self.sea.up();
        let full = up.len() > self.sea.disk_machines().len();
        match self.sea.rng.u16(0..600) {
            0 if full => {
                let node = up[self.sea.rng.usize(0..up.len())];
                self.sea.kill(node, true);
                self.sea.restart(node, ms(400));
            }
            1 if full => {
                let span = ms(self.sea.rng.u64(100..1500));
                self.sea.cut(&up[..1], span);
            }
            2 if full => {
                let node = up[self.sea.rng.usize(0..up.len())];
                self.sea.freeze(node, ms(900));
            }
            3 => {
                for node in self.sea.disk_machines() {
                    if up.contains(&node) {
                        self.sea.kill(node, true);
                        self.sea.restart(node, ms(300));
                    }
                }
            }
            _ => {}
        }
    }

    /// What is read: the highest version that was confirmed, with the content that was confirmed under it.
    fn read(&mut self) -> Result<(u64, Body), String> {
        let until = self.sea.now + ms(20_000);
        while self.sea.now < until {
            let up = self.sea.up();
            if let Some(at) = up.get(self.sea.rng.usize(0..up.len().max(1))) {
                self.ids += 1;
                self.sea.call(*at, self.ids, Call::ConfigGet);
            }
            self.sea.run(self.sea.now + ms(500));
            let answer = self.sea.answers.iter().rev().find(|(id, ..)| *id == self.ids);
            if let Some((.., Answer::Config(body))) = answer {
                let text = String::from_utf8_lossy(body);
                let edition = text.split(':').next().and_then(|edition| edition.parse().ok());
                return Ok((edition.ok_or("what is read is no content")?, body.clone()));
            }
        }
        Err(format!("no configuration is read: {:?}", self.sea.view()))
    }

    fn settle(&mut self) -> Result<u64, String> {
        let (edition, body) = self.read()?;
        if self.refused.contains(&(edition, body.clone())) {
            return Err(format!("{edition} {body:?} was refused and is in force"));
        }
        let (top, contents) = self.confirmed.last_key_value().ok_or("nothing is confirmed")?;
        if edition != *top || !contents.contains(&body) {
            return Err(format!("{edition} {body:?} is read, {top} {contents:?} was confirmed"));
        }
        Ok(edition)
    }

    /// Everything that was told of late is asked for again, with no trouble and no other change.
    fn ask_again(&mut self, told: &[Order]) -> Result<(), String> {
        for order in told {
            let again = Order { asked: None, next: self.sea.now, told: None, ..order.clone() };
            let mut again = [again];
            self.play(&mut again, false)?;
            let told = (&order.told, &again[0].told);
            let same = match told {
                (Some(Answer::Differs { .. }), Some(now)) => matches!(now, Answer::Differs { .. }),
                (before, now) => before == now,
            };
            if !same {
                return Err(format!("{order:?} was told {:?} when it came again", again[0].told));
            }
        }
        Ok(())
    }
}

fn play(seed: u64, rounds: u64) -> Result<Counts, String> {
    let mut world = World::new(seed);
    let mut top = 0;
    for _ in 0..rounds {
        let mut orders = world.draw(top);
        world.play(&mut orders, true)?;
        top = world.settle()?;
        world.ask_again(&orders)?;
    }
    Ok(world.counts)
}

fn seeds(count: u64) -> std::ops::Range<u64> {
    let given = |name| std::env::var(name).ok().and_then(|value| value.parse::<u64>().ok());
    given("SEA_SEED").map_or(0..count * given("SEA_MORE").unwrap_or(1), |seed| seed..seed + 1)
}

#[test]
fn one_number_is_confirmed_with_one_content() {
    let mut all = Counts::default();
    for seed in seeds(40) {
        match play(seed, 8) {
            Ok(Counts { confirmed, refused, again }) => {
                (all.confirmed, all.refused, all.again) =
                    (all.confirmed + confirmed, all.refused + refused, all.again + again);
            }
            Err(why) => panic!("seed {seed}: {why}"),
        }
    }
    println!("{all:?}");
    assert!(all.confirmed > 1000 && all.refused > 500 && all.again > 300, "{all:?}");
}

#[cfg(feature = "faults")]
#[test]
fn every_fault_of_numbers_is_found() {
    use fallgap_control_state::fault::{self, Fault};
    use fallgap_simulation::voyage::guarded;
    for fault in [Fault::ContentNotAsked, Fault::TakenForgotten, Fault::EditionFalls] {
        fault::set(Some(fault));
        let found = (0..40).find_map(|seed| match guarded(|| play(seed, 8)) {
            Ok(Ok(_)) => None,
            Ok(Err(why)) => Some((seed, why)),
            Err(breach) => Some((seed, breach.to_string())),
        });
        fault::set(None);
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?}");
    }
}

const EXHAUSTIVE: usize = 50_000;

/// Two contents under one edition, and one more above: all orders of what is under way, three nodes.
fn scripts() -> [(Script, usize); 4] {
    let put = |edition: u64, own: u8| Call::ConfigPut {
        edition,
        body: [&edition.to_be_bytes()[..], &[own]].concat(),
    };
    let at = |nodes: [u8; 2]| vec![(nodes[0], put(7, 1)), (nodes[1], put(7, 2))];
    let script = |calls, powers, lost| Script { calls, powers, lost, doubled: 0 };
    // Not exhaustive: the first states, so many.
    let first = std::env::var("SEA_STATES").ok().and_then(|most| most.parse().ok()).unwrap_or(4_000);
    let above = vec![(1, put(7, 1)), (1, put(8, 1)), (1, put(7, 2))];
    [
        (script(at([1, 1]), 0, 0), EXHAUSTIVE),
        (script(above, 0, 0), first),
        (script(at([1, 2]), 0, 0), first),
        (script(at([1, 2]), 1, 1), first),
    ]
}

#[test]
fn all_orders_of_two_contents_under_one_number() {
    for (at, (script, most)) in scripts().into_iter().enumerate() {
        match walk(&script, most) {
            Ok(walked) => {
                println!("{at}: {walked:?}");
                assert!(walked.exhaustive == (most == EXHAUSTIVE), "{at}: {walked:?}");
            }
            Err(stranded) => panic!("{at}: {}: {:#?}", stranded.breach, stranded.way),
        }
    }
}

#[cfg(feature = "faults")]
#[test]
fn the_walk_finds_a_content_that_is_not_asked_for() {
    use fallgap_control_state::fault::{self, Fault};
    use fallgap_simulation::Check;
    for (fault, script) in [(Fault::ContentNotAsked, 0), (Fault::TakenForgotten, 1)] {
        let (script, most) = scripts()[script].clone();
        fault::set(Some(fault));
        let found = walk(&script, most).err().map(|stranded| stranded.breach.check());
        fault::set(None);
        assert_eq!(found, Some(Check::Content), "{fault:?}");
    }
}

/// The disks hold what the text before wrote: edition and body, and nothing behind them; epochs that do not say whether
/// they have grown.
#[test]
fn disks_of_the_text_before_are_read() {
    for seed in 0..5 {
        let mut world = World::new(seed);
        let mut top = 0;
        for _ in 0..2 {
            let mut orders = world.draw(top);
            world.play(&mut orders, true).unwrap();
            top = world.settle().unwrap();
        }
        let nodes = world.sea.disk_machines();
        world.sea.run(world.sea.now + ms(2500));
        let (mut rewritten, mut epochs) = (0, 0);
        for node in &nodes {
            world.sea.kill(*node, false);
            let machine = world.sea.machines.get_mut(node).unwrap();
            for kept in &mut machine.kept {
                if let Ok(Record::Epoch(_) | Record::Successor { accepted: Some(_), .. }) = Record::read(kept)
                {
                    kept.pop();
                    epochs += 1;
                }
                let Ok(Record::Accept { key: Key::Config, ballot, promised, value }) =
                    postcard::from_bytes::<Record>(kept)
                else {
                    continue;
                };
                let body = fallgap_control_state::subjects::config_body(Some(value.bytes())).unwrap();
                let before = [&value.bytes()[..8], body].concat();
                assert!(before.len() < value.bytes().len());
                let record = Record::Accept { key: Key::Config, ballot, promised, value: before.into() };
                *kept = postcard::to_stdvec(&record).unwrap();
                rewritten += 1;
            }
        }
        assert!(rewritten >= nodes.len() && epochs >= nodes.len(), "{rewritten}, {epochs}");
        nodes.iter().for_each(|node| world.sea.restart(*node, ms(100)));
        world.sea.run(world.sea.now + ms(2000));
        assert_eq!(world.settle().unwrap(), top);
        // What the text before took and was overtaken is not known: it is acknowledged. The highest is known.
        let held: Vec<Order> = world
            .confirmed
            .iter()
            .flat_map(|(edition, bodies)| {
                bodies.iter().map(|body| {
                    let (edition, body) = (*edition, body.clone());
                    Order { edition, body, asked: None, next: Duration::ZERO, told: Some(Answer::Done) }
                })
            })
            .collect();
        world.ask_again(&held).unwrap();
        let mut other = [Order {
            edition: top,
            body: format!("{top}:other").into_bytes(),
            asked: None,
            next: Duration::ZERO,
            told: None,
        }];
        world.play(&mut other, false).unwrap();
        assert_eq!(other[0].told, Some(Answer::Differs { edition: top }));
        let mut orders = world.draw(top);
        orders.retain(|order| order.edition > top);
        if orders.is_empty() {
            continue;
        }
        world.play(&mut orders, true).unwrap();
        assert!(world.settle().unwrap() > top);
    }
}

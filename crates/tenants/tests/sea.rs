//! Two offices and the operator, each at a keeper of its own choice, over keepers in virtual time: messages are lost and
//! late, keepers are cut off and killed, just after an acknowledgement too, and all lose power.

use fallgap_config::{Configuration, read_configuration};
use fallgap_control_state::{Answer, Call};
use fallgap_simulation::waters::{Sea, ms};
use fallgap_tenants::{Carried, Ledger, Maker, Refused, plan, read_change, read_order};
use std::time::Duration;

/// How far a clerk is with what it wants.
#[derive(Clone, Debug)]
enum Stage {
    Rests,
    Reads,
    Writes,
}

/// Does one thing after the other as `gateway` does: reads, judges, writes over what it read, and reads again when it is
/// not told clearly.
struct Clerk {
    /// `None`: the operator.
    office: Option<&'static str>,
    stage: Stage,
    asked: (u64, Duration),
    /// What it wants now, by its number, and what it was told for good of those before.
    wanted: u64,
    acknowledged: u64,
    /// Of the office when the last one was acknowledged.
    edition: u64,
    /// The number of the last change that is kept, and how many were refused for the account's limit.
    kept: u64,
    refused: u64,
}

fn operator() -> Configuration {
    read_configuration(br#"{"edition":1,"routes":{"fields":[],"entries":[]},"services":{"fields":["name"],"entries":[["s"]]}}"#)
        .unwrap()
}

fn account(edition: u64) -> String {
    format!(
        r#"{{"edition":{edition},"areas":[{{"depot":"h","lane_prefix":"/"}}],"classes":["safe"],"priority":0,
            "services":[{{"service":"s"}}],"limits":{{"routes":4}},"offices":[{{"id":"north"}},{{"id":"south"}}]}}"#
    )
}

/// The route that an office's change with this number puts: three places in turn.
fn wanted(office: &str, number: u64) -> (String, u8) {
    (format!("/{office}/{}/", number % 3), (number % 200) as u8)
}

struct World {
    sea: Sea,
    clerks: Vec<Clerk>,
    calls: u64,
    operator: Configuration,
    conflicts: u64,
}

impl World {
    fn ask(&mut self, clerk: usize, call: Call, stage: Stage) {
        let up = self.sea.up();
        let at = up[self.sea.rng.usize(0..up.len())];
        self.calls += 1;
        self.clerks[clerk].asked = (self.calls, self.sea.now);
        self.clerks[clerk].stage = stage;
        self.sea.call(at, self.calls, call);
    }

    fn step(&mut self, at: usize) {
        let (id, since) = self.clerks[at].asked;
        let answer =
            self.sea.answers.iter().find(|(told, ..)| *told == id).map(|(.., answer)| answer.clone());
        let late = self.sea.now > since + ms(1200);
        match (self.clerks[at].stage.clone(), answer) {
            (Stage::Rests, _) => self.ask(at, Call::AccountsGet, Stage::Reads),
            (Stage::Reads, Some(Answer::Config(body))) => self.judge(at, Ledger::decode(&body).unwrap()),
            (Stage::Reads, Some(Answer::Missing)) => self.judge(at, Ledger::default()),
            (Stage::Writes, Some(Answer::Revision(_))) => {
                self.clerks[at].kept = self.clerks[at].wanted;
                self.acknowledge(at);
            }
            (Stage::Writes, Some(Answer::Conflict { .. })) => {
                self.conflicts += 1;
                self.clerks[at].stage = Stage::Rests;
            }
            (_, None) if !late => {}
            _ => self.clerks[at].stage = Stage::Rests,
        }
    }

    fn acknowledge(&mut self, at: usize) {
        let clerk = &mut self.clerks[at];
        (clerk.acknowledged, clerk.wanted, clerk.stage) = (clerk.wanted, clerk.wanted + 1, Stage::Rests);
        // Now and then whoever acknowledged dies with it.
        if self.sea.rng.u8(0..12) == 0 {
            let up = self.sea.up();
            if up.len() == 4 {
                let node = up[self.sea.rng.usize(0..4)];
                self.sea.kill(node, true);
                self.sea.restart(node, ms(700));
            }
        }
    }

    /// What was read holds all that was acknowledged before it was asked for, and no limit is passed.
    fn judge(&mut self, at: usize, ledger: Ledger) {
        let total: usize = ledger.accounts.values().map(|account| account.routes()).sum();
        assert!(total <= 4, "{total} routes");
        let number = self.clerks[at].wanted;
        let Some(office) = self.clerks[at].office else {
            let order = read_order("survey", account(number).as_bytes(), &ledger).unwrap();
            return match order.carried_out(&ledger, "survey") {
                Carried::Out(next) => self.write(at, &ledger, &next),
                Carried::Again { .. } => self.acknowledge(at),
                other => panic!("the operator is alone: {other:?}"),
            };
        };
        let Some((_, _, held)) = ledger.office(office) else {
            self.clerks[at].stage = Stage::Rests;
            return;
        };
        assert!(held.edition >= self.clerks[at].edition, "{office} went back");
        if let Some(entry) = held.made_by(number) {
            (self.clerks[at].edition, self.clerks[at].kept) = (entry.edition, number);
            return self.acknowledge(at);
        }
        let newest = held.trail.back().map_or(0, |entry| entry.idempotency_key);
        assert_eq!(newest, self.clerks[at].kept, "{office}: what is kept last");
        let (prefix, priority) = wanted(office, number);
        let body = format!(
            r#"{{"base":{},"put":{{"fields":["depot","lane_prefix","route_class","service","priority"],
                "entries":[["h","{prefix}","safe","s",{priority}]]}}}}"#,
            held.edition
        );
        let change = read_change(body.as_bytes(), &self.operator).unwrap();
        let maker = Maker { office, at: number * 60, idempotency_key: number, key: String::new() };
        match plan(&ledger, &self.operator, &maker, &change) {
            Ok(plan) => self.write(at, &ledger, &plan.next.expect("each change is one")),
            Err(Refused::Faults(faults)) => {
                assert_eq!(faults.to_string(), "the account would have 5 routes, 4 at most");
                self.clerks[at].refused += 1;
                self.acknowledge(at);
            }
            Err(other) => panic!("{office}: {other}"),
        }
    }

    fn write(&mut self, at: usize, ledger: &Ledger, next: &Ledger) {
        self.ask(at, Call::AccountsPut { base: ledger.revision, body: next.encode() }, Stage::Writes);
    }
}

impl Clerk {
    fn new(office: Option<&'static str>) -> Clerk {
        let asked = (0, Duration::ZERO);
        Clerk {
            office,
            stage: Stage::Rests,
            asked,
            wanted: 1,
            acknowledged: 0,
            edition: 0,
            kept: 0,
            refused: 0,
        }
    }
}

#[test]
fn what_is_acknowledged_is_kept_and_no_two_pass_each_other() {
    let (mut kept, mut refused, mut conflicts) = (0, 0, 0);
    for seed in 1..=5 {
        let mut world = World {
            sea: Sea::new(seed, 4, 1),
            clerks: vec![Clerk::new(None), Clerk::new(Some("north")), Clerk::new(Some("south"))],
            calls: 0,
            operator: operator(),
            conflicts: 0,
        };
        world.sea.run(ms(3000));
        world.sea.first = false;
        (world.sea.weather.lost, world.sea.weather.late) = (30, 30);
        while world.sea.now < ms(25_000) {
            world.sea.run(world.sea.now + ms(7));
            (0..3).for_each(|at| world.step(at));
            match world.sea.rng.u16(0..900) {
                0 => {
                    let nodes = world.sea.up();
                    world.sea.cut(&nodes[..1], ms(2500));
                }
                1 => {
                    let nodes = world.sea.up();
                    world.sea.freeze(nodes[0], ms(1500));
                }
                // All lose power.
                2 if world.sea.now < ms(20_000) => {
                    for node in world.sea.disk_machines() {
                        world.sea.kill(node, true);
                        world.sea.restart(node, ms(300));
                    }
                }
                _ => {}
            }
            if world.sea.up().is_empty() {
                world.sea.run(world.sea.now + ms(600));
            }
        }
        kept += world.clerks.iter().map(|clerk| clerk.acknowledged).sum::<u64>();
        refused += world.clerks.iter().map(|clerk| clerk.refused).sum::<u64>();
        conflicts += world.conflicts;
    }
    println!("{kept} kept, {refused} refused, {conflicts} overtaken");
    assert!(kept > 1000 && conflicts > 100, "{kept} kept, {refused} refused, {conflicts} overtaken");
}

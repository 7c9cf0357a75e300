//! Where calls are run, and whose answer counts.

use fallgap_control_state::{Answer, Call};
use fallgap_gateway::calls::{Caller, Calls, Step, Terms};
use std::net::Ipv4Addr;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn node(i: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, i)
}

/// A caller of this supervisor, who may be gone.
fn here() -> Caller {
    Caller::Here(sync_channel(1).0)
}

fn call() -> Call {
    Call::Number { name: "n".into() }
}

/// One supervisor, itself no keeper, that knows three.
struct World {
    calls: Calls,
    keepers: Vec<Ipv4Addr>,
    ids: Vec<(Ipv4Addr, u64)>,
    said: Vec<Answer>,
    /// Who was told that nobody waits any more.
    withdrawn: Vec<Ipv4Addr>,
}

impl World {
    fn new() -> World {
        let keepers = vec![node(1), node(2), node(3)];
        World {
            calls: Calls::new(Terms::default(), 1),
            keepers,
            ids: vec![],
            said: vec![],
            withdrawn: vec![],
        }
    }
    fn take(&mut self, mut steps: Vec<Step>) -> &'static str {
        steps.retain(|step| match step {
            Step::Withdraw(keeper, _) => {
                self.withdrawn.push(*keeper);
                false
            }
            _ => true,
        });
        assert!(steps.len() < 2);
        let Some(step) = steps.into_iter().next() else { return "nothing" };
        match step {
            Step::Run(..) => "here",
            Step::Stop(..) | Step::Withdraw(..) => "stop",
            Step::Ask(to, id, ..) => {
                self.ids.push((to, id));
                ["1", "2", "3"][usize::from(to.octets()[3]) - 1]
            }
            Step::Answer(_, answer) => {
                let word = match answer {
                    Answer::Busy => "busy",
                    Answer::Unknown => "unknown",
                    _ => "answer",
                };
                self.said.push(answer);
                word
            }
        }
    }
    fn comes(&mut self, now: Duration) -> &'static str {
        let keepers = self.keepers.clone();
        let step = self.calls.came(now, node(9), here(), call(), &keepers);
        self.take(step)
    }
    fn answers(&mut self, now: Duration, answer: Answer) -> &'static str {
        let (from, id) = self.ids.pop().expect("a call under way");
        self.says(now, from, id, answer)
    }
    fn says(&mut self, now: Duration, from: Ipv4Addr, id: u64, answer: Answer) -> &'static str {
        let keepers = self.keepers.clone();
        let step = self.calls.answered(now, node(9), from, id, answer, |_| keepers.clone());
        self.take(step)
    }
    fn wakes(&mut self, now: Duration) -> Vec<&'static str> {
        let keepers = self.keepers.clone();
        let steps = self.calls.woke(now, node(9), |_| keepers.clone());
        let words = steps.into_iter().map(|step| self.take(vec![step])).collect::<Vec<_>>();
        words.into_iter().filter(|word| *word != "nothing").collect()
    }
}

#[test]
fn a_call_goes_on_to_others_and_ends_in_time() {
    let mut world = World::new();
    assert_eq!(world.comes(Duration::ZERO), "1");
    assert_eq!(world.answers(5 * MS, Answer::Busy), "2");
    // The second says nothing: what was asked of it may have been done.
    assert_eq!(world.wakes(405 * MS), ["3"]);
    assert_eq!(world.answers(410 * MS, Answer::Busy), "nothing");
    assert_eq!(world.wakes(879 * MS), [] as [&str; 0]);
    assert_eq!(world.wakes(880 * MS), ["unknown"]);
    // Nothing of this one was ever run.
    let mut world = World::new();
    assert_eq!(world.comes(Duration::ZERO), "1");
    assert_eq!(world.answers(1 * MS, Answer::Busy), "2");
    assert_eq!(world.answers(2 * MS, Answer::Busy), "3");
    assert_eq!(world.answers(3 * MS, Answer::Busy), "busy");
}

/// Fails without the standings: each call waited for the silent keeper anew, 400 ms each.
#[test]
fn a_silent_keeper_is_waited_for_once() {
    let mut world = World::new();
    assert_eq!(world.comes(Duration::ZERO), "1");
    assert_eq!(world.wakes(400 * MS), ["2"]);
    assert_eq!(world.answers(410 * MS, Answer::Value(1)), "answer");
    assert_eq!(world.comes(500 * MS), "2");
    assert_eq!(world.answers(510 * MS, Answer::Value(2)), "answer");
    // After a while it is asked again; silent again, it is avoided for longer.
    assert_eq!(world.comes(1001 * MS), "1");
    assert_eq!(world.wakes(1401 * MS), ["2"]);
    assert_eq!(world.answers(1402 * MS, Answer::Value(3)), "answer");
    assert_eq!(world.comes(2500 * MS), "2");
    assert_eq!(world.answers(2501 * MS, Answer::Value(3)), "answer");
    // An answer clears it.
    assert_eq!(world.comes(2602 * MS), "1");
    assert_eq!(world.answers(2603 * MS, Answer::Value(4)), "answer");
    assert_eq!(world.comes(2604 * MS), "1");
    // So does a new process at its address.
    assert_eq!(world.wakes(3004 * MS), ["2"]);
    world.calls.anew(node(1));
    assert_eq!(world.comes(3005 * MS), "1");
}

/// Fails without the second keeper: a call that met a frozen one took 400 ms, at each supervisor anew.
#[test]
fn one_that_takes_longer_than_usual_is_helped_by_a_second() {
    let mut world = World::new();
    for at in 0..20 {
        assert_eq!(world.comes(100 * at * MS), "1");
        assert_eq!(world.answers((100 * at + 10) * MS, Answer::Value(1)), "answer");
    }
    assert_eq!(world.comes(2000 * MS), "1");
    let (first, id) = world.ids[0];
    assert_eq!(world.wakes(2044 * MS), [] as [&str; 0]);
    assert_eq!(world.wakes(2045 * MS), ["2"]);
    // Not run by the second: the first is waited for, and its answer counts.
    assert_eq!(world.answers(2050 * MS, Answer::Busy), "nothing");
    assert_eq!(world.says(2060 * MS, first, id, Answer::Value(1)), "answer");
    assert_eq!(world.says(2061 * MS, first, id, Answer::Value(1)), "nothing");
    // The second is faster by far: the first is not waited for again.
    world.calls.anew(node(2));
    world.ids.clear();
    assert_eq!(world.comes(3000 * MS), "1");
    assert_eq!(world.wakes(3100 * MS), ["2"]);
    assert_eq!(world.answers(3110 * MS, Answer::Value(2)), "answer");
    assert_eq!(world.comes(3111 * MS), "2");
    assert_eq!(world.answers(3120 * MS, Answer::Value(2)), "answer");
    // One answer late by much is usual where all are: no third is asked early.
    world.calls.anew(node(1));
    assert_eq!(world.comes(4000 * MS), "1");
    assert_eq!(world.wakes(4100 * MS), ["2"]);
    assert_eq!(world.wakes(4400 * MS), [] as [&str; 0]);
    assert_eq!(world.wakes(4500 * MS), ["3"]);
}

/// Cut off from all keepers: callers are sent elsewhere at once, and nothing was done.
#[test]
fn with_none_to_ask_the_caller_goes_elsewhere_at_once() {
    let mut world = World::new();
    assert_eq!(world.comes(Duration::ZERO), "1");
    assert_eq!(world.wakes(400 * MS), ["2"]);
    assert_eq!(world.wakes(800 * MS), ["3"]);
    assert_eq!(world.wakes(880 * MS), ["unknown"]);
    assert_eq!(world.comes(890 * MS), "busy");
    world.keepers.clear();
    assert_eq!(world.comes(891 * MS), "busy");
}

/// Fails with a watch at one keeper: while that was cut off, its watchers heard of no put for seconds.
#[test]
fn a_watch_waits_at_two_keepers() {
    let mut world = World::new();
    let keepers = world.keepers.clone();
    let watch = Call::Watch { group: "g.".into(), after: 1, wait: 2000 * MS };
    let steps = world.calls.came(MS, node(9), here(), watch, &keepers);
    assert_eq!(steps.into_iter().map(|step| world.take(vec![step])).collect::<Vec<_>>(), ["1", "2"]);
    assert_eq!(world.wakes(2400 * MS), [] as [&str; 0]);
    let heard = || Answer::Events { events: vec![], revision: 2 };
    let (first, id) = world.ids[0];
    assert_eq!(world.answers(2399 * MS, heard()), "answer");
    assert_eq!(world.says(2399 * MS, first, id, heard()), "nothing");
    // The other did not fail: it is asked first as before.
    assert_eq!(world.comes(2400 * MS), "1");
}

/// What befalls a call that may run at two keepers: one that another has run is withdrawn from the first, and so is one
/// whose caller has gone on elsewhere.
#[test]
fn who_may_still_run_a_call_is_told_not_to() {
    let patient = |world: &mut World| {
        assert_eq!(world.comes(Duration::ZERO), "1");
        assert_eq!(world.wakes(400 * MS), ["2"]);
    };
    type Case = (&'static str, fn(&mut World) -> &'static str, &'static str, &'static [u8]);
    let cases: [Case; 6] = [
        ("the second answers", |w| w.says(410 * MS, node(2), 1, Answer::Value(1)), "answer", &[1]),
        ("the first answers after all", |w| w.says(410 * MS, node(1), 1, Answer::Value(1)), "answer", &[2]),
        ("the second did not run it", |w| w.says(410 * MS, node(2), 1, Answer::Busy), "nothing", &[]),
        ("one that was not asked", |w| w.says(410 * MS, node(3), 1, Answer::Value(1)), "nothing", &[]),
        ("for another call", |w| w.says(410 * MS, node(2), 7, Answer::Value(1)), "nothing", &[]),
        ("nobody answers", |w| w.wakes(880 * MS)[0], "unknown", &[1, 2]),
    ];
    for (name, happens, wanted, withdrawn) in cases {
        let mut world = World::new();
        patient(&mut world);
        assert_eq!(happens(&mut world), wanted, "{name}");
        assert_eq!(world.withdrawn, withdrawn.iter().map(|last| node(*last)).collect::<Vec<_>>(), "{name}");
        // Doubled, or late: the caller has its answer.
        if wanted == "answer" {
            for from in [1, 2] {
                assert_eq!(world.says(420 * MS, node(from), 1, Answer::Value(2)), "nothing", "{name}");
            }
            assert_eq!(world.said, [Answer::Value(1)], "{name}");
        }
    }
}

/// The keeper's side: a call is withdrawn by who handed it over, under the number that this one gave it, once.
#[test]
fn a_call_is_withdrawn_by_its_asker_alone() {
    let mut calls = Calls::new(Terms::default(), 100);
    let steps = calls.came(Duration::ZERO, node(1), Caller::There(node(8), 5), call(), &[node(1)]);
    assert!(matches!(steps[..], [Step::Run(100, ..)]));
    for (from, number) in [(node(7), 5), (node(8), 6), (node(8), 100)] {
        assert!(calls.withdrawn(MS, node(1), from, number).is_empty());
    }
    assert!(matches!(calls.withdrawn(MS, node(1), node(8), 5)[..], [Step::Stop(100, _)]));
    assert!(calls.withdrawn(MS, node(1), node(8), 5).is_empty());
    // Its answer comes from the keeper all the same: it belongs to nobody.
    let answered = calls.answered(MS, node(1), node(1), 100, Answer::Value(1), |_| vec![]);
    assert!(answered.is_empty() && calls.under_way() == 0);
}

/// What another supervisor handed over is run here or nowhere. Fails if it is handed on: with no keeper that could run
/// it, one call came round thousands of times, and was run after its caller had been told.
#[test]
fn anothers_call_is_not_handed_on() {
    let all = [node(1), node(2), node(3)];
    let came = |calls: &mut Calls| {
        let steps = calls.came(Duration::ZERO, node(1), Caller::There(node(8), 5), call(), &all);
        assert!(matches!(steps[..], [Step::Run(7, ..)]));
    };
    for answer in [Answer::Busy, Answer::Unknown, Answer::Value(1)] {
        let mut calls = Calls::new(Terms::default(), 7);
        came(&mut calls);
        let steps = calls.answered(MS, node(1), node(1), 7, answer.clone(), |_| all.to_vec());
        let [Step::Answer(Caller::There(to, 5), said)] = &steps[..] else { panic!("{answer:?}") };
        assert_eq!((*to, said), (node(8), &answer));
    }
    let mut calls = Calls::new(Terms::default(), 7);
    came(&mut calls);
    for ms in [45, 400, 800] {
        assert!(calls.woke(ms * MS, node(1), |_| all.to_vec()).is_empty());
    }
    let steps = calls.woke(880 * MS, node(1), |_| all.to_vec());
    assert!(matches!(steps[..], [Step::Stop(7, _), Step::Answer(_, Answer::Unknown)]));
}

/// A call that comes behind its withdrawal, on a stream that was opened earlier, is not run: its caller has gone on.
#[test]
fn a_call_that_its_withdrawal_overtook_is_not_run() {
    // Who withdraws what, and when the call (of 8, number 5) comes behind it.
    let rows = [
        ("at once", node(8), 5, 1, false),
        ("as late as a stream may deliver", node(8), 5, 2400, false),
        ("another's", node(7), 5, 1, true),
        ("another call", node(8), 6, 1, true),
        ("it has been forgotten", node(8), 5, 3001, true),
    ];
    for (name, from, number, late, run) in rows {
        let mut calls = Calls::new(Terms::default(), 100);
        assert!(calls.withdrawn(MS, node(1), from, number).is_empty(), "{name}");
        let steps = calls.came(MS + late * MS, node(1), Caller::There(node(8), 5), call(), &[node(1)]);
        assert_eq!(steps.iter().any(|step| matches!(step, Step::Run(..))), run, "{name}");
        assert!(run || (steps.is_empty() && calls.under_way() == 0), "{name}");
    }
}

/// Guards against a call that is run for a caller that has gone, since its withdrawal was forgotten for others: time alone ends what is
/// remembered. Over the bound calls of other supervisors are turned away until all that were withdrawn then are too old to come.
#[test]
fn no_withdrawal_is_forgotten_for_others() {
    const LATER: Duration = Duration::from_secs(1);
    const OVER: Duration = Duration::from_millis(4001);
    let most = fallgap_gateway::withdrawn::Withdrawn::MOST as u64;
    let mut calls = Calls::new(Terms::default(), 100);
    (0..most).for_each(|number| _ = calls.withdrawn(MS, node(1), node(8), number));
    let comes = |calls: &mut Calls, at: Duration, number: u64| {
        let steps = calls.came(at, node(1), Caller::There(node(8), number), call(), &[node(1)]);
        match &steps[..] {
            [] => "withdrawn",
            [Step::Run(..)] => "run",
            [Step::Answer(Caller::There(..), Answer::Busy)] => "busy",
            _ => "else",
        }
    };
    let all = [0, 1, most - 1, most].map(|number| comes(&mut calls, LATER, number));
    assert_eq!(all, ["withdrawn", "withdrawn", "withdrawn", "run"]);
    // One more than fit: none of the others is forgotten for it, and it is not run either.
    calls.withdrawn(LATER, node(1), node(9), 7);
    let steps = calls.came(LATER, node(1), Caller::There(node(9), 7), call(), &[node(1)]);
    assert!(matches!(&steps[..], [Step::Answer(Caller::There(..), Answer::Busy)]));
    let all = [0, most - 1, most + 1].map(|number| comes(&mut calls, LATER, number));
    assert_eq!(all, ["withdrawn", "withdrawn", "busy"]);
    // The supervisor's own callers are not concerned.
    let steps = calls.came(LATER, node(1), here(), call(), &[node(1)]);
    assert!(matches!(&steps[..], [Step::Run(..)]));
    assert_eq!([0, most + 2].map(|number| comes(&mut calls, OVER, number)), ["run", "run"]);
}

/// A call of another supervisor is begun while its caller still waits, and not past that.
#[test]
fn an_old_call_of_another_is_not_begun() {
    const NOW: Duration = Duration::from_secs(60);
    let whole = Terms::default().whole;
    for (age, run) in [(Duration::ZERO, true), (whole - MS, true), (whole, false), (whole * 20, false)] {
        let mut calls = Calls::new(Terms::default(), 7);
        let steps = calls.came_aged(NOW, node(1), Caller::There(node(8), 5), call(), &[node(1)], age);
        match &steps[..] {
            [Step::Run(_, _, waited)] => assert!(run && *waited == age, "{age:?}"),
            [Step::Answer(Caller::There(_, 5), Answer::Busy)] => assert!(!run, "{age:?}"),
            _ => panic!("{age:?}"),
        }
    }
}

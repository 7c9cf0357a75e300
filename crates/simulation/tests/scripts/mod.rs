//! Runs of members' changes, step by step. Each ends with a [`Breach`] where a rule is broken.

pub mod epochs;
pub mod rot;

use std::panic::panic_any;

use fallgap_control_state::ballot::Ballot;
use fallgap_control_state::messages::Record;
use fallgap_control_state::{Answer, Call, Message, NodeId};
use fallgap_simulation::hand::Left;
use fallgap_simulation::waters::{Sea, ms, node};
use fallgap_simulation::{Breach, Check};

/// A run of its own delays, drawn from a seed.
pub type Script = fn(u64);

/// Ends the run unless this holds.
fn hold(holds: bool, check: Check, why: impl std::fmt::Display) {
    if !holds {
        panic_any(Breach::Not(check, why.to_string()));
    }
}

fn ask(sea: &mut Sea, at: NodeId, id: u64, call: Call, within: u64) -> Option<Answer> {
    sea.call(at, id, call);
    sea.run(sea.now + ms(within));
    sea.answers.iter().find(|(told, ..)| *told == id).map(|(_, _, answer)| answer.clone())
}

fn number() -> Call {
    Call::Number { name: "n".into() }
}

const GRACE: u64 = 5500;

fn leave(sea: &mut Sea, node: NodeId) -> Left {
    sea.leave(node, ms(GRACE), |sea, until| sea.run(until))
}

/// Three disks; a write reaches two of them, one of these leaves for good, the other one is wiped.
pub fn one_of_two_copies(seed: u64) {
    let mut sea = Sea::founded(seed, 3, 0);
    sea.run(ms(1500));
    let (leaver, other, third) = (node(1), node(2), node(3));
    for at in [leaver, other, third] {
        let id = 1 + sea.answers.len() as u64;
        hold(ask(&mut sea, at, id, number(), 100).is_some(), Check::Served, at);
    }
    // The third misses the write.
    sea.call(leaver, 9, number());
    sea.run_without(sea.now + ms(60), |_, to, message| {
        to == third && !matches!(message, Message::Pulse { .. })
    });
    let answer = sea.answers.iter().find(|(id, ..)| *id == 9).map(|(.., answer)| answer.clone());
    hold(answer == Some(Answer::Value(4)), Check::Served, format!("{answer:?}"));
    let held = on_disk(&sea, leaver);
    let left = leave(&mut sea, leaver);
    hold(left.took < ms(1000), Check::Served, format!("{left:?}"));
    sea.remove(leaver);
    sea.wipe(other);
    sea.kill(third, true);
    hold(
        held.is_some() && on_disk(&sea, third) >= held,
        Check::Linear,
        "an acknowledged write is on no disk",
    );
}

/// The newest ballot on a machine's disk.
fn on_disk(sea: &Sea, node: NodeId) -> Option<Ballot> {
    let records = sea.machines.get(&node)?.kept.iter().filter_map(|bytes| postcard::from_bytes(bytes).ok());
    let accepted = records.filter_map(|record| match record {
        Record::Accept { ballot, .. } => Some(ballot),
        _ => None,
    });
    accepted.max()
}

/// What was shown stays so until the process ends: a write that comes meanwhile does not count the leaver.
pub fn a_write_between(seed: u64) {
    let mut sea = Sea::founded(seed, 3, 0);
    sea.run(ms(1500));
    let (leaver, other, third) = (node(1), node(2), node(3));
    hold(ask(&mut sea, other, 1, number(), 100) == Some(Answer::Value(1)), Check::Served, "a calm sea");
    sea.word_to_end(leaver);
    sea.depart(leaver);
    sea.run(sea.now + ms(100));
    hold(sea.may_end(leaver), Check::Served, "nothing is missing");
    sea.call(other, 2, number());
    sea.run_without(sea.now + ms(200), |from, to, message| {
        from == other && to == third && !matches!(message, Message::Pulse { .. })
    });
    let told = sea.answers.iter().any(|(id, _, answer)| *id == 2 && *answer == Answer::Value(2));
    let held = on_disk(&sea, other);
    sea.remove(leaver);
    sea.wipe(other);
    sea.kill(third, true);
    hold(!told || on_disk(&sea, third) >= held, Check::Linear, "an acknowledged write is on no disk");
}

/// The third has what it missed, but not yet on its disk, when the leaver asks; then the power goes.
pub fn a_slow_disk_among_those_that_stay(seed: u64) {
    let mut sea = Sea::founded(seed, 3, 0);
    sea.run(ms(1500));
    let (leaver, other, third) = (node(1), node(2), node(3));
    hold(ask(&mut sea, leaver, 1, number(), 100) == Some(Answer::Value(1)), Check::Served, "a calm sea");
    if let Some(machine) = sea.machines.get_mut(&third) {
        machine.slow_until = ms(60_000);
    }
    hold(ask(&mut sea, leaver, 2, number(), 100) == Some(Answer::Value(2)), Check::Served, "a slow disk");
    let held = on_disk(&sea, leaver);
    let left = leave(&mut sea, leaver);
    hold(left.took < ms(GRACE), Check::Served, format!("{left:?}"));
    sea.remove(leaver);
    sea.wipe(other);
    sea.stop(third, 0);
    hold(on_disk(&sea, third) >= held, Check::Linear, "an acknowledged write is on no disk");
}

/// A newcomer is there and has caught up; one leaves for good, and right after it another one is wiped.
pub fn a_loss_right_after_a_planned_replacement(seed: u64) {
    loss_after_a_replacement(seed, |_| {});
}

/// The same, and since the newcomer came all others were started again, with what is on their disks.
pub fn a_loss_right_after_a_replacement_and_restarts(seed: u64) {
    loss_after_a_replacement(seed, |sea| {
        for n in [2, 3, 1] {
            sea.kill(node(n), n == 1);
            sea.restart(node(n), ms(300));
            sea.run(sea.now + ms(2000));
        }
    });
}

fn loss_after_a_replacement(seed: u64, between: impl Fn(&mut Sea)) {
    let mut sea = Sea::founded(seed, 3, 0);
    sea.run(ms(1500));
    hold(ask(&mut sea, node(1), 1, number(), 100) == Some(Answer::Value(1)), Check::Served, "a calm sea");
    sea.add(node(4), true);
    sea.run(sea.now + ms(4000));
    let members = sea.keeper(node(1)).map_or(0, |keeper| keeper.members().len());
    hold(sea.is_caught_up() && members == 4, Check::CaughtUp, sea.view().join(", "));
    between(&mut sea);
    hold(sea.is_caught_up(), Check::CaughtUp, sea.view().join(", "));
    let left = leave(&mut sea, node(1));
    hold(left.shown && left.took < ms(1000), Check::CaughtUp, format!("{left:?}"));
    sea.remove(node(1));
    sea.wipe(node(2));
    sea.restart(node(2), ms(300));
    let from = sea.now;
    while !sea.is_caught_up() && sea.now < from + ms(6000) {
        sea.run(sea.now + ms(10));
    }
    hold(sea.is_caught_up(), Check::CaughtUp, sea.view().join(", "));
    let answer = ask(&mut sea, node(3), 2, number(), 1000);
    hold(answer == Some(Answer::Value(2)), Check::Linear, format!("{answer:?}"));
}

/// Two of five disks are wiped at the same time, and what the first one back asks for comes late.
pub fn two_newcomers_at_once(seed: u64) {
    let mut sea = Sea::founded(seed, 5, 0);
    sea.tolerate = 2;
    sea.run(ms(1500));
    hold(ask(&mut sea, node(3), 1, number(), 100) == Some(Answer::Value(1)), Check::Served, "a calm sea");
    for (n, after) in [(1, 50), (2, 200)] {
        sea.wipe(node(n));
        sea.restart(node(n), ms(after));
    }
    sea.run_without(sea.now + ms(1500), |from, _, message| {
        from == node(1) && matches!(message, Message::List { .. })
    });
    let from = sea.now;
    while !sea.is_caught_up() && sea.now < from + ms(6000) {
        sea.run(sea.now + ms(10));
    }
    hold(sea.is_caught_up(), Check::CaughtUp, sea.view().join(", "));
    let answer = ask(&mut sea, node(1), 2, number(), 1000);
    hold(answer == Some(Answer::Value(2)), Check::Linear, format!("{answer:?}"));
}

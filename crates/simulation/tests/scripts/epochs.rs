//! Changes of members in which machines fail between two messages.

use fallgap_control_state::{Answer, Call, Message, NodeId};
use fallgap_simulation::Check;
use fallgap_simulation::hand::Kept;
use fallgap_simulation::waters::{Sea, ms, node};

use super::{ask, hold, number};

/// Three members, of which the first goes down while a fourth machine stands by. Runs until one of the other two knows
/// that the second epoch is decided, and nobody else was told: it, and the other one.
fn decided(sea: &mut Sea) -> (NodeId, NodeId) {
    sea.run(ms(1500));
    hold(ask(sea, node(1), 1, number(), 100) == Some(Answer::Value(1)), Check::Served, "a calm sea");
    sea.add(node(4), true);
    sea.run(sea.now + ms(300));
    sea.kill(node(1), false);
    let until = sea.now + ms(5000);
    while sea.now < until {
        sea.run_without(sea.now + ms(1), |_, _, message| matches!(message, Message::Members(_)));
        let knows = |n: u8| sea.keeper(node(n)).is_some_and(|keeper| keeper.epoch() == 2);
        for (driver, other) in [(2, 3), (3, 2)] {
            if knows(driver) && !knows(other) {
                return (node(driver), node(other));
            }
        }
    }
    hold(false, Check::CaughtUp, "no change was decided");
    (node(2), node(3))
}

/// The driver is cut off before it has told anybody, the other one loses its power, and the first is back.
pub fn the_driver_is_cut_off_and_the_other_loses_its_power(seed: u64) {
    let mut sea = Sea::founded(seed, 3, 0);
    let (driver, other) = decided(&mut sea);
    sea.keep_back(&mut Kept::default(), |from, _, _| from == driver);
    sea.cut(&[driver], ms(6000));
    sea.stop(other, 0);
    sea.restart(other, ms(100));
    sea.restart(node(1), ms(100));
    sea.run(sea.now + ms(9000));
}

/// The driver is cut off before it has told anybody. The first is back, and wants another change than the one that the
/// other has accepted; what the other asks is lost.
pub fn two_changes_are_wanted(seed: u64) {
    let mut sea = Sea::founded(seed, 3, 0);
    let (driver, other) = decided(&mut sea);
    sea.keep_back(&mut Kept::default(), |from, _, _| from == driver);
    sea.cut(&[driver], ms(6000));
    sea.restart(node(1), ms(100));
    sea.run_without(sea.now + ms(5000), |from, _, message| {
        from == other && matches!(message, Message::SuccessorPrepare { .. })
    });
    sea.run(sea.now + ms(4000));
}

/// One that has accepted the successor serves the newcomer in the new epoch, and forgets by a loss of power that this
/// has begun. The first is back; these two are cut off from the rest.
pub fn one_forgets_that_the_epoch_began(seed: u64) {
    let mut sea = Sea::founded(seed, 3, 0);
    let (driver, other) = decided(&mut sea);
    if let Some(machine) = sea.machines.get_mut(&other) {
        machine.slow_until = ms(60_000);
    }
    sea.run(sea.now + ms(300));
    hold(
        sea.keeper(node(4)).is_some_and(|keeper| keeper.is_member()),
        Check::CaughtUp,
        sea.view().join(", "),
    );
    sea.stop(other, 0);
    sea.machines.values_mut().for_each(|machine| machine.slow_until = ms(0));
    sea.keep_back(&mut Kept::default(), |_, to, _| to == other || to == node(1));
    sea.cut(&[driver, node(4)], ms(4000));
    sea.restart(other, ms(10));
    sea.restart(node(1), ms(10));
    let mut old = None;
    for id in 2..8 {
        sea.call(node(1), id, number());
        sea.run_without(sea.now + ms(150), |_, _, message| {
            matches!(message, Message::SuccessorPrepare { .. })
        });
        old = sea.answers.iter().find(|(told, ..)| *told == id).map(|(.., answer)| answer.clone());
        if matches!(old, Some(Answer::Value(_))) {
            break;
        }
    }
    let new = ask(&mut sea, driver, 9, number(), 300);
    hold(matches!(new, Some(Answer::Value(_))), Check::Served, format!("{new:?}"));
    hold(new != old, Check::Linear, format!("one number twice: {new:?}"));
}

/// A value of which nobody knows that it is committed comes round about to one that has promised more, and so does
/// the request to accept it, late.
pub fn a_value_comes_round_about(seed: u64) {
    let mut sea = Sea::founded(seed, 3, 0);
    sea.run(ms(1500));
    let (a, b, c) = (node(1), node(2), node(3));
    let put = |value: &str| Call::CellPut { name: "g.k".into(), value: value.into(), on: None };
    let accept = |message: &Message| matches!(message, Message::Accept { .. });
    hold(matches!(ask(&mut sea, a, 1, put("x"), 60), Some(Answer::Revision(_))), Check::Served, "a calm sea");
    // The third misses a write, and does not hear yet that it was committed.
    let mut hints = Kept::default();
    sea.call(a, 2, put("y"));
    let lost = |to, message: &Message| to == c && accept(message);
    let until = sea.now + ms(40);
    while sea.now < until {
        sea.keep_back(&mut hints, |_, to, message| to == c && matches!(message, Message::Committed { .. }));
        sea.keep_back(&mut Kept::default(), |_, to, message| lost(to, message));
        sea.run(sea.now + std::time::Duration::from_micros(400));
    }
    sea.keep_back(&mut hints, |_, to, message| to == c && matches!(message, Message::Committed { .. }));
    // The next one stands on the first disk alone. What the third is asked is late.
    let mut late = Kept::default();
    sea.call(a, 3, put("z"));
    sea.run_keeping(sea.now + ms(20), &mut late, |from, _, message| from == a && accept(message));
    // The second makes an attempt of its own, with the third's promise.
    let mut others = Kept::default();
    sea.call(b, 4, put("w"));
    let until = sea.now + ms(40);
    while sea.now < until {
        sea.keep_back(&mut Kept::default(), |from, to, _| from == a || to == a);
        sea.keep_back(&mut others, |from, _, message| from == b && accept(message));
        sea.run(sea.now + std::time::Duration::from_micros(400));
    }
    sea.keep_back(&mut others, |from, _, message| from == b && accept(message));
    let between = |message: &Message| accept(message) || matches!(message, Message::Prepare { .. });
    sea.deliver(hints);
    sea.run_without(sea.now + ms(15), |_, _, message| between(message));
    sea.deliver(late);
    sea.run_without(sea.now + ms(15), |_, _, message| between(message));
    sea.deliver(others);
    sea.run(sea.now + ms(500));
    let told = |id| sea.answers.iter().find(|(told, ..)| *told == id).map(|(.., answer)| answer.clone());
    let both = (told(3), told(4));
    hold(both.1.is_some(), Check::Served, format!("{both:?}"));
    hold(both.0 != both.1, Check::Linear, format!("one revision twice: {both:?}"));
}

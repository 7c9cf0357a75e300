//! Runs in which a disk loses what was synced.

use fallgap_control_state::{Answer, Message, NodeId};
use fallgap_simulation::Check;
use fallgap_simulation::history::History;
use fallgap_simulation::waters::{Sea, ms, node};

use super::{hold, number};

struct Asked {
    sea: Sea,
    history: History,
    id: u64,
}

impl Asked {
    fn ask(&mut self, at: NodeId) {
        self.id += 1;
        self.history.sent(self.id, self.sea.now, number());
        self.sea.call(at, self.id, number());
    }

    /// Takes in what was answered: the newest call's answer.
    fn answer(&mut self) -> Option<Answer> {
        for (id, at, answer) in std::mem::take(&mut self.sea.answers) {
            self.history.told(id, at, answer);
        }
        self.history.calls.get(&self.id)?.told.as_ref().map(|(_, answer)| answer.clone())
    }

    fn asked(&mut self, at: NodeId) -> Option<Answer> {
        self.ask(at);
        self.sea.run(self.sea.now + ms(1000));
        self.answer()
    }
}

/// Three disks, and a write that two of them have. The log of one of these is rotten there, the other one is lost:
/// what is left may not answer. Once the lost one is back, all is as it was acknowledged.
pub fn a_rotten_log_and_a_loss(seed: u64) {
    let mut sea = Sea::founded(seed, 3, 0);
    sea.run(ms(1500));
    let mut asked = Asked { sea, history: History::default(), id: 0 };
    let (first, second, third) = (node(1), node(2), node(3));
    for (at, value) in [(first, 1), (second, 2), (third, 3)] {
        let answer = asked.asked(at);
        hold(answer == Some(Answer::Value(value)), Check::Served, format!("{answer:?}"));
    }
    let left = asked.sea.machines.get(&second).map_or(0, |machine| machine.kept.len());
    asked.ask(first);
    asked.sea.run_without(asked.sea.now + ms(60), |_, to, message| {
        to == third && !matches!(message, Message::Pulse { .. })
    });
    let answer = asked.answer();
    hold(answer == Some(Answer::Value(4)), Check::Served, format!("{answer:?}"));
    asked.sea.rot(second, left);
    asked.sea.kill(first, true);
    asked.sea.restart(second, ms(10));
    asked.sea.run(asked.sea.now + ms(1000));
    for at in [second, third, second, third] {
        asked.asked(at);
    }
    asked.sea.restart(first, ms(10));
    let from = asked.sea.now;
    while !asked.sea.is_caught_up() && asked.sea.now < from + ms(6000) {
        asked.sea.run(asked.sea.now + ms(10));
    }
    hold(asked.sea.is_caught_up(), Check::CaughtUp, asked.sea.view().join(", "));
    let answer = asked.asked(second);
    hold(matches!(answer, Some(Answer::Value(_))), Check::Served, format!("{answer:?}"));
    asked.history.check();
}

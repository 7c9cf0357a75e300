//! How time passes in the halls, and what is seen of them.

use super::{Halls, Machine, Word, node};
use fallgap_control_state::NodeId;
use fallgap_routing::ViewTimes;
use std::time::Duration;

impl Halls {
    fn wakes(&self) -> Option<(Duration, NodeId)> {
        let of = |(id, m): (&NodeId, &Machine)| {
            let home = m.home.as_ref().map(|home| home.distribution.next_wake());
            let registry = m.home.as_ref().map(|home| home.registry.next_wake());
            let wake = m.keeper.next_wake().min(m.beacon.next_wake());
            let all = [home, registry, m.follower.next_wake(), m.closings.next_wake()]
                .into_iter()
                .flatten()
                .fold(wake, Duration::min);
            (all.max(self.now), *id)
        };
        self.machines.iter().map(of).min()
    }

    fn woke(&mut self, me: NodeId) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&me) else { return };
        if machine.beacon.next_wake() <= now {
            machine.beacon.woke(now);
        }
        if machine.keeper.next_wake() <= now {
            machine.keeper.woke(now);
        }
        if let Some(home) = machine.home.as_mut().filter(|home| home.registry.next_wake() <= now)
            && home.registry.woke(now)
        {
            home.distribution.registry_changed(now, &home.registry);
        }
        if let Some(home) = machine.home.as_mut().filter(|home| home.distribution.next_wake() <= now) {
            home.distribution.woke(now);
        }
        if machine.follower.next_wake().is_some_and(|at| at <= now) {
            machine.follower.woke(now);
        }
        let due = machine.closings.woke(now);
        self.carry(me);
        for (keeper, id, beat) in due.again {
            self.send(me, keeper, Word::Beat(id, beat));
        }
    }

    /// Goes on until then.
    pub fn run(&mut self, until: Duration) {
        loop {
            let event = self.net.first_key_value().map(|((at, _), _)| *at);
            let wake = self.wakes();
            let next = event.into_iter().chain(wake.map(|(at, _)| at)).min().unwrap_or(until);
            if next >= until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            match wake {
                Some((at, me)) if event.is_none_or(|event| at <= event) => self.woke(me),
                _ => {
                    let (_, event) = self.net.pop_first().expect("an event");
                    self.handle(event);
                }
            }
        }
    }

    /// The newest edition that was acknowledged before then.
    pub fn newest(&self, before: Duration) -> u64 {
        self.acked.iter().filter(|(at, _)| *at <= before).map(|(_, edition)| *edition).max().unwrap_or(0)
    }

    /// The newest revision of the accounts that was kept before then.
    pub fn newest_revision(&self, before: Duration) -> u64 {
        let kept = self.kept_revisions.iter().filter(|(at, _)| *at <= before);
        kept.map(|(_, revision)| *revision).max().unwrap_or(0)
    }

    /// Whether a machine answers for routes of offices now.
    pub fn answers_for_offices(&mut self, me: NodeId) -> bool {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&me) else { return false };
        let confirmed = machine.follower.age(now).map(|age| now - age);
        machine.lease.view_times(ViewTimes { confirmed, ..ViewTimes::default() });
        machine.edition > 0 && !machine.lease.doubts(now, "a.example", "/a/x", true)
    }

    /// Time since a machine's process started.
    pub fn age(&self, me: NodeId) -> Duration {
        self.machines.get(&me).map_or(Duration::ZERO, |machine| self.now - machine.started)
    }

    pub fn ids(&self) -> Vec<NodeId> {
        (1..=self.nodes).map(node).collect()
    }
}

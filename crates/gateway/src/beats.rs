//! Beats that say `closing`, and who waits for the acknowledgement: when it may be given is [`Closings`]' matter.

use crate::asks::Told;
use fallgap_config::Beat;
use fallgap_control_state::Answer;
use fallgap_registry::Closings;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

pub struct Beats {
    closings: Closings,
    replies: BTreeMap<u64, SyncSender<Told>>,
}

impl Beats {
    /// `first`: drawn anew in each life, so that no answer to an earlier one counts for what is asked in this.
    pub fn new(first: u64) -> Beats {
        Beats { closings: Closings::new(first), replies: BTreeMap::new() }
    }

    /// A server closes; `keepers`: all that are to know. The number under which they are told.
    pub fn closing(
        &mut self, now: Duration, beat: Beat, reply: SyncSender<Told>, keepers: &[Ipv4Addr],
    ) -> Option<u64> {
        let id = self.closings.begin(now, beat, keepers)?;
        self.replies.insert(id, reply);
        Some(id)
    }

    /// A keeper knows, and takes these for keepers that others may go by.
    pub fn taken(&mut self, id: u64, keeper: Ipv4Addr, followed: &[Ipv4Addr]) {
        if self.closings.taken(id, keeper, followed) {
            self.tell(id, Told::Taken);
        }
    }

    /// What became of the call that puts an end on a majority of disks.
    pub fn kept(&mut self, id: u64, answer: Answer) {
        if answer != Answer::Done {
            self.closings.dropped(id);
            self.tell(id, Told::Answer(answer));
        } else if self.closings.kept(id) {
            self.tell(id, Told::Taken);
        }
    }

    fn tell(&mut self, id: u64, told: Told) {
        if let Some(reply) = self.replies.remove(&id) {
            let _ = reply.try_send(told);
        }
    }

    /// Who is to be told again. Those that too few know of are not acknowledged: the server asks elsewhere.
    pub fn woke(&mut self, now: Duration) -> Vec<(Ipv4Addr, u64, Beat)> {
        let due = self.closings.woke(now);
        for id in due.over {
            self.replies.remove(&id);
        }
        due.again
    }

    pub fn next_wake(&self) -> Option<Duration> {
        self.closings.next_wake()
    }
}

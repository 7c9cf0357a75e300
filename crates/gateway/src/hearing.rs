//! What the engine hears beside its links: datagrams, callers, the disk, signals; each up to a bound in one turn.

use crate::asks::{Ask, Asked, Told};
use crate::calls::{self, Caller};
use crate::disk::{Done, Work};
use crate::engine::Engine;
use fallgap_control_state::Answer;
use fallgap_proxy::Quay;
use fallgap_registry::last_beat;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Datagrams that are read, and asks of callers that are heard, before others get their turn.
const TURN_DATAGRAMS: usize = 256;
const TURN_ASKS: usize = 64;
/// So long before its time is over a call that waits is told how far it has come.
const MARGIN_OF_CALL: Duration = Duration::from_millis(30);

impl Engine {
    /// Hears what the socket holds, up to a bound: more may come as fast as it is read.
    pub fn hear_datagrams(&mut self, now: Duration) {
        if !std::mem::take(&mut self.datagrams_wait) {
            return;
        }
        for _ in 0..TURN_DATAGRAMS {
            let (length, from) = match self.datagrams.recv_from(&mut self.buffer) {
                Ok((length, SocketAddr::V4(from))) => (length, from),
                // Told of one that was sent: its receiver is gone. Others may wait.
                Err(error) if error.kind() != ErrorKind::WouldBlock => continue,
                Ok(_) => continue,
                Err(_) => return,
            };
            let Some(bytes) = self.buffer.get(..length) else { continue };
            if let Ok(message) = postcard::from_bytes(bytes) {
                self.links.met(now, self.poll.registry(), *from.ip());
                self.follower.met(now);
                self.beacon.heard(now, *from.ip(), message);
            }
        }
        self.datagrams_wait = true;
    }

    /// What threads have sent: callers, the disk, signals.
    pub fn hear_threads(&mut self, now: Duration) {
        self.hear_callers(now);
        while let Some(done) = self.disk.as_ref().and_then(|d| d.done.try_recv().ok()) {
            match done {
                Done::Synced(number) => self.keeper.synced(now, number),
                Done::WantsCheckpoint => {
                    let snapshot = self.keeper.snapshot();
                    self.disk.iter().for_each(|d| _ = d.work.send(Work::Checkpoint(snapshot.clone())));
                }
            }
        }
        self.hear_signals(now);
    }

    /// Callers ask, up to a bound: more may come as fast as they are answered.
    fn hear_callers(&mut self, now: Duration) {
        self.callers_wait = false;
        for _ in 0..TURN_ASKS {
            let Ok(Ask { asked, reply }) = self.inbox.try_recv() else { return };
            match asked {
                Asked::Call(call) if self.hold_up.turns_away(now, &call) => {
                    let _ = reply.try_send(Told::Answer(Answer::Busy));
                }
                Asked::Call(call) => {
                    let order = calls::by_key(&call.key(), self.keepers());
                    let steps = self.calls.came(now, self.me, Caller::Here(reply), call, &order);
                    steps.into_iter().for_each(|step| self.step(now, step));
                }
                Asked::Beat(beat) => self.beat(now, beat, reply),
                // Some say nothing before: what is acknowledged holds as for one that closes.
                Asked::Left(server) => self.beat(now, last_beat(server), reply),
                Asked::Desk(question) => self.desk_asked(now, question, reply),
                Asked::Spread(revision, places) => self.spread(now, reply, revision, &places),
                Asked::RollOut(edition, within) => {
                    self.rollouts.begin(now, edition, now + within.saturating_sub(MARGIN_OF_CALL), reply);
                }
                Asked::Status => {
                    let _ = reply.try_send(Told::Status(self.status(now)));
                }
                Asked::Figures => {
                    let _ = reply.try_send(Told::Status(self.figures(now)));
                }
                Asked::Verdicts => {
                    let _ = reply.try_send(Told::Status(self.verdicts(now)));
                }
            }
        }
        self.callers_wait = true;
    }

    fn hear_signals(&mut self, now: Duration) {
        if self.heard.changed.swap(false, Relaxed) {
            tracing::info!("gateway: told to read the settings again");
            self.settings_seen = None;
            self.look_at_settings(now);
        }
        if self.heard.end.load(Relaxed) && self.leaving.is_none() {
            tracing::info!(
                "gateway: told to end, {} ops at work",
                self.quay.as_ref().map_or(0, Quay::at_work)
            );
            self.leaving = Some(now);
            self.ready.store(false, Relaxed);
            self.beacon.leaving(now);
            self.keeper.leaving(now);
            self.quay.iter_mut().for_each(|quay| quay.leave(now));
        }
    }
}

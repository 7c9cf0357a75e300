//! What threads that hold a caller ask of the engine, and how they wait for it.

use crate::http::Caller;
use crate::spread::Spreading;
use fallgap_admin as desk;
use fallgap_config::Beat;
use fallgap_control_state::{Answer, Call};
use fallgap_registry::Outcome;
use fallgap_routing::Place;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Asks that wait for the engine at most; beyond that callers are turned away.
pub const WAITING: usize = 1024;

pub enum Asked {
    Call(Call),
    Beat(Beat),
    /// A server leaves.
    Left(Arc<str>),
    Status,
    Figures,
    Desk(desk::Question),
    Verdicts,
    /// An edition of the configuration that is being kept: it is to be in force everywhere, within that time.
    RollOut(u64, Duration),
    /// A revision of the accounts is kept, with what it touches: all supervisors are to route by it.
    Spread(u64, Vec<Place>),
}

pub enum Told {
    Answer(Answer),
    /// The beat is known where it has to be.
    Taken,
    Status(String),
    Desk(desk::Answer),
    Spread(Spreading),
    RolledOut(Outcome),
    /// Whoever asked has closed its connection, and waits no more.
    CallerLeft,
}

pub struct Ask {
    pub asked: Asked,
    pub reply: SyncSender<Told>,
}

/// Why nothing was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum Untold {
    /// too much waits: nothing was done
    Full,
    /// no answer in time: it may have been done
    Late,
}

/// An answer that is under way.
pub struct Answering {
    told: Receiver<Told>,
}

impl Answering {
    /// Waits for it for so long.
    ///
    /// # Errors
    /// [`Untold::Late`].
    pub fn wait(&self, wait: Duration) -> Result<Told, Untold> {
        received(&self.told, wait)
    }
}

fn received(told: &Receiver<Told>, wait: Duration) -> Result<Told, Untold> {
    told.recv_timeout(wait).map_err(|e| match e {
        RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected => Untold::Late,
    })
}

/// The threads' end.
#[derive(Clone)]
pub struct Desk {
    asks: SyncSender<Ask>,
    wake: Arc<mio::Waker>,
}

impl Desk {
    pub fn new(wake: Arc<mio::Waker>) -> (Desk, Receiver<Ask>) {
        let (asks, inbox) = sync_channel(WAITING);
        (Desk { asks, wake }, inbox)
    }

    /// Asks, and waits for so long.
    ///
    /// # Errors
    /// [`Untold`].
    pub fn ask(&self, asked: Asked, wait: Duration) -> Result<Told, Untold> {
        let (reply, told) = sync_channel(1);
        self.send(asked, reply, &told, wait)
    }

    /// Asks, and goes on: the answer is waited for later.
    ///
    /// # Errors
    /// [`Untold::Full`].
    pub fn begin(&self, asked: Asked) -> Result<Answering, Untold> {
        let (reply, told) = sync_channel(1);
        self.pass_on(asked, reply)?;
        Ok(Answering { told })
    }

    /// As [`Desk::ask`], but not for longer than the caller is there.
    ///
    /// # Errors
    /// [`Untold`].
    pub fn ask_for(&self, caller: &Caller, asked: Asked, wait: Duration) -> Result<Told, Untold> {
        let (reply, told) = sync_channel(1);
        caller.watch(&reply);
        self.send(asked, reply, &told, wait)
    }

    fn send(
        &self, asked: Asked, reply: SyncSender<Told>, told: &Receiver<Told>, wait: Duration,
    ) -> Result<Told, Untold> {
        self.pass_on(asked, reply)?;
        received(told, wait)
    }

    fn pass_on(&self, asked: Asked, reply: SyncSender<Told>) -> Result<(), Untold> {
        self.asks.try_send(Ask { asked, reply }).map_err(|e| match e {
            TrySendError::Full(_) | TrySendError::Disconnected(_) => Untold::Full,
        })?;
        let _ = self.wake.wake();
        Ok(())
    }
}

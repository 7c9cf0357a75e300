//! Signals: those that end the process, and the one that asks for the configuration to be read again.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A signal that is listened to from the moment this is made; one that cannot be never comes.
pub struct Listened(Option<Signal>);

impl Listened {
    fn to(kind: SignalKind) -> Listened {
        Listened(signal(kind).inspect_err(|e| tracing::error!("cannot listen to a signal: {e}")).ok())
    }
    pub async fn came(&mut self) {
        match &mut self.0 {
            Some(signal) => _ = signal.recv().await,
            None => std::future::pending().await,
        }
    }
}

pub struct Signals {
    terminate: Listened,
    interrupt: Listened,
}

impl Signals {
    pub fn listen() -> Signals {
        Signals {
            terminate: Listened::to(SignalKind::terminate()),
            interrupt: Listened::to(SignalKind::interrupt()),
        }
    }
    /// Returns the name of the signal that ends the process.
    pub async fn ended(mut self) -> &'static str {
        tokio::select! {
            () = self.terminate.came() => "SIGTERM",
            () = self.interrupt.came() => "SIGINT",
        }
    }
}

/// Those that ask for the configuration to be read again. Without a listener the first would end the process.
pub fn hangups() -> Listened {
    Listened::to(SignalKind::hangup())
}

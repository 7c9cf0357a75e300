//! Signals that end the process.

use tokio::signal::unix::{SignalKind, signal};

/// Returns the name of the signal that came. One that cannot be listened to never comes.
pub async fn ended() -> &'static str {
    tokio::select! {
        () = came(SignalKind::terminate()) => "SIGTERM",
        () = came(SignalKind::interrupt()) => "SIGINT",
    }
}

async fn came(kind: SignalKind) {
    match signal(kind) {
        Ok(mut signal) => {
            signal.recv().await;
        }
        Err(e) => {
            log::error!("cannot listen to a signal: {e}");
            std::future::pending::<()>().await;
        }
    }
}

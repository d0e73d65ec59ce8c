//! Signals that ask a process to stop.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// `SIGTERM` and `SIGINT`, caught from the moment that this is made: before it, they end the process at once.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Catches the signals from now on.
    pub fn catch() -> std::io::Result<Self> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of them.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

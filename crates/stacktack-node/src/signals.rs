//! Signals that ask a process to stop.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Receiver of `SIGTERM` and `SIGINT`. Until it is created, these signals end the process at once.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Starts to catch the signals.
    pub fn catch() -> std::io::Result<Self> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for either signal.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

//! Signals that ask a process to stop.

use tokio::signal::unix::{signal, SignalKind};

/// Waits for `SIGTERM` or `SIGINT`.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

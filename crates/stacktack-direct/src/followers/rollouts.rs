//! Writes the outcomes of roll-outs to the store. Each write is conditional: the first router's
//! write is stored, and the routers that come later learn the stored status from the conflict.

use std::rc::Rc;

use stacktack_core::direct::rollout::status::{StatusWrite, StatusWriteResult};
use tokio::time::sleep;

use super::backoff::Backoff;
use crate::ports::{RolloutStore, SourceError};
use crate::router::Router;
use crate::transfer::{with_idle_timeout, Transfer};

/// Writes statuses of roll-outs whenever some are due. Never returns.
pub async fn write_rollout_statuses(router: Rc<Router>, source: Rc<dyn RolloutStore>) {
    let mut backoff = Backoff::new();
    loop {
        router.rollout_write_due.notified().await;
        for write in router.due_rollout_writes() {
            match write_status(&router, source.as_ref(), &write).await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    log::info!(
                        target: "rollout",
                        "service={} store=failed state={} cause=\"{error}\"",
                        write.service,
                        write.state.as_str(),
                    );
                    sleep(backoff.next_delay(&router)).await;
                }
            }
        }
    }
}

async fn write_status(
    router: &Router,
    source: &dyn RolloutStore,
    write: &StatusWrite,
) -> Result<(), SourceError> {
    router.metrics.count_store_call("rollout", "write");
    let transfer = Transfer::begin();
    let call = source.write_status(write, transfer.clone());
    let result = with_idle_timeout(call, &transfer, router.store.timeout(false)).await?;
    let (stored, revision) = match &result {
        StatusWriteResult::Stored(revision) => (true, *revision),
        StatusWriteResult::Conflict { status, .. } => {
            (false, status.as_ref().map_or(0, |status| status.revision))
        }
    };
    log::info!(
        target: "rollout",
        "service={} version={} store=written state={} stored={stored} revision={revision} ms={}",
        write.service,
        write.version,
        write.state.as_str(),
        transfer.elapsed().as_millis(),
    );
    router.on_rollout_write_result(write, &result);
    Ok(())
}

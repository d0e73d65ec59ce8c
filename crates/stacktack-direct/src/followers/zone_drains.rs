//! Reads zone drains that the configuration task missed.
//!
//! A router that was updated by peers and continues to read after the revision that they reported
//! skips the operator's zone drains in between. It reads all drains separately, some hundred bytes
//! instead of the whole configuration. The same holds for roll-out orders, where roll-outs are
//! served.

use std::rc::Rc;

use tokio::time::sleep;

use super::backoff::Backoff;
use crate::ports::ConfigurationSource;
use crate::router::Router;
use crate::transfer::{with_idle_timeout, Transfer};

/// Reads all zone drains and roll-out orders whenever some may have been missed. Never returns.
pub async fn read_missed_zone_drains(router: Rc<Router>, source: Rc<dyn ConfigurationSource>) {
    let mut backoff = Backoff::new();
    loop {
        router.zone_drain_read_due.notified().await;
        while !read_drains(&router, source.as_ref()).await {
            sleep(backoff.next_delay(&router)).await;
        }
        while !read_orders(&router, source.as_ref()).await {
            sleep(backoff.next_delay(&router)).await;
        }
        backoff.reset();
    }
}

/// Reads all zone drains once; returns whether the store answered.
async fn read_drains(router: &Router, source: &dyn ConfigurationSource) -> bool {
    router.metrics.count_store_call("zone_drains", "missed");
    let transfer = Transfer::begin();
    let call = source.zone_drains(transfer.clone());
    match with_idle_timeout(call, &transfer, router.store.timeout(false)).await {
        Ok(update) => {
            log::info!(
                target: "zone_drain",
                "read=store revision={} drained={} ms={}",
                update.snapshot_revision.unwrap_or(0),
                update.changes.len(),
                transfer.elapsed().as_millis(),
            );
            router.apply_zone_drain_update(&update);
            true
        }
        Err(error) => {
            log::info!(
                target: "zone_drain",
                "read=store cause=\"{error}\" ms={}",
                transfer.elapsed().as_millis(),
            );
            false
        }
    }
}

/// Reads all roll-out orders once, if an exposure bound is set; returns false if the store did not
/// answer.
async fn read_orders(router: &Router, source: &dyn ConfigurationSource) -> bool {
    if router.bounds().exposure.is_none() {
        return true;
    }
    router.metrics.count_store_call("rollout", "missed");
    let transfer = Transfer::begin();
    let call = source.rollout_orders(transfer.clone());
    match with_idle_timeout(call, &transfer, router.store.timeout(false)).await {
        Ok(update) => {
            router.apply_rollout_orders(&update);
            true
        }
        Err(error) => {
            log::info!(
                target: "rollout",
                "read=store cause=\"{error}\" ms={}",
                transfer.elapsed().as_millis(),
            );
            false
        }
    }
}

//! Drains of zones that were passed over: whoever has followed peers and goes on from the
//! version that they told reads what the operator asked of zones meanwhile apart, some
//! hundred bytes in place of the whole configuration; the same for orders to roll out versions,
//! where they are served.

use std::rc::Rc;

use tokio::time::sleep;

use super::pause::Pause;
use super::store_monitor::StoreMonitor;
use crate::ports::ConfigurationSource;
use crate::router::Router;
use crate::transfer::{with_idle_timeout, Transfer};

/// Reads the drains of zones whenever some may have been missed, for ever.
pub async fn read_missed_zone_drains(
    router: Rc<Router>,
    source: Rc<dyn ConfigurationSource>,
    store: Rc<StoreMonitor>,
) {
    let mut pause = Pause::new();
    loop {
        router.zone_drain_read_due.notified().await;
        while !read(&router, source.as_ref(), &store).await {
            sleep(pause.take(&router)).await;
        }
        while !read_orders(&router, source.as_ref(), &store).await {
            sleep(pause.take(&router)).await;
        }
        pause.reset();
    }
}

/// Reads them once; returns whether the store answered.
async fn read(router: &Router, source: &dyn ConfigurationSource, store: &StoreMonitor) -> bool {
    router.metrics.count_store_call("zone_drains", "missed");
    let transfer = Transfer::begin();
    let call = source.zone_drains(transfer.clone());
    match with_idle_timeout(call, &transfer, store.patience(false)).await {
        Ok(news) => {
            log::info!(
                target: "zone_drain",
                "read=store revision={} drained={} ms={}",
                news.snapshot_revision.unwrap_or(0),
                news.changes.len(),
                transfer.elapsed().as_millis(),
            );
            router.apply_zone_drain_update(&news);
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

/// Reads orders to roll out versions once; returns whether the store answered.
async fn read_orders(
    router: &Router,
    source: &dyn ConfigurationSource,
    store: &StoreMonitor,
) -> bool {
    if router.bounds().exposure.is_none() {
        return true;
    }
    router.metrics.count_store_call("rollout", "missed");
    let transfer = Transfer::begin();
    let call = source.rollout_orders(transfer.clone());
    match with_idle_timeout(call, &transfer, store.patience(false)).await {
        Ok(news) => {
            router.apply_rollout_orders(&news);
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

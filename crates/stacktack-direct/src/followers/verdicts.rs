//! Synchronizes verdicts on requests that crash back ends with the store. From the store a starting
//! router learns verdicts that no peer has any more, and operators lift verdicts there.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stacktack_core::direct::quarantine::TreatmentChange;
use stacktack_core::retry::exponential_delay;
use stacktack_core::time::Time;
use tokio::time::sleep;

use super::backoff::Backoff;
use crate::ports::{SourceError, VerdictStore};
use crate::router::Router;
use crate::transfer::{with_idle_timeout, Transfer};

/// Time between two checks whether verdicts are to be written or read.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reads of all verdicts, with a jitter of 25 %, unless
/// [`READ_INTERVAL_PER_ROUTER`] makes it longer. It bounds how long a verdict that an operator
/// lifts stays in force, and costs one call per minute and router.
const READ_INTERVAL: Duration = Duration::from_secs(60);

/// Minimum time between two reads, per router of the fleet, so that the routers of a large fleet
/// together read once a second. A router that reads that a verdict is lifted gossips it to the
/// others.
const READ_INTERVAL_PER_ROUTER: Duration = Duration::from_secs(1);

/// Time between two reads while most peers are silent: what they know then comes only through the
/// store. It doubles with each failed read: a router that is cut off from its peers is likely to be
/// cut off from the store.
const ISOLATED_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time between two reads while most peers are silent.
const MAX_ISOLATED_READ_INTERVAL: Duration = Duration::from_secs(8);

/// Writes this router's verdicts to the store and reads those of the others. Never returns.
pub async fn sync_verdicts(router: Rc<Router>, source: Rc<dyn VerdictStore>) {
    let mut sync = VerdictSync {
        router,
        source,
        read_due: Time(0),
        last_read: Time(0),
        failed_reads: 0,
        backoff: Backoff::new(),
    };
    loop {
        let result = sync.step().await;
        let delay = match result {
            Ok(()) => {
                sync.backoff.reset();
                CHECK_INTERVAL
            }
            Err(error) => {
                log::info!(target: "quarantine", "store=failed cause=\"{error}\"");
                sync.backoff.next_delay(&sync.router)
            }
        };
        sleep(delay).await;
    }
}

/// State of the task that synchronizes verdicts.
struct VerdictSync {
    router: Rc<Router>,
    source: Rc<dyn VerdictStore>,
    /// When the next regular read is due.
    read_due: Time,
    /// Start of the last successful read, or time of the last failed read while most peers were
    /// silent.
    last_read: Time,
    /// Failed reads since the last successful one or since most peers fell silent.
    failed_reads: u32,
    backoff: Backoff,
}

impl VerdictSync {
    async fn step(&mut self) -> Result<(), SourceError> {
        self.write().await?;
        let now = self.router.now();
        let is_isolated = self.router.peers.borrow().lost_most_peers();
        if !is_isolated {
            // The failures of an isolation that is over say nothing about the next one.
            self.failed_reads = 0;
        }
        let isolated_interval = exponential_delay(
            ISOLATED_READ_INTERVAL,
            self.failed_reads,
            MAX_ISOLATED_READ_INTERVAL,
        );
        let isolated_read_due = is_isolated && now.since(self.last_read) >= isolated_interval;
        if now >= self.read_due {
            return self.read(now).await;
        }
        if isolated_read_due {
            let result = self.read(now).await;
            if result.is_err() {
                self.failed_reads += 1;
                self.last_read = now;
            }
            return result;
        }
        Ok(())
    }

    async fn write(&self) -> Result<(), SourceError> {
        let (stored, dropped) = {
            let quarantine = self.router.quarantine.borrow();
            (
                quarantine.verdicts_to_write(self.router.now()),
                quarantine.verdicts_to_remove(),
            )
        };
        if stored.is_empty() && dropped.is_empty() {
            return Ok(());
        }
        self.router.metrics.count_store_call("verdicts", "write");
        let transfer = Transfer::begin();
        let call = self
            .source
            .change_verdicts(&stored, &dropped, transfer.clone());
        with_idle_timeout(call, &transfer, self.router.store.timeout(false)).await?;
        log::info!(
            target: "quarantine",
            "store=written verdicts={} dropped={} ms={}",
            stored.len(),
            dropped.len(),
            transfer.elapsed().as_millis(),
        );
        let now = self.router.now();
        let mut quarantine = self.router.quarantine.borrow_mut();
        quarantine.on_verdicts_written(&stored, &dropped, now);
        Ok(())
    }

    async fn read(&mut self, started_at: Time) -> Result<(), SourceError> {
        self.router.metrics.count_store_call("verdicts", "read");
        let transfer = Transfer::begin();
        let call = self.source.verdicts(transfer.clone());
        let verdicts = with_idle_timeout(call, &transfer, self.router.store.timeout(false)).await?;
        let now = self.router.now();
        let mut quarantine = self.router.quarantine.borrow_mut();
        let changes: Vec<TreatmentChange> = quarantine.apply_stored(&verdicts, started_at, now);
        drop(quarantine);
        log::info!(
            target: "quarantine",
            "store=read verdicts={} changes={} ms={}",
            verdicts.len(),
            changes.len(),
            transfer.elapsed().as_millis(),
        );
        self.router.on_treatment_changes(&changes, "store");
        self.last_read = started_at;
        self.failed_reads = 0;
        self.read_due = now + self.until_next_read();
        Ok(())
    }

    fn until_next_read(&self) -> Duration {
        let routers = self.router.peers.borrow().known_routers();
        let fleet_interval = READ_INTERVAL_PER_ROUTER.mul_f64(routers as f64);
        let jitter = rand::rng().random_range(0.75..=1.25);
        READ_INTERVAL.max(fleet_interval).mul_f64(jitter)
    }
}

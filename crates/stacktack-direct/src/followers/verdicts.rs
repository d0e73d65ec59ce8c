//! Verdicts on requests that end back ends, in the store: it tells routers that start when
//! nobody is left to tell them, and operators lift a verdict there.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use stacktack_core::direct::quarantine::TreatmentChange;
use stacktack_core::retry::doubled;
use stacktack_core::time::Time;
use tokio::time::sleep;

use super::pause::Pause;
use super::store_monitor::StoreMonitor;
use crate::ports::{SourceError, VerdictStore};
use crate::router::Router;
use crate::transfer::{with_idle_timeout, Transfer};

/// Time between looks at whether something is to be written or read.
const LOOK: Duration = Duration::from_millis(100);

/// Time between reads of all verdicts, give or take a quarter: how soon one that an operator lifts
/// is lifted, at one call a minute and router.
const READ_AGAIN: Duration = Duration::from_secs(60);

/// The same for each router of the fleet, so that a large one reads once a second together: whoever
/// reads that a verdict is lifted tells the others.
const READ_AGAIN_PER_ROUTER: Duration = Duration::from_secs(1);

/// The same while most peers are silent: what they know comes over the store only. Twice as long after
/// each read that fails: a router that is cut off from its peers is likely to be cut off from the store.
const READ_ALONE: Duration = Duration::from_secs(1);
const LONGEST_READ_ALONE: Duration = Duration::from_secs(8);

/// Writes and reads verdicts, for ever.
pub async fn sync_verdicts(
    router: Rc<Router>,
    source: Rc<dyn VerdictStore>,
    store: Rc<StoreMonitor>,
) {
    let mut follower = VerdictFollower {
        router,
        source,
        store,
        read_due: Time(0),
        last_read: Time(0),
        failed_reads: 0,
        pause: Pause::new(),
    };
    loop {
        let done = follower.step().await;
        let pause = match done {
            Ok(()) => {
                follower.pause.reset();
                LOOK
            }
            Err(error) => {
                log::info!(target: "quarantine", "store=failed cause=\"{error}\"");
                follower.pause.take(&follower.router)
            }
        };
        sleep(pause).await;
    }
}

struct VerdictFollower {
    router: Rc<Router>,
    source: Rc<dyn VerdictStore>,
    store: Rc<StoreMonitor>,
    /// When to read again.
    read_due: Time,
    /// When the last read began.
    last_read: Time,
    /// Reads that failed since the last one that did not.
    failed_reads: u32,
    pause: Pause,
}

impl VerdictFollower {
    async fn step(&mut self) -> Result<(), SourceError> {
        self.write().await?;
        let now = self.router.now();
        let alone = self.router.peers.borrow().lost_most_peers();
        let read_alone = doubled(READ_ALONE, self.failed_reads, LONGEST_READ_ALONE);
        let due_alone = alone && now.since(self.last_read) >= read_alone;
        if now >= self.read_due {
            return self.read(now).await;
        }
        if due_alone {
            let read = self.read(now).await;
            if read.is_err() {
                self.failed_reads += 1;
                self.last_read = now;
            }
            return read;
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
        with_idle_timeout(call, &transfer, self.store.patience(false)).await?;
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

    async fn read(&mut self, begun: Time) -> Result<(), SourceError> {
        self.router.metrics.count_store_call("verdicts", "read");
        let transfer = Transfer::begin();
        let call = self.source.verdicts(transfer.clone());
        let verdicts = with_idle_timeout(call, &transfer, self.store.patience(false)).await?;
        let now = self.router.now();
        let mut quarantine = self.router.quarantine.borrow_mut();
        let changes: Vec<TreatmentChange> = quarantine.apply_stored(&verdicts, begun, now);
        drop(quarantine);
        log::info!(
            target: "quarantine",
            "store=read verdicts={} changes={} ms={}",
            verdicts.len(),
            changes.len(),
            transfer.elapsed().as_millis(),
        );
        for change in changes {
            self.router.on_treatment_change(Some(change), "store");
        }
        self.last_read = begun;
        self.failed_reads = 0;
        self.read_due = now + self.until_next_read();
        Ok(())
    }

    fn until_next_read(&self) -> Duration {
        let routers = self.router.peers.borrow().known_routers();
        let of_fleet = READ_AGAIN_PER_ROUTER.mul_f64(routers as f64);
        let spread = rand::rng().random_range(0.75..=1.25);
        READ_AGAIN.max(of_fleet).mul_f64(spread)
    }
}

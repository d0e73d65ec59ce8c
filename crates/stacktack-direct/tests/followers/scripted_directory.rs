//! A directory controlled by a test script, on virtual time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stacktack_core::configuration::selector::Labels;
use stacktack_core::direct::back_ends::directory::{BackEndEntry, DirectoryDelta, RemovedEntry};
use stacktack_direct::ports::{Directory, DirectoryUpdate, LocalBoxFuture, SourceError};
use stacktack_direct::transfer::Transfer;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// A directory that can be down; a waiting call fails when it goes down.
#[derive(Default)]
pub struct ScriptedDirectory {
    down: Cell<bool>,
    revision: Cell<u64>,
    /// Rows by back end id, each with the revision of its last change.
    rows: RefCell<BTreeMap<String, (u64, Row)>>,
    changed: Notify,
    /// Number of calls so far.
    pub calls: Cell<u32>,
    /// Calls up to this number are never answered.
    last_silenced: Cell<u32>,
    /// When the clock of the directory was first read.
    started: Cell<Option<Instant>>,
}

/// State of a back end in its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Row {
    Ready,
    Leaving,
    Gone,
}

impl ScriptedDirectory {
    /// Adds or renews the row of a back end, or removes it.
    pub fn set(&self, id: &str, present: bool) {
        self.write(id, if present { Row::Ready } else { Row::Gone });
    }

    /// Marks a back end as leaving.
    pub fn set_leaving(&self, id: &str) {
        self.write(id, Row::Leaving);
    }

    fn write(&self, id: &str, row: Row) {
        self.revision.set(self.revision.get() + 1);
        let row = (self.revision.get(), row);
        self.rows.borrow_mut().insert(id.to_owned(), row);
        self.changed.notify_waiters();
    }

    /// Leaves all calls in flight without an answer, as on connections that are dead without a
    /// reset.
    pub fn silence_calls_in_flight(&self) {
        self.last_silenced.set(self.calls.get());
    }

    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        self.changed.notify_waiters();
    }

    /// Time on the clock of the directory in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        let started = self.started.get().unwrap_or_else(Instant::now);
        self.started.set(Some(started));
        started.elapsed().as_millis() as u64 + 1
    }

    /// Returns the complete state.
    pub fn snapshot(&self) -> DirectoryUpdate {
        self.update(None)
    }

    /// Returns the changes after a revision, or a snapshot without a revision.
    fn update(&self, after: Option<u64>) -> DirectoryUpdate {
        let delta = DirectoryDelta {
            whole: after.is_none(),
            ..DirectoryDelta::default()
        };
        let mut update = DirectoryUpdate {
            revision: self.revision.get(),
            answered_at_ms: self.clock_ms(),
            delta,
            invalid_rows: Vec::new(),
        };
        for (id, (revision, row)) in self.rows.borrow().iter() {
            if *revision <= after.unwrap_or(0) {
                continue;
            }
            update.delta.revision = update.delta.revision.max(*revision);
            if *row != Row::Gone {
                let mut entry = entry(id, *revision);
                entry.leaving = *row == Row::Leaving;
                update.delta.present.push(entry);
            } else if after.is_some() {
                update.delta.gone.push(RemovedEntry {
                    id: id.clone(),
                    revision: *revision,
                });
            }
        }
        update
    }

    async fn wait_for_update(&self, after: Option<u64>) -> Result<DirectoryUpdate, SourceError> {
        loop {
            let changed = self.changed.notified();
            if self.down.get() {
                return Err(SourceError::Broken);
            }
            let update = self.update(after);
            if update.delta.revision > 0 || after.is_none() {
                return Ok(update);
            }
            changed.await;
        }
    }
}

impl Directory for ScriptedDirectory {
    fn back_ends(
        &self,
        after: Option<u64>,
        wait: Duration,
        _: Rc<Transfer>,
    ) -> LocalBoxFuture<'_, Result<DirectoryUpdate, SourceError>> {
        self.calls.set(self.calls.get() + 1);
        let call = self.calls.get();
        Box::pin(async move {
            let answer = timeout(wait, self.wait_for_update(after)).await;
            if call <= self.last_silenced.get() {
                return std::future::pending().await;
            }
            answer.unwrap_or_else(|_| Ok(self.update(after)))
        })
    }
}

fn entry(id: &str, revision: u64) -> BackEndEntry {
    BackEndEntry {
        id: id.to_owned(),
        born: 0,
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        labels: Labels::new(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        revision,
    }
}

//! A directory of a script, on virtual time.

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

/// A directory that can be down; a call that waits is cut when it goes down.
#[derive(Default)]
pub struct ScriptedDirectory {
    down: Cell<bool>,
    revision: Cell<u64>,
    /// Rows by id: the revision of the last change, and what it says.
    rows: RefCell<BTreeMap<String, (u64, Row)>>,
    changed: Notify,
    /// Calls so far.
    pub calls: Cell<u32>,
    /// Calls up to this one are never answered.
    silenced: Cell<u32>,
    /// When its clock was first read.
    begun: Cell<Option<Instant>>,
}

/// What a row says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Row {
    Ready,
    Leaving,
    Gone,
}

impl ScriptedDirectory {
    /// Lists a back end, or drops it.
    pub fn set(&self, id: &str, present: bool) {
        self.write(id, if present { Row::Ready } else { Row::Gone });
    }

    /// A back end says that it leaves.
    pub fn set_leaving(&self, id: &str) {
        self.write(id, Row::Leaving);
    }

    fn write(&self, id: &str, row: Row) {
        self.revision.set(self.revision.get() + 1);
        let row = (self.revision.get(), row);
        self.rows.borrow_mut().insert(id.to_owned(), row);
        self.changed.notify_waiters();
    }

    /// Calls that are under way are never answered: their connections say nothing any more.
    pub fn silence_calls_under_way(&self) {
        self.silenced.set(self.calls.get());
    }

    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        self.changed.notify_waiters();
    }

    /// Its clock, in milliseconds.
    pub fn clock(&self) -> u64 {
        let begun = self.begun.get().unwrap_or_else(Instant::now);
        self.begun.set(Some(begun));
        begun.elapsed().as_millis() as u64 + 1
    }

    /// All that it holds.
    pub fn newest(&self) -> DirectoryUpdate {
        self.news(None)
    }

    fn news(&self, after: Option<u64>) -> DirectoryUpdate {
        let delta = DirectoryDelta {
            whole: after.is_none(),
            ..DirectoryDelta::default()
        };
        let mut news = DirectoryUpdate {
            revision: self.revision.get(),
            answered_at_ms: self.clock(),
            delta,
            invalid_rows: Vec::new(),
        };
        for (id, (revision, row)) in self.rows.borrow().iter() {
            if *revision <= after.unwrap_or(0) {
                continue;
            }
            news.delta.revision = news.delta.revision.max(*revision);
            if *row != Row::Gone {
                let mut entry = entry(id, *revision);
                entry.leaving = *row == Row::Leaving;
                news.delta.present.push(entry);
            } else if after.is_some() {
                news.delta.gone.push(RemovedEntry {
                    id: id.clone(),
                    revision: *revision,
                });
            }
        }
        news
    }

    async fn changed_news(&self, after: Option<u64>) -> Result<DirectoryUpdate, SourceError> {
        loop {
            let changed = self.changed.notified();
            if self.down.get() {
                return Err(SourceError::Broken);
            }
            let news = self.news(after);
            if news.delta.revision > 0 || after.is_none() {
                return Ok(news);
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
            let answer = timeout(wait, self.changed_news(after)).await;
            if call <= self.silenced.get() {
                return std::future::pending().await;
            }
            answer.unwrap_or_else(|_| Ok(self.news(after)))
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

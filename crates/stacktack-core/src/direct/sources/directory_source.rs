//! Decides when an entry that is missing from the directory counts as removed.
//!
//! While the store of the directory is unavailable, entries of live back ends may expire. They
//! are renewed within about two seconds after the store returns. Until then the removal of a
//! missing entry stays pending, because its back end may only have been unable to renew it. An
//! entry that is still missing afterwards is removed.
//!
//! A router whose peers keep it current calls the store rarely. So the store counts as lost until it
//! has answered any router, this one or a peer: otherwise the loss would last until this router's
//! next call, and removals would be held up again long after the outage.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use crate::chart::{Chart, ChartError};
use crate::direct::back_ends::directory::RemovedEntry;
use crate::time::Time;

/// Time after the store's return within which live back ends renew their entries.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(2200);

/// Source text of the [`DirectorySource`] chart, from `charts/`.
pub const CHART: &str = include_str!("../../../../../charts/directory_source.toml");

/// State chart of [`DirectorySource`].
pub type SourceChart = Chart<SourceState, SourceEvent, SourceAction>;

/// Availability of the directory's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SourceState {
    /// The store answers, and live back ends have had time to renew their entries.
    Steady,
    /// The store does not answer.
    Lost,
    /// The store answers again; some entries may not have been renewed yet.
    Returned,
}

/// Event that changes the [`SourceState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SourceEvent {
    /// A call to the store was answered.
    Answer,
    /// A call to the store failed.
    Failure,
    /// [`RENEWAL_PERIOD`] has passed since the store was last lost or returned.
    RenewalOver,
}

/// Action of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SourceAction {
    /// The store has just been lost.
    NoteLost,
    /// The store has just returned.
    NoteReturned,
}

/// Availability of the directory's store as one router sees it.
#[derive(Debug)]
pub struct DirectorySource {
    chart: SourceChart,
    state: SourceState,
    /// When the store was last lost or returned.
    changed_at: Time,
    /// When the store last returned.
    returned_at: Option<Time>,
    /// When the store was last lost, in milliseconds on its own clock; 0 if unknown. Answers to peers
    /// are dated by that clock, since gossip takes a while.
    lost_at_ms: u64,
}

impl DirectorySource {
    /// Creates a source that is assumed to answer steadily.
    pub fn new() -> Result<Self, ChartError> {
        let chart = SourceChart::parse(CHART)?;
        Ok(DirectorySource {
            state: chart.initial(),
            chart,
            changed_at: Time(0),
            returned_at: None,
            lost_at_ms: 0,
        })
    }

    /// Records an answered call. Returns how long the store was lost if this answer ends the
    /// loss.
    pub fn on_answer(&mut self, now: Time) -> Option<Duration> {
        let lost_at = self.changed_at;
        if !self.step(SourceEvent::Answer, now) {
            return None;
        }
        self.returned_at = Some(now);
        Some(now.since(lost_at))
    }

    /// Records that the store answered a peer, at `answered_at_ms` on its clock. An answer from before
    /// the loss does not end it. Returns how long the store was lost if this answer ends the loss.
    pub fn on_peer_answer(&mut self, answered_at_ms: u64, now: Time) -> Option<Duration> {
        if answered_at_ms <= self.lost_at_ms {
            return None;
        }
        self.on_answer(now)
    }

    /// Records a failed call; `store_clock_ms` is the time on the clock of the store, or somewhat
    /// later, as far as known. Returns whether this marks the store as lost.
    pub fn on_failure(&mut self, store_clock_ms: Option<u64>, now: Time) -> bool {
        let is_new_loss = self.step(SourceEvent::Failure, now);
        if is_new_loss {
            self.lost_at_ms = store_clock_ms.unwrap_or(0);
        }
        is_new_loss
    }

    /// Whether the store is lost.
    pub fn is_lost(&self) -> bool {
        self.state == SourceState::Lost
    }

    /// Whether the store was lost at some time within the last `span`.
    pub fn was_lost_within(&self, span: Duration, now: Time) -> bool {
        let since_return = self.returned_at.map(|returned_at| now.since(returned_at));
        self.is_lost() || since_return.is_some_and(|since| since <= span)
    }

    /// When live back ends have renewed their entries after the last loss; `None` without one.
    pub fn renewal_end(&self) -> Option<Time> {
        self.returned_at
            .map(|returned_at| returned_at + RENEWAL_PERIOD)
    }

    /// Whether the store has answered for long enough that all live back ends have renewed their
    /// entries.
    pub fn is_steady(&mut self, now: Time) -> bool {
        if now.since(self.changed_at) >= RENEWAL_PERIOD {
            self.step(SourceEvent::RenewalOver, now);
        }
        self.state == SourceState::Steady
    }

    /// Applies one event. Returns whether the transition has an action.
    fn step(&mut self, event: SourceEvent, now: Time) -> bool {
        let (next, actions) = self.chart.step(self.state, event);
        self.state = next;
        let changed = !actions.is_empty();
        if changed {
            self.changed_at = now;
        }
        changed
    }
}

/// Evidence that a missing entry was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalEvidence {
    /// Not enough: the back end may only have been unable to renew its entry.
    Insufficient,
    /// The store has answered steadily, so that all live back ends have renewed their entries.
    StoreSteady,
    /// A peer has decided that the entry was removed.
    PeerDecided,
}

/// Missing entries that do not count as removed yet: id to revision of the removal.
#[derive(Clone, Debug, Default)]
pub struct PendingRemovals(BTreeMap<String, u64>);

impl PendingRemovals {
    /// Records missing entries. Returns the entries that count as removed now: with a steady
    /// store, also those recorded before.
    pub fn on_missing(
        &mut self,
        missing: Vec<RemovedEntry>,
        evidence: RemovalEvidence,
    ) -> Vec<RemovedEntry> {
        if evidence == RemovalEvidence::PeerDecided {
            for entry in &missing {
                self.0.remove(&entry.id);
            }
            return missing;
        }
        for entry in missing {
            self.0.insert(entry.id, entry.revision);
        }
        if evidence == RemovalEvidence::StoreSteady {
            self.take_all()
        } else {
            Vec::new()
        }
    }

    /// Cancels a pending removal if the entry is present as of a later revision.
    pub fn on_renewed(&mut self, id: &str, revision: u64) {
        if self.0.get(id).is_some_and(|removed| *removed < revision) {
            self.0.remove(id);
        }
    }

    /// Number of pending removals.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no removal is pending.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Newest revision up to which no removal is pending; `latest` is the newest known revision.
    /// Peers may rely on the knowledge up to the returned revision.
    pub fn decided_revision(&self, latest: u64) -> u64 {
        let first_pending = self.0.values().min();
        first_pending.map_or(latest, |first| latest.min(first.saturating_sub(1)))
    }

    /// Takes all pending removals, once live back ends had time to renew their entries: the
    /// missing entries count as removed now.
    pub fn take_all(&mut self) -> Vec<RemovedEntry> {
        std::mem::take(&mut self.0)
            .into_iter()
            .map(|(id, revision)| RemovedEntry { id, revision })
            .collect()
    }
}

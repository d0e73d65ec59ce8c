//! Keeps the configuration of a process up to date; its version only increases.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use stacktack_wire::identity::ConfigurationVersion;
use stacktack_wire::message::EncodedChanges;

use super::ControlOutput;
use crate::configuration::change::{encode, Change};
use crate::configuration::store::HeadRow;
use crate::configuration::Configuration;
use crate::protection::{Protection, Protections};
use crate::time::Time;

/// Maximum number of changes kept to bring peers up to date.
const MAX_KEPT_CHANGES: usize = 64;

/// Minimum time between two requests for changes.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of unanswered requests for changes after which the whole configuration is fetched.
const MAX_UNANSWERED_ASKS: u32 = 5;

/// Minimum time between two fetches of the whole configuration.
const MIN_FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a read without a reply may be repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The configuration in force and the latest changes that led to it.
#[derive(Debug)]
pub struct ConfigurationSync {
    configuration: Arc<Configuration>,
    changes: VecDeque<Change>,
    protections: Protections,
    asked_at: Option<Time>,
    unanswered_asks: u32,
    fetched_at: Option<Time>,
    read_started_at: Option<Time>,
}

impl ConfigurationSync {
    /// Starts with the empty configuration.
    pub fn new(protections: Protections) -> Self {
        ConfigurationSync {
            configuration: Configuration::empty(),
            changes: VecDeque::new(),
            protections,
            asked_at: None,
            unanswered_asks: 0,
            fetched_at: None,
            read_started_at: None,
        }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Whether changes may be requested now; if so, the request counts as sent.
    pub fn may_ask_changes(&mut self, now: Time) -> bool {
        let allowed = try_start_interval(&mut self.asked_at, now, MIN_ASK_INTERVAL);
        self.unanswered_asks += u32::from(allowed);
        allowed
    }

    /// Whether a snapshot is needed: there is no configuration that changes could apply to, or peers
    /// no longer have the changes.
    pub fn needs_snapshot(&self) -> bool {
        self.configuration.version.0 == 0 || self.unanswered_asks >= MAX_UNANSWERED_ASKS
    }

    /// Whether the whole configuration may be fetched now; if so, the fetch counts as started.
    pub fn may_fetch_snapshot(&mut self, now: Time) -> bool {
        try_start_interval(&mut self.fetched_at, now, MIN_FETCH_INTERVAL)
    }

    /// Changes from version `base` to the current one; none if they are no longer kept or `base` is
    /// current.
    pub fn changes_since(&self, base: ConfigurationVersion) -> Option<EncodedChanges> {
        let missing: Vec<Change> = self
            .changes
            .iter()
            .filter(|change| change.version > base)
            .cloned()
            .collect();
        let first = missing.first()?;
        if first.version.0 != base.0 + 1 {
            return None;
        }
        encode(&missing)
    }

    /// Handles the head row as read from the table: if it is newer, reads its snapshot if that is
    /// newer too, otherwise the changes.
    pub fn on_head(&mut self, now: Time, head: HeadRow, outputs: &mut Vec<ControlOutput>) {
        let held = self.configuration.version;
        let reading = self
            .read_started_at
            .is_some_and(|at| now.since(at) < READ_TIMEOUT);
        if head.version <= held || reading {
            return;
        }
        self.read_started_at = Some(now);
        let snapshot = head.snapshot.filter(|snapshot| snapshot.version > held);
        outputs.push(match snapshot {
            Some(snapshot) => ControlOutput::ReadSnapshot(snapshot),
            None => ControlOutput::ReadChanges {
                held,
                change_id: head.change_id,
            },
        });
    }

    /// Handles a snapshot from the object store or a peer.
    pub fn on_snapshot(&mut self, configuration: Configuration, outputs: &mut Vec<ControlOutput>) {
        self.read_started_at = None;
        let rises = configuration.version > self.configuration.version;
        if !rises && self.protections.is_enabled(Protection::VersionRise) {
            return;
        }
        self.changes.clear();
        self.apply(configuration, Vec::new(), outputs);
        outputs.push(ControlOutput::ReadHead);
    }

    /// Handles a failed read: the next one may start at once.
    pub fn on_read_failed(&mut self) {
        self.read_started_at = None;
    }

    /// Handles changes from the table, a peer or an agent.
    pub fn on_changes(&mut self, encoded: &EncodedChanges, outputs: &mut Vec<ControlOutput>) {
        self.read_started_at = None;
        let rising = self.protections.is_enabled(Protection::VersionRise);
        if rising && encoded.target <= self.configuration.version {
            return;
        }
        match self.configuration.with_changes(encoded) {
            Ok((configuration, changes)) => {
                if rising && changes.is_empty() {
                    return;
                }
                self.asked_at = None;
                self.apply(configuration, changes, outputs);
            }
            Err(error) => {
                log::debug!(target: "control", "changes are ignored: {error}");
            }
        }
    }

    fn apply(
        &mut self,
        configuration: Configuration,
        changes: Vec<Change>,
        outputs: &mut Vec<ControlOutput>,
    ) {
        self.configuration = Arc::new(configuration);
        self.unanswered_asks = 0;
        self.changes.extend(changes.iter().cloned());
        while self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
        outputs.push(ControlOutput::Configuration {
            configuration: self.configuration.clone(),
            changes,
        });
    }
}

/// Whether `interval` has elapsed since `started_at`; if so, a new interval starts.
fn try_start_interval(started_at: &mut Option<Time>, now: Time, interval: Duration) -> bool {
    let elapsed = started_at.is_none_or(|at| now.since(at) >= interval);
    if elapsed {
        *started_at = Some(now);
    }
    elapsed
}

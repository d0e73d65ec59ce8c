//! Keeping the configuration up to date; versions only rise.

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

/// Changes kept to bring others up to date.
const CHANGES_KEPT: usize = 64;

/// Pause between questions for changes.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// Questions without an answer after which a whole configuration is fetched.
const ASKS_IN_VAIN: u32 = 5;

/// Pause between fetches of a whole configuration.
const FETCH_PAUSE: Duration = Duration::from_secs(1);

/// Time after which a read that was not answered may be made again.
const READ_PAUSE: Duration = Duration::from_secs(2);

/// The configuration in force and the changes that led to it.
#[derive(Debug)]
pub struct ConfigurationSync {
    configuration: Arc<Configuration>,
    changes: VecDeque<Change>,
    protections: Protections,
    asked_at: Option<Time>,
    asked_in_vain: u32,
    fetched_at: Option<Time>,
    read_at: Option<Time>,
}

impl ConfigurationSync {
    /// Without a configuration.
    pub fn new(protections: Protections) -> Self {
        ConfigurationSync {
            configuration: Configuration::empty(),
            changes: VecDeque::new(),
            protections,
            asked_at: None,
            asked_in_vain: 0,
            fetched_at: None,
            read_at: None,
        }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Whether a question for changes may go out; counts it as asked.
    pub fn may_ask(&mut self, now: Time) -> bool {
        let allowed = pass_pause(&mut self.asked_at, now, ASK_PAUSE);
        self.asked_in_vain += u32::from(allowed);
        allowed
    }

    /// Whether changes will not do: there is no configuration to change, or
    /// peers do not have the changes any more.
    pub fn needs_snapshot(&self) -> bool {
        self.configuration.version.0 == 0 || self.asked_in_vain >= ASKS_IN_VAIN
    }

    /// Whether a whole configuration may be fetched; counts it as fetched.
    pub fn may_fetch(&mut self, now: Time) -> bool {
        pass_pause(&mut self.fetched_at, now, FETCH_PAUSE)
    }

    /// Changes behind a version; none when they are not kept.
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

    /// The head of the configuration as read from the table.
    pub fn on_head(&mut self, now: Time, head: HeadRow, outputs: &mut Vec<ControlOutput>) {
        let held = self.configuration.version;
        let reading = self.read_at.is_some_and(|at| now.since(at) < READ_PAUSE);
        if head.version <= held || reading {
            return;
        }
        self.read_at = Some(now);
        let snapshot = head.snapshot.filter(|snapshot| snapshot.version > held);
        outputs.push(match snapshot {
            Some(snapshot) => ControlOutput::ReadSnapshot(snapshot),
            None => ControlOutput::ReadChanges {
                held,
                change_id: head.change_id,
            },
        });
    }

    /// A snapshot as read from the object store.
    pub fn on_snapshot(&mut self, configuration: Configuration, outputs: &mut Vec<ControlOutput>) {
        self.read_at = None;
        let rises = configuration.version > self.configuration.version;
        if !rises && self.protections.is_enabled(Protection::VersionRise) {
            return;
        }
        self.changes.clear();
        self.put_in_force(configuration, Vec::new(), outputs);
        outputs.push(ControlOutput::ReadHead);
    }

    /// A read got no answer.
    pub fn on_read_failed(&mut self) {
        self.read_at = None;
    }

    /// Changes from the table, a peer or an agent.
    pub fn on_changes(&mut self, encoded: &EncodedChanges, outputs: &mut Vec<ControlOutput>) {
        self.read_at = None;
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
                self.put_in_force(configuration, changes, outputs);
            }
            Err(error) => {
                log::debug!(target: "control", "changes are passed over: {error}");
            }
        }
    }

    fn put_in_force(
        &mut self,
        configuration: Configuration,
        changes: Vec<Change>,
        outputs: &mut Vec<ControlOutput>,
    ) {
        self.configuration = Arc::new(configuration);
        self.asked_in_vain = 0;
        self.changes.extend(changes.iter().cloned());
        while self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
        outputs.push(ControlOutput::Configuration {
            configuration: self.configuration.clone(),
            changes,
        });
    }
}

/// Whether the pause since `last` is over; if so, a new one begins.
fn pass_pause(last: &mut Option<Time>, now: Time, pause: Duration) -> bool {
    let over = last.is_none_or(|at| now.since(at) >= pause);
    if over {
        *last = Some(now);
    }
    over
}

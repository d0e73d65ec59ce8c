//! Operators that change the configuration of an emulated fleet.

use std::time::Duration;

use rand::RngExt;
use stacktack_core::configuration::apply::{ApplyStep, ChangeApplication};
use stacktack_core::configuration::change::{encode, Change, Difference};
use stacktack_core::configuration::store::{ChangeRow, HeadRow};
use stacktack_core::control::ControlInput;
use stacktack_core::ledger::TableReply;
use stacktack_wire::identity::ConfigurationVersion;

use super::event::Event;
use super::network::PLATFORM_DELAY;
use super::Emulator;

/// Number of random picks of a process to which an operator announces an
/// accepted change.
const CHANGE_ANNOUNCEMENTS: usize = 5;

/// Time after which an operator regards a reply as lost.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// An operator that applies one change.
pub struct Operator {
    apply: ChangeApplication,
    version: ConfigurationVersion,
    change_id: String,
}

impl Emulator {
    /// Starts an operator that sets the load cap, based on the current head of
    /// the configuration.
    pub(super) fn begin_apply(&mut self, author: &str, load_cap: f64) {
        let Some(configuration) = self.platform.configuration() else {
            return;
        };
        let Some((row, head)) = self.platform.head() else {
            return;
        };
        let mut document = configuration.document.clone();
        document.limits.load_cap = load_cap;
        let version = ConfigurationVersion(configuration.version.0 + 1);
        let change_id = format!("{author}-{}-{}", version, self.operators.len());
        let change = Change {
            version,
            author: author.to_string(),
            change_id: change_id.clone(),
            difference: Difference::between(&configuration.document, &document),
        };
        let change_row = ChangeRow {
            change,
            previous: Some(head.change_id),
        };
        let next = HeadRow {
            version,
            change_id: change_id.clone(),
            snapshot: head.snapshot,
        };
        let mut apply =
            ChangeApplication::new(change_row, next, Some(row.version), self.plan.protections());
        let first = apply.begin();
        self.operators.push(Operator {
            apply,
            version,
            change_id,
        });
        self.on_apply_step(self.operators.len() - 1, first);
    }

    fn on_apply_step(&mut self, operator: usize, step: ApplyStep) {
        match step {
            ApplyStep::Send(operation) => {
                let delay = PLATFORM_DELAY * 2 + self.platform.fault.delay();
                let reply = self.platform.apply(&operation);
                let delay = if reply == TableReply::Lost {
                    REPLY_TIMEOUT
                } else {
                    delay
                };
                self.schedule(delay, Event::OperatorReply { operator, reply });
            }
            ApplyStep::Accepted => {
                let Operator {
                    version, change_id, ..
                } = &self.operators[operator];
                self.observer.record_accepted(self.now, *version, change_id);
                self.announce_change(operator);
            }
            ApplyStep::LostRace => self.observer.lost_races += 1,
            ApplyStep::Unknown => self.observer.unknown_applies += 1,
        }
    }

    /// Announces an accepted change to a few processes, so that it spreads even
    /// if the table fails right after the write.
    fn announce_change(&mut self, operator: usize) {
        let change = self.operators[operator].apply.change().clone();
        let Some(changes) = encode(&[change]) else {
            return;
        };
        for _ in 0..CHANGE_ANNOUNCEMENTS {
            let id = self.random.random_range(0..self.processes.len());
            let process = &self.processes[id];
            if process.alive && !process.frozen {
                self.handle_control(id, ControlInput::Changes(changes.clone()));
            }
        }
    }

    pub(super) fn on_operator_reply(&mut self, operator: usize, reply: TableReply) {
        let step = self.operators[operator].apply.on_reply(reply);
        self.on_apply_step(operator, step);
    }
}

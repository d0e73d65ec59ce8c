//! Asking an agent what became of an attempt.

use stacktack_wire::identity::RequestId;
use stacktack_wire::message::ToAgent;

use super::request::Event;
use super::{DispatchOutput, Dispatcher, Link, FATE_TIMEOUT};
use crate::protection::Protection;
use crate::time::Time;

impl Dispatcher {
    pub(super) fn ask_fate(&mut self, now: Time, id: RequestId, outputs: &mut Vec<DispatchOutput>) {
        if !self.protections.is_enabled(Protection::FateQuery) {
            self.step(now, id, Event::FateNotRun, outputs);
            return;
        }
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let Some(agent) = entry.agent else {
            return;
        };
        if entry.incarnation.is_none() {
            self.links.remove(&agent);
            outputs.push(DispatchOutput::Disconnect(agent));
            self.step(now, id, Event::FateNotRun, outputs);
            return;
        }
        match self.links.get(&agent) {
            Some(Link::Up(_)) => self.send_ask_fate(now, id, outputs),
            Some(Link::Connecting) => {}
            None => {
                self.links.insert(agent, Link::Connecting);
                outputs.push(DispatchOutput::Connect(agent));
            }
        }
        self.set_timer(id, now + FATE_TIMEOUT);
    }

    pub(super) fn send_ask_fate(
        &mut self,
        now: Time,
        id: RequestId,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let Some(entry) = self.requests.get(&id) else {
            return;
        };
        let (Some(agent), Some(incarnation)) = (entry.agent, entry.incarnation) else {
            return;
        };
        self.counters.fates_asked += 1;
        outputs.push(DispatchOutput::ToAgent {
            agent,
            message: ToAgent::AskFate {
                attempt: entry.attempt(),
                incarnation,
            },
        });
        self.set_timer(id, now + FATE_TIMEOUT);
    }

    /// Closes the agent's connection. Others that use it ask their own fates.
    pub(super) fn reset_link(
        &mut self,
        now: Time,
        id: RequestId,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let Some(agent) = self.requests.get(&id).and_then(|entry| entry.agent) else {
            return;
        };
        if self.links.remove(&agent).is_none() {
            return;
        }
        outputs.push(DispatchOutput::Disconnect(agent));
        for other in self.requests_at(agent) {
            if other != id {
                self.step(now, other, Event::Lost, outputs);
            }
        }
    }
}

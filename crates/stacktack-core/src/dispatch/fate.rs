//! Fate queries: asking an agent for the fate of an attempt whose outcome is unknown to the router.

use stacktack_wire::identity::{NodeId, RequestId};
use stacktack_wire::message::ToAgent;

use super::request::Event;
use super::{AgentConnection, DispatchOutput, Dispatcher, FATE_QUERY_TIMEOUT, OFFER_TIMEOUT};
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
            self.end_late_connection(now, agent, outputs);
            self.step(now, id, Event::FateNotRun, outputs);
            return;
        }
        match self.connections.get(&agent) {
            Some(AgentConnection::Connected(_)) => self.send_fate_query(now, id, outputs),
            Some(AgentConnection::Connecting(_)) => {}
            None => {
                self.connections
                    .insert(agent, AgentConnection::Connecting(now));
                outputs.push(DispatchOutput::Connect(agent));
            }
        }
        self.set_timer(id, now + FATE_QUERY_TIMEOUT);
    }

    /// Ends the opening of a connection that has lasted too long. Callers with little time leave it
    /// earlier; it goes on for those that have more.
    fn end_late_connection(&mut self, now: Time, agent: NodeId, outputs: &mut Vec<DispatchOutput>) {
        if let Some(AgentConnection::Connecting(since)) = self.connections.get(&agent) {
            if now.since(*since) < OFFER_TIMEOUT {
                return;
            }
        }
        self.connections.remove(&agent);
        outputs.push(DispatchOutput::Disconnect(agent));
    }

    pub(super) fn send_fate_query(
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
        self.counters.fate_queries += 1;
        outputs.push(DispatchOutput::ToAgent {
            agent,
            message: ToAgent::AskFate {
                attempt: entry.attempt(),
                incarnation,
            },
        });
        self.set_timer(id, now + FATE_QUERY_TIMEOUT);
    }

    /// Closes the connection to the request's agent. Other requests at this agent get
    /// [`Event::Lost`] and query the fates of their own attempts.
    pub(super) fn reset_connection(
        &mut self,
        now: Time,
        id: RequestId,
        outputs: &mut Vec<DispatchOutput>,
    ) {
        let Some(agent) = self.requests.get(&id).and_then(|entry| entry.agent) else {
            return;
        };
        if self.connections.remove(&agent).is_none() {
            return;
        }
        outputs.push(DispatchOutput::Disconnect(agent));
        for other in self.requests_on_agent(agent) {
            if other != id {
                self.step(now, other, Event::Lost, outputs);
            }
        }
    }
}

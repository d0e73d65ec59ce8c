//! Request handling of emulated agents.

use std::sync::Arc;

use stacktack_core::configuration::change::Change;
use stacktack_core::configuration::Configuration;
use stacktack_core::gate::{BackendEvent, ConnectionId, GateInput, GateOutput};
use stacktack_wire::identity::AttemptId;
use stacktack_wire::message::{ToAgent, ToRouter};

use super::event::Event;
use super::network::LinkId;
use super::process::{ProcessId, Traffic};
use super::Emulator;

impl Emulator {
    pub(super) fn handle_gate(&mut self, id: ProcessId, input: GateInput) {
        let now = self.now;
        let mut outputs = Vec::new();
        if let Traffic::Agent { gate, .. } = &mut self.processes[id].traffic {
            gate.handle(now, input, &mut outputs);
        }
        for output in outputs {
            self.execute_gate_output(id, output);
        }
    }

    fn execute_gate_output(&mut self, id: ProcessId, output: GateOutput) {
        match output {
            GateOutput::ToRouter {
                connection,
                message,
            } => {
                if let Traffic::Agent { links, .. } = &self.processes[id].traffic {
                    if let Some(link) = links.get(&connection).copied() {
                        self.send_to_router(link, message);
                    }
                }
            }
            GateOutput::StartBackend { attempt, offer } => self.start_back_end(id, attempt, &offer),
            GateOutput::ResumeBackend { attempt, offset } => {
                self.resume_back_end(id, attempt, offset);
            }
            GateOutput::CancelBackend { attempt } => self.cancel_back_end(id, attempt),
        }
    }

    /// Sends a message on a connection, behind all messages sent before it. The
    /// message waits while the network between both ends is cut.
    fn send_to_router(&mut self, connection: LinkId, message: ToRouter) {
        let Some(link) = self.network.links.get_mut(&connection) else {
            return;
        };
        let (router, agent) = (link.router, link.agent);
        let delay = self.delay(router, agent);
        let event = Event::ToRouter {
            process: router,
            connection,
            message,
        };
        if self.network.is_cut(router, agent) {
            self.network.stalled.push((router, agent, event));
            return;
        }
        let now = self.now;
        let Some(link) = self.network.links.get_mut(&connection) else {
            return;
        };
        link.last_to_router = link.last_to_router.max(now + delay);
        let at = link.last_to_router;
        self.schedule_at(at, event);
    }

    /// Opens a connection at its agent, which answers with its hello message.
    pub(super) fn on_connection_opened(&mut self, connection: LinkId) {
        let Some(link) = self.network.links.get_mut(&connection) else {
            return;
        };
        link.open_at_agent = true;
        let agent = link.agent;
        let number = ConnectionId(connection.0);
        let mut hello = None;
        if let Traffic::Agent { gate, links } = &mut self.processes[agent].traffic {
            links.insert(number, connection);
            hello = Some(gate.hello());
        }
        if let Some(hello) = hello {
            self.send_to_router(connection, hello);
        }
    }

    pub(super) fn on_to_agent(&mut self, connection: LinkId, message: ToAgent) {
        let Some(link) = self.network.links.get(&connection) else {
            return;
        };
        if !link.open_at_agent {
            return;
        }
        let input = GateInput::FromRouter {
            connection: ConnectionId(connection.0),
            message,
        };
        self.handle_gate(link.agent, input);
    }

    pub(super) fn on_connection_lost_at_agent(&mut self, connection: LinkId) {
        let Some(link) = self.network.links.get_mut(&connection) else {
            return;
        };
        link.open_at_agent = false;
        let agent = link.agent;
        let number = ConnectionId(connection.0);
        if let Traffic::Agent { links, .. } = &mut self.processes[agent].traffic {
            links.remove(&number);
        }
        self.handle_gate(agent, GateInput::ConnectionLost(number));
    }

    pub(super) fn on_backend(&mut self, id: ProcessId, attempt: AttemptId, event: BackendEvent) {
        self.handle_gate(id, GateInput::FromBackend { attempt, event });
    }

    pub(super) fn tick_agent(&mut self, id: ProcessId) {
        let loads = self.processes[id].control.members().active_agent_loads();
        self.handle_gate(id, GateInput::PeerLoads(loads));
        self.handle_gate(id, GateInput::Tick);
        let process = &self.processes[id];
        if process.stopping && process.in_flight() == 0 {
            self.end_process(id);
        }
    }

    pub(super) fn configure_agent(
        &mut self,
        id: ProcessId,
        configuration: Arc<Configuration>,
        changes: Vec<Change>,
    ) {
        let input = GateInput::Configuration {
            configuration,
            changes,
        };
        self.handle_gate(id, input);
    }
}

//! Request handling of emulated routers.

use std::sync::Arc;

use stacktack_core::control::ControlInput;
use stacktack_core::dispatch::view::RouterView;
use stacktack_core::dispatch::{DispatchInput, DispatchOutput};
use stacktack_core::problem::{Outcome, Problem};
use stacktack_core::protection::Protection;
use stacktack_wire::identity::{NodeId, RequestId};
use stacktack_wire::message::{ToAgent, ToRouter};

use super::defect::Defect;
use super::event::Event;
use super::network::{LinkId, CONNECT_TIMEOUT, PLATFORM_DELAY};
use super::process::{ProcessId, Traffic};
use super::Emulator;

impl Emulator {
    pub(super) fn handle_dispatch(&mut self, id: ProcessId, input: DispatchInput) {
        let now = self.now;
        let mut outputs = Vec::new();
        if let Traffic::Router { dispatcher, .. } = &mut self.processes[id].traffic {
            dispatcher.handle(now, input, &mut outputs);
        }
        for output in outputs {
            self.execute_dispatch_output(id, output);
        }
    }

    fn execute_dispatch_output(&mut self, id: ProcessId, output: DispatchOutput) {
        match output {
            DispatchOutput::Connect(agent) => self.connect(id, agent),
            DispatchOutput::Disconnect(agent) => self.disconnect(id, agent),
            DispatchOutput::ToAgent { agent, message } => self.send_to_agent(id, agent, message),
            DispatchOutput::ToTable { request, operation } => {
                let incarnation = self.processes[id].information.incarnation;
                let event = Event::TableRequest {
                    process: id,
                    incarnation,
                    request,
                    operation,
                };
                if !self.network.is_cut_from_platform(id) {
                    self.schedule(PLATFORM_DELAY, event);
                }
            }
            DispatchOutput::Head { request, .. } => self.callers.on_head(request),
            DispatchOutput::Body { request, bytes } => self.callers.on_body(request, &bytes),
            DispatchOutput::End { request } => self.callers.on_end(self.now, request),
            DispatchOutput::Problem { request, problem } => self.on_problem(request, problem),
            DispatchOutput::Abort { request, problem } => {
                self.callers.on_cut(self.now, request, problem);
            }
            DispatchOutput::Changes(changes) => {
                self.handle_control(id, ControlInput::Changes(changes));
            }
            DispatchOutput::FetchConfiguration => {
                self.handle_control(id, ControlInput::ConfigurationStale);
            }
        }
    }

    fn on_problem(&mut self, request: RequestId, problem: Problem) {
        let held_until = self
            .callers
            .deadline_of(request)
            .filter(|_| self.plan.defect == Some(Defect::HeldRefusals))
            .filter(|_| problem.outcome == Outcome::NotRun);
        match held_until {
            Some(deadline) => {
                let at = deadline.max(self.now);
                self.schedule_at(at, Event::HeldRefusal { request, problem });
            }
            None => self.callers.on_problem(self.now, request, problem),
        }
    }

    fn connect(&mut self, id: ProcessId, agent: NodeId) {
        let Some(target) = self.by_node.get(&agent).copied() else {
            self.schedule(CONNECT_TIMEOUT, Event::ConnectFailed { process: id, agent });
            return;
        };
        let delay = self.delay(id, target);
        if self.network.is_cut(id, target) {
            self.schedule(CONNECT_TIMEOUT, Event::ConnectFailed { process: id, agent });
            return;
        }
        if !self.processes[target].alive {
            self.schedule(delay * 2, Event::ConnectFailed { process: id, agent });
            return;
        }
        let connection = self.network.open(id, target);
        if let Traffic::Router { links, .. } = &mut self.processes[id].traffic {
            links.insert(agent, connection);
        }
        let event = Event::ConnectionOpened {
            process: target,
            connection,
        };
        self.schedule(delay, event);
    }

    fn disconnect(&mut self, id: ProcessId, agent: NodeId) {
        let Traffic::Router { links, .. } = &mut self.processes[id].traffic else {
            return;
        };
        let Some(connection) = links.remove(&agent) else {
            return;
        };
        let Some(link) = self.network.links.get_mut(&connection) else {
            return;
        };
        link.open_at_router = false;
        let target = link.agent;
        let event = Event::ConnectionLostAtAgent {
            process: target,
            connection,
        };
        self.send_on_link(id, target, connection, event);
    }

    /// Sends an event on a connection to its agent. The event arrives behind all
    /// that were sent before it, and waits while the network is cut.
    fn send_on_link(&mut self, id: ProcessId, target: ProcessId, connection: LinkId, event: Event) {
        if self.network.is_cut(id, target) {
            self.network.stalled.push((id, target, event));
            return;
        }
        let earliest = self.now + self.delay(id, target);
        if let Some(link) = self.network.links.get_mut(&connection) {
            link.last_to_agent = link.last_to_agent.max(earliest);
            let at = link.last_to_agent;
            self.schedule_at(at, event);
        }
    }

    fn send_to_agent(&mut self, id: ProcessId, agent: NodeId, message: ToAgent) {
        let Traffic::Router { links, .. } = &self.processes[id].traffic else {
            return;
        };
        let Some(connection) = links.get(&agent).copied() else {
            return;
        };
        let Some(target) = self.network.links.get(&connection).map(|link| link.agent) else {
            return;
        };
        let event = Event::ToAgent {
            process: target,
            connection,
            message,
        };
        self.send_on_link(id, target, connection, event);
    }

    pub(super) fn on_connect_failed(&mut self, id: ProcessId, agent: NodeId) {
        self.handle_dispatch(id, DispatchInput::ConnectFailed(agent));
    }

    pub(super) fn on_to_router(&mut self, connection: LinkId, message: ToRouter) {
        let Some(link) = self.network.links.get(&connection) else {
            return;
        };
        let attempt_matching = self
            .plan
            .protections()
            .is_enabled(Protection::AttemptMatching);
        if !link.open_at_router && attempt_matching {
            return;
        }
        let (router, agent) = (link.router, self.processes[link.agent].node);
        let input = match message {
            ToRouter::Hello { incarnation, .. } => DispatchInput::Connected { agent, incarnation },
            message => DispatchInput::FromAgent { agent, message },
        };
        self.handle_dispatch(router, input);
    }

    pub(super) fn on_connection_lost_at_router(&mut self, connection: LinkId) {
        let Some(link) = self.network.links.get_mut(&connection) else {
            return;
        };
        if !link.open_at_router {
            return;
        }
        link.open_at_router = false;
        let (router, agent) = (link.router, self.processes[link.agent].node);
        if let Traffic::Router { links, .. } = &mut self.processes[router].traffic {
            links.remove(&agent);
        }
        self.handle_dispatch(router, DispatchInput::ConnectionLost(agent));
    }

    pub(super) fn tick_router(&mut self, id: ProcessId) {
        self.refresh_view(id);
        if self.processes[id].stopping {
            if let Traffic::Router { dispatcher, .. } = &mut self.processes[id].traffic {
                dispatcher.stop();
            }
        }
        self.handle_dispatch(id, DispatchInput::Tick);
        let process = &self.processes[id];
        if process.stopping && process.in_flight() == 0 {
            self.end_process(id);
        }
    }

    pub(super) fn refresh_view(&mut self, id: ProcessId) {
        let process = &self.processes[id];
        let configuration = process.configuration.clone();
        let view = RouterView::of(process.control.members(), configuration);
        self.handle_dispatch(id, DispatchInput::View(Arc::new(view)));
    }
}

//! Faults of an emulated fleet and acts of its operators.

use std::time::Duration;

use rand::RngExt;
use stacktack_core::chart::ChartError;
use stacktack_core::gate::{BackendEvent, GateInput};
use stacktack_standins::platform::faults::StoreFault;

use super::event::Event;
use super::network::CONNECT_TIMEOUT;
use super::process::{ProcessId, Traffic};
use super::Emulator;

/// Delay, as a multiple of the connect timeout, until stalled messages are sent
/// again after a cut heals: retransmission backs off while the network is cut.
const RETRANSMISSION_DELAY_FACTOR: std::ops::Range<f64> = 0.2..1.5;

/// A fault, the end of a fault, or an act of an operator or the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A process crashes.
    Kill(ProcessId),
    /// A process restarts, in a new incarnation.
    Restart(ProcessId),
    /// A process is paused.
    Freeze(ProcessId),
    /// A paused process resumes.
    Thaw(ProcessId),
    /// A process is asked to stop gracefully.
    Stop(ProcessId),
    /// A back end crashes.
    KillBackEnd(ProcessId),
    /// A back end restarts.
    RestartBackEnd(ProcessId),
    /// Two processes cannot reach each other.
    Cut(ProcessId, ProcessId),
    /// Two processes can reach each other again.
    Heal(ProcessId, ProcessId),
    /// A process cannot reach the platform.
    CutPlatform(ProcessId),
    /// A process can reach the platform again.
    HealPlatform(ProcessId),
    /// A process neither sends nor receives datagrams.
    CutGossip(ProcessId),
    /// A process sends and receives datagrams again.
    HealGossip(ProcessId),
    /// All connections between two processes are reset.
    Reset(ProcessId, ProcessId),
    /// The store gets this fault, or `StoreFault::Up` to end one.
    Store(StoreFault),
    /// An operator drains an agent.
    Drain(ProcessId),
    /// An operator ends the draining of an agent.
    Undrain(ProcessId),
    /// The platform is about to take a machine away.
    Leave(ProcessId),
    /// Several operators set the load cap at the same time.
    Apply {
        /// Names of the operators.
        authors: Vec<String>,
        /// Load cap that the first operator sets; each further operator sets one
        /// that is 0.1 higher.
        load_cap: f64,
    },
}

impl Emulator {
    /// Schedules a fault.
    pub fn add_fault(&mut self, after: Duration, fault: Fault) {
        self.schedule(after, Event::Fault(fault));
    }

    pub(super) fn on_fault(&mut self, fault: Fault) -> Result<(), ChartError> {
        match fault {
            Fault::Kill(id) => self.end_process(id),
            Fault::Restart(id) => self.restart(id)?,
            Fault::Freeze(id) => self.processes[id].frozen = true,
            Fault::Thaw(id) => self.thaw(id),
            Fault::Stop(id) => self.stop(id),
            Fault::KillBackEnd(id) => self.kill_back_end(id),
            Fault::RestartBackEnd(id) => {
                if let Some(back_end) = &mut self.processes[id].back_end {
                    back_end.alive = true;
                }
            }
            Fault::Cut(left, right) => self.network.set_cut(left, right, true),
            Fault::Heal(left, right) => {
                self.network.set_cut(left, right, false);
                self.release_stalled();
            }
            Fault::CutPlatform(id) => self.network.set_platform_cut(id, true),
            Fault::HealPlatform(id) => self.network.set_platform_cut(id, false),
            Fault::CutGossip(id) => self.network.set_gossip_cut(id, true),
            Fault::HealGossip(id) => self.network.set_gossip_cut(id, false),
            Fault::Reset(left, right) => self.reset_links(left, right),
            Fault::Store(fault) => self.platform.fault = fault,
            Fault::Drain(id) => self.drain(id, true),
            Fault::Undrain(id) => self.drain(id, false),
            Fault::Leave(id) => {
                let process = &self.processes[id];
                let entry = (process.node, process.information.incarnation);
                self.platform.leaving.push(entry);
                self.observer.record_leaving(self.now, id);
            }
            Fault::Apply { authors, load_cap } => {
                for (number, author) in authors.iter().enumerate() {
                    self.begin_apply(author, load_cap + number as f64 / 10.0);
                }
            }
        }
        Ok(())
    }

    fn drain(&mut self, id: ProcessId, draining: bool) {
        self.handle_gate(id, GateInput::Drain(draining));
        if draining {
            self.observer.record_leaving(self.now, id);
        }
    }

    fn stop(&mut self, id: ProcessId) {
        self.processes[id].stopping = true;
        self.observer.record_leaving(self.now, id);
        self.handle_gate(id, GateInput::Drain(true));
        if !self
            .plan
            .protections()
            .is_enabled(stacktack_core::protection::Protection::DrainWait)
        {
            self.end_process(id);
        }
    }

    /// Ends a process and notifies the other ends of its connections.
    pub(super) fn end_process(&mut self, id: ProcessId) {
        if !self.processes[id].alive {
            return;
        }
        self.processes[id].alive = false;
        self.processes[id].inbox.clear();
        self.callers.lose_router(self.now, id);
        for connection in self.network.links_of(id) {
            self.break_link(connection, Some(id));
        }
    }

    fn reset_links(&mut self, left: ProcessId, right: ProcessId) {
        for connection in self.network.links_of(left) {
            let link = &self.network.links[&connection];
            if link.router == right || link.agent == right {
                self.break_link(connection, None);
            }
        }
    }

    /// Breaks a connection. Each open end except that of the process `gone` is
    /// notified, at the earliest when a cut between them heals.
    fn break_link(&mut self, connection: super::network::LinkId, gone: Option<ProcessId>) {
        let link = &self.network.links[&connection];
        let (router, agent) = (link.router, link.agent);
        let delay = self.delay(router, agent);
        let cut = self.network.is_cut(router, agent);
        let mut events = Vec::new();
        if gone != Some(agent) && link.open_at_agent {
            events.push(Event::ConnectionLostAtAgent {
                process: agent,
                connection,
            });
        }
        if gone != Some(router) && link.open_at_router {
            events.push(Event::ConnectionLostAtRouter {
                process: router,
                connection,
            });
        }
        for event in events {
            if cut {
                self.network.stalled.push((router, agent, event));
            } else {
                self.schedule(delay, event);
            }
        }
    }

    fn restart(&mut self, id: ProcessId) -> Result<(), ChartError> {
        self.end_process(id);
        let (name, zone, role) = {
            let process = &self.processes[id];
            let zone = process.information.zone.clone();
            (process.name.clone(), zone, process.role)
        };
        let back_end = self.processes[id].back_end.take();
        let order_target = self.processes[id].order_target.take();
        let mut process = self.make_process(id, &name, &zone, role)?;
        process.back_end = back_end;
        process.order_target = order_target;
        let incarnation = process.information.incarnation;
        self.processes[id] = process;
        self.observer.record_start(self.now, id);
        self.provide_machine_list(id);
        self.schedule(
            Duration::ZERO,
            Event::Tick {
                process: id,
                incarnation,
            },
        );
        Ok(())
    }

    fn thaw(&mut self, id: ProcessId) {
        self.processes[id].frozen = false;
        for event in std::mem::take(&mut self.processes[id].inbox) {
            self.schedule(Duration::ZERO, event);
        }
    }

    fn release_stalled(&mut self) {
        let delay = CONNECT_TIMEOUT.mul_f64(self.random.random_range(RETRANSMISSION_DELAY_FACTOR));
        let at = self.now + delay;
        for event in self.network.take_released() {
            self.network.record_release(&event, at);
            self.schedule_at(at, event);
        }
    }

    fn kill_back_end(&mut self, id: ProcessId) {
        let Some(back_end) = &mut self.processes[id].back_end else {
            return;
        };
        for attempt in back_end.kill() {
            let event = Event::Backend {
                process: id,
                attempt,
                event: BackendEvent::ConnectionBroken,
            };
            self.schedule(Duration::from_millis(1), event);
        }
        debug_assert!(matches!(self.processes[id].traffic, Traffic::Agent { .. }));
    }
}

//! Membership and configuration of emulated processes: gossip datagrams, reads
//! of the platform and snapshots from peers.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::control::{ControlInput, ControlOutput};
use stacktack_core::gate::GateInput;
use stacktack_wire::gossip::{Datagram, MemberRole};
use stacktack_wire::identity::Incarnation;

use super::event::Event;
use super::network::{Network, PLATFORM_DELAY};
use super::platform::{Read, ReadRequest};
use super::process::ProcessId;
use super::Emulator;

/// Control traffic that one read of the platform costs, in bytes, HTTP and TCP
/// headers included.
const READ_BYTES: usize = 600;

impl Emulator {
    pub(super) fn delay(&self, left: ProcessId, right: ProcessId) -> Duration {
        let zone = |id: ProcessId| &self.processes[id].information.zone;
        Network::delay(zone(left), zone(right))
    }

    pub(super) fn handle_control(&mut self, id: ProcessId, input: ControlInput) {
        let now = self.now;
        let mut outputs = Vec::new();
        self.processes[id].control.handle(now, input, &mut outputs);
        for output in outputs {
            self.execute_control_output(id, output);
        }
    }

    fn execute_control_output(&mut self, id: ProcessId, output: ControlOutput) {
        match output {
            ControlOutput::Send { target, datagram } => self.send_datagram(id, target, datagram),
            ControlOutput::ReadHead => self.read(id, ReadRequest::Head),
            ControlOutput::ReadSnapshot(snapshot) => self.read(id, ReadRequest::Snapshot(snapshot)),
            ControlOutput::ReadChanges { held, change_id } => {
                self.read(id, ReadRequest::Changes { held, change_id });
            }
            ControlOutput::FetchSnapshot(peer) => self.fetch_snapshot(id, peer),
            ControlOutput::ReadLeavingMachines => self.read(id, ReadRequest::Leaving),
            ControlOutput::Configuration {
                configuration,
                changes,
            } => {
                let version = configuration.version;
                self.observer.record_version(self.now, id, version);
                let process = &mut self.processes[id];
                if version < process.highest_version {
                    self.observer
                        .record_version_decrease(id, process.highest_version, version);
                }
                process.highest_version = process.highest_version.max(version);
                process.configuration = configuration.clone();
                match process.role {
                    MemberRole::Router => self.refresh_view(id),
                    MemberRole::Agent => self.configure_agent(id, configuration, changes),
                }
            }
            ControlOutput::OwnMachineLeaving => {
                self.processes[id].stopping = true;
                self.handle_gate(id, GateInput::Drain(true));
            }
        }
    }

    fn fetch_snapshot(&mut self, id: ProcessId, peer: SocketAddr) {
        let is_peer = |process: &super::process::Process| process.information.operator == peer;
        let Some(other) = self.processes.iter().position(is_peer) else {
            return;
        };
        let process = &self.processes[other];
        if !process.alive || process.frozen || self.network.is_cut(id, other) {
            return;
        }
        let configuration = (**process.control.configuration()).clone();
        let event = Event::ReadDone {
            process: id,
            incarnation: self.processes[id].information.incarnation,
            read: Read::Snapshot(Box::new(configuration)),
        };
        self.schedule(self.delay(id, other) * 2, event);
    }

    fn send_datagram(&mut self, id: ProcessId, target: SocketAddr, datagram: Datagram) {
        let Some(process) = self.by_gossip.get(&target).copied() else {
            return;
        };
        let gossip_cut =
            self.network.is_cut_from_gossip(id) || self.network.is_cut_from_gossip(process);
        if gossip_cut || self.network.is_cut(id, process) {
            return;
        }
        let bytes = stacktack_wire::codec::encode(&datagram).map_or(0, |bytes| bytes.len());
        let event = Event::Datagram {
            process,
            source: self.processes[id].information.gossip,
            bytes,
            datagram,
        };
        self.schedule(self.delay(id, process), event);
    }

    pub(super) fn on_datagram(
        &mut self,
        id: ProcessId,
        source: SocketAddr,
        bytes: usize,
        datagram: Datagram,
    ) {
        let input = ControlInput::Datagram {
            source,
            bytes,
            datagram: Box::new(datagram),
        };
        self.handle_control(id, input);
    }

    fn read(&mut self, id: ProcessId, request: ReadRequest) {
        let now = self.now;
        self.processes[id].control.charge(now, READ_BYTES);
        if self.network.is_cut_from_platform(id) {
            return;
        }
        let incarnation = self.processes[id].information.incarnation;
        let (read, delay) = self.platform.read(&request);
        let event = Event::ReadDone {
            process: id,
            incarnation,
            read,
        };
        self.schedule(PLATFORM_DELAY * 2 + delay, event);
    }

    pub(super) fn on_read_done(&mut self, id: ProcessId, incarnation: Incarnation, read: Read) {
        if self.processes[id].information.incarnation != incarnation {
            return;
        }
        let input = match read {
            Read::Head(head) => ControlInput::Head(head),
            Read::Snapshot(configuration) => ControlInput::Snapshot(configuration),
            Read::Changes(changes) => ControlInput::Changes(changes),
            Read::Leaving(leaving) => ControlInput::LeavingMachines(leaving),
            Read::Failed => ControlInput::ReadFailed,
        };
        self.handle_control(id, input);
    }

    pub(super) fn tick_control(&mut self, id: ProcessId) {
        let process = &self.processes[id];
        let input = ControlInput::OwnState {
            load: process.load(),
            draining: process.is_draining(),
        };
        self.handle_control(id, input);
        self.handle_control(id, ControlInput::Tick);
    }
}

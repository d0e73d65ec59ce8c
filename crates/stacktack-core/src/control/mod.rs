//! Control state of one process: membership, gossip and configuration updates. It runs on the
//! control thread.
//!
//! All datagrams share one byte budget; a datagram over the budget is not sent, and later rounds
//! make up for it. Failures are detected by pinging one member per second and asking two others to
//! ping it before it is suspected, so the cost does not grow with the fleet. Loads are gossiped as a
//! sample of the freshest heartbeats, because agents need the mean load and not each value. Each
//! process that receives configuration changes passes them on to a few peers; a few random processes
//! poll the table.

pub mod budget;
pub mod detector;
mod io;
pub mod members;
mod rounds;
pub mod sync;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_wire::gossip::{
    Body, Datagram, Heartbeat, MemberInformation, DATAGRAM_HEADER_BYTES, MAX_DATAGRAM_BYTES,
};
use stacktack_wire::identity::{ConfigurationVersion, Incarnation, NodeId};
use stacktack_wire::message::EncodedChanges;

use crate::configuration::Configuration;
use crate::protection::Protections;
use crate::time::Time;
pub use io::{ControlInput, ControlOutput};

use budget::ByteBudget;
use detector::FailureDetector;
use members::Members;
use sync::ConfigurationSync;

/// Time between gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum size of an encoded heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 26;

/// Bytes of an encoded datagram besides its heartbeats or changes.
const ENVELOPE_BYTES: usize = 24;

/// Fraction of the available byte budget that heartbeats may use in one round. The rest is left for
/// updates and replies.
const HEARTBEAT_BUDGET_SHARE: f64 = 0.2;

/// Number of random peers that an update is passed on to.
const GOSSIP_FANOUT: usize = 3;

/// Number of rounds after its start in which a process introduces itself.
const INTRODUCTION_ROUNDS: u32 = 4;

/// Reads of each polled row per second by the whole fleet; a few random processes make them.
const FLEET_READS_PER_SECOND: f64 = 10.0;

/// Minimum time between two requests for information about the same member.
const MIN_MEMBER_ASK_INTERVAL: Duration = Duration::from_secs(2);

/// Control state of one process.
pub struct Control {
    own: MemberInformation,
    node: NodeId,
    sequence: u32,
    load: f64,
    draining: bool,
    leaving: bool,
    members: Members,
    detector: FailureDetector,
    sync: ConfigurationSync,
    budget: ByteBudget,
    random: ChaCha8Rng,
    next_round: Time,
    rounds: u32,
    member_asked_at: HashMap<NodeId, Time>,
}

impl Control {
    /// Creates control state without members and without a configuration.
    pub fn new(
        own: MemberInformation,
        bytes_per_second: f64,
        protections: Protections,
        seed: u64,
        now: Time,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let phase = ROUND_INTERVAL.mul_f64(random.random_range(0.0..1.0));
        Control {
            node: NodeId::of(&own.name),
            own,
            sequence: 0,
            load: 0.0,
            draining: false,
            leaving: false,
            members: Members::default(),
            detector: FailureDetector::default(),
            sync: ConfigurationSync::new(protections),
            budget: ByteBudget::new(bytes_per_second, now),
            random,
            next_round: now + phase,
            rounds: 0,
            member_asked_at: HashMap::new(),
        }
    }

    /// The known members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        self.sync.configuration()
    }

    /// Bytes sent and bytes received since the start, headers included.
    pub fn byte_totals(&self) -> (u64, u64) {
        self.budget.totals()
    }

    /// Charges control traffic outside of datagrams, such as reads of the platform's table, to the
    /// byte budget.
    pub fn charge(&mut self, now: Time, bytes: usize) {
        self.budget.charge_received(now, bytes);
    }

    /// Handles one input and appends the resulting outputs.
    pub fn handle(&mut self, now: Time, input: ControlInput, outputs: &mut Vec<ControlOutput>) {
        match input {
            ControlInput::Datagram {
                source,
                bytes,
                datagram,
            } => {
                self.budget
                    .charge_received(now, bytes + DATAGRAM_HEADER_BYTES);
                self.on_datagram(now, source, *datagram, outputs);
            }
            ControlInput::Machines(machines) => self.on_machines(now, machines),
            ControlInput::LeavingMachines(leaving) => self.on_leaving(now, leaving, outputs),
            ControlInput::Head(head) => self.sync.on_head(now, head, outputs),
            ControlInput::Snapshot(configuration) => {
                self.sync.on_snapshot(*configuration, outputs);
            }
            ControlInput::Changes(changes) => self.on_changes(now, &changes, outputs),
            ControlInput::ReadFailed => self.sync.on_read_failed(),
            ControlInput::ConfigurationStale => self.refresh_configuration(now, outputs),
            ControlInput::OwnState { load, draining } => {
                self.load = load;
                self.draining = draining;
            }
            ControlInput::Tick => self.on_tick(now, outputs),
        }
    }

    fn on_machines(&mut self, now: Time, machines: Vec<MemberInformation>) {
        for machine in machines {
            if machine.name != self.own.name {
                self.members.upsert(now, machine);
            }
        }
    }

    fn on_leaving(
        &mut self,
        now: Time,
        leaving: Vec<(NodeId, Incarnation)>,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let mut newly_leaving = Vec::new();
        for (node, incarnation) in leaving {
            let own = node == self.node && incarnation == self.own.incarnation;
            if own && !self.leaving {
                self.leaving = true;
                outputs.push(ControlOutput::OwnMachineLeaving);
                newly_leaving.push((node, incarnation));
            }
            if self.members.mark_leaving(node, incarnation) {
                newly_leaving.push((node, incarnation));
            }
        }
        if !newly_leaving.is_empty() {
            self.gossip_to_random_peers(now, Body::Leaving(newly_leaving), outputs);
        }
    }

    fn on_datagram(
        &mut self,
        now: Time,
        source: SocketAddr,
        datagram: Datagram,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let sender = datagram.sender;
        self.members.mark_alive(sender);
        if self.members.get(sender).is_none() {
            self.ask_member(now, sender, source, outputs);
        }
        if datagram.version > self.sync.configuration().version {
            self.catch_up(now, sender, source, outputs);
        }
        match datagram.body {
            Body::Heartbeats(heartbeats) => self.on_heartbeats(now, source, heartbeats, outputs),
            Body::Ping { number } => {
                let target = self.node;
                self.send(now, source, Body::Acknowledge { target, number }, outputs);
            }
            Body::PingFor { target, number } => {
                if let Some(ping) = self.detector.relay(now, source, target, number) {
                    self.send_to_member(now, target, ping, outputs);
                }
            }
            Body::Acknowledge { target, number } => {
                self.members.mark_alive(target);
                if let Some((requester, acknowledgement)) =
                    self.detector.on_acknowledge(target, number)
                {
                    self.send(now, requester, acknowledgement, outputs);
                }
            }
            Body::Suspect {
                node,
                incarnation,
                sequence,
            } => self.on_suspect(now, node, incarnation, sequence, outputs),
            Body::Leaving(leaving) => self.on_leaving(now, leaving, outputs),
            Body::AskMember(node) => self.on_ask_member(now, source, node, outputs),
            Body::Introduce(information) => {
                if information.name != self.own.name {
                    self.members.upsert(now, information);
                }
            }
            Body::AskChanges { base } => self.on_ask_changes(now, source, base, outputs),
            Body::Changes(changes) => self.on_changes(now, &changes, outputs),
        }
    }

    fn on_heartbeats(
        &mut self,
        now: Time,
        source: SocketAddr,
        heartbeats: Vec<Heartbeat>,
        outputs: &mut Vec<ControlOutput>,
    ) {
        for heartbeat in heartbeats {
            if heartbeat.node != self.node && !self.members.on_heartbeat(now, heartbeat) {
                self.ask_member(now, heartbeat.node, source, outputs);
            }
        }
    }

    fn on_suspect(
        &mut self,
        now: Time,
        node: NodeId,
        incarnation: Incarnation,
        sequence: u32,
        outputs: &mut Vec<ControlOutput>,
    ) {
        if node == self.node {
            if incarnation == self.own.incarnation {
                self.sequence = self.sequence.max(sequence) + 1;
                let refutation = Body::Heartbeats(vec![self.own_heartbeat()]);
                self.gossip_to_random_peers(now, refutation, outputs);
            }
            return;
        }
        if self.members.suspect(now, node, incarnation, sequence) {
            let body = Body::Suspect {
                node,
                incarnation,
                sequence,
            };
            self.gossip_to_random_peers(now, body, outputs);
        }
    }

    fn on_ask_member(
        &mut self,
        now: Time,
        source: SocketAddr,
        node: NodeId,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let information = if node == self.node {
            Some(self.own.clone())
        } else {
            let member = self.members.get(node);
            member.map(|member| member.information.clone())
        };
        if let Some(information) = information {
            self.send(now, source, Body::Introduce(information), outputs);
        }
    }

    fn on_ask_changes(
        &mut self,
        now: Time,
        source: SocketAddr,
        base: ConfigurationVersion,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let Some(changes) = self.sync.changes_since(base) else {
            return;
        };
        if changes.bytes.len() + ENVELOPE_BYTES <= MAX_DATAGRAM_BYTES {
            self.send(now, source, Body::Changes(changes), outputs);
        }
    }

    fn on_changes(
        &mut self,
        now: Time,
        changes: &EncodedChanges,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let before = self.sync.configuration().version;
        self.sync.on_changes(changes, outputs);
        if self.sync.configuration().version == before {
            return;
        }
        if let Some(update) = self.sync.changes_since(before) {
            if update.bytes.len() + ENVELOPE_BYTES <= MAX_DATAGRAM_BYTES {
                self.gossip_to_random_peers(now, Body::Changes(update), outputs);
            }
        }
    }

    fn ask_member(
        &mut self,
        now: Time,
        node: NodeId,
        source: SocketAddr,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let recently_asked = self
            .member_asked_at
            .get(&node)
            .is_some_and(|at| now.since(*at) < MIN_MEMBER_ASK_INTERVAL);
        if !recently_asked && self.send(now, source, Body::AskMember(node), outputs) {
            self.member_asked_at.insert(node, now);
        }
    }

    /// Asks a peer with a newer configuration for the changes. Fetches the whole configuration from
    /// it instead if there is none yet or requests for changes remain unanswered.
    fn catch_up(
        &mut self,
        now: Time,
        sender: NodeId,
        source: SocketAddr,
        outputs: &mut Vec<ControlOutput>,
    ) {
        match self.members.get(sender) {
            Some(member) if self.sync.needs_snapshot() => {
                if self.sync.may_fetch_snapshot(now) {
                    outputs.push(ControlOutput::FetchSnapshot(member.information.operator));
                }
            }
            _ => self.ask_changes(now, source, outputs),
        }
    }

    fn ask_changes(&mut self, now: Time, source: SocketAddr, outputs: &mut Vec<ControlOutput>) {
        if self.sync.may_ask_changes(now) {
            let base = self.sync.configuration().version;
            self.send(now, source, Body::AskChanges { base }, outputs);
        }
    }

    fn refresh_configuration(&mut self, now: Time, outputs: &mut Vec<ControlOutput>) {
        outputs.push(ControlOutput::ReadHead);
        let partner = self
            .members
            .random_gossip_partner(&self.own.zone, &mut self.random);
        if let Some(member) = partner.and_then(|node| self.members.get(node)) {
            let target = member.information.gossip;
            self.ask_changes(now, target, outputs);
        }
    }

    /// Sends an update to a few random peers.
    fn gossip_to_random_peers(&mut self, now: Time, body: Body, outputs: &mut Vec<ControlOutput>) {
        for _ in 0..GOSSIP_FANOUT {
            if let Some(target) = self.members.random_member(&mut self.random) {
                self.send_to_member(now, target, body.clone(), outputs);
            }
        }
    }

    fn send_to_member(
        &mut self,
        now: Time,
        node: NodeId,
        body: Body,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let target = self
            .members
            .get(node)
            .map(|member| member.information.gossip);
        if let Some(target) = target {
            self.send(now, target, body, outputs);
        }
    }

    /// Sends a datagram if the budget allows it.
    fn send(
        &mut self,
        now: Time,
        target: SocketAddr,
        body: Body,
        outputs: &mut Vec<ControlOutput>,
    ) -> bool {
        let datagram = Datagram {
            sender: self.node,
            version: self.sync.configuration().version,
            body,
        };
        let Ok(encoded) = stacktack_wire::codec::encode(&datagram) else {
            return false;
        };
        if !self
            .budget
            .try_send(now, encoded.len() + DATAGRAM_HEADER_BYTES)
        {
            return false;
        }
        outputs.push(ControlOutput::Send { target, datagram });
        true
    }
}

//! Control state of one process: membership, gossip, configuration.
//!
//! Runs on the control thread. All datagrams pass one byte budget; what does
//! not fit waits for a later round. Failures are found by pinging one member a
//! second and asking two others before suspecting it, so the cost does not
//! grow with the fleet. Loads travel as a sample of the freshest heartbeats:
//! agents need the mean, not each value. News of configuration is pushed to a
//! few peers by each process that learns it; a random few poll the table.

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
use detector::Detector;
use members::Members;
use sync::ConfigurationSync;

/// Time between gossip rounds.
const ROUND: Duration = Duration::from_millis(500);

/// Largest encoding of one heartbeat, in bytes.
const HEARTBEAT_BYTES: usize = 26;

/// Bytes of a datagram around its heartbeats.
const ENVELOPE_BYTES: usize = 24;

/// Share of the budget's rate that heartbeats may use in one round; the rest
/// is kept for news and answers.
const HEARTBEAT_SHARE: f64 = 0.2;

/// Peers to which a process that learns news passes it on.
const NEWS_FANOUT: usize = 3;

/// Rounds in which a new process introduces itself.
const INTRODUCTION_ROUNDS: u32 = 4;

/// Reads of a row that the whole fleet makes a second, by random few.
const FLEET_READS_PER_SECOND: f64 = 10.0;

/// Pause before an unknown member is asked for again.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// Control state of one process.
pub struct Control {
    own: MemberInformation,
    node: NodeId,
    sequence: u32,
    load: f64,
    draining: bool,
    leaving: bool,
    members: Members,
    detector: Detector,
    sync: ConfigurationSync,
    budget: ByteBudget,
    random: ChaCha8Rng,
    next_round: Time,
    rounds: u32,
    asked: HashMap<NodeId, Time>,
}

impl Control {
    /// Control state that knows nobody yet.
    pub fn new(
        own: MemberInformation,
        bytes_per_second: f64,
        protections: Protections,
        seed: u64,
        now: Time,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let phase = ROUND.mul_f64(random.random_range(0.0..1.0));
        Control {
            node: NodeId::of(&own.name),
            own,
            sequence: 0,
            load: 0.0,
            draining: false,
            leaving: false,
            members: Members::default(),
            detector: Detector::default(),
            sync: ConfigurationSync::new(protections),
            budget: ByteBudget::new(bytes_per_second, now),
            random,
            next_round: now + phase,
            rounds: 0,
            asked: HashMap::new(),
        }
    }

    /// The members known.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        self.sync.configuration()
    }

    /// Bytes sent and received, headers counted.
    pub fn byte_totals(&self) -> (u64, u64) {
        self.budget.totals()
    }

    /// Charges control bytes that pass outside of datagrams, such as reads of
    /// the platform's table.
    pub fn charge(&mut self, now: Time, bytes: usize) {
        self.budget.receive(now, bytes);
    }

    /// Takes one input and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: ControlInput, outputs: &mut Vec<ControlOutput>) {
        match input {
            ControlInput::Datagram {
                source,
                bytes,
                datagram,
            } => {
                self.budget.receive(now, bytes + DATAGRAM_HEADER_BYTES);
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
            ControlInput::ConfigurationStale => self.ask_anyone(now, outputs),
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
                self.members.introduce(now, machine);
            }
        }
    }

    fn on_leaving(
        &mut self,
        now: Time,
        leaving: Vec<(NodeId, Incarnation)>,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let mut news = Vec::new();
        for (node, incarnation) in leaving {
            let own = node == self.node && incarnation == self.own.incarnation;
            if own && !self.leaving {
                self.leaving = true;
                outputs.push(ControlOutput::OwnMachineLeaving);
                news.push((node, incarnation));
            }
            if self.members.mark_leaving(node, incarnation) {
                news.push((node, incarnation));
            }
        }
        if !news.is_empty() {
            self.spread(now, Body::Leaving(news), outputs);
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
        self.members.confirm(sender);
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
                self.members.confirm(target);
                if let Some((asker, answer)) = self.detector.acknowledge(target, number) {
                    self.send(now, asker, answer, outputs);
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
                    self.members.introduce(now, information);
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
            if heartbeat.node != self.node && !self.members.hear(now, heartbeat) {
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
                self.spread(now, refutation, outputs);
            }
            return;
        }
        if self.members.suspect(now, node, incarnation, sequence) {
            let body = Body::Suspect {
                node,
                incarnation,
                sequence,
            };
            self.spread(now, body, outputs);
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
        if let Some(news) = self.sync.changes_since(before) {
            if news.bytes.len() + ENVELOPE_BYTES <= MAX_DATAGRAM_BYTES {
                self.spread(now, Body::Changes(news), outputs);
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
        let asked_lately = self
            .asked
            .get(&node)
            .is_some_and(|at| now.since(*at) < ASK_AGAIN);
        if !asked_lately && self.send(now, source, Body::AskMember(node), outputs) {
            self.asked.insert(node, now);
        }
    }

    /// Asks a peer that is ahead for the changes; for the whole configuration
    /// where there is none yet or the changes do not come.
    fn catch_up(
        &mut self,
        now: Time,
        sender: NodeId,
        source: SocketAddr,
        outputs: &mut Vec<ControlOutput>,
    ) {
        match self.members.get(sender) {
            Some(member) if self.sync.needs_snapshot() => {
                if self.sync.may_fetch(now) {
                    outputs.push(ControlOutput::FetchSnapshot(member.information.operator));
                }
            }
            _ => self.ask_changes(now, source, outputs),
        }
    }

    fn ask_changes(&mut self, now: Time, source: SocketAddr, outputs: &mut Vec<ControlOutput>) {
        if self.sync.may_ask(now) {
            let base = self.sync.configuration().version;
            self.send(now, source, Body::AskChanges { base }, outputs);
        }
    }

    fn ask_anyone(&mut self, now: Time, outputs: &mut Vec<ControlOutput>) {
        outputs.push(ControlOutput::ReadHead);
        let partner = self.members.draw_partner(&self.own.zone, &mut self.random);
        if let Some(member) = partner.and_then(|node| self.members.get(node)) {
            let target = member.information.gossip;
            self.ask_changes(now, target, outputs);
        }
    }

    /// Passes news on to a few random peers.
    fn spread(&mut self, now: Time, body: Body, outputs: &mut Vec<ControlOutput>) {
        for _ in 0..NEWS_FANOUT {
            if let Some(target) = self.members.draw(&mut self.random) {
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
        if !self.budget.send(now, encoded.len() + DATAGRAM_HEADER_BYTES) {
            return false;
        }
        outputs.push(ControlOutput::Send { target, datagram });
        true
    }
}

//! Admission control, queue and attempt state of one back end.
//!
//! All requests reach the back end through the [`Gate`] of its agent. The gate
//! therefore enforces the load bound, the queue, draining, the certainty that
//! an attempt did not run, and resumption, and these stay correct when routers
//! disagree, restart or hold stale views. [`Gate::handle`] drives the gate; its
//! outputs say what to send.

pub mod admission;
pub mod attempt;
mod back_end;
mod io;
pub mod load;
mod messages;
pub mod prefix;
pub mod queue;
mod report;
pub mod response;
mod transition;
mod upkeep;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use stacktack_wire::identity::{AttemptId, Incarnation, NodeId, TenantId};
use stacktack_wire::message::{LoadReport, ToRouter};

use crate::chart::ChartError;
use crate::configuration::change::Change;
use crate::configuration::Configuration;
use crate::loads::PeerLoads;
use crate::protection::{Protection, Protections};
use crate::time::Time;
pub use io::{BackendEvent, ConnectionId, GateCounters, GateInput, GateOutput};

use attempt::{AttemptChart, AttemptEntry, CHART};
use load::LoadMeter;
use prefix::PrefixIndex;
use queue::FairQueue;

/// Time for which an attempt continues after the connection to its router was
/// lost, so that the router can reconnect and resume it.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(5);

/// Time for which the pieces of a response stay available for resumption after
/// the attempt ended.
pub const RESPONSE_RETENTION: Duration = Duration::from_secs(15);

/// Number of times that a back end's stream is resumed before the attempt fails.
const MAX_RESUMES: u32 = 3;

/// Number of configuration changes retained to bring stale routers up to date.
const MAX_RETAINED_CHANGES: usize = 64;

/// Retry-after time, in milliseconds, of refusals that do not depend on load,
/// such as while draining: a retry elsewhere may succeed at once.
const IMMEDIATE_RETRY_MS: u32 = 1;

/// Decides which attempts reach one back end, and tracks them until their fate
/// may be forgotten.
pub struct Gate {
    node: NodeId,
    incarnation: Incarnation,
    protections: Protections,
    chart: AttemptChart,
    configuration: Arc<Configuration>,
    changes: VecDeque<Change>,
    peers: Vec<NodeId>,
    peer_loads: PeerLoads,
    attempts: HashMap<AttemptId, AttemptEntry>,
    /// Ended attempts whose fate is kept, oldest first.
    ended: VecDeque<(Time, AttemptId)>,
    /// Ended attempts whose response pieces are kept, oldest first.
    retained: VecDeque<(Time, AttemptId)>,
    queue: FairQueue,
    tenant_counts: HashMap<TenantId, u32>,
    running: u32,
    load: LoadMeter,
    prefixes: PrefixIndex,
    draining: bool,
    counters: GateCounters,
}

impl Gate {
    /// Creates a gate without configuration; it refuses all offers until it has
    /// one.
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        protections: Protections,
        now: Time,
    ) -> Result<Self, ChartError> {
        Ok(Gate {
            node,
            incarnation,
            protections,
            chart: AttemptChart::parse(CHART)?,
            configuration: Configuration::empty(),
            changes: VecDeque::new(),
            peers: Vec::new(),
            peer_loads: PeerLoads::default(),
            attempts: HashMap::new(),
            ended: VecDeque::new(),
            retained: VecDeque::new(),
            queue: FairQueue::default(),
            tenant_counts: HashMap::new(),
            running: 0,
            load: LoadMeter::new(now),
            prefixes: PrefixIndex::default(),
            draining: false,
            counters: GateCounters::default(),
        })
    }

    /// Handles one input and appends the resulting outputs.
    pub fn handle(&mut self, now: Time, input: GateInput, outputs: &mut Vec<GateOutput>) {
        match input {
            GateInput::FromRouter {
                connection,
                message,
            } => self.on_message(now, connection, message, outputs),
            GateInput::ConnectionLost(connection) => self.on_connection_lost(now, connection),
            GateInput::FromBackend { attempt, event } => {
                self.on_backend(now, attempt, event, outputs);
            }
            GateInput::PeerLoads(loads) => self.peer_loads.replace(&loads),
            GateInput::Configuration {
                configuration,
                changes,
            } => self.on_configuration(configuration, changes),
            GateInput::Drain(draining) => self.draining = draining,
            GateInput::Tick => self.on_tick(now, outputs),
        }
        self.start_queued(now, outputs);
    }

    /// Number of attempts that wait or run.
    pub fn in_flight(&self) -> usize {
        self.queue.len() + self.running as usize
    }

    /// Whether the agent is stopping or operators drained the back end.
    pub fn is_draining(&self) -> bool {
        self.draining || self.own_back_end_drained()
    }

    /// Work units in flight divided by the back end's capacity.
    pub fn normalised_load(&self) -> f64 {
        self.load.work() / self.capacity()
    }

    /// Configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Counts since the gate was created.
    pub fn counters(&self) -> GateCounters {
        self.counters
    }

    /// Message that opens each connection to a router.
    pub fn hello(&self) -> ToRouter {
        ToRouter::Hello {
            agent: self.node,
            incarnation: self.incarnation,
        }
    }

    fn capacity(&self) -> f64 {
        self.configuration
            .back_end(self.node)
            .map_or(1.0, |back_end| back_end.capacity)
    }

    fn own_back_end_drained(&self) -> bool {
        self.configuration
            .back_end(self.node)
            .is_some_and(|back_end| back_end.drained)
    }

    fn load_report(&self, now: Time) -> LoadReport {
        LoadReport {
            node: self.node,
            load: self.normalised_load() as f32,
            mean: self.mean_load(now) as f32,
        }
    }

    fn mean_load(&self, now: Time) -> f64 {
        let (sum, count) = self.peer_loads.sum(&self.peers, now);
        (sum + self.normalised_load()) / (count + 1) as f64
    }

    fn has_free_slot(&self) -> bool {
        self.queue.is_empty() && self.running < self.concurrency()
    }

    fn concurrency(&self) -> u32 {
        self.configuration
            .back_end(self.node)
            .map_or(0, |back_end| back_end.concurrency)
    }

    fn on_configuration(&mut self, configuration: Arc<Configuration>, changes: Vec<Change>) {
        if self.protections.is_enabled(Protection::VersionRise)
            && configuration.version <= self.configuration.version
        {
            return;
        }
        self.configuration = configuration;
        self.changes.extend(changes);
        while self.changes.len() > MAX_RETAINED_CHANGES {
            self.changes.pop_front();
        }
        self.peers = admission::peers_of(&self.configuration, self.node);
    }
}

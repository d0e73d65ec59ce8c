//! Commands and state exchanged by the two threads of an agent.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use arc_swap::ArcSwap;

use stacktack_core::configuration::change::Change;
use stacktack_core::configuration::Configuration;
use stacktack_core::gate::GateCounters;
use stacktack_core::time::Time;
use stacktack_wire::identity::NodeId;
use tokio::sync::oneshot;

/// Commands from the control thread to the traffic thread.
pub enum TrafficCommand {
    /// A newer configuration and the changes that led to it.
    Configuration(Arc<Configuration>, Vec<Change>),
    /// Loads of the other active back ends, each with the time at which it was true.
    PeerLoads(Vec<(NodeId, f64, Time)>),
    /// Start draining (true) or stop draining (false).
    Drain(bool),
    /// Send all queued messages, close the routers' connections, then confirm.
    Close(oneshot::Sender<()>),
}

/// State published by the traffic thread: the counters as of its last tick, the
/// other fields as of the last input of the gate. The fields are independent; a
/// reader may see some of them newer than others.
#[derive(Default)]
pub struct TrafficState {
    load_bits: AtomicU64,
    in_flight: AtomicUsize,
    draining: AtomicBool,
    version: AtomicU64,
    counters: ArcSwap<GateCounters>,
}

impl TrafficState {
    /// Publishes load, attempts in flight, draining state and configuration version.
    pub fn publish(&self, load: f64, in_flight: usize, draining: bool, version: u64) {
        self.load_bits.store(load.to_bits(), Ordering::Relaxed);
        self.draining.store(draining, Ordering::Relaxed);
        self.version.store(version, Ordering::Relaxed);
        self.in_flight.store(in_flight, Ordering::Release);
    }

    /// Publishes the counters.
    pub fn publish_counters(&self, counters: GateCounters) {
        self.counters.store(Arc::new(counters));
    }

    /// Work units in flight divided by capacity.
    pub fn load(&self) -> f64 {
        f64::from_bits(self.load_bits.load(Ordering::Relaxed))
    }

    /// Number of attempts that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Whether new attempts are refused.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Version of the configuration that the gate uses; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> GateCounters {
        **self.counters.load()
    }
}

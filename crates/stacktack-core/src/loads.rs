//! Loads of back ends as one process knows them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use stacktack_wire::identity::NodeId;

use crate::time::Time;

/// Age after which a load no longer counts in a sum.
const MAX_LOAD_AGE: Duration = Duration::from_secs(30);

/// Loads of other back ends, learnt from gossip and from messages about
/// requests.
#[derive(Debug, Default)]
pub struct PeerLoads {
    loads: HashMap<NodeId, (f64, Time)>,
}

impl PeerLoads {
    /// Records a load measured at `at`, unless a newer one is known.
    pub fn observe(&mut self, node: NodeId, load: f64, at: Time) {
        let entry = self.loads.entry(node).or_insert((load, at));
        if at >= entry.1 {
            *entry = (load, at);
        }
    }

    /// Records the loads of all back ends that count, each with its time of
    /// measurement, and forgets the loads of all others.
    pub fn replace(&mut self, loads: &[(NodeId, f64, Time)]) {
        let named: HashSet<NodeId> = loads.iter().map(|(node, _, _)| *node).collect();
        self.loads.retain(|node, _| named.contains(node));
        for (node, load, at) in loads {
            self.observe(*node, *load, *at);
        }
    }

    /// The last known load of a back end and its time of measurement.
    pub fn get(&self, node: NodeId) -> Option<(f64, Time)> {
        self.loads.get(&node).copied()
    }

    /// Sum and number of the known loads of `peers` that are not stale.
    pub fn sum(&self, peers: &[NodeId], now: Time) -> (f64, usize) {
        let fresh = peers
            .iter()
            .filter_map(|peer| self.loads.get(peer))
            .filter(|(_, at)| now.since(*at) <= MAX_LOAD_AGE);
        fresh.fold((0.0, 0), |(sum, count), (load, _)| (sum + load, count + 1))
    }
}

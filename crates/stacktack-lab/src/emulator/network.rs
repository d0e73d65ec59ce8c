//! The emulated network: delays, partitions (cuts) and ordered connections.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use stacktack_core::time::Time;

use super::event::Event;
use super::process::ProcessId;

/// One-way delay between two processes of the same zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(150);

/// One-way delay between processes of different zones.
const CROSS_ZONE_DELAY: Duration = Duration::from_micros(700);

/// One-way delay between any process and the platform.
pub const PLATFORM_DELAY: Duration = Duration::from_millis(2);

/// Time after which a connection attempt through a cut fails.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Identifier of a connection between a router and an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// State of a connection.
#[derive(Debug)]
pub struct Link {
    /// The router.
    pub router: ProcessId,
    /// The agent.
    pub agent: ProcessId,
    /// Whether the connection is open at the router.
    pub open_at_router: bool,
    /// Whether the connection is open at the agent.
    pub open_at_agent: bool,
    /// Arrival time of the last message sent to the agent; later messages
    /// arrive no earlier.
    pub last_to_agent: Time,
    /// Arrival time of the last message sent to the router; later messages
    /// arrive no earlier.
    pub last_to_router: Time,
}

/// Cuts, connections, and messages that wait until a cut heals.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(ProcessId, ProcessId)>,
    platform_cuts: BTreeSet<ProcessId>,
    gossip_cuts: BTreeSet<ProcessId>,
    /// All connections that were ever opened.
    pub links: HashMap<LinkId, Link>,
    /// Messages between two processes that wait until the cut between them heals.
    pub stalled: Vec<(ProcessId, ProcessId, Event)>,
    next_link: u64,
}

fn pair(left: ProcessId, right: ProcessId) -> (ProcessId, ProcessId) {
    (left.min(right), left.max(right))
}

impl Network {
    /// One-way delay between processes of the two zones.
    pub fn delay(left: &str, right: &str) -> Duration {
        if left == right {
            SAME_ZONE_DELAY
        } else {
            CROSS_ZONE_DELAY
        }
    }

    /// Whether two processes cannot reach each other.
    pub fn is_cut(&self, left: ProcessId, right: ProcessId) -> bool {
        self.cuts.contains(&pair(left, right))
    }

    /// Cuts or heals the network between two processes.
    pub fn set_cut(&mut self, left: ProcessId, right: ProcessId, cut: bool) {
        if cut {
            self.cuts.insert(pair(left, right));
        } else {
            self.cuts.remove(&pair(left, right));
        }
    }

    /// Whether a process cannot reach the platform.
    pub fn is_cut_from_platform(&self, process: ProcessId) -> bool {
        self.platform_cuts.contains(&process)
    }

    /// Cuts or heals the network between a process and the platform.
    pub fn set_platform_cut(&mut self, process: ProcessId, cut: bool) {
        if cut {
            self.platform_cuts.insert(process);
        } else {
            self.platform_cuts.remove(&process);
        }
    }

    /// Removes and returns the stalled messages between processes that can
    /// reach each other again.
    pub fn take_released(&mut self) -> Vec<Event> {
        let stalled = std::mem::take(&mut self.stalled);
        let (released, kept): (Vec<_>, Vec<_>) = stalled
            .into_iter()
            .partition(|(left, right, _)| !self.is_cut(*left, *right));
        self.stalled = kept;
        released.into_iter().map(|(_, _, event)| event).collect()
    }

    /// Whether a process can neither send nor receive datagrams.
    pub fn is_cut_from_gossip(&self, process: ProcessId) -> bool {
        self.gossip_cuts.contains(&process)
    }

    /// Cuts or heals all datagrams from and to a process.
    pub fn set_gossip_cut(&mut self, process: ProcessId, cut: bool) {
        if cut {
            self.gossip_cuts.insert(process);
        } else {
            self.gossip_cuts.remove(&process);
        }
    }

    /// Records that a stalled message arrives at `at`, so that messages sent on
    /// its connection from now on don't overtake it.
    pub fn record_release(&mut self, event: &Event, at: Time) {
        match event {
            Event::ToAgent { connection, .. } | Event::ConnectionLostAtAgent { connection, .. } => {
                if let Some(link) = self.links.get_mut(connection) {
                    link.last_to_agent = link.last_to_agent.max(at);
                }
            }
            Event::ToRouter { connection, .. }
            | Event::ConnectionLostAtRouter { connection, .. } => {
                if let Some(link) = self.links.get_mut(connection) {
                    link.last_to_router = link.last_to_router.max(at);
                }
            }
            _ => {}
        }
    }

    /// Adds a connection that is open at the router and not yet at the agent.
    pub fn open(&mut self, router: ProcessId, agent: ProcessId) -> LinkId {
        self.next_link += 1;
        let id = LinkId(self.next_link);
        let link = Link {
            router,
            agent,
            open_at_router: true,
            open_at_agent: false,
            last_to_agent: Time::default(),
            last_to_router: Time::default(),
        };
        self.links.insert(id, link);
        id
    }

    /// All connections of a process ever opened, in the order of their
    /// identifiers.
    pub fn links_of(&self, process: ProcessId) -> Vec<LinkId> {
        let mut links: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| link.router == process || link.agent == process)
            .map(|(id, _)| *id)
            .collect();
        links.sort_unstable();
        links
    }
}

//! What the control state is told and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use stacktack_wire::gossip::{Datagram, MemberInformation};
use stacktack_wire::identity::{ConfigurationVersion, Incarnation, NodeId};
use stacktack_wire::message::EncodedChanges;

use crate::configuration::change::Change;
use crate::configuration::store::{HeadRow, SnapshotReference};
use crate::configuration::Configuration;

/// What the control state is told.
#[derive(Debug)]
pub enum ControlInput {
    /// A datagram of `bytes` body bytes came.
    Datagram {
        /// Where it came from.
        source: SocketAddr,
        /// Size of the body.
        bytes: usize,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// The platform's machine list; it lags.
    Machines(Vec<MemberInformation>),
    /// Machines that the platform is about to take away.
    LeavingMachines(Vec<(NodeId, Incarnation)>),
    /// The head of the configuration, as read from the table.
    Head(HeadRow),
    /// A snapshot from the object store.
    Snapshot(Box<Configuration>),
    /// Changes from the table or from an agent.
    Changes(EncodedChanges),
    /// A read of configuration failed; it may be asked for again.
    ReadFailed,
    /// An agent said that this process's configuration is old.
    ConfigurationStale,
    /// State that the own heartbeats tell.
    OwnState {
        /// Load divided by capacity.
        load: f64,
        /// Whether no new work is taken.
        draining: bool,
    },
    /// Time passed.
    Tick,
}

/// What the control state wants done.
#[derive(Debug)]
pub enum ControlOutput {
    /// Send a datagram.
    Send {
        /// Where to.
        target: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Read the head row.
    ReadHead,
    /// Read a snapshot from the object store.
    ReadSnapshot(SnapshotReference),
    /// Read changes from the table, from the head back to a version.
    ReadChanges {
        /// Version held, which is not read.
        held: ConfigurationVersion,
        /// Change at the head.
        change_id: String,
    },
    /// Fetch the whole configuration from a peer's operator address.
    FetchSnapshot(SocketAddr),
    /// Read the list of machines about to be taken away.
    ReadLeavingMachines,
    /// A later configuration is in force.
    Configuration {
        /// The configuration.
        configuration: Arc<Configuration>,
        /// Changes that led to it from the one before, if known.
        changes: Vec<Change>,
    },
    /// The platform is about to take this process's machine away.
    OwnMachineLeaving,
}

//! Inputs and outputs of the control state.

use std::net::SocketAddr;
use std::sync::Arc;

use stacktack_wire::gossip::{Datagram, MemberInformation};
use stacktack_wire::identity::{ConfigurationVersion, Incarnation, NodeId};
use stacktack_wire::message::EncodedChanges;

use crate::configuration::change::Change;
use crate::configuration::store::{HeadRow, SnapshotReference};
use crate::configuration::Configuration;

/// Input of the control state.
#[derive(Debug)]
pub enum ControlInput {
    /// A datagram arrived.
    Datagram {
        /// Address of the sender.
        source: SocketAddr,
        /// Size of the encoded datagram in bytes, without headers.
        bytes: usize,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// The platform's list of machines, which may be out of date.
    Machines(Vec<MemberInformation>),
    /// Machines that the platform is about to take away, with the incarnations of their processes.
    LeavingMachines(Vec<(NodeId, Incarnation)>),
    /// Head row of the configuration, as read from the table.
    Head(HeadRow),
    /// A snapshot of the configuration, from the object store or a peer.
    Snapshot(Box<Configuration>),
    /// Configuration changes from the table or from an agent.
    Changes(EncodedChanges),
    /// Reading the configuration failed; it may be read again.
    ReadFailed,
    /// An agent reported that the configuration of this process is stale.
    ConfigurationStale,
    /// State of this process for its heartbeats.
    OwnState {
        /// Work units in flight divided by capacity.
        load: f64,
        /// Whether the process takes no new work.
        draining: bool,
    },
    /// Time passed: do the periodic work that is due.
    Tick,
}

/// Output of the control state, to be carried out by its owner.
#[derive(Debug)]
pub enum ControlOutput {
    /// Send a datagram.
    Send {
        /// Address to send it to.
        target: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Read the head row of the configuration from the table.
    ReadHead,
    /// Read a snapshot from the object store.
    ReadSnapshot(SnapshotReference),
    /// Read changes from the table, from the head back to the version that is held.
    ReadChanges {
        /// Version that is held; its change is not read.
        held: ConfigurationVersion,
        /// Id of the change at the head.
        change_id: String,
    },
    /// Fetch the whole configuration from the operator address of a peer.
    FetchSnapshot(SocketAddr),
    /// Read the list of machines that the platform is about to take away.
    ReadLeavingMachines,
    /// A newer configuration is in force.
    Configuration {
        /// The configuration.
        configuration: Arc<Configuration>,
        /// Changes from the previous configuration to this one; empty if unknown.
        changes: Vec<Change>,
    },
    /// The platform is about to take this process's machine away.
    OwnMachineLeaving,
}

//! Datagrams of the control path.
//!
//! A datagram is one [`Datagram`] encoded with `postcard`, at most
//! [`MAX_DATAGRAM_BYTES`] bytes, so that it fits into one packet.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{ConfigurationVersion, Incarnation, NodeId};
use crate::message::EncodedChanges;

/// Maximum size of an encoded [`Datagram`], without IP and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Bytes of IPv4 and UDP headers that each datagram adds on the link.
pub const DATAGRAM_HEADER_BYTES: usize = 28;

/// State of one member as gossip carries it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The member.
    pub node: NodeId,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Rises with each heartbeat of one incarnation.
    pub sequence: u32,
    /// Work units in flight divided by capacity; 0 for routers.
    pub load: u32,
    /// Age of the load in milliseconds when the datagram was sent.
    pub age_ms: u32,
    /// Whether the member accepts no new work.
    pub draining: bool,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Accepts requests of callers.
    Router,
    /// Runs beside a back end and admits its requests.
    Agent,
}

/// Name, role and addresses of a member; they don't change within one
/// incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInformation {
    /// Configured name.
    pub name: String,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Role of the member.
    pub role: MemberRole,
    /// Zone from the settings of the member.
    pub zone: String,
    /// Address for traffic.
    pub address: SocketAddr,
    /// Address for datagrams.
    pub gossip: SocketAddr,
    /// Address for operators, which also serves the configuration to peers.
    pub operator: SocketAddr,
}

/// Body of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Heartbeats: the sender's own, then the latest that it knows of others.
    Heartbeats(Vec<Heartbeat>),
    /// Asks the receiver for a [`Body::Acknowledge`].
    Ping {
        /// Repeated in the acknowledgement.
        number: u32,
    },
    /// Asks the receiver to ping a member on behalf of the sender.
    PingFor {
        /// The member to ping.
        target: NodeId,
        /// Repeated in the acknowledgement.
        number: u32,
    },
    /// A member responded to a ping.
    Acknowledge {
        /// The member that responded.
        target: NodeId,
        /// Number of the ping.
        number: u32,
    },
    /// A member did not respond; it may refute the suspicion with a later
    /// heartbeat.
    Suspect {
        /// The suspected member.
        node: NodeId,
        /// The incarnation that did not respond.
        incarnation: Incarnation,
        /// Sequence number of its last known heartbeat.
        sequence: u32,
    },
    /// The platform is about to take these machines away.
    Leaving(Vec<(NodeId, Incarnation)>),
    /// Asks for the information of a member.
    AskMember(NodeId),
    /// Information of a member, as [`Body::AskMember`] asks for it.
    Introduce(MemberInformation),
    /// Asks for the configuration changes after a version.
    AskChanges {
        /// Version that the sender holds.
        base: ConfigurationVersion,
    },
    /// Configuration changes that fit into one datagram.
    Changes(EncodedChanges),
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub sender: NodeId,
    /// Configuration version of the sender.
    pub version: ConfigurationVersion,
    /// Content of the datagram.
    pub body: Body,
}

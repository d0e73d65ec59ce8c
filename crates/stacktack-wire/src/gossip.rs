//! Datagrams of the control path.
//!
//! A datagram is one [`Datagram`] encoded with `postcard`, at most
//! [`MAX_DATAGRAM_BYTES`] bytes, so that it fits one packet.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::identity::{ConfigurationVersion, Incarnation, NodeId};
use crate::message::EncodedChanges;

/// Largest datagram body, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Bytes of IPv4 and UDP headers that each datagram costs on the link.
pub const DATAGRAM_HEADER_BYTES: usize = 28;

/// State of one member as it travels by gossip.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The member.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Rises with each heartbeat of one life.
    pub sequence: u32,
    /// Work units in flight divided by capacity; 0 for routers.
    pub load: u32,
    /// Age of the load in milliseconds when it was sent.
    pub age_ms: u32,
    /// Whether the member takes no new work.
    pub draining: bool,
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Takes callers' requests.
    Router,
    /// Stands before a back end.
    Agent,
}

/// Who a member is and where it listens; fixed for one life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInformation {
    /// Configured name.
    pub name: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: MemberRole,
    /// Zone, as its settings say.
    pub zone: String,
    /// Address for traffic.
    pub address: SocketAddr,
    /// Address for datagrams.
    pub gossip: SocketAddr,
    /// Address for operators, which also hands out the configuration.
    pub operator: SocketAddr,
}

/// Body of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Heartbeats, the sender's own first, then the freshest known.
    Heartbeats(Vec<Heartbeat>),
    /// Asks for an [`Body::Acknowledge`].
    Ping {
        /// Repeated in the acknowledgement.
        number: u32,
    },
    /// Asks the receiver to ping a member on the sender's behalf.
    PingFor {
        /// The member.
        target: NodeId,
        /// Repeated in the acknowledgement.
        number: u32,
    },
    /// A member answered a ping.
    Acknowledge {
        /// The member that answered.
        target: NodeId,
        /// Number of the ping.
        number: u32,
    },
    /// A member did not answer; it may refute with a later heartbeat.
    Suspect {
        /// The member.
        node: NodeId,
        /// The life that did not answer.
        incarnation: Incarnation,
        /// Last heartbeat known of it.
        sequence: u32,
    },
    /// The platform is about to take these machines away.
    Leaving(Vec<(NodeId, Incarnation)>),
    /// Asks who a member is.
    AskMember(NodeId),
    /// Says who a member is.
    Introduce(MemberInformation),
    /// Asks for the changes behind a version.
    AskChanges {
        /// Version of the asker.
        base: ConfigurationVersion,
    },
    /// Changes that fit one datagram.
    Changes(EncodedChanges),
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub sender: NodeId,
    /// The sender's configuration.
    pub version: ConfigurationVersion,
    /// What it says.
    pub body: Body,
}

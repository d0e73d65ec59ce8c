//! Gossip of a peer.

use std::net::SocketAddr;

use stacktack_core::direct::peers::peer_gossip::{PeerGossip, ZoneHash};

/// Gossip of a peer that has this configuration version and directory revision, and that the store
/// answers steadily.
pub fn steady_peer_gossip(from: SocketAddr, configuration: u64, directory: u64) -> PeerGossip {
    PeerGossip {
        from,
        incarnation: 1,
        zone: ZoneHash::of("zone"),
        configuration,
        directory,
        directory_steady: true,
        serving: true,
        in_flight: Vec::new(),
        reported_loads: Vec::new(),
        prefix_locations: Vec::new(),
        suspects: Vec::new(),
        routers: Vec::new(),
        zone_drains: Vec::new(),
    }
}

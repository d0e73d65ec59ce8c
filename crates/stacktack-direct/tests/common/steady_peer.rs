//! News of a peer.

use std::net::SocketAddr;

use stacktack_core::direct::peers::peer_news::{PeerNews, ZoneHash};

/// What a peer with these beliefs tells that the store answers steadily.
pub fn steady_peer(from: SocketAddr, configuration: u64, directory: u64) -> PeerNews {
    PeerNews {
        from,
        incarnation: 1,
        zone: ZoneHash::of("zone"),
        configuration,
        directory,
        settled: true,
        serving: true,
        loads: Vec::new(),
        told_loads: Vec::new(),
        places: Vec::new(),
        suspects: Vec::new(),
        routers: Vec::new(),
        zone_drains: Vec::new(),
    }
}

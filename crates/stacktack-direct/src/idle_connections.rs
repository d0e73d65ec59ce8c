//! Pool of connections to back ends that are idle between requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::client::ClientConnection;

/// Time for which an idle connection is used if the back end reported no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum keep-alive timeout that is counted, in seconds; a back end may report any number.
const MAX_KEEP_ALIVE_SECONDS: u64 = 3600;

/// Fraction of the reported keep-alive timeout after which an idle connection is no longer used.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Slots of a back end per idle connection that a router keeps to it. A back end accepts a limited
/// number of connections from all routers together and closes further ones.
const SLOTS_PER_IDLE_CONNECTION: u32 = 8;

/// Number of idle connections that a router may keep to a back end however few slots it has.
const MIN_IDLE_CONNECTIONS: usize = 2;

struct IdleConnection {
    connection: ClientConnection,
    expires: Instant,
}

/// Idle connections by back-end address.
#[derive(Default)]
pub struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<IdleConnection>>,
}

impl IdleConnections {
    /// Takes the most recently added connection that is still usable. Closes unusable ones on the
    /// way.
    pub fn take(&mut self, address: SocketAddr, now: Instant) -> Option<ClientConnection> {
        let idle = self.by_address.get_mut(&address)?;
        while let Some(last) = idle.pop() {
            if now < last.expires && last.connection.is_open() && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds an idle connection to a back end with `slots`, or closes it if there are enough.
    /// `keep_alive_seconds` is the keep-alive timeout that the back end reported.
    pub fn put(
        &mut self,
        address: SocketAddr,
        slots: u32,
        connection: ClientConnection,
        keep_alive_seconds: Option<u64>,
        now: Instant,
    ) {
        let timeout = keep_alive_seconds.map_or(DEFAULT_IDLE_TIMEOUT, |seconds| {
            Duration::from_secs(seconds.min(MAX_KEEP_ALIVE_SECONDS)).mul_f64(KEEP_ALIVE_FRACTION)
        });
        let idle = self.by_address.entry(address).or_default();
        let max_idle = MIN_IDLE_CONNECTIONS.max((slots / SLOTS_PER_IDLE_CONNECTION) as usize);
        if idle.len() < max_idle {
            idle.push(IdleConnection {
                connection,
                expires: now + timeout,
            });
        }
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.by_address.clear();
    }

    /// Closes connections that were idle for too long or are no longer open.
    pub fn expire(&mut self, now: Instant) {
        self.by_address.retain(|_, idle| {
            idle.retain(|one| now < one.expires && one.connection.is_open());
            !idle.is_empty()
        });
    }
}

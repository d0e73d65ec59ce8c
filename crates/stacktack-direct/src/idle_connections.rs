//! Connections to back ends that rest between requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::client::ClientConnection;

/// Rest that a connection is trusted for when the back end tells none.
const DEFAULT_REST: Duration = Duration::from_secs(2);

/// Share of the told rest after which a connection is not used any more.
const REST_SHARE: f64 = 0.6;

/// A back end's requests at once for each connection that rests there: it takes
/// only so many connections from all routers, and turns more away.
const SLOTS_PER_RESTING: u32 = 8;

/// Connections that rest for any back end.
const LEAST_RESTING: usize = 2;

struct Resting {
    connection: ClientConnection,
    until: Instant,
}

/// Resting connections by back-end address.
#[derive(Default)]
pub struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<Resting>>,
}

impl IdleConnections {
    /// Takes the connection that rested last and still looks sound.
    pub fn take(&mut self, address: SocketAddr, now: Instant) -> Option<ClientConnection> {
        let resting = self.by_address.get_mut(&address)?;
        while let Some(last) = resting.pop() {
            if now < last.until && last.connection.is_open() && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Puts a connection to rest, unless enough rest there; `told` is the rest
    /// in seconds that the back end allows.
    pub fn put(
        &mut self,
        address: SocketAddr,
        slots: u32,
        connection: ClientConnection,
        told: Option<u64>,
        now: Instant,
    ) {
        let rest = told.map_or(DEFAULT_REST, |seconds| {
            Duration::from_secs(seconds).mul_f64(REST_SHARE)
        });
        let resting = self.by_address.entry(address).or_default();
        let most = LEAST_RESTING.max((slots / SLOTS_PER_RESTING) as usize);
        if resting.len() < most {
            resting.push(Resting {
                connection,
                until: now + rest,
            });
        }
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.by_address.clear();
    }

    /// Closes connections that rested too long.
    pub fn expire(&mut self, now: Instant) {
        self.by_address.retain(|_, resting| {
            resting.retain(|one| now < one.until && one.connection.is_open());
            !resting.is_empty()
        });
    }
}

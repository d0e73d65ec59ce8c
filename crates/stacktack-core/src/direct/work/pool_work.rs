//! What a router has learned about the work of one pool.

use std::time::Duration;

use crate::direct::work::inflow::Inflow;
use crate::direct::work::peer_reads::PeerReads;
use crate::direct::work::rates::EngineRates;
use crate::direct::work::speed::PoolSpeed;

/// Weight of the newest request in the mean reading time.
const READING_WEIGHT: f64 = 0.1;

/// Work of one pool, learned from the responses to this router.
#[derive(Clone, Debug, Default)]
pub struct PoolWork {
    /// Time per token.
    pub rates: EngineRates,
    /// Reported durations of work.
    pub speed: PoolSpeed,
    /// Work that all routers send.
    pub inflow: Inflow,
    peer_reads_at_home: PeerReads,
    peer_reads_elsewhere: PeerReads,
    mean_reading_seconds: Option<f64>,
}

impl PoolWork {
    /// Records the reading time of a request of this router.
    pub fn on_send(&mut self, reading: Duration) {
        self.inflow.on_send(reading);
        let seconds = reading.as_secs_f64();
        let mean = self.mean_reading_seconds.unwrap_or(seconds);
        self.mean_reading_seconds = Some(mean + READING_WEIGHT * (seconds - mean));
    }

    /// Parts that were read for other routers at their homes, or at other back ends.
    pub fn peer_reads(&self, at_home: bool) -> &PeerReads {
        if at_home {
            &self.peer_reads_at_home
        } else {
            &self.peer_reads_elsewhere
        }
    }

    pub(super) fn peer_reads_mut(&mut self, at_home: bool) -> &mut PeerReads {
        if at_home {
            &mut self.peer_reads_at_home
        } else {
            &mut self.peer_reads_elsewhere
        }
    }

    /// Mean reading time of recent requests.
    pub fn mean_reading(&self) -> Duration {
        Duration::from_secs_f64(self.mean_reading_seconds.unwrap_or(0.0))
    }
}

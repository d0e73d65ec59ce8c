//! Time until a back end begins a new request.

use std::time::Duration;

use crate::time::Time;

/// Time in seconds after which a report has fallen to 1/e of its weight against the mean of the
/// pool: about the time in which a few long prompts are read.
const PERSISTENCE_SECONDS: f64 = 0.7;

/// Maximum observed backlog, as large as routers can tell each other.
pub const MAX_OBSERVED: Duration = Duration::from_millis(5_100);

/// Maximum wait of own requests that counts in the mean of the pool: a longer one is that of a back
/// end that hangs, and tells nothing about the others.
const MAX_OWN_WAIT_IN_MEAN: Duration = Duration::from_secs(1);

/// Estimated time for which a new request would wait at a back end before its prompt is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BacklogEstimate {
    /// Work ahead of a new request, from all routers, at the back end's current speed.
    pub time: Duration,
    /// Age of the latest report behind the estimate; `None` if only this router's own requests
    /// are known.
    pub age: Option<Duration>,
}

/// Number of a request at one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendId(u64);

/// A request of this router whose first event has not arrived.
#[derive(Clone, Copy, Debug)]
struct UnreadRequest {
    id: SendId,
    sent_at: Time,
    reading: Duration,
}

/// A backlog as seen at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedBacklog {
    /// Work ahead of a new request.
    pub time: Duration,
    /// When it was ahead.
    pub at: Time,
}

/// Work ahead of a new request at one back end: this router's own requests, which are exact, and
/// the latest observation of all requests, by this router or a peer.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    sends: u64,
    /// In the order of their sends.
    unread: Vec<UnreadRequest>,
    observed: Option<ObservedBacklog>,
}

impl Backlog {
    /// Records a request with the time that the back end takes to read its prompt.
    pub fn on_send(&mut self, reading: Duration, now: Time) -> SendId {
        self.sends += 1;
        let id = SendId(self.sends);
        self.unread.push(UnreadRequest {
            id,
            sent_at: now,
            reading,
        });
        id
    }

    /// Removes a request whose first event arrived or that ended before.
    pub fn remove(&mut self, id: SendId) {
        self.unread.retain(|request| request.id != id);
    }

    /// Records that `waiting` requests of all routers have not sent their first event, at a mean
    /// reading time of `mean_reading` for those of other routers.
    pub fn on_waiting(&mut self, waiting: u32, mean_reading: Duration, now: Time) {
        let own = u32::try_from(self.unread.len()).unwrap_or(u32::MAX);
        let own_time: Duration = self.unread.iter().map(|request| request.reading).sum();
        let time = if waiting < own {
            // Some of this router's requests are still on their way.
            own_time
        } else {
            own_time.saturating_add(mean_reading.saturating_mul(waiting - own))
        };
        self.observe(ObservedBacklog { time, at: now });
    }

    /// Takes an observation, limited to [`MAX_OBSERVED`], if it is newer than the known one.
    /// Returns whether it is.
    pub fn observe(&mut self, observed: ObservedBacklog) -> bool {
        let is_newer = self.observed.is_none_or(|known| known.at < observed.at);
        if is_newer {
            let time = observed.time.min(MAX_OBSERVED);
            self.observed = Some(ObservedBacklog { time, ..observed });
        }
        is_newer
    }

    /// Latest observation.
    pub fn observed(&self) -> Option<ObservedBacklog> {
        self.observed
    }

    /// Requests of this router whose first event has not arrived.
    pub fn unread_requests(&self) -> usize {
        self.unread.len()
    }

    /// Backlog as it follows from the observation: it falls as it is read, while other routers add
    /// to it at a rate, and this router's later requests are added to it.
    fn projected(&self, inflow: f64, now: Time) -> Option<Duration> {
        let observed = self.observed?;
        let later = self.unread.iter();
        let later = later.filter(|request| request.sent_at > observed.at);
        let (time, at) = later.fold((observed.time, observed.at), |(time, at), request| {
            let left = after(time, inflow, request.sent_at.since(at));
            (left + request.reading, request.sent_at)
        });
        Some(after(time, inflow, now.since(at)))
    }

    /// Time to read this router's own requests, without the oldest as far as that may be read.
    fn own_unread(&self, now: Time) -> Duration {
        let total: Duration = self.unread.iter().map(|request| request.reading).sum();
        let read = self.unread.first().map_or(Duration::ZERO, |oldest| {
            oldest.reading.min(now.since(oldest.sent_at))
        });
        total.saturating_sub(read)
    }

    /// Time for which the oldest of this router's own requests has waited so far; a newcomer waits
    /// as long while work arrives as fast as it is read.
    fn own_wait(&self, now: Time) -> Duration {
        self.unread.first().map_or(Duration::ZERO, |oldest| {
            now.since(oldest.sent_at).saturating_sub(oldest.reading)
        })
    }

    /// Weight of the observation against the mean of the pool.
    fn weight(&self, now: Time) -> f64 {
        self.observed.map_or(0.0, |observed| {
            (-now.since(observed.at).as_secs_f64() / PERSISTENCE_SECONDS).exp()
        })
    }

    /// Estimate for a back end of a pool.
    pub fn estimate(&self, pool: &PoolBacklog, now: Time) -> BacklogEstimate {
        let own_unread = self.own_unread(now);
        let weight = self.weight(now);
        let projected = self.projected(pool.inflow, now).unwrap_or_default();
        let expected = pool.mean + own_unread;
        let mixed = projected.mul_f64(weight) + expected.mul_f64(1.0 - weight);
        BacklogEstimate {
            time: mixed.max(own_unread).max(self.own_wait(now)),
            age: self.observed.map(|observed| now.since(observed.at)),
        }
    }
}

/// Backlog after some time in which work is read, and arrives at a rate.
fn after(backlog: Duration, inflow: f64, elapsed: Duration) -> Duration {
    if inflow <= 1.0 {
        backlog.saturating_sub(elapsed.mul_f64(1.0 - inflow))
    } else {
        backlog + elapsed.mul_f64(inflow - 1.0)
    }
}

/// Backlog of the mean back end of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolBacklog {
    /// Work ahead of a new request.
    pub mean: Duration,
    /// Seconds of work per second that arrive there from other routers.
    pub inflow: f64,
}

impl PoolBacklog {
    /// Mean over the members, each weighed by the age of its observation. `expected` counts as much
    /// as one recent observation.
    pub fn of<'a>(
        backlogs: impl Iterator<Item = &'a Backlog>,
        expected: Duration,
        inflow: f64,
        now: Time,
    ) -> Self {
        let start = (expected.as_secs_f64(), 1.0);
        let (sum, weights) = backlogs.fold(start, |(sum, weights), backlog| {
            let projected = backlog.projected(inflow, now).unwrap_or_default();
            let own_wait = backlog.own_wait(now).min(MAX_OWN_WAIT_IN_MEAN);
            let (known, weight) = if own_wait > projected {
                (own_wait, 1.0)
            } else {
                (projected, backlog.weight(now))
            };
            (sum + weight * known.as_secs_f64(), weights + weight)
        });
        PoolBacklog {
            mean: Duration::from_secs_f64(sum / weights),
            inflow,
        }
    }
}

//! What a router believes of each back end.
//!
//! Beliefs come from the directory (who exists, who is leaving), from answers
//! (failures, time to the first byte, silence) and from connections that did
//! not come up. No probe is sent. A bad standing only lowers preference: when
//! every candidate stands badly, the best of them is still used.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::direct::back_ends::directory::BackEndEntry;
use crate::direct::back_ends::health::{Health, MemberStats, PoolMedians};
use crate::direct::back_ends::load::BackEndLoad;
use crate::direct::back_ends::outlier_detector::{OutlierDetector, Retryability};
use crate::direct::back_ends::slow_start::SlowStartLimiter;
use crate::retry::doubled;
use crate::time::Time;

/// Connections in a row that failed before a back end is passed by.
const FAILURES_TO_EJECT: u32 = 2;

/// First time that a back end is passed by; doubles with each failed return.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time that a back end is passed by.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// With requests in flight and no byte for this long a back end is silent.
const SILENCE: Duration = Duration::from_millis(450);

/// Weight of the newest outcome in a back end's failure share.
const FAILURE_WEIGHT: f64 = 0.12;

/// Weight of the newest time to the first byte.
const LATENCY_WEIGHT: f64 = 0.15;

/// A time to the first byte is degraded above this multiple of the pool's mean.
const SLOW_FACTOR: f64 = 3.0;

/// Age up to which a peer's accusation counts.
const ACCUSATION_AGE: Duration = Duration::from_millis(1500);

/// Peers that have to accuse a back end: single failures are scattered over many.
const ACCUSERS: usize = 2;

/// Age up to which an own good answer outweighs an accusation.
const RECENT_SUCCESS: Duration = Duration::from_millis(500);

/// Time after which a slow back end that got no requests is given the benefit of
/// the doubt.
const FORGET: Duration = Duration::from_secs(3);

/// A back end and what is believed of it.
#[derive(Clone, Debug)]
pub struct BackEnd {
    /// The directory's entry.
    pub entry: BackEndEntry,
    /// Hash of the id, for rendezvous hashing.
    pub id_hash: u64,
    /// Requests in flight there, of this router and of others.
    pub load: BackEndLoad,
    /// What may be sent there while it is cold.
    cold: Option<SlowStartLimiter>,
    /// Whether another instance answers at its address, until the directory tells more.
    replaced: bool,
    failures_in_a_row: u32,
    ejected_until: Option<Time>,
    failure_share: f64,
    /// Failure share of its pool at the last choice from it.
    pub(crate) usual_failure_share: f64,
    suspicion: OutlierDetector,
    /// Peers that said of late that they suspect it, and when.
    accusations: Vec<(SocketAddr, Time)>,
    last_success: Option<Time>,
    first_byte_seconds: Option<f64>,
    silent_since: Time,
    last_used: Time,
}

impl BackEnd {
    /// A back end of which nothing is known yet.
    pub fn new(entry: BackEndEntry, now: Time) -> Self {
        let id_hash = xxh3_64(entry.id.as_bytes());
        BackEnd {
            cold: cold_gate(&entry, now),
            replaced: false,
            entry,
            id_hash,
            load: BackEndLoad::default(),
            failures_in_a_row: 0,
            ejected_until: None,
            failure_share: 0.0,
            usual_failure_share: 0.0,
            suspicion: OutlierDetector::default(),
            accusations: Vec::new(),
            last_success: None,
            first_byte_seconds: None,
            silent_since: now,
            last_used: now,
        }
    }

    /// Takes an entry of the directory; one of a newer revision says how cold the back
    /// end is now, the same one told again does not.
    pub(crate) fn take_entry(&mut self, entry: BackEndEntry, now: Time) {
        if entry.revision > self.entry.revision {
            self.cold = cold_gate(&entry, now);
            self.replaced = false;
        }
        self.entry = entry;
    }

    /// Its entry as it is to be told now: how long it stays cold gets less.
    pub(crate) fn entry_at(&self, now: Time) -> BackEndEntry {
        let mut entry = self.entry.clone();
        entry.cold_for = self
            .cold
            .map_or(Duration::ZERO, |gate| gate.until().since(now));
        entry
    }

    /// It is taken to be cold at least until then, whatever its entry says.
    pub(crate) fn assume_cold(&mut self, until: Time, now: Time) {
        self.cold
            .get_or_insert_with(|| SlowStartLimiter::new(until, now))
            .extend(until);
    }

    /// Sets what may be sent there while it is cold; `None` where cold back ends of its
    /// pool bear as much as others. Returns whether it has turned warm.
    pub(crate) fn update_slow_start(&mut self, rate: Option<f64>, now: Time) -> bool {
        let Some(gate) = &mut self.cold else {
            return false;
        };
        match rate {
            Some(rate) if !gate.is_over(now) => {
                gate.set_rate(rate, now);
                false
            }
            _ => {
                self.cold = None;
                true
            }
        }
    }

    /// Whether what may be sent there is bounded, since it is cold or was a moment ago.
    pub(crate) fn is_rate_limited(&self) -> bool {
        self.cold.is_some()
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold.is_some_and(|gate| !gate.is_over(now))
    }

    /// Whether it may get one more request now: its address is still its own, and its
    /// start is over or allows one more.
    pub fn may_get_requests(&self, now: Time) -> bool {
        !self.replaced && self.cold.is_none_or(|gate| gate.allows_request(now))
    }

    /// A request was sent there.
    pub fn on_send(&mut self, now: Time) {
        if self.load.in_flight == 0 {
            self.silent_since = now;
        }
        self.last_used = now;
        self.load.on_send(now);
        if let Some(gate) = &mut self.cold {
            gate.on_send(now);
        }
    }

    /// Bytes came from there.
    pub fn on_bytes(&mut self, now: Time) {
        self.silent_since = now;
        self.failures_in_a_row = 0;
        self.ejected_until = None;
    }

    /// An answer's first byte came this long after its request was sent.
    pub fn on_first_byte(&mut self, after: Duration) {
        let seconds = after.as_secs_f64();
        let mean = self.first_byte_seconds.unwrap_or(seconds);
        self.first_byte_seconds = Some(mean + LATENCY_WEIGHT * (seconds - mean));
    }

    /// An answer began well, or an attempt ended with a failure of the back end.
    /// Returns whether it is suspect from now on, or no longer; `None` if that
    /// did not change.
    pub fn on_outcome(&mut self, failed: bool, now: Time) -> Option<bool> {
        let value = f64::from(u8::from(failed));
        self.failure_share += FAILURE_WEIGHT * (value - self.failure_share);
        if !failed {
            self.last_success = Some(now);
        }
        let before = self.suspicion.is_suspect();
        self.suspicion
            .on_outcome(failed, self.usual_failure_share, now);
        let after = self.suspicion.is_suspect();
        (after != before).then_some(after)
    }

    /// Whether its failures make this router suspect it.
    pub fn is_suspect(&self) -> bool {
        self.suspicion.is_suspect()
    }

    /// A peer's failures make it suspect the back end. Returns whether enough
    /// peers accuse it from now on.
    pub fn on_suspect_report(&mut self, peer: SocketAddr, now: Time) -> bool {
        let before = self.is_accused(now);
        self.accusations
            .retain(|(accuser, at)| *accuser != peer && now.since(*at) < ACCUSATION_AGE);
        self.accusations.push((peer, now));
        self.is_accused(now) && !before
    }

    /// Whether several peers accused it of late and nothing was seen here that
    /// speaks against that.
    fn is_accused(&self, now: Time) -> bool {
        let fresh = self
            .accusations
            .iter()
            .filter(|(_, at)| now.since(*at) < ACCUSATION_AGE);
        let accused = fresh.count() >= ACCUSERS;
        let worked = self
            .last_success
            .is_some_and(|at| now.since(at) < RECENT_SUCCESS);
        accused && !worked
    }

    /// Another instance answered at its address: this one is gone for good, whatever the
    /// directory still lists. Where all 42 of a pool had started anew, requests went from
    /// one to the next by preference only: 6,843 repeated arrivals in 10 s before, of
    /// 2,551 allowed.
    pub fn on_replaced(&mut self) {
        self.replaced = true;
    }

    /// A connection failed or the back end fell silent. Returns whether it is
    /// passed by from now on.
    pub fn on_unreachable(&mut self, now: Time) -> bool {
        self.failures_in_a_row += 1;
        if self.failures_in_a_row < FAILURES_TO_EJECT {
            return false;
        }
        let doublings = self.failures_in_a_row - FAILURES_TO_EJECT;
        self.ejected_until = Some(now + doubled(FIRST_EJECTION, doublings, LONGEST_EJECTION));
        true
    }

    /// Whether requests are in flight there and no byte came for too long.
    pub fn is_silent(&self, now: Time) -> bool {
        self.load.in_flight > 0 && now.since(self.silent_since) > SILENCE
    }

    /// Silence counts from now on.
    pub(crate) fn restart_silence(&mut self, now: Time) {
        self.silent_since = now;
    }

    /// What was seen of it, to compare others with.
    pub(crate) fn record(&self, now: Time) -> MemberStats {
        MemberStats {
            failure_share: self.failure_share,
            first_byte_seconds: self.first_byte_seconds,
            is_accused: self.is_accused(now),
        }
    }

    /// How well it stands for a request, among the members of its pool.
    pub(crate) fn standing(&self, now: Time, pool: &PoolMedians, request: Retryability) -> Health {
        let ejected = self.ejected_until.is_some_and(|until| now < until);
        if ejected || self.is_silent(now) {
            return Health::Ejected;
        }
        let failing = self.suspicion.is_suspect() && !self.allows_trial(now, request);
        if failing || (pool.believes_accusations && self.is_accused(now)) {
            return Health::Degraded;
        }
        if self.is_slow(pool) && now.since(self.last_used) <= FORGET {
            return Health::Degraded;
        }
        Health::Good
    }

    /// Whether a suspect may get this request: one at a time.
    fn allows_trial(&self, now: Time, request: Retryability) -> bool {
        self.load.in_flight == 0 && self.suspicion.allows_trial(now, request)
    }

    fn is_slow(&self, pool: &PoolMedians) -> bool {
        match (self.first_byte_seconds, pool.first_byte_seconds) {
            (Some(own), Some(mean)) => own > SLOW_FACTOR * mean,
            _ => false,
        }
    }
}

/// The gate of a back end whose entry says that it is cold.
fn cold_gate(entry: &BackEndEntry, now: Time) -> Option<SlowStartLimiter> {
    (entry.cold_for > Duration::ZERO).then(|| SlowStartLimiter::new(now + entry.cold_for, now))
}

//! State that a router keeps for each back end.
//!
//! The state comes from the directory (which back ends exist, which are leaving, which are cold),
//! from responses (failures, time to the first byte, silence, loads), from failed connection
//! attempts and from gossip (loads, suspect reports of peers). Outlier detection is passive: it
//! sends no health probes. Bad health only lowers preference: if every candidate is degraded or
//! ejected, the best of them is still used. Leaving and replaced back ends and those in drained
//! zones get no requests, and cold ones only within their rate limit.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::direct::back_ends::announcement::Announcements;
use crate::direct::back_ends::directory::{BackEndEntry, InstanceId, VanishedInstance};
use crate::direct::back_ends::health::{Health, MemberStats, PoolMedians};
use crate::direct::back_ends::load::BackEndLoad;
use crate::direct::back_ends::outlier_detector::{OutlierDetector, TrialTerms};
use crate::direct::back_ends::slow_start::SlowStartLimiter;
use crate::direct::work::back_end_work::BackEndWork;
use crate::retry::exponential_delay;
use crate::time::Time;

/// Consecutive unreachable attempts, with no byte from the back end in between, after which a back
/// end is ejected. Error responses and broken connections are not counted.
const UNREACHABLE_ATTEMPTS_TO_EJECT: u32 = 2;

/// Duration of the first ejection; it doubles with each further unreachable attempt.
const MIN_EJECTION: Duration = Duration::from_millis(500);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Time without a byte, with requests in flight, after which a back end is silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(450);

/// Weight of the newest outcome in the moving average of a back end's failure share.
const FAILURE_SHARE_WEIGHT: f64 = 0.12;

/// Weight of the newest time to the first byte in a back end's moving average.
const FIRST_BYTE_WEIGHT: f64 = 0.15;

/// Multiple of the pool's median time to the first byte above which a back end is slow.
const SLOW_FACTOR: f64 = 3.0;

/// Maximum age of a peer's suspect report that counts.
const MAX_SUSPECT_REPORT_AGE: Duration = Duration::from_millis(1500);

/// Time for which a failure makes this router report a back end as suspect: the longest pause between
/// two trials.
const SUSPICION_REPORT_TTL: Duration = Duration::from_secs(4);

/// Peers that have to report a back end as suspect. One is not enough: a peer may suspect a back
/// end after a single failure, and single failures are scattered over many back ends.
const MIN_REPORTING_PEERS: usize = 2;

/// Maximum age of a successful response to this router that outweighs suspect reports.
const MAX_OVERRIDING_SUCCESS_AGE: Duration = Duration::from_millis(500);

/// Time for which a success at a back end that was suspect is told to peers.
const RECOVERY_RETENTION: Duration = Duration::from_secs(2);

/// Minimum time between two successes for both to count. Relayed times are rounded, so that one
/// success may be told with times that differ by less.
const MIN_RECOVERY_SPACING: Duration = Duration::from_millis(40);

/// Time since this router's last request to a back end with slow responses after which the back
/// end is no longer degraded, so that it gets requests again.
const SLOW_RESPONSES_TTL: Duration = Duration::from_secs(3);

/// Hash of a back end's id, for rendezvous hashing and short ids.
pub fn hash_of_id(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// A back end and the state that this router keeps for it.
#[derive(Clone, Debug)]
pub struct BackEnd {
    /// Newest directory entry.
    pub entry: BackEndEntry,
    /// Hash of the id, for rendezvous hashing and short ids.
    pub id_hash: u64,
    /// Requests in flight at the back end, from this router and from others.
    pub load: BackEndLoad,
    /// Work at the back end, in pools that count it.
    pub work: BackEndWork,
    /// What this instance announced in responses to this router.
    pub(crate) announcements: Announcements,
    /// Limits the requests sent to the back end while it is cold.
    slow_start: Option<SlowStartLimiter>,
    /// Whether another instance has answered at its address; reset by a directory entry of a newer
    /// revision.
    replaced: bool,
    consecutive_unreachable_attempts: u32,
    ejected_until: Option<Time>,
    failure_share: f64,
    /// Median failure share of the candidates of the last request that had this back end as a
    /// candidate.
    pub(crate) pool_failure_share: f64,
    outlier_detector: OutlierDetector,
    /// Peers that reported it as suspect, and when.
    suspect_reports: Vec<(SocketAddr, Time)>,
    /// When enough peers last reported it as suspect.
    reported_at: Option<Time>,
    last_success: Option<Time>,
    last_failure: Option<Time>,
    /// Latest success since a router suspected the back end, of this router or a peer; `None` after
    /// a failure.
    recovered_at: Option<Time>,
    /// Requests of this router whose response has not begun.
    unanswered: u32,
    /// When this router last received a byte from it.
    last_byte: Time,
    first_byte_seconds: Option<f64>,
    /// Time from which silence counts: that of the last byte from the back end, of a send while no
    /// request was in flight, or of the end of a suspension, whichever is latest.
    silence_timer_start: Time,
    /// When this router last sent a request to it.
    last_used: Time,
}

impl BackEnd {
    /// Creates the state for a back end known only by its directory entry.
    pub fn new(entry: BackEndEntry, now: Time) -> Self {
        let id_hash = hash_of_id(&entry.id);
        BackEnd {
            slow_start: slow_start_limiter(&entry, now),
            replaced: false,
            entry,
            id_hash,
            load: BackEndLoad::default(),
            work: BackEndWork::new(now),
            announcements: Announcements::default(),
            consecutive_unreachable_attempts: 0,
            ejected_until: None,
            failure_share: 0.0,
            pool_failure_share: 0.0,
            outlier_detector: OutlierDetector::default(),
            suspect_reports: Vec::new(),
            reported_at: None,
            last_success: None,
            last_failure: None,
            recovered_at: None,
            unanswered: 0,
            last_byte: now,
            first_byte_seconds: None,
            silence_timer_start: now,
            last_used: now,
        }
    }

    /// Replaces the directory entry. Only an entry of a newer revision restarts the slow start.
    /// One of the same revision describes the same cold time, whose end is already known here, and
    /// its `cold_for` counts from when it was sent, not from now.
    pub(crate) fn update_entry(&mut self, entry: BackEndEntry, now: Time) {
        if entry.revision > self.entry.revision {
            self.slow_start = slow_start_limiter(&entry, now);
            self.replaced = false;
        }
        self.entry = entry;
    }

    /// Directory entry to send to peers now, with the remaining time for which the back end is
    /// cold.
    pub(crate) fn entry_at(&self, now: Time) -> BackEndEntry {
        let mut entry = self.entry.clone();
        entry.cold_for = self
            .slow_start
            .map_or(Duration::ZERO, |limiter| limiter.until().since(now));
        entry
    }

    /// Whether the back end accepts no new requests: the directory says that it leaves, or it has
    /// announced so itself.
    pub fn is_leaving(&self) -> bool {
        self.entry.leaving || self.announcements.is_leaving()
    }

    /// The instance, as one that vanished from the directory; `None` if it was to leave.
    pub(crate) fn vanished(&self) -> Option<VanishedInstance> {
        (!self.is_leaving()).then(|| VanishedInstance {
            back_end: self.entry.id.clone(),
            instance: InstanceId::of(&self.entry),
        })
    }

    /// What this instance announced in responses to this router.
    pub fn announcements(&self) -> &Announcements {
        &self.announcements
    }

    /// Assumes that the back end is cold at least until `until`, whatever its entry says.
    pub(crate) fn assume_cold(&mut self, until: Time, now: Time) {
        self.slow_start
            .get_or_insert_with(|| SlowStartLimiter::new(until, now))
            .extend(until);
    }

    /// Sets the requests per second that this router may send while the back end is cold;
    /// `None` if its pool has no slow start. Returns whether this ends the rate limit.
    pub(crate) fn update_slow_start(&mut self, rate: Option<f64>, now: Time) -> bool {
        let Some(limiter) = &mut self.slow_start else {
            return false;
        };
        match rate {
            Some(rate) if !limiter.is_over(now) => {
                limiter.set_rate(rate, now);
                false
            }
            _ => {
                self.slow_start = None;
                true
            }
        }
    }

    /// Whether requests to the back end are rate-limited, because it is cold or was so at the
    /// last [`BackEnd::update_slow_start`].
    pub(crate) fn is_rate_limited(&self) -> bool {
        self.slow_start.is_some()
    }

    /// Whether the back end is in its slow start.
    pub fn is_cold(&self, now: Time) -> bool {
        self.slow_start.is_some_and(|limiter| !limiter.is_over(now))
    }

    /// Whether no other instance has replaced the back end, and both its slow start and a pause that
    /// it asked for are over or allow one more request now. Whether it is leaving, its zone's drain
    /// and its health are not considered.
    pub fn may_get_requests(&self, now: Time) -> bool {
        !self.replaced
            && self.announcements.resumes_at(now).is_none()
            && self
                .slow_start
                .is_none_or(|limiter| limiter.allows_request(now))
    }

    /// Records that a request was sent to the back end.
    pub fn on_send(&mut self, now: Time) {
        if self.load.in_flight == 0 {
            self.silence_timer_start = now;
        }
        self.last_used = now;
        self.unanswered += 1;
        self.load.on_send(now);
        self.announcements.on_send(now);
        if let Some(limiter) = &mut self.slow_start {
            limiter.on_send(now);
        }
    }

    /// Records that the response to a request began, or that the request ended without one.
    pub fn on_answered(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Records that bytes arrived from the back end, which ends its ejection.
    pub fn on_bytes(&mut self, now: Time) {
        self.silence_timer_start = now;
        self.last_byte = now;
        self.consecutive_unreachable_attempts = 0;
        self.ejected_until = None;
    }

    /// Records a response in which the back end asked for no pause, to a request that was sent at
    /// `sent_at`.
    pub fn on_response_without_pause(&mut self, sent_at: Time) {
        self.announcements.on_response(sent_at);
    }

    /// Records the time from sending a request to the first byte of its response.
    pub fn on_first_byte(&mut self, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let mean = self.first_byte_seconds.unwrap_or(seconds);
        self.first_byte_seconds = Some(mean + FIRST_BYTE_WEIGHT * (seconds - mean));
    }

    /// Records that a response began successfully, or that an attempt ended with a failure of
    /// the back end. Returns `Some(true)` if this makes the back end suspect, `Some(false)` if it
    /// clears a suspect back end, and `None` if nothing changes.
    pub fn on_outcome(&mut self, failed: bool, now: Time) -> Option<bool> {
        let value = f64::from(u8::from(failed));
        self.failure_share += FAILURE_SHARE_WEIGHT * (value - self.failure_share);
        let before = self.outlier_detector.is_suspect();
        if failed {
            self.last_failure = Some(now);
            self.recovered_at = None;
        } else {
            self.last_success = Some(now);
            if before || self.has_suspect_reports(now) {
                self.recovered_at = Some(now);
            }
        }
        self.outlier_detector
            .on_outcome(failed, self.pool_failure_share, now);
        let after = self.outlier_detector.is_suspect();
        (after != before).then_some(after)
    }

    /// Whether this router suspects the back end because of its recent outcomes.
    pub fn is_suspect(&self) -> bool {
        self.outlier_detector.is_suspect()
    }

    /// When the back end last failed, if this router suspects it and the failure is recent enough to be
    /// told to peers. A report of an old one would keep peers from trying the back end, and theirs
    /// would keep this router from it.
    pub fn recent_failure(&self, now: Time) -> Option<Time> {
        let failed_at = self.last_failure?;
        let is_recent = now.since(failed_at) < SUSPICION_REPORT_TTL;
        (is_recent && self.is_suspect() && !self.has_recovered()).then_some(failed_at)
    }

    /// When this router last began to suspect the back end.
    pub fn suspect_since(&self) -> Time {
        self.outlier_detector.suspect_since()
    }

    /// Records that a peer reports the back end as suspect. Returns whether this report makes the
    /// number of reporting peers sufficient while no recent success outweighs their reports.
    pub fn on_suspect_report(&mut self, peer: SocketAddr, now: Time) -> bool {
        let before = self.is_reported_suspect(now);
        self.suspect_reports
            .retain(|(reporter, at)| *reporter != peer && now.since(*at) < MAX_SUSPECT_REPORT_AGE);
        self.suspect_reports.push((peer, now));
        let is_reported = self.is_reported_suspect(now);
        if is_reported {
            self.reported_at = Some(now);
        }
        is_reported && !before
    }

    /// Whether peers reported the back end as suspect, no success has been known since, and too
    /// little time has passed for this request.
    fn is_reported_for(&self, terms: &TrialTerms, now: Time) -> bool {
        let lapsed_recently = self
            .reported_at
            .is_some_and(|at| self.last_success < Some(at) && now.since(at) < terms.extra_pause());
        lapsed_recently || self.is_reported_suspect(now)
    }

    /// Whether enough peers recently reported the back end as suspect and no response to this
    /// router recently succeeded.
    fn is_reported_suspect(&self, now: Time) -> bool {
        let reported = self.recent_reports(now).count() >= MIN_REPORTING_PEERS;
        let succeeded = self
            .last_success
            .is_some_and(|at| now.since(at) < MAX_OVERRIDING_SUCCESS_AGE);
        reported && !succeeded
    }

    fn recent_reports(&self, now: Time) -> impl Iterator<Item = &(SocketAddr, Time)> {
        let reports = self.suspect_reports.iter();
        reports.filter(move |(_, at)| now.since(*at) < MAX_SUSPECT_REPORT_AGE)
    }

    fn has_suspect_reports(&self, now: Time) -> bool {
        self.recent_reports(now).next().is_some()
    }

    /// Records that another instance answered at the back end's address: this instance is gone for
    /// good although the directory may still list it. The back end gets no more requests until the
    /// directory has an entry of a newer revision. A lower preference alone is not enough: when
    /// all 42 back ends of a pool had restarted, requests went from one to the next, and 6,843
    /// retries arrived in 10 s where 2,551 were allowed.
    pub fn on_replaced(&mut self) {
        self.replaced = true;
    }

    /// Records an unreachable attempt: the connection failed, or the request timed out. That is
    /// not the silence of [`BackEnd::is_silent`], for which no request has to time out. Returns
    /// whether the back end is ejected now.
    pub fn on_unreachable(&mut self, now: Time) -> bool {
        self.consecutive_unreachable_attempts += 1;
        if self.consecutive_unreachable_attempts < UNREACHABLE_ATTEMPTS_TO_EJECT {
            return false;
        }
        let doublings = self.consecutive_unreachable_attempts - UNREACHABLE_ATTEMPTS_TO_EJECT;
        self.ejected_until = Some(now + exponential_delay(MIN_EJECTION, doublings, MAX_EJECTION));
        true
    }

    /// Latest success at the back end, of this router or a peer, if it shows that the back end
    /// serves again: it is later than the last known failure, and this router or a peer suspected
    /// the back end until then.
    pub fn recovery(&self, now: Time) -> Option<Time> {
        let at = self.recovered_at?;
        (now.since(at) < RECOVERY_RETENTION).then_some(at)
    }

    /// Records a success that a peer had at the back end at time `at`. Returns `Some(false)` if it
    /// clears a suspect back end.
    pub fn on_peer_success(&mut self, at: Time, now: Time) -> Option<bool> {
        let is_older = self.last_failure.is_some_and(|failed| at <= failed)
            || self
                .recovered_at
                .is_some_and(|known| at < known + MIN_RECOVERY_SPACING);
        if is_older || now.since(at) >= RECOVERY_RETENTION {
            return None;
        }
        self.recovered_at = Some(at);
        self.last_success = self.last_success.max(Some(at));
        let before = self.outlier_detector.is_suspect();
        self.outlier_detector
            .on_outcome(false, self.pool_failure_share, now);
        let after = self.outlier_detector.is_suspect();
        (after != before).then_some(after)
    }

    /// Whether requests are in flight and no byte arrived for longer than the silence timeout.
    pub fn is_silent(&self, now: Time) -> bool {
        self.load.in_flight > 0 && now.since(self.silence_timer_start) > SILENCE_TIMEOUT
    }

    /// Restarts the silence timer: time before `now` does not count as silence.
    pub(crate) fn restart_silence_timer(&mut self, now: Time) {
        self.silence_timer_start = now;
    }

    /// Statistics of the back end for the medians of the candidates.
    pub(crate) fn stats(&self, now: Time) -> MemberStats {
        MemberStats {
            failure_share: self.failure_share,
            first_byte_seconds: self.first_byte_seconds,
            is_reported_suspect: self.is_reported_suspect(now),
        }
    }

    /// Health of the back end for a request, compared with the other candidates.
    pub(crate) fn health(&self, now: Time, pool: &PoolMedians, terms: &TrialTerms) -> Health {
        let health = self.health_by_outcomes(now, pool, terms);
        if health != Health::Good && self.is_trial_due(terms.mean_interval_at_bound(), now) {
            return Health::TrialDue;
        }
        health
    }

    /// Whether the latest outcome known of the back end is a success.
    fn has_recovered(&self) -> bool {
        self.last_failure < self.last_success
    }

    fn health_by_outcomes(&self, now: Time, pool: &PoolMedians, terms: &TrialTerms) -> Health {
        let ejected = self.ejected_until.is_some_and(|until| now < until);
        if ejected || self.is_silent(now) {
            return Health::Ejected;
        }
        let failing = self.outlier_detector.is_suspect() && !self.allows_trial(now, terms);
        if failing || (pool.trusts_suspect_reports && self.is_reported_for(terms, now)) {
            return Health::Degraded;
        }
        if self.is_slow(pool) && now.since(self.last_used) <= SLOW_RESPONSES_TTL {
            return Health::Degraded;
        }
        Health::Good
    }

    /// Whether a suspect back end may get this request as a trial: only while no other request of
    /// this router waits for its response there.
    fn allows_trial(&self, now: Time, terms: &TrialTerms) -> bool {
        !self.awaits_response() && self.outlier_detector.allows_trial(now, *terms)
    }

    /// Whether the latest request to the back end waits for its response and nothing has arrived
    /// since. Earlier ones that the back end dropped may stay unanswered until they time out.
    fn awaits_response(&self) -> bool {
        self.unanswered > 0 && self.last_used >= self.last_byte
    }

    /// Whether a trial is due while all good members are at their load bound: at once after a
    /// success, otherwise a random time after the last request and the last failure.
    fn is_trial_due(&self, mean_interval: Option<Duration>, now: Time) -> bool {
        let is_silent = self.is_silent(now);
        if self.awaits_response() && !is_silent {
            return false;
        }
        // Where only peers report failures, they may know more than this router's last success.
        let knows_failures = self.is_suspect() || mean_interval.is_some();
        if self.has_recovered() && knows_failures && !is_silent {
            return true;
        }
        let last = self.last_used.max(self.last_failure.unwrap_or_default());
        mean_interval
            .is_some_and(|mean| now.since(last) >= mean.mul_f64(self.trial_delay_factor(last)))
    }

    /// Delay of the next trial after an attempt at `last`, in mean delays: exponentially distributed,
    /// so that the trials of all routers together come at a constant rate from the start.
    fn trial_delay_factor(&self, last: Time) -> f64 {
        let draw = xxh3_64_with_seed(&last.0.to_le_bytes(), self.id_hash);
        -((draw >> 11) as f64 / (1_u64 << 53) as f64)
            .max(f64::MIN_POSITIVE)
            .ln()
    }

    fn is_slow(&self, pool: &PoolMedians) -> bool {
        match (self.first_byte_seconds, pool.first_byte_seconds) {
            (Some(own), Some(median)) => own > SLOW_FACTOR * median,
            _ => false,
        }
    }
}

/// Creates the limiter for a back end whose entry says that it is cold.
fn slow_start_limiter(entry: &BackEndEntry, now: Time) -> Option<SlowStartLimiter> {
    (entry.cold_for > Duration::ZERO).then(|| SlowStartLimiter::new(now + entry.cold_for, now))
}

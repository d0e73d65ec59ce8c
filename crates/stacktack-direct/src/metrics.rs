//! Counters, gauges and histograms of a direct router.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use opentelemetry::KeyValue;
use stacktack_core::direct::back_ends::announcement::Announcement;
use stacktack_core::direct::quarantine::record::Treatment;
use stacktack_core::direct::quarantine::Quarantine;
use stacktack_core::direct::work::backlog::BacklogEstimate;

use crate::work::BelievedTraffic;

/// Metric instruments of one process.
pub struct DirectMetrics {
    requests: Counter<u64>,
    attempts: Counter<u64>,
    announcements: Counter<u64>,
    placements: Counter<u64>,
    own_share: Gauge<f64>,
    peer_inflow: Gauge<f64>,
    zone_share: Gauge<f64>,
    sends_at_bound: Counter<u64>,
    contradicting_sends: Counter<u64>,
    retries: Counter<u64>,
    resumptions: Counter<u64>,
    forgotten_streams: Counter<u64>,
    contention_refusals: Counter<u64>,
    store_calls: Counter<u64>,
    drained_zones: Gauge<u64>,
    stale_loads: Gauge<u64>,
    unreadable_work_times: Counter<u64>,
    kept_bytes: Gauge<u64>,
    ended_unread: Counter<u64>,
    crashes: Counter<u64>,
    suspensions: Histogram<f64>,
    quarantine: Gauge<u64>,
    first_byte: Histogram<f64>,
    complete_response: Histogram<f64>,
    load_age: Histogram<f64>,
    peer_counts_age: Histogram<f64>,
    backlog: Histogram<f64>,
    backlog_age: Histogram<f64>,
    prediction_error: Histogram<f64>,
    directory_age: Histogram<f64>,
    timer_lag: Histogram<f64>,
}

/// Bucket bounds of the histograms, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.5, 10.0];

impl DirectMetrics {
    /// Registers the instruments.
    pub fn new(meter: &Meter) -> Self {
        let histogram = |name, description| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build()
        };
        DirectMetrics {
            requests: meter
                .u64_counter("stacktack_requests")
                .with_description("Requests by outcome")
                .build(),
            attempts: meter
                .u64_counter("stacktack_attempts")
                .with_description("Attempts at back ends by end")
                .build(),
            placements: meter
                .u64_counter("stacktack_placements")
                .with_description("Choices by the time to the first event, by what decided")
                .build(),
            own_share: meter
                .f64_gauge("stacktack_own_share")
                .with_description("Share of a pool's requests that this router believes to send")
                .build(),
            peer_inflow: meter
                .f64_gauge("stacktack_peer_inflow")
                .with_description("Seconds of work a second that other routers are believed to send to the mean member of a pool")
                .build(),
            zone_share: meter
                .f64_gauge("stacktack_zone_share")
                .with_description("Share of a pool's requests that the routers of this zone are believed to send")
                .build(),
            sends_at_bound: meter
                .u64_counter("stacktack_sends_at_bound")
                .with_description("Sends to back ends at their spill bound, by whether an avoided one was below it")
                .build(),
            announcements: meter
                .u64_counter("stacktack_announcements")
                .with_description("Responses in which back ends announced that they leave or pause")
                .build(),
            contradicting_sends: meter
                .u64_counter("stacktack_contradicting_sends")
                .with_description("Requests sent although their back end had announced otherwise")
                .build(),
            retries: meter
                .u64_counter("stacktack_retries")
                .with_description("Repeated sends by whether the budget allowed them")
                .build(),
            resumptions: meter
                .u64_counter("stacktack_resumptions")
                .with_description("Streams that callers take up, by how their version is known")
                .build(),
            forgotten_streams: meter
                .u64_counter("stacktack_forgotten_streams")
                .with_description("Streams whose version was forgotten early for want of room")
                .build(),
            contention_refusals: meter
                .u64_counter("stacktack_contention_refusals")
                .with_description("Requests refused where callers compete for engines, by cause")
                .build(),
            store_calls: meter
                .u64_counter("stacktack_store_calls")
                .with_description("Calls to the store by what is asked for and why")
                .build(),
            drained_zones: meter
                .u64_gauge("stacktack_drained_zones")
                .with_description("Zones whose drain is in force here")
                .build(),
            stale_loads: meter
                .u64_gauge("stacktack_stale_loads")
                .with_description("Back ends whose believed load was told over a second ago")
                .build(),
            kept_bytes: meter
                .u64_gauge("stacktack_kept_bytes")
                .with_description("Bytes charged for slow readers, by side")
                .build(),
            ended_unread: meter
                .u64_counter("stacktack_ended_unread")
                .with_description("Unread responses that were ended to make room for others")
                .build(),
            suspensions: histogram(
                "stacktack_suspended",
                "Times for which the machine was suspended",
            ),
            unreadable_work_times: meter
                .u64_counter("stacktack_unreadable_work_times")
                .with_description("Responses whose relative duration of work cannot be read")
                .build(),
            crashes: meter
                .u64_counter("stacktack_ended_back_ends")
                .with_description("Back ends that ended while they ran requests, by what showed it")
                .build(),
            quarantine: meter
                .u64_gauge("stacktack_quarantine")
                .with_description("Requests and prompt parts under which back ends ended, by how they are treated")
                .build(),
            first_byte: histogram("stacktack_first_byte", "Time to the head of the answer"),
            complete_response: histogram("stacktack_whole_answer", "Time to the end of the answer"),
            timer_lag: histogram(
                "stacktack_timer_lag",
                "Lateness of the process's own timers",
            ),
            directory_age: histogram(
                "stacktack_directory_age",
                "Age of what is known of the directory at a choice",
            ),
            backlog: histogram(
                "stacktack_backlog",
                "Estimated wait at the chosen back end before it reads the prompt",
            ),
            backlog_age: histogram(
                "stacktack_backlog_age",
                "Age of the report behind the estimated wait at the chosen back end",
            ),
            prediction_error: histogram(
                "stacktack_first_event_error",
                "Difference between predicted and measured time to the first event, by sign",
            ),
            load_age: histogram(
                "stacktack_load_age",
                "Age of the load that decided a choice",
            ),
            peer_counts_age: histogram(
                "stacktack_peer_counts_age",
                "Mean age of the other routers' counts behind a choice of a back end that tells no load",
            ),
        }
    }

    /// Counts a finished request by its outcome, and records how long it took.
    pub fn count_request(&self, outcome: &'static str, seconds: f64) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.complete_response.record(seconds, &[]);
    }

    /// Counts a finished attempt by how it ended.
    pub fn count_attempt(&self, end: &'static str) {
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a choice by the time to the first event.
    pub fn count_placement(&self, placement: &'static str) {
        self.placements
            .add(1, &[KeyValue::new("placement", placement)]);
    }

    /// Records what is believed about the requests of all routers to a pool.
    pub fn record_traffic(&self, pool: &str, traffic: &BelievedTraffic) {
        let label = [KeyValue::new("pool", pool.to_owned())];
        self.own_share.record(traffic.own_share, &label);
        self.peer_inflow.record(traffic.peer_inflow, &label);
    }

    /// Records the share of a pool's requests that the routers of this zone are believed to send.
    pub fn record_zone_share(&self, pool: &str, share: f64) {
        let label = [KeyValue::new("pool", pool.to_owned())];
        self.zone_share.record(share, &label);
    }

    /// Counts a request that is sent to a back end at its spill bound; `passed_by` says whether an
    /// avoided back end was below it.
    pub fn count_send_at_bound(&self, passed_by: bool) {
        self.sends_at_bound
            .add(1, &[KeyValue::new("passed_by_avoided", passed_by)]);
    }

    /// Counts a response in which a back end announced something about itself.
    pub fn count_announcement(&self, announcement: Announcement) {
        self.announcements
            .add(1, &[announcement_label(announcement)]);
    }

    /// Counts a request that was written to a back end in spite of what that announced.
    pub fn count_contradicting_send(&self, announcement: Announcement) {
        self.contradicting_sends
            .add(1, &[announcement_label(announcement)]);
    }

    /// Counts a stream that a caller takes up; `known` says from where its version is known.
    pub fn count_resumption(&self, known: &'static str) {
        self.resumptions.add(1, &[KeyValue::new("known", known)]);
    }

    /// Counts a stream whose version was forgotten early.
    pub fn count_forgotten_stream(&self) {
        self.forgotten_streams.add(1, &[]);
    }

    /// Records the number of drained zones.
    pub fn record_drained_zones(&self, zones: usize) {
        self.drained_zones.record(zones as u64, &[]);
    }

    /// Records the number of back ends whose reported load is stale.
    pub fn record_stale_loads(&self, back_ends: usize) {
        self.stale_loads.record(back_ends as u64, &[]);
    }

    /// Records the bytes charged for responses, those of request bodies that are kept, and the most
    /// that are under way to one back end.
    pub fn record_kept_bytes(&self, responses: usize, bodies: usize, most_under_way: usize) {
        let kept = [
            ("responses", responses),
            ("bodies", bodies),
            ("most_under_way", most_under_way),
        ];
        for (side, bytes) in kept {
            let label = KeyValue::new("side", side);
            self.kept_bytes.record(bytes as u64, &[label]);
        }
    }

    /// Counts an unread response that was ended to make room for another one.
    pub fn count_ended_unread(&self) {
        self.ended_unread.add(1, &[]);
    }

    /// Records how long the machine was suspended.
    pub fn record_suspension(&self, seconds: f64) {
        self.suspensions.record(seconds, &[]);
    }

    /// Counts a crash of a back end by what showed it.
    pub fn count_crash(&self, cause: &'static str) {
        self.crashes.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a response whose relative duration of work cannot be read.
    pub fn count_unreadable_work_time(&self) {
        self.unreadable_work_times.add(1, &[]);
    }

    /// Records the numbers of requests and of prompt parts that are on probation or set aside.
    pub fn record_quarantine(&self, quarantine: &Quarantine) {
        for (suspect, is_part) in [("request", false), ("part", true)] {
            for treatment in [Treatment::Probation, Treatment::SetAside] {
                let labels = [
                    KeyValue::new("treatment", treatment.as_str()),
                    KeyValue::new("suspect", suspect),
                ];
                let count = quarantine.count(treatment, is_part);
                self.quarantine.record(count as u64, &labels);
            }
        }
    }

    /// Counts a retry that was asked for, by whether the budget allowed it.
    pub fn count_retry(&self, allowed: bool) {
        self.retries.add(1, &[KeyValue::new("allowed", allowed)]);
    }

    /// Counts a refusal of a request that competed for the engines of its pool.
    pub fn count_contention_refusal(&self, cause: &'static str) {
        self.contention_refusals
            .add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a call to the store by what is asked for and why.
    pub fn count_store_call(&self, source: &'static str, cause: &'static str) {
        let labels = [
            KeyValue::new("source", source),
            KeyValue::new("cause", cause),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Records how late a timer of the process fired.
    pub fn record_timer_lag(&self, seconds: f64) {
        self.timer_lag.record(seconds, &[]);
    }

    /// Records the age of the load on which the choice of a back end is based.
    pub fn record_load_age(&self, seconds: f64) {
        self.load_age.record(seconds, &[]);
    }

    /// Records the age of the requests that other routers told, on which the choice of a back end
    /// that reports no load is based.
    pub fn record_peer_counts_age(&self, seconds: f64) {
        self.peer_counts_age.record(seconds, &[]);
    }

    /// Records the estimated wait at a chosen back end and the age of the report behind it.
    pub fn record_backlog(&self, backlog: &BacklogEstimate) {
        self.backlog.record(backlog.time.as_secs_f64(), &[]);
        if let Some(age) = backlog.age {
            self.backlog_age.record(age.as_secs_f64(), &[]);
        }
    }

    /// Records by how much the first event came later than predicted; negative if sooner.
    pub fn record_prediction_error(&self, seconds: f64) {
        let sign = if seconds < 0.0 { "early" } else { "late" };
        let label = KeyValue::new("came", sign);
        self.prediction_error.record(seconds.abs(), &[label]);
    }

    /// Records the age of the known directory when a back end is chosen.
    pub fn record_directory_age(&self, seconds: f64) {
        self.directory_age.record(seconds, &[]);
    }

    /// Records the time until the head of a response can go to the caller.
    pub fn record_first_byte(&self, seconds: f64) {
        self.first_byte.record(seconds, &[]);
    }
}

fn announcement_label(announcement: Announcement) -> KeyValue {
    KeyValue::new("announced", announcement.as_str())
}

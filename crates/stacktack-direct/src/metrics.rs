//! Counters and latency histograms of a direct router.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use opentelemetry::KeyValue;

/// Instruments of one process.
pub struct DirectMetrics {
    requests: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    store_calls: Counter<u64>,
    returns: Counter<u64>,
    calm: Counter<u64>,
    drained_zones: Gauge<u64>,
    stale_loads: Gauge<u64>,
    ended: Counter<u64>,
    suspended: Histogram<f64>,
    quarantine: Gauge<u64>,
    first_byte: Histogram<f64>,
    whole: Histogram<f64>,
    load_age: Histogram<f64>,
    directory_age: Histogram<f64>,
    lag: Histogram<f64>,
}

/// Bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.5, 10.0];

impl DirectMetrics {
    /// Registers the instruments.
    pub fn new(meter: &Meter) -> Self {
        let latency = |name, description| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(LATENCY_BOUNDS.to_vec())
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
            retries: meter
                .u64_counter("stacktack_retries")
                .with_description("Repeated sends by whether the budget allowed them")
                .build(),
            store_calls: meter
                .u64_counter("stacktack_store_calls")
                .with_description("Calls to the store by what is asked for and why")
                .build(),
            returns: meter
                .u64_counter("stacktack_returns")
                .with_description("Callers that came back after a refusal, by outcome")
                .build(),
            calm: meter
                .u64_counter("stacktack_calm_requests")
                .with_description(
                    "Requests taken while nobody was refused, by whether they count as returned",
                )
                .build(),
            drained_zones: meter
                .u64_gauge("stacktack_drained_zones")
                .with_description("Zones whose drain is in force here")
                .build(),
            stale_loads: meter
                .u64_gauge("stacktack_stale_loads")
                .with_description("Back ends whose believed load was told over a second ago")
                .build(),
            suspended: latency(
                "stacktack_suspended",
                "Times for which the machine was suspended",
            ),
            ended: meter
                .u64_counter("stacktack_ended_back_ends")
                .with_description("Back ends that ended while they ran requests, by what showed it")
                .build(),
            quarantine: meter
                .u64_gauge("stacktack_quarantine")
                .with_description("Requests under which back ends ended, by how they are treated")
                .build(),
            first_byte: latency("stacktack_first_byte", "Time to the head of the answer"),
            whole: latency("stacktack_whole_answer", "Time to the end of the answer"),
            lag: latency(
                "stacktack_timer_lag",
                "Lateness of the process's own timers",
            ),
            directory_age: latency(
                "stacktack_directory_age",
                "Age of what is known of the directory at a choice",
            ),
            load_age: latency(
                "stacktack_load_age",
                "Age of the load that decided a choice",
            ),
        }
    }

    /// Counts the end of a request.
    pub fn count_request(&self, outcome: &'static str, whole_seconds: f64) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.whole.record(whole_seconds, &[]);
    }

    /// Counts the end of an attempt.
    pub fn count_attempt(&self, end: &'static str) {
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts the end of a request whose caller came back after a refusal.
    pub fn count_returning_caller(&self, outcome: &'static str) {
        self.returns.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records how many zones are drained.
    pub fn record_drained_zones(&self, zones: usize) {
        self.drained_zones.record(zones as u64, &[]);
    }

    /// Records how many believed loads are stale.
    pub fn record_stale_loads(&self, back_ends: usize) {
        self.stale_loads.record(back_ends as u64, &[]);
    }

    /// Records a suspension of the machine.
    pub fn record_suspension(&self, seconds: f64) {
        self.suspended.record(seconds, &[]);
    }

    /// Counts the end of a back end.
    pub fn count_crash(&self, cause: &'static str) {
        self.ended.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Records how many requests run on probation and how many are set aside.
    pub fn record_quarantine(&self, on_probation: usize, set_aside: usize) {
        let counts = [("probation", on_probation), ("set_aside", set_aside)];
        for (treatment, count) in counts {
            let label = KeyValue::new("treatment", treatment);
            self.quarantine.record(count as u64, &[label]);
        }
    }

    /// Counts a request that was taken while nobody was refused: few of these may count as
    /// returned.
    pub fn count_admitted_without_refusals(&self, returned: bool) {
        self.calm.add(1, &[KeyValue::new("returned", returned)]);
    }

    /// Counts a wish for a repeated send.
    pub fn count_retry(&self, allowed: bool) {
        self.retries.add(1, &[KeyValue::new("allowed", allowed)]);
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, source: &'static str, cause: &'static str) {
        let labels = [
            KeyValue::new("source", source),
            KeyValue::new("cause", cause),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Records how late a timer of the process fired.
    pub fn record_lag(&self, seconds: f64) {
        self.lag.record(seconds, &[]);
    }

    /// Records the age of the load that decided a choice.
    pub fn record_load_age(&self, seconds: f64) {
        self.load_age.record(seconds, &[]);
    }

    /// Records the age of what is known of the directory at a choice.
    pub fn record_directory_age(&self, seconds: f64) {
        self.directory_age.record(seconds, &[]);
    }

    /// Records the time to the head of an answer.
    pub fn record_first_byte(&self, seconds: f64) {
        self.first_byte.record(seconds, &[]);
    }
}

//! A stopping router may admit a request only if its response is complete before the process
//! ends; otherwise the response is cut.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::request::planned_stop::{
    PlannedStop, RequestTiming, StopAdmission, DEREGISTRATION_DELAY,
};
use stacktack_core::direct::request::run_times::{RunId, RunTimes};
use stacktack_core::time::Time;

const GRACE: Duration = Duration::from_secs(8);

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn at(count: u64) -> Time {
    Time(0) + milliseconds(count)
}

fn decide(timeout: Duration, longest_run: Option<Duration>, now: Time) -> StopAdmission {
    let stop = PlannedStop::new(at(0), GRACE);
    let request = RequestTiming {
        deadline: now + timeout,
        longest_run,
    };
    stop.decide(&request, now)
}

#[test]
fn a_request_is_admitted_while_its_deadline_precedes_the_end() {
    let timeout = milliseconds(3000);
    let slow = Some(milliseconds(9000));
    assert_eq!(decide(timeout, slow, at(0)), StopAdmission::FitsByDeadline);
    assert_eq!(
        decide(timeout, slow, at(4700)),
        StopAdmission::FitsByDeadline
    );
    assert_eq!(decide(timeout, slow, at(4701)), StopAdmission::TooLong);
}

#[test]
fn a_longer_request_is_admitted_by_recent_runs_until_deregistration() {
    let timeout = milliseconds(10_000);
    let usual = Some(milliseconds(4000));
    assert_eq!(
        decide(timeout, usual, at(0)),
        StopAdmission::FitsByRecentRuns
    );
    assert_eq!(
        decide(timeout, usual, at(2599)),
        StopAdmission::FitsByRecentRuns
    );
    assert_eq!(decide(timeout, usual, at(2600)), StopAdmission::TooLong);
    let slow = Some(milliseconds(6000));
    assert_eq!(
        decide(timeout, slow, at(1699)),
        StopAdmission::FitsByRecentRuns
    );
    assert_eq!(decide(timeout, slow, at(1700)), StopAdmission::TooLong);
    assert_eq!(
        decide(timeout, None, at(2599)),
        StopAdmission::FitsByRecentRuns
    );
}

#[test]
fn settings_shorten_the_grace_of_a_stop_and_do_not_lengthen_it() {
    let mut stop = PlannedStop::new(at(0), GRACE);
    stop.shorten_grace(milliseconds(20_000));
    assert_eq!(stop, PlannedStop::new(at(0), GRACE));
    stop.shorten_grace(milliseconds(5000));
    assert_eq!(stop.end(), at(4900));
    stop.shorten_grace(milliseconds(50));
    assert_eq!(stop.end(), at(0));
    let request = RequestTiming {
        deadline: at(100),
        longest_run: None,
    };
    assert_eq!(stop.decide(&request, at(0)), StopAdmission::TooLong);
}

#[test]
fn a_retry_needs_time_for_its_response() {
    let stop = PlannedStop::new(at(0), GRACE);
    let request = |longest_run| RequestTiming {
        deadline: at(12_000),
        longest_run,
    };
    let usual = request(Some(milliseconds(1000)));
    assert!(stop.may_retry(&usual, at(6600)));
    assert!(!stop.may_retry(&usual, at(6700)));
    let short = RequestTiming {
        deadline: at(7700),
        ..usual
    };
    assert!(stop.may_retry(&short, at(7600)));
}

/// Refused callers were told to come back after 11 s, although the process ended after 3 s.
#[test]
fn a_successor_is_expected_soon_after_the_end_at_the_latest() {
    let stop = PlannedStop::new(at(0), GRACE);
    let after_runs = |usual| stop.successor_ready_at(Some(milliseconds(usual)));
    assert_eq!(stop.successor_ready_at(None), at(3300));
    assert_eq!(after_runs(2000), at(5300));
    assert_eq!(after_runs(60_000), at(8600));
}

/// Class of requests: how long callers wait, and how long a run takes at least and, on average,
/// beyond that.
struct RequestClass {
    timeout: Duration,
    min_run: Duration,
    mean_extra: Duration,
}

const CLASSES: [RequestClass; 3] = [
    RequestClass {
        timeout: Duration::from_millis(10_000),
        min_run: Duration::from_millis(600),
        mean_extra: Duration::from_millis(700),
    },
    RequestClass {
        timeout: Duration::from_millis(8000),
        min_run: Duration::from_millis(300),
        mean_extra: Duration::from_millis(500),
    },
    RequestClass {
        timeout: Duration::from_millis(2500),
        min_run: Duration::from_millis(50),
        mean_extra: Duration::from_millis(100),
    },
];

struct Run {
    class: usize,
    admitted_at: Time,
    ends_at: Time,
    id: RunId,
}

#[derive(Default)]
struct Router {
    times: [RunTimes; CLASSES.len()],
    in_flight: Vec<Run>,
    stop: Option<PlannedStop>,
}

impl Router {
    fn end_runs(&mut self, now: Time) {
        let times = &mut self.times;
        self.in_flight.retain(|run| {
            let is_running = now < run.ends_at;
            if !is_running {
                times[run.class].end(run.id, true, now);
            }
            is_running
        });
    }

    fn on_request(&mut self, class: usize, duration: Duration, now: Time) -> bool {
        let times = &self.times[class];
        let admitted = self.stop.is_none_or(|stop| {
            let request = RequestTiming {
                deadline: now + CLASSES[class].timeout,
                longest_run: times.longest(now),
            };
            stop.decide(&request, now).is_admitted()
        });
        if !admitted {
            return false;
        }
        self.in_flight.push(Run {
            class,
            admitted_at: now,
            ends_at: now + duration.min(CLASSES[class].timeout),
            id: self.times[class].begin(now),
        });
        true
    }
}

#[derive(Debug, Default)]
struct Counts {
    /// Cut responses to requests that were admitted before the signal.
    cut_admitted_before_signal: usize,
    /// Cut responses to requests that were admitted while callers still sent to the router.
    cut_admitted_before_deregistration: usize,
    /// Cut responses to requests that were admitted later.
    cut_admitted_after_deregistration: usize,
    admitted_after_signal: usize,
    short_admitted_after_deregistration: usize,
}

/// Time of the stop signal to the first router, in milliseconds.
const FIRST_SIGNAL_MS: u64 = 10_000;

/// Simulates routers that stop one after the other. From `slow_from` on, runs take `slowdown`
/// times as long.
fn run(routers: usize, gap: Duration, slow_from: Time, slowdown: f64, seed: u64) -> Counts {
    const REQUESTS_PER_TICK: usize = 2;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet: Vec<Router> = (0..routers).map(|_| Router::default()).collect();
    let mut counts = Counts::default();
    let end = FIRST_SIGNAL_MS + (gap * routers as u32 + GRACE).as_millis() as u64;
    for now in (0..end).step_by(10) {
        let now = at(now);
        for (number, router) in fleet.iter_mut().enumerate() {
            let signal = at(FIRST_SIGNAL_MS) + gap * number as u32;
            if now >= signal && router.stop.is_none() {
                router.stop = Some(PlannedStop::new(signal, GRACE));
            }
            router.end_runs(now);
            if let Some(stop) = router.stop.filter(|stop| now >= stop.end()) {
                for run in router.in_flight.drain(..) {
                    let cut = match run.admitted_at {
                        admitted_at if admitted_at < signal => {
                            &mut counts.cut_admitted_before_signal
                        }
                        admitted_at if admitted_at < stop.deregistered_at() => {
                            &mut counts.cut_admitted_before_deregistration
                        }
                        _ => &mut counts.cut_admitted_after_deregistration,
                    };
                    *cut += 1;
                }
                continue;
            }
            for _ in 0..REQUESTS_PER_TICK {
                let class = random.random_range(0..CLASSES.len());
                let draw: f64 = random.random();
                let factor = if now >= slow_from { slowdown } else { 1.0 };
                let extra = CLASSES[class].mean_extra.mul_f64(-(1.0 - draw).ln());
                let duration = (CLASSES[class].min_run + extra).mul_f64(factor);
                if router.on_request(class, duration, now) && now >= signal {
                    counts.admitted_after_signal += 1;
                    let deregistered = now >= signal + DEREGISTRATION_DELAY;
                    counts.short_admitted_after_deregistration +=
                        usize::from(deregistered && class == 2);
                }
            }
        }
    }
    counts
}

/// Responses were cut at the end of the process when routers admitted requests by the time since
/// the signal, however long the responses took.
#[test]
fn no_response_is_cut_of_requests_admitted_after_deregistration() {
    for (routers, gap) in [(1, 0), (4, 700), (24, 300)] {
        for (slowdown, slow_from) in [(1.0, 0), (4.0, 0), (4.0, 2000), (4.0, 4000)] {
            let slow_from = at(FIRST_SIGNAL_MS + slow_from);
            let counts = run(routers, milliseconds(gap), slow_from, slowdown, 7);
            let description = format!("{routers} routers, gap {gap}, {slowdown} times as slow from {slow_from:?}: {counts:?}");
            assert_eq!(counts.cut_admitted_after_deregistration, 0, "{description}");
            assert!(
                counts.short_admitted_after_deregistration > 150 * routers,
                "{description}"
            );
        }
    }
}

/// Few of the requests that are admitted by recent runs take longer than the longest of these.
#[test]
fn a_planned_stop_cuts_few_responses_of_steady_back_ends_however_long_runs_take() {
    for seed in 0..5 {
        for slowdown in [1.0, 2.0, 4.0, 8.0] {
            let counts = run(4, milliseconds(700), at(0), slowdown, seed);
            let description = format!("{slowdown} times as slow: {counts:?}");
            assert!(counts.admitted_after_signal > 1000, "{description}");
            assert!(
                counts.cut_admitted_before_deregistration * 100 <= counts.admitted_after_signal,
                "{description}"
            );
        }
    }
}

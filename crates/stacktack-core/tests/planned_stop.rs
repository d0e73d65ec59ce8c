//! What routers take between a stop signal and their end, on virtual time.

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

fn decide(limit: Duration, longest_run: Option<Duration>, now: Time) -> StopAdmission {
    let stop = PlannedStop::new(at(0), GRACE);
    let request = RequestTiming {
        deadline: now + limit,
        longest_run,
    };
    stop.decide(&request, now)
}

#[test]
fn a_request_is_admitted_while_its_deadline_precedes_the_end() {
    let limit = milliseconds(3000);
    let slow = Some(milliseconds(9000));
    assert_eq!(decide(limit, slow, at(0)), StopAdmission::FitsByDeadline);
    assert_eq!(decide(limit, slow, at(4700)), StopAdmission::FitsByDeadline);
    assert_eq!(decide(limit, slow, at(4701)), StopAdmission::TooLong);
}

#[test]
fn a_longer_request_is_admitted_by_recent_runs_until_deregistration() {
    let limit = milliseconds(10_000);
    let usual = Some(milliseconds(4000));
    assert_eq!(decide(limit, usual, at(0)), StopAdmission::FitsByRecentRuns);
    assert_eq!(
        decide(limit, usual, at(2599)),
        StopAdmission::FitsByRecentRuns
    );
    assert_eq!(decide(limit, usual, at(2600)), StopAdmission::TooLong);
    let slow = Some(milliseconds(6000));
    assert_eq!(
        decide(limit, slow, at(1699)),
        StopAdmission::FitsByRecentRuns
    );
    assert_eq!(decide(limit, slow, at(1700)), StopAdmission::TooLong);
    assert_eq!(
        decide(limit, None, at(2599)),
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

/// Callers were told to come back after 11 s, where the process ended after 3 s.
#[test]
fn a_successor_is_expected_soon_after_the_end_at_the_latest() {
    let stop = PlannedStop::new(at(0), GRACE);
    let after_runs = |usual| stop.successor_ready_at(Some(milliseconds(usual)));
    assert_eq!(stop.successor_ready_at(None), at(3300));
    assert_eq!(after_runs(2000), at(5300));
    assert_eq!(after_runs(60_000), at(8600));
}

/// One kind of request: how long callers wait, and how long a run takes beyond a fixed part.
struct Kind {
    limit: Duration,
    fixed: Duration,
    mean_more: Duration,
}

const KINDS: [Kind; 3] = [
    Kind {
        limit: Duration::from_millis(10_000),
        fixed: Duration::from_millis(600),
        mean_more: Duration::from_millis(700),
    },
    Kind {
        limit: Duration::from_millis(8000),
        fixed: Duration::from_millis(300),
        mean_more: Duration::from_millis(500),
    },
    Kind {
        limit: Duration::from_millis(2500),
        fixed: Duration::from_millis(50),
        mean_more: Duration::from_millis(100),
    },
];

struct Run {
    kind: usize,
    taken: Time,
    ends: Time,
    id: RunId,
}

#[derive(Default)]
struct Router {
    times: [RunTimes; KINDS.len()],
    under_way: Vec<Run>,
    stop: Option<PlannedStop>,
}

impl Router {
    fn end_runs(&mut self, now: Time) {
        let times = &mut self.times;
        self.under_way.retain(|run| {
            let under_way = now < run.ends;
            if !under_way {
                times[run.kind].end(run.id, true, now);
            }
            under_way
        });
    }

    fn offer(&mut self, kind: usize, takes: Duration, now: Time) -> bool {
        let times = &self.times[kind];
        let taken = self.stop.is_none_or(|stop| {
            let request = RequestTiming {
                deadline: now + KINDS[kind].limit,
                longest_run: times.longest(now),
            };
            stop.decide(&request, now).is_admitted()
        });
        if !taken {
            return false;
        }
        self.under_way.push(Run {
            kind,
            taken: now,
            ends: now + takes.min(KINDS[kind].limit),
            id: self.times[kind].begin(now),
        });
        true
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// Answers cut of requests that were taken before the signal,
    cut_of_before: usize,
    /// while callers were still sent there,
    cut_while_sent: usize,
    /// and later.
    cut_of_later: usize,
    taken_after_signal: usize,
    short_taken_late: usize,
}

/// When the first router is told to stop, in milliseconds.
const SIGNAL: u64 = 10_000;

/// Routers stop one after the other; from `slow_from` on runs take `slower` times as long.
fn play(routers: usize, gap: Duration, slow_from: Time, slower: f64, seed: u64) -> Outcome {
    const REQUESTS_PER_TICK: usize = 2;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet: Vec<Router> = (0..routers).map(|_| Router::default()).collect();
    let mut outcome = Outcome::default();
    let over = SIGNAL + (gap * routers as u32 + GRACE).as_millis() as u64;
    for now in (0..over).step_by(10) {
        let now = at(now);
        for (number, router) in fleet.iter_mut().enumerate() {
            let signal = at(SIGNAL) + gap * number as u32;
            if now >= signal && router.stop.is_none() {
                router.stop = Some(PlannedStop::new(signal, GRACE));
            }
            router.end_runs(now);
            if let Some(stop) = router.stop.filter(|stop| now >= stop.end()) {
                for run in router.under_way.drain(..) {
                    let cut = match run.taken {
                        taken if taken < signal => &mut outcome.cut_of_before,
                        taken if taken < stop.deregistered_at() => &mut outcome.cut_while_sent,
                        _ => &mut outcome.cut_of_later,
                    };
                    *cut += 1;
                }
                continue;
            }
            for _ in 0..REQUESTS_PER_TICK {
                let kind = random.random_range(0..KINDS.len());
                let draw: f64 = random.random();
                let factor = if now >= slow_from { slower } else { 1.0 };
                let more = KINDS[kind].mean_more.mul_f64(-(1.0 - draw).ln());
                let takes = (KINDS[kind].fixed + more).mul_f64(factor);
                if router.offer(kind, takes, now) && now >= signal {
                    outcome.taken_after_signal += 1;
                    let late = now >= signal + DEREGISTRATION_DELAY;
                    outcome.short_taken_late += usize::from(late && kind == 2);
                }
            }
        }
    }
    outcome
}

/// Routers took requests by the time since the signal, whatever time their answers needed.
#[test]
fn no_response_is_cut_of_requests_admitted_after_deregistration() {
    for (routers, gap) in [(1, 0), (4, 700), (24, 300)] {
        for (slower, slow_from) in [(1.0, 0), (4.0, 0), (4.0, 2000), (4.0, 4000)] {
            let slow_from = at(SIGNAL + slow_from);
            let outcome = play(routers, milliseconds(gap), slow_from, slower, 7);
            let seen = format!("{routers} routers, gap {gap}, {slower} times as slow from {slow_from:?}: {outcome:?}");
            assert_eq!(outcome.cut_of_later, 0, "{seen}");
            assert!(outcome.short_taken_late > 150 * routers, "{seen}");
        }
    }
}

/// Of those that are taken by experience few run for longer than the longest of late.
#[test]
fn a_planned_stop_cuts_few_responses_of_steady_back_ends_however_long_runs_take() {
    for seed in 0..5 {
        for slower in [1.0, 2.0, 4.0, 8.0] {
            let outcome = play(4, milliseconds(700), at(0), slower, seed);
            let seen = format!("{slower} times as slow: {outcome:?}");
            assert!(outcome.taken_after_signal > 1000, "{seen}");
            assert!(
                outcome.cut_while_sent * 100 <= outcome.taken_after_signal,
                "{seen}"
            );
        }
    }
}

//! What routers take between a stop signal and their end, on virtual time.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stacktack_core::direct::request::planned_stop::{
    PlannedStop, StopDecision, StopRequest, LOOK_AWAY,
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

fn decide(limit: Duration, longest_run: Option<Duration>, now: Time) -> StopDecision {
    let stop = PlannedStop::new(at(0), GRACE);
    let request = StopRequest {
        limit: now + limit,
        longest_run,
    };
    stop.decide(&request, now)
}

#[test]
fn what_is_given_up_before_the_end_is_taken_until_it_no_longer_fits() {
    let limit = milliseconds(3000);
    let slow = Some(milliseconds(9000));
    assert_eq!(decide(limit, slow, at(0)), StopDecision::FitsByLimit);
    assert_eq!(decide(limit, slow, at(4700)), StopDecision::FitsByLimit);
    assert_eq!(decide(limit, slow, at(4701)), StopDecision::TooLong);
}

#[test]
fn what_may_last_longer_is_taken_by_the_longest_run_while_callers_are_sent_here() {
    let limit = milliseconds(10_000);
    let usual = Some(milliseconds(4000));
    assert_eq!(decide(limit, usual, at(0)), StopDecision::FitsByExperience);
    assert_eq!(
        decide(limit, usual, at(2599)),
        StopDecision::FitsByExperience
    );
    assert_eq!(decide(limit, usual, at(2600)), StopDecision::TooLong);
    let slow = Some(milliseconds(6000));
    assert_eq!(
        decide(limit, slow, at(1699)),
        StopDecision::FitsByExperience
    );
    assert_eq!(decide(limit, slow, at(1700)), StopDecision::TooLong);
    assert_eq!(
        decide(limit, None, at(2599)),
        StopDecision::FitsByExperience
    );
}

#[test]
fn settings_shorten_the_grace_of_a_stop_and_do_not_lengthen_it() {
    let mut stop = PlannedStop::new(at(0), GRACE);
    stop.shorten(milliseconds(20_000));
    assert_eq!(stop, PlannedStop::new(at(0), GRACE));
    stop.shorten(milliseconds(5000));
    assert_eq!(stop.end(), at(4900));
    stop.shorten(milliseconds(50));
    assert_eq!(stop.end(), at(0));
    let request = StopRequest {
        limit: at(100),
        longest_run: None,
    };
    assert_eq!(stop.decide(&request, at(0)), StopDecision::TooLong);
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
        let request = StopRequest {
            limit: now + KINDS[kind].limit,
            longest_run: self.times[kind].longest(now),
        };
        let decision = self.stop.map(|stop| stop.decide(&request, now));
        if decision.is_some_and(|decision| !decision.is_taken()) {
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
    /// Answers cut of requests that came while callers were sent there, and of later ones.
    cut: [usize; 2],
    taken_after_signal: usize,
    short_taken_late: usize,
}

/// Routers stop one after the other; from `slow_from` after the first signal runs take `slower` times as long.
fn play(routers: usize, gap: Duration, slow_from: Duration, slower: f64, seed: u64) -> Outcome {
    const SIGNAL: u64 = 10_000;
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
                    outcome.cut[usize::from(run.taken >= stop.looked_away())] += 1;
                }
                continue;
            }
            for _ in 0..REQUESTS_PER_TICK {
                let kind = random.random_range(0..KINDS.len());
                let draw: f64 = random.random();
                let factor = if now >= at(SIGNAL) + slow_from {
                    slower
                } else {
                    1.0
                };
                let more = KINDS[kind].mean_more.mul_f64(-(1.0 - draw).ln());
                let takes = (KINDS[kind].fixed + more).mul_f64(factor);
                if router.offer(kind, takes, now) && now >= signal {
                    outcome.taken_after_signal += 1;
                    let late = now >= signal + LOOK_AWAY;
                    outcome.short_taken_late += usize::from(late && kind == 2);
                }
            }
        }
    }
    outcome
}

/// Routers took requests by the time since the signal, whatever time their answers needed.
#[test]
fn no_answer_is_cut_that_was_begun_after_callers_had_looked_away() {
    for routers in [1, 4, 24] {
        for gap in [0, 300, 700, 1500] {
            for slower in [1.0, 4.0] {
                for slow_from in [0, 2000, 4000] {
                    let outcome = play(
                        routers,
                        milliseconds(gap),
                        milliseconds(slow_from),
                        slower,
                        7,
                    );
                    let seen = format!("{routers} routers, gap {gap}, {slower} times as slow from {slow_from}: {outcome:?}");
                    assert_eq!(outcome.cut[1], 0, "{seen}");
                    assert!(outcome.short_taken_late > 150 * routers, "{seen}");
                }
            }
        }
    }
}

/// With back ends as fast as ever a planned stop cuts nothing that was taken after the signal.
#[test]
fn a_planned_stop_cuts_no_answer_of_steady_back_ends() {
    for seed in 0..5 {
        let outcome = play(4, milliseconds(700), GRACE * 10, 1.0, seed);
        assert!(outcome.taken_after_signal > 2000, "{outcome:?}");
        assert!(
            outcome.cut[0] * 1000 <= outcome.taken_after_signal,
            "{outcome:?}"
        );
    }
}

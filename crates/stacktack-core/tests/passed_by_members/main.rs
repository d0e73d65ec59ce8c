//! A back end above its load bound must not count as loaded for seconds after it became idle, nor
//! may routers send far more requests to some back ends than to others.
//!
//! A back end reports its load in its responses only. Requests spill from a back end above its
//! bound, so that it soon sends no more responses and reports. Routers then go on to use its last
//! report for five seconds, while it completes all its requests and is idle. The other back ends
//! carry its share, and since the mean includes the load that is gone, their bound rises too.
//!
//! With thirty router processes and twelve back ends, one back end was estimated to hold 24
//! requests, by a report 4,971 ms old, and held none; the mean was estimated at 12.6 and was 9; 58
//! of 1,014 requests within five seconds reached a back end that held more than twice the mean and
//! 3.
//!
//! The simulation runs on virtual time. Back ends report loads in response heads, and routers
//! gossip them within their byte budget. All requests are held equally long, or a tenth of them ten
//! times as long as the others.

#[path = "../event_queue/mod.rs"]
mod event_queue;
mod simulation;

use std::time::Duration;

use simulation::{HoldTimes, Measured, Scenario, Simulation};

/// Fleets and pools; the fault was observed with the first one.
const SCENARIOS: [Scenario; 4] = [
    Scenario {
        routers: 30,
        back_ends: 12,
        parts: 60,
        mean_load: 8.0,
        hold_times: HoldTimes::Equal,
        hot_share: 0.0,
    },
    Scenario {
        routers: 30,
        back_ends: 40,
        parts: 200,
        mean_load: 8.0,
        hold_times: HoldTimes::Equal,
        hot_share: 0.0,
    },
    Scenario {
        routers: 103,
        back_ends: 180,
        parts: 900,
        mean_load: 5.0,
        hold_times: HoldTimes::Equal,
        hot_share: 0.0,
    },
    Scenario {
        routers: 5,
        back_ends: 12,
        parts: 60,
        mean_load: 20.0,
        hold_times: HoldTimes::Equal,
        hot_share: 0.0,
    },
];

/// Maximum ratio of the estimated mean load to the true one. The old reports of back ends from
/// which requests spill, and the answered request that each report includes, raise it to 1.19,
/// 1.25, 1.40 and 1.04.
const MAX_MEAN_RATIO: f64 = 1.12;

/// Minimum number of requests for each one that spills although its home holds less than the mean.
/// While reported loads stay as reported, 94, 741, 1,422 and 4 requests spill so; when reported
/// loads decayed with the hold time, 9, 48, 108 and 3 did.
const MIN_REQUESTS_PER_WRONG_SPILL: usize = 400;

/// Minimum number of requests for each one that reaches a back end above its bound. With 103
/// routers and 180 back ends, reports are older than the time for which requests are held, whatever
/// is computed from them.
const MIN_REQUESTS_PER_ABOVE_BOUND: [usize; 4] = [100, 100, 70, 1000];

/// Maximum time for which a back end may hold no request, in the pool in which the fault was
/// observed.
const MAX_IDLE: Duration = Duration::from_millis(300);

#[test]
fn a_member_that_is_passed_by_does_not_count_as_loaded_for_seconds() {
    let measured = SCENARIOS.map(|scenario| Simulation::new(scenario).run());
    check(&measured);
    assert!(measured[0].longest_idle < MAX_IDLE);
}

/// Long requests are a tenth of all requests and half of those that a back end holds, so that the
/// load of an old report may well still be there.
#[test]
fn so_it_is_where_some_requests_are_held_for_seconds() {
    let measured = SCENARIOS.map(|scenario| {
        let hold_times = HoldTimes::LongAndShort;
        Simulation::new(Scenario {
            hold_times,
            ..scenario
        })
        .run()
    });
    check(&measured);
}

/// Minimum number of requests of the five seconds with a hot part for each one that reaches a back
/// end above its load bound. This is the load bound itself.
const MIN_HOT_REQUESTS_PER_ABOVE_BOUND: usize = 33;

/// Users reported a back end with more requests than it had capacity for; this is one possible
/// cause.
///
/// For five seconds, three of ten requests have the same prompt part. The home of the part reports
/// a low load, and all routers send there at once, each relying on reports from before the others'
/// requests, so that the home holds dozens of requests when they learn of it. All requests then
/// spill until the home has completed its own and reports a low load again, and the next crowd
/// follows. The same happens at the next back ends in the part's rendezvous order.
///
/// Routers decide, all or nothing, by loads that are older than the time for which requests are
/// held. A router knows at once which share of its own requests has one part, and that share is the
/// same at all routers. If no router uses it, 148 of 1,350, 947 of 4,403 and 3,184 of 12,425
/// requests reach a back end above its bound; if it decides over how many replicas a part is
/// spread, 12, 83 and 347 do.
#[test]
fn a_part_that_many_requests_share_does_not_crowd_its_home() {
    let measured = SCENARIOS.map(|scenario| {
        let hot_share = 0.3;
        Simulation::new(Scenario {
            hot_share,
            ..scenario
        })
        .run()
    });
    for measured in &measured {
        let limit = measured.hot_requests / MIN_HOT_REQUESTS_PER_ABOVE_BOUND;
        assert!(measured.hot_above_bound <= limit, "{measured:?}");
    }
}

fn check(measured: &[Measured]) {
    for (measured, min_requests_per_above_bound) in
        measured.iter().zip(MIN_REQUESTS_PER_ABOVE_BOUND)
    {
        assert!(measured.spilled_wrongly * MIN_REQUESTS_PER_WRONG_SPILL < measured.requests);
        assert!(measured.mean_ratio < MAX_MEAN_RATIO);
        assert!(measured.above_bound * min_requests_per_above_bound < measured.requests);
    }
}

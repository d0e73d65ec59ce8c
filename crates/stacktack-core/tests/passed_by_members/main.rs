//! The story. Users saw back ends with far more requests than the others, on a fleet of
//! real processes. A back end tells its load in its answers only. One that held more than
//! its bound was passed by, so that it answered nothing more and told nothing more: routers
//! went on to believe the load it had last told, for five seconds, while it finished
//! all it held and stood idle. The others carried its share, and since the mean counted the
//! load that was no longer there, their bound rose with it.
//!
//! Evidence: thirty processes before twelve back ends, what routers believed written once a
//! second. One back end was believed to hold 24 requests, told 4,971 ms before, and held
//! none; the mean was believed at 12.6 and was 9; 58 of 1,014 requests within five
//! seconds reached one that held more than twice the mean and 3.
//!
//! Played on virtual time: loads are told in the heads of answers and handed on between
//! routers within their byte budget. Requests are held equally long, or a tenth of them ten times as long
//! as the others.

#[path = "../event_queue/mod.rs"]
mod event_queue;
mod simulation;

use std::time::Duration;

use simulation::{Holds, Measured, Plan, World};

/// Fleets and pools; the first is the one that the story was seen at.
const PLANS: [Plan; 4] = [
    Plan {
        routers: 30,
        back_ends: 12,
        parts: 60,
        mean_load: 8.0,
        holds: Holds::Alike,
        hot_share: 0.0,
    },
    Plan {
        routers: 30,
        back_ends: 40,
        parts: 200,
        mean_load: 8.0,
        holds: Holds::Alike,
        hot_share: 0.0,
    },
    Plan {
        routers: 103,
        back_ends: 180,
        parts: 900,
        mean_load: 5.0,
        holds: Holds::Alike,
        hot_share: 0.0,
    },
    Plan {
        routers: 5,
        back_ends: 12,
        parts: 60,
        mean_load: 20.0,
        holds: Holds::Alike,
        hot_share: 0.0,
    },
];

/// Most by which the mean may be believed to be higher than it is. Loads of members that were
/// passed by and the request that each told load counts made it 1.19, 1.25, 1.40 and 1.04.
const HIGHEST_BELIEF: f64 = 1.12;

/// One of so many requests may pass its home by although that holds less than the mean: 94,
/// 741, 1,422 and 4 do while told loads stay, 9, 48, 108 and 3 did where they ended with the
/// time that requests are held.
const ONE_WRONGLY_IN: usize = 400;

/// One of so many requests may reach a member above its bound. With 103 routers before 180
/// members news is older than requests are held, whatever is made of it.
const ONE_ABOVE_IN: [usize; 4] = [100, 100, 70, 1000];

/// Longest time for which a member may hold nothing, in the pool that the story was seen at.
const LONGEST_IDLE: Duration = Duration::from_millis(300);

#[test]
fn a_member_that_is_passed_by_does_not_count_as_loaded_for_seconds() {
    let measured = PLANS.map(|plan| World::new(plan).run());
    check(&measured);
    assert!(measured[0].longest_idle < LONGEST_IDLE);
}

/// The long ones are a tenth of the requests and half of what a back end holds: what was told long ago
/// may well be there still.
#[test]
fn so_it_is_where_some_requests_are_held_for_seconds() {
    let measured = PLANS.map(|plan| {
        let holds = Holds::LongAndShort;
        World::new(Plan { holds, ..plan }).run()
    });
    check(&measured);
}

/// The load bound itself: of the requests of five calm seconds one in so many may reach a member above it.
const ONE_ABOVE_IN_FIVE_SECONDS: usize = 33;

/// What users saw, once: a back end was given more than it has room for. This is one way to it; their report
/// holds nothing that tells whether it was theirs.
///
/// Order of events: one prompt part is in three of ten requests for five seconds. Its home is told to hold
/// little, and all routers send there at once, each with news from before the others' requests; it holds dozens
/// when they hear of it. All pass it by, it works that off, tells little again, and the next crowd comes; the
/// same goes on at the next places of that part.
///
/// Cause: routers decide by loads that are older than requests are held, all or nothing. None asks how
/// much of its own traffic goes to one place, which it knows at once and which is the same share at all.
///
/// Evidence: this play. 148 of 1,350, 947 of 4,403 and 3,184 of 12,425 requests reach a back end above its bound;
/// where a part is spread over places by the router's own share of it, 12, 83 and 347.
#[test]
fn a_part_that_many_requests_share_does_not_crowd_its_home() {
    let measured = PLANS.map(|plan| {
        let hot_share = 0.3;
        World::new(Plan { hot_share, ..plan }).run()
    });
    for measured in &measured {
        let most = measured.hot_requests / ONE_ABOVE_IN_FIVE_SECONDS;
        assert!(measured.hot_above <= most, "{measured:?}");
    }
}

fn check(measured: &[Measured]) {
    for (measured, one_above_in) in measured.iter().zip(ONE_ABOVE_IN) {
        assert!(measured.wrongly * ONE_WRONGLY_IN < measured.requests);
        assert!(measured.believed_mean < HIGHEST_BELIEF);
        assert!(measured.above * one_above_in < measured.requests);
    }
}

//! Preference of a zone's routers for its members.

use std::time::Duration;

use stacktack_core::direct::back_ends::zone_share::{
    RouterCounts, ZonePreference, ZoneShare, ZoneTraffic,
};
use stacktack_core::time::Time;

const FLEET: RouterCounts = RouterCounts { zone: 9, all: 36 };

/// Preference after these requests were in flight for a minute, with a quarter of the members in the
/// zone.
fn preference(own: f64, zone: f64, all: f64) -> ZonePreference {
    let mut share = ZoneShare::default();
    for second in 0..60 {
        let now = Time(0) + Duration::from_secs(second);
        share.observe(&ZoneTraffic { own, zone, all }, now);
    }
    share.preference(FLEET, 0.25)
}

#[test]
fn requests_of_a_zone_with_its_part_of_the_callers_may_all_prefer_it() {
    assert_eq!(preference(1.0, 9.0, 36.0).local_share, 1.0);
    assert_eq!(preference(0.0, 0.0, 0.0).local_share, 1.0);
}

#[test]
fn members_of_a_zone_with_all_callers_get_little_more_than_the_others() {
    let preference = preference(4.0, 36.0, 36.0);
    let local = preference.local_share + (1.0 - preference.local_share) * 0.25;
    assert!((0.25..0.35).contains(&local), "{preference:?}");
}

#[test]
fn routers_of_a_zone_share_its_preference() {
    let one_of_nine = preference(1.0, 9.0, 36.0).own_part;
    assert!((one_of_nine - 1.0 / 9.0).abs() < 0.01, "{one_of_nine}");
    let only_one = preference(9.0, 9.0, 36.0).own_part;
    assert!(only_one > 0.9, "{only_one}");
}
